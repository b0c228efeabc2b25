"""Tests of which answers of the local server a proxy under bundles accepts as complete."""

import asyncio
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

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
                await client.close()
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
