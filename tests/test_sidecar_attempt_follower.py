"""What a target's sidecar reports of an attempt whose connection broke, and what the ingress makes of it."""

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
    """s-1 is the ingress, s-2 the target; the test plays the connection between them."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench("s-1", "s-2", "s-3")
        self.target = self.fleet.cores["s-2"]
        servers = {name: each for name, each in self.fleet.view.servers.items() if name == "s-2"}
        life = self.target.settings.incarnation
        nodes = {name: each._replace(incarnation=life) for name, each in self.fleet.view.nodes.items()}
        self.both = {name: each for name, each in self.fleet.view.servers.items() if name != "s-1"}
        self.fleet.show(self.fleet.view._replace(servers=servers, nodes=nodes))

    def broken(self, path: str = "/pack/x", **needs: Any) -> tuple[int, ForwardRequest, Follow]:
        """A request whose connection broke before anything came back."""
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
    def test_one_that_runs_is_answered_to_both_when_it_ends(self) -> None:
        _, sent, follow = self.broken()
        first = self.arrive(sent.call)
        asked = self.arrive(follow.call)
        self.assertThat((self.answer(first), self.answer(asked)), Equals((None, None)))
        self.fleet.finish(body=b"done")
        self.assertThat(self.answer(asked), Equals(self.answer(first)))
        self.assertThat((self.outcome(asked), len(self.fleet.sent(RunOnServer))), Equals((ANSWERED, 1)))

    def test_one_that_waits_in_its_line_is_waited_for(self) -> None:
        self.fleet.health("s-2", room=1)
        self.arrive(self.broken()[1].call)
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        asked = self.arrive(follow.call)
        self.fleet.finish()
        self.assertThat(self.answer(asked), Equals(None))
        self.fleet.finish()
        self.assertThat(self.outcome(asked), Equals(ANSWERED))

    def test_one_that_ended_is_answered_again_for_a_while_and_then_unknown(self) -> None:
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        self.fleet.finish(body=b"done")
        self.assertThat(self.answer(self.arrive(follow.call)).body, Equals(b"done"))
        self.fleet.pass_time(ANSWER_RETENTION.total_seconds() + 0.1)
        # What is over goes with the next that ends.
        self.arrive(sent.call._replace(attempt_id="another.life.1"))
        self.fleet.finish()
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(UNKNOWN))

    def test_one_that_never_came_is_shut_out_by_the_asking(self) -> None:
        _, sent, follow = self.broken()
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(NOT_RUN))
        self.assertThat(self.outcome(self.arrive(sent.call)), Equals(NOT_RUN))
        self.assertThat((self.fleet.sent(RunOnServer), self.outcome(self.arrive(follow.call))), Equals(([], NOT_RUN)))

    def test_another_life_cannot_know(self) -> None:
        _, _, follow = self.broken()
        self.assertThat(self.outcome(self.arrive(follow.call._replace(incarnation="former"))), Equals(UNKNOWN))

    def test_a_call_that_comes_twice_runs_once(self) -> None:
        _, sent, _ = self.broken()
        first, second = self.arrive(sent.call), self.arrive(sent.call)
        self.fleet.finish()
        third = self.arrive(sent.call)
        self.assertThat([self.outcome(each) for each in (first, second, third)], Equals([ANSWERED] * 3))
        self.assertThat(len(self.fleet.sent(RunOnServer)), Equals(1))

    def test_one_that_was_turned_away_is_told_so_again(self) -> None:
        self.fleet.health("s-2", state="gone")
        _, sent, follow = self.broken()
        self.arrive(sent.call)
        self.assertThat(self.outcome(self.arrive(follow.call)), Equals(NOT_RUN))


class IngressFollows(Case):
    def test_only_what_may_not_be_repeated_is_followed(self) -> None:
        self.fleet.silent = {"s-2"}
        self.fleet.ask("/read/x")
        self.fleet.feed("s-1", ForwardFailed(self.fleet.sent(ForwardRequest)[-1].number, False))
        self.assertThat(self.fleet.sent(Follow), Equals([]))

    def test_its_answer_is_the_requests(self) -> None:
        ticket, sent, follow = self.broken()
        answer = ForwardAnswer(sent.call.attempt_id, ANSWERED, "", 200, b"", b"done")
        self.fleet.feed("s-1", Followed(follow.number, answer))
        self.assertThat(self.fleet.replies[ticket].body, Equals(b"done"))

    def test_an_answer_to_another_attempt_is_no_answer(self) -> None:
        ticket, _, follow = self.broken()
        self.fleet.feed("s-1", Followed(follow.number, ForwardAnswer("another", ANSWERED, "", 200, b"", b"not mine")))
        self.assertThat(self.fleet.replies[ticket].status, Equals(502))

    def test_what_surely_ran_nowhere_goes_on_and_else_is_refused_with_when_to_come_back(self) -> None:
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

    def test_what_nobody_knows_is_unknown_and_never_sent_again(self) -> None:
        for answer, refused in ((ForwardAnswer("", UNKNOWN, str(ErrorKind.SILENT)), False), (None, True)):
            ticket, sent, follow = self.broken()
            count = len(self.fleet.sent(ForwardRequest))
            if answer is not None:
                answer = answer._replace(attempt_id=sent.call.attempt_id)
            self.fleet.feed("s-1", Followed(follow.number, answer, refused))
            self.assertThat(
                (self.fleet.replies[ticket].status, len(self.fleet.sent(ForwardRequest))), Equals((502, count))
            )

    def test_silence_is_asked_again_until_the_time_is_over(self) -> None:
        ticket, _, follow = self.broken(budget=1.0)
        self.fleet.feed("s-1", Followed(follow.number, None))
        self.assertThat(ticket in self.fleet.replies, Equals(False))
        self.fleet.pass_time(0.2)
        self.assertThat(len(self.fleet.sent(Follow)), Equals(2))
        self.fleet.pass_time(1.0)
        self.assertThat(self.fleet.replies[ticket].status, Equals(504))

    def test_a_keys_end_that_is_told_late_is_kept_for_its_repeats(self) -> None:
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

    def test_a_key_whose_attempt_was_turned_away_late_is_free(self) -> None:
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

    def test_that_it_never_came_counts_only_within_its_time(self) -> None:
        """Past it the target has forgotten what came."""
        ticket, sent, follow = self.broken("/pay/x", key="k", budget=0.5)
        count = len(self.fleet.sent(ForwardRequest))
        not_run = ForwardAnswer(sent.call.attempt_id, NOT_RUN, str(ErrorKind.UNREACHABLE))
        # No tick came since: this process stood still.
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
    """Guards against 409s for keys with nothing under way: as a sidecar froze, its keys stayed "working" for good."""

    def repeat(self, key: str = "k") -> int:
        """Send the key again at another sidecar; return the status."""
        return self.fleet.replies[self.fleet.ask("/pay/x", key=key, ingress="s-3")].status

    def between_questions(self, path: str = "/pay/x", **needs: Any) -> int:
        """A request whose last question ended without an answer: the next one is due later."""
        ticket, _, follow = self.broken(path, **needs)
        self.fleet.feed("s-1", Followed(follow.number, None))
        return ticket

    def test_a_key_whose_last_question_ends_with_its_time_is_not_at_work(self) -> None:
        ticket, _, follow = self.broken("/pay/x", key="k", budget=0.5)
        # The question has the rest of the request's time, and ends just before the tick that expires the request.
        self.fleet.timestamp += timedelta(seconds=0.5)
        self.fleet.feed("s-1", Followed(follow.number, None))
        self.fleet.pass_time(0.02)
        self.assertThat((self.fleet.replies[ticket].status, self.repeat()), Equals((504, 503)))

    def test_a_key_whose_time_ends_between_two_questions_is_not_at_work(self) -> None:
        ticket = self.between_questions(key="k", budget=0.05)
        self.fleet.pass_time(0.06)
        self.assertThat((len(self.fleet.sent(Follow)), self.fleet.replies[ticket].status), Equals((1, 504)))
        self.assertThat(self.repeat(), Equals(503))

    def test_a_key_whose_sidecar_ends_between_two_questions_is_not_at_work(self) -> None:
        ticket = self.between_questions(key="k")
        self.fleet.feed("s-1", StopRequested())
        self.fleet.feed("s-1", CloseRequested())
        self.fleet.feed("s-1", GraceExpired())
        self.assertThat((self.fleet.replies[ticket].status, self.repeat()), Equals((502, 503)))

    def test_a_key_whose_client_leaves_between_two_questions_is_asked_after_until_its_end(self) -> None:
        ticket = self.between_questions(key="k", budget=0.5)
        self.fleet.disconnect(ticket)
        self.assertThat(self.repeat(), Equals(409))
        self.fleet.pass_time(0.6)
        questions = self.fleet.sent(Follow)
        self.assertThat((len(questions), self.repeat()), Equals((2, 409)))
        self.fleet.feed("s-1", Followed(questions[-1].number, None))
        self.assertThat(self.repeat(), Equals(503))

    def test_what_may_not_be_repeated_is_asked_after_though_its_client_left_between_two_questions(self) -> None:
        ticket = self.between_questions("/post/x")
        self.fleet.disconnect(ticket)
        self.fleet.pass_time(0.15)
        self.assertThat(len(self.fleet.sent(Follow)), Equals(2))

    def test_a_request_that_ends_while_it_is_asked_after_is_counted_as_over_once(self) -> None:
        """Its attempt was over when its connection broke: another one under way there still counts as load."""
        self.fleet.ask("/pack/other")
        load = self.fleet.cores["s-1"].ingress.servers.load_of("s-2")
        self.broken("/pay/x", key="k", budget=0.5)
        self.assertThat(load.in_flight, Equals(1))
        self.fleet.pass_time(0.6)
        self.assertThat(load.in_flight, Equals(1))


class AttemptMemory(TestCase):
    def test_what_is_long_over_is_forgotten(self) -> None:
        taken = ReceivedAttempts()
        for number in range(100):
            self.assertThat(
                taken.receive(f"a.b.{number}", deadline=SECOND * (number + 1), now=SECOND * number), Equals(True)
            )
        self.assertThat(len(taken.attempts) <= 4, Equals(True))

    def test_beyond_its_bound_it_knows_that_it_does_not_know(self) -> None:
        self.patch(modules, "MAX_ATTEMPTS", 3)
        taken = ReceivedAttempts()
        for number in range(4):
            taken.receive(f"a.b.{number}", deadline=SECOND * 5, now=SECOND)
        self.assertThat(taken.bar("a.b.0", now=SECOND * 2), Equals(False))
        self.assertThat(taken.bar("never", now=SECOND * 2), Equals(False))
        self.assertThat(taken.bar("later", now=SECOND * 8), Equals(True))

    def test_it_promises_no_more_than_it_can_keep(self) -> None:
        self.patch(modules, "MAX_ATTEMPTS", 3)
        taken = ReceivedAttempts()
        told = [taken.bar(f"a.b.{number}", now=SECOND) for number in range(4)]
        self.assertThat(told, Equals([True, True, True, False]))
        for number in range(3):
            self.assertThat(taken.receive(f"a.b.{number}", deadline=SECOND * 5, now=SECOND * 2), Equals(False))

    def test_kept_answers_are_bounded_by_their_bytes(self) -> None:
        self.patch(modules, "MAX_ANSWER_BYTES", 100)
        taken = ReceivedAttempts()
        for number in range(5):
            taken.answered(ForwardAnswer(f"a.b.{number}", ANSWERED, "", 200, b"", b"x" * 40), now=SECOND)
        self.assertThat((len(taken.answers), taken.answer_bytes), Equals((2, 80)))

    def test_in_any_order_an_attempt_is_let_in_or_shut_out_and_never_both(self) -> None:
        """Its entry asks for it within its time; what a socket held may come at any moment after it was written."""
        for seed in range(30):
            dice = random.Random(seed)
            self.patch(modules, "MAX_ATTEMPTS", 20)
            taken, timestamp = ReceivedAttempts(), timedelta()
            ends: dict[str, timedelta] = {}
            unread: set[str] = set()
            ran: set[str] = set()
            refused: set[str] = set()
            for number in range(600):
                timestamp += timedelta(seconds=dice.choice((0.0, 0.02, 0.2)))
                match dice.choice(("written", "read", "asked")):
                    case "written":
                        ends[f"a.b.{number}"] = timestamp + SECOND * dice.choice((0.3, 1, 3))
                        unread.add(f"a.b.{number}")
                    case "read" if unread:
                        send = dice.choice(sorted(unread))
                        unread.discard(send)
                        # Its own words still say what it had as it was written.
                        if taken.receive(send, deadline=timestamp + SECOND * 3, now=timestamp):
                            ran.add(send)
                    case "asked" if alive := [send for send, end in ends.items() if timestamp < end]:
                        send = dice.choice(alive)
                        if taken.bar(send, now=timestamp):
                            refused.add(send)
                self.assertThat(ran & refused, Equals(set()), f"seed {seed}")
            self.assertThat((len(ran) > 50, len(refused) > 5), Equals((True, True)), f"{len(ran)} {len(refused)}")
