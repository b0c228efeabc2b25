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

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.settings import CoreMachine, ProxyParams, RegistryParams, StoreParams
from hoistsaddle.config.bundle import read_bundle
from hoistsaddle.proxy.messages import (
    ANSWERED,
    AnswerVisitor,
    RequestArrived,
    RunServer,
    ServerAnswered,
    ServerMissed,
    VitalsArrived,
)
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.desk import Desk
from hoistsaddle.registry.service import Registry
from hoistsaddle.rpc.messages import FoundAnswer, FoundCall, PassCall
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.store.service import Store
from hoistsaddle.testbed.deployments import Ask, Deployment, Inner
from hoistsaddle.testbed.history import (
    Accepted,
    Asked,
    Back,
    Expected,
    Further,
    Got,
    History,
    Interrupted,
    Promised,
    Ran,
    Replied,
    ServerChanged,
    Stood,
    Submitted,
    TookUp,
    Written,
    mark_of,
    read_back_of,
)
from hoistsaddle.testbed.simulation.clockwork import ClockworkLoop, Life
from hoistsaddle.testbed.simulation.world import SimulatedDiskWorker, SimulatedRuntime, World, wipe

OPERATORS = {"ada": hashlib.sha256(b"token-of-ada").hexdigest(), "ben": hashlib.sha256(b"token-of-ben").hexdigest()}
VITALS_SECONDS = 0.8
RETRY_SECONDS = 0.5


class SimulatedServer:
    """A server beside a stall, with the manners a test gives it."""

    def __init__(self, *, whole: "SimulatedDeployment", stall: str, service: str) -> None:
        self.whole = whole
        self.stall = stall
        self.service = service
        self.instance = f"{service}-{next(whole.counter)}"
        self.state = "ready"
        self.present = True
        self.manner = ""
        self.seconds = (0.002, 0.03)

    def tell(self, state: str) -> None:
        self.state = state
        self.whole.history.add(ServerChanged(self.whole.moment(), self.service, self.instance, state))
        self.report()

    def report(self) -> None:
        life = self.whole.lives.get(self.stall)
        node = self.whole.nodes.get(self.stall)
        if self.present and life is not None and not life.dead and not life.frozen:
            life.context.run(node.feed, VitalsArrived(self.service, self.instance, f"at-{self.stall}", self.state))

    def vanish(self) -> None:
        self.present = False
        self.whole.history.add(ServerChanged(self.whole.moment(), self.service, self.instance, "vanished"))


