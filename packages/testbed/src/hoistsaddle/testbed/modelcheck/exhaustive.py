"""Exhaustive exploration of small state spaces: every order of messages, syncs, timeouts and losses."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.raft.core import LEADER
from hoistsaddle.testbed.modelcheck.clones import key_of
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Packet
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated, upsert_proposal
from hoistsaddle.testbed.modelcheck.machine import Machine

# Longer than any timeout of a core, so that one such step makes all its timers expire.
TIMEOUT = timedelta(seconds=4)
# Variants of a step: its answer stays in flight, or its writes stay unsynced.
ANSWER_LATE, UNSYNCED = "late", "lazy"


class Budget(NamedTuple):
    """How often each kind of event may happen on a path through a space; messages that stay in flight cost nothing."""

    timeouts: int = 0
    crashes: int = 0
    wipes: int = 0
    duplicates: int = 0
    # Answers that are delivered in a separate step, or never.
    late_answers: int = 0
    # Events whose writes are synced in a separate step, or lost in a crash.
    unsynced_writes: int = 0
    orders: int = 0
    reads: int = 0


class Action(NamedTuple):
    """One transition from a state.

    Attributes:
        kind: what happens.
        replica: the machine on which it happens.
        choice: the position of the message in flight, or the number of disk jobs that survive a crash.
        variant: ANSWER_LATE, UNSYNCED, or empty for a complete step.
    """

    kind: str
    replica: int
    choice: int = 0
    variant: str = ""


class Space(NamedTuple):
    """A state space: its initial cluster, its depth, and the budget of events."""

    name: str
    make_cluster: Callable[[InjectedFault], Cluster]
    depth: int
    budget: Budget


class ExplorationResult(NamedTuple):
    """The totals of an exploration, and the violation with the path to it, if any."""

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
    """A reached state, with its remaining budget and the path to it."""

    cluster: Cluster
    budget: Budget
    path: tuple[Action, ...]


def _key_of_machine(machine: Machine) -> int:
    """The hash of a machine's state, cached on the machine, because machines of explored states don't change."""
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
    """A key that is equal for equivalent nodes, independent of the path to them."""
    cluster = node.cluster
    machines = tuple([(replica, _key_of_machine(machine)) for replica, machine in cluster.machines.items()])
    invariants = (tuple(cluster.invariants.committed), tuple(sorted(cluster.invariants.reads.items())))
    return hash((machines, frozenset(cluster.in_flight), invariants, node.budget))


def _actions(node: SearchNode) -> Iterator[Action]:
    """All actions that are possible next."""
    cluster, budget = node.cluster, node.budget
    for number, packet in enumerate(cluster.in_flight):
        if not cluster.can_deliver(packet):
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
            for kept_jobs in {0, len(machine.disk.jobs)}:
                yield Action("crash", replica, kept_jobs)
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
    """The state that an action leads to; the given node stays unchanged.

    Raises:
        InvariantViolated: the action violates an invariant.
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
                action.replica,
                upsert_proposal(request=number, name="one", revision=number, content=f"content-{number}"),
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
    """Delivers a call and its answer in one step, unless the answer is late or waits for a sync."""
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
    """Searches the space breadth first down to its depth; stops at the first violation, which has a shortest path.

    Args:
        space: the space to explore.
        fault: makes the injected fault, if any.
        depth: replaces the depth of the space if it isn't 0.
    """
    depth = depth or space.depth
    root = SearchNode(space.make_cluster(fault()), space.budget, ())
    visited = {_key(root)}
    frontier = [root]
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
                        space.name, level + 1, len(visited), transitions, len(leaders), commits, str(broken), path
                    )
                key = _key(after)
                if key in visited:
                    continue
                visited.add(key)
                following.append(after)
                invariants = after.cluster.invariants
                commits = max(commits, invariants.last_committed)
                leaders.update(invariants.leaders.items())
        frontier = following
    return ExplorationResult(space.name, depth, len(visited), transitions, len(leaders), commits)
