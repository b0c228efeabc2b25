"""The steps of a walk: what may happen to a modelled cluster, and how many losses it may bear at once."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import LEADER
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Packet
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated, order
from hoistsaddle.testbed.modelcheck.machine import Machine

# One unit of a run, and of a clock that moves on by itself.
UNIT = milliseconds(50)
# Machines at once, those that came and went included.
MAX_MACHINES = 9
# Names and versions are few, so that orders meet.
NAMES, VERSIONS, CONTENTS = 2, 6, 2
# What a healed cluster may take to elect a leader and to commit a new record: some rounds of elections, and the
# timeout after which a blank disk or an old leader is given up.
SERVE_TIMEOUT = timedelta(seconds=15)
# What it may take until every loss has settled: the replacement timeout of a voter, an election, a catch-up.
SETTLE_ALL_TIMEOUT = timedelta(seconds=60)
# What a replica that was away may take until it holds all that is committed, with nothing in its way any more.
CATCH_UP_TIMEOUT = timedelta(seconds=15)


class StepKind(StrEnum):
    """What a step does."""

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
    """One step. The numbers choose among what there is at that time, so that any part of a walk is a walk."""

    kind: StepKind
    first: int = 0
    second: int = 0

    def __str__(self) -> str:
        return f"{self.kind}({self.first}, {self.second})"


class Walk:
    """Does steps on a cluster. A lost machine counts until its successor or return has settled."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.tolerance = (cluster.size - 1) // 2
        # Replicas whose disk is lost or going, not settled yet.
        self.lost: set[int] = set()
        self.done: list[Step] = []
        self.skipped = 0
        self.orders = 0
        self.settled = 0

    # -- what is there ---------------------------------------------------------------------------------------------

    def _choose(self, number: int, *, wanted) -> Machine | None:
        found = [each for each in self.cluster.machines.values() if not each.removed and wanted(each)]
        return found[number % len(found)] if found else None

    def _choose_answering(self, number: int) -> Machine | None:
        return self._choose(number, wanted=lambda each: each.answers)

    def _fault_target(self, number: int, second: int) -> Machine | None:
        """The machine that a fault hits: half of the time the leader."""
        leader = self.cluster.leader()
        if leader is not None and second % 2:
            return self.cluster.machines[leader]
        return self._choose_answering(number)

    def _call_target(self, first: int, second: int) -> Machine | None:
        """The machine that a client calls: mostly the leader, sometimes one that believes to lead, or any other."""
        leader = self.cluster.leader()
        if second % 4 == 0 and (believing := self._choose(first, wanted=_believes_to_lead)):
            return believing
        if second % 4 == 1:
            return self._choose_answering(first)
        return self.cluster.machines[leader] if leader is not None else None

    def _packet(self, number: int) -> Packet | None:
        passing = [packet for packet in self.cluster.in_flight if self.cluster.can_pass(packet)]
        return passing[number % len(passing)] if passing else None

    def _is_counted(self, machine: Machine) -> bool:
        """Whether losing this disk is a loss: it votes, or some core counts it as a voter."""
        sets = [self.cluster.invariants.voters]
        for each in self.cluster.machines.values():
            if each.core is not None:
                sets += each.core.voter_sets()
        return any(voters.get(machine.replica) == machine.disk.incarnation for voters in sets)

    def _may_lose(self, machine: Machine) -> bool:
        return machine.replica in self.lost or not self._is_counted(machine) or len(self.lost) < self.tolerance

    def _lose(self, machine: Machine) -> None:
        if self._is_counted(machine):
            self.lost.add(machine.replica)

    def settle(self) -> None:
        """Forgets losses whose return or successor votes and holds all that is committed.

        Until a majority knows that the last change of voters is committed, elections ask the set before it too, and
        who is lost in that set still counts.
        """
        if not self.lost or not self._majority_knows_the_voters():
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
            and machines[replica].disk.holds_now(last_committed)
        }
        for replica in sorted(self.lost):
            if replica in voters:
                back = replica in holding
            else:
                back = len(voters) >= self.cluster.size and len(holding) > self.cluster.size - len(self.lost)
            if back:
                self.lost.discard(replica)
                self.settled += 1

    def _majority_knows_the_voters(self) -> bool:
        invariants, machines = self.cluster.invariants, self.cluster.machines
        knowing = 0
        for replica, incarnation in invariants.voters.items():
            machine = machines[replica]
            if machine.removed or machine.disk.incarnation != incarnation:
                continue
            newest, core = machine.disk.newest, machine.core
            known_on_disk = (
                newest is not None and not newest.catching and newest.committed >= invariants.voters_changed_at
            )
            known_in_memory = core is not None and core.complete and core.high_watermark >= invariants.voters_changed_at
            knowing += known_on_disk or known_in_memory
        return knowing * 2 > len(invariants.voters)

    # -- steps -------------------------------------------------------------------------------------------------------

    def take(self, step: Step) -> bool:
        """Does the step if it can be done now; whether it could.

        Raises:
            InvariantViolated: the step breaks a rule.
        """
        self.done.append(step)
        done = self._take(step)
        self.skipped += not done
        self.settle()
        return done

    def _take(self, step: Step) -> bool:
        cluster, first, second = self.cluster, step.first, step.second
        match step.kind:
            case StepKind.RUN:
                cluster.run(UNIT * (1 + first), until=self._settle_on)
            case StepKind.ADVANCE:
                cluster.now += UNIT * (1 + first)
            case StepKind.DELIVER | StepKind.DROP | StepKind.DUPLICATE:
                return self._message(step.kind, first)
            case StepKind.DISK | StepKind.TICK | StepKind.PROPOSE | StepKind.BATCH | StepKind.READ:
                return self._work(step.kind, first, second)
            case StepKind.CUT | StepKind.CUT_ONE_WAY | StepKind.CUT_OFF | StepKind.HEAL:
                return self._link(step.kind, first, second)
            case StepKind.FREEZE | StepKind.THAW | StepKind.STALL_DISK | StepKind.RESUME_DISK:
                return self._pause(step.kind, first, second)
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
                return self._lifecycle(step.kind, first, second)
        return True

    def _settle_on(self) -> bool:
        self.settle()
        return False

    def _message(self, kind: StepKind, number: int) -> bool:
        packet = self._packet(number)
        if packet is None:
            return False
        if kind != StepKind.DUPLICATE:
            self.cluster.in_flight.remove(packet)
        if kind != StepKind.DROP:
            self.cluster.deliver(packet)
        return True

    def _work(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        machine = (
            self._choose_answering(first)
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
                self.order(machine.replica, second)
            case StepKind.BATCH:
                for number in range(cluster.timings.checkpoint_records + 2):
                    if machine.answers:
                        self.order(machine.replica, second + number)
                        cluster.run(UNIT * 2, until=self._settle_on)
        return True

    def order(self, replica: int, number: int) -> int:
        """Proposes an order at a replica; the number chooses the item and its content. Gives the ticket."""
        self.orders += 1
        return self.cluster.propose(
            replica,
            order(
                request=self.orders,
                name=f"service-{number % NAMES}",
                revision=number // NAMES % VERSIONS + self.orders // 4,
                content=f"content-{number // (NAMES * VERSIONS) % CONTENTS}",
            ),
        )

    def _link(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == StepKind.HEAL:
            cluster.cuts.clear()
            return True
        one = self._fault_target(first, second)
        other = self._choose(second, wanted=lambda each: each is not one)
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

    def _pause(self, kind: StepKind, first: int, second: int) -> bool:
        if kind in (StepKind.FREEZE, StepKind.STALL_DISK):
            machine = self._fault_target(first, second)
        else:
            machine = self._choose(first, wanted=lambda each: each.frozen if kind == StepKind.THAW else each.stalled)
        if machine is None:
            return False
        if kind in (StepKind.FREEZE, StepKind.THAW):
            machine.frozen = kind == StepKind.FREEZE
        else:
            machine.stalled = kind == StepKind.STALL_DISK
        return True

    def _lifecycle(self, kind: StepKind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == StepKind.START:
            machine = self._choose(first, wanted=lambda each: each.core is None)
            if machine is not None:
                cluster.start(machine.replica)
            return machine is not None
        machine = self._fault_target(first, second) or self._choose(first, wanted=lambda each: each.core is not None)
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
                self._tear(machine, second)
            case StepKind.REPLACE:
                self._lose(machine)
                cluster.remove(machine.replica)
                cluster.add_spare()
            case StepKind.LEAVE:
                if not machine.answers or machine.leaving:
                    return False
                self._lose(machine)
                cluster.request_stop(machine.replica, duration=UNIT * (1 + second) * 2)
                if second % 2:
                    cluster.add_spare()
        return True

    def _tear(self, machine: Machine, jobs_done: int) -> None:
        self.cluster.crash(machine.replica, kept=jobs_done)
        counted = self._is_counted(machine)
        machine.disk.tear()
        # An older checkpoint in its place loses nothing; a new folder is another disk.
        if machine.disk.boot() is None and counted:
            self.lost.add(machine.replica)
        self.cluster.start(machine.replica)

    # -- the end -----------------------------------------------------------------------------------------------------

    def finish(self) -> None:
        """Ends all faults: within bounds somebody leads, a new record commits, and every loss settles."""
        cluster = self.cluster
        cluster.cuts.clear()
        for replica, machine in list(cluster.machines.items()):
            machine.frozen = machine.stalled = False
            if machine.leaving:
                # Its time to stop is over; another machine takes its place.
                cluster.remove(replica)
                cluster.add_spare()
            if machine.core is None and not machine.removed:
                cluster.start(replica)
        began = cluster.now
        if not cluster.run(SERVE_TIMEOUT, until=self._commits_new()):
            raise InvariantViolated("a healed cluster serves", f"{self._describe()} within {SERVE_TIMEOUT}")
        if self.lost and not cluster.run(SETTLE_ALL_TIMEOUT - (cluster.now - began), until=self.is_settled):
            raise InvariantViolated(
                "losses settle", f"{sorted(self.lost)} did not within {SETTLE_ALL_TIMEOUT}: {self._describe()}"
            )
        if not cluster.run(CATCH_UP_TIMEOUT, until=self._all_hold_all):
            raise InvariantViolated("everybody catches up", f"not within {CATCH_UP_TIMEOUT}: {self._describe()}")

    def _commits_new(self):
        asked: list[int] = []
        target = self.cluster.invariants.last_committed

        def committed() -> bool:
            leader = self.cluster.leader()
            figures = self.cluster.invariants.figures
            if leader is not None and (not asked or asked[-1] != leader):
                asked.append(leader)
                self.order(leader, 0)
                asked_at.append(figures.get("orders acknowledged", 0))
            return (
                bool(asked)
                and self.cluster.invariants.last_committed > target
                and (figures.get("orders acknowledged", 0) > asked_at[0])
            )

        asked_at: list[int] = []
        return committed

    def _all_hold_all(self) -> bool:
        last_committed = self.cluster.invariants.last_committed
        running = [machine for machine in self.cluster.machines.values() if machine.core is not None]
        return all(machine.core.complete and machine.core.state.offset >= last_committed for machine in running)

    def is_settled(self) -> bool:
        """Whether every loss has settled."""
        self.settle()
        return not self.lost

    def _describe(self) -> str:
        cluster = self.cluster
        cores = [
            f"{each.replica}: {each.core.role} epoch {each.core.epoch} last {each.core.last.offset}"
            for each in cluster.machines.values()
            if each.core is not None
        ]
        known = cluster.invariants
        return f"leader {cluster.leader()}, voters {known.voters}, committed {known.last_committed}, {cores}"


def _believes_to_lead(machine: Machine) -> bool:
    return machine.answers and machine.core.role == LEADER
