"""A client that disconnects: its request is cancelled, unless it is not idempotent or has a key."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.sidecar.abandoned_bodies import AbandonedBodies
from hoistsaddle.sidecar.messages import Abandon, ForwardRequest, RequestArrived, RunOnServer
from hoistsaddle.sidecar.node import SidecarNode
from sidecar_bench import HOST, SidecarBench


class ClientGone(TestCase):
    def test_an_idempotent_run_is_cancelled_and_the_next_one_starts(self) -> None:
        fleet = SidecarBench("s-1", room=1)
        first = fleet.ask("/read/x")
        second = fleet.ask("/read/y")
        self.assertThat(len(fleet.runs), Equals(1))
        fleet.disconnect(first)
        self.assertThat([serve.call.path for serve in fleet.aborted], Equals([b"/read/x"]))
        self.assertThat([serve.call.path for serve in fleet.runs.values()], Equals([b"/read/y"]))
        fleet.finish()
        self.assertThat((first in fleet.replies, fleet.replies[second].status), Equals((False, 200)))

    def test_a_queued_request_never_reaches_the_server(self) -> None:
        fleet = SidecarBench("s-1", room=1)
        fleet.ask("/read/x")
        waiting = fleet.ask("/read/y")
        fleet.disconnect(waiting)
        fleet.finish()
        self.assertThat(
            ([each.call.path for each in fleet.sent(RunOnServer)], fleet.aborted), Equals(([b"/read/x"], []))
        )

    def test_a_non_idempotent_run_goes_on(self) -> None:
        for path in ("/post/x", "/pack/x"):
            fleet = SidecarBench("s-1")
            fleet.disconnect(fleet.ask(path))
            self.assertThat((fleet.sent(Abandon), fleet.aborted, len(fleet.runs)), Equals(([], [], 1)), path)

    def test_a_keyed_run_goes_on_and_its_repeat_gets_the_answer(self) -> None:
        fleet = SidecarBench("s-1", "s-2")
        fleet.disconnect(fleet.ask("/pay/x", key="k"))
        fleet.finish(body=b"paid")
        again = fleet.ask("/pay/x", key="k", ingress="s-2")
        self.assertThat((fleet.replies[again].status, fleet.replies[again].body), Equals((200, b"paid")))
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_an_attempt_whose_sidecar_does_not_get_the_abandon_call_is_not_retried(self) -> None:
        fleet = SidecarBench("s-1", "s-2")
        ticket = fleet.ask("/read/x")
        (name, _), *_ = fleet.runs
        fleet.silent.add(name)
        fleet.disconnect(ticket)
        fleet.finish()
        self.assertThat(
            (len(fleet.sent(ForwardRequest)), fleet.cores["s-1"].ingress.requests.requests), Equals((1, {}))
        )

    def test_a_disconnect_after_the_response_changes_nothing(self) -> None:
        fleet = SidecarBench("s-1")
        ticket = fleet.ask("/read/x")
        fleet.finish()
        fleet.disconnect(ticket)
        self.assertThat((fleet.sent(Abandon), fleet.replies[ticket].status), Equals(([], 200)))


class ClientGoneAtTheNode(TestCase):
    """Guards against leaked tickets: a client disconnected, and its request was abandoned without a response."""

    def disconnect_while_waiting(self, path: str) -> tuple[int, bool]:
        """Return how many tickets are open after a client disconnected, and whether its request is still pending."""
        node, _ = self.node_after_disconnect(path)
        return len(node.answers), bool(node.core.ingress.requests.requests)

    def node_after_disconnect(
        self, path: str, *, body: bytes = b"", budget: ByteBudget | None = None
    ) -> tuple[SidecarNode, SidecarBench]:
        bench = SidecarBench("s-1")
        node = object.__new__(SidecarNode)
        node.core = bench.cores["s-1"]
        node.abandoned_bodies = None if budget is None else AbandonedBodies(budget=budget)
        node.answers, node._tickets = {}, 0
        node.runtime = SimpleNamespace(now=lambda: bench.timestamp)
        node.freezes = SimpleNamespace(unread=timedelta)
        node.feed = lambda event: bench.feed("s-1", event)

        def arrived(ticket: int) -> RequestArrived:
            return RequestArrived(ticket, "POST", HOST, path, b"", 100, body, timedelta(seconds=3), "", "try")

        async def leave() -> None:
            client = asyncio.ensure_future(node.handle_request(arrived))
            await asyncio.sleep(0)
            client.cancel()
            await asyncio.wait({client})

        asyncio.run(leave())
        return node, bench

    def test_no_ticket_stays_open_for_an_abandoned_request(self) -> None:
        self.assertThat(self.disconnect_while_waiting("/read/x"), Equals((0, False)))

    def test_no_ticket_stays_open_for_a_request_that_goes_on(self) -> None:
        self.assertThat(self.disconnect_while_waiting("/post/x"), Equals((0, True)))

    # Guards against bodies that are held for a request whose client has left, and counted nowhere (issue 51).
    def test_the_body_of_a_request_that_goes_on_is_counted_until_its_end(self) -> None:
        budget = ByteBudget(memory_megabytes=300)
        node, bench = self.node_after_disconnect("/post/x", body=b"x" * 1000, budget=budget)
        self.assertThat(budget.held, Equals(1000))
        bench.finish()
        node.abandoned_bodies.release_ended(node.core.ingress.requests.requests)  # type: ignore[union-attr]
        self.assertThat(budget.held, Equals(0))

    def test_the_body_of_an_abandoned_request_is_not_counted(self) -> None:
        budget = ByteBudget(memory_megabytes=300)
        self.node_after_disconnect("/read/x", body=b"x" * 1000, budget=budget)
        self.assertThat(budget.held, Equals(0))
