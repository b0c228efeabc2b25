"""Kernel receive buffers: bytes that have arrived and are not read yet count as memory of the process, too."""

import socket
from asyncio import BaseTransport

from hoistsaddle.common.byte_budget import ByteBudget

# The receive buffer of a connection: enough for a head, while thousands of connections stay within the memory limit.
RECEIVE_BUFFER_BYTES = 16 * 1024
# The receive buffer of a connection that receives a large body, and how many connections may have one at a time.
BODY_RECEIVE_BUFFER_BYTES = 512 * 1024
MAX_BODY_RECEIVE_BUFFERS = 16


def limit_receive_buffer(sock: socket.socket | None, size: int) -> None:
    """Set a socket's receive buffer; connections that a listening socket accepts inherit it.

    Args:
        sock: The socket; None if its connection was lost meanwhile.
        size: In bytes.
    """
    if sock is None:
        return
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except (OSError, ValueError):
        # It is a limit on memory only: a system that doesn't have the option keeps its own limit, and a connection that
        # was lost meanwhile has no descriptor any more.
        pass


class BodyReceiveBuffer:
    """Enlarges the receive buffer of one connection while it receives a large body, as far as there are any left."""

    __slots__ = ("_budget", "_enlarged")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._enlarged = False

    def enlarge(self, transport: BaseTransport | None) -> None:
        """Enlarge the receive buffer, unless too many connections have done so."""
        limited = self._budget.max_bytes is not None
        if self._enlarged or not limited or self._budget.body_receive_buffers >= MAX_BODY_RECEIVE_BUFFERS:
            return
        self._enlarged = True
        self._budget.body_receive_buffers += 1
        _resize(transport, BODY_RECEIVE_BUFFER_BYTES)

    def restore(self, transport: BaseTransport | None) -> None:
        """Make the receive buffer small again."""
        if not self._enlarged:
            return
        self._enlarged = False
        self._budget.body_receive_buffers -= 1
        _resize(transport, RECEIVE_BUFFER_BYTES)


def _resize(transport: BaseTransport | None, size: int) -> None:
    limit_receive_buffer(None if transport is None else transport.get_extra_info("socket"), size)
