"""Functions that the scenarios share: load during faults, successive bundles, delayed restarts."""

import asyncio
from collections.abc import Coroutine

from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment

# Requests per second, unless a scenario sets a rate of its own.
RATE = 25.0


def next_bundle(simulation: SimulatedDeployment, *, number: int, based_on: int, note: str = "") -> str:
    """Returns the first bundle with another number, based on the bundle `based_on`."""
    return simulation.deployment.next_bundle(number=number, based_on=based_on, note=note)


def another_service(simulation: SimulatedDeployment, service: str) -> str:
    """Returns the first service of the deployment other than this one."""
    return next(name for name in simulation.deployment.services if name != service)


async def under_load(
    simulation: SimulatedDeployment, inject_faults: Coroutine, *, seconds: float, rate: float = RATE
) -> None:
    """Injects faults while clients send requests at this rate for so many seconds; returns when both have ended."""
    load = simulation.create_task(simulation.clients.load(seconds=seconds, rate=rate))
    await inject_faults
    await load


async def restart_later(simulation: SimulatedDeployment, name: str, seconds: float = 1.5) -> None:
    """Restarts a process after so many seconds."""
    await asyncio.sleep(seconds)
    simulation.processes.restart(name)
