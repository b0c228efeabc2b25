"""The model check of raft finds no violation, detects each injected fault, and models the real disk faithfully."""

import tempfile
from collections import defaultdict
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is, MatchesAny

from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Capture, DropCheckpoints, StoreChunk, Write
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.testbed.modelcheck import faults
from hoistsaddle.testbed.modelcheck.check import SETTLE_TIMEOUT, format_durations
from hoistsaddle.testbed.modelcheck.cluster import MESH, Cluster
from hoistsaddle.testbed.modelcheck.exhaustive import explore
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.loss_sequences import (
    Loss,
    LossKind,
    LossSequence,
    draw_loss_sequences,
    run_loss_sequence,
)
from hoistsaddle.testbed.modelcheck.modeldisk import ModelDisk
from hoistsaddle.testbed.modelcheck.spaces import SPACES
from hoistsaddle.testbed.modelcheck.steps import Step, StepKind, Walk
from hoistsaddle.testbed.modelcheck.walks import Script, broken_by, minimize, play, walk_randomly

SEED = 630
WALKS = 60
LOSS_SEQUENCES = 10
# The number of walks within which an injected fault must be detected.
FAULT_WALKS = 150
FAULT_SIZES = (3,)

STALLING = (StepKind.RUN, StepKind.PROPOSE, StepKind.STALL_DISK)
CRASHES_AND_PARTITIONS = (
    StepKind.RUN,
    StepKind.PROPOSE,
    StepKind.BATCH,
    StepKind.CRASH,
    StepKind.START,
    StepKind.CUT_OFF,
    StepKind.HEAL,
)


# The three final checks of a walk; which of them a fault violates first depends on the walk.
FINAL_CHECKS = "a healed cluster serves|losses settle|every replica catches up"


class FaultCase(NamedTuple):
    """A fault, the rule (or one of several) that it must violate, and the kinds of steps or the space to run."""

    fault: type[InjectedFault]
    rule: str
    kinds: tuple[StepKind, ...] = tuple(StepKind)
    space: str = ""


INJECTED = (
    FaultCase(faults.CountsNewestSetOnly, "commits by majorities that meet"),
    FaultCase(faults.CountsNewestSetOnly, "commits by majorities that meet", space="open change of voters"),
    FaultCase(faults.VoteUnsynced, "a vote leaves only once it is synced"),
    FaultCase(faults.OmitsVoteFromWrites, "a vote leaves only once it is synced"),
    FaultCase(faults.FetchUnsynced, "a fetch claims only what is synced"),
    FaultCase(faults.ReportsSyncEarly, "a vote leaves only once it is synced"),
    FaultCase(faults.CountsWhileFetchingSnapshot, "a fetch claims only what is synced"),
    FaultCase(faults.AppendUnsynced, "commits by majorities that meet", STALLING),
    FaultCase(faults.AppendUnsynced, "commits by majorities that meet", space="order unsynced"),
    FaultCase(faults.CommitsOldEpoch, "only a record of the leader's epoch commits by counting"),
    FaultCase(faults.ReadUnconfirmed, "confirmed reads are linear", space="reads at two leaders"),
    FaultCase(faults.VotesWithoutLogCheck, "a leader holds all that is committed", CRASHES_AND_PARTITIONS),
    FaultCase(faults.VotesTwice, "one leader an epoch"),
    FaultCase(faults.VotesTwice, "one leader an epoch", space="two candidates"),
    FaultCase(faults.TruncatesCommitted, "committed records are never truncated"),
    FaultCase(faults.BlankDiskVotes, "commits by majorities that meet", space="a lost disk"),
    FaultCase(faults.AcknowledgesUncommitted, "acknowledged records are committed"),
    FaultCase(faults.MisnamesCheckpoints, "checkpoints hold committed state"),
    FaultCase(faults.UsesLogEndAsHighWatermark, "logs are equal up to the high-watermark"),
    FaultCase(faults.SkipsRecords, "logs are equal up to the high-watermark"),
    FaultCase(faults.DropsNewestCheckpoint, FINAL_CHECKS),
)


