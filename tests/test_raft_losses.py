"""Successive losses: replacements, wiped disks, planned leaves, each complete within half of the settle timeout.

The fault histories run on cores with a modelled network, disk and processor (coremesh). Where speed matters, the
processor has 0.245 of a core and a sync takes 2 ms.
"""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

from coremesh import SETTLE, CoreMesh, Node
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import CANDIDATE
from hoistsaddle.raft.events import (
    AnswerArrived,
    Boot,
    OffsetAndEpoch,
    StopRequested,
    Synced,
    Ticked,
    replacement_timeout_for,
)
from hoistsaddle.rpc.messages import BeginEpochCall, FetchAnswer, VoteCall
from hoistsaddle.statemachine.commands import LEVEL, LEVEL_OF, ReplaceVoter
from hoistsaddle.statemachine.state import initial_state
from test_kip_630 import TIMINGS
from test_raft_voters import TWO, VoterBench

SECOND = timedelta(seconds=1)
SEEDS = range(1, 13)
SLOW = {"processor": 0.245, "sync": milliseconds(2)}


def started_mesh(seed: int, **details) -> CoreMesh:
    mesh = CoreMesh(seed=seed, **details)
    mesh.until(mesh.has_active_leader, most=10 * SECOND)
    return mesh.run(SECOND)


def follower(mesh: CoreMesh) -> Node:
    leader = mesh.leader()
    return next(node for replica, node in sorted(mesh.nodes.items()) if node is not leader and mesh.is_voter(replica))


def has_all_committed(mesh: CoreMesh, replica: int) -> bool:
    """Whether this replica has a complete state and all records that the leader has committed."""
    node, leader = mesh.nodes[replica], mesh.leader()
    return node.up and node.core.complete and leader and node.core.last.offset >= leader.core.high_watermark


class ReplacementTimeouts(TestCase):
    def test_the_timeout_follows_from_the_settings(self) -> None:
        for settle, losses, milliseconds_given in ((4, 1, 1000), (6, 1, 1500), (6, 2, 1000), (4, 2, 700), (1, 1, 700)):
            span = replacement_timeout_for(settle=timedelta(seconds=settle), losses=losses)
            self.assertThat(span, Equals(milliseconds(milliseconds_given)), f"{settle} s, {losses}")


