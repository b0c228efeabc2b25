"""Voter changes through the log: growth, replacement, the majorities required, and unknown replicas."""

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


def incarnation_of(replica: int) -> str:
    return {1: "one", 2: "two", 3: "three", 4: "four", 5: "five", 9: "nine"}[replica]


class VoterBench(Bench):
    """A bench whose mesh was bootstrapped with these voters at a level that supports voter changes."""

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
        """The answer to a fetch by a replica that has the whole log."""
        last = self.core.last
        return self.call(
            FetchCall(
                "m",
                replica,
                incarnation or incarnation_of(replica),
                self.core.epoch,
                last.offset + 1,
                last.epoch,
                self.core.replication.round,
                complete,
                LEVEL,
            )
        )

    def keep_fetching(self, *replicas: int, span: timedelta, complete: bool = True) -> None:
        """These replicas keep fetching for the span, with the whole log synced; the others are silent."""
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
    def test_voters_are_added_one_at_a_time_up_to_the_number_wanted(self) -> None:
        bench = VoterBench(wanted=5).lead()
        bench.keep_fetching(2, 3, 4, 5, 9, span=timedelta(seconds=8))
        # The number of voters wanted, and no more, however many replicas keep up.
        self.assertThat(bench.voters(), Equals({each: incarnation_of(each) for each in (1, 2, 3, 4, 5)}))
        added = bench.announced("voter added")
        self.assertThat([(each["voter"], each["voters"]) for each in added], Equals([(3, 3), (4, 4), (5, 5)]))

    def test_a_replica_that_lags_or_still_fetches_its_checkpoint_does_not_become_a_voter(self) -> None:
        bench = VoterBench().lead()
        bench.write(3)
        bench.keep_fetching(2, span=timedelta(seconds=1))
        until = bench.timestamp + timedelta(seconds=6)
        while bench.timestamp < until:
            bench.fetch_from(2)
            # It lags behind the high watermark, although it reports a complete state.
            bench.call(FetchCall("m", 3, "three", bench.core.epoch, 2, bench.core.epoch, 0, True, 3))
            bench.fetch_from(4, complete=False)
            bench.feed(Ticked(), later=STEP)
        self.assertThat(bench.voters(), Equals(TWO))

    def test_no_voter_is_added_if_the_bootstrap_fixed_the_voters(self) -> None:
        bench = VoterBench(wanted=0).lead()
        bench.keep_fetching(2, 3, span=timedelta(seconds=8))
        self.assertThat(bench.voters(), Equals(TWO))

    def test_no_voter_is_added_below_the_level_with_voter_changes(self) -> None:
        bench = VoterBench(level=2).lead()
        bench.keep_fetching(2, 3, span=timedelta(seconds=8))
        # No record is written that the replicas would reject: the log contains only the leader change.
        self.assertThat((bench.voters(), bench.core.last.offset), Equals((TWO, 1)))

    def test_a_voter_silent_for_long_is_replaced_by_a_replica_that_keeps_up(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.keep_fetching(2, 3, 4, span=timedelta(seconds=5))
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.keep_fetching(2, 4, span=TIMINGS.replacement_timeout / 2)
        # A short silence is tolerated: a machine that restarts comes back.
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.keep_fetching(2, 4, span=timedelta(seconds=5))
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 4]))
        self.assertThat([each["voter"] for each in bench.announced("voter dropped")], Equals([3]))
        self.assertThat([each["voter"] for each in bench.announced("voter added")], Equals([4]))

    def test_a_silent_voter_stays_while_no_replica_can_replace_it(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.keep_fetching(2, span=TIMINGS.replacement_timeout * 2)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))

    def test_a_new_leader_waits_the_replacement_timeout_before_it_replaces_a_voter(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.keep_fetching(2, 4, span=TIMINGS.replacement_timeout - STEP)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 3]))
        bench.keep_fetching(2, 4, span=STEP * 4)
        self.assertThat(sorted(bench.voters()), Equals([1, 2, 4]))


