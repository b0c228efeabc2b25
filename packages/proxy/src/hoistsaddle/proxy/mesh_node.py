"""Base class of the nodes of both programs: connections to the mesh, configuration, health reports, and timers.

A node carries out what its core decides. It makes no decisions itself, and has no HTTP listener.
"""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.lifelong_tasks import LifelongTasks
from hoistsaddle.common.settings import ProxySettings, SidecarSettings
from hoistsaddle.membership.long_poll import LONG_POLL_TIMEOUT, answer_long_poll
from hoistsaddle.membership.member import Member, MemberTimings
from hoistsaddle.membership.membership import ALIVE
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.configuration_poller import ConfigurationPoller
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.freeze_detector import FreezeDetector
from hoistsaddle.proxy.health_reporter import HealthReporter
from hoistsaddle.proxy.hold_client import HoldClient
from hoistsaddle.proxy.messages import (
    ClientDisconnected,
    ConfigurationChanged,
    HoldAnswered,
    LeaseRenewed,
    SubmitHold,
    Ticked,
)
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.messages import IndirectProbeCall, MemberState, PollAnswer, PollCall, ProbeCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import GONE
from hoistsaddle.statemachine.view import View

# Backoff between parents, or registries, without a useful answer: the first round is fast, and each later one slower.
MIN_BACKOFF = milliseconds(30)
# The longest backoff is the lease span divided by this. It bounds the delay until a newer configuration is received
# once a parent has it.
MAX_BACKOFF_LEASE_DIVISOR = 3
HEALTH_MIN_BACKOFF = milliseconds(50)
HEALTH_MAX_BACKOFF = milliseconds(800)
# The number of random bytes of an incarnation.
INCARNATION_BYTES = 6


class NodeTimings(NamedTuple):
    """Intervals and timeouts of a node; a deployment with slow links uses longer ones."""

    long_poll: timedelta = LONG_POLL_TIMEOUT
    poll_timeout: timedelta = milliseconds(600)
    health_interval: timedelta = milliseconds(400)
    tick: timedelta = milliseconds(50)
    # How many successive answers of one parent may renew nothing before the next one is polled.
    max_same_answers: int = 0
    member: MemberTimings = MemberTimings()


