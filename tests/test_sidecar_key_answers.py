"""What the repeat of a keyed request is answered after each loss, and that it never runs twice: the design's table."""

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

    def told(self, ticket: int) -> Reply:
        self.assertThat(self.fleet.replies.get(ticket), Not(Is(None)))
        return self.fleet.replies[ticket]

    def runs(self) -> int:
        return len(self.fleet.sent(RunOnServer))

    def hold_claims(self) -> list[tuple[str, SubmitHold]]:
        """From now on what is asked of the log is answered by the test."""
        asks: list[tuple[str, SubmitHold]] = []
        plain = self.fleet._carry_out

        def carry_out(name: str, command: tuple) -> None:
            if isinstance(command, SubmitHold):
                asks.append((name, command))
            else:
                plain(name, command)

        self.fleet._carry_out = carry_out  # type: ignore
        return asks

    def restart(self, name: str) -> None:
        """Another life of the sidecar, which remembers nothing."""
        self.fleet.pass_time(1.0)
        self.fleet.cores[name] = self.fleet.make(name, margin=0, seed=2)
        self.fleet.show(self.fleet.view)
        self.fleet.health(name)


class ClaimHolder(Case):
    def test_frozen_it_says_nothing_and_the_repeat_runs_nowhere(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.fleet.silent = {"s-1"}
        self.assertThat((self.told(self.pay("s-2")).status, self.runs()), Equals((503, 1)))
        # Thawed, it still knows.
        self.fleet.silent = set()
        reply = self.told(self.pay("s-2"))
        self.assertThat((reply.status, reply.body, self.runs()), Equals((200, b"paid", 1)))

    def test_thawed_after_its_requests_time_it_sends_nothing_under_its_claim(self) -> None:
        asks = self.hold_claims()
        first = self.pay(budget=2.0)
        ask = asks[0][1]
        granted = self.fleet.write(ask.command)
        # Frozen meanwhile: no tick comes, and the grant lies in its socket.
        self.fleet.timestamp += self.fleet.cores["s-1"].ingress.keys.key_lifetime
        self.fleet.feed("s-1", HoldAnswered(ask.number, granted))
        self.assertThat((self.told(first).status, self.fleet.sent(ForwardRequest)), Equals((503, [])))

    def test_without_power_or_restarted_the_claims_end_is_unknown_until_its_time_is_over(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.restart("s-1")
        for ingress in ("s-2", "s-1"):
            reply = self.told(self.pay(ingress))
            self.assertThat((reply.status, reply.error.kind, self.runs()), Equals((503, ErrorKind.SILENT, 1)))

    def test_restarted_before_it_sent_anything_its_claim_still_holds(self) -> None:
        """The new life can't know that nothing was sent."""
        self.fleet.silent = set(self.fleet.cores)
        self.pay()
        self.fleet.silent = set()
        self.restart("s-1")
        self.assertThat((self.told(self.pay("s-2")).status, self.runs()), Equals((503, 0)))

    def test_cut_off_from_the_core_it_claims_nothing_and_still_tells_what_it_kept(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        write = self.fleet.write
        cut = {"s-1"}
        self.fleet.write = lambda record: None if getattr(record, "proxy", "") in cut else write(record)  # type: ignore
        self.assertThat(self.told(self.pay("s-2")).body, Equals(b"paid"))
        late = self.pay("s-1")
        self.fleet.pass_time(0.5)
        self.assertThat((self.told(late).status, self.runs()), Equals((503, 1)))


class TwoIngresses(Case):
    def test_a_claim_at_the_cut_off_side_and_its_repeat_at_the_other(self) -> None:
        """Only one of them can be committed, and nothing is sent before that."""
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
        self.assertThat((self.told(second).body, first in self.fleet.replies), Equals((b"paid", False)))
        # Joined again: what waited at the cut-off leader comes to the log behind the other.
        self.fleet.write = write
        for record in waiting:
            write(record)
        self.fleet.pass_time(0.3)
        self.assertThat((self.told(first).body, self.runs()), Equals((b"paid", 1)))

    def test_the_cut_off_sides_claim_comes_first_after_all(self) -> None:
        asks = self.hold_claims()
        first, second = self.pay("s-1", budget=4.0), self.pay("s-2", budget=4.0)
        for name, ask in asks:
            self.fleet.feed(name, HoldAnswered(ask.number, self.fleet.write(ask.command)))
        self.fleet.finish(body=b"paid")
        self.assertThat((self.told(first).body, self.told(second).status, self.runs()), Equals((b"paid", 409, 1)))


class ClaimLog(Case):
    def test_a_leader_change_between_claim_and_commit_makes_no_second_claim(self) -> None:
        """The copy at the former leader and the one asked again are both committed: one claim, one run."""
        write, first = self.fleet.write, []
        self.fleet.write = lambda record: first.append(record)  # type: ignore
        ticket = self.pay()
        self.fleet.write = write
        write(first[0])
        self.fleet.pass_time(0.1)
        write(first[0])
        self.fleet.finish(body=b"paid")
        self.assertThat((self.told(ticket).body, self.runs(), len(self.fleet.log.holds)), Equals((b"paid", 1, 1)))
        self.assertThat(self.told(self.pay("s-3")).body, Equals(b"paid"))

    def test_after_its_window_the_key_is_anothers_operation(self) -> None:
        self.pay()
        self.fleet.finish(body=b"first")
        self.fleet.pass_time(76, step=0.5)
        # The log's time goes on with its records.
        self.pay(key="other")
        self.fleet.finish(body=b"other")
        again = self.pay("s-2")
        self.fleet.finish(body=b"second")
        self.assertThat((self.told(again).body, self.runs()), Equals((b"second", 3)))

    def test_work_accepted_and_then_lost_with_everything_is_not_run_again(self) -> None:
        """Every sidecar restarts right after the answer; the log keeps its claims."""
        self.pay()
        self.fleet.finish(body=b"paid")
        for name in list(self.fleet.cores):
            self.restart(name)
        for ingress in self.fleet.cores:
            self.assertThat((self.told(self.pay(ingress)).status, self.runs()), Equals((503, 1)))

    def test_lost_before_its_answer_it_is_not_run_again(self) -> None:
        self.pay()
        for name in list(self.fleet.cores):
            self.restart(name)
        for ingress in self.fleet.cores:
            self.assertThat((self.told(self.pay(ingress)).status, self.runs()), Equals((503, 1)))

    def test_a_word_of_the_holders_that_comes_too_late_answers_nobody(self) -> None:
        self.pay()
        self.fleet.finish(body=b"paid")
        self.fleet.silent = {"s-1"}
        repeat = self.pay("s-2")
        recall = self.fleet.sent(QueryClaim)[-1]
        # The bench refuses a second final answer.
        self.fleet.feed("s-2", ClaimQueryAnswered(recall.number, ClaimQueryAnswer("kept", 200, b"", b"paid")))
        self.assertThat((self.told(repeat).status, self.runs()), Equals((503, 1)))
