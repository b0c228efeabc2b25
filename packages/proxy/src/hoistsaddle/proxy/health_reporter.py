"""Reports of the local server's state to the registries: a heartbeat, and at once what changed."""

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
    """Reports to the node that watches the fleet first, and to the registries while that one doesn't answer."""

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
        """Begin with nothing reported.

        Args:
            runtime: clock and connections.
            counters: what operators read.
            core: whose server is reported.
            relay: whose copy's revision goes with the report.
            registries: which are tried, in their order.
            address: where other proxies reach this one.
            level: the highest release level that this process supports.
            interval: between two reports while nothing changes.
            backoff: between two rounds over all addresses without an answer.
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
        # The newest acknowledged report's serial number, and the state that the log has for the server.
        self.acknowledged = (0, "")
        self._recorded = asyncio.Condition()

    def stop_acknowledged(self) -> bool:
        """Whether the log knows that the server leaves, or there is none."""
        serial, state = self.acknowledged
        return self._core.server is None or (serial >= self._core.serial and state != READY)

    async def wait_recorded(self, serial: int, *, within: timedelta) -> bool:
        """Wait until the log has the report of this serial number or a later one.

        Args:
            serial: of the report.
            within: how long to wait at most.

        Returns:
            Whether the log has it.
        """
        try:
            async with asyncio.timeout(within.total_seconds()), self._recorded:
                await self._recorded.wait_for(lambda: self.acknowledged[0] >= serial)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Report for as long as the process runs."""
        turn = 0
        while True:
            call = self._call()
            addresses = self._addresses()
            self.due.clear()
            address = addresses[turn % len(addresses)]
            match await self._runtime.rpc_client.call(address, call, within=REPORT_TIMEOUT):
                case Success(HealthAnswer(error="") as answer):
                    self.acknowledged = (call.serial, answer.state)
                    async with self._recorded:
                        self._recorded.notify_all()
                    self._backoff.reset()
                    turn = 0
                case _:
                    self._counters.add("vitals.missed")
                    turn += 1
                    if turn % len(addresses) == 0:
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
        """Return whom to report to, in this order and each once: asking a silent one twice takes a whole span."""
        return list(dict.fromkeys(self._watcher() + self._registries.addresses))

    def _watcher(self) -> list[str]:
        """Return the address of the node that watches the fleet, if that is known."""
        role = self._core.view.singleton_roles.get(NODE_MONITOR_ROLE)
        node = self._core.view.nodes.get(role.node) if role is not None else None
        return [node.address] if node is not None else []
