"""Crowds at every listener and way out: memory with unread bytes and descriptors stay bounded, others are answered."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from crowds import FD_LIMIT, MEMORY_MB
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hostile_crowds import (
    CROWDS,
    MESH_PORT,
    Answer,
    HostileDeployment,
    Outcome,
    answer_head_without_end,
    answer_in_pieces,
    large_answer,
    short_answer,
)
from largest_request import MEMORY_MB as LARGEST_REQUEST_MEMORY_MB
from largest_request import LargestRequest


async def outcome_of(name: str, port: int, crowds: tuple[str, ...], *, answer: Answer, with_caller: bool) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-crowd-") as folder:
        deployment = HostileDeployment(Path(folder), answer=answer, with_caller=with_caller)
        try:
            await deployment.start()
            return await deployment.observe(name, port, [CROWDS[crowd] for crowd in crowds])
        finally:
            await deployment.end()


class CrowdCase(TestCase):
    def check(
        self, name: str, port: int, *crowds: str, answer: Answer = short_answer, with_caller: bool = False
    ) -> None:
        outcome = asyncio.run(outcome_of(name, port, crowds, answer=answer, with_caller=with_caller))
        print(name, port, crowds, outcome)
        self.assertThat(outcome.answered, Equals(True), str(outcome))
        for each, state in outcome.processes.items():
            self.assertThat(state.alive, Equals(True), f"{each}: {outcome}")
            self.assertThat(state.peak_mb, LessThan(MEMORY_MB), f"{each}: {outcome}")
            self.assertThat(state.descriptors, LessThan(FD_LIMIT), f"{each}: {outcome}")


class AtTheClientsListener(CrowdCase):
    """Guards against pieces that cost more than their bytes, and bytes that are counted nowhere (issue 51)."""

    def test_many_bodies_short_of_their_end(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "many bodies short of their end")

    def test_heads_in_tiny_fields(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "tiny fields")

    def test_trailers(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "trailers")

    def test_chunk_extensions(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "chunk extensions")

    def test_many_chunks_of_one_byte(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "many chunks of one byte")

    def test_many_chunks_of_16_bytes(self) -> None:
        self.check("sidecar", adapter("samples").EGRESS, "many chunks of 16 bytes")


class AtTheOtherListeners(CrowdCase):
    """The same where heartbeats and operators' calls arrive."""

    def test_heartbeats(self) -> None:
        self.check("sidecar", adapter("samples").CONTROL, "tiny fields", "trailers", "many chunks of one byte")

    def test_orders(self) -> None:
        self.check("controller", adapter("samples").CONTROL, "tiny fields", "trailers", "many chunks of one byte")


class AtTheMeshPort(CrowdCase):
    """Guards against frames and connections of the mesh's own protocol that nobody counts (issue 51)."""

    def test_frames_at_a_sidecar(self) -> None:
        self.check("sidecar", MESH_PORT, "mesh frames short of their end")

    def test_frames_at_a_controller(self) -> None:
        self.check("controller", MESH_PORT, "mesh frames short of their end")

    def test_connections_at_a_sidecar(self) -> None:
        self.check("sidecar", MESH_PORT, "mesh connections")

    def test_connections_at_a_controller(self) -> None:
        self.check("controller", MESH_PORT, "mesh connections")


class WaysOut(CrowdCase):
    """Guards against answers of servers, and bodies on their way to them, that nobody counts (issue 51)."""

    def test_large_answers_that_are_not_read(self) -> None:
        egress = adapter("samples").EGRESS
        self.check("sidecar", egress, "requests whose answers are not read", answer=large_answer)

    def test_answers_in_pieces(self) -> None:
        egress = adapter("samples").EGRESS
        self.check("sidecar", egress, "requests whose answers are not read", answer=answer_in_pieces)

    def test_heads_of_answers_without_end(self) -> None:
        egress = adapter("samples").EGRESS
        self.check("sidecar", egress, "requests whose answers are not read", answer=answer_head_without_end)

    def test_requests_without_end(self) -> None:
        """Guards against clients whose requests wait in memory until others find no room (issue 64)."""
        self.check("sidecar", adapter("samples").EGRESS, "requests without end")

    def test_bodies_between_sidecars(self) -> None:
        self.check("caller", adapter("samples").EGRESS, "whole bodies of 12 MB", with_caller=True)

    def test_large_answers_between_sidecars(self) -> None:
        egress = adapter("samples").EGRESS
        self.check("caller", egress, "requests whose answers are not read", answer=large_answer, with_caller=True)


async def status_of_largest_request(*, in_chunks: bool, with_caller: bool) -> tuple[int, dict[str, float]]:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-largest-") as folder:
        deployment = LargestRequest(Path(folder), with_caller=with_caller)
        try:
            await deployment.start()
            return await deployment.send(in_chunks=in_chunks)
        finally:
            await deployment.end()


class InCalm(TestCase):
    """A single request at the pages' limits is served; limits against crowds must not refuse it (issue 51)."""

    def check(self, *, in_chunks: bool, with_caller: bool) -> None:
        status, peaks = asyncio.run(status_of_largest_request(in_chunks=in_chunks, with_caller=with_caller))
        print(status, peaks)
        self.assertThat(status, Equals(200))
        for peak in peaks.values():
            self.assertThat(peak, LessThan(LARGEST_REQUEST_MEMORY_MB), str(peaks))

    def test_the_largest_body_with_a_length(self) -> None:
        self.check(in_chunks=False, with_caller=False)

    def test_the_largest_body_in_chunks(self) -> None:
        self.check(in_chunks=True, with_caller=False)

    def test_the_largest_body_for_another_sidecars_server(self) -> None:
        self.check(in_chunks=False, with_caller=True)
