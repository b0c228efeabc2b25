"""Claims of rejected requests: those that may be in the log are released, the others cause no further log records."""

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.proxy.messages import HoldAnswered, SubmitHold
from hoistsaddle.statemachine.commands import ClaimKey, ReleaseKey
from sidecar_bench import SidecarBench

# Longer than a request waits for its key, and longer than the delay of a release.
LONG_SECONDS = 3.0


class SilentLog(SidecarBench):
    """A log that gives no answers itself: the test feeds the outcome of each command."""

    def __init__(self) -> None:
        super().__init__()
        self.submitted: list[SubmitHold] = []

    def _carry_out(self, name: str, command: tuple) -> None:
        if isinstance(command, SubmitHold):
            self.submitted.append(command)
        else:
            super()._carry_out(name, command)

    def claims(self) -> list[SubmitHold]:
        return [each for each in self.submitted if isinstance(each.command, ClaimKey)]

    def releases(self) -> list[SubmitHold]:
        return [each for each in self.submitted if isinstance(each.command, ReleaseKey)]

    def end(self, *, maybe_accepted: bool) -> None:
        """End all submitted claims without an outcome."""
        for claim in self.claims():
            self.feed("s-1", HoldAnswered(claim.number, None, maybe_accepted))


class GivenUpClaims(TestCase):
    """Guards against useless log records: a rejected request caused more of them than a served one."""

    def refused(self) -> tuple[SilentLog, int]:
        fleet = SilentLog()
        ticket = fleet.ask("/pay/x", key="k")
        fleet.pass_time(LONG_SECONDS)
        self.assertThat(fleet.replies[ticket].status, Equals(503))
        return fleet, ticket

    def test_a_claim_carries_the_deadline_of_its_request_for_the_key(self) -> None:
        fleet = SilentLog()
        began = fleet.timestamp
        ticket = fleet.ask("/pay/x", key="k")
        waited = fleet.claims()[0].deadline - began
        fleet.pass_time((waited * 0.8).total_seconds())
        self.assertThat(ticket in fleet.replies, Equals(False))
        fleet.pass_time((waited * 0.4).total_seconds())
        self.assertThat(fleet.replies[ticket].status, Equals(503))

    def test_a_waiting_request_submits_one_claim_and_none_after_its_rejection(self) -> None:
        fleet, _ = self.refused()
        self.assertThat((len(fleet.claims()), fleet.releases()), Equals((1, [])))

    def test_a_claim_that_is_certainly_not_in_the_log_needs_no_release(self) -> None:
        fleet, _ = self.refused()
        fleet.end(maybe_accepted=False)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat(fleet.releases(), Equals([]))

    def test_a_claim_that_may_be_in_the_log_is_released(self) -> None:
        fleet, _ = self.refused()
        fleet.end(maybe_accepted=True)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat({each.command.claim for each in fleet.releases()}, Equals({fleet.claims()[0].command.claim}))

    def test_a_claim_that_is_granted_late_is_released(self) -> None:
        fleet, _ = self.refused()
        claim = fleet.claims()[0]
        fleet.feed("s-1", HoldAnswered(claim.number, fleet.write(claim.command)))
        self.assertThat(len(fleet.log.holds), Equals(1))
        for release in fleet.releases():
            fleet.write(release.command)
        self.assertThat(len(fleet.log.holds), Equals(0))

    def test_each_rejected_request_costs_the_log_at_most_one_claim(self) -> None:
        fleet = SilentLog()
        for number in range(50):
            fleet.ask("/pay/x", key=f"k-{number}")
            fleet.pass_time(0.05)
        fleet.pass_time(LONG_SECONDS)
        fleet.end(maybe_accepted=False)
        fleet.pass_time(LONG_SECONDS)
        self.assertThat((len(fleet.claims()), len(fleet.submitted)), Equals((50, 50)))
