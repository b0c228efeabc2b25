"""Pauses of a soak's programs, read from their logs, so that a busy machine doesn't count as their fault."""

import re
from datetime import datetime, timedelta
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted, History
from hoistsaddle.testbed.emulator.site import BOUNDS

# The format of the logged event: `12:34:56.789 side-03 stood still {'seconds': 0.412}`.
_PAUSE = re.compile(r"^(\d\d:\d\d:\d\d\.\d{3}) \S+ stood still \{'seconds': ([0-9.]+)\}")
# The first fault number of pauses, far above the numbers that the fault injector uses.
FIRST_NUMBER = 1_000_000


class Pause(NamedTuple):
    """One pause of a machine's program, in seconds of the soak's clock."""

    machine: str
    began: float
    ended: float


def pauses_in(log: Path, *, machine: str, clock: float, wall: datetime) -> list[Pause]:
    """Read the pauses from a program's log.

    Args:
        log: the file; a missing one has no pauses.
        machine: the machine of the log.
        clock: the soak's clock at a reference time.
        wall: the time of day at the reference time, to convert the times in the log.
    """
    if not log.exists():
        return []
    pauses = []
    for line in log.read_text(errors="replace").splitlines():
        if match := _PAUSE.match(line):
            at = datetime.combine(wall.date(), datetime.strptime(match[1], "%H:%M:%S.%f").time())
            if at > wall + timedelta(hours=12):
                # Logged before midnight.
                at -= timedelta(days=1)
            ended = clock + (at - wall).total_seconds()
            pauses.append(Pause(machine, ended - float(match[2]), ended))
    return pauses


def record_pauses(history: History, pauses: list[Pause]) -> None:
    """Record pauses as faults of their machines, which excuse violations of rules with a bound in time."""
    for number, pause in enumerate(pauses, FIRST_NUMBER):
        history.add(FaultStarted(pause.began, number, pause.machine, "pause"))
        history.add(FaultEnded(pause.ended, number))
    history.events.sort(key=lambda event: event.at)


def excluded_share_of(pauses: list[Pause], *, machines: int, seconds: float) -> float:
    """Return the share of all machines' time in which timed rules are not checked: pauses, and contact after them."""
    excused = sum(pause.ended - pause.began + BOUNDS["contact_s"] for pause in pauses)
    return min(1.0, excused / (machines * seconds))
