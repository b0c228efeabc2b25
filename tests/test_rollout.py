"""A stage that one machine refuses, and taking a roll-out back, in simulated time."""

from unittest import mock

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.statemachine import view
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, simulate
from hoistsaddle.testbed.simulation.event_loop import CURRENT_PROCESS
from hoistsaddle.testbed.simulation.scenarios.common import next_bundle

OLD_RELEASE = "stall-05"


def read_as_an_old_release(text: str):
    """One proxy runs a release that can't read the new bundle; everybody else can."""
    life = CURRENT_PROCESS.get()
    if life is not None and life.name == OLD_RELEASE and 'note = "newer"' in text:
        return Failure(
            MeshError(
                ErrorKind.BUNDLE_BROKEN,
                "It has a field this release doesn't know.",
                "Install the newer release.",
                "entries[0].newer",
            )
        )
    return plain(text)


plain = view.read_bundle


class Rollouts(TestCase):
    def test_a_machine_that_refuses_is_named_stays_as_it_is_and_the_rollout_can_be_taken_back(self) -> None:
        results: dict = {}

        def bundles(simulation: SimulatedDeployment) -> dict[str, int]:
            return {
                name: simulation.processes.nodes[name].core.view.bundle_number for name in simulation.processes.proxies
            }

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            text = next_bundle(simulation, number=2, based_on=1, note="newer")
            submitted = (await simulation.operators.submit(text)).unwrap()["submitted"]
            one = (await simulation.operators.sign(2, submitted["digest"])).unwrap()
            two = (await simulation.operators.advance(2, 1)).unwrap()
            results["answers"] = (one["accepted"], two["accepted"], two["refused"]["message"], two["refused"]["kind"])
            results["refusal"] = two["machines"][OLD_RELEASE]
            results["bundles"] = bundles(simulation)
            # It refuses, and goes on serving under what it has.
            results["ready"] = simulation.processes.nodes[OLD_RELEASE].core.ready()
            # The next bundle, which it can read, brings it along.
            await simulation.operators.roll_out(next_bundle(simulation, number=3, based_on=2))
            results["later"] = bundles(simulation)
            third = (
                await simulation.operators.submit(next_bundle(simulation, number=4, based_on=3, note="regretted"))
            ).unwrap()["submitted"]
            assert isinstance(await simulation.operators.sign(4, third["digest"]), Success)
            results["rolling"] = sorted(set(bundles(simulation).values()))
            aborted = await simulation.operators.perform(
                lambda actions, request: actions.abort(operator="ada", number=4, request=request)
            )
            results["aborted"] = (aborted.unwrap()["accepted"], sorted(set(bundles(simulation).values())))
            # The signature was taken before the abort: it is confirmed again and moves nothing; nobody else can sign.
            again = (await simulation.operators.sign(4, third["digest"])).unwrap()
            other = await simulation.operators.sign(4, third["digest"], signer="ada")
            results["again"] = (again["phase"], sorted(set(bundles(simulation).values())), other.failure().kind)

        with mock.patch.object(view, "read_bundle", read_as_an_old_release):
            simulate(deployment=DEPLOYMENTS["thimble"], seed=6, scenario=scenario)
        self.assertThat(results["answers"], Equals((True, False, f"{OLD_RELEASE} refused it.", "bundle-refused")))
        self.assertThat(results["refusal"], Contains("entries[0].newer"))
        self.assertThat(
            results["bundles"],
            Equals({f"stall-{place:02d}": 1 if f"stall-{place:02d}" == OLD_RELEASE else 2 for place in range(1, 7)}),
        )
        self.assertThat((results["ready"], set(results["later"].values())), Equals((None, {3})))
        self.assertThat(
            (results["rolling"], results["aborted"], results["again"]),
            Equals(([3, 4], (True, [3]), ("aborted", [3], "bundle-wrong-phase"))),
        )
