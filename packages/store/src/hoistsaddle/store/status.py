"""A store's status: the role of its replica, its positions in the log, its counters and its events."""

import msgspec

from hoistsaddle.common.counters import Counters
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.rpc.messages import StatusAnswer

# Roles in addition to those of the Raft core; shown to operators.
OBSERVER = "observer"
CATCHING_UP = "catching up"
BLANK = "blank"
HALTED = "halted"


def role_of(core: RaftCore) -> str:
    """Returns the role of a replica: the role of its Raft core only if its vote counts."""
    if core.halted:
        return HALTED
    if not core.complete:
        return CATCHING_UP if core.mesh or core.snapshot_fetcher.checkpoint_id else BLANK
    # A voter by an uncommitted change only has no counting vote yet: without a majority the change may never commit.
    has_committed_vote = core.is_voter() and core.state.voters.get(core.replica) == core.incarnation
    return core.role if has_committed_vote else OBSERVER


def status_of(core: RaftCore, *, counters: Counters, after: int) -> StatusAnswer:
    """Returns the answer to a status call.

    Args:
        core: The replica.
        counters: The store's counters; gauges of the replica's positions are updated in them.
        after: Only events with a higher number are included.
    """
    counters.gauge("ledger.epoch", core.epoch)
    counters.gauge("ledger.last_offset", core.last.offset)
    counters.gauge("ledger.high_watermark", core.high_watermark)
    counters.gauge("ledger.begin_offset", core.begin_offset)
    counters.gauge("ledger.holds", len(core.state.holds))
    return StatusAnswer(
        core.mesh,
        core.replica,
        core.incarnation,
        core.epoch,
        core.leader,
        role_of(core),
        core.last.offset,
        core.high_watermark,
        core.begin_offset,
        msgspec.json.encode(counters.read()),
        msgspec.json.encode(counters.events(after=after)),
        core.level,
        core.halted,
        core.disk_delay(),
    )
