"""What became of a sidecar's own claims: kept for repeats of their keys, which may come to any sidecar."""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import ClaimQueryAnswer, ForwardAnswer

# What became of a claim, as sidecars tell each other.
WORKING = "working"
KEPT = "kept"
FREE = "free"
UNKNOWN_RUN = "unknown"


class ClaimRecord:
    """What became of one claim."""

    def __init__(self, *, expires: timedelta) -> None:
        self.state = WORKING
        self.expires = expires
        self.answer: ForwardAnswer | None = None

    def current_state(self) -> str:
        """Return the state that is told: an answer, once there, is the claim's outcome."""
        return self.state if self.answer is None else KEPT


class ClaimRecords:
    """The claims that the log granted to this process, or may have granted, from then until their keys expire."""

    def __init__(self, *, state: CoreState) -> None:
        """Begin without claims; `state` is of the core that they belong to."""
        self._state = state
        # By claim, the oldest first.
        self._records: OrderedDict[str, ClaimRecord] = OrderedDict()
        # Calls under way whose requests have their final answer already, to the claims that they run under.
        self._late_calls: dict[int, str] = {}

    def __len__(self) -> int:
        """Return how many claims are known."""
        return len(self._records)

    def begin(self, claim: str, *, lifetime: timedelta) -> None:
        """Note that the log granted a claim: its request is at work from now on."""
        self._begin(claim, lifetime=lifetime)

    def released(self, claim: str, *, lifetime: timedelta) -> None:
        """Note that nothing ran under a claim and nothing will: a repeat that meets it may replace it."""
        self._begin(claim, lifetime=lifetime).state = FREE

    def answered(self, claim: str, answer: ForwardAnswer) -> None:
        """Keep the answer of a claimed request."""
        if (record := self._records.get(claim)) is not None:
            record.answer = answer

    def ended_unanswered(self, claim: str, *, call_number: int | None) -> None:
        """Note that a claimed request ends without an answer.

        Args:
            claim: of the request.
            call_number: of the call under way that may still bring the answer; None if there is none.
        """
        record = self._records.get(claim)
        if record is None:
            return
        record.state = UNKNOWN_RUN
        if call_number is not None:
            record.state = WORKING
            self._late_calls[call_number] = claim

    def late_calls(self) -> list[int]:
        """Return the numbers of the calls under way whose ends claims wait for, as their requests are over."""
        return list(self._late_calls)

    def late_answer(self, number: int, answer: ForwardAnswer) -> None:
        """Take the answer to an attempt whose client has gone: a repeat of its key still wants it."""
        self._count_late_end(number)
        record = self._records.get(self._late_calls.pop(number, ""))
        if record is None:
            return
        if answer.outcome == ANSWERED:
            record.answer = answer
        else:
            # Rejected after all: nothing ran under the claim, and no other attempt of it is under way.
            record.state = FREE if answer.outcome == NOT_RUN else UNKNOWN_RUN

    def late_failure(self, number: int) -> None:
        """Note that an attempt whose client has gone brought no answer."""
        self._count_late_end(number)
        if (record := self._records.get(self._late_calls.pop(number, ""))) is not None:
            record.state = UNKNOWN_RUN

    def state_of(self, claim: str) -> ClaimQueryAnswer:
        """Return what is known here of a claim: of a former incarnation's, or a forgotten one, nothing."""
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
            self._records.popitem(last=False)
        return self._records.setdefault(claim, ClaimRecord(expires=now + lifetime))
