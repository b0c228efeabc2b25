"""Scenarios without faults, or with faults of messages alone."""

from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE


async def calm(simulation: SimulatedDeployment) -> None:
    """Clients send requests and no fault is injected."""
    await simulation.start()
    await simulation.clients.load(seconds=8, rate=RATE)
    await simulation.operators.read_back(in_force=1)


async def lossy(simulation: SimulatedDeployment) -> None:
    """Messages are lost, delayed and duplicated throughout the run."""
    simulation.world.duplicate_probability = 0.1
    simulation.world.delay_probability = 0.1
    await simulation.start()
    simulation.world.loss_probability = 0.03
    await simulation.clients.load(seconds=12, rate=RATE)
    simulation.world.loss_probability = 0.0
    await simulation.clients.wait_for_service("lossy")