class MeshNode:
    """Base class of the nodes: subclasses create the core, carry out its commands, and answer mesh calls."""

    timings = NodeTimings()

    def __init__(self, *, settings: ProxySettings | SidecarSettings, runtime: Runtime) -> None:
        """Start with a new incarnation.

        Args:
            settings: settings of the process.
            runtime: clock, random generator and connections.
        """
        self.settings = settings
        self.runtime = runtime
        self.incarnation = runtime.token(INCARNATION_BYTES)
        self.counters = Counters(owner=settings.name)
        lease_span = timedelta(seconds=settings.lease_seconds)
        self.core = self._make_core(
            CoreSettings(
                settings.name,
                settings.zone,
                self.incarnation,
                lease_span,
                timedelta(seconds=settings.health_seconds),
                settings.backlog,
                settings.outstanding,
            )
        )
        self.relay = Relay(node=settings.name, incarnation=self.incarnation, lease_span=lease_span)
        self.freezes = FreezeDetector(runtime=runtime, counters=self.counters)
        # Futures of the calls and requests that wait for the core's answer, by ticket.
        self.answers: dict[int, asyncio.Future] = {}
        self._tickets = 0
        self.work: set[asyncio.Task] = set()
        self.tasks = LifelongTasks(counters=self.counters, now=runtime.now)
        self.registries = RegistryAddresses(seeds=settings.seeds)
        max_backoff = lease_span / MAX_BACKOFF_LEASE_DIVISOR
        self.holds = self._make_hold_client(max_backoff)
        self.poller = self._make_poller(max_backoff)
        self.health = self._make_health_reporter()
        me = MemberState(settings.name, "stall", settings.listen, settings.zone, self.incarnation, 0, ALIVE)
        self.member = Member(
            me=me, seeds=settings.seeds, runtime=runtime, counters=self.counters, timings=self.timings.member
        )

    def _make_hold_client(self, max_backoff: timedelta) -> HoldClient:
        return HoldClient(
            runtime=self.runtime,
            counters=self.counters,
            core=self.core,
            registries=self.registries,
            backoff=ExponentialBackoff(least=MIN_BACKOFF, most=max_backoff),
        )

    def _make_poller(self, max_backoff: timedelta) -> ConfigurationPoller:
        return ConfigurationPoller(
            runtime=self.runtime,
            counters=self.counters,
            core=self.core,
            relay=self.relay,
            parent=self.settings.seeds[0],
            parents=self._parents,
            on_configuration=self._configuration_changed,
            on_lease=lambda start: self.feed(LeaseRenewed(start)),
            on_refusal=self._poll_refused,
            backoff=ExponentialBackoff(least=MIN_BACKOFF, most=max_backoff),
            timeout=self.timings.poll_timeout,
            max_same_answers=self.timings.max_same_answers,
        )

    def _make_health_reporter(self) -> HealthReporter:
        return HealthReporter(
            runtime=self.runtime,
            counters=self.counters,
            core=self.core,
            relay=self.relay,
            registries=self.registries,
            address=self.settings.listen,
            level=self.settings.release_level or LEVEL,
            interval=self.timings.health_interval,
            backoff=ExponentialBackoff(least=HEALTH_MIN_BACKOFF, most=HEALTH_MAX_BACKOFF),
        )

    def _make_core(self, settings: CoreSettings) -> Any:
        raise NotImplementedError

    def _poll_refused(self, address: str, refusal: PollAnswer, sent: timedelta) -> None:
        """Handle a poll that the parent at this address refused; does nothing by default."""

    def _parents(self) -> list[str]:
        """Return the addresses to poll for the configuration, the parent in the distribution tree first."""
        raise NotImplementedError

    def feed(self, event: tuple) -> None:
        """Pass an event to the core, and carry out the resulting commands."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen for mesh calls, and start polling, ticking and reporting."""
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        self.tasks.start("membership", self.member.run)
        self.tasks.start("configuration", self.poller.run)
        self.tasks.start("ticks", self._run_ticks)
        self.tasks.start("health reports", self.health.run)
        self.counters.record_event("stall up", incarnation=self.incarnation)

    async def stop(self) -> None:
        """Stop immediately."""
        self.tasks.cancel()
        self.member.stop()
        await self.server.stop()
        self.runtime.rpc_client.close()

    async def answer(self, message: tuple) -> tuple | None:
        """Answer a mesh call; None for an unknown message."""
        match message:
            case PollCall():
                if self.relay.record_applied_versions(message.applied_versions, now=self.runtime.now()):
                    # A node below in the tree has applied a version. This node's own long poll may be pending, so a
                    # second one reports it.
                    self.spawn(self.poller.poll_once(self.poller.parent, within=self.timings.poll_timeout))
                return await answer_long_poll(
                    runtime=self.runtime,
                    relay=self.relay,
                    updated=self.poller.polled,
                    call=message,
                    hold=self.timings.long_poll,
                )
            case ProbeCall() | IndirectProbeCall():
                return await self.member.answer(message)
        return None

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)
        return task

    def open_ticket(self) -> tuple[int, asyncio.Future]:
        """Return a new ticket and the future of its answer."""
        self._tickets += 1
        future = self.answers[self._tickets] = asyncio.get_running_loop().create_future()
        return self._tickets, future

    async def final_answer(self, ticket: int, future: asyncio.Future) -> Any:
        """Wait for the core's final answer to a client's request; report to the core if the client disconnects."""
        try:
            return await future
        except asyncio.CancelledError:
            self.feed(ClientDisconnected(ticket))
            # The core does not answer a request that it drops, and nothing awaits an answer that it gives later.
            self.answers.pop(ticket, None)
            raise

    def close_ticket(self, ticket: int, answer: tuple) -> None:
        """Set the answer of a ticket, unless it is no longer awaited."""
        future = self.answers.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def submit_hold(self, command: SubmitHold) -> None:
        """Submit a command about a key to the log, and pass the answer to the core."""
        result = await self.holds.submit(command.command, deadline=command.deadline)
        self.feed(HoldAnswered(command.number, result.outcome, result.maybe_accepted))

    def _configuration_changed(self, view: View) -> None:
        self.feed(ConfigurationChanged(view))
        self.registries.update(
            [node.address for node in view.nodes.values() if node.kind == "bourse" and node.state != GONE]
        )

    async def _run_ticks(self) -> None:
        while True:
            self.freezes.tick()
            self.feed(Ticked())
            await asyncio.sleep(self.timings.tick.total_seconds())
