"""A rollout with a proxy that can't parse the bundle, and an aborted rollout, in simulated time.

A proxy of an older release rejects a bundle with a field that it doesn't know. The test guards against a rollout that
hides this, a proxy that stops serving, and an abort that doesn't restore the bundle in force.
"""

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


def read_bundle_as_old_release(text: str):
    """Simulates one proxy whose release can't parse the new bundle; all other nodes parse it."""
    process = CURRENT_PROCESS.get()
    if process is not None and process.name == OLD_RELEASE and 'note = "newer"' in text:
        return Failure(
            MeshError(
                ErrorKind.BUNDLE_BROKEN,
                "It has a field this release doesn't know.",
                "Install the newer release.",
                "entries[0].newer",
            )
        )
    return original_read_bundle(text)


original_read_bundle = view.read_bundle


class Rollouts(TestCase):
    def test_a_rejecting_proxy_is_reported_and_keeps_its_bundle_and_a_rollout_can_be_aborted(self) -> None:
        results: dict = {}

        def bundles(simulation: SimulatedDeployment) -> dict[str, int]:
            return {
                name: simulation.processes.nodes[name].core.view.bundle_number for name in simulation.processes.proxies
            }

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            text = next_bundle(simulation, number=2, based_on=1, note="newer")
            submitted = (await simulation.operators.submit(text)).unwrap()["submitted"]
            signed = (await simulation.operators.sign(2, submitted["digest"])).unwrap()
            advanced = (await simulation.operators.advance(2, 1)).unwrap()
            results["answers"] = (
                signed["accepted"],
                advanced["accepted"],
                advanced["refused"]["message"],
                advanced["refused"]["kind"],
            )
            results["refusal"] = advanced["machines"][OLD_RELEASE]
            results["bundles"] = bundles(simulation)
            # The proxy rejects the bundle and keeps serving under its present one.
            results["ready"] = simulation.processes.nodes[OLD_RELEASE].core.ready()
            # The proxy can parse the next bundle and applies it.
            await simulation.operators.roll_out(next_bundle(simulation, number=3, based_on=2))
            results["later"] = bundles(simulation)
            fourth = (
                await simulation.operators.submit(next_bundle(simulation, number=4, based_on=3, note="regretted"))
            ).unwrap()["submitted"]
            assert isinstance(await simulation.operators.sign(4, fourth["digest"]), Success)
            results["rolling"] = sorted(set(bundles(simulation).values()))
            aborted = await simulation.operators.perform(
                lambda actions, request: actions.abort(operator="ada", number=4, request=request)
            )
            results["aborted"] = (aborted.unwrap()["accepted"], sorted(set(bundles(simulation).values())))
            # The signature was accepted before the abort: a repeat is confirmed and changes nothing. No other operator
            # can sign.
            again = (await simulation.operators.sign(4, fourth["digest"])).unwrap()
            other = await simulation.operators.sign(4, fourth["digest"], signer="ada")
            results["again"] = (again["phase"], sorted(set(bundles(simulation).values())), other.failure().kind)

        with mock.patch.object(view, "read_bundle", read_bundle_as_old_release):
            simulate(deployment=DEPLOYMENTS["thimble"], seed=6, scenario=scenario)
        self.assertThat(results["answers"], Equals((True, False, f"{OLD_RELEASE} refused it.", "bundle-refused")))
        self.assertThat(results["refusal"], Contains("entries[0].newer"))
        self.assertThat(
            results["bundles"],
            Equals({f"stall-{index:02d}": 1 if f"stall-{index:02d}" == OLD_RELEASE else 2 for index in range(1, 7)}),
        )
        self.assertThat((results["ready"], set(results["later"].values())), Equals((None, {3})))
        self.assertThat(
            (results["rolling"], results["aborted"], results["again"]),
            Equals(([3, 4], (True, [3]), ("aborted", [3], "bundle-wrong-phase"))),
        )
