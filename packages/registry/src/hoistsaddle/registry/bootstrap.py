"""Founding without a person: the first seed of a cold start asks the others for their disks and founds the mesh.

Nobody is told how many core machines there are. The founders are the seeds; whoever else comes joins by a logged
change of the voters, up to what the losses to be borne ask for. A blank disk that was not told of a cold start never
founds: it looks for the leader instead.
"""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.raft.core import RaftCore
from hoistsaddle.rpc.messages import BootstrapCall, StatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

INSPECT_INTERVAL = timedelta(milliseconds=150)
# A seed that gives no answer for so long founds nothing; it joins once it is there.
MAX_WAIT_FOR_SEEDS = timedelta(seconds=3)
# Founders that never acknowledged are left to the leader after so long, once this replica is founded.
MAX_WAIT_FOR_FOUNDERS = 3 * MAX_WAIT_FOR_SEEDS


class InspectReplicas(NamedTuple):
    """Ask these replicas what is on their disks."""

    replicas: tuple[int, ...]


class FoundReplicas(NamedTuple):
    """Tell these replicas that they are founded."""

    replicas: tuple[int, ...]
    call: BootstrapCall


BootstrapCommand = InspectReplicas | FoundReplicas


def recorded_founding(core: RaftCore) -> BootstrapCall | None:
    """The founding on this replica's disk, if nothing came after it: a founder that died may have told nobody else.

    Telling it again is safe: a voter takes it only under the incarnation that it names, with nothing on its disk.
    """
    if not core.mesh or not core.complete or core.last.offset:
        return None
    return BootstrapCall(core.mesh, dict(core.state.voters), dict(core.state.operators), core.state.level)


class Bootstrap:
    """Decides, without I/O, whom to inspect and whom to found."""

    def __init__(
        self,
        *,
        replica: int,
        seeds: tuple[int, ...],
        may_found: bool,
        losses: int,
        mesh: str,
        now: timedelta,
        recorded_call: BootstrapCall | None = None,
    ) -> None:
        """Begins a bootstrap.

        Args:
            replica: The replica beside it.
            seeds: The seeds' replica numbers in the agreed order.
            may_found: Whether this is the first start of all.
            losses: How many core machines may be lost at once.
            mesh: The id the mesh gets if it is founded here.
            now: The time on this node's clock.
            recorded_call: A founding that the disk holds and that others may not have heard of.
        """
        self.replica = replica
        self.seeds = seeds
        # The first of the agreed order, and only at a cold start: two founders would be two meshes.
        # A disk that holds a founding and nothing since may be all that heard of it: its next process tells the others.
        self.active = recorded_call is not None or (may_found and bool(seeds) and seeds[0] == replica)
        self.losses = losses
        self.mesh = mesh
        self.started_at = now
        self.last_round_at: timedelta | None = None
        # The incarnations of the replicas whose disks are blank.
        self.blank: dict[int, str] = {}
        self.call: BootstrapCall | None = recorded_call
        self.acknowledged: set[int] = set() if recorded_call is None else {replica}

    def inspected(self, answer: StatusAnswer) -> None:
        """Notes what a replica has on its disk."""
        if answer.mesh:
            # Somebody is founded already: nothing may be founded beside it.
            if self.call is None or answer.mesh != self.mesh:
                self.active = False
            return
        self.blank[answer.replica] = answer.incarnation

    def handle(self, *, founded: bool, now: timedelta) -> list[BootstrapCommand]:
        """What to do now.

        Args:
            founded: Whether the replica beside it is founded.
            now: The time on this node's clock.
        """
        if not self.active:
            return []
        if self.last_round_at is not None and now - self.last_round_at < INSPECT_INTERVAL:
            return []
        self.last_round_at = now
        if self.call is not None:
            return self._repeat_founding(self.call, founded=founded, now=now)
        if founded:
            self.active = False
            return []
        all_seeds_blank = all(seed in self.blank for seed in self.seeds)
        if self.replica in self.blank and (all_seeds_blank or now - self.started_at > MAX_WAIT_FOR_SEEDS):
            return self._found()
        return [InspectReplicas(tuple(seed for seed in self.seeds if seed not in self.blank))]

    def _repeat_founding(self, call: BootstrapCall, *, founded: bool, now: timedelta) -> list[BootstrapCommand]:
        """Tells the founding again until each voter has acknowledged it: the same founding twice is one."""
        left = tuple(replica for replica in call.voters if replica not in self.acknowledged)
        if not left or (founded and now - self.started_at > MAX_WAIT_FOR_FOUNDERS):
            # Whoever never answered is a voter with an empty log: the leader feeds it once it is there.
            self.active = False
            return []
        return [FoundReplicas(left, call)]

    def _found(self) -> list[BootstrapCommand]:
        wanted = min(2 * self.losses + 1, len(self.seeds))
        founders = [seed for seed in self.seeds if seed in self.blank][:wanted]
        voters = {seed: self.blank[seed] for seed in founders}
        self.call = BootstrapCall(self.mesh, voters, {}, LEVEL)
        return [FoundReplicas(tuple(voters), self.call)]
