"""The reported age of the state of a controller's replica."""

import random
from datetime import timedelta
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import AnswerArrived, Boot, CallArrived, OffsetAndEpoch, RaftTimings, Synced, Ticked
from hoistsaddle.registry.local_registry import ControllerRegistry
from hoistsaddle.rpc.messages import UNKNOWN_AGE, BeginEpochCall, FetchAnswer, FetchCall, Record
from hoistsaddle.statemachine.commands import LEVEL, LeaderChange
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import initial_state

VOTERS = {1: "a", 2: "b", 3: "c"}


def seconds(amount: float) -> timedelta:
    return timedelta(seconds=amount)


def replica(number: int) -> RaftCore:
    state = initial_state(mesh="m", voters=VOTERS, operators={}, level=LEVEL)
    return RaftCore(
        boot=Boot(
            number, VOTERS[number], 4, None, tuple(VOTERS.items()), "m", checkpoint=OffsetAndEpoch(0, 0), state=state
        ),
        replicas=(1, 2, 3),
        timings=RaftTimings(),
        seed=random.Random(1),
        now=seconds(0),
    )  # fmt: skip


def confirmed_current_at(core: RaftCore) -> timedelta | None:
    return ControllerRegistry._confirmed_current_at(
        SimpleNamespace(store=SimpleNamespace(runner=SimpleNamespace(core=core)))
    )


class Leading(TestCase):
    """A leader's state may be old after a power loss of all replicas: it is the checkpoint's until a commit."""

    def leader(self) -> RaftCore:
        core = replica(1)
        core.role, core.leader = LEADER, 1
        core.epoch = 5
        core.elections.granted = {(1, "a"), (2, "b")}
        core.elections.pre_vote = False
        core.elections.count_votes()
        return core

    def fetch(self, core: RaftCore, *, now: float, offset: int, epoch: int, round_seen: int) -> None:
        call = FetchCall("m", 2, "b", 5, offset, epoch, round_seen, True, LEVEL)
        core.handle(CallArrived(int(now * 1000) + 1, call), now=seconds(now))

    def test_a_new_leader_is_not_fresh_before_its_epoch_has_committed(self) -> None:
        core = self.leader()
        self.fetch(core, now=0.1, offset=1, epoch=0, round_seen=0)
        # A follower fetches, so a majority follows, but no record of this epoch is committed yet.
        core.handle(Ticked(), now=seconds(0.1))
        self.assertThat(confirmed_current_at(core), Is(None))
        core.handle(Synced(core.sequence), now=seconds(0.1))
        self.fetch(core, now=0.11, offset=2, epoch=5, round_seen=core.replication.round)
        core.handle(Ticked(), now=seconds(0.12))
        self.assertThat(core.state.epoch, Equals(5))
        # The time is when the leader began the round that this fetch has seen, not when the fetch arrived.
        self.assertThat(confirmed_current_at(core), Equals(seconds(0.1)))

    def test_fetches_that_waited_while_it_was_frozen_do_not_make_its_state_newer(self) -> None:
        core = self.leader()
        core.handle(Synced(core.sequence), now=seconds(0.1))
        self.fetch(core, now=0.1, offset=2, epoch=5, round_seen=0)
        core.handle(Ticked(), now=seconds(0.2))
        before = confirmed_current_at(core)
        # The fetch was sent before the freeze and is read twenty seconds later.
        self.fetch(core, now=20.0, offset=2, epoch=5, round_seen=core.replication.round)
        core.handle(Ticked(), now=seconds(20.01))
        self.assertThat(core.role, Equals(LEADER))
        self.assertThat(before, LessThan(seconds(0.2)))
        self.assertThat(confirmed_current_at(core), LessThan(seconds(0.25)))


class Following(TestCase):
    def follower(self) -> RaftCore:
        core = replica(2)
        core.handle(CallArrived(1, BeginEpochCall("m", 5, 1)), now=seconds(1))
        return core

    def receive_fetch(self, core: RaftCore, *, now: float, high_watermark: int, records: int, age: timedelta) -> None:
        first = core.last.offset + 1
        records_ = tuple(
            Record(first + place, 5, seconds(1), pack_command(LeaderChange(1))) for place in range(records)
        )  # fmt: skip
        answer = FetchAnswer("", 5, 1, high_watermark, 1, records_, contact_age=age)
        core.handle(AnswerArrived(core.log_fetcher.fetch_number, 1, answer), now=seconds(now))

    def test_it_is_as_fresh_as_its_leaders_contact_counted_from_its_own_fetch(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=1, records=1, age=seconds(0.4))
        self.assertThat(confirmed_current_at(core), Equals(seconds(0.6)))

    def test_a_leaders_answer_without_contact_with_a_majority_does_not_make_it_newer(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=1, records=1, age=seconds(0.1))
        for timestamp in (2.0, 3.0, 4.0):
            self.receive_fetch(core, now=timestamp, high_watermark=1, records=0, age=seconds(timestamp - 1.0))
        self.assertThat(confirmed_current_at(core), LessThan(seconds(1.2)))

    def test_it_is_not_fresh_while_it_lacks_what_its_leader_has_committed(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=900, records=500, age=seconds(0.1))
        # Records of the epoch are applied, but four hundred more are committed.
        self.assertThat((core.state.epoch, core.state.offset), Equals((5, 500)))
        self.assertThat(confirmed_current_at(core), Is(None))
        self.receive_fetch(core, now=1.2, high_watermark=900, records=400, age=seconds(0.1))
        self.assertThat(confirmed_current_at(core), Equals(seconds(1.0)))

    def test_it_is_not_fresh_before_it_has_applied_the_epoch(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=0, records=0, age=seconds(0.1))
        self.assertThat(confirmed_current_at(core), Is(None))

    def test_with_a_leader_of_an_older_release_the_age_is_that_of_its_quorum_timeout(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=1, records=1, age=UNKNOWN_AGE)
        self.assertThat(confirmed_current_at(core), Equals(seconds(1) - core.timings.quorum_timeout))

    def test_a_state_does_not_get_newer_while_a_checkpoint_is_fetched(self) -> None:
        """The old state and its time are kept until the fetched one is loaded, whatever the leader answers."""
        core = self.follower()
        self.receive_fetch(core, now=1.1, high_watermark=1, records=1, age=seconds(0.1))
        before = confirmed_current_at(core)
        self.assertThat(before, Equals(seconds(0.9)))
        core.handle(
            AnswerArrived(
                core.log_fetcher.fetch_number,
                1,
                FetchAnswer("", 5, 1, 900, 801, checkpoint_offset=800, checkpoint_epoch=5),
            ),
            now=seconds(1.2),
        )
        self.assertThat(
            (core.snapshot_fetcher.checkpoint_id is None, confirmed_current_at(core)), Equals((False, before))
        )
        answer = FetchAnswer("", 5, 1, 1, 1, (), contact_age=seconds(0))
        core.handle(AnswerArrived(core.log_fetcher.fetch_number, 1, answer), now=seconds(2.0))
        self.assertThat(confirmed_current_at(core), Equals(before))
