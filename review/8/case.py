"""Case 8: after a stall and a restart of a core machine a sidecar never reports its server again."""

import asyncio
import signal
from pathlib import Path

from review.stand_ins.case import Case, NotRunnable, run, settle, start
from review.stand_ins.client import send
from review.stand_ins.deployment import BOUNDS, Deployment, Machine, route

# The stall may come more than once; each one freezes a core machine and a sidecar machine.
MAX_STALLS = 5
# The core machine freezes this long before the sidecar; its process is killed while both are frozen.
HEAD_START_SECONDS = 0.3
KILLED_AFTER_SECONDS = 0.1
RESTART_SECONDS = 0.5
# The rest of the sidecar's freeze; 2.6 s in all, of the 4.5 that the pages name.
REST_OF_FREEZE_SECONDS = 2.0
CALM_SECONDS = 7.0
REQUESTS = 24


async def _stall(core: Machine, sidecar: Machine) -> None:
    """Freeze both, restart the core machine's process, and wake the sidecar."""
    core.signal(signal.SIGSTOP)
    await asyncio.sleep(HEAD_START_SECONDS)
    sidecar.signal(signal.SIGSTOP)
    await asyncio.sleep(KILLED_AFTER_SECONDS)
    await core.kill()
    await asyncio.sleep(RESTART_SECONDS)
    core.start()
    await asyncio.sleep(REST_OF_FREEZE_SECONDS)
    sidecar.signal(signal.SIGCONT)


async def _served(case: Case, machine: Machine, route_name: str, count: int) -> int:
    """Send requests one after the other; return how many were served."""
    answers = [await send(case, machine, route_name, deadline=1.0) for _ in range(count)]
    return sum(each.status == 200 for each in answers)


async def _add_route(case: Case, deployment: Deployment) -> None:
    added = route("new", kind="idempotent", service="ledger", cutoff=4, version=5)
    if not await deployment.configure({"apply": {"route_table": [added]}, "remove": {}}):
        raise NotRunnable("the change was not acknowledged")
    await asyncio.sleep(BOUNDS["apply_s"])


async def play(case: Case) -> bool:
    """Return whether CONFIG (routes added later) was broken."""
    routes = [
        route("ledger", kind="idempotent", service="ledger", cutoff=4),
        route("look", kind="idempotent", service="portal", cutoff=4),
    ]
    deployment, servers = await start(case, sidecars=["ledger", "portal", "portal", "portal"], routes=routes, work=0.05)
    try:
        stalled, client = deployment.sidecars[:2]
        await settle(case, [client], "ledger")
        for _ in range(MAX_STALLS if case.trouble else 1):
            if case.trouble:
                await _stall(deployment.cores[0], stalled)
            await asyncio.sleep(CALM_SECONDS)
            if not await _served(case, client, "ledger", 3):
                break
        await asyncio.sleep(BOUNDS["recovery_s"])
        await _add_route(case, deployment)
        later = await _served(case, client, "new", REQUESTS)
        first = await _served(case, client, "look", REQUESTS) + await _served(case, client, "ledger", REQUESTS)
        ready = await stalled.ready()
        beat = await servers[0].beat()
        servers[0].phase = "decaying"
        leave = await servers[0].beat()
        case.add(f"case: {stalled.name} is ready: {ready}; a beat is acknowledged: {beat}, a leave: {leave}")
        case.add(
            f"case: served {later} of {REQUESTS} on the route added later, {first} of {2 * REQUESTS} on the first two"
        )
        return later * 2 * 4 < first
    finally:
        for server in servers:
            await server.end()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
