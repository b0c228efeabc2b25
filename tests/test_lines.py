"""Lines between processes: pulses that tell a silent machine from a slow one, and calls that never leave home."""

import asyncio
import struct
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.haggle.line import Lines, LineServer, Pulse
from hoistsaddle.haggle.parcels import ProbeAnswer, ProbeCall, PulseCall, pack, unpack
from hoistsaddle.haggle.runtime import RealRuntime
from hoistsaddle.tally.mishaps import MishapKind
from hoistsaddle.tally.moments import milliseconds

PULSE = Pulse(every=milliseconds(20), span=milliseconds(70))
CALL = ProbeCall("asker", ())
ANSWER = ProbeAnswer("answerer", ())


def run(work: Coroutine[Any, Any, Any]) -> Any:
    async def within() -> Any:
        return await asyncio.wait_for(work, 10)

    return asyncio.run(within())


class Raw:
    """A peer that reads whole frames and answers as the test says."""

    def __init__(self, behave: Callable[[int, Any, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.behave = behave
        self.heard: list[tuple[int, Any]] = []

    async def __aenter__(self) -> "Raw":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                (length,) = struct.unpack("!I", await reader.readexactly(4))
                number, _, message = unpack(await reader.readexactly(length))
                self.heard.append((number, message))
                await self.behave(number, message, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    def pulses(self) -> int:
        return sum(isinstance(message, PulseCall) for _, message in self.heard)


def say(writer: asyncio.StreamWriter, number: int, message: tuple) -> None:
    data = pack(number=number, answer=True, message=message)
    writer.write(struct.pack("!I", len(data)) + data)


async def nothing(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
    pass


class Pulses(TestCase):
    async def timed(self, lines: Lines, address: str, *, within: float = 3.0) -> tuple[Any, float]:
        loop = asyncio.get_running_loop()
        began = loop.time()
        told = await lines.call(address, CALL, within=timedelta(seconds=within))
        return told, loop.time() - began

    def test_a_peer_that_says_nothing_is_given_up_long_before_the_budget(self) -> None:
        async def work() -> None:
            lines = Lines(pulse=PULSE)
            async with Raw(nothing) as raw:
                told, took = await self.timed(lines, raw.address)
                self.assertThat(told, IsInstance(Failure))
                self.assertThat(told.failure().kind, Equals(MishapKind.SILENT))
                self.assertThat((took < 1.5, raw.pulses() >= 1), Equals((True, True)), f"{took} {raw.pulses()}")
            lines.close()

        run(work())

    def test_without_pulses_the_whole_budget_is_waited_out(self) -> None:
        async def work() -> None:
            lines = Lines()
            async with Raw(nothing) as raw:
                told, took = await self.timed(lines, raw.address, within=0.3)
                self.assertThat(told.failure().kind, Equals(MishapKind.SILENT))
                self.assertThat((took >= 0.28, raw.pulses()), Equals((True, 0)))
            lines.close()

        run(work())

    def test_a_slow_answer_is_waited_for_while_the_pulse_is_felt(self) -> None:
        async def handler(message: tuple) -> tuple:
            await asyncio.sleep(0.4)
            return ANSWER

        async def work() -> None:
            lines = Lines(pulse=PULSE)
            server = LineServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            told, took = await self.timed(lines, f"127.0.0.1:{port}")
            self.assertThat((told, took >= 0.4), Equals((Success(ANSWER), True)))
            lines.close()
            await server.stop()

        run(work())

    def test_a_line_that_nobody_waits_on_has_no_pulse(self) -> None:
        async def answering(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
            say(writer, number, ANSWER)

        async def work() -> None:
            lines = Lines(pulse=PULSE)
            async with Raw(answering) as raw:
                for _ in range(3):
                    told, _ = await self.timed(lines, raw.address)
                    self.assertThat(told, Equals(Success(ANSWER)))
                heard = len(raw.heard)
                await asyncio.sleep(0.15)
                self.assertThat(len(raw.heard), Equals(heard))
                # And is as good as new afterwards.
                self.assertThat((await self.timed(lines, raw.address))[0], Equals(Success(ANSWER)))
            lines.close()

        run(work())

    def test_all_calls_of_a_dead_line_end_and_the_next_one_opens_anew(self) -> None:
        async def work() -> None:
            lines = Lines(pulse=PULSE)
            silent = True

            async def behave(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
                if not silent and not isinstance(message, PulseCall):
                    say(writer, number, ANSWER)

            async with Raw(behave) as raw:
                told = await asyncio.gather(*(self.timed(lines, raw.address) for _ in range(5)))
                self.assertThat({each.failure().kind for each, _ in told}, Equals({MishapKind.SILENT}))
                silent = False
                self.assertThat((await self.timed(lines, raw.address))[0], Equals(Success(ANSWER)))
            lines.close()

        run(work())

    def test_whoever_was_late_itself_gives_nobody_up_for_it(self) -> None:
        async def work() -> None:
            lines = Lines(pulse=PULSE)

            async def handler(message: tuple) -> tuple:
                await asyncio.sleep(0.1)
                return ANSWER

            server = LineServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            call = asyncio.ensure_future(self.timed(lines, f"127.0.0.1:{port}"))
            await asyncio.sleep(0.03)
            connection = next(iter(lines._connections.values()))
            # As after a freeze of this process: nothing was read for far longer than a pulse's span.
            connection.heard -= 5
            connection._feel()
            self.assertThat(connection.closed, Equals(False))
            self.assertThat((await call)[0], Equals(Success(ANSWER)))
            lines.close()
            await server.stop()

        run(work())


class Home(TestCase):
    def test_a_call_to_an_address_of_ones_own_never_touches_the_network(self) -> None:
        async def work() -> None:
            lines = Lines()

            async def handler(message: tuple) -> tuple:
                return ANSWER if message == CALL else None

            # Nobody listens there.
            lines.home["127.0.0.1:1"] = handler
            told = await lines.call("127.0.0.1:1", CALL, within=timedelta(seconds=1))
            self.assertThat(told, Equals(Success(ANSWER)))
            self.assertThat(lines._connections, Equals({}))
            # "No answer" at home is silence, as on a line.
            silent = await lines.call("127.0.0.1:1", ProbeCall("other", ()), within=timedelta(seconds=1))
            self.assertThat(silent.failure().kind, Equals(MishapKind.SILENT))

        run(work())

    def test_whoever_stops_waiting_does_not_stop_the_work(self) -> None:
        async def work() -> None:
            lines = Lines()
            done = []

            async def handler(message: tuple) -> tuple:
                await asyncio.sleep(0.1)
                done.append(message)
                return ANSWER

            lines.home["home"] = handler
            told = await lines.call("home", CALL, within=timedelta(seconds=0.02))
            self.assertThat((told.failure().kind, done), Equals((MishapKind.SILENT, [])))
            await asyncio.sleep(0.15)
            self.assertThat(done, Equals([CALL]))

        run(work())

    def test_what_is_no_longer_wanted_is_not_called(self) -> None:
        async def work() -> None:
            lines = Lines()
            called = []

            async def handler(message: tuple) -> tuple:
                called.append(message)
                return ANSWER

            lines.home["home"] = handler
            told = await lines.call("home", CALL, within=timedelta(seconds=1), still=lambda: False)
            self.assertThat((told.failure().kind, called), Equals((MishapKind.UNREACHABLE, [])))

        run(work())

    def test_only_a_runtime_that_was_asked_to_knows_its_home(self) -> None:
        async def handler(message: tuple) -> tuple:
            return ANSWER

        async def work() -> None:
            for home in (True, False):
                runtime = RealRuntime(home=home)
                server = await runtime.serve("127.0.0.1:0", handler)
                self.assertThat("127.0.0.1:0" in runtime.lines.home, Equals(home))
                await server.stop()

        run(work())
