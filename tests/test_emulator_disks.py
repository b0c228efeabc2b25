"""Folders after an emulated power loss: synced files are kept, every other one is kept or lost independently."""

import os
import random
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.statemachine.state import initial_state
from hoistsaddle.testbed.emulator.disks import Disks, PowerLostError

SEEDS = range(40)


def sync(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    os.fsync(descriptor)
    os.close(descriptor)


class LossOfPower(TestCase):
    def setUp(self) -> None:
        super().setUp()
        print("seeds", SEEDS)
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = Path(temporary.name)

    def names_after_power_loss(self, seed: int) -> frozenset[tuple[str, str]]:
        """Three files are synced; before power is lost, one of them is removed, one replaced, and a new one created."""
        folder = self.root / str(seed)
        folder.mkdir()
        disks = Disks(rng=random.Random(seed))
        disks.add(folder)
        with disks.intercept_syncs():
            (folder / "kept").write_text("old")
            (folder / "removed").write_text("old")
            (folder / "replaced").write_text("old")
            sync(folder)
            (folder / "removed").unlink()
            (folder / "new").write_text("new")
            (folder / "part").write_text("new")
            (folder / "part").rename(folder / "replaced")
            disks.lose_power(folder, {})
        return frozenset((path.name, path.read_text()) for path in folder.iterdir())

    def test_every_combination_of_kept_and_lost_names_occurs(self) -> None:
        found = {self.names_after_power_loss(seed) for seed in SEEDS}
        for names in found:
            self.assertIn(("kept", "old"), names)
            # A replaced name refers to the old or the new file; it is never missing.
            self.assertThat(len({("replaced", "old"), ("replaced", "new")} & names), Equals(1))
        self.assertThat(len(found), Equals(2**3))

    def test_a_power_loss_in_a_snapshot_leaves_a_folder_that_boots(self) -> None:
        state = initial_state(mesh="m", voters={1: "a"}, operators={})
        names = set()
        for seed in SEEDS:
            folder = self.root / f"data-{seed}"
            folder.mkdir()
            disks = Disks(rng=random.Random(seed))
            disks.add(folder)
            with disks.intercept_syncs():
                disk = Disk(folder=folder, replica=1, synchronous="OFF")
                disk.boot()
                disk.bootstrap(mesh="m", voters={1: "a"}, operators={})
                disks.syncs_until_power_loss = seed % 3
                try:
                    disk.store_checkpoint(checkpoint_id=OffsetAndEpoch(5, 1), state=state._replace(offset=5, epoch=1))
                except PowerLostError:
                    names.add(disks.syncs_until_power_loss)
                disks.syncs_until_power_loss = None
                ledger = {path: path.read_bytes() for path in folder.glob("ledger*")}
                disk.close()
                disks.lose_power(folder, ledger)
                boot = Disk(folder=folder, replica=1, synchronous="OFF").boot()
            self.assertThat(boot.mesh, Equals("m"), f"seed {seed}")
            self.assertIn(boot.checkpoint.offset, (0, 5), f"seed {seed}")
        self.assertThat(names, Equals({0}))
