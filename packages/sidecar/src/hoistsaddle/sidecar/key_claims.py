"""The keyed requests of a sidecar: each key is claimed in the log, and its answer stays with the claim's sidecar."""

from collections import OrderedDict
from datetime import timedelta
from math import ceil

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.client_identity import digest_of_parts
from hoistsaddle.proxy.core_state import mesh_error
from hoistsaddle.proxy.messages import SubmitHold
from hoistsaddle.rpc.messages import ClaimQueryAnswer, ClaimQueryCall, ForwardAnswer
from hoistsaddle.sidecar.messages import AnswerClaimQuery, ClaimQueryAnswered, ClaimQueryArrived, QueryClaim
from hoistsaddle.sidecar.request_table import PendingRequest, RequestTable
from hoistsaddle.statemachine.commands import ClaimKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.idempotency import hold_handle
from hoistsaddle.statemachine.state import GONE

# How much of its aim a request waits for its key.
KEY_SHARE = 0.22
# Hex digits of a key's digest: 96 bits tell keys apart, and the log holds hundreds of them a second.
SCOPE_LENGTH = 24
# For how long a key that is given back is offered to the log again and again.
RELEASE_SPAN = timedelta(seconds=10)
# Not urgent: until it is done a repeat that meets the key is told here that it is free.
RELEASE_AGAIN = timedelta(seconds=1)
# A claim that got no answer is asked again this soon, for as long as waiting costs the client little.
CLAIM_AGAIN = milliseconds(40)
WORKING = "working"
KEPT = "kept"
FREE = "free"
UNKNOWN_RUN = "unknown"


class Kept:
    """What became of a claim of this sidecar's: repeats at any door ask here."""

    def __init__(self, *, until: timedelta) -> None:
        self.standing = WORKING
        self.until = until
        self.answer: ForwardAnswer | None = None


def _no_core() -> MeshError:
    return mesh_error(ErrorKind.NO_LEADER, "No core machine could hold the key.", "Come back after the time given.")


