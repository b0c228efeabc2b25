"""A disk that takes a founding, leaves it, and remembers the first start of all."""

import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, Not

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
