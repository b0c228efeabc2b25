"""Idempotency keys of a sidecar's requests: each key is claimed in the log, the sidecar keeps the claim's outcome.

The log records which sidecar claimed a key; only that sidecar knows the outcome (claim_records.py). A repeated request
whose key is already claimed queries that sidecar.
"""

from datetime import timedelta
from math import ceil
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MeshError, NoLeader
from hoistsaddle.proxy.client_identity import digest_of_parts
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.hold_releases import HoldReleases
from hoistsaddle.proxy.messages import HoldAnswered, SubmitHold
from hoistsaddle.rpc.messages import ClaimQueryAnswer, ClaimQueryCall
from hoistsaddle.sidecar.claim_records import FREE, KEPT, WORKING, ClaimRecords
from hoistsaddle.sidecar.messages import AnswerClaimQuery, ClaimQueryAnswered, ClaimQueryArrived, QueryClaim
from hoistsaddle.sidecar.request_table import PendingRequest, RequestTable
from hoistsaddle.statemachine.commands import ClaimKey, ReleaseKey
from hoistsaddle.statemachine.idempotency import hold_scope
from hoistsaddle.statemachine.state import GONE

# The share of its latency target for which a request waits for its key.
KEY_WAIT_SHARE = 0.22
# Hex digits of a key's digest: 96 bits are enough to distinguish keys, and the log takes hundreds of them a second.
SCOPE_LENGTH = 24
# For how long the release of a key is retried.
RELEASE_TIMEOUT = timedelta(seconds=10)
# Not urgent: until the release is in the log, this sidecar answers queries about the key that it is free.
RELEASE_RETRY_INTERVAL = timedelta(seconds=1)
# How soon an unanswered claim is retried, until the key deadline of the request.
CLAIM_RETRY_INTERVAL = milliseconds(40)
# The phase in the log's answer when it grants the claim.
GRANTED_PHASE = "granted"


class KeyGranted(NamedTuple):
    """The log granted the claim: the request may be forwarded."""

    request: PendingRequest


class KeyRefused(NamedTuple):
    """The key can't be claimed; this request has not run."""

    request: PendingRequest
    error: MeshError


class KeyAnswered(NamedTuple):
    """The first request with this key has an answer, and the repeat gets the same one."""

    request: PendingRequest
    answer: ClaimQueryAnswer


class KeyBusy(NamedTuple):
    """The first request with this key is still running."""

    request: PendingRequest


class KeyLost(NamedTuple):
    """The outcome of the first request with this key is unknown."""

    request: PendingRequest


KeyDecision = KeyGranted | KeyRefused | KeyAnswered | KeyBusy | KeyLost


