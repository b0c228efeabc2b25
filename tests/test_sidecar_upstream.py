"""A sidecar's upstream side: what its server works on, what is queued, and what is rejected at once."""

import random
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, UNKNOWN, StopRequested
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.latency import LatencyEstimate
from hoistsaddle.sidecar.messages import AnswerForward, RunOnServer
from hoistsaddle.statemachine.state import GONE, READY, WINDING_DOWN
from sidecar_bench import SidecarBench, latency_of

NAME = "s-1"


class Upstream(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench(NAME, room=2)
        self.core = self.fleet.cores[NAME]
        self.count = 0

    def pending(self, *, budget: float = 3.0, aim: float = 3.0, rank: int = 1, **changes: Any) -> int:
        self.count += 1
        call = ForwardCall(
            attempt_id=f"send-{self.count}",
            service_name="ledger",
            target=NAME,
            instance=f"i-{NAME}",
            budget=timedelta(seconds=budget),
            latency_target=timedelta(seconds=aim),
            rank=rank,
            route="read",
            method="GET",
            path=b"/read/x",
            headers=b"",
            body=b"",
            caller="ledger",
            client_attempt_id="try",
        )
        return self.fleet.arrive(NAME, call._replace(**changes))

    def told(self, ticket: int) -> ForwardAnswer | None:
        return self.fleet.answers.get(ticket)

    def refused(self, ticket: int) -> str:
        answer = self.told(ticket)
        self.assertThat((answer is not None, answer and answer.outcome), Equals((True, NOT_RUN)))
        return answer.error

    def learn(self, seconds: float) -> None:
        """Runs of the entry take this long here."""
        for _ in range(3):
            self.pending()
            self.fleet.pass_time(seconds)
            self.fleet.finish()
        self.core.upstream.latencies.by_route["read"] = latency_of(seconds)
        self.fleet.commands.clear()

    def started(self) -> list[str]:
        return [serve.call.attempt_id for serve in self.fleet.sent(RunOnServer)]

    def test_the_server_works_on_so_many_at_a_time(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        tickets = [self.pending() for _ in range(5)]
        self.assertThat(len(self.fleet.runs), Equals(2))
        for left in (2, 2, 2, 1, 0):
            self.fleet.finish()
            self.assertThat(len(self.fleet.runs), Equals(left))
        self.assertThat([self.told(ticket).outcome for ticket in tickets], Equals([ANSWERED] * 5))

    def test_more_room_is_used_as_soon_as_the_server_tells_of_it(self) -> None:
        for _ in range(5):
            self.pending()
        self.fleet.health(NAME, room=4)
        self.assertThat(len(self.fleet.runs), Equals(4))
        # Less room stops nothing that runs, and starts nothing.
        self.fleet.health(NAME, room=1)
        self.fleet.finish()
        self.assertThat(len(self.fleet.runs), Equals(3))

    def test_what_waits_goes_by_rank_and_then_by_when_it_is_due(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        self.pending()
        self.pending()
        for rank, aim in ((2, 2.0), (0, 3.0), (1, 1.5), (0, 2.5), (1, 1.0)):
            self.pending(rank=rank, aim=aim)
        for _ in range(7):
            self.fleet.finish()
        self.assertThat(self.started(), Equals([f"send-{number}" for number in (1, 2, 6, 4, 7, 5, 3)]))

    def test_what_cannot_be_done_in_time_is_refused_at_once(self) -> None:
        self.learn(0.4)
        self.pending()
        self.pending()
        # Starts in some 0.4 s and takes 0.4 s.
        early = self.pending(aim=0.5)
        self.assertThat(self.refused(early), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.told(self.pending(aim=1.0)), Equals(None))
        self.assertThat(self.told(self.pending(aim=1.0)), Equals(None))
        # One of a higher rank passes those that wait, and only runs are before it.
        self.assertThat(self.refused(self.pending(aim=1.0)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.told(self.pending(aim=0.9, rank=0)), Equals(None))

    def test_a_free_server_is_tried_even_if_it_is_usually_late(self) -> None:
        self.learn(2.0)
        self.assertThat(self.told(self.pending(aim=0.2, budget=3.0)), Equals(None))
        self.assertThat(len(self.fleet.runs), Equals(1))

    def test_what_waited_in_vain_is_told_so_while_it_waits(self) -> None:
        self.learn(0.4)
        self.pending(budget=9)
        self.pending(budget=9)
        waiting = self.pending(budget=1.2)
        # The runs take far longer than usual: half a usual run before its deadline it is too late.
        self.fleet.pass_time(0.9)
        self.assertThat(self.told(waiting), Equals(None))
        self.fleet.pass_time(0.15)
        self.assertThat(self.refused(waiting), Equals(ErrorKind.BUDGET_SPENT))
        self.fleet.finish()
        self.assertThat(len(self.started()), Equals(2))

    def test_what_most_runs_keep_within_must_fit(self) -> None:
        """Admitted by the mean alone, half of a full line would be late."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4, deviation=0.15)
        self.pending()
        self.pending()
        # Starts in 0.4 s and is mostly done within 0.15 s more than the usual 0.4.
        self.assertThat(self.refused(self.pending(aim=0.9)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.told(self.pending(aim=1.0)), Equals(None))

    def test_a_short_wait_turns_nobody_away(self) -> None:
        """A slow server takes one that will probably be late rather than stand idle between two arrivals."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4, deviation=0.2)
        self.pending()
        self.pending()
        self.fleet.pass_time(0.25)
        self.assertThat(self.refused(self.pending(aim=0.5)), Equals(ErrorKind.QUEUE_FULL))
        self.fleet.pass_time(0.1)
        self.assertThat(self.told(self.pending(aim=0.5)), Equals(None))

    def test_a_run_far_shorter_than_usual_may_use_its_budget(self) -> None:
        """It is another server's call: turned away, it costs that server's whole run."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4)
        self.core.upstream.latencies.by_route["peek"] = latency_of(0.04)
        self.core.upstream.latencies.overall.mean = timedelta(seconds=0.3)
        self.pending()
        self.pending()
        self.assertThat(self.told(self.pending(route="peek", aim=0.1, budget=0.6)), Equals(None))
        self.assertThat(self.refused(self.pending(route="peek", aim=0.1, budget=0.5)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.refused(self.pending(aim=0.6, budget=9)), Equals(ErrorKind.QUEUE_FULL))

    def test_an_unknown_pace_is_taken_from_the_aim(self) -> None:
        self.assertThat([self.told(self.pending(aim=1.0)) for _ in range(4)], Equals([None] * 4))
        self.assertThat(self.refused(self.pending(aim=1.0)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.told(self.pending(aim=2.0)), Equals(None))

    def test_a_pace_is_learnt_from_few_runs_and_then_slowly(self) -> None:
        estimate = LatencyEstimate()
        for seconds in (0.1, 0.3):
            estimate.learn(timedelta(seconds=seconds))
        self.assertThat(estimate.mean, Equals(timedelta(seconds=0.2)))
        for _ in range(18):
            estimate.learn(timedelta(seconds=0.2))
        estimate.learn(timedelta(seconds=1.2))
        self.assertThat(estimate.mean, Equals(timedelta(seconds=0.3)))

    def test_the_line_is_bounded(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        tickets = [self.pending(budget=900, aim=900) for _ in range(60)]
        self.assertThat(self.core.upstream.load(), Equals(52))
        self.assertThat(self.refused(tickets[-1]), Equals(ErrorKind.QUEUE_FULL))

    def test_only_its_own_server_gets_work_and_only_under_its_newest_life(self) -> None:
        for changes, kind in (
            ({"instance": "i-former"}, ErrorKind.WRONG_INSTANCE),
            ({"service_name": "portal"}, ErrorKind.WRONG_INSTANCE),
            ({"target": "s-9"}, ErrorKind.WRONG_INSTANCE),
            ({"budget": 0.0}, ErrorKind.BUDGET_SPENT),
        ):
            self.assertThat(self.refused(self.pending(**changes)), Equals(kind))
        self.assertThat(self.fleet.sent(RunOnServer), Equals([]))

    def test_a_silent_servers_work_is_refused(self) -> None:
        self.fleet.pass_time(5.5, heartbeats=False)
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))
        self.fleet.health(NAME)
        self.assertThat(self.told(self.pending()), Equals(None))

    def test_what_waits_for_a_former_life_is_not_given_to_the_next(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending()
        self.fleet.health(NAME, instance="i-next")
        self.assertThat(self.refused(waiting), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.lose()
        self.fleet.lose()
        self.assertThat(len(self.started()), Equals(2))

    def test_a_server_that_leaves_gets_nothing_new_and_nothing_after_its_span(self) -> None:
        self.pending(budget=9, aim=9)
        self.pending(budget=9, aim=9)
        soon, late = self.pending(budget=9, aim=9), self.pending(budget=9, aim=9)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.pass_time(1.0)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.fleet.finish()
        # What it had promised goes on while it serves.
        self.assertThat((len(self.started()), self.told(soon)), Equals((3, None)))
        self.fleet.pass_time(0.6)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.fleet.finish()
        self.assertThat(self.refused(late), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.pass_time(2.0)
        self.assertThat(len(self.started()), Equals(3))

    def test_a_server_that_has_left_gets_nothing_at_all(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending()
        self.fleet.health(NAME, state=GONE)
        self.fleet.pass_time(0.1)
        self.assertThat(self.refused(waiting), Equals(ErrorKind.WINDING_DOWN))
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))

    def test_a_stopping_proxy_still_ends_what_it_took(self) -> None:
        self.fleet.feed(NAME, StopRequested())
        self.assertThat(self.core.idle(), Equals(True))
        ticket = self.pending()
        self.assertThat(self.core.idle(), Equals(False))
        self.fleet.finish()
        self.assertThat((self.told(ticket).outcome, self.core.idle()), Equals((ANSWERED, True)))

    def test_how_it_ended_is_told_for_what_it_is(self) -> None:
        full = self.pending()
        self.fleet.finish(status=503, not_run=True)
        self.assertThat(self.refused(full), Equals(ErrorKind.SERVER_FULL))
        failed = self.pending()
        self.fleet.finish(status=500, body=b"sorry")
        self.assertThat(self.told(failed)[1:6], Equals((ANSWERED, "", 500, b"", b"sorry")))
        lost = self.pending()
        self.fleet.lose()
        self.assertThat((self.told(lost).outcome, self.told(lost).error), Equals((UNKNOWN, ErrorKind.SILENT)))

    def test_a_server_that_takes_no_connection_ran_nothing_and_counts_as_gone(self) -> None:
        ticket = self.pending()
        self.fleet.lose(unsent=True)
        self.assertThat(self.refused(ticket), Equals(ErrorKind.NO_SERVER))
        self.assertThat(self.core.server_state(), Equals(GONE))
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))

    def test_a_failed_connection_to_a_former_life_says_nothing_of_the_next(self) -> None:
        self.pending()
        self.fleet.health(NAME, instance="i-next")
        self.fleet.lose(unsent=True)
        self.assertThat(self.core.server_state(), Equals(READY))

    def test_each_answer_says_how_much_is_there(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending(budget=9, aim=9)
        self.fleet.finish()
        first = self.fleet.sent(AnswerForward)[0].answer
        self.assertThat((first.load, first.capacity), Equals((2, 2)))
        self.fleet.pass_time(0.1)
        self.fleet.finish()
        self.fleet.finish()
        self.assertThat(self.told(waiting).run_time, Equals(timedelta(milliseconds=100)))

    def test_own_failures_and_refusals_teach_nothing_of_its_pace(self) -> None:
        self.learn(0.4)
        for status, not_run in ((500, False), (503, True)):
            self.pending()
            self.fleet.finish(status=status, not_run=not_run)
        self.assertThat(self.core.upstream.latencies.by_route["read"].mean, Equals(timedelta(seconds=0.4)))

    def test_any_history_keeps_the_promises(self) -> None:
        """Whatever comes, in whatever order: capacity, one answer each, and nothing run after "not run"."""
        for seed in range(25):
            dice = random.Random(seed)
            self.fleet = SidecarBench(NAME, room=3, seed=seed)
            self.core, room = self.fleet.cores[NAME], 3
            tickets = []
            for _ in range(400):
                most = max(room, len(self.fleet.runs))
                match dice.choices(["deal", "finish", "lose", "time", "room", "leave"], weights=[40, 25, 5, 25, 2, 2])[
                    0
                ]:
                    case "deal":
                        budget = dice.choice((0.0, 0.05, 0.3, 1.0, 3.0))
                        tickets.append(self.pending(budget=budget, aim=budget / 2, rank=dice.randrange(3)))
                    case "finish" if self.fleet.runs:
                        self.fleet.finish(not_run=dice.random() < 0.1)
                    case "lose" if self.fleet.runs:
                        self.fleet.lose()
                    case "time":
                        self.fleet.pass_time(dice.choice((0.02, 0.1, 0.4)))
                    case "room":
                        room = dice.randint(1, 4)
                        most = max(room, len(self.fleet.runs))
                        self.fleet.health(NAME, room=room)
                    case "leave":
                        self.fleet.health(NAME, state=WINDING_DOWN, room=room)
                        self.fleet.pass_time(0.1)
                        self.fleet.health(NAME, room=room)
                self.assertThat(len(self.fleet.runs) <= most, Equals(True), str(seed))
            while self.fleet.runs:
                self.fleet.finish()
            self.fleet.pass_time(4)
            while self.fleet.runs:
                self.fleet.finish()
            # The bench itself refuses a second answer.
            self.assertThat([ticket for ticket in tickets if ticket not in self.fleet.answers], Equals([]))
            place = {}
            for number, (_, command) in enumerate(self.fleet.commands):
                match command:
                    case RunOnServer(call=call):
                        self.assertThat(
                            call.attempt_id in place, Equals(False), f"{call.attempt_id} ran after its answer"
                        )
                    case AnswerForward(answer=answer):
                        place[answer.attempt_id] = number
            self.assertThat(len(place), GreaterThan(100))
