"""Events of control-plane days: core faults of all kinds, and racing, rapid and repeated changes."""

import random

from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    SNAPSHOT,
    TAKEN,
    Change,
    ChangeStorm,
    DiskFault,
    Freeze,
    InvalidChange,
    Kill,
    LargeChange,
    LostAnswers,
    Partition,
    RepeatChange,
    ReplaceCore,
    ResetConnections,
    ScheduledEvent,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, Site

# Shortest and longest duration of a fault that outlasts every lease and retry and takes most of a day, in seconds.
LONG_FAULT_SECONDS = (16.0, 18.0)
LONG_FAULT_SHARE = 0.25
# Shortest and longest time from the end of a fault's `settle_s` to the next fault.
FAULT_GAP_SECONDS = (0.05, 1.0)
# Seconds without faults at the end of a day, in addition to `settle_s`.
CALM_SECONDS = 2.0
# Added to the core machines, so that the leader is hit more often than any other.
LEADER_TWICE = (LEADER, LEADER)
KINDS = (
    "kill",
    "power",
    "wipe",
    "freeze",
    "cut",
    "one way",
    "disk",
    "herd",
    "stop",
    "after",
    "replace",
    "replace",
    "planned",
    "planned",
    "reset",
)
# On a control-plane day, the share of simultaneous core failures that are power losses.
HERD_POWER_SHARE = 0.7


def end_of_faults(seconds: float) -> float:
    """The time by which the last fault of a day of this length must be over."""
    return seconds - BOUNDS["settle_s"] - CALM_SECONDS


def control_plane_events(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Consecutive core faults, each soon after the previous one has settled, or a single long one."""
    core = tuple(machine.name for machine in site.core)
    events: list[ScheduledEvent] = []
    at = rng.uniform(1.5, 4)
    if rng.random() < LONG_FAULT_SHARE:
        return [_long_fault(rng, site, at)]
    while at < end_of_faults(seconds) - 3:
        duration = rng.uniform(0.8, 3)
        events += _core_fault(rng, rng.choice(KINDS), at, duration, core)
        # A machine counts as lost for `settle_s` after its return; no more than the tolerated losses may overlap.
        at += duration + BOUNDS["settle_s"] + rng.uniform(*FAULT_GAP_SECONDS)
    return events


def _long_fault(rng: random.Random, site: Site, at: float) -> ScheduledEvent:
    core = tuple(machine.name for machine in site.core)
    machine, duration = rng.choice([*LEADER_TWICE, *core]), rng.uniform(*LONG_FAULT_SECONDS)
    match rng.choice(("cut", "sides", "one way", "freeze", "disk")):
        case "cut":
            return Partition(at, (machine,), core, duration)
        case "sides":
            # Some sidecars are on the same side of the partition: they can learn of changes only from this machine.
            sidecars = tuple(sidecar.name for sidecar in site.sidecars)
            beside = rng.sample(sidecars, max(1, len(sidecars) // 3))
            return Partition(at, (machine, *beside), (*core, *sidecars), duration)
        case "one way":
            return Partition(at, (machine,), core, duration, one_way=True)
        case "freeze":
            return Freeze(at, (machine,), duration)
    return DiskFault(at, machine, duration, "stalled")


def simple_fault(
    rng: random.Random,
    kind: str,
    *,
    at: float,
    duration: float,
    machine: str,
    core: tuple[str, ...],
    herd_power_share: float,
) -> ScheduledEvent | None:
    """A fault of one core machine, or of all at once ("herd"); None for any other kind."""
    match kind:
        case "kill":
            return Kill(at, (machine,), duration)
        case "power":
            return Kill(at, (machine,), duration, power=True)
        case "wipe":
            return Kill(at, (machine,), duration, power=True, wipe=True)
        case "freeze":
            return Freeze(at, (machine,), duration)
        case "cut":
            return Partition(at, (machine,), core, duration)
        case "one way":
            return Partition(at, (machine,), core, duration, one_way=True)
        case "disk":
            return DiskFault(at, machine, duration, rng.choice(("full", "stalled")))
        case "herd":
            return Kill(at, core, duration / 3, power=rng.random() < herd_power_share)
        case "stop":
            return Stop(at, machine, 0.5)
    return None


def _core_fault(
    rng: random.Random, kind: str, at: float, duration: float, core: tuple[str, ...]
) -> list[ScheduledEvent]:
    machine = rng.choice([*LEADER_TWICE, *core])
    simple = simple_fault(
        rng, kind, at=at, duration=duration, machine=machine, core=core, herd_power_share=HERD_POWER_SHARE
    )
    if simple is not None:
        return [simple]
    match kind:
        case "reset":
            return [
                ResetConnections(at + number * 0.4, core, rng.choice((0.5, 1.0)))
                for number in range(rng.choice((1, 3)))
            ]
        case "replace" | "planned":
            # The machine is missing for half of the duration; its successor starts up in the other half.
            return [ReplaceCore(at, machine, duration / 2, planned=kind == "planned")]
    trigger = rng.choice((ACKNOWLEDGED, ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT, SNAPSHOT))
    # Submits a change with it, so that the trigger occurs soon.
    fault = TriggeredFault(at, rng.choice(("kill", "power", "wipe")), duration, trigger)
    return [fault, Change(at + 0.1, "times", rng.randrange(1000))]


def change_events(rng: random.Random, seconds: float) -> list[ScheduledEvent]:
    """Changes of all kinds: races on one revision, storms, large and repeated changes, and lost answers."""
    events: list[ScheduledEvent] = []
    if rng.random() < 0.6:
        at = rng.uniform(1, seconds / 2)
        events.append(LostAnswers(at, rng.uniform(0.5, 0.9), rng.uniform(3, seconds - at - 6)))
    if rng.random() < 0.5:
        gap = rng.choice((0.05, 0.1, 0.3))
        events.append(ChangeStorm(rng.uniform(1, seconds - 8), rng.choice((20, 40, 80)), gap, rng.randrange(1000)))
    if rng.random() < 0.25:
        events.append(LargeChange(rng.uniform(1, seconds - 6), rng.randint(40, 200)))
    at = rng.uniform(1, 3)
    while at < seconds - 5:
        match rng.choice(("again", "again", "contest", "contest", "race", "old", "bad")):
            case "again":
                events.append(RepeatChange(at, rng.randrange(1000)))
            case "contest":
                events.append(Change(at, "move", rng.randrange(1000), operators=rng.choice((2, 2, 4)), contested=True))
            case "race":
                how = rng.choice(("split", "move", "times"))
                events.append(Change(at, how, rng.randrange(1000), operators=rng.choice((2, 8))))
            case "old":
                events.append(InvalidChange(at, "old", rng.randrange(1000)))
            case "bad":
                how = rng.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind"))
                events.append(InvalidChange(at, how, rng.randrange(1000)))
        at += rng.uniform(0.8, 4)
    return events
