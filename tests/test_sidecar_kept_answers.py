"""Answers that a sidecar keeps for repeats and for senders whose connection broke take a bounded part of its memory."""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar.claim_records import KEPT, UNKNOWN_RUN, ClaimRecords
from hoistsaddle.sidecar.received_attempts import MAX_ANSWER_BYTES, ReceivedAttempts

LIFETIME = timedelta(seconds=75)
MAX_KEPT = 10_000


class State:
    """What the records use of the core's state."""

    def __init__(self) -> None:
        self.now = timedelta()
        self.counts: list[str] = []

    def count(self, name: str) -> None:
        self.counts.append(name)


def answer(size: int, *, attempt: str = "a", headers: int = 0) -> ForwardAnswer:
    return ForwardAnswer(attempt, "answered", "", 200, bytes(headers), bytes(size))


class KeptAnswers(TestCase):
    """Guards against servers whose answers to keyed and other requests fill their sidecar's memory (issue 64)."""

    def setUp(self) -> None:
        super().setUp()
        self.state = State()
        self.records = ClaimRecords(state=self.state, max_kept_bytes=MAX_KEPT)  # type: ignore[arg-type]

    def keep(self, claim: str, size: int, *, headers: int = 0) -> None:
        self.records.begin(claim, lifetime=LIFETIME)
        self.records.answered(claim, answer(size, headers=headers))

    def states(self, *claims: str) -> list[str]:
        return [self.records.state_of(claim).state for claim in claims]

    def test_the_oldest_answers_to_keys_make_room_and_their_outcome_is_unknown(self) -> None:
        for number in range(5):
            self.keep(f"c{number}", 3000, headers=200)
            self.assertThat(self.records.kept_bytes, LessThan(MAX_KEPT + 1))
        self.assertThat(self.states("c0", "c1", "c2", "c3", "c4"), Equals([UNKNOWN_RUN] * 2 + [KEPT] * 3))
        self.assertThat(self.state.counts, Equals(["keys.answers_dropped"] * 2))

    def test_an_answer_over_the_limit_is_not_kept_and_drops_no_other(self) -> None:
        self.keep("before", 100)
        self.keep("large", MAX_KEPT + 1)
        self.keep("after", 100)
        self.assertThat(self.states("before", "large", "after"), Equals([KEPT, UNKNOWN_RUN, KEPT]))
        self.assertThat(self.records.kept_bytes, Equals(200))

    def test_answers_that_expire_or_are_replaced_are_not_counted_any_more(self) -> None:
        self.keep("one", 4000)
        self.records.answered("one", answer(5000))
        self.assertThat(self.records.kept_bytes, Equals(5000))
        self.state.now = LIFETIME
        self.keep("two", 100)
        self.assertThat((self.records.kept_bytes, self.states("one")), Equals((100, [UNKNOWN_RUN])))

    def test_late_answers_count_as_well(self) -> None:
        self.records.begin("late", lifetime=LIFETIME)
        self.records.ended_unanswered("late", call_number=1)
        self.records.late_answer(1, answer(700))
        self.assertThat((self.records.kept_bytes, self.states("late")), Equals((700, [KEPT])))

    def test_heads_of_answers_kept_for_senders_count(self) -> None:
        received = ReceivedAttempts()
        for number in range(100):
            received.answered(answer(10, attempt=f"a{number}", headers=MAX_ANSWER_BYTES // 10), now=timedelta())
            self.assertThat(received.answer_bytes, LessThan(MAX_ANSWER_BYTES + 1))
        self.assertThat(len(received.answers), Equals(9))
