"""What may wait in the kernel for a process is bounded: receive buffers are small, but for a few large bodies."""

import socket

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.listening import bound_socket
from hoistsaddle.common.receive_buffers import (
    BODY_RECEIVE_BUFFER_BYTES,
    MAX_BODY_RECEIVE_BUFFERS,
    RECEIVE_BUFFER_BYTES,
    BodyReceiveBuffer,
)


class Transport:
    """The part of a transport that gives access to its socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def get_extra_info(self, name: str) -> socket.socket:
        return self.sock


def size_of(sock: socket.socket) -> int:
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


class ReceiveBuffers(TestCase):
    """Guards against unread bytes of many connections, which count as memory of the process (issue 51)."""

    def test_accepted_connections_have_small_buffers(self) -> None:
        listener = bound_socket("127.0.0.1:0", receive_buffer=RECEIVE_BUFFER_BYTES)
        listener.setblocking(True)
        listener.listen()
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        # The kernel doubles the size for its own bookkeeping.
        self.assertThat(size_of(accepted), LessThan(2 * RECEIVE_BUFFER_BYTES + 1))
        for sock in (client, accepted, listener):
            sock.close()

    def test_only_some_connections_have_large_buffers_at_a_time(self) -> None:
        budget = ByteBudget(memory_megabytes=300)
        socks = [socket.socket() for _ in range(MAX_BODY_RECEIVE_BUFFERS + 1)]
        buffers = [BodyReceiveBuffer(budget) for _ in socks]
        small = size_of(socks[-1])
        for sock, buffer in zip(socks, buffers, strict=True):
            buffer.enlarge(Transport(sock))  # type: ignore[arg-type]
        self.assertThat(size_of(socks[0]), GreaterThan(BODY_RECEIVE_BUFFER_BYTES // 2))
        self.assertThat(size_of(socks[-1]), Equals(small))
        buffers[0].restore(Transport(socks[0]))  # type: ignore[arg-type]
        self.assertThat(size_of(socks[0]), LessThan(2 * RECEIVE_BUFFER_BYTES + 1))
        buffers[-1].enlarge(Transport(socks[-1]))  # type: ignore[arg-type]
        self.assertThat(size_of(socks[-1]), Equals(size_of(socks[1])))
        for sock in socks:
            sock.close()
