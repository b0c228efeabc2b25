"""Which replicas should vote so that the tolerated losses of machines, zones and regions leave a majority."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.statemachine.state import State

# Returns the location of a replica, by its number.
Locate = Callable[[State, int], Location]


class VoterPlacement(NamedTuple):
    """The tolerated losses, and how the locations of replicas are found in the state."""

    tolerated: ToleratedLosses
    locate: Locate

    def locations(self, state: State, replicas: Iterable[int]) -> dict[int, Location]:
        """The location of each of the replicas."""
        return {replica: self.locate(state, replica) for replica in replicas}

    def is_borne_by(self, state: State, voters: Iterable[int]) -> bool:
        """Whether the voters keep a majority after any of the tolerated losses."""
        if not self.tolerated.depends_on_locations:
            return len(list(voters)) >= self.tolerated.fewest_voters
        return self.tolerated.borne_by(list(self.locations(state, voters).values()))

    def in_order(self, state: State, *, voters: Collection[int], candidates: Collection[int]) -> list[int]:
        """The candidates in the order in which they should become voters beside the present ones."""
        locations = self.locations(state, (*voters, *candidates))
        return spread_out(locations, chosen=voters, candidates=candidates)[len(voters) :]

    def wanted(self, state: State, *, preferred: list[int], others: Collection[int]) -> tuple[int, ...]:
        """The smallest set of voters that bears the losses together, or else each kind of them alone.

        Args:
            state: Where the locations are recorded.
            preferred: Replicas that are chosen before others in the same place, the most preferred first.
            others: The other replicas that may become voters; left out while their location is not known.

        Returns:
            The set. If none bears the losses, it is as large as they require and spread out as far as possible. It is
            empty while the location of a preferred replica is not known.
        """
        locations = self.locations(state, (*preferred, *others))
        if any(not locations[replica].zone for replica in preferred):
            return ()
        known = [replica for replica in (*preferred, *others) if locations[replica].zone]
        order = spread_out(locations, chosen=(), candidates=known)
        for demands in ((self.tolerated,), self.tolerated.one_kind_each()):
            for count in range(1, len(order) + 1):
                chosen = [locations[replica] for replica in order[:count]]
                if all(demand.borne_by(chosen) for demand in demands):
                    return tuple(order[:count])
        return tuple(order[: self.tolerated.fewest_voters])


def spread_out(locations: Mapping[int, Location], *, chosen: Collection[int], candidates: Collection[int]) -> list[int]:
    """The chosen replicas and then the candidates, each next one where the fewest before it are.

    Regions count before zones; among equals, the order of the candidates decides.
    """
    order = list(chosen)
    left = list(candidates)
    in_region = Counter(locations[replica].region for replica in order)
    in_zone = Counter(locations[replica] for replica in order)
    while left:
        following = min(left, key=lambda each: (in_region[locations[each].region], in_zone[locations[each]]))
        left.remove(following)
        order.append(following)
        in_region[locations[following].region] += 1
        in_zone[locations[following]] += 1
    return order
