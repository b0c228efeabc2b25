"""Founding without a person: the first seed of a cold start asks the others for their disks and founds the mesh.

Nobody is told how many core machines there are. The founders are the seeds; whoever else comes joins by a logged
change of the voters, up to what the losses to be borne ask for. A blank disk that was not told of a cold start never
founds: it looks for the leader instead.
"""

from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.rpc.messages import BootstrapCall, StatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

INSPECT_INTERVAL = timedelta(milliseconds=150)
# A seed that says nothing for so long founds nothing; it joins once it is there.
MAX_WAIT_FOR_SEEDS = timedelta(seconds=3)


class InspectReplicas(NamedTuple):
    """Ask these replicas what is on their disks."""

    replicas: tuple[int, ...]


class FoundReplicas(NamedTuple):
    """Tell these replicas that they are founded."""

    replicas: tuple[int, ...]
    call: BootstrapCall


class Bootstrap:
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
        self.replica = replica
        self.seeds = seeds
        # The first of the agreed order, and only at a cold start: two founders would be two meshes.
        # A disk that holds a founding and nothing since may be all that heard of it: its next life tells the others.
        self.duty = recorded_call is not None or (may_found and bool(seeds) and seeds[0] == replica)
        self.losses = losses
        self.mesh = mesh
        self.started_at = now
        self.last_round_at: timedelta | None = None
        self.blank: dict[int, str] = {}
        self.call: BootstrapCall | None = recorded_call
        self.acknowledged: set[int] = set() if recorded_call is None else {replica}

    def inspected(self, answer: StatusAnswer) -> None:
        if answer.mesh:
            # Somebody is founded already: nothing may be founded beside it.
            if self.call is None or answer.mesh != self.mesh:
                self.duty = False
            return
        self.blank[answer.replica] = answer.incarnation

    def handle(self, *, founded: bool, now: timedelta) -> list[Any]:
        if not self.duty:
            return []
        if self.last_round_at is not None and now - self.last_round_at < INSPECT_INTERVAL:
            return []
        self.last_round_at = now
        if self.call is not None:
            # Told again until each has heard: the same founding twice is one.
            left = tuple(replica for replica in self.call.voters if replica not in self.acknowledged)
            if not left or (founded and now - self.started_at > MAX_WAIT_FOR_SEEDS * 3):
                # Whoever never answered is a voter with an empty log: the leader feeds it once it is there.
                self.duty = False
                return []
            return [FoundReplicas(left, self.call)]
        if founded:
            self.duty = False
            return []
        wanted = min(2 * self.losses + 1, len(self.seeds))
        all_seeds_blank = all(seed in self.blank for seed in self.seeds)
        if self.replica in self.blank and (all_seeds_blank or now - self.started_at > MAX_WAIT_FOR_SEEDS):
            known = [seed for seed in self.seeds if seed in self.blank][:wanted]
            voters = {seed: self.blank[seed] for seed in known}
            self.call = BootstrapCall(self.mesh, voters, {}, LEVEL)
            return [FoundReplicas(tuple(voters), self.call)]
        return [InspectReplicas(tuple(seed for seed in self.seeds if seed not in self.blank))]
