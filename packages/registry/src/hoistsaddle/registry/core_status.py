"""Evaluates the stores' statuses: whether a core machine is ready, and whether the core has a leader."""

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

# If a write has waited longer than this for its sync, the disk counts as stalled.
MAX_SYNC_WAIT = timedelta(seconds=1)
UNREACHABLE = "unreachable"
LEADER, FOLLOWER = "leader", "follower"
# A replica in one of these roles is not a voter.
ROLES_WITHOUT_VOTE = ("blank", "observer", "catching up")


def unready_reason(*, own: StatusAnswer | None, fresh: bool) -> MeshError | None:
    """Why a core machine is not ready; None if it is.

    Args:
        own: The status of the machine's store; None if it does not answer.
        fresh: Whether the machine's registry holds a fresh lease on the configuration.
    """
    match own:
        case None:
            return Unreachable("The store does not answer.", remedy="Start the store, or check its log.")
        case StatusAnswer(halted=halted) if halted:
            return OtherRelease(f"The store has stopped: {halted}.")
        case StatusAnswer(role=role) if role not in (LEADER, FOLLOWER):
            return OutcomeUnknown(f"The store is {role}.", remedy="Wait until it has caught up and votes.")
        case StatusAnswer(leader=leader) if leader < 0:
            return NoLeader(
                "The store does not know of a leader.",
                remedy="Wait, or follow docs/operators/replacing-core-machines.md.",
            )
        case StatusAnswer(unsynced=unsynced) if unsynced > MAX_SYNC_WAIT:
            return DiskFailed(f"The disk has not synced for {unsynced.total_seconds():.1f} s.")
        case _ if not fresh:
            return LeaseExpired(
                "The registry has no fresh lease on the configuration.", remedy="Check the network path to the leader."
            )
    return None


def describe_readiness(*, own: StatusAnswer | None, fresh: bool) -> dict:
    """The answer to a readiness check; the next core machine may only be stopped once this one is ready."""
    reason = unready_reason(own=own, fresh=fresh)
    state: dict = {"ready": reason is None, "standing": UNREACHABLE if own is None else own.role}
    return state if reason is None else {**state, "why": reason.describe()}


def describe_core(statuses: dict[int, StatusAnswer | None]) -> dict:
    """The core machines by replica number, with an error if the core has lost its majority."""
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
    """The error, with its remedy, if there is no leader and a majority does not answer or is not a voter."""
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
