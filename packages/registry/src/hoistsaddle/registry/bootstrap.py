"""Founding without a person: controllers with blank disks agree on the first voters of a mesh, each by its disk.

Nobody is told how many controllers there are. A founding names its voters by the incarnations of their disks, and its
mesh's id follows from them, so controllers that see the same blank disks found the same mesh. Which disks must be
blank, and why two meshes can't be founded: docs/design/founding.md.
"""

import hashlib
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

INSPECT_INTERVAL = milliseconds(150)
# Once it has gone on for so long, a bootstrap asks less often: it may wait for a machine that is away for hours.
BRISK_SPAN = timedelta(seconds=15)
SLOW_INSPECT_INTERVAL = timedelta(seconds=1)
# A seed that gives no answer for so long is left out, where that is safe; it joins once it is there.
MAX_WAIT_FOR_SEEDS = timedelta(seconds=3)
# From one controller's turn to found to the next one's: mostly the first one is there.
TURN_INTERVAL = milliseconds(500)
# A controller that holds a founding with an empty log leaves the telling to its founder for so long.
MAX_WAIT_FOR_FOUNDER = timedelta(seconds=1)
# A founding that no majority of its voters has taken for so long is given up, as long as nothing was logged under it.
MAX_WAIT_FOR_MAJORITY = timedelta(seconds=3)
MESH_ID_DIGITS = 16


class InspectReplicas(NamedTuple):
    """Ask these replicas what is on their disks."""

    replicas: tuple[int, ...]


class FoundReplicas(NamedTuple):
    """Tell these replicas that they are founded."""

    replicas: tuple[int, ...]
    call: BootstrapCall


class LeaveFounding(NamedTuple):
    """Make the replica beside blank again; with records only if none of them can be committed."""

    with_records: bool


BootstrapCommand = InspectReplicas | FoundReplicas | LeaveFounding


class OwnReplica(NamedTuple):
    """The replica beside: the mesh it belongs to, and its founding while nothing is known to be committed under it."""

    mesh: str = ""
    recorded_call: BootstrapCall | None = None
    has_records: bool = False


class BlankDisk(NamedTuple):
    """A blank disk as a replica describes it."""

    incarnation: str
    seeds: frozenset[int]
    first_start: bool


class Proposal(NamedTuple):
    """A founding that what was seen allows: its voters, and everything that it rests on."""

    voters: tuple[tuple[int, str], ...]
    seen: tuple[tuple[int, BlankDisk], ...]

    def call(self) -> BootstrapCall:
        """The founding; its mesh's id follows from the voters' disks."""
        text = ",".join(f"{replica}={incarnation}" for replica, incarnation in sorted(self.voters))
        mesh = hashlib.sha256(text.encode()).hexdigest()[:MESH_ID_DIGITS]
        return BootstrapCall(mesh, dict(self.voters), {}, LEVEL)


def may_leave_out(*, seeds: int, witnesses: int, losses: int) -> bool:
    """Whether so many blank witnesses of the first start show that the other seeds founded nothing without them.

    A founding counts once a majority of its voters holds it, and has at least as many voters as this one would: any
    such majority must have a witness in it.
    """
    fewest_voters = min(2 * losses + 1, witnesses)
    majority = fewest_voters // 2 + 1
    return majority + witnesses > seeds


