"""The writer on a machine that reaches no leader: it reports the outcome correctly and in time, and sends few calls."""

import asyncio
import gc
import random
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.messages import HoldAnswered, SubmitHold
from hoistsaddle.registry.node import KEY_WRITE_TIMEOUT, Registry
from hoistsaddle.registry.writer import MAX_BACKOFF, MAX_BATCHES_IN_FLIGHT, Writer
from hoistsaddle.rpc.call_context import set_call_age
from hoistsaddle.rpc.errors import no_response
from hoistsaddle.rpc.frame_ages import CallAge
from hoistsaddle.rpc.messages import UNSET, WriteAnswer, WriteCall
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.statemachine.commands import ClaimKey, Outcome, Tick
from hoistsaddle.statemachine.encoding import pack_command, pack_outcome
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

sys.path.insert(0, str(Path(__file__).parent))
from test_membership_polling import SETTINGS  # noqa: E402

UNREACHABLE = Failure(MeshError(ErrorKind.UNREACHABLE, "no connection", "simulated"))
NOT_LEADER = Success(WriteAnswer(str(ErrorKind.NOT_LEADER), UNSET))
Answer = Callable[[str, float], Result | None]


class ScriptedRpcClient:
    """Answers by a rule of address and time; None means that no answer comes."""

    def __init__(self, *, loop: SimulatedTimeLoop, rule: Answer) -> None:
        self.loop = loop
        self.rule = rule
        self.calls: list[tuple[float, str, int]] = []

    async def call(self, address: str, message: WriteCall, *, within: timedelta) -> Result[tuple, MeshError]:
        self.calls.append((self.loop.time(), address, len(message.payloads)))
        answer = self.rule(address, self.loop.time() - 1000.0)
        if answer is None:
            await asyncio.sleep(within.total_seconds())
            return Failure(no_response(address))
        await asyncio.sleep(0.001)
        if isinstance(answer, Success) and not answer.unwrap().error:
            result = pack_outcome(Outcome("", "", "", "", {"number": 1}))
            return Success(WriteAnswer("", 1, tuple(result for _ in message.payloads)))
        return answer


def run(rule: Answer, work: Callable[[Writer, ScriptedRpcClient], Any]) -> Any:
    loop = SimulatedTimeLoop()
    rpc_client = ScriptedRpcClient(loop=loop, rule=rule)

    async def scenario() -> Any:
        runtime = SimpleNamespace(now=loop.now, rpc_client=rpc_client)
        writer = Writer(
            name="w", stores={1: "a", 2: "b", 3: "c"}, initial_store=1, runtime=runtime, counters=Counters(owner="w")
        )
        try:
            return await work(writer, rpc_client)
        finally:
            writer.stop()
            await asyncio.sleep(0)

    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def timed(writer: Writer, *, within: float) -> tuple[str, float]:
    began = writer.runtime.now()
    result = await writer.write(Tick(1), within=timedelta(seconds=within))
    kind = "" if isinstance(result, Success) else str(result.failure().kind)
    return kind, (writer.runtime.now() - began).total_seconds()


class CallerTimeouts(TestCase):
    def test_a_command_to_unresponsive_stores_fails_within_its_timeout(self) -> None:
        kind, spent = run(lambda address, now: None, lambda writer, rpc_client: timed(writer, within=0.5))
        self.assertThat((kind, round(spent, 3)), Equals((ErrorKind.UNSURE, 0.5)))

    def test_a_command_behind_stalled_ones_fails_within_its_timeout(self) -> None:
        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> tuple[str, float]:
            for _ in range(MAX_BATCHES_IN_FLIGHT):
                asyncio.ensure_future(timed(writer, within=3.0))
                await asyncio.sleep(0.01)
            return await timed(writer, within=0.5)

        kind, spent = run(lambda address, now: None, work)
        # The command was never sent.
        self.assertThat((kind, round(spent, 3)), Equals((ErrorKind.NO_LEADER, 0.5)))

    def test_the_error_says_whether_the_core_may_have_accepted_the_command(self) -> None:
        unsure = Success(WriteAnswer(str(ErrorKind.UNSURE), UNSET))
        for rule, expected in (
            (lambda address, now: NOT_LEADER, ErrorKind.NO_LEADER),
            (lambda address, now: UNREACHABLE, ErrorKind.NO_LEADER),
            (lambda address, now: None, ErrorKind.UNSURE),
            # A partitioned old leader accepted the command, the others did not.
            (lambda address, now: unsure if address == "a" else NOT_LEADER, ErrorKind.UNSURE),
        ):
            kind, _ = run(rule, lambda writer, rpc_client: timed(writer, within=0.5))
            self.assertThat(kind, Equals(expected))

    def test_an_outcome_is_returned_as_it_is(self) -> None:
        kind, spent = run(
            lambda address, now: Success(WriteAnswer("", 1)), lambda writer, rpc_client: timed(writer, within=1)
        )
        self.assertThat((kind, spent < 0.1), Equals(("", True)))


