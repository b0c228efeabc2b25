"""A sidecar's ingress: admission, forwarding, retries, and the responses to repeated requests with the same key."""

import random
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, Is, Not

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.items import LimitsItem, Part
from hoistsaddle.proxy.messages import ANSWERED, ClientDisconnected, HoldAnswered, SubmitHold
from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar.messages import (
    ForwardAnswered,
    ForwardRequest,
    QueryClaim,
    Reply,
    RunOnServer,
)
from hoistsaddle.statemachine.commands import ClaimKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.state import WINDING_DOWN
from hoistsaddle.statemachine.view import View
from sidecar_bench import KINDS, SidecarBench, entry, latency_of


class Case(TestCase):
    def replied(self, fleet: SidecarBench, ticket: int) -> Reply:
        self.assertThat(fleet.replies.get(ticket), Not(Is(None)))
        return fleet.replies[ticket]

    def status(self, fleet: SidecarBench, ticket: int) -> int:
        return self.replied(fleet, ticket).status

    def with_retry_budget(self, *names: str, margin: int = 18, **needs: Any) -> SidecarBench:
        """Return sidecars whose shares of the retry margin are available, which takes a while after the start."""
        fleet = SidecarBench(*names, margin=margin, **needs)
        for name in fleet.cores:
            for _ in range(2):
                fleet.ask(ingress=name)
                fleet.finish()
                fleet.pass_time(13, step=0.5)
        fleet.commands.clear()
        return fleet


class Admission(Case):
    def test_an_unknown_route_is_404_only_while_the_lease_confirms_the_configuration(self) -> None:
        fleet = SidecarBench()
        fleet.pass_time(0.1)
        fleet.leased = False
        fleet.pass_time(1.3)
        self.assertThat(self.replied(fleet, fleet.ask("/nothing/")).status, Equals(404))
        fleet.pass_time(0.2)
        reply = self.replied(fleet, fleet.ask("/nothing/"))
        self.assertThat(
            (reply.status, reply.error.kind, reply.retry_after is not None),
            Equals((503, ErrorKind.LEASE_LAPSED, True)),
        )
        # Routes that it declares are still served.
        ticket = fleet.ask("/read/x")
        fleet.finish()
        self.assertThat(self.replied(fleet, ticket).status, Equals(200))

    def test_unknown_routes_and_requests_over_a_limit_are_refused_and_not_forwarded(self) -> None:
        fleet = SidecarBench(limits=LimitsItem(header_bytes=500, body_bytes=10))
        for path, changes, status in (
            ("/nothing/", {}, 404),
            ("/read/x", {"host": "other.example"}, 404),
            ("/read", {}, 404),
            ("/read/x", {"header_bytes": 501}, 431),
            ("/read/x", {"body": b"x" * 11}, 413),
        ):
            reply = self.replied(fleet, fleet.ask(path, **changes))
            self.assertThat((reply.status, reply.error is None, reply.retry_after), Equals((status, False, None)))
        self.assertThat(fleet.sent(), Equals([]))

    def test_the_query_is_not_matched_but_forwarded_with_the_path(self) -> None:
        fleet = SidecarBench()
        fleet.ask("/read/x?go=/pay/")
        self.assertThat(fleet.sent()[0].call.path, Equals(b"/read/x?go=/pay/"))
        self.assertThat(self.status(fleet, fleet.ask("/nothing?/read/x")), Equals(404))

    def test_before_any_configuration_nothing_is_served(self) -> None:
        fleet = SidecarBench()
        fleet.show(View(servers=fleet.view.servers, nodes=fleet.view.nodes))
        reply = self.replied(fleet, fleet.ask())
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.NO_CONFIGURATION)))
        self.assertThat(fleet.cores["s-1"].ready().kind, Equals(ErrorKind.NO_CONFIGURATION))

    def test_the_budget_is_limited_by_the_client_and_by_the_route(self) -> None:
        fleet = SidecarBench()
        for budget, seconds in ((0.5, 0.5), (9.0, 4.0), (None, 4.0)):
            fleet.ask(budget=budget)
            self.assertThat(fleet.sent()[-1].call.budget, Equals(timedelta(seconds=seconds)))
        self.assertThat(fleet.sent()[-1].call.latency_target, Equals(timedelta(seconds=1)))

    def test_parts_of_a_route_are_chosen_by_their_weights(self) -> None:
        fleet = SidecarBench(entries=(entry("read", parts=[Part("ledger", 1.0), Part("other", 0.0)]),), room=500)
        for _ in range(50):
            fleet.ask()
        self.assertThat({each.call.service_name for each in fleet.sent()}, Equals({"ledger"}))


