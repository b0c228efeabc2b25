"""Automatic founding: when a controller founds, with which voters, and when it abandons a recorded founding.

Guards against two meshes founded from one set of controllers, and against a set of controllers that never founds one.
"""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, Is

from hoistsaddle.common.tolerated_losses import ToleratedLosses
from hoistsaddle.registry.bootstrap import (
    FAST_INSPECT_DURATION,
    INSPECT_INTERVAL,
    MAX_WAIT_FOR_MAJORITY,
    MAX_WAIT_FOR_SEEDS,
    TURN_INTERVAL,
    Bootstrap,
    BootstrapCommand,
    FoundReplicas,
    InspectReplicas,
    LeaveFounding,
    OwnReplica,
    may_leave_out,
)
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

SEEDS = (11, 12, 13)
STEP = timedelta(milliseconds=50)


def blank(replica: int, *, first_start: bool = True, seeds: tuple[int, ...] = SEEDS) -> FoundingStatusAnswer:
    return FoundingStatusAnswer("", replica, f"disk-{replica}", seeds, first_start)


def founded(replica: int, *, mesh: str = "other") -> FoundingStatusAnswer:
    return blank(replica)._replace(mesh=mesh)


def blanks(*replicas: int, first_start: bool = True, seeds: tuple[int, ...] = SEEDS) -> dict:
    return {replica: blank(replica, first_start=first_start, seeds=seeds) for replica in replicas}


class Bench:
    """Drives a bootstrap, by repeated calls, against modelled replicas."""

    def __init__(
        self,
        *,
        replica: int = 11,
        first_seeds: tuple[int, ...] = SEEDS,
        seeds: tuple[int, ...] = SEEDS,
        losses: int = 1,
        tolerated: ToleratedLosses | None = None,
        regions: dict[str, str] | None = None,
        disks: dict[int, FoundingStatusAnswer] | None = None,
    ) -> None:
        self.timestamp = timedelta(seconds=5)
        self.bootstrap = Bootstrap(
            replica=replica,
            first_seeds=first_seeds,
            seeds=seeds,
            tolerated=tolerated or ToleratedLosses(machines=losses),
            regions=regions,
            now=self.timestamp,
        )
        self.disks = blanks(*SEEDS) if disks is None else disks
        self.own = OwnReplica()
        self.commands: list[BootstrapCommand] = []
        # Each replica's answer to a founding; unresponsive ones are missing.
        self.answers = {replica: BootstrapAnswer("", "mesh", f"disk-{replica}") for replica in self.disks}

    def advance(self, *, seconds: float) -> "Bench":
        until = self.timestamp + timedelta(seconds=seconds)
        while self.timestamp < until:
            self.timestamp += STEP
            for command in self.bootstrap.handle(self.own, now=self.timestamp):
                self.commands.append(command)
                self._execute(command)
        return self

    def _execute(self, command: BootstrapCommand) -> None:
        match command:
            case InspectReplicas(replicas=replicas):
                for replica in replicas:
                    if replica in self.disks:
                        self.bootstrap.inspected(self.disks[replica], now=self.timestamp)
            case FoundReplicas(replicas=replicas, call=call):
                for replica in replicas:
                    if replica in self.answers:
                        self.bootstrap.acknowledged(replica, call, self.answers[replica])
                if self.bootstrap.replica in call.voters and not self.own.mesh:
                    self.own = OwnReplica(call.mesh, call)

    def foundings(self) -> list[FoundReplicas]:
        return [command for command in self.commands if isinstance(command, FoundReplicas)]

    def voters(self) -> dict[int, str] | None:
        foundings = self.foundings()
        return foundings[0].call.voters if foundings else None

    def abandoned(self) -> list[LeaveFounding]:
        return [command for command in self.commands if isinstance(command, LeaveFounding)]


ALL_VOTERS = {seed: f"disk-{seed}" for seed in SEEDS}