class SimulatedDeployment:
    def __init__(self, *, deployment: Deployment, world: World, checkpoint_records: int = 300) -> None:
        self.deployment = deployment
        self.world = world
        self.random = world.random
        self.history = History()
        self.counter = itertools.count(1)
        self.lives: dict[str, Life] = {}
        self.nodes: dict[str, Any] = {}
        self.visits: set[asyncio.Task] = set()
        self.core = [
            CoreMachine(replica=place, warehouse=f"warehouse-{place}", bourse=f"bourse-{place}")
            for place in range(1, deployment.core + 1)
        ]
        self.seeds = [machine.bourse for machine in self.core[:3]]
        self.checkpoint_records = checkpoint_records
        self.stalls: dict[str, tuple[str, str]] = {}
        self.servers: dict[str, SimulatedServer] = {}
        for place, service in enumerate(deployment.services):
            self.stalls[f"stall-{place + 1:02d}"] = (deployment.zone_of(place), service)
        self.happenings: list[tuple[float, str, str, dict]] = []
        # The highest release level a process says it supports, where that isn't all it knows.
        self.levels: dict[str, int] = {}
        self.frozen_at: dict[str, float] = {}
        world.seen_calls = self._see_call

    def promise(self, what: str, kept: bool) -> None:
        """Writes down whether something promised came true; the checker reads it afterwards."""
        self.history.add(Promised(self.moment(), what, bool(kept)))

    def moment(self) -> float:
        return self.world.loop.time()

    def _see_call(self, life: Life, address: str, message: tuple) -> None:
        if isinstance(message, PassCall):
            self.history.add(Further(self.moment(), message.service_name, message.ordinal > 1))

    # -- lives -------------------------------------------------------------------------------------------------------

    def _life(self, name: str) -> Life:
        life = self.lives[name] = Life(name=name, loop=self.world.loop)
        return life

    def start_process(self, name: str) -> None:
        kind, _, place = name.partition("-")
        life = self._life(name)
        runtime = SimulatedRuntime(world=self.world, life=life)
        zones = self.deployment.zones
        node: Any
        params: Any
        match kind:
            case "warehouse":
                replica = int(place)
                folder = self.world.folder / f"data-{replica}"
                params = StoreParams(
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
                    return SimulatedDiskWorker(world=self.world, life=life, **needs)

                node = life.context.run(
                    lambda: Store(params=params, runtime=runtime, disk=disk, make_worker=make_worker)
                )
            case "bourse":
                replica = int(place)
                node = life.context.run(
                    lambda: Registry(
                        params=RegistryParams(
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
                zone, _ = self.stalls[name]
                params = ProxyParams(
                    name=name,
                    zone=zone,
                    listen=name,
                    visitors=f"{name}-visitors",
                    inner=f"{name}-inner",
                    seeds=self.seeds,
                    release_level=self.levels.get(name, 0),
                )

                async def run_server(command: RunServer) -> tuple:
                    return await self._run_server(name, command)

                node = life.context.run(lambda: ProxyNode(params=params, runtime=runtime, run_server=run_server))
        self.nodes[name] = node
        self._listen(node.counters)
        life.spawn(node.start())

    def _listen(self, counters) -> None:
        plain = counters.happen

        def happen(kind: str, **detail) -> None:
            self.happenings.append((round(self.moment(), 4), counters.owner, kind, detail))
            plain(kind, **detail)

        counters.happen = happen

    def add_stall(self, name: str, *, zone: str, service: str) -> None:
        """A machine that wasn't there before, with a server beside it."""
        self.stalls[name] = (zone, service)
        self.start_process(name)
        self.servers[name] = SimulatedServer(whole=self, stall=name, service=service)

    def remove_stall(self, name: str) -> None:
        """A machine that never comes back."""
        self.servers[name].vanish()
        self.kill(name)
        del self.servers[name], self.stalls[name], self.lives[name], self.nodes[name]

    def kill(self, *names: str) -> None:
        for name in names:
            life, node = self.lives[name], self.nodes[name]
            if life.dead:
                continue
            self.world.kill(life)
            if isinstance(node, Store):
                node.shell.disk.close()

    def restart(self, *names: str) -> None:
        for name in names:
            if not self.lives[name].dead:
                self.kill(name)
            self.start_process(name)

    def wipe(self, replica: int) -> None:
        wipe(self.world.folder / f"data-{replica}")

    def freeze(self, *names: str) -> None:
        for name in names:
            self.lives[name].freeze()
            self.frozen_at.setdefault(name, self.moment())

    def wake(self, *names: str) -> None:
        for name in names:
            self.lives[name].wake()
            if name in self.frozen_at:
                self.history.add(Stood(self.frozen_at.pop(name), self.moment(), name))

    async def stop_stall(self, name: str) -> None:
        """A planned stop, as SIGTERM does it."""
        began = self.moment()
        await self.lives[name].spawn(self.nodes[name].finish())
        self.kill(name)
        # Callers notice a cut a little after it; the span takes that in.
        self.history.add(Interrupted(began, self.moment() + 0.2, f"planned stop of {name}"))

    def names(self, kind: str) -> list[str]:
        return [name for name in self.lives if name.startswith(kind + "-")]

    def live(self, kind: str) -> list[str]:
        return [name for name in self.names(kind) if not self.lives[name].dead and not self.lives[name].frozen]

    def leader(self) -> str | None:
        leading = [
            (self.nodes[name].shell.core.epoch, name)
            for name in self.live("warehouse")
            if self.nodes[name].shell.core and self.nodes[name].shell.core.standing == "leader"
        ]
        return max(leading)[1] if leading else None

    def rejoined(self, replica: int) -> bool:
        """Whether a replica's present disk votes and holds everything."""
        core = self.nodes[f"warehouse-{replica}"].shell.core
        return core is not None and core.whole and core.state.voters.get(replica) == core.incarnation

    # -- the whole ---------------------------------------------------------------------------------------------------

    async def start(self, *, bundle: bool = True) -> None:
        for machine in self.core:
            self.start_process(f"warehouse-{machine.replica}")
            self.start_process(f"bourse-{machine.replica}")
        await asyncio.sleep(0.05)
        voters = {machine.replica: self.nodes[machine.warehouse].shell.core.incarnation for machine in self.core}
        level = min([LEVEL, *self.levels.values()])
        for machine in self.core:
            bourse = self.lives["bourse-1"]
            answer = await bourse.spawn(
                self.nodes["bourse-1"].runtime.lines.call(
                    machine.warehouse, FoundCall("simulated", voters, OPERATORS, level), within=timedelta(seconds=5)
                )
            )
            assert isinstance(answer.unwrap(), FoundAnswer) and not answer.unwrap().mishap, answer
        for name, (_, service) in self.stalls.items():
            self.start_process(name)
            self.servers[name] = SimulatedServer(whole=self, stall=name, service=service)
        self.keep(self._report_vitals())
        self.keep(self._observe())
        await self.until(lambda: self.leader() is not None, seconds=10, what="a leader")
        if bundle:
            await self.until(
                lambda: (
                    self.nodes["bourse-1"].view.revision > 0
                    and len(self.nodes["bourse-1"].view.nodes) >= len(self.stalls)
                ),
                seconds=10,
                what="stalls noted",
            )
            await self.roll_out(self.deployment.first_bundle())
            await self.until(self.serving, seconds=10, what="every stall serves")

    def keep(self, work: Coroutine) -> asyncio.Task:
        task = self.world.loop.create_task(work)
        self.visits.add(task)
        return task

    async def _report_vitals(self) -> None:
        while True:
            for server in list(self.servers.values()):
                server.report()
            await asyncio.sleep(VITALS_SECONDS)

    async def _observe(self) -> None:
        """Writes down which bundle each stall acts under, whenever it could act."""
        known: dict[str, tuple[int, str]] = {}
        while True:
            for name in self.live("stall"):
                core = self.nodes[name].core
                core.now = max(core.now, self.world.loop.now())
                if core.ready() is None:
                    now = (core.view.bundle_number, core.params.incarnation)
                    self.history.add(TookUp(self.moment(), name, *now)) if known.get(
                        name
                    ) != now or self.random.random() < 0.05 else None
                    known[name] = now
            await asyncio.sleep(0.02)

    def serving(self) -> bool:
        """Every stall ready, and every present server open in the setup each of them holds."""
        stalls = [self.nodes[name] for name in self.live("stall")]
        for node in stalls:
            node.core.now = max(node.core.now, self.world.loop.now())
            if node.core.ready() is not None:
                return False
        view = stalls[0].core.view
        return all(
            server.instance in {each.instance for each in view.open_servers()}
            for server in self.servers.values()
            if server.present and server.state == "ready" and server.stall in self.live("stall")
        )

    async def until(self, ready: Callable[[], bool], *, seconds: float, what: str) -> float:
        began = self.moment()
        while not ready():
            if self.moment() - began > seconds:
                raise AssertionError(f"{what}: not within {seconds} simulated seconds; lately: {self.happenings[-12:]}")
            await asyncio.sleep(0.01)
        return self.moment() - began

    # -- operators ---------------------------------------------------------------------------------------------------

    async def at_desk(
        self, work: Callable[[Desk, str], Coroutine], *, bourse: str | None = None
    ) -> Result[dict, Mishap]:
        """Does an operator's call at one bourse; if that process dies, the operator sees the connection break."""
        name = bourse or self.random.choice(self.live("bourse"))
        request = f"call-{next(self.counter)}"
        life, node = self.lives[name], self.nodes[name]
        task = life.spawn(work(Desk(bourse=node), request))
        while not task.done():
            if life.dead:
                return Failure(Mishap(MishapKind.SILENT, "the bourse died", "ask again"))
            await asyncio.wait([task], timeout=0.02)
        return task.result()

    async def submit(
        self, text: str, *, author: str = "ada", bourse: str | None = None, broken: bool = False
    ) -> Result[dict, Mishap]:
        result = await self.at_desk(
            lambda desk, request: desk.submit(author=author, text=text, request=request), bourse=bourse
        )
        checked = read_bundle(text)
        if isinstance(checked, Success):
            # It can't be in play before it is signed, and nobody signs before this.
            self.history.add(Written(self.moment(), checked.unwrap().number, text))
        number = checked.unwrap().number if isinstance(checked, Success) else -1
        mishap = "" if isinstance(result, Success) else str(result.failure().kind)
        self.history.add(Submitted(self.moment(), number, broken, mishap))
        return result

    async def stage(self, work: Callable[[Desk, str], Coroutine], *, bourse: str | None = None) -> Result[dict, Mishap]:
        result = await self.at_desk(work, bourse=bourse)
        match result:
            case Success(answer) if answer["accepted"] and "stage" in answer:
                self.history.add(
                    Accepted(
                        self.moment(),
                        answer["revision"],
                        answer["number"],
                        tuple(answer["machines"]),
                        answer["stage"] == answer["stages"],
                    )
                )
        return result

    async def sign(
        self, number: int, digest: str, *, signer: str = "ben", bourse: str | None = None
    ) -> Result[dict, Mishap]:
        return await self.stage(
            lambda desk, request: desk.sign(operator=signer, number=number, digest=digest, request=request),
            bourse=bourse,
        )

    async def advance(
        self, number: int, from_stage: int, *, operator: str = "ben", bourse: str | None = None
    ) -> Result[dict, Mishap]:
        return await self.stage(
            lambda desk, request: desk.advance(
                operator=operator, number=number, from_stage=from_stage, request=request
            ),
            bourse=bourse,
        )

    async def drain(self, stall: str, *, drain: bool = True) -> Result[dict, Mishap]:
        return await self.at_desk(
            lambda desk, request: desk.drain(operator="ada", stall=stall, drain=drain, request=request)
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
        """Reads the setup back at every bourse; settled means that servers and nodes must show as they are too."""
        texts = {event.number: event.text for event in self.history.of(Written)}
        servers, nodes = self.account() if settled else (None, None)
        text = texts.get(in_force)
        self.history.add(Expected(self.moment(), in_force, drained, text, servers, nodes, removed))
        setup: dict = {}
        for name in self.live("bourse"):
            answer = await self.lives[name].spawn(self.nodes[name].read_setup())
            setup = msgspec.json.decode(answer.unwrap().content)
            self.history.add(read_back_of(self.moment(), setup, reader=name))
        return setup

    # -- servers and callers -----------------------------------------------------------------------------------------

    async def _run_server(self, stall: str, command: RunServer) -> tuple:
        """The way from a stall to its server, and the server itself; both may be gone or misbehave."""
        call = command.call
        server = self.servers[stall]
        if not server.present:
            return ServerMissed(command.number, True, Mishap(MishapKind.UNREACHABLE, "connection refused", "simulated"))
        nonce = msgspec.json.decode(call.body)["nonce"] if call.body else call.path.partition("nonce=")[2]
        path = call.path.partition("?")[0]
        run = f"run-{next(self.counter)}"
        key = call.headers.get("Idempotency-Key", "")
        self.history.add(
            Ran(
                self.moment(),
                nonce,
                server.service,
                server.instance,
                call.method,
                path,
                key,
                call.visitor,
                call.caller,
                call.send,
                run,
                stall,
                len(call.body),
            )
        )
        await asyncio.sleep(self.random.uniform(*server.seconds))
        for inner in self.deployment.inner.get((server.service, path), ()):
            await self.call_inner(stall, server, inner, nonce)
        silent = ServerMissed(command.number, False, Mishap(MishapKind.SILENT, "no whole answer", "simulated"))
        if server.manner in ("lose answer", "garbage", "truncate") or not server.present:
            return silent
        body = msgspec.json.encode({"nonce": nonce, "run": run, "service": server.service, "instance": server.instance})
        self.history.add(Replied(run, 200, mark_of(body)))
        return ServerAnswered(command.number, 200, {"Content-Type": "application/json"}, body)

    async def call_inner(self, stall: str, server: SimulatedServer, inner: Inner, nonce: str) -> None:
        """A server's own call at its stall's door: the door says which service calls, the server which instance."""
        node = self.nodes[stall]
        door = node.core.server
        if door is None:
            return
        asked = self.moment()
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
        self._note_answer(answer, nonce, stall, asked, caller=server.service)

    def _note_answer(self, answer: AnswerVisitor, nonce: str, door: str, asked: float, *, caller: str = "") -> Got:
        told = msgspec.json.decode(answer.body) if answer.outcome == ANSWERED and answer.body else {}
        got = Got(
            self.moment(),
            nonce,
            answer.outcome,
            answer.status,
            told.get("nonce", ""),
            told.get("run", ""),
            "X-Hoistsaddle-Repeat" in answer.headers,
            door,
            str(answer.mishap.kind) if answer.mishap else "",
            mark_of(answer.body) if answer.outcome == ANSWERED else "",
            asked,
            caller,
            answer.retry_after is not None,
        )
        self.history.add(got)
        return got

    async def ask(
        self,
        ask: Ask,
        *,
        visitor: str,
        key: str = "",
        stall: str | None = None,
        nonce: str = "",
        extra: str = "",
        headers: dict[str, str] | None = None,
    ) -> Got:
        """One visitor's request at one stall's door."""
        name = stall or self.random.choice(list(self.stalls))
        nonce = nonce or (f"key-{key}" if key else f"ask-{next(self.counter)}")
        began = self.moment()
        body = msgspec.json.encode({"nonce": nonce, "extra": extra}) if ask.once else b""
        self.history.add(Asked(began, nonce, ask.method, ask.path, key, visitor, name, len(body)))
        life, node = self.lives[name], self.nodes[name]
        if life.dead:
            got = Got(began, nonce, "unreachable", 0, "", "", False, name, asked=began)
            self.history.add(got)
            return got
        shown = {"Authorization": f"Bearer {visitor}"} if headers is None else headers
        sent = {**shown, **({"Idempotency-Key": key} if key else {})}
        query = "" if ask.once else f"nonce={nonce}"

        async def arrive() -> AnswerVisitor:
            return await node.request(
                lambda ticket: RequestArrived(ticket, "", visitor, ask.method, ask.path, query, sent, body, key)
            )

        task = life.spawn(arrive())
        deadline = began + 15
        while not task.done() and not life.dead and self.moment() < deadline:
            await asyncio.wait([task], timeout=0.05)
        if task.done():
            return self._note_answer(task.result(), nonce, name, began)
        got = Got(self.moment(), nonce, "broken", 0, "", "", False, name, asked=began)
        self.history.add(got)
        return got

    async def _visit(self) -> None:
        asks = self.deployment.asks
        ask = self.random.choices(asks, weights=[each.weight for each in asks])[0]
        visitor = f"visitor-{self.random.randrange(50)}"
        key = f"{next(self.counter)}" if ask.once else ""
        got = await self.ask(ask, visitor=visitor, key=key)
        # People press the button again: at another door, at once or after a mishap.
        for _ in range(2):
            if not ask.once or (got.outcome == "answered" and self.random.random() > 0.15):
                return
            await asyncio.sleep(self.random.random() * RETRY_SECONDS)
            got = await self.ask(ask, visitor=visitor, key=key)

    async def load(self, *, seconds: float, rate: float) -> None:
        """Callers for this long, and then every answer awaited."""
        end = self.moment() + seconds
        visits = []
        while self.moment() < end:
            visits.append(self.world.loop.create_task(self._visit()))
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*visits)

    async def service_back(self, what: str, *, since: float | None = None) -> float:
        """From the machines' return to the first answered ask of every kind."""
        began = self.moment() if since is None else since

        async def answered(ask: Ask) -> None:
            while True:
                live = self.live("stall")
                got = (
                    await self.ask(
                        ask,
                        visitor="tester",
                        key=f"back-{next(self.counter)}" if ask.once else "",
                        stall=self.random.choice(live),
                    )
                    if live
                    else None
                )
                if got is not None and got.outcome == "answered":
                    return
                await asyncio.sleep(0.1)

        await asyncio.gather(*(answered(ask) for ask in self.deployment.asks))
        self.history.add(Back(began, self.moment(), what))
        return self.moment() - began


def simulate(
    *,
    deployment: Deployment,
    seed: int,
    scenario: Callable[[SimulatedDeployment], Coroutine],
    checkpoint_records: int = 300,
) -> SimulatedDeployment:
    """Runs one scenario in simulated time and gives the deployment with its history."""
    logger.disable("hoistsaddle")
    loop = ClockworkLoop()
    asyncio.set_event_loop(loop)
    try:
        with tempfile.TemporaryDirectory(prefix="hoistsaddle-simulated-") as folder:
            world = World(loop=loop, seed=seed, folder=Path(folder))
            whole = SimulatedDeployment(deployment=deployment, world=world, checkpoint_records=checkpoint_records)
            try:
                loop.run_until_complete(scenario(whole))
                mishaps = list(loop.mishaps)
            finally:
                for name in list(whole.lives):
                    whole.kill(name)
                for task in whole.visits:
                    task.cancel()
                # What killed lives left unfinished is collected here, while its complaints mean nothing.
                with warnings.catch_warnings():
                    warnings.simplefilter("ignore", RuntimeWarning)
                    whole.lives.clear()
                    gc.collect()
        if mishaps:
            raise AssertionError(f"seed {seed}: {mishaps[0]}")
        return whole
    finally:
        asyncio.set_event_loop(None)
        loop.close()
        logger.enable("hoistsaddle")
