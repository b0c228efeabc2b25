"""A store whose disk refuses its start keeps trying and reports it; and the role that a store reports."""

import asyncio
import errno
from datetime import timedelta
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals, raises

from hoistsaddle.common.counters import Counters
from hoistsaddle.store.service import Store
from hoistsaddle.store.status import status_of
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop


class RefusedStarts(TestCase):
    def start(self, *problems: OSError) -> tuple[Counters, int, float]:
        """Counters, starts tried and seconds spent, on a disk that refuses with these and then lets go."""
        loop = SimulatedTimeLoop()
        counters = Counters(owner="store")
        left, tried = list(problems), []

        def start() -> None:
            tried.append(loop.time())
            if left:
                raise left.pop(0)

        store = SimpleNamespace(
            counters=counters, runtime=SimpleNamespace(now=loop.now), runner=SimpleNamespace(start=start)
        )
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(Store._start_runner(store))
        finally:
            loop.close()
            asyncio.set_event_loop(None)
        return counters, len(tried), tried[-1] - tried[0]

    def test_a_full_or_failing_disk_is_tried_again_and_told_once(self) -> None:
        full, failing = OSError(errno.ENOSPC, "no room"), OSError(errno.EIO, "the ledger can't be used now")
        counters, tried, spent = self.start(full, failing, full, full)
        events = [each["kind"] for each in counters.events(after=0)["happenings"]]
        self.assertThat((tried, events), Equals((5, ["disk refuses the start"])))
        # 0.1, 0.2, 0.4 and 0.8 s.
        self.assertThat(round(spent, 3), Equals(1.5))

    def test_another_releases_files_end_the_start(self) -> None:
        self.assertThat(lambda: self.start(OSError("another release wrote it")), raises(OSError))


class ReportedRole(TestCase):
    """Two of three disks lost at once: a swap that was logged and can't commit gives nobody a vote."""

    def role(self, *, voters: dict[int, str], is_voter: bool = True) -> str:
        core = SimpleNamespace(
            mesh="m",
            replica=1,
            incarnation="new",
            epoch=1,
            leader=-1,
            role="candidate",
            last=SimpleNamespace(offset=6),
            high_watermark=5,
            begin_offset=1,
            state=SimpleNamespace(voters=voters, holds={}),
            is_voter=lambda: is_voter,
            complete=True,
            halted="",
            level=4,
            disk_delay=timedelta,
        )
        return status_of(core, counters=Counters(owner="s"), after=0).role

    def test_a_vote_that_only_an_open_change_gives_is_no_standing(self) -> None:
        self.assertThat(self.role(voters={1: "old", 2: "two", 3: "three"}), Equals("observer"))

    def test_a_committed_vote_is(self) -> None:
        self.assertThat(self.role(voters={1: "new", 2: "two", 3: "three"}), Equals("candidate"))

    def test_no_vote_at_all_is_not(self) -> None:
        self.assertThat(self.role(voters={1: "new"}, is_voter=False), Equals("observer"))
