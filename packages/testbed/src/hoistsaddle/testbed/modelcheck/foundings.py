"""Model check of foundings: every order of starts, kills, lost disks and lost messages while a mesh is founded.

The decisions are made by the production code (`registry/bootstrap.py`); disks, messages, elections and the log are
modelled. Two properties are checked. After every step, at most one mesh holds committed records. From every state the
site comes up once faults stop: all replicas belong to one mesh with a logged record.
"""

import copy
import random
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.tolerated_losses import ToleratedLosses
from hoistsaddle.registry.bootstrap import (
    Bootstrap,
    BootstrapCommand,
    FoundReplicas,
    InspectReplicas,
    LeaveFounding,
    OwnReplica,
)
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer, FoundingStatusCall

# The fault-free period after each path: its time step, and the time within which the site must come up.
RECOVERY_STEP = milliseconds(50)
RECOVERY_TIMEOUT = timedelta(seconds=60)
# Time spans of a wait step: one shorter and one longer than every wait of the bootstrap.
WAIT_SPANS = (milliseconds(600), milliseconds(3300))
CALL_TIMEOUT = milliseconds(500)
REFUSED = "refused"


class FoundingViolation(Exception):
    """A property of foundings is violated."""


class ModelledDisk:
    """A replica's disk: its incarnation, the mesh it belongs to, and whether it holds a logged record."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.call: BootstrapCall | None = None
        self.logged = False
        self.first_seeds: tuple[int, ...] = ()

    @property
    def mesh(self) -> str:
        """The id of the mesh, empty for a blank disk."""
        return "" if self.call is None else self.call.mesh


class ModelledMachine:
    """The machine of a controller: its disk, and its bootstrap while the process runs."""

    def __init__(self, disk: ModelledDisk) -> None:
        self.disk = disk
        self.bootstrap: Bootstrap | None = None
        self.generation = 0
        # Calls of the current round that are neither answered nor timed out.
        self.pending_calls = 0
        # The bootstrap call that the current round sends.
        self.bootstrap_call: BootstrapCall | None = None
        self.was_started = False


class Message(NamedTuple):
    """A call or an answer in flight; an answer is delivered only to the generation that made the call."""

    caller: int
    generation: int
    target: int
    content: tuple
    is_call: bool


class Step(NamedTuple):
    """One step of a path, with its replica and its details."""

    kind: str
    replica: int = 0
    detail: Any = None


class FoundingSpace(NamedTuple):
    """The initial state, the budget of faults and the depth of an exploration."""

    name: str
    controllers: int
    seeds: tuple[int, ...]
    losses: int
    # Whether all processes are running and have recorded the first start at the beginning.
    started: bool
    kills: int
    wipes: int
    cuts: int
    depth: int


class FoundingExploration(NamedTuple):
    """The result of an exploration; `broken` is empty if no property was violated."""

    space: str
    depth: int
    states: int
    broken: str = ""
    path: tuple[Step, ...] = ()


class FoundingModel:
    """All controllers of a first start, and the messages in flight between them."""

    def __init__(self, space: FoundingSpace) -> None:
        self.space = space
        self.now = timedelta(seconds=100)
        self.incarnations = 0
        self.machines = {replica: ModelledMachine(self._new_disk()) for replica in range(1, space.controllers + 1)}
        self.messages: list[Message] = []
        self.kills, self.wipes, self.cuts = space.kills, space.wipes, space.cuts
        # Replicas that are partitioned from all others.
        self.isolated: frozenset[int] = frozenset()
        # The voters of each mesh, and the meshes in which a majority of the voters logged a record.
        self.voters: dict[str, dict[int, str]] = {}
        self.committed: set[str] = set()
        if space.started:
            for replica in self.machines:
                self.start(replica)

    def _new_disk(self) -> ModelledDisk:
        self.incarnations += 1
        return ModelledDisk(f"disk-{self.incarnations}")

    # -- processes ---------------------------------------------------------------------------------------------------

    def start(self, replica: int) -> None:
        """Starts a process; the first process of a machine records the first start on its disk."""
        machine = self.machines[replica]
        if not machine.was_started:
            machine.disk.first_seeds = self.space.seeds
        machine.was_started = True
        machine.generation += 1
        machine.pending_calls = 0
        machine.bootstrap = Bootstrap(
            replica=replica,
            first_seeds=machine.disk.first_seeds,
            seeds=self.space.seeds,
            tolerated=ToleratedLosses(machines=self.space.losses),
            now=self.now,
        )

    def kill(self, replica: int) -> None:
        """Kills a process; messages that it sent stay in flight."""
        self.machines[replica].bootstrap = None

    def wipe(self, replica: int) -> None:
        """Kills a process and replaces its disk by a blank one."""
        self.kill(replica)
        self.machines[replica].was_started = True
        self.machines[replica].disk = self._new_disk()

    # -- rounds and messages -----------------------------------------------------------------------------------------

    def own_replica(self, replica: int) -> OwnReplica:
        """The state of the replica that is passed to the bootstrap on its machine."""
        disk = self.machines[replica].disk
        # A replica learns late, and anew after each start, that records are committed; in this model it never does.
        return OwnReplica(disk.mesh, disk.call, disk.logged)

    def round(self, replica: int) -> None:
        """Starts a round of a bootstrap and puts its calls in flight."""
        machine = self.machines[replica]
        if machine.bootstrap is None or machine.pending_calls:
            return
        for command in machine.bootstrap.handle(self.own_replica(replica), now=self.now):
            self._execute(replica, command)

    def _execute(self, replica: int, command: BootstrapCommand) -> None:
        match command:
            case InspectReplicas(replicas=targets):
                self._send(replica, targets, FoundingStatusCall(str(replica)))
            case FoundReplicas(replicas=targets, call=call):
                self.voters[call.mesh] = dict(call.voters)
                self.machines[replica].bootstrap_call = call
                self._send(replica, targets, call)
            case LeaveFounding(with_records=with_records):
                self.leave(self.machines[replica].disk, with_records=with_records)

    def leave(self, disk: ModelledDisk, *, with_records: bool) -> None:
        """Leaves a founding, as a store does: only without records, unless `with_records` is set."""
        if with_records or not disk.logged:
            disk.call, disk.logged = None, False

    def _send(self, caller: int, targets: tuple[int, ...], content: tuple) -> None:
        machine = self.machines[caller]
        for target in targets:
            machine.pending_calls += 1
            self.messages.append(Message(caller, machine.generation, target, content, True))

    def deliver(self, message: Message) -> None:
        """Removes a message from those in flight and delivers it."""
        if self.is_cut(message.caller, message.target):
            self.lose(message)
            return
        self.messages.remove(message)
        if message.is_call:
            answer = self._answer(message.target, message.content)
            if answer is None:
                self._call_ended(message)
            else:
                self.messages.append(message._replace(content=answer, is_call=False))
            return
        machine = self.machines[message.caller]
        if machine.generation != message.generation or machine.bootstrap is None:
            return
        match message.content:
            case FoundingStatusAnswer() as status:
                machine.bootstrap.inspected(status, now=self.now)
            case BootstrapAnswer() as answer:
                machine.bootstrap.acknowledged(message.target, machine.bootstrap_call, answer)
        machine.pending_calls -= 1

    def is_cut(self, one: int, other: int) -> bool:
        """Whether two replicas are partitioned from each other."""
        return one != other and not self.isolated.isdisjoint((one, other))

    def lose(self, message: Message) -> None:
        """Loses a message: its caller waits until the call times out."""
        self.messages.remove(message)
        self.now += CALL_TIMEOUT
        self._call_ended(message)

    def _call_ended(self, message: Message) -> None:
        machine = self.machines[message.caller]
        if machine.generation == message.generation:
            machine.pending_calls -= 1

    def _answer(self, replica: int, call: tuple) -> tuple | None:
        machine = self.machines[replica]
        if machine.bootstrap is None:
            return None
        disk = machine.disk
        if isinstance(call, BootstrapCall):
            return BootstrapAnswer(self.bootstrap_error(replica, call), disk.mesh, disk.incarnation)
        seeds = disk.first_seeds or machine.bootstrap.known
        return FoundingStatusAnswer(disk.mesh, replica, disk.incarnation, seeds, bool(disk.first_seeds))

    def bootstrap_error(self, replica: int, call: BootstrapCall) -> str:
        """The error of a store for a bootstrap call; it accepts one call, and only one that names its incarnation."""
        disk = self.machines[replica].disk
        if disk.call is not None:
            return "" if disk.mesh == call.mesh else REFUSED
        if call.voters.get(replica) != disk.incarnation:
            return REFUSED
        disk.call = call
        return ""

    # -- the log -----------------------------------------------------------------------------------------------------

    def _running(self, mesh: str) -> list[int]:
        return [
            replica
            for replica, machine in self.machines.items()
            if machine.bootstrap is not None and machine.disk.mesh == mesh
        ]

    def _voting(self, mesh: str) -> list[int]:
        voters = self.voters[mesh]
        return [
            replica for replica in self._running(mesh) if voters.get(replica) == self.machines[replica].disk.incarnation
        ]

    def can_lead(self, replica: int) -> bool:
        """Whether a replica can be elected: a majority of its mesh's voters runs, and none of them has a longer log."""
        disk = self.machines[replica].disk
        if self.machines[replica].bootstrap is None or disk.call is None:
            return False
        voting = [other for other in self._voting(disk.mesh) if not self.is_cut(replica, other)]
        with_more_records = [other for other in voting if self.machines[other].disk.logged and not disk.logged]
        return replica in voting and len(voting) * 2 > len(disk.call.voters) and not with_more_records

    def lead(self, replica: int) -> None:
        """Elects a replica, which logs a record."""
        self._log(replica)

    def replicate(self, leader: int, follower: int) -> None:
        """A follower fetches the leader's record; a replica with a blank disk joins the leader's mesh by it."""
        self.machines[follower].disk.call = self.machines[leader].disk.call
        self._log(follower)

    def can_replicate(self, leader: int, follower: int) -> bool:
        """Whether a follower can fetch from a replica that can lead."""
        source, target = self.machines[leader], self.machines[follower]
        if source.bootstrap is None or target.bootstrap is None or target.disk.logged or not source.disk.logged:
            return False
        if self.is_cut(leader, follower) or not self.can_lead(leader):
            return False
        # A blank disk that isn't a voter of the mesh fetches only committed records.
        joins = not target.disk.mesh and source.disk.mesh in self.committed
        is_named = not target.disk.mesh and self.voters[source.disk.mesh].get(follower) == target.disk.incarnation
        return target.disk.mesh == source.disk.mesh or joins or is_named

    def _log(self, replica: int) -> None:
        disk = self.machines[replica].disk
        disk.logged = True
        voters = self.voters[disk.mesh]
        holders = [
            each
            for each, incarnation in voters.items()
            if self.machines[each].disk.incarnation == incarnation and self.machines[each].disk.logged
        ]
        if len(holders) * 2 > len(voters):
            self.committed.add(disk.mesh)

    # -- properties --------------------------------------------------------------------------------------------------

    def check(self) -> None:
        """Raises FoundingViolation if two meshes hold committed records."""
        meshes = {machine.disk.mesh for machine in self.machines.values() if machine.disk.logged} & self.committed
        if len(meshes) > 1:
            raise FoundingViolation(f"two meshes hold committed records: {sorted(meshes)}")

    def has_lost_majority(self) -> bool:
        """Whether a mesh with records has lost a majority of its voters' disks, so that it can't come up again."""
        for mesh in {machine.disk.mesh for machine in self.machines.values() if machine.disk.logged}:
            voters = self.voters[mesh]
            remaining = sum(self.machines[each].disk.incarnation == name for each, name in voters.items())
            if remaining * 2 <= len(voters):
                return True
        return False

    def check_recovery(self) -> None:
        """Runs without faults; raises FoundingViolation if the site doesn't come up within RECOVERY_TIMEOUT."""
        if self.has_lost_majority():
            return
        self.isolated = frozenset()
        for replica, machine in self.machines.items():
            if machine.bootstrap is None:
                self.start(replica)
        end = self.now + RECOVERY_TIMEOUT
        while self.now < end:
            self.now += RECOVERY_STEP
            for replica in self.machines:
                self.round(replica)
            while self.messages:
                self.deliver(self.messages[0])
            self._advance_log()
            self.check()
            if self._is_up():
                return
        raise FoundingViolation(f"never up: {self.describe()}")

    def _advance_log(self) -> None:
        leaders = [replica for replica in self.machines if self.can_lead(replica)]
        for leader in leaders[:1]:
            self.lead(leader)
        for leader in leaders:
            for follower in self.machines:
                if self.can_replicate(leader, follower):
                    self.replicate(leader, follower)

    def _is_up(self) -> bool:
        disks = [machine.disk for machine in self.machines.values()]
        return all(disk.logged for disk in disks) and len({disk.mesh for disk in disks}) == 1

    def describe(self) -> str:
        """The disks of all replicas, for error messages."""
        return "; ".join(
            f"{replica}: {machine.disk.incarnation} in {machine.disk.mesh or 'no mesh'}"
            f"{' with records' if machine.disk.logged else ''}"
            for replica, machine in self.machines.items()
        )

    def key(self) -> Any:
        """A key that is equal for equivalent models."""
        return (
            tuple(self._key_of(machine) for machine in self.machines.values()),
            tuple(self.messages),
            frozenset(self.committed),
            (self.kills, self.wipes, self.cuts, self.isolated),
        )

    def _key_of(self, machine: ModelledMachine) -> Any:
        disk = machine.disk
        disk_key = (disk.incarnation, disk.mesh, disk.logged, disk.first_seeds, machine.was_started)
        bootstrap = machine.bootstrap
        if bootstrap is None:
            return disk_key
        times = ("started_at", "last_round_at", "_allowed_since", "_held_since", "_majority_at")
        ages = tuple(None if (at := getattr(bootstrap, name)) is None else self.now - at for name in times)
        answer_ages = tuple(sorted((replica, self.now - at) for replica, at in bootstrap._answered_at.items()))
        observed = (tuple(sorted(bootstrap._blank.items())), bootstrap._mesh_seen, bootstrap._proposal, bootstrap.known)
        founding = (
            bootstrap._is_founder,
            frozenset(bootstrap._acknowledged),
            frozenset(bootstrap._in_other_mesh),
            machine.pending_calls,
        )
        return (disk_key, ages, answer_ages, observed, founding)

    # -- steps -------------------------------------------------------------------------------------------------------

    def steps(self) -> Iterator[Step]:
        """The steps that are possible next in an exploration; rounds are complete and reach a set of replicas."""
        for replica, machine in self.machines.items():
            yield from self._steps_of(replica, machine)
        for span in WAIT_SPANS:
            yield Step("wait", 0, span)

    def _steps_of(self, replica: int, machine: ModelledMachine) -> Iterator[Step]:
        if machine.bootstrap is None:
            yield Step("start", replica)
            if not machine.was_started and self.kills:
                yield Step("miss", replica)
        else:
            if machine.bootstrap.active:
                for reach in ("all", "self", "others"):
                    yield Step("round", replica, reach)
            if self.kills:
                yield Step("kill", replica)
        if self.wipes and machine.was_started:
            yield Step("wipe", replica)
        if replica in self.isolated:
            yield Step("join", replica)
        elif self.cuts:
            yield Step("cut", replica)
        if not machine.disk.logged and self.can_lead(replica):
            yield Step("lead", replica)
        for follower in self.machines:
            if self.can_replicate(replica, follower):
                yield Step("replicate", replica, follower)

    def take(self, step: Step) -> None:
        """Executes one step; raises FoundingViolation if a property is violated afterwards."""
        match step:
            case Step("start", replica):
                self.start(replica)
            case Step("miss", replica):
                self.kills -= 1
                self.machines[replica].was_started = True
            case Step("kill", replica):
                self.kills -= 1
                self.kill(replica)
            case Step("wipe", replica):
                self.wipes -= 1
                self.wipe(replica)
            case Step("cut", replica):
                self.cuts -= 1
                self.isolated |= {replica}
            case Step("join", replica):
                self.isolated -= {replica}
            case Step("begin round", replica):
                self.round(replica)
            case Step("round", replica, reach):
                self._full_round(replica, reach)
            case Step("wait", _, span):
                self.now += span
            case Step("lead", replica):
                self.lead(replica)
            case Step("replicate", replica, follower):
                self.replicate(replica, follower)
            case Step("deliver", _, position):
                self.deliver(self.messages[position])
            case Step("lose", _, position):
                self.lose(self.messages[position])
        self.check()

    def _full_round(self, replica: int, reach: str) -> None:
        self.round(replica)
        for message in [each for each in self.messages if each.caller == replica]:
            to_itself = message.target == replica
            if reach == "all" or (reach == "self") == to_itself:
                self.deliver(message)
        for message in [each for each in self.messages if each.caller == replica]:
            if message.is_call:
                self.messages.remove(message)
                self._call_ended(message)
            else:
                self.deliver(message)

    def message_steps(self) -> Iterator[Step]:
        """The steps that are possible next in a walk; each message is delivered or lost separately."""
        for step in self.steps():
            if step.kind != "round":
                yield step
            elif step.detail == "all" and not self.machines[step.replica].pending_calls:
                yield Step("begin round", step.replica)
        for position in range(len(self.messages)):
            yield Step("deliver", 0, position)
            yield Step("lose", 0, position)


