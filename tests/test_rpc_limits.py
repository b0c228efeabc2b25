"""Frames and connections at the mesh port count against the budget of the process before they are held."""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.common.byte_budget import COPIES_OF_A_BODY, OWN_MEMORY_BYTES, ByteBudget
from hoistsaddle.rpc.codec import pack
from hoistsaddle.rpc.messages import PingAnswer, PingCall
from hoistsaddle.rpc.server import RpcServer

MEGABYTE = 1024 * 1024
MAX_SECONDS = 30.0
Connect = Callable[[], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]


def ping() -> bytes:
    frame = pack(number=1, answer=False, message=PingCall(""))
    return struct.pack("!I", len(frame)) + frame


async def answer(message: tuple) -> tuple:
    return PingAnswer("")


class Limits(TestCase):
    """Guards against frames and connections of the mesh's own protocol that nobody counts (issue 51)."""

    def run_with(self, work: Callable[[Connect], Awaitable[None]], *, budget: ByteBudget) -> None:
        async def run() -> None:
            server = RpcServer(address="127.0.0.1:0", handler=answer, budget=budget)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
            async with asyncio.timeout(MAX_SECONDS):
                await work(lambda: asyncio.open_connection("127.0.0.1", port))
                while budget.held:
                    await asyncio.sleep(0.01)
            await server.stop()

        asyncio.run(run())

    async def is_answered(self, connect: Connect) -> bool:
        reader, writer = await connect()
        writer.write(ping())
        answered = len(await reader.readexactly(4)) == 4
        writer.close()
        return answered

    def test_a_frame_that_the_budget_has_no_room_for_closes_its_connection_only(self) -> None:
        own = OWN_MEMORY_BYTES / MEGABYTE
        budget = ByteBudget(memory_megabytes=own + COPIES_OF_A_BODY)

        async def work(connect: Any) -> None:
            frames = [await connect() for _ in range(3)]
            for _, writer in frames:
                writer.write(struct.pack("!I", 8 * MEGABYTE) + b"x" * (600 * 1024))
            first = asyncio.ensure_future(frames[0][0].read())
            others = [asyncio.ensure_future(reader.read()) for reader, _ in frames[1:]]
            await asyncio.wait([first, *others], return_when=asyncio.FIRST_COMPLETED)
            self.assertThat(budget.held, LessThan(3 * 600 * 1024))
            self.assertThat(await self.is_answered(connect), Equals(True))
            for _, writer in frames:
                writer.close()

        self.run_with(work, budget=budget)

    def test_a_connection_without_a_frame_is_closed_for_a_new_one(self) -> None:
        budget = ByteBudget(descriptors=16)

        async def work(connect: Any) -> None:
            silent = [await connect() for _ in range(4)]
            self.assertThat(await self.is_answered(connect), Equals(True))
            try:
                self.assertThat(await silent[0][0].read(), Equals(b""))
            except ConnectionResetError:
                pass
            for _, writer in silent:
                writer.close()

        self.run_with(work, budget=budget)

    def test_a_connection_with_a_frame_is_kept_and_a_new_one_closed(self) -> None:
        budget = ByteBudget(descriptors=16)

        async def work(connect: Any) -> None:
            kept = [await connect() for _ in range(4)]
            for reader, writer in kept:
                writer.write(ping())
                await reader.readexactly(4)
            reader, writer = await connect()
            try:
                self.assertThat(await reader.read(), Equals(b""))
            except ConnectionResetError:
                pass
            writer.close()
            for reader, writer in kept:
                writer.write(ping())
                await reader.readexactly(4)
                writer.close()

        self.run_with(work, budget=budget)
