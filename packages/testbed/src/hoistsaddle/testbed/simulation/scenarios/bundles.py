"""Bundles race and arrive broken."""

import asyncio

from returns.result import Failure, Success

from hoistsaddle.testbed.process_names import REGISTRY
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, next_bundle, restart_later, under_load


async def bundles_race(simulation: SimulatedDeployment) -> None:
    """Two operators submit at once, broken and old bundles come, the leader is lost between sign-off and acceptance."""
    processes = simulation.processes
    operators = simulation.operators
    await simulation.start()

    async def inject_faults() -> None:
        in_force = 1
        number = 1
        for round_number in range(4):
            broken = (
                next_bundle(simulation, number=number + 50, based_on=in_force)
                .replace('service = "portal"', 'service = "nowhere"')
                .replace('service = "cards"', 'service = "nowhere"')
            )
            old = simulation.deployment.first_bundle()
            one = next_bundle(simulation, number=number + 1, based_on=in_force, note="one desk")
            two = next_bundle(simulation, number=number + 2, based_on=in_force, note="other desk")
            registries = processes.running(REGISTRY)
            results = await asyncio.gather(
                operators.submit(broken, broken=True),
                # Another operator's, so that it isn't confirmed as a repeated call.
                operators.submit(old, author="ben"),
                operators.submit(one, author="ada", registry=registries[0]),
                operators.submit(two, author="ben", registry=registries[-1]),
            )
            assert isinstance(results[0], Failure) and isinstance(results[1], Failure), results
            first, second = (result.unwrap()["submitted"] for result in results[2:])
            own = await operators.sign(first["number"], first["digest"], signer="ada")
            assert isinstance(own, Failure) and own.failure().kind == "bundle-self-signed", own
            signing = [
                simulation.create_task(
                    operators.sign(first["number"], first["digest"], signer="ben", registry=registries[0])
                ),
                simulation.create_task(
                    operators.sign(second["number"], second["digest"], signer="ada", registry=registries[-1])
                ),
            ]
            if round_number % 2:
                await asyncio.sleep(simulation.random.uniform(0, 0.05))
                leader = processes.leader()
                if leader is not None:
                    processes.kill(leader)
                    simulation.create_task(restart_later(simulation, leader))
            signed = await asyncio.gather(*signing)
            accepted = [result.unwrap() for result in signed if isinstance(result, Success)]
            assert len(accepted) == 1, signed
            answer = accepted[0]
            while answer["stage"] < answer["stages"]:
                answer = (await operators.advance(answer["number"], answer["stage"])).unwrap()
            number = in_force = answer["number"]
            # The other is still a draft on a base that was replaced: it can't be signed any more.
            rejected = first if answer["number"] == second["number"] else second
            late = await operators.sign(
                rejected["number"], rejected["digest"], signer="ben" if rejected is first else "ada"
            )
            assert isinstance(late, Failure), late
            number = max(number, second["number"])
        await operators.read_back(in_force=in_force)

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.clients.wait_for_service("bundles race")


async def broken_bundle(simulation: SimulatedDeployment) -> None:
    """A broken bundle is sent, and signed if it is accepted."""
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
