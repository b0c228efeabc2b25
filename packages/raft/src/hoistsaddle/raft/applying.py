"""Applies committed records to the state, tells what they changed, and captures checkpoints."""

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.events import Capture, OffsetAndEpoch, ProposalResult
from hoistsaddle.raft.replica import LEADER, Replica
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import AddVoter, Outcome, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.state import State


class Applying(Replica):
    """Applies committed records to the state, tells what they changed, and captures checkpoints."""

    def _apply(self) -> None:
        while self.state.offset < min(self.high_watermark, self.last.offset) and not self.halted:
            record = self.log[self.state.offset + 1 - self.begin_offset]
            before = self.state
            self.state, outcome = apply(
                self.state,
                offset=record.offset,
                epoch=record.epoch,
                stamp=record.stamp,
                payload=record.payload,
                supported=self.level,
            )
            if outcome.error == ErrorKind.OTHER_RELEASE:
                return self._halt(outcome.message)
            self._tell_changes(before, outcome)
            if self.pending_voter_changes and self.pending_voter_changes[0][0] <= record.offset:
                _, swap = self.pending_voter_changes.pop(0)
                match swap:
                    case UpdateVoter(replica=replica, old=old, new=new):
                        self._announce("voter swapped", voter=replica, old=old, new=new)
                    case AddVoter(replica=replica):
                        self._announce("voter added", voter=replica, voters=len(self.state.voters))
                    case RemoveVoter(replica=replica):
                        self._announce("voter dropped", voter=replica, voters=len(self.state.voters))
                    case ReplaceVoter(replica=replica, successor=successor):
                        self._announce("voter replaced", voter=replica, successor=successor)
                # A start that doesn't know it to be committed would ask the set before it too, whose disks may be gone.
                self._write()
            ticket = self.ticket_of.pop(record.offset, None)
            if ticket is not None:
                held = self.waiting[ticket]
                held[1].append(outcome)
                if len(held[1]) == held[0]:
                    del self.waiting[ticket]
                    self._out.append(ProposalResult(ticket, "", self.replica, record.offset, tuple(held[1])))
        latest = self.checkpoint.offset if self.checkpoint else 0
        if self.capturing is None and self.complete and self.state.offset - latest > self.timings.checkpoint_records:
            # The state is immutable, so keeping this reference is the whole capture; records go on applying.
            self.capturing = OffsetAndEpoch(self.state.offset, self.state.epoch)
            self._out.append(Capture(self.capturing, self.state))

    def _tell_changes(self, before: State, outcome: Outcome) -> None:
        if self.state.level != before.level:
            self._announce("release level raised", level=self.state.level)
        if self.state.purge_offset != before.purge_offset:
            self._announce("gone forgotten", **outcome.detail)
        # Expiry is everybody's; one voice tells it.
        if self.state.expired_at != before.expired_at and self.role == LEADER:
            for scope, hold in sorted(before.holds.items()):
                if scope not in self.state.holds:
                    self._announce("key expired", scope=scope[:12], entry=hold.route, was=hold.phase)