class ServerSelection(Case):
    def test_servers_that_wind_down_or_whose_proxy_is_gone_get_no_requests(self) -> None:
        fleet = SidecarBench(room=500)
        servers = dict(fleet.view.servers)
        servers["s-2"] = servers["s-2"]._replace(state=WINDING_DOWN)
        nodes = dict(fleet.view.nodes)
        nodes["s-3"] = nodes["s-3"]._replace(state="gone")
        fleet.show(fleet.view._replace(servers=servers, nodes=nodes))
        for _ in range(30):
            fleet.ask()
        self.assertThat({each.call.target for each in fleet.sent()}, Equals({"s-1"}))

    def test_the_local_server_winding_down_takes_effect_before_any_new_configuration(self) -> None:
        fleet = SidecarBench(room=500)
        fleet.health("s-1", state=WINDING_DOWN)
        for _ in range(30):
            fleet.ask()
        self.assertThat("s-1" in {each.call.target for each in fleet.sent()}, Equals(False))

    def test_requests_are_spread_over_equal_servers(self) -> None:
        fleet = SidecarBench(room=10)
        for _ in range(30):
            fleet.ask()
        counts = [sum(each.call.target == name for each in fleet.sent()) for name in fleet.cores]
        self.assertThat(max(counts) - min(counts) <= 6, Equals(True), str(counts))


class ImmediateRejection(Case):
    def test_a_request_is_rejected_if_all_servers_are_busy(self) -> None:
        fleet = SidecarBench(room=1)
        for name, core in fleet.cores.items():
            # Each server runs one request that takes long.
            core.upstream.latencies.by_route["read"] = latency_of(3.5)
            fleet.ask(ingress=name, budget=4.0)
        timestamp = fleet.timestamp
        ticket = fleet.ask(budget=3.0)
        reply = self.replied(fleet, ticket)
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.QUEUE_FULL)))
        self.assertThat(fleet.timestamp, Equals(timestamp))
        # Up to a third of the remaining time, and random: clients rejected together must not retry together.
        waits = [self.replied(fleet, fleet.ask(budget=3.0)).retry_after for _ in range(20)]
        self.assertThat(
            (min(waits) >= timedelta(seconds=0.3), max(waits) <= timedelta(seconds=1)), Equals((True, True))
        )
        self.assertThat(len(set(waits)) > 10, Equals(True))
        self.assertThat(len(fleet.runs), Equals(3))

    def test_a_request_is_rejected_if_there_is_no_server(self) -> None:
        fleet = SidecarBench()
        fleet.show(fleet.view._replace(servers={}))
        reply = self.replied(fleet, fleet.ask())
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.NO_SERVER)))

    def test_requests_that_servers_report_as_not_run_are_retried_and_then_rejected(self) -> None:
        # An upload may be retried on another server too, within the limits of the route and the retry margin.
        fleet = self.with_retry_budget()
        ticket = fleet.ask("/pack/x")
        targets = []
        while ticket not in fleet.replies:
            targets.append(fleet.finish(status=503, not_run=True).call.target)
        self.assertThat((self.status(fleet, ticket), len(set(targets)), len(targets)), Equals((503, 3, 3)))

    def test_refused_connections_are_no_attempts_and_other_servers_are_tried(self) -> None:
        fleet = SidecarBench()
        fleet.refusing = {"s-2", "s-3"}
        for _ in range(6):
            ticket = fleet.ask("/post/x", ingress="s-1")
            self.assertThat(fleet.finish().call.target, Equals("s-1"))
            self.assertThat(self.status(fleet, ticket), Equals(200))
        fleet.show(fleet.view._replace(servers={k: v for k, v in fleet.view.servers.items() if k != "s-1"}))
        self.assertThat(self.replied(fleet, fleet.ask("/post/x")).error.kind, Equals(ErrorKind.UNREACHABLE))

    def test_a_request_without_remaining_budget_is_rejected(self) -> None:
        fleet = SidecarBench()
        reply = self.replied(fleet, fleet.ask(budget=0.0))
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.BUDGET_SPENT)))
        self.assertThat(fleet.sent(RunOnServer), Equals([]))


