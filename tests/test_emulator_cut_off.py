"""A core machine is partitioned, frozen or has a stalled disk for twenty seconds.

Guards against configuration copies that revert to an older revision or are reported as more recent than they are. Plays
whole days of the emulator, with a witness that records when each revision was committed.
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

# Longer than every timeout in the system; the requirement is twenty seconds and more.
FAULT_SECONDS = 22.0
FAULT_START = 3.0
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
    "leader silent": day(3, Partition(FAULT_START, (LEADER,), CORE, FAULT_SECONDS), *CHANGES),
    "leader one way": day(4, Partition(FAULT_START, (LEADER,), CORE, FAULT_SECONDS, one_way=True), *CHANGES),
    "leader with sidecars": day(5, Partition(FAULT_START, (LEADER, *SIDES), CORE, FAULT_SECONDS), *CHANGES),
    "leader frozen": day(6, Freeze(FAULT_START, (LEADER,), FAULT_SECONDS), *CHANGES),
    "leader's disk": day(7, DiskFault(FAULT_START, LEADER, FAULT_SECONDS, "stalled"), *CHANGES),
    "follower one way": day(9, Partition(FAULT_START, ("core-2",), CORE, FAULT_SECONDS, one_way=True), *CHANGES),
}
# There is no leader from the second loss on.
NO_MAJORITY = day(8, lost("core-0", 3.0), lost("core-1", 4.0), seconds=26.0)
COUNT_FROM = 14.0


def watch_day(name: str) -> WitnessReport:
    return watch(DAYS[name])


def watch_day_with_unconfirmed_state() -> WitnessReport:
    with mock.patch.object(ControllerRegistry, "_confirmed_current_at", lambda registry: registry.runtime.now()):
        # On this day the partitioned sidecars have no other parent than the partitioned leader.
        return watch_day("leader with sidecars")


class CutOff(TestCase):
    def test_days_with_a_core_machine_out_of_reach(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(DAYS, pool.map(watch_day, DAYS), strict=True))
        for name, each in found.items():
            print(name, "seed", DAYS[name].seed)
            self.assertThat((each.broken, each.overstated, each.back), Equals(({}, [], [])), name)
            # Its children switch to other parents: only partitioned sidecars lack fresh updates for long.
            cut = SIDES if "sidecars" in name else ()
            for sidecar, longest in each.longest.items():
                if sidecar not in cut:
                    self.assertThat(longest, LessThan(BOUNDS["contact_s"]), f"{name}: {sidecar}")
            # A frozen machine doesn't answer; every other one answers a change before its sender times out.
            if "frozen" not in name:
                self.assertThat(
                    [answer for answer in each.control_answers if answer[3] >= 1.0 or not answer[2]], Equals([]), name
                )
            self.assertThat({status for _, _, status, _ in each.control_answers} - {200, 503, 0}, Equals(set()), name)
            self.assertThat(sum(answer[2] == 200 for answer in each.control_answers), GreaterThan(len(CHANGES)), name)

    def test_the_witness_detects_unconfirmed_state_reported_as_current(self) -> None:
        with ProcessPoolExecutor(1) as pool:
            self.assertThat(pool.submit(watch_day_with_unconfirmed_state).result().overstated, GreaterThan([]))

    def test_without_a_majority_little_is_sent(self) -> None:
        # In a separate process, like every day here, so that leftovers of killed processes end with it.
        with ProcessPoolExecutor(1) as pool:
            report = pool.submit(watch, NO_MAJORITY, count_from=COUNT_FROM).result()
        print("seed", NO_MAJORITY.seed, dict(report.calls), dict(report.octets))
        machines = len(NO_MAJORITY.site.sidecars) + 1
        span = NO_MAJORITY.seconds + 5.0 - COUNT_FROM + 5.0
        # The lost machines don't return. Counts all traffic between machines except forwarded requests.
        control = {kind: count for kind, count in report.calls.items() if kind != "ForwardCall"}
        self.assertThat(sum(control.values()) / machines / span, LessThan(12.0), str(control))
        self.assertThat(control["WriteCall"] / machines / span, LessThan(4.0), str(control))
        octets = sum(size for kind, size in report.octets.items() if kind != "ForwardCall")
        self.assertThat(octets / machines / span, LessThan(3000), str(dict(report.octets)))


class Parents(TestCase):
    """A copy never reverts, whichever parents its updates come from and in whatever order they arrive."""

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
            # Parents learn of it at different times; some get no updates for long.
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
                    found.append(f"reverted from {before}")
                if child.is_older(revision=answer.revision, epoch=answer.epoch) and child.lease_start != before[2]:
                    found.append("an older answer renewed the lease")
                known = len(child.copy.items)
                if child.copy.revision >= 0 and known != child.copy.revision:
                    found.append(f"{known} items at revision {child.copy.revision}")
        return found

    def test_no_order_of_arrival_reverts_a_copy(self) -> None:
        for seed in range(40):
            self.assertThat(self.walk(seed), Equals([]), f"seed {seed}")

    def test_without_the_check_for_older_answers_copies_revert(self) -> None:
        with mock.patch.object(Relay, "is_older", lambda relay, **needs: False):
            self.assertThat([found for seed in range(40) for found in self.walk(seed)], GreaterThan([]))


class StaleRegistry(TestCase):
    def test_a_stale_registry_records_nothing_and_returns_an_error(self) -> None:
        """Its stale copy still shows the server as reported, while the log may already have recorded it as gone."""
        relay = Relay(node="bourse-1", incarnation="life", lease_span=timedelta(seconds=1.5))
        relay.accept_read(asked=timedelta(seconds=1), mesh="m", revision=1, items={})
        node = SimpleNamespace(address="10.0.0.1:1", zone="z", incarnation="life", state="alive")
        counted: list[str] = []
        view: Any = SimpleNamespace(nodes={"side": node}, servers={})
        reports = HealthReports(
            node="bourse-1",
            view=lambda: view,
            relay=relay,
            node_monitor=NodeMonitor(node="bourse-1", health_span=timedelta(seconds=1)),
            writer=cast(Any, None),
            peers=cast(Any, None),
            runtime=cast(Any, SimpleNamespace(now=lambda: timedelta(seconds=21))),
            counters=cast(Any, SimpleNamespace(add=counted.append)),
        )
        call = HealthCall("side", "life", "10.0.0.1:1", "z", "", "", "", "", 7, 1, 4)
        report = asyncio.run(reports.record(call))
        self.assertThat(report.error, Equals(str(ErrorKind.NO_LEADER)))
        self.assertThat(counted, Equals(["vitals.not_fresh"]))
