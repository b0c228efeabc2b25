"""The spaces that are explored exhaustively, with the initial cluster, depth and budget of each."""

import random
from collections.abc import Callable
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import LEADER
from hoistsaddle.rpc.messages import BeginEpochCall
from hoistsaddle.testbed.modelcheck.cluster import TIME_STEP, Cluster
from hoistsaddle.testbed.modelcheck.exhaustive import TIMEOUT, Budget, Space
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated, is_voter_change, upsert_proposal
from hoistsaddle.testbed.modelcheck.machine import Machine

# The most time steps (20 seconds) and events per time step; a blank disk rejoins in less.
MAX_TIME_STEPS, MAX_EVENTS_PER_STEP = 400, 50


class _MidpointRandom(random.Random):
    """Makes all election timeouts equal, so that the exploration decides which timer expires first."""

    def random(self) -> float:
        return 0.5


def _new_cluster(fault: InjectedFault) -> Cluster:
    """Three newly bootstrapped replicas."""
    return Cluster(size=3, seed=1, fault=fault, make_random=_MidpointRandom)


def _two_candidates(fault: InjectedFault) -> Cluster:
    """Two replicas became candidates at the same time, and their vote requests are still in flight."""
    cluster = _new_cluster(fault)
    for replica in (1, 3):
        cluster.machines[replica].clock_offset += TIMEOUT
        cluster.tick(replica)
    return cluster


def _elect_first(fault: InjectedFault) -> Cluster:
    """Three replicas; the first is the leader, because only its election timer expired."""
    cluster = _new_cluster(fault)
    cluster.machines[1].clock_offset += TIMEOUT
    cluster.run(milliseconds(300))
    assert cluster.leader() == 1, cluster.leader()
    return cluster


def _with_leader(fault: InjectedFault) -> Cluster:
    """The first replica is the leader, and no messages are in flight."""
    cluster = _elect_first(fault)
    cluster.in_flight.clear()
    return cluster


def _with_unsynced_record(fault: InjectedFault) -> Cluster:
    """The leader has logged a record that it hasn't synced or replicated."""
    cluster = _with_leader(fault)
    cluster.propose(1, upsert_proposal(request=1, name="one", revision=1, content="first"))
    cluster.in_flight.clear()
    return cluster


def _two_leaders(fault: InjectedFault) -> Cluster:
    """The second replica was elected by the third, and the first still leads its older epoch."""
    cluster = _with_leader(fault)
    cluster.cuts = {(1, 2), (2, 1), (1, 3), (3, 1)}
    cluster.machines[2].clock_offset += TIMEOUT
    cluster.machines[3].clock_offset += TIMEOUT
    cluster.tick(2)
    while cluster.machines[2].core.role != LEADER and (cluster.deliver_next() or cluster.sync_disks(2, 3)):
        pass
    cluster.sync_disks(2, 3)
    assert cluster.machines[2].core.role == cluster.machines[1].core.role == LEADER
    cluster.cuts.clear()
    # Only the new leader's BeginEpoch calls are still in flight.
    cluster.in_flight = [packet for packet in cluster.in_flight if isinstance(packet.message, BeginEpochCall)]
    return cluster


def _with_open_voter_change(fault: InjectedFault) -> Cluster:
    """A replica with a blank disk has caught up, and the record that makes it a voter is logged only at the leader."""
    cluster = _elect_first(fault)
    cluster.crash(3, kept=0)
    cluster.wipe(3)
    cluster.start(3)
    if not _step_until(cluster, lambda: _has_open_change(cluster.machines[1])):
        raise InvariantViolated(
            "a change of voters is logged", "the leader logged none for a replica that returned with a blank disk"
        )
    cluster.in_flight.clear()
    return cluster


def _has_open_change(machine: Machine) -> bool:
    """Whether the log holds an uncommitted change of voters."""
    core = machine.core
    return any(record.offset > core.high_watermark and is_voter_change(record) for record in core.log)


def _step_until(cluster: Cluster, condition: Callable[[], bool]) -> bool:
    """Runs event by event until the condition holds; returns whether it does within MAX_TIME_STEPS."""
    for _ in range(MAX_TIME_STEPS):
        cluster.now += TIME_STEP
        for _ in range(MAX_EVENTS_PER_STEP):
            progressed = cluster.deliver_next()
            if condition():
                return True
            for replica in cluster.machines:
                progressed = cluster.do_disk_job(replica) or progressed
                if condition():
                    return True
            if not progressed:
                break
        for replica in cluster.machines:
            cluster.tick(replica)
            if condition():
                return True
    return False


def _with_lagging_follower(fault: InjectedFault) -> Cluster:
    """A follower is behind the begin offset of the leader, so its next fetch is answered with a checkpoint."""
    cluster = _elect_first(fault)
    cluster.crash(3, kept=0)
    for number in range(1, 8):
        cluster.propose(1, upsert_proposal(request=number, name="one", revision=number, content=f"content-{number}"))
        cluster.run(milliseconds(200))
    cluster.run(timedelta(seconds=4), until=lambda: cluster.machines[1].core.begin.offset > 1)
    assert cluster.machines[1].core.begin.offset > 1
    cluster.start(3)
    cluster.in_flight.clear()
    return cluster


SPACES: tuple[Space, ...] = (
    Space("first election", _new_cluster, 4, Budget(timeouts=2, crashes=1)),
    Space("two candidates", _two_candidates, 4, Budget()),
    Space("votes answered late or unsynced", _new_cluster, 4, Budget(timeouts=2, late_answers=1, unsynced_writes=1)),
    Space("order and new election", _with_unsynced_record, 7, Budget(timeouts=1, crashes=1, orders=1)),
    Space("order unsynced", _with_leader, 4, Budget(timeouts=1, crashes=1, orders=1, unsynced_writes=1)),
    Space("reads at two leaders", _two_leaders, 5, Budget(reads=2, orders=1)),
    Space("open change of voters", _with_open_voter_change, 5, Budget(timeouts=2, crashes=1)),
    Space("fetch of a snapshot", _with_lagging_follower, 6, Budget(timeouts=1, crashes=1)),
    Space("duplicated messages", _with_unsynced_record, 7, Budget(timeouts=1, duplicates=2)),
    Space("a lost disk", _with_leader, 6, Budget(timeouts=1, wipes=1, orders=1)),
)
