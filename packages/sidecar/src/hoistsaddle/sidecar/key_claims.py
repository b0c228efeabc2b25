"""Idempotency keys of a sidecar's requests: each is claimed in the log, and the claim's outcome stays with its sidecar.

The log knows which sidecar claimed a key; only that sidecar knows what came of it (claim_records.py). A repeat that
meets a claimed key asks there.
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

# How much of its latency target a request waits for its key.
KEY_WAIT_SHARE = 0.22
# Hex digits of a key's digest: 96 bits tell keys apart, and the log holds hundreds of them a second.
SCOPE_LENGTH = 24
# For how long the release of a key is submitted to the log again and again.
RELEASE_TIMEOUT = timedelta(seconds=10)
# Not urgent: until the release is in the log, a repeat that meets the key is told here that it is free.
RELEASE_RETRY_INTERVAL = timedelta(seconds=1)
# A claim that got no answer is submitted again this soon, for as long as waiting costs the client little.
CLAIM_RETRY_INTERVAL = milliseconds(40)
# The log's answer to a claim that holds the key from now on.
GRANTED_PHASE = "granted"


class KeyGranted(NamedTuple):
    """The log granted the claim: the request may be forwarded."""

    request: PendingRequest


class KeyRefused(NamedTuple):
    """The key can't be claimed: nothing ran under it."""

    request: PendingRequest
    error: MeshError


class KeyAnswered(NamedTuple):
    """The first request with this key has its answer, and the repeat gets the same one."""

    request: PendingRequest
    answer: ClaimQueryAnswer


class KeyBusy(NamedTuple):
    """The first request with this key is still running."""

    request: PendingRequest


class KeyLost(NamedTuple):
    """Nobody knows what became of the first request with this key."""

    request: PendingRequest


KeyDecision = KeyGranted | KeyRefused | KeyAnswered | KeyBusy | KeyLost


