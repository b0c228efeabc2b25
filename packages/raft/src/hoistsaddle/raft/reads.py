"""Confirmed reads, and how old the state here is: what fetches prove that heard of a round after it began."""

from datetime import timedelta

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import NEVER, majority_contact
from hoistsaddle.raft.events import ReadResult
from hoistsaddle.raft.replica import LEADER, Replica


class Reads(Replica):
    """Confirmed reads: a majority must have fetched after the read began."""

    def _read(self, ticket: int) -> None:
        if self.role != LEADER:
            self._out.append(ReadResult(ticket, str(ErrorKind.NOT_LEADER), self.leader, None))
            return
        # Only fetches sent after this round was announced prove that nobody else led when the read began.
        self.reads.append((ticket, self.rounds.begin(now=self.now)))
        self._answer_pending_fetches(everyone=True)
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        if not self.reads or self.high_watermark < self.epoch_began or self.state.offset < self.high_watermark:
            return
        left = []
        for ticket, number in self.reads:
            agreed = {key for key, progress in self.progress.items() if progress.round >= number} | {
                (self.replica, self.incarnation)
            }
            if self._majority(agreed):
                self._out.append(ReadResult(ticket, "", self.replica, self.state))
            else:
                left.append((ticket, number))
        self.reads = left

    def _contact(self) -> timedelta | None:
        """Leader: the newest moment at which nobody else can have led, and this state held all that was committed."""
        if self.high_watermark < self.epoch_began or self.state.offset < self.high_watermark:
            return None
        return majority_contact(
            voter_sets=self.voter_sets(),
            me=(self.replica, self.incarnation),
            now=self.now,
            heard={key: self.rounds.began(progress.round) for key, progress in self.progress.items()},
        )

    def _contact_age(self) -> timedelta:
        contact = self._contact()
        return NEVER if contact is None else self.now - contact

    def _note_newest(self, timestamp: timedelta | None) -> None:
        if timestamp is not None and (self.newest is None or timestamp > self.newest):
            self.newest = timestamp
