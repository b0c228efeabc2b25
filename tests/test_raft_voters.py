"""Membership changes through the log: growth, replacement, the majorities that count, and unknown replicas."""

import random
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.core import CANDIDATE, FOLLOWER, LEADER, NOT_LEADER_FOR_PARTITION, RaftCore
from hoistsaddle.raft.events import Announce, Answer, AnswerArrived, Boot, OffsetAndEpoch, ProposalArrived, Ticked
from hoistsaddle.rpc.messages import BeginEpochCall, FetchAnswer, FetchCall, Record, VoteCall
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import LEVEL, AddVoter, RemoveVoter
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import State, initial_state
from test_kip_630 import TIMINGS, Bench, claim

STEP = timedelta(milliseconds=200)
TWO = {1: "one", 2: "two"}


def life_of(replica: int) -> str:
    return {1: "one", 2: "two", 3: "three", 4: "four", 5: "five", 9: "nine"}[replica]


class Growing(Bench):
    """A bench whose core was founded by these voters at the level that knows voter changes."""

    def __init__(
        self,
        voters: dict[int, str] = TWO,
        *,
        replica: int = 1,
        wanted: int = 3,
        level: int = 3,
        seeds: tuple[int, ...] = (1, 2, 3),
        boot: Boot | None = None,
    ) -> None:
        state = initial_state(mesh="m", voters=voters, operators={}, level=level)
        boot = boot or Boot(
            replica=replica,
            incarnation=voters[replica],
            voters=tuple(voters.items()),
            mesh="m",
            checkpoint=OffsetAndEpoch(0, 0),
            state=state,
        )
        self.timestamp = timedelta(seconds=100)
        self.core = RaftCore(
            boot=boot, replicas=seeds, timings=TIMINGS, seed=random.Random(1), now=self.timestamp, wanted_voters=wanted
        )
        self.commands = []
        self.tickets = 0

    def fetch_from(self, replica: int, *, incarnation: str = "", complete: bool = True) -> FetchAnswer | None:
        """What this replica says when it has all there is."""
        last = self.core.last
        return self.call(
            FetchCall(
                "m",
                replica,
                incarnation or life_of(replica),
                self.core.epoch,
                last.offset + 1,
                last.epoch,
                self.core.replication.round,
                complete,
                LEVEL,
            )
        )

    def go_on(self, *replicas: int, span: timedelta, complete: bool = True) -> None:
        """These fetch on and on for the span, the newest always synced; the others say nothing."""
        until = self.timestamp + span
        while self.timestamp < until:
            for replica in replicas:
                self.fetch_from(replica, complete=complete)
            self.feed(Ticked(), later=STEP)

    def voters(self) -> dict[int, str]:
        return dict(sorted(self.core.state.voters.items()))

    def announced(self, kind: str) -> list[dict]:
        return [each.detail for each in self.of(Announce) if each.kind == kind]


