"""A whole deployment in simulated time: the nodes' own code, servers and callers played here, one history."""

import asyncio
import gc
import hashlib
import itertools
import tempfile
import warnings
from collections.abc import Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import CoreMachine, ProxySettings, RegistrySettings, StoreSettings
from hoistsaddle.config.bundle import read_bundle
from hoistsaddle.proxy.messages import (
    ANSWERED,
    AnswerClient,
    HealthReported,
    RequestArrived,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
)
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.registry.service import Registry
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, BundleForwardCall
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.store.service import Store
from hoistsaddle.testbed.deployments import Deployment, NestedCall, RequestKind
from hoistsaddle.testbed.history import (
    AttemptSeen,
    BundleAccepted,
    BundleApplied,
    BundleSubmitted,
    BundleWritten,
    ConfigurationExpected,
    ExpectationChecked,
    History,
    PlannedInterruption,
    ProcessPaused,
    RequestResult,
    RequestSent,
    RunEnded,
    RunStarted,
    ServerStateChanged,
    ServiceRecovered,
    body_digest_of,
    configuration_read_of,
)
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess, SimulatedTimeLoop
from hoistsaddle.testbed.simulation.world import SimulatedDiskWorker, SimulatedRuntime, World, wipe

OPERATORS = {"ada": hashlib.sha256(b"token-of-ada").hexdigest(), "ben": hashlib.sha256(b"token-of-ben").hexdigest()}
HEALTH_SECONDS = 0.8
RETRY_SECONDS = 0.5


class SimulatedServer:
    """A server beside a proxy, with the manners a test gives it."""

    def __init__(self, *, simulation: "SimulatedDeployment", proxy: str, service: str) -> None:
        self.simulation = simulation
        self.proxy = proxy
        self.service = service
        self.instance = f"{service}-{next(simulation.counter)}"
        self.state = "ready"
        self.present = True
        self.misbehaviour = ""
        self.seconds = (0.002, 0.03)

    def tell(self, state: str) -> None:
        self.state = state
        self.simulation.history.add(ServerStateChanged(self.simulation.timestamp(), self.service, self.instance, state))
        self.report()

    def report(self) -> None:
        process = self.simulation.processes.get(self.proxy)
        node = self.simulation.nodes.get(self.proxy)
        if self.present and process is not None and not process.dead and not process.frozen:
            process.context.run(node.feed, HealthReported(self.service, self.instance, f"at-{self.proxy}", self.state))

    def vanish(self) -> None:
        self.present = False
        self.simulation.history.add(
            ServerStateChanged(self.simulation.timestamp(), self.service, self.instance, "vanished")
        )


