"""Resource usage and traffic of a fleet's processes between two snapshots, per second of the mesh's clock."""

from collections import Counter
from collections.abc import Iterable

from hoistsaddle.rpc.messages import ClaimQueryAnswer, ClaimQueryCall, ForwardAnswer, ForwardCall
from hoistsaddle.testbed.scale.worker_messages import Snapshot
from hoistsaddle.testbed.scale.worker_process import WorkerProcess

# Messages that carry requests; all others are control messages.
DATA_KINDS = frozenset(kind.__name__ for kind in (ForwardCall, ForwardAnswer, ClaimQueryCall, ClaimQueryAnswer))


class Window:
    """The snapshots of all workers before and after a measurement."""

    def __init__(self, *, before: dict[WorkerProcess, Snapshot], after: dict[WorkerProcess, Snapshot]) -> None:
        self.before = before
        self.after = after

    def seconds(self, process: WorkerProcess) -> float:
        """The length of the window at a process, in seconds of the mesh's clock."""
        return self.after[process].at - self.before[process].at

    def processor(self, processes: Iterable[WorkerProcess]) -> float:
        """Processor seconds per second of the mesh's clock, in total."""
        return sum(
            (self.after[process].processor - self.before[process].processor) / self.seconds(process)
            for process in processes
        )

    def frames(self, processes: Iterable[WorkerProcess]) -> Counter[str]:
        """Frames per second, by direction and kind."""
        return self._rates(processes, "frames")

    def octets(self, processes: Iterable[WorkerProcess]) -> Counter[str]:
        """Bytes per second, by direction and kind."""
        return self._rates(processes, "octets")

    def counts(self, processes: Iterable[WorkerProcess]) -> Counter[str]:
        """Increments of the nodes' counters per second, by counter."""
        return self._rates(processes, "counts")

    def _rates(self, processes: Iterable[WorkerProcess], field: str) -> Counter[str]:
        total: Counter[str] = Counter()
        for process in processes:
            before, after = getattr(self.before[process], field), getattr(self.after[process], field)
            for key, value in after.items():
                total[key] += (value - before.get(key, 0)) / self.seconds(process)
        return total


def control_rate(rates: Counter[str]) -> float:
    """The rate of control messages among these rates of frames or bytes."""
    return float(sum(rate for key, rate in rates.items() if key.split()[1] not in DATA_KINDS))