class Growth(TestCase):
    def test_a_core_grows_one_voter_at_a_time_to_what_the_losses_ask_for(self) -> None:
        bench = Growing(wanted=5).lead()
        bench.go_on(2, 3, 4, 5, 9, span=timedelta(seconds=8))
        # Twice the losses and one, and no more, however many keep up.
        self.assertThat(bench.voters(), Equals({each: life_of(each) for each in (1, 2, 3, 4, 5)}))
        added = bench.announced("voter added")
        self.assertThat([(each["voter"], each["voters"]) for each in added], Equals([(3, 3), (4, 4), (5, 5)]))

    def test_whoever_lags_or_still_pulls_its_checkpoint_joins_nothing(self) -> None:
        bench = Growing().lead()
        bench.write(3)
        bench.go_on(2, span=timedelta(seconds=1))
        until = bench.timestamp + timedelta(seconds=6)
        while bench.timestamp < until:
            bench.fetch_from(2)
            # Behind the high-watermark, and whole only in its own words.
            bench.call(FetchCall("m", 3, "three", bench.core.epoch, 2, bench.core.epoch, 0, True, 3))
            bench.fetch_from(4, complete=False)
            bench.feed(Ticked(), later=STEP)
        self.assertThat(bench.voters(), Equals(TWO))

    def test_nothing_grows_where_founding_named_the_voters_once_and_for_all(self) -> None:
        bench = Growing(wanted=0).lead()
        bench.go_on(2, 3, span=timedelta(seconds=8))
        self.assertThat(bench.voters(), Equals(TWO))

    def test_nothing_grows_below_the_level_that_knows_it(self) -> None:
        bench = Growing(level=2).lead()
        bench.go_on(2, 3, span=timedelta(seconds=8))
        # Nor is a record written that every replica would refuse: the log holds the leader's note alone.
        self.assertThat((bench.voters(), bench.core.last.offset), Equals((TWO, 1)))

    def test_a_voter_long_silent_makes_room_for_one_that_keeps_up(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.go_on(2, 3, 4, span=timedelta(seconds=5))
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.go_on(2, 4, span=TIMINGS.replacement_timeout / 2)
        # Not for a while's silence: a machine that restarts comes back.
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.go_on(2, 4, span=timedelta(seconds=5))
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 4]))
        self.assertThat([each["voter"] for each in bench.announced("voter dropped")], Equals([3]))
        self.assertThat([each["voter"] for each in bench.announced("voter added")], Equals([4]))

    def test_a_silent_voter_stays_while_nobody_could_take_its_place(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.go_on(2, span=TIMINGS.replacement_timeout * 2)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))

    def test_a_new_leader_waits_its_own_span_before_it_calls_anyone_silent(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.go_on(2, 4, span=TIMINGS.replacement_timeout - STEP)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.go_on(2, 4, span=STEP * 4)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 4]))


