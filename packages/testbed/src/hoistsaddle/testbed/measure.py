"""Measurements on real processes. Variants take turns within one run, so that a busy machine troubles all alike."""

import asyncio
import statistics
import time
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path

import aiohttp
from returns.result import Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.registry import writer as writing
from hoistsaddle.registry.writer import Writer
from hoistsaddle.rpc.messages import StatusAnswer, StatusCall
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.statemachine.commands import ClaimKey, CompleteKey
from hoistsaddle.testbed.deployments import DEPLOYMENTS, Deployment
from hoistsaddle.testbed.fleet import Fleet

LineWriter = Callable[[str], None]
ME = {"Authorization": "Bearer measure"}


def spread(values: list[float], *, unit: str = "") -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.3g}{unit} ({ordered[0]:.3g} to {ordered[-1]:.3g}, {len(ordered)} rounds)"


class _Core:
    """A fleet of core machines alone, and a writer of this process's own."""

    def __init__(self, *, folder: Path, **store_settings) -> None:
        self.fleet = Fleet(deployment=DEPLOYMENTS["three"], folder=folder, store_settings=store_settings)
        self.runtime = RealRuntime()
        self.stores = {replica: machine["warehouse"] for replica, machine in self.fleet.core.items()}
        self.writer = Writer(
            name="measure", stores=self.stores, home=1, runtime=self.runtime, counters=Counters(owner="measure")
        )

    async def look(self, replica: int) -> StatusAnswer | None:
        answer = await self.runtime.rpc_client.call(
            self.stores[replica], StatusCall("measure"), within=timedelta(seconds=1)
        )
        return answer.unwrap() if isinstance(answer, Success) else None

    async def claims(self, *, count: int, outstanding: int, prefix: str, body: bytes = b"") -> list[float]:
        """Writes so many claims, so many at a time; gives each one's latency in milliseconds."""
        latencies: list[float] = []
        numbers = iter(range(count))

        async def one_after_another() -> None:
            for number in numbers:
                began = time.perf_counter()
                scope = f"{prefix}-{number}"
                claim = ClaimKey(scope, scope, "measure", "digest", scope, "service", "measure")
                result = await self.writer.write(claim, within=timedelta(seconds=10))
                if not isinstance(result, Success) or result.unwrap().error:
                    raise AssertionError(f"claim {number}: {result}")
                scope, name = result.unwrap().detail["scope"], scope
                latencies.append((time.perf_counter() - began) * 1000)
                if body:
                    settle = CompleteKey(scope, name, 200, {}, body, True)
                    await self.writer.write(settle, within=timedelta(seconds=10))

        await asyncio.gather(*(one_after_another() for _ in range(outstanding)))
        return latencies


async def commits(*, folder: Path, write_line: LineWriter, rounds: int = 5) -> None:
    """Commit rate and claim latency against the most records a batch may hold."""
    core = _Core(folder=folder)
    async with core.fleet:
        await core.fleet.start(bundle=False)
        sizes = (1, 4, 16, 64, 128)
        rates: dict[int, list[float]] = {size: [] for size in sizes}
        latencies: dict[int, list[float]] = {size: [] for size in sizes}
        for turn in range(rounds):
            for size in sizes:
                writing.MAX_BATCH_COMMANDS = size
                began = time.perf_counter()
                taken = await core.claims(count=600, outstanding=64, prefix=f"{turn}-{size}")
                rates[size].append(600 / (time.perf_counter() - began))
                latencies[size].append(statistics.median(taken))
        for size in sizes:
            write_line(
                f"batch of at most {size}: {spread(rates[size])} claims a second, median latency "
                f"{spread(latencies[size], unit=' ms')}; rate against batch 1: "
                f"{statistics.median(rates[size]) / statistics.median(rates[1]):.2f}"
            )


