"""Clients that don't behave end no process: memory and descriptors stay within the machine, others get answers."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from crowds import CROWDS, FD_LIMIT, MEMORY_MB, Deployment, Seen
from hoistsaddle.testbed.emulator.platform_adapter import adapter


async def pressed(role: str, port: int, names: tuple[str, ...]) -> Seen:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-crowd-") as folder:
        deployment = Deployment(Path(folder))
        await deployment.start()
        try:
            return await deployment.press(role, port, [CROWDS[name] for name in names])
        finally:
            await deployment.end()


class CrowdCase(TestCase):
    def check(self, role: str, port: int, *names: str) -> None:
        seen = asyncio.run(pressed(role, port, names))
        print(role, port, names, seen)
        self.assertThat((seen.alive, seen.answered), Equals((True, True)), str(seen))
        self.assertThat(seen.peak_mb, LessThan(MEMORY_MB), str(seen))
        self.assertThat(seen.descriptors, LessThan(FD_LIMIT), str(seen))


class AtTheClientsListener(CrowdCase):
    """Guards against bytes of clients that are held before they are counted (issue 44, second matter)."""

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
    """The same at listeners that take small calls: heartbeats, readiness checks, operators' orders."""

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