MakeModel = Callable[[FoundingSpace], FoundingModel]

# Three seeds of which one may be lost, with no process or all processes started; five controllers, three of them seeds;
# two seeds of which none may be lost.
FOUNDING_SPACES = (
    FoundingSpace("three, none started", 3, (1, 2, 3), 1, False, kills=2, wipes=1, cuts=0, depth=5),
    FoundingSpace("three, all started", 3, (1, 2, 3), 1, True, kills=1, wipes=1, cuts=1, depth=4),
    FoundingSpace("five, three of them seeds", 5, (1, 2, 3), 1, True, kills=1, wipes=1, cuts=0, depth=3),
    FoundingSpace("two seeds", 2, (1, 2), 0, False, kills=2, wipes=1, cuts=1, depth=6),
)


def explore_foundings(space: FoundingSpace, make: MakeModel = FoundingModel) -> FoundingExploration:
    """Explores all paths of a space up to its depth, and checks that the site can come up from each state."""
    seen: set[Any] = set()
    frontier: deque[tuple[FoundingModel, tuple[Step, ...]]] = deque([(make(space), ())])
    while frontier:
        model, path = frontier.popleft()
        key = model.key()
        if key in seen:
            continue
        seen.add(key)
        step = None
        try:
            if len(path) < space.depth:
                for step in model.steps():
                    following = copy.deepcopy(model)
                    following.take(step)
                    frontier.append((following, (*path, step)))
            step = None
            copy.deepcopy(model).check_recovery()
        except FoundingViolation as broken:
            return FoundingExploration(
                space.name, space.depth, len(seen), str(broken), (*path, *([step] if step else []))
            )
    return FoundingExploration(space.name, space.depth, len(seen))