class Majorities(TestCase):
    def growing(self) -> Growing:
        """Leads three voters, and the record that adds the fourth isn't committed yet."""
        bench = Growing({**TWO, 3: "three"}, wanted=5).lead()
        bench.go_on(2, 3, span=timedelta(seconds=4))
        bench.fetch_from(4)
        bench.feed(Ticked())
        self.assertThat(len(bench.core.voter_sets()), Equals(2))
        return bench

    def test_until_a_change_commits_every_set_must_agree(self) -> None:
        bench = self.growing()
        before = bench.core.high_watermark
        # Two of the three of old agree; of the four that is half, and half is no majority.
        bench.fetch_from(2)
        self.assertThat(bench.core.high_watermark, Equals(before))
        bench.fetch_from(4)
        self.assertThat((bench.core.high_watermark, sorted(bench.voters())), Equals((before + 1, [1, 2, 3, 4])))

    def test_a_drop_too_needs_the_voters_of_old(self) -> None:
        bench = Growing({**TWO, 3: "three", 4: "four"}, wanted=4)
        bench.core.role = CANDIDATE
        bench.core.elections.pre_vote, bench.core.elections.granted = False, {(1, "one"), (2, "two"), (3, "three")}
        bench.core.elections.count_votes()
        bench.feed(ProposalArrived(77, (pack_command(RemoveVoter(4, "four")),)))
        # Two of the three that are left, but only half of the four.
        bench.fetch_from(2)
        self.assertThat((bench.core.high_watermark, len(bench.voters())), Equals((0, 4)))
        bench.fetch_from(3)
        self.assertThat((bench.core.high_watermark, len(bench.voters())), Equals((2, 3)))

    def test_the_new_voter_alone_commits_nothing(self) -> None:
        bench = self.growing()
        before = bench.core.high_watermark
        bench.fetch_from(4)
        self.assertThat(bench.core.high_watermark, Equals(before))

    def test_no_second_change_begins_while_one_is_under_way(self) -> None:
        bench = self.growing()
        for _ in range(5):
            bench.fetch_from(4)
            bench.fetch_from(5)
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        self.assertThat(len(bench.core.pending_voter_changes), Equals(1))

    def test_a_change_that_never_committed_goes_with_its_record(self) -> None:
        bench = Growing({**TWO, 3: "three"}, replica=2, wanted=5)
        bench.call(BeginEpochCall("m", 1, 1))
        records = (
            Record(1, 1, timedelta(seconds=1), claim(1)),
            Record(2, 1, timedelta(seconds=2), pack_command(AddVoter(4, "four"))),
        )
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 1, FetchAnswer("", 1, 1, 1, 1, records)))
        self.assertThat(bench.core.voter_sets()[-1], Contains(4))
        # The next leader never had it.
        bench.call(BeginEpochCall("m", 2, 3))
        bench.feed(
            AnswerArrived(
                bench.core.log_fetcher.fetch_number,
                3,
                FetchAnswer("", 2, 3, 1, 1, diverging_offset=1, diverging_epoch=1),
            )
        )
        self.assertThat((bench.core.last.offset, len(bench.core.voter_sets())), Equals((1, 1)))

    def test_a_vote_needs_a_majority_of_every_set(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=5)
        bench.call(BeginEpochCall("m", 1, 2))
        added = Record(1, 1, timedelta(seconds=1), pack_command(AddVoter(4, "four")))
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 2, FetchAnswer("", 1, 2, 0, 1, (added,))))
        bench.feed(Ticked(), later=timedelta(seconds=2))
        self.assertThat(bench.core.role, Equals(CANDIDATE))
        # All three others are asked, the one that isn't committed yet too.
        self.assertThat(sorted(each.replica for each in bench.sent(VoteCall)), Equals([2, 3, 4]))
        bench.core.elections.granted = {(1, "one"), (4, "four")}
        bench.core.elections.count_votes()
        self.assertThat(bench.core.elections.pre_vote, Equals(True))
        bench.core.elections.granted = {(1, "one"), (2, "two")}
        bench.core.elections.count_votes()
        self.assertThat(bench.core.elections.pre_vote, Equals(True))
        bench.core.elections.granted = {(1, "one"), (2, "two"), (4, "four")}
        bench.core.elections.count_votes()
        self.assertThat(bench.core.elections.pre_vote, Equals(False))

    def test_a_replica_added_by_a_record_it_has_itself_votes(self) -> None:
        bench = Growing({**TWO, 3: "three"}, replica=2, wanted=5)
        bench.core.incarnation, bench.core.replica = "four", 4
        self.assertThat(bench.core.is_voter(), Equals(False))
        bench.call(BeginEpochCall("m", 1, 1))
        added = Record(1, 1, timedelta(seconds=1), pack_command(AddVoter(4, "four")))
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 1, FetchAnswer("", 1, 1, 0, 1, (added,))))
        self.assertThat(bench.core.is_voter(), Equals(True))


