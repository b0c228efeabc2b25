"""Exhaustive exploration of small spaces of states: every order of messages, syncs, timeouts and losses."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.raft.core import LEADER
from hoistsaddle.testbed.modelcheck.clones import key_of
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Packet
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated, order
from hoistsaddle.testbed.modelcheck.machine import Machine

# Longer than any timeout of a core, so that one such step makes it act.
TIMEOUT = timedelta(seconds=4)
# How a step may be done in part: its answer stays in flight, or its writes stay unsynced.
ANSWER_LATE, UNSYNCED = "late", "lazy"


class Budget(NamedTuple):
    """How often each kind of event may happen on a path through a space; messages that never arrive cost nothing."""

    timeouts: int = 0
    crashes: int = 0
    wipes: int = 0
    duplicates: int = 0
    # Answers that come in a step of their own, or never.
    late_answers: int = 0
    # Events whose writes wait for a step of their own, or are lost with the power.
    unsynced_writes: int = 0
    orders: int = 0
    reads: int = 0


class Action(NamedTuple):
    """One way to go on.

    Attributes:
        kind: what happens.
        replica: on which machine.
        choice: which message, or how many jobs a crash keeps.
        variant: ANSWER_LATE or UNSYNCED for a step done in part.
    """

    kind: str
    replica: int
    choice: int = 0
    variant: str = ""


class Space(NamedTuple):
    """Where it begins, how deep it goes, and what may happen in it."""

    name: str
    begin: Callable[[InjectedFault], Cluster]
    depth: int
    budget: Budget


class ExplorationResult(NamedTuple):
    """What was seen of a space; the violation, if any, with the path to it."""

    name: str
    depth: int
    states: int
    transitions: int
    elections: int
    commits: int
    broken: str = ""
    path: tuple[Action, ...] = ()

    def __str__(self) -> str:
        verdict = f"BROKEN {self.broken} by {[tuple(action) for action in self.path]}" if self.broken else "held"
        return (
            f"{self.name}: depth {self.depth}, {self.states} states, {self.transitions} transitions, "
            f"{self.elections} leaders, up to {self.commits} records committed, {verdict}"
        )


class SearchNode(NamedTuple):
    """One state reached, with what may still happen and the path to it."""

    cluster: Cluster
    budget: Budget
    path: tuple[Action, ...]


def _key_of_machine(machine: Machine) -> int:
    """The hash of a machine's state; kept on it, for a machine of a former state doesn't change."""
    if not machine.key:
        disk = machine.disk
        machine.key = hash(
            (
                key_of(machine.core),
                key_of(disk.newest),
                tuple(disk.log.values()),
                tuple(sorted(disk.checkpoints)),
                key_of(disk.jobs),
                disk.incarnation,
                machine.synced,
                key_of(machine.waiting),
                tuple(sorted(machine.pending_calls.items())),
                machine.generation,
                machine.clock_offset,
            )
        )
    return machine.key


def _key(node: SearchNode) -> int:
    """Equal for nodes that are alike, whatever the path to them."""
    cluster = node.cluster
    machines = tuple([(replica, _key_of_machine(machine)) for replica, machine in cluster.machines.items()])
    invariants = (tuple(cluster.invariants.committed), tuple(sorted(cluster.invariants.reads.items())))
    return hash((machines, frozenset(cluster.in_flight), invariants, node.budget))


def _actions(node: SearchNode) -> Iterator[Action]:
    """Everything that may happen next."""
    cluster, budget = node.cluster, node.budget
    for number, packet in enumerate(cluster.in_flight):
        if not cluster.can_pass(packet):
            continue
        yield Action("deliver", packet.receiver, number)
        if budget.unsynced_writes:
            yield Action("deliver", packet.receiver, number, UNSYNCED)
        if packet.is_call and budget.late_answers:
            yield Action("deliver", packet.receiver, number, ANSWER_LATE)
        if budget.duplicates:
            yield Action("double", packet.receiver, number)
    for replica, machine in cluster.machines.items():
        if machine.core is None:
            continue
        if machine.disk.jobs:
            yield Action("disk", replica)
        if budget.timeouts:
            yield Action("timeout", replica)
        if budget.crashes:
            for jobs_done in {0, len(machine.disk.jobs)}:
                yield Action("crash", replica, jobs_done)
        if budget.wipes:
            yield Action("wipe", replica)
        if machine.core.role == LEADER:
            if budget.orders:
                yield Action("order", replica)
                if budget.unsynced_writes:
                    yield Action("order", replica, 0, UNSYNCED)
            if budget.reads:
                yield Action("read", replica)


_BUDGET_FIELDS = {
    "timeout": "timeouts",
    "crash": "crashes",
    "wipe": "wipes",
    "double": "duplicates",
    "order": "orders",
    "read": "reads",
    ANSWER_LATE: "late_answers",
    UNSYNCED: "unsynced_writes",
}


def _apply_action(node: SearchNode, action: Action) -> SearchNode:
    """The state that an action leads to; the former one stays as it is.

    Raises:
        InvariantViolated: the action breaks a rule.
    """
    packet = node.cluster.in_flight[action.choice] if action.kind in ("deliver", "double") else None
    touching = {action.replica} | ({packet.sender} if packet is not None else set())
    cluster = node.cluster.copy(touching=tuple(touching))
    machine = cluster.machines[action.replica]
    match action.kind:
        case "deliver" | "double":
            if action.kind == "deliver":
                del cluster.in_flight[action.choice]
            _deliver(cluster, packet, action)
        case "timeout":
            machine.clock_offset += TIMEOUT
            cluster.tick(action.replica)
        case "crash" | "wipe":
            cluster.crash(action.replica, kept=action.choice)
            if action.kind == "wipe":
                cluster.wipe(action.replica)
            cluster.start(action.replica)
        case "order":
            number = cluster.tickets
            cluster.propose(
                action.replica, order(request=number, name="one", revision=number, content=f"content-{number}")
            )
        case "read":
            cluster.read(action.replica)
    if action.variant != UNSYNCED:
        cluster.sync_disks(action.replica)
    budget = node.budget
    for name in (action.kind, action.variant):
        if (cost := _BUDGET_FIELDS.get(name)) is not None:
            budget = budget._replace(**{cost: getattr(budget, cost) - 1})
    return SearchNode(cluster, budget, (*node.path, action))


def _deliver(cluster: Cluster, packet: Packet, action: Action) -> None:
    """A call and its answer are one step, unless the answer comes late or waits for a sync that does."""
    before = set(cluster.in_flight)
    cluster.deliver(packet)
    if action.variant == UNSYNCED:
        return
    cluster.sync_disks(packet.receiver)
    if not packet.is_call or action.variant == ANSWER_LATE:
        return
    for answer in [each for each in cluster.in_flight if each not in before and not each.is_call]:
        if (answer.receiver, answer.generation, answer.number) == (packet.sender, packet.generation, packet.number):
            cluster.in_flight.remove(answer)
            cluster.deliver(answer)
            cluster.sync_disks(packet.sender)


def explore(space: Space, *, fault: Callable[[], InjectedFault] = InjectedFault, depth: int = 0) -> ExplorationResult:
    """Goes through the space breadth first, down to its depth; ends at the first violation, which is a shortest one.

    Args:
        space: what to explore.
        fault: makes the injected fault, if any.
        depth: instead of the space's own.
    """
    depth = depth or space.depth
    begin = SearchNode(space.begin(fault()), space.budget, ())
    known = {_key(begin)}
    frontier = [begin]
    transitions = commits = 0
    leaders: set[tuple[int, tuple[int, int]]] = set()
    for level in range(depth):
        following = []
        for node in frontier:
            for action in _actions(node):
                transitions += 1
                try:
                    after = _apply_action(node, action)
                except InvariantViolated as broken:
                    path = (*node.path, action)
                    return ExplorationResult(
                        space.name, level + 1, len(known), transitions, len(leaders), commits, str(broken), path
                    )
                key = _key(after)
                if key in known:
                    continue
                known.add(key)
                following.append(after)
                invariants = after.cluster.invariants
                commits = max(commits, invariants.last_committed)
                leaders.update(invariants.leaders.items())
        frontier = following
    return ExplorationResult(space.name, depth, len(known), transitions, len(leaders), commits)
