"""Misbehaving clients against real processes: memory and descriptors stay within limits, others are answered."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from crowds import CROWDS, FD_LIMIT, MEMORY_MB, Deployment, ProcessState
from hoistsaddle.testbed.emulator.platform_adapter import adapter


async def state_under_crowds(role: str, port: int, names: tuple[str, ...]) -> ProcessState:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-crowd-") as folder:
        deployment = Deployment(Path(folder))
        await deployment.start()
        try:
            return await deployment.run_crowds(role, port, [CROWDS[name] for name in names])
        finally:
            await deployment.end()


class CrowdCase(TestCase):
    def check(self, role: str, port: int, *names: str) -> None:
        state = asyncio.run(state_under_crowds(role, port, names))
        print(role, port, names, state)
        self.assertThat((state.alive, state.answered), Equals((True, True)), str(state))
        self.assertThat(state.peak_mb, LessThan(MEMORY_MB), str(state))
        self.assertThat(state.descriptors, LessThan(FD_LIMIT), str(state))


class AtTheClientsListener(CrowdCase):
    """Guards against client data that is held in memory before it is counted (issue 44, second matter)."""

    def test_bodies_short_of_their_end(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "bodies short of their end")

    def test_complete_bodies(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "complete bodies")

    def test_large_chunks(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "large chunks")

    def test_chunks_of_one_byte(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "chunks of one byte")

    def test_heads_in_fields(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "heads in fields")

    def test_heads_in_a_line(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "heads in a line")

    def test_empty_lines(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "empty lines")

    def test_connections(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "connections")


class AtTheOtherListeners(CrowdCase):
    """The same at the listeners of heartbeats, readiness checks and operators' calls."""

    def test_heartbeats_bodies(self) -> None:
        self.check("sidecar", adapter("samples").CONTROL, "bodies short of their end", "large chunks")

    def test_heartbeats_heads(self) -> None:
        self.check("sidecar", adapter("samples").CONTROL, "heads in fields", "heads in a line", "empty lines")

    def test_readiness(self) -> None:
        self.check("sidecar", adapter("samples").READINESS, "heads in fields", "large chunks", "empty lines")

    def test_orders_bodies(self) -> None:
        self.check("controller", adapter("samples").CONTROL, "bodies short of their end", "large chunks")

    def test_orders_heads(self) -> None:
        self.check("controller", adapter("samples").CONTROL, "heads in fields", "heads in a line", "empty lines")
