"""Reports the local server's state to the registries, as a heartbeat and immediately after a change."""

import asyncio
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.messages import HealthAnswer, HealthCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.state import NODE_MONITOR_ROLE, READY

REPORT_TIMEOUT = milliseconds(900)


class HealthReporter:
    """Reports to the node monitor, and to the other registries while the monitor doesn't answer."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        counters: Counters,
        core: CoreState,
        relay: Relay,
        registries: RegistryAddresses,
        address: str,
        level: int,
        interval: timedelta,
        backoff: ExponentialBackoff,
    ) -> None:
        """Start without any report.

        Args:
            runtime: clock and connections.
            counters: counters of the process, which operators read.
            core: its local server's state is reported.
            relay: its configuration revision is sent with each report.
            registries: the registries to try, in order.
            address: address at which other proxies reach this one.
            level: the highest release level that this process supports.
            interval: interval between reports while nothing changes.
            backoff: wait after a round over all addresses without an answer.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._relay = relay
        self._registries = registries
        self._address = address
        self._level = level
        self._interval = interval
        self._backoff = backoff
        self.due = asyncio.Event()
        # The serial number of the newest acknowledged report, and the state that the log records for the server.
        self.acknowledged = (0, "")
        self._recorded = asyncio.Condition()

    def stop_acknowledged(self) -> bool:
        """Whether the log has recorded that the server is leaving, or there is no server."""
        serial, state = self.acknowledged
        return self._core.server is None or (serial >= self._core.serial and state != READY)

    async def wait_recorded(self, serial: int, *, within: timedelta) -> bool:
        """Wait until the log has recorded the report with this serial number or a later one.

        Args:
            serial: serial number of the report.
            within: the longest wait.

        Returns:
            Whether the log has recorded it.
        """
        try:
            async with asyncio.timeout(within.total_seconds()), self._recorded:
                await self._recorded.wait_for(lambda: self.acknowledged[0] >= serial)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Report until the process ends."""
        attempt = 0
        while True:
            call = self._call()
            addresses = self._addresses()
            self.due.clear()
            address = addresses[attempt % len(addresses)]
            match await self._runtime.rpc_client.call(address, call, within=REPORT_TIMEOUT):
                case Success(HealthAnswer(error="") as answer):
                    self.acknowledged = (call.serial, answer.state)
                    async with self._recorded:
                        self._recorded.notify_all()
                    self._backoff.reset()
                    attempt = 0
                case _:
                    self._counters.add("vitals.missed")
                    attempt += 1
                    if attempt % len(addresses) == 0:
                        self._backoff.failed(now=self._runtime.now())
                    await asyncio.sleep(self._backoff.delay.total_seconds())
                    continue
            try:
                async with asyncio.timeout(self._interval.total_seconds()):
                    await self.due.wait()
            except TimeoutError:
                pass

    def _call(self) -> HealthCall:
        core, server = self._core, self._core.server
        return HealthCall(
            core.settings.name,
            core.settings.incarnation,
            self._address,
            core.settings.zone,
            server.service if server else "",
            server.instance if server else "",
            server.address if server else "",
            core.server_state() if server else "",
            core.serial,
            self._relay.copy.revision,
            self._level,
        )

    def _addresses(self) -> list[str]:
        """Return the addresses to try in order, each once: trying a silent one twice would take a whole health span."""
        return list(dict.fromkeys(self._node_monitor_addresses() + self._registries.addresses))

    def _node_monitor_addresses(self) -> list[str]:
        """Return the address of the node monitor, if it is known."""
        role = self._core.view.singleton_roles.get(NODE_MONITOR_ROLE)
        node = self._core.view.nodes.get(role.node) if role is not None else None
        return [node.address] if node is not None else []
