"""The losses that sets of voters bear, compared with every possible loss tried one by one."""

import random
from itertools import combinations

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.statemachine.state import State

SEED, SETS = 57, 400


def every_loss(locations: list[Location], tolerated: ToleratedLosses) -> int:
    """The largest number of replicas lost, found by trying each choice of regions, zones and machines."""
    numbers = range(len(locations))
    regions = sorted({each.region for each in locations})
    zones = sorted(set(locations))
    most = 0
    for lost_regions in combinations(regions, min(tolerated.regions, len(regions))):
        for lost_zones in combinations(zones, min(tolerated.zones, len(zones))):
            for lost_machines in combinations(numbers, min(tolerated.machines, len(locations))):
                lost = {
                    number
                    for number in numbers
                    if number in lost_machines
                    or locations[number] in lost_zones
                    or locations[number].region in lost_regions
                }
                most = max(most, len(lost))
    return most


def drawn_locations(rng: random.Random, *, most: int = 9) -> list[Location]:
    regions = {f"z{zone}": f"r{rng.randrange(3)}" for zone in range(rng.randint(1, 5))}
    return [Location(zone, regions[zone]) for zone in rng.choices(sorted(regions), k=rng.randint(1, most))]


def drawn_losses(rng: random.Random) -> ToleratedLosses:
    return ToleratedLosses(rng.randint(0, 2), rng.randint(0, 2), rng.randint(0, 1))


def wanted(locations: list[Location], tolerated: ToleratedLosses, *, voters: int = 0) -> tuple[int, ...]:
    placement = VoterPlacement(tolerated, lambda _, replica: locations[replica])
    numbers = list(range(len(locations)))
    return placement.wanted(State(), preferred=numbers[:voters], others=numbers[voters:])


class Losses(TestCase):
    """Guards against a core that is taken to bear losses that leave no majority (review/7)."""

    def test_the_worst_loss_is_the_worst_of_all_losses(self) -> None:
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        for _ in range(SETS):
            locations, tolerated = drawn_locations(rng), drawn_losses(rng)
            self.assertThat(
                tolerated.most_lost(locations), Equals(every_loss(locations, tolerated)), f"{tolerated} {locations}"
            )

    def test_machines_alone_need_twice_as_many_voters_plus_one_anywhere(self) -> None:
        for machines in range(4):
            for count in range(1, 9):
                borne = ToleratedLosses(machines=machines).borne_by([Location("a", "r")] * count)
                self.assertThat(borne, Equals(count >= 2 * machines + 1))


class WantedVoters(TestCase):
    def test_if_any_set_of_the_machines_bears_the_losses_one_is_found(self) -> None:
        """Uneven zones and regions, all kinds of losses together; compared with every set of machines."""
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        for _ in range(SETS):
            locations, tolerated = drawn_locations(rng, most=7), drawn_losses(rng)
            exists = any(
                tolerated.borne_by([locations[number] for number in chosen])
                for count in range(1, len(locations) + 1)
                for chosen in combinations(range(len(locations)), count)
            )
            found = tolerated.borne_by([locations[number] for number in wanted(locations, tolerated)])
            self.assertThat(found, Equals(exists), f"{tolerated} {locations}")

    def test_the_set_is_stable(self) -> None:
        """Replicas that vote already are wanted again, whichever of them leads: nothing moves without a need."""
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        for _ in range(SETS):
            locations, tolerated = drawn_locations(rng), drawn_losses(rng)
            first = wanted(locations, tolerated)
            others = [number for number in range(len(locations)) if number not in first]
            voters = list(first)
            rng.shuffle(voters)
            again = wanted([locations[number] for number in (*voters, *others)], tolerated, voters=len(voters))
            self.assertThat(sorted(again), Equals(list(range(len(first)))), f"{tolerated} {locations} {voters}")

    def test_what_cannot_be_borne_together_is_borne_kind_by_kind(self) -> None:
        zones = [Location(zone, "r") for zone in "abcabc"]
        chosen = [zones[number] for number in wanted(zones, ToleratedLosses(machines=1, zones=1))]
        for kind in (ToleratedLosses(machines=1), ToleratedLosses(machines=0, zones=1)):
            self.assertThat(kind.borne_by(chosen), Equals(True))

    def test_a_machine_whose_place_is_not_known_waits_and_an_unknown_voter_keeps_all_as_it_is(self) -> None:
        locations = [Location("a", "r"), Location("b", "r"), Location(), Location("c", "r")]
        one_zone = ToleratedLosses(machines=0, zones=1)
        self.assertThat(sorted(wanted(locations, one_zone, voters=1)), Equals([0, 1, 3]))
        self.assertThat(wanted(locations, one_zone, voters=3), Equals(()))