class WithoutALeader(TestCase):
    """Guards against finding 14: without a leader, each batch was resent every 20 ms, with six batches in flight."""

    def test_few_calls_are_sent_however_many_commands_wait(self) -> None:
        span = 20.0

        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> tuple[int, int, int]:
            for _ in range(int(span * 100)):
                asyncio.ensure_future(timed(writer, within=0.45))
                await asyncio.sleep(0.01)
            return len(rpc_client.calls), sum(size for _, _, size in rpc_client.calls), len(writer.backlog)

        calls, payloads, left = run(lambda address, now: NOT_LEADER, work)
        most = span / MAX_BACKOFF.total_seconds() + MAX_BATCHES_IN_FLIGHT + 10
        self.assertThat(calls, LessThan(most))
        # Commands that have timed out are no longer sent: each is part of two or three calls.
        self.assertThat(payloads, LessThan(span * 100 * 3))
        self.assertThat(left, LessThan(100))

    def test_a_retry_collected_with_its_loop_starts_nothing_on_the_next_one(self) -> None:
        async def abandon_write(loop: SimulatedTimeLoop) -> None:
            runtime = SimpleNamespace(
                now=loop.now, rpc_client=ScriptedRpcClient(loop=loop, rule=lambda address, now: NOT_LEADER)
            )
            writer = Writer(name="w", stores={1: "a"}, initial_store=1, runtime=runtime, counters=Counters(owner="w"))
            # Referenced only by its own task: the command still waits when the loop of its process is gone.
            asyncio.ensure_future(writer.write(Tick(1), within=timedelta(seconds=60)))
            await asyncio.sleep(1)

        async def tasks_after_collection() -> int:
            gc.collect()
            return len(asyncio.all_tasks())

        first_loop, second_loop = SimulatedTimeLoop(), SimulatedTimeLoop()
        asyncio.set_event_loop(first_loop)
        first_loop.run_until_complete(abandon_write(first_loop))
        first_loop.close()
        asyncio.set_event_loop(second_loop)
        del first_loop
        try:
            self.assertThat(second_loop.run_until_complete(tasks_after_collection()), Equals(1))
        finally:
            second_loop.close()
            asyncio.set_event_loop(None)

    def test_a_newly_known_leader_ends_the_backoff(self) -> None:
        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> tuple[str, float]:
            asyncio.ensure_future(timed(writer, within=9.0))
            await asyncio.sleep(5.0)
            waiting = asyncio.ensure_future(timed(writer, within=2.0))
            await asyncio.sleep(0.2)
            writer.note_leader(2)
            return await waiting

        led = lambda address, now: Success(WriteAnswer("", 2)) if address == "b" and now >= 5.2 else NOT_LEADER  # noqa: E731
        kind, spent = run(led, work)
        self.assertThat((kind, spent), IsInstance(tuple))
        self.assertThat(kind, Equals(""))
        self.assertThat(spent, LessThan(0.25))

    def test_a_new_leader_is_found_under_load(self) -> None:
        """Commands that time out one after the other must not keep the rest from being sent."""

        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> list[str]:
            result: list[tuple[float, str]] = []

            async def ask() -> None:
                at = rpc_client.loop.time() - 1000.0
                result.append((at, (await timed(writer, within=0.45))[0]))

            for _ in range(1500):
                asyncio.ensure_future(ask())
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)
            return [kind for at, kind in result if at >= 10.0 + MAX_BACKOFF.total_seconds() + 0.1]

        found = run(lambda address, now: Success(WriteAnswer("", 2)) if address == "b" and now >= 10 else None, work)
        # An unresponsive store costs a full call timeout, and two of them precede the leader.
        self.assertThat([kind for kind in found[200:] if kind], Equals([]))

    def test_after_a_success_there_is_no_backoff(self) -> None:
        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> list[tuple[str, float]]:
            await timed(writer, within=1.0)
            await asyncio.sleep(2.5)
            return [await timed(writer, within=2.0) for _ in range(3)]

        rule = lambda address, now: NOT_LEADER if now < 2.0 else Success(WriteAnswer("", 1))  # noqa: E731
        result = run(rule, work)
        self.assertThat([kind for kind, _ in result], Equals(["", "", ""]))
        self.assertThat(sum(spent for _, spent in result[1:]), LessThan(0.05))


