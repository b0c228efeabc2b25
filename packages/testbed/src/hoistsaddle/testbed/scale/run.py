"""One fleet of a scale run: a real core, a few whole proxies, many hollow ones; what control costs it, and how fast.

Loopback only, a bounded number of processes, under half of the machine's memory, a bounded time. Every process is
started here and ended here.
"""

import asyncio
import os
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec

from hoistsaddle.testbed.scale.sizes import HOST, Size, prefix_of, sized, zone_name
from hoistsaddle.testbed.scale.worker import Job

MAX_PROCESSES = 30
DATA_KINDS = frozenset({"ForwardCall", "ForwardAnswer", "ClaimQueryCall", "ClaimQueryAnswer"})


class Plan(NamedTuple):
    nodes: int
    core: int = 3
    whole: int = 2
    # Hollow proxies in one process.
    together: int = 40
    stretch: float = 1.0
    seed: int = 1
    # Seconds of the mesh: how long quiet and load are measured.
    quiet_seconds: float = 10.0
    load_seconds: float = 5.0
    # Calls a second of all hollow proxies together.
    calls: float = 100.0
    keyed: float = 25.0
    changes: int = 3
    # How many proxies are lost at once, in turn.
    losses: tuple[int, ...] = (1, 1)
    lose_leader: bool = True
    # Beyond this much of this machine's time a run is given up, and says how far it came.
    most_seconds: float = 600.0
    memory_share: float = 0.45


class Row(NamedTuple):
    """One figure of one fleet."""

    nodes: int
    what: str
    unit: str
    value: float


class RunAborted(Exception):
    """The run could not go on at this size; its words say at what."""


