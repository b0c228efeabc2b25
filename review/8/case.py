"""Case 8: the answers of keyed requests are kept without a limit, until the process passes its memory limit."""

import asyncio
import signal
from pathlib import Path

from review.stand_ins.case import Case, run, settle, start
from review.stand_ins.client import Sent, send
from review.stand_ins.deployment import Deployment, Machine, route
from review.stand_ins.http_messages import Message
from review.stand_ins.server import Server

MEMORY_MEGABYTES = 300
# Keyed requests a second in the whole deployment: those of `subscription-charge` in SYSTEM.md.
REQUESTS_PER_SECOND = 59.3
# The size of the largest request of that site; the pages set no limit for answers.
ANSWER_BYTES = 360_000
PLAY_SECONDS = 88.0
RESTART_SECONDS = 0.5
CHECK_SECONDS = 0.05
# The rule counts a machine whose process ends three times, on two machines at least.
ENDS, MACHINES = 3, 2
REPEATS = 20


async def _answer(server: Server, request: Message, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(0.03)
    body = b"x" * ANSWER_BYTES if "/charge" in request.first or "/plain" in request.first else None
    writer.write(server.answer(request, body))
    await writer.drain()
    return True


def _resident_megabytes(machine: Machine) -> int:
    assert machine.process is not None
    try:
        lines = Path(f"/proc/{machine.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS")), 0)


class _Platform:
    """Kills a process that passes its memory limit, and starts it again."""

    def __init__(self, case: Case, deployment: Deployment) -> None:
        self.case = case
        self.deployment = deployment
        self.ends = {machine.name: 0 for machine in deployment.sidecars}

    async def watch(self) -> None:
        """Watch all sidecars until cancelled."""
        await asyncio.gather(*(self._watch(machine) for machine in self.deployment.sidecars))

    async def _watch(self, machine: Machine) -> None:
        shown = 0.0
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            resident = _resident_megabytes(machine)
            if self.case.now() - shown > 5:
                shown = self.case.now()
                self.case.add(f"platform: {machine.name} has {resident} MB")
            if resident > MEMORY_MEGABYTES:
                self.ends[machine.name] += 1
                self.case.add(f"platform: {machine.name} is over memory_mb with {resident} MB and is killed")
                machine.signal(signal.SIGKILL)
                await machine.ended(within=5)
                await asyncio.sleep(RESTART_SECONDS)
                machine.start()


async def _load(case: Case, machines: list[Machine]) -> list[Sent]:
    """Send requests in turn at the machines, at the rate of the page; return what became of them."""
    tasks: list[asyncio.Task] = []
    began = case.now()
    while case.now() - began < PLAY_SECONDS:
        number = len(tasks)
        route_name, key = ("charge", f"key-{number}") if case.trouble else ("plain", "")
        machine = machines[number % len(machines)]
        tasks.append(asyncio.ensure_future(send(case, machine, route_name, method="POST", key=key, body=b"x" * 300)))
        await asyncio.sleep(max(0.0, began + len(tasks) / REQUESTS_PER_SECOND - case.now()))
    return list(await asyncio.gather(*tasks))


async def play(case: Case) -> bool:
    """Return whether Fault (processes that end by themselves) was broken."""
    routes = [
        route("charge", kind="keyed", service="ledger", cutoff=4),
        route("plain", kind="effectful", service="ledger", cutoff=4),
        route("look", kind="idempotent", service="ledger", cutoff=4),
    ]
    deployment, servers = await start(case, sidecars=["ledger", "ledger"], routes=routes, answerer=_answer)
    platform = _Platform(case, deployment)
    watching = None
    try:
        await settle(case, deployment.sidecars, "look")
        watching = asyncio.ensure_future(platform.watch())
        sent = await _load(case, deployment.sidecars)
        counts = {status: sum(each.status == status for each in sent) for status in {each.status for each in sent}}
        case.add(f"case: {len(sent)} requests; answers by status (0: none): {counts}")
        if case.trouble:
            recent = [each for each in sent if each.status == 200 and case.now() - each.at < 45][:REPEATS]
            again = [await send(case, deployment.sidecars[0], "charge", method="POST", key=each.key) for each in recent]
            same = sum(
                each.answer is not None and first.answer is not None and each.answer.body == first.answer.body
                for first, each in zip(recent, again, strict=True)
            )
            case.add(f"case: of {len(again)} repeats of keys answered in the last 45 s, {same} got the first answer")
        case.add(f"case: processes ended for their memory: {platform.ends}")
        return sum(ends >= ENDS for ends in platform.ends.values()) >= MACHINES
    finally:
        if watching is not None:
            watching.cancel()
        for server in servers:
            await server.end()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
