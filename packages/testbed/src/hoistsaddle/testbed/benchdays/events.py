"""Single events of a day: faults and planned work, each with a random time and strength."""

from hoistsaddle.testbed.benchdays.draft import Draft


def change_storm(draft: Draft) -> None:
    """Rapid changes for a few seconds."""
    at = draft.time_between(1.0, draft.last - 6)
    gap = draft.pick(0.05, 0.1, 0.3)
    draft.planned(at, "config_storm", for_s=draft.duration(2, 6, at=at), gap_s=gap, how=draft.pick("", "route"))


def large_change(draft: Draft) -> None:
    """One change that adds many routes."""
    draft.planned(
        draft.time_between(2.0, draft.last - 4), "big_config", count=draft.random.randint(40, draft.site.many_routes)
    )


def garbled_answers(draft: Draft) -> None:
    """A share of the servers sends some malformed answers."""
    at, how = draft.time_between(), draft.pick("", "extra", "late", "extra late")
    share, strength = draft.random.uniform(0.3, 1.0), draft.random.uniform(0.02, 0.2)
    draft.fault(at, "garble", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=how, **draft.service())


def lost_answers(draft: Draft) -> None:
    """A share of the servers doesn't send some answers, or resets the connection instead."""
    at, how = draft.time_between(), draft.pick("", "reset", "reset")
    share, strength = draft.random.uniform(0.3, 1.0), draft.random.uniform(0.02, 0.15)
    draft.fault(
        at, "answer_lost", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=how, **draft.service()
    )


def connection_resets(draft: Draft) -> None:
    """Connections of many machines are reset, once or several times."""
    at = draft.time_between(last=draft.last - 6)
    for _ in range(draft.pick(1, 3, 6)):
        on = draft.pick({}, {}, {"on": "core"})
        draft.fault(at, "reset_conns", share=draft.pick(1.0, 1.0, 0.4), x=draft.pick(0.5, 1.0), **on)
        at += draft.random.uniform(0.2, 2.0)


def frozen_proxies(draft: Draft) -> None:
    """Some machines with proxies freeze for a while."""
    at = draft.time_between(last=draft.last - 2)
    draft.fault(at, "node_freeze", share=draft.random.uniform(0.08, 0.4), for_s=draft.duration(0.4, 6, at=at))


def killed_proxies(draft: Draft) -> None:
    """Some machines with proxies are killed, or lose power."""
    at = draft.time_between(last=draft.last - 2)
    how = draft.pick("", "power")
    draft.fault(at, "node_kill", share=draft.random.uniform(0.08, 0.3), for_s=draft.duration(0.4, 5, at=at), how=how)


def killed_herd(draft: Draft) -> None:
    """About half of the machines with proxies fail at once."""
    at = draft.time_between(last=draft.last - 4)
    share, how = draft.random.uniform(0.4, 0.9), draft.pick("", "power")
    draft.fault(at, "herd_kill", share=share, for_s=draft.duration(0.5, 2.5, at=at), how=how)


def stopped_proxies(draft: Draft) -> None:
    """Machines with proxies are stopped and started one after the other."""
    share, how = draft.random.uniform(0.2, 0.8), draft.pick("busy", "busy", "")
    draft.planned(
        draft.time_between(last=draft.last - 6), "roll_term", share=share, x=1.0, gap_s=draft.pick(0.3, 1.0), how=how
    )


def partitioned_proxies(draft: Draft) -> None:
    """Some machines with proxies are partitioned from all others."""
    at = draft.time_between(last=draft.last - 3)
    draft.fault(at, "node_cut", share=draft.random.uniform(0.1, 0.4), for_s=draft.duration(2, 10, at=at))


def partitioned_servers(draft: Draft) -> None:
    """Some proxies are partitioned from the servers."""
    at = draft.time_between(last=draft.last - 3)
    draft.fault(at, "node_cut", share=draft.random.uniform(0.1, 0.3), for_s=draft.duration(1, 5, at=at), how="servers")


def crashed_servers(draft: Draft) -> None:
    """Some servers crash, or lose power."""
    at, how = draft.time_between(last=draft.last - 3), draft.pick("", "dark")
    draft.fault(at, "srv_crash", share=draft.random.uniform(0.1, 0.4), for_s=draft.duration(1, 5, at=at), how=how)


def restarted_servers(draft: Draft) -> None:
    """Servers are replaced by new instances one after the other."""
    draft.planned(
        draft.time_between(last=draft.last - 8), "release", share=draft.random.uniform(0.2, 0.5), x=1.0, gap_s=0.8
    )


def reused_addresses(draft: Draft) -> None:
    """Machines stop, and their addresses go to servers of other services."""
    at = draft.time_between(last=draft.last - 6)
    draft.fault(at, "replace_with_reuse", share=draft.pick(0.1, 0.2), how=draft.pick("", "drain", "dark"))


def exchanged_seeds(draft: Draft) -> None:
    """The seed list is replaced."""
    draft.planned(draft.time_between(last=draft.last - 3), "seed_turnover")


def clock_steps(draft: Draft) -> None:
    """The clocks of some machines step forward or back."""
    at = draft.time_between(last=draft.last - 3)
    share, strength = draft.random.uniform(0.15, 1.0), draft.pick(2000.0, 2400.0, 10000.0)
    draft.fault(
        at, "clock_step", share=share, x=strength, for_s=draft.duration(3, 9, at=at), how=draft.pick("ahead", "back")
    )


# A day may have some of these in addition to its scenario.
ADDITIONAL_EVENTS = (
    garbled_answers,
    lost_answers,
    connection_resets,
    frozen_proxies,
    killed_proxies,
    stopped_proxies,
    partitioned_proxies,
    crashed_servers,
    restarted_servers,
    reused_addresses,
    exchanged_seeds,
    clock_steps,
    killed_herd,
)


def final_fault(draft: Draft) -> None:
    """The final fault of the day, in a random form; some days have none."""
    kind = draft.pick("power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all", "")
    if kind:
        how = draft.pick("", "timed", "taken", "aimed" if kind == "wipe_after_ack" else "")
        draft.closing = {"kind": kind, "down_s": draft.random.uniform(0.5, 1.5), **({"how": how} if how else {})}
