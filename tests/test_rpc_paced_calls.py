"""Paced calls: they use a separate connection, arrive completely or not at all, and don't delay other calls."""

import asyncio
from datetime import timedelta

from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.messages import AbandonAnswer, AbandonCall, ForwardAnswer, ForwardCall
from hoistsaddle.rpc.server import RpcServer
from stepped_clock import run_stepped, step

TIMEOUT = timedelta(seconds=10)
RATE = 100_000
# Takes two seconds at that rate: longer than the keep-alive timeout.
BODY = b"x" * 200_000
UPLOAD = ForwardCall("a", "decks", "s-1", "i", TIMEOUT, TIMEOUT, 1, "pack", "POST", b"/", b"", BODY, "decks", "t")
KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))


class PacedCalls(TestCase):
    """Paced calls to a server that records which calls arrive, and when."""

    def setUp(self) -> None:
        super().setUp()
        self.arrived: list[tuple[str, float]] = []

    async def answer(self, message: tuple) -> tuple:
        kind = type(message).__name__
        self.arrived.append((kind, round(asyncio.get_running_loop().time() - self.began, 1)))
        if isinstance(message, ForwardCall):
            assert message.body == BODY
            return ForwardAnswer(message.attempt_id, "answered")
        return AbandonAnswer(True)

    async def open(self) -> RpcClient:
        self.began = asyncio.get_running_loop().time()
        self.server = RpcServer(address="127.0.0.1:0", handler=self.answer)
        await self.server.start()
        assert self.server._server is not None
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return RpcClient(keep_alive=KEEP_ALIVE)

    async def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            await step(0.02)
            for _ in range(20):
                await asyncio.sleep(0)

    def test_small_calls_do_not_wait_behind_a_large_one(self) -> None:
        async def run() -> None:
            client = await self.open()
            upload = asyncio.ensure_future(client.call(self.address, UPLOAD, within=TIMEOUT, rate=RATE))
            await self.pass_time(1.0)
            small = await client.call(self.address, AbandonCall("b"), within=TIMEOUT)
            self.assertThat(small, Equals(Success(AbandonAnswer(True))))
            await self.pass_time(1.5)
            self.assertThat(await upload, Equals(Success(ForwardAnswer("a", "answered"))))
            client.close()
            await self.server.stop()

        run_stepped(run())
        self.assertThat(self.arrived, Equals([("AbandonCall", 1.0), ("ForwardCall", 2.0)]))

    def test_an_interrupted_call_does_not_arrive_and_the_next_one_does(self) -> None:
        async def run() -> None:
            client = await self.open()
            late = asyncio.ensure_future(client.call(self.address, UPLOAD, within=timedelta(seconds=1), rate=RATE))
            await self.pass_time(1.1)
            self.assertThat((await late).failure().kind, Equals("silent"))
            upload = asyncio.ensure_future(client.call(self.address, UPLOAD, within=TIMEOUT, rate=RATE))
            await self.pass_time(2.5)
            self.assertThat(await upload, Equals(Success(ForwardAnswer("a", "answered"))))
            client.close()
            await self.server.stop()

        run_stepped(run())
        self.assertThat([kind for kind, _ in self.arrived], Equals(["ForwardCall"]))

    def test_two_calls_to_one_process_arrive_completely_and_one_after_the_other(self) -> None:
        async def run() -> None:
            client = await self.open()
            calls = [
                asyncio.ensure_future(client.call(self.address, UPLOAD, within=TIMEOUT, rate=RATE)) for _ in range(2)
            ]
            await self.pass_time(4.5)
            for call in calls:
                self.assertThat(await call, Equals(Success(ForwardAnswer("a", "answered"))))
            client.close()
            await self.server.stop()

        run_stepped(run())
        self.assertThat(self.arrived, Equals([("ForwardCall", 2.0), ("ForwardCall", 4.0)]))
