"""The node of a proxy under bundles: carries out the commands of its core, without the HTTP listeners."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import ProxySettings
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.proxy.core import ProxyCore
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.freeze_detector import FROZEN_GAP
from hoistsaddle.proxy.mesh_node import MeshNode
from hoistsaddle.proxy.messages import (
    Announce,
    AnswerClient,
    AnswerForward,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    ForwardWithheld,
    ReportHealth,
    RequestArrived,
    RunOnServer,
    StopRequested,
    SubmitHold,
)
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.rpc.runtime import Runtime

# How long a planned stop waits for pending requests, and for the log to record it.
STOP_TIMEOUT = timedelta(seconds=20)
# How long other proxies may still send requests here after that, as their configuration may be old.
LATE_REQUEST_WAIT = milliseconds(300)

# Runs a request on the local server, and returns the event with the result.
Runner = Callable[[RunOnServer], Awaitable[tuple]]


class ProxyNode(MeshNode):
    """The part of a proxy under bundles that communicates with the mesh."""

    core: ProxyCore

    def __init__(self, *, settings: ProxySettings, runtime: Runtime, run_server: Runner) -> None:
        """Start without a configuration.

        Args:
            settings: settings of the process.
            runtime: clock, random generator and connections.
            run_server: runs a request on the local server.
        """
        self.run_server = run_server
        super().__init__(settings=settings, runtime=runtime)

    def _make_core(self, settings: CoreSettings) -> ProxyCore:
        return ProxyCore(settings=settings, seed=self.runtime.random, now=self.runtime.now())

    def _parents(self) -> list[str]:
        members = self.member.core
        proxies = [(member.node, member.address) for member in members.alive(kind="stall")]
        roots = [(member.node, member.address) for member in members.alive(kind="bourse")]
        parents = select_parents(node=self.settings.name, proxies=proxies, roots=roots)
        return parents + [seed for seed in self.settings.seeds if seed not in parents]

    async def finish(self) -> None:
        """Stop gracefully: refuse new requests, have the log record it, and finish the pending requests."""
        self.feed(StopRequested())
        await self.settle()
        await asyncio.sleep(LATE_REQUEST_WAIT.total_seconds())

    async def settle(self) -> None:
        """Wait until nothing is pending here and the log has recorded that the server is leaving."""
        deadline = self.runtime.now() + STOP_TIMEOUT
        while self.runtime.now() < deadline and not (self.core.idle() and self.health.stop_acknowledged()):
            await asyncio.sleep(self.timings.tick.total_seconds())

    async def request(self, make: Callable[[int], RequestArrived]) -> AnswerClient:
        """Pass a client's request to the core, and return its final answer.

        Args:
            make: returns the request's event for a ticket.
        """
        ticket, future = self.open_ticket()
        self.feed(make(ticket))
        return await self.final_answer(ticket, future)

    def feed(self, event: tuple) -> None:
        """Pass an event to the core, and carry out the resulting commands."""
        for command in self.core.handle(event, now=self.runtime.now()):
            match command:
                case AnswerClient(ticket=ticket) | AnswerForward(ticket=ticket):
                    self.close_ticket(ticket, command)
                case SubmitHold():
                    self.spawn(self.submit_hold(command))
                case ForwardRequest():
                    self.spawn(self._forward(command))
                case RunOnServer():
                    self.spawn(self._run(command))
                case ReportHealth():
                    self.health.due.set()
                case Announce(kind=kind, detail=detail):
                    self.counters.record_event(kind, **detail)

    async def answer(self, message: tuple) -> tuple | None:
        """Answer a mesh call; None for an unknown message."""
        if isinstance(message, BundleForwardCall):
            ticket, future = self.open_ticket()
            self.feed(ForwardArrived(ticket, message, self.freezes.frozen()))
            return (await future).answer
        return await super().answer(message)

    async def _forward(self, command: ForwardRequest) -> None:
        self.counters.add(f"sends.{command.call.service_name}")
        decided_at = self.runtime.now()
        withheld = False

        def still() -> bool:
            # After a freeze between the decision and the sending, lease and budget may be outdated.
            nonlocal withheld
            now = self.runtime.now()
            withheld = now - decided_at >= FROZEN_GAP or self.freezes.frozen() or not self.relay.fresh(now=now)
            return not withheld

        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within, still=still):
            case Success(BundleForwardAnswer() as answer):
                self.feed(ForwardAnswered(command.number, answer))
            case _ if withheld:
                self.feed(ForwardWithheld(command.number))
            case result:
                self.feed(ForwardFailed(command.number, result.failure().kind == ErrorKind.UNREACHABLE))

    async def _run(self, command: RunOnServer) -> None:
        self.counters.add("runs")
        self.feed(await self.run_server(command))