class KeyClaims(RequestTable):
    def __init__(self, *, key_span: timedelta, **needs) -> None:
        super().__init__(**needs)
        self.key_span = key_span
        self.claims: dict[int, ClaimKey] = {}
        self.recalls: dict[int, int] = {}
        self.releases: dict[int, tuple[ReleaseKey, timedelta]] = {}
        self.release_again: list[tuple[timedelta, ReleaseKey, timedelta]] = []
        self.claim_again: list[tuple[timedelta, int]] = []
        self.kept: OrderedDict[str, Kept] = OrderedDict()
        # Attempts whose requests were answered before they came back, to the claims they ran under.
        self.late: dict[int, str] = {}
        # Since when the core gives no answer about keys.
        self.silent_since: timedelta | None = None

    def _claim(self, ticket: int) -> None:
        request = self.pending_requests[ticket]
        if not request.claim:
            # One operation is known by its key alone, whichever door it reaches and whatever else it carries.
            request.scope = digest_of_parts("operation", request.event.key)[:SCOPE_LENGTH]
            request.claim = f"{self.settings.name}.{self.settings.incarnation}.{self._number()}"
        request.number = self._number()
        self.by_number[request.number] = ticket
        command = self.claims[request.number] = self._claim_of(request)
        self._out.append(SubmitHold(request.number, command))

    def _claim_of(self, request: PendingRequest) -> ClaimKey:
        return ClaimKey(
            request.scope,
            request.claim,
            self.settings.name,
            "",
            request.scope,
            "operation",
            "",
            request.entry.name,
            max(1, ceil(self.key_span.total_seconds())),
            request.after,
        )

    def _hold_answered(self, number: int, outcome: Outcome | None) -> None:
        if outcome is not None:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = self.now
        if number in self.releases:
            released, until = self.releases.pop(number)
            if outcome is None and self.now < until:
                self.release_again.append((self.now + RELEASE_AGAIN, released, until))
            return None
        command = self.claims.pop(number, None)
        if command is None:
            return None
        ticket = self.by_number.pop(number, -1)
        request = self.pending_requests.get(ticket)
        granted = outcome is not None and outcome.detail.get("phase") == "granted"
        if request is None or request.number != number or request.claimed:
            # Granted after its request was given up: nothing was sent under it, so the key goes back.
            if granted and (request is None or request.claim != command.claim):
                self._release(command)
            return None
        if outcome is None:
            return self._claim_missed(ticket, request)
        if outcome.error:
            error = MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)
            return self._turned_back(ticket, error)
        if granted:
            request.claimed = True
            self._keep(request.claim)
            self._announce_key("key held", request)
            return self._place(ticket)
        self._ask_holder(ticket, request, outcome.detail["stall"], outcome.detail["claim"])

    def _claim_missed(self, ticket: int, request: PendingRequest) -> None:
        """Claiming again under the same claim is one claim: the log knows it."""
        if self.now < self._patience(request):
            self.claim_again.append((self.now + CLAIM_AGAIN, ticket))
            return
        self._key_out_of_reach(ticket, request)

    @staticmethod
    def _patience(request: PendingRequest) -> timedelta:
        """Until when a key may be waited for: who is told by then loses little by coming back."""
        return request.arrived + (request.aim_at - request.arrived) * KEY_SHARE

    def _key_out_of_reach(self, ticket: int, request: PendingRequest) -> None:
        """It may be in the log for all we know: should it turn up as granted later, it is given back then."""
        self._turned_back(ticket, _no_core())

    def _ask_holder(self, ticket: int, request: PendingRequest, proxy: str, claim: str) -> None:
        """Somebody holds the key: only that proxy knows what became of it."""
        request.recalled = claim
        number = self._number()
        self.recalls[number] = ticket
        node = self.view.nodes.get(proxy)
        if proxy == self.settings.name:
            return self._recall_answered(ClaimQueryAnswered(number, self._standing_of(claim)))
        if node is None or node.state == GONE:
            return self._recall_answered(ClaimQueryAnswered(number, None))
        self._out.append(QueryClaim(number, node.address, ClaimQueryCall(claim)))

    def _recall_answered(self, event: ClaimQueryAnswered) -> None:
        ticket = self.recalls.pop(event.number, -1)
        request = self.pending_requests.get(ticket)
        if request is None:
            return
        answer = event.answer
        match answer.standing if answer is not None else "":
            case "kept":
                self._reply(ticket, answer.status, headers=answer.headers, body=answer.body)
            case "working":
                error = mesh_error(
                    ErrorKind.KEY_HELD, "The first request with this key is still working.", "Ask again shortly."
                )
                self._reply(ticket, 409, error=error, retry_after=self._soon(request))
            case "free" if request.after != request.recalled:
                request.after = request.recalled
                self._claim(ticket)
            case _:
                # This repeat ran nowhere and never will, which is all that 503 says; of the first it says nothing.
                error = mesh_error(
                    ErrorKind.SILENT,
                    "What became of this key's first request is not known; this one did not run.",
                    "Come back with the same key, and ask what became of the first before using another one.",
                )
                self._reply(ticket, 503, error=error, retry_after=self._soon(request))

    def _recall(self, event: ClaimQueryArrived) -> None:
        self._out.append(AnswerClaimQuery(event.ticket, self._standing_of(event.call.claim)))

    def _standing_of(self, claim: str) -> ClaimQueryAnswer:
        kept = self.kept.get(claim)
        if kept is None:
            # A former life's, or forgotten: whether it ran is not known here.
            return ClaimQueryAnswer(UNKNOWN_RUN)
        if kept.answer is not None:
            return ClaimQueryAnswer(KEPT, kept.answer.status, kept.answer.headers, kept.answer.body)
        return ClaimQueryAnswer(kept.standing)

    def _keep(self, claim: str) -> Kept:
        while self.kept and next(iter(self.kept.values())).until <= self.now:
            self.kept.popitem(last=False)
        return self.kept.setdefault(claim, Kept(until=self.now + self.key_span))

    def _let_go(self, request: PendingRequest) -> None:
        """Gives a claimed key back: nothing ran under it and nothing will."""
        if not request.claim or request.uncertain or request.sends:
            return None
        # Also a claim that was never answered: should it be in the log, a repeat that meets it may take it over.
        self._keep(request.claim).standing = FREE
        command = self._claim_of(request)
        if request.claimed:
            return self._release(command)
        # The log didn't answer in time, so it is busy or away: nothing that isn't urgent is asked of it now.
        release = ReleaseKey(hold_handle(command), command.claim)
        self.release_again.append((self.now + RELEASE_AGAIN, release, self.now + RELEASE_SPAN))

    def _release(self, command: ClaimKey) -> None:
        self._ask_release(ReleaseKey(hold_handle(command), command.claim), self.now + RELEASE_SPAN)

    def _ask_release(self, command: ReleaseKey, until: timedelta) -> None:
        number = self._number()
        self.releases[number] = (command, until)
        self._out.append(SubmitHold(number, command))

    def _announce_key(self, kind: str, request: PendingRequest) -> None:
        """Keys are counted, not told one by one: there are hundreds a second."""

    def _key_tick(self) -> None:
        # A key that doesn't come: the log may answer any time, but the client is better told now.
        keyless = [
            (ticket, request)
            for ticket, request in self.pending_requests.items()
            if request.claim and not request.claimed and not request.recalled and self.now >= self._patience(request)
        ]
        for ticket, request in keyless:
            self._key_out_of_reach(ticket, request)
        again, self.claim_again = self.claim_again, []
        for timestamp, ticket in again:
            if self.now < timestamp:
                self.claim_again.append((timestamp, ticket))
            elif ticket in self.pending_requests:
                self._claim(ticket)
        releases, self.release_again = self.release_again, []
        for timestamp, command, until in releases:
            if self.now >= timestamp:
                self._ask_release(command, until)
            else:
                self.release_again.append((timestamp, command, until))
