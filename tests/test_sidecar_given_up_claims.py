"""Claims whose requests were refused: what the log may hold is given back, and what it can't hold makes no work."""

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.proxy.messages import HoldAnswered, SubmitHold
from hoistsaddle.statemachine.commands import ClaimKey, ReleaseKey
from sidecar_bench import SidecarBench

# Longer than a request waits for its key, and than a release that isn't urgent is put off.
LONG_SECONDS = 3.0


class SilentLog(SidecarBench):
    """The log answers nothing by itself: a test says what came of each command."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[SubmitHold] = []

    def _carry_out(self, name: str, command: tuple) -> None:
        if isinstance(command, SubmitHold):
            self.asked.append(command)
        else:
            super()._carry_out(name, command)

    def claims(self) -> list[SubmitHold]:
        return [each for each in self.asked if isinstance(each.command, ClaimKey)]

    def releases(self) -> list[SubmitHold]:
        return [each for each in self.asked if isinstance(each.command, ReleaseKey)]

    def end(self, *, maybe_accepted: bool) -> None:
        """No claim that was submitted so far gets an outcome."""
        for claim in self.claims():
            self.feed("s-1", HoldAnswered(claim.number, None, maybe_accepted))


class GivenUpClaims(TestCase):
    """Guards against work for the log that nobody waits for: one refused request made more of it than a served one."""

    def refused(self) -> tuple[SilentLog, int]:
        fleet = SilentLog()
        ticket = fleet.ask("/pay/x", key="k")
        fleet.pass_time(LONG_SECONDS)
        self.assertThat(fleet.replies[ticket].status, Equals(503))
        return fleet, ticket

    def test_a_claim_says_until_when_its_answer_is_of_use(self) -> None:
        fleet = SilentLog()
        began = fleet.timestamp
        ticket = fleet.ask("/pay/x", key="k")
        waited = fleet.claims()[0].deadline - began
        fleet.pass_time((waited * 0.8).total_seconds())
        self.assertThat(ticket in fleet.replies, Equals(False))
        fleet.pass_time((waited * 0.4).total_seconds())
        self.assertThat(fleet.replies[ticket].status, Equals(503))

    def test_a_request_that_waits_submits_one_claim_and_a_refused_one_none_again(self) -> None:
        fleet, _ = self.refused()
        self.assertThat((len(fleet.claims()), fleet.releases()), Equals((1, [])))

    def test_a_claim_that_is_certainly_not_in_the_log_needs_no_release(self) -> None:
        fleet, _ = self.refused()
        fleet.end(maybe_accepted=False)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat(fleet.releases(), Equals([]))

    def test_a_claim_that_may_be_in_the_log_is_given_back(self) -> None:
        fleet, _ = self.refused()
        fleet.end(maybe_accepted=True)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat({each.command.claim for each in fleet.releases()}, Equals({fleet.claims()[0].command.claim}))

    def test_a_claim_granted_late_leaves_no_key_held(self) -> None:
        fleet, _ = self.refused()
        claim = fleet.claims()[0]
        fleet.feed("s-1", HoldAnswered(claim.number, fleet.write(claim.command)))
        self.assertThat(len(fleet.log.holds), Equals(1))
        for release in fleet.releases():
            fleet.write(release.command)
        self.assertThat(len(fleet.log.holds), Equals(0))

    def test_each_refused_request_costs_the_log_one_claim_at_the_most(self) -> None:
        fleet = SilentLog()
        for number in range(50):
            fleet.ask("/pay/x", key=f"k-{number}")
            fleet.pass_time(0.05)
        fleet.pass_time(LONG_SECONDS)
        fleet.end(maybe_accepted=False)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat((len(fleet.claims()), len(fleet.asked)), Equals((50, 50)))
