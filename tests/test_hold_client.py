"""Tests of the client for key commands: it queues them at the sidecar and sends as many as the core answers in time."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from hoistsaddle.proxy.hold_client import MAX_BATCHES_IN_FLIGHT, HoldClient, SubmitResult
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.errors import no_response
from hoistsaddle.rpc.messages import WriteAnswer, WriteCall
from hoistsaddle.statemachine.commands import ClaimKey, Outcome
from hoistsaddle.statemachine.encoding import pack_outcome
from hoistsaddle.statemachine.view import View
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

GRANTED = Outcome(detail={"phase": "granted"})
MAX_PAUSE_SECONDS = 1.0
CLAIM = ClaimKey("scope", "claim", "side", "digest")
# The error of an answer, empty without one, and its delay in seconds; None for no answer.
Answer = tuple[str, float] | None


class SlowRegistry:
    """Answers each call by a rule, which returns the answer and its delay for the number of calls in flight."""

    def __init__(self, *, loop: SimulatedTimeLoop, rule: Callable[[int], Answer]) -> None:
        self.loop = loop
        self.rule = rule
        self.in_flight = 0
        # The time of each call, and its number of commands.
        self.calls: list[tuple[float, int]] = []

    async def call(self, address: str, message: WriteCall, *, within: timedelta) -> Result[tuple, MeshError]:
        self.calls.append((self.loop.time(), len(message.payloads)))
        self.in_flight += 1
        try:
            return await self._answer(address, message, within)
        finally:
            self.in_flight -= 1

    async def _answer(self, address: str, message: WriteCall, within: timedelta) -> Result[tuple, MeshError]:
        answer = self.rule(self.in_flight)
        if answer is None or answer[1] >= within.total_seconds():
            await asyncio.sleep(within.total_seconds())
            return Failure(no_response(address))
        error, seconds = answer
        await asyncio.sleep(seconds)
        if error:
            return Success(WriteAnswer(error, 1))
        return Success(WriteAnswer("", 1, tuple(pack_outcome(GRANTED) for _ in message.payloads)))


def run(rule: Callable[[int], Answer], scenario: Callable[[HoldClient, SlowRegistry], Coroutine]) -> Any:
    """Run the scenario in simulated time, and return its result."""
    loop = SimulatedTimeLoop()
    registry = SlowRegistry(loop=loop, rule=rule)
    asyncio.set_event_loop(loop)
    try:
        client = HoldClient(
            runtime=SimpleNamespace(now=loop.now, rpc_client=registry),
            counters=Counters(owner="side"),
            core=SimpleNamespace(settings=SimpleNamespace(name="side"), view=View()),
            registries=RegistryAddresses(seeds=["a", "b"]),
            backoff=ExponentialBackoff(least=milliseconds(30), most=timedelta(seconds=MAX_PAUSE_SECONDS)),
        )
        return loop.run_until_complete(scenario(client, registry))
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def submit(client: HoldClient, *, seconds: float) -> SubmitResult:
    now = timedelta(seconds=asyncio.get_running_loop().time())
    return await client.submit(CLAIM, deadline=now + timedelta(seconds=seconds))


class Waiting(TestCase):
    def test_queued_commands_are_sent_together_in_the_next_call(self) -> None:
        async def scenario(client: HoldClient, registry: SlowRegistry) -> list[int]:
            await asyncio.gather(*(submit(client, seconds=1.0) for _ in range(20)))
            return [commands for _, commands in registry.calls]

        self.assertThat(run(lambda in_flight: ("", 0.1), scenario), Equals([1, 19]))

    def test_a_command_whose_deadline_passes_in_the_queue_is_never_sent(self) -> None:
        async def scenario(client: HoldClient, registry: SlowRegistry) -> tuple[SubmitResult, int]:
            first = asyncio.ensure_future(submit(client, seconds=1.0))
            await asyncio.sleep(0.01)
            result = await submit(client, seconds=0.1)
            await first
            await asyncio.sleep(1.0)
            return result, sum(commands for _, commands in registry.calls)

        result, commands = run(lambda in_flight: ("", 0.4), scenario)
        self.assertThat((result, commands), Equals((SubmitResult(None, False), 1)))

    def test_a_command_that_is_in_flight_at_its_deadline_is_waited_for(self) -> None:
        """Guards against a key granted after its request was dropped, which could be released only on a guess."""

        async def scenario(client: HoldClient, registry: SlowRegistry) -> SubmitResult:
            return await submit(client, seconds=0.1)

        self.assertThat(run(lambda in_flight: ("", 0.4), scenario), Equals(SubmitResult(GRANTED, True)))
        self.assertThat(run(lambda in_flight: None, scenario), Equals(SubmitResult(None, True)))
        for refusal in (ErrorKind.NO_LEADER, ErrorKind.QUEUE_FULL):
            refused = run(lambda in_flight, refusal=refusal: (str(refusal), 0.05), scenario)
            self.assertThat(refused, Equals(SubmitResult(None, False)))
        unsure = run(lambda in_flight: (str(ErrorKind.UNSURE), 0.05), scenario)
        self.assertThat(unsure, Equals(SubmitResult(None, True)))

    def test_a_command_that_one_registry_may_have_accepted_stays_unsure_when_the_next_one_refuses_it(self) -> None:
        async def scenario(client: HoldClient, registry: SlowRegistry) -> SubmitResult:
            answers = iter([(str(ErrorKind.UNSURE), 0.01)])
            registry.rule = lambda in_flight: next(answers, (str(ErrorKind.NO_LEADER), 0.01))
            return await submit(client, seconds=0.5)

        self.assertThat(run(lambda in_flight: None, scenario), Equals(SubmitResult(None, True)))


class CongestionControl(TestCase):
    """Guards against an unreduced rate of calls to a core that answers each of them too late."""

    async def load(self, client: HoldClient, *, seconds: float) -> list[SubmitResult]:
        submitted = []
        for _ in range(int(seconds * 50)):
            submitted.append(asyncio.ensure_future(submit(client, seconds=0.15)))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*submitted)

    def test_late_answers_cause_pauses(self) -> None:
        async def scenario(client: HoldClient, registry: SlowRegistry) -> list[float]:
            await self.load(client, seconds=20.0)
            started_at = registry.calls[0][0]
            return [at - started_at for at, _ in registry.calls]

        calls = run(lambda in_flight: ("", 0.2), scenario)
        # Without pauses the calls follow each other directly, which makes 100 of them. The longest pause is a second.
        self.assertThat(len(calls), LessThan(25))

    def test_answers_in_time_end_the_pauses(self) -> None:
        async def scenario(client: HoldClient, registry: SlowRegistry) -> list[SubmitResult]:
            await self.load(client, seconds=5.0)
            registry.rule = lambda in_flight: ("", 0.01)
            await self.load(client, seconds=MAX_PAUSE_SECONDS + 1.0)
            return await self.load(client, seconds=5.0)

        results = run(lambda in_flight: ("", 0.2), scenario)
        self.assertThat([result for result in results if result.outcome != GRANTED], Equals([]))

    def test_the_limit_stays_between_its_bounds(self) -> None:
        limit = ConcurrencyLimit(max_limit=MAX_BATCHES_IN_FLIGHT)
        for _ in range(1000):
            limit.increase()
        self.assertThat(
            (limit.value, limit.pause_after(milliseconds(100))), Equals((MAX_BATCHES_IN_FLIGHT, timedelta()))
        )
        for _ in range(1000):
            limit.decrease()
        self.assertThat(
            (limit.value, limit.pause_after(milliseconds(100))), Equals((1, milliseconds(100) * (1 / MIN_LIMIT - 1)))
        )
