"""The follower's side: fetches, what their answers say, logs that part, the search for a leader."""

from datetime import timedelta

from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.raft.replica import LEADER, RELEASE_OLD, WRONG_MESH, Replica
from hoistsaddle.rpc.messages import UNKNOWN_AGE, UNSET, FetchAnswer, FetchCall

# So many fetches are remembered for their late answers; more are never under way at once.
REMEMBERED_FETCHES = 4


class Fetching(Replica):
    """The follower's side: fetches, what their answers say, logs that part, the search for a leader."""

    def _fetch(self) -> None:
        if self.leader in (UNSET, self.replica) or self.halted or self.ended:
            return
        if self.fetching_snapshot is None and (not self.complete or self.starting_over):
            # Offset and epoch zero ask the leader where to begin.
            offset, epoch, complete = 0, 0, False
        else:
            offset, epoch = self._log_end.offset + 1, self._log_end.epoch
            complete = self.fetching_snapshot is None
        self.fetch_sent = self.now
        self.fetch_number = self._send(
            self.leader,
            FetchCall(
                self.mesh,
                self.replica,
                self.incarnation,
                self.epoch,
                offset,
                epoch,
                self.round_seen,
                complete,
                self.level,
                self.stopping,
            ),
        )
        self.fetched_from[self.fetch_number] = OffsetAndEpoch(offset - 1, epoch)
        while len(self.fetched_from) > REMEMBERED_FETCHES:
            del self.fetched_from[next(iter(self.fetched_from))]

    @property
    def _log_end(self) -> OffsetAndEpoch:
        """Where the log that is being fetched ends: the one above a checkpoint on its way, or the own."""
        if self.fetching_snapshot is None:
            return self.last
        return OffsetAndEpoch(self.staged[-1].offset, self.staged[-1].epoch) if self.staged else self.fetching_snapshot

    def _late_answer(self, number: int, replica: int, answer: FetchAnswer) -> None:
        """Records that took longer than a fetch waits. Were they dropped, a slow link would never bring them."""
        if (
            replica == self.leader
            and self.role != LEADER
            and answer.epoch == self.epoch
            and not answer.error
            and answer.records
            and self.fetched_from.get(number) == self._log_end
        ):
            self._take_records(answer)
            self._fetch()

    def _fetch_answer(self, replica: int, answer: FetchAnswer) -> None:
        sent, self.fetch_sent = self.fetch_sent, None
        if answer.error == WRONG_MESH:
            self._announce("wrong mesh", leader=replica)
            return None
        if answer.error == RELEASE_OLD:
            return self._halt(f"the mesh is past release level {self.level}")
        if answer.epoch > self.epoch or (
            answer.error and answer.epoch == self.epoch and answer.leader not in (UNSET, self.leader)
        ):
            # A leader of a newer epoch takes over; "nobody" leaves this replica to its election schedule.
            if answer.leader not in (UNSET, self.replica):
                self._follow(answer.epoch, answer.leader)
            else:
                self._step_down(answer.epoch, UNSET)
            return None
        if self.leader == UNSET and not answer.error and answer.epoch == self.epoch and answer.leader == replica:
            # The one that was asked on the off chance leads itself.
            return self._follow(answer.epoch, replica)
        if answer.error and answer.epoch == self.epoch and replica == self.leader:
            # It led once and says it no longer does: wait for a call to follow, or for the election schedule.
            self.leader = UNSET
        if answer.error or answer.epoch < self.epoch or replica != self.leader or self.role == LEADER:
            return None
        end = self.last
        self.heard_leader = self.now
        self.election_at = self.now + self._election_span()
        self.round_seen = max(self.round_seen, answer.round)
        if self.stopping:
            self._heard_leave(answer)
        if answer.checkpoint_offset != UNSET:
            self._begin_snapshot_fetch(answer)
        elif answer.diverging_offset != UNSET:
            if self.fetching_snapshot is not None:
                self._abandon_snapshot_fetch("the log above it parts from the leader's")
            elif not self._diverge(answer) or self.last == end:
                # Asked to forget what was committed, or for nothing that is here: ask again no sooner than the
                # schedule does, or two that don't agree would send without end.
                self.fetch_sent = self.now
                return None
        else:
            self._take_records(answer)
            if self.complete and self.fetching_snapshot is None:
                self._date_state(answer, sent)
        self._fetch()

    def _take_records(self, answer: FetchAnswer) -> None:
        end = self._log_end.offset
        fresh = tuple(record for record in answer.records if record.offset > end)
        fits = bool(fresh) and fresh[0].offset == end + 1
        if self.fetching_snapshot is not None:
            if fits:
                self._stage(fresh)
            return
        if fits and self.complete:
            self._append(fresh)
        if self.complete:
            self.high_watermark = max(self.high_watermark, min(answer.high_watermark, self.last.offset))
            self._apply()
            # Followers adopt the begin offset once their own checkpoint covers it.
            if (
                answer.begin_offset - 1 > self.begin.offset
                and self.checkpoint
                and self.checkpoint.offset >= answer.begin_offset - 1
            ):
                self._set_begin(answer.begin_offset - 1)

    def _date_state(self, answer: FetchAnswer, sent: timedelta | None) -> None:
        """As of when the state here is the newest, once all that the leader has committed is applied."""
        if sent is None or self.state.epoch != self.epoch or self.state.offset < answer.high_watermark:
            return
        # No clocks are compared: the age was taken after this fetch was sent. A leader of a former release says none;
        # it steps down after so long a silence of the others.
        self._note_newest(
            sent - (self.timings.quorum_timeout if answer.contact_age == UNKNOWN_AGE else answer.contact_age)
        )

    def _diverge(self, answer: FetchAnswer) -> bool:
        offset = min(answer.diverging_offset, self.last.offset)
        while offset > self.begin.offset and self.epoch_at(offset) > answer.diverging_epoch:
            offset -= 1
        return self._truncate(offset + 1)

    def _truncate(self, offset: int) -> bool:
        """Drops every record from the offset on."""
        # Committed records never go; a leader that asks for it is not of this mesh.
        if offset <= max(self.high_watermark, self.state.offset if self.complete else 0):
            self._announce("truncation refused", offset=offset, high_watermark=self.high_watermark)
            return False
        self.log = self.log[: max(0, offset - self.begin_offset)]
        self.pending_voter_changes = [(place, swap) for place, swap in self.pending_voter_changes if place < offset]
        self.durable = min(self.durable, offset - 1)
        self.unsynced = [(sequence, min(end, offset - 1), timestamp) for sequence, end, timestamp in self.unsynced]
        self._write(truncate_from=offset)
        return True

    def _seek(self) -> None:
        """Nobody calls a replica nobody knows of: it asks the seeds and its last voters who leads."""
        others = [replica for replica in self.replicas if replica != self.replica]
        if not others:
            return
        self.sought_at = self.now
        self.sought += 1
        self.fetch_number = self._send(
            others[self.sought % len(others)],
            FetchCall(self.mesh, self.replica, self.incarnation, self.epoch, 0, 0, 0, False, self.level),
        )
