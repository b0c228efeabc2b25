"""Heartbeats of a proxy while the node monitor is silent: another registry must get one within the health span."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.settings import ProxySettings
from hoistsaddle.proxy.health_reporter import HealthReporter
from hoistsaddle.proxy.mesh_node import HEALTH_MAX_BACKOFF, HEALTH_MIN_BACKOFF, NodeTimings
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.errors import no_response
from hoistsaddle.rpc.messages import HealthAnswer, HealthCall
from hoistsaddle.statemachine.state import NODE_MONITOR_ROLE
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

NODE_MONITOR, OTHER = "10.0.0.1:1", "10.0.0.2:1"
SETTINGS = ProxySettings(
    name="stall-1", zone="a", listen="10.0.1.1:1", clients="10.0.1.1:2", inner="10.0.1.1:3", seeds=[NODE_MONITOR, OTHER]
)
SECONDS = 20.0


class Registries:
    """Registries of which one gives no answer, and the others record the time of each heartbeat."""

    def __init__(self, *, loop: SimulatedTimeLoop, silent: str) -> None:
        self.loop = loop
        self.silent = silent
        self.received_at: list[float] = []
        self.called: list[str] = []

    async def call(self, address: str, message: HealthCall, *, within: timedelta) -> Result[tuple, MeshError]:
        self.called.append(address)
        if address == self.silent:
            await asyncio.sleep(within.total_seconds())
            return Failure(no_response(address))
        self.received_at.append(self.loop.time())
        return Success(HealthAnswer("", "", message.serial))


def heartbeats(registries: list[str]) -> Registries:
    """Run a proxy whose node monitor is silent with the registries in this order, and return what they received."""
    loop = SimulatedTimeLoop()
    answering = Registries(loop=loop, silent=NODE_MONITOR)
    view = SimpleNamespace(
        singleton_roles={NODE_MONITOR_ROLE: SimpleNamespace(node="bourse-1")},
        nodes={"bourse-1": SimpleNamespace(address=NODE_MONITOR)},
    )
    settings = SimpleNamespace(name=SETTINGS.name, incarnation="life", zone=SETTINGS.zone)
    reporter = HealthReporter(
        runtime=SimpleNamespace(now=loop.now, rpc_client=answering),
        counters=Counters(owner="stall-1"),
        core=SimpleNamespace(settings=settings, server=None, serial=1, view=view),
        relay=SimpleNamespace(copy=SimpleNamespace(revision=1)),
        registries=RegistryAddresses(seeds=registries),
        address=SETTINGS.listen,
        level=1,
        interval=NodeTimings().health_interval,
        backoff=ExponentialBackoff(least=HEALTH_MIN_BACKOFF, most=HEALTH_MAX_BACKOFF),
    )

    async def scenario() -> None:
        work = asyncio.ensure_future(reporter.run())
        await asyncio.sleep(SECONDS)
        work.cancel()

    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    return answering


class SilentNodeMonitor(TestCase):
    """Guards against a proxy that is recorded as gone because it tries a silent registry twice before another one."""

    def test_another_registry_gets_a_heartbeat_within_the_health_span(self) -> None:
        span = SETTINGS.health_seconds
        for order in ([NODE_MONITOR, OTHER], [OTHER, NODE_MONITOR]):
            received = [0.0, *(at - 1000.0 for at in heartbeats(order).received_at)]
            longest = max(later - earlier for earlier, later in zip(received, received[1:], strict=False))
            self.assertThat(longest, LessThan(span), str(order))

    def test_each_registry_is_tried_once_a_round(self) -> None:
        self.assertThat(
            heartbeats([NODE_MONITOR, OTHER]).called[:4], Equals([NODE_MONITOR, OTHER, NODE_MONITOR, OTHER])
        )
