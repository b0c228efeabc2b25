"""A sidecar's ingress: what it forwards where, how often, and what each repeat of a key is answered."""

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

    def with_room(self, *names: str, margin: int = 18, **needs: Any) -> SidecarBench:
        """Sidecars whose parts of the margin count already: they rise only after a while."""
        fleet = SidecarBench(*names, margin=margin, **needs)
        for name in fleet.cores:
            for _ in range(2):
                fleet.ask(ingress=name)
                fleet.finish()
                fleet.pass_time(13, step=0.5)
        fleet.commands.clear()
        return fleet


class Admission(Case):
    def test_not_declared_is_no_word_of_a_configuration_that_may_have_been_overtaken(self) -> None:
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
        # What it declares goes on being served.
        ticket = fleet.ask("/read/x")
        fleet.finish()
        self.assertThat(self.replied(fleet, ticket).status, Equals(200))

    def test_what_is_not_declared_or_over_a_limit_is_refused_and_goes_nowhere(self) -> None:
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

    def test_the_query_is_no_part_of_the_path_and_goes_on_with_it(self) -> None:
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

    def test_it_is_held_for_what_its_sender_and_its_entry_allow(self) -> None:
        fleet = SidecarBench()
        for budget, seconds in ((0.5, 0.5), (9.0, 4.0), (None, 4.0)):
            fleet.ask(budget=budget)
            self.assertThat(fleet.sent()[-1].call.budget, Equals(timedelta(seconds=seconds)))
        self.assertThat(fleet.sent()[-1].call.latency_target, Equals(timedelta(seconds=1)))

    def test_parts_share_as_their_weights_say(self) -> None:
        fleet = SidecarBench(entries=(entry("read", parts=[Part("ledger", 1.0), Part("other", 0.0)]),), room=500)
        for _ in range(50):
            fleet.ask()
        self.assertThat({each.call.service_name for each in fleet.sent()}, Equals({"ledger"}))


class ServerSelection(Case):
    def test_a_server_that_leaves_or_proxies_that_are_gone_get_nothing(self) -> None:
        fleet = SidecarBench(room=500)
        servers = dict(fleet.view.servers)
        servers["s-2"] = servers["s-2"]._replace(state=WINDING_DOWN)
        nodes = dict(fleet.view.nodes)
        nodes["s-3"] = nodes["s-3"]._replace(state="gone")
        fleet.show(fleet.view._replace(servers=servers, nodes=nodes))
        for _ in range(30):
            fleet.ask()
        self.assertThat({each.call.target for each in fleet.sent()}, Equals({"s-1"}))

    def test_the_own_server_leaving_is_known_here_before_any_news(self) -> None:
        fleet = SidecarBench(room=500)
        fleet.health("s-1", state=WINDING_DOWN)
        for _ in range(30):
            fleet.ask()
        self.assertThat("s-1" in {each.call.target for each in fleet.sent()}, Equals(False))

    def test_work_spreads_over_equal_servers(self) -> None:
        fleet = SidecarBench(room=10)
        for _ in range(30):
            fleet.ask()
        counts = [sum(each.call.target == name for each in fleet.sent()) for name in fleet.cores]
        self.assertThat(max(counts) - min(counts) <= 6, Equals(True), str(counts))


