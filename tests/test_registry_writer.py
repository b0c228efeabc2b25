"""The writer at a machine that reaches no leader: it answers truly within the caller's timeout and sends little."""

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
    """Answers by a rule of address and time; None is no answer."""

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
    def test_an_order_at_silent_machines_is_told_within_its_span(self) -> None:
        kind, spent = run(lambda address, now: None, lambda writer, rpc_client: timed(writer, within=0.5))
        self.assertThat((kind, round(spent, 3)), Equals((ErrorKind.UNSURE, 0.5)))

    def test_an_order_behind_others_that_are_stuck_is_told_within_its_span(self) -> None:
        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> tuple[str, float]:
            for _ in range(MAX_BATCHES_IN_FLIGHT):
                asyncio.ensure_future(timed(writer, within=3.0))
                await asyncio.sleep(0.01)
            return await timed(writer, within=0.5)

        kind, spent = run(lambda address, now: None, work)
        # It never left this machine.
        self.assertThat((kind, round(spent, 3)), Equals((ErrorKind.NO_LEADER, 0.5)))

    def test_it_says_whether_the_core_may_hold_the_order(self) -> None:
        unsure = Success(WriteAnswer(str(ErrorKind.UNSURE), UNSET))
        for rule, said in (
            (lambda address, now: NOT_LEADER, ErrorKind.NO_LEADER),
            (lambda address, now: UNREACHABLE, ErrorKind.NO_LEADER),
            (lambda address, now: None, ErrorKind.UNSURE),
            # One that was cut off while it led took it; the others never did.
            (lambda address, now: unsure if address == "a" else NOT_LEADER, ErrorKind.UNSURE),
        ):
            kind, _ = run(rule, lambda writer, rpc_client: timed(writer, within=0.5))
            self.assertThat(kind, Equals(said))

    def test_what_is_concluded_is_told_as_it_was(self) -> None:
        kind, spent = run(
            lambda address, now: Success(WriteAnswer("", 1)), lambda writer, rpc_client: timed(writer, within=1)
        )
        self.assertThat((kind, spent < 0.1), Equals(("", True)))


class WithoutALeader(TestCase):
    """Finding 14: each batch was resent every 20 ms, six at a time, for as long as there was no leader."""

    def test_few_calls_go_out_whatever_waits(self) -> None:
        span = 20.0

        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> tuple[int, int, int]:
            for _ in range(int(span * 100)):
                asyncio.ensure_future(timed(writer, within=0.45))
                await asyncio.sleep(0.01)
            return len(rpc_client.calls), sum(size for _, _, size in rpc_client.calls), len(writer.backlog)

        calls, payloads, left = run(lambda address, now: NOT_LEADER, work)
        most = span / MAX_BACKOFF.total_seconds() + MAX_BATCHES_IN_FLIGHT + 10
        self.assertThat(calls, LessThan(most))
        # Those that were answered meanwhile are sent no more: each goes along in two or three calls.
        self.assertThat(payloads, LessThan(span * 100 * 3))
        self.assertThat(left, LessThan(100))

    def test_a_retry_that_is_collected_with_its_loop_starts_nothing_on_the_next_one(self) -> None:
        async def left_behind(loop: SimulatedTimeLoop) -> None:
            runtime = SimpleNamespace(
                now=loop.now, rpc_client=ScriptedRpcClient(loop=loop, rule=lambda address, now: NOT_LEADER)
            )
            writer = Writer(name="w", stores={1: "a"}, initial_store=1, runtime=runtime, counters=Counters(owner="w"))
            # Held by its own task alone: the order still waits when its process is gone.
            asyncio.ensure_future(writer.write(Tick(1), within=timedelta(seconds=60)))
            await asyncio.sleep(1)

        async def tasks_after_collection() -> int:
            gc.collect()
            return len(asyncio.all_tasks())

        former, later = SimulatedTimeLoop(), SimulatedTimeLoop()
        asyncio.set_event_loop(former)
        former.run_until_complete(left_behind(former))
        former.close()
        asyncio.set_event_loop(later)
        del former
        try:
            self.assertThat(later.run_until_complete(tasks_after_collection()), Equals(1))
        finally:
            later.close()
            asyncio.set_event_loop(None)

    def test_a_leader_newly_known_ends_the_pause(self) -> None:
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

    def test_a_leader_that_comes_is_found_under_any_load(self) -> None:
        """Entries that are given up one after the other must not keep the rest from being tried."""

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
        # A silent one takes a full call timeout, and two are silent before the right one's turn comes.
        self.assertThat([kind for kind in found[200:] if kind], Equals([]))

    def test_after_a_success_nothing_pauses(self) -> None:
        async def work(writer: Writer, rpc_client: ScriptedRpcClient) -> list[tuple[str, float]]:
            await timed(writer, within=1.0)
            await asyncio.sleep(2.5)
            return [await timed(writer, within=2.0) for _ in range(3)]

        rule = lambda address, now: NOT_LEADER if now < 2.0 else Success(WriteAnswer("", 1))  # noqa: E731
        result = run(rule, work)
        self.assertThat([kind for kind, _ in result], Equals(["", "", ""]))
        self.assertThat(sum(spent for _, spent in result[1:]), LessThan(0.05))


class Claims(TestCase):
    """A sidecar's claims of keys while no registry reaches a leader: few go out, and none keeps the rest waiting."""

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

    def test_few_calls_go_out_while_nobody_answers(self) -> None:
        for rule in (lambda address, now: None, lambda address, now: NOT_LEADER, lambda address, now: UNREACHABLE):
            rpc_client, result = self.claims(rule, seconds=20.0)
            self.assertThat(len(rpc_client.calls), LessThan(120))
            self.assertThat(len(result), Equals(1000))

    def test_a_registry_that_answers_again_serves_all(self) -> None:
        """Probed by whichever claim was oldest, with what little time it had left, it was never found again."""
        good = Success(WriteAnswer("", 2))
        for bad in (None, NOT_LEADER, UNREACHABLE):
            _, result = self.claims(lambda address, now, bad=bad: good if now >= 10.0 else bad, seconds=15.0)
            self.assertThat([at for at, granted in result if at >= 11.0 and not granted], Equals([]), str(bad))


class StaleClaims(TestCase):
    """A registry that is behind logs no claim that its sidecar has given up by now."""

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

    def test_what_lay_unread_for_too_long_is_refused_and_not_logged(self) -> None:
        answer, spans = self.written_at_age(KEY_WRITE_TIMEOUT.total_seconds())
        self.assertThat((answer.error, answer.outcomes, spans), Equals((ErrorKind.QUEUE_FULL, (), [])))

    def test_a_younger_one_is_logged_within_what_is_left(self) -> None:
        answer, spans = self.written_at_age(0.2)
        self.assertThat((answer.error, len(answer.outcomes)), Equals(("", 1)))
        self.assertThat(spans, Equals([KEY_WRITE_TIMEOUT - timedelta(seconds=0.2)]))
