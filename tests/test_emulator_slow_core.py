"""Core machines with slow processors under the load of keyed requests, after a fault of all machines and in overload.

The bounds are the platform's: service recovers within `recovery_s`, and a kind of request may be served less often than
a less urgent one by at most 5 in 100.
"""

import os
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.history import FinalFaultEnded, History, RequestResult, RequestSent
from hoistsaddle.testbed.emulator.processors import ProcessorSpeed
from hoistsaddle.testbed.emulator.scheduled_events import Change, FinalFault
from hoistsaddle.testbed.emulator.site import (
    BOUNDS,
    ONCE_PER_KEY,
    REPEATABLE,
    ServiceSpec,
    SidecarMachine,
    Site,
    draw_site,
)

SEEDS = (1, 2, 3, 4)
SERVED_LESS = 0.05
SIDECARS = (6, 12, 2)
SLOTS = 9
# Requests per second, most of them keyed.
RATE = 110.0
KEYED_SHARE = 0.75
# Multiples of the normal load on days with overload, and their duration.
OVERLOADS = (1.5, 2.0, 3.0)
OVERLOAD_SECONDS = 10.0
# With this speed the core handles one and a half times the normal load, but not twice the normal load.
SPEED = ProcessorSpeed(message_seconds=0.003, record_seconds=0.0006)


class Outcome(NamedTuple):
    """Broken rules, and the served share of each kind of request before the final fault and at the end."""

    broken: dict[str, list[str]]
    before: dict[str, float]
    at_the_end: dict[str, float]


class Load(NamedTuple):
    """A seed, and the multiple of the normal load."""

    seed: int
    factor: float


def keyed_site(seed: int, *, rate: float = RATE) -> Site:
    """A small site with many servers for keyed requests, and a core that can handle their load."""
    site = draw_site(seed, small=True)
    services = [spec.name for spec, count in zip(site.services, SIDECARS, strict=True) for _ in range(count)]
    sidecars = tuple(
        SidecarMachine(
            f"side-{number:02d}", f"10.{number % 2 + 1}.1.{10 + number}", site.zones[number % 2], service, 1.0
        )
        for number, service in enumerate(services)
    )
    others = (1 - KEYED_SHARE) / 2
    weights = {"r-view": others, "r-post": KEYED_SHARE, "r-send": others / 2, "r-load": others / 2}
    kinds = tuple(kind._replace(weight=weights[kind.route], deadline=4.0) for kind in site.request_kinds)
    return site._replace(
        sidecars=sidecars,
        services=tuple(ServiceSpec(spec.name, SLOTS, spec.queue) for spec in site.services),
        request_kinds=kinds,
        rate=rate,
        core_speed=SPEED,
    )


class Ending(NamedTuple):
    """A seed, and how all machines fail at the end of its day."""

    seed: int
    how: str


def ending_day(ending: Ending) -> Day:
    """All machines fail at the end, as on the platform's days, and traffic continues."""
    final_fault = FinalFault(4.0, ending.how, 0.5)
    return Day(ending.seed, keyed_site(ending.seed), (Change(1.0, "split", ending.seed), final_fault), 4.0)


def shares_served(day: Day, history: History, *, since: float, until: float) -> dict[str, float]:
    """By kind, the served share of the requests that were first sent in this interval."""
    results = {result.attempt: result for result in history.of(RequestResult)}
    kinds = {route.name: route.kind for route in day.site.routes}
    # By kind: whether each request, known by its path, was served by any of its attempts.
    served: dict[str, dict[str, bool]] = {}
    first_sent: dict[str, float] = {}
    for request in history.of(RequestSent):
        if request.parent or request.route not in kinds:
            continue
        if not since <= first_sent.setdefault(request.path, request.at) < until:
            continue
        result = results.get(request.attempt)
        by_path = served.setdefault(kinds[request.route], {})
        by_path[request.path] = by_path.get(request.path, False) or (result is not None and result.status == 200)
    return {kind: sum(by_path.values()) / len(by_path) for kind, by_path in served.items()}


def outcome(ending: Ending) -> Outcome:
    day = ending_day(ending)
    history = play(day).history
    broken = {rule: found for rule, found in check(history, day).items() if found}
    fault = next(iter(history.of(FinalFaultEnded)))
    began = fault.at - day.seconds
    recovered = fault.recovered_at + BOUNDS["recovery_s"]
    longest = max(kind.deadline for kind in day.site.request_kinds)
    return Outcome(
        broken,
        shares_served(day, history, since=began, until=fault.at - longest / 2),
        shares_served(day, history, since=recovered, until=recovered + longest),
    )


def share_served_under(load: Load) -> float:
    """The served share of keyed requests in the second half of a day without faults, under a constant load."""
    day = Day(load.seed, keyed_site(load.seed, rate=RATE * load.factor), (), OVERLOAD_SECONDS)
    history = play(day).history
    began = min(request.at for request in history.of(RequestSent))
    half = began + OVERLOAD_SECONDS / 2
    return shares_served(day, history, since=half, until=began + OVERLOAD_SECONDS)[ONCE_PER_KEY]


class SlowCore(TestCase):
    """Guards against rejecting keyed requests long after a fault because the core is busy with rejected ones."""

    def test_overload_of_the_core_does_not_reduce_its_throughput(self) -> None:
        print("seeds", SEEDS)
        loads = [Load(seed, factor) for seed in SEEDS for factor in OVERLOADS]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            shares = dict(zip(loads, pool.map(share_served_under, loads), strict=True))
        for load, share in shares.items():
            print(load, share)
            # At the normal load all are served, so this is the throughput relative to the normal load.
            self.assertThat(share * load.factor, GreaterThan(1 - SERVED_LESS), str(load))

    def check_endings(self, how: str) -> None:
        print("seeds", SEEDS)
        endings = [Ending(seed, how) for seed in SEEDS]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            outcomes = dict(zip(endings, pool.map(outcome, endings), strict=True))
        for ending, found in outcomes.items():
            print(ending, found)
            self.assertThat(found.broken, Equals({}), str(ending))
            for served in (found.before, found.at_the_end):
                self.assertThat(served[REPEATABLE] - served[ONCE_PER_KEY], LessThan(SERVED_LESS), f"{ending} {served}")
                self.assertThat(1 - served[ONCE_PER_KEY], LessThan(SERVED_LESS), f"{ending} {served}")

    def test_keyed_requests_are_served_again_within_the_recovery_time_after_a_restart_of_all(self) -> None:
        self.check_endings("kill")

    def test_keyed_requests_are_served_again_after_a_lost_disk_and_a_loss_of_all_other_power(self) -> None:
        self.check_endings("wipe and all power")