class ImmediateRejection(Case):
    def test_nobody_can_take_it(self) -> None:
        fleet = SidecarBench(room=1)
        for name, core in fleet.cores.items():
            # Each runs one that takes long.
            core.upstream.latencies.by_route["read"] = latency_of(3.5)
            fleet.ask(ingress=name, budget=4.0)
        timestamp = fleet.timestamp
        ticket = fleet.ask(budget=3.0)
        reply = self.replied(fleet, ticket)
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.QUEUE_FULL)))
        self.assertThat(fleet.timestamp, Equals(timestamp))
        # Up to a third of what is left, and each its own: those turned back together don't come back together.
        told = [self.replied(fleet, fleet.ask(budget=3.0)).retry_after for _ in range(20)]
        self.assertThat((min(told) >= timedelta(seconds=0.3), max(told) <= timedelta(seconds=1)), Equals((True, True)))
        self.assertThat(len(set(told)) > 10, Equals(True))
        self.assertThat(len(fleet.runs), Equals(3))

    def test_no_server_at_all(self) -> None:
        fleet = SidecarBench()
        fleet.show(fleet.view._replace(servers={}))
        reply = self.replied(fleet, fleet.ask())
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.NO_SERVER)))

    def test_servers_that_say_themselves_that_they_did_not_run_it(self) -> None:
        # An upload too may go on to another one, within what the entry and the margin allow.
        fleet = self.with_room()
        ticket = fleet.ask("/pack/x")
        targets = []
        while ticket not in fleet.replies:
            targets.append(fleet.finish(status=503, not_run=True).call.target)
        self.assertThat((self.status(fleet, ticket), len(set(targets)), len(targets)), Equals((503, 3, 3)))

    def test_ports_that_refuse_cost_nothing_and_others_are_asked(self) -> None:
        fleet = SidecarBench()
        fleet.refusing = {"s-2", "s-3"}
        for _ in range(6):
            ticket = fleet.ask("/post/x", ingress="s-1")
            self.assertThat(fleet.finish().call.target, Equals("s-1"))
            self.assertThat(self.status(fleet, ticket), Equals(200))
        fleet.show(fleet.view._replace(servers={k: v for k, v in fleet.view.servers.items() if k != "s-1"}))
        self.assertThat(self.replied(fleet, fleet.ask("/post/x")).error.kind, Equals(ErrorKind.UNREACHABLE))

    def test_its_time_is_over_before_it_came(self) -> None:
        fleet = SidecarBench()
        reply = self.replied(fleet, fleet.ask(budget=0.0))
        self.assertThat((reply.status, reply.error.kind), Equals((503, ErrorKind.BUDGET_SPENT)))
        self.assertThat(fleet.sent(RunOnServer), Equals([]))


