"""Losses of whole zones and regions: where the voters are placed, and what the core bears again after a repair.

The histories run on cores with a modelled network, disk and processor (coremesh), with many seeds.
"""

import random
from datetime import timedelta
from itertools import combinations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from coremesh import SETTLE, CoreMesh
from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.raft.events import replacement_timeout_for

SECOND = timedelta(seconds=1)
SEEDS = range(1, 9)
ONE_ZONE = ToleratedLosses(machines=0, zones=1)
ONE_REGION = ToleratedLosses(machines=0, regions=1)


def zones_of(*sizes: int) -> dict[int, Location]:
    """Machines 1 to n in zones of these sizes, in one region."""
    names = [zone for zone, size in zip("abcdefgh", sizes, strict=False) for _ in range(size)]
    return {number: Location(zone, "r") for number, zone in enumerate(names, start=1)}


def regions_of(*regions: tuple[int, ...]) -> dict[int, Location]:
    """Machines in regions; each region is given by the sizes of its zones."""
    places = [
        Location(f"{region}-{zone}", f"r{region}")
        for region, sizes in enumerate(regions)
        for zone, size in enumerate(sizes)
        for _ in range(size)
    ]
    return dict(enumerate(places, start=1))


def started(seed: int, locations: dict[int, Location], tolerated: ToleratedLosses) -> CoreMesh:
    """A mesh founded by the first three machines, wherever they are, once the others had time to join."""
    timings = CoreMesh(seed=0).timings._replace(
        replacement_timeout=replacement_timeout_for(settle=SETTLE, losses=tolerated.places), lag_wait=SETTLE
    )
    mesh = CoreMesh(
        seed=seed,
        machines=len(locations),
        voters=min(3, len(locations), tolerated.fewest_voters),
        tolerated=tolerated,
        locations=locations,
        timings=timings,
    )
    mesh.until(mesh.has_active_leader, most=10 * SECOND)
    return mesh.run(SETTLE)


def greatest_losses(locations: dict[int, Location], tolerated: ToleratedLosses) -> list[set[int]]:
    """Every choice of as many regions, zones and machines as are tolerated together."""
    regions = sorted({each.region for each in locations.values()})
    zones = sorted(set(locations.values()))
    return [
        {
            number
            for number, location in locations.items()
            if number in machines or location in lost_zones or location.region in lost_regions
        }
        for lost_regions in combinations(regions, tolerated.regions)
        for lost_zones in combinations(zones, tolerated.zones)
        for machines in combinations(sorted(locations), tolerated.machines)
    ]


def reports_of(mesh: CoreMesh) -> list[str]:
    return [kind for _, kind, _ in mesh.announcements if kind in ("losses not borne", "losses borne")]


