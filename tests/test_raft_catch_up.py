"""A lagging replica: what it keeps while it fetches a snapshot, and what the leader retains for it."""

from datetime import timedelta

from immutables import Map
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.raft.events import (
    AnswerArrived,
    Boot,
    CheckpointLoaded,
    CheckpointStored,
    DropCheckpoints,
    OffsetAndEpoch,
    Send,
    StoreChunk,
    Ticked,
)
from hoistsaddle.raft.replica import LEADER, SNAPSHOT_NOT_FOUND
from hoistsaddle.rpc.messages import (
    UNSET,
    BeginEpochCall,
    EndEpochCall,
    FetchAnswer,
    FetchCall,
    FetchSnapshotAnswer,
    FetchSnapshotCall,
    Record,
    VoteAnswer,
    VoteCall,
)
from hoistsaddle.statemachine.state import State, initial_state
from test_kip_630 import TIMINGS, VOTERS, Bench, claim


def records(first: int, last: int, *, epoch: int) -> tuple[Record, ...]:
    return tuple(Record(offset, epoch, timedelta(seconds=offset), claim(offset)) for offset in range(first, last + 1))


def state_at(offset: int, epoch: int, *, mesh: str = "m") -> State:
    return State(mesh=mesh, offset=offset, epoch=epoch, voters=Map(VOTERS))


class LaggingFollower(Bench):
    """Replica 2 with nine records of epoch 1, three of them committed, directed to a checkpoint by epoch 3's leader."""

    def __init__(self) -> None:
        state = initial_state(mesh="m", voters=VOTERS, operators={})
        super().__init__(
            replica=2,
            boot=Boot(
                replica=2,
                incarnation="two",
                epoch=1,
                voters=tuple(VOTERS.items()),
                mesh="m",
                records=records(1, 9, epoch=1),
                checkpoint=OffsetAndEpoch(0, 0),
                state=state,
            ),
        )
        self.call(BeginEpochCall("m", 1, 1))
        self.answer(FetchAnswer("", 1, 1, 3, 1))
        self.call(BeginEpochCall("m", 3, 3))
        self.direct_to_checkpoint(40)

    def answer(self, answer: FetchAnswer, *, leader: int = 0) -> None:
        self.feed(AnswerArrived(self.core.log_fetcher.fetch_number, leader or self.core.leader, answer))

    def direct_to_checkpoint(self, offset: int) -> None:
        end = offset + 10
        checkpoint = {"checkpoint_offset": offset, "checkpoint_epoch": 3, "next_offset": offset + 1}
        self.answer(FetchAnswer("", self.core.epoch, self.core.leader, end, offset + 1, **checkpoint))

    def receive_chunk(self, data: bytes = b"abc", *, continues: bool = False) -> None:
        request = self.sent(FetchSnapshotCall)[-1].message
        answer = FetchSnapshotAnswer(
            "", 3, request.checkpoint_offset, request.checkpoint_epoch, request.position, data, continues
        )
        self.feed(AnswerArrived(self.core.snapshot_fetcher.call_number, self.core.leader, answer))

    def last_fetch(self) -> tuple[int, int, bool]:
        call = self.sent(FetchCall)[-1].message
        return call.fetch_offset, call.fetch_epoch, call.complete