class KeyClaims:
    """Claims keys for pending requests, keeps the claims' outcomes, and gives back what nothing ran under."""

    def __init__(self, *, state: CoreState, requests: RequestTable, key_lifetime: timedelta) -> None:
        """Begin without claims.

        Args:
            state: of the core that the commands go out from.
            requests: the pending requests, shared with the ingress core.
            key_lifetime: how long a claimed key stays claimed, and its outcome known here.
        """
        self._state = state
        self._requests = requests
        self.key_lifetime = key_lifetime
        # Claims submitted to the log by the call's number, and queries to the claim's sidecar to the request's ticket.
        self.submitted: dict[int, ClaimKey] = {}
        self._queries: dict[int, int] = {}
        self._claim_retries: list[tuple[timedelta, int]] = []
        # Claims of pending requests that got no answer, though the log may have taken them.
        self._maybe_accepted: set[str] = set()
        self.releases = HoldReleases(state=state, retry_interval=RELEASE_RETRY_INTERVAL, timeout=RELEASE_TIMEOUT)
        self.records = ClaimRecords(state=state)

    # -- claiming ----------------------------------------------------------------------------------------------------

    def claim(self, request: PendingRequest) -> None:
        """Submit a claim of the request's key to the log. Submitted again under the same claim, it is still one."""
        if not request.claim:
            # One operation is known by its key alone, whichever sidecar it reaches and whatever else it carries.
            request.scope = digest_of_parts("operation", request.event.key)[:SCOPE_LENGTH]
            settings = self._state.settings
            request.claim = f"{settings.name}.{settings.incarnation}.{self._state.next_number()}"
        number = self._state.next_number()
        self._requests.begin_call(request, number)
        command = self.submitted[number] = self._claim_command(request)
        # A claim that replaces another's is at the end of a way that took longer than a key is waited for.
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
        """Whether this call is a claim that the log hasn't answered."""
        return number in self.submitted

    def hold_answered(self, event: HoldAnswered) -> KeyDecision | None:
        """Take the log's answer to a claim or a release, or that there is none.

        Returns:
            What is decided about a request now, if anything.
        """
        number, outcome = event.number, event.outcome
        if self.releases.answered(number, outcome):
            return None
        command = self.submitted.pop(number, None)
        if command is None:
            return None
        request = self._requests.end_call(number)
        if request is None or request.claim != command.claim:
            self._answered_in_vain(command, event)
            return None
        if outcome is not None:
            # Whatever an earlier call of this claim came to, the log has answered it now.
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

    def _answered_in_vain(self, command: ClaimKey, event: HoldAnswered) -> None:
        """Give back the key of a claim whose request was given up: nothing was sent under it."""
        was_unsure = command.claim in self._maybe_accepted
        self._maybe_accepted.discard(command.claim)
        if event.outcome is not None:
            if event.outcome.detail.get("phase") == GRANTED_PHASE:
                self._release(command)
        elif event.maybe_accepted or was_unsure:
            # The log didn't answer in time, so it is busy or away: nothing that isn't urgent is submitted now.
            self.releases.schedule(_release_of(command))

    def _claim_unanswered(self, request: PendingRequest) -> KeyDecision | None:
        if self._state.now < _key_deadline(request):
            self._claim_retries.append((self._state.now + CLAIM_RETRY_INTERVAL, request.ticket))
            return None
        return _unavailable(request)

    def overdue(self) -> list[KeyRefused]:
        """Return the requests that have waited for their key as long as they may: their clients had better come back.

        Such a claim may be in the log for all we know: should it turn up as granted later, it is released then.
        """
        now = self._state.now
        return [
            _unavailable(request)
            for request in self._requests.requests.values()
            if request.claim and not request.claimed and not request.queried_claim and now >= _key_deadline(request)
        ]

    def retry_due(self) -> None:
        """Submit again the claims and releases that got no answer."""
        retries, self._claim_retries = self._claim_retries, []
        for due, ticket in retries:
            if self._state.now < due:
                self._claim_retries.append((due, ticket))
            elif (request := self._requests.get(ticket)) is not None:
                self.claim(request)
        self.releases.retry_due()

    # -- what became of others' claims -------------------------------------------------------------------------------

    def _query_holder(self, request: PendingRequest, *, proxy: str, claim: str) -> KeyDecision | None:
        """Ask the sidecar that claimed the key: only that one knows what became of it."""
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
        """Take what the sidecar that claimed the key says of it.

        Returns:
            What is decided about the request, if anything: a key that is free is claimed in turn.
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
        """Answer another sidecar's question about a claim."""
        self._state.out.append(AnswerClaimQuery(event.ticket, self.records.state_of(event.call.claim)))

    # -- the end of a claimed request -------------------------------------------------------------------------------

    def release_unused(self, request: PendingRequest) -> None:
        """Release the request's key, if it claimed one and nothing ran under it."""
        if not request.claim or request.uncertain or request.attempts:
            return
        # Also a claim that was never answered: should it be in the log, a repeat that meets it may replace it.
        self.records.released(request.claim, lifetime=self.key_lifetime)
        command = self._claim_command(request)
        if request.claimed:
            self._release(command)
        elif not self.is_claim(request.call_number):
            # Every call about it has ended.
            self._answered_in_vain(command, HoldAnswered(request.call_number, None, maybe_accepted=False))

    def _release(self, command: ClaimKey) -> None:
        self.releases.submit(_release_of(command))


def _release_of(command: ClaimKey) -> ReleaseKey:
    return ReleaseKey(hold_scope(command), command.claim)


def _key_deadline(request: PendingRequest) -> timedelta:
    """Until when a key is waited for: a client told by then loses little by coming back."""
    return request.arrived + (request.latency_deadline - request.arrived) * KEY_WAIT_SHARE


def _unavailable(request: PendingRequest) -> KeyRefused:
    return KeyRefused(request, NoLeader("No core machine could hold the key."))
