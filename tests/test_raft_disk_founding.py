"""A disk that bootstraps a mesh, leaves it, and records the mesh's first start."""

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
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def booted(self, *, first_seeds: tuple[int, ...] = ()) -> tuple[Disk, Boot]:
        disk = Disk(folder=self.folder, replica=11, synchronous="OFF")
        disk.first_seeds = first_seeds
        self.addCleanup(disk.close)
        return disk, disk.boot()


class Bootstraps(DiskCase):
    def test_one_that_interrupts_a_catch_up_leaves_a_complete_replica(self) -> None:
        """Guards against a replica that stays without a state: it had followed a leader while its disk was blank."""
        disk, boot = self.booted()
        disk.write([Write(1, 3, VOTE, (), "", OffsetAndEpoch(0, 0), True, False, -1, (), 0)])
        disk.bootstrap(mesh="mesh", voters={11: boot.incarnation}, operators={})
        disk.close()
        _, boot = self.booted()
        self.assertThat((boot.mesh, boot.catching, boot.state is not None), Equals(("mesh", False, True)))
        self.assertThat((boot.epoch, boot.vote), Equals((3, VOTE)))


class LeftMeshes(DiskCase):
    def test_the_disk_is_blank_again_and_still_knows_its_vote(self) -> None:
        """Guards against a second vote in one epoch by a replica that left a bootstrapped mesh and joined it again."""
        disk, first = self.booted(first_seeds=SEEDS)
        voters = {11: first.incarnation}
        disk.bootstrap(mesh="mesh", voters=voters, operators={})
        disk.write([Write(1, 3, VOTE, tuple(voters.items()), "mesh", OffsetAndEpoch(0, 0), False, False, -1, (), 0)])
        disk.leave_mesh()
        disk.close()
        _, boot = self.booted()
        self.assertThat(boot, Equals(Boot(11, first.incarnation, 3, VOTE, first_seeds=SEEDS)))

    def test_another_bootstrap_may_follow(self) -> None:
        disk, boot = self.booted()
        for mesh in ("one", "two"):
            disk.bootstrap(mesh=mesh, voters={11: boot.incarnation}, operators={})
            bootstrapped = disk.boot()
            self.assertThat(
                (bootstrapped.mesh, bootstrapped.state is not None and bootstrapped.state.mesh), Equals((mesh, mesh))
            )
            disk.leave_mesh()


class FirstStarts(DiskCase):
    def test_a_blank_disk_remembers_the_first_start(self) -> None:
        self.booted(first_seeds=SEEDS)[0].close()
        self.assertThat(self.booted()[1].first_seeds, Equals(SEEDS))

    def test_it_is_recorded_once(self) -> None:
        self.booted(first_seeds=SEEDS)[0].close()
        self.assertThat(self.booted(first_seeds=(14,))[1].first_seeds, Equals(SEEDS))

    def test_a_disk_that_belongs_to_a_mesh_records_none(self) -> None:
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