class WhileFetchingASnapshot(TestCase):
    def test_it_stays_complete_with_all_that_it_acknowledged(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk(continues=True)
        self.assertThat(
            (bench.core.complete, bench.core.state.offset, bench.core.last), Equals((True, 3, OffsetAndEpoch(9, 1)))
        )
        # It votes according to its own log: not for a candidate whose log is shorter.
        bench.feed(Ticked(), later=timedelta(seconds=3))
        self.assertThat(bench.call(VoteCall("m", 9, 1, "one", 8, 1, False)).granted, Equals(False))
        self.assertThat(bench.call(VoteCall("m", 10, 1, "one", 9, 1, False)).granted, Equals(True))

    def test_a_new_leader_that_still_has_the_log_after_its_own_needs_no_checkpoint(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk(continues=True)
        bench.call(BeginEpochCall("m", 4, 1))
        self.assertThat((bench.core.snapshot_fetcher.checkpoint_id, bench.last_fetch()), Equals((None, (10, 1, True))))
        bench.answer(FetchAnswer("", 4, 1, 11, 1, records(10, 11, epoch=4)))
        self.assertThat(bench.core.state.offset, Equals(11))

    def test_log_fetched_meanwhile_continues_above_the_loaded_checkpoint(self) -> None:
        bench = LaggingFollower()
        bench.answer(FetchAnswer("", 3, 3, 42, 41, records(41, 42, epoch=3)))
        self.assertThat(bench.last_fetch(), Equals((43, 3, False)))
        bench.receive_chunk()
        bench.feed(CheckpointLoaded(OffsetAndEpoch(40, 3), state_at(40, 3)))
        self.assertThat((bench.core.begin, bench.core.last), Equals((OffsetAndEpoch(40, 3), OffsetAndEpoch(42, 3))))
        bench.answer(FetchAnswer("", 3, 3, 42, 41))
        self.assertThat((bench.core.state.offset, bench.last_fetch()), Equals((42, (43, 3, True))))

    def test_it_never_goes_back_to_an_older_state_nor_to_another_meshs(self) -> None:
        for state in (state_at(2, 1), state_at(40, 3, mesh="other")):
            bench = LaggingFollower()
            bench.receive_chunk()
            bench.feed(CheckpointLoaded(OffsetAndEpoch(40, 3), state))
            self.assertThat(
                (bench.core.state.offset, bench.core.last, bench.core.mesh), Equals((3, OffsetAndEpoch(9, 1), "m"))
            )
            self.assertThat(bench.last_fetch()[:2], Equals((41, 3)))
            bench.feed(Ticked(), later=TIMINGS.fetch_timeout + timedelta(milliseconds=15))
            self.assertThat(bench.last_fetch(), Equals((0, 0, False)))

    def test_the_same_checkpoint_named_again_continues_the_fetch(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk(continues=True)
        bench.answer(FetchAnswer("", 3, 3, 50, 41))
        self.assertThat(
            (bench.core.snapshot_fetcher.position, bench.core.snapshot_fetcher.checkpoint_id),
            Equals((3, OffsetAndEpoch(40, 3))),
        )

    def test_only_a_silence_of_the_replica_makes_the_fetch_start_over(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk(continues=True)
        # The leader trims its log twice meanwhile; the log fetches keep up, so the staged records stay contiguous.
        for end in (60, 80):
            bench.answer(FetchAnswer("", 3, 3, end, end - 4, records(bench.last_fetch()[0], end, epoch=3)))
        self.assertThat(
            (bench.core.snapshot_fetcher.checkpoint_id, bench.core.snapshot_fetcher.position),
            Equals((OffsetAndEpoch(40, 3), 3)),
        )
        bench.receive_chunk()
        bench.feed(CheckpointLoaded(OffsetAndEpoch(40, 3), state_at(40, 3)))
        bench.answer(FetchAnswer("", 3, 3, 80, 77))
        self.assertThat(bench.core.state.offset, Equals(80))
        # After a long freeze the leader's log begins above the staged records, so the fetch starts over.
        frozen = LaggingFollower()
        frozen.receive_chunk(continues=True)
        frozen.direct_to_checkpoint(90)
        self.assertThat(
            (frozen.core.snapshot_fetcher.checkpoint_id, frozen.core.snapshot_fetcher.position, frozen.last_fetch()),
            Equals((OffsetAndEpoch(90, 3), 0, (91, 3, False))),
        )
        self.assertThat([chunk.checkpoint_id for chunk in frozen.of(StoreChunk)], Equals([OffsetAndEpoch(40, 3)]))

    def test_without_a_leader_no_chunk_is_requested(self) -> None:
        bench = LaggingFollower()
        bench.call(EndEpochCall(3, 3))
        snapshot_fetches = len(bench.sent(FetchSnapshotCall))
        bench.receive_chunk(continues=True)
        self.assertThat((bench.core.leader, len(bench.sent(FetchSnapshotCall))), Equals((UNSET, snapshot_fetches)))
        self.assertThat([send.replica for send in bench.of(Send) if send.replica == UNSET], Equals([]))

    def test_a_replica_elected_meanwhile_keeps_its_own_log(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk()
        bench.call(EndEpochCall(3, 3))
        bench.feed(Ticked(), later=timedelta(seconds=2))
        for pre_vote in (True, False):
            epoch = bench.core.epoch + pre_vote
            answer = VoteAnswer(bench.core.epoch, 1, "one", True, pre_vote, epoch)
            bench.feed(AnswerArrived(bench.sent(VoteCall)[-1].number, 1, answer))
        last = bench.core.last
        self.assertThat(bench.core.role, Equals(LEADER))
        bench.feed(CheckpointLoaded(OffsetAndEpoch(40, 3), state_at(40, 3)))
        self.assertThat(
            (bench.core.last, bench.core.snapshot_fetcher.checkpoint_id, bench.core.begin),
            Equals((last, None, OffsetAndEpoch(0, 0))),
        )


class DivergedLogs(TestCase):
    def test_one_that_diverges_below_the_begin_offset_is_directed_to_the_checkpoint(self) -> None:
        """A partitioned former leader has uncommitted records that extend beyond the others' current begin offset."""
        bench = Bench().lead()
        bench.write(8)
        bench.commit()
        bench.feed(CheckpointStored(OffsetAndEpoch(7, 1), 100))
        self.assertThat(bench.core.begin.offset, Equals(7))
        answer = bench.fetch(3, 20, 0)
        self.assertThat((answer.checkpoint_offset, answer.diverging_offset), Equals((7, -1)))

    def test_it_reaches_the_checkpoint_in_a_bounded_number_of_calls(self) -> None:
        leading = Bench().lead()
        leading.write(8)
        leading.commit()
        leading.feed(CheckpointStored(OffsetAndEpoch(7, 1), 100))
        state = initial_state(mesh="m", voters=VOTERS, operators={})
        boot = Boot(
            replica=3,
            incarnation="three",
            voters=tuple(VOTERS.items()),
            mesh="m",
            records=records(1, 19, epoch=0),
            checkpoint=OffsetAndEpoch(0, 0),
            state=state,
        )
        diverged = Bench(boot=boot)
        diverged.call(BeginEpochCall("m", 1, 1))
        for calls in range(1, 6):
            call = diverged.sent(FetchCall)[-1].message
            answer = leading.call(call)
            if answer is None:
                break
            diverged.feed(AnswerArrived(diverged.core.log_fetcher.fetch_number, 1, answer))
        self.assertThat(
            (calls <= 3, diverged.core.snapshot_fetcher.checkpoint_id), Equals((True, OffsetAndEpoch(7, 1)))
        )

    def test_an_answer_that_truncates_nothing_is_not_followed_by_the_same_fetch_at_once(self) -> None:
        """Guards against an endless loop of fetches: a leader of an older release gives such an answer."""
        state = initial_state(mesh="m", voters=VOTERS, operators={})
        voters = tuple(VOTERS.items())
        log = records(1, 7, epoch=0)
        boot = Boot(3, "three", voters=voters, mesh="m", records=log, checkpoint=OffsetAndEpoch(0, 0), state=state)
        diverged = Bench(boot=boot)
        diverged.call(BeginEpochCall("m", 1, 1))
        fetches = len(diverged.sent(FetchCall))
        answer = FetchAnswer("", 1, 1, 9, 8, diverging_offset=7, diverging_epoch=1)
        diverged.feed(AnswerArrived(diverged.core.log_fetcher.fetch_number, 1, answer))
        self.assertThat(len(diverged.sent(FetchCall)), Equals(fetches))
        diverged.feed(Ticked(), later=TIMINGS.fetch_timeout + timedelta(milliseconds=15))
        self.assertThat(len(diverged.sent(FetchCall)), Equals(fetches + 1))


class LeaderRetention(TestCase):
    def leader_serving_a_checkpoint(self) -> Bench:
        bench = Bench().lead()
        bench.write(6)
        bench.commit()
        bench.feed(CheckpointStored(OffsetAndEpoch(6, 1), 100))
        self.assertThat(bench.core.begin.offset, Equals(6))
        bench.fetch(3, 1, 0)
        bench.call(FetchSnapshotCall(3, 1, 6, 1, 0, 100))
        return bench

    def trim_again(self, bench: Bench) -> OffsetAndEpoch:
        bench.write(6)
        bench.commit()
        checkpoint_id = OffsetAndEpoch(bench.core.state.offset, 1)
        bench.feed(CheckpointStored(checkpoint_id, 100))
        for _ in range(int(TIMINGS.lag_wait / timedelta(milliseconds=500)) + 1):
            bench.fetch(2, bench.core.last.offset + 1, 1, later=timedelta(milliseconds=250))
            bench.fetch(3, bench.core.last.offset + 1, 1, complete=False, later=timedelta(milliseconds=250))
            bench.call(FetchSnapshotCall(3, 1, 6, 1, 50, 100))
            bench.feed(Ticked())
        self.assertThat(bench.core.begin, Equals(checkpoint_id))
        return checkpoint_id

    def test_a_checkpoint_that_is_being_fetched_is_kept_when_the_log_is_trimmed_again(self) -> None:
        bench = self.leader_serving_a_checkpoint()
        checkpoint_id = self.trim_again(bench)
        self.assertThat(
            bench.of(DropCheckpoints)[-1], Equals(DropCheckpoints(checkpoint_id.offset, (OffsetAndEpoch(6, 1),)))
        )

    def test_it_is_dropped_when_the_fetch_is_done_or_the_fetching_replica_is_silent(self) -> None:
        for done in (True, False):
            bench = self.leader_serving_a_checkpoint()
            checkpoint_id = self.trim_again(bench)
            if done:
                bench.fetch(3, bench.core.last.offset + 1, 1)
                bench.feed(Ticked())
            else:
                for _ in range(int(TIMINGS.liveness_timeout / timedelta(milliseconds=500)) + 2):
                    bench.fetch(2, bench.core.last.offset + 1, 1, later=timedelta(milliseconds=500))
                    bench.feed(Ticked())
            self.assertThat(bench.of(DropCheckpoints)[-1], Equals(DropCheckpoints(checkpoint_id.offset)), str(done))
            drops = len(bench.of(DropCheckpoints))
            bench.feed(Ticked())
            self.assertThat(len(bench.of(DropCheckpoints)), Equals(drops))


class SlowLinks(TestCase):
    def test_records_that_arrive_after_the_fetch_timeout_still_count(self) -> None:
        bench = Bench(replica=2)
        bench.call(BeginEpochCall("m", 1, 1))
        first = bench.core.log_fetcher.fetch_number
        bench.feed(Ticked(), later=TIMINGS.fetch_timeout + timedelta(milliseconds=15))
        self.assertThat(bench.core.log_fetcher.fetch_number != first, Equals(True))
        bench.feed(AnswerArrived(first, 1, FetchAnswer("", 1, 1, 2, 1, records(1, 2, epoch=1))))
        self.assertThat(bench.core.state.offset, Equals(2))
        # The answer to the second fetch contains the same records again.
        bench.feed(AnswerArrived(first + 1, 1, FetchAnswer("", 1, 1, 2, 1, records(1, 2, epoch=1))))
        self.assertThat(bench.core.last, Equals(OffsetAndEpoch(2, 1)))

    def test_late_records_are_never_appended_to_a_log_other_than_the_one_they_were_requested_for(self) -> None:
        bench = LaggingFollower()
        bench.receive_chunk(continues=True)
        asked = bench.core.log_fetcher.fetch_number
        bench.call(BeginEpochCall("m", 4, 3))
        self.assertThat(bench.core.snapshot_fetcher.checkpoint_id, Equals(None))
        bench.feed(AnswerArrived(asked, 3, FetchAnswer("", 3, 3, 50, 41, records(41, 42, epoch=3))))
        bench.feed(AnswerArrived(asked, 3, FetchAnswer("", 4, 3, 50, 41, records(41, 42, epoch=3))))
        self.assertThat(bench.core.last, Equals(OffsetAndEpoch(9, 1)))

    def test_after_a_failed_fetch_it_asks_again_where_to_begin(self) -> None:
        bench = LaggingFollower()
        bench.feed(
            AnswerArrived(bench.core.snapshot_fetcher.call_number, 3, FetchSnapshotAnswer(SNAPSHOT_NOT_FOUND, 3, 40, 3))
        )
        bench.feed(Ticked(), later=TIMINGS.fetch_timeout + timedelta(milliseconds=15))
        self.assertThat(bench.last_fetch(), Equals((0, 0, False)))
        bench.direct_to_checkpoint(60)
        self.assertThat(
            (bench.core.snapshot_fetcher.checkpoint_id, bench.core.complete), Equals((OffsetAndEpoch(60, 3), True))
        )
