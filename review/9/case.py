"""Case 9: with some ports of a day no controller starts."""

import asyncio
from pathlib import Path

from review.stand_ins.case import Case, run
from review.stand_ins.deployment import PORTS, Deployment, Machine, first_order, route, service

# The ports of the day: those of DEPLOY.md's example, or others.
OTHER_PORTS = (7101, 7116)
PLAY_SECONDS = 20.0
RESTART_SECONDS = 1.0
ENDS = 3


async def _keep_running(case: Case, machine: Machine, ends: dict[str, int]) -> None:
    """Start a process again whenever it has ended by itself, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        if not machine.running():
            assert machine.process is not None
            ends[machine.name] += 1
            last = machine.log.read_text().splitlines()[-1:]
            case.add(f"platform: {machine.name} ended by itself with {machine.process.returncode}: {last}")
            await asyncio.sleep(RESTART_SECONDS)
            machine.start()


async def play(case: Case) -> bool:
    """Return whether Fault (a program doesn't start) was broken."""
    ports = OTHER_PORTS if case.trouble else PORTS
    deployment = Deployment(case, cores=3, sidecars=["portal", "portal"], port_range=ports)
    ends = {machine.name: 0 for machine in deployment.machines}
    watching: list[asyncio.Task] = []
    try:
        case.add(f"platform: port_range {list(ports)}")
        deployment.start()
        watching = [asyncio.ensure_future(_keep_running(case, each, ends)) for each in deployment.machines]
        order = first_order([route("look", kind="idempotent", service="portal", cutoff=4)], [service("portal")])
        taken = await deployment.configure(order, within=PLAY_SECONDS)
        ready = taken and await deployment.all_ready(within=10)
        case.add(
            f"case: the first order was {'acknowledged' if taken else 'never acknowledged'}; sidecars ready: {ready}"
        )
        case.add(f"case: processes that ended by themselves: {ends}")
        stuck = [machine.name for machine in deployment.cores if ends[machine.name] >= ENDS]
        return not taken and len(stuck) * 2 > len(deployment.cores)
    finally:
        for task in watching:
            task.cancel()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
