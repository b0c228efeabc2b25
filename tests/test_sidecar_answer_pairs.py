"""Every pair of fault and link, for every kind of route, at both times: no answer to the wrong caller, no second run.

Complete sidecars on real sockets; the clock is stepped, so no result depends on how busy the machine is.
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
# While the request is on its way over the link, and while its answer is. A large body is announced to another sidecar
# first: there "asked" is its announcement, and "granted" the request itself.
TIMESTAMPS = ("asked", "answered")
GRANTED = "granted"
# Longer than any request is held, and than a ping's timeout.
LONG = BUDGET + 1.5
SEED = 7


class Case:
    """One fault on one link while one request of one kind passes it."""

    def __init__(self, *, link: str, fault: str, kind: str, timestamp: str, seed: int = SEED) -> None:
        self.link, self.fault, self.kind, self.timestamp = link, fault, kind, timestamp
        self.stack = SidecarStack(seed=seed)

    def wires(self) -> list[ControlledLink]:
        machines = self.stack.machines
        if self.link == "client":
            return [machines["s-1"].to_handler]
        if self.link == "sidecar":
            return [machines[name].to_line for name in ("s-2", "s-3")]
        return [machines[name].to_server for name in ("s-2", "s-3")]

    async def first(self, notes: list[Any]) -> int:
        """Which of these is noted first."""
        waits = [asyncio.ensure_future(each.reach(1)) for each in notes]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for each in waits:
            each.cancel()
        return next(place for place, each in enumerate(notes) if each.count)

    async def until_there(self) -> int:
        """The request, or its answer, is on the link: on which of the wires."""
        wires, local_servers = self.wires(), [self.stack.machines[name].local_server for name in ("s-2", "s-3")]
        if self.timestamp == GRANTED:
            return await self.until_granted(wires)
        way = "up" if self.timestamp == "asked" else "down"
        at = 0
        if self.timestamp == "answered":
            at = await self.first([local_server.begun for local_server in local_servers])
        for wire in wires:
            wire.hold(way)
        if self.timestamp == "answered":
            local_servers[at].go.set()
        return await self.first([wire.held[way] for wire in wires])

    async def until_granted(self, wires: list[ControlledLink]) -> int:
        """The announcement was answered, and the body is on the link."""
        for wire in wires:
            wire.hold("down")
        place = await self.first([wire.held["down"] for wire in wires])
        wires[place].hold("up")
        wires[place].release("down")
        await wires[place].held["up"].reach(1)
        return place

    async def strike(self, place: int) -> None:
        wire, stack = self.wires()[place], self.stack
        name = "s-1" if self.link == "client" else ("s-2", "s-3")[place]
        machine = stack.machines[name]
        match self.fault:
            case "silence":
                wire.hold()
                await stack.pass_time(LONG)
                wire.release()
            case "reset":
                wire.reset()
            case "close":
                wire.close()
            case "freeze":
                machine.freeze()
                await stack.pass_time(LONG)
                machine.thaw()
            case "new life" | "address reused":
                await self.replace(machine, wire, other=self.fault == "address reused")
            case "surplus":
                wire.doubled = self.link == "sidecar"
                for each in stack.machines.values():
                    each.local_server.surplus = True
                await stack.pass_time(LONG if self.link == "sidecar" else 0.5)
                wire.release()

    async def replace(self, machine: Machine, wire: ControlledLink, *, other: bool) -> None:
        """The far end of the link ends, and another incarnation of it, or somebody else, comes to its address."""
        if self.link == "server":
            before = machine.local_server
            before.stop()
            service = "portal" if other else before.service
            machine.local_server = LocalServer(service=service, instance="i-next", history=self.stack.history)
            machine.local_server.go.set()
            await machine.local_server.start(before.port)
            # What was held for the former one reaches the next one.
            wire.reset()
            if not other:
                machine.tell()
            return
        await machine.die()
        if other:
            machine.service = "portal"
            machine.local_server.service = "portal"
        await machine.boot(name="s-9" if other else machine.name)
        wire.reset()
        machine.tell()

    async def run(self) -> History:
        stack = await self.stack.start()
        try:
            stack.client(self.kind, key="k" if self.kind == "pay" else "")
            place = await self.until_there()
            await self.strike(place)
            for machine in stack.machines.values():
                machine.local_server.go.set()
            for wire in self.wires():
                wire.release()
            # Others come over the same connections right after it.
            stack.client("read")
            stack.client("pack")
            if self.kind == "pay":
                stack.client("pay", key="k", doors=("s-2", "s-3", "s-1"))
            await stack.pass_time(4 * BUDGET)
        finally:
            await stack.stop()
        return stack.history


def play(**needs: str) -> History:
    return run_stepped(Case(**needs).run())


class EveryPair(TestCase):
    def play_all(self, link: str) -> None:
        times = [(kind, timestamp) for kind in KINDS for timestamp in TIMESTAMPS]
        if link == "sidecar":
            times.append(("pack", GRANTED))
        for fault, (kind, timestamp) in itertools.product(FAULTS, times):
            label = f"{link}, {fault}, {kind}, {timestamp}, seed {SEED}"
            history = play(link=link, fault=fault, kind=kind, timestamp=timestamp)
            self.assertThat(judge(history), Equals([]), label)
            # Whoever came after it was served: the fault is over, and nothing of it is left.
            later = [attempt for attempt, ask in history.asked.items() if ask.kind in ("read", "pack")]
            served = [attempt for attempt in later if history.answers.get(attempt, (0, b""))[0] == 200]
            self.assertThat(len(served) >= 1, Equals(True), f"{label}: {history.answers}")

    def test_clients_to_sidecars(self) -> None:
        self.play_all("client")

    def test_sidecars_to_sidecars(self) -> None:
        self.play_all("sidecar")

    def test_sidecars_to_servers(self) -> None:
        self.play_all("server")


class StaleRequests(TestCase):
    def runs(self, link: str, fault: str, *, timestamp: str = "asked") -> int:
        """How often the first request ran that lay in a socket until its time was over."""
        history = play(link=link, fault=fault, kind="pack", timestamp=timestamp)
        return [attempt for attempt, _ in history.runs].count("try-1")

    def test_what_lay_in_a_frozen_sidecars_sockets_is_not_run_after_its_time(self) -> None:
        self.assertThat([self.runs("client", "freeze"), self.runs("sidecar", "freeze")], Equals([0, 0]))
        self.assertThat(self.runs("sidecar", "freeze", timestamp=GRANTED), Equals(0))

    def test_what_lay_in_a_silent_link_is_not_run_after_its_time(self) -> None:
        self.assertThat(self.runs("sidecar", "silence"), Equals(0))
        self.assertThat(self.runs("sidecar", "silence", timestamp=GRANTED), Equals(0))


class Followed(TestCase):
    def test_what_ran_when_its_connection_broke_is_answered_all_the_same(self) -> None:
        for fault, kind in itertools.product(("reset", "close"), ("pay", "pack")):
            history = play(link="sidecar", fault=fault, kind=kind, timestamp="answered")
            self.assertThat(history.answers["try-1"], Equals((200, b"run of try-1")), f"{fault} {kind}")

    def test_what_never_came_goes_to_another_server_in_the_same_try(self) -> None:
        times = (("pay", "asked"), ("pack", "asked"), ("pack", GRANTED))
        for fault, (kind, timestamp) in itertools.product(("reset", "close"), times):
            history = play(link="sidecar", fault=fault, kind=kind, timestamp=timestamp)
            self.assertThat(history.answers["try-1"], Equals((200, b"run of try-1")), f"{fault} {kind} {timestamp}")

    def test_a_target_that_forgot_what_came_is_found(self) -> None:
        """Injected fault: it reports of any attempt that it never came."""
        injected_fault = mock.patch.object(ReceivedAttempts, "answer_of", lambda self, attempt_id: None)
        forgotten = mock.patch.object(ReceivedAttempts, "bar", lambda self, attempt_id, **needs: True)
        with injected_fault, forgotten:
            found = " ".join(judge(play(link="sidecar", fault="reset", kind="pack", timestamp="answered")))
        self.assertThat(found, Contains("TWICE"))


class Checkers(TestCase):
    def history(
        self, asked: dict[str, ClientRequest], runs: list[str], answers: dict[str, tuple[int, bytes]]
    ) -> History:
        history = History()
        history.asked, history.answers = asked, answers
        history.runs = [(attempt, "i-1") for attempt in runs]
        return history

    def test_each_kind_of_break_is_named(self) -> None:
        post, keyed = ClientRequest("pack", ""), ClientRequest("pay", "k")
        for broken_promise, history in (
            ("TWICE a", self.history({"a": post}, ["a", "a"], {})),
            ("TWICE key k", self.history({"a": keyed, "b": keyed}, ["a", "b"], {})),
            ("REFUSED a", self.history({"a": post}, ["a"], {"a": (503, b"")})),
            ("WRONG a", self.history({"a": post, "b": post}, ["a", "b"], {"a": (200, b"run of b")})),
            ("WRONG a", self.history({"a": post}, [], {"a": (200, b"run of a")})),
            ("UNASKED b", self.history({"a": post}, ["b"], {})),
        ):
            self.assertThat(" ".join(judge(history)), Contains(broken_promise))
        repeat = self.history({"a": keyed, "b": keyed}, ["a"], {"a": (504, b""), "b": (200, b"run of a")})
        self.assertThat(judge(repeat), Equals([]))

    def found(self, injected_fault: Any, **needs: str) -> set[str]:
        with injected_fault:
            return {line.split()[0] for line in judge(play(**needs))}

    def test_an_uncertain_attempt_that_is_dealt_again_is_found(self) -> None:
        def again(self: IngressCore, request: PendingRequest, error: MeshError) -> None:
            request.excluded.add(request.target)
            request.attempts = 0
            self._place(request)

        injected_fault = mock.patch.object(IngressCore, "_attempt_uncertain", again)
        found = self.found(injected_fault, link="server", fault="reset", kind="pack", timestamp="answered")
        self.assertThat(found, Contains("TWICE"))

    def test_an_unknown_end_that_is_called_a_refusal_is_found(self) -> None:
        def unknown(self: IngressCore, request: PendingRequest) -> None:
            error = MeshError(ErrorKind.SILENT, "planted", "planted")
            self._reply(request, 503, error=error, retry_after=milliseconds(50))

        injected_fault = mock.patch.object(IngressCore, "_answer_unknown", unknown)
        found = self.found(injected_fault, link="server", fault="reset", kind="pack", timestamp="answered")
        self.assertThat(found, Contains("REFUSED"))

    def test_an_answer_that_counts_whatever_its_id_is_found(self) -> None:
        plain = ServerConnectionPool._answer

        async def anyones(self: ServerConnectionPool, connection: Any, client_attempt_id: str) -> Any:
            message, payload = await connection.next_message()
            return message, await payload.read()

        self.assertThat(plain is anyones, Equals(False))
        injected_fault = mock.patch.object(ServerConnectionPool, "_answer", anyones)
        found = self.found(injected_fault, link="server", fault="surplus", kind="pack", timestamp="asked")
        self.assertThat(found, Contains("WRONG"))

    def test_a_key_that_is_free_whatever_became_of_it_is_found(self) -> None:
        plain: Callable = ClaimRecords.state_of

        def free(self: ClaimRecords, claim: str) -> Any:
            return plain(self, claim)._replace(state="free")

        injected_fault = mock.patch.object(ClaimRecords, "state_of", free)
        found = self.found(injected_fault, link="sidecar", fault="reset", kind="pay", timestamp="answered")
        self.assertThat(found, Contains("TWICE"))
