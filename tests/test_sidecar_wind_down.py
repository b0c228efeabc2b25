"""Graceful shutdown of a sidecar: it serves until its listener is idle, and has time left for accepted requests."""

from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import StopRequested
from hoistsaddle.sidecar import node as nodes
from hoistsaddle.sidecar.messages import CloseRequested, GraceExpired
from hoistsaddle.sidecar.node import OPEN_SHARE, SidecarNode
from sidecar_bench import SidecarBench

MOST = timedelta(seconds=5)
QUIET = timedelta(seconds=0.5)


class WindDownBench:
    """Runs wind_down on a clock that only its own sleeps advance."""

    def __init__(self, *, busy: bool, works: timedelta) -> None:
        self.timestamp = timedelta(seconds=100)
        self.began = self.timestamp
        self.busy = busy
        self.works = works
        self.events: list[tuple[str, timedelta]] = []
        self.closed: timedelta | None = None
        core = SimpleNamespace(pending_count=lambda: 1 if busy else 0, idle=self.idle)
        self.node = SimpleNamespace(
            runtime=SimpleNamespace(now=lambda: self.timestamp),
            core=core,
            feed=self.feed,
            last_request_at=self.timestamp,
            counters=Counters(owner="s-1"),
            timings=SidecarNode.timings,
        )

    def feed(self, event: tuple) -> None:
        self.events.append((type(event).__name__, self.timestamp - self.began))
        if isinstance(event, CloseRequested):
            self.closed = self.timestamp

    def idle(self) -> bool:
        return self.closed is not None and self.timestamp - self.closed >= self.works

    async def sleep(self, seconds: float) -> None:
        self.timestamp += timedelta(seconds=seconds)
        if self.busy:
            self.node.last_request_at = self.timestamp

    def run(self) -> timedelta:
        with mock.patch.object(nodes.asyncio, "sleep", self.sleep):
            work = SidecarNode.wind_down(self.node, quiet=QUIET, most=MOST)
            try:
                work.send(None)
            except StopIteration:
                pass
        return self.timestamp - self.began


class WindDown(TestCase):
    def test_an_idle_listener_ends_the_shutdown_soon(self) -> None:
        stopping = WindDownBench(busy=False, works=timedelta(seconds=0.3))
        took = stopping.run()
        self.assertThat(
            [name for name, _ in stopping.events], Equals([StopRequested.__name__, CloseRequested.__name__])
        )
        self.assertThat(QUIET <= took <= timedelta(seconds=0.9), Equals(True), str(took))

    def test_a_listener_that_is_never_idle_closes_in_time_for_accepted_requests(self) -> None:
        """Guards against cut connections: clients sent requests to the end, and the last ones were still running."""
        stopping = WindDownBench(busy=True, works=timedelta(seconds=1.5))
        took = stopping.run()
        closed = stopping.events[1][1]
        self.assertThat(closed <= MOST * OPEN_SHARE + SidecarNode.timings.tick, Equals(True), str(closed))
        self.assertThat(took < MOST, Equals(True), str(took))

    def test_a_closing_sidecar_rejects_new_requests_and_finishes_accepted_ones(self) -> None:
        fleet = SidecarBench("s-1", "s-2")
        before = fleet.ask(ingress="s-1", budget=3.0)
        fleet.cores["s-1"].handle(CloseRequested(), now=fleet.timestamp)
        after = fleet.ask(ingress="s-1", budget=3.0)
        reply = fleet.replies[after]
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.WINDING_DOWN)))
        self.assertThat(before in fleet.replies, Equals(False))
        while fleet.runs:
            fleet.finish()
        self.assertThat(fleet.replies[before].status, Equals(200))

    def test_requests_left_at_the_end_of_the_grace_period_get_a_response_before_it(self) -> None:
        """Guards against closed connections without a response: uploads on a slow link outlasted the grace period."""
        stopping = WindDownBench(busy=True, works=timedelta(seconds=60))
        took = stopping.run()
        self.assertThat(
            [name for name, _ in stopping.events],
            Equals([StopRequested.__name__, CloseRequested.__name__, GraceExpired.__name__]),
        )
        self.assertThat(MOST <= took <= MOST + SidecarNode.timings.tick, Equals(True), str(took))

    def test_each_request_left_gets_a_response_with_its_known_outcome(self) -> None:
        fleet = SidecarBench("s-1", "s-2")
        sent = fleet.ask("/pack/x", budget=30.0)
        fleet.core_up = False
        claiming = fleet.ask("/pay/x", key="k", budget=30.0)
        self.assertThat(fleet.replies, Equals({}))
        fleet.feed("s-1", GraceExpired())
        # The first may still run on a server; the second still waited for its key, so it did not and will not run.
        self.assertThat([fleet.replies[each].status for each in (sent, claiming)], Equals([502, 503]))
        self.assertThat(fleet.replies[claiming].retry_after is not None, Equals(True))
        self.assertThat(fleet.cores["s-1"].ingress.requests.requests, Equals({}))
