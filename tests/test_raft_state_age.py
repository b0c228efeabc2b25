"""How old the state of a controller's replica may be reported to be."""

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


def heard(core: RaftCore) -> timedelta | None:
    return ControllerRegistry._confirmed_current_at(
        SimpleNamespace(store=SimpleNamespace(runner=SimpleNamespace(core=core)))
    )


class Leading(TestCase):
    """After a power loss of the whole core a leader's state is its checkpoint's until it has committed something."""

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
        # A follower fetches, so a majority follows; but nothing of this epoch is committed yet.
        core.handle(Ticked(), now=seconds(0.1))
        self.assertThat(heard(core), Is(None))
        core.handle(Synced(core.sequence), now=seconds(0.1))
        self.fetch(core, now=0.11, offset=2, epoch=5, round_seen=core.replication.round)
        core.handle(Ticked(), now=seconds(0.12))
        self.assertThat(core.state.epoch, Equals(5))
        # Dated by when the leader began the round that this fetch had heard of, not by when the fetch came.
        self.assertThat(heard(core), Equals(seconds(0.1)))

    def test_fetches_that_waited_while_it_was_frozen_make_it_no_younger(self) -> None:
        core = self.leader()
        core.handle(Synced(core.sequence), now=seconds(0.1))
        self.fetch(core, now=0.1, offset=2, epoch=5, round_seen=0)
        core.handle(Ticked(), now=seconds(0.2))
        before = heard(core)
        # Sent before the freeze, read twenty seconds later.
        self.fetch(core, now=20.0, offset=2, epoch=5, round_seen=core.replication.round)
        core.handle(Ticked(), now=seconds(20.01))
        self.assertThat(core.role, Equals(LEADER))
        self.assertThat(before, LessThan(seconds(0.2)))
        self.assertThat(heard(core), LessThan(seconds(0.25)))


class Following(TestCase):
    def follower(self) -> RaftCore:
        core = replica(2)
        core.handle(CallArrived(1, BeginEpochCall("m", 5, 1)), now=seconds(1))
        return core

    def receive_fetch(self, core: RaftCore, *, now: float, mark: int, records: int, age: timedelta) -> None:
        first = core.last.offset + 1
        records_ = tuple(
            Record(first + place, 5, seconds(1), pack_command(LeaderChange(1))) for place in range(records)
        )  # fmt: skip
        answer = FetchAnswer("", 5, 1, mark, 1, records_, contact_age=age)
        core.handle(AnswerArrived(core.log_fetcher.fetch_number, 1, answer), now=seconds(now))

    def test_it_is_as_fresh_as_its_leaders_contact_counted_from_its_own_fetch(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=1, records=1, age=seconds(0.4))
        self.assertThat(heard(core), Equals(seconds(0.6)))

    def test_a_leaders_answer_without_contact_with_a_majority_makes_it_no_younger(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=1, records=1, age=seconds(0.1))
        for timestamp in (2.0, 3.0, 4.0):
            self.receive_fetch(core, now=timestamp, mark=1, records=0, age=seconds(timestamp - 1.0))
        self.assertThat(heard(core), LessThan(seconds(1.2)))

    def test_it_is_not_fresh_while_it_lacks_what_its_leader_has_committed(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=900, records=500, age=seconds(0.1))
        # A record of the epoch is applied, but four hundred more are committed.
        self.assertThat((core.state.epoch, core.state.offset), Equals((5, 500)))
        self.assertThat(heard(core), Is(None))
        self.receive_fetch(core, now=1.2, mark=900, records=400, age=seconds(0.1))
        self.assertThat(heard(core), Equals(seconds(1.0)))

    def test_it_is_not_fresh_before_it_has_applied_the_epoch(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=0, records=0, age=seconds(0.1))
        self.assertThat(heard(core), Is(None))

    def test_a_former_releases_leader_is_dated_by_when_it_would_have_stepped_down(self) -> None:
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=1, records=1, age=UNKNOWN_AGE)
        self.assertThat(heard(core), Equals(seconds(1) - core.timings.quorum_timeout))

    def test_a_state_grows_no_younger_while_a_checkpoint_is_pulled(self) -> None:
        """The old state is kept until the pulled one is loaded, and so is its date, whatever the leader says."""
        core = self.follower()
        self.receive_fetch(core, now=1.1, mark=1, records=1, age=seconds(0.1))
        before = heard(core)
        self.assertThat(before, Equals(seconds(0.9)))
        core.handle(
            AnswerArrived(
                core.log_fetcher.fetch_number,
                1,
                FetchAnswer("", 5, 1, 900, 801, checkpoint_offset=800, checkpoint_epoch=5),
            ),
            now=seconds(1.2),
        )
        self.assertThat((core.snapshot_fetcher.checkpoint_id is None, heard(core)), Equals((False, before)))
        answer = FetchAnswer("", 5, 1, 1, 1, (), contact_age=seconds(0))
        core.handle(AnswerArrived(core.log_fetcher.fetch_number, 1, answer), now=seconds(2.0))
        self.assertThat(heard(core), Equals(before))
