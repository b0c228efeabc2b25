"""The planner's forecast compared with the traffic that moves, in simulated time."""

import asyncio
from collections import Counter

import msgspec
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.planner.forecast import Change, forecast_bundle, forecast_change, parents, shares
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import RunStarted
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, simulate
from hoistsaddle.testbed.simulation.scenarios import next_bundle

BRINDLEFIELD = DEPLOYMENTS["brindlefield"]


async def read_configuration(complete: SimulatedDeployment) -> dict:
    name = complete.live("bourse")[0]
    return msgspec.json.decode(
        (await complete.processes[name].spawn(complete.nodes[name].read_configuration())).unwrap().content
    )


def seen_shares(complete: SimulatedDeployment, *, since: float) -> dict[str, dict[str, float]]:
    beside = {server.instance: server.proxy for server in complete.servers.values()}
    runs = Counter(
        (ran.service, beside[ran.instance])
        for ran in complete.history.of(RunStarted)
        if ran.timestamp > since and ran.caller == "visitors"
    )
    totals = Counter()
    for (service, _), count in runs.items():
        totals[service] += count
    return {
        service: {proxy: count / totals[service] for (each, proxy), count in runs.items() if each == service}
        for service in totals
    }


def first_parents(complete: SimulatedDeployment) -> dict[str, str]:
    names = {node.settings.listen: name for name, node in complete.nodes.items() if isinstance(node, ProxyNode)} | {
        machine.registry: f"bourse-{machine.replica}" for machine in complete.core
    }
    return {name: names[complete.nodes[name]._parents()[0]] for name in complete.live("stall")}


class Planner(TestCase):
    def test_drained_and_new_servers_move_work_as_forecast(self) -> None:
        told: dict = {}

        async def scenario(complete: SimulatedDeployment) -> None:
            await complete.start()
            setup = await read_configuration(complete)
            told["before"] = shares(setup)
            began = complete.timestamp()
            await complete.load(seconds=12, rate=60)
            told["seen before"] = seen_shares(complete, since=began)
            told["forecast"] = forecast_change(setup, Change(drain=("stall-02",)))
            assert isinstance(await complete.drain("stall-02"), Success)
            told["after"] = shares(await read_configuration(complete))
            began = complete.timestamp()
            await complete.load(seconds=12, rate=60)
            told["seen after"] = seen_shares(complete, since=began)

        simulate(deployment=BRINDLEFIELD, seed=3, scenario=scenario)
        work = told["forecast"].unwrap()["work"]
        self.assertThat(set(work), Equals({"ledger"}))
        self.assertThat(work["ledger"]["stall-02"]["to"], Equals(None))
        for proxy, moved in work["ledger"].items():
            self.assertThat(
                (moved["from"], moved["to"]),
                Equals((told["before"]["ledger"].get(proxy), told["after"]["ledger"].get(proxy))),
            )
        # Who gets work at all must be exact; how much is chance, so it must be near.
        for forecast, seen in (("before", "seen before"), ("after", "seen after")):
            for service, expected in told[forecast].items():
                self.assertThat(
                    {proxy for proxy, share in expected.items() if share}, Equals(set(told[seen][service])), service
                )
                for proxy, share in expected.items():
                    self.assertThat(
                        abs(share - told[seen][service].get(proxy, 0.0)), LessThan(0.15), f"{seen} {service} {proxy}"
                    )

    def test_relay_parents_move_as_forecast(self) -> None:
        told: dict = {}

        async def scenario(complete: SimulatedDeployment) -> None:
            await complete.start()
            await complete.until(
                lambda: len(complete.nodes["bourse-1"].view.nodes) == len(complete.proxies) + len(complete.core),
                seconds=10,
                what="every node noted",
            )
            setup = await read_configuration(complete)
            await complete.until(
                lambda: first_parents(complete) == parents(setup), seconds=10, what="everyone at its place"
            )
            forecast = forecast_change(setup, Change(gone=("stall-01",))).unwrap()
            complete.kill("stall-01")
            after = {**parents(setup), **{proxy: moved["to"] for proxy, moved in forecast["relay_parents"].items()}}
            after.pop("stall-01")
            told["moved"] = forecast["relay_parents"]
            await complete.until(
                lambda: first_parents(complete) == after, seconds=20, what="the tree has moved as forecast"
            )

        simulate(deployment=BRINDLEFIELD, seed=4, scenario=scenario)
        self.assertThat(told["moved"]["stall-01"]["to"], Equals(None))
        self.assertThat(len(told["moved"]) > 1, Equals(True))

    def test_bundles_change_what_the_plan_says_and_are_refused_as_it_says(self) -> None:
        told: dict = {}

        async def scenario(complete: SimulatedDeployment) -> None:
            await complete.start()
            setup = await read_configuration(complete)
            text = (
                next_bundle(complete, number=2, based_on=1)
                .replace('callers = ["visitors", "portal"]', 'callers = ["portal"]', 1)
                .replace("body_bytes = 65536", "body_bytes = 1024")
            )
            told["plan"] = forecast_bundle(setup, text).unwrap()
            told["stale"] = forecast_bundle(setup, complete.deployment.first_bundle()).unwrap()["refused"]
            told["wrong base"] = forecast_bundle(setup, next_bundle(complete, number=3, based_on=2)).unwrap()["refused"]
            told["broken"] = forecast_bundle(setup, text.replace("everyone = true", "everyone = false"))
            # Another person's: its own author's call would be one that was sent again, and is confirmed.
            told["really"] = [
                (await complete.submit(complete.deployment.first_bundle(), author="ben")).failure().kind,
                (await complete.submit(next_bundle(complete, number=3, based_on=2))).failure().kind,
            ]
            told["again"] = isinstance(await complete.submit(complete.deployment.first_bundle()), Success)
            submitted = (await complete.submit(text)).unwrap()["submitted"]
            one = (await complete.sign(2, submitted["digest"])).unwrap()
            two = (await complete.advance(2, 1)).unwrap()
            told["machines"] = [sorted(one["machines"]), sorted(set(two["machines"]) - set(one["machines"]))]
            credits = next(ask for ask in complete.deployment.request_kinds if ask.path == "/credits")
            got = await complete.ask(credits, client="v", key="k")
            told["credits"] = (got.outcome, got.status)
            await asyncio.sleep(0)

        simulate(deployment=BRINDLEFIELD, seed=5, scenario=scenario)
        plan = told["plan"]
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
        self.assertThat([stage["takes_up"] for stage in plan["stages"]], Equals(told["machines"]))
        self.assertThat(told["credits"], Equals(("refused", 403)))
        self.assertThat([refused[0]["kind"] for refused in (told["stale"], told["wrong base"])], Equals(told["really"]))
        self.assertThat((isinstance(told["broken"], Failure), told["again"]), Equals((True, True)))
