"""Metrics of keyed requests that end without an answer: what was under way for each, and what became of its claim."""

from collections import Counter
from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.sidecar.claim_records import WORKING, ClaimRecords
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest

# A log line is written at most this often, and only for requests that ended since the last one.
REPORT_INTERVAL = timedelta(seconds=1)
# What an attempt's state is called in the counters.
NAMES = {
    AttemptState.NONE: "nothing",
    AttemptState.ANNOUNCED: "announced",
    AttemptState.SENT: "forwarded",
    AttemptState.ASKED: "asked",
    AttemptState.BETWEEN_QUESTIONS: "between_questions",
}


class UnansweredKeys:
    """Counts the claimed requests that end without an answer, and reports them in one line a second."""

    def __init__(self, *, state: CoreState, records: ClaimRecords) -> None:
        """Begin with none.

        Args:
            state: of the core that the commands go out from.
            records: the claims of this process.
        """
        self._state = state
        self._records = records
        self._ended: Counter[str] = Counter()
        # The longest time since a question had ended without an answer, as a request ended.
        self._longest_silence = ZERO
        self._reported_at: timedelta | None = None

    def ended(self, request: PendingRequest) -> None:
        """Note that a claimed request ends without an answer."""
        what = NAMES[request.attempt_state]
        self._ended[what] += 1
        self._state.count(f"keys.unanswered.{what}")
        if request.unanswered_at is not None and request.attempt_state is not AttemptState.ASKED:
            self._longest_silence = max(self._longest_silence, self._state.now - request.unanswered_at)

    def tick(self) -> None:
        """Report what ended since the last report, if that is long enough ago."""
        now = self._state.now
        if not self._ended or (self._reported_at is not None and now - self._reported_at < REPORT_INTERVAL):
            return
        self._state.announce(
            "keys unanswered",
            ended=dict(self._ended),
            longest_silence_milliseconds=round(self._longest_silence / milliseconds(1)),
            working=self._records.count_by_state().get(WORKING, 0),
            calls_under_way=len(self._records.late_calls()),
        )
        self._ended.clear()
        self._longest_silence = ZERO
        self._reported_at = now
