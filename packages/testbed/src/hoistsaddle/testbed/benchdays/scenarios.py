"""The scenarios of days, by the point that they test; every scenario has many random variants."""

from collections.abc import Callable

from hoistsaddle.testbed.benchdays import losses
from hoistsaddle.testbed.benchdays.draft import Draft
from hoistsaddle.testbed.benchdays.events import (
    change_storm,
    clock_steps,
    connection_resets,
    crashed_servers,
    exchanged_seeds,
    frozen_proxies,
    garbled_answers,
    killed_herd,
    killed_proxies,
    large_change,
    lost_answers,
    partitioned_proxies,
    partitioned_servers,
    restarted_servers,
    reused_addresses,
    stopped_proxies,
)

# Shortest and longest duration, in seconds, of a partition that outlasts every lease, retry and log clean-up.
LONG_PARTITION = (20.0, 24.0)
CHANGES = ("idle", "idle", "timeout", "route", "weights", "quota", "tenant")


def successive_changes(draft: Draft, *, first: float, last: float, gap: tuple[float, float]) -> None:
    """Consecutive changes with random gaps."""
    at = first
    while at < min(last, draft.last):
        draft.planned(at, "config_change", how=draft.random.choice(CHANGES))
        at += draft.random.uniform(*gap)


def isolated_member(draft: Draft) -> None:
    """One core machine is partitioned, frozen or slow for at least twenty seconds while the others keep running."""
    at = draft.time_between(2.0, 6.0)
    duration = draft.duration(*LONG_PARTITION, at=at)
    match draft.random.choice(("cut",) * 6 + ("freeze", "slow", "stall")):
        case "cut":
            how = (
                losses.select_machine(draft),
                draft.pick("", "", "one_way", "reset", "refuse"),
                draft.pick("", "seeds", "both", "race", "race hard", "meet"),
                draft.words(("drain", 0.3)),
            )
            draft.fault(at, "core_cut", count=1, for_s=duration, how=" ".join(word for word in how if word))
        case "freeze":
            draft.fault(at, "node_freeze", on="core", count=1, for_s=duration, how=losses.select_machine(draft))
        case "slow":
            draft.fault(
                at,
                "node_slow",
                on="core",
                count=1,
                for_s=duration,
                x=draft.pick(5.0, 15.0),
                how=losses.select_machine(draft),
            )
        case "stall":
            draft.fault(at, "disk_stall", count=1, for_s=duration, how=losses.select_machine(draft))
    successive_changes(draft, first=at + 0.5, last=at + duration + 2, gap=draft.pick((0.3, 1.0), (1.0, 4.0)))
    if draft.chance(0.4):
        draft.planned(draft.time_between(at, at + duration), "config_race", count=draft.pick(2, 4), gap_s=0.8)
    if draft.chance(0.4):
        draft.fault(draft.time_between(at, at + duration), "ack_lost", x=0.8, for_s=draft.duration(4, 10, at=at))
    for _ in range(draft.pick(1, 2, 3)):
        draft.random.choice(
            (partitioned_proxies, killed_proxies, frozen_proxies, stopped_proxies, exchanged_seeds, clock_steps)
        )(draft)


def change_races(draft: Draft) -> None:
    """Operators race, repeat changes whose answers were lost and submit invalid ones while core machines fail."""
    lossy_from = draft.time_between(1.0, 4.0)
    draft.fault(lossy_from, "ack_lost", x=draft.random.uniform(0.7, 0.9), for_s=draft.duration(8, 22, at=lossy_from))
    for _ in range(draft.pick(1, 2, 3)):
        count, gap = draft.pick((3, 1.5), (6, 0.6), (12, 0.25), (4, 1.0))
        draft.planned(draft.time_between(1.0, draft.last - count * gap), "config_race", count=count, gap_s=gap)
    reasons = ("same_version", "stale_match", "old_version", *draft.site.invalid)
    for _ in range(draft.pick(2, 3, 4)):
        how = draft.random.choice(reasons[:3] * 2 + reasons)
        draft.planned(
            draft.time_between(2.0, draft.last - 3), "bad_config", how=how, count=3, gap_s=draft.pick(0.3, 0.8)
        )
    if draft.chance(0.5):
        change_storm(draft)
    successive_changes(
        draft, first=draft.time_between(1.0, 8.0), last=draft.last, gap=draft.pick((0.3, 1.5), (1.0, 3.0))
    )
    consecutive_losses(draft, first=draft.time_between(3.0, 8.0), most=draft.pick(1, 2, 3))
    if draft.chance(0.3):
        at = draft.time_between(6.0, draft.last - 4)
        how = draft.pick("power", "power race", "", "taken")
        draft.fault(at, "herd_kill", on="core", share=1.0, for_s=draft.duration(0.5, 2, at=at), how=how)


