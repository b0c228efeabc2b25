"""Runs a case: its exit status, its record, and the start of a deployment with servers."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand_ins.client import send
from review.stand_ins.deployment import BOUNDS, Deployment, Machine, first_order, service
from review.stand_ins.record import Record
from review.stand_ins.server import Answerer, Server

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunnable(Exception):
    """The case couldn't run."""


class Case(Record):
    """The record of a case, and whether its disruption takes place."""

    def __init__(self) -> None:
        """Read TROUBLE from the environment."""
        super().__init__()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"


def run(play: Callable[[Case], Awaitable[bool]], *, folder: Path, within: float = 110.0) -> None:
    """Play a case and end the process with its status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        play: Plays the case; returns whether the rule was broken.
        folder: Where record.txt is written.
        within: The longest time that the case may take, in seconds.
    """
    case = Case()
    case.add(f"case: trouble {'on' if case.trouble else 'off'}")
    status = NOT_RUN
    try:
        broken = asyncio.run(_play_to_its_end(play, case, within=within))
        status = BROKEN if broken else HELD
    except asyncio.CancelledError:
        case.add("case: couldn't run: it was stopped from outside")
    except NotRunnable as problem:
        case.add(f"case: couldn't run: {problem}")
    except Exception:
        case.add(f"case: couldn't run: {traceback.format_exc()}")
    case.add(f"case: exit status {status}")
    case.write(folder)
    sys.exit(status)


async def _play_to_its_end(play: Callable[[Case], Awaitable[bool]], case: Case, *, within: float) -> bool:
    """Play a case; a signal to the script cancels it, so that it ends what it started."""
    task = asyncio.ensure_future(asyncio.wait_for(play(case), within))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


async def start(
    case: Case,
    *,
    sidecars: list[str],
    routes: list[dict],
    cores: int = 3,
    work: float = 0.1,
    answerer: Answerer | None = None,
) -> tuple[Deployment, list[Server]]:
    """Start a deployment with a server beside each sidecar, and configure it.

    Args:
        case: The case.
        sidecars: The service of each sidecar machine.
        routes: The routes of the first order.
        cores: The number of controllers.
        work: Seconds of a server's work for each request.
        answerer: How the servers answer, if not in the ordinary way.

    Raises:
        NotRunnable: The deployment didn't come up.
    """
    deployment = Deployment(case, cores=cores, sidecars=sidecars)
    try:
        deployment.start()
        servers = [Server(case, machine, work=work, answerer=answerer) for machine in deployment.sidecars]
        for each in servers:
            await each.start()
        services = [service(name) for name in dict.fromkeys(sidecars)]
        if not await deployment.configure(first_order(routes, services)):
            raise NotRunnable("no controller acknowledged the configuration")
        if not await deployment.all_ready():
            raise NotRunnable("not all sidecars became ready")
    except BaseException:
        deployment.close()
        raise
    return deployment, servers


async def settle(
    case: Case, machines: list[Machine], route: str, *, method: str = "GET", keyed: bool = False, calm: float = 0.0
) -> None:
    """Wait until each machine serves a route, and for the calm after which machines are in touch.

    Args:
        case: The case.
        machines: The machines at which clients will send.
        route: The route.
        method: The method of its requests.
        keyed: Whether its requests carry keys.
        calm: Seconds to wait in all; contact_s at least.

    Raises:
        NotRunnable: A machine didn't serve the route.
    """
    began = case.now()
    for machine in machines:
        for number in range(60):
            key = f"warm-{machine.name}-{number}-{case.now()}" if keyed else ""
            if (await send(case, machine, route, method=method, key=key)).status == 200:
                break
            await asyncio.sleep(0.2)
        else:
            raise NotRunnable(f"{machine.name} doesn't serve {route}")
    await asyncio.sleep(max(0.0, max(calm, BOUNDS["contact_s"] + 0.5) - (case.now() - began)))
