"""A store retries its start on a disk that is full or fails; and the role that a store reports.

The tests guard against a store that gives up, and so loses a vote, on a transient disk error, and against a store that
reports a vote which only an uncommitted change of the voters gives.
"""

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
    def start(self, *errors: OSError) -> tuple[Counters, int, float]:
        """Starts a store on a disk that raises the errors in turn and then works.

        Returns:
            The counters, the number of attempts, and the seconds from the first attempt to the last.
        """
        loop = SimulatedTimeLoop()
        counters = Counters(owner="store")
        remaining, attempts = list(errors), []

        def start() -> None:
            attempts.append(loop.time())
            if remaining:
                raise remaining.pop(0)

        store = SimpleNamespace(
            counters=counters, runtime=SimpleNamespace(now=loop.now), runner=SimpleNamespace(start=start)
        )
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(Store._start_runner(store))
        finally:
            loop.close()
            asyncio.set_event_loop(None)
        return counters, len(attempts), attempts[-1] - attempts[0]

    def test_a_start_on_a_full_or_failing_disk_is_retried_and_reported_once(self) -> None:
        full, failing = OSError(errno.ENOSPC, "no room"), OSError(errno.EIO, "the ledger can't be used now")
        counters, attempts, seconds = self.start(full, failing, full, full)
        events = [each["kind"] for each in counters.events(after=0)["happenings"]]
        self.assertThat((attempts, events), Equals((5, ["disk refuses the start"])))
        # The delays are 0.1, 0.2, 0.4 and 0.8 s.
        self.assertThat(round(seconds, 3), Equals(1.5))

    def test_files_of_another_release_end_the_start(self) -> None:
        self.assertThat(lambda: self.start(OSError("another release wrote it")), raises(OSError))


class ReportedRole(TestCase):
    """Two of three disks lost at once: a voter update that is logged but can't commit gives no vote."""

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

    def test_a_vote_by_an_uncommitted_change_is_reported_as_observer(self) -> None:
        self.assertThat(self.role(voters={1: "old", 2: "two", 3: "three"}), Equals("observer"))

    def test_a_committed_vote_is_reported_with_its_role(self) -> None:
        self.assertThat(self.role(voters={1: "new", 2: "two", 3: "three"}), Equals("candidate"))

    def test_a_replica_without_a_vote_is_reported_as_observer(self) -> None:
        self.assertThat(self.role(voters={1: "new"}, is_voter=False), Equals("observer"))
