"""Model check of foundings: every order of starts, kills, lost disks and lost messages while a mesh is founded.

The decisions are the product's own (`registry/bootstrap.py`); disks, messages, elections and the log are modelled. Two
things are checked. At every step no two meshes hold anything that was committed. From every state the site comes up
once it is left alone: all replicas belong to one mesh with a logged record.
"""

import copy
import random
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.registry.bootstrap import (
    Bootstrap,
    BootstrapCommand,
    FoundReplicas,
    InspectReplicas,
    LeaveFounding,
    OwnReplica,
)
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer, FoundingStatusCall

# Of the calm that follows each path: a step of time, and how much of it may pass until the site is up.
CALM_STEP = milliseconds(50)
CALM_SPAN = timedelta(seconds=60)
# Time that passes at once: less than any wait of the bootstrap, and more than each.
SPANS = (milliseconds(600), milliseconds(3300))
CALL_TIMEOUT = milliseconds(500)
REFUSED = "refused"


class FoundingBroken(Exception):
    """What must hold of foundings doesn't."""


class ModelledDisk:
    """A replica's disk: its incarnation, the mesh it belongs to, and whether anything is logged."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.call: BootstrapCall | None = None
        self.logged = False
        self.first_seeds: tuple[int, ...] = ()

    @property
    def mesh(self) -> str:
        """The mesh's id, empty for a blank disk."""
        return "" if self.call is None else self.call.mesh


class ModelledMachine:
    """A controller: its disk, and its bootstrap while its process runs."""

    def __init__(self, disk: ModelledDisk) -> None:
        self.disk = disk
        self.bootstrap: Bootstrap | None = None
        self.generation = 0
        # Calls of the round under way that are not answered or given up.
        self.waiting = 0
        # The founding that the round under way tells.
        self.called: BootstrapCall | None = None
        self.was_started = False


class Message(NamedTuple):
    """A call or an answer in flight; an answer belongs to the generation that called."""

    caller: int
    generation: int
    target: int
    content: tuple
    is_call: bool


class Step(NamedTuple):
    """One thing that happens."""

    kind: str
    replica: int = 0
    detail: Any = None


class FoundingSpace(NamedTuple):
    """What may happen in an exploration."""

    name: str
    controllers: int
    seeds: tuple[int, ...]
    losses: int
    # Whether all processes run, and have noted the first start, as it begins.
    started: bool
    kills: int
    wipes: int
    cuts: int
    depth: int


class FoundingExploration(NamedTuple):
    """What an exploration came to; `broken` is empty if everything held."""

    space: str
    depth: int
    states: int
    broken: str = ""
    path: tuple[Step, ...] = ()


