"""A core machine partitioned, frozen or with a hanging disk for twenty seconds: no copy goes back or counts as fresher.

Full days of the emulator with the programs' own classes, and a witness that knows what was committed when.
"""

import asyncio
import os
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.health_reports import HealthReports
from hoistsaddle.registry.local_registry import ControllerRegistry
from hoistsaddle.registry.node_monitor import NodeMonitor
from hoistsaddle.rpc.messages import HealthCall, PollCall
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.testbed.emulator.day import BOUNDS, LEADER, Change, Day, DiskFault, Freeze, Kill, Partition, draw_site

sys.path.insert(0, str(Path(__file__).parent))
from emulator_witness import WitnessReport, watch  # noqa: E402

# Longer than anybody's patience: the users' letter names twenty seconds and more.
LONG = 22.0
BEGINS = 3.0
CORE = ("core-0", "core-1", "core-2")
SIDES = ("side-00", "side-01")
HOWS = ("add", "split", "times", "move", "add", "drop", "split", "times", "add", "split")
CHANGES = tuple(
    Change(4.0 + 2 * place, how, 17 * place + 3, operators=2 if place % 3 == 0 else 1) for place, how in enumerate(HOWS)
)


def day(seed: int, *events: tuple, seconds: float = 30.0) -> Day:
    site = draw_site(seed, small=True)._replace(rate=5.0)
    return Day(seed, site, tuple(sorted(events, key=lambda each: each.at)), seconds)


def lost(name: str, at: float) -> Kill:
    return Kill(at, (name,), 1000.0, power=True, wipe=True)


DAYS = {
    "leader silent": day(3, Partition(BEGINS, (LEADER,), CORE, LONG), *CHANGES),
    "leader one way": day(4, Partition(BEGINS, (LEADER,), CORE, LONG, one_way=True), *CHANGES),
    "leader with sidecars": day(5, Partition(BEGINS, (LEADER, *SIDES), CORE, LONG), *CHANGES),
    "leader frozen": day(6, Freeze(BEGINS, (LEADER,), LONG), *CHANGES),
    "leader's disk": day(7, DiskFault(BEGINS, LEADER, LONG, "stalled"), *CHANGES),
    "follower one way": day(9, Partition(BEGINS, ("core-2",), CORE, LONG, one_way=True), *CHANGES),
}
# Nobody leads from the second loss on.
NO_MAJORITY = day(8, lost("core-0", 3.0), lost("core-1", 4.0), seconds=26.0)
COUNT_FROM = 14.0


def seen(name: str) -> WitnessReport:
    return watch(DAYS[name])


def seen_with_old_for_new() -> WitnessReport:
    with mock.patch.object(ControllerRegistry, "_confirmed_current_at", lambda registry: registry.runtime.now()):
        # Those sidecars have no other parent.
        return seen("leader with sidecars")


class CutOff(TestCase):
    def test_days_with_a_core_machine_out_of_reach(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(DAYS, pool.map(seen, DAYS), strict=True))
        for name, each in found.items():
            print(name, "seed", DAYS[name].seed)
            self.assertThat((each.broken, each.overstated, each.back), Equals(({}, [], [])), name)
            # Its children move on: only those that are cut off themselves have no fresh updates for long.
            cut = SIDES if "sidecars" in name else ()
            for sidecar, longest in each.longest.items():
                if sidecar not in cut:
                    self.assertThat(longest, LessThan(BOUNDS["contact_s"]), f"{name}: {sidecar}")
            # A frozen machine answers nothing at all; every other one answers a change before its sender moves on.
            if "frozen" not in name:
                self.assertThat(
                    [answer for answer in each.control_answers if answer[3] >= 1.0 or not answer[2]], Equals([]), name
                )
            self.assertThat({status for _, _, status, _ in each.control_answers} - {200, 503, 0}, Equals(set()), name)
            self.assertThat(sum(answer[2] == 200 for answer in each.control_answers), GreaterThan(len(CHANGES)), name)

    def test_the_witness_sees_a_core_machine_that_takes_old_for_new(self) -> None:
        with ProcessPoolExecutor(1) as pool:
            self.assertThat(pool.submit(seen_with_old_for_new).result().overstated, GreaterThan([]))

    def test_without_a_majority_little_is_sent(self) -> None:
        # In a process of its own, as every day here: what its incarnations leave behind goes with it.
        with ProcessPoolExecutor(1) as pool:
            report = pool.submit(watch, NO_MAJORITY, count_from=COUNT_FROM).result()
        print("seed", NO_MAJORITY.seed, dict(report.calls), dict(report.octets))
        machines = len(NO_MAJORITY.site.sidecars) + 1
        span = NO_MAJORITY.seconds + 5.0 - COUNT_FROM + 5.0
        # The lost don't come back; all traffic between machines but forwarded requests.
        control = {kind: count for kind, count in report.calls.items() if kind != "ForwardCall"}
        self.assertThat(sum(control.values()) / machines / span, LessThan(12.0), str(control))
        self.assertThat(control["WriteCall"] / machines / span, LessThan(4.0), str(control))
        octets = sum(size for kind, size in report.octets.items() if kind != "ForwardCall")
        self.assertThat(octets / machines / span, LessThan(3000), str(dict(report.octets)))