class UncertainOutcomes(Case):
    def test_non_idempotent_requests_are_never_sent_twice(self) -> None:
        for path in ("/post/x", "/pack/x", "/pay/x"):
            fleet = self.with_retry_budget()
            ticket = fleet.ask(path, key="k" if path == "/pay/x" else "")
            fleet.lose()
            self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 1)), path)
            # The same if the proxy itself doesn't answer until the deadline.
            fleet.silent = set(fleet.cores)
            ticket = fleet.ask(path, key="k2" if path == "/pay/x" else "", budget=0.5)
            fleet.pass_time(1.0)
            self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((504, 2)), path)

    def test_an_attempt_that_may_have_run_is_never_answered_with_retry_after(self) -> None:
        fleet = self.with_retry_budget()
        ticket = fleet.ask()
        fleet.lose()
        fleet.lose()
        fleet.finish(status=503, not_run=True)
        reply = self.replied(fleet, ticket)
        self.assertThat((reply.status, reply.retry_after), Equals((502, None)))

    def test_an_idempotent_request_is_retried_only_within_the_retry_budget(self) -> None:
        fleet = SidecarBench(margin=0)
        ticket = fleet.ask()
        fleet.lose()
        self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 1)))
        fleet = self.with_retry_budget()
        ticket = fleet.ask()
        first = fleet.lose().call
        second = fleet.finish().call
        self.assertThat((self.status(fleet, ticket), first.target == second.target), Equals((200, False)))
        self.assertThat((first.ordinal, second.ordinal), Equals((1, 2)))

    def test_retries_stay_within_the_budget(self) -> None:
        fleet = self.with_retry_budget(margin=9)
        for _ in range(60):
            fleet.ask(ingress="s-1")
            while fleet.runs:
                fleet.lose()
        further = sum(each.call.ordinal > 1 for each in fleet.sent())
        self.assertThat((further > 3, further <= 60 * 0.2 + 9), Equals((True, True)), str(further))

    def test_no_more_attempts_than_the_route_allows(self) -> None:
        fleet = self.with_retry_budget(entries=(entry("read", most_sends=2),))
        ticket = fleet.ask()
        fleet.lose()
        fleet.lose()
        self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 2)))

    def test_a_5xx_answer_is_returned_unless_another_server_succeeds(self) -> None:
        fleet = self.with_retry_budget()
        ticket = fleet.ask()
        fleet.finish(status=500, body=b"first")
        fleet.finish(status=200, body=b"second")
        self.assertThat(self.replied(fleet, ticket)[1:4], Equals((200, b"", b"second")))
        ticket = fleet.ask("/post/x")
        fleet.finish(status=500, body=b"only")
        self.assertThat((self.status(fleet, ticket), len(fleet.runs)), Equals((500, 0)))
        none = SidecarBench(margin=0)
        ticket = none.ask()
        none.finish(status=500, body=b"sorry")
        self.assertThat(self.replied(none, ticket)[1:4], Equals((500, b"", b"sorry")))

    def test_an_answer_with_another_attempt_id_is_ignored(self) -> None:
        fleet = SidecarBench()
        fleet.silent = set(fleet.cores)
        ticket = fleet.ask("/post/x")
        sent = fleet.sent()[0]
        fleet.feed("s-1", ForwardAnswered(sent.number, ForwardAnswer("another", ANSWERED, "", 200, b"", b"not mine")))
        self.assertThat(self.status(fleet, ticket), Equals(502))

    def test_a_late_answer_causes_no_second_response(self) -> None:
        fleet = SidecarBench()
        ticket = fleet.ask("/post/x", budget=0.5)
        fleet.pass_time(0.7)
        self.assertThat(self.status(fleet, ticket), Equals(504))
        # The bench fails on a second final response.
        fleet.finish()
        self.assertThat(len(fleet.replies), Equals(1))

    def test_a_keyed_request_goes_on_after_its_client_disconnects(self) -> None:
        fleet = SidecarBench()
        ticket = fleet.ask("/pay/x", key="k")
        fleet.feed("s-1", ClientDisconnected(ticket))
        fleet.finish(body=b"first")
        again = fleet.ask("/pay/x", ingress="s-2", key="k")
        self.assertThat(self.replied(fleet, again).body, Equals(b"first"))