class SimulatedDeployment:
    def __init__(self, *, deployment: Deployment, world: World, checkpoint_records: int = 300) -> None:
        self.deployment = deployment
        self.world = world
        self.random = world.random
        self.history = History()
        self.counter = itertools.count(1)
        self.processes: dict[str, SimulatedProcess] = {}
        self.nodes: dict[str, Any] = {}
        self.client_tasks: set[asyncio.Task] = set()
        self.core = [
            CoreMachine(replica=place, store=f"warehouse-{place}", registry=f"bourse-{place}")
            for place in range(1, deployment.core + 1)
        ]
        self.seeds = [machine.registry for machine in self.core[:3]]
        self.checkpoint_records = checkpoint_records
        self.proxies: dict[str, tuple[str, str]] = {}
        self.servers: dict[str, SimulatedServer] = {}
        for place, service in enumerate(deployment.services):
            self.proxies[f"stall-{place + 1:02d}"] = (deployment.zone_of(place), service)
        self.process_events: list[tuple[float, str, str, dict]] = []
        # The highest release level a process says it supports, where that isn't all it knows.
        self.levels: dict[str, int] = {}
        self.frozen_at: dict[str, float] = {}
        world.on_call = self._record_attempt

    def expect(self, description: str, met: bool) -> None:
        """Writes down whether something promised came true; the checker reads it afterwards."""
        self.history.add(ExpectationChecked(self.timestamp(), description, bool(met)))

    def timestamp(self) -> float:
        return self.world.loop.time()

    def _record_attempt(self, process: SimulatedProcess, address: str, message: tuple) -> None:
        if isinstance(message, BundleForwardCall):
            self.history.add(AttemptSeen(self.timestamp(), message.service_name, message.ordinal > 1))

    # -- lives -------------------------------------------------------------------------------------------------------

    def _new_process(self, name: str) -> SimulatedProcess:
        process = self.processes[name] = SimulatedProcess(name=name, loop=self.world.loop)
        return process

    def start_process(self, name: str) -> None:
        kind, _, place = name.partition("-")
        process = self._new_process(name)
        runtime = SimulatedRuntime(world=self.world, process=process)
        zones = self.deployment.zones
        node: Any
        settings: Any
        match kind:
            case "warehouse":
                replica = int(place)
                folder = self.world.folder / f"data-{replica}"
                settings = StoreSettings(
                    replica=replica,
                    zone=zones[(replica - 1) % len(zones)],
                    listen=name,
                    data_folder=str(folder),
                    core=self.core,
                    checkpoint_records=self.checkpoint_records,
                    chunk_bytes=8192,
                    lag_wait_seconds=4.0,
                    release_level=self.levels.get(name, 0),
                )
                disk = Disk(folder=folder, replica=replica, token=runtime.token, synchronous="OFF")

                def make_worker(**needs) -> SimulatedDiskWorker:
                    return SimulatedDiskWorker(world=self.world, process=process, **needs)

                node = process.context.run(
                    lambda: Store(settings=settings, runtime=runtime, disk=disk, make_worker=make_worker)
                )
            case "bourse":
                replica = int(place)
                node = process.context.run(
                    lambda: Registry(
                        settings=RegistrySettings(
                            replica=replica,
                            zone=zones[(replica - 1) % len(zones)],
                            listen=name,
                            operators=f"door-{replica}",
                            core=self.core,
                            release_level=self.levels.get(name, 0),
                        ),
                        runtime=runtime,
                    )
                )
            case _:
                zone, _ = self.proxies[name]
                settings = ProxySettings(
                    name=name,
                    zone=zone,
                    listen=name,
                    clients=f"{name}-visitors",
                    inner=f"{name}-inner",
                    seeds=self.seeds,
                    release_level=self.levels.get(name, 0),
                )

                async def run_server(command: RunOnServer) -> tuple:
                    return await self.run_server(name, command)

                node = process.context.run(lambda: ProxyNode(settings=settings, runtime=runtime, run_server=run_server))
        self.nodes[name] = node
        self._observe_counters(node.counters)
        process.spawn(node.start())

    def _observe_counters(self, counters) -> None:
        plain = counters.record_event

        def record_event(kind: str, **detail) -> None:
            self.process_events.append((round(self.timestamp(), 4), counters.owner, kind, detail))
            plain(kind, **detail)

        counters.record_event = record_event

    def add_proxy(self, name: str, *, zone: str, service: str) -> None:
        """A machine that wasn't there before, with a server beside it."""
        self.proxies[name] = (zone, service)
        self.start_process(name)
        self.servers[name] = SimulatedServer(simulation=self, proxy=name, service=service)

    def remove_proxy(self, name: str) -> None:
        """A machine that never comes back."""
        self.servers[name].vanish()
        self.kill(name)
        del self.servers[name], self.proxies[name], self.processes[name], self.nodes[name]

    def kill(self, *names: str) -> None:
        for name in names:
            process, node = self.processes[name], self.nodes[name]
            if process.dead:
                continue
            self.world.kill(process)
            if isinstance(node, Store):
                node.runner.disk.close()

    def restart(self, *names: str) -> None:
        for name in names:
            if not self.processes[name].dead:
                self.kill(name)
            self.start_process(name)

    def wipe(self, replica: int) -> None:
        wipe(self.world.folder / f"data-{replica}")

    def freeze(self, *names: str) -> None:
        for name in names:
            self.processes[name].freeze()
            self.frozen_at.setdefault(name, self.timestamp())

    def wake(self, *names: str) -> None:
        for name in names:
            self.processes[name].wake()
            if name in self.frozen_at:
                self.history.add(ProcessPaused(self.frozen_at.pop(name), self.timestamp(), name))

    async def stop_proxy(self, name: str) -> None:
        """A planned stop, as SIGTERM does it."""
        began = self.timestamp()
        await self.processes[name].spawn(self.nodes[name].finish())
        self.kill(name)
        # Callers notice a cut a little after it; the span takes that in.
        self.history.add(PlannedInterruption(began, self.timestamp() + 0.2, f"planned stop of {name}"))

    def names(self, kind: str) -> list[str]:
        return [name for name in self.processes if name.startswith(kind + "-")]

    def live(self, kind: str) -> list[str]:
        return [name for name in self.names(kind) if not self.processes[name].dead and not self.processes[name].frozen]

    def leader(self) -> str | None:
        leading = [
            (self.nodes[name].runner.core.epoch, name)
            for name in self.live("warehouse")
            if self.nodes[name].runner.core and self.nodes[name].runner.core.role == "leader"
        ]
        return max(leading)[1] if leading else None

    def rejoined(self, replica: int) -> bool:
        """Whether a replica's present disk votes and holds everything."""
        core = self.nodes[f"warehouse-{replica}"].runner.core
        return core is not None and core.complete and core.state.voters.get(replica) == core.incarnation

    # -- the whole ---------------------------------------------------------------------------------------------------

    async def start(self, *, bundle: bool = True) -> None:
        for machine in self.core:
            self.start_process(f"warehouse-{machine.replica}")
            self.start_process(f"bourse-{machine.replica}")
        await asyncio.sleep(0.05)
        voters = {machine.replica: self.nodes[machine.store].runner.core.incarnation for machine in self.core}
        level = min([LEVEL, *self.levels.values()])
        for machine in self.core:
            registry = self.processes["bourse-1"]
            answer = await registry.spawn(
                self.nodes["bourse-1"].runtime.rpc_client.call(
                    machine.store, BootstrapCall("simulated", voters, OPERATORS, level), within=timedelta(seconds=5)
                )
            )
            assert isinstance(answer.unwrap(), BootstrapAnswer) and not answer.unwrap().error, answer
        for name, (_, service) in self.proxies.items():
            self.start_process(name)
            self.servers[name] = SimulatedServer(simulation=self, proxy=name, service=service)
        self.create_task(self._report_health())
        self.create_task(self._observe())
        await self.until(lambda: self.leader() is not None, seconds=10, description="a leader")
        if bundle:
            await self.until(
                lambda: (
                    self.nodes["bourse-1"].view.revision > 0
                    and len(self.nodes["bourse-1"].view.nodes) >= len(self.proxies)
                ),
                seconds=10,
                description="proxies noted",
            )
            await self.roll_out(self.deployment.first_bundle())
            await self.until(self.is_serving, seconds=10, description="every proxy serves")

    def create_task(self, work: Coroutine) -> asyncio.Task:
        task = self.world.loop.create_task(work)
        self.client_tasks.add(task)
        return task

    async def _report_health(self) -> None:
        while True:
            for server in list(self.servers.values()):
                server.report()
            await asyncio.sleep(HEALTH_SECONDS)

    async def _observe(self) -> None:
        """Writes down which bundle each proxy acts under, whenever it could act."""
        known: dict[str, tuple[int, str]] = {}
        while True:
            for name in self.live("stall"):
                core = self.nodes[name].core
                core.now = max(core.now, self.world.loop.now())
                if core.ready() is None:
                    now = (core.view.bundle_number, core.settings.incarnation)
                    self.history.add(BundleApplied(self.timestamp(), name, *now)) if known.get(
                        name
                    ) != now or self.random.random() < 0.05 else None
                    known[name] = now
            await asyncio.sleep(0.02)

    def is_serving(self) -> bool:
        """Every proxy ready, and every present server open in the configuration each of them holds."""
        proxies = [self.nodes[name] for name in self.live("stall")]
        for node in proxies:
            node.core.now = max(node.core.now, self.world.loop.now())
            if node.core.ready() is not None:
                return False
        view = proxies[0].core.view
        return all(
            server.instance in {each.instance for each in view.available_servers()}
            for server in self.servers.values()
            if server.present and server.state == "ready" and server.proxy in self.live("stall")
        )

    async def until(self, ready: Callable[[], bool], *, seconds: float, description: str) -> float:
        began = self.timestamp()
        while not ready():
            if self.timestamp() - began > seconds:
                raise AssertionError(
                    f"{description}: not within {seconds} simulated seconds; lately: {self.process_events[-12:]}"
                )
            await asyncio.sleep(0.01)
        return self.timestamp() - began

    # -- operators ---------------------------------------------------------------------------------------------------

    async def as_operator(
        self, work: Callable[[OperatorActions, str], Coroutine], *, registry: str | None = None
    ) -> Result[dict, MeshError]:
        """Does an operator's call at one registry; if that process dies, the operator sees the connection break."""
        name = registry or self.random.choice(self.live("bourse"))
        request = f"call-{next(self.counter)}"
        process, node = self.processes[name], self.nodes[name]
        task = process.spawn(work(OperatorActions(registry=node), request))
        while not task.done():
            if process.dead:
                return Failure(MeshError(ErrorKind.SILENT, "the registry died", "ask again"))
            await asyncio.wait([task], timeout=0.02)
        return task.result()

    async def submit(
        self, text: str, *, author: str = "ada", registry: str | None = None, broken: bool = False
    ) -> Result[dict, MeshError]:
        result = await self.as_operator(
            lambda actions, request: actions.submit(author=author, text=text, request=request), registry=registry
        )
        checked = read_bundle(text)
        if isinstance(checked, Success):
            # It can't be in play before it is signed, and nobody signs before this.
            self.history.add(BundleWritten(self.timestamp(), checked.unwrap().number, text))
        number = checked.unwrap().number if isinstance(checked, Success) else -1
        error = "" if isinstance(result, Success) else str(result.failure().kind)
        self.history.add(BundleSubmitted(self.timestamp(), number, broken, error))
        return result

    async def stage(
        self, work: Callable[[OperatorActions, str], Coroutine], *, registry: str | None = None
    ) -> Result[dict, MeshError]:
        result = await self.as_operator(work, registry=registry)
        match result:
            case Success(answer) if answer["accepted"] and "stage" in answer:
                self.history.add(
                    BundleAccepted(
                        self.timestamp(),
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
        return await self.stage(
            lambda actions, request: actions.sign(operator=signer, number=number, digest=digest, request=request),
            registry=registry,
        )

    async def advance(
        self, number: int, from_stage: int, *, operator: str = "ben", registry: str | None = None
    ) -> Result[dict, MeshError]:
        return await self.stage(
            lambda actions, request: actions.advance(
                operator=operator, number=number, from_stage=from_stage, request=request
            ),
            registry=registry,
        )

    async def drain(self, proxy: str, *, drain: bool = True) -> Result[dict, MeshError]:
        return await self.as_operator(
            lambda actions, request: actions.drain(operator="ada", proxy=proxy, drain=drain, request=request)
        )

    async def roll_out(self, text: str) -> None:
        submitted = (await self.submit(text)).unwrap()["submitted"]
        answer = (await self.sign(submitted["number"], submitted["digest"])).unwrap()
        while answer["stage"] < answer["stages"]:
            answer = (await self.advance(submitted["number"], answer["stage"])).unwrap()

    def account(self) -> tuple[tuple, tuple]:
        """Servers and nodes as they are, from what was done to them and not from what the mesh says."""
        servers = [
            (name, server.service, server.instance, server.state)
            for name, server in self.servers.items()
            if server.present and name in self.live("stall")
        ]
        nodes = [(name, self.nodes[name].incarnation) for kind in ("bourse", "stall") for name in self.live(kind)]
        return tuple(sorted(servers)), tuple(sorted(nodes))

    async def read_back(
        self, *, in_force: int, drained: tuple[str, ...] = (), settled: bool = False, removed: tuple[str, ...] = ()
    ) -> dict:
        """Reads the configuration back at every registry; settled: servers and nodes must show as they are too."""
        texts = {event.number: event.text for event in self.history.of(BundleWritten)}
        servers, nodes = self.account() if settled else (None, None)
        text = texts.get(in_force)
        self.history.add(ConfigurationExpected(self.timestamp(), in_force, drained, text, servers, nodes, removed))
        setup: dict = {}
        for name in self.live("bourse"):
            answer = await self.processes[name].spawn(self.nodes[name].read_configuration())
            setup = msgspec.json.decode(answer.unwrap().content)
            self.history.add(configuration_read_of(self.timestamp(), setup, reader=name))
        return setup

    # -- servers and callers -----------------------------------------------------------------------------------------

    async def run_server(self, proxy: str, command: RunOnServer) -> tuple:
        """The way from a proxy to its server, and the server itself; both may be gone or misbehave."""
        call = command.call
        server = self.servers[proxy]
        if not server.present:
            return ServerFailed(
                command.number, True, MeshError(ErrorKind.UNREACHABLE, "connection refused", "simulated")
            )
        nonce = msgspec.json.decode(call.body)["nonce"] if call.body else call.path.partition("nonce=")[2]
        path = call.path.partition("?")[0]
        run = f"run-{next(self.counter)}"
        key = call.headers.get("Idempotency-Key", "")
        self.history.add(
            RunStarted(
                self.timestamp(),
                nonce,
                server.service,
                server.instance,
                call.method,
                path,
                key,
                call.client,
                call.caller,
                call.send,
                run,
                proxy,
                len(call.body),
            )
        )
        await asyncio.sleep(self.random.uniform(*server.seconds))
        for inner in self.deployment.inner.get((server.service, path), ()):
            await self.call_inner(proxy, server, inner, nonce)
        silent = ServerFailed(command.number, False, MeshError(ErrorKind.SILENT, "no whole answer", "simulated"))
        if server.misbehaviour in ("lose answer", "garbage", "truncate") or not server.present:
            return silent
        body = msgspec.json.encode({"nonce": nonce, "run": run, "service": server.service, "instance": server.instance})
        self.history.add(RunEnded(run, 200, body_digest_of(body)))
        return ServerAnswered(command.number, 200, {"Content-Type": "application/json"}, body)

    async def call_inner(self, proxy: str, server: SimulatedServer, inner: NestedCall, nonce: str) -> None:
        """A server's own call at its proxy's door: the door says which service calls, the server which instance."""
        node = self.nodes[proxy]
        door = node.core.server
        if door is None:
            return
        asked = self.timestamp()
        answer = await node.request(
            lambda ticket: RequestArrived(
                ticket,
                door.service,
                f"service {door.service}",
                inner.method,
                inner.path,
                f"nonce={nonce}",
                {},
                b"",
                "",
                server.instance,
            )
        )
        self._note_answer(answer, nonce, proxy, asked, caller=server.service)

    def _note_answer(
        self, answer: AnswerClient, nonce: str, door: str, asked: float, *, caller: str = ""
    ) -> RequestResult:
        answer_body = msgspec.json.decode(answer.body) if answer.outcome == ANSWERED and answer.body else {}
        response = RequestResult(
            self.timestamp(),
            nonce,
            answer.outcome,
            answer.status,
            answer_body.get("nonce", ""),
            answer_body.get("run", ""),
            "X-Hoistsaddle-Repeat" in answer.headers,
            door,
            str(answer.error.kind) if answer.error else "",
            body_digest_of(answer.body) if answer.outcome == ANSWERED else "",
            asked,
            caller,
            answer.retry_after is not None,
        )
        self.history.add(response)
        return response

    async def send_request(
        self,
        request_kind: RequestKind,
        *,
        client: str,
        key: str = "",
        proxy: str | None = None,
        nonce: str = "",
        extra: str = "",
        headers: dict[str, str] | None = None,
    ) -> RequestResult:
        """One client's request at one proxy's door."""
        name = proxy or self.random.choice(list(self.proxies))
        nonce = nonce or (f"key-{key}" if key else f"ask-{next(self.counter)}")
        began = self.timestamp()
        body = msgspec.json.encode({"nonce": nonce, "extra": extra}) if request_kind.once else b""
        self.history.add(
            RequestSent(began, nonce, request_kind.method, request_kind.path, key, client, name, len(body))
        )
        process, node = self.processes[name], self.nodes[name]
        if process.dead:
            response = RequestResult(began, nonce, "unreachable", 0, "", "", False, name, asked=began)
            self.history.add(response)
            return response
        shown = {"Authorization": f"Bearer {client}"} if headers is None else headers
        sent = {**shown, **({"Idempotency-Key": key} if key else {})}
        query = "" if request_kind.once else f"nonce={nonce}"

        async def arrive() -> AnswerClient:
            return await node.request(
                lambda ticket: RequestArrived(
                    ticket, "", client, request_kind.method, request_kind.path, query, sent, body, key
                )
            )

        task = process.spawn(arrive())
        deadline = began + 15
        while not task.done() and not process.dead and self.timestamp() < deadline:
            await asyncio.wait([task], timeout=0.05)
        if task.done():
            return self._note_answer(task.result(), nonce, name, began)
        response = RequestResult(self.timestamp(), nonce, "broken", 0, "", "", False, name, asked=began)
        self.history.add(response)
        return response

    async def _send_with_retries(self) -> None:
        request_kinds = self.deployment.request_kinds
        request_kind = self.random.choices(request_kinds, weights=[each.weight for each in request_kinds])[0]
        client = f"visitor-{self.random.randrange(50)}"
        key = f"{next(self.counter)}" if request_kind.once else ""
        response = await self.send_request(request_kind, client=client, key=key)
        # People press the button again: at another door, at once or after an error.
        for _ in range(2):
            if not request_kind.once or (response.outcome == "answered" and self.random.random() > 0.15):
                return
            await asyncio.sleep(self.random.random() * RETRY_SECONDS)
            response = await self.send_request(request_kind, client=client, key=key)

    async def load(self, *, seconds: float, rate: float) -> None:
        """Callers for this long, and then every answer awaited."""
        end = self.timestamp() + seconds
        client_tasks = []
        while self.timestamp() < end:
            client_tasks.append(self.world.loop.create_task(self._send_with_retries()))
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*client_tasks)

    async def wait_for_service(self, description: str, *, since: float | None = None) -> float:
        """From the machines' return to the first answered ask of every kind."""
        began = self.timestamp() if since is None else since

        async def answered(request_kind: RequestKind) -> None:
            while True:
                live = self.live("stall")
                response = (
                    await self.send_request(
                        request_kind,
                        client="tester",
                        key=f"back-{next(self.counter)}" if request_kind.once else "",
                        proxy=self.random.choice(live),
                    )
                    if live
                    else None
                )
                if response is not None and response.outcome == "answered":
                    return
                await asyncio.sleep(0.1)

        await asyncio.gather(*(answered(request_kind) for request_kind in self.deployment.request_kinds))
        self.history.add(ServiceRecovered(began, self.timestamp(), description))
        return self.timestamp() - began


def simulate(
    *,
    deployment: Deployment,
    seed: int,
    scenario: Callable[[SimulatedDeployment], Coroutine],
    checkpoint_records: int = 300,
) -> SimulatedDeployment:
    """Runs one scenario in simulated time and gives the deployment with its history."""
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
                for name in list(simulation.processes):
                    simulation.kill(name)
                for task in simulation.client_tasks:
                    task.cancel()
                # What killed lives left unfinished is collected here, while its complaints mean nothing.
                with warnings.catch_warnings():
                    warnings.simplefilter("ignore", RuntimeWarning)
                    simulation.processes.clear()
                    gc.collect()
        if errors:
            raise AssertionError(f"seed {seed}: {errors[0]}")
        return simulation
    finally:
        asyncio.set_event_loop(None)
        loop.close()
        logger.enable("hoistsaddle")