# One more than the most steps of a walk.
WALK_STEPS = 160
# The weights of steps, 1 by default: high for the regular operation, low for faults.
WEIGHTS = {"begin round": 6.0, "deliver": 10.0, "start": 4.0, "wait": 1.5, "lead": 2.0, "replicate": 2.0}
WEIGHTS |= dict.fromkeys(("kill", "wipe", "miss", "cut", "join", "lose"), 0.3)
# Spaces of walks, with more kills and wipes than an exploration could cover.
WALK_SPACES = (
    FoundingSpace("walk of three", 3, (1, 2, 3), 1, False, kills=5, wipes=2, cuts=3, depth=WALK_STEPS),
    FoundingSpace("walk of five", 5, (1, 2, 3), 1, False, kills=5, wipes=2, cuts=3, depth=WALK_STEPS),
    FoundingSpace("walk of five, two may be lost", 5, (1, 2, 3), 2, False, kills=6, wipes=2, cuts=3, depth=WALK_STEPS),
)


def walk_foundings(space: FoundingSpace, *, seeds: range, make: MakeModel = FoundingModel) -> FoundingExploration:
    """Plays one random walk for each seed, message by message, and checks that the site comes up after each."""
    for seed in seeds:
        rng = random.Random(f"founding {space.name} {seed}")
        model = make(space)
        path: list[Step] = []
        try:
            for _ in range(rng.randrange(WALK_STEPS)):
                steps = list(model.message_steps())
                [step] = rng.choices(steps, [WEIGHTS.get(each.kind, 1.0) for each in steps])
                path.append(step)
                model.take(step)
            model.check_recovery()
        except FoundingViolation as broken:
            return FoundingExploration(f"{space.name}, seed {seed}", len(path), len(seeds), str(broken), tuple(path))
    return FoundingExploration(space.name, space.depth, len(seeds))
