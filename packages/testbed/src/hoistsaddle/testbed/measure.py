"""Measurements on real processes. Variants alternate within a run, so that a busy machine affects all alike."""

import asyncio
import statistics
import time
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

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
from hoistsaddle.testbed.process_names import PROXY, kind_of, store_name

LineWriter = Callable[[str], None]
CLIENT_HEADERS = {"Authorization": "Bearer measure"}
# The answer stored with each key in measurements that need stored content.
ANSWER_BODY = b'{"answer": "%s"}' % (b"x" * 500)


def spread(values: list[float], *, unit: str = "") -> str:
    """The median, minimum and maximum over all rounds, as text."""
    ordered = sorted(values)
    return f"{statistics.median(ordered):.3g}{unit} ({ordered[0]:.3g} to {ordered[-1]:.3g}, {len(ordered)} rounds)"


class _Core:
    """A fleet of core machines without proxies, and a writer in this process."""

    def __init__(self, *, folder: Path, **store_settings: Any) -> None:
        self.fleet = Fleet(deployment=DEPLOYMENTS["three"], folder=folder, store_settings=store_settings)
        self.runtime = RealRuntime()
        self.stores = {replica: machine["warehouse"] for replica, machine in self.fleet.core.items()}
        self.writer = Writer(
            name="measure",
            stores=self.stores,
            initial_store=1,
            runtime=self.runtime,
            counters=Counters(owner="measure"),
        )

    async def status(self, replica: int) -> StatusAnswer | None:
        answer = await self.runtime.rpc_client.call(
            self.stores[replica], StatusCall("measure"), within=timedelta(seconds=1)
        )
        return answer.unwrap() if isinstance(answer, Success) else None

    async def write_claims(self, *, count: int, outstanding: int, prefix: str, body: bytes = b"") -> list[float]:
        """Writes `count` claims, `outstanding` at a time; returns the latency of each in milliseconds."""
        latencies: list[float] = []
        numbers = iter(range(count))

        async def write_sequentially() -> None:
            for number in numbers:
                began = time.perf_counter()
                scope = f"{prefix}-{number}"
                claim = ClaimKey(scope, scope, "measure", "digest", scope, "service", "measure")
                result = await self.writer.write(claim, within=timedelta(seconds=10))
                if not isinstance(result, Success) or result.unwrap().error:
                    raise AssertionError(f"claim {number}: {result}")
                claim_id, scope = scope, result.unwrap().detail["scope"]
                latencies.append((time.perf_counter() - began) * 1000)
                if body:
                    complete = CompleteKey(scope, claim_id, 200, {}, body, True)
                    await self.writer.write(complete, within=timedelta(seconds=10))

        await asyncio.gather(*(write_sequentially() for _ in range(outstanding)))
        return latencies


async def commits(*, folder: Path, write_line: LineWriter, rounds: int = 5) -> None:
    """Measures commit rate and claim latency by the largest allowed batch."""
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
                measured = await core.write_claims(count=600, outstanding=64, prefix=f"{turn}-{size}")
                rates[size].append(600 / (time.perf_counter() - began))
                latencies[size].append(statistics.median(measured))
        for size in sizes:
            write_line(
                f"batch of at most {size}: {spread(rates[size])} claims a second, median latency "
                f"{spread(latencies[size], unit=' ms')}; rate against batch 1: "
                f"{statistics.median(rates[size]) / statistics.median(rates[1]):.2f}"
            )


async def catch_up(*, folder: Path, write_line: LineWriter, rounds: int = 3) -> None:
    """Measures how long a blank follower takes to catch up, by records in the log and chunk size."""
    for chunk in (16384, 65536, 262144):
        core = _Core(folder=folder / f"chunk-{chunk}", chunk_bytes=chunk, checkpoint_records=500, lag_wait_seconds=2.0)
        async with core.fleet:
            await core.fleet.start(bundle=False)
            written = 0
            for target in (1000, 4000, 10000):
                # A claim and its result are two records.
                await core.write_claims(
                    count=(target - written) // 2, outstanding=64, prefix=f"{target}", body=ANSWER_BODY
                )
                written = target
                seconds = [await _seconds_to_catch_up(core) for _ in range(rounds)]
                write_line(f"chunk {chunk}: {written} records: {spread(seconds, unit=' s')} to catch up")