class AtTheFirstStart(TestCase):
    def test_the_first_seed_founds_with_all_once_all_are_blank(self) -> None:
        bench = Bench().advance(seconds=0.2)
        self.assertThat(bench.voters(), Equals(ALL_VOTERS))
        self.assertThat(bench.foundings()[0].call.level, Equals(LEVEL))

    def test_each_other_seed_founds_the_same_mesh_in_its_turn(self) -> None:
        call = Bench().advance(seconds=0.2).foundings()[0].call
        for place, replica in enumerate((11, 12, 13, 99)):
            bench = Bench(replica=replica)
            turn = (TURN_INTERVAL * place).total_seconds()
            if place:
                bench.advance(seconds=turn - 0.1)
                self.assertThat(bench.foundings(), Equals([]), str(replica))
            bench.advance(seconds=0.6)
            self.assertThat(bench.foundings()[0].call, Equals(call), str(replica))

    def test_one_inspection_round_is_not_enough(self) -> None:
        bench = Bench()
        bench.bootstrap.handle(OwnReplica(), now=bench.timestamp)
        for seed in SEEDS:
            bench.bootstrap.inspected(blank(seed), now=bench.timestamp)
        commands = bench.bootstrap.handle(OwnReplica(), now=bench.timestamp)
        self.assertThat(commands, Equals([InspectReplicas(SEEDS)]))
        # In the confirming round one disk has another incarnation.
        for seed in SEEDS:
            changed = blank(seed)._replace(incarnation="new") if seed == 13 else blank(seed)
            bench.bootstrap.inspected(changed, now=bench.timestamp)
        commands = bench.bootstrap.handle(OwnReplica(), now=bench.timestamp)
        self.assertThat(commands, Equals([InspectReplicas(SEEDS)]))

    def test_nothing_is_founded_beside_a_mesh(self) -> None:
        for replica in (*SEEDS, 99):
            for where in SEEDS:
                bench = Bench(replica=replica, disks={**blanks(*SEEDS), where: founded(where)}).advance(seconds=20)
                self.assertThat(bench.foundings(), Equals([]), f"{replica} {where}")
                # The other mesh may be a founding that is abandoned later.
                self.assertThat(bench.bootstrap.active, Is(True))

    def test_a_mesh_with_a_committed_record_ends_the_bootstrap(self) -> None:
        bench = Bench()
        self.assertThat(bench.bootstrap.handle(OwnReplica("mesh"), now=bench.timestamp), Equals([]))
        self.assertThat(bench.bootstrap.active, Is(False))

    def test_the_number_of_voters_follows_from_the_losses_and_the_seeds(self) -> None:
        for losses, voters in ((0, {11}), (1, {11, 12, 13}), (2, {11, 12, 13})):
            bench = Bench(losses=losses).advance(seconds=2)
            self.assertThat(set(bench.voters() or ()), Equals(voters))
        bench = Bench(first_seeds=(11,), seeds=(11,), disks=blanks(11, seeds=(11,))).advance(seconds=2)
        self.assertThat(set(bench.voters() or ()), Equals({11}))

    def test_a_seed_that_is_down_is_waited_for_and_then_left_out(self) -> None:
        bench = Bench(disks=blanks(11, 13))
        bench.advance(seconds=MAX_WAIT_FOR_SEEDS.total_seconds() - 0.1)
        self.assertThat(bench.foundings(), Equals([]))
        bench.advance(seconds=1)
        self.assertThat(bench.voters(), Equals({11: "disk-11", 13: "disk-13"}))

    def test_a_replaced_disk_is_no_witness_for_an_unresponsive_seed(self) -> None:
        # The unresponsive seed may have founded a mesh with the replaced disk.
        disks = {11: blank(11), 13: blank(13, first_start=False)}
        self.assertThat(Bench(disks=disks).advance(seconds=30).foundings(), Equals([]))
        # Once all answer, none of them belongs to a mesh.
        bench = Bench(disks={**disks, 12: blank(12)}).advance(seconds=1)
        self.assertThat(bench.voters(), Equals(ALL_VOTERS))

    def test_seeds_are_left_out_only_where_each_majority_of_voters_has_a_witness(self) -> None:
        allowed = {
            (seeds, witnesses, losses)
            for seeds in (1, 2, 3)
            for witnesses in range(1, seeds + 1)
            for losses in (0, 1, 2)
            if may_leave_out(seeds=seeds, witnesses=witnesses, losses=losses)
        }
        complete = {(seeds, seeds, losses) for seeds in (1, 2, 3) for losses in (0, 1, 2)}
        self.assertThat(allowed, Equals({*complete, (3, 2, 1), (3, 2, 2)}))

    def test_nothing_is_founded_before_its_own_disk_is_known(self) -> None:
        self.assertThat(Bench(disks=blanks(12)).advance(seconds=20).foundings(), Equals([]))

    def test_inspections_are_limited_in_rate(self) -> None:
        bench = Bench(disks={}).advance(seconds=3)
        self.assertThat(len(bench.commands) <= timedelta(seconds=3) / INSPECT_INTERVAL + 1, Equals(True))
        bench.advance(seconds=FAST_INSPECT_DURATION.total_seconds())
        before = len(bench.commands)
        bench.advance(seconds=10)
        self.assertThat(len(bench.commands) - before <= 10, Equals(True))


