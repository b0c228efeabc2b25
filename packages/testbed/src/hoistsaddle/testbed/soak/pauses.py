"""When the programs of a soak stood still, by their own records: a busy machine is no fault of theirs."""

import re
from datetime import datetime, timedelta
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted, History
from hoistsaddle.testbed.emulator.site import BOUNDS

# `12:34:56.789 side-03 stood still {'seconds': 0.412}`, as the programs log it.
_PAUSE = re.compile(r"^(\d\d:\d\d:\d\d\.\d{3}) \S+ stood still \{'seconds': ([0-9.]+)\}")
# Numbers of such faults, far above those of the fault injector.
FIRST_NUMBER = 1_000_000


class Pause(NamedTuple):
    """One standstill of a machine's program, in seconds of the soak's clock."""

    machine: str
    began: float
    ended: float


def pauses_in(log: Path, *, machine: str, clock: float, wall: datetime) -> list[Pause]:
    """Read a program's log.

    Args:
        log: the file; a missing one has no pauses.
        machine: whose log it is.
        clock: the soak's clock at a moment.
        wall: the time of day at the same moment, by which the log's lines are dated.
    """
    if not log.exists():
        return []
    found = []
    for line in log.read_text(errors="replace").splitlines():
        if match := _PAUSE.match(line):
            at = datetime.combine(wall.date(), datetime.strptime(match[1], "%H:%M:%S.%f").time())
            if at > wall + timedelta(hours=12):
                # Logged before midnight.
                at -= timedelta(days=1)
            ended = clock + (at - wall).total_seconds()
            found.append(Pause(machine, ended - float(match[2]), ended))
    return found


def excuse(history: History, pauses: list[Pause]) -> None:
    """Record pauses as faults of their machines, so that rules with a bound in time don't count what they explain."""
    for number, pause in enumerate(pauses, FIRST_NUMBER):
        history.add(FaultStarted(pause.began, number, pause.machine, "pause"))
        history.add(FaultEnded(pause.ended, number))
    history.events.sort(key=lambda event: event.at)


def share_left_out(pauses: list[Pause], *, machines: int, seconds: float) -> float:
    """Return the share of all machines' time in which a pause, or contact after one, leaves rules unjudged."""
    excused = sum(pause.ended - pause.began + BOUNDS["contact_s"] for pause in pauses)
    return min(1.0, excused / (machines * seconds))
