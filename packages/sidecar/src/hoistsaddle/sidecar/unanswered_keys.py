"""Metrics of keyed requests that end without an answer: the state of each one's attempt and of the claims."""

from collections import Counter
from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.sidecar.claim_records import WORKING, ClaimRecords
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest

# An event is recorded at most this often, and only for requests that ended since the last one.
REPORT_INTERVAL = timedelta(seconds=1)
# The names of the attempt states in the counters.
NAMES = {
    AttemptState.NONE: "nothing",
    AttemptState.ANNOUNCED: "announced",
    AttemptState.SENT: "forwarded",
    AttemptState.FOLLOWING: "asked",
    AttemptState.BETWEEN_FOLLOW_CALLS: "between_questions",
}


class UnansweredKeys:
    """Counts the claimed requests that end without an answer, and reports them in at most one event a second."""

    def __init__(self, *, state: CoreState, records: ClaimRecords) -> None:
        """Start with all counts at zero.

        Args:
            state: the state of the core, which collects the commands.
            records: the claims of this process.
        """
        self._state = state
        self._records = records
        self._ended: Counter[str] = Counter()
        # The longest time between an unanswered follow call and the end of its request.
        self._longest_silence = ZERO
        self._reported_at: timedelta | None = None

    def ended(self, request: PendingRequest) -> None:
        """Count a claimed request that ends without an answer."""
        state_name = NAMES[request.attempt_state]
        self._ended[state_name] += 1
        self._state.count(f"keys.unanswered.{state_name}")
        if request.unanswered_at is not None and request.attempt_state is not AttemptState.FOLLOWING:
            self._longest_silence = max(self._longest_silence, self._state.now - request.unanswered_at)

    def tick(self) -> None:
        """Report the requests that ended since the last report, if the interval has passed."""
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
