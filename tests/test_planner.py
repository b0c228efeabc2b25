"""The planner's forecasts compared with the traffic and the tree that result from the changes, in simulated time."""

import asyncio
from collections import Counter

import msgspec
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.planner.bundle_forecast import forecast_bundle
from hoistsaddle.planner.change_forecast import Change, forecast_change
from hoistsaddle.planner.distribution import parents, shares
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import RunStarted
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, simulate
from hoistsaddle.testbed.simulation.scenarios.common import next_bundle

BRINDLEFIELD = DEPLOYMENTS["brindlefield"]


async def read_configuration(simulation: SimulatedDeployment) -> dict:
    name = simulation.processes.running("bourse")[0]
    return msgspec.json.decode(
        (await simulation.processes.by_name[name].spawn(simulation.processes.nodes[name].read_configuration()))
        .unwrap()
        .content
    )


def seen_shares(simulation: SimulatedDeployment, *, since: float) -> dict[str, dict[str, float]]:
    proxy_of = {server.instance: server.proxy for server in simulation.servers.all()}
    runs = Counter(
        (ran.service, proxy_of[ran.instance])
        for ran in simulation.history.of(RunStarted)
        if ran.timestamp > since and ran.caller == "visitors"
    )
    totals = Counter()
    for (service, _), count in runs.items():
        totals[service] += count
    return {
        service: {proxy: count / totals[service] for (each, proxy), count in runs.items() if each == service}
        for service in totals
    }


def first_parents(simulation: SimulatedDeployment) -> dict[str, str]:
    names = {
        node.settings.listen: name for name, node in simulation.processes.nodes.items() if isinstance(node, ProxyNode)
    } | {machine.registry: f"bourse-{machine.replica}" for machine in simulation.processes.core}
    return {
        name: names[simulation.processes.nodes[name]._parents()[0]] for name in simulation.processes.running("stall")
    }


class Planner(TestCase):
    def test_drained_and_new_servers_move_work_as_forecast(self) -> None:
        results: dict = {}

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            configuration = await read_configuration(simulation)
            results["before"] = shares(configuration)
            began = simulation.now()
            await simulation.clients.load(seconds=12, rate=60)
            results["seen before"] = seen_shares(simulation, since=began)
            results["forecast"] = forecast_change(configuration, Change(drain=("stall-02",)))
            assert isinstance(await simulation.operators.drain("stall-02"), Success)
            results["after"] = shares(await read_configuration(simulation))
            began = simulation.now()
            await simulation.clients.load(seconds=12, rate=60)
            results["seen after"] = seen_shares(simulation, since=began)

        simulate(deployment=BRINDLEFIELD, seed=3, scenario=scenario)
        work = results["forecast"].unwrap()["work"]
        self.assertThat(set(work), Equals({"ledger"}))
        self.assertThat(work["ledger"]["stall-02"]["to"], Equals(None))
        for proxy, moved in work["ledger"].items():
            self.assertThat(
                (moved["from"], moved["to"]),
                Equals((results["before"]["ledger"].get(proxy), results["after"]["ledger"].get(proxy))),
            )
        # Which servers get work must match exactly; their shares are random, so they must be close.
        for forecast, seen in (("before", "seen before"), ("after", "seen after")):
            for service, expected in results[forecast].items():
                self.assertThat(
                    {proxy for proxy, share in expected.items() if share}, Equals(set(results[seen][service])), service
                )
                for proxy, share in expected.items():
                    self.assertThat(
                        abs(share - results[seen][service].get(proxy, 0.0)), LessThan(0.15), f"{seen} {service} {proxy}"
                    )

    def test_relay_parents_move_as_forecast(self) -> None:
        results: dict = {}

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            await simulation.wait_until(
                lambda: (
                    len(simulation.processes.nodes["bourse-1"].view.nodes)
                    == len(simulation.processes.proxies) + len(simulation.processes.core)
                ),
                seconds=10,
                description="every node registered",
            )
            configuration = await read_configuration(simulation)
            await simulation.wait_until(
                lambda: first_parents(simulation) == parents(configuration),
                seconds=10,
                description="every proxy below its parent",
            )
            forecast = forecast_change(configuration, Change(gone=("stall-01",))).unwrap()
            simulation.processes.kill("stall-01")
            after = {
                **parents(configuration),
                **{proxy: moved["to"] for proxy, moved in forecast["relay_parents"].items()},
            }
            after.pop("stall-01")
            results["moved"] = forecast["relay_parents"]
            await simulation.wait_until(
                lambda: first_parents(simulation) == after, seconds=20, description="the tree has moved as forecast"
            )

        simulate(deployment=BRINDLEFIELD, seed=4, scenario=scenario)
        self.assertThat(results["moved"]["stall-01"]["to"], Equals(None))
        self.assertThat(len(results["moved"]) > 1, Equals(True))

    def test_bundles_change_what_is_forecast_and_are_refused_as_forecast(self) -> None:
        results: dict = {}

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            configuration = await read_configuration(simulation)
            text = (
                next_bundle(simulation, number=2, based_on=1)
                .replace('callers = ["visitors", "portal"]', 'callers = ["portal"]', 1)
                .replace("body_bytes = 65536", "body_bytes = 1024")
            )
            results["plan"] = forecast_bundle(configuration, text).unwrap()
            results["stale"] = forecast_bundle(configuration, simulation.deployment.first_bundle()).unwrap()["refused"]
            results["wrong base"] = forecast_bundle(
                configuration, next_bundle(simulation, number=3, based_on=2)
            ).unwrap()["refused"]
            results["broken"] = forecast_bundle(configuration, text.replace("everyone = true", "everyone = false"))
            # Submitted by another operator: a call of the bundle's author would count as a repeat and succeed.
            results["really"] = [
                (await simulation.operators.submit(simulation.deployment.first_bundle(), author="ben")).failure().kind,
                (await simulation.operators.submit(next_bundle(simulation, number=3, based_on=2))).failure().kind,
            ]
            results["again"] = isinstance(
                await simulation.operators.submit(simulation.deployment.first_bundle()), Success
            )
            submitted = (await simulation.operators.submit(text)).unwrap()["submitted"]
            one = (await simulation.operators.sign(2, submitted["digest"])).unwrap()
            two = (await simulation.operators.advance(2, 1)).unwrap()
            results["machines"] = [sorted(one["machines"]), sorted(set(two["machines"]) - set(one["machines"]))]
            credits = next(ask for ask in simulation.deployment.request_kinds if ask.path == "/credits")
            got = await simulation.clients.send_request(credits, client="v", key="k")
            results["credits"] = (got.outcome, got.status)
            await asyncio.sleep(0)

        simulate(deployment=BRINDLEFIELD, seed=5, scenario=scenario)
        plan = results["plan"]
        self.assertThat(
            plan["entries"],
            Equals(
                {
                    "credits": {"callers": {"gained": [], "lost": ["visitors"]}},
                    "uploads": {"body_bytes": {"from": 65536, "to": 1024}},
                }
            ),
        )
        self.assertThat((plan["refused"], plan["services"], plan["warnings"]), Equals(([], {}, [])))
        self.assertThat([stage["takes_up"] for stage in plan["stages"]], Equals(results["machines"]))
        self.assertThat(results["credits"], Equals(("refused", 403)))
        self.assertThat(
            [refused[0]["kind"] for refused in (results["stale"], results["wrong base"])], Equals(results["really"])
        )
        self.assertThat((isinstance(results["broken"], Failure), results["again"]), Equals((True, True)))
