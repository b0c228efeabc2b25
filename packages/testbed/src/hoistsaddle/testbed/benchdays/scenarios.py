"""What a day is about: five points, each with a scenario of its own that may come in many forms."""

from collections.abc import Callable

from hoistsaddle.testbed.benchdays import losses
from hoistsaddle.testbed.benchdays.draft import Draft

# A cut that outlasts every lease, retry span and log-cleaning wait of the system.
LONG_CUT = (20.0, 24.0)
CHANGES = ("idle", "idle", "timeout", "route", "weights", "quota", "tenant")


def changes(draft: Draft, *, first: float, last: float, gap: tuple[float, float]) -> None:
    """One change after the other, each at its own distance."""
    at = first
    while at < min(last, draft.last):
        draft.planned(at, "config_change", how=draft.random.choice(CHANGES))
        at += draft.random.uniform(*gap)


def cutoff(draft: Draft) -> None:
    """One machine of the core is away for twenty seconds and more while the others go on."""
    at = draft.time_between(2.0, 6.0)
    duration = draft.duration(*LONG_CUT, at=at)
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
    changes(draft, first=at + 0.5, last=at + duration + 2, gap=draft.pick((0.3, 1.0), (1.0, 4.0)))
    if draft.chance(0.4):
        draft.planned(draft.time_between(at, at + duration), "config_race", count=draft.pick(2, 4), gap_s=0.8)
    if draft.chance(0.4):
        draft.fault(draft.time_between(at, at + duration), "ack_lost", x=0.8, for_s=draft.duration(4, 10, at=at))
    for _ in range(draft.pick(1, 2, 3)):
        draft.random.choice((sides_cut, sides_killed, sides_frozen, sides_stopped, seeds_exchanged, clocks))(draft)


def orders(draft: Draft) -> None:
    """Operators race, repeat lost orders and send wrong ones while the core is in trouble."""
    lossy = draft.time_between(1.0, 4.0)
    draft.fault(lossy, "ack_lost", x=draft.random.uniform(0.7, 0.9), for_s=draft.duration(8, 22, at=lossy))
    for _ in range(draft.pick(1, 2, 3)):
        count, gap = draft.pick((3, 1.5), (6, 0.6), (12, 0.25), (4, 1.0))
        draft.planned(draft.time_between(1.0, draft.last - count * gap), "config_race", count=count, gap_s=gap)
    hows = ("same_version", "stale_match", "old_version", *draft.site.invalid)
    for _ in range(draft.pick(2, 3, 4)):
        how = draft.random.choice(hows[:3] * 2 + hows)
        draft.planned(
            draft.time_between(2.0, draft.last - 3), "bad_config", how=how, count=3, gap_s=draft.pick(0.3, 0.8)
        )
    if draft.chance(0.5):
        storm(draft)
    changes(draft, first=draft.time_between(1.0, 8.0), last=draft.last, gap=draft.pick((0.3, 1.5), (1.0, 3.0)))
    in_a_row(draft, first=draft.time_between(3.0, 8.0), most=draft.pick(1, 2, 3))
    if draft.chance(0.3):
        at = draft.time_between(6.0, draft.last - 4)
        how = draft.pick("power", "power race", "", "taken")
        draft.fault(at, "herd_kill", on="core", share=1.0, for_s=draft.duration(0.5, 2, at=at), how=how)


def in_a_row(draft: Draft, *, first: float, most: int) -> None:
    """Losses one after the other, the next right after the former has settled or, now and then, a little too soon."""
    at = first
    for _ in range(most):
        if at > draft.last - 1:
            return
        away = losses.one(draft, at)
        after = draft.pick(draft.site.settle + 0.1, draft.site.settle + 0.1, draft.random.uniform(0.5, 6.0))
        at += away + after + draft.random.uniform(0.0, 0.5)


def lost_members(draft: Draft) -> None:
    """Members of the core lost, replaced and returned one after the other, as fast as may be borne."""
    match draft.random.choice(("mixed", "mixed", "mixed", "twice replaced", "wiped", "planned")):
        case "twice replaced":
            at = draft.time_between(2.0, 5.0)
            for _ in range(min(draft.spares_left, draft.pick(2, 3))):
                losses.replaced(draft, at)
                at += draft.random.uniform(3.0, 7.0)
            in_a_row(draft, first=at + 1.0, most=2)
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
            in_a_row(draft, first=draft.time_between(2.0, 4.0), most=6)
    changes(draft, first=1.0, last=draft.last, gap=draft.pick((0.4, 1.0), (1.5, 2.5)))
    if draft.chance(0.3):
        seeds_exchanged(draft)


def many_changes(draft: Draft) -> None:
    """Hundreds of changes, with a member away, empty, replaced or slow in their midst."""
    least = draft.pick(0.08, 0.1, 0.2)
    first = draft.time_between(1.0, 2.0)
    changes(draft, first=first, last=draft.time_between(18.0), gap=(least, least * 1.5))
    for _ in range(draft.pick(0, 1, 2)):
        large(draft)
    if draft.chance(0.4):
        storm(draft)
    in_a_row(draft, first=draft.time_between(4.0, 10.0), most=draft.pick(1, 2, 3, 4))
    if draft.chance(0.4):
        at = draft.time_between(2.0, 8.0)
        draft.fault(at, "core_cut", count=1, for_s=draft.duration(8, 20, at=at), how=losses.select_machine(draft))
    if draft.chance(0.3):
        at = draft.time_between(4.0)
        draft.fault(at, draft.pick("disk_slow", "disk_stall", "disk_full"), count=1, for_s=draft.duration(2, 6, at=at))


