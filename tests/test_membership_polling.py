"""How a sidecar switches from one parent to the next, with scripted answers to its polls."""

import asyncio
import random
from datetime import timedelta

from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.proxy.configuration_poller import MAX_LATE_POLLS
from hoistsaddle.rpc.errors import no_response
from hoistsaddle.rpc.messages import PollAnswer, PollCall
from hoistsaddle.sidecar.node import SidecarNode

FIRST, SECOND, THIRD = SEEDS = ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"]

SETTINGS = SidecarSettings(
    name="stall-1",
    zone="a",
    listen="127.0.0.9:1",
    door="127.0.0.9:2",
    health_door="127.0.0.9:3",
    ready_door="127.0.0.9:4",
    seeds=SEEDS,
    service="one",
    server="127.0.0.9:5",
)


class ScriptedRuntime:
    """A runtime whose RPC client answers polls with the lease starts in a list; None stands for no answer."""

    def __init__(self, starts: list[float | None]) -> None:
        self.starts = list(starts)
        self.polled: list[str] = []
        self.random = random.Random(1)
        self.timestamp = 100.0
        self.rpc_client = self

    def now(self) -> timedelta:
        return timedelta(seconds=self.timestamp)

    def token(self, size: int) -> str:
        return "life"

    async def call(self, address, message, *, within, still=lambda: True):
        self.polled.append(address)
        if not self.starts:
            raise asyncio.CancelledError
        start = self.starts.pop(0)
        self.timestamp += 0.3
        if start is None:
            return Failure(no_response(address))
        # The lease age is relative to the time when the poll was sent.
        return Success(PollAnswer("", "m", 1, timedelta(seconds=self.timestamp - 0.3 - start)))


def polled(*starts: float | None) -> list[str]:
    script = ScriptedRuntime(list(starts))

    async def scenario() -> None:
        node = SidecarNode(settings=SETTINGS, runtime=script, serve=None)
        try:
            await node.poller.run()
        except asyncio.CancelledError:
            pass

    asyncio.run(scenario())
    return script.polled


class OlderUpdates(TestCase):
    def test_an_older_update_is_rejected_counted_and_reported_with_its_sender(self) -> None:
        """A parent returns from a partition with an old copy: its updates are rejected, and one event reports it."""
        script = ScriptedRuntime([99.9, 100.2, 100.5, 100.8, 101.1])
        observed = [(5, 7), (5, 6), (4, 9), (4, 9), (5, 7)]

        async def call(address, message, *, within, still=lambda: True):
            answer = (await ScriptedRuntime.call(script, address, message, within=within)).unwrap()
            epoch, revision = observed.pop(0)
            return Success(answer._replace(epoch=epoch, revision=revision))

        script.call = call

        async def scenario() -> SidecarNode:
            node = SidecarNode(settings=SETTINGS, runtime=script, serve=None)
            results = [
                await node.poller.poll_once(address, within=node.poller.timeout)
                for address in (FIRST, SECOND, SECOND, SECOND, FIRST)
            ]
            self.assertThat(results, Equals(["renewed", "same", "same", "same", "renewed"]))
            return node

        node = asyncio.run(scenario())
        self.assertThat((node.relay.copy.revision, node.relay.epoch), Equals((7, 5)))
        self.assertThat(node.counters.read()["counts"]["news.older_refused"], Equals(3))
        refused = [
            each["detail"]
            for each in node.counters.events(after=0)["happenings"]
            if each["kind"] == "older news refused"
        ]
        self.assertThat(
            refused,
            Equals([{"parent": SECOND, "revision": 9, "epoch": 4, "held_revision": 7, "held_epoch": 5}]),
        )


class LateAnswers(TestCase):
    """On a link whose delay exceeds the poll timeout, an answer that arrives late is still applied."""

    def test_the_next_parent_is_polled_and_the_late_answer_is_applied(self) -> None:
        script = ScriptedRuntime([])
        slow = asyncio.Event()
        observed: list[str] = []

        async def call(address: str, message: PollCall, *, within: timedelta, still: object = None) -> Result:
            observed.append(address)
            if address != FIRST:
                raise asyncio.CancelledError
            self.assertThat(within > node.poller.timeout, Equals(True))
            await slow.wait()
            return Success(PollAnswer("", "m", 7, timedelta(seconds=0.2)))

        script.call = call
        node = SidecarNode(settings=SETTINGS, runtime=script, serve=None)
        node.poller.timeout = timedelta(milliseconds=1)

        async def scenario() -> None:
            result = await node.poller.poll(FIRST)
            self.assertThat((result, node.relay.copy.revision, len(node.poller.late_polls)), Equals(("missed", -1, 1)))
            slow.set()
            await asyncio.wait(node.poller.late_polls)
            self.assertThat((node.relay.copy.revision, node.poller.late_polls), Equals((7, set())))

        asyncio.run(scenario())

    def test_the_number_of_late_answers_waited_for_is_limited(self) -> None:
        script = ScriptedRuntime([])
        spans: list[timedelta] = []

        async def call(address: str, message: PollCall, *, within: timedelta, still: object = None) -> Result:
            spans.append(within)
            if within > node.poller.timeout:
                await asyncio.Event().wait()
            return Failure(no_response(address))

        script.call = call
        node = SidecarNode(settings=SETTINGS, runtime=script, serve=None)
        node.poller.timeout = timedelta(milliseconds=1)

        async def scenario() -> None:
            for _ in range(MAX_LATE_POLLS + 3):
                self.assertThat(await node.poller.poll(FIRST), Equals("missed"))

        asyncio.run(scenario())
        self.assertThat(
            [within > node.poller.timeout for within in spans], Equals([True] * MAX_LATE_POLLS + [False] * 3)
        )


class Parents(TestCase):
    def test_a_single_answer_without_renewal_may_be_due_to_timing_and_keeps_the_parent(self) -> None:
        self.assertThat(polled(99.9, 99.9, 100.4, 100.4, 101), Equals([FIRST] * 6))

    def test_a_second_answer_without_renewal_switches_parents_and_a_renewal_switches_back(self) -> None:
        self.assertThat(polled(99.9, 99.9, 99.9, 100.8, 101), Equals([FIRST, FIRST, FIRST, SECOND, FIRST, FIRST]))

    def test_a_cycle_without_renewals_is_left_for_each_other_parent_in_turn(self) -> None:
        stuck = [99.9] * 7
        self.assertThat(polled(*stuck), Equals([FIRST, FIRST, FIRST, SECOND, SECOND, THIRD, THIRD, FIRST]))

    def test_no_answer_switches_parents_at_once(self) -> None:
        self.assertThat(polled(99.9, None, None, 101), Equals([FIRST, FIRST, SECOND, THIRD, FIRST]))
