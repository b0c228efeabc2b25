"""Losses of one core machine. Each function returns for how many seconds the machine is down."""

from collections.abc import Callable

from hoistsaddle.testbed.benchdays.draft import Draft

# Selects the core machine that fails: the leader with twice the weight of any other choice.
MACHINE_CHOICES = ("leader", "leader", "", "seed", "reader")


def select_machine(draft: Draft) -> str:
    """The word of a variant that selects the machine; if it is empty, the bench chooses by the day's seed."""
    return draft.random.choice(MACHINE_CHOICES)


def _variant(*words: str) -> str:
    return " ".join(word for word in words if word)


def power_lost(draft: Draft, at: float) -> float:
    """The machine is killed, or loses power."""
    duration = draft.duration(0.6, 3.5, at=at)
    how = _variant(draft.pick("power", ""), select_machine(draft), draft.pick("", "", "race", "meet", "drain"))
    draft.fault(at, "node_kill", on="core", count=1, for_s=duration, how=how)
    return duration


def wiped(draft: Draft, at: float) -> float:
    """The machine that acknowledges the next change loses its disk."""
    duration = draft.duration(0.8, 3.0, at=at)
    draft.fault(at, "after_ack_wipe", for_s=duration, how=draft.pick("", "", "timed", "taken"))
    draft.planned(at + 0.15, "config_change", how=draft.pick("idle", "timeout"))
    return duration


def killed_after_acknowledgement(draft: Draft, at: float) -> float:
    """The machine that acknowledges the next change is killed, or loses power."""
    duration = draft.duration(0.8, 3.0, at=at)
    draft.fault(at, "after_ack_kill", for_s=duration, how=draft.pick("", "kill", "timed", "taken"))
    draft.planned(at + 0.15, "config_change", how=draft.pick("idle", "timeout"))
    return duration


def stopped(draft: Draft, at: float) -> float:
    """The machine gets SIGTERM and is restarted."""
    draft.planned(
        at, "roll_term", on="core", count=1, x=1.0, gap_s=1.0, how=draft.pick("", "busy", select_machine(draft))
    )
    return 1.0


def cut(draft: Draft, at: float) -> float:
    """The machine is partitioned from the others."""
    duration = draft.duration(2.0, 6.0, at=at)
    draft.fault(
        at,
        "core_cut",
        count=1,
        for_s=duration,
        how=_variant(select_machine(draft), draft.pick("", "one_way", "race")),
    )
    return duration


def frozen(draft: Draft, at: float) -> float:
    """The machine freezes."""
    duration = draft.duration(2.0, 6.0, at=at)
    draft.fault(at, "node_freeze", on="core", count=1, for_s=duration, how=_variant(select_machine(draft)))
    return duration


def replaced(draft: Draft, at: float) -> float:
    """An empty machine replaces it; without a spare machine left, it is killed or loses power instead."""
    if draft.spares_left < 1:
        return power_lost(draft, at)
    draft.spares_left -= 1
    planned = draft.chance(0.5)
    wait = round(draft.random.uniform(0.5, 2.0), 2)
    draft.fault(at, "replace_core", x=wait, how=_variant("planned" if planned else "", select_machine(draft)))
    return wait


LOSSES: tuple[Callable[[Draft, float], float], ...] = (
    power_lost,
    wiped,
    killed_after_acknowledgement,
    stopped,
    cut,
    frozen,
    replaced,
)


def draw_loss(draft: Draft, at: float) -> float:
    """Draws a random loss; returns for how many seconds the machine is down."""
    return draft.random.choice(LOSSES)(draft, at)
