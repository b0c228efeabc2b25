"""Voter sets after a restart: which of them must agree while the log contains voter changes not applied yet."""

import random
import tempfile
from datetime import timedelta
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.raft.core import RaftCore
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, RaftTimings, Write
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.commands import LEVEL, AddVoter, UpdateVoter
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import initial_state

FOUNDERS = {1: "one", 2: "two", 3: "three"}
GROWN = (pack_command(AddVoter(4, "four")), pack_command(AddVoter(5, "five")))


def started(*payloads: bytes, committed: int = 0) -> RaftCore:
    state = initial_state(mesh="m", voters=FOUNDERS, operators={}, level=LEVEL)
    records = tuple(Record(offset, 1, timedelta(), payload) for offset, payload in enumerate(payloads, start=1))
    boot = Boot(
        1,
        "one",
        epoch=1,
        voters=tuple(FOUNDERS.items()),
        mesh="m",
        checkpoint=OffsetAndEpoch(0, 0),
        state=state,
        records=records,
        committed=committed,
    )
    return RaftCore(
        boot=boot, replicas=(1, 2, 3), timings=RaftTimings(), seed=random.Random(1), now=timedelta(seconds=100)
    )


class VotersAfterAStart(TestCase):
    def test_only_the_last_change_may_be_uncommitted(self) -> None:
        """A change is logged once the previous one is committed, so only the last two sets still need a majority."""
        four = {**FOUNDERS, 4: "four"}
        self.assertThat(started(*GROWN).voter_sets(), Equals([four, {**four, 5: "five"}]))

    def test_five_voters_of_whom_two_lost_their_disks_elect_a_leader(self) -> None:
        """Guards against elections that require the earlier set of four voters, two of which have lost their disks."""
        core = started(*GROWN, committed=2)
        self.assertThat(core.voter_sets(), Equals([{**FOUNDERS, 4: "four", 5: "five"}]))
        self.assertThat(core.is_majority({(1, "one"), (2, "two"), (5, "five")}), Equals(True))
        self.assertThat(core.is_majority({(1, "one"), (2, "two"), (3, "another disk")}), Equals(False))

    def test_an_update_known_to_be_committed_no_longer_requires_the_former_disk(self) -> None:
        core = started(pack_command(UpdateVoter(2, "two", "two-again")), committed=1)
        self.assertThat(core.is_majority({(1, "one"), (2, "two-again")}), Equals(True))

    def test_an_update_not_known_to_be_committed_requires_both_sets(self) -> None:
        core = started(pack_command(UpdateVoter(2, "two", "two-again")))
        self.assertThat(core.is_majority({(1, "one"), (2, "two-again")}), Equals(False))
        self.assertThat(core.is_majority({(1, "one"), (3, "three")}), Equals(True))

    def test_the_committed_offset_is_kept_on_disk_and_never_decreases(self) -> None:
        core = started(*GROWN, committed=2)
        core.persist()
        # The high watermark itself starts at the checkpoint again.
        self.assertThat((core.high_watermark, core.commands[-1].committed), Equals((0, 2)))
        with tempfile.TemporaryDirectory() as folder:
            disk = Disk(folder=Path(folder), replica=1)
            disk.boot()
            disk.bootstrap(mesh="m", voters=FOUNDERS, operators={}, level=LEVEL)
            disk.write([Write(1, 4, None, (), "m", OffsetAndEpoch(0, 0), False, False, -1, (), 7)])
            disk.close()
            again = Disk(folder=Path(folder), replica=1)
            self.assertThat(again.boot().committed, Equals(7))
            again.close()
