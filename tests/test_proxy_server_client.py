"""Tests of which answers of the local server a proxy under bundles accepts as complete."""

import asyncio
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from endless_answers import STATUSES, EndlessAnswer, endless_answers
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.messages import RunOnServer, ServerAnswered
from hoistsaddle.proxy.server_client import ServerClient
from hoistsaddle.rpc.messages import BundleForwardCall

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def call(port: int, method: str) -> RunOnServer:
    forward = BundleForwardCall(
        **dict.fromkeys(BundleForwardCall._fields, "")
        | {"method": method, "path": "/x", "headers": {}, "body": b"", "answer_bytes": 1000, "ordinal": 1}
    )
    return RunOnServer(1, f"127.0.0.1:{port}", forward, timedelta(seconds=5))


class AnswerCompleteness(TestCase):
    def body_or_error(self, response: bytes, *, method: str = "GET") -> bytes | ErrorKind:
        """Return the body of an answer after which the server closes the connection, or the kind of its error."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            writer.close()

        async def run() -> bytes | ErrorKind:
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            client = ServerClient(counters=Counters(owner="test"))
            try:
                result = await client.run(call(server.sockets[0].getsockname()[1], method))
            finally:
                client.close()
                server.close()
            return result.body if isinstance(result, ServerAnswered) else result.error.kind

        return asyncio.run(run())

    def test_an_answer_with_a_length_is_complete(self) -> None:
        self.assertThat(self.body_or_error(HEAD + b"Content-Length: 2\r\n\r\n{}"), Equals(b"{}"))
        self.assertThat(self.body_or_error(HEAD + b"Content-Length: 0\r\n\r\n"), Equals(b""))

    def test_an_answer_that_ends_with_its_connection_is_broken(self) -> None:
        for body in (b"{}", b""):
            found = self.body_or_error(HEAD + b"Connection: close\r\n\r\n" + body)
            self.assertThat(found, Equals(ErrorKind.ANSWER_BROKEN), repr(body))

    def test_answers_that_have_no_body_need_no_length(self) -> None:
        self.assertThat(self.body_or_error(HEAD + b"Connection: close\r\n\r\n", method="HEAD"), Equals(b""))
        self.assertThat(self.body_or_error(HEAD.replace(b"200 OK", b"204 None") + b"\r\n"), Equals(b""))

    def test_answers_without_end_are_refused_while_they_arrive(self) -> None:
        """Guards against servers that occupy their proxy until the deadline by sending without end (issue 64)."""
        refused = {ErrorKind.ANSWER_BROKEN, ErrorKind.ANSWER_TOO_LARGE}
        for status in STATUSES:
            for form, endless in endless_answers(status=status, id_line="X-Id: a").items():

                async def respond(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, endless: EndlessAnswer = endless
                ) -> None:
                    await reader.readuntil(b"\r\n\r\n")
                    try:
                        for piece in endless.pieces():
                            writer.write(piece)
                            await writer.drain()
                    except OSError:
                        # The client has closed the connection, as it should.
                        pass

                async def run(respond: Any = respond) -> tuple:
                    server = await asyncio.start_server(respond, "127.0.0.1", 0)
                    client = ServerClient(counters=Counters(owner="test"))
                    result = await client.run(call(server.sockets[0].getsockname()[1], "GET"))
                    client.close()
                    server.close()
                    return result

                result = asyncio.run(run())
                self.assertThat(result.error.kind in refused, Equals(True), f"{form}, {status}: {result}")

    def test_a_head_is_sent_as_it_was_admitted_and_never_with_a_line_end_in_it(self) -> None:
        heads: list[bytes] = []

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(HEAD + b"Content-Length: 2\r\n\r\n{}")

        async def run(method: str, headers: dict[str, str]) -> tuple:
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            client = ServerClient(counters=Counters(owner="test"))
            command = call(server.sockets[0].getsockname()[1], method)
            result = await client.run(command._replace(call=command.call._replace(headers=headers)))
            server.close()
            return result

        self.assertThat(asyncio.run(run("POST", {"host": "shop.example", "X-Own": "a"})), IsInstance(ServerAnswered))
        lines = heads[0].decode().split("\r\n")
        self.assertThat(lines[0], Equals("POST /x HTTP/1.1"))
        for line in ("host: shop.example", "X-Own: a", "Content-Length: 0", "Connection: close"):
            self.assertThat(line in lines, Equals(True), line)
        self.assertThat(sum(line.lower().startswith("host:") for line in lines), Equals(1))
        result = asyncio.run(run("GET", {"X-Own": "a\r\nX-Other: b"}))
        self.assertThat((result.error.kind, len(heads)), Equals((ErrorKind.SILENT, 1)))
