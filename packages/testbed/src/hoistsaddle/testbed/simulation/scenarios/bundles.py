"""Conflicting and invalid bundles."""

import asyncio

from returns.result import Failure, Success

from hoistsaddle.testbed.process_names import REGISTRY
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, next_bundle, restart_later, under_load

ROUNDS = 4
# Added to the number of a broken bundle, so that no valid bundle has the same number.
BROKEN_NUMBER_OFFSET = 50


async def _submit_rivals(simulation: SimulatedDeployment, *, number: int, in_force: int) -> tuple[dict, dict]:
    """Submits a broken, an old and two rival bundles at once; returns the rivals, of which only one can be signed."""
    operators = simulation.operators
    broken = (
        next_bundle(simulation, number=number + BROKEN_NUMBER_OFFSET, based_on=in_force)
        .replace('service = "portal"', 'service = "nowhere"')
        .replace('service = "cards"', 'service = "nowhere"')
    )
    registries = simulation.processes.running(REGISTRY)
    first_text = next_bundle(simulation, number=number + 1, based_on=in_force, note="one desk")
    second_text = next_bundle(simulation, number=number + 2, based_on=in_force, note="other desk")
    results = await asyncio.gather(
        operators.submit(broken, broken=True),
        # Submitted by another operator, as it would be confirmed as a repeated call otherwise.
        operators.submit(simulation.deployment.first_bundle(), author="ben"),
        operators.submit(first_text, author="ada", registry=registries[0]),
        operators.submit(second_text, author="ben", registry=registries[-1]),
    )
    assert isinstance(results[0], Failure) and isinstance(results[1], Failure), results
    first, second = (result.unwrap()["submitted"] for result in results[2:])
    return first, second


async def _sign_both(simulation: SimulatedDeployment, first: dict, second: dict, *, lose_leader: bool) -> dict:
    """Signs two rivals at once, optionally while the leader fails; returns the answer to the accepted signature."""
    operators, processes = simulation.operators, simulation.processes
    registries = processes.running(REGISTRY)
    self_signed = await operators.sign(first["number"], first["digest"], signer="ada")
    assert isinstance(self_signed, Failure) and self_signed.failure().kind == "bundle-self-signed", self_signed
    signing = [
        simulation.create_task(operators.sign(first["number"], first["digest"], signer="ben", registry=registries[0])),
        simulation.create_task(
            operators.sign(second["number"], second["digest"], signer="ada", registry=registries[-1])
        ),
    ]
    if lose_leader:
        await asyncio.sleep(simulation.random.uniform(0, 0.05))
        leader = processes.leader()
        if leader is not None:
            processes.kill(leader)
            simulation.create_task(restart_later(simulation, leader))
    signed = await asyncio.gather(*signing)
    accepted = [result.unwrap() for result in signed if isinstance(result, Success)]
    assert len(accepted) == 1, signed
    return accepted[0]


async def bundles_race(simulation: SimulatedDeployment) -> None:
    """Two operators submit at once, also broken and old bundles; the leader fails between sign-off and acceptance."""
    operators = simulation.operators
    await simulation.start()

    async def inject_faults() -> None:
        in_force = number = 1
        for round_number in range(ROUNDS):
            first, second = await _submit_rivals(simulation, number=number, in_force=in_force)
            answer = await _sign_both(simulation, first, second, lose_leader=bool(round_number % 2))
            while answer["stage"] < answer["stages"]:
                answer = (await operators.advance(answer["number"], answer["stage"])).unwrap()
            in_force = answer["number"]
            # The other rival is a draft based on a bundle that is no longer in force, so it can't be signed any more.
            rejected, signer = (first, "ben") if in_force == second["number"] else (second, "ada")
            late = await operators.sign(rejected["number"], rejected["digest"], signer=signer)
            assert isinstance(late, Failure), late
            number = max(in_force, second["number"])
        await operators.read_back(in_force=in_force)

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.clients.wait_for_service("bundles race")


async def broken_bundle(simulation: SimulatedDeployment) -> None:
    """A broken bundle is submitted, and signed in case it is accepted."""
    operators = simulation.operators
    await simulation.start()
    broken = next_bundle(simulation, number=2, based_on=1).replace('callers = ["visitors"]', 'callers = ["anybody"]')
    submitted = await operators.submit(broken, broken=True)
    if isinstance(submitted, Success):
        detail = submitted.unwrap()["submitted"]
        signed = (await operators.sign(2, detail["digest"])).unwrap()
        await operators.advance(2, signed["stage"])
    await simulation.clients.load(seconds=2, rate=RATE)
    await operators.read_back(in_force=1)