class Walks(TestCase):
    def test_every_rule_holds_on_walks_of_three_and_five(self) -> None:
        total, found = walk_randomly(seed=SEED, walks=WALKS)
        print(f"seed {SEED}: {total}")
        self.assertThat(found, Is(None), str(found and minimize(found)))
        figures = dict(total.figures)
        # Walks without these events would pass without any check.
        for what in ("elections", "records committed", "reads confirmed", "checkpoints", "voter changes committed"):
            self.assertThat(figures.get(what, 0), GreaterThan(WALKS // 10), what)
        self.assertThat(total.losses_settled, GreaterThan(WALKS // 4))

    def test_a_walk_done_again_goes_the_same_way(self) -> None:
        script = Script(
            3,
            7,
            (Step(StepKind.BATCH, 0, 3), Step(StepKind.WIPE, 1), Step(StepKind.RUN, 30), Step(StepKind.READ, 0, 1)),
        )
        first, again = play(script), play(script)
        for walk in (first, again):
            self.assertThat(walk.cluster.invariants.committed, Equals(first.cluster.invariants.committed))
        self.assertThat(again.cluster.events, Equals(first.cluster.events))

    def test_losses_beyond_the_tolerance_are_passed_over(self) -> None:
        walk = Walk(Cluster(size=3, seed=1))
        walk.take(Step(StepKind.RUN, 39))
        self.assertThat([walk.take(Step(StepKind.WIPE, place)) for place in (0, 1)], Equals([True, False]))
        # Once the first is a voter again, the second may be lost.
        walk.cluster.run(timedelta(seconds=60), until=walk.is_settled)
        self.assertThat(walk.take(Step(StepKind.WIPE, 1)), Equals(True))


class RegressionWalks(TestCase):
    """Minimized walks that once violated a rule; later changes of the code may change their course."""

    def test_a_successor_votes_before_it_has_the_record_that_makes_it_a_voter(self) -> None:
        """Guards against endless elections: both voter sets had to agree, and the missing vote was always refused."""
        self.hold(
            Script(
                5,
                496,
                (
                    Step(StepKind.CRASH, 34),
                    Step(StepKind.CUT_ONE_WAY, 0, 14),
                    Step(StepKind.ALL_LOSE_POWER),
                    Step(StepKind.RUN, 27),
                    Step(StepKind.READ),
                    Step(StepKind.DELIVER, 2),
                    Step(StepKind.DELIVER, 35),
                    Step(StepKind.PROPOSE),
                    Step(StepKind.DROP),
                    Step(StepKind.REPLACE, 21),
                    Step(StepKind.RUN, 24),
                    Step(StepKind.CRASH, 19),
                    Step(StepKind.TEAR, 3),
                    Step(StepKind.RUN, 15),
                    Step(StepKind.BATCH),
                ),
            )
        )

    def test_a_committed_change_of_voters_is_known_after_a_loss_of_power(self) -> None:
        """A change known only in memory was forgotten, and elections needed the previous set, whose disks were lost."""
        steps = (
            Step(StepKind.WIPE),
            Step(StepKind.RUN, 31),
            Step(StepKind.WIPE, 39),
            Step(StepKind.ALL_LOSE_POWER),
            Step(StepKind.FREEZE, 19),
            Step(StepKind.WIPE, 39),
        )
        self.hold(Script(5, 4014, steps))

    def test_a_log_that_parts_below_the_leaders_begin_catches_up(self) -> None:
        """The leader returned an offset at which the logs couldn't agree, and the follower repeated fetches forever."""
        losses = (Loss(LossKind.WIPED, 4, 7, 15), Loss(LossKind.CUT_OFF, 0, 25, 4))
        run_loss_sequence(LossSequence(3, 9999, SETTLE_TIMEOUT, losses))

    def hold(self, script: Script) -> None:
        self.assertThat(broken_by(script), Is(None), str(script))


class LossesInTurn(TestCase):
    def test_each_loss_settles_within_its_span(self) -> None:
        """Uses the shortest settling time of the platform; any machine may be lost next, also the leader."""
        settle_times, found = draw_loss_sequences(seed=SEED, runs=LOSS_SEQUENCES, settle=SETTLE_TIMEOUT)
        print(f"seed {SEED}, losses settled: {format_durations(settle_times)}")
        self.assertThat(found, Is(None), str(found))
        self.assertThat(len(settle_times), GreaterThan(LOSS_SEQUENCES))


class Faults(TestCase):
    def test_each_injected_fault_is_found_by_its_check(self) -> None:
        self.assertThat({injected.fault for injected in INJECTED}, Equals(set(faults.FAULTS)))
        for injected in INJECTED:
            found_rule = self.found(injected)
            print(f"{injected.fault.__name__}: {found_rule}")
            rules = injected.rule.split("|")
            self.assertThat(found_rule, MatchesAny(*(Contains(f"{rule}: ") for rule in rules)), injected.fault.__name__)

    def found(self, injected: FaultCase) -> str:
        if injected.space:
            space = next(space for space in SPACES if space.name == injected.space)
            return str(explore(space, fault=injected.fault))
        total, found = walk_randomly(
            seed=SEED, walks=FAULT_WALKS, sizes=FAULT_SIZES, kinds=injected.kinds, fault=injected.fault
        )
        return f"seed {SEED}, {total.walks} walks, {found.description if found else 'nothing found'}"

    def test_a_break_is_made_smaller_and_still_breaks(self) -> None:
        _, found = walk_randomly(
            seed=SEED, walks=FAULT_WALKS, sizes=FAULT_SIZES, kinds=STALLING, fault=faults.AppendUnsynced
        )
        minimized = minimize(found, fault=faults.AppendUnsynced, max_attempts=60)
        print(f"seed {SEED}: {minimized.script}")
        self.assertThat(len(found.script.steps), GreaterThan(len(minimized.script.steps)))
        self.assertThat(broken_by(minimized.script, fault=faults.AppendUnsynced()).rule, Equals(found.rule))
        self.assertThat(broken_by(minimized.script), Is(None))


class Spaces(TestCase):
    def test_small_spaces_hold_whole(self) -> None:
        for space in SPACES:
            explored = explore(space)
            print(explored)
            self.assertThat(explored.broken, Equals(""), str(explored))
            self.assertThat(explored.states, GreaterThan(100), space.name)


class Disks(TestCase):
    def jobs_of(self, script: Script) -> tuple[Walk, dict[str, list[tuple]]]:
        """A walk, and the jobs of its disks in order, by incarnation."""
        done: dict[str, list[tuple]] = defaultdict(list)
        write, do = ModelDisk._write, ModelDisk._do

        def recording_write(disk: ModelDisk, job: Write) -> None:
            done[disk.incarnation].append(job)
            write(disk, job)

        def recording_do(disk: ModelDisk, job: tuple) -> tuple | None:
            done[disk.incarnation].append(job)
            return do(disk, job)

        with mock.patch.object(ModelDisk, "_write", recording_write), mock.patch.object(ModelDisk, "_do", recording_do):
            return play(script), done

    def test_the_modelled_disk_boots_like_the_real_one(self) -> None:
        script = Script(
            3,
            SEED,
            (
                *(Step(StepKind.BATCH, 0, 3),) * 3,
                Step(StepKind.WIPE, 1),
                Step(StepKind.BATCH, 0, 3),
                Step(StepKind.CRASH, 0, 1),
                Step(StepKind.RUN, 39),
                *(Step(StepKind.BATCH, 0, 3),) * 2,
                Step(StepKind.START, 0),
                Step(StepKind.REPLACE, 2),
                Step(StepKind.RUN, 39),
                Step(StepKind.ALL_LOSE_POWER, 0, 2),
            ),
        )
        walk, done = self.jobs_of(script)
        for machine in walk.cluster.machines.values():
            with self.subTest(replica=machine.replica), tempfile.TemporaryDirectory() as folder:
                self.assertThat(self.real_boot(machine.disk, done, Path(folder)), Equals(machine.disk.boot()))

    def real_boot(self, model: ModelDisk, done: dict[str, list[tuple]], folder: Path):
        """The boot of the real disk after the same jobs."""

        def open_disk() -> Disk:
            return Disk(folder=folder, replica=model.replica, token=lambda _: model.incarnation, synchronous="OFF")

        disk = open_disk()
        disk.boot()
        if model.bootstrap_facts is not None:
            disk.bootstrap(mesh=MESH, voters=dict(model.bootstrap_facts["voters"]), operators={}, level=LEVEL)
        for job in done[model.incarnation]:
            match job:
                case Write():
                    disk.write([job])
                case Capture(checkpoint_id=checkpoint_id, state=state):
                    disk.store_checkpoint(checkpoint_id=checkpoint_id, state=state)
                case StoreChunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last):
                    disk.store_chunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last)
                case DropCheckpoints(below=below):
                    disk.drop_checkpoints(below=below)
        disk.close()
        again = open_disk()
        boot = again.boot()
        again.close()
        return boot
