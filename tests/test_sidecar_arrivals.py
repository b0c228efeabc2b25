"""A sidecar's metrics of forwarded calls: late arrivals, and the bytes of refused bodies."""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.arrivals import WINDOW, ArrivalRecord

UPLOAD = ForwardCall("a", "decks", "s-1", "i", WINDOW, WINDOW, 1, "pack", "POST", b"/", b"", b"x" * 60000, "decks", "t")


class Arrivals(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.counters = Counters(owner="s-1")
        self.now = timedelta(seconds=5)
        self.record = ArrivalRecord(counters=self.counters, now=self.now)

    def window(self, *ages: timedelta) -> None:
        for age in ages:
            self.record.arrived(UPLOAD, age=age, now=self.now)
        self.now += WINDOW

    def kinds(self) -> list[str]:
        return [event["kind"] for event in self.counters.events(after=0)["happenings"]]

    def test_the_start_and_the_end_of_late_arrivals_are_recorded_as_events(self) -> None:
        for ages in ([ZERO] * 4, [ZERO, milliseconds(600)], [milliseconds(900)], [ZERO] * 3, [ZERO]):
            self.window(*ages)
        self.assertThat(self.kinds(), Equals(["calls arrive late", "calls arrive in time"]))
        first = self.counters.events(after=0)["happenings"][0]["detail"]
        self.assertThat((first["calls"], first["late"], first["oldest_milliseconds"]), Equals((2, 1, 600)))

    def test_bytes_of_refused_bodies_are_counted_with_the_reason(self) -> None:
        self.window(ZERO, ZERO)
        self.record.answered(UPLOAD, ForwardAnswer("a", NOT_RUN, ErrorKind.QUEUE_FULL))
        self.record.answered(UPLOAD, ForwardAnswer("a", ANSWERED))
        counts = self.counters.read()["counts"]
        self.assertThat(counts["forwarded.body_octets"], Equals(120000))
        self.assertThat(counts["forwarded.refused_body_octets"], Equals(60000))
        self.assertThat(counts["forwarded.refused.backlog-full"], Equals(1))
