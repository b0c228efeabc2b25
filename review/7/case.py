"""Case 7: where the tolerance is one zone, the loss of one zone loses the acknowledged configuration."""

import asyncio
import json
import os
import shutil
import signal
from pathlib import Path

from review.stand_ins.case import Case, NotRunnable, run, settle
from review.stand_ins.client import send
from review.stand_ins.deployment import BOUNDS, ZONES, Deployment, first_order, route, service
from review.stand_ins.server import Server

# CONTROL=1 plays the same with the tolerance of the small sites, one machine: with one core machine in each zone, the
# same loss.
ONE_ZONE = {"machine_loss": 0, "zones": 1, "region_loss": 0}
ONE_MACHINE = {"machine_loss": 1, "zones": 0, "region_loss": 0}
CALM_SECONDS = 6.0
DARK_SECONDS = 3.0
REQUESTS = 20


async def _lose(case: Case, deployment: Deployment, zone: str) -> None:
    """Kill all processes of a zone at once; they come back after a while, the core machine with an empty disk."""
    lost = [machine for machine in deployment.machines if machine.zone == zone]
    for machine in lost:
        machine.signal(signal.SIGKILL)
    for machine in lost:
        await machine.ended(within=5)
        if machine in deployment.cores:
            shutil.rmtree(machine.disk)
            case.add(f"platform: {machine.name} has lost its disk")
    await asyncio.sleep(DARK_SECONDS)
    for machine in lost:
        machine.start()


async def _read_back(case: Case, deployment: Deployment, *, within: float) -> dict | None:
    """Read the configuration again and again; return the first one that comes."""
    deadline = case.now() + within
    answers = 0
    while case.now() < deadline:
        if (answer := await deployment.read_configuration()) is not None:
            case.add("operator: read the configuration back")
            return json.loads(answer.body)
        answers += 1
        await asyncio.sleep(0.3)
    case.add(f"operator: {answers} rounds over all controllers, none answered a read with 200")
    return None


async def play(case: Case) -> bool:
    """Return whether LOST (acknowledged configuration) was broken."""
    tolerance = ONE_MACHINE if os.environ.get("CONTROL") else ONE_ZONE
    deployment = Deployment(case, cores=3, sidecars=["portal"] * 3, tolerance=tolerance)
    for machines in (deployment.cores, deployment.sidecars):
        for machine, zone in zip(machines, ZONES, strict=True):
            machine.zone = zone
    servers = [Server(case, machine) for machine in deployment.sidecars]
    try:
        case.add(f"platform: tolerance {tolerance}, a core machine and a sidecar in each of three zones")
        deployment.start()
        for server in servers:
            await server.start()
        order = first_order([route("look", kind="idempotent", service="portal", cutoff=4)], [service("portal")])
        if not await deployment.configure(order) or not await deployment.all_ready():
            raise NotRunnable("the deployment didn't come up")
        await settle(case, deployment.sidecars, "look", calm=CALM_SECONDS)
        change = {"apply": {"route_table": [route("new", kind="idempotent", service="portal", cutoff=4, version=5)]}}
        if not await deployment.configure({**change, "remove": {}}):
            raise NotRunnable("the change was not acknowledged")
        if case.trouble:
            await _lose(case, deployment, ZONES[0])
        # All machines have been back for recovery_s, settle_s and contact_s at its end.
        within = BOUNDS["recovery_s"] + BOUNDS["settle_s"] + BOUNDS["contact_s"]
        read = await _read_back(case, deployment, within=within)
        names = [] if read is None else [(item["name"], item["generation"]) for item in read["route_table"]]
        case.add(f"case: routes read back: {names}")
        sent = [
            await send(case, machine, "new", deadline=1.0)
            for _ in range(REQUESTS // 3)
            for machine in deployment.sidecars
        ]
        served = {machine.name: 0 for machine in deployment.sidecars}
        for index, each in enumerate(sent):
            served[deployment.sidecars[index % 3].name] += each.status == 200
        case.add(f"case: of {REQUESTS // 3} requests at each machine, served: {served}")
        return ("r-new", "r5") not in names
    finally:
        for server in servers:
            await server.end()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
