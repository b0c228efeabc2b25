"""Confirmed reads, and how old the state here is: what fetches prove that heard of a round after it began."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.contact import NEVER, majority_contact
from hoistsaddle.raft.events import ReadResult
from hoistsaddle.raft.replica import LEADER

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore


class PendingRead(NamedTuple):
    """A read that waits until a majority has fetched since its round began."""

    ticket: int
    round: int


class Reads:
    """Reads of the newest state, and the age of the state where it isn't known to be the newest."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a read, and with a state of unknown age."""
        self.core = core
        self.pending: list[PendingRead] = []
        # A time at which this replica's applied state held all that was committed anywhere; None while none is known.
        self.current_as_of: timedelta | None = None

    def read(self, ticket: int) -> None:
        """Answers with the state once a majority has fetched after this read began."""
        core = self.core
        if core.role != LEADER:
            core.commands.append(ReadResult(ticket, str(ErrorKind.NOT_LEADER), core.leader, None))
            return
        # Only fetches sent after this round was announced prove that nobody else led when the read began.
        self.pending.append(PendingRead(ticket, core.replication.rounds.begin(now=core.now)))
        core.replication.answer_pending_fetches(everyone=True)
        self.confirm()

    def confirm(self) -> None:
        """Answers the reads that a majority has confirmed by now."""
        if not self.pending or not self._holds_all_committed():
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

    def _holds_all_committed(self) -> bool:
        """Leader: whether its state holds all that is committed, also by the leaders before it."""
        core = self.core
        return core.replication.has_committed() and core.state.offset >= core.high_watermark

    def contact(self) -> timedelta | None:
        """Leader: the newest time at which nobody else can have led, and this state held all that was committed."""
        if not self._holds_all_committed():
            return None
        core = self.core
        rounds = core.replication.rounds
        return majority_contact(
            voter_sets=core.voter_sets(),
            me=core.key,
            now=core.now,
            heard={key: rounds.began(progress.round) for key, progress in core.replication.progress.items()},
        )

    def contact_age(self) -> timedelta:
        """Leader: how long ago that was."""
        contact = self.contact()
        return NEVER if contact is None else self.core.now - contact

    def note_current(self, timestamp: timedelta | None) -> None:
        """The state here held all that was committed at that time, if one is given."""
        if timestamp is not None and (self.current_as_of is None or timestamp > self.current_as_of):
            self.current_as_of = timestamp
