"""When a machine was in touch and the core settled, from the troubles made and nothing that the product says."""

import bisect
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import Closed, Harm, Healed, History
from hoistsaddle.testbed.emulator.site import BOUNDS, Site, is_core

# A request's own bounds begin a little after a trouble's end is written down.
FOR_EVER = 1e9


class Span(NamedTuple):
    start: float
    end: float
    machine: str
    kind: str
    planned: bool


class Touch:
    def __init__(self, *, history: History, site: Site) -> None:
        self.contact = BOUNDS["contact_s"]
        # A replaced machine's successor takes its place: their number stays.
        self.core_size = len(site.core)
        ends = {healed.number: healed.at for healed in history.of(Healed)}
        self.spans = [
            Span(harm.at, ends.get(harm.number, FOR_EVER), harm.machine, harm.kind, harm.planned)
            for harm in history.of(Harm)
        ]
        self.by_machine: dict[str, list[Span]] = {}
        for span in self.spans:
            self.by_machine.setdefault(span.machine, []).append(span)
        # A disk's trouble is its machine's alone; every other trouble of a core machine moves the core.
        core = [span for span in self.spans if is_core(span.machine) and span.kind != "disk"]
        self.core_spans = core
        self.core_moments = sorted({moment for span in core for moment in (span.start, span.end)})
        self.closed = [closed.at for closed in history.of(Closed)]

    def troubled(self, machine: str, start: float, end: float) -> bool:
        """Whether any trouble of the machine touches this span."""
        return any(span.start <= end and span.end >= start for span in self.by_machine.get(machine, ()))

    def unplanned(self, start: float, end: float) -> bool:
        """Whether any trouble that nobody planned touches this span, wherever."""
        return any(not span.planned and span.start <= end and span.end >= start for span in self.spans)

    def cut(self, start: float, end: float) -> bool:
        """Whether any link was in trouble within this span."""
        return any(span.kind == "cut" and span.start <= end and span.end >= start for span in self.spans)

    def settled(self, moment: float) -> bool:
        """More than half of the core runs and is connected, and nothing happened to it lately."""
        place = bisect.bisect_left(self.core_moments, moment - self.contact)
        if place < len(self.core_moments) and self.core_moments[place] <= moment:
            return False
        out = {span.machine for span in self.core_spans if span.start <= moment <= span.end}
        return (self.core_size - len(out)) * 2 > self.core_size

    def settled_over(self, start: float, end: float) -> bool:
        """Settled all the while: it changes only where something happens to the core."""
        place = bisect.bisect_left(self.core_moments, start)
        happens = place < len(self.core_moments) and self.core_moments[place] <= end
        return self.settled(start) and not happens

    def in_touch(self, machine: str, moment: float, *, until: float | None = None) -> bool:
        """From `contact_s` before the moment on, until another one if it is given."""
        end = moment if until is None else max(moment, until)
        return self.settled_over(moment, end) and not self.troubled(machine, moment - self.contact, end)
