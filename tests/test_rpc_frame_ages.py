"""The age of a call when it is read, and what remains of its timeout."""

import random
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.freeze_detector import FROZEN_GAP, FreezeDetector
from hoistsaddle.proxy.messages import NOT_RUN
from hoistsaddle.rpc.frame_ages import OFFSET_WINDOW, CallAge, FrameAges
from hoistsaddle.sidecar.messages import ForwardArrived, ForwardRequest, RequestArrived, RunOnServer
from sidecar_bench import SidecarBench


def seconds(amount: float) -> timedelta:
    return timedelta(seconds=amount)


class AgesOfFrames(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.connect(1)
        # The sender's clock differs widely from the receiver's.
        self.offset = 5000.0

    def connect(self, timestamp: float) -> None:
        self.ages = FrameAges(accepted=timestamp)

    def age(self, *, sent: float, transit: float) -> float:
        return round(self.ages.age(sent=sent + self.offset, now=sent + transit).age, 6)

    def test_the_shortest_transit_time_counts_as_age_zero(self) -> None:
        self.assertThat(self.age(sent=0.99, transit=0.01), Equals(0.0))
        self.assertThat(self.age(sent=2, transit=0.03), Equals(0.02))
        self.assertThat(self.age(sent=3, transit=0.005), Equals(0.0))
        self.assertThat(self.age(sent=4, transit=3.005), Equals(3.0))

    def test_the_first_frame_is_as_old_as_its_connection(self) -> None:
        self.assertThat(self.ages.age(sent=5001.0, now=5.0), Equals(CallAge(4.0, True)))
        # The possible age of the first frame is not counted as part of the offset.
        self.assertThat(self.age(sent=8, transit=2.0), Equals(2.0))

    def test_a_frame_of_a_former_release_has_no_known_age(self) -> None:
        self.assertThat(self.ages.age(sent=0.0, now=9.0), Equals(CallAge(0.0, True)))

    def test_the_age_of_a_call_after_a_long_silence_is_measured_against_earlier_calls(self) -> None:
        self.age(sent=0.99, transit=0.01)
        self.assertThat(self.age(sent=60, transit=20.01), Equals(20.0))
        self.assertThat(self.age(sent=81, transit=0.01), Equals(0.0))

    def test_ages_become_correct_again_after_the_senders_clock_falls_back(self) -> None:
        self.age(sent=0.99, transit=0.01)
        self.offset -= 30
        ages = [self.age(sent=10 + each, transit=0.01) for each in range(12)]
        self.assertThat((ages[0], ages[-1]), Equals((30.0, 0.0)))
        self.assertThat(sum(each > 0 for each in ages) <= OFFSET_WINDOW + 1, Equals(True), str(ages))

    def test_with_steady_clocks_no_age_exceeds_the_transit_time(self) -> None:
        """For any transit times, the computed age is at most the true one, except for the first call."""
        for seed in range(20):
            generator = random.Random(seed)
            timestamp = 0.0
            self.connect(timestamp)
            self.age(sent=timestamp, transit=0.01)
            for _ in range(200):
                timestamp += generator.choice((0.01, 0.5, 8.0))
                transit = generator.choice((0.001, 0.05, 2.0))
                self.assertThat(self.age(sent=timestamp, transit=transit) <= transit, Equals(True), f"seed {seed}")


class AtTheTarget(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench("s-1", "s-2")
        servers = {name: each for name, each in self.fleet.view.servers.items() if name == "s-2"}
        self.fleet.show(self.fleet.view._replace(servers=servers))

    def held(self, **needs: Any) -> Any:
        """A call of s-1 that is in flight to s-2."""
        self.fleet.silent = {"s-2"}
        self.fleet.ask("/pack/x", **needs)
        self.fleet.silent = set()
        return self.fleet.sent(ForwardRequest)[-1].call

    def arrive(self, call: Any, *, age: float) -> int:
        self.fleet.tickets += 1
        self.fleet.feed("s-2", ForwardArrived(self.fleet.tickets, call, seconds(age)))
        return self.fleet.tickets

    def test_a_call_that_times_out_in_transit_is_rejected_and_not_run(self) -> None:
        answer = self.fleet.answers[self.arrive(self.held(budget=2.0), age=2.5)]
        self.assertThat((answer.outcome, answer.error), Equals((NOT_RUN, ErrorKind.BUDGET_SPENT)))
        self.assertThat(self.fleet.sent(RunOnServer), Equals([]))

    def test_the_server_gets_the_time_that_is_really_left(self) -> None:
        for age in (0.02, 1.0):
            self.arrive(self.held(budget=3.0), age=age)
            self.assertThat(self.fleet.sent(RunOnServer)[-1].within, Equals(seconds(3 - age)))

    def test_the_latency_target_is_reduced_only_by_an_unusual_transit_time(self) -> None:
        call = self.held(budget=3.0)
        for age, target in ((0.1, 1.0), (0.7, 0.3), (1.5, 0.0)):
            self.assertThat(
                self.fleet.cores["s-2"].upstream.without_age(ForwardArrived(1, call, seconds(age))).latency_target,
                Equals(seconds(target)),
            )

    def test_a_queued_call_ends_early_enough_for_the_clients_sidecar_to_get_the_answer(self) -> None:
        """Otherwise its outcome would be unknown there and answered with 504, although the call never ran."""
        for seed in range(5):
            fleet = SidecarBench("s-1", "s-2", room=1, seed=seed)
            fleet.show(fleet.view._replace(servers={"s-2": fleet.view.servers["s-2"]}))
            fleet.ask("/pack/x", budget=3.0)
            fleet.finish()
            fleet.ask("/pack/x", budget=3.0)
            second = fleet.ask("/pack/x", budget=0.9)
            fleet.pass_time(1.0)
            self.assertThat(fleet.replies[second].status, Equals(503), str(seed))


class AtTheHandler(TestCase):
    def test_a_request_that_was_left_unread_has_less_time_left_than_it_states(self) -> None:
        fleet = SidecarBench()
        for ticket, (unread, status) in enumerate(((0.0, None), (1.0, None), (3.5, 503)), start=100):
            request = RequestArrived(
                ticket, "POST", "shop.example", "/pack/x", b"", 100, b"", seconds(3), "", "t", seconds(unread)
            )
            fleet.feed("s-1", request)
            reply = fleet.replies.get(ticket)
            self.assertThat(reply and reply.status, Equals(status))
        self.assertThat([each.call.budget for each in fleet.sent(ForwardRequest)], Equals([seconds(3), seconds(2)]))


class EventLoopPauses(TestCase):
    class Clock:
        timestamp = seconds(100)

        def now(self) -> timedelta:
            return self.timestamp

    def unread(self, *, ticked: float, thawed: float, last_freeze: float, now: float) -> float:
        clock: Any = self.Clock()
        clock.timestamp = seconds(now)
        freezes = FreezeDetector(runtime=clock, counters=Counters(owner="s-1"))
        freezes.ticked_at, freezes.thawed_at, freezes.last_freeze = (
            seconds(ticked),
            seconds(thawed),
            seconds(last_freeze),
        )
        return freezes.unread().total_seconds()

    def test_a_pause_is_reported_before_and_after_the_tick_that_detects_it(self) -> None:
        gap = FROZEN_GAP.total_seconds()
        self.assertThat(self.unread(ticked=100, thawed=0, last_freeze=0, now=100.02), Equals(0.0))
        self.assertThat(self.unread(ticked=100, thawed=0, last_freeze=0, now=103), Equals(3.0))
        # The tick has run, but the data that arrived during the pause is still being read.
        self.assertThat(round(self.unread(ticked=103, thawed=103 + gap, last_freeze=3, now=103.1), 6), Equals(3.1))
        self.assertThat(self.unread(ticked=103.5, thawed=103 + gap, last_freeze=3, now=103.5), Equals(0.0))
