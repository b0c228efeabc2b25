"""Large bodies: announced to the receiver, sent once its link is free, and refused at once if they would be late."""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.rpc.messages import AbandonCall, AnnounceBodyAnswer, AnnounceBodyCall, ForwardCall
from hoistsaddle.sidecar.link_schedule import INITIAL_CAPACITY, USED_SHARE, LinkSchedule
from hoistsaddle.sidecar.messages import (
    AbandonArrived,
    AnnounceBody,
    AnswerBodyAnnouncement,
    BodyAnnounced,
    BodyAnnouncementAnswered,
    ForwardRequest,
)
from hoistsaddle.statemachine.state import WINDING_DOWN
from sidecar_bench import SidecarBench, latency_of

NAME = "s-1"
# The capacity of the link, and a body whose transfer takes a fifth of a second.
CAPACITY = 300_000.0
BODY_OCTETS = 60_000
BODY = b"x" * BODY_OCTETS


class Receiver(TestCase):
    """A sidecar to which others announce bodies."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench(NAME, room=9, link_bytes_per_second=CAPACITY)
        self.core = self.fleet.cores[NAME]
        self.core.upstream.latencies.by_route["pack"] = latency_of(0.2)
        self.count = 0

    def announce(self, *, octets: int = BODY_OCTETS, budget: float = 8.0, target: float = 1.2, rank: int = 1) -> int:
        """Announce a body; its attempt is named after the ticket."""
        self.count += 1
        span, aim = timedelta(seconds=budget), timedelta(seconds=target)
        call = AnnounceBodyCall(f"a-{self.count}", "ledger", NAME, f"i-{NAME}", span, aim, rank, "pack", octets)
        self.fleet.feed(NAME, BodyAnnounced(self.count, call))
        return self.count

    def replies(self) -> dict[int, AnnounceBodyAnswer]:
        return {command.ticket: command.answer for command in self.fleet.sent(AnswerBodyAnnouncement)}

    def granted(self) -> list[int]:
        return [ticket for ticket, answer in self.replies().items() if not answer.error]

    def send(self, number: int, *, octets: int = BODY_OCTETS) -> int:
        call = ForwardCall(
            attempt_id=f"a-{number}",
            service_name="ledger",
            target=NAME,
            instance=f"i-{NAME}",
            budget=timedelta(seconds=5),
            latency_target=timedelta(seconds=1),
            rank=1,
            route="pack",
            method="POST",
            path=b"/pack/x",
            headers=b"",
            body=b"x" * octets,
            caller="ledger",
            client_attempt_id=f"try-{number}",
        )
        return self.fleet.arrive(NAME, call)

    def test_bodies_are_granted_one_after_the_other(self) -> None:
        for _ in range(3):
            self.announce()
        self.assertThat(self.granted(), Equals([1]))
        self.assertThat(self.replies()[1].rate, Equals(round(CAPACITY * USED_SHARE)))
        self.fleet.pass_time(0.24)
        self.assertThat(self.granted(), Equals([1, 2]))
        self.fleet.pass_time(0.24)
        self.assertThat(self.granted(), Equals([1, 2, 3]))

    def test_a_body_that_earlier_bodies_would_make_late_is_refused_at_once(self) -> None:
        tickets = [self.announce() for _ in range(9)]
        refused = [ticket for ticket, answer in self.replies().items() if answer.error == ErrorKind.LINK_FULL]
        self.assertThat(len(refused), GreaterThan(3))
        self.fleet.pass_time(1.2)
        # Every body that was not refused at once is granted within its latency target.
        self.assertThat(sorted([*refused, *self.granted()]), Equals(tickets))

    def test_a_long_transfer_is_granted_a_free_link(self) -> None:
        self.assertThat(self.granted(), Equals([]))
        self.announce(octets=400_000)
        self.assertThat(self.granted(), Equals([1]))

    def test_a_body_that_cannot_arrive_before_its_deadline_is_refused(self) -> None:
        self.announce(octets=400_000, budget=1.0)
        self.assertThat(self.replies()[1].error, Equals(str(ErrorKind.LINK_FULL)))

    def test_more_urgent_bodies_are_granted_first(self) -> None:
        self.announce()
        self.announce(rank=2)
        self.announce(rank=0)
        self.fleet.pass_time(0.24)
        self.assertThat(self.granted(), Equals([1, 3]))

    def test_the_link_time_of_an_abandoned_body_goes_to_the_next(self) -> None:
        for _ in range(2):
            self.announce()
        self.fleet.feed(NAME, AbandonArrived(90, AbandonCall("a-1")))
        self.fleet.pass_time(0.02)
        self.assertThat(self.granted(), Equals([1, 2]))
        # A queued body that is abandoned is refused and leaves the queue.
        self.announce()
        self.fleet.feed(NAME, AbandonArrived(91, AbandonCall("a-3")))
        self.assertThat(self.replies()[3].error, Equals(str(ErrorKind.SILENT)))
        self.fleet.pass_time(1.0)
        self.assertThat(self.granted(), Equals([1, 2]))

    def test_senders_that_are_gone_do_not_block_the_link_for_long(self) -> None:
        for number in range(12):
            self.announce(octets=9000)
            self.fleet.pass_time(0.5 if number == 5 else 0.04)
        self.assertFalse(self.core.idle())
        self.fleet.pass_time(3.0)
        self.assertTrue(self.core.idle())
        self.announce()
        self.assertThat(self.granted()[-1], Equals(13))

    def test_a_granted_body_is_not_refused_for_a_queue_that_grew_meanwhile(self) -> None:
        self.announce()
        for _ in range(60):
            self.core.upstream.latencies.by_route["read"] = latency_of(0.2)
            self.send(1000 + len(self.fleet.answers), octets=1)
        ticket = self.send(1)
        self.assertThat(self.fleet.answers.get(ticket), Equals(None))

    def test_a_body_queued_for_a_server_that_winds_down_is_refused_unsent(self) -> None:
        for _ in range(2):
            self.announce()
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.fleet.pass_time(0.04)
        self.assertThat(self.replies()[2].error, Equals(str(ErrorKind.WINDING_DOWN)))


class Sender(TestCase):
    """Three sidecars; the test itself delivers the calls between them."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench(NAME, "s-2", "s-3", room=9)
        self.fleet.silent = {"s-2", "s-3"}
        self.fleet.cores[NAME].server = None

    def upload(self, **changes: float) -> int:
        return self.fleet.ask("/pack/x", body=BODY, **changes)

    def announced(self) -> list[AnnounceBody]:
        return self.fleet.sent(AnnounceBody)

    def answer(self, answer: AnnounceBodyAnswer | None) -> None:
        self.fleet.feed(NAME, BodyAnnouncementAnswered(self.announced()[-1].number, answer))

    def test_nothing_of_a_large_body_is_sent_before_it_is_granted(self) -> None:
        self.upload()
        self.assertThat((len(self.announced()), self.fleet.sent(ForwardRequest)), Equals((1, [])))
        self.answer(AnnounceBodyAnswer("", 100_000, ZERO))
        (sent,) = self.fleet.sent(ForwardRequest)
        self.assertThat((sent.rate, sent.call.body), Equals((100_000, BODY)))
        self.assertThat(sent.call.attempt_id, Equals(self.announced()[0].call.attempt_id))
        # The budget is what remains when the last byte arrives.
        self.assertThat(sent.call.budget, Equals(timedelta(seconds=3.0) - timedelta(seconds=0.6)))

    def test_small_bodies_are_sent_at_once(self) -> None:
        self.fleet.ask("/pack/x", body=b"small")
        self.assertThat((len(self.announced()), len(self.fleet.sent(ForwardRequest))), Equals((0, 1)))

    def test_a_refused_body_is_announced_elsewhere_and_then_rejected_with_retry_after(self) -> None:
        ticket = self.upload()
        first = self.announced()[0].address
        self.answer(AnnounceBodyAnswer(str(ErrorKind.LINK_FULL), 0, milliseconds(900)))
        second = self.announced()[1].address
        self.assertNotEqual(first, second)
        self.answer(AnnounceBodyAnswer(str(ErrorKind.LINK_FULL), 0, milliseconds(900)))
        reply = self.fleet.replies[ticket]
        self.assertThat((reply.status, reply.error.kind), Equals((503, str(ErrorKind.LINK_FULL))))
        self.assertThat(reply.retry_after, GreaterThan(ZERO))
        self.assertThat(self.fleet.sent(ForwardRequest), Equals([]))

    def test_an_unanswered_announcement_is_no_uncertain_outcome(self) -> None:
        ticket = self.upload()
        for _ in range(2):
            self.answer(None)
        self.assertThat(self.fleet.replies[ticket].status, Equals(503))

    def test_a_request_whose_deadline_passes_unsent_has_not_run(self) -> None:
        ticket = self.upload(budget=0.2)
        self.fleet.pass_time(0.3)
        self.assertThat(self.fleet.replies[ticket].status, Equals(503))

    def test_a_late_grant_sends_nothing(self) -> None:
        self.upload(budget=0.2)
        self.fleet.pass_time(0.3)
        self.answer(AnnounceBodyAnswer("", 100_000, ZERO))
        self.assertThat(self.fleet.sent(ForwardRequest), Equals([]))

    def test_a_body_goes_to_the_link_that_is_free_sooner(self) -> None:
        self.upload()
        busy = self.announced()[0].address
        self.answer(AnnounceBodyAnswer("", 100_000, timedelta(seconds=2)))
        for _ in range(4):
            self.upload()
            self.assertNotEqual(self.announced()[-1].address, busy)