class PlacedVoters(TestCase):
    """Guards against acknowledged records that are lost with a zone or region that may be lost (review/7)."""

    def lose_and_repair(self, mesh: CoreMesh, lost: set[int], *, wiped: bool, what: str) -> None:
        """Lose machines right after a committed record; they come back, and are settled."""
        offset = mesh.write()
        for replica in sorted(lost):
            if wiped:
                mesh.wipe(replica)
            else:
                mesh.nodes[replica].kill()
        mesh.run(SECOND * mesh.random.uniform(0.05, 3))
        self.assertThat(mesh.write() > offset, Equals(True), f"{what}: {sorted(lost)} are lost")
        for replica in sorted(lost):
            mesh.nodes[replica].start()
        mesh.run(SETTLE)
        self.assertThat(mesh.write() > offset, Equals(True), f"{what}: {sorted(lost)} are back")

    def check(self, locations: dict[int, Location], tolerated: ToleratedLosses) -> None:
        """Three tolerated losses, one after the other, each once the one before it is repaired."""
        losses = greatest_losses(locations, tolerated)
        for seed in SEEDS:
            rng = random.Random(seed)
            mesh = started(seed, locations, tolerated)
            what = f"seed {seed}, {tolerated}"
            for _ in range(3):
                self.assertThat(mesh.placement.is_borne_by(mesh.leader().core.state, mesh.voters()), Equals(True), what)
                self.lose_and_repair(mesh, rng.choice(losses), wiped=rng.random() < 0.7, what=what)
            # A zone that is away for longer than the settle time is reported, and so is the end of that.
            self.assertThat(reports_of(mesh)[-1:] != ["losses not borne"], Equals(True), what)

    def test_a_zone_of_three(self) -> None:
        self.check(zones_of(1, 1, 1), ONE_ZONE)

    def test_a_zone_where_all_founders_are_in_one_zone(self) -> None:
        self.check(zones_of(3, 1, 1), ONE_ZONE)

    def test_a_zone_of_uneven_zones(self) -> None:
        self.check(zones_of(2, 3, 1, 1), ONE_ZONE)

    def test_two_zones_of_five(self) -> None:
        self.check(zones_of(2, 1, 1, 1, 1), ToleratedLosses(machines=0, zones=2))

    def test_a_zone_and_a_machine_together(self) -> None:
        self.check(zones_of(3, 3, 3), ToleratedLosses(machines=1, zones=1))

    def test_a_region_of_uneven_regions(self) -> None:
        self.check(regions_of((2, 1), (1,), (1, 1)), ONE_REGION)

    def test_a_region_and_a_zone_together(self) -> None:
        self.check(regions_of((1, 1), (1, 1), (1,), (1, 1), (1,)), ToleratedLosses(machines=0, zones=1, regions=1))

    def test_a_tolerance_that_changes_moves_the_votes(self) -> None:
        for seed in SEEDS:
            mesh = started(seed, zones_of(3, 1, 1), ToleratedLosses(machines=1))
            self.assertThat(sorted(mesh.voters()), Equals([1, 2, 3]), f"seed {seed}")
            mesh.placement = mesh.placement._replace(tolerated=ONE_ZONE)
            for node in mesh.nodes.values():
                node.core.placement = mesh.placement
            mesh.run(SETTLE)
            self.assertThat(mesh.placement.is_borne_by(mesh.leader().core.state, mesh.voters()), Equals(True))

    def test_a_leaving_voters_successor_keeps_the_voters_spread(self) -> None:
        for seed in SEEDS:
            mesh = started(seed, zones_of(2, 2, 2), ONE_ZONE)
            leaver = sorted(mesh.voters())[seed % 3]
            mesh.stop(leaver)
            mesh.run(SETTLE)
            self.assertThat(mesh.is_voter(leaver), Equals(False), f"seed {seed}")
            self.assertThat(mesh.placement.is_borne_by(mesh.leader().core.state, mesh.voters()), Equals(True))


class NotBorne(TestCase):
    """What no voters can bear is told to the operator, and moves no votes to and fro."""

    def test_it_is_reported_once_and_again_when_it_is_borne(self) -> None:
        for locations, tolerated in (
            (zones_of(2, 2), ONE_ZONE),
            (zones_of(3), ONE_ZONE),
            (regions_of((1, 1, 1), (1,)), ONE_REGION),
            (zones_of(2, 2, 2), ToleratedLosses(machines=1, zones=1)),
            (zones_of(1, 1, 1), ToleratedLosses(machines=2)),
        ):
            for seed in SEEDS:
                mesh = started(seed, locations, tolerated).run(2 * SETTLE)
                reports = [detail for _, kind, detail in mesh.announcements if kind == "losses not borne"]
                self.assertThat(len(reports), Equals(1), f"seed {seed}, {tolerated}")
                self.assertThat(reports[0]["remedy"] != "", Equals(True))
                before = mesh.leader().core.last.offset
                mesh.run(5 * SECOND)
                self.assertThat(mesh.leader().core.last.offset, Equals(before), f"seed {seed}, {tolerated}")

    def test_a_machine_in_a_third_zone_is_enough(self) -> None:
        for seed in SEEDS:
            mesh = started(seed, zones_of(2, 2), ONE_ZONE).run(2 * SETTLE)
            mesh.locations[5] = Location("c", "r")
            mesh.add(5)
            span = mesh.until(lambda: mesh.is_voter(5), most=SETTLE)
            self.assertThat(span, LessThan(SETTLE), f"seed {seed}")
            mesh.run(SECOND)
            self.assertThat(reports_of(mesh), Equals(["losses not borne", "losses borne"]), f"seed {seed}")

    def test_each_kind_of_loss_alone_is_borne_if_not_both_together(self) -> None:
        for seed in SEEDS:
            mesh = started(seed, zones_of(2, 2, 2), ToleratedLosses(machines=1, zones=1))
            for zone in ({1, 2}, {3, 4}, {5, 6}):
                offset = mesh.write()
                for replica in zone:
                    mesh.wipe(replica)
                mesh.run(SECOND)
                self.assertThat(mesh.write() > offset, Equals(True), f"seed {seed}")
                for replica in zone:
                    mesh.nodes[replica].start()
                mesh.run(SETTLE)
