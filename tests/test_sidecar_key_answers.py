"""The response to a repeated keyed request after each kind of failure, per the design's table; it never runs twice."""

from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, Is, Not

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import HoldAnswered, SubmitHold
from hoistsaddle.rpc.messages import ClaimQueryAnswer
from hoistsaddle.sidecar.messages import ClaimQueryAnswered, ForwardRequest, QueryClaim, Reply, RunOnServer
from sidecar_bench import SidecarBench


class Case(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = SidecarBench()

    def pay(self, ingress: str = "s-1", *, key: str = "k", **changes: Any) -> int:
        return self.fleet.ask("/pay/x", ingress=ingress, key=key, **changes)

    def reply_to(self, ticket: int) -> Reply:
        self.assertThat(self.fleet.replies.get(ticket), Not(Is(None)))
        return self.fleet.replies[ticket]

    def runs(self) -> int:
        return len(self.fleet.sent(RunOnServer))

    def hold_claims(self) -> list[tuple[str, SubmitHold]]:
        """Collect further commands to the log, whose outcomes the test feeds itself."""
        submitted: list[tuple[str, SubmitHold]] = []
        plain = self.fleet._carry_out

        def carry_out(name: str, command: tuple) -> None:
            if isinstance(command, SubmitHold):
                submitted.append((name, command))
            else:
                plain(name, command)

        self.fleet._carry_out = carry_out  # type: ignore
        return submitted

    def restart(self, name: str) -> None:
        """Restart the sidecar: the new incarnation has lost all its state."""
        self.fleet.pass_time(1.0)
        self.fleet.cores[name] = self.fleet.make(name, margin=0, seed=2)
        self.fleet.show(self.fleet.view)
        self.fleet.health(name)


class ClaimHolder(Case):
    def test_a_frozen_holder_gives_no_answer_and_the_repeat_does_not_run(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.fleet.silent = {"s-1"}
        self.assertThat((self.reply_to(self.pay("s-2")).status, self.runs()), Equals((503, 1)))
        # Once thawed, it still has the answer.
        self.fleet.silent = set()
        reply = self.reply_to(self.pay("s-2"))
        self.assertThat((reply.status, reply.body, self.runs()), Equals((200, b"paid", 1)))

    def test_a_holder_thawed_after_the_deadline_sends_nothing_under_its_claim(self) -> None:
        submitted = self.hold_claims()
        first = self.pay(budget=2.0)
        hold = submitted[0][1]
        granted = self.fleet.write(hold.command)
        # The sidecar is frozen meanwhile: no tick occurs, and the grant waits in its socket buffer.
        self.fleet.timestamp += self.fleet.cores["s-1"].ingress.keys.key_lifetime
        self.fleet.feed("s-1", HoldAnswered(hold.number, granted))
        self.assertThat((self.reply_to(first).status, self.fleet.sent(ForwardRequest)), Equals((503, [])))

    def test_after_a_restart_the_claims_outcome_is_unknown(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.restart("s-1")
        for ingress in ("s-2", "s-1"):
            reply = self.reply_to(self.pay(ingress))
            self.assertThat((reply.status, reply.error.kind, self.runs()), Equals((503, ErrorKind.SILENT, 1)))

    def test_a_claim_holds_though_its_holder_restarted_before_it_sent_anything(self) -> None:
        """The new incarnation can't know that nothing was sent."""
        self.fleet.silent = set(self.fleet.cores)
        self.pay()
        self.fleet.silent = set()
        self.restart("s-1")
        self.assertThat((self.reply_to(self.pay("s-2")).status, self.runs()), Equals((503, 0)))

    def test_a_holder_cut_off_from_the_core_claims_nothing_and_still_answers_queries(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        write = self.fleet.write
        cut = {"s-1"}
        self.fleet.write = lambda record: None if getattr(record, "proxy", "") in cut else write(record)  # type: ignore
        self.assertThat(self.reply_to(self.pay("s-2")).body, Equals(b"paid"))
        late = self.pay("s-1")
        self.fleet.pass_time(0.5)
        self.assertThat((self.reply_to(late).status, self.runs()), Equals((503, 1)))


class TwoIngresses(Case):
    def test_a_claim_on_the_cut_off_side_and_its_repeat_on_the_other(self) -> None:
        """Only one of the claims can be granted, and nothing is sent before that."""
        write, waiting = self.fleet.write, []

        def cut(record: Any) -> Any:
            if getattr(record, "proxy", "") != "s-1":
                return write(record)
            waiting.append(record)
            return None

        self.fleet.write = cut  # type: ignore
        first = self.pay("s-1", budget=4.0)
        second = self.pay("s-2", budget=4.0)
        self.fleet.finish(body=b"paid")
        self.assertThat((self.reply_to(second).body, first in self.fleet.replies), Equals((b"paid", False)))
        # The partition heals: the records of the cut-off side reach the log after those of the other.
        self.fleet.write = write
        for record in waiting:
            write(record)
        self.fleet.pass_time(0.3)
        self.assertThat((self.reply_to(first).body, self.runs()), Equals((b"paid", 1)))

    def test_the_first_claim_in_the_log_is_granted(self) -> None:
        submitted = self.hold_claims()
        first, second = self.pay("s-1", budget=4.0), self.pay("s-2", budget=4.0)
        for name, hold in submitted:
            self.fleet.feed(name, HoldAnswered(hold.number, self.fleet.write(hold.command)))
        self.fleet.finish(body=b"paid")
        self.assertThat(
            (self.reply_to(first).body, self.reply_to(second).status, self.runs()), Equals((b"paid", 409, 1))
        )


class ClaimLog(Case):
    def test_a_leader_change_between_claim_and_commit_makes_no_second_claim(self) -> None:
        """The copy of the former leader and the retried one are both committed, but are one claim: one run."""
        write, first = self.fleet.write, []
        self.fleet.write = lambda record: first.append(record)  # type: ignore
        ticket = self.pay()
        self.fleet.write = write
        write(first[0])
        self.fleet.pass_time(0.1)
        write(first[0])
        self.fleet.finish(body=b"paid")
        self.assertThat((self.reply_to(ticket).body, self.runs(), len(self.fleet.log.holds)), Equals((b"paid", 1, 1)))
        self.assertThat(self.reply_to(self.pay("s-3")).body, Equals(b"paid"))

    def test_after_its_lifetime_the_key_identifies_a_new_operation(self) -> None:
        self.pay()
        self.fleet.finish(body=b"first")
        self.fleet.pass_time(76, step=0.5)
        # The time of the log advances with its records.
        self.pay(key="other")
        self.fleet.finish(body=b"other")
        again = self.pay("s-2")
        self.fleet.finish(body=b"second")
        self.assertThat((self.reply_to(again).body, self.runs()), Equals((b"second", 3)))

    def test_an_answered_request_does_not_run_again_after_all_sidecars_restart(self) -> None:
        """All sidecars restart right after the answer; the log keeps the claims."""
        self.pay()
        self.fleet.finish(body=b"paid")
        for name in list(self.fleet.cores):
            self.restart(name)
        for ingress in self.fleet.cores:
            self.assertThat((self.reply_to(self.pay(ingress)).status, self.runs()), Equals((503, 1)))

    def test_an_unanswered_request_does_not_run_again_after_all_sidecars_restart(self) -> None:
        self.pay()
        for name in list(self.fleet.cores):
            self.restart(name)
        for ingress in self.fleet.cores:
            self.assertThat((self.reply_to(self.pay(ingress)).status, self.runs()), Equals((503, 1)))

    def test_a_late_answer_of_the_holder_causes_no_second_response(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.fleet.silent = {"s-1"}
        repeat = self.pay("s-2")
        query = self.fleet.sent(QueryClaim)[-1]
        # The bench fails on a second final response.
        self.fleet.feed("s-2", ClaimQueryAnswered(query.number, ClaimQueryAnswer("kept", 200, b"", b"paid")))
        self.assertThat((self.reply_to(repeat).status, self.runs()), Equals((503, 1)))