async def catch_up(*, folder: Path, write_line: LineWriter, rounds: int = 3) -> None:
    """Time from a blank follower's start until it holds everything, by records in the log and chunk size."""
    for chunk in (16384, 65536, 262144):
        core = _Core(folder=folder / f"chunk-{chunk}", chunk_bytes=chunk, checkpoint_records=500, lag_wait_seconds=2.0)
        async with core.fleet:
            await core.fleet.start(bundle=False)
            written = 0
            for target in (1000, 4000, 10000):
                await core.claims(
                    count=(target - written) // 2,
                    outstanding=64,
                    prefix=f"{target}",
                    body=b'{"answer": "%s"}' % (b"x" * 500),
                )
                written = target
                took: list[float] = []
                for _ in range(rounds):
                    looks = {replica: await core.look(replica) for replica in core.stores}
                    follower = next(
                        replica for replica, look in looks.items() if look is not None and look.role == "follower"
                    )
                    await core.fleet.kill(f"warehouse-{follower}")
                    core.fleet.wipe(follower)
                    await core.fleet.launch(f"warehouse-{follower}")

                    async def blank(follower=follower) -> bool:
                        return await core.look(follower) is not None

                    await core.fleet.until(blank, seconds=20, what="the blank follower is up")
                    began = time.perf_counter()

                    async def complete(follower=follower) -> bool:
                        look = await core.look(follower)
                        return (
                            look is not None
                            and look.role in ("observer", "follower")
                            and look.high_watermark >= looks[follower].high_watermark
                        )

                    await core.fleet.until(complete, seconds=60, what="caught up")
                    took.append(time.perf_counter() - began)

                    async def votes(follower=follower) -> bool:
                        look = await core.look(follower)
                        return look is not None and look.role == "follower"

                    await core.fleet.until(votes, seconds=60, what="votes again")
                write_line(f"chunk {chunk}: {written} records: {spread(took, unit=' s')} to hold everything")


async def growth(*, folder: Path, write_line: LineWriter) -> None:
    """The size of each data folder while claims keep coming and settle."""
    core = _Core(folder=folder)
    async with core.fleet:
        await core.fleet.start(bundle=False)
        # Longer than a settled hold is kept: only then what comes in and what expires are in balance.
        for turn in range(24):
            await asyncio.sleep(5)
            await core.claims(count=2500, outstanding=64, prefix=f"{turn}", body=b'{"answer": "%s"}' % (b"x" * 500))
            sizes = [
                sum(path.stat().st_size for path in (folder / f"data-{replica}").rglob("*") if path.is_file()) / 1e6
                for replica in core.stores
            ]
            looks = [await core.look(replica) for replica in core.stores]
            begin = [look.begin_offset for look in looks if look is not None]
            write_line(
                f"{(turn + 1) * 5000} records: folders {', '.join(f'{size:.1f}' for size in sizes)} "
                f"MB; the logs begin at {begin}"
            )


async def update_propagation(*, folder: Path, write_line: LineWriter, deployment: Deployment, rounds: int = 8) -> None:
    """From a bundle's commit to each proxy's applied version, as the proxies' own happenings date it."""
    fleet = Fleet(deployment=deployment, folder=folder)
    async with fleet:
        await fleet.start()
        first: list[float] = []
        last: list[float] = []
        accepted: list[float] = []
        number = 1
        async with aiohttp.ClientSession() as session:
            for _ in range(rounds):
                text = deployment.next_bundle(number=number + 1, based_on=number).partition("[[stages]]")[0]
                began = time.time()
                answers = await fleet.roll_out(text)
                number += 1
                accepted.append(answers[-1]["seconds"])
                timestamps = []
                for proxy in fleet.proxies.values():
                    async with session.get(f"http://{proxy['visitors']}/hoistsaddle/happenings") as response:
                        taken = [
                            each
                            for each in (await response.json())["happenings"]
                            if each["kind"] == "bundle taken up" and each["detail"]["bundle"] == number
                        ]
                    timestamps.append(_seconds(taken[-1]["moment"]) - began)
                first.append(min(timestamps))
                last.append(max(timestamps))
        write_line(
            f"{deployment.name}: from submitting a bundle to its applied version on the first proxy "
            f"{spread(first, unit=' s')}, on the last {spread(last, unit=' s')}; commit to acceptance "
            f"{spread(accepted, unit=' s')}"
        )


def _seconds(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp).timestamp()


async def added_latency(*, folder: Path, write_line: LineWriter, rounds: int = 5) -> None:
    """A safe request and one under a key through the mesh, against the stand-in called directly; one at a time."""
    deployment = DEPLOYMENTS["thimble"]
    fleet = Fleet(deployment=deployment, folder=folder)
    async with fleet, aiohttp.ClientSession() as session:
        await fleet.start()
        meter = next(name for name, proxy in fleet.proxies.items() if proxy["service"] == "meter")
        door = fleet.client_addresses()[0]
        ways = {
            "directly": lambda number: session.get(f"http://{fleet.proxies[meter]['server']}/readings?nonce={number}"),
            "through the mesh": lambda number: session.get(f"http://{door}/readings?nonce={number}"),
            "under a key": lambda number: session.post(
                f"http://{door}/uploads", json={"nonce": str(number)}, headers={"Idempotency-Key": f"k{number}", **ME}
            ),
        }
        taken: dict[str, list[float]] = {way: [] for way in ways}
        for turn in range(rounds):
            for way, send in ways.items():
                spans = []
                for number in range(100):
                    began = time.perf_counter()
                    async with send(f"{turn}-{way[0]}-{number}") as response:
                        await response.read()
                        if response.status != 200:
                            raise AssertionError(f"{way}: {response.status}")
                    spans.append((time.perf_counter() - began) * 1000)
                taken[way].append(statistics.median(spans))
        for way, medians in taken.items():
            write_line(
                f"{way}: {spread(medians, unit=' ms')}; against directly: "
                f"{statistics.median(medians) / statistics.median(taken['directly']):.1f}"
            )