class Claims(TestCase):
    """A sidecar's key claims while no registry reaches a leader: few calls are sent, and none delays the rest."""

    def claims(self, rule: Answer, *, seconds: float) -> tuple[ScriptedRpcClient, list[tuple[float, bool]]]:
        loop = SimulatedTimeLoop()
        rpc_client = ScriptedRpcClient(loop=loop, rule=rule)
        result: list[tuple[float, bool]] = []

        async def scenario() -> None:
            runtime = SimpleNamespace(
                now=loop.now, rpc_client=rpc_client, random=random.Random(1), token=lambda size: "life"
            )
            node = SidecarNode(settings=SETTINGS, runtime=runtime, serve=None)
            asked: dict[int, float] = {}

            def feed(event: tuple) -> None:
                assert isinstance(event, HoldAnswered)
                result.append((asked[event.number], event.outcome is not None))

            node.feed = feed
            for number in range(int(seconds * 50)):
                asked[number] = loop.time() - 1000.0
                asyncio.ensure_future(node.submit_hold(SubmitHold(number, Tick(1))))
                await asyncio.sleep(0.02)
            await asyncio.sleep(2.0)

        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(scenario())
        finally:
            loop.close()
            asyncio.set_event_loop(None)
        return rpc_client, result

    def test_few_calls_are_sent_while_no_registry_answers(self) -> None:
        for rule in (lambda address, now: None, lambda address, now: NOT_LEADER, lambda address, now: UNREACHABLE):
            rpc_client, result = self.claims(rule, seconds=20.0)
            self.assertThat(len(rpc_client.calls), LessThan(120))
            self.assertThat(len(result), Equals(1000))

    def test_a_registry_that_answers_again_serves_all(self) -> None:
        """Guards against probes with too short a timeout.

        Registries were probed with the oldest claim and only its remaining time, so none was found again.
        """
        good = Success(WriteAnswer("", 2))
        for bad in (None, NOT_LEADER, UNREACHABLE):
            _, result = self.claims(lambda address, now, bad=bad: good if now >= 10.0 else bad, seconds=15.0)
            self.assertThat([at for at, granted in result if at >= 11.0 and not granted], Equals([]), str(bad))


class StaleClaims(TestCase):
    """An overloaded registry does not log claims whose sidecars have timed out."""

    def written_at_age(self, age: float) -> tuple[WriteAnswer, list[timedelta]]:
        spans: list[timedelta] = []

        async def write_payloads(payloads: tuple[bytes, ...], *, within: timedelta) -> list[Result]:
            spans.append(within)
            return [Success(Outcome(detail={"phase": "granted"})) for _ in payloads]

        registry = SimpleNamespace(
            counters=Counters(owner="r"), writer=SimpleNamespace(write_payloads=write_payloads, leader=1)
        )
        claim = pack_command(ClaimKey("scope", "claim", "stall", "digest"))

        async def scenario() -> WriteAnswer:
            set_call_age(CallAge(age, False))
            return await Registry._write_for_proxy(registry, (claim,))

        return asyncio.run(scenario()), spans

    def test_a_claim_queued_for_too_long_is_refused_and_not_logged(self) -> None:
        answer, spans = self.written_at_age(KEY_WRITE_TIMEOUT.total_seconds())
        self.assertThat((answer.error, answer.outcomes, spans), Equals((ErrorKind.QUEUE_FULL, (), [])))

    def test_a_younger_claim_is_logged_within_the_remaining_time(self) -> None:
        answer, spans = self.written_at_age(0.2)
        self.assertThat((answer.error, len(answer.outcomes)), Equals(("", 1)))
        self.assertThat(spans, Equals([KEY_WRITE_TIMEOUT - timedelta(seconds=0.2)]))
