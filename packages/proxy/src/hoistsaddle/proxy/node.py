"""One proxy without its HTTP listeners: connections to other processes, the relay, health reports, its timers."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from returns.result import Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import ProxySettings, SidecarSettings
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.long_poll import LONG_POLL_TIMEOUT, answer_long_poll
from hoistsaddle.membership.member import Member, MemberTimings
from hoistsaddle.membership.membership import ALIVE
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.core import ProxyCore
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import (
    Announce,
    AnswerClient,
    AnswerForward,
    ClientDisconnected,
    ConfigurationChanged,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    ForwardWithheld,
    HoldAnswered,
    LeaseRenewed,
    ReportHealth,
    RequestArrived,
    RunOnServer,
    StopRequested,
    SubmitHold,
    Ticked,
)
from hoistsaddle.rpc.messages import (
    AppliedVersion,
    BundleForwardAnswer,
    BundleForwardCall,
    HealthAnswer,
    HealthCall,
    IndirectProbeCall,
    MemberState,
    PollAnswer,
    PollCall,
    ProbeCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import LEVEL, Outcome
from hoistsaddle.statemachine.encoding import pack_command, tag_of, unpack_outcome
from hoistsaddle.statemachine.state import GONE, NODE_MONITOR_ROLE, READY
from hoistsaddle.statemachine.view import read_view

TICK = milliseconds(50)
# A gap this long between ticks means the process stood still; what is read right after may be old.
FROZEN_GAP = milliseconds(400)
HEALTH_EVERY = milliseconds(400)
POLL_SPAN = milliseconds(600)
# A poll that was given up is waited for this many spans in all, and so many of them at once.
LATE_POLL_SPANS = 4
MOST_LATE_POLLS = 2
HOLD_SPAN = milliseconds(1500)
# One registry gets this long; the same command is then tried at the next, which may not be frozen.
HOLD_TRY = milliseconds(500)
STOP_SPAN = timedelta(seconds=20)
# Between two parents, or two registries, that gave nothing: the first round goes fast, and then each slower.
PAUSE_LEAST = milliseconds(30)
HEALTH_PAUSE_LEAST = milliseconds(50)
HEALTH_PAUSE_MOST = milliseconds(800)
# What a poll came to.
RENEWED = "renewed"
SAME = "same"
MISSED = "missed"

# Runs a request on the server beside the proxy (a RunServer, or a sidecar's Serve) and gives what came of it.
Runner = Callable[[Any], Awaitable[tuple]]


class ProxyNode:
    # What a deployment with thin links sets wider.
    poll_hold = LONG_POLL_TIMEOUT
    health_every = HEALTH_EVERY
    poll_span = POLL_SPAN
    tick = TICK
    # How many answers in a row that renew nothing a parent may give before it is left.
    same_polls = 0
    member_timings = MemberTimings()

    def __init__(self, *, settings: ProxySettings | SidecarSettings, runtime: Runtime, run_server: Runner) -> None:
        self.settings = settings
        self.runtime = runtime
        self.run_server = run_server
        self.incarnation = runtime.token(6)
        self.level = settings.release_level or LEVEL
        self.counters = Counters(owner=settings.name)
        span = timedelta(seconds=settings.lease_seconds)
        self.core = self._make_core()
        self.relay = Relay(node=settings.name, incarnation=self.incarnation, lease_span=span)
        self.news = asyncio.Condition()
        self.answers: dict[int, asyncio.Future] = {}
        self.tickets = 0
        self.work: set[asyncio.Task] = set()
        self.ticked_at = self.thawed_at = runtime.now()
        # How long the last standstill was.
        self.stood = timedelta()
        self.registries: list[str] = list(settings.seeds)
        self.parent = settings.seeds[0]
        # At most a third of a lease: once somebody has news again, hearing of it costs no more than that.
        self.poll_pause = ExponentialBackoff(least=PAUSE_LEAST, most=span / 3)
        self.hold_pause = ExponentialBackoff(least=PAUSE_LEAST, most=span / 3)
        # While no registry answers, one claim at a time is tried; the others hear what came of it.
        self.hold_probing = False
        self.hold_news = asyncio.Event()
        self.health_pause = ExponentialBackoff(least=HEALTH_PAUSE_LEAST, most=HEALTH_PAUSE_MOST)
        # Polls whose span is over and whose answers may still come.
        self.late_polls: set[asyncio.Task] = set()
        # The parent whose news was taken last, and the one whose news was refused as older.
        self.fed_by = self.older_from = ""
        self.older_told = False
        self.health_due = asyncio.Event()
        self.health_acknowledged = (0, "")
        me = MemberState(settings.name, "stall", settings.listen, settings.zone, self.incarnation, 0, ALIVE)
        self.member = Member(
            me=me, seeds=settings.seeds, runtime=runtime, counters=self.counters, timings=self.member_timings
        )

    def _core_settings_view(self) -> CoreSettings:
        settings = self.settings
        return CoreSettings(
            settings.name,
            settings.zone,
            self.incarnation,
            timedelta(seconds=settings.lease_seconds),
            timedelta(seconds=settings.health_seconds),
            settings.backlog,
            settings.outstanding,
        )

    def _make_core(self) -> Any:
        return ProxyCore(settings=self._core_settings_view(), seed=self.runtime.random, now=self.runtime.now())

    async def start(self) -> None:
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (self.member.run(), self._poll(), self._ticks(), self._report_health())
        ]
        self.counters.record_event("proxy up", incarnation=self.incarnation)

    async def finish(self) -> None:
        """Planned stop: refuse new work at once, have the log mark the server, finish what is mid-answer."""
        self.feed(StopRequested())
        await self.settle()
        # Others may still have requests on their way here for as long as their news can be old.
        await asyncio.sleep(milliseconds(300).total_seconds())

    async def settle(self) -> None:
        """Waits until nothing is mid-answer here and the log knows that the server leaves."""
        deadline = self.runtime.now() + STOP_SPAN
        while self.runtime.now() < deadline and not (self.core.idle() and self._told_stopping()):
            await asyncio.sleep(TICK.total_seconds())

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.member.stop()
        await self.server.stop()
        self.runtime.rpc_client.close()

    def _told_stopping(self) -> bool:
        return self.core.server is None or (
            self.health_acknowledged[0] >= self.core.serial and self.health_acknowledged[1] != READY
        )

    async def request(self, make: Callable[[int], RequestArrived]) -> AnswerClient:
        ticket, future = self._ticket()
        self.feed(make(ticket))
        try:
            return await future
        except asyncio.CancelledError:
            self.feed(ClientDisconnected(ticket))
            raise

    # -- the owner ---------------------------------------------------------------------------------------------------

    def feed(self, event: tuple) -> None:
        for command in self.core.handle(event, now=self.runtime.now()):
            match command:
                case AnswerClient(ticket=ticket) | AnswerForward(ticket=ticket):
                    future = self.answers.pop(ticket, None)
                    if future is not None and not future.done():
                        future.set_result(command)
                case SubmitHold():
                    self._spawn(self._ask_hold(command))
                case ForwardRequest():
                    self._spawn(self._forward(command))
                case RunOnServer():
                    self._spawn(self._run(command))
                case ReportHealth():
                    self.health_due.set()
                case Announce(kind=kind, detail=detail):
                    self.counters.record_event(kind, **detail)

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)
        return task

    def _ticket(self) -> tuple[int, asyncio.Future]:
        self.tickets += 1
        future = self.answers[self.tickets] = asyncio.get_running_loop().create_future()
        return self.tickets, future

    async def _ticks(self) -> None:
        while True:
            now = self.runtime.now()
            if now - self.ticked_at > FROZEN_GAP:
                self.counters.record_event("stood still", seconds=round((now - self.ticked_at).total_seconds(), 3))
                # What came in meanwhile is read over the next moments, in pieces; none of it is young.
                self.thawed_at = now + FROZEN_GAP
                self.stood = now - self.ticked_at
            self.ticked_at = now
            self.feed(Ticked())
            await asyncio.sleep(self.tick.total_seconds())

    def _frozen(self) -> bool:
        now = self.runtime.now()
        return now - self.ticked_at > FROZEN_GAP or now < self.thawed_at

    def unread(self) -> timedelta:
        """For how long at most this process may have left unread what it reads now, because it stood still."""
        now = self.runtime.now()
        if (gap := now - self.ticked_at) > FROZEN_GAP:
            return gap
        return self.stood + now - (self.thawed_at - FROZEN_GAP) if now < self.thawed_at else timedelta()

    # -- calls from the mesh -----------------------------------------------------------------------------------------

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case BundleForwardCall():
                ticket, future = self._ticket()
                self.feed(ForwardArrived(ticket, message, self._frozen()))
                return (await future).answer
            case PollCall():
                if self.relay.record_applied_versions(message.applied_versions, now=self.runtime.now()):
                    # Somebody below took something up: the own poll may be held just now, so a second one tells it.
                    self._spawn(self._poll_once(self.parent, within=self.poll_span))
                return await answer_long_poll(
                    runtime=self.runtime, relay=self.relay, updated=self.news, call=message, hold=self.poll_hold
                )
            case ProbeCall() | IndirectProbeCall():
                return await self.member.answer(message)
        return None

    # -- commands ----------------------------------------------------------------------------------------------------

    async def _ask_hold(self, ask: SubmitHold) -> None:
        """Asks one registry after the other; while none grants anything, one call at a time for all keys here."""
        self.counters.add(f"holds.{tag_of(ask.command)}")
        call = WriteCall(self.settings.name, (pack_command(ask.command),))
        deadline = self.runtime.now() + HOLD_SPAN
        outcome: Outcome | None = None
        for _ in range(len(self.registries) * 2):
            if not self.hold_pause.failing:
                outcome = await self._try_hold(call, min(HOLD_TRY, deadline - self.runtime.now()))
            elif not self.hold_probing:
                outcome = await self._probe_hold(call)
            else:
                await self._await_hold_news(deadline)
            if outcome is not None or self.runtime.now() >= deadline:
                break
        if outcome is None:
            self.counters.add("holds.mishaps")
        self.feed(HoldAnswered(ask.number, outcome))

    async def _probe_hold(self, call: WriteCall) -> Outcome | None:
        """One try for all that wait, with a whole try's time, however little its own claim has left."""
        self.hold_probing = True
        self.counters.add("holds.paused")
        try:
            await asyncio.sleep(self.hold_pause.left(now=self.runtime.now()).total_seconds())
            return await self._try_hold(call, HOLD_TRY)
        finally:
            self.hold_probing = False
            self.hold_news.set()
            self.hold_news = asyncio.Event()

    async def _await_hold_news(self, deadline: timedelta) -> None:
        try:
            async with asyncio.timeout((deadline - self.runtime.now()).total_seconds()):
                await self.hold_news.wait()
        except TimeoutError:
            pass

    async def _try_hold(self, call: WriteCall, within: timedelta) -> Outcome | None:
        address = self.registries[0]
        match await self.runtime.rpc_client.call(address, call, within=within):
            case Success(WriteAnswer(error="", leader=leader, outcomes=(outcome,))):
                self.hold_pause.reset()
                self._lead_hint(leader)
                return unpack_outcome(outcome)
        # The next registry may reach the leader; the command is the same command there.
        if self.registries[0] == address:
            self.registries = [*self.registries[1:], address]
        self.hold_pause.failed(now=self.runtime.now())
        return None

    def _lead_hint(self, leader: int) -> None:
        """The registry beside the leader is asked first from now on."""
        known = self.core.view.nodes.get(f"bourse-{leader}")
        if known is not None and known.address in self.registries and self.registries[0] != known.address:
            self.registries = [known.address, *(each for each in self.registries if each != known.address)]

    async def _forward(self, command: ForwardRequest) -> None:
        self.counters.add(f"sends.{command.call.service_name}")
        decided = self.runtime.now()
        held = False

        def still() -> bool:
            # A freeze between deciding and sending makes both lease and budget old.
            nonlocal held
            now = self.runtime.now()
            held = now - decided >= FROZEN_GAP or self._frozen() or not self.relay.fresh(now=now)
            return not held

        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within, still=still):
            case Success(BundleForwardAnswer() as answer):
                self.feed(ForwardAnswered(command.number, answer))
            case _ if held:
                self.feed(ForwardWithheld(command.number))
            case result:
                self.feed(ForwardFailed(command.number, result.failure().kind == ErrorKind.UNREACHABLE))

    async def _run(self, command: RunOnServer) -> None:
        self.counters.add("runs")
        event = await self.run_server(command)
        self.feed(event)

    # -- updates and health reports -------------------------------------------------------------------------

    def _applied_version(self) -> AppliedVersion:
        view = self.core.view
        return AppliedVersion(
            self.settings.name, view.revision, view.bundle_number, view.refusal, self.incarnation, view.refused_bundle
        )

    def _parents(self) -> list[str]:
        members = self.member.core
        proxies = [(member.node, member.address) for member in members.alive(kind="stall")]
        roots = [(member.node, member.address) for member in members.alive(kind="bourse")]
        parents = select_parents(node=self.settings.name, proxies=proxies, roots=roots)
        return parents + [seed for seed in self.settings.seeds if seed not in parents]

    async def _poll_in_time(self, address: str) -> str:
        """One poll, as missed once its span is over. Its answer still counts if it comes later.

        On a link where packets wait longer than a span no answer would ever count otherwise.
        """
        if len(self.late_polls) >= MOST_LATE_POLLS:
            return await self._poll_once(address, within=self.poll_span)
        poll = self._spawn(self._poll_once(address, within=self.poll_span * LATE_POLL_SPANS))
        await asyncio.wait([poll], timeout=self.poll_span.total_seconds())
        if poll.done():
            return poll.result()
        self.late_polls.add(poll)
        poll.add_done_callback(self.late_polls.discard)
        return MISSED

    async def _poll_once(self, address: str, *, within: timedelta) -> str:
        """Asks one parent: whether that renewed the lease, brought nothing newer, or failed."""
        sent = self.runtime.now()
        match await self.runtime.rpc_client.call(
            address, self.relay.poll(own=self._applied_version(), now=sent), within=within
        ):
            case Success(PollAnswer() as answer) if not answer.error:
                pass
            case _:
                self.counters.add("news.polls_missed")
                return MISSED
        if self.relay.is_older(revision=answer.revision, epoch=answer.epoch):
            self._refuse_older(address, answer)
            return SAME
        before = self.relay.lease_start
        if self.relay.accept_answer(answer, sent=sent):
            view = read_view(
                revision=self.relay.copy.revision,
                items=self.relay.copy.items,
                node=self.settings.name,
                zone=self.settings.zone,
                before=self.core.view,
            )
            self.counters.add("news.taken")
            self._note_feeder(address, answer)
            self.feed(ConfigurationChanged(view))
            known = [node.address for node in view.nodes.values() if node.kind == "bourse" and node.state != GONE]
            self.registries = [each for each in self.registries if each in known] + [
                each for each in known if each not in self.registries
            ] or list(self.settings.seeds)
        if self.relay.lease_start is not None:
            self.feed(LeaseRenewed(self.relay.lease_start))
            self.counters.gauge(
                "lease.age_milliseconds", (self.runtime.now() - self.relay.lease_start).total_seconds() * 1000
            )
        async with self.news:
            self.news.notify_all()
        return RENEWED if self.relay.lease_start != before else SAME

    def _refuse_older(self, address: str, answer: PollAnswer) -> None:
        """A parent whose news was overtaken here: nothing of it counts. Told at its second time in a row."""
        self.counters.add("news.older_refused")
        if self.older_from != address:
            # Once is a parent that hears of a change a moment later.
            self.older_from, self.older_told = address, False
        elif not self.older_told:
            self.older_told = True
            self.counters.record_event(
                "older news refused",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                held_revision=self.relay.copy.revision,
                held_epoch=self.relay.epoch,
            )

    def _note_feeder(self, address: str, answer: PollAnswer) -> None:
        self.older_from = ""
        if self.fed_by != address:
            self.fed_by = address
            self.counters.record_event(
                "fed by",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                age_milliseconds=round(answer.lease_age.total_seconds() * 1000),
            )

    async def _poll(self) -> None:
        turn, same = 0, 0
        while True:
            parents = self._parents()
            # The tree's parent first; each failure, or a second answer that renews nothing, moves on towards the roots.
            self.parent = parents[turn % len(parents)]
            outcome = await self._poll_in_time(self.parent)
            if outcome == RENEWED:
                turn, same = 0, 0
                self.poll_pause.reset()
                continue
            if outcome == SAME and same < self.same_polls:
                # Once is the beat of two held polls, the parent's and this one. Moving on then brought half of all
                # polls of a deep tree to its roots.
                same += 1
                continue
            turn, same = turn + 1, 0
            if turn % len(parents) == 0:
                # All were asked, and nobody knows anything newer.
                self.poll_pause.failed(now=self.runtime.now())
            self.counters.add("news.polls_paused")
            await asyncio.sleep(self.poll_pause.delay.total_seconds())

    async def _report_health(self) -> None:
        turn = 0
        while True:
            server = self.core.server
            state = self.core.server_state() if server is not None else ""
            serial = self.core.serial
            call = HealthCall(
                self.settings.name,
                self.incarnation,
                self.settings.listen,
                self.settings.zone,
                server.service if server else "",
                server.instance if server else "",
                server.address if server else "",
                state,
                serial,
                self.relay.copy.revision,
                self.level,
            )
            duty = self.core.view.singleton_roles.get(NODE_MONITOR_ROLE)
            warden = self.core.view.nodes.get(duty.node) if duty is not None else None
            addresses = ([warden.address] if warden is not None and turn == 0 else []) + self.registries
            self.health_due.clear()
            match await self.runtime.rpc_client.call(addresses[turn % len(addresses)], call, within=milliseconds(900)):
                case Success(HealthAnswer(error="") as answer):
                    self.health_acknowledged = (serial, answer.state)
                    self.health_pause.reset()
                    turn = 0
                case _:
                    self.counters.add("vitals.missed")
                    turn += 1
                    if turn % len(addresses) == 0:
                        self.health_pause.failed(now=self.runtime.now())
                    await asyncio.sleep(self.health_pause.delay.total_seconds())
                    continue
            try:
                async with asyncio.timeout(self.health_every.total_seconds()):
                    await self.health_due.wait()
            except TimeoutError:
                pass