class Bootstrap:
    """Decides, without I/O, whom to inspect, what to found, and when to give a founding up."""

    def __init__(
        self, *, replica: int, first_seeds: tuple[int, ...], seeds: tuple[int, ...], losses: int, now: timedelta
    ) -> None:
        """Begins a bootstrap.

        Args:
            replica: The replica beside it.
            first_seeds: The seeds of the first start of all, if the replica's disk was there; else empty.
            seeds: The seeds of the present settings.
            losses: How many core machines may be lost at once.
            now: The time on this node's clock.
        """
        self.replica = replica
        self.first_seeds = first_seeds
        # The controllers that this one has heard of; more are named by the answers of those.
        self.known: tuple[int, ...] = tuple(sorted({replica, *seeds}))
        self.losses = losses
        # Over once something is committed: from then on whoever lacks something gets it from the leader.
        self.active = True
        self.started_at = now
        self.last_round_at: timedelta | None = None
        self._heard_at: dict[int, timedelta] = {}
        # What the round under way has heard so far.
        self._blank: dict[int, BlankDisk] = {}
        self._mesh_seen = False
        # What the last round allowed, and since when each round has allowed just that.
        self._proposal: Proposal | None = None
        self._allowed_since: timedelta | None = None
        # Whether this node has told a founding of its own making.
        self._told = False
        # Of the founding that the replica beside holds.
        self._held_since: timedelta | None = None
        self._majority_at = now
        self._acknowledged: set[int] = set()
        # Voters whose disk, the one that the founding names, belongs to another mesh.
        self._elsewhere: set[int] = set()

    # -- answers -----------------------------------------------------------------------------------------------------

    def inspected(self, answer: FoundingStatusAnswer, *, now: timedelta) -> None:
        """Notes what a replica has on its disk."""
        self._heard_at[answer.replica] = now
        if answer.mesh:
            self._mesh_seen = True
            return
        self._blank[answer.replica] = BlankDisk(answer.incarnation, frozenset(answer.seeds), answer.first_start)

    def acknowledged(self, replica: int, call: BootstrapCall, answer: BootstrapAnswer) -> None:
        """Notes whether a replica took the founding."""
        if not answer.error:
            self._acknowledged.add(replica)
        elif answer.mesh and answer.incarnation == call.voters.get(replica):
            self._elsewhere.add(replica)

    # -- rounds ------------------------------------------------------------------------------------------------------

    def handle(self, own: OwnReplica, *, now: timedelta) -> list[BootstrapCommand]:
        """What to do now.

        Args:
            own: The replica beside it.
            now: The time on this node's clock.
        """
        if own.mesh and own.recorded_call is None:
            self.active = False
        if not self.active or not self._is_round_due(now):
            return []
        if own.recorded_call is not None:
            return self._tell(own.recorded_call, has_records=own.has_records, now=now)
        self._held_since = None
        return self._look_around(now=now)

    def _is_round_due(self, now: timedelta) -> bool:
        if self.last_round_at is None or self._is_second_look_due():
            return True
        brisk = now - self.started_at < BRISK_SPAN
        return now - self.last_round_at >= (INSPECT_INTERVAL if brisk else SLOW_INSPECT_INTERVAL)

    def _is_second_look_due(self) -> bool:
        """Whether all seeds of the first start were found blank, for the first time in a row."""
        seeds = self.first_seeds
        return bool(seeds) and self._proposal is None and all(seed in self._blank for seed in seeds)

    def _look_around(self, *, now: timedelta) -> list[BootstrapCommand]:
        """With a blank disk: concludes the last round, and begins the next one."""
        self._learn_controllers()
        proposal = self._allowed_proposal(now=now)
        # Seen twice alike: at some moment between the two all of these disks were blank at once.
        confirmed = proposal is not None and proposal == self._proposal
        self._proposal = proposal
        self._blank.clear()
        self._mesh_seen = False
        self.last_round_at = now
        if proposal is None:
            self._allowed_since = None
        elif not confirmed:
            self._allowed_since = now
            # The second look follows at once.
            self.last_round_at = None
        elif self._is_own_turn(now):
            self._told = True
            call = proposal.call()
            return [FoundReplicas(tuple(call.voters), call)]
        return [InspectReplicas(self._asked())]

    def _asked(self) -> tuple[int, ...]:
        return tuple(dict.fromkeys((*(self.first_seeds or self.known), self.replica)))

    def _is_own_turn(self, now: timedelta) -> bool:
        order = self.first_seeds or self.known
        place = order.index(self.replica) if self.replica in order else len(order)
        return self._allowed_since is not None and now - self._allowed_since >= place * TURN_INTERVAL

    def _learn_controllers(self) -> None:
        """Without a record of the first start: whoever is blank too names the controllers that it knows."""
        if self.first_seeds:
            return
        named = (disk.seeds for disk in self._blank.values() if not disk.first_start)
        self.known = tuple(sorted(set(self.known).union(*named)))

    def _allowed_proposal(self, *, now: timedelta) -> Proposal | None:
        if self._mesh_seen:
            return None
        members = self._members_of_first_start(now=now) if self.first_seeds else self._members_without_record(now=now)
        if not members:
            return None
        voters = tuple((replica, self._blank[replica].incarnation) for replica in members[: 2 * self.losses + 1])
        return Proposal(voters, tuple(sorted(self._blank.items())))

    def _members_of_first_start(self, *, now: timedelta) -> tuple[int, ...]:
        """The seeds to found with: all if all are blank, else the witnesses once the others were silent for long."""
        seeds = self.first_seeds
        if all(seed in self._blank for seed in seeds):
            return seeds
        silent = [seed for seed in seeds if seed not in self._blank]
        if any(now - self._heard_at.get(seed, self.started_at) < MAX_WAIT_FOR_SEEDS for seed in silent):
            return ()
        witnesses = tuple(seed for seed in seeds if self._is_witness(seed))
        if not may_leave_out(seeds=len(seeds), witnesses=len(witnesses), losses=self.losses):
            return ()
        return witnesses

    def _is_witness(self, seed: int) -> bool:
        disk = self._blank.get(seed)
        return disk is not None and disk.first_start and disk.seeds == frozenset(self.first_seeds)

    def _members_without_record(self, *, now: timedelta) -> tuple[int, ...]:
        """All known controllers, if each is blank, knows the same ones, and none has a record of the first start.

        All processes of a first start ended before one had recorded it. Of a mesh no more disks are lost at once than
        are to be borne, so one of these would hold it.
        """
        if now - self.started_at < MAX_WAIT_FOR_SEEDS or len(self.known) <= self.losses:
            return ()
        known = frozenset(self.known)
        for replica in self.known:
            disk = self._blank.get(replica)
            if disk is None or disk.first_start or disk.seeds != known:
                return ()
        return self.known

    # -- a founding on the disk beside -------------------------------------------------------------------------------

    def _tell(self, call: BootstrapCall, *, has_records: bool, now: timedelta) -> list[BootstrapCommand]:
        """Tells the founding to its voters until something is committed; the same founding twice is one."""
        self.last_round_at = now
        if self._held_since is None:
            self._held_since = self._majority_at = now
        elif len(self._acknowledged) * 2 > len(call.voters):
            self._majority_at = now
        # A disk that acknowledged a record never leaves its mesh: those elsewhere have acknowledged none of this one.
        never_committed = (len(call.voters) - len(self._elsewhere)) * 2 <= len(call.voters)
        self._acknowledged.clear()
        self._elsewhere.clear()
        if not self._told and now - self._held_since < MAX_WAIT_FOR_FOUNDER:
            self._majority_at = now
            return []
        if now - self._majority_at > MAX_WAIT_FOR_MAJORITY and (never_committed or not has_records):
            # Another founding has the others, or their disks are gone.
            self._held_since = None
            self._told = False
            return [LeaveFounding(never_committed)]
        return [FoundReplicas(tuple(call.voters), call)]
