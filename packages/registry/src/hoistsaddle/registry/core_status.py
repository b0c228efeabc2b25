"""What the stores' statuses mean: whether a core machine is ready, and whether the core as a whole has a leader."""

from datetime import timedelta

from hoistsaddle.common.errors import (
    DiskFailed,
    LeaseExpired,
    MeshError,
    NoLeader,
    OtherRelease,
    OutcomeUnknown,
    Unreachable,
)
from hoistsaddle.rpc.messages import StatusAnswer

# A write that has waited longer than this for its sync means that the disk hangs.
MAX_SYNC_WAIT = timedelta(seconds=1)
UNREACHABLE = "unreachable"
LEADER, FOLLOWER = "leader", "follower"
# A replica in one of these roles holds no voter's disk.
ROLES_WITHOUT_VOTE = ("blank", "observer", "catching up")


def unready_reason(*, own: StatusAnswer | None, fresh: bool) -> MeshError | None:
    """Why a core machine doesn't do its complete part; None if it does.

    Args:
        own: The status of its store, if it gave one.
        fresh: Whether its registry holds a fresh lease on the configuration.
    """
    match own:
        case None:
            return Unreachable("Its store gives no answer.", remedy="Start it, or look at its log.")
        case StatusAnswer(halted=halted) if halted:
            return OtherRelease(f"Its store has stopped: {halted}.")
        case StatusAnswer(role=role) if role not in (LEADER, FOLLOWER):
            return OutcomeUnknown(f"Its store is {role}.", remedy="Wait: it catches up and then votes.")
        case StatusAnswer(leader=leader) if leader < 0:
            return NoLeader("Its store follows no leader.", remedy="Wait, or see the core machines' page.")
        case StatusAnswer(unsynced=unsynced) if unsynced > MAX_SYNC_WAIT:
            return DiskFailed(f"Its disk has not synced for {unsynced.total_seconds():.1f} s.")
        case _ if not fresh:
            return LeaseExpired("Its registry has no fresh news from a leader.", remedy="Check the way to it.")
    return None


def describe_readiness(*, own: StatusAnswer | None, fresh: bool) -> dict:
    """The answer to a ready check: only when it is ready may the next core machine be stopped."""
    reason = unready_reason(own=own, fresh=fresh)
    state: dict = {"ready": reason is None, "standing": UNREACHABLE if own is None else own.role}
    return state if reason is None else {**state, "why": reason.describe()}


def describe_core(statuses: dict[int, StatusAnswer | None]) -> dict:
    """The core machines by replica number, and whether more are lost than the deployment can bear."""
    answer: dict = {"machines": {replica: _describe_machine(status) for replica, status in statuses.items()}}
    if (error := _lost_majority(statuses)) is not None:
        answer["refused"] = error.describe()
    return answer


def _describe_machine(status: StatusAnswer | None) -> dict:
    if status is None:
        return {"standing": UNREACHABLE}
    return {
        "mesh": status.mesh,
        "incarnation": status.incarnation,
        "epoch": status.epoch,
        "leader": status.leader,
        "standing": status.role,
        "last_offset": status.last_offset,
        "high_watermark": status.high_watermark,
        "begin_offset": status.begin_offset,
    }


def _lost_majority(statuses: dict[int, StatusAnswer | None]) -> MeshError | None:
    """The error, with the way out, if nobody leads and a majority holds no voter's disk or gives no answer."""
    known = {replica: status for replica, status in statuses.items() if status is not None}
    if any(status.role == LEADER for status in known.values()):
        return None
    missing = [replica for replica in statuses if replica not in known]
    without_vote = [replica for replica, status in known.items() if status.role in ROLES_WITHOUT_VOTE]
    if (len(without_vote) + len(missing)) * 2 <= len(statuses):
        return None
    return NoLeader(
        f"Replicas {sorted(without_vote + missing)} hold no voter's disk, so no majority is left.",
        field="core",
        remedy="Bring back the machines with their disks; if the disks are lost for good, follow "
        "docs/operators/replacing-core-machines.md.",
    )