class Schedule(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = timedelta(seconds=7)

    def transfers(self, link: LinkSchedule, *, actual: float, count: int) -> None:
        """Transfer bodies one after the other over a link with this actual capacity in bytes a second."""
        for number in range(count):
            rate = link.grant(f"a-{number}", BODY_OCTETS, now=self.now)
            self.now += timedelta(seconds=BODY_OCTETS / min(rate, actual))
            link.arrived(f"a-{number}", now=self.now)

    def test_a_capacity_below_the_settings_is_detected(self) -> None:
        link = LinkSchedule(bytes_per_second=4 * CAPACITY, now=self.now)
        self.transfers(link, actual=CAPACITY, count=60)
        self.assertThat(link.rate(self.now), LessThan(2 * CAPACITY))

    def test_an_unknown_capacity_is_estimated(self) -> None:
        slow, fast = (LinkSchedule(bytes_per_second=0, now=self.now) for _ in range(2))
        self.transfers(slow, actual=CAPACITY, count=60)
        self.assertThat(slow.rate(self.now), LessThan(2 * CAPACITY))
        self.transfers(fast, actual=100 * CAPACITY, count=60)
        self.assertThat(fast.rate(self.now), GreaterThan(10 * INITIAL_CAPACITY))

    def test_the_settings_are_an_upper_bound(self) -> None:
        link = LinkSchedule(bytes_per_second=CAPACITY, now=self.now)
        self.transfers(link, actual=100 * CAPACITY, count=60)
        self.assertThat(link.rate(self.now), Equals(CAPACITY * USED_SHARE))

    def test_single_late_bodies_change_nothing(self) -> None:
        link = LinkSchedule(bytes_per_second=CAPACITY, now=self.now)
        for number in range(40):
            self.transfers(link, actual=CAPACITY / 3 if number % 8 == 0 else CAPACITY, count=1)
        self.assertThat(link.rate(self.now), GreaterThan(CAPACITY * USED_SHARE * 0.9))

    def test_other_traffic_reduces_the_rate(self) -> None:
        link = LinkSchedule(bytes_per_second=CAPACITY, now=self.now)
        for _ in range(100):
            self.now += milliseconds(100)
            link.others_arrived(10_000, now=self.now)
        self.assertThat(link.rate(self.now), LessThan(CAPACITY * (USED_SHARE - 0.25)))
        self.now += timedelta(seconds=20)
        self.assertThat(link.rate(self.now), GreaterThan(CAPACITY * USED_SHARE * 0.99))
