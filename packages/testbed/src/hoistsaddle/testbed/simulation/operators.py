"""The operators of a simulated deployment, who roll out bundles, drain servers and read the configuration back."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.testbed.history import (
    BundleAccepted,
    BundleSubmitted,
    BundleWritten,
    ConfigurationExpected,
    History,
    configuration_read_of,
)
from hoistsaddle.testbed.process_names import PROXY, REGISTRY
from hoistsaddle.testbed.simulation.processes import ProcessTable
from hoistsaddle.testbed.simulation.servers import ServerPool
from hoistsaddle.testbed.simulation.world import World

POLL_SECONDS = 0.02
# The number recorded for a bundle that can't be parsed.
UNREADABLE = -1

Action = Callable[[OperatorActions, str], Coroutine]


class Operators:
    """Sends the calls of operators to any registry and records the answers in the history."""

    def __init__(
        self,
        *,
        world: World,
        history: History,
        counter: itertools.count,
        processes: ProcessTable,
        servers: ServerPool,
    ) -> None:
        self.world = world
        self.random = world.random
        self.history = history
        self.counter = counter
        self.processes = processes
        self.servers = servers

    def _now(self) -> float:
        return self.world.loop.time()

    async def perform(self, action: Action, *, registry: str | None = None) -> Result[dict, MeshError]:
        """Makes an operator's call at one registry; the call fails as SILENT if that process dies.

        Args:
            action: makes the call, given the registry's actions and the id of the request.
            registry: the name of the registry; a random running one by default.
        """
        name = registry or self.random.choice(self.processes.running(REGISTRY))
        request = f"call-{next(self.counter)}"
        process, node = self.processes.by_name[name], self.processes.nodes[name]
        task = process.spawn(action(OperatorActions(registry=node), request))
        while not task.done():
            if process.dead:
                return Failure(MeshError(ErrorKind.SILENT, "the registry died", "ask again"))
            await asyncio.wait([task], timeout=POLL_SECONDS)
        return task.result()

    # -- bundles -----------------------------------------------------------------------------------------------------

    async def submit(
        self, text: str, *, author: str = "ada", registry: str | None = None, broken: bool = False
    ) -> Result[dict, MeshError]:
        """Submits a bundle; `broken` records that it is invalid and must be rejected."""
        result = await self.perform(
            lambda actions, request: actions.submit(author=author, text=text, request=request), registry=registry
        )
        checked = read_bundle(text)
        number = checked.unwrap().number if isinstance(checked, Success) else UNREADABLE
        if isinstance(checked, Success):
            # The bundle can only be in force once it is signed, and it is signed only after this event is recorded.
            self.history.add(BundleWritten(self._now(), number, text))
        error = "" if isinstance(result, Success) else str(result.failure().kind)
        self.history.add(BundleSubmitted(self._now(), number, broken, error))
        return result

    async def _enter_stage(self, action: Action, *, registry: str | None) -> Result[dict, MeshError]:
        result = await self.perform(action, registry=registry)
        match result:
            case Success(answer) if answer["accepted"] and "stage" in answer:
                self.history.add(
                    BundleAccepted(
                        self._now(),
                        answer["revision"],
                        answer["number"],
                        tuple(answer["machines"]),
                        answer["stage"] == answer["stages"],
                    )
                )
        return result

    async def sign(
        self, number: int, digest: str, *, signer: str = "ben", registry: str | None = None
    ) -> Result[dict, MeshError]:
        """Signs a submitted bundle, which puts its first stage into force."""
        return await self._enter_stage(
            lambda actions, request: actions.sign(operator=signer, number=number, digest=digest, request=request),
            registry=registry,
        )

    async def advance(
        self, number: int, from_stage: int, *, operator: str = "ben", registry: str | None = None
    ) -> Result[dict, MeshError]:
        """Puts a bundle's next stage into force."""
        return await self._enter_stage(
            lambda actions, request: actions.advance(
                operator=operator, number=number, from_stage=from_stage, request=request
            ),
            registry=registry,
        )

    async def roll_out(self, text: str) -> None:
        """Submits a bundle, signs it and advances it through all its stages."""
        submitted = (await self.submit(text)).unwrap()["submitted"]
        answer = (await self.sign(submitted["number"], submitted["digest"])).unwrap()
        while answer["stage"] < answer["stages"]:
            answer = (await self.advance(submitted["number"], answer["stage"])).unwrap()

    # -- servers -----------------------------------------------------------------------------------------------------

    async def drain(self, proxy: str, *, drain: bool = True) -> Result[dict, MeshError]:
        """Drains the server beside a proxy, or lifts the drain."""
        return await self.perform(
            lambda actions, request: actions.drain(operator="ada", proxy=proxy, drain=drain, request=request)
        )

    # -- read-back ---------------------------------------------------------------------------------------------------

    async def read_back(
        self, *, in_force: int, drained: tuple[str, ...] = (), settled: bool = False, removed: tuple[str, ...] = ()
    ) -> dict:
        """Reads the configuration from every running registry and records it for a checker to compare.

        Args:
            in_force: the number of the bundle that must be in force.
            drained: the proxies whose servers must be reported as drained.
            settled: whether the servers and nodes must be reported as they are at present, too.
            removed: names that must not appear at all.

        Returns:
            The configuration that the last registry returned.
        """
        texts = {event.number: event.text for event in self.history.of(BundleWritten)}
        servers = self.servers.present_members(self.processes.running(PROXY)) if settled else None
        nodes = self.processes.expected_members() if settled else None
        self.history.add(
            ConfigurationExpected(self._now(), in_force, drained, texts.get(in_force), servers, nodes, removed)
        )
        configuration: dict = {}
        for name in self.processes.running(REGISTRY):
            answer = await self.processes.by_name[name].spawn(self.processes.nodes[name].read_configuration())
            configuration = msgspec.json.decode(answer.unwrap().content)
            self.history.add(configuration_read_of(self._now(), configuration, reader=name))
        return configuration
