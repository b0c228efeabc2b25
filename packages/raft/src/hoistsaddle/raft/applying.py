"""Applies committed records to the state, announces the changes, and captures checkpoints."""

from typing import TYPE_CHECKING

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import Capture, OffsetAndEpoch
from hoistsaddle.raft.replica import LEADER
from hoistsaddle.raft.voters import VoterChange
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import AddVoter, Outcome, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.state import State

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# An expired key's scope is a digest, shortened to so many characters in events for operators.
SHOWN_SCOPE_CHARACTERS = 12


class Applying:
    """Applies the log to the state up to the high watermark."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a checkpoint being stored."""
        self.core = core
        # The checkpoint that the disk is storing.
        self.capturing: OffsetAndEpoch | None = None

    def apply_committed(self) -> None:
        """Applies every committed record that isn't applied yet, and captures a checkpoint after enough of them."""
        core = self.core
        while core.state.offset < min(core.high_watermark, core.last.offset) and not core.halted:
            record = core.log[core.state.offset + 1 - core.begin_offset]
            before = core.state
            core.state, outcome = apply(
                core.state,
                offset=record.offset,
                epoch=record.epoch,
                stamp=record.stamp,
                payload=record.payload,
                supported=core.level,
            )
            if outcome.error == ErrorKind.OTHER_RELEASE:
                core.halt(outcome.message)
                return
            self._announce_changes(before, outcome)
            if core.pending_voter_changes and core.pending_voter_changes[0].offset <= record.offset:
                self._announce_voter_change(core.pending_voter_changes.pop(0).change)
                # Stores the high watermark: a restart that doesn't know the change to be committed would also require a
                # majority of the previous set, whose disks may be gone.
                core.persist()
            core.replication.record_applied(record.offset, outcome)
        self._capture_if_due()

    def _capture_if_due(self) -> None:
        core = self.core
        latest = core.checkpoint.offset if core.checkpoint else 0
        if self.capturing is None and core.complete and core.state.offset - latest > core.timings.checkpoint_records:
            # The state is immutable, so a reference captures it while further records are applied.
            self.capturing = OffsetAndEpoch(core.state.offset, core.state.epoch)
            core.commands.append(Capture(self.capturing, core.state))

    def _announce_changes(self, before: State, outcome: Outcome) -> None:
        core = self.core
        if core.state.level != before.level:
            core.announce("release level raised", level=core.state.level)
        if core.state.purge_offset != before.purge_offset:
            core.announce("gone forgotten", **outcome.detail)
        # Every replica sees the expiry; the leader alone announces it.
        if core.state.expired_at != before.expired_at and core.role == LEADER:
            for scope, hold in sorted(before.holds.items()):
                if scope not in core.state.holds:
                    shown = scope[:SHOWN_SCOPE_CHARACTERS]
                    core.announce("key expired", scope=shown, entry=hold.route, was=hold.phase)

    def _announce_voter_change(self, change: VoterChange) -> None:
        core = self.core
        voters = len(core.state.voters)
        match change:
            case UpdateVoter(replica=replica, old=old, new=new):
                core.announce("voter swapped", voter=replica, old=old, new=new)
            case AddVoter(replica=replica):
                core.announce("voter added", voter=replica, voters=voters)
            case RemoveVoter(replica=replica):
                core.announce("voter dropped", voter=replica, voters=voters)
            case ReplaceVoter(replica=replica, successor=successor):
                core.announce("voter replaced", voter=replica, successor=successor)
