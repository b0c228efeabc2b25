"""Every fault on every link, for every kind of route and both directions: no wrong answer and no second run.

The sidecars are complete and use real sockets; the clock is stepped, so no result depends on the load of the machine.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.server_connection import any_response
from hoistsaddle.sidecar.claim_records import ClaimRecords
from hoistsaddle.sidecar.ingress import IngressCore
from hoistsaddle.sidecar.received_attempts import ReceivedAttempts
from hoistsaddle.sidecar.request_table import PendingRequest
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from sidecar_stack import BUDGET, ClientRequest, ControlledLink, History, LocalServer, Machine, SidecarStack, judge
from stepped_clock import run_stepped

LINKS = ("client", "sidecar", "server")
FAULTS = ("silence", "reset", "close", "freeze", "new life", "address reused", "surplus")
KINDS = ("read", "pay", "pack")
# When the fault occurs: while the request is on the link, or while its answer is. A large body is announced to another
# sidecar first: then "asked" means the announcement, and "granted" the request itself.
TIMESTAMPS = ("asked", "answered")
GRANTED = "granted"
# Longer than any request waits, and longer than a ping's timeout.
LONG = BUDGET + 1.5
SEED = 7


class Case:
    """One fault on one link while one request of one kind is on it."""

    def __init__(self, *, link: str, fault: str, kind: str, timestamp: str, seed: int = SEED) -> None:
        self.link, self.fault, self.kind, self.timestamp = link, fault, kind, timestamp
        self.stack = SidecarStack(seed=seed)

    def controlled_links(self) -> list[ControlledLink]:
        machines = self.stack.machines
        if self.link == "client":
            return [machines["s-1"].to_handler]
        if self.link == "sidecar":
            return [machines[name].to_rpc_server for name in ("s-2", "s-3")]
        return [machines[name].to_server for name in ("s-2", "s-3")]

    async def first(self, counters: list[Any]) -> int:
        """Return the index of the counter that counts an event first."""
        waits = [asyncio.ensure_future(each.reach(1)) for each in counters]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for each in waits:
            each.cancel()
        return next(index for index, each in enumerate(counters) if each.count)

    async def wait_until_on_link(self) -> int:
        """Wait until the request, or its answer, is on a link; return the index of that link."""
        controlled_links, local_servers = (
            self.controlled_links(),
            [self.stack.machines[name].local_server for name in ("s-2", "s-3")],
        )
        if self.timestamp == GRANTED:
            return await self.wait_until_granted(controlled_links)
        way = "up" if self.timestamp == "asked" else "down"
        at = 0
        if self.timestamp == "answered":
            at = await self.first([local_server.runs_started for local_server in local_servers])
        for controlled_link in controlled_links:
            controlled_link.hold(way)
        if self.timestamp == "answered":
            local_servers[at].may_answer.set()
        return await self.first([controlled_link.held[way] for controlled_link in controlled_links])

    async def wait_until_granted(self, controlled_links: list[ControlledLink]) -> int:
        """Wait until the announcement has been answered and the body is on a link; return the index of that link."""
        for controlled_link in controlled_links:
            controlled_link.hold("down")
        index = await self.first([controlled_link.held["down"] for controlled_link in controlled_links])
        controlled_links[index].hold("up")
        controlled_links[index].release("down")
        await controlled_links[index].held["up"].reach(1)
        return index

    async def inject_fault(self, index: int) -> None:
        controlled_link, stack = self.controlled_links()[index], self.stack
        name = "s-1" if self.link == "client" else ("s-2", "s-3")[index]
        machine = stack.machines[name]
        match self.fault:
            case "silence":
                controlled_link.hold()
                await stack.pass_time(LONG)
                controlled_link.release()
            case "reset":
                controlled_link.reset()
            case "close":
                controlled_link.close()
            case "freeze":
                machine.freeze()
                await stack.pass_time(LONG)
                machine.thaw()
            case "new life" | "address reused":
                await self.replace(machine, controlled_link, other=self.fault == "address reused")
            case "surplus":
                controlled_link.doubled = self.link == "sidecar"
                for each in stack.machines.values():
                    each.local_server.surplus = True
                await stack.pass_time(LONG if self.link == "sidecar" else 0.5)
                controlled_link.release()

    async def replace(self, machine: Machine, controlled_link: ControlledLink, *, other: bool) -> None:
        """Stop the far end of the link, and start another incarnation of it, or another node, at its address."""
        if self.link == "server":
            before = machine.local_server
            before.stop()
            service = "portal" if other else before.service
            machine.local_server = LocalServer(service=service, instance="i-next", history=self.stack.history)
            machine.local_server.may_answer.set()
            await machine.local_server.start(before.port)
            # Data that was held for the previous server reaches the new one.
            controlled_link.reset()
            if not other:
                machine.deliver_state()
            return
        await machine.kill()
        if other:
            machine.service = "portal"
            machine.local_server.service = "portal"
        await machine.boot(name="s-9" if other else machine.name)
        controlled_link.reset()
        machine.deliver_state()

    async def run(self) -> History:
        stack = await self.stack.start()
        try:
            stack.client(self.kind, key="k" if self.kind == "pay" else "")
            index = await self.wait_until_on_link()
            await self.inject_fault(index)
            for machine in stack.machines.values():
                machine.local_server.may_answer.set()
            for controlled_link in self.controlled_links():
                controlled_link.release()
            # Further requests use the same connections right after it.
            stack.client("read")
            stack.client("pack")
            if self.kind == "pay":
                stack.client("pay", key="k", doors=("s-2", "s-3", "s-1"))
            await stack.pass_time(4 * BUDGET)
        finally:
            await stack.stop()
        return stack.history


def run_case(**needs: str) -> History:
    return run_stepped(Case(**needs).run())


class EveryPair(TestCase):
    def run_all(self, link: str) -> None:
        times = [(kind, timestamp) for kind in KINDS for timestamp in TIMESTAMPS]
        if link == "sidecar":
            times.append(("pack", GRANTED))
        for fault, (kind, timestamp) in itertools.product(FAULTS, times):
            label = f"{link}, {fault}, {kind}, {timestamp}, seed {SEED}"
            history = run_case(link=link, fault=fault, kind=kind, timestamp=timestamp)
            self.assertThat(judge(history), Equals([]), label)
            # Later requests were served: the fault is over and has left no trace.
            later = [attempt for attempt, ask in history.asked.items() if ask.kind in ("read", "pack")]
            served = [attempt for attempt in later if history.answers.get(attempt, (0, b""))[0] == 200]
            self.assertThat(len(served) >= 1, Equals(True), f"{label}: {history.answers}")

    def test_clients_to_sidecars(self) -> None:
        self.run_all("client")

    def test_sidecars_to_sidecars(self) -> None:
        self.run_all("sidecar")

    def test_sidecars_to_servers(self) -> None:
        self.run_all("server")


class StaleRequests(TestCase):
    def runs(self, link: str, fault: str, *, timestamp: str = "asked") -> int:
        """Return how often the first request ran, which was in a socket buffer until its deadline had passed."""
        history = run_case(link=link, fault=fault, kind="pack", timestamp=timestamp)
        return [attempt for attempt, _ in history.runs].count("try-1")

    def test_requests_in_a_frozen_sidecars_sockets_do_not_run_after_their_deadline(self) -> None:
        self.assertThat([self.runs("client", "freeze"), self.runs("sidecar", "freeze")], Equals([0, 0]))
        self.assertThat(self.runs("sidecar", "freeze", timestamp=GRANTED), Equals(0))

    def test_requests_on_a_silent_link_do_not_run_after_their_deadline(self) -> None:
        self.assertThat(self.runs("sidecar", "silence"), Equals(0))
        self.assertThat(self.runs("sidecar", "silence", timestamp=GRANTED), Equals(0))


class Followed(TestCase):
    def test_a_request_that_ran_when_its_connection_broke_still_gets_its_answer(self) -> None:
        for fault, kind in itertools.product(("reset", "close"), ("pay", "pack")):
            history = run_case(link="sidecar", fault=fault, kind=kind, timestamp="answered")
            self.assertThat(history.answers["try-1"], Equals((200, b"run of try-1")), f"{fault} {kind}")

    def test_a_request_that_never_arrived_is_sent_to_another_server(self) -> None:
        times = (("pay", "asked"), ("pack", "asked"), ("pack", GRANTED))
        for fault, (kind, timestamp) in itertools.product(("reset", "close"), times):
            history = run_case(link="sidecar", fault=fault, kind=kind, timestamp=timestamp)
            self.assertThat(history.answers["try-1"], Equals((200, b"run of try-1")), f"{fault} {kind} {timestamp}")

    def test_a_target_that_forgets_received_attempts_is_detected(self) -> None:
        """Injected fault: the target reports of every attempt that it never arrived."""
        injected_fault = mock.patch.object(ReceivedAttempts, "answer_of", lambda self, attempt_id: None)
        forgotten = mock.patch.object(ReceivedAttempts, "bar", lambda self, attempt_id, **needs: True)
        with injected_fault, forgotten:
            found = " ".join(judge(run_case(link="sidecar", fault="reset", kind="pack", timestamp="answered")))
        self.assertThat(found, Contains("TWICE"))


class Checkers(TestCase):
    def history(
        self, asked: dict[str, ClientRequest], runs: list[str], answers: dict[str, tuple[int, bytes]]
    ) -> History:
        history = History()
        history.asked, history.answers = asked, answers
        history.runs = [(attempt, "i-1") for attempt in runs]
        return history

    def test_each_kind_of_violation_is_named(self) -> None:
        post, keyed = ClientRequest("pack", ""), ClientRequest("pay", "k")
        for violation, history in (
            ("TWICE a", self.history({"a": post}, ["a", "a"], {})),
            ("TWICE key k", self.history({"a": keyed, "b": keyed}, ["a", "b"], {})),
            ("REFUSED a", self.history({"a": post}, ["a"], {"a": (503, b"")})),
            ("WRONG a", self.history({"a": post, "b": post}, ["a", "b"], {"a": (200, b"run of b")})),
            ("WRONG a", self.history({"a": post}, [], {"a": (200, b"run of a")})),
            ("UNASKED b", self.history({"a": post}, ["b"], {})),
        ):
            self.assertThat(" ".join(judge(history)), Contains(violation))
        repeat = self.history({"a": keyed, "b": keyed}, ["a"], {"a": (504, b""), "b": (200, b"run of a")})
        self.assertThat(judge(repeat), Equals([]))

    def found(self, injected_fault: Any, **needs: str) -> set[str]:
        with injected_fault:
            return {line.split()[0] for line in judge(run_case(**needs))}

    def test_a_retry_of_an_uncertain_attempt_is_detected(self) -> None:
        def again(self: IngressCore, request: PendingRequest, error: MeshError) -> None:
            request.excluded.add(request.target)
            request.attempts = 0
            self._place(request)

        injected_fault = mock.patch.object(IngressCore, "_attempt_uncertain", again)
        found = self.found(injected_fault, link="server", fault="reset", kind="pack", timestamp="answered")
        self.assertThat(found, Contains("TWICE"))

    def test_an_unknown_outcome_reported_as_a_rejection_is_detected(self) -> None:
        def unknown(self: IngressCore, request: PendingRequest) -> None:
            error = MeshError(ErrorKind.SILENT, "planted", "planted")
            self._reply(request, 503, error=error, retry_after=milliseconds(50))

        injected_fault = mock.patch.object(IngressCore, "_answer_unknown", unknown)
        found = self.found(injected_fault, link="server", fault="reset", kind="pack", timestamp="answered")
        self.assertThat(found, Contains("REFUSED"))

    def test_accepting_an_answer_with_any_id_is_detected(self) -> None:
        def any_id(self: ServerConnectionPool, client_attempt_id: str) -> Any:
            return any_response

        injected_fault = mock.patch.object(ServerConnectionPool, "_is_answer_to", any_id)
        found = self.found(injected_fault, link="server", fault="surplus", kind="pack", timestamp="asked")
        self.assertThat(found, Contains("WRONG"))

    def test_a_claim_reported_as_free_whatever_its_outcome_is_detected(self) -> None:
        plain: Callable = ClaimRecords.state_of

        def free(self: ClaimRecords, claim: str) -> Any:
            return plain(self, claim)._replace(state="free")

        injected_fault = mock.patch.object(ClaimRecords, "state_of", free)
        found = self.found(injected_fault, link="sidecar", fault="reset", kind="pay", timestamp="answered")
        self.assertThat(found, Contains("TWICE"))