class WithoutARecordOfTheFirstStart(TestCase):
    """Processes killed before they had recorded the first start, and disks that were replaced later."""

    def test_a_blank_disk_alone_never_founds(self) -> None:
        # A seed that lost its disk and reaches no other controller, or only one.
        for disks in (blanks(11, first_start=False), blanks(11, 12, first_start=False)):
            bench = Bench(first_seeds=(), disks=disks).advance(seconds=30)
            self.assertThat(bench.foundings(), Equals([]))

    def test_it_leaves_the_founding_to_a_controller_with_the_record(self) -> None:
        disks = {**blanks(11, 12, first_start=False), 13: blank(13)}
        self.assertThat(Bench(first_seeds=(), disks=disks).advance(seconds=30).foundings(), Equals([]))

    def test_all_found_if_they_know_the_same_ones_and_stay_blank_for_long_enough(self) -> None:
        bench = Bench(first_seeds=(), disks=blanks(*SEEDS, first_start=False))
        bench.advance(seconds=MAX_WAIT_FOR_SEEDS.total_seconds() - 0.1)
        self.assertThat(bench.foundings(), Equals([]))
        bench.advance(seconds=1)
        self.assertThat(bench.voters(), Equals(ALL_VOTERS))

    def test_seeds_in_other_controllers_settings_are_inspected_too(self) -> None:
        everyone = (*SEEDS, 14)
        disks = blanks(*everyone, first_start=False, seeds=everyone)
        bench = Bench(first_seeds=(), disks=disks).advance(seconds=5)
        self.assertThat(bench.bootstrap.known, Equals(everyone))
        self.assertThat(bench.voters(), Equals(ALL_VOTERS))
        # One of them knows a controller that the others don't know.
        disks[13] = blank(13, first_start=False, seeds=(13, 15))
        self.assertThat(Bench(first_seeds=(), disks=disks).advance(seconds=30).foundings(), Equals([]))

    def test_not_where_all_of_their_disks_may_have_been_lost_at_once(self) -> None:
        for losses, expected in ((3, None), (2, ALL_VOTERS)):
            bench = Bench(first_seeds=(), losses=losses, disks=blanks(*SEEDS, first_start=False)).advance(seconds=30)
            self.assertThat(bench.voters(), Equals(expected))