class Keys(Case):
    def pay(self, fleet: SidecarBench, ingress: str = "s-1", *, key: str = "k", **changes: Any) -> int:
        return fleet.ask("/pay/x", ingress=ingress, key=key, **changes)

    def test_nothing_is_sent_before_the_claim_is_committed(self) -> None:
        fleet = SidecarBench()
        ticket = self.pay(fleet)
        kinds = [type(command) for _, command in fleet.commands if isinstance(command, SubmitHold | ForwardRequest)]
        self.assertThat(kinds, Equals([SubmitHold, ForwardRequest]))
        fleet.finish(body=b"paid")
        self.assertThat(self.replied(fleet, ticket).body, Equals(b"paid"))

    def test_every_repeat_at_any_sidecar_gets_the_first_answer(self) -> None:
        fleet = SidecarBench()
        first = self.pay(fleet)
        fleet.finish(status=201, body=b"paid")
        for ingress in fleet.cores:
            for _ in range(2):
                reply = self.replied(fleet, self.pay(fleet, ingress))
                self.assertThat(reply[1:], Equals(fleet.replies[first][1:]))
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))
        # Another key is another operation.
        self.pay(fleet, key="k2")
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(2))

    def test_a_5xx_answer_of_the_first_request_is_repeated_too(self) -> None:
        fleet = self.with_retry_budget()
        self.pay(fleet)
        fleet.finish(status=500, body=b"sorry")
        reply = self.replied(fleet, self.pay(fleet, "s-2"))
        self.assertThat((reply.status, reply.body, len(fleet.sent(RunOnServer))), Equals((500, b"sorry", 1)))

    def test_a_repeat_gets_409_while_the_first_request_runs(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        for ingress in fleet.cores:
            reply = self.replied(fleet, self.pay(fleet, ingress))
            self.assertThat((reply.status, reply.error.kind), Equals((409, ErrorKind.KEY_HELD)))
            self.assertThat(reply.retry_after, Not(Is(None)))
        self.assertThat(len(fleet.runs), Equals(1))

    def test_a_released_key_can_be_claimed_again(self) -> None:
        fleet = SidecarBench(room=1)
        servers, fleet.view = fleet.view.servers, fleet.view._replace(servers={})
        fleet.show(fleet.view)
        self.assertThat(self.status(fleet, self.pay(fleet)), Equals(503))
        # The key is released in the log as well, unless the core is unavailable just then.
        self.assertThat(len(fleet.log.holds), Equals(0))
        fleet.show(fleet.view._replace(servers=servers))
        again = self.pay(fleet, "s-2")
        fleet.finish()
        self.assertThat(self.status(fleet, again), Equals(200))

    def test_an_unused_claim_can_be_replaced_though_its_release_was_lost(self) -> None:
        fleet = SidecarBench()
        servers = fleet.view.servers
        fleet.show(fleet.view._replace(servers={}))
        write = fleet.write
        fleet.write = lambda record: None if isinstance(record, ReleaseKey) else write(record)  # type: ignore
        self.assertThat(self.status(fleet, self.pay(fleet)), Equals(503))
        self.assertThat(len(fleet.log.holds), Equals(1))
        fleet.show(fleet.view._replace(servers=servers))
        for ingress, status in (("s-2", 200), ("s-3", 200)):
            again = self.pay(fleet, ingress)
            if fleet.runs:
                fleet.finish(body=b"paid")
            self.assertThat((self.status(fleet, again), fleet.replies[again].body), Equals((status, b"paid")))
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_a_repeat_gets_503_if_the_outcome_of_the_first_request_is_unknown(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        fleet.lose()
        for ingress in fleet.cores:
            reply = self.replied(fleet, self.pay(fleet, ingress))
            self.assertThat(
                (reply.status, reply.error.kind, reply.retry_after is None), Equals((503, ErrorKind.SILENT, False))
            )
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_a_repeat_gets_503_if_the_claiming_sidecar_is_gone_silent_or_restarted(self) -> None:
        for loss in ("gone", "silent", "reborn"):
            fleet = SidecarBench()
            self.pay(fleet)
            fleet.finish(body=b"paid")
            match loss:
                case "gone":
                    nodes = dict(fleet.view.nodes)
                    nodes["s-1"] = nodes["s-1"]._replace(state="gone")
                    fleet.show(fleet.view._replace(nodes=nodes))
                case "silent":
                    fleet.silent = {"s-1"}
                case "reborn":
                    fleet.pass_time(1.0)
                    fleet.cores["s-1"] = fleet.make("s-1", margin=0, seed=2)
                    fleet.show(fleet.view)
            self.assertThat(self.status(fleet, self.pay(fleet, "s-2")), Equals(503), loss)
            self.assertThat(len(fleet.sent(RunOnServer)), Equals(1), loss)

    def test_without_the_core_a_keyed_request_is_rejected_before_it_runs(self) -> None:
        fleet = SidecarBench()
        fleet.core_up = False
        ticket = self.pay(fleet)
        fleet.pass_time(0.1)
        self.assertThat(ticket in fleet.replies, Equals(False))
        fleet.pass_time(0.3)
        reply = self.replied(fleet, ticket)
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.NO_LEADER)))
        self.assertThat((reply.retry_after is None, fleet.sent(ForwardRequest)), Equals((False, [])))
        fleet.core_up = True
        fleet.pass_time(1.0)
        again = self.pay(fleet, "s-2")
        fleet.finish()
        self.assertThat((self.status(fleet, again), len(fleet.sent(RunOnServer))), Equals((200, 1)))

    def test_a_short_outage_of_the_core_is_bridged_with_one_claim(self) -> None:
        fleet = SidecarBench()
        fleet.core_up = False
        ticket = self.pay(fleet)
        fleet.pass_time(0.1)
        fleet.core_up = True
        fleet.pass_time(0.1)
        fleet.finish()
        self.assertThat(self.status(fleet, ticket), Equals(200))
        claims = {each.command.claim for each in fleet.sent(SubmitHold) if isinstance(each.command, ClaimKey)}
        self.assertThat(len(claims), Equals(1))

    def test_an_unanswered_claim_in_the_log_does_not_block_repeats(self) -> None:
        fleet = SidecarBench()
        write = fleet.write
        # The log accepts every claim but all its answers are lost, and so are all releases.
        fleet.write = lambda record: None if isinstance(record, ReleaseKey) else write(record) and None  # type: ignore
        self.assertThat(self.status(fleet, self.after(fleet, self.pay(fleet), 0.5)), Equals(503))
        self.assertThat(len(fleet.log.holds), Equals(1))
        fleet.write = write  # type: ignore
        again = self.pay(fleet, "s-2")
        fleet.finish()
        self.assertThat((self.status(fleet, again), len(fleet.sent(RunOnServer))), Equals((200, 1)))

    def after(self, fleet: SidecarBench, ticket: int, seconds: float) -> int:
        fleet.pass_time(seconds)
        return ticket

    def test_a_claim_granted_after_its_request_was_rejected_is_released(self) -> None:
        fleet = SidecarBench()
        write, held = fleet.write, []
        # The claim is in the log, but the log's answer is delayed.
        fleet.write = lambda record: held.append(write(record))  # type: ignore
        ticket = self.pay(fleet, budget=1.0)
        number = fleet.sent(SubmitHold)[0].number
        fleet.write = write  # type: ignore
        fleet.core_up = False
        fleet.pass_time(1.5)
        self.assertThat(self.status(fleet, ticket), Equals(503))
        fleet.core_up = True
        fleet.feed("s-1", HoldAnswered(number, held[0]))
        fleet.pass_time(1.0)
        self.assertThat((len(fleet.log.holds), fleet.sent(ForwardRequest)), Equals((0, [])))

    def test_the_release_of_an_unanswered_claim_is_delayed_and_retried_once_a_second(self) -> None:
        """Guards against overload of a busy log: it got a release of each such claim at once and then four a second."""
        fleet = SidecarBench()
        fleet.core_up = False
        self.assertThat(self.status(fleet, self.after(fleet, self.pay(fleet), 0.5)), Equals(503))

        def releases() -> int:
            return sum(isinstance(each.command, ReleaseKey) for each in fleet.sent(SubmitHold))

        # The request is rejected after 0.22 s: the release is submitted a second later, and again after another second.
        for seconds, expected in ((0.5, 0), (0.4, 1), (0.7, 1), (0.3, 2)):
            fleet.pass_time(seconds)
            self.assertThat(releases(), Equals(expected))

    def test_a_claim_granted_after_its_release_is_released_again(self) -> None:
        fleet = SidecarBench()
        fleet.core_up = False
        self.after(fleet, self.pay(fleet), 0.5)
        first = fleet.sent(SubmitHold)[0]
        fleet.core_up = True
        # The release reaches the log while the claim is still in flight.
        fleet.pass_time(1.0)
        granted = fleet.write(first.command)
        self.assertThat(len(fleet.log.holds), Equals(1))
        fleet.cores["s-1"].ingress.keys.submitted[first.number] = first.command
        fleet.feed("s-1", HoldAnswered(first.number, granted))
        self.assertThat((len(fleet.log.holds), fleet.sent(ForwardRequest)), Equals((0, [])))

    def test_a_request_whose_claim_the_log_refuses_does_not_run(self) -> None:
        fleet = SidecarBench()
        fleet.write = lambda record: Outcome("release-level", "too low", "raise it")  # type: ignore
        reply = self.replied(fleet, self.pay(fleet))
        self.assertThat((reply.status, fleet.sent(ForwardRequest)), Equals((503, [])))

    def test_an_answer_after_the_deadline_is_kept_for_the_repeat(self) -> None:
        fleet = SidecarBench()
        ticket = self.pay(fleet, budget=0.5)
        fleet.pass_time(0.6)
        self.assertThat(self.status(fleet, ticket), Equals(504))
        # The first request is known to be still running.
        self.assertThat(self.status(fleet, self.pay(fleet, "s-2")), Equals(409))
        fleet.finish(body=b"paid")
        self.assertThat(self.replied(fleet, self.pay(fleet, "s-2")).body, Equals(b"paid"))
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_a_once_per_key_route_without_a_key_is_not_retried(self) -> None:
        fleet = self.with_retry_budget()
        ticket = fleet.ask("/pay/x")
        fleet.lose()
        self.assertThat(
            (self.status(fleet, ticket), len(fleet.sent(ForwardRequest)), fleet.sent(QueryClaim)), Equals((502, 1, []))
        )

    def test_kept_answers_expire_with_the_key_lifetime(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        fleet.finish()
        fleet.pass_time(80, step=2.0)
        self.pay(fleet, key="k2")
        self.assertThat(len(fleet.cores["s-1"].ingress.keys.records), Equals(1))


class AnyHistory(Case):
    def test_random_histories_keep_the_guarantees(self) -> None:
        """A key and a non-idempotent attempt run once, "not run" is true, and each request gets one response."""
        for seed in range(12):
            random_source = random.Random(seed)
            fleet = SidecarBench(room=2, margin=9, seed=seed)
            asked: dict[int, tuple[str, str]] = {}
            for _ in range(500):
                act = random_source.choices(
                    ["ask", "finish", "full", "lose", "time", "core", "silence", "leave"],
                    weights=[40, 40, 3, 4, 20, 2, 2, 3],
                )[0]
                match act:
                    case "ask":
                        name = random_source.choice(tuple(KINDS))
                        key = f"k{random_source.randrange(40)}" if name == "pay" else ""
                        budget = random_source.choice((0.1, 0.5, 2.0))
                        ticket = fleet.ask(
                            f"/{name}/x", ingress=random_source.choice(tuple(fleet.cores)), key=key, budget=budget
                        )
                        asked[ticket] = (name, key)
                    case "finish" if fleet.runs:
                        fleet.finish(body=f"run {len(fleet.commands)}".encode())
                    case "full" if fleet.runs:
                        fleet.finish(status=503, not_run=True)
                    case "lose" if fleet.runs:
                        fleet.lose()
                    case "time":
                        fleet.pass_time(random_source.choice((0.02, 0.1, 0.4)))
                    case "core":
                        fleet.core_up = not fleet.core_up
                    case "silence":
                        fleet.silent = set() if fleet.silent else {random_source.choice(tuple(fleet.cores))}
                    case "leave":
                        fleet.health(
                            random_source.choice(tuple(fleet.cores)),
                            state=random_source.choice((WINDING_DOWN, "ready")),
                        )
            fleet.core_up = True
            while fleet.runs:
                fleet.finish()
            fleet.pass_time(5)
            while fleet.runs:
                fleet.finish()
            self.check(fleet, asked, seed)

    def check(self, fleet: SidecarBench, asked: dict[int, tuple[str, str]], seed: int) -> None:
        self.assertThat(set(fleet.replies), Equals(set(asked)), str(seed))
        not_run = {answer.attempt_id for answer in fleet.answers.values() if answer.outcome == "not-run"}
        # How often each client attempt really ran; the client's own id identifies it.
        runs: dict[str, int] = {}
        for serve in fleet.sent(RunOnServer):
            if serve.call.attempt_id not in not_run:
                runs[serve.call.client_attempt_id] = runs.get(serve.call.client_attempt_id, 0) + 1
        by_key: dict[str, int] = {}
        for ticket, (name, key) in asked.items():
            count = runs.get(f"try-{ticket}", 0)
            label = f"seed {seed}, {name} {key}"
            if name in ("post", "pack"):
                self.assertThat(count <= 1, Equals(True), label)
            if key:
                by_key[key] = by_key.get(key, 0) + count
            if fleet.replies[ticket].status in (503, 409):
                self.assertThat(count, Equals(0), label)
            if fleet.replies[ticket].status == 200 and not key:
                self.assertThat(count >= 1, Equals(True), label)
        self.assertThat({key: count for key, count in by_key.items() if count > 1}, Equals({}), f"seed {seed}")
        answers: dict[str, set[bytes]] = {}
        for ticket, (_, key) in asked.items():
            if key and fleet.replies[ticket].status == 200:
                answers.setdefault(key, set()).add(fleet.replies[ticket].body)
        self.assertThat([key for key, bodies in answers.items() if len(bodies) > 1], Equals([]), f"seed {seed}")
        self.assertThat(len(fleet.sent(RunOnServer)) > 30, Equals(True), f"{len(fleet.sent(RunOnServer))} runs")
