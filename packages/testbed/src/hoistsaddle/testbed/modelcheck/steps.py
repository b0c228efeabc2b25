"""The steps of a walk: what may happen to a modelled cluster, and how many losses it may bear at once."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import LEADER
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Machine, Packet
from hoistsaddle.testbed.modelcheck.invariants import Broken, order

# One unit of a run, and of a clock that moves on by itself.
UNIT = milliseconds(50)
# Machines at once, those that came and went included.
MOST_MACHINES = 9
# Names and versions are few, so that orders meet.
NAMES, VERSIONS, CONTENTS = 2, 6, 2
# What a healed cluster may take to elect a leader and to commit a new record: some rounds of elections, and the
# silence after which a blank disk or an old leader is given up.
SERVED_SPAN = timedelta(seconds=15)
# What it may take until every loss has settled: a voter's long silence, an election, a catch-up.
SETTLED_SPAN = timedelta(seconds=60)
# What a replica that was away may take until it holds all that is committed, with nothing in its way any more.
CAUGHT_UP_SPAN = timedelta(seconds=15)


class Kind(StrEnum):
    RUN = "run"
    DELIVER = "deliver"
    DROP = "drop"
    DOUBLE = "double"
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
    STALL = "stall"
    GO_ON = "go on"
    SPARE = "spare"
    REPLACE = "replace"
    LEAVE = "leave"
    PROPOSE = "propose"
    BATCH = "batch"
    READ = "read"
    ALL_LOSE_POWER = "all lose power"


class Step(NamedTuple):
    """One step. The numbers choose among what there is at that moment, so that any part of a walk is a walk."""

    kind: Kind
    first: int = 0
    second: int = 0

    def __str__(self) -> str:
        return f"{self.kind}({self.first}, {self.second})"


class Walk:
    """Carries out steps on a cluster. Whoever is lost counts until the successor or return has settled."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.tolerance = (cluster.size - 1) // 2
        # Replicas whose disk is lost or going, not settled yet.
        self.lost: set[int] = set()
        self.done: list[Step] = []
        self.passed_over = 0
        self.orders = 0
        self.settled = 0

    # -- what is there ---------------------------------------------------------------------------------------------

    def _pick(self, number: int, *, wanted) -> Machine | None:
        found = [each for each in self.cluster.machines.values() if not each.removed and wanted(each)]
        return found[number % len(found)] if found else None

    def _answering(self, number: int) -> Machine | None:
        return self._pick(number, wanted=lambda each: each.answers)

    def _harmed(self, number: int, second: int) -> Machine | None:
        """Half of all harm is done to whoever leads."""
        leader = self.cluster.leader()
        if leader is not None and second % 2:
            return self.cluster.machines[leader]
        return self._answering(number)

    def _asked(self, first: int, second: int) -> Machine | None:
        """Mostly whoever leads is asked, sometimes one that only takes itself for the leader, or anybody."""
        leader = self.cluster.leader()
        if second % 4 == 0 and (believing := self._pick(first, wanted=_takes_itself_for_leader)):
            return believing
        if second % 4 == 1:
            return self._answering(first)
        return self.cluster.machines[leader] if leader is not None else None

    def _packet(self, number: int) -> Packet | None:
        passing = [packet for packet in self.cluster.flight if self.cluster.can_pass(packet)]
        return passing[number % len(passing)] if passing else None

    def _counts(self, machine: Machine) -> bool:
        """Whether losing this disk is a loss: it votes, or somebody counts on it to."""
        sets = [self.cluster.checks.voters]
        for each in self.cluster.machines.values():
            if each.core is not None:
                sets += each.core.voter_sets()
        return any(voters.get(machine.replica) == machine.disk.incarnation for voters in sets)

    def _may_lose(self, machine: Machine) -> bool:
        return machine.replica in self.lost or not self._counts(machine) or len(self.lost) < self.tolerance

    def _lose(self, machine: Machine) -> None:
        if self._counts(machine):
            self.lost.add(machine.replica)

    def settle(self) -> None:
        """Forgets losses whose return or successor votes and holds all that is committed.

        Until a majority knows that the last change of voters is committed, elections ask the set before it too, and
        who is lost in that set counts on.
        """
        if not self.lost or not self._majority_knows_the_voters():
            return
        checks = self.cluster.checks
        voters, top = checks.voters, checks.top
        machines = self.cluster.machines
        holding = {
            replica
            for replica, incarnation in voters.items()
            if machines[replica].disk.incarnation == incarnation
            and not machines[replica].removed
            and not machines[replica].leaving
            and machines[replica].disk.holds_now(top)
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
        checks, machines = self.cluster.checks, self.cluster.machines
        knowing = 0
        for replica, incarnation in checks.voters.items():
            machine = machines[replica]
            if machine.removed or machine.disk.incarnation != incarnation:
                continue
            newest, core = machine.disk.newest, machine.core
            kept = newest is not None and not newest.catching and newest.committed >= checks.changed_at
            told = core is not None and core.whole and core.high_watermark >= checks.changed_at
            knowing += kept or told
        return knowing * 2 > len(checks.voters)

    # -- steps -------------------------------------------------------------------------------------------------------

    def take(self, step: Step) -> bool:
        """Does the step if it can be done now; the checks raise Broken."""
        self.done.append(step)
        done = self._take(step)
        self.passed_over += not done
        self.settle()
        return done

    def _take(self, step: Step) -> bool:
        cluster, first, second = self.cluster, step.first, step.second
        match step.kind:
            case Kind.RUN:
                cluster.run(UNIT * (1 + first), until=self._settle_on)
            case Kind.ADVANCE:
                cluster.now += UNIT * (1 + first)
            case Kind.DELIVER | Kind.DROP | Kind.DOUBLE:
                return self._message(step.kind, first)
            case Kind.DISK | Kind.TICK | Kind.PROPOSE | Kind.BATCH | Kind.READ:
                return self._work(step.kind, first, second)
            case Kind.CUT | Kind.CUT_ONE_WAY | Kind.CUT_OFF | Kind.HEAL:
                return self._link(step.kind, first, second)
            case Kind.FREEZE | Kind.THAW | Kind.STALL | Kind.GO_ON:
                return self._pause(step.kind, first, second)
            case Kind.SPARE:
                if len(cluster.machines) >= MOST_MACHINES:
                    return False
                cluster.add_spare()
            case Kind.ALL_LOSE_POWER:
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

    def _message(self, kind: Kind, number: int) -> bool:
        packet = self._packet(number)
        if packet is None:
            return False
        if kind != Kind.DOUBLE:
            self.cluster.flight.remove(packet)
        if kind != Kind.DROP:
            self.cluster.deliver(packet)
        return True

    def _work(self, kind: Kind, first: int, second: int) -> bool:
        cluster = self.cluster
        machine = self._answering(first) if kind in (Kind.DISK, Kind.TICK) else self._asked(first, second)
        if machine is None:
            return False
        match kind:
            case Kind.DISK:
                return cluster.do_disk_job(machine.replica)
            case Kind.TICK:
                cluster.tick(machine.replica)
            case Kind.READ:
                cluster.read(machine.replica)
            case Kind.PROPOSE:
                self.order(machine.replica, second)
            case Kind.BATCH:
                for number in range(cluster.pace.checkpoint_records + 2):
                    if machine.answers:
                        self.order(machine.replica, second + number)
                        cluster.run(UNIT * 2, until=self._settle_on)
        return True

    def order(self, replica: int, number: int) -> int:
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

    def _link(self, kind: Kind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == Kind.HEAL:
            cluster.cuts.clear()
            return True
        one = self._harmed(first, second)
        other = self._pick(second, wanted=lambda each: each is not one)
        if one is None or other is None:
            return False
        if kind == Kind.CUT_OFF:
            for replica in cluster.machines:
                cluster.cuts |= {(one.replica, replica), (replica, one.replica)}
            return True
        cluster.cuts.add((one.replica, other.replica))
        if kind == Kind.CUT:
            cluster.cuts.add((other.replica, one.replica))
        return True

    def _pause(self, kind: Kind, first: int, second: int) -> bool:
        if kind in (Kind.FREEZE, Kind.STALL):
            machine = self._harmed(first, second)
        else:
            machine = self._pick(first, wanted=lambda each: each.frozen if kind == Kind.THAW else each.stalled)
        if machine is None:
            return False
        if kind in (Kind.FREEZE, Kind.THAW):
            machine.frozen = kind == Kind.FREEZE
        else:
            machine.stalled = kind == Kind.STALL
        return True

    def _lifecycle(self, kind: Kind, first: int, second: int) -> bool:
        cluster = self.cluster
        if kind == Kind.START:
            machine = self._pick(first, wanted=lambda each: each.core is None)
            if machine is not None:
                cluster.start(machine.replica)
            return machine is not None
        machine = self._harmed(first, second) or self._pick(first, wanted=lambda each: each.core is not None)
        if machine is None:
            return False
        if kind == Kind.CRASH:
            cluster.crash(machine.replica, kept=second)
            return True
        if not self._may_lose(machine) or (
            kind in (Kind.LEAVE, Kind.REPLACE) and len(cluster.machines) >= MOST_MACHINES
        ):
            return False
        match kind:
            case Kind.WIPE:
                self._lose(machine)
                cluster.crash(machine.replica, kept=second)
                cluster.wipe(machine.replica)
                cluster.start(machine.replica)
            case Kind.TEAR:
                self._tear(machine, second)
            case Kind.REPLACE:
                self._lose(machine)
                cluster.remove(machine.replica)
                cluster.add_spare()
            case Kind.LEAVE:
                if not machine.answers or machine.leaving:
                    return False
                self._lose(machine)
                cluster.ask_to_leave(machine.replica, span=UNIT * (1 + second) * 2)
                if second % 2:
                    cluster.add_spare()
        return True

    def _tear(self, machine: Machine, kept: int) -> None:
        self.cluster.crash(machine.replica, kept=kept)
        counted = self._counts(machine)
        machine.disk.tear()
        # An older checkpoint in its place loses nothing; a folder laid anew is another disk.
        if machine.disk.boot() is None and counted:
            self.lost.add(machine.replica)
        self.cluster.start(machine.replica)

    # -- the end -----------------------------------------------------------------------------------------------------

    def finish(self) -> None:
        """Heals everything: within bounds somebody leads, a new record commits, and every loss settles."""
        cluster = self.cluster
        cluster.cuts.clear()
        for replica, machine in list(cluster.machines.items()):
            machine.frozen = machine.stalled = False
            if machine.leaving:
                # Its grace is over; another machine takes its place.
                cluster.remove(replica)
                cluster.add_spare()
            if machine.core is None and not machine.removed:
                cluster.start(replica)
        began = cluster.now
        if not cluster.run(SERVED_SPAN, until=self._commits_new()):
            raise Broken("a healed cluster serves", f"{self._told()} within {SERVED_SPAN}")
        if self.lost and not cluster.run(SETTLED_SPAN - (cluster.now - began), until=self.is_settled):
            raise Broken("losses settle", f"{sorted(self.lost)} did not within {SETTLED_SPAN}: {self._told()}")
        if not cluster.run(CAUGHT_UP_SPAN, until=self._all_hold_all):
            raise Broken("everybody catches up", f"not within {CAUGHT_UP_SPAN}: {self._told()}")

    def _commits_new(self):
        asked: list[int] = []
        target = self.cluster.checks.top

        def committed() -> bool:
            leader = self.cluster.leader()
            figures = self.cluster.checks.figures
            if leader is not None and (not asked or asked[-1] != leader):
                asked.append(leader)
                self.order(leader, 0)
                asked_at.append(figures.get("orders acknowledged", 0))
            return (
                bool(asked)
                and self.cluster.checks.top > target
                and (figures.get("orders acknowledged", 0) > asked_at[0])
            )

        asked_at: list[int] = []
        return committed

    def _all_hold_all(self) -> bool:
        top = self.cluster.checks.top
        running = [machine for machine in self.cluster.machines.values() if machine.core is not None]
        return all(machine.core.whole and machine.core.state.offset >= top for machine in running)

    def is_settled(self) -> bool:
        self.settle()
        return not self.lost

    def _told(self) -> str:
        cluster = self.cluster
        cores = [
            f"{each.replica}: {each.core.standing} epoch {each.core.epoch} last {each.core.last.offset}"
            for each in cluster.machines.values()
            if each.core is not None
        ]
        return f"leader {cluster.leader()}, voters {cluster.checks.voters}, committed {cluster.checks.top}, {cores}"


def _takes_itself_for_leader(machine: Machine) -> bool:
    return machine.answers and machine.core.standing == LEADER
