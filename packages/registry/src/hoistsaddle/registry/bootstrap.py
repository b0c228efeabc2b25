"""Automatic founding: controllers with blank disks agree on the initial voters of a mesh.

No controller is configured with the number of controllers. A founding identifies its voters by the incarnations of
their disks, and the id of the mesh is derived from them, so controllers that see the same blank disks found the same
mesh. docs/design/founding.md states which disks must be blank, and why two meshes can't be founded.
"""

import hashlib
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

INSPECT_INTERVAL = milliseconds(150)
# After this long, a bootstrap inspects less often: it may have to wait hours for a machine that is down.
FAST_INSPECT_DURATION = timedelta(seconds=15)
SLOW_INSPECT_INTERVAL = timedelta(seconds=1)
# A seed that has not answered for this long is left out where that is safe; it joins the mesh once it is up.
MAX_WAIT_FOR_SEEDS = timedelta(seconds=3)
# Delay between one controller's turn to found and the next one's: usually the first controller is up and founds.
TURN_INTERVAL = milliseconds(500)
# A controller that has recorded a founding waits this long for its founder before it sends the founding itself.
MAX_WAIT_FOR_FOUNDER = timedelta(seconds=1)
# A founding that no majority of its voters has acknowledged for this long is abandoned, unless the log has records
# that may be committed.
MAX_WAIT_FOR_MAJORITY = timedelta(seconds=3)
MESH_ID_DIGITS = 16


class InspectReplicas(NamedTuple):
    """Ask these replicas which mesh their disks belong to, if any."""

    replicas: tuple[int, ...]


class FoundReplicas(NamedTuple):
    """Send the founding to these replicas."""

    replicas: tuple[int, ...]
    call: BootstrapCall


class LeaveFounding(NamedTuple):
    """Abandon the founding and make the local replica blank; with records only if none of them can be committed."""

    with_records: bool


BootstrapCommand = InspectReplicas | FoundReplicas | LeaveFounding


class OwnReplica(NamedTuple):
    """The local replica: its mesh, and its founding as long as nothing is known to be committed under it."""

    mesh: str = ""
    recorded_call: BootstrapCall | None = None
    has_records: bool = False


class BlankDisk(NamedTuple):
    """A blank disk as reported by its replica."""

    incarnation: str
    seeds: frozenset[int]
    first_start: bool
    zone: str = ""


class Proposal(NamedTuple):
    """A founding that the last round allows: its voters, and all the blank disks that the round found."""

    voters: tuple[tuple[int, str], ...]
    seen: tuple[tuple[int, BlankDisk], ...]

    def call(self) -> BootstrapCall:
        """The founding; the id of its mesh is derived from the incarnations of the voters' disks."""
        text = ",".join(f"{replica}={incarnation}" for replica, incarnation in sorted(self.voters))
        mesh = hashlib.sha256(text.encode()).hexdigest()[:MESH_ID_DIGITS]
        return BootstrapCall(mesh, dict(self.voters), {}, LEVEL)


def may_leave_out(*, seeds: int, witnesses: int, losses: int) -> bool:
    """Whether this many blank witnesses of the first start prove that the other seeds founded no mesh without them.

    A witness is a blank disk that was present at the first start. A founding takes effect once a majority of its
    voters has recorded it, and it has at least as many voters as this one would: any such majority must include a
    witness.
    """
    fewest_voters = min(2 * losses + 1, witnesses)
    majority = fewest_voters // 2 + 1
    return majority + witnesses > seeds


