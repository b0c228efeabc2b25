"""Single losses of a counted machine, drawn one by one; the points put them in a row."""

from collections.abc import Callable

from hoistsaddle.testbed.benchdays.draft import Draft

# Which counted machine a trouble takes: the leader twice as often as any other.
WHO = ("leader", "leader", "", "seed", "reader")


def who(draft: Draft) -> str:
    return draft.random.choice(WHO)


def _how(draft: Draft, *words: str) -> str:
    return " ".join(word for word in words if word)


def power(draft: Draft, at: float) -> float:
    span = draft.span(0.6, 3.5, at=at)
    how = _how(draft, draft.any_of("power", ""), who(draft), draft.any_of("", "", "race", "meet", "drain"))
    draft.fault(at, "node_kill", on="core", count=1, for_s=span, how=how)
    return span


def wiped(draft: Draft, at: float) -> float:
    span = draft.span(0.8, 3.0, at=at)
    draft.fault(at, "after_ack_wipe", for_s=span, how=draft.any_of("", "", "timed", "taken"))
    draft.planned(at + 0.15, "config_change", how=draft.any_of("idle", "timeout"))
    return span


def killed_after_word(draft: Draft, at: float) -> float:
    span = draft.span(0.8, 3.0, at=at)
    draft.fault(at, "after_ack_kill", for_s=span, how=draft.any_of("", "kill", "timed", "taken"))
    draft.planned(at + 0.15, "config_change", how=draft.any_of("idle", "timeout"))
    return span


def stopped(draft: Draft, at: float) -> float:
    draft.planned(at, "roll_term", on="core", count=1, x=1.0, gap_s=1.0, how=draft.any_of("", "busy", who(draft)))
    return 1.0


def cut(draft: Draft, at: float) -> float:
    span = draft.span(2.0, 6.0, at=at)
    draft.fault(at, "core_cut", count=1, for_s=span, how=_how(draft, who(draft), draft.any_of("", "one_way", "race")))
    return span


def frozen(draft: Draft, at: float) -> float:
    span = draft.span(2.0, 6.0, at=at)
    draft.fault(at, "node_freeze", on="core", count=1, for_s=span, how=_how(draft, who(draft)))
    return span


def replaced(draft: Draft, at: float) -> float:
    if draft.spares_left < 1:
        return power(draft, at)
    draft.spares_left -= 1
    planned = draft.chance(0.5)
    wait = round(draft.random.uniform(0.5, 2.0), 2)
    draft.fault(at, "replace_core", x=wait, how=_how(draft, "planned" if planned else "", who(draft)))
    return wait


LOSSES: tuple[Callable[[Draft, float], float], ...] = (power, wiped, killed_after_word, stopped, cut, frozen, replaced)


def one(draft: Draft, at: float) -> float:
    """Any loss; gives how long the machine is away."""
    return draft.random.choice(LOSSES)(draft, at)