def consecutive_losses(draft: Draft, *, first: float, most: int) -> None:
    """Consecutive losses, each right after the previous one has settled or, in some draws, somewhat earlier."""
    at = first
    for _ in range(most):
        if at > draft.last - 1:
            return
        away = losses.draw_loss(draft, at)
        after = draft.pick(draft.site.settle + 0.1, draft.site.settle + 0.1, draft.random.uniform(0.5, 6.0))
        at += away + after + draft.random.uniform(0.0, 0.5)


def lost_members(draft: Draft) -> None:
    """Core machines are lost, replaced and restarted one after the other, as fast as the site tolerates."""
    match draft.random.choice(("mixed", "mixed", "mixed", "twice replaced", "wiped", "planned")):
        case "twice replaced":
            at = draft.time_between(2.0, 5.0)
            for _ in range(min(draft.spares_left, draft.pick(2, 3))):
                losses.replaced(draft, at)
                at += draft.random.uniform(3.0, 7.0)
            consecutive_losses(draft, first=at + 1.0, most=2)
        case "wiped":
            at = draft.time_between(2.0, 4.0)
            while at < draft.last - 2:
                losses.wiped(draft, at)
                at += draft.random.uniform(5.5, 7.5)
        case "planned":
            at = draft.time_between(2.0, 4.0)
            while at < draft.last - 2:
                draft.pick(losses.stopped, losses.replaced, losses.stopped, losses.cut)(draft, at)
                at += draft.random.uniform(4.0, 7.0)
        case _:
            consecutive_losses(draft, first=draft.time_between(2.0, 4.0), most=6)
    successive_changes(draft, first=1.0, last=draft.last, gap=draft.pick((0.4, 1.0), (1.5, 2.5)))
    if draft.chance(0.3):
        exchanged_seeds(draft)


def many_changes(draft: Draft) -> None:
    """Hundreds of changes while a core machine is down, wiped, replaced or slow."""
    least = draft.pick(0.08, 0.1, 0.2)
    first = draft.time_between(1.0, 2.0)
    successive_changes(draft, first=first, last=draft.time_between(18.0), gap=(least, least * 1.5))
    for _ in range(draft.pick(0, 1, 2)):
        large_change(draft)
    if draft.chance(0.4):
        change_storm(draft)
    consecutive_losses(draft, first=draft.time_between(4.0, 10.0), most=draft.pick(1, 2, 3, 4))
    if draft.chance(0.4):
        at = draft.time_between(2.0, 8.0)
        draft.fault(at, "core_cut", count=1, for_s=draft.duration(8, 20, at=at), how=losses.select_machine(draft))
    if draft.chance(0.3):
        at = draft.time_between(4.0)
        draft.fault(at, draft.pick("disk_slow", "disk_stall", "disk_full"), count=1, for_s=draft.duration(2, 6, at=at))


def failing_answers(draft: Draft) -> None:
    """Servers, connections and machines fail while answers are in flight."""
    events = (
        garbled_answers,
        garbled_answers,
        lost_answers,
        lost_answers,
        connection_resets,
        connection_resets,
        frozen_proxies,
        killed_proxies,
        stopped_proxies,
        partitioned_proxies,
        partitioned_servers,
        crashed_servers,
        restarted_servers,
        reused_addresses,
        killed_herd,
    )
    for _ in range(draft.pick(5, 7, 9)):
        draft.random.choice(events)(draft)
    successive_changes(draft, first=2.0, last=draft.last, gap=(3.0, 8.0))
    if draft.chance(0.4):
        consecutive_losses(draft, first=draft.time_between(3.0, 12.0), most=draft.pick(1, 2))


POINTS: dict[str, Callable[[Draft], None]] = {
    "cutoff": isolated_member,
    "orders": change_races,
    "losses": lost_members,
    "changes": many_changes,
    "answers": failing_answers,
}