class UncertainOutcomes(Case):
    def test_once_per_send_is_never_sent_twice(self) -> None:
        for path in ("/post/x", "/pack/x", "/pay/x"):
            fleet = self.with_room()
            ticket = fleet.ask(path, key="k" if path == "/pay/x" else "")
            fleet.lose()
            self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 1)), path)
            # Nor where the proxy itself falls silent, until the time is over.
            fleet.silent = set(fleet.cores)
            ticket = fleet.ask(path, key="k2" if path == "/pay/x" else "", budget=0.5)
            fleet.pass_time(1.0)
            self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((504, 2)), path)

    def test_a_promise_is_never_made_for_what_may_have_run(self) -> None:
        fleet = self.with_room()
        ticket = fleet.ask()
        fleet.lose()
        fleet.lose()
        fleet.finish(status=503, not_run=True)
        reply = self.replied(fleet, ticket)
        self.assertThat((reply.status, reply.retry_after), Equals((502, None)))

    def test_a_repeatable_one_goes_on_only_with_room_for_further_sends(self) -> None:
        fleet = SidecarBench(margin=0)
        ticket = fleet.ask()
        fleet.lose()
        self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 1)))
        fleet = self.with_room()
        ticket = fleet.ask()
        first = fleet.lose().call
        second = fleet.finish().call
        self.assertThat((self.status(fleet, ticket), first.target == second.target), Equals((200, False)))
        self.assertThat((first.ordinal, second.ordinal), Equals((1, 2)))

    def test_further_sends_stay_within_their_bound(self) -> None:
        fleet = self.with_room(margin=9)
        for _ in range(60):
            fleet.ask(ingress="s-1")
            while fleet.runs:
                fleet.lose()
        further = sum(each.call.ordinal > 1 for each in fleet.sent())
        self.assertThat((further > 3, further <= 60 * 0.2 + 9), Equals((True, True)), str(further))

    def test_no_more_servers_than_the_entry_allows(self) -> None:
        fleet = self.with_room(entries=(entry("read", most_sends=2),))
        ticket = fleet.ask()
        fleet.lose()
        fleet.lose()
        self.assertThat((self.status(fleet, ticket), len(fleet.sent())), Equals((502, 2)))

    def test_a_servers_own_failure_is_its_answer_unless_another_does_better(self) -> None:
        fleet = self.with_room()
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

    def test_an_answer_to_another_send_is_no_answer(self) -> None:
        fleet = SidecarBench()
        fleet.silent = set(fleet.cores)
        ticket = fleet.ask("/post/x")
        sent = fleet.sent()[0]
        fleet.feed("s-1", ForwardAnswered(sent.number, ForwardAnswer("another", ANSWERED, "", 200, b"", b"not mine")))
        self.assertThat(self.status(fleet, ticket), Equals(502))

    def test_a_late_answer_answers_nobody_twice(self) -> None:
        fleet = SidecarBench()
        ticket = fleet.ask("/post/x", budget=0.5)
        fleet.pass_time(0.7)
        self.assertThat(self.status(fleet, ticket), Equals(504))
        # The bench refuses a second final answer.
        fleet.finish()
        self.assertThat(len(fleet.replies), Equals(1))

    def test_a_client_that_hangs_up_stops_nothing(self) -> None:
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

    def test_every_repeat_at_any_door_gets_the_first_answer(self) -> None:
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

    def test_a_failure_of_the_servers_own_is_the_first_answer_too(self) -> None:
        fleet = self.with_room()
        self.pay(fleet)
        fleet.finish(status=500, body=b"sorry")
        reply = self.replied(fleet, self.pay(fleet, "s-2"))
        self.assertThat((reply.status, reply.body, len(fleet.sent(RunOnServer))), Equals((500, b"sorry", 1)))

    def test_while_it_is_in_work_a_repeat_is_told_so(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        for ingress in fleet.cores:
            reply = self.replied(fleet, self.pay(fleet, ingress))
            self.assertThat((reply.status, reply.error.kind), Equals((409, ErrorKind.KEY_HELD)))
            self.assertThat(reply.retry_after, Not(Is(None)))
        self.assertThat(len(fleet.runs), Equals(1))

    def test_a_freed_key_is_taken_over_by_the_next(self) -> None:
        fleet = SidecarBench(room=1)
        servers, fleet.view = fleet.view.servers, fleet.view._replace(servers={})
        fleet.show(fleet.view)
        self.assertThat(self.status(fleet, self.pay(fleet)), Equals(503))
        # Given back in the log as well, unless the core is away just then.
        self.assertThat(len(fleet.log.holds), Equals(0))
        fleet.show(fleet.view._replace(servers=servers))
        again = self.pay(fleet, "s-2")
        fleet.finish()
        self.assertThat(self.status(fleet, again), Equals(200))

    def test_a_freed_key_is_taken_over_though_its_release_never_came_through(self) -> None:
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

    def test_what_nobody_knows_is_told_as_unknown(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        fleet.lose()
        for ingress in fleet.cores:
            reply = self.replied(fleet, self.pay(fleet, ingress))
            self.assertThat(
                (reply.status, reply.error.kind, reply.retry_after is None), Equals((503, ErrorKind.SILENT, False))
            )
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_the_holder_is_gone_silent_or_in_another_life(self) -> None:
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

    def test_without_the_core_it_is_refused_before_it_ran(self) -> None:
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

    def test_a_short_gap_of_the_core_is_waited_out_under_one_claim(self) -> None:
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

    def test_a_claim_that_reached_the_log_unanswered_keeps_nobody_out(self) -> None:
        fleet = SidecarBench()
        write = fleet.write
        # Every claim is taken, and every answer is lost; releases never come through.
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

    def test_a_claim_granted_after_its_request_was_given_up_is_given_back(self) -> None:
        fleet = SidecarBench()
        write, held = fleet.write, []
        # The claim is in the log, but its answer takes its time.
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

    def test_a_claim_that_was_never_answered_is_given_back_later_and_no_sooner_again(self) -> None:
        """A busy log was asked for a release of each such claim at once, and again four times a second."""
        fleet = SidecarBench()
        fleet.core_up = False
        self.assertThat(self.status(fleet, self.after(fleet, self.pay(fleet), 0.5)), Equals(503))

        def releases() -> int:
            return sum(isinstance(each.command, ReleaseKey) for each in fleet.sent(SubmitHold))

        # Given up after 0.22 s: a second later it is asked, and a second after that again.
        for seconds, asked in ((0.5, 0), (0.4, 1), (0.7, 1), (0.3, 2)):
            fleet.pass_time(seconds)
            self.assertThat(releases(), Equals(asked))

    def test_a_claim_that_overtakes_its_own_release_is_given_back_once_more(self) -> None:
        fleet = SidecarBench()
        fleet.core_up = False
        self.after(fleet, self.pay(fleet), 0.5)
        first = fleet.sent(SubmitHold)[0]
        fleet.core_up = True
        # The release comes through while the claim still is on its way.
        fleet.pass_time(1.0)
        granted = fleet.write(first.command)
        self.assertThat(len(fleet.log.holds), Equals(1))
        fleet.cores["s-1"].ingress.keys.submitted[first.number] = first.command
        fleet.feed("s-1", HoldAnswered(first.number, granted))
        self.assertThat((len(fleet.log.holds), fleet.sent(ForwardRequest)), Equals((0, [])))

    def test_a_refusal_of_the_log_is_no_run(self) -> None:
        fleet = SidecarBench()
        fleet.write = lambda record: Outcome("release-level", "too low", "raise it")  # type: ignore
        reply = self.replied(fleet, self.pay(fleet))
        self.assertThat((reply.status, fleet.sent(ForwardRequest)), Equals((503, [])))

    def test_an_answer_that_comes_after_its_client_gave_up_is_kept_for_the_repeat(self) -> None:
        fleet = SidecarBench()
        ticket = self.pay(fleet, budget=0.5)
        fleet.pass_time(0.6)
        self.assertThat(self.status(fleet, ticket), Equals(504))
        # Still in work: that is known.
        self.assertThat(self.status(fleet, self.pay(fleet, "s-2")), Equals(409))
        fleet.finish(body=b"paid")
        self.assertThat(self.replied(fleet, self.pay(fleet, "s-2")).body, Equals(b"paid"))
        self.assertThat(len(fleet.sent(RunOnServer)), Equals(1))

    def test_without_a_key_it_is_once_per_send(self) -> None:
        fleet = self.with_room()
        ticket = fleet.ask("/pay/x")
        fleet.lose()
        self.assertThat(
            (self.status(fleet, ticket), len(fleet.sent(ForwardRequest)), fleet.sent(QueryClaim)), Equals((502, 1, []))
        )

    def test_kept_answers_go_with_their_time(self) -> None:
        fleet = SidecarBench()
        self.pay(fleet)
        fleet.finish()
        fleet.pass_time(80, step=2.0)
        self.pay(fleet, key="k2")
        self.assertThat(len(fleet.cores["s-1"].ingress.keys.records), Equals(1))


class AnyHistory(Case):
    def test_keeps_the_promises(self) -> None:
        """Keys run once, once-per-send runs once, "not run" means it, and everyone gets one answer."""
        for seed in range(12):
            dice = random.Random(seed)
            fleet = SidecarBench(room=2, margin=9, seed=seed)
            asked: dict[int, tuple[str, str]] = {}
            for _ in range(500):
                act = dice.choices(
                    ["ask", "finish", "full", "lose", "time", "core", "silence", "leave"],
                    weights=[40, 40, 3, 4, 20, 2, 2, 3],
                )[0]
                match act:
                    case "ask":
                        name = dice.choice(tuple(KINDS))
                        key = f"k{dice.randrange(40)}" if name == "pay" else ""
                        budget = dice.choice((0.1, 0.5, 2.0))
                        ticket = fleet.ask(
                            f"/{name}/x", ingress=dice.choice(tuple(fleet.cores)), key=key, budget=budget
                        )
                        asked[ticket] = (name, key)
                    case "finish" if fleet.runs:
                        fleet.finish(body=f"run {len(fleet.commands)}".encode())
                    case "full" if fleet.runs:
                        fleet.finish(status=503, not_run=True)
                    case "lose" if fleet.runs:
                        fleet.lose()
                    case "time":
                        fleet.pass_time(dice.choice((0.02, 0.1, 0.4)))
                    case "core":
                        fleet.core_up = not fleet.core_up
                    case "silence":
                        fleet.silent = set() if fleet.silent else {dice.choice(tuple(fleet.cores))}
                    case "leave":
                        fleet.health(dice.choice(tuple(fleet.cores)), state=dice.choice((WINDING_DOWN, "ready")))
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
        # Servers that a try really ran on: the client's own id says which try it was.
        runs: dict[str, int] = {}
        for serve in fleet.sent(RunOnServer):
            if serve.call.attempt_id not in not_run:
                runs[serve.call.client_attempt_id] = runs.get(serve.call.client_attempt_id, 0) + 1
        by_key: dict[str, int] = {}
        for ticket, (name, key) in asked.items():
            count = runs.get(f"try-{ticket}", 0)
            told = f"seed {seed}, {name} {key}"
            if name in ("post", "pack"):
                self.assertThat(count <= 1, Equals(True), told)
            if key:
                by_key[key] = by_key.get(key, 0) + count
            if fleet.replies[ticket].status in (503, 409):
                self.assertThat(count, Equals(0), told)
            if fleet.replies[ticket].status == 200 and not key:
                self.assertThat(count >= 1, Equals(True), told)
        self.assertThat({key: count for key, count in by_key.items() if count > 1}, Equals({}), f"seed {seed}")
        answers: dict[str, set[bytes]] = {}
        for ticket, (_, key) in asked.items():
            if key and fleet.replies[ticket].status == 200:
                answers.setdefault(key, set()).add(fleet.replies[ticket].body)
        self.assertThat([key for key, bodies in answers.items() if len(bodies) > 1], Equals([]), f"seed {seed}")
        self.assertThat(len(fleet.sent(RunOnServer)) > 30, Equals(True), f"{len(fleet.sent(RunOnServer))} runs")