class Bootstrap:
    """Decides, without I/O, which replicas to inspect, what to found, and when to abandon a founding."""

    def __init__(
        self,
        *,
        replica: int,
        first_seeds: tuple[int, ...],
        seeds: tuple[int, ...],
        tolerated: ToleratedLosses,
        now: timedelta,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Begins a bootstrap.

        Args:
            replica: The number of the local replica.
            first_seeds: The seeds of the first start, if the replica's disk was present at it; else empty.
            seeds: The seeds of the current settings.
            tolerated: The losses that must be borne at once.
            now: The time on this node's clock.
            regions: The region of each zone, by the zone's name; needed if whole regions may be lost.
        """
        self.replica = replica
        self.first_seeds = first_seeds
        # The controllers known so far; their answers may name more.
        self.known: tuple[int, ...] = tuple(sorted({replica, *seeds}))
        self.tolerated = tolerated
        self.regions = regions or {}
        # Becomes false once a record is committed: from then on, replicas fetch what they lack from the leader.
        self.active = True
        self.started_at = now
        self.last_round_at: timedelta | None = None
        self._answered_at: dict[int, timedelta] = {}
        # The answers received in the current round.
        self._blank: dict[int, BlankDisk] = {}
        self._mesh_seen = False
        # The proposal of the last round, and the time since which every round has led to the same one.
        self._proposal: Proposal | None = None
        self._allowed_since: timedelta | None = None
        # Whether this node founded the mesh, rather than having recorded another node's founding.
        self._is_founder = False
        # When the local replica's recorded founding was first seen, and when a majority last acknowledged it.
        self._held_since: timedelta | None = None
        self._majority_at = now
        self._acknowledged: set[int] = set()
        # Voters whose disk is the one that the founding names, but belongs to another mesh.
        self._in_other_mesh: set[int] = set()

    # -- answers -----------------------------------------------------------------------------------------------------

    def inspected(self, answer: FoundingStatusAnswer, *, now: timedelta) -> None:
        """Records a replica's report on its disk."""
        self._answered_at[answer.replica] = now
        if answer.mesh:
            self._mesh_seen = True
            return
        self._blank[answer.replica] = BlankDisk(
            answer.incarnation, frozenset(answer.seeds), answer.first_start, answer.zone
        )

    def acknowledged(self, replica: int, call: BootstrapCall, answer: BootstrapAnswer) -> None:
        """Records whether a replica accepted the founding."""
        if not answer.error:
            self._acknowledged.add(replica)
        elif answer.mesh and answer.incarnation == call.voters.get(replica):
            self._in_other_mesh.add(replica)

    # -- rounds ------------------------------------------------------------------------------------------------------

    def handle(self, own: OwnReplica, *, now: timedelta) -> list[BootstrapCommand]:
        """The commands to carry out now.

        Args:
            own: The state of the local replica.
            now: The time on this node's clock.
        """
        if own.mesh and own.recorded_call is None:
            self.active = False
        if not self.active or not self._is_round_due(now):
            return []
        if own.recorded_call is not None:
            return self._repeat_founding(own.recorded_call, has_records=own.has_records, now=now)
        self._held_since = None
        return self._inspect_round(now=now)

    def _is_round_due(self, now: timedelta) -> bool:
        if self.last_round_at is None or self._is_confirming_round_due():
            return True
        fast = now - self.started_at < FAST_INSPECT_DURATION
        return now - self.last_round_at >= (INSPECT_INTERVAL if fast else SLOW_INSPECT_INTERVAL)

    def _is_confirming_round_due(self) -> bool:
        """Whether this is the first round to find all seeds of the first start blank; the next one follows at once."""
        seeds = self.first_seeds
        return bool(seeds) and self._proposal is None and all(seed in self._blank for seed in seeds)

    def _inspect_round(self, *, now: timedelta) -> list[BootstrapCommand]:
        """Concludes the last inspection round and begins the next one; for a local replica that is blank."""
        self._learn_controllers()
        proposal = self._allowed_proposal(now=now)
        # Two rounds with the same result: at some moment between them, all of these disks were blank at once.
        confirmed = proposal is not None and proposal == self._proposal
        self._proposal = proposal
        self._blank.clear()
        self._mesh_seen = False
        self.last_round_at = now
        if proposal is None:
            self._allowed_since = None
        elif not confirmed:
            self._allowed_since = now
            # Makes the confirming round due at once.
            self.last_round_at = None
        elif self._is_own_turn(now):
            self._is_founder = True
            call = proposal.call()
            return [FoundReplicas(tuple(call.voters), call)]
        return [InspectReplicas(self._inspection_targets())]

    def _inspection_targets(self) -> tuple[int, ...]:
        return tuple(dict.fromkeys((*(self.first_seeds or self.known), self.replica)))

    def _is_own_turn(self, now: timedelta) -> bool:
        order = self.first_seeds or self.known
        position = order.index(self.replica) if self.replica in order else len(order)
        return self._allowed_since is not None and now - self._allowed_since >= position * TURN_INTERVAL

    def _learn_controllers(self) -> None:
        """Without a record of the first start: adds the controllers known to other blank disks without a record."""
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
        voters = tuple(
            (replica, self._blank[replica].incarnation) for replica in members[: self.tolerated.fewest_voters]
        )
        return Proposal(voters, tuple(sorted(self._blank.items())))

    def _members_of_first_start(self, *, now: timedelta) -> tuple[int, ...]:
        """The seeds to found with: all if all are blank, else the witnesses once the other seeds have timed out."""
        seeds = self.first_seeds
        if all(seed in self._blank for seed in seeds):
            return seeds
        unresponsive = [seed for seed in seeds if seed not in self._blank]
        if any(now - self._answered_at.get(seed, self.started_at) < MAX_WAIT_FOR_SEEDS for seed in unresponsive):
            return ()
        witnesses = tuple(seed for seed in seeds if self._is_witness(seed))
        if not may_leave_out(seeds=len(seeds), witnesses=len(witnesses), losses=self.tolerated.places):
            return ()
        return witnesses

    def _is_witness(self, seed: int) -> bool:
        disk = self._blank.get(seed)
        return disk is not None and disk.first_start and disk.seeds == frozenset(self.first_seeds)

    def _members_without_record(self, *, now: timedelta) -> tuple[int, ...]:
        """All known controllers, if each is blank, knows the same ones, and none has a record of the first start.

        This happens if every process of a first start ended before it had recorded that start. These can't be the
        replaced disks of an existing mesh: the tolerated losses don't take all of them at once, so one of them would
        belong to it.
        """
        if now - self.started_at < MAX_WAIT_FOR_SEEDS:
            return ()
        known = frozenset(self.known)
        for replica in self.known:
            disk = self._blank.get(replica)
            if disk is None or disk.first_start or disk.seeds != known:
                return ()
        return () if self._may_all_be_lost(self.known) else self.known

    def _may_all_be_lost(self, replicas: tuple[int, ...]) -> bool:
        zones = (self._blank[replica].zone for replica in replicas)
        locations = [Location(zone, self.regions.get(zone, "")) for zone in zones]
        return self.tolerated.most_lost(locations) >= len(replicas)

    # -- a founding recorded on the local disk -----------------------------------------------------------------------

    def _repeat_founding(self, call: BootstrapCall, *, has_records: bool, now: timedelta) -> list[BootstrapCommand]:
        """Sends the founding to its voters until a record is committed; a repeated founding changes nothing."""
        self.last_round_at = now
        if self._held_since is None:
            self._held_since = self._majority_at = now
        elif len(self._acknowledged) * 2 > len(call.voters):
            self._majority_at = now
        # A disk that acknowledged a record never leaves its mesh: those in other meshes acknowledged none of this one.
        never_committed = (len(call.voters) - len(self._in_other_mesh)) * 2 <= len(call.voters)
        self._acknowledged.clear()
        self._in_other_mesh.clear()
        if not self._is_founder and now - self._held_since < MAX_WAIT_FOR_FOUNDER:
            self._majority_at = now
            return []
        if now - self._majority_at > MAX_WAIT_FOR_MAJORITY and (never_committed or not has_records):
            # The other voters have accepted another founding, or their disks are lost.
            self._held_since = None
            self._is_founder = False
            return [LeaveFounding(never_committed)]
        return [FoundReplicas(tuple(call.voters), call)]