def answers(draft: Draft) -> None:
    """Servers, connections and machines fail in the midst of answers."""
    some = (
        garbled, garbled, lost_answers, lost_answers, resets, resets, sides_frozen, sides_killed, sides_stopped,
        sides_cut, servers_cut, servers_crashed, released, reused, herd,
    )  # fmt: skip
    for _ in range(draft.pick(5, 7, 9)):
        draft.random.choice(some)(draft)
    changes(draft, first=2.0, last=draft.last, gap=(3.0, 8.0))
    if draft.chance(0.4):
        in_a_row(draft, first=draft.time_between(3.0, 12.0), most=draft.pick(1, 2))


def storm(draft: Draft) -> None:
    at = draft.time_between(1.0, draft.last - 6)
    gap = draft.pick(0.05, 0.1, 0.3)
    draft.planned(at, "config_storm", for_s=draft.duration(2, 6, at=at), gap_s=gap, how=draft.pick("", "route"))


def large(draft: Draft) -> None:
    draft.planned(
        draft.time_between(2.0, draft.last - 4), "big_config", count=draft.random.randint(40, draft.site.many_routes)
    )


def garbled(draft: Draft) -> None:
    at, how = draft.time_between(), draft.pick("", "extra", "late", "extra late")
    share, strength = draft.random.uniform(0.3, 1.0), draft.random.uniform(0.02, 0.2)
    draft.fault(at, "garble", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=how, **draft.service())


def lost_answers(draft: Draft) -> None:
    at, how = draft.time_between(), draft.pick("", "reset", "reset")
    share, strength = draft.random.uniform(0.3, 1.0), draft.random.uniform(0.02, 0.15)
    draft.fault(
        at, "answer_lost", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=how, **draft.service()
    )


def resets(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 6)
    for _ in range(draft.pick(1, 3, 6)):
        on = draft.pick({}, {}, {"on": "core"})
        draft.fault(at, "reset_conns", share=draft.pick(1.0, 1.0, 0.4), x=draft.pick(0.5, 1.0), **on)
        at += draft.random.uniform(0.2, 2.0)


def sides_frozen(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 2)
    draft.fault(at, "node_freeze", share=draft.random.uniform(0.08, 0.4), for_s=draft.duration(0.4, 6, at=at))


def sides_killed(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 2)
    how = draft.pick("", "power")
    draft.fault(at, "node_kill", share=draft.random.uniform(0.08, 0.3), for_s=draft.duration(0.4, 5, at=at), how=how)


def herd(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 4)
    share, how = draft.random.uniform(0.4, 0.9), draft.pick("", "power")
    draft.fault(at, "herd_kill", share=share, for_s=draft.duration(0.5, 2.5, at=at), how=how)


def sides_stopped(draft: Draft) -> None:
    share, how = draft.random.uniform(0.2, 0.8), draft.pick("busy", "busy", "")
    draft.planned(
        draft.time_between(last=draft.last - 6), "roll_term", share=share, x=1.0, gap_s=draft.pick(0.3, 1.0), how=how
    )


def sides_cut(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 3)
    draft.fault(at, "node_cut", share=draft.random.uniform(0.1, 0.4), for_s=draft.duration(2, 10, at=at))


def servers_cut(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 3)
    draft.fault(at, "node_cut", share=draft.random.uniform(0.1, 0.3), for_s=draft.duration(1, 5, at=at), how="servers")


def servers_crashed(draft: Draft) -> None:
    at, how = draft.time_between(last=draft.last - 3), draft.pick("", "dark")
    draft.fault(at, "srv_crash", share=draft.random.uniform(0.1, 0.4), for_s=draft.duration(1, 5, at=at), how=how)


def released(draft: Draft) -> None:
    draft.planned(
        draft.time_between(last=draft.last - 8), "release", share=draft.random.uniform(0.2, 0.5), x=1.0, gap_s=0.8
    )


def reused(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 6)
    draft.fault(at, "replace_with_reuse", share=draft.pick(0.1, 0.2), how=draft.pick("", "drain", "dark"))


def seeds_exchanged(draft: Draft) -> None:
    draft.planned(draft.time_between(last=draft.last - 3), "seed_turnover")


def clocks(draft: Draft) -> None:
    at = draft.time_between(last=draft.last - 3)
    share, strength = draft.random.uniform(0.15, 1.0), draft.pick(2000.0, 2400.0, 10000.0)
    draft.fault(
        at, "clock_step", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=draft.pick("ahead", "back")
    )


POINTS: dict[str, Callable[[Draft], None]] = {
    "cutoff": cutoff,
    "orders": orders,
    "losses": lost_members,
    "changes": many_changes,
    "answers": answers,
}
# Beside its point a day has some of these.
BESIDE = (
    garbled, lost_answers, resets, sides_frozen, sides_killed, sides_stopped, sides_cut, servers_crashed, released,
    reused, seeds_exchanged, clocks, herd,
)  # fmt: skip


def closing(draft: Draft) -> None:
    """The day's last fault, in any of its forms; a few days have none."""
    kind = draft.pick("power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all", "")
    if kind:
        how = draft.pick("", "timed", "taken", "aimed" if kind == "wipe_after_ack" else "")
        draft.closing = {"kind": kind, "down_s": draft.random.uniform(0.5, 1.5), **({"how": how} if how else {})}