class FoundingModel:
    """All controllers of a first start, and what is in flight between them."""

    def __init__(self, space: FoundingSpace) -> None:
        self.space = space
        self.now = timedelta(seconds=100)
        self.incarnations = 0
        self.machines = {replica: ModelledMachine(self._new_disk()) for replica in range(1, space.controllers + 1)}
        self.messages: list[Message] = []
        self.kills, self.wipes, self.cuts = space.kills, space.wipes, space.cuts
        # Replicas that neither reach another one nor are reached.
        self.isolated: frozenset[int] = frozenset()
        # Voters of each mesh, and the meshes in which a majority of them logged something.
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
        """Starts a process; the first one of its machine is told of the first start and notes it."""
        machine = self.machines[replica]
        if not machine.was_started:
            machine.disk.first_seeds = self.space.seeds
        machine.was_started = True
        machine.generation += 1
        machine.waiting = 0
        machine.bootstrap = Bootstrap(
            replica=replica,
            first_seeds=machine.disk.first_seeds,
            seeds=self.space.seeds,
            losses=self.space.losses,
            now=self.now,
        )

    def kill(self, replica: int) -> None:
        """Ends a process; what it sent goes on."""
        self.machines[replica].bootstrap = None

    def wipe(self, replica: int) -> None:
        """Ends a process and loses its disk."""
        self.kill(replica)
        self.machines[replica].was_started = True
        self.machines[replica].disk = self._new_disk()

    # -- rounds and messages -----------------------------------------------------------------------------------------

    def own_replica(self, replica: int) -> OwnReplica:
        """What a bootstrap is told of the replica beside it."""
        disk = self.machines[replica].disk
        # That something is committed is learnt late, and again after each start: here never.
        return OwnReplica(disk.mesh, disk.call, disk.logged)

    def round(self, replica: int) -> None:
        """One round of a bootstrap: its calls are in flight afterwards."""
        machine = self.machines[replica]
        if machine.bootstrap is None or machine.waiting:
            return
        for command in machine.bootstrap.handle(self.own_replica(replica), now=self.now):
            self._execute(replica, command)

    def _execute(self, replica: int, command: BootstrapCommand) -> None:
        match command:
            case InspectReplicas(replicas=targets):
                self._send(replica, targets, FoundingStatusCall(str(replica)))
            case FoundReplicas(replicas=targets, call=call):
                self.voters[call.mesh] = dict(call.voters)
                self.machines[replica].called = call
                self._send(replica, targets, call)
            case LeaveFounding(with_records=with_records):
                self.leave(self.machines[replica].disk, with_records=with_records)

    def leave(self, disk: ModelledDisk, *, with_records: bool) -> None:
        """What a store does when it is to leave its founding."""
        if with_records or not disk.logged:
            disk.call, disk.logged = None, False

    def _send(self, caller: int, targets: tuple[int, ...], content: tuple) -> None:
        machine = self.machines[caller]
        for target in targets:
            machine.waiting += 1
            self.messages.append(Message(caller, machine.generation, target, content, True))

    def deliver(self, message: Message) -> None:
        """Takes a message out of flight and lets it arrive."""
        if self.is_cut(message.caller, message.target):
            self.lose(message)
            return
        self.messages.remove(message)
        if message.is_call:
            answer = self._answer(message.target, message.content)
            if answer is None:
                self._conclude(message)
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
                machine.bootstrap.acknowledged(message.target, machine.called, answer)
        machine.waiting -= 1

    def is_cut(self, one: int, other: int) -> bool:
        """Whether nothing passes between two replicas."""
        return one != other and not self.isolated.isdisjoint((one, other))

    def lose(self, message: Message) -> None:
        """Loses a message: its caller waits until the time-out."""
        self.messages.remove(message)
        self.now += CALL_TIMEOUT
        self._conclude(message)

    def _conclude(self, message: Message) -> None:
        machine = self.machines[message.caller]
        if machine.generation == message.generation:
            machine.waiting -= 1

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
        """What a store does with a founding: it takes one, under the incarnation that is named."""
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
        """Whether a replica would be elected: a majority of its mesh's voters runs, and none of them holds more."""
        disk = self.machines[replica].disk
        if self.machines[replica].bootstrap is None or disk.call is None:
            return False
        voting = [other for other in self._voting(disk.mesh) if not self.is_cut(replica, other)]
        has_more = [other for other in voting if self.machines[other].disk.logged and not disk.logged]
        return replica in voting and len(voting) * 2 > len(disk.call.voters) and not has_more

    def lead(self, replica: int) -> None:
        """Elects a replica: it logs a record."""
        self._log(replica)

    def replicate(self, leader: int, follower: int) -> None:
        """A follower fetches the leader's record; a blank one joins the leader's mesh by it."""
        self.machines[follower].disk.call = self.machines[leader].disk.call
        self._log(follower)

    def can_replicate(self, leader: int, follower: int) -> bool:
        """Whether a follower would fetch from a replica that leads."""
        one, other = self.machines[leader], self.machines[follower]
        if one.bootstrap is None or other.bootstrap is None or other.disk.logged or not one.disk.logged:
            return False
        if self.is_cut(leader, follower) or not self.can_lead(leader):
            return False
        # A blank disk that the mesh doesn't name takes only what is committed.
        joins = not other.disk.mesh and one.disk.mesh in self.committed
        named = not other.disk.mesh and self.voters[one.disk.mesh].get(follower) == other.disk.incarnation
        return other.disk.mesh == one.disk.mesh or joins or named

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

    # -- what must hold ----------------------------------------------------------------------------------------------

    def check(self) -> None:
        """Raises FoundingBroken if two meshes hold something committed."""
        held = {machine.disk.mesh for machine in self.machines.values() if machine.disk.logged} & self.committed
        if len(held) > 1:
            raise FoundingBroken(f"two meshes hold committed records: {sorted(held)}")

    def lost_its_majority(self) -> bool:
        """Whether more disks of a mesh with records went than may be lost: it rightly never comes up again."""
        for mesh in {machine.disk.mesh for machine in self.machines.values() if machine.disk.logged}:
            voters = self.voters[mesh]
            there = sum(self.machines[each].disk.incarnation == name for each, name in voters.items())
            if there * 2 <= len(voters):
                return True
        return False

    def come_up(self) -> None:
        """Leaves everything alone for a while; raises FoundingBroken if the site isn't up then."""
        if self.lost_its_majority():
            return
        self.isolated = frozenset()
        for replica, machine in self.machines.items():
            if machine.bootstrap is None:
                self.start(replica)
        end = self.now + CALM_SPAN
        while self.now < end:
            self.now += CALM_STEP
            for replica in self.machines:
                self.round(replica)
            while self.messages:
                self.deliver(self.messages[0])
            self._advance_log()
            self.check()
            if self._is_up():
                return
        raise FoundingBroken(f"never up: {self.describe()}")

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
        """All disks, for people."""
        return "; ".join(
            f"{replica}: {machine.disk.incarnation} in {machine.disk.mesh or 'no mesh'}"
            f"{' with records' if machine.disk.logged else ''}"
            for replica, machine in self.machines.items()
        )

    def key(self) -> Any:
        """Something equal for models that are alike."""
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
        heard = tuple(sorted((replica, self.now - at) for replica, at in bootstrap._answered_at.items()))
        seen = (tuple(sorted(bootstrap._blank.items())), bootstrap._mesh_seen, bootstrap._proposal, bootstrap.known)
        told = (
            bootstrap._is_founder,
            frozenset(bootstrap._acknowledged),
            frozenset(bootstrap._in_other_mesh),
            machine.waiting,
        )
        return (disk_key, ages, heard, seen, told)

    # -- steps -------------------------------------------------------------------------------------------------------

    def steps(self) -> Iterator[Step]:
        """What may happen next in an exploration: rounds are complete, with the replicas they reach."""
        for replica, machine in self.machines.items():
            yield from self._steps_of(replica, machine)
        for span in SPANS:
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
        """Lets one step happen; raises FoundingBroken if what must hold doesn't afterwards."""
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
            case Step("deliver", _, place):
                self.deliver(self.messages[place])
            case Step("lose", _, place):
                self.lose(self.messages[place])
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
                self._conclude(message)
            else:
                self.deliver(message)

    def fine_steps(self) -> Iterator[Step]:
        """What may happen next in a walk: each message by itself."""
        for step in self.steps():
            if step.kind != "round":
                yield step
            elif step.detail == "all" and not self.machines[step.replica].waiting:
                yield Step("begin round", step.replica)
        for place in range(len(self.messages)):
            yield Step("deliver", 0, place)
            yield Step("lose", 0, place)


