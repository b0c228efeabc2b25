"""The thread of the disk lives as long as its process, whatever a job raises."""

import queue
from types import SimpleNamespace
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.counters import Counters
from hoistsaddle.raft.disk_jobs import BootstrapMesh, DiskThread, MeshChanged
from hoistsaddle.raft.events import OffsetAndEpoch, Synced, Write

# Only limits a test that hangs.
MAX_SECONDS = 30.0
WRITE = Write(1, 1, None, (), "m", OffsetAndEpoch(0, 0), False, False, -1, ())


class Thread(TestCase):
    """Guards against a thread of the disk that has ended for good without a trace (review/8)."""

    def start(self, disk: Any) -> tuple[DiskThread, queue.SimpleQueue, Counters]:
        reports: queue.SimpleQueue = queue.SimpleQueue()
        counters = Counters(owner="one")
        thread = DiskThread(disk=disk, report=reports.put, counters=counters)
        self.addCleanup(thread.stop)
        return thread, reports, counters

    def test_a_write_that_raises_any_error_is_tried_again(self) -> None:
        for error in (RuntimeError("x"), ValueError("x"), KeyError("x"), OSError("x")):
            errors = [error, error]

            def write(_: object, errors: list = errors) -> None:
                if errors:
                    raise errors.pop()

            thread, reports, counters = self.start(SimpleNamespace(write=write))
            thread.put(WRITE)
            self.assertThat(reports.get(timeout=MAX_SECONDS), Equals(Synced(1)), repr(error))
            self.assertThat(counters.read()["counts"]["disk.mishaps"], Equals(2), repr(error))

    def test_a_job_that_raises_any_error_is_answered_as_failed_and_the_next_one_is_done(self) -> None:
        for error in (RuntimeError("x"), ValueError("x"), OSError("x")):

            def bootstrap(error: Exception = error, **_: object) -> None:
                raise error

            thread, reports, _ = self.start(SimpleNamespace(bootstrap=bootstrap, write=lambda _: None))
            thread.put(BootstrapMesh("m", {}, {}, 1))
            self.assertThat(reports.get(timeout=MAX_SECONDS), Equals(MeshChanged(None)), repr(error))
            thread.put(WRITE)
            self.assertThat(reports.get(timeout=MAX_SECONDS), Equals(Synced(1)), repr(error))
