"""The lanes of a day that is about the control side: losses in every form, and orders that race, storm and repeat."""

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

# A cut or freeze that outlasts every lease and retry span: it takes most of a day.
LONG = (16.0, 18.0)
LONG_DAYS = 0.25
# A loss begins this soon after the former one has settled.
SOON = (0.05, 1.0)
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


def _calm_from(seconds: float) -> float:
    return seconds - BOUNDS["settle_s"] - 2


def control_plane_events(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Losses of the core one after the other, each right after the former one has settled, or one long one."""
    core = tuple(machine.name for machine in site.core)
    found: list[ScheduledEvent] = []
    at = rng.uniform(1.5, 4)
    if rng.random() < LONG_DAYS:
        return [_long(rng, site, at)]
    while at < _calm_from(seconds) - 3:
        span = rng.uniform(0.8, 3)
        found += _loss(rng, rng.choice(KINDS), at, span, core)
        # A lost machine counts as lost for a while after its return: the next trouble waits, as the losses borne say.
        at += span + BOUNDS["settle_s"] + rng.uniform(*SOON)
    return found


def _long(rng: random.Random, site: Site, at: float) -> ScheduledEvent:
    core = tuple(machine.name for machine in site.core)
    one, span = rng.choice([LEADER, LEADER, *core]), rng.uniform(*LONG)
    match rng.choice(("cut", "sides", "one way", "freeze", "disk")):
        case "cut":
            return Partition(at, (one,), core, span)
        case "sides":
            # Some sidecars are on its side: it alone could tell them of anything new.
            sidecars = tuple(machine.name for machine in site.sidecars)
            beside = rng.sample(sidecars, max(1, len(sidecars) // 3))
            return Partition(at, (one, *beside), (*core, *sidecars), span)
        case "one way":
            return Partition(at, (one,), core, span, one_way=True)
        case "freeze":
            return Freeze(at, (one,), span)
    return DiskFault(at, one, span, "stalled")


def _loss(rng: random.Random, kind: str, at: float, span: float, core: tuple[str, ...]) -> list[ScheduledEvent]:
    one = rng.choice([LEADER, LEADER, *core])
    match kind:
        case "kill":
            return [Kill(at, (one,), span)]
        case "power":
            return [Kill(at, (one,), span, power=True)]
        case "wipe":
            return [Kill(at, (one,), span, power=True, wipe=True)]
        case "freeze":
            return [Freeze(at, (one,), span)]
        case "cut":
            return [Partition(at, (one,), core, span)]
        case "one way":
            return [Partition(at, (one,), core, span, one_way=True)]
        case "disk":
            return [DiskFault(at, one, span, rng.choice(("full", "stalled")))]
        case "herd":
            return [Kill(at, core, span / 3, power=rng.random() < 0.7)]
        case "stop":
            return [Stop(at, one, 0.5)]
        case "reset":
            return [
                ResetConnections(at + place * 0.4, core, rng.choice((0.5, 1.0))) for place in range(rng.choice((1, 3)))
            ]
        case "replace" | "planned":
            # Half of the time down: what stays of the span is its successor's.
            return [ReplaceCore(at, one, span / 2, planned=kind == "planned")]
    when = rng.choice((ACKNOWLEDGED, ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT, SNAPSHOT))
    # Whatever it waits for comes about soon: a change of its own goes with it.
    fault = TriggeredFault(at, rng.choice(("kill", "power", "wipe")), span, when)
    return [fault, Change(at + 0.1, "times", rng.randrange(1000))]


def change_events(rng: random.Random, seconds: float) -> list[ScheduledEvent]:
    """Orders in every form: races on one version, storms, large ones, repeats, and answers that are lost."""
    found: list[ScheduledEvent] = []
    if rng.random() < 0.6:
        at = rng.uniform(1, seconds / 2)
        found.append(LostAnswers(at, rng.uniform(0.5, 0.9), rng.uniform(3, seconds - at - 6)))
    if rng.random() < 0.5:
        gap = rng.choice((0.05, 0.1, 0.3))
        found.append(ChangeStorm(rng.uniform(1, seconds - 8), rng.choice((20, 40, 80)), gap, rng.randrange(1000)))
    if rng.random() < 0.25:
        found.append(LargeChange(rng.uniform(1, seconds - 6), rng.randint(40, 200)))
    at = rng.uniform(1, 3)
    while at < seconds - 5:
        match rng.choice(("again", "again", "contest", "contest", "race", "old", "bad")):
            case "again":
                found.append(RepeatChange(at, rng.randrange(1000)))
            case "contest":
                found.append(Change(at, "move", rng.randrange(1000), operators=rng.choice((2, 2, 4)), contested=True))
            case "race":
                how = rng.choice(("split", "move", "times"))
                found.append(Change(at, how, rng.randrange(1000), operators=rng.choice((2, 8))))
            case "old":
                found.append(InvalidChange(at, "old", rng.randrange(1000)))
            case "bad":
                how = rng.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind"))
                found.append(InvalidChange(at, how, rng.randrange(1000)))
        at += rng.uniform(0.8, 4)
    return found