class Parents(TestCase):
    """Updates of one log through any parent, in any order of arrival: a copy only goes forward."""

    def relay(self, name: str) -> Relay:
        return Relay(node=name, incarnation="life", lease_span=timedelta(seconds=1.5))

    def walk(self, seed: int) -> list[str]:
        draw = random.Random(seed)
        parents = [self.relay(f"parent-{place}") for place in range(4)]
        child = self.relay("child")
        revisions: list[tuple[int, int]] = [(1, 1)]
        found, late = [], []
        timestamp = 100.0
        for _ in range(200):
            timestamp += draw.uniform(0.0, 0.3)
            now = timedelta(seconds=timestamp)
            if draw.random() < 0.3:
                epoch, revision = revisions[-1]
                revisions.append((epoch + (draw.random() < 0.3), revision + draw.choice((0, 1, 3))))
            # Each parent learns of it at its own time; some learn nothing for long.
            parent = parents[min(draw.randrange(8), 3)]
            epoch, revision = revisions[-1]
            items = {f"item:{place}": (place, b"x") for place in range(revision)}
            if parent.copy.revision <= revision:
                parent.accept_read(
                    asked=now, mesh="m", revision=revision, items=items, expected_digests=digests_of(items), epoch=epoch
                )
            asked = draw.choice(parents)
            if asked.fresh(now=now):
                call = PollCall("child", "life", child.copy.mesh, child.copy.revision, child.copy.audit(), ())
                late.append((asked.answer(call, now=now), now))
            draw.shuffle(late)
            while late and draw.random() < 0.6:
                answer, sent = late.pop()
                before = (child.copy.revision, child.epoch, child.lease_start)
                child.accept_answer(answer, sent=sent)
                if child.copy.revision < before[0] or child.epoch < before[1]:
                    found.append(f"back from {before}")
                if child.is_older(revision=answer.revision, epoch=answer.epoch) and child.lease_start != before[2]:
                    found.append("an older word renewed the lease")
                known = len(child.copy.items)
                if child.copy.revision >= 0 and known != child.copy.revision:
                    found.append(f"{known} items at revision {child.copy.revision}")
        return found

    def test_no_order_of_arrival_takes_a_copy_back(self) -> None:
        for seed in range(40):
            self.assertThat(self.walk(seed), Equals([]), f"seed {seed}")

    def test_without_the_look_at_what_is_held_it_would(self) -> None:
        with mock.patch.object(Relay, "is_older", lambda relay, **needs: False):
            self.assertThat([found for seed in range(40) for found in self.walk(seed)], GreaterThan([]))


class StaleRegistry(TestCase):
    def test_a_registry_without_fresh_news_notes_nothing_and_says_so(self) -> None:
        """Its copy still shows the server as reported; the log may have recorded it as gone since."""
        relay = Relay(node="bourse-1", incarnation="life", lease_span=timedelta(seconds=1.5))
        relay.accept_read(asked=timedelta(seconds=1), mesh="m", revision=1, items={})
        node = SimpleNamespace(address="10.0.0.1:1", zone="z", incarnation="life", state="alive")
        noted: list[str] = []
        view: Any = SimpleNamespace(nodes={"side": node}, servers={})
        reports = HealthReports(
            node="bourse-1",
            view=lambda: view,
            relay=relay,
            node_monitor=NodeMonitor(node="bourse-1", health_span=timedelta(seconds=1)),
            writer=cast(Any, None),
            peers=cast(Any, None),
            runtime=cast(Any, SimpleNamespace(now=lambda: timedelta(seconds=21))),
            counters=cast(Any, SimpleNamespace(add=noted.append)),
        )
        call = HealthCall("side", "life", "10.0.0.1:1", "z", "", "", "", "", 7, 1, 4)
        report = asyncio.run(reports.record(call))
        self.assertThat(report.error, Equals(str(ErrorKind.NO_LEADER)))
        self.assertThat(noted, Equals(["vitals.not_fresh"]))
