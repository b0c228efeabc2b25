"""What the scenarios share: load beside faults, bundles one after the other."""

import asyncio
from collections.abc import Coroutine

from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment

# Requests a second, where a scenario has no rate of its own.
RATE = 25.0


def next_bundle(simulation: SimulatedDeployment, *, number: int, based_on: int, note: str = "") -> str:
    """The first bundle under another number, based on another one."""
    return simulation.deployment.next_bundle(number=number, based_on=based_on, note=note)


def another_service(simulation: SimulatedDeployment, service: str) -> str:
    """The first service of the deployment that isn't this one."""
    return next(name for name in simulation.deployment.services if name != service)


async def under_load(
    simulation: SimulatedDeployment, inject_faults: Coroutine, *, seconds: float, rate: float = RATE
) -> None:
    """Injects faults while clients send requests for so many seconds at this rate; ends when both have ended."""
    load = simulation.create_task(simulation.clients.load(seconds=seconds, rate=rate))
    await inject_faults
    await load


async def restart_later(simulation: SimulatedDeployment, name: str, seconds: float = 1.5) -> None:
    """Starts a process again after so many seconds."""
    await asyncio.sleep(seconds)
    simulation.processes.restart(name)
