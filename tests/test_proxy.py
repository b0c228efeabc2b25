"""Tests of the proxy's core without I/O: which answers and commands follow from which events, and when."""

import random
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.proxy.bundle_state import MAX_CORE_OUTAGE, digest_of_body
from hoistsaddle.proxy.core import ProxyCore
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.ingress import MAX_KEY_WAIT
from hoistsaddle.proxy.messages import (
    AnswerClient,
    AnswerForward,
    ConfigurationChanged,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    ForwardWithheld,
    HealthReported,
    HoldAnswered,
    LeaseRenewed,
    RequestArrived,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
    StopRequested,
    SubmitHold,
    Ticked,
)
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import ClaimKey, CompleteKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.state import NodeRecord, ServerRecord
from hoistsaddle.statemachine.view import View
from hoistsaddle.testbed.deployments import DEPLOYMENTS

BUNDLE = read_bundle(DEPLOYMENTS["thimble"].first_bundle()).unwrap()
SERVICES = ("portal", "ledger", "meter", "portal", "ledger", "meter")


def view_of_fleet(**drained: str) -> View:
    nodes = {
        f"stall-{place}": NodeRecord(f"stall-{place}", "stall", f"at-{place}", "a", "life", "alive", 1)
        for place in range(1, 7)
    }
    servers = {
        name: ServerRecord(
            name,
            SERVICES[place],
            f"i-{place + 1}",
            "address",
            "a",
            "ready",
            1,
            "life",
            drained.get(f"proxy_{place + 1}", ""),
            1,
        )
        for place, name in enumerate(nodes)
    }
    return View(5, BUNDLE, 0, 0, "", servers, nodes, {}, 2, (BUNDLE,), dict.fromkeys(nodes, BUNDLE))


class Bench:
    def __init__(self, *, name: str = "stall-1", fresh: bool = True, backlog: int = 5, outstanding: int = 50) -> None:
        self.timestamp = timedelta(seconds=50)
        self.core = ProxyCore(
            settings=CoreSettings(
                name, "a", "life", timedelta(seconds=1.5), timedelta(seconds=1.5), backlog, outstanding
            ),
            seed=random.Random(1),
            now=self.timestamp,
        )
        self.out: list[tuple] = []
        self.feed(ConfigurationChanged(view_of_fleet()))
        # The proxy may use its retry quota only after a lease span.
        self.feed(ConfigurationChanged(view_of_fleet()), later=1.6)
        place = int(name[-1])
        self.feed(HealthReported(SERVICES[place - 1], f"i-{place}", "address", "ready"))
        if fresh:
            self.renew()
        self.tickets = 0

    def renew(self) -> None:
        self.feed(LeaseRenewed(self.timestamp))

    def feed(self, event: tuple, *, later: float = 0.0) -> list[tuple]:
        self.timestamp += timedelta(seconds=later)
        out = self.core.handle(event, now=self.timestamp)
        self.out += out
        return out

    def ask(
        self, method: str = "GET", path: str = "/readings", *, key: str = "", body: bytes = b"", client: str = ""
    ) -> int:
        self.tickets += 1
        credentials = client or f"visitor-{self.tickets}"
        self.feed(
            RequestArrived(self.tickets, "", credentials, method, path, "", {"Authorization": credentials}, body, key)
        )
        return self.tickets

    def newest(self, kind: type) -> tuple:
        return next(command for command in reversed(self.out) if isinstance(command, kind))

    def count(self, kind: type) -> int:
        return sum(isinstance(command, kind) for command in self.out)

    def answer(self, ticket: int) -> AnswerClient | None:
        return next(
            (command for command in self.out if isinstance(command, AnswerClient) and command.ticket == ticket), None
        )

    def refuse_newest_attempt(self) -> None:
        sent = self.newest(ForwardRequest)
        self.feed(
            ForwardAnswered(
                sent.number, BundleForwardAnswer(sent.call.attempt_id, "not-run", "winding-down", "it leaves")
            )
        )

    def call(self, send: str = "s1", *, budget: float = 4.0, **changes) -> BundleForwardCall:
        base = BundleForwardCall(
            send,
            "visitors",
            "visitor",
            "meter",
            "stall-3",
            "i-3",
            1,
            "readings",
            timedelta(seconds=budget),
            "GET",
            "/readings",
            {},
            b"",
            "",
            1024,
        )
        return base._replace(**changes)


