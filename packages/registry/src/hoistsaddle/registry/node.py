"""The registry's node: a root of the distribution tree that answers other nodes and writes to the log for them."""

import asyncio
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.lifelong_tasks import LifelongTasks
from hoistsaddle.common.settings import RegistrySettings
from hoistsaddle.membership.long_poll import LONG_POLL_TIMEOUT, answer_long_poll
from hoistsaddle.membership.member import Member, MemberTimings
from hoistsaddle.membership.membership import ALIVE
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.applied_versions import AppliedVersions
from hoistsaddle.registry.health_reports import HealthReports
from hoistsaddle.registry.node_monitor import NodeMonitor
from hoistsaddle.registry.peers import PeerRegistries
from hoistsaddle.registry.writer import NO_LEADER, Writer
from hoistsaddle.rpc.call_context import call_age
from hoistsaddle.rpc.message_names import counted_name
from hoistsaddle.rpc.messages import (
    UNSET,
    AppliedVersionsAnswer,
    AppliedVersionsCall,
    HealthCall,
    IndirectProbeCall,
    MemberState,
    PollAnswer,
    PollCall,
    ProbeCall,
    RaiseLevelAnswer,
    RaiseLevelCall,
    ReadAnswer,
    StatusAnswer,
    StatusCall,
    WriteAnswer,
    WriteCall,
)
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import LEVEL, ClaimKey, Command, CompleteKey, RegisterNode, ReleaseKey
from hoistsaddle.statemachine.encoding import pack_outcome, tag_of, unpack_command
from hoistsaddle.statemachine.state import GONE, NodeRecord
from hoistsaddle.statemachine.view import View, read_view

READ_INTERVAL = milliseconds(100)
REFRESH_TIMEOUT = milliseconds(900)
READ_ATTEMPT_TIMEOUT = milliseconds(350)
REPORT_TIMEOUT = timedelta(seconds=2)
STATUS_TIMEOUT = milliseconds(600)
WRITE_TIMEOUT = timedelta(seconds=3)
# A proxy waits half a second for its key claim at one registry, then calls the next one: a later result is of no use.
KEY_WRITE_TIMEOUT = milliseconds(450)
MONITOR_INTERVAL = milliseconds(200)
MONITOR_REFRESH_TIMEOUT = milliseconds(500)
LEVEL_PEER_TIMEOUT = milliseconds(300)
LEVEL_RAISE_TIMEOUT = milliseconds(700)
# Higher than any event number: a status call with it returns no events.
NO_EVENTS = 2**62
REGISTRY_KIND = "bourse"
PROXY_KIND = "stall"


