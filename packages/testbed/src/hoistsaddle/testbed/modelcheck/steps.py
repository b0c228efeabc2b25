"""The steps of a walk over a modelled cluster, and the limit on simultaneous losses of machines."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import LEADER
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Packet
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated, upsert_proposal
from hoistsaddle.testbed.modelcheck.machine import Machine

# The time unit of RUN and ADVANCE steps.
UNIT = milliseconds(50)
# The most machines in one walk, removed ones included.
MAX_MACHINES = 9
# Few names and versions, so that proposals conflict.
NAMES, VERSIONS, CONTENTS = 2, 6, 2
# Time for a healed cluster to elect a leader and to commit a new record: some rounds of elections, and the timeout
# after which a blank disk or an old leader is given up.
SERVE_TIMEOUT = timedelta(seconds=15)
# Time until every loss has settled: the replacement timeout of a voter, an election and a catch-up.
SETTLE_ALL_TIMEOUT = timedelta(seconds=60)
# Time for a replica to fetch all committed records once the cluster is free of faults.
CATCH_UP_TIMEOUT = timedelta(seconds=15)


class StepKind(StrEnum):
    """The kind of a step."""

    RUN = "run"
    DELIVER = "deliver"
    DROP = "drop"
    DUPLICATE = "double"
    DISK = "disk"
    TICK = "tick"
    ADVANCE = "advance"
    CRASH = "crash"
    START = "start"
    TEAR = "tear"
    WIPE = "wipe"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    CUT_OFF = "cut off"
    HEAL = "heal"
    FREEZE = "freeze"
    THAW = "thaw"
    STALL_DISK = "stall"
    RESUME_DISK = "go on"
    ADD_SPARE = "spare"
    REPLACE = "replace"
    LEAVE = "leave"
    PROPOSE = "propose"
    BATCH = "batch"
    READ = "read"
    ALL_LOSE_POWER = "all lose power"


class Step(NamedTuple):
    """One step. Its numbers select among the machines or messages at that time, so any part of a walk is valid."""

    kind: StepKind
    first: int = 0
    second: int = 0

    def __str__(self) -> str:
        return f"{self.kind}({self.first}, {self.second})"


class Walk:
    """Executes steps on a cluster. A machine counts as lost until it or its successor has settled."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.tolerance = (cluster.size - 1) // 2
        # Replicas whose disk is lost or being removed and whose loss hasn't settled yet.
        self.lost: set[int] = set()
        self.done: list[Step] = []
        self.skipped = 0
        self.proposals = 0
        self.settled = 0

    # -- selection -----------------------------------------------------------------------------------------------------

    def _choose(self, number: int, *, condition) -> Machine | None:
        matching = [each for each in self.cluster.machines.values() if not each.removed and condition(each)]
        return matching[number % len(matching)] if matching else None

    def _choose_responsive(self, number: int) -> Machine | None:
        return self._choose(number, condition=lambda each: each.responsive)

    def _fault_target(self, number: int, second: int) -> Machine | None:
        """The machine that a fault hits: the leader in half of the cases."""
        leader = self.cluster.leader()
        if leader is not None and second % 2:
            return self.cluster.machines[leader]
        return self._choose_responsive(number)

    def _call_target(self, first: int, second: int) -> Machine | None:
        """The machine that a client calls: mostly the leader, sometimes one with the leader role, or any other."""
        leader = self.cluster.leader()
        if second % 4 == 0 and (claimed_leader := self._choose(first, condition=_has_leader_role)):
            return claimed_leader
        if second % 4 == 1:
            return self._choose_responsive(first)
        return self.cluster.machines[leader] if leader is not None else None

    def _packet(self, number: int) -> Packet | None:
        deliverable = [packet for packet in self.cluster.in_flight if self.cluster.can_deliver(packet)]
        return deliverable[number % len(deliverable)] if deliverable else None

    def _counts_as_voter(self, machine: Machine) -> bool:
        """Whether the loss of this disk counts: it is a voter by the committed log or by some core."""
        sets = [self.cluster.invariants.voters]
        for each in self.cluster.machines.values():
            if each.core is not None:
                sets += each.core.voter_sets()
        return any(voters.get(machine.replica) == machine.disk.incarnation for voters in sets)

    def _may_lose(self, machine: Machine) -> bool:
        return machine.replica in self.lost or not self._counts_as_voter(machine) or len(self.lost) < self.tolerance

    def _lose(self, machine: Machine) -> None:
        if self._counts_as_voter(machine):
            self.lost.add(machine.replica)

    def settle(self) -> None:
        """Removes losses whose machine or successor is a voter and holds all committed records.

        Until a majority knows that the last change of voters is committed, elections also need the previous voter set,
        and losses in that set still count.
        """
        if not self.lost or not self._majority_knows_voters():
            return
        invariants = self.cluster.invariants
        voters, last_committed = invariants.voters, invariants.last_committed
        machines = self.cluster.machines
        holding = {
            replica
            for replica, incarnation in voters.items()
            if machines[replica].disk.incarnation == incarnation
            and not machines[replica].removed
            and not machines[replica].leaving
            and machines[replica].disk.can_restore(last_committed)
        }
        for replica in sorted(self.lost):
            if replica in voters:
                restored = replica in holding
            else:
                restored = len(voters) >= self.cluster.size and len(holding) > self.cluster.size - len(self.lost)
            if restored:
                self.lost.discard(replica)
                self.settled += 1

    def _majority_knows_voters(self) -> bool:
        invariants, machines = self.cluster.invariants, self.cluster.machines
        informed = 0
        for replica, incarnation in invariants.voters.items():
            machine = machines[replica]
            if machine.removed or machine.disk.incarnation != incarnation:
                continue
            newest, core = machine.disk.newest, machine.core
            known_on_disk = (
                newest is not None and not newest.catching and newest.committed >= invariants.voters_changed_at
            )
            known_in_memory = core is not None and core.complete and core.high_watermark >= invariants.voters_changed_at
            informed += known_on_disk or known_in_memory
        return informed * 2 > len(invariants.voters)

    # -- steps ---------------------------------------------------------------------------------------------------------

    def take(self, step: Step) -> bool:
        """Executes the step if it is possible now; returns whether it was.

        Raises:
            InvariantViolated: the step violates an invariant.
        """
        self.done.append(step)
        done = self._execute(step)
        self.skipped += not done
        self.settle()
        return done

    def _execute(self, step: Step) -> bool:
        cluster, first, second = self.cluster, step.first, step.second
        match step.kind:
            case StepKind.RUN:
                cluster.run(UNIT * (1 + first), until=self._settle_and_continue)
            case StepKind.ADVANCE:
                cluster.now += UNIT * (1 + first)
            case StepKind.DELIVER | StepKind.DROP | StepKind.DUPLICATE:
                return self._message_step(step.kind, first)
            case StepKind.DISK | StepKind.TICK | StepKind.PROPOSE | StepKind.BATCH | StepKind.READ:
                return self._client_or_disk_step(step.kind, first, second)
            case StepKind.CUT | StepKind.CUT_ONE_WAY | StepKind.CUT_OFF | StepKind.HEAL:
                return self._network_step(step.kind, first, second)
            case StepKind.FREEZE | StepKind.THAW | StepKind.STALL_DISK | StepKind.RESUME_DISK:
                return self._pause_step(step.kind, first, second)
            case StepKind.ADD_SPARE:
                if len(cluster.machines) >= MAX_MACHINES:
                    return False
                cluster.add_spare()
            case StepKind.ALL_LOSE_POWER:
                for replica, machine in cluster.machines.items():
                    if machine.core is not None:
                        cluster.crash(replica, kept=second if replica % 2 else first)
                for replica, machine in cluster.machines.items():
                    if not machine.removed:
                        cluster.start(replica)
            case _:
                return self._lifecycle_step(step.kind, first, second)
        return True

    def _settle_and_continue(self) -> bool:
        self.settle()
        return False

    def _message_step(self, kind: StepKind, number: int) -> bool:
        packet = self._packet(number)
        if packet is None:
            return False
        if kind != StepKind.DUPLICATE:
            self.cluster.in_flight.remove(packet)
        if kind != StepKind.DROP:
            self.cluster.deliver(packet)
        return True

    def _client_or_disk_step(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        machine = (
            self._choose_responsive(first)
            if kind in (StepKind.DISK, StepKind.TICK)
            else self._call_target(first, second)
        )
        if machine is None:
            return False
        match kind:
            case StepKind.DISK:
                return cluster.do_disk_job(machine.replica)
            case StepKind.TICK:
                cluster.tick(machine.replica)
            case StepKind.READ:
                cluster.read(machine.replica)
            case StepKind.PROPOSE:
                self.propose_item(machine.replica, second)
            case StepKind.BATCH:
                for number in range(cluster.timings.checkpoint_records + 2):
                    if machine.responsive:
                        self.propose_item(machine.replica, second + number)
                        cluster.run(UNIT * 2, until=self._settle_and_continue)
        return True

    def propose_item(self, replica: int, number: int) -> int:
        """Proposes an item at a replica; the number selects the item and its content. Returns the ticket."""
        self.proposals += 1
        return self.cluster.propose(
            replica,
            upsert_proposal(
                request=self.proposals,
                name=f"service-{number % NAMES}",
                revision=number // NAMES % VERSIONS + self.proposals // 4,
                content=f"content-{number // (NAMES * VERSIONS) % CONTENTS}",
            ),
        )

    def _network_step(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == StepKind.HEAL:
            cluster.cuts.clear()
            return True
        one = self._fault_target(first, second)
        other = self._choose(second, condition=lambda each: each is not one)
        if one is None or other is None:
            return False
        if kind == StepKind.CUT_OFF:
            for replica in cluster.machines:
                cluster.cuts |= {(one.replica, replica), (replica, one.replica)}
            return True
        cluster.cuts.add((one.replica, other.replica))
        if kind == StepKind.CUT:
            cluster.cuts.add((other.replica, one.replica))
        return True

    def _pause_step(self, kind: StepKind, first: int, second: int) -> bool:
        if kind in (StepKind.FREEZE, StepKind.STALL_DISK):
            machine = self._fault_target(first, second)
        else:
            machine = self._choose(first, condition=lambda each: each.frozen if kind == StepKind.THAW else each.stalled)
        if machine is None:
            return False
        if kind in (StepKind.FREEZE, StepKind.THAW):
            machine.frozen = kind == StepKind.FREEZE
        else:
            machine.stalled = kind == StepKind.STALL_DISK
        return True

    def _lifecycle_step(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == StepKind.START:
            machine = self._choose(first, condition=lambda each: each.core is None)
            if machine is not None:
                cluster.start(machine.replica)
            return machine is not None
        machine = self._fault_target(first, second) or self._choose(first, condition=lambda each: each.core is not None)
        if machine is None:
            return False
        if kind == StepKind.CRASH:
            cluster.crash(machine.replica, kept=second)
            return True
        if not self._may_lose(machine) or (
            kind in (StepKind.LEAVE, StepKind.REPLACE) and len(cluster.machines) >= MAX_MACHINES
        ):
            return False
        match kind:
            case StepKind.WIPE:
                self._lose(machine)
                cluster.crash(machine.replica, kept=second)
                cluster.wipe(machine.replica)
                cluster.start(machine.replica)
            case StepKind.TEAR:
                self._tear_checkpoint(machine, second)
            case StepKind.REPLACE:
                self._lose(machine)
                cluster.remove(machine.replica)
                cluster.add_spare()
            case StepKind.LEAVE:
                if not machine.responsive or machine.leaving:
                    return False
                self._lose(machine)
                cluster.request_stop(machine.replica, duration=UNIT * (1 + second) * 2)
                if second % 2:
                    cluster.add_spare()
        return True

    def _tear_checkpoint(self, machine: Machine, kept_jobs: int) -> None:
        self.cluster.crash(machine.replica, kept=kept_jobs)
        counts_as_voter = self._counts_as_voter(machine)
        machine.disk.tear()
        # Booting from an older checkpoint loses nothing; a replaced folder is a new disk, so the old one is lost.
        if machine.disk.boot() is None and counts_as_voter:
            self.lost.add(machine.replica)
        self.cluster.start(machine.replica)

    # -- final checks --------------------------------------------------------------------------------------------------

    def finish(self) -> None:
        """Ends all faults, and checks that a new record commits and that every loss settles within the timeouts."""
        cluster = self.cluster
        cluster.cuts.clear()
        for replica, machine in list(cluster.machines.items()):
            machine.frozen = machine.stalled = False
            if machine.leaving:
                # Its grace period is over; another machine replaces it.
                cluster.remove(replica)
                cluster.add_spare()
            if machine.core is None and not machine.removed:
                cluster.start(replica)
        began = cluster.now
        if not cluster.run(SERVE_TIMEOUT, until=self._new_commit_condition()):
            raise InvariantViolated("a healed cluster serves", f"{self._describe()} within {SERVE_TIMEOUT}")
        if self.lost and not cluster.run(SETTLE_ALL_TIMEOUT - (cluster.now - began), until=self.is_settled):
            raise InvariantViolated(
                "losses settle", f"{sorted(self.lost)} did not within {SETTLE_ALL_TIMEOUT}: {self._describe()}"
            )
        if not cluster.run(CATCH_UP_TIMEOUT, until=self._all_caught_up):
            raise InvariantViolated("every replica catches up", f"not within {CATCH_UP_TIMEOUT}: {self._describe()}")

    def _new_commit_condition(self):
        tried_leaders: list[int] = []
        target = self.cluster.invariants.last_committed

        def committed() -> bool:
            leader = self.cluster.leader()
            figures = self.cluster.invariants.figures
            if leader is not None and (not tried_leaders or tried_leaders[-1] != leader):
                tried_leaders.append(leader)
                self.propose_item(leader, 0)
                acknowledged_before.append(figures.get("orders acknowledged", 0))
            return (
                bool(tried_leaders)
                and self.cluster.invariants.last_committed > target
                and (figures.get("orders acknowledged", 0) > acknowledged_before[0])
            )

        acknowledged_before: list[int] = []
        return committed

    def _all_caught_up(self) -> bool:
        last_committed = self.cluster.invariants.last_committed
        running = [machine for machine in self.cluster.machines.values() if machine.core is not None]
        return all(machine.core.complete and machine.core.state.offset >= last_committed for machine in running)

    def is_settled(self) -> bool:
        """Settles losses, and returns whether none is left."""
        self.settle()
        return not self.lost

    def _describe(self) -> str:
        cluster = self.cluster
        cores = [
            f"{each.replica}: {each.core.role} epoch {each.core.epoch} last {each.core.last.offset}"
            for each in cluster.machines.values()
            if each.core is not None
        ]
        observed = cluster.invariants
        return f"leader {cluster.leader()}, voters {observed.voters}, committed {observed.last_committed}, {cores}"


def _has_leader_role(machine: Machine) -> bool:
    return machine.responsive and machine.core.role == LEADER