class KeyClaims:
    """Claims keys for pending requests, keeps the claims' outcomes, and releases keys under which nothing ran."""

    def __init__(
        self, *, state: CoreState, requests: RequestTable, key_lifetime: timedelta, max_kept_bytes: int
    ) -> None:
        """Start without claims.

        Args:
            state: the state of the core, which collects the commands.
            requests: the pending requests, shared with the ingress core.
            key_lifetime: how long a claimed key stays claimed and its outcome is kept here.
            max_kept_bytes: the most bytes of answers that are kept.
        """
        self._state = state
        self._requests = requests
        self.key_lifetime = key_lifetime
        # Claims submitted to the log, by call number, and the request tickets of queries to claim holders, likewise.
        self.submitted: dict[int, ClaimKey] = {}
        self._queries: dict[int, int] = {}
        self._claim_retries: list[tuple[timedelta, int]] = []
        # Unanswered claims of pending requests that the log may have accepted.
        self._maybe_accepted: set[str] = set()
        self.releases = HoldReleases(state=state, retry_interval=RELEASE_RETRY_INTERVAL, timeout=RELEASE_TIMEOUT)
        self.records = ClaimRecords(state=state, max_kept_bytes=max_kept_bytes)

    # -- claiming ----------------------------------------------------------------------------------------------------

    def claim(self, request: PendingRequest) -> None:
        """Submit a claim of the request's key to the log; submitting the same claim again is idempotent."""
        if not request.claim:
            # The key alone identifies the operation, whichever sidecar receives it and whatever else it carries.
            request.scope = digest_of_parts("operation", request.event.key)[:SCOPE_LENGTH]
            settings = self._state.settings
            request.claim = f"{settings.name}.{settings.incarnation}.{self._state.next_number()}"
        number = self._state.next_number()
        self._requests.begin_call(request, number)
        command = self.submitted[number] = self._claim_command(request)
        # Replacing another claim takes several calls, which may take longer than the wait for a key.
        deadline = None if request.queried_claim else _key_deadline(request)
        self._state.out.append(SubmitHold(number, command, deadline))

    def _claim_command(self, request: PendingRequest) -> ClaimKey:
        return ClaimKey(
            request.scope,
            request.claim,
            self._state.settings.name,
            "",
            request.scope,
            "operation",
            "",
            request.route.name,
            max(1, ceil(self.key_lifetime.total_seconds())),
            request.replaces_claim,
        )

    def is_claim(self, number: int) -> bool:
        """Whether this call is a claim that the log hasn't answered yet."""
        return number in self.submitted

    def hold_answered(self, event: HoldAnswered) -> KeyDecision | None:
        """Handle the log's answer to a claim or a release, or the lack of one.

        Returns:
            The decision about a request, if any.
        """
        number, outcome = event.number, event.outcome
        if self.releases.answered(number, outcome):
            return None
        command = self.submitted.pop(number, None)
        if command is None:
            return None
        request = self._requests.end_call(number)
        if request is None or request.claim != command.claim:
            self._release_unused_claim(command, event)
            return None
        if outcome is not None:
            # Whatever the outcome of an earlier call of this claim, the log has answered the claim now.
            self._maybe_accepted.discard(request.claim)
        elif event.maybe_accepted:
            self._maybe_accepted.add(request.claim)
        if request.call_number != number or request.claimed:
            return None
        if outcome is None:
            return self._claim_unanswered(request)
        granted = outcome.detail.get("phase") == GRANTED_PHASE
        if outcome.error:
            return KeyRefused(request, MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field))
        if granted:
            request.claimed = True
            self.records.begin(request.claim, lifetime=self.key_lifetime)
            return KeyGranted(request)
        return self._query_holder(request, proxy=outcome.detail["stall"], claim=outcome.detail["claim"])

    def _release_unused_claim(self, command: ClaimKey, event: HoldAnswered) -> None:
        """Release the key of a claim whose request has ended with nothing sent under it."""
        was_uncertain = command.claim in self._maybe_accepted
        self._maybe_accepted.discard(command.claim)
        if event.outcome is not None:
            if event.outcome.detail.get("phase") == GRANTED_PHASE:
                self._release(command)
        elif event.maybe_accepted or was_uncertain:
            # The log didn't answer in time, so it is overloaded or unavailable: the release, not urgent, is delayed.
            self.releases.schedule(_release_of(command))

    def _claim_unanswered(self, request: PendingRequest) -> KeyDecision | None:
        if self._state.now < _key_deadline(request):
            self._claim_retries.append((self._state.now + CLAIM_RETRY_INTERVAL, request.ticket))
            return None
        return _unavailable(request)

    def overdue(self) -> list[KeyRefused]:
        """Return the requests whose key deadline has passed without an answer; their clients should retry later.

        Such a claim may be in the log; if the log answers later that it was granted, it is released then.
        """
        now = self._state.now
        return [
            _unavailable(request)
            for request in self._requests.requests.values()
            if request.claim and not request.claimed and not request.queried_claim and now >= _key_deadline(request)
        ]

    def retry_due(self) -> None:
        """Retry unanswered claims and releases that are due."""
        retries, self._claim_retries = self._claim_retries, []
        for due, ticket in retries:
            if self._state.now < due:
                self._claim_retries.append((due, ticket))
            elif (request := self._requests.get(ticket)) is not None:
                self.claim(request)
        self.releases.retry_due()

    # -- outcomes of other claims ------------------------------------------------------------------------------------

    def _query_holder(self, request: PendingRequest, *, proxy: str, claim: str) -> KeyDecision | None:
        """Query the sidecar that claimed the key, as only that sidecar knows the claim's outcome."""
        request.queried_claim = claim
        number = self._state.next_number()
        self._queries[number] = request.ticket
        node = self._state.view.nodes.get(proxy)
        if proxy == self._state.settings.name:
            return self.query_answered(ClaimQueryAnswered(number, self.records.state_of(claim)))
        if node is None or node.state == GONE:
            return self.query_answered(ClaimQueryAnswered(number, None))
        self._state.out.append(QueryClaim(number, node.address, ClaimQueryCall(claim)))
        return None

    def query_answered(self, event: ClaimQueryAnswered) -> KeyDecision | None:
        """Handle the answer of the sidecar that claimed the key; a key that is free again is claimed.

        Returns:
            The decision about the request, if any.
        """
        request = self._requests.get(self._queries.pop(event.number, -1))
        if request is None:
            return None
        answer = event.answer
        if answer is None:
            return KeyLost(request)
        if answer.state == KEPT:
            return KeyAnswered(request, answer)
        if answer.state == WORKING:
            return KeyBusy(request)
        if answer.state == FREE and request.replaces_claim != request.queried_claim:
            request.replaces_claim = request.queried_claim
            self.claim(request)
            return None
        return KeyLost(request)

    def query_arrived(self, event: ClaimQueryArrived) -> None:
        """Answer another sidecar's query about a claim."""
        self._state.out.append(AnswerClaimQuery(event.ticket, self.records.state_of(event.call.claim)))

    # -- release ----------------------------------------------------------------------------------------------------

    def release_unused(self, request: PendingRequest) -> None:
        """Release the request's key, if it claimed one and nothing ran under it."""
        if not request.claim or request.uncertain or request.attempts:
            return
        # This includes a claim that was never answered: if it is in the log, a repeated request may replace it.
        self.records.released(request.claim, lifetime=self.key_lifetime)
        command = self._claim_command(request)
        if request.claimed:
            self._release(command)
        elif not self.is_claim(request.call_number):
            # No call about the claim is in flight.
            self._release_unused_claim(command, HoldAnswered(request.call_number, None, maybe_accepted=False))

    def _release(self, command: ClaimKey) -> None:
        self.releases.submit(_release_of(command))


def _release_of(command: ClaimKey) -> ReleaseKey:
    return ReleaseKey(hold_scope(command), command.claim)


def _key_deadline(request: PendingRequest) -> timedelta:
    """Return until when a request waits for its key: a client that is rejected by then loses little by retrying."""
    return request.arrived + (request.latency_deadline - request.arrived) * KEY_WAIT_SHARE


def _unavailable(request: PendingRequest) -> KeyRefused:
    return KeyRefused(request, NoLeader("No core machine could hold the key."))
