"""When machines were connected and the core was stable, derived from the injected faults alone."""

import bisect
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted, History
from hoistsaddle.testbed.emulator.site import BOUNDS, Site, is_core

# The end time, in seconds, of a fault without a recorded end.
FOREVER = 1e9


class FaultInterval(NamedTuple):
    """One fault on one machine, from its start to its end in seconds of simulated time."""

    start: float
    end: float
    machine: str
    kind: str
    planned: bool

    def overlaps(self, start: float, end: float) -> bool:
        """Whether any part of the fault lies in this interval."""
        return self.start <= end and self.end >= start


class FaultTimeline:
    """The day's faults by time and machine."""

    def __init__(self, *, history: History, site: Site) -> None:
        self.contact_seconds = BOUNDS["contact_s"]
        # Constant: every replaced machine has one successor.
        self.core_size = len(site.core)
        ends = {ended.number: ended.at for ended in history.of(FaultEnded)}
        self.intervals = [
            FaultInterval(fault.at, ends.get(fault.number, FOREVER), fault.machine, fault.kind, fault.planned)
            for fault in history.of(FaultStarted)
        ]
        self.by_machine: dict[str, list[FaultInterval]] = {}
        for interval in self.intervals:
            self.by_machine.setdefault(interval.machine, []).append(interval)
        # A disk fault affects only its own machine; every other fault of a core machine may change the leader.
        core = [interval for interval in self.intervals if is_core(interval.machine) and interval.kind != "disk"]
        self.core_intervals = core
        self.core_timestamps = sorted({timestamp for interval in core for timestamp in (interval.start, interval.end)})

    def is_faulty(self, machine: str, start: float, end: float) -> bool:
        """Whether any fault of the machine overlaps this interval."""
        return any(interval.overlaps(start, end) for interval in self.by_machine.get(machine, ()))

    def has_unplanned_fault(self, start: float, end: float) -> bool:
        """Whether an unplanned fault of any machine overlaps this interval."""
        return any(not interval.planned and interval.overlaps(start, end) for interval in self.intervals)

    def has_partition(self, start: float, end: float) -> bool:
        """Whether any link was cut within this interval."""
        return any(interval.kind == "cut" and interval.overlaps(start, end) for interval in self.intervals)

    def _core_changes(self, start: float, end: float) -> bool:
        """Whether a fault of the core starts or ends within this interval."""
        position = bisect.bisect_left(self.core_timestamps, start)
        return position < len(self.core_timestamps) and self.core_timestamps[position] <= end

    def is_core_stable(self, at: float) -> bool:
        """Whether a core majority runs and is connected, and no core fault began or ended in the last `contact_s`."""
        if self._core_changes(at - self.contact_seconds, at):
            return False
        faulty = {interval.machine for interval in self.core_intervals if interval.start <= at <= interval.end}
        return (self.core_size - len(faulty)) * 2 > self.core_size

    def is_core_stable_during(self, start: float, end: float) -> bool:
        """Whether the core is stable throughout the interval; that changes only when a core fault starts or ends."""
        return self.is_core_stable(start) and not self._core_changes(start, end)

    def is_connected(self, machine: str, at: float, *, until: float | None = None) -> bool:
        """Whether the machine had no fault, and the core was stable, from `contact_s` before `at` until `until`."""
        end = at if until is None else max(at, until)
        return self.is_core_stable_during(at, end) and not self.is_faulty(machine, at - self.contact_seconds, end)