MakeModel = Callable[[FoundingSpace], FoundingModel]

# Three seeds of which one may be lost, from the first process on or with all of them running; one seed more than the
# three; nothing that may be lost.
FOUNDING_SPACES = (
    FoundingSpace("three, none started", 3, (1, 2, 3), 1, False, kills=2, wipes=1, cuts=0, depth=5),
    FoundingSpace("three, all started", 3, (1, 2, 3), 1, True, kills=1, wipes=1, cuts=1, depth=4),
    FoundingSpace("five, three of them seeds", 5, (1, 2, 3), 1, True, kills=1, wipes=1, cuts=0, depth=3),
    FoundingSpace("two seeds", 2, (1, 2), 0, False, kills=2, wipes=1, cuts=1, depth=6),
)


def explore_foundings(space: FoundingSpace, make: MakeModel = FoundingModel) -> FoundingExploration:
    """Goes through all paths of a space up to its depth, and leaves each state alone until the site is up."""
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
            copy.deepcopy(model).come_up()
        except FoundingBroken as broken:
            return FoundingExploration(
                space.name, space.depth, len(seen), str(broken), (*path, *([step] if step else []))
            )
    return FoundingExploration(space.name, space.depth, len(seen))


# Steps of a walk, at the most.
WALK_STEPS = 160
# How much more often than the others some steps come: what goes on by itself, and what strikes.
WEIGHTS = {"begin round": 6.0, "deliver": 10.0, "start": 4.0, "wait": 1.5, "lead": 2.0, "replicate": 2.0}
WEIGHTS |= dict.fromkeys(("kill", "wipe", "miss", "cut", "join", "lose"), 0.3)
# Spaces of walks: more may be killed and lost than an exploration bears.
WALK_SPACES = (
    FoundingSpace("walk of three", 3, (1, 2, 3), 1, False, kills=5, wipes=2, cuts=3, depth=WALK_STEPS),
    FoundingSpace("walk of five", 5, (1, 2, 3), 1, False, kills=5, wipes=2, cuts=3, depth=WALK_STEPS),
    FoundingSpace("walk of five, two may be lost", 5, (1, 2, 3), 2, False, kills=6, wipes=2, cuts=3, depth=WALK_STEPS),
)


def walk_foundings(space: FoundingSpace, *, seeds: range, make: MakeModel = FoundingModel) -> FoundingExploration:
    """Goes along random paths, one a seed, message by message; after each the site is left alone until it is up."""
    for seed in seeds:
        rng = random.Random(f"founding {space.name} {seed}")
        model = make(space)
        path: list[Step] = []
        try:
            for _ in range(rng.randrange(WALK_STEPS)):
                steps = list(model.fine_steps())
                [step] = rng.choices(steps, [WEIGHTS.get(each.kind, 1.0) for each in steps])
                path.append(step)
                model.take(step)
            model.come_up()
        except FoundingBroken as broken:
            return FoundingExploration(f"{space.name}, seed {seed}", len(path), len(seeds), str(broken), tuple(path))
    return FoundingExploration(space.name, space.depth, len(seeds))