class Seeking(TestCase):
    def blank(self, replica: int = 9) -> Growing:
        return Growing(boot=Boot(replica=replica, incarnation="blank"))

    def test_a_blank_disk_asks_each_it_may_turn_to_who_leads(self) -> None:
        bench = self.blank()
        for _ in range(7):
            bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        self.assertThat({each.replica for each in bench.sent(FetchCall)}, Equals({1, 2, 3}))
        self.assertThat(bench.sent(VoteCall), Equals([]))

    def test_it_follows_the_one_it_is_sent_to(self) -> None:
        bench = self.blank()
        bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        asked = bench.sent(FetchCall)[-1]
        bench.feed(AnswerArrived(asked.number, asked.replica, FetchAnswer(NOT_LEADER_FOR_PARTITION, 4, 2)))
        fetch = bench.sent(FetchCall)[-1]
        self.assertThat((bench.core.leader, fetch.replica, fetch.message.epoch), Equals((2, 2, 4)))

    def test_it_follows_the_one_it_asked_if_that_one_leads(self) -> None:
        bench = self.blank()
        bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        asked = bench.sent(FetchCall)[-1]
        bench.feed(AnswerArrived(asked.number, asked.replica, FetchAnswer("", 0, asked.replica, 0, 1)))
        self.assertThat((bench.core.leader, bench.sent(FetchCall)[-1].replica), Equals((asked.replica, asked.replica)))

    def test_a_wiped_replica_finds_the_leader_and_is_swapped_for_its_former_life(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.go_on(2, span=timedelta(seconds=5))
        until = bench.timestamp + timedelta(seconds=2)
        while bench.timestamp < until:
            bench.fetch_from(2)
            bench.fetch_from(3, incarnation="three-again")
            bench.feed(Ticked(), later=STEP)
        self.assertThat(bench.voters(), Equals({1: "one", 2: "two", 3: "three-again"}))

    def test_a_wiped_replica_counts_for_nothing_before_that(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.write(2)
        bench.fetch_from(3, incarnation="three-again")
        self.assertThat(bench.core.high_watermark, Equals(0))
        blank = self.blank(3)
        self.assertThat(blank.call(VoteCall("m", 5, 2, "two", 9, 4, False, 3)).granted, Equals(False))

    def test_a_voter_dropped_while_it_was_away_finds_the_leader_again(self) -> None:
        # Nobody calls it any more, and its own log still names it a voter.
        bench = Growing({**TWO, 9: "nine"}, replica=9)
        for _ in range(60):
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        sought = bench.sent(FetchCall)
        self.assertThat({each.replica for each in sought}, Equals({1, 2, 3}))
        bench.feed(AnswerArrived(sought[-1].number, sought[-1].replica, FetchAnswer(NOT_LEADER_FOR_PARTITION, 4, 3)))
        self.assertThat((bench.core.leader, bench.core.role), Equals((3, FOLLOWER)))

    def test_a_voter_that_merely_waits_for_an_election_asks_nobody(self) -> None:
        bench = Growing({**TWO, 3: "three"}, replica=3)
        for _ in range(20):
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        self.assertThat(bench.sent(FetchCall), Equals([]))

    def test_the_leader_answers_a_stranger_and_counts_it_for_nothing(self) -> None:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        answer = bench.call(FetchCall("", 9, "blank", 0, 0, 0, 0, False, 3))
        self.assertThat((answer.leader, answer.epoch, bench.core.high_watermark), Equals((1, 1, 0)))
        self.assertThat(bench.core.role, Equals(LEADER))


class Records(TestCase):
    def apply(self, state: State, command: AddVoter | RemoveVoter) -> tuple[State, str]:
        after, outcome = apply(
            state,
            offset=state.offset + 1,
            epoch=1,
            stamp=timedelta(),
            payload=pack_command(command),
        )
        return after, outcome.error

    def test_adding_and_dropping_say_exactly_who(self) -> None:
        state = initial_state(mesh="m", voters=TWO, operators={}, level=3)
        unsure = str(ErrorKind.UNSURE)
        self.assertThat(self.apply(state, AddVoter(2, "other"))[1], Equals(unsure))
        self.assertThat(self.apply(state, RemoveVoter(2, "other"))[1], Equals(unsure))
        self.assertThat(self.apply(state, RemoveVoter(7, "seven"))[1], Equals(unsure))
        state, error = self.apply(state, AddVoter(3, "three"))
        self.assertThat((error, sorted(state.voters), state.data_plane_revision), Equals(("", [1, 2, 3], state.offset)))
        for replica in (1, 2):
            state, error = self.apply(state, RemoveVoter(replica, life_of(replica)))
            self.assertThat((error, replica in state.voters), Equals(("", False)))
        # The last one stays.
        self.assertThat(self.apply(state, RemoveVoter(3, "three"))[1], Equals(unsure))

    def test_a_proposal_of_a_voter_change_is_met_by_the_next_sets_at_once(self) -> None:
        bench = Growing({**TWO, 3: "three"}).lead()
        bench.feed(ProposalArrived(77, (pack_command(RemoveVoter(3, "three")),)))
        self.assertThat([sorted(each) for each in bench.core.voter_sets()], Equals([[1, 2, 3], [1, 2]]))


class ObserversFetches(TestCase):
    """A replica without a vote commits nothing, so it is sent records in batches; a voter at once."""

    def last_sent(self, bench: Growing, replica: int) -> int:
        """The offset that the replica was sent last; 0 for nothing since it began to wait."""
        fetch_ticket = self.tickets[replica]
        answers = [each for each in bench.of(Answer) if each.ticket == fetch_ticket and each.message.records]
        return answers[-1].message.records[-1].offset if answers else 0

    def waiting(self, *replicas: int) -> Growing:
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.go_on(2, 3, 9, span=timedelta(seconds=1))
        self.tickets = {}
        for replica in replicas:
            self.assertThat(bench.fetch_from(replica), Equals(None))
            self.tickets[replica] = bench.tickets
        return bench

    def test_a_voter_is_sent_a_record_at_once_and_an_observer_after_its_wait(self) -> None:
        bench = self.waiting(2, 9)
        bench.feed(ProposalArrived(0, (claim(1),)))
        self.assertThat((self.last_sent(bench, 2), self.last_sent(bench, 9)), Equals((bench.core.last.offset, 0)))
        bench.feed(Ticked(), later=TIMINGS.observer_batch_delay / 2)
        self.assertThat(self.last_sent(bench, 9), Equals(0))
        bench.feed(Ticked(), later=TIMINGS.observer_batch_delay / 2)
        self.assertThat(self.last_sent(bench, 9), Equals(bench.core.last.offset))

    def test_an_observer_far_behind_does_not_wait(self) -> None:
        bench = self.waiting(9)
        bench.feed(ProposalArrived(0, tuple(claim(number) for number in range(TIMINGS.fetch_records))))
        self.assertThat(self.last_sent(bench, 9), Equals(bench.core.last.offset))

    def test_an_observer_that_is_about_to_vote_is_sent_records_at_once(self) -> None:
        bench = Growing(wanted=3).lead()
        bench.go_on(2, 3, span=timedelta(milliseconds=200))
        while not bench.core.pending_voter_changes:
            bench.fetch_from(2)
            bench.fetch_from(3)
            bench.feed(Ticked(), later=timedelta(milliseconds=15))
        bench.fetch_from(3)
        self.tickets = {3: bench.tickets}
        bench.feed(ProposalArrived(0, (claim(1),)))
        self.assertThat(self.last_sent(bench, 3), Equals(bench.core.last.offset))


class VotersFetches(TestCase):
    """Under load records go to a voter in batches; the first after a pause goes at once."""

    def test_records_that_follow_soon_wait_for_each_other(self) -> None:
        gap = timedelta(milliseconds=10)
        bench = Growing({**TWO, 3: "three"}, wanted=3).lead()
        bench.core.timings = TIMINGS._replace(voter_batch_interval=gap)
        bench.go_on(2, 3, span=timedelta(seconds=1))
        bench.feed(Ticked(), later=gap)
        self.assertThat(bench.fetch_from(2), Equals(None))
        bench.feed(ProposalArrived(0, (claim(1),)))
        answered = bench.of(Answer)
        self.assertThat(len(answered[-1].message.records), Equals(1))
        self.assertThat(bench.fetch_from(2), Equals(None))
        for number in (2, 3):
            bench.feed(ProposalArrived(0, (claim(number),)), later=gap / 4)
        self.assertThat(len(bench.of(Answer)), Equals(len(answered)))
        bench.feed(Ticked(), later=gap / 2)
        self.assertThat(len(bench.of(Answer)[-1].message.records), Equals(2))
