"""A whole deployment in simulated time: the production nodes, with simulated servers, clients and operators.

All of them write to one history, which the checkers read.
"""

import asyncio
import gc
import itertools
import tempfile
import warnings
from collections.abc import Callable, Coroutine
from datetime import timedelta
from pathlib import Path

from loguru import logger

from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, BundleForwardCall
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.testbed.deployments import Deployment
from hoistsaddle.testbed.history import AttemptSeen, BundleApplied, ExpectationChecked, History
from hoistsaddle.testbed.process_names import PROXY
from hoistsaddle.testbed.simulation.clients import Clients
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess, SimulatedTimeLoop
from hoistsaddle.testbed.simulation.operators import Operators
from hoistsaddle.testbed.simulation.processes import OPERATORS, ProcessTable, ProxySite
from hoistsaddle.testbed.simulation.servers import READY, ServerPool
from hoistsaddle.testbed.simulation.world import World

CHECKPOINT_RECORDS = 300
BOOTSTRAP_TIMEOUT = timedelta(seconds=5)
START_TIMEOUT_SECONDS = 10
WAIT_POLL_SECONDS = 0.01
OBSERVE_INTERVAL_SECONDS = 0.02
# The probability that an observation is recorded when a proxy still applies the same bundle.
UNCHANGED_PROBABILITY = 0.05
# The number of newest events that the error of an expired wait shows.
LAST_EVENTS = 12


