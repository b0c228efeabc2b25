"""A disk that takes a founding, leaves it, and remembers the first start of all."""

import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.raft.log_database import DATABASE_NAME

SEEDS = (11, 12, 13)
VOTE = (12, "disk-12")


class DiskCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.folder = Path(place.name)

    def booted(self, *, first_seeds: tuple[int, ...] = ()) -> tuple[Disk, Boot]:
        disk = Disk(folder=self.folder, replica=11, synchronous="OFF")
        disk.first_seeds = first_seeds
        self.addCleanup(disk.close)
        return disk, disk.boot()


class TakenFoundings(DiskCase):
    def test_one_in_the_place_of_a_catch_up_that_had_begun_is_complete(self) -> None:
        """Guards against a replica in a mesh without a state for good: it had followed a leader while it was blank."""
        disk, boot = self.booted()
        disk.write([Write(1, 3, VOTE, (), "", OffsetAndEpoch(0, 0), True, False, -1, (), 0)])
        disk.bootstrap(mesh="mesh", voters={11: boot.incarnation}, operators={})
        disk.close()
        _, boot = self.booted()
        self.assertThat((boot.mesh, boot.catching, boot.state is not None), Equals(("mesh", False, True)))
        self.assertThat((boot.epoch, boot.vote), Equals((3, VOTE)))


class LeftFoundings(DiskCase):
    def test_the_disk_is_blank_again_and_still_knows_its_vote(self) -> None:
        """Guards against a second vote in one epoch by a replica that left a founding and took it again."""
        disk, first = self.booted(first_seeds=SEEDS)
        voters = {11: first.incarnation}
        disk.bootstrap(mesh="mesh", voters=voters, operators={})
        disk.write([Write(1, 3, VOTE, tuple(voters.items()), "mesh", OffsetAndEpoch(0, 0), False, False, -1, (), 0)])
        disk.leave_mesh()
        disk.close()
        _, boot = self.booted()
        self.assertThat(boot, Equals(Boot(11, first.incarnation, 3, VOTE, first_seeds=SEEDS)))

    def test_another_founding_may_follow(self) -> None:
        disk, boot = self.booted()
        for mesh in ("one", "two"):
            disk.bootstrap(mesh=mesh, voters={11: boot.incarnation}, operators={})
            taken = disk.boot()
            self.assertThat((taken.mesh, taken.state is not None and taken.state.mesh), Equals((mesh, mesh)))
            disk.leave_mesh()


class FirstStarts(DiskCase):
    def test_a_blank_disk_remembers_the_first_start(self) -> None:
        self.booted(first_seeds=SEEDS)[0].close()
        self.assertThat(self.booted()[1].first_seeds, Equals(SEEDS))

    def test_it_is_noted_once(self) -> None:
        self.booted(first_seeds=SEEDS)[0].close()
        self.assertThat(self.booted(first_seeds=(14,))[1].first_seeds, Equals(SEEDS))

    def test_a_disk_that_belongs_to_a_mesh_notes_none(self) -> None:
        disk, boot = self.booted()
        disk.bootstrap(mesh="mesh", voters={11: boot.incarnation}, operators={})
        disk.close()
        self.assertThat(self.booted(first_seeds=SEEDS)[1].first_seeds, Equals(()))

    def test_a_damaged_disk_forgets_it_for_it_may_have_acknowledged_something(self) -> None:
        self.booted(first_seeds=SEEDS)[0].close()
        for part in self.folder.glob(f"{DATABASE_NAME}*"):
            part.write_bytes(b"no database" * 1000)
        disk, boot = self.booted(first_seeds=SEEDS)
        self.assertThat(boot.first_seeds, Equals(()))
        disk.close()
        self.assertThat(self.booted()[1].first_seeds, Equals(()))