async def versions(*, folder: Path, write_line: LineWriter, older: Path, rounds: int = 3) -> None:
    """The former release's code against this one, in turns: requests, keys, and how long giving up takes."""
    taken: dict[str, dict[str, list[float]]] = {}

    async def spans(session: aiohttp.ClientSession, method: str, path: str, count: int, *, keyed: bool) -> float:
        found = []
        for number in range(count):
            headers = {**ME, **({"Idempotency-Key": f"{path}-{number}"} if keyed else {})}
            body = {"nonce": str(number)} if keyed else None
            began = time.perf_counter()
            async with session.request(method, f"{path}?nonce={number}", json=body, headers=headers) as response:
                await response.read()
            found.append((time.perf_counter() - began) * 1000)
        return statistics.median(found)

    for turn in range(rounds):
        for release, code in (("former", older), ("present", None)):
            fleet = Fleet(deployment=DEPLOYMENTS["thimble"], folder=folder / f"{release}-{turn}", older=code)
            async with fleet, aiohttp.ClientSession() as session:
                await fleet.start()
                door = f"http://{fleet.client_addresses()[0]}"
                mine = taken.setdefault(release, {})

                async def note(what: str, method: str, path: str, count: int, *, keyed: bool = False) -> None:
                    mine.setdefault(what, []).append(await spans(session, method, door + path, count, keyed=keyed))

                await note("a safe request", "GET", "/readings", 150)
                await note("one under a key", "POST", "/uploads", 100, keyed=True)
                await fleet.kill(*(name for name in fleet.kinds if not name.startswith("stall")))
                # Past the lease and the gap that is waited out: what every later caller meets.
                await spans(session, "GET", door + "/readings", 1, keyed=False)
                await asyncio.sleep(4)
                await note("giving up without a core", "GET", "/readings", 3)
    for what, present in taken["present"].items():
        former = taken["former"][what]
        ratio = statistics.median(present) / statistics.median(former)
        write_line(
            f"{what}: former {spread(former, unit=' ms')}, present {spread(present, unit=' ms')}, ratio {ratio:.3g}"
        )


async def takeover(*, folder: Path, write_line: LineWriter, rounds: int = 8) -> None:
    """From kill -9 of the leading store to the next write concluded; and the same for all core
    processes at once."""
    core = _Core(folder=folder)
    async with core.fleet:
        await core.fleet.start(bundle=False)
        single: list[float] = []
        complete: list[float] = []
        for turn in range(rounds):
            looks = {replica: await core.look(replica) for replica in core.stores}
            leader = next(replica for replica, look in looks.items() if look is not None and look.role == "leader")
            await core.fleet.kill(f"warehouse-{leader}")
            began = time.perf_counter()
            await core.claims(count=1, outstanding=1, prefix=f"single-{turn}")
            single.append(time.perf_counter() - began)
            await core.fleet.launch(f"warehouse-{leader}")

            async def all_follow() -> bool:
                found = [await core.look(replica) for replica in core.stores]
                return all(look is not None and look.role in ("leader", "follower") for look in found) and any(
                    look.role == "leader" for look in found
                )

            await core.fleet.until(all_follow, seconds=20, what="all stores follow")
            names = list(core.fleet.processes)
            await core.fleet.kill(*names)
            await asyncio.gather(*(core.fleet.launch(name) for name in names))
            began = time.perf_counter()
            await core.claims(count=1, outstanding=1, prefix=f"whole-{turn}")
            complete.append(time.perf_counter() - began)
            await core.fleet.until(all_follow, seconds=20, what="all stores follow")
        write_line(
            f"leader killed: next write after {spread(single, unit=' s')}; all core processes killed "
            f"and started: after {spread(complete, unit=' s')}"
        )
