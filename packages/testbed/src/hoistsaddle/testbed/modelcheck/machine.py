"""The modelled machine of one replica: its disk, its core while the process runs, and its unanswered calls."""

from hoistsaddle.common.clock import ZERO
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.testbed.modelcheck.clones import clone
from hoistsaddle.testbed.modelcheck.modeldisk import ModelDisk


class Machine:
    """The modelled machine of one replica.

    Attributes:
        disk: its current disk.
        core: the raft core; None while no process runs.
        generation: the number of starts of the process so far.
        synced: the sequence number of the newest write reported as synced.
        waiting: messages that wait for a write to be synced, with the sequence number of the write.
        pending_calls: unanswered calls by ticket, as sender, generation of the sender and call number.
    """

    def __init__(self, *, disk: ModelDisk) -> None:
        self.disk = disk
        self.core: RaftCore | None = None
        self.generation = 0
        self.frozen = False
        # The disk executes no jobs until it is resumed; earlier jobs stay done.
        self.stalled = False
        self.leaving = self.ended = False
        # Permanently removed, never started again.
        self.removed = False
        # Offset of its clock from the cluster's: clocks drift, and correctness must not depend on them.
        self.clock_offset = ZERO
        # The epoch and generation in which it was last seen as leader.
        self.last_led = (0, 0)
        self.synced = 0
        # Cached hash of a machine that no longer changes; 0 until it is computed.
        self.key = 0
        self.waiting: list[tuple[int, tuple]] = []
        self.pending_calls: dict[int, tuple[int, int, int]] = {}

    def copy(self) -> "Machine":
        """A copy of the machine, to continue on another path."""
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
        """The replica number."""
        return self.disk.replica

    @property
    def responsive(self) -> bool:
        """Whether its process runs and isn't frozen."""
        return self.core is not None and not self.frozen
