"""The model check of foundings: no violation in spaces and walks, and each injected fault is detected."""

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.registry import bootstrap
from hoistsaddle.registry.bootstrap import Bootstrap, OwnReplica
from hoistsaddle.testbed.modelcheck.foundings import (
    FOUNDING_SPACES,
    WALK_SPACES,
    FoundingExploration,
    FoundingModel,
    FoundingSpace,
    ModelledDisk,
    explore_foundings,
    walk_foundings,
)

WALKS, WALKS_PER_JOB = 6000, 500


class _LeavesWithRecords(FoundingModel):
    def own_replica(self, replica: int) -> OwnReplica:
        return super().own_replica(replica)._replace(has_records=False)

    def leave(self, disk: ModelledDisk, *, with_records: bool) -> None:
        super().leave(disk, with_records=True)


class _AcceptsAnyIncarnation(FoundingModel):
    def bootstrap_error(self, replica: int, call: Any) -> str:
        disk = self.machines[replica].disk
        disk.call = disk.call or call._replace(voters={**call.voters, replica: disk.incarnation})
        return ""


class _KeepsFirstSeedsAfterWipe(FoundingModel):
    def wipe(self, replica: int) -> None:
        seeds = self.machines[replica].disk.first_seeds
        super().wipe(replica)
        self.machines[replica].disk.first_seeds = seeds


class _ForgetsTheFirstStart(FoundingModel):
    """The fault of issue 44: only processes in memory know that it is the first start, and only one may found."""

    def start(self, replica: int) -> None:
        was_started = self.machines[replica].was_started
        super().start(replica)
        self.machines[replica].disk.first_seeds = ()
        process = self.machines[replica].bootstrap
        assert process is not None
        process.active = not was_started and replica == self.space.seeds[0]


class InjectedFault(NamedTuple):
    """A fault, and the start of the message with which the check must report it."""

    message: str
    make: Callable[[FoundingSpace], FoundingModel] = FoundingModel
    patch: Callable[[], Any] = lambda: mock.patch.object(bootstrap, "MESH_ID_DIGITS", bootstrap.MESH_ID_DIGITS)


TWO, NEVER = "two meshes hold", "never up"
INJECTED = {
    "the first start is forgotten": InjectedFault(NEVER, _ForgetsTheFirstStart),
    "a founding is left with records": InjectedFault(TWO, _LeavesWithRecords),
    "any incarnation takes a founding": InjectedFault(NEVER, _AcceptsAnyIncarnation),
    "a lost disk counts as one of the first start": InjectedFault(NEVER, _KeepsFirstSeedsAfterWipe),
    "any seed may be left out": InjectedFault(
        TWO, patch=lambda: mock.patch.object(bootstrap, "may_leave_out", lambda **_: True)
    ),
    "no founding is given up": InjectedFault(
        NEVER, patch=lambda: mock.patch.object(bootstrap, "MAX_WAIT_FOR_MAJORITY", bootstrap.MAX_WAIT_FOR_SEEDS * 1000)
    ),
    "nobody founds without a record": InjectedFault(
        NEVER, patch=lambda: mock.patch.object(Bootstrap, "_members_without_record", lambda self, now: ())
    ),
}


def walks_from(job: tuple[int, int]) -> FoundingExploration:
    space, first = job
    return walk_foundings(WALK_SPACES[space], seeds=range(first, first + WALKS_PER_JOB))


def found_by(name: str) -> str:
    fault = INJECTED[name]
    with fault.patch():
        for space in WALK_SPACES:
            if broken := walk_foundings(space, seeds=range(1, WALKS + 1), make=fault.make).broken:
                return broken
    return ""


class Foundings(TestCase):
    """Guards against sites that never come up, or come up as two meshes, after faults in the first start (issue 44)."""

    def test_every_order_of_starts_kills_and_lost_disks_holds(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            for explored in pool.map(explore_foundings, FOUNDING_SPACES):
                print(explored)
                self.assertThat(explored.broken, Equals(""), str(explored))

    def test_random_walks_message_by_message_hold(self) -> None:
        jobs = [(space, first) for space in range(len(WALK_SPACES)) for first in range(1, WALKS, WALKS_PER_JOB)]
        print("walks of seeds 1 to", WALKS, "in each of", [space.name for space in WALK_SPACES])
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            for walked in pool.map(walks_from, jobs):
                self.assertThat(walked.broken, Equals(""), str(walked))

    def test_every_injected_fault_is_found(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(INJECTED, pool.map(found_by, INJECTED), strict=True))
        for name, broken in found.items():
            self.assertThat(broken.startswith(INJECTED[name].message), Equals(True), f"{name}: {broken!r}")
