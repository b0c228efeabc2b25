"""When a machine was in touch and the core settled, from the troubles made and nothing that the product says."""

import bisect
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted, FinalFaultEnded, History
from hoistsaddle.testbed.emulator.site import BOUNDS, Site, is_core

# A request's own bounds begin a little after a trouble's end is written down.
FOR_EVER = 1e9


class FaultInterval(NamedTuple):
    start: float
    end: float
    machine: str
    kind: str
    planned: bool


class FaultTimeline:
    def __init__(self, *, history: History, site: Site) -> None:
        self.contact = BOUNDS["contact_s"]
        # A replaced machine's successor takes its place: their number stays.
        self.core_size = len(site.core)
        ends = {ended_fault.number: ended_fault.at for ended_fault in history.of(FaultEnded)}
        self.intervals = [
            FaultInterval(fault.at, ends.get(fault.number, FOR_EVER), fault.machine, fault.kind, fault.planned)
            for fault in history.of(FaultStarted)
        ]
        self.by_machine: dict[str, list[FaultInterval]] = {}
        for interval in self.intervals:
            self.by_machine.setdefault(interval.machine, []).append(interval)
        # A disk's trouble is its machine's alone; every other trouble of a core machine moves the core.
        core = [interval for interval in self.intervals if is_core(interval.machine) and interval.kind != "disk"]
        self.core_intervals = core
        self.core_timestamps = sorted({timestamp for interval in core for timestamp in (interval.start, interval.end)})
        self.closed = [closed.at for closed in history.of(FinalFaultEnded)]

    def faulty(self, machine: str, start: float, end: float) -> bool:
        """Whether any trouble of the machine touches this span."""
        return any(interval.start <= end and interval.end >= start for interval in self.by_machine.get(machine, ()))

    def unplanned(self, start: float, end: float) -> bool:
        """Whether any trouble that nobody planned touches this span, wherever."""
        return any(
            not interval.planned and interval.start <= end and interval.end >= start for interval in self.intervals
        )

    def cut(self, start: float, end: float) -> bool:
        """Whether any link was in trouble within this span."""
        return any(
            interval.kind == "cut" and interval.start <= end and interval.end >= start for interval in self.intervals
        )

    def settled(self, timestamp: float) -> bool:
        """More than half of the core runs and is connected, and nothing happened to it lately."""
        place = bisect.bisect_left(self.core_timestamps, timestamp - self.contact)
        if place < len(self.core_timestamps) and self.core_timestamps[place] <= timestamp:
            return False
        out = {interval.machine for interval in self.core_intervals if interval.start <= timestamp <= interval.end}
        return (self.core_size - len(out)) * 2 > self.core_size

    def settled_over(self, start: float, end: float) -> bool:
        """Settled all the while: it changes only where something happens to the core."""
        place = bisect.bisect_left(self.core_timestamps, start)
        happens = place < len(self.core_timestamps) and self.core_timestamps[place] <= end
        return self.settled(start) and not happens

    def connected(self, machine: str, timestamp: float, *, until: float | None = None) -> bool:
        """From `contact_s` before the moment on, until another one if it is given."""
        end = timestamp if until is None else max(timestamp, until)
        return self.settled_over(timestamp, end) and not self.faulty(machine, timestamp - self.contact, end)
