"""Follow calls after a broken connection: what the target's sidecar reports, and how the ingress handles it."""

import random
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, UNKNOWN, StopRequested
from hoistsaddle.rpc.messages import FollowCall, ForwardAnswer, ForwardCall
from hoistsaddle.sidecar import received_attempts as modules
from hoistsaddle.sidecar.messages import (
    CloseRequested,
    Follow,
    FollowArrived,
    Followed,
    ForwardAnswered,
    ForwardFailed,
    ForwardRequest,
    GraceExpired,
    RunOnServer,
)
from hoistsaddle.sidecar.received_attempts import ANSWER_RETENTION, ReceivedAttempts
from sidecar_bench import SidecarBench

SECOND = timedelta(seconds=1)


class Case(TestCase):
    """s-1 is the ingress, s-2 the target; the test simulates the connection between them."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench("s-1", "s-2", "s-3")
        self.target = self.fleet.cores["s-2"]
        servers = {name: each for name, each in self.fleet.view.servers.items() if name == "s-2"}
        target_incarnation = self.target.settings.incarnation
        nodes = {name: each._replace(incarnation=target_incarnation) for name, each in self.fleet.view.nodes.items()}
        self.both = {name: each for name, each in self.fleet.view.servers.items() if name != "s-1"}
        self.fleet.show(self.fleet.view._replace(servers=servers, nodes=nodes))

    def broken(self, path: str = "/pack/x", **needs: Any) -> tuple[int, ForwardRequest, Follow]:
        """Send a request whose connection breaks before there is an answer."""
        self.fleet.silent = {"s-2"}
        ticket = self.fleet.ask(path, **needs)
        self.fleet.silent = set()
        sent = self.fleet.sent(ForwardRequest)[-1]
        self.fleet.feed("s-1", ForwardFailed(sent.number, False))
        return ticket, sent, self.fleet.sent(Follow)[-1]

    def arrive(self, call: ForwardCall | FollowCall) -> int:
        if isinstance(call, ForwardCall):
            return self.fleet.arrive("s-2", call)
        self.fleet.tickets += 1
        self.fleet.feed("s-2", FollowArrived(self.fleet.tickets, call))
        return self.fleet.tickets

    def answer(self, ticket: int) -> ForwardAnswer | None:
        return self.fleet.answers.get(ticket)

    def outcome(self, ticket: int) -> str:
        return self.fleet.answers[ticket].outcome


class TargetReports(Case):
    def test_the_end_of_a_running_attempt_answers_the_call_and_the_follow_call(self) -> None:
        _, sent, follow = self.broken()
        first = self.arrive(sent.call)
        asked = self.arrive(follow.call)
        self.assertThat((self.answer(first), self.answer(asked)), Equals((None, None)))
        self.fleet.finish(body=b"done")
        self.assertThat(self.answer(asked), Equals(self.answer(first)))
        self.assertThat((self.outcome(asked), len(self.fleet.sent(RunOnServer))), Equals((ANSWERED, 1)))

    def test_a_follow_call_waits_for_a_queued_attempt(self) -> None:
        self.fleet.health("s-2", room=1)
        self.arrive(self.broken()[1].call)
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        asked = self.arrive(follow.call)
        self.fleet.finish()
        self.assertThat(self.answer(asked), Equals(None))
        self.fleet.finish()
        self.assertThat(self.outcome(asked), Equals(ANSWERED))

    def test_a_finished_attempt_is_answered_again_until_its_answer_expires(self) -> None:
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        self.fleet.finish(body=b"done")
        self.assertThat(self.answer(self.arrive(follow.call)).body, Equals(b"done"))
        self.fleet.pass_time(ANSWER_RETENTION.total_seconds() + 0.1)
        # Expired answers are dropped when the next run ends.
        self.arrive(sent.call._replace(attempt_id="another.life.1"))
        self.fleet.finish()
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(UNKNOWN))

    def test_a_follow_call_bars_an_attempt_that_never_arrived(self) -> None:
        _, sent, follow = self.broken()
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(NOT_RUN))
        self.assertThat(self.outcome(self.arrive(sent.call)), Equals(NOT_RUN))
        self.assertThat((self.fleet.sent(RunOnServer), self.outcome(self.arrive(follow.call))), Equals(([], NOT_RUN)))

    def test_another_incarnation_reports_an_unknown_outcome(self) -> None:
        _, _, follow = self.broken()
        self.assertThat(self.outcome(self.arrive(follow.call._replace(incarnation="former"))), Equals(UNKNOWN))

    def test_a_call_that_arrives_repeatedly_runs_once(self) -> None:
        _, sent, _ = self.broken()
        first, second = self.arrive(sent.call), self.arrive(sent.call)
        self.fleet.finish()
        third = self.arrive(sent.call)
        self.assertThat([self.outcome(each) for each in (first, second, third)], Equals([ANSWERED] * 3))
        self.assertThat(len(self.fleet.sent(RunOnServer)), Equals(1))

    def test_a_rejected_attempt_is_reported_as_not_run(self) -> None:
        self.fleet.health("s-2", state="gone")
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(NOT_RUN))


class IngressFollows(Case):
    def test_only_non_idempotent_attempts_are_followed(self) -> None:
        self.fleet.silent = {"s-2"}
        self.fleet.ask("/read/x")
        self.fleet.feed("s-1", ForwardFailed(self.fleet.sent(ForwardRequest)[-1].number, False))
        self.assertThat(self.fleet.sent(Follow), Equals([]))

    def test_the_answer_to_a_follow_call_answers_the_request(self) -> None:
        ticket, sent, follow = self.broken()
        answer = ForwardAnswer(sent.call.attempt_id, ANSWERED, "", 200, b"", b"done")
        self.fleet.feed("s-1", Followed(follow.number, answer))
        self.assertThat(self.fleet.replies[ticket].body, Equals(b"done"))

    def test_an_answer_with_another_attempt_id_is_ignored(self) -> None:
        ticket, _, follow = self.broken()
        self.fleet.feed("s-1", Followed(follow.number, ForwardAnswer("another", ANSWERED, "", 200, b"", b"not mine")))
        self.assertThat(self.fleet.replies[ticket].status, Equals(502))

    def test_an_attempt_that_did_not_run_is_retried_elsewhere_or_rejected_with_retry_after(self) -> None:
        ticket, sent, follow = self.broken()
        not_run = ForwardAnswer(sent.call.attempt_id, NOT_RUN, str(ErrorKind.UNREACHABLE))
        self.fleet.feed("s-1", Followed(follow.number, not_run))
        reply = self.fleet.replies[ticket]
        self.assertThat((reply.status, reply.retry_after is None), Equals((503, False)))
        ticket, sent, follow = self.broken()
        self.fleet.show(self.fleet.view._replace(servers=self.both))
        self.fleet.feed("s-1", Followed(follow.number, not_run._replace(attempt_id=sent.call.attempt_id)))
        self.assertThat(self.fleet.finish().call.target, Equals("s-3"))
        self.assertThat(self.fleet.replies[ticket].status, Equals(200))

    def test_an_unknown_outcome_is_reported_and_never_retried(self) -> None:
        for answer, refused in ((ForwardAnswer("", UNKNOWN, str(ErrorKind.SILENT)), False), (None, True)):
            ticket, sent, follow = self.broken()
            count = len(self.fleet.sent(ForwardRequest))
            if answer is not None:
                answer = answer._replace(attempt_id=sent.call.attempt_id)
            self.fleet.feed("s-1", Followed(follow.number, answer, refused))
            self.assertThat(
                (self.fleet.replies[ticket].status, len(self.fleet.sent(ForwardRequest))), Equals((502, count))
            )

    def test_unanswered_follow_calls_are_retried_until_the_deadline(self) -> None:
        ticket, _, follow = self.broken(budget=1.0)
        self.fleet.feed("s-1", Followed(follow.number, None))
        self.assertThat(ticket in self.fleet.replies, Equals(False))
        self.fleet.pass_time(0.2)
        self.assertThat(len(self.fleet.sent(Follow)), Equals(2))
        self.fleet.pass_time(1.0)
        self.assertThat(self.fleet.replies[ticket].status, Equals(504))

    def test_the_late_outcome_of_a_keyed_request_is_kept_for_its_repeats(self) -> None:
        for number, (answer, status) in enumerate(
            (
                (ForwardAnswer("", ANSWERED, "", 200, b"", b"paid"), 200),
                (ForwardAnswer("", UNKNOWN, str(ErrorKind.SILENT)), 503),
                (None, 503),
            )
        ):
            ticket, sent, follow = self.broken("/pay/x", key=f"k{number}", budget=0.5)
            self.fleet.pass_time(0.6)
            self.assertThat(self.fleet.replies[ticket].status, Equals(504))
            again = self.fleet.ask("/pay/x", key=f"k{number}", ingress="s-3")
            self.assertThat(self.fleet.replies[again].status, Equals(409))
            if answer is not None:
                answer = answer._replace(attempt_id=sent.call.attempt_id)
            self.fleet.feed("s-1", Followed(follow.number, answer))
            again = self.fleet.ask("/pay/x", key=f"k{number}", ingress="s-3")
            self.assertThat(self.fleet.replies[again].status, Equals(status))

    def test_a_key_whose_attempt_was_rejected_late_can_be_claimed_again(self) -> None:
        self.fleet.silent = {"s-2"}
        ticket = self.fleet.ask("/pay/x", key="k", budget=0.5)
        self.fleet.silent = set()
        sent = self.fleet.sent(ForwardRequest)[-1]
        self.fleet.pass_time(0.6)
        self.assertThat(self.fleet.replies[ticket].status, Equals(504))
        not_run = ForwardAnswer(sent.call.attempt_id, NOT_RUN, str(ErrorKind.UNREACHABLE))
        self.fleet.feed("s-1", ForwardAnswered(sent.number, not_run))
        again = self.fleet.ask("/pay/x", key="k", ingress="s-3")
        self.fleet.finish(body=b"paid")
        self.assertThat((self.fleet.replies[again].body, len(self.fleet.sent(RunOnServer))), Equals((b"paid", 1)))

    def test_never_arrived_counts_only_until_the_deadline(self) -> None:
        """After the deadline the target may have forgotten attempts that arrived."""
        ticket, sent, follow = self.broken("/pay/x", key="k", budget=0.5)
        count = len(self.fleet.sent(ForwardRequest))
        not_run = ForwardAnswer(sent.call.attempt_id, NOT_RUN, str(ErrorKind.UNREACHABLE))
        # No tick occurred meanwhile: this process was frozen.
        self.fleet.timestamp += SECOND
        self.fleet.feed("s-1", Followed(follow.number, not_run))
        self.assertThat((self.fleet.replies[ticket].status, len(self.fleet.sent(ForwardRequest))), Equals((504, count)))
        again = self.fleet.ask("/pay/x", key="k", ingress="s-3")
        self.assertThat(self.fleet.replies[again].status, Equals(503))
        ticket, sent, follow = self.broken("/pay/x", key="other", budget=0.5)
        self.fleet.pass_time(0.6)
        self.fleet.feed("s-1", Followed(follow.number, not_run._replace(attempt_id=sent.call.attempt_id)))
        again = self.fleet.ask("/pay/x", key="other", ingress="s-3")
        self.assertThat(self.fleet.replies[again].status, Equals(503))


class NothingUnderWay(Case):
    """Guards against 409s for keys with nothing in flight: as a sidecar froze, its claims stayed "working" forever."""

    def repeat(self, key: str = "k") -> int:
        """Repeat the request with this key at another sidecar; return the status."""
        return self.fleet.replies[self.fleet.ask("/pay/x", key=key, ingress="s-3")].status

    def between_follow_calls(self, path: str = "/pay/x", **needs: Any) -> int:
        """Send a request whose last follow call got no answer; the next one is due later."""
        ticket, _, follow = self.broken(path, **needs)
        self.fleet.feed("s-1", Followed(follow.number, None))
        return ticket

    def test_a_key_whose_last_follow_call_ends_at_its_deadline_is_not_in_progress(self) -> None:
        ticket, _, follow = self.broken("/pay/x", key="k", budget=0.5)
        # The follow call times out at the request's deadline, just before the tick that expires the request.
        self.fleet.timestamp += timedelta(seconds=0.5)
        self.fleet.feed("s-1", Followed(follow.number, None))
        self.fleet.pass_time(0.02)
        self.assertThat((self.fleet.replies[ticket].status, self.repeat()), Equals((504, 503)))

    def test_a_key_whose_deadline_passes_between_follow_calls_is_not_in_progress(self) -> None:
        ticket = self.between_follow_calls(key="k", budget=0.05)
        self.fleet.pass_time(0.06)
        self.assertThat((len(self.fleet.sent(Follow)), self.fleet.replies[ticket].status), Equals((1, 504)))
        self.assertThat(self.repeat(), Equals(503))

    def test_a_key_whose_sidecar_exits_between_follow_calls_is_not_in_progress(self) -> None:
        ticket = self.between_follow_calls(key="k")
        self.fleet.feed("s-1", StopRequested())
        self.fleet.feed("s-1", CloseRequested())
        self.fleet.feed("s-1", GraceExpired())
        self.assertThat((self.fleet.replies[ticket].status, self.repeat()), Equals((502, 503)))

    def test_a_keyed_request_is_followed_until_its_deadline_though_its_client_left(self) -> None:
        ticket = self.between_follow_calls(key="k", budget=0.5)
        self.fleet.disconnect(ticket)
        self.assertThat(self.repeat(), Equals(409))
        self.fleet.pass_time(0.6)
        follow_calls = self.fleet.sent(Follow)
        self.assertThat((len(follow_calls), self.repeat()), Equals((2, 409)))
        self.fleet.feed("s-1", Followed(follow_calls[-1].number, None))
        self.assertThat(self.repeat(), Equals(503))

    def test_a_non_idempotent_request_is_followed_though_its_client_left(self) -> None:
        ticket = self.between_follow_calls("/post/x")
        self.fleet.disconnect(ticket)
        self.fleet.pass_time(0.15)
        self.assertThat(len(self.fleet.sent(Follow)), Equals(2))

    def test_the_end_of_a_followed_request_reduces_the_load_once(self) -> None:
        """The attempt ended when its connection broke: another one that is in flight there still counts as load."""
        self.fleet.ask("/pack/other")
        load = self.fleet.cores["s-1"].ingress.servers.load_of("s-2")
        self.broken("/pay/x", key="k", budget=0.5)
        self.assertThat(load.in_flight, Equals(1))
        self.fleet.pass_time(0.6)
        self.assertThat(load.in_flight, Equals(1))


class AttemptMemory(TestCase):
    def test_expired_attempts_are_forgotten(self) -> None:
        received = ReceivedAttempts()
        for number in range(100):
            self.assertThat(
                received.receive(f"a.b.{number}", deadline=SECOND * (number + 1), now=SECOND * number), Equals(True)
            )
        self.assertThat(len(received.attempts) <= 4, Equals(True))

    def test_after_forgetting_attempts_early_it_bars_none_until_they_expire(self) -> None:
        self.patch(modules, "MAX_ATTEMPTS", 3)
        received = ReceivedAttempts()
        for number in range(4):
            received.receive(f"a.b.{number}", deadline=SECOND * 5, now=SECOND)
        self.assertThat(received.bar("a.b.0", now=SECOND * 2), Equals(False))
        self.assertThat(received.bar("never", now=SECOND * 2), Equals(False))
        self.assertThat(received.bar("later", now=SECOND * 8), Equals(True))

    def test_a_full_table_bars_no_more_attempts(self) -> None:
        self.patch(modules, "MAX_ATTEMPTS", 3)
        received = ReceivedAttempts()
        barred = [received.bar(f"a.b.{number}", now=SECOND) for number in range(4)]
        self.assertThat(barred, Equals([True, True, True, False]))
        for number in range(3):
            self.assertThat(received.receive(f"a.b.{number}", deadline=SECOND * 5, now=SECOND * 2), Equals(False))

    def test_kept_answers_are_limited_in_bytes(self) -> None:
        self.patch(modules, "MAX_ANSWER_BYTES", 100)
        received = ReceivedAttempts()
        for number in range(5):
            received.answered(ForwardAnswer(f"a.b.{number}", ANSWERED, "", 200, b"", b"x" * 40), now=SECOND)
        self.assertThat((len(received.answers), received.answer_bytes), Equals((2, 80)))

    def test_in_any_order_an_attempt_is_admitted_or_barred_and_never_both(self) -> None:
        """The ingress follows an attempt before its deadline; data in a socket buffer may arrive at any time later."""
        for seed in range(30):
            random_source = random.Random(seed)
            self.patch(modules, "MAX_ATTEMPTS", 20)
            received, timestamp = ReceivedAttempts(), timedelta()
            ends: dict[str, timedelta] = {}
            unread: set[str] = set()
            ran: set[str] = set()
            refused: set[str] = set()
            for number in range(600):
                timestamp += timedelta(seconds=random_source.choice((0.0, 0.02, 0.2)))
                match random_source.choice(("written", "read", "asked")):
                    case "written":
                        ends[f"a.b.{number}"] = timestamp + SECOND * random_source.choice((0.3, 1, 3))
                        unread.add(f"a.b.{number}")
                    case "read" if unread:
                        send = random_source.choice(sorted(unread))
                        unread.discard(send)
                        # The call still carries the budget that it had when it was written.
                        if received.receive(send, deadline=timestamp + SECOND * 3, now=timestamp):
                            ran.add(send)
                    case "asked" if alive := [send for send, end in ends.items() if timestamp < end]:
                        send = random_source.choice(alive)
                        if received.bar(send, now=timestamp):
                            refused.add(send)
                self.assertThat(ran & refused, Equals(set()), f"seed {seed}")
            self.assertThat((len(ran) > 50, len(refused) > 5), Equals((True, True)), f"{len(ran)} {len(refused)}")