class Ingress(TestCase):
    """Tests of the ingress side, which admits requests of clients."""

    def test_the_queue_is_bounded_and_overflow_is_refused_immediately(self) -> None:
        bench = Bench(fresh=False, backlog=5)
        tickets = [bench.ask() for _ in range(8)]
        answers = [bench.answer(ticket) for ticket in tickets]
        self.assertThat([answer is None for answer in answers], Equals([True] * 5 + [False] * 3))
        self.assertThat(
            (answers[5].outcome, answers[5].error.kind, answers[5].retry_after),
            Equals(("not-run", "backlog-full", timedelta(seconds=1))),
        )
        bench.renew()
        self.assertThat(bench.count(ForwardRequest), Equals(5))

    def test_one_client_does_not_fill_the_queue_for_others(self) -> None:
        bench = Bench(fresh=False, backlog=40)
        crowd = [bench.ask(client="crowd") for _ in range(60)]
        others = [bench.ask(client=f"other-{number}") for number in range(20)]
        self.assertThat(sum(bench.answer(ticket) is None for ticket in crowd), Equals(20))
        self.assertThat([bench.answer(ticket) for ticket in others], Equals([None] * 20))

    def test_attempts_in_flight_to_a_slow_server_are_limited(self) -> None:
        bench = Bench(backlog=30, outstanding=4)
        tickets = [bench.ask() for _ in range(20)]
        # There are two meter servers with four attempts each; the other requests are queued.
        self.assertThat(
            (bench.count(ForwardRequest), [bench.answer(ticket) for ticket in tickets]), Equals((8, [None] * 20))
        )
        sent = bench.newest(ForwardRequest)
        bench.feed(
            ForwardAnswered(
                sent.number,
                BundleForwardAnswer(sent.call.attempt_id, "answered", "", "", 200, {}, b"{}", digest_of_body(b"{}")),
            )
        )
        bench.feed(Ticked())
        self.assertThat(bench.count(ForwardRequest), Equals(9))

    def test_a_request_refused_by_all_servers_is_answered_immediately(self) -> None:
        bench = Bench()
        ticket = bench.ask()
        # First attempts earn the tokens for a retry.
        for _ in range(10):
            bench.ask()
        first = next(command for command in bench.out if isinstance(command, ForwardRequest))
        bench.feed(
            ForwardAnswered(
                first.number, BundleForwardAnswer(first.call.attempt_id, "not-run", "winding-down", "it leaves")
            )
        )
        self.assertThat(bench.answer(ticket), Equals(None))
        bench.refuse_newest_attempt()
        answer = bench.answer(ticket)
        self.assertThat((answer.outcome, answer.status, answer.retry_after is not None), Equals(("not-run", 503, True)))

    def refused_by_newer_bundle(self, bench: Bench) -> int:
        """Send a request that the proxies of all available servers refuse, because a newer bundle is in force there."""
        ticket = bench.ask()
        sent = bench.newest(ForwardRequest)
        # First attempts earn the tokens for retries.
        for _ in range(20):
            bench.ask()
        for _ in range(2):
            bench.feed(
                ForwardAnswered(
                    sent.number, BundleForwardAnswer(sent.call.attempt_id, "not-run", "no-entry", "not here")
                )
            )
            sent = bench.newest(ForwardRequest)
        return ticket

    def test_a_request_waits_for_a_bundle_that_only_the_target_has(self) -> None:
        """Guards against passing a target's refusal to the client while only the target has the newer bundle.

        Seen in scenario rules_change of deployment thimble with seed 1.
        """
        bench = Bench(backlog=50)
        ticket = self.refused_by_newer_bundle(bench)
        before = bench.count(ForwardRequest)
        bench.feed(Ticked(), later=0.1)
        self.assertThat((bench.answer(ticket), bench.count(ForwardRequest)), Equals((None, before)))
        for _ in range(10):
            bench.ask()
        before = bench.count(ForwardRequest)
        bench.feed(ConfigurationChanged(view_of_fleet()._replace(revision=6)))
        self.assertThat((bench.answer(ticket), bench.count(ForwardRequest)), Equals((None, before + 1)))

    def test_a_request_waits_for_a_bundle_no_longer_than_an_outage(self) -> None:
        bench = Bench(backlog=50)
        ticket = self.refused_by_newer_bundle(bench)
        for _ in range(2):
            self.assertThat(bench.answer(ticket), Equals(None))
            bench.renew()
            bench.feed(Ticked(), later=MAX_CORE_OUTAGE.total_seconds() / 2)
        answer = bench.answer(ticket)
        self.assertThat((answer.outcome, answer.error.kind), Equals(("not-run", "no-entry")))

    def test_waiting_ends_with_the_budget_and_nothing_is_sent_after(self) -> None:
        bench = Bench(fresh=False)
        ticket = bench.ask()
        bench.feed(Ticked(), later=5.1)
        self.assertThat(bench.answer(ticket).outcome, Equals("not-run"))
        bench.renew()
        self.assertThat(bench.count(ForwardRequest), Equals(0))

    def test_no_answer_is_unknown_and_only_safe_methods_are_retried(self) -> None:
        bench = Bench()
        for _ in range(10):
            bench.ask()
        bench.feed(ForwardFailed(bench.newest(ForwardRequest).number, False))
        self.assertThat(bench.newest(ForwardRequest).call.ordinal, Equals(2))
        bench.feed(ForwardFailed(bench.newest(ForwardRequest).number, False))
        self.assertThat(bench.answer(10).outcome, Equals("unknown"))
        ticket = bench.ask("POST", "/payments", key="k")
        bench.feed(HoldAnswered(bench.newest(SubmitHold).number, Outcome(detail={"phase": "granted"})))
        bench.feed(ForwardFailed(bench.newest(ForwardRequest).number, False))
        self.assertThat((bench.answer(ticket).outcome, bench.answer(ticket).status), Equals(("unknown", 504)))
        # The request may have run, so its key is not released.
        self.assertThat(isinstance(bench.newest(SubmitHold).command, ClaimKey), Equals(True))

    def test_nothing_is_sent_before_the_claim_is_committed(self) -> None:
        bench = Bench()
        bench.ask("POST", "/payments", key="k")
        self.assertThat(bench.count(ForwardRequest), Equals(0))
        bench.feed(HoldAnswered(bench.newest(SubmitHold).number, Outcome(detail={"phase": "granted"})))
        self.assertThat(bench.count(ForwardRequest), Equals(1))

    def test_a_claim_that_is_unanswered_repeatedly_is_abandoned(self) -> None:
        bench = Bench()
        ticket = bench.ask("POST", "/payments", key="k")
        for turn in range(3):
            bench.renew()
            bench.feed(HoldAnswered(bench.newest(SubmitHold).number, None), later=0.8)
            # Claims of other requests are answered meanwhile, so the core is not silent.
            other = bench.ask("POST", "/payments", key=f"other-{turn}")
            bench.feed(HoldAnswered(bench.newest(SubmitHold).number, Outcome(detail={"phase": "granted"})))
            self.assertThat(bench.answer(other), Equals(None))
            bench.renew()
            bench.feed(Ticked(), later=0.05)
        answer = bench.answer(ticket)
        self.assertThat(
            (answer.outcome, answer.error.kind, answer.retry_after is not None), Equals(("not-run", "no-leader", True))
        )

    def test_a_claim_that_is_in_flight_after_the_longest_wait_is_abandoned(self) -> None:
        bench = Bench()
        ticket = bench.ask("POST", "/payments", key="k")
        claim = bench.newest(SubmitHold)
        bench.renew()
        bench.feed(Ticked(), later=MAX_KEY_WAIT.total_seconds() - 0.1)
        self.assertThat(bench.answer(ticket), Equals(None))
        bench.renew()
        bench.feed(Ticked(), later=0.1)
        answer = bench.answer(ticket)
        self.assertThat(
            (answer.outcome, answer.error.kind, answer.retry_after is not None), Equals(("not-run", "no-leader", True))
        )
        # A key granted after the answer is released, and no attempt is sent under it.
        bench.feed(HoldAnswered(claim.number, Outcome(detail={"phase": "granted"})))
        self.assertThat((type(bench.newest(SubmitHold).command), bench.count(ForwardRequest)), Equals((ReleaseKey, 0)))

    def test_an_abandoned_claim_is_released_only_if_the_log_may_hold_it(self) -> None:
        """Guards against retrying a release for a minute for every refused request, even if no claim was sent."""
        for maybe_accepted in (False, True):
            bench = Bench()
            ticket = bench.ask("POST", "/payments", key="k")
            claim = bench.newest(SubmitHold)
            bench.renew()
            bench.feed(Ticked(), later=MAX_KEY_WAIT.total_seconds())
            self.assertThat(bench.answer(ticket).outcome, Equals("not-run"))
            bench.feed(HoldAnswered(claim.number, None, maybe_accepted))
            for _ in range(10):
                bench.renew()
                bench.feed(Ticked(), later=0.1)
            submitted = [each.command for each in bench.out if isinstance(each, SubmitHold)]
            released = {command.claim for command in submitted if isinstance(command, ReleaseKey)}
            self.assertThat(released, Equals({claim.command.claim} if maybe_accepted else set()))

    def test_a_claim_granted_too_late_is_released(self) -> None:
        bench = Bench()
        ticket = bench.ask("POST", "/payments", key="k")
        claim = bench.newest(SubmitHold)
        bench.renew()
        bench.feed(Ticked(), later=5.1)
        self.assertThat(bench.answer(ticket).outcome, Equals("not-run"))
        before = bench.count(SubmitHold)
        bench.feed(HoldAnswered(claim.number, Outcome(detail={"phase": "granted"})))
        released = bench.newest(SubmitHold).command
        self.assertThat(
            (bench.count(SubmitHold) - before, type(released), released.claim),
            Equals((1, ReleaseKey, claim.command.claim)),
        )
        self.assertThat(bench.count(ForwardRequest), Equals(0))

    def test_an_altered_answer_or_one_to_another_attempt_is_not_used(self) -> None:
        for alter in (
            lambda answer: answer._replace(body=b"{}x"),
            lambda answer: answer._replace(attempt_id="another"),
        ):
            bench = Bench()
            ticket = bench.ask()
            sent = bench.newest(ForwardRequest)
            bench.feed(
                ForwardAnswered(
                    sent.number,
                    alter(
                        BundleForwardAnswer(
                            sent.call.attempt_id, "answered", "", "", 200, {}, b"{}", digest_of_body(b"{}")
                        )
                    ),
                )
            )
            self.assertThat((bench.answer(ticket).outcome, bench.answer(ticket).body), Equals(("unknown", b"")))

    def test_a_withheld_attempt_is_not_counted_and_is_sent_with_a_valid_lease(self) -> None:
        bench = Bench()
        ticket = bench.ask()
        bench.feed(ForwardWithheld(bench.newest(ForwardRequest).number))
        self.assertThat(bench.answer(ticket), Equals(None))
        bench.feed(Ticked(), later=0.05)
        self.assertThat((bench.count(ForwardRequest), bench.newest(ForwardRequest).call.ordinal), Equals((2, 1)))

    def test_after_a_freeze_nothing_is_sent_under_the_old_lease(self) -> None:
        bench = Bench()
        ticket = bench.ask("POST", "/payments", key="k")
        bench.feed(HoldAnswered(bench.newest(SubmitHold).number, Outcome(detail={"phase": "granted"})), later=2.0)
        self.assertThat((bench.count(ForwardRequest), bench.answer(ticket)), Equals((0, None)))


