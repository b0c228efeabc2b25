"""Uploads beyond the bandwidth of their servers' links must not affect other requests.

The bounds are the platform's: a kind of request may be served less often than a less urgent one by at most 5 in 100,
and at most 60 in 100 of a kind may be rejected or fail.
"""

import os
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.history import History, RequestResult, RequestSent
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, UPLOAD, ServiceSpec, SidecarMachine, draw_site

SEEDS = (1, 2, 3, 4)
LINK_BYTES_PER_SECOND = 330_000.0
UPLOAD_BYTES = 60_000
SERVED_LESS = 0.05
REFUSED_OR_FAILED = 0.6
SLOTS = 9


class Proportions(NamedTuple):
    """The number of sidecars of each service, the clients' requests per second, and the uploads among them."""

    sidecars: tuple[int, int, int]
    rate: float
    uploads: float


# The reported case: bodies that other machines forward take most of the link of a server's machine.
FORWARDED = Proportions((20, 6, 2), 60.0, 12.0)
# Few machines: bodies that clients send directly take much of every machine's link.
SENT_BY_CLIENTS = Proportions((8, 4, 2), 60.0, 18.0)


class Case(NamedTuple):
    """A day's proportions and seed, and whether its links have a limited bandwidth."""

    proportions: Proportions
    seed: int
    thin: bool


class Outcome(NamedTuple):
    """The outcome of a day: broken rules, the served share by kind of request, and the share of wasted body bytes."""

    broken: dict[str, list[str]]
    served: dict[str, float]
    wasted_bodies: float


def upload_day(case: Case) -> Day:
    """A small site whose third service handles the uploads and the nested calls of the other two services."""
    proportions = case.proportions
    site = draw_site(case.seed, small=True)
    services = [
        spec.name for spec, count in zip(site.services, proportions.sidecars, strict=True) for _ in range(count)
    ]
    sidecars = tuple(
        SidecarMachine(
            f"side-{number:02d}", f"10.{number % 2 + 1}.1.{10 + number}", site.zones[number % 2], service, 1.0
        )
        for number, service in enumerate(services)
    )
    others = proportions.rate - proportions.uploads
    weights = {"r-view": others * 4 / 7, "r-post": others * 2 / 7, "r-send": others / 7, "r-load": proportions.uploads}
    kinds = tuple(
        kind._replace(
            weight=weights[kind.route],
            deadline=4.0,
            body_bytes=UPLOAD_BYTES if kind.route == "r-load" else 0,
        )
        for kind in site.request_kinds
    )
    routes = tuple(route._replace(latency_target=1.2) if route.kind == UPLOAD else route for route in site.routes)
    site = site._replace(
        sidecars=sidecars,
        services=tuple(ServiceSpec(spec.name, SLOTS, spec.queue) for spec in site.services),
        routes=routes,
        request_kinds=kinds,
        rate=proportions.rate,
        link_bytes_per_second=LINK_BYTES_PER_SECOND if case.thin else 0.0,
    )
    return Day(case.seed, site, (), 10.0)


def shares_served(day: Day, history: History) -> dict[str, float]:
    """The served share of each kind of client request, and of the servers' nested calls."""
    results = {result.attempt: result for result in history.of(RequestResult)}
    kinds = {route.name: route.kind for route in day.site.routes}
    # By kind: the requests' paths, which all attempts of a request share.
    sent: dict[str, set[str]] = defaultdict(set)
    served: dict[str, set[str]] = defaultdict(set)
    for request in history.of(RequestSent):
        if request.route not in kinds:
            continue
        kind = "call" if request.parent else kinds[request.route]
        sent[kind].add(request.path)
        result = results.get(request.attempt)
        if result is not None and result.status == 200:
            served[kind].add(request.path)
    return {kind: len(served[kind]) / len(paths) for kind, paths in sent.items()}


def outcome(case: Case) -> Outcome:
    day = upload_day(case)
    played = play(day)
    broken = {rule: found for rule, found in check(played.history, day).items() if found}
    arrived, wasted = (played.counts[f"forwarded.{name}body_octets"] for name in ("", "refused_"))
    return Outcome(broken, shares_served(day, played.history), wasted / arrived)


class ThinLinks(TestCase):
    """Guards against nested calls and other requests that fail behind upload bodies queued on a full link."""

    def judge(self, proportions: Proportions) -> None:
        print("seeds", SEEDS)
        cases = [Case(proportions, seed, thin) for seed in SEEDS for thin in (False, True)]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            outcomes = dict(zip(cases, pool.map(outcome, cases), strict=True))
        for seed in SEEDS:
            wide, thin = (outcomes[Case(proportions, seed, is_thin)] for is_thin in (False, True))
            print(seed, wide, thin)
            self.assertThat((wide.broken, thin.broken), Equals(({}, {})))
            for kind in ("call", REPEATABLE, ONCE_PER_KEY):
                self.assertThat(wide.served[kind] - thin.served[kind], LessThan(SERVED_LESS), f"{seed} {kind}")
            self.assertThat(1 - thin.served[UPLOAD], LessThan(REFUSED_OR_FAILED), str(seed))
            self.assertThat(thin.wasted_bodies, LessThan(SERVED_LESS), str(seed))

    def test_uploads_beyond_a_link_are_refused_before_they_fill_it(self) -> None:
        self.judge(SENT_BY_CLIENTS)

    def test_forwarded_uploads_beyond_a_link_are_refused_before_they_fill_it(self) -> None:
        self.judge(FORWARDED)