async def _seconds_to_catch_up(core: _Core) -> float:
    """Wipes a follower; returns the seconds from its first answer until it reaches its former high watermark."""
    statuses = {replica: await core.status(replica) for replica in core.stores}
    follower = next(replica for replica, status in statuses.items() if status is not None and status.role == "follower")
    high_watermark = statuses[follower].high_watermark
    await core.fleet.kill(store_name(follower))
    core.fleet.wipe(follower)
    await core.fleet.launch(store_name(follower))

    async def is_up() -> bool:
        return await core.status(follower) is not None

    async def caught_up() -> bool:
        status = await core.status(follower)
        return (
            status is not None and status.role in ("observer", "follower") and status.high_watermark >= high_watermark
        )

    async def votes() -> bool:
        status = await core.status(follower)
        return status is not None and status.role == "follower"

    await core.fleet.wait_until(is_up, seconds=20, description="the blank follower is up")
    began = time.perf_counter()
    await core.fleet.wait_until(caught_up, seconds=60, description="caught up")
    elapsed = time.perf_counter() - began
    await core.fleet.wait_until(votes, seconds=60, description="votes again")
    return elapsed


async def growth(*, folder: Path, write_line: LineWriter) -> None:
    """Measures the size of each data folder while claims and their results are written continuously."""
    core = _Core(folder=folder)
    async with core.fleet:
        await core.fleet.start(bundle=False)
        # Longer than the retention of a completed key, so that expiry and new records are in balance at the end.
        for turn in range(24):
            await asyncio.sleep(5)
            await core.write_claims(count=2500, outstanding=64, prefix=f"{turn}", body=ANSWER_BODY)
            sizes = [
                sum(path.stat().st_size for path in (folder / f"data-{replica}").rglob("*") if path.is_file()) / 1e6
                for replica in core.stores
            ]
            statuses = [await core.status(replica) for replica in core.stores]
            begin = [status.begin_offset for status in statuses if status is not None]
            write_line(
                f"{(turn + 1) * 5000} records: folders {', '.join(f'{size:.1f}' for size in sizes)} "
                f"MB; the logs begin at {begin}"
            )


async def update_propagation(*, folder: Path, write_line: LineWriter, deployment: Deployment, rounds: int = 8) -> None:
    """Measures the time from submitting a bundle until each proxy applied it, by the proxies' own events."""
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
                        applied = [
                            each
                            for each in (await response.json())["happenings"]
                            if each["kind"] == "bundle taken up" and each["detail"]["bundle"] == number
                        ]
                    timestamps.append(_seconds(applied[-1]["moment"]) - began)
                first.append(min(timestamps))
                last.append(max(timestamps))
        write_line(
            f"{deployment.name}: from submitting a bundle to its application by the first proxy "
            f"{spread(first, unit=' s')}, by the last {spread(last, unit=' s')}; commit to acceptance "
            f"{spread(accepted, unit=' s')}"
        )


def _seconds(timestamp: str) -> float:
    """An ISO timestamp as seconds since the epoch."""
    return datetime.fromisoformat(timestamp).timestamp()


async def added_latency(*, folder: Path, write_line: LineWriter, rounds: int = 5) -> None:
    """Measures a safe and a keyed request through the mesh against a direct call of the stub server, one at a time."""
    deployment = DEPLOYMENTS["thimble"]
    fleet = Fleet(deployment=deployment, folder=folder)
    async with fleet, aiohttp.ClientSession() as session:
        await fleet.start()
        meter = next(name for name, proxy in fleet.proxies.items() if proxy["service"] == "meter")
        address = fleet.client_addresses()[0]
        paths = {
            "directly": lambda number: session.get(f"http://{fleet.proxies[meter]['server']}/readings?nonce={number}"),
            "through the mesh": lambda number: session.get(f"http://{address}/readings?nonce={number}"),
            "under a key": lambda number: session.post(
                f"http://{address}/uploads",
                json={"nonce": str(number)},
                headers={"Idempotency-Key": f"k{number}", **CLIENT_HEADERS},
            ),
        }
        medians: dict[str, list[float]] = {path: [] for path in paths}
        for turn in range(rounds):
            for path, send in paths.items():
                latencies = []
                for number in range(100):
                    began = time.perf_counter()
                    async with send(f"{turn}-{path[0]}-{number}") as response:
                        await response.read()
                        if response.status != 200:
                            raise AssertionError(f"{path}: {response.status}")
                    latencies.append((time.perf_counter() - began) * 1000)
                medians[path].append(statistics.median(latencies))
        for path, values in medians.items():
            write_line(
                f"{path}: {spread(values, unit=' ms')}; against directly: "
                f"{statistics.median(values) / statistics.median(medians['directly']):.1f}"
            )


