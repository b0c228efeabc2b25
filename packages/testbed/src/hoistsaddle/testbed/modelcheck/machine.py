"""One replica's machine of the model: its disk, its core while the process runs, and calls it has yet to answer."""

from hoistsaddle.common.clock import ZERO
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.testbed.modelcheck.clones import clone
from hoistsaddle.testbed.modelcheck.modeldisk import ModelDisk


class Machine:
    """One replica's machine.

    Attributes:
        disk: its present disk.
        core: the raft core; None while no process runs.
        generation: how often the process was started.
        synced: the newest write that was reported as synced.
        waiting: commands that wait for a write to be synced, with its sequence number.
        pending_calls: calls not answered yet by ticket: sender, its generation and number.
    """

    def __init__(self, *, disk: ModelDisk) -> None:
        self.disk = disk
        self.core: RaftCore | None = None
        self.generation = 0
        self.frozen = False
        # The disk does nothing until it is resumed; what was done before stays.
        self.stalled = False
        self.leaving = self.ended = False
        # Gone for good: it is never started again.
        self.removed = False
        # How far its clock is ahead of the cluster's: clocks drift, and nothing may depend on them.
        self.clock_offset = ZERO
        # The epoch and generation it was last seen to lead in.
        self.last_led = (0, 0)
        self.synced = 0
        # The hash of a copy that doesn't change any more, once it was asked for; 0 before.
        self.key = 0
        self.waiting: list[tuple[int, tuple]] = []
        self.pending_calls: dict[int, tuple[int, int, int]] = {}

    def copy(self) -> "Machine":
        """A copy of the machine, which may go another way."""
        copied = Machine(disk=self.disk.copy())
        copied.core = clone(self.core)
        copied.generation = self.generation
        copied.frozen, copied.stalled = self.frozen, self.stalled
        copied.leaving, copied.ended, copied.removed = self.leaving, self.ended, self.removed
        copied.clock_offset = self.clock_offset
        copied.last_led = self.last_led
        copied.synced = self.synced
        copied.waiting = list(self.waiting)
        copied.pending_calls = dict(self.pending_calls)
        return copied

    @property
    def replica(self) -> int:
        """The number of the replica."""
        return self.disk.replica

    @property
    def answers(self) -> bool:
        """Whether its process runs and isn't frozen."""
        return self.core is not None and not self.frozen