class _Process:
    def __init__(self, job: Job) -> None:
        self.job = job
        self.turn = asyncio.Lock()

    async def start(self) -> None:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hoistsaddle.testbed.scale.worker",
            str(self.job.stretch),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=2**24,
        )
        self.child.stdin.write(msgspec.json.encode(self.job) + b"\n")
        await self._answer()

    async def _answer(self) -> dict:
        line = await self.child.stdout.readline()
        if not line:
            raise RunAborted(f"a {self.job.kind} process ended by itself")
        told = msgspec.json.decode(line)
        if "problem" in told:
            raise RunAborted(f"a {self.job.kind} process: {told['problem']}")
        return told

    async def do(self, what: str, **needs: Any) -> dict:
        async with self.turn:
            self.child.stdin.write(msgspec.json.encode({"do": what, **needs}) + b"\n")
            return await self._answer()

    def resident(self) -> int:
        try:
            told = Path(f"/proc/{self.child.pid}/statm").read_text()
        except OSError:
            return 0
        return int(told.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def end(self) -> None:
        if self.child.returncode is None:
            try:
                async with asyncio.timeout(10):
                    await self.do("stop")
            except (TimeoutError, RunAborted, OSError):
                pass
        if self.child.returncode is None:
            try:
                self.child.kill()
            except ProcessLookupError:
                pass
        await self.child.wait()

    async def kill(self) -> None:
        self.child.kill()
        await self.child.wait()


def _reserve_address_block() -> tuple[int, socket.socket]:
    """The second number of the run's addresses, and what keeps it until the run is over.

    Held from here on: a fleet's own addresses are opened much later, and two runs that began together would share them.
    """
    for block in range(20, 250):
        holder = socket.socket()
        try:
            holder.bind((f"127.{block}.251.1", 7100))
        except OSError:
            holder.close()
            continue
        return block, holder
    raise RunAborted("no free block of loopback addresses")


class ScaleFleet:
    def __init__(self, *, plan: Plan, folder: Path, write_line: Callable[[str], Any]) -> None:
        self.plan = plan
        self.write_line = write_line
        self.size: Size = sized(plan.nodes)
        self.rows: list[Row] = []
        self.began = time.monotonic()
        block, self.holder = _reserve_address_block()
        hosts = [f"127.{block}.250.{place + 1}" for place in range(plan.core)]

        def job(kind: str, **needs: Any) -> Job:
            return Job(kind, plan.seed, plan.stretch, block, self.size, hosts, **needs)

        self.core = [
            _Process(job("core", host=host, zone=zone_name(place, self.size), folder=str(folder / f"core-{place}")))
            for place, host in enumerate(hosts)
        ]
        numbers = list(range(plan.nodes))
        whole, hollow = numbers[: plan.whole], numbers[plan.whole :]
        self.whole = [_Process(job("whole", numbers=[number])) for number in whole]
        self.hollow = [
            _Process(job("hollow", numbers=hollow[place : place + plan.together]))
            for place in range(0, len(hollow), plan.together)
        ]
        if len(self.processes) > MAX_PROCESSES:
            raise RunAborted(f"{len(self.processes)} processes, {MAX_PROCESSES} are allowed: put more proxies together")
        self.lost: set[int] = set()

    @property
    def processes(self) -> list[_Process]:
        return [*self.core, *self.whole, *self.hollow]

    @property
    def proxies(self) -> list[_Process]:
        return [*self.whole, *self.hollow]

    def note(self, what: str, unit: str, value: float) -> None:
        self.rows.append(Row(self.plan.nodes, what, unit, value))

    def _check(self) -> None:
        """Whether the run may go on: time and memory are bounded."""
        if time.monotonic() - self.began > self.plan.most_seconds:
            raise RunAborted(f"not done within {self.plan.most_seconds:.0f} s of this machine's time")
        resident = sum(process.resident() for process in self.processes if hasattr(process, "child"))
        whole = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        if resident > self.plan.memory_share * whole:
            raise RunAborted(f"{resident >> 20} MB resident, over {self.plan.memory_share:.0%} of the machine's memory")

    async def _all(self, processes: list[_Process], what: str, **needs: Any) -> list[dict]:
        return list(await asyncio.gather(*(process.do(what, **needs) for process in processes)))

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.plan.stretch)

    async def _until(self, what: str, within: float, done: Callable[[], Any]) -> Any:
        """Asked each half second of the mesh until it holds."""
        deadline = time.monotonic() + within * self.plan.stretch
        while True:
            self._check()
            if found := await done():
                return found
            if time.monotonic() > deadline:
                raise RunAborted(f"{what}: not within {within:.0f} s of the mesh")
            await self._pause(0.5)

    # -- the run -----------------------------------------------------------------------------------------------------

    async def run(self) -> None:
        plan = self.plan
        try:
            for process in self.processes:
                await process.start()
            await self._all(self.core, "start")
            leader = await self._until("a leader", 20, self._leader)
            await self._until("all voters", 20, lambda: self._voters(leader))
            await leader.do("patch", revision=1, whole=True)
            await leader.do("preload")
            began = time.monotonic()
            await self._all(self.proxies, "start", spread_seconds=1.0)
            await self._until("every proxy settled", 60, self._settled)
            self.note("until all proxies are settled", "s", (time.monotonic() - began) / plan.stretch)
            self.write_line(f"{plan.nodes} nodes settled after {time.monotonic() - self.began:.0f} s here")
            # What starting brought with it shall not be counted with the quiet.
            await self._pause(4)
            quiet = await self._window("quiet", plan.quiet_seconds, None)
            await self._changes()
            if plan.calls or plan.keyed:
                await self._load(quiet)
            await self._losses()
            if plan.lose_leader:
                await self._leader_lost()
        finally:
            await asyncio.gather(*(process.end() for process in self.processes if hasattr(process, "child")))
            self.holder.close()

    async def _leader(self) -> _Process | None:
        for process in self.core:
            if process.child.returncode is None and (await process.do("look"))["leads"]:
                return process
        return None

    async def _voters(self, leader: _Process) -> bool:
        return (await leader.do("look"))["voters"] >= min(3, len(self.core))

    async def _settled(self) -> bool:
        items = self.size.services + self.size.routes
        told = await self._all(self.proxies, "settled", items=items, nodes=self.plan.nodes - len(self.lost))
        return all(each["settled"] == each["of"] for each in told)

    async def _window(self, name: str, seconds: float, work: Callable[[], Any] | None) -> dict[str, float]:
        """Counts and processor time over so many seconds of the mesh, for a second of it."""
        leader = await self._leader()
        if leader is None:
            raise RunAborted(f"{name}: nobody leads")
        self.write_line(f"{self.plan.nodes} nodes, {name}: {time.monotonic() - self.began:.0f} s here")
        before = await self._all(self.processes, "snapshot")
        if work is None:
            await self._pause(seconds)
        else:
            await work()
        after = await self._all(self.processes, "snapshot")
        self._check()
        changes = dict(zip(self.processes, zip(before, after, strict=True), strict=True))
        found: dict[str, float] = {}

        def spent(processes: list[_Process]) -> float:
            """Processor seconds in a second of the mesh."""
            return sum(
                (changes[each][1]["processor"] - changes[each][0]["processor"])
                / (changes[each][1]["moment"] - changes[each][0]["moment"])
                for each in processes
            )

        def passed(processes: list[_Process], part: str) -> Counter:
            total: Counter[str] = Counter()
            for each in processes:
                one, two = changes[each]
                span = two["moment"] - one["moment"]
                for key, value in two[part].items():
                    total[key] += (value - one[part].get(key, 0)) / span
            return total

        def control(told: Counter) -> float:
            return float(sum(value for key, value in told.items() if key.split()[1] not in DATA_KINDS))

        hollow = sum(len(each.job.numbers) for each in self.hollow) - len(self.lost)
        followers = [each for each in self.core if each is not leader]
        found["processor of a hollow proxy"] = spent(self.hollow) / hollow
        found["processor of the leader"] = spent([leader])
        if followers:
            found["processor of a follower"] = spent(followers) / len(followers)
        found["processor of the busiest core machine"] = max(spent([each]) for each in self.core)
        if self.whole:
            # The first names of their zones: each feeds as many children as a proxy ever does.
            found["processor of a whole proxy"] = spent(self.whole) / len(self.whole)
            found["control bytes of a whole proxy, both ways"] = control(passed(self.whole, "octets")) / len(self.whole)
        frames, octets = passed(self.hollow, "frames"), passed(self.hollow, "octets")
        found["control messages of a proxy, both ways"] = control(frames) / hollow
        found["control bytes of a proxy, both ways"] = control(octets) / hollow
        if work is None:
            for kind, rate in sorted(octets.items()):
                found[f"bytes of a proxy: {kind}"] = rate / hollow
            for kind, rate in sorted(passed([leader], "frames").items()):
                found[f"messages of the leader: {kind}"] = rate
        found["control messages of the leader, both ways"] = control(passed([leader], "frames"))
        found["control bytes of the leader, both ways"] = control(passed([leader], "octets"))
        if followers:
            found["control bytes of a follower, both ways"] = control(passed(followers, "octets")) / len(followers)
        found["syncs of the leader"] = passed([leader], "counts")["disk.syncs"]
        found["records of the leader"] = passed([leader], "counts")["disk.records"]
        found["news taken by a proxy"] = passed(self.hollow, "counts")["news.taken"] / hollow
        found["polls missed by a proxy"] = passed(self.hollow, "counts")["news.polls_missed"] / hollow
        found["probes missed by a proxy"] = passed(self.hollow, "counts")["probes.missed"] / hollow
        for what, each in found.items():
            unit = "bytes/s" if "bytes" in what else "core" if "processor" in what else "1/s"
            self.note(f"{name}: {what}", unit, each)
        self.note(f"{name}: its length", "s", changes[leader][1]["moment"] - changes[leader][0]["moment"])
        self.note(f"{name}: memory of the leader", "bytes", changes[leader][1]["resident"])
        empty = 40 << 20
        resident = sum(changes[each][1]["resident"] - empty for each in self.hollow) / hollow
        self.note(f"{name}: memory of a hollow proxy beyond its process", "bytes", resident)
        if self.whole:
            self.note(f"{name}: memory of a whole proxy", "bytes", changes[self.whole[0]][1]["resident"])
        connections = sum(changes[each][1]["connections"] for each in self.hollow) / hollow
        self.note(f"{name}: open connections of a hollow proxy", "", connections)
        return found

    async def _changes(self) -> None:
        """A patch at the leader until it is in force at every proxy, hollow and whole."""
        leader = await self._leader()
        for place in range(self.plan.changes):
            revision = 2 + place
            watching = asyncio.gather(
                *(
                    each.do("watch_item", key="entry:route-0000", revision=revision, within=20.0)
                    for each in self.proxies
                )
            )
            await self._pause(0.2)
            patched = await leader.do("patch", revision=revision)
            seen = await watching
            timestamps = sorted(timestamp - patched["moment"] for each in seen for timestamp in each["seen"])
            missing = sum(each["missing"] for each in seen)
            self.note("a change: stalls that never had it", "", missing)
            if timestamps:
                self.note("a change: in force at half of the stalls", "s", timestamps[len(timestamps) // 2])
                self.note("a change: in force everywhere", "s", timestamps[-1])
            self.note("a change: acknowledged", "s", patched["acknowledged"])
            self._check()
            await self._pause(1)

    async def _load(self, quiet: dict[str, float]) -> None:
        plan, share = self.plan, len(self.hollow)
        outcomes: Counter[str] = Counter()

        async def work() -> None:
            told, _ = await asyncio.gather(
                self._all(
                    self.hollow,
                    "load",
                    seconds=plan.load_seconds,
                    calls=plan.calls / share,
                    keyed=plan.keyed / share,
                ),
                self._ask_complete(outcomes),
            )
            for each in told:
                outcomes.update(each["outcomes"])

        loaded = await self._window("load", plan.load_seconds, work)
        for told, count in sorted(outcomes.items()):
            self.note(f"load: answered {told}", "", count)
        nodes = plan.nodes - plan.whole
        # Over what the quiet cost: each call works at an entry and at a target.
        extra = (loaded["processor of a hollow proxy"] - quiet["processor of a hollow proxy"]) * nodes
        self.note(
            "load: processor of a call over the quiet, entry and target", "ms", extra * 1000 / (plan.calls + plan.keyed)
        )
        if plan.keyed:
            extra = loaded["processor of the leader"] - quiet["processor of the leader"]
            self.note("load: processor of a claim at the leader over the quiet", "ms", extra * 1000 / plan.keyed)

    async def _ask_complete(self, outcomes: Counter) -> None:
        """A few requests through the doors of the whole proxies, to hollow servers and to their own."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20)) as session:
            for number in range(self.size.routes if self.size.routes < 12 else 12):
                for process in self.whole:
                    address = f"127.{process.job.block}.0.{process.job.numbers[0] + 1}:7110"
                    headers = {"Host": HOST, "X-Hoistsaddle-Send": f"whole-{number}"}
                    try:
                        async with session.get(f"http://{address}{prefix_of(number)}", headers=headers) as answer:
                            outcomes[f"whole {answer.status}"] += 1
                    except (aiohttp.ClientError, TimeoutError) as problem:
                        outcomes[f"whole {type(problem).__name__}"] += 1

    async def _losses(self) -> None:
        for count in self.plan.losses:
            present = [number for process in self.hollow for number in process.job.numbers if number not in self.lost]
            # Spread over the processes: a process has proxies of every zone.
            chosen = present[:: max(1, len(present) // count)][:count]
            name = f"{count} lost at once"

            async def work(chosen=chosen, name=name) -> None:
                self.lost |= set(chosen)
                timestamps = [each["moment"] for each in await self._all(self.hollow, "lose", numbers=chosen)]
                told = await self._all(self.proxies, "watch_gone", numbers=chosen, within=12.0)
                for where, missing in (("logged", "missing"), ("rumoured", "unrumoured")):
                    seen = sorted(timestamp - min(timestamps) for each in told for timestamp in each[where])
                    known = "the log" if where == "logged" else "their own membership"
                    self.note(f"{name}: proxies that never knew from {known}", "", sum(each[missing] for each in told))
                    if seen:
                        self.note(f"{name}: known everywhere from {known}", "s", seen[-1])

            await self._window(name, 0, work)

    async def _leader_lost(self) -> None:
        leader = await self._leader()
        if leader is None or len(self.core) < 3:
            return
        killed = time.monotonic()
        await leader.kill()
        self.core.remove(leader)
        successor = await self._until("another leader", 20, self._leader)
        self.note("leader killed: another leads", "s", (time.monotonic() - killed) / self.plan.stretch)
        while not (await successor.do("patch", revision=100))["taken"]:
            if (time.monotonic() - killed) / self.plan.stretch > 20:
                raise RunAborted("no change taken within 20 s of the mesh after the leader's death")
        self.note("leader killed: a change taken", "s", (time.monotonic() - killed) / self.plan.stretch)
        told = await self._all(self.proxies, "watch_item", key="entry:route-0000", revision=100, within=20.0)
        seen = [timestamp for each in told for timestamp in each["seen"]]
        self.note("leader killed: proxies that never had it", "", sum(each["missing"] for each in told))
        if seen:
            began = killed / self.plan.stretch
            self.note("leader killed: the change in force everywhere", "s", max(seen) - began)


async def run_fleet(plan: Plan, *, write_line: Callable[[str], Any]) -> list[Row]:
    """The figures of one fleet; where it broke, those it had until then and one row that says so."""
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-scale-") as folder:
        try:
            fleet = ScaleFleet(plan=plan, folder=Path(folder), write_line=write_line)
        except RunAborted as broke:
            # Nothing was started yet.
            write_line(f"{plan.nodes} nodes BROKE: {broke}")
            return [Row(plan.nodes, f"BROKE: {broke}", "", 1)]
        try:
            await fleet.run()
        except RunAborted as broke:
            write_line(f"{plan.nodes} nodes BROKE: {broke}")
            fleet.note(f"BROKE: {broke}", "", 1)
        fleet.note("this machine's time for the run", "s", time.monotonic() - fleet.began)
        return fleet.rows
