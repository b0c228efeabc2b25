"""The losses that a core must bear at once, and which sets of replicas bear them."""

from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import combinations
from typing import NamedTuple


class Location(NamedTuple):
    """Where a replica runs; empty names if that is not known."""

    zone: str = ""
    region: str = ""


class ToleratedLosses(NamedTuple):
    """How many machines, whole zones and whole regions may be lost at the same time, all of them together."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def places(self) -> int:
        """The number of replicas that are lost if each lost zone and region has one."""
        return self.machines + self.zones + self.regions

    @property
    def fewest_voters(self) -> int:
        """The smallest number of voters that may bear the losses."""
        return 2 * self.places + 1

    @property
    def depends_on_locations(self) -> bool:
        """Whether the locations of the voters matter, and not only their number."""
        return self.zones > 0 or self.regions > 0

    def most_lost(self, locations: Iterable[Location]) -> int:
        """The largest number of the replicas at these locations that the losses can take away at once."""
        located = list(locations)
        regions = sorted({each.region for each in located})
        return max(
            (
                self._most_lost_with_regions(located, frozenset(lost))
                for lost in combinations(regions, min(self.regions, len(regions)))
            ),
            default=0,
        )

    def _most_lost_with_regions(self, locations: Sequence[Location], lost_regions: frozenset[str]) -> int:
        left = Counter(each for each in locations if each.region not in lost_regions)
        largest_zones = sum(count for _, count in left.most_common(self.zones)) if self.zones else 0
        in_regions = len(locations) - left.total()
        return min(len(locations), in_regions + largest_zones + self.machines)

    def borne_by(self, locations: Sequence[Location]) -> bool:
        """Whether a majority of voters at these locations is left after any of the losses."""
        return (len(locations) - self.most_lost(locations)) * 2 > len(locations)

    def one_kind_each(self) -> tuple["ToleratedLosses", ...]:
        """The losses of one kind only: machines, zones and regions, as far as they are tolerated."""
        kinds = (
            ToleratedLosses(machines=self.machines),
            ToleratedLosses(machines=0, zones=self.zones),
            ToleratedLosses(machines=0, regions=self.regions),
        )
        return tuple(kind for kind in kinds if kind.places)
