"""The follower's part of replication: fetches and their answers, diverging logs, discovering the leader."""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.raft.replica import LEADER, RELEASE_OLD, WRONG_MESH
from hoistsaddle.rpc.messages import UNKNOWN_AGE, UNSET, FetchAnswer, FetchCall

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# How many fetches are remembered, so that their late answers can be used; no more are in flight at once.
REMEMBERED_FETCHES = 4


class LogFetcher:
    """Fetches the leader's log; the fields are valid only while this replica follows."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a fetch in flight."""
        self.core = core
        # The newest fetch's number, and when it was sent; None while no answer is awaited.
        self.fetch_number = 0
        self.fetch_sent_at: timedelta | None = None
        # The newest round that the leader has announced to this replica.
        self.newest_round = 0
        # The end of the log at each of the last fetches: a late answer is used if the log still ends there.
        self.fetched_from: dict[int, OffsetAndEpoch] = {}
        # When a leader was last known here, and when the last discovery call was sent.
        self.leader_known_at = core.now
        self.discovery_sent_at = core.now
        self.discovery_attempts = 0

    # -- fetches -----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Repeats a fetch that got no answer, and looks for a leader if none has been known for long."""
        core = self.core
        if core.leader != UNSET:
            # A fetch that got no answer is repeated; a late answer to it is used only if its records still fit.
            if self.fetch_sent_at is None or core.now - self.fetch_sent_at > core.timings.fetch_timeout:
                self.fetch()
            core.snapshot_fetcher.tick()
        if core.leader != UNSET:
            self.leader_known_at = core.now
        # A voter without a leader for long may have been removed meanwhile: then the leader does not call it either.
        unknown_to_leader = not core.is_voter() or core.now - self.leader_known_at >= core.timings.liveness_timeout
        if (
            core.leader == UNSET
            and unknown_to_leader
            and core.now - self.discovery_sent_at >= core.timings.leader_discovery_interval
        ):
            self._discover_leader()

    def fetch(self) -> None:
        """Fetches the records after the end of the log from the leader."""
        core = self.core
        if core.leader in (UNSET, core.replica) or core.halted or core.leaving.ended:
            return
        snapshot = core.snapshot_fetcher
        if snapshot.checkpoint_id is None and (not core.complete or snapshot.starting_over):
            # With offset and epoch zero the leader answers where to begin.
            offset, epoch, complete = 0, 0, False
        else:
            end = self._log_end
            offset, epoch = end.offset + 1, end.epoch
            complete = snapshot.checkpoint_id is None
        self.fetch_sent_at = core.now
        self.fetch_number = core.send(
            core.leader,
            FetchCall(
                core.mesh,
                core.replica,
                core.incarnation,
                core.epoch,
                offset,
                epoch,
                self.newest_round,
                complete,
                core.level,
                core.leaving.stopping,
            ),
        )
        self.fetched_from[self.fetch_number] = OffsetAndEpoch(offset - 1, epoch)
        while len(self.fetched_from) > REMEMBERED_FETCHES:
            del self.fetched_from[next(iter(self.fetched_from))]

    @property
    def _log_end(self) -> OffsetAndEpoch:
        """The end of the log being fetched: the one above a checkpoint being fetched, or this replica's own."""
        return self.core.snapshot_fetcher.log_end or self.core.last

    def fetch_answer(self, number: int, replica: int, answer: FetchAnswer) -> None:
        """Handles the answer to the newest fetch, or a late answer to an earlier one."""
        if number == self.fetch_number:
            self._newest_answer(replica, answer)
        else:
            self._late_answer(number, replica, answer)

    def _late_answer(self, number: int, replica: int, answer: FetchAnswer) -> None:
        """Appends records that arrived after the fetch timeout: on a slow link no answer may ever arrive sooner."""
        core = self.core
        if (
            replica == core.leader
            and core.role != LEADER
            and answer.epoch == core.epoch
            and not answer.error
            and answer.records
            and self.fetched_from.get(number) == self._log_end
        ):
            self._take_records(answer)
            self.fetch()

    def _newest_answer(self, replica: int, answer: FetchAnswer) -> None:
        core = self.core
        sent_at, self.fetch_sent_at = self.fetch_sent_at, None
        if answer.error == WRONG_MESH:
            core.announce("wrong mesh", leader=replica)
            return
        if answer.error == RELEASE_OLD:
            core.halt(f"the mesh is past release level {core.level}")
            return
        if self._update_leader(replica, answer):
            return
        if answer.error or answer.epoch < core.epoch or replica != core.leader or core.role == LEADER:
            return
        core.elections.leader_heard_at = core.now
        core.elections.reset_election_timer()
        self.newest_round = max(self.newest_round, answer.round)
        if core.leaving.stopping:
            core.leaving.leave_answered(answer)
        if answer.checkpoint_offset != UNSET:
            core.snapshot_fetcher.begin(answer)
        elif answer.diverging_offset != UNSET:
            if not self._drop_divergence(answer):
                # The answer would truncate committed records, or nothing at all. The next fetch waits for the
                # timeout: sent at once, it would get the same answer in an endless loop.
                self.fetch_sent_at = core.now
                return
        else:
            self._take_records(answer)
            if core.complete and core.snapshot_fetcher.checkpoint_id is None:
                self._update_state_age(answer, sent_at)
        self.fetch()

    def _update_leader(self, replica: int, answer: FetchAnswer) -> bool:
        """Updates the known leader from the answer; true if a newer epoch or another leader results."""
        core = self.core
        same_epoch = answer.epoch == core.epoch
        if answer.epoch > core.epoch or (answer.error and same_epoch and answer.leader not in (UNSET, core.leader)):
            # A newer epoch or another leader. If no leader is named, this replica waits for its election timeout.
            if answer.leader not in (UNSET, core.replica):
                core.elections.follow(answer.epoch, answer.leader)
            else:
                core.elections.step_down(answer.epoch, UNSET)
            return True
        if core.leader == UNSET and not answer.error and same_epoch and answer.leader == replica:
            # The replica asked during discovery is the leader itself.
            core.elections.follow(answer.epoch, replica)
            return True
        if answer.error and same_epoch and replica == core.leader:
            # The former leader no longer leads: wait for a leader's announcement, or for the election timeout.
            core.leader = UNSET
        return False

    def _take_records(self, answer: FetchAnswer) -> None:
        """Appends the records that continue this log, and applies the records that are now committed."""
        core = self.core
        end = self._log_end.offset
        new_records = tuple(record for record in answer.records if record.offset > end)
        contiguous = bool(new_records) and new_records[0].offset == end + 1
        if core.snapshot_fetcher.checkpoint_id is not None:
            if contiguous:
                core.snapshot_fetcher.stage(new_records)
            return
        if contiguous and core.complete:
            core.append(new_records)
        if core.complete:
            core.high_watermark = max(core.high_watermark, min(answer.high_watermark, core.last.offset))
            core.applying.apply_committed()
            # Followers adopt the begin offset once their own checkpoint covers it.
            begin = answer.begin_offset - 1
            if begin > core.begin.offset and core.checkpoint and core.checkpoint.offset >= begin:
                core.snapshot_server.trim_log(begin)

    def _update_state_age(self, answer: FetchAnswer, sent_at: timedelta | None) -> None:
        """Records as of when the state is current, once all records that the leader has committed are applied."""
        core = self.core
        if sent_at is None or core.state.epoch != core.epoch or core.state.offset < answer.high_watermark:
            return
        # No clocks are compared: the leader measured the age after this fetch was sent. A leader of an older release
        # sends no age; but it steps down after the quorum timeout without its followers, so its age is no greater.
        age = core.timings.quorum_timeout if answer.contact_age == UNKNOWN_AGE else answer.contact_age
        core.reads.note_current(sent_at - age)

    # -- diverging logs ----------------------------------------------------------------------------------------------

    def _drop_divergence(self, answer: FetchAnswer) -> bool:
        """Truncates the records of a diverging log that the leader doesn't have.

        Returns:
            Whether anything was removed, so that the next fetch differs from the last.
        """
        core = self.core
        if core.snapshot_fetcher.checkpoint_id is not None:
            core.snapshot_fetcher.abandon("the log above it diverges from the leader's")
            return True
        end = core.last
        offset = core.last_offset_of_epoch(answer.diverging_epoch, at_most=answer.diverging_offset)
        return self._truncate(offset + 1) and core.last != end

    def _truncate(self, offset: int) -> bool:
        """Removes every record from the offset on; false if that would remove committed records."""
        core = self.core
        # Committed records are never truncated; only a leader of another mesh could ask for it.
        if offset <= max(core.high_watermark, core.state.offset if core.complete else 0):
            core.announce("truncation refused", offset=offset, high_watermark=core.high_watermark)
            return False
        core.log = core.log[: max(0, offset - core.begin_offset)]
        core.pending_voter_changes = [change for change in core.pending_voter_changes if change.offset < offset]
        core.durable = min(core.durable, offset - 1)
        core.unsynced = [write._replace(log_end=min(write.log_end, offset - 1)) for write in core.unsynced]
        core.persist(truncate_from=offset)
        return True

    # -- leader discovery --------------------------------------------------------------------------------------------

    def _discover_leader(self) -> None:
        """Asks the seeds and last known voters in turn who leads, as a leader doesn't call a replica unknown to it."""
        core = self.core
        others = core.others()
        if not others:
            return
        self.discovery_sent_at = core.now
        self.discovery_attempts += 1
        self.fetch_number = core.send(
            others[self.discovery_attempts % len(others)],
            FetchCall(core.mesh, core.replica, core.incarnation, core.epoch, 0, 0, 0, False, core.level),
        )