class Majorities(TestCase):
    def growing(self) -> VoterBench:
        """A leader of three voters whose record adding a fourth is not committed yet."""
        bench = VoterBench({**TWO, 3: "three"}, wanted=5).lead()
        bench.keep_fetching(2, 3, span=timedelta(seconds=4))
        bench.fetch_from(4)
        bench.feed(Ticked())
        self.assertThat(len(bench.core.voter_sets()), Equals(2))
        return bench

    def test_until_a_change_commits_every_set_must_agree(self) -> None:
        bench = self.growing()
        before = bench.core.high_watermark
        # Two of the three old voters agree; that is only half of the four, which is no majority.
        bench.fetch_from(2)
        self.assertThat(bench.core.high_watermark, Equals(before))
        bench.fetch_from(4)
        self.assertThat((bench.core.high_watermark, sorted(bench.voters())), Equals((before + 1, [1, 2, 3, 4])))

    def test_a_removal_too_needs_a_majority_of_the_old_voters(self) -> None:
        bench = VoterBench({**TWO, 3: "three", 4: "four"}, wanted=4)
        bench.core.role = CANDIDATE
        bench.core.elections.pre_vote, bench.core.elections.granted = False, {(1, "one"), (2, "two"), (3, "three")}
        bench.core.elections.count_votes()
        bench.feed(ProposalArrived(77, (pack_command(RemoveVoter(4, "four")),)))
        # Two of the three remaining voters agree, but only half of the four.
        bench.fetch_from(2)
        self.assertThat((bench.core.high_watermark, len(bench.voters())), Equals((0, 4)))
        bench.fetch_from(3)
        self.assertThat((bench.core.high_watermark, len(bench.voters())), Equals((2, 3)))

    def test_the_new_voter_alone_commits_nothing(self) -> None:
        bench = self.growing()
        before = bench.core.high_watermark
        bench.fetch_from(4)
        self.assertThat(bench.core.high_watermark, Equals(before))

    def test_no_second_change_begins_while_one_is_pending(self) -> None:
        bench = self.growing()
        for _ in range(5):
            bench.fetch_from(4)
            bench.fetch_from(5)
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        self.assertThat(len(bench.core.pending_voter_changes), Equals(1))

    def test_an_uncommitted_change_is_undone_when_its_record_is_truncated(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, replica=2, wanted=5)
        bench.call(BeginEpochCall("m", 1, 1))
        records = (
            Record(1, 1, timedelta(seconds=1), claim(1)),
            Record(2, 1, timedelta(seconds=2), pack_command(AddVoter(4, "four"))),
        )
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 1, FetchAnswer("", 1, 1, 1, 1, records)))
        self.assertThat(bench.core.voter_sets()[-1], Contains(4))
        # The next leader does not have the record.
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
        bench = VoterBench({**TWO, 3: "three"}, wanted=5)
        bench.call(BeginEpochCall("m", 1, 2))
        added = Record(1, 1, timedelta(seconds=1), pack_command(AddVoter(4, "four")))
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 2, FetchAnswer("", 1, 2, 0, 1, (added,))))
        bench.feed(Ticked(), later=timedelta(seconds=2))
        self.assertThat(bench.core.role, Equals(CANDIDATE))
        # All three others are asked, including the one whose addition is not committed yet.
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

    def test_a_replica_whose_own_log_adds_it_votes(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, replica=2, wanted=5)
        bench.core.incarnation, bench.core.replica = "four", 4
        self.assertThat(bench.core.is_voter(), Equals(False))
        bench.call(BeginEpochCall("m", 1, 1))
        added = Record(1, 1, timedelta(seconds=1), pack_command(AddVoter(4, "four")))
        bench.feed(AnswerArrived(bench.core.log_fetcher.fetch_number, 1, FetchAnswer("", 1, 1, 0, 1, (added,))))
        self.assertThat(bench.core.is_voter(), Equals(True))