async def versions(*, folder: Path, write_line: LineWriter, older: Path, rounds: int = 3) -> None:
    """Compares the former release with the present one: safe and keyed requests, and failing without a core."""
    measured: dict[str, dict[str, list[float]]] = {}

    async def median_latency(
        session: aiohttp.ClientSession, method: str, path: str, count: int, *, keyed: bool
    ) -> float:
        latencies = []
        for number in range(count):
            headers = {**CLIENT_HEADERS, **({"Idempotency-Key": f"{path}-{number}"} if keyed else {})}
            body = {"nonce": str(number)} if keyed else None
            began = time.perf_counter()
            async with session.request(method, f"{path}?nonce={number}", json=body, headers=headers) as response:
                await response.read()
            latencies.append((time.perf_counter() - began) * 1000)
        return statistics.median(latencies)

    for turn in range(rounds):
        for release, code in (("former", older), ("present", None)):
            fleet = Fleet(deployment=DEPLOYMENTS["thimble"], folder=folder / f"{release}-{turn}", older=code)
            async with fleet, aiohttp.ClientSession() as session:
                await fleet.start()
                address = f"http://{fleet.client_addresses()[0]}"
                of_release = measured.setdefault(release, {})

                async def measure(subject: str, method: str, path: str, count: int, *, keyed: bool = False) -> None:
                    of_release.setdefault(subject, []).append(
                        await median_latency(session, method, address + path, count, keyed=keyed)
                    )

                await measure("a safe request", "GET", "/readings", 150)
                await measure("one under a key", "POST", "/uploads", 100, keyed=True)
                await fleet.kill(*(name for name in fleet.programs if kind_of(name) != PROXY))
                # Wait until the lease has expired and proxies no longer wait for a leader, as later callers find it.
                await median_latency(session, "GET", address + "/readings", 1, keyed=False)
                await asyncio.sleep(4)
                await measure("giving up without a core", "GET", "/readings", 3)
    for subject, present in measured["present"].items():
        former = measured["former"][subject]
        ratio = statistics.median(present) / statistics.median(former)
        write_line(
            f"{subject}: former {spread(former, unit=' ms')}, present {spread(present, unit=' ms')}, ratio {ratio:.3g}"
        )


async def takeover(*, folder: Path, write_line: LineWriter, rounds: int = 8) -> None:
    """Measures the time from kill -9 of the leading store, and of all core processes, to the next completed write."""
    core = _Core(folder=folder)
    async with core.fleet:
        await core.fleet.start(bundle=False)
        single: list[float] = []
        all_at_once: list[float] = []
        for turn in range(rounds):
            statuses = {replica: await core.status(replica) for replica in core.stores}
            leader = next(
                replica for replica, status in statuses.items() if status is not None and status.role == "leader"
            )
            await core.fleet.kill(store_name(leader))
            began = time.perf_counter()
            await core.write_claims(count=1, outstanding=1, prefix=f"single-{turn}")
            single.append(time.perf_counter() - began)
            await core.fleet.launch(store_name(leader))

            async def all_follow() -> bool:
                found = [await core.status(replica) for replica in core.stores]
                return all(status is not None and status.role in ("leader", "follower") for status in found) and any(
                    status.role == "leader" for status in found
                )

            await core.fleet.wait_until(all_follow, seconds=20, description="all stores follow")
            names = list(core.fleet.processes)
            await core.fleet.kill(*names)
            await asyncio.gather(*(core.fleet.launch(name) for name in names))
            began = time.perf_counter()
            await core.write_claims(count=1, outstanding=1, prefix=f"whole-{turn}")
            all_at_once.append(time.perf_counter() - began)
            await core.fleet.wait_until(all_follow, seconds=20, description="all stores follow")
        write_line(
            f"leader killed: next write after {spread(single, unit=' s')}; all core processes killed "
            f"and started: after {spread(all_at_once, unit=' s')}"
        )
