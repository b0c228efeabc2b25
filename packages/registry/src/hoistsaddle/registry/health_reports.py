"""Heartbeats of proxies: recorded by the registry that monitors the nodes, and logged when they report a change."""

from collections.abc import Callable
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.node_monitor import NodeMonitor
from hoistsaddle.registry.peers import PeerRegistries
from hoistsaddle.registry.writer import Writer
from hoistsaddle.rpc.messages import HealthAnswer, HealthCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import RegisterNode, RegisterServer
from hoistsaddle.statemachine.state import NODE_MONITOR_ROLE, ServerRecord
from hoistsaddle.statemachine.view import View

FORWARD_TIMEOUT = milliseconds(600)
WRITE_TIMEOUT = timedelta(seconds=3)
ALIVE = "alive"
PROXY_KIND = "stall"


def _refuse(kind: str) -> HealthAnswer:
    return HealthAnswer(kind, "", 0)


class HealthReports:
    """Handles the heartbeats of proxies for one registry."""

    def __init__(
        self,
        *,
        node: str,
        view: Callable[[], View],
        relay: Relay,
        node_monitor: NodeMonitor,
        writer: Writer,
        peers: PeerRegistries,
        runtime: Runtime,
        counters: Counters,
    ) -> None:
        """Uses the parts of the registry with this node name; `view` returns its newest view."""
        self.node = node
        self.view = view
        self.relay = relay
        self.node_monitor = node_monitor
        self.writer = writer
        self.peers = peers
        self.runtime = runtime
        self.counters = counters

    async def answer(self, call: HealthCall) -> HealthAnswer:
        """Forwards a heartbeat to the registry that monitors the nodes; records it here if that one doesn't answer."""
        role = self.view().singleton_roles.get(NODE_MONITOR_ROLE)
        if role is not None and role.node != self.node:
            # The monitoring registry must receive every heartbeat; forwarding serves proxies that don't know it yet.
            address = self.peers.address_of(role.node)
            match await self.runtime.rpc_client.call(address, call, within=FORWARD_TIMEOUT):
                case Success(HealthAnswer() as answer):
                    return answer
        return await self.record(call)

    async def record(self, call: HealthCall) -> HealthAnswer:
        """Records a heartbeat here and logs what it changes; answers without an error only once that is committed."""
        if not self.relay.fresh(now=self.runtime.now()):
            # This copy's record of the proxy may be out of date, so an acknowledgement could be wrong.
            self.counters.add("vitals.not_fresh")
            return _refuse(ErrorKind.NO_LEADER.value)
        self.node_monitor.record_heartbeat(call.node, now=self.runtime.now())
        self.node_monitor.levels[call.node] = (call.incarnation, call.level)
        # Only changes are logged; a heartbeat that matches the log needs no write.
        if (refused := await self._log_node(call)) is not None:
            return refused
        if not call.service_name:
            return HealthAnswer("", "", call.serial)
        if not await self._log_server(call):
            return _refuse(ErrorKind.NO_LEADER.value)
        return HealthAnswer("", call.state, call.serial)

    async def _log_node(self, call: HealthCall) -> HealthAnswer | None:
        """Logs the proxy as alive unless the log agrees already; returns the refusal if that fails, else None."""
        node = self.view().nodes.get(call.node)
        reported = (call.address, call.zone, call.incarnation, ALIVE)
        if node is not None and (node.address, node.zone, node.incarnation, node.state) == reported:
            return None
        command = RegisterNode(call.node, PROXY_KIND, *reported, seen_revision=call.seen, level=call.level)
        match await self.writer.write(command, within=WRITE_TIMEOUT):
            case Success(outcome) if not outcome.error and not outcome.detail.get("old"):
                # Events' names and details are part of the operators' interface.
                self.counters.record_event("stall noted", stall=call.node)
                return None
            case Success(outcome):
                # The release is too old, or the report is older than a purge of the log: it is not recorded.
                self.counters.add(f"vitals.{outcome.error or 'old'}")
                return _refuse(outcome.error or ErrorKind.UNSURE.value)
            case _:
                return _refuse(ErrorKind.NO_LEADER.value)

    async def _log_server(self, call: HealthCall) -> bool:
        """Logs the server of the proxy unless the log agrees already; returns whether the log is up to date."""
        server = self.view().servers.get(call.node)
        if server is not None and _matches_record(server, call):
            return True
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
                changed = server is None or server.state != call.state or server.instance != call.instance
                if changed and not outcome.detail.get("old"):
                    self.counters.record_event(
                        "server noted",
                        stall=call.node,
                        service=call.service_name,
                        instance=call.instance,
                        state=call.state,
                    )
                return True
        return False


def _matches_record(server: ServerRecord, call: HealthCall) -> bool:
    logged = (server.service, server.instance, server.address, server.zone, server.state, server.incarnation)
    return logged == (call.service_name, call.instance, call.server, call.zone, call.state, call.incarnation)