class LossesOfZones(TestCase):
    """Guards against a founding that a tolerated loss of a zone or region takes away (review/7)."""

    def test_a_tolerance_of_a_zone_or_a_region_founds_with_three_voters(self) -> None:
        for tolerated in (ToleratedLosses(machines=0, zones=1), ToleratedLosses(machines=0, regions=1)):
            bench = Bench(tolerated=tolerated).advance(seconds=2)
            self.assertThat(bench.voters(), Equals(ALL_VOTERS), str(tolerated))

    def test_without_a_record_nothing_is_founded_if_one_zone_or_region_has_all_that_are_known(self) -> None:
        regions = {"a": "r", "b": "r", "c": "s"}
        for tolerated, zones, expected in (
            (ToleratedLosses(machines=0, zones=1), "aaa", None),
            (ToleratedLosses(machines=0, zones=1), "aab", ALL_VOTERS),
            (ToleratedLosses(machines=1, zones=1), "aab", None),
            (ToleratedLosses(machines=0, zones=1), ("", "", ""), None),
            (ToleratedLosses(machines=0, regions=1), "abb", None),
            (ToleratedLosses(machines=0, regions=1), "abc", ALL_VOTERS),
        ):
            disks = blanks(*SEEDS, first_start=False)
            disks = {
                replica: disk._replace(zone=zone) for (replica, disk), zone in zip(disks.items(), zones, strict=True)
            }
            bench = Bench(first_seeds=(), tolerated=tolerated, disks=disks, regions=regions).advance(seconds=30)
            self.assertThat(bench.voters(), Equals(expected), f"{tolerated} {zones}")


class HeldFoundings(TestCase):
    """The local disk has recorded a founding under which nothing is committed yet."""

    call = BootstrapCall("mesh", ALL_VOTERS, {}, LEVEL)

    def bench(self, *, has_records: bool = False) -> Bench:
        bench = Bench(first_seeds=(), seeds=(12, 13, 14))
        bench.own = OwnReplica("mesh", self.call, has_records)
        return bench

    def test_the_same_founding_is_sent_again(self) -> None:
        # Even if the seeds have changed: otherwise the other voters would stay blank and never vote.
        bench = self.bench().advance(seconds=3)
        self.assertThat(len(bench.foundings()) > 1, Equals(True))
        for founding in bench.foundings():
            self.assertThat(founding, Equals(FoundReplicas(SEEDS, self.call)))

    def test_it_is_kept_while_a_majority_acknowledges_it(self) -> None:
        bench = self.bench()
        del bench.answers[13]
        self.assertThat(bench.advance(seconds=30).abandoned(), Equals([]))

    def test_it_is_abandoned_once_no_majority_acknowledges_it(self) -> None:
        bench = self.bench()
        del bench.answers[13]
        bench.answers[12] = BootstrapAnswer("ALREADY_FOUNDED", "other", "disk-12")
        bench.advance(seconds=MAX_WAIT_FOR_MAJORITY.total_seconds())
        self.assertThat(bench.abandoned(), Equals([]))
        bench.advance(seconds=2)
        self.assertThat(bench.abandoned()[0], Equals(LeaveFounding(False)))

    def test_with_records_it_is_abandoned_only_if_the_others_acknowledged_none(self) -> None:
        for others, expected in (
            ({12: ("other", "disk-12"), 13: ("other", "disk-13")}, [LeaveFounding(True)]),
            # The disk was replaced: the one that the founding names may have acknowledged the records.
            ({12: ("other", "disk-12"), 13: ("other", "new")}, []),
            ({12: ("other", "disk-12"), 13: ("", "new")}, []),
            ({}, []),
        ):
            bench = self.bench(has_records=True)
            bench.answers = {
                replica: BootstrapAnswer("refused", mesh, incarnation)
                for replica, (mesh, incarnation) in others.items()
            }
            bench.answers[11] = BootstrapAnswer("", "mesh", "disk-11")
            bench.advance(seconds=5)
            self.assertThat(bench.abandoned()[:1], Equals(expected), str(others))

    def test_its_founder_sends_it_again_at_once(self) -> None:
        bench = Bench()
        del bench.answers[12]
        bench.advance(seconds=0.9)
        self.assertThat(len(bench.foundings()) > 1, Equals(True))
        self.assertThat(len({each.call.mesh for each in bench.foundings()}), Equals(1))