class WipedDisks(TestCase):
    def spans(self, *, leader: bool) -> list[timedelta]:
        spans = []
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            # Enough records for a checkpoint, so that the blank disk fetches one.
            for _ in range(110):
                mesh.write()
            lost = (mesh.leader() if leader else follower(mesh)).replica
            mesh.wipe(lost)
            mesh.run(milliseconds(mesh.random.uniform(100, 3000)))
            mesh.nodes[lost].start()
            spans.append(mesh.until(lambda: mesh.is_voter(lost), most=SETTLE))
        print("from the wiped machine's start to its counted vote:", min(spans), max(spans), "seeds", list(SEEDS))
        return spans

    def test_a_wiped_follower_votes_again_within_half_of_the_settle_time(self) -> None:
        self.assertThat(max(self.spans(leader=False)), LessThan(SETTLE / 2))

    def test_so_does_a_wiped_leader(self) -> None:
        self.assertThat(max(self.spans(leader=True)), LessThan(SETTLE / 2))

    def test_the_next_loss_after_the_settle_time_is_tolerated_and_nothing_is_lost(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            for lost in (mesh.leader().replica, follower(mesh).replica, mesh.leader().replica):
                last_write = mesh.write()
                if lost not in mesh.nodes:
                    continue
                mesh.wipe(lost)
                mesh.nodes[lost].start()
                mesh.run(SETTLE)
                self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")


class Replacements(TestCase):
    def test_a_lost_voter_is_replaced_in_one_step_within_half_of_the_settle_time(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            lost = (mesh.leader() if seed % 2 else follower(mesh)).replica
            mesh.remove(lost)
            mesh.run(milliseconds(mesh.random.uniform(0, 2000)))
            mesh.add(4)
            mesh.until(lambda: has_all_committed(mesh, 4), most=SETTLE)
            span = mesh.until(lambda: mesh.is_voter(4), most=SETTLE)
            self.assertThat(span, LessThan(SETTLE / 2), f"seed {seed}")
            kinds = [kind for _, kind, _ in mesh.announcements]
            self.assertThat(kinds, Contains("voter replaced"))
            # At no time are there fewer than 2n + 1 voters.
            self.assertThat("voter dropped" in kinds, Equals(False))

    def test_a_second_loss_when_the_first_is_settled_leaves_a_majority(self) -> None:
        """Three losses in succession: at each one the last successor has been up for just the settle time."""
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            newcomer = 4
            for loss in range(3):
                last_write = mesh.write()
                lost = (mesh.leader() if (seed >> loss) % 2 else follower(mesh)).replica
                mesh.remove(lost)
                mesh.add(newcomer)
                newcomer += 1
                mesh.run(SETTLE)
                self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")
            self.assertThat(len(mesh.voters()), Equals(3))

    def test_two_of_five_lost_at_once_are_both_replaced_in_time(self) -> None:
        for seed in SEEDS:
            span = replacement_timeout_for(settle=SETTLE, losses=2)
            timings = CoreMesh(seed=0).timings._replace(replacement_timeout=span)
            mesh = started_mesh(seed, machines=5, voters=5, timings=timings, **SLOW)
            for lost in [1, 2, 3, 4, 5][seed % 4 : seed % 4 + 2]:
                mesh.remove(lost)
            mesh.add(6)
            mesh.add(7)
            mesh.run(SETTLE)
            self.assertThat(
                (mesh.is_voter(6), mesh.is_voter(7), len(mesh.voters())), Equals((True, True, 5)), f"seed {seed}"
            )

    def test_a_frozen_voter_becomes_a_spare_and_may_become_a_voter_again(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, machines=4)
            frozen = follower(mesh).replica
            mesh.freeze(frozen, 3 * SECOND)
            mesh.run(2 * SECOND)
            self.assertThat((mesh.is_voter(frozen), mesh.is_voter(4)), Equals((False, True)), f"seed {seed}")
            mesh.run(2 * SECOND)
            # There is only one replacement: the voters don't change again once the frozen replica is back.
            self.assertThat([kind for _, kind, _ in mesh.announcements].count("voter replaced"), LessThan(5))
            self.assertThat(
                (mesh.is_voter(frozen), has_all_committed(mesh, frozen)), Equals((False, True)), f"seed {seed}"
            )
            mesh.remove(4)
            mesh.until(lambda: mesh.is_voter(frozen), most=SETTLE)
            mesh.write()

    def test_a_voter_frozen_for_seconds_with_no_spare_keeps_its_vote(self) -> None:
        mesh = started_mesh(1)
        frozen = follower(mesh).replica
        mesh.freeze(frozen, 6 * SECOND)
        mesh.run(5 * SECOND)
        self.assertThat((sorted(mesh.voters()), mesh.announcements[-1][1]), Equals(([1, 2, 3], "following")))
        mesh.run(3 * SECOND)
        self.assertThat((mesh.is_voter(frozen), len(mesh.voters())), Equals((True, 3)))

    def test_below_the_level_with_replacement_it_takes_two_steps(self) -> None:
        mesh = started_mesh(2, level=LEVEL_OF[ReplaceVoter] - 1)
        mesh.remove(follower(mesh).replica)
        mesh.add(4)
        mesh.until(lambda: mesh.is_voter(4), most=SETTLE * 2)
        kinds = [kind for _, kind, _ in mesh.announcements if "voter" in kind]
        self.assertThat(list(dict.fromkeys(kinds)), Equals(["voter dropped", "voter added"]))

    def test_a_replica_that_came_back_blank_does_not_keep_its_vote_while_it_catches_up(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3, level=LEVEL_OF[ReplaceVoter]).lead()
        until = bench.timestamp + TIMINGS.replacement_timeout + SECOND
        while bench.timestamp < until:
            bench.fetch_from(2)
            bench.fetch_from(3, incarnation="three-again", complete=False)
            bench.fetch_from(4)
            bench.feed(Ticked(), later=milliseconds(200))
        self.assertThat(bench.voters(), Equals({1: "one", 2: "two", 4: "four"}))

    def test_the_voter_silent_for_longest_is_replaced_first(self) -> None:
        bench = VoterBench({**TWO, 3: "three", 4: "four", 5: "five"}, wanted=5, level=LEVEL)
        bench.core.role = CANDIDATE
        bench.core.elections.pre_vote, bench.core.elections.granted = False, {(1, "one"), (2, "two"), (4, "four")}
        bench.core.elections.count_votes()
        bench.feed(Synced(bench.core.sequence))
        bench.keep_fetching(2, 3, 4, 5, span=2 * SECOND)
        bench.keep_fetching(2, 3, 4, span=SECOND / 2)
        bench.keep_fetching(2, 4, span=TIMINGS.replacement_timeout * 2)
        bench.keep_fetching(2, 4, 9, span=SECOND / 2)
        self.assertThat([each["voter"] for each in bench.announced("voter replaced")], Equals([5]))

    def test_a_complete_replica_votes_although_its_log_does_not_name_it_a_voter_yet(self) -> None:
        """The record that adds it may be on the candidate alone, and a majority of that set may need its vote."""
        state = initial_state(mesh="m", voters=TWO, operators={}, level=LEVEL)
        for complete in (True, False):
            boot = Boot(4, "four", voters=tuple(TWO.items()), mesh="m", checkpoint=OffsetAndEpoch(0, 0), state=state)
            bench = VoterBench(boot=boot if complete else Boot(4, "four", mesh="m"))
            vote = VoteCall("m", 2, 2, "two", 9, 1, False, LEVEL)
            self.assertThat((bench.core.is_voter(), bench.call(vote).granted), Equals((False, complete)))

    def test_each_disk_knows_that_a_change_is_committed_without_a_further_record(self) -> None:
        """Guards against a restart that still requires the voter set before a committed replacement.

        A voter is replaced, another disk is wiped, and then all replicas lose power: that set has lost its majority.
        """
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            mesh.remove(follower(mesh).replica)
            mesh.add(4)
            mesh.run(SETTLE)
            mesh.wipe(follower(mesh).replica if seed % 2 else mesh.leader().replica)
            for node in mesh.nodes.values():
                node.kill()
            mesh.run(SECOND)
            for node in mesh.nodes.values():
                node.start()
            mesh.until(mesh.has_active_leader, most=10 * SECOND)
            mesh.write()


class PlannedLeaves(TestCase):
    def test_a_vote_for_a_leadership_transfer_is_granted_although_the_leader_is_alive(self) -> None:
        for transfer in (False, True):
            bench = VoterBench({**TWO, 3: "three"}, replica=3)
            bench.call(BeginEpochCall("m", 1, 1))
            bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 1, FetchAnswer("", 1, 1, 0, 1)))
            vote = VoteCall("m", 2, 2, "two", 0, 0, False, LEVEL, transfer)
            self.assertThat(bench.call(vote, later=milliseconds(50)).granted, Equals(transfer))

    def test_a_plain_restart_stays_quick(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            for replica in (1, 2, 3):
                self.assertThat(
                    mesh.stop(replica), LessThan(milliseconds(500)), f"seed {seed}: {mesh.announcements[-5:]}"
                )
                mesh.nodes[replica].start()
                mesh.run(SETTLE)
                mesh.write()

    def test_a_leaving_leader_names_its_successor_without_an_election_timeout(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed)
            old = mesh.leader().replica
            mesh.nodes[old].feed(StopRequested(3 * SECOND))
            mesh.until(lambda: mesh.nodes[old].ended != "", most=SECOND)
            # The successor was elected by leadership transfer, without an election timeout.
            self.assertThat([kind for _, kind, _ in mesh.announcements], Contains("called to stand"))
            self.assertThat(
                (mesh.nodes[old].ended, mesh.has_active_leader()), Equals(("handed over", True)), f"seed {seed}"
            )

    def test_records_only_on_the_leaving_replica_and_one_more_are_replicated_to_the_third_first(self) -> None:
        """Guards against the loss of a committed record that is on the leaving replica and one more only.

        The third was partitioned when the record was committed; the first leaves, then the second's disk is lost.
        """
        for seed in SEEDS:
            for leaver_leads in (True, False):
                mesh = started_mesh(seed)
                leader = mesh.leader().replica
                second = follower(mesh).replica
                third = ({1, 2, 3} - {leader, second}).pop()
                mesh.cuts = {frozenset((third, each)) for each in (leader, second)}
                last_write = [mesh.write() for _ in range(3)][-1]
                leaver, stays = (leader, second) if leaver_leads else (second, leader)
                # The partition heals while the leaving replica is stopping.
                mesh.later(milliseconds(300), mesh.cuts.clear)
                mesh.stop(leaver)
                mesh.remove(leaver)
                self.assertThat(mesh.nodes[third].core.last.offset >= last_write, Equals(True), f"seed {seed}")
                mesh.wipe(stays)
                self.assertThat(mesh.nodes[third].core.epoch_at(last_write) is not None, Equals(True))

    def test_a_ready_successor_takes_the_vote_of_the_one_that_leaves(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            old = (mesh.leader() if seed % 2 else follower(mesh)).replica
            mesh.add(4)
            # It is stopped while the new replica is still catching up, and waits for it within its grace period.
            mesh.until(lambda: any(replica == 4 for replica, _ in mesh.leader().core.replication.progress), most=SETTLE)
            mesh.stop(old)
            self.assertThat(
                (mesh.is_voter(4), mesh.is_voter(old), len(mesh.voters())), Equals((True, False, 3)), f"seed {seed}"
            )
            mesh.remove(old)
            mesh.write()
            # The next loss follows at once.
            mesh.remove(follower(mesh).replica)
            mesh.write()

    def test_without_a_majority_of_others_it_stays_until_its_deadline_and_no_longer(self) -> None:
        mesh = started_mesh(3)
        lost = follower(mesh).replica
        mesh.nodes[lost].kill()
        leader = mesh.leader().replica
        stayed = mesh.stop(leader, grace=3 * SECOND)
        self.assertThat((mesh.nodes[leader].ended, stayed < 3.2 * SECOND), Equals(("time over", True)))

    def test_all_stopped_at_once_end_soon(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed)
            for node in mesh.nodes.values():
                node.feed(StopRequested(3 * SECOND))
            span = mesh.until(lambda: all(node.ended for node in mesh.nodes.values()), most=3 * SECOND)
            self.assertThat(span, LessThan(timedelta(seconds=2)), f"seed {seed}")

    def test_a_leader_of_an_older_release_that_does_not_know_leaves_is_not_waited_for(self) -> None:
        mesh = started_mesh(4)
        leader = mesh.leader()
        leader.core.leaving.answer_leaving = lambda call: 0
        leader.core.leaving.decide_leave = lambda key: 0
        self.assertThat(mesh.stop(follower(mesh).replica), LessThan(SECOND))

    def test_the_only_voter_hands_over_to_its_successor(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, machines=1, voters=1)
            last_write = mesh.write()
            mesh.add(4)
            mesh.run(SECOND)
            mesh.stop(1)
            mesh.remove(1)
            self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")


class RegressionHistories(TestCase):
    """The losses of the two review histories after which no leader could be elected any more (finding 13)."""

    def replace_voter(self, mesh: CoreMesh, newcomer: int, *, planned: bool, leader: bool) -> None:
        old = (mesh.leader() if leader else follower(mesh)).replica
        if planned:
            mesh.add(newcomer)
            mesh.run(2 * SECOND)
            mesh.stop(old)
            mesh.remove(old)
        else:
            mesh.remove(old)
            mesh.run(milliseconds(500))
            mesh.add(newcomer)
        mesh.write()

    def all_lose_power(self, mesh: CoreMesh) -> None:
        for node in mesh.nodes.values():
            node.kill()
        mesh.run(SECOND)
        for node in mesh.nodes.values():
            node.start()
        mesh.until(mesh.has_active_leader, most=10 * SECOND)

    def test_four_replacements_and_a_loss_of_power_at_the_end(self) -> None:
        for seed in SEEDS:
            for leader in (True, False):
                mesh = started_mesh(seed, **SLOW)
                for newcomer, (planned, rest) in enumerate(((True, 4), (True, 9), (False, 7), (False, 5)), start=4):
                    self.replace_voter(mesh, newcomer, planned=planned, leader=leader)
                    mesh.run(rest * SECOND)
                last_write = mesh.write()
                self.all_lose_power(mesh)
                self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")

    def test_a_replacement_a_wipe_a_planned_one_and_the_leaders_power(self) -> None:
        for seed in SEEDS:
            mesh = started_mesh(seed, **SLOW)
            self.replace_voter(mesh, 4, planned=False, leader=bool(seed % 2))
            mesh.run(SETTLE + SECOND)
            lost = follower(mesh).replica
            mesh.wipe(lost)
            mesh.nodes[lost].start()
            mesh.run(SETTLE)
            self.replace_voter(mesh, 5, planned=True, leader=not seed % 2)
            mesh.run(SETTLE)
            last_write = mesh.write()
            leader = mesh.leader()
            leader.kill()
            mesh.run(milliseconds(700))
            leader.start()
            self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")
            self.all_lose_power(mesh)
            self.assertThat(mesh.write() > last_write, Equals(True), f"seed {seed}")
