"""The planner's forecast against what really moves, in simulated time."""

import asyncio
from collections import Counter

import msgspec
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.planner.forecast import Change, parents, shares, weigh_bundle, weigh_change
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import Ran
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, simulate
from hoistsaddle.testbed.simulation.scenarios import next_bundle

BRINDLEFIELD = DEPLOYMENTS["brindlefield"]


async def read_setup(whole: SimulatedDeployment) -> dict:
    name = whole.live("bourse")[0]
    return msgspec.json.decode((await whole.lives[name].spawn(whole.nodes[name].read_setup())).unwrap().content)


def seen_shares(whole: SimulatedDeployment, *, since: float) -> dict[str, dict[str, float]]:
    beside = {server.instance: server.stall for server in whole.servers.values()}
    runs = Counter(
        (ran.service, beside[ran.instance])
        for ran in whole.history.of(Ran)
        if ran.moment > since and ran.caller == "visitors"
    )
    totals = Counter()
    for (service, _), count in runs.items():
        totals[service] += count
    return {
        service: {stall: count / totals[service] for (each, stall), count in runs.items() if each == service}
        for service in totals
    }


def first_parents(whole: SimulatedDeployment) -> dict[str, str]:
    names = {node.params.listen: name for name, node in whole.nodes.items() if isinstance(node, ProxyNode)} | {
        machine.bourse: f"bourse-{machine.replica}" for machine in whole.core
    }
    return {name: names[whole.nodes[name]._parents()[0]] for name in whole.live("stall")}


class Planner(TestCase):
    def test_drained_and_new_servers_move_work_as_forecast(self) -> None:
        told: dict = {}

        async def scenario(whole: SimulatedDeployment) -> None:
            await whole.start()
            setup = await read_setup(whole)
            told["before"] = shares(setup)
            began = whole.moment()
            await whole.load(seconds=12, rate=60)
            told["seen before"] = seen_shares(whole, since=began)
            told["forecast"] = weigh_change(setup, Change(drain=("stall-02",)))
            assert isinstance(await whole.drain("stall-02"), Success)
            told["after"] = shares(await read_setup(whole))
            began = whole.moment()
            await whole.load(seconds=12, rate=60)
            told["seen after"] = seen_shares(whole, since=began)

        simulate(deployment=BRINDLEFIELD, seed=3, scenario=scenario)
        work = told["forecast"].unwrap()["work"]
        self.assertThat(set(work), Equals({"ledger"}))
        self.assertThat(work["ledger"]["stall-02"]["to"], Equals(None))
        for stall, moved in work["ledger"].items():
            self.assertThat(
                (moved["from"], moved["to"]),
                Equals((told["before"]["ledger"].get(stall), told["after"]["ledger"].get(stall))),
            )
        # Who gets work at all must be exact; how much is chance, so it must be near.
        for forecast, seen in (("before", "seen before"), ("after", "seen after")):
            for service, expected in told[forecast].items():
                self.assertThat(
                    {stall for stall, share in expected.items() if share}, Equals(set(told[seen][service])), service
                )
                for stall, share in expected.items():
                    self.assertThat(
                        abs(share - told[seen][service].get(stall, 0.0)), LessThan(0.15), f"{seen} {service} {stall}"
                    )

    def test_relay_parents_move_as_forecast(self) -> None:
        told: dict = {}

        async def scenario(whole: SimulatedDeployment) -> None:
            await whole.start()
            await whole.until(
                lambda: len(whole.nodes["bourse-1"].view.nodes) == len(whole.stalls) + len(whole.core),
                seconds=10,
                what="every node noted",
            )
            setup = await read_setup(whole)
            await whole.until(lambda: first_parents(whole) == parents(setup), seconds=10, what="everyone at its place")
            forecast = weigh_change(setup, Change(gone=("stall-01",))).unwrap()
            whole.kill("stall-01")
            after = {**parents(setup), **{stall: moved["to"] for stall, moved in forecast["relay_parents"].items()}}
            after.pop("stall-01")
            told["moved"] = forecast["relay_parents"]
            await whole.until(lambda: first_parents(whole) == after, seconds=20, what="the tree has moved as forecast")

        simulate(deployment=BRINDLEFIELD, seed=4, scenario=scenario)
        self.assertThat(told["moved"]["stall-01"]["to"], Equals(None))
        self.assertThat(len(told["moved"]) > 1, Equals(True))

    def test_bundles_change_what_the_plan_says_and_are_refused_as_it_says(self) -> None:
        told: dict = {}

        async def scenario(whole: SimulatedDeployment) -> None:
            await whole.start()
            setup = await read_setup(whole)
            text = (
                next_bundle(whole, number=2, based_on=1)
                .replace('callers = ["visitors", "portal"]', 'callers = ["portal"]', 1)
                .replace("body_bytes = 65536", "body_bytes = 1024")
            )
            told["plan"] = weigh_bundle(setup, text).unwrap()
            told["stale"] = weigh_bundle(setup, whole.deployment.first_bundle()).unwrap()["refused"]
            told["wrong base"] = weigh_bundle(setup, next_bundle(whole, number=3, based_on=2)).unwrap()["refused"]
            told["broken"] = weigh_bundle(setup, text.replace("everyone = true", "everyone = false"))
            # Another person's: its own author's call would be one that was sent again, and is confirmed.
            told["really"] = [
                (await whole.submit(whole.deployment.first_bundle(), author="ben")).failure().kind,
                (await whole.submit(next_bundle(whole, number=3, based_on=2))).failure().kind,
            ]
            told["again"] = isinstance(await whole.submit(whole.deployment.first_bundle()), Success)
            submitted = (await whole.submit(text)).unwrap()["submitted"]
            one = (await whole.sign(2, submitted["digest"])).unwrap()
            two = (await whole.advance(2, 1)).unwrap()
            told["machines"] = [sorted(one["machines"]), sorted(set(two["machines"]) - set(one["machines"]))]
            credits = next(ask for ask in whole.deployment.asks if ask.path == "/credits")
            got = await whole.ask(credits, visitor="v", key="k")
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
