"""The registry: takes the outside calls for both core programs, hears health reports, is a root of the relay tree."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from aiomisc import Service
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import RegistrySettings
from hoistsaddle.membership.long_poll import LONG_POLL_TIMEOUT, answer_long_poll
from hoistsaddle.membership.member import Member, MemberTimings
from hoistsaddle.membership.membership import ALIVE
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.node_monitor import NodeMonitor
from hoistsaddle.registry.operator_api import OperatorApi
from hoistsaddle.registry.writer import NO_LEADER, Writer
from hoistsaddle.rpc.connection import call_age
from hoistsaddle.rpc.messages import (
    UNSET,
    AppliedVersion,
    AppliedVersionsAnswer,
    AppliedVersionsCall,
    HealthAnswer,
    HealthCall,
    IndirectProbeCall,
    MemberState,
    PollAnswer,
    PollCall,
    ProbeCall,
    RaiseLevelAnswer,
    RaiseLevelCall,
    ReadAnswer,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import RealRuntime, Runtime
from hoistsaddle.statemachine.commands import LEVEL, ClaimKey, CompleteKey, RegisterNode, RegisterServer, ReleaseKey
from hoistsaddle.statemachine.encoding import pack_outcome, tag_of, unpack_command
from hoistsaddle.statemachine.state import GONE, NODE_MONITOR_ROLE, NodeRecord
from hoistsaddle.statemachine.view import View, read_view

READ_INTERVAL = milliseconds(100)
WRITE_TIMEOUT = timedelta(seconds=3)
# A proxy waits half a second for its key at one registry and then asks the next: trying on for longer helps nobody.
KEY_WRITE_TIMEOUT = milliseconds(450)
DUTY_INTERVAL = milliseconds(200)


class Registry:
    def __init__(
        self,
        *,
        settings: RegistrySettings,
        runtime: Runtime,
        poll_hold: timedelta = LONG_POLL_TIMEOUT,
        member_timings: MemberTimings = MemberTimings(),  # noqa: B008
    ) -> None:
        self.poll_hold = poll_hold
        self.settings = settings
        self.runtime = runtime
        self.node = f"bourse-{settings.replica}"
        self.level = settings.release_level or LEVEL
        self.incarnation = runtime.token(6)
        self.counters = Counters(owner=self.node)
        self.peers = self._peers()
        self.stores = self._stores()
        self.writer = Writer(
            name=self.node, stores=self.stores, home=settings.replica, runtime=runtime, counters=self.counters
        )
        self.relay = Relay(
            node=self.node, incarnation=self.incarnation, lease_span=timedelta(seconds=settings.lease_seconds)
        )
        self.view = View()
        # When each life of a proxy was first seen called gone: its last lease may outlive that news a little.
        self.gone_first_seen: dict[tuple[str, str], timedelta] = {}
        self.news = asyncio.Condition()
        self.node_monitor = NodeMonitor(node=self.node, health_span=timedelta(seconds=settings.health_seconds))
        me = MemberState(self.node, "bourse", settings.listen, settings.zone, self.incarnation, 0, ALIVE)
        self.member = Member(
            me=me,
            seeds=[address for address in self.peers.values() if address != settings.listen],
            runtime=runtime,
            counters=self.counters,
            pace=member_timings,
        )

    def _peers(self) -> dict[int, str]:
        return {machine.replica: machine.registry for machine in self.settings.core}

    def _stores(self) -> dict[int, str]:
        return {machine.replica: machine.store for machine in self.settings.core}

    async def start(self) -> None:
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (self.member.run(), self._follow_configuration(), self._do_duties(), self._register())
        ]
        self.counters.record_event("registry up", incarnation=self.incarnation)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.writer.stop()
        self.member.stop()
        await self.server.stop()
        self.runtime.rpc_client.close()

    # -- roots -------------------------------------------------------------------------------------------------------

    async def _follow_configuration(self) -> None:
        while True:
            await self.refresh(within=milliseconds(900))
            await asyncio.sleep(READ_INTERVAL.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        """One read the leader confirms; the lease counts from just before it was asked."""
        deadline = self.runtime.now() + within
        while self.runtime.now() < deadline:
            asked = self.runtime.now()
            match await self.writer.read(
                part="news", known_revision=self.relay.known_revision(), within=milliseconds(350)
            ):
                case Success(ReadAnswer() as answer):
                    await self._apply_read(answer, asked)
                    return True
            self.counters.add("news.reads_missed")
        return False

    async def _apply_read(self, answer: ReadAnswer, asked: timedelta) -> None:
        mesh, items = "", None
        if answer.content:
            mesh, plain = msgspec.msgpack.decode(answer.content)
            items = {key: (revision, value) for key, (revision, value) in plain.items()}
        was_fresh = self.relay.fresh(now=self.runtime.now())
        if self.relay.confirmed(
            asked=asked,
            mesh=mesh,
            revision=answer.revision,
            items=items,
            expected_digests=answer.digests,
            epoch=answer.epoch,
        ):
            self.view = read_view(
                revision=self.relay.copy.revision,
                items=self.relay.copy.items,
                node=self.node,
                zone=self.settings.zone,
                before=self.view,
            )
            self._track_gone_nodes()
            self.counters.record_event(
                "news", revision=self.view.revision, in_force=self.view.bundle_number, rolling=self.view.rolling
            )
        if self.relay.fresh(now=self.runtime.now()) and not was_fresh:
            self.counters.record_event("lease fresh", revision=self.relay.copy.revision)
        async with self.news:
            self.news.notify_all()

    def _track_gone_nodes(self) -> None:
        gone = {(node.node, node.incarnation) for node in self.view.nodes.values() if node.state == GONE}
        now = self.runtime.now()
        self.gone_first_seen = {life: self.gone_first_seen.get(life, now) for life in sorted(gone)}

    def proxies_with_possible_lease(self) -> list[NodeRecord]:
        """Every proxy that can still hold a lease: the live, and those called gone less than a lease ago."""
        span = timedelta(seconds=self.settings.lease_seconds) * 1.05
        now = self.runtime.now()
        return [
            node
            for node in self.view.nodes.values()
            if node.kind == "stall"
            and (node.state != GONE or now - self.gone_first_seen.get((node.node, node.incarnation), now) < span)
        ]

    # -- calls from the mesh -----------------------------------------------------------------------------------------

    async def answer(self, message: tuple) -> tuple | None:
        self.counters.add(f"calls.{type(message).__name__}")
        match message:
            case PollCall():
                return await self._poll(message)
            case HealthCall():
                return await self._route_health(message)
            case WriteCall(payloads=payloads):
                return await self._write_for_proxy(payloads)
            case AppliedVersionsCall():
                return AppliedVersionsAnswer(self.relay.known_applied_versions(now=self.runtime.now()), self.level)
            case ProbeCall() | IndirectProbeCall():
                return await self.member.answer(message)
        return None

    async def _poll(self, call: PollCall) -> PollAnswer:
        self.relay.heard(call.applied_versions, now=self.runtime.now())
        return await answer_long_poll(
            runtime=self.runtime, relay=self.relay, news=self.news, call=call, hold=self.poll_hold
        )

    async def _write_for_proxy(self, payloads: tuple[bytes, ...]) -> WriteAnswer:
        for payload in payloads:
            # Proxies may hold keys and nothing else; all other writes have callers of their own here.
            if not isinstance(unpack_command(payload), ClaimKey | CompleteKey | ReleaseKey):
                return WriteAnswer(str(ErrorKind.NOT_ALLOWED), -1)
        left = KEY_WRITE_TIMEOUT - timedelta(seconds=call_age().age)
        if left <= timedelta():
            # It lay unread here for so long that its sidecar has given it up: logging it would only delay the others.
            self.counters.add("writes.stale")
            return WriteAnswer(str(ErrorKind.QUEUE_FULL), UNSET)
        outcomes = []
        for result in await self.writer.write_payloads(payloads, within=left):
            match result:
                case Success(outcome):
                    outcomes.append(pack_outcome(outcome))
                case Failure(error):
                    return WriteAnswer(str(error.kind), -1)
        # Who leads goes along: whoever asks there next time saves a hop.
        return WriteAnswer("", self.writer.leader, tuple(outcomes))

    async def _route_health(self, call: HealthCall) -> HealthAnswer:
        duty = self.view.singleton_roles.get(NODE_MONITOR_ROLE)
        if duty is not None and duty.node != self.node:
            # The warden must hear every heartbeat; one step of forwarding helps a proxy that doesn't know it yet.
            address = self.peers.get(int(duty.node.rpartition("-")[2]), "")
            match await self.runtime.rpc_client.call(address, call, within=milliseconds(600)):
                case Success(HealthAnswer() as answer):
                    return answer
        return await self.record_health(call)

    async def record_health(self, call: HealthCall) -> HealthAnswer:
        if not self.relay.fresh(now=self.runtime.now()):
            # What this copy says of the proxy may have been overtaken: "noted" would be no true word.
            self.counters.add("vitals.not_fresh")
            return HealthAnswer(str(ErrorKind.NO_LEADER), "", 0)
        self.node_monitor.record_heartbeat(call.node, now=self.runtime.now())
        self.node_monitor.levels[call.node] = (call.incarnation, call.level)
        # Only changes are logged; a heartbeat that says what the log says already ends here.
        node = self.view.nodes.get(call.node)
        if node is None or (node.address, node.zone, node.incarnation, node.state) != (
            call.address,
            call.zone,
            call.incarnation,
            "alive",
        ):
            note = RegisterNode(
                call.node,
                "stall",
                call.address,
                call.zone,
                call.incarnation,
                "alive",
                seen_revision=call.seen,
                level=call.level,
            )
            match await self.writer.write(note, within=WRITE_TIMEOUT):
                case Success(outcome) if not outcome.error and not outcome.detail.get("old"):
                    self.counters.record_event("proxy noted", stall=call.node)
                case Success(outcome):
                    # Too old a release, or a report from before something was forgotten: it isn't noted.
                    self.counters.add(f"vitals.{outcome.error or 'old'}")
                    return HealthAnswer(outcome.error or str(ErrorKind.UNSURE), "", 0)
                case _:
                    return HealthAnswer(str(ErrorKind.NO_LEADER), "", 0)
        if not call.service_name:
            return HealthAnswer("", "", call.serial)
        server = self.view.servers.get(call.node)
        reported = (call.service_name, call.instance, call.server, call.zone, call.state, call.incarnation)
        if (
            server is None
            or (server.service, server.instance, server.address, server.zone, server.state, server.incarnation)
            != reported
        ):
            command = RegisterServer(
                call.node,
                call.service_name,
                call.instance,
                call.server,
                call.zone,
                call.state,
                call.serial,
                call.incarnation,
                seen_revision=call.seen,
            )
            match await self.writer.write(command, within=WRITE_TIMEOUT):
                case Success(outcome) if not outcome.error:
                    if not outcome.detail.get("old") and (
                        server is None or server.state != call.state or server.instance != call.instance
                    ):
                        self.counters.record_event(
                            "server noted",
                            stall=call.node,
                            service=call.service_name,
                            instance=call.instance,
                            state=call.state,
                        )
                case _:
                    return HealthAnswer(str(ErrorKind.NO_LEADER), "", 0)
        return HealthAnswer("", call.state, call.serial)

    # -- duties ------------------------------------------------------------------------------------------------------

    async def _register(self) -> None:
        """Notes this registry among the mesh's nodes, once there is a mesh."""
        while True:
            known = self.view.nodes.get(self.node)
            if self.relay.fresh(now=self.runtime.now()) and (known is None or known.incarnation != self.incarnation):
                await self.writer.write(
                    RegisterNode(
                        self.node,
                        "bourse",
                        self.settings.listen,
                        self.settings.zone,
                        self.incarnation,
                        "alive",
                        seen_revision=self.relay.copy.revision,
                        level=self.level,
                    ),
                    within=WRITE_TIMEOUT,
                )
            await asyncio.sleep(DUTY_INTERVAL.total_seconds())

    async def _do_duties(self) -> None:
        while True:
            await asyncio.sleep(DUTY_INTERVAL.total_seconds())
            now = self.runtime.now()
            live = [member.node for member in self.member.core.alive(kind="bourse")]
            commands = self.node_monitor.handle(
                view=self.view, live_registries=live, fresh=self.relay.fresh(now=now), now=now
            )
            for command in commands:
                match await self.writer.write(command, within=WRITE_TIMEOUT):
                    case Success(outcome) if not outcome.error:
                        self.counters.record_event(
                            "duty done",
                            what=tag_of(command),
                            about=getattr(command, "proxy", "") or getattr(command, "node", ""),
                        )
                    case Success(outcome):
                        self.counters.record_event("duty refused", what=tag_of(command), mishap=outcome.error)
            if commands:
                await self.refresh(within=milliseconds(500))
            if self.node_monitor.should_raise_level(view=self.view, level=self.level, now=now):
                await self._raise_level()

    async def _raise_level(self) -> None:
        """Every live proxy supports a higher level; if the other registries do too, the leader asks the voters."""
        others = [address for address in self.peers.values() if address != self.settings.listen]
        answers = await self._ask_all(others, AppliedVersionsCall(self.node), within=milliseconds(300))
        if all(isinstance(answer, AppliedVersionsAnswer) and answer.level >= self.level for answer in answers):
            leader = self.stores[self.writer.leader]
            match await self.runtime.rpc_client.call(leader, RaiseLevelCall(self.level), within=milliseconds(700)):
                case Success(RaiseLevelAnswer(error=error)):
                    self.counters.add(f"release.{error or 'raised'}")

    async def _ask_all(self, addresses: list[str], message: tuple, *, within: timedelta) -> list[tuple | None]:
        calls = [self.runtime.rpc_client.call(address, message, within=within) for address in addresses]
        return [answer.value_or(None) for answer in await asyncio.gather(*calls)]

    # -- acceptance --------------------------------------------------------------------------------------------------

    async def await_applied_version(
        self, *, revision: int, proxies: Callable[[], list[str]], committed: timedelta
    ) -> dict[str, str]:
        """Waits until every proxy has taken the revision up or its lease must have lapsed; tells which of the two.

        A lease on an older configuration began before the commit, so one lease span after it no such lease is left.
        """
        # A twentieth on top: two machines' monotonic clocks may run apart a little.
        end = committed + timedelta(seconds=self.settings.lease_seconds) * 1.05
        while True:
            applied_versions = await self.gather_applied_versions()
            outcomes: dict[str, str] = {}
            affected = proxies()
            for proxy in affected:
                applied_version = applied_versions.get(proxy)
                if applied_version is not None and applied_version.revision >= revision:
                    outcomes[proxy] = f"refused: {applied_version.refusal}" if applied_version.refusal else "taken up"
            # A copy older than the commit may not know every proxy concerned: then only the lapse counts.
            complete = self.relay.copy.revision >= revision and len(outcomes) == len(affected)
            if complete or self.runtime.now() >= end:
                return {proxy: outcomes.get(proxy, "lapsed") for proxy in affected}
            await asyncio.sleep(milliseconds(25).total_seconds())

    async def gather_applied_versions(self) -> dict[str, AppliedVersion]:
        others = [address for address in self.peers.values() if address != self.settings.listen]
        answers = await self._ask_all(others, AppliedVersionsCall(self.node), within=milliseconds(150))
        found: dict[str, AppliedVersion] = {}
        gathered = [self.relay.known_applied_versions(now=self.runtime.now())]
        gathered += [answer.applied_versions for answer in answers if isinstance(answer, AppliedVersionsAnswer)]
        for applied_versions in gathered:
            for applied_version in applied_versions:
                known = found.get(applied_version.node)
                if known is None or applied_version.revision > known.revision:
                    found[applied_version.node] = applied_version
        return found

    async def read_configuration(self, *, part: str = "setup") -> Result[ReadAnswer, object]:
        result = await self.writer.read(part=part, known_revision=-1, within=timedelta(seconds=2))
        return result if isinstance(result, Success) else Failure(NO_LEADER)


class RegistryService(Service):
    def __init__(self, *, settings: RegistrySettings) -> None:
        super().__init__()
        self.registry_settings = settings

    async def start(self) -> None:
        self.node = Registry(
            settings=self.registry_settings, runtime=RealRuntime(line_faults=self.registry_settings.line_faults)
        )
        await self.node.start()
        self.door = OperatorApi(registry=self.node)
        await self.door.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.door.stop()
        await self.node.stop()
