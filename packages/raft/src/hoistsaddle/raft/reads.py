"""Confirmed (linearizable) reads and the age of the state, both proven by the rounds that fetches have seen."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import UNBOUNDED_AGE, majority_contact
from hoistsaddle.raft.events import ReadResult
from hoistsaddle.raft.replica import LEADER

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore


class PendingRead(NamedTuple):
    """A read that waits until a majority has fetched after seeing its round."""

    ticket: int
    round: int


class Reads:
    """Reads of the newest state, and the age of a state that may not be the newest."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without pending reads and with a state of unknown age."""
        self.core = core
        self.pending: list[PendingRead] = []
        # The latest known time at which this replica's state included every committed record; None if unknown.
        self.current_as_of: timedelta | None = None

    def read(self, ticket: int) -> None:
        """Answers with the state once a majority has fetched since this read began."""
        core = self.core
        if core.role != LEADER:
            core.commands.append(ReadResult(ticket, str(ErrorKind.NOT_LEADER), core.leader, None))
            return
        # Only fetches sent after this round was announced prove that no other replica led when the read began.
        self.pending.append(PendingRead(ticket, core.replication.rounds.begin(now=core.now)))
        core.replication.answer_pending_fetches(all_pending=True)
        self.confirm()

    def confirm(self) -> None:
        """Answers the reads that a majority has confirmed."""
        if not self.pending or not self._has_applied_all_committed():
            return
        core = self.core
        unconfirmed = []
        for read in self.pending:
            agreed = {key for key, progress in core.replication.progress.items() if progress.round >= read.round}
            agreed.add(core.key)
            if core.is_majority(agreed):
                core.commands.append(ReadResult(read.ticket, "", core.replica, core.state))
            else:
                unconfirmed.append(read)
        self.pending = unconfirmed

    def _has_applied_all_committed(self) -> bool:
        """Leader: whether its state includes every committed record, also those of earlier leaders."""
        core = self.core
        return core.replication.has_committed() and core.state.offset >= core.high_watermark

    def contact(self) -> timedelta | None:
        """Leader: the latest time at which no other replica can have led and this state was therefore current."""
        if not self._has_applied_all_committed():
            return None
        core = self.core
        rounds = core.replication.rounds
        return majority_contact(
            voter_sets=core.voter_sets(),
            leader=core.key,
            now=core.now,
            last_contact={key: rounds.began(progress.round) for key, progress in core.replication.progress.items()},
        )

    def contact_age(self) -> timedelta:
        """Leader: the time since the last contact with a majority."""
        contact = self.contact()
        return UNBOUNDED_AGE if contact is None else self.core.now - contact

    def note_current(self, timestamp: timedelta | None) -> None:
        """Records that this state included every committed record at that time; None is ignored."""
        if timestamp is not None and (self.current_as_of is None or timestamp > self.current_as_of):
            self.current_as_of = timestamp
