"""What a store says of itself: its replica's role, positions in the log, counters and events."""

import msgspec

from hoistsaddle.common.counters import Counters
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.rpc.messages import StatusAnswer

# Roles beside the Raft core's own, as operators see them.
OBSERVER = "observer"
CATCHING_UP = "catching up"
BLANK = "blank"
HALTED = "halted"


def role_of(core: RaftCore) -> str:
    """The replica's role: the core's own only where its vote counts."""
    if core.halted:
        return HALTED
    if not core.complete:
        return CATCHING_UP if core.mesh or core.snapshot_fetcher.checkpoint_id else BLANK
    # A vote that only an open change gives counts for nothing yet: with a majority gone it never may.
    votes = core.is_voter() and core.state.voters.get(core.replica) == core.incarnation
    return core.role if votes else OBSERVER


def status_of(core: RaftCore, *, counters: Counters, after: int) -> StatusAnswer:
    """The answer to a call for the status.

    Args:
        core: The replica.
        counters: The store's counters; the replica's positions are put into them.
        after: Only events above this number go along.
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
