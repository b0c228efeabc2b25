"""A sidecar's upstream side: which requests run on its server, which are queued, and which are rejected at once."""

import random
import tracemalloc
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, UNKNOWN, StopRequested
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.latency import LatencyEstimate
from hoistsaddle.sidecar.messages import AnswerForward, RunOnServer
from hoistsaddle.statemachine.state import GONE, READY, WINDING_DOWN
from sidecar_bench import SidecarBench, latency_of
from sidecar_stack import SidecarStack
from stepped_clock import run_stepped

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

    def answer_of(self, ticket: int) -> ForwardAnswer | None:
        return self.fleet.answers.get(ticket)

    def refused(self, ticket: int) -> str:
        answer = self.answer_of(ticket)
        self.assertThat((answer is not None, answer and answer.outcome), Equals((True, NOT_RUN)))
        return answer.error

    def learn(self, seconds: float) -> None:
        """Run the route a few times with this run time, so that it is the expected one."""
        for _ in range(3):
            self.pending()
            self.fleet.pass_time(seconds)
            self.fleet.finish()
        self.core.upstream.latencies.by_route["read"] = latency_of(seconds)
        self.fleet.commands.clear()

    def started(self) -> list[str]:
        return [serve.call.attempt_id for serve in self.fleet.sent(RunOnServer)]

    def test_the_server_runs_as_many_requests_as_its_capacity(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        tickets = [self.pending() for _ in range(5)]
        self.assertThat(len(self.fleet.runs), Equals(2))
        for left in (2, 2, 2, 1, 0):
            self.fleet.finish()
            self.assertThat(len(self.fleet.runs), Equals(left))
        self.assertThat([self.answer_of(ticket).outcome for ticket in tickets], Equals([ANSWERED] * 5))

    def test_more_capacity_is_used_as_soon_as_it_is_reported(self) -> None:
        for _ in range(5):
            self.pending()
        self.fleet.health(NAME, room=4)
        self.assertThat(len(self.fleet.runs), Equals(4))
        # A lower capacity stops no running request, and starts none.
        self.fleet.health(NAME, room=1)
        self.fleet.finish()
        self.assertThat(len(self.fleet.runs), Equals(3))

    def test_the_queue_is_ordered_by_rank_and_then_by_due_time(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        self.pending()
        self.pending()
        for rank, aim in ((2, 2.0), (0, 3.0), (1, 1.5), (0, 2.5), (1, 1.0)):
            self.pending(rank=rank, aim=aim)
        for _ in range(7):
            self.fleet.finish()
        self.assertThat(self.started(), Equals([f"send-{number}" for number in (1, 2, 6, 4, 7, 5, 3)]))

    def test_a_request_that_cannot_finish_in_time_is_rejected_at_once(self) -> None:
        self.learn(0.4)
        self.pending()
        self.pending()
        # It would start in about 0.4 s and take 0.4 s.
        early = self.pending(aim=0.5)
        self.assertThat(self.refused(early), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.answer_of(self.pending(aim=1.0)), Equals(None))
        self.assertThat(self.answer_of(self.pending(aim=1.0)), Equals(None))
        # A request of a higher rank is queued before the others, and waits only for the running ones.
        self.assertThat(self.refused(self.pending(aim=1.0)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.answer_of(self.pending(aim=0.9, rank=0)), Equals(None))

    def test_a_free_server_is_used_even_if_it_is_expected_to_be_late(self) -> None:
        self.learn(2.0)
        self.assertThat(self.answer_of(self.pending(aim=0.2, budget=3.0)), Equals(None))
        self.assertThat(len(self.fleet.runs), Equals(1))

    def test_a_queued_request_that_would_be_late_is_rejected_before_its_deadline(self) -> None:
        self.learn(0.4)
        self.pending(budget=9)
        self.pending(budget=9)
        waiting = self.pending(budget=1.2)
        # The running requests take longer than expected; half an expected run before its deadline it is rejected.
        self.fleet.pass_time(0.9)
        self.assertThat(self.answer_of(waiting), Equals(None))
        self.fleet.pass_time(0.15)
        self.assertThat(self.refused(waiting), Equals(ErrorKind.BUDGET_SPENT))
        self.fleet.finish()
        self.assertThat(len(self.started()), Equals(2))

    def test_admission_adds_the_deviation_to_the_mean(self) -> None:
        """With admission by the mean alone, half of a full queue would be late."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4, deviation=0.15)
        self.pending()
        self.pending()
        # It would start in 0.4 s, and most runs end within 0.15 s more than the mean of 0.4 s.
        self.assertThat(self.refused(self.pending(aim=0.9)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.answer_of(self.pending(aim=1.0)), Equals(None))

    def test_a_short_wait_causes_no_rejection(self) -> None:
        """A slow server gets a request that will probably be late rather than be idle between two arrivals."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4, deviation=0.2)
        self.pending()
        self.pending()
        self.fleet.pass_time(0.25)
        self.assertThat(self.refused(self.pending(aim=0.5)), Equals(ErrorKind.QUEUE_FULL))
        self.fleet.pass_time(0.1)
        self.assertThat(self.answer_of(self.pending(aim=0.5)), Equals(None))

    def test_a_route_with_short_runs_may_use_its_budget(self) -> None:
        """Such a request is another server's call: if it is rejected, that server's whole run is lost."""
        self.core.upstream.latencies.by_route["read"] = latency_of(0.4)
        self.core.upstream.latencies.by_route["peek"] = latency_of(0.04)
        self.core.upstream.latencies.overall.mean = timedelta(seconds=0.3)
        self.pending()
        self.pending()
        self.assertThat(self.answer_of(self.pending(route="peek", aim=0.1, budget=0.6)), Equals(None))
        self.assertThat(self.refused(self.pending(route="peek", aim=0.1, budget=0.5)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.refused(self.pending(aim=0.6, budget=9)), Equals(ErrorKind.QUEUE_FULL))

    def test_an_unknown_run_time_is_derived_from_the_latency_target(self) -> None:
        self.assertThat([self.answer_of(self.pending(aim=1.0)) for _ in range(4)], Equals([None] * 4))
        self.assertThat(self.refused(self.pending(aim=1.0)), Equals(ErrorKind.QUEUE_FULL))
        self.assertThat(self.answer_of(self.pending(aim=2.0)), Equals(None))

    def test_an_estimate_follows_the_first_runs_quickly_and_later_ones_slowly(self) -> None:
        estimate = LatencyEstimate()
        for seconds in (0.1, 0.3):
            estimate.learn(timedelta(seconds=seconds))
        self.assertThat(estimate.mean, Equals(timedelta(seconds=0.2)))
        for _ in range(18):
            estimate.learn(timedelta(seconds=0.2))
        estimate.learn(timedelta(seconds=1.2))
        self.assertThat(estimate.mean, Equals(timedelta(seconds=0.3)))

    def test_the_queue_is_bounded(self) -> None:
        self.core.upstream.latencies.by_route["read"] = latency_of(0.05)
        tickets = [self.pending(budget=900, aim=900) for _ in range(60)]
        self.assertThat(self.core.upstream.load(), Equals(52))
        self.assertThat(self.refused(tickets[-1]), Equals(ErrorKind.QUEUE_FULL))

    def test_requests_run_only_on_the_local_servers_current_instance(self) -> None:
        for changes, kind in (
            ({"instance": "i-former"}, ErrorKind.WRONG_INSTANCE),
            ({"service_name": "portal"}, ErrorKind.WRONG_INSTANCE),
            ({"target": "s-9"}, ErrorKind.WRONG_INSTANCE),
            ({"budget": 0.0}, ErrorKind.BUDGET_SPENT),
        ):
            self.assertThat(self.refused(self.pending(**changes)), Equals(kind))
        self.assertThat(self.fleet.sent(RunOnServer), Equals([]))

    def test_requests_for_a_silent_server_are_rejected(self) -> None:
        self.fleet.pass_time(5.5, heartbeats=False)
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))
        self.fleet.health(NAME)
        self.assertThat(self.answer_of(self.pending()), Equals(None))

    def test_requests_queued_for_a_former_instance_do_not_run_on_the_next(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending()
        self.fleet.health(NAME, instance="i-next")
        self.assertThat(self.refused(waiting), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.lose()
        self.fleet.lose()
        self.assertThat(len(self.started()), Equals(2))

    def test_a_server_that_winds_down_gets_no_new_requests_and_none_after_the_drain_timeout(self) -> None:
        self.pending(budget=9, aim=9)
        self.pending(budget=9, aim=9)
        soon, late = self.pending(budget=9, aim=9), self.pending(budget=9, aim=9)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.pass_time(1.0)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.fleet.finish()
        # Requests queued before still start while it drains.
        self.assertThat((len(self.started()), self.answer_of(soon)), Equals((3, None)))
        self.fleet.pass_time(0.6)
        self.fleet.health(NAME, state=WINDING_DOWN)
        self.fleet.finish()
        self.assertThat(self.refused(late), Equals(ErrorKind.WINDING_DOWN))
        self.fleet.pass_time(2.0)
        self.assertThat(len(self.started()), Equals(3))

    def test_a_server_that_is_gone_gets_no_requests(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending()
        self.fleet.health(NAME, state=GONE)
        self.fleet.pass_time(0.1)
        self.assertThat(self.refused(waiting), Equals(ErrorKind.WINDING_DOWN))
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))

    def test_a_stopping_sidecar_finishes_accepted_requests(self) -> None:
        self.fleet.feed(NAME, StopRequested())
        self.assertThat(self.core.idle(), Equals(True))
        ticket = self.pending()
        self.assertThat(self.core.idle(), Equals(False))
        self.fleet.finish()
        self.assertThat((self.answer_of(ticket).outcome, self.core.idle()), Equals((ANSWERED, True)))

    def test_each_kind_of_outcome_is_reported(self) -> None:
        full = self.pending()
        self.fleet.finish(status=503, not_run=True)
        self.assertThat(self.refused(full), Equals(ErrorKind.SERVER_FULL))
        failed = self.pending()
        self.fleet.finish(status=500, body=b"sorry")
        self.assertThat(self.answer_of(failed)[1:6], Equals((ANSWERED, "", 500, b"", b"sorry")))
        lost = self.pending()
        self.fleet.lose()
        self.assertThat((self.answer_of(lost).outcome, self.answer_of(lost).error), Equals((UNKNOWN, ErrorKind.SILENT)))

    def test_a_server_that_refuses_connections_has_run_nothing_and_counts_as_gone(self) -> None:
        ticket = self.pending()
        self.fleet.lose(unsent=True)
        self.assertThat(self.refused(ticket), Equals(ErrorKind.NO_SERVER))
        self.assertThat(self.core.server_state(), Equals(GONE))
        self.assertThat(self.refused(self.pending()), Equals(ErrorKind.NO_SERVER))

    def test_a_failed_connection_to_a_former_instance_does_not_affect_the_next(self) -> None:
        self.pending()
        self.fleet.health(NAME, instance="i-next")
        self.fleet.lose(unsent=True)
        self.assertThat(self.core.server_state(), Equals(READY))

    def test_each_answer_reports_load_and_capacity(self) -> None:
        self.pending()
        self.pending()
        waiting = self.pending(budget=9, aim=9)
        self.fleet.finish()
        first = self.fleet.sent(AnswerForward)[0].answer
        self.assertThat((first.load, first.capacity), Equals((2, 2)))
        self.fleet.pass_time(0.1)
        self.fleet.finish()
        self.fleet.finish()
        self.assertThat(self.answer_of(waiting).run_time, Equals(timedelta(milliseconds=100)))

    def test_failures_and_not_run_answers_do_not_change_the_latency_estimate(self) -> None:
        self.learn(0.4)
        for status, not_run in ((500, False), (503, True)):
            self.pending()
            self.fleet.finish(status=status, not_run=not_run)
        self.assertThat(self.core.upstream.latencies.by_route["read"].mean, Equals(timedelta(seconds=0.4)))

    def test_random_histories_keep_the_guarantees(self) -> None:
        """In any order of events the capacity is kept, each call gets one answer, and none runs after "not run"."""
        for seed in range(25):
            random_source = random.Random(seed)
            self.fleet = SidecarBench(NAME, room=3, seed=seed)
            self.core, room = self.fleet.cores[NAME], 3
            tickets = []
            for _ in range(400):
                most = max(room, len(self.fleet.runs))
                match random_source.choices(
                    ["deal", "finish", "lose", "time", "room", "leave"], weights=[40, 25, 5, 25, 2, 2]
                )[0]:
                    case "deal":
                        budget = random_source.choice((0.0, 0.05, 0.3, 1.0, 3.0))
                        tickets.append(self.pending(budget=budget, aim=budget / 2, rank=random_source.randrange(3)))
                    case "finish" if self.fleet.runs:
                        self.fleet.finish(not_run=random_source.random() < 0.1)
                    case "lose" if self.fleet.runs:
                        self.fleet.lose()
                    case "time":
                        self.fleet.pass_time(random_source.choice((0.02, 0.1, 0.4)))
                    case "room":
                        room = random_source.randint(1, 4)
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
            # The bench itself fails on a second answer.
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


class AnyServer(TestCase):
    """Guards against servers that fill their sidecar's memory, or occupy its runs for good (issue 64)."""

    def test_a_reported_capacity_of_any_size_costs_no_memory(self) -> None:
        fleet = SidecarBench(NAME, room=100_000)
        tracemalloc.start()
        try:
            for number in range(5):
                fleet.ask(f"/read/{number}")
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertThat(len(fleet.runs), Equals(5))
        self.assertThat(peak_bytes, LessThan(200_000))

    def test_a_run_that_fails_by_an_error_of_any_kind_ends(self) -> None:
        async def fail(command: RunOnServer) -> tuple:
            raise OverflowError("a number of the server's")

        async def run() -> tuple[set[int], int]:
            stack = await SidecarStack().start()
            for machine in stack.machines.values():
                machine.node._serve = fail
            # More attempts than the server's capacity.
            for _ in range(12):
                stack.client("read", doors=("s-2",))
            await stack.pass_time(2.0)
            statuses = {status for status, _ in stack.history.answers.values()}
            load = sum(machine.node.core.upstream.load() for machine in stack.machines.values())
            await stack.stop()
            return statuses, load

        self.assertThat(run_stepped(run()), Equals(({502}, 0)))
