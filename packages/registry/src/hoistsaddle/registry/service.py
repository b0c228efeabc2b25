"""The registry: takes the outside calls for both core programs, hears vitals, and is a root of the relay tree."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from aiomisc import Service
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MishapKind
from hoistsaddle.common.settings import RegistryParams
from hoistsaddle.membership.holding import POLL_HOLD, hold_poll
from hoistsaddle.membership.member import Member, MemberPace
from hoistsaddle.membership.membership import ALIVE
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.duties import Warden
from hoistsaddle.registry.operators import OperatorDoor
from hoistsaddle.registry.writer import NO_LEADER, Writer
from hoistsaddle.rpc.connection import call_age
from hoistsaddle.rpc.messages import (
    UNSET,
    PollAnswer,
    PollCall,
    ProbeCall,
    ProbeForCall,
    RaiseAnswer,
    RaiseCall,
    ReadAnswer,
    Rumour,
    Uptake,
    UptakeAnswer,
    UptakeCall,
    VitalsAnswer,
    VitalsCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import RealRuntime, Runtime
from hoistsaddle.statemachine.commands import (
    LEVEL,
    ClaimHold,
    NoteNode,
    NoteServer,
    ReleaseHold,
    SettleHold,
    pack_outcome,
    unpack_command,
)
from hoistsaddle.statemachine.state import GONE, WARDEN, NodeEntry
from hoistsaddle.statemachine.view import View, read_view

READ_EVERY = milliseconds(100)
WRITE_SPAN = timedelta(seconds=3)
# A stall waits half a second for its key at one registry and then asks the next: trying on for longer helps nobody.
HOLD_WRITE_SPAN = milliseconds(450)
DUTY_EVERY = milliseconds(200)


class Registry:
    def __init__(
        self,
        *,
        params: RegistryParams,
        runtime: Runtime,
        poll_hold: timedelta = POLL_HOLD,
        member_pace: MemberPace = MemberPace(),  # noqa: B008
    ) -> None:
        self.poll_hold = poll_hold
        self.params = params
        self.runtime = runtime
        self.node = f"bourse-{params.replica}"
        self.level = params.release_level or LEVEL
        self.incarnation = runtime.token(6)
        self.counters = Counters(owner=self.node)
        self.peers = self._peers()
        self.warehouses = self._warehouses()
        self.writer = Writer(
            name=self.node, warehouses=self.warehouses, home=params.replica, runtime=runtime, counters=self.counters
        )
        self.relay = Relay(
            node=self.node, incarnation=self.incarnation, lease_span=timedelta(seconds=params.lease_seconds)
        )
        self.view = View()
        # When each life of a stall was first seen called gone: its last lease may outlive that news a little.
        self.gone_seen: dict[tuple[str, str], timedelta] = {}
        self.news = asyncio.Condition()
        self.warden = Warden(node=self.node, vitals_span=timedelta(seconds=params.vitals_seconds))
        me = Rumour(self.node, "bourse", params.listen, params.zone, self.incarnation, 0, ALIVE)
        self.member = Member(
            me=me,
            seeds=[address for address in self.peers.values() if address != params.listen],
            runtime=runtime,
            counters=self.counters,
            pace=member_pace,
        )

    def _peers(self) -> dict[int, str]:
        return {machine.replica: machine.bourse for machine in self.params.core}

    def _warehouses(self) -> dict[int, str]:
        return {machine.replica: machine.warehouse for machine in self.params.core}

    async def start(self) -> None:
        self.server = await self.runtime.serve(self.params.listen, self.answer)
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (self.member.run(), self._read_news(), self._do_duties(), self._register())
        ]
        self.counters.happen("bourse up", incarnation=self.incarnation)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.writer.stop()
        self.member.stop()
        await self.server.stop()
        self.runtime.lines.close()

    # -- roots -------------------------------------------------------------------------------------------------------

    async def _read_news(self) -> None:
        while True:
            await self.refresh(within=milliseconds(900))
            await asyncio.sleep(READ_EVERY.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        """One read the leader confirms; the lease counts from just before it was asked."""
        deadline = self.runtime.now() + within
        while self.runtime.now() < deadline:
            asked = self.runtime.now()
            match await self.writer.read(
                part="news", known_revision=self.relay.known_revision(), within=milliseconds(350)
            ):
                case Success(ReadAnswer() as answer):
                    await self._take(answer, asked)
                    return True
            self.counters.add("news.reads_missed")
        return False

    async def _take(self, answer: ReadAnswer, asked: timedelta) -> None:
        mesh, items = "", None
        if answer.content:
            mesh, plain = msgspec.msgpack.decode(answer.content)
            items = {key: (revision, value) for key, (revision, value) in plain.items()}
        was_fresh = self.relay.fresh(now=self.runtime.now())
        if self.relay.confirmed(
            asked=asked, mesh=mesh, revision=answer.revision, items=items, vouched=answer.digests, epoch=answer.epoch
        ):
            self.view = read_view(
                revision=self.relay.copy.revision,
                items=self.relay.copy.items,
                node=self.node,
                zone=self.params.zone,
                before=self.view,
            )
            self._note_gone()
            self.counters.happen(
                "news", revision=self.view.revision, in_force=self.view.bundle_number, rolling=self.view.rolling
            )
        if self.relay.fresh(now=self.runtime.now()) and not was_fresh:
            self.counters.happen("lease fresh", revision=self.relay.copy.revision)
        async with self.news:
            self.news.notify_all()

    def _note_gone(self) -> None:
        gone = {(node.node, node.incarnation) for node in self.view.nodes.values() if node.state == GONE}
        now = self.runtime.now()
        self.gone_seen = {life: self.gone_seen.get(life, now) for life in sorted(gone)}

    def stalls_that_may_act(self) -> list[NodeEntry]:
        """Every stall that can still hold a lease: the live, and those called gone less than a lease ago."""
        span = timedelta(seconds=self.params.lease_seconds) * 1.05
        now = self.runtime.now()
        return [
            node
            for node in self.view.nodes.values()
            if node.kind == "stall"
            and (node.state != GONE or now - self.gone_seen.get((node.node, node.incarnation), now) < span)
        ]

    # -- calls from the mesh -----------------------------------------------------------------------------------------

    async def answer(self, message: tuple) -> tuple | None:
        self.counters.add(f"calls.{type(message).__name__}")
        match message:
            case PollCall():
                return await self._poll(message)
            case VitalsCall():
                return await self._vitals(message)
            case WriteCall(payloads=payloads):
                return await self._write_for_stall(payloads)
            case UptakeCall():
                return UptakeAnswer(self.relay.known_uptakes(now=self.runtime.now()), self.level)
            case ProbeCall() | ProbeForCall():
                return await self.member.answer(message)
        return None

    async def _poll(self, call: PollCall) -> PollAnswer:
        self.relay.heard(call.uptakes, now=self.runtime.now())
        return await hold_poll(runtime=self.runtime, relay=self.relay, news=self.news, call=call, hold=self.poll_hold)

    async def _write_for_stall(self, payloads: tuple[bytes, ...]) -> WriteAnswer:
        for payload in payloads:
            # Stalls may hold keys and nothing else; all other writes have callers of their own here.
            if not isinstance(unpack_command(payload), ClaimHold | SettleHold | ReleaseHold):
                return WriteAnswer(str(MishapKind.NOT_ALLOWED), -1)
        left = HOLD_WRITE_SPAN - timedelta(seconds=call_age().age)
        if left <= timedelta():
            # It lay unread here for so long that its sidecar has given it up: logging it would only delay the others.
            self.counters.add("writes.stale")
            return WriteAnswer(str(MishapKind.BACKLOG_FULL), UNSET)
        outcomes = []
        for result in await self.writer.write_payloads(payloads, within=left):
            match result:
                case Success(outcome):
                    outcomes.append(pack_outcome(outcome))
                case Failure(mishap):
                    return WriteAnswer(str(mishap.kind), -1)
        # Who leads goes along: whoever asks there next time saves a hop.
        return WriteAnswer("", self.writer.leader, tuple(outcomes))

    async def _vitals(self, call: VitalsCall) -> VitalsAnswer:
        duty = self.view.duties.get(WARDEN)
        if duty is not None and duty.node != self.node:
            # The warden must hear every heartbeat; one step of forwarding helps a stall that doesn't know it yet.
            address = self.peers.get(int(duty.node.rpartition("-")[2]), "")
            match await self.runtime.lines.call(address, call, within=milliseconds(600)):
                case Success(VitalsAnswer() as answer):
                    return answer
        return await self.take_vitals(call)

    async def take_vitals(self, call: VitalsCall) -> VitalsAnswer:
        if not self.relay.fresh(now=self.runtime.now()):
            # What this copy says of the stall may have been overtaken: "noted" would be no true word.
            self.counters.add("vitals.not_fresh")
            return VitalsAnswer(str(MishapKind.NO_LEADER), "", 0)
        self.warden.hear(call.node, now=self.runtime.now())
        self.warden.levels[call.node] = (call.incarnation, call.level)
        # Only changes are logged; a heartbeat that says what the log says already ends here.
        node = self.view.nodes.get(call.node)
        if node is None or (node.address, node.zone, node.incarnation, node.state) != (
            call.address,
            call.zone,
            call.incarnation,
            "alive",
        ):
            note = NoteNode(
                call.node, "stall", call.address, call.zone, call.incarnation, "alive", seen=call.seen, level=call.level
            )
            match await self.writer.write(note, within=WRITE_SPAN):
                case Success(outcome) if not outcome.mishap and not outcome.detail.get("old"):
                    self.counters.happen("stall noted", stall=call.node)
                case Success(outcome):
                    # Too old a release, or a report from before something was forgotten: it isn't noted.
                    self.counters.add(f"vitals.{outcome.mishap or 'old'}")
                    return VitalsAnswer(outcome.mishap or str(MishapKind.UNSURE), "", 0)
                case _:
                    return VitalsAnswer(str(MishapKind.NO_LEADER), "", 0)
        if not call.service_name:
            return VitalsAnswer("", "", call.serial)
        server = self.view.servers.get(call.node)
        told = (call.service_name, call.instance, call.server, call.zone, call.state, call.incarnation)
        if (
            server is None
            or (server.service, server.instance, server.address, server.zone, server.state, server.incarnation) != told
        ):
            command = NoteServer(
                call.node,
                call.service_name,
                call.instance,
                call.server,
                call.zone,
                call.state,
                call.serial,
                call.incarnation,
                seen=call.seen,
            )
            match await self.writer.write(command, within=WRITE_SPAN):
                case Success(outcome) if not outcome.mishap:
                    if not outcome.detail.get("old") and (
                        server is None or server.state != call.state or server.instance != call.instance
                    ):
                        self.counters.happen(
                            "server noted",
                            stall=call.node,
                            service=call.service_name,
                            instance=call.instance,
                            state=call.state,
                        )
                case _:
                    return VitalsAnswer(str(MishapKind.NO_LEADER), "", 0)
        return VitalsAnswer("", call.state, call.serial)

    # -- duties ------------------------------------------------------------------------------------------------------

    async def _register(self) -> None:
        """Notes this bourse among the mesh's nodes, once there is a mesh."""
        while True:
            known = self.view.nodes.get(self.node)
            if self.relay.fresh(now=self.runtime.now()) and (known is None or known.incarnation != self.incarnation):
                await self.writer.write(
                    NoteNode(
                        self.node,
                        "bourse",
                        self.params.listen,
                        self.params.zone,
                        self.incarnation,
                        "alive",
                        seen=self.relay.copy.revision,
                        level=self.level,
                    ),
                    within=WRITE_SPAN,
                )
            await asyncio.sleep(DUTY_EVERY.total_seconds())

    async def _do_duties(self) -> None:
        while True:
            await asyncio.sleep(DUTY_EVERY.total_seconds())
            now = self.runtime.now()
            live = [member.node for member in self.member.core.alive(kind="bourse")]
            commands = self.warden.handle(view=self.view, live_bourses=live, fresh=self.relay.fresh(now=now), now=now)
            for command in commands:
                match await self.writer.write(command, within=WRITE_SPAN):
                    case Success(outcome) if not outcome.mishap:
                        self.counters.happen(
                            "duty done",
                            what=type(command).__name__,
                            about=getattr(command, "stall", "") or getattr(command, "node", ""),
                        )
                    case Success(outcome):
                        self.counters.happen("duty refused", what=type(command).__name__, mishap=outcome.mishap)
            if commands:
                await self.refresh(within=milliseconds(500))
            if self.warden.may_raise(view=self.view, level=self.level, now=now):
                await self._raise_level()

    async def _raise_level(self) -> None:
        """Every live stall supports a higher level; if the other bourses do too, the leader asks the voters."""
        others = [address for address in self.peers.values() if address != self.params.listen]
        answers = await self._ask_all(others, UptakeCall(self.node), within=milliseconds(300))
        if all(isinstance(answer, UptakeAnswer) and answer.level >= self.level for answer in answers):
            leader = self.warehouses[self.writer.leader]
            match await self.runtime.lines.call(leader, RaiseCall(self.level), within=milliseconds(700)):
                case Success(RaiseAnswer(mishap=mishap)):
                    self.counters.add(f"release.{mishap or 'raised'}")

    async def _ask_all(self, addresses: list[str], message: tuple, *, within: timedelta) -> list[tuple | None]:
        calls = [self.runtime.lines.call(address, message, within=within) for address in addresses]
        return [answer.value_or(None) for answer in await asyncio.gather(*calls)]

    # -- acceptance --------------------------------------------------------------------------------------------------

    async def await_uptake(
        self, *, revision: int, stalls: Callable[[], list[str]], committed: timedelta
    ) -> dict[str, str]:
        """Waits until every stall has taken the revision up or its lease must have lapsed; tells which of the two.

        A lease that knew an older setup began before the commit, so one lease span after it no such lease is left.
        """
        # A twentieth on top: two machines' monotonic clocks may run apart a little.
        end = committed + timedelta(seconds=self.params.lease_seconds) * 1.05
        while True:
            uptakes = await self.gather_uptakes()
            standing: dict[str, str] = {}
            concerned = stalls()
            for stall in concerned:
                uptake = uptakes.get(stall)
                if uptake is not None and uptake.revision >= revision:
                    standing[stall] = f"refused: {uptake.refusal}" if uptake.refusal else "taken up"
            # A copy older than the commit may not know every stall concerned: then only the lapse counts.
            complete = self.relay.copy.revision >= revision and len(standing) == len(concerned)
            if complete or self.runtime.now() >= end:
                return {stall: standing.get(stall, "lapsed") for stall in concerned}
            await asyncio.sleep(milliseconds(25).total_seconds())

    async def gather_uptakes(self) -> dict[str, Uptake]:
        others = [address for address in self.peers.values() if address != self.params.listen]
        answers = await self._ask_all(others, UptakeCall(self.node), within=milliseconds(150))
        found: dict[str, Uptake] = {}
        gathered = [self.relay.known_uptakes(now=self.runtime.now())]
        gathered += [answer.uptakes for answer in answers if isinstance(answer, UptakeAnswer)]
        for uptakes in gathered:
            for uptake in uptakes:
                known = found.get(uptake.node)
                if known is None or uptake.revision > known.revision:
                    found[uptake.node] = uptake
        return found

    async def read_setup(self, *, part: str = "setup") -> Result[ReadAnswer, object]:
        result = await self.writer.read(part=part, known_revision=-1, within=timedelta(seconds=2))
        return result if isinstance(result, Success) else Failure(NO_LEADER)


class RegistryService(Service):
    def __init__(self, *, params: RegistryParams) -> None:
        super().__init__()
        self.bourse_params = params

    async def start(self) -> None:
        self.node = Registry(params=self.bourse_params, runtime=RealRuntime(line_faults=self.bourse_params.line_faults))
        await self.node.start()
        self.door = OperatorDoor(bourse=self.node)
        await self.door.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.door.stop()
        await self.node.stop()
