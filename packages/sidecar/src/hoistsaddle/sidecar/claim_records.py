"""The outcomes of a sidecar's own claims, kept for repeated requests with the same key at any sidecar."""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import ClaimQueryAnswer, ForwardAnswer

# The states of a claim in answers to claim queries.
WORKING = "working"
KEPT = "kept"
FREE = "free"
UNKNOWN_RUN = "unknown"
# The most bytes of kept answers where the memory of the process is not limited.
MAX_KEPT_BYTES = 64 * 1024 * 1024


class ClaimRecord:
    """The outcome of one claim."""

    def __init__(self, *, expires: timedelta) -> None:
        self.state = WORKING
        self.expires = expires
        self.answer: ForwardAnswer | None = None

    def current_state(self) -> str:
        """Return the state to report: once there is an answer, it is the claim's outcome."""
        return self.state if self.answer is None else KEPT


class ClaimRecords:
    """The claims that the log granted, or may have granted, to this process and whose keys have not expired."""

    def __init__(self, *, state: CoreState, max_kept_bytes: int = MAX_KEPT_BYTES) -> None:
        """Start without claims.

        Args:
            state: the state of the core.
            max_kept_bytes: the most bytes of kept answers. The outcome of a claim whose answer was dropped is unknown.
        """
        self._state = state
        self._max_kept_bytes = max_kept_bytes
        # The claims whose answers are kept, the oldest answer first, and the bytes of all kept answers.
        self._kept: OrderedDict[str, ClaimRecord] = OrderedDict()
        self.kept_bytes = 0
        # Records by claim, the oldest first.
        self._records: OrderedDict[str, ClaimRecord] = OrderedDict()
        # Calls in flight whose requests have ended, by number, and the claims that they belong to.
        self._late_calls: dict[int, str] = {}

    def __len__(self) -> int:
        """Return how many claims are known."""
        return len(self._records)

    def begin(self, claim: str, *, lifetime: timedelta) -> None:
        """Record that the log granted a claim and its request is in progress."""
        self._begin(claim, lifetime=lifetime)

    def released(self, claim: str, *, lifetime: timedelta) -> None:
        """Record that nothing ran or will run under a claim, so a repeated request may replace it."""
        self._begin(claim, lifetime=lifetime).state = FREE

    def answered(self, claim: str, answer: ForwardAnswer) -> None:
        """Keep the answer of a claimed request."""
        if (record := self._records.get(claim)) is not None:
            self._keep(claim, record, answer)

    def _keep(self, claim: str, record: ClaimRecord, answer: ForwardAnswer) -> None:
        """Keep an answer, and drop the oldest ones that there is no room for beside it."""
        self._drop(claim)
        if _size_of(answer) > self._max_kept_bytes:
            record.state = UNKNOWN_RUN
            self._state.count("keys.answers_dropped")
            return
        record.answer = answer
        self._kept[claim] = record
        self.kept_bytes += _size_of(answer)
        while self.kept_bytes > self._max_kept_bytes:
            oldest = next(iter(self._kept))
            self._kept[oldest].state = UNKNOWN_RUN
            self._drop(oldest)
            self._state.count("keys.answers_dropped")

    def _drop(self, claim: str) -> None:
        record = self._kept.pop(claim, None)
        if record is not None and record.answer is not None:
            self.kept_bytes -= _size_of(record.answer)
            record.answer = None

    def ended_unanswered(self, claim: str, *, call_number: int | None) -> None:
        """Record that a claimed request ends without an answer.

        Args:
            claim: the claim of the request.
            call_number: the number of the call in flight that may still return the answer; None if there is none.
        """
        record = self._records.get(claim)
        if record is None:
            return
        record.state = UNKNOWN_RUN
        if call_number is not None:
            record.state = WORKING
            self._late_calls[call_number] = claim

    def late_calls(self) -> list[int]:
        """Return the numbers of the calls in flight whose requests have ended but whose claims await their results."""
        return list(self._late_calls)

    def late_answer(self, number: int, answer: ForwardAnswer) -> None:
        """Keep the answer to an attempt whose request has ended, for repeated requests with its key."""
        self._count_late_end(number)
        claim = self._late_calls.pop(number, "")
        record = self._records.get(claim)
        if record is None:
            return
        if answer.outcome == ANSWERED:
            self._keep(claim, record, answer)
        else:
            # If it was rejected, nothing ran under the claim: no other attempt of it is in flight.
            record.state = FREE if answer.outcome == NOT_RUN else UNKNOWN_RUN

    def late_failure(self, number: int) -> None:
        """Record that an attempt whose request has ended got no answer."""
        self._count_late_end(number)
        if (record := self._records.get(self._late_calls.pop(number, ""))) is not None:
            record.state = UNKNOWN_RUN

    def state_of(self, claim: str) -> ClaimQueryAnswer:
        """Return the outcome of a claim; unknown for one of an earlier incarnation or one that has expired."""
        record = self._records.get(claim)
        if record is None:
            return ClaimQueryAnswer(UNKNOWN_RUN)
        if record.answer is not None:
            return ClaimQueryAnswer(KEPT, record.answer.status, record.answer.headers, record.answer.body)
        return ClaimQueryAnswer(record.state)

    def count_by_state(self) -> dict[str, int]:
        """Return how many claims are known in each state."""
        counts: dict[str, int] = {}
        for record in self._records.values():
            state = record.current_state()
            counts[state] = counts.get(state, 0) + 1
        return counts

    def _count_late_end(self, number: int) -> None:
        if number in self._late_calls:
            self._state.count("keys.late_ends")

    def _begin(self, claim: str, *, lifetime: timedelta) -> ClaimRecord:
        now = self._state.now
        while self._records and next(iter(self._records.values())).expires <= now:
            claim_ended, _ = self._records.popitem(last=False)
            self._drop(claim_ended)
        return self._records.setdefault(claim, ClaimRecord(expires=now + lifetime))


def _size_of(answer: ForwardAnswer) -> int:
    return len(answer.headers) + len(answer.body)
