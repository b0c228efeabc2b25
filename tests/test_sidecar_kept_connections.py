"""Pooled connections to a server: when they are reused, and when they are closed.

The clock advances only by the steps of the test.
"""

import asyncio
from typing import Any

from testtools.matchers import Contains, Equals

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy import server_connection
from hoistsaddle.sidecar import server_connections
from hoistsaddle.sidecar.messages import ServerAnswered
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from raw_server import Case, RawServer, ServerRequest, answer, plain, until_left
from stepped_clock import EventCounter, step


class Connections(Case):
    def test_one_connection_is_reused_for_many_requests(self) -> None:
        raw, bodies = self.bodies(plain, 5)
        self.assertThat((raw.connections, bodies), Equals((1, [f"to s{number}".encode() for number in range(5)])))

    def test_concurrent_requests_use_separate_connections(self) -> None:
        both = EventCounter()

        async def slow(asked: ServerRequest) -> None:
            both.count_event()
            await both.reach(2)
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            result = await asyncio.gather(*(self.send(line, raw, f"s{number}") for number in range(2)))
            self.assertThat([each.body for each in result], Equals([b"to s0", b"to s1"]))

        self.assertThat(self.run_with(slow, work).connections, Equals(2))

    def test_no_reuse_after_connection_close(self) -> None:
        async def closing(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok", "Connection: close"))

        raw, bodies = self.bodies(closing)
        self.assertThat((raw.connections, bodies), Equals((3, [b"ok"] * 3)))

    def test_no_reuse_after_http_1_0(self) -> None:
        async def old(asked: ServerRequest) -> None:
            asked.say(answer(asked.send).replace(b"HTTP/1.1", b"HTTP/1.0"))

        self.assertThat(self.bodies(old)[0].connections, Equals(3))

    def test_no_reuse_after_the_servers_keep_alive_timeout(self) -> None:
        async def brief(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok", "Keep-Alive: timeout=1, max=100"))

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            idle = line.idle[0]
            self.assertThat(idle.keep_seconds, Equals(0.6))
            await step(0.61)
            await self.send(line, raw, "s2")
            self.assertThat(raw.connections, Equals(2))
            await step(0.59)
            await self.send(line, raw, "s3")
            self.assertThat(raw.connections, Equals(2))

        self.run_with(brief, work)

    def test_no_reuse_after_the_default_time_if_the_server_sends_no_timeout(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            await step(server_connection.DEFAULT_KEEP_SECONDS - 0.5)
            await self.send(line, raw, "s2")
            self.assertThat(raw.connections, Equals(1))
            await step(server_connection.DEFAULT_KEEP_SECONDS)
            await self.send(line, raw, "s3")
            self.assertThat(raw.connections, Equals(2))

        self.run_with(plain, work)

    def test_surplus_data_after_a_complete_answer_is_discarded(self) -> None:
        for surplus in (answer("s0", b"again"), answer("s1", b"early"), b"\x00garbage", b"HTTP/1.1 200"):

            async def more(asked: ServerRequest, surplus: bytes = surplus) -> None:
                asked.say(answer(asked.send, f"to {asked.send}".encode()) + surplus)

            raw, bodies = self.bodies(more, 3, after=until_left)
            self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])), repr(surplus))

    def test_data_on_an_idle_connection_is_discarded(self) -> None:
        async def later(raw: RawServer, number: int) -> None:
            raw.asked[number].say(answer(f"s{number + 1}", b"not yours"))
            await until_left(raw, number)

        raw, bodies = self.bodies(plain, 3, after=later)
        self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])))

    def test_a_late_answer_in_place_of_the_next_is_skipped_and_its_connection_closed(self) -> None:
        async def behind(asked: ServerRequest) -> None:
            if asked.send == "s1":
                asked.say(answer("s0", b"late"))
            await plain(asked)

        raw, bodies = self.bodies(behind, 3)
        self.assertThat(bodies, Equals([b"to s0", b"to s1", b"to s2"]))
        self.assertThat([each.connection for each in raw.asked], Equals([1, 1, 2]))

    def test_the_answer_to_an_abandoned_request_never_answers_the_next(self) -> None:
        abandoned = asyncio.Event()

        async def slow(asked: ServerRequest) -> None:
            if asked.send == "s0":
                await abandoned.wait()
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            first = asyncio.ensure_future(self.send(line, raw, "s0", within=2.0))
            await raw.requests.reach(1)
            await step(2.0)
            self.assertMissed(await first, ErrorKind.BUDGET_SPENT)
            abandoned.set()
            self.assertServed(await self.send(line, raw, "s1"), b"to s1")
            await raw.ends.reach(1)

        self.assertThat(self.run_with(slow, work).connections, Equals(2))

    def test_an_idle_connection_that_the_server_closed_is_not_reused(self) -> None:
        async def closing(raw: RawServer, number: int) -> None:
            # Only this direction is closed, so that the test sees the sidecar close the other one.
            raw.asked[number].writer.write_eof()
            await until_left(raw, number)

        raw, bodies = self.bodies(plain, after=closing)
        self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])))

    def stale(self, **changes: Any) -> tuple[RawServer, list]:
        """Run requests on a server that closes a pooled connection when a second request arrives on it."""

        async def behave(asked: ServerRequest) -> None:
            if sum(each.connection == asked.connection for each in raw_of[0].asked) > 1:
                asked.cut()
            else:
                await plain(asked)

        raw_of: list[RawServer] = []
        result: list[tuple] = []

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            raw_of.append(raw)
            for number in range(2):
                result.append(await self.send(line, raw, f"s{number}", **changes))

        raw = self.run_with(behave, work)
        return raw, [each.body if isinstance(each, ServerAnswered) else each.error.kind for each in result]

    def test_an_idempotent_request_on_a_closing_connection_is_sent_again_on_a_new_one(self) -> None:
        raw, bodies = self.stale(repeatable=True)
        self.assertThat((bodies, len(raw.asked)), Equals(([b"to s0", b"to s1"], 3)))

    def test_a_request_whose_connection_ends_later_is_not_sent_again(self) -> None:
        """It may have run: only the ingress may retry it, within the retry budget."""
        go = asyncio.Event()

        async def cutting(asked: ServerRequest) -> None:
            if asked.send == "s0":
                return await plain(asked)
            await go.wait()
            asked.cut()

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s0", repeatable=True)
            second = asyncio.ensure_future(self.send(line, raw, "s1", repeatable=True))
            await raw.requests.reach(2)
            await step(server_connections.STALE_SECONDS * 2)
            go.set()
            self.assertMissed(await second, ErrorKind.ANSWER_BROKEN)
            self.assertThat([each.send for each in raw.asked], Equals(["s0", "s1"]))

        self.run_with(cutting, work)

    def test_a_request_without_remaining_budget_is_not_written(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s0")
            for within in (0.0, -3.0):
                result = await self.send(line, raw, "s1", within=within)
                self.assertMissed(result, ErrorKind.BUDGET_SPENT, unsent=True)
            self.assertServed(await self.send(line, raw, "s2"), b"to s2")
            self.assertThat([each.send for each in raw.asked], Equals(["s0", "s2"]))

        self.run_with(plain, work)

    def test_a_partial_surplus_answer_closes_the_connection(self) -> None:
        head = answer("s0", b"", "Transfer-Encoding: chunked", length=False)
        partial = b"HTTP/1.1 200 OK\r\n"
        complete = answer("s0", b"ok")
        cut = complete.index(b"\r\n\r\n") + 3
        for parts in (
            (head, b"2\r\nok\r\n0\r\n\r\n" + partial),
            (head + b"2\r\nok\r\n0\r\n\r\n" + partial,),
            (complete + partial,),
            # The end of the head is split in two.
            (complete[:cut], complete[cut:] + partial),
        ):

            async def more(asked: ServerRequest, parts: tuple[bytes, ...] = parts) -> None:
                if asked.send != "s0":
                    return await plain(asked)
                for part in parts:
                    asked.say(part)
                    await asked.writer.drain()

            raw, bodies = self.bodies(more, 2)
            self.assertThat((bodies, raw.connections), Equals(([b"ok", b"to s1"], 2)), repr(parts))

    def test_a_request_with_a_partial_answer_is_not_sent_again(self) -> None:
        async def short(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok") if asked.send == "s0" else answer(asked.send, b"0123456789")[:-4])
            if asked.send != "s0":
                await asked.writer.drain()
                asked.cut()

        raw, bodies = self.bodies(short, 2, repeatable=True)
        self.assertThat((bodies, len(raw.asked)), Equals(([b"ok", ErrorKind.ANSWER_BROKEN], 2)))

    def test_a_non_idempotent_request_is_never_written_twice(self) -> None:
        raw, bodies = self.stale()
        self.assertThat((bodies, len(raw.asked)), Equals(([b"to s0", ErrorKind.ANSWER_BROKEN], 2)))

    def test_another_instance_of_the_server_gets_its_own_connections(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            await self.send(line, raw, "s2", instance="i-2")
            self.assertThat([each.connection for each in raw.asked], Equals([1, 2]))

        self.run_with(plain, work)

    def test_a_connection_to_a_former_instance_is_not_reused_for_the_next(self) -> None:
        go = asyncio.Event()

        async def slow(asked: ServerRequest) -> None:
            if asked.send == "s1":
                await go.wait()
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            first = asyncio.ensure_future(self.send(line, raw, "s1"))
            await raw.requests.reach(1)
            await self.send(line, raw, "s2", instance="i-2")
            go.set()
            self.assertServed(await first, b"to s1")
            await asyncio.gather(*(self.send(line, raw, f"t{number}", instance="i-2") for number in range(2)))
            self.assertThat([each.connection for each in raw.asked], Equals([1, 2, 2, 3]))

        self.run_with(slow, work)

    def test_connections_and_unexpected_answers_are_counted(self) -> None:
        async def more(asked: ServerRequest) -> None:
            asked.say(answer("other", b"x") + answer(asked.send))

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw)
            counted = line.counters.read()["counts"]
            self.assertThat(counted["server.strange_answers"], Equals(1))
            self.assertThat(counted, Contains("server.connections"))

        self.run_with(more, work)
