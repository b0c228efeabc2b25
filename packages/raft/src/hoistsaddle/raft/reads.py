"""Confirmed reads: a majority must have fetched after the read began."""

from hoistsaddle.common.errors import MishapKind
from hoistsaddle.raft.events import ReadReady
from hoistsaddle.raft.replica import LEADER, Replica


class Reads(Replica):
    """Confirmed reads: a majority must have fetched after the read began."""

    def _read(self, ticket: int) -> None:
        if self.standing != LEADER:
            self._out.append(ReadReady(ticket, str(MishapKind.NOT_LEADER), self.leader, None))
            return
        # Only fetches sent after this round was announced prove that nobody else led when the read began.
        self.round += 1
        self.reads.append((ticket, self.round))
        self._answer_held(everyone=True)
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
                self._out.append(ReadReady(ticket, "", self.replica, self.state))
            else:
                left.append((ticket, number))
        self.reads = left
