"""The lanes of a day that is about the control side: losses in every form, and orders that race, storm and repeat."""

import random

from hoistsaddle.testbed.emulator.site import BOUNDS, Site
from hoistsaddle.testbed.emulator.troubles import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    SNAPSHOT,
    TAKEN,
    AfterWord,
    Again,
    BadOrder,
    Change,
    Cut,
    DiskTrouble,
    Freeze,
    Happening,
    Kill,
    Large,
    LostWords,
    ReplaceCore,
    Reset,
    Stop,
    Storm,
)

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


def control_lane(draw: random.Random, site: Site, seconds: float) -> list[Happening]:
    """Losses of the core one after the other, each right after the former one has settled, or one long one."""
    core = tuple(machine.name for machine in site.core)
    found: list[Happening] = []
    at = draw.uniform(1.5, 4)
    if draw.random() < LONG_DAYS:
        return [_long(draw, site, at)]
    while at < _calm_from(seconds) - 3:
        span = draw.uniform(0.8, 3)
        found += _loss(draw, draw.choice(KINDS), at, span, core)
        # A lost machine counts as lost for a while after its return: the next trouble waits, as the losses borne say.
        at += span + BOUNDS["settle_s"] + draw.uniform(*SOON)
    return found


def _long(draw: random.Random, site: Site, at: float) -> Happening:
    core = tuple(machine.name for machine in site.core)
    one, span = draw.choice([LEADER, LEADER, *core]), draw.uniform(*LONG)
    match draw.choice(("cut", "sides", "one way", "freeze", "disk")):
        case "cut":
            return Cut(at, (one,), core, span)
        case "sides":
            # Some sidecars are on its side: it alone could tell them of anything new.
            sidecars = tuple(machine.name for machine in site.sidecars)
            beside = draw.sample(sidecars, max(1, len(sidecars) // 3))
            return Cut(at, (one, *beside), (*core, *sidecars), span)
        case "one way":
            return Cut(at, (one,), core, span, one_way=True)
        case "freeze":
            return Freeze(at, (one,), span)
    return DiskTrouble(at, one, span, "stalled")


def _loss(draw: random.Random, kind: str, at: float, span: float, core: tuple[str, ...]) -> list[Happening]:
    one = draw.choice([LEADER, LEADER, *core])
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
            return [Cut(at, (one,), core, span)]
        case "one way":
            return [Cut(at, (one,), core, span, one_way=True)]
        case "disk":
            return [DiskTrouble(at, one, span, draw.choice(("full", "stalled")))]
        case "herd":
            return [Kill(at, core, span / 3, power=draw.random() < 0.7)]
        case "stop":
            return [Stop(at, one, 0.5)]
        case "reset":
            return [Reset(at + place * 0.4, core, draw.choice((0.5, 1.0))) for place in range(draw.choice((1, 3)))]
        case "replace" | "planned":
            # Half of the time down: what stays of the span is its successor's.
            return [ReplaceCore(at, one, span / 2, planned=kind == "planned")]
    when = draw.choice((ACKNOWLEDGED, ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT, SNAPSHOT))
    # Whatever it waits for comes about soon: a change of its own goes with it.
    harm = AfterWord(at, draw.choice(("kill", "power", "wipe")), span, when)
    return [harm, Change(at + 0.1, "times", draw.randrange(1000))]


def orders_lane(draw: random.Random, seconds: float) -> list[Happening]:
    """Orders in every form: races on one version, storms, large ones, repeats, and answers that are lost."""
    found: list[Happening] = []
    if draw.random() < 0.6:
        at = draw.uniform(1, seconds / 2)
        found.append(LostWords(at, draw.uniform(0.5, 0.9), draw.uniform(3, seconds - at - 6)))
    if draw.random() < 0.5:
        gap = draw.choice((0.05, 0.1, 0.3))
        found.append(Storm(draw.uniform(1, seconds - 8), draw.choice((20, 40, 80)), gap, draw.randrange(1000)))
    if draw.random() < 0.25:
        found.append(Large(draw.uniform(1, seconds - 6), draw.randint(40, 200)))
    at = draw.uniform(1, 3)
    while at < seconds - 5:
        match draw.choice(("again", "again", "contest", "contest", "race", "old", "bad")):
            case "again":
                found.append(Again(at, draw.randrange(1000)))
            case "contest":
                found.append(Change(at, "move", draw.randrange(1000), desks=draw.choice((2, 2, 4)), contested=True))
            case "race":
                how = draw.choice(("split", "move", "times"))
                found.append(Change(at, how, draw.randrange(1000), desks=draw.choice((2, 8))))
            case "old":
                found.append(BadOrder(at, "old", draw.randrange(1000)))
            case "bad":
                how = draw.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind"))
                found.append(BadOrder(at, how, draw.randrange(1000)))
        at += draw.uniform(0.8, 4)
    return found