class Registry:
    """One registry: its copy of the configuration, its membership, and its writer to the leader of the log."""

    def __init__(
        self,
        *,
        settings: RegistrySettings,
        runtime: Runtime,
        long_poll_timeout: timedelta = LONG_POLL_TIMEOUT,
        member_timings: MemberTimings = MemberTimings(),  # noqa: B008
    ) -> None:
        """Creates the parts; opens no listener before `start`.

        Args:
            settings: The settings of this process.
            runtime: Clock, randomness and connections.
            long_poll_timeout: How long a child's poll waits for an update.
            member_timings: Intervals and timeouts of the probes of other members.
        """
        self.long_poll_timeout = long_poll_timeout
        self.settings = settings
        self.runtime = runtime
        self.node = f"{REGISTRY_KIND}-{settings.replica}"
        self.level = settings.release_level or LEVEL
        self.incarnation = runtime.token(6)
        self.counters = Counters(owner=self.node)
        self.tasks = LifelongTasks(counters=self.counters, now=runtime.now)
        self.peers = self._peers()
        self.stores = self._stores()
        self.writer = Writer(
            name=self.node, stores=self.stores, initial_store=settings.replica, runtime=runtime, counters=self.counters
        )
        lease_span = timedelta(seconds=settings.lease_seconds)
        self.relay = Relay(node=self.node, incarnation=self.incarnation, lease_span=lease_span)
        self.view = View()
        # When each incarnation of a node was first seen as gone: its last lease may expire some time after that update.
        self.gone_first_seen: dict[tuple[str, str], timedelta] = {}
        self.configuration_changed = asyncio.Condition()
        self.node_monitor = NodeMonitor(node=self.node, health_span=timedelta(seconds=settings.health_seconds))
        me = MemberState(self.node, REGISTRY_KIND, settings.listen, settings.zone, self.incarnation, 0, ALIVE)
        self.member = Member(
            me=me,
            seeds=[address for address in self.peers.values() if address != settings.listen],
            runtime=runtime,
            counters=self.counters,
            timings=member_timings,
        )
        self.other_registries = PeerRegistries(addresses=self.peers, own_address=settings.listen, runtime=runtime)
        self.applied_versions = AppliedVersions(
            node=self.node, relay=self.relay, peers=self.other_registries, runtime=runtime, lease_span=lease_span
        )
        self.health_reports = HealthReports(
            node=self.node,
            view=lambda: self.view,
            relay=self.relay,
            node_monitor=self.node_monitor,
            writer=self.writer,
            peers=self.other_registries,
            runtime=runtime,
            counters=self.counters,
        )

    def _peers(self) -> dict[int, str]:
        """The registries' mesh addresses by replica number."""
        return {machine.replica: machine.registry for machine in self.settings.core}

    def _stores(self) -> dict[int, str]:
        """The stores' mesh addresses by replica number."""
        return {machine.replica: machine.store for machine in self.settings.core}

    async def start(self) -> None:
        """Opens the mesh address and starts the tasks that read the configuration, probe members and monitor nodes."""
        self.server = await self.runtime.serve(self.settings.listen, self.answer)
        self.tasks.start("membership", self.member.run)
        self.tasks.start("configuration", self._follow_configuration)
        self.tasks.start("node monitor", self._run_node_monitor)
        self.tasks.start("registration", self._register)
        # Events' names are part of the operators' interface.
        self.counters.record_event("bourse up", incarnation=self.incarnation)

    async def stop(self) -> None:
        """Cancels all tasks and closes all connections at once."""
        self.tasks.cancel()
        self.writer.stop()
        self.member.stop()
        await self.server.stop()
        self.runtime.rpc_client.close()

    # -- the copy of the configuration -------------------------------------------------------------------------------

    async def _follow_configuration(self) -> None:
        while True:
            await self.refresh(within=REFRESH_TIMEOUT)
            await asyncio.sleep(READ_INTERVAL.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        """Reads the configuration once, confirmed by the leader; the lease starts when the read was sent.

        Returns:
            Whether a read succeeded within the time.
        """
        deadline = self.runtime.now() + within
        while self.runtime.now() < deadline:
            sent_at = self.runtime.now()
            match await self.writer.read(
                part="news", known_revision=self.relay.known_revision(), within=READ_ATTEMPT_TIMEOUT
            ):
                case Success(ReadAnswer() as answer):
                    await self._apply_read(answer, sent_at)
                    return True
            self.counters.add("news.reads_missed")
        return False

    async def _apply_read(self, answer: ReadAnswer, sent_at: timedelta) -> None:
        mesh, items = "", None
        if answer.content:
            mesh, plain = msgspec.msgpack.decode(answer.content)
            items = {key: (revision, value) for key, (revision, value) in plain.items()}
        was_fresh = self.relay.fresh(now=self.runtime.now())
        if self.relay.accept_read(
            asked=sent_at,
            mesh=mesh,
            revision=answer.revision,
            items=items,
            expected_digests=answer.digests,
            epoch=answer.epoch,
        ):
            self._update_view()
            self.counters.record_event(
                "news", revision=self.view.revision, in_force=self.view.bundle_number, rolling=self.view.rolling
            )
        if self.relay.fresh(now=self.runtime.now()) and not was_fresh:
            self.counters.record_event("lease fresh", revision=self.relay.copy.revision)
        await self._notify_children()

    def _update_view(self) -> None:
        """Derives the view from the copy of the configuration."""
        self.view = read_view(
            revision=self.relay.copy.revision,
            items=self.relay.copy.items,
            node=self.node,
            zone=self.settings.zone,
            before=self.view,
        )
        self._track_gone_nodes()

    async def _notify_children(self) -> None:
        """Wakes the long polls that wait for an update."""
        async with self.configuration_changed:
            self.configuration_changed.notify_all()

    def _track_gone_nodes(self) -> None:
        gone = {(node.node, node.incarnation) for node in self.view.nodes.values() if node.state == GONE}
        now = self.runtime.now()
        self.gone_first_seen = {each: self.gone_first_seen.get(each, now) for each in sorted(gone)}

    def proxies_with_possible_lease(self) -> list[NodeRecord]:
        """Every proxy that may still hold a lease: the live ones, and those seen as gone for less than a lease span."""
        span = self.applied_versions.longest_lease()
        now = self.runtime.now()
        return [
            node
            for node in self.view.nodes.values()
            if node.kind == PROXY_KIND
            and (node.state != GONE or now - self.gone_first_seen.get((node.node, node.incarnation), now) < span)
        ]

    # -- calls from the mesh -----------------------------------------------------------------------------------------

    async def answer(self, message: tuple) -> tuple | None:
        """Answers a call of another process; None if registries don't handle this message."""
        self.counters.add(f"calls.{counted_name(message)}")
        match message:
            case PollCall():
                return await self._poll(message)
            case HealthCall():
                return await self.health_reports.answer(message)
            case WriteCall(payloads=payloads):
                return await self._write_for_proxy(payloads)
            case AppliedVersionsCall():
                return AppliedVersionsAnswer(self.relay.known_applied_versions(now=self.runtime.now()), self.level)
            case ProbeCall() | IndirectProbeCall():
                return await self.member.answer(message)
        return None

    async def _poll(self, call: PollCall) -> PollAnswer:
        self.relay.record_applied_versions(call.applied_versions, now=self.runtime.now())
        return await answer_long_poll(
            runtime=self.runtime,
            relay=self.relay,
            updated=self.configuration_changed,
            call=call,
            hold=self.long_poll_timeout,
        )

    async def _write_for_proxy(self, payloads: tuple[bytes, ...]) -> WriteAnswer:
        for payload in payloads:
            # Proxies may only write idempotency keys; the registry makes all other writes itself.
            if not isinstance(unpack_command(payload), ClaimKey | CompleteKey | ReleaseKey):
                return WriteAnswer(str(ErrorKind.NOT_ALLOWED), UNSET)
        remaining = KEY_WRITE_TIMEOUT - timedelta(seconds=call_age().age)
        if remaining <= timedelta():
            # The call waited here for so long that its sidecar has timed out: logging it would only delay the others.
            self.counters.add("writes.stale")
            return WriteAnswer(str(ErrorKind.QUEUE_FULL), UNSET)
        results = await self.writer.write_payloads(payloads, within=remaining)
        outcomes = [result.unwrap() for result in results if isinstance(result, Success)]
        if len(outcomes) < len(results):
            errors = {str(result.failure().kind) for result in results if isinstance(result, Failure)}
            # If the log accepted only part of a batch, the rest may be logged too: the proxy retries the whole batch.
            error = str(ErrorKind.UNSURE) if outcomes or len(errors) > 1 else errors.pop()
            return WriteAnswer(error, UNSET)
        # The answer names the leader: a caller that sends its next call to the leader's machine saves a hop.
        return WriteAnswer("", self.writer.leader, tuple(pack_outcome(outcome) for outcome in outcomes))

    # -- node monitoring ---------------------------------------------------------------------------------------------

    async def _register(self) -> None:
        """Registers this incarnation of the registry as a node of the mesh, once there is a mesh."""
        while True:
            known = self.view.nodes.get(self.node)
            if self.relay.fresh(now=self.runtime.now()) and (known is None or known.incarnation != self.incarnation):
                await self.writer.write(
                    RegisterNode(
                        self.node,
                        REGISTRY_KIND,
                        self.settings.listen,
                        self.settings.zone,
                        self.incarnation,
                        "alive",
                        seen_revision=self.relay.copy.revision,
                        level=self.level,
                    ),
                    within=WRITE_TIMEOUT,
                )
            await asyncio.sleep(MONITOR_INTERVAL.total_seconds())

    async def _run_node_monitor(self) -> None:
        """Monitors the nodes while this registry has that role, and raises the release level once all support it."""
        while True:
            await asyncio.sleep(MONITOR_INTERVAL.total_seconds())
            now = self.runtime.now()
            live = [member.node for member in self.member.core.alive(kind=REGISTRY_KIND)]
            commands = self.node_monitor.handle(
                view=self.view, live_registries=live, fresh=self.relay.fresh(now=now), now=now
            )
            for command in commands:
                await self._write_monitor_command(command)
            if commands:
                await self.refresh(within=MONITOR_REFRESH_TIMEOUT)
            if self.node_monitor.should_raise_level(view=self.view, level=self.level, now=now):
                await self._raise_level()

    async def _write_monitor_command(self, command: Command) -> None:
        what = tag_of(command)
        match await self.writer.write(command, within=WRITE_TIMEOUT):
            case Success(outcome) if not outcome.error:
                about = getattr(command, "proxy", "") or getattr(command, "node", "")
                self.counters.record_event("duty done", what=what, about=about)
            case Success(outcome):
                self.counters.record_event("duty refused", what=what, mishap=outcome.error)

    async def _raise_level(self) -> None:
        """Asks the leader, which asks the voters, to raise the level if all other registries support it too."""
        answers = await self.other_registries.call_others(AppliedVersionsCall(self.node), within=LEVEL_PEER_TIMEOUT)
        if all(isinstance(answer, AppliedVersionsAnswer) and answer.level >= self.level for answer in answers):
            leader = self.stores[self.writer.leader]
            match await self.runtime.rpc_client.call(leader, RaiseLevelCall(self.level), within=LEVEL_RAISE_TIMEOUT):
                case Success(RaiseLevelAnswer(error=error)):
                    self.counters.add(f"release.{error or 'raised'}")

    # -- reads for operators -----------------------------------------------------------------------------------------

    async def read_configuration(self, *, part: str = "setup") -> Result[ReadAnswer, MeshError]:
        """One part of the state as JSON, confirmed by the leader."""
        result = await self.writer.read(part=part, known_revision=UNSET, within=REPORT_TIMEOUT)
        return result if isinstance(result, Success) else Failure(NO_LEADER)

    async def store_statuses(self, *, after_event: int = NO_EVENTS) -> dict[int, StatusAnswer | None]:
        """The status of each core machine's store by replica number; None for a store that doesn't answer in time.

        Args:
            after_event: The statuses include the stores' events above this number.
        """
        # Copied because replicas may be added while the calls are in flight.
        stores = dict(self.stores)
        call = StatusCall(self.node, after_event)
        answers = await asyncio.gather(
            *(self.runtime.rpc_client.call(address, call, within=STATUS_TIMEOUT) for address in stores.values())
        )
        statuses: dict[int, StatusAnswer | None] = {}
        for replica, answer in zip(stores, answers, strict=True):
            status = answer.value_or(None)
            statuses[replica] = status if isinstance(status, StatusAnswer) else None
        return statuses