class Target(TestCase):
    """Tests of the upstream side, which runs forwarded attempts."""

    def test_an_attempt_that_arrives_twice_runs_once(self) -> None:
        bench = Bench(name="stall-3")
        for ticket in (1, 2):
            bench.feed(ForwardArrived(ticket, bench.call(), False))
        self.assertThat((bench.count(RunOnServer), bench.newest(AnswerForward).answer.outcome), Equals((1, "unknown")))

    def test_what_was_refused_never_runs_later(self) -> None:
        bench = Bench(name="stall-3")
        bench.feed(ForwardArrived(1, bench.call(instance="another"), False))
        self.assertThat(bench.newest(AnswerForward).answer.outcome, Equals("not-run"))
        bench.feed(ForwardArrived(2, bench.call(), False))
        self.assertThat((bench.count(RunOnServer), bench.newest(AnswerForward).answer.outcome), Equals((0, "unknown")))

    def test_each_admission_check_refuses(self) -> None:
        cases = {
            "frozen": ({}, True),
            "wrong-instance": ({"service_name": "ledger"}, False),
            "budget-spent": ({"budget": 0.0}, False),
            "no-entry": ({"route": "balance", "path": "/balance"}, False),
            "not-allowed": ({"caller": "ledger"}, False),
            "key-missing": ({"route": "uploads", "path": "/uploads", "method": "POST"}, False),
            "body-too-large": ({"body": b"x" * 70000}, False),
        }
        for kind, (changes, frozen) in cases.items():
            bench = Bench(name="stall-3")
            bench.feed(ForwardArrived(1, bench.call(**changes), frozen))
            answer = bench.newest(AnswerForward).answer
            self.assertThat((answer.outcome, answer.error, bench.count(RunOnServer)), Equals(("not-run", kind, 0)))

    def test_a_leaving_server_gets_no_attempts_before_the_configuration_says_so(self) -> None:
        leave = {
            "reported": lambda bench: bench.feed(HealthReported("meter", "i-3", "address", "winding down")),
            "stopping": lambda bench: bench.feed(StopRequested()),
            "silent": lambda bench: (bench.feed(Ticked(), later=1.0), bench.renew(), bench.feed(Ticked(), later=0.6)),
            "drained": lambda bench: bench.feed(ConfigurationChanged(view_of_fleet(proxy_3="ada"))),
            "replaced": lambda bench: bench.feed(HealthReported("ledger", "i-9", "address", "ready")),
        }
        for cause, do in leave.items():
            bench = Bench(name="stall-3")
            do(bench)
            bench.feed(ForwardArrived(1, bench.call(), False))
            self.assertThat(
                (bench.newest(AnswerForward).answer.outcome, bench.count(RunOnServer)), Equals(("not-run", 0)), cause
            )

    def test_a_short_outage_is_waited_out_for_half_the_budget(self) -> None:
        bench = Bench(name="stall-3", fresh=False)
        bench.feed(ForwardArrived(1, bench.call(), False))
        self.assertThat((bench.count(RunOnServer), bench.count(AnswerForward)), Equals((0, 0)))
        bench.timestamp += timedelta(seconds=1)
        bench.feed(HealthReported("meter", "i-3", "address", "ready"))
        bench.renew()
        self.assertThat((bench.count(RunOnServer), bench.newest(RunOnServer).within), Equals((1, timedelta(seconds=3))))
        never = Bench(name="stall-3", fresh=False)
        never.feed(ForwardArrived(1, never.call(), False))
        never.feed(Ticked(), later=2.1)
        self.assertThat(never.newest(AnswerForward).answer.error, Equals("lease-lapsed"))
        never.feed(HealthReported("meter", "i-3", "address", "ready"))
        never.renew()
        self.assertThat(never.count(RunOnServer), Equals(0))

    def test_a_key_is_settled_before_its_answer_is_sent(self) -> None:
        bench = Bench(name="stall-3")
        bench.feed(
            ForwardArrived(1, bench.call(route="uploads", path="/uploads", method="POST", hold="scope claim"), False)
        )
        bench.feed(ServerAnswered(bench.newest(RunOnServer).number, 200, {}, b"{}"))
        self.assertThat(
            (bench.count(AnswerForward), bench.newest(SubmitHold).command),
            Equals((0, CompleteKey("scope", "claim", 200, {}, b"{}", True))),
        )
        bench.feed(HoldAnswered(bench.newest(SubmitHold).number, Outcome(detail={"phase": "settled"})))
        self.assertThat(bench.newest(AnswerForward).answer.outcome, Equals("answered"))

    def test_a_server_that_accepts_no_connection_did_not_run_it_and_counts_as_gone(self) -> None:
        bench = Bench(name="stall-3")
        bench.feed(ForwardArrived(1, bench.call(), False))
        bench.feed(
            ServerFailed(
                bench.newest(RunOnServer).number, True, MeshError(ErrorKind.UNREACHABLE, "no connection", "none")
            )
        )
        self.assertThat(
            (bench.newest(AnswerForward).answer.outcome, bench.core.server_state()), Equals(("not-run", "gone"))
        )