class LeaderDiscovery(TestCase):
    def blank(self, replica: int = 9) -> VoterBench:
        return VoterBench(boot=Boot(replica=replica, incarnation="blank"))

    def test_a_blank_replica_asks_each_seed_for_the_leader(self) -> None:
        bench = self.blank()
        for _ in range(7):
            bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        self.assertThat({each.replica for each in bench.sent(FetchCall)}, Equals({1, 2, 3}))
        self.assertThat(bench.sent(VoteCall), Equals([]))

    def test_it_follows_the_leader_named_in_the_answer(self) -> None:
        bench = self.blank()
        bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        asked = bench.sent(FetchCall)[-1]
        bench.feed(AnswerArrived(asked.number, asked.replica, FetchAnswer(NOT_LEADER_FOR_PARTITION, 4, 2)))
        fetch = bench.sent(FetchCall)[-1]
        self.assertThat((bench.core.leader, fetch.replica, fetch.message.epoch), Equals((2, 2, 4)))

    def test_it_follows_the_replica_it_asked_if_that_one_leads(self) -> None:
        bench = self.blank()
        bench.feed(Ticked(), later=TIMINGS.leader_discovery_interval)
        asked = bench.sent(FetchCall)[-1]
        bench.feed(AnswerArrived(asked.number, asked.replica, FetchAnswer("", 0, asked.replica, 0, 1)))
        self.assertThat((bench.core.leader, bench.sent(FetchCall)[-1].replica), Equals((asked.replica, asked.replica)))

    def test_a_wiped_replica_finds_the_leader_and_replaces_its_former_incarnation(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.keep_fetching(2, span=timedelta(seconds=5))
        until = bench.timestamp + timedelta(seconds=2)
        while bench.timestamp < until:
            bench.fetch_from(2)
            bench.fetch_from(3, incarnation="three-again")
            bench.feed(Ticked(), later=STEP)
        self.assertThat(bench.voters(), Equals({1: "one", 2: "two", 3: "three-again"}))

    def test_a_wiped_replica_does_not_count_before_that(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.write(2)
        bench.fetch_from(3, incarnation="three-again")
        self.assertThat(bench.core.high_watermark, Equals(0))
        blank = self.blank(3)
        self.assertThat(blank.call(VoteCall("m", 5, 2, "two", 9, 4, False, 3)).granted, Equals(False))

    def test_a_voter_removed_while_it_was_away_finds_the_leader_again(self) -> None:
        # The leader doesn't call it any more, but according to its own log it is still a voter.
        bench = VoterBench({**TWO, 9: "nine"}, replica=9)
        for _ in range(60):
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        discovery_calls = bench.sent(FetchCall)
        self.assertThat({each.replica for each in discovery_calls}, Equals({1, 2, 3}))
        bench.feed(
            AnswerArrived(
                discovery_calls[-1].number, discovery_calls[-1].replica, FetchAnswer(NOT_LEADER_FOR_PARTITION, 4, 3)
            )
        )
        self.assertThat((bench.core.leader, bench.core.role), Equals((3, FOLLOWER)))

    def test_a_voter_that_only_waits_for_an_election_sends_no_discovery_calls(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, replica=3)
        for _ in range(20):
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        self.assertThat(bench.sent(FetchCall), Equals([]))

    def test_the_leader_answers_an_unknown_replica_and_does_not_count_it(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
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

    def test_additions_and_removals_must_name_the_exact_incarnation(self) -> None:
        state = initial_state(mesh="m", voters=TWO, operators={}, level=3)
        unsure = str(ErrorKind.UNSURE)
        self.assertThat(self.apply(state, AddVoter(2, "other"))[1], Equals(unsure))
        self.assertThat(self.apply(state, RemoveVoter(2, "other"))[1], Equals(unsure))
        self.assertThat(self.apply(state, RemoveVoter(7, "seven"))[1], Equals(unsure))
        state, error = self.apply(state, AddVoter(3, "three"))
        self.assertThat((error, sorted(state.voters), state.data_plane_revision), Equals(("", [1, 2, 3], state.offset)))
        for replica in (1, 2):
            state, error = self.apply(state, RemoveVoter(replica, incarnation_of(replica)))
            self.assertThat((error, replica in state.voters), Equals(("", False)))
        # The last voter can't be removed.
        self.assertThat(self.apply(state, RemoveVoter(3, "three"))[1], Equals(unsure))

    def test_a_proposed_voter_change_takes_effect_on_the_voter_sets_at_once(self) -> None:
        bench = VoterBench({**TWO, 3: "three"}).lead()
        bench.feed(ProposalArrived(77, (pack_command(RemoveVoter(3, "three")),)))
        self.assertThat([sorted(each) for each in bench.core.voter_sets()], Equals([[1, 2, 3], [1, 2]]))


class ObserversFetches(TestCase):
    """Records go to a voter at once, but in batches to an observer, whose fetches commit nothing."""

    def last_sent(self, bench: VoterBench, replica: int) -> int:
        """The last offset that the replica was sent in answer to its pending fetch; 0 if it is still pending."""
        fetch_ticket = self.tickets[replica]
        answers = [each for each in bench.of(Answer) if each.ticket == fetch_ticket and each.message.records]
        return answers[-1].message.records[-1].offset if answers else 0

    def waiting(self, *replicas: int) -> VoterBench:
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.keep_fetching(2, 3, 9, span=timedelta(seconds=1))
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

    def test_an_observer_about_to_become_a_voter_is_sent_records_at_once(self) -> None:
        bench = VoterBench(wanted=3).lead()
        bench.keep_fetching(2, 3, span=timedelta(milliseconds=200))
        while not bench.core.pending_voter_changes:
            bench.fetch_from(2)
            bench.fetch_from(3)
            bench.feed(Ticked(), later=timedelta(milliseconds=15))
        bench.fetch_from(3)
        self.tickets = {3: bench.tickets}
        bench.feed(ProposalArrived(0, (claim(1),)))
        self.assertThat(self.last_sent(bench, 3), Equals(bench.core.last.offset))


class VotersFetches(TestCase):
    """Under load records go to a voter in batches; the first after a pause is sent at once."""

    def test_records_that_follow_soon_wait_for_each_other(self) -> None:
        gap = timedelta(milliseconds=10)
        bench = VoterBench({**TWO, 3: "three"}, wanted=3).lead()
        bench.core.timings = TIMINGS._replace(voter_batch_interval=gap)
        bench.keep_fetching(2, 3, span=timedelta(seconds=1))
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