class SimulatedDeployment:
    """One simulated deployment: its processes, servers, clients and operators, and the history that they share.

    Attributes:
        processes: the stores, registries and proxies.
        servers: the local servers of the proxies.
        clients: send requests to the proxies.
        operators: send calls to the registries.
        counter: numbers everything that needs a unique name.
    """

    def __init__(self, *, deployment: Deployment, world: World, checkpoint_records: int = CHECKPOINT_RECORDS) -> None:
        self.deployment = deployment
        self.world = world
        self.random = world.random
        self.history = History()
        self.counter = itertools.count(1)
        self.processes = ProcessTable(
            deployment=deployment,
            world=world,
            history=self.history,
            run_server=lambda proxy, command: self.servers.run(proxy, command),
            checkpoint_records=checkpoint_records,
        )
        self.servers = ServerPool(
            deployment=deployment,
            world=world,
            history=self.history,
            counter=self.counter,
            processes=self.processes.by_name,
            nodes=self.processes.nodes,
        )
        self.clients = Clients(
            deployment=deployment,
            world=world,
            history=self.history,
            counter=self.counter,
            processes=self.processes,
        )
        self.operators = Operators(
            world=world,
            history=self.history,
            counter=self.counter,
            processes=self.processes,
            servers=self.servers,
        )
        self.background_tasks: set[asyncio.Task] = set()
        world.on_call = self._record_attempt

    def now(self) -> float:
        """Returns the simulated time in seconds."""
        return self.world.loop.time()

    def expect(self, description: str, met: bool) -> None:
        """Records whether an expectation was met; a checker reads it afterwards."""
        self.history.add(ExpectationChecked(self.now(), description, bool(met)))

    def _record_attempt(self, process: SimulatedProcess, address: str, message: tuple) -> None:
        if isinstance(message, BundleForwardCall):
            self.history.add(AttemptSeen(self.now(), message.service_name, message.ordinal > 1))

    def create_task(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine concurrently with the scenario, at the longest until the simulation ends."""
        task = self.world.loop.create_task(work)
        self.background_tasks.add(task)
        return task

    # -- starting ----------------------------------------------------------------------------------------------------

    async def start(self, *, bundle: bool = True) -> None:
        """Starts and bootstraps the deployment; without `bundle`, the proxies serve no requests yet."""
        for name in self.processes.core_names():
            self.processes.start(name)
        await asyncio.sleep(0.05)
        await self._bootstrap()
        for name, site in self.processes.proxies.items():
            self.processes.start(name)
            self.servers.replace(name, service=site.service)
        self.create_task(self.servers.report_all())
        self.create_task(self._observe_bundles())
        await self.wait_for_leader(seconds=START_TIMEOUT_SECONDS)
        if bundle:
            await self.wait_until(self._all_registered, seconds=START_TIMEOUT_SECONDS, description="proxies registered")
            await self.operators.roll_out(self.deployment.first_bundle())
            await self.wait_until(self.is_serving, seconds=START_TIMEOUT_SECONDS, description="every proxy serves")

    async def _bootstrap(self) -> None:
        processes = self.processes
        voters = {machine.replica: processes.nodes[machine.store].runner.core.incarnation for machine in processes.core}
        level = min([LEVEL, *processes.release_levels.values()])
        first_registry = processes.core[0].registry
        rpc_client = processes.nodes[first_registry].runtime.rpc_client
        for machine in processes.core:
            call = BootstrapCall("simulated", voters, OPERATORS, level)
            answer = await processes.by_name[first_registry].spawn(
                rpc_client.call(machine.store, call, within=BOOTSTRAP_TIMEOUT)
            )
            assert isinstance(answer.unwrap(), BootstrapAnswer) and not answer.unwrap().error, answer

    def _all_registered(self) -> bool:
        view = self.processes.nodes[self.processes.core[0].registry].view
        return view.revision > 0 and len(view.nodes) >= len(self.processes.proxies)

    def add_proxy(self, name: str, *, zone: str, service: str) -> None:
        """Adds a new machine with a proxy and a local server."""
        self.processes.proxies[name] = ProxySite(zone, service)
        self.processes.start(name)
        self.servers.replace(name, service=service)

    def remove_proxy(self, name: str) -> None:
        """Removes a proxy and its local server for good."""
        self.servers[name].vanish()
        self.processes.forget(name)
        del self.servers.by_proxy[name]

    # -- waiting -----------------------------------------------------------------------------------------------------

    async def _observe_bundles(self) -> None:
        """Records the bundle that each proxy applies while it is ready."""
        last_recorded: dict[str, tuple[int, str]] = {}
        while True:
            for name in self.processes.running(PROXY):
                core = self.processes.nodes[name].core
                core.now = max(core.now, self.world.loop.now())
                if core.ready() is not None:
                    continue
                current = (core.view.bundle_number, core.settings.incarnation)
                if last_recorded.get(name) != current or self.random.random() < UNCHANGED_PROBABILITY:
                    self.history.add(BundleApplied(self.now(), name, *current))
                last_recorded[name] = current
            await asyncio.sleep(OBSERVE_INTERVAL_SECONDS)

    def is_serving(self) -> bool:
        """Returns whether all running proxies are ready and their ready servers are available in the configuration."""
        running = self.processes.running(PROXY)
        proxies = [self.processes.nodes[name] for name in running]
        for node in proxies:
            node.core.now = max(node.core.now, self.world.loop.now())
            if node.core.ready() is not None:
                return False
        available = {each.instance for each in proxies[0].core.view.available_servers()}
        return all(
            server.instance in available
            for server in self.servers.all()
            if server.present and server.state == READY and server.proxy in running
        )

    async def wait_until(self, condition: Callable[[], bool], *, seconds: float, description: str) -> float:
        """Waits until a condition holds and returns the seconds that this took.

        Raises:
            AssertionError: the condition doesn't hold in time.
        """
        began = self.now()
        while not condition():
            if self.now() - began > seconds:
                events = self.processes.events[-LAST_EVENTS:]
                raise AssertionError(f"{description}: not within {seconds} simulated seconds; last events: {events}")
            await asyncio.sleep(WAIT_POLL_SECONDS)
        return self.now() - began

    async def wait_for_leader(self, *, seconds: float) -> str:
        """Waits until there is a leader, and returns the name of its store."""
        await self.wait_until(lambda: self.processes.leader() is not None, seconds=seconds, description="a leader")
        return str(self.processes.leader())

    async def wait_for_release_level(self, *, seconds: float) -> None:
        """Waits until the mesh has reached this release's own release level."""
        nodes, name = self.processes.nodes, self.processes.core[0].registry
        await self.wait_until(lambda: nodes[name].view.level == LEVEL, seconds=seconds, description="the release level")

    async def wait_for_vote(self, replica: int, *, seconds: float) -> None:
        """Waits until a replica that was unavailable or wiped is a voter again."""
        await self.wait_until(
            lambda: self.processes.has_rejoined(replica),
            seconds=seconds,
            description=f"replica {replica} is a voter again",
        )


Scenario = Callable[[SimulatedDeployment], Coroutine]


def simulate(
    *,
    deployment: Deployment,
    seed: int,
    scenario: Scenario,
    checkpoint_records: int = CHECKPOINT_RECORDS,
) -> SimulatedDeployment:
    """Runs one scenario in simulated time and returns the deployment with its history.

    Raises:
        AssertionError: an exception in a simulated process was not handled.
    """
    logger.disable("hoistsaddle")
    loop = SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        with tempfile.TemporaryDirectory(prefix="hoistsaddle-simulated-") as folder:
            world = World(loop=loop, seed=seed, folder=Path(folder))
            simulation = SimulatedDeployment(deployment=deployment, world=world, checkpoint_records=checkpoint_records)
            try:
                loop.run_until_complete(scenario(simulation))
                errors = list(loop.errors)
            finally:
                _tear_down(simulation)
        if errors:
            raise AssertionError(f"seed {seed}: {errors[0]}")
        return simulation
    finally:
        asyncio.set_event_loop(None)
        loop.close()
        logger.enable("hoistsaddle")


def _tear_down(simulation: SimulatedDeployment) -> None:
    for name in list(simulation.processes.by_name):
        simulation.processes.kill(name)
    for task in simulation.background_tasks:
        task.cancel()
    # Collects the unfinished coroutines of killed processes here, where their "never awaited" warnings are suppressed.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)
        simulation.processes.by_name.clear()
        gc.collect()
