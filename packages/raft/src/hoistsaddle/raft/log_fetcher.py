"""The follower's side: fetches, what their answers say, logs that part, the search for a leader."""

from datetime import timedelta
from typing import TYPE_CHECKING

from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.raft.replica import LEADER, RELEASE_OLD, WRONG_MESH
from hoistsaddle.rpc.messages import UNKNOWN_AGE, UNSET, FetchAnswer, FetchCall

if TYPE_CHECKING:
    from hoistsaddle.raft.core import RaftCore

# So many fetches are remembered for their late answers; more are never under way at once.
REMEMBERED_FETCHES = 4


class LogFetcher:
    """Fetches the leader's log; its fields count only while this replica follows."""

    def __init__(self, core: "RaftCore") -> None:
        """Begins without a fetch under way."""
        self.core = core
        # The newest fetch's number, and when it was sent; None while no answer is awaited.
        self.fetch_number = 0
        self.fetch_sent_at: timedelta | None = None
        # The leader's newest round that this replica has heard of.
        self.newest_round = 0
        # Where each of the last fetches asked the log to go on: a late answer counts if it still goes on there.
        self.fetched_from: dict[int, OffsetAndEpoch] = {}
        # When a leader was last known here, and when one was last searched for.
        self.leader_known_at = core.now
        self.searched_at = core.now
        self.searches = 0

    # -- fetches -----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Fetches again where an answer stays away, and searches for a leader where none is known for long."""
        core = self.core
        if core.leader != UNSET:
            # A fetch that got no answer is sent again; the old answer, if it still comes, is passed over.
            if self.fetch_sent_at is None or core.now - self.fetch_sent_at > core.timings.fetch_timeout:
                self.fetch()
            core.snapshot_fetcher.tick()
        if core.leader != UNSET:
            self.leader_known_at = core.now
        # A voter without a leader for long may have been dropped while it was away: then nobody calls it either.
        unknown = not core.is_voter() or core.now - self.leader_known_at >= core.timings.liveness_timeout
        if core.leader == UNSET and unknown and core.now - self.searched_at >= core.timings.leader_discovery_interval:
            self._search_leader()

    def fetch(self) -> None:
        """Asks the leader for what follows the log held here."""
        core = self.core
        if core.leader in (UNSET, core.replica) or core.halted or core.leaving.ended:
            return
        snapshot = core.snapshot_fetcher
        if snapshot.checkpoint_id is None and (not core.complete or snapshot.starting_over):
            # Offset and epoch zero ask the leader where to begin.
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
        """Where the log that is being fetched ends: the one above a checkpoint being fetched, or the own."""
        return self.core.snapshot_fetcher.log_end or self.core.last

    def fetch_answer(self, number: int, replica: int, answer: FetchAnswer) -> None:
        """The answer to the newest fetch, or a late one."""
        if number == self.fetch_number:
            self._newest_answer(replica, answer)
        else:
            self._late_answer(number, replica, answer)

    def _late_answer(self, number: int, replica: int, answer: FetchAnswer) -> None:
        """Records that took longer than a fetch waits. Were they dropped, a slow link would never bring them."""
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
        if self._names_other_leader(replica, answer):
            return
        if answer.error or answer.epoch < core.epoch or replica != core.leader or core.role == LEADER:
            return
        core.elections.leader_heard_at = core.now
        core.elections.postpone()
        self.newest_round = max(self.newest_round, answer.round)
        if core.leaving.stopping:
            core.leaving.leave_answered(answer)
        if answer.checkpoint_offset != UNSET:
            core.snapshot_fetcher.begin(answer)
        elif answer.diverging_offset != UNSET:
            if not self._drop_divergence(answer):
                # Asked to forget what was committed, or for nothing that is here: ask again no sooner than the
                # time-out, or two that don't agree would send without end.
                self.fetch_sent_at = core.now
                return
        else:
            self._take_records(answer)
            if core.complete and core.snapshot_fetcher.checkpoint_id is None:
                self._date_state(answer, sent_at)
        self.fetch()

    def _names_other_leader(self, replica: int, answer: FetchAnswer) -> bool:
        """Takes up what the answer says of who leads; true if another leader than the known one results from it."""
        core = self.core
        same_epoch = answer.epoch == core.epoch
        if answer.epoch > core.epoch or (answer.error and same_epoch and answer.leader not in (UNSET, core.leader)):
            # A leader of a newer epoch takes over; "nobody" leaves this replica to its election time-out.
            if answer.leader not in (UNSET, core.replica):
                core.elections.follow(answer.epoch, answer.leader)
            else:
                core.elections.step_down(answer.epoch, UNSET)
            return True
        if core.leader == UNSET and not answer.error and same_epoch and answer.leader == replica:
            # The one that was asked in the search leads itself.
            core.elections.follow(answer.epoch, replica)
            return True
        if answer.error and same_epoch and replica == core.leader:
            # It led once and says it no longer does: wait for a call to follow, or for the election time-out.
            core.leader = UNSET
        return False

    def _take_records(self, answer: FetchAnswer) -> None:
        """Appends the records that go on where the log here ends, and applies what is committed by now."""
        core = self.core
        end = self._log_end.offset
        fresh = tuple(record for record in answer.records if record.offset > end)
        fits = bool(fresh) and fresh[0].offset == end + 1
        if core.snapshot_fetcher.checkpoint_id is not None:
            if fits:
                core.snapshot_fetcher.stage(fresh)
            return
        if fits and core.complete:
            core.append(fresh)
        if core.complete:
            core.high_watermark = max(core.high_watermark, min(answer.high_watermark, core.last.offset))
            core.applying.apply_committed()
            # Followers adopt the begin offset once their own checkpoint covers it.
            begin = answer.begin_offset - 1
            if begin > core.begin.offset and core.checkpoint and core.checkpoint.offset >= begin:
                core.snapshot_server.trim_log(begin)

    def _date_state(self, answer: FetchAnswer, sent_at: timedelta | None) -> None:
        """As of when the state here is the newest, once all that the leader has committed is applied."""
        core = self.core
        if sent_at is None or core.state.epoch != core.epoch or core.state.offset < answer.high_watermark:
            return
        # No clocks are compared: the age was taken after this fetch was sent. A leader of a former release gives none;
        # it steps down after so long a silence of the others.
        age = core.timings.quorum_timeout if answer.contact_age == UNKNOWN_AGE else answer.contact_age
        core.reads.note_current(sent_at - age)

    # -- logs that part ----------------------------------------------------------------------------------------------

    def _drop_divergence(self, answer: FetchAnswer) -> bool:
        """The log here parts from the leader's: drops what the leader doesn't have.

        Returns:
            Whether anything changed here, so that the next fetch asks for something else.
        """
        core = self.core
        if core.snapshot_fetcher.checkpoint_id is not None:
            core.snapshot_fetcher.abandon("the log above it parts from the leader's")
            return True
        end = core.last
        offset = core.last_offset_of_epoch(answer.diverging_epoch, at_most=answer.diverging_offset)
        return self._truncate(offset + 1) and core.last != end

    def _truncate(self, offset: int) -> bool:
        """Drops every record from the offset on; returns whether that may be."""
        core = self.core
        # Committed records never go; a leader that asks for it is not of this mesh.
        if offset <= max(core.high_watermark, core.state.offset if core.complete else 0):
            core.announce("truncation refused", offset=offset, high_watermark=core.high_watermark)
            return False
        core.log = core.log[: max(0, offset - core.begin_offset)]
        core.pending_voter_changes = [change for change in core.pending_voter_changes if change.offset < offset]
        core.durable = min(core.durable, offset - 1)
        core.unsynced = [write._replace(log_end=min(write.log_end, offset - 1)) for write in core.unsynced]
        core.persist(truncate_from=offset)
        return True

    # -- the search for a leader -------------------------------------------------------------------------------------

    def _search_leader(self) -> None:
        """Nobody calls a replica nobody knows of: it asks the seeds and its last voters in turn who leads."""
        core = self.core
        others = core.others()
        if not others:
            return
        self.searched_at = core.now
        self.searches += 1
        self.fetch_number = core.send(
            others[self.searches % len(others)],
            FetchCall(core.mesh, core.replica, core.incarnation, core.epoch, 0, 0, 0, False, core.level),
        )
