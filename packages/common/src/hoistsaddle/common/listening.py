"""Listening on an address that another process may be about to release."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from loguru import logger

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds, monotonic_now
from hoistsaddle.common.receive_buffers import limit_receive_buffer
from hoistsaddle.common.socket_addresses import split_address

MIN_BACKOFF = milliseconds(50)
MAX_BACKOFF = timedelta(seconds=1)
# A process that is shutting down has released the address by then; any other will not release it.
MAX_WAIT = timedelta(seconds=20)

_Listener = TypeVar("_Listener")


async def listen_once_free(
    listen: Callable[[], Awaitable[_Listener]], *, address: str, within: timedelta = MAX_WAIT
) -> _Listener:
    """Starts a listener, and retries for a while if the address is still in use.

    Args:
        listen: Opens the listener; if it fails, it raises OSError and has released all resources.
        address: The address, for the log.
        within: How long to wait for an address in use.

    Raises:
        OSError: The address can't be bound, or is still in use after `within`.
    """
    backoff = ExponentialBackoff(least=MIN_BACKOFF, most=MAX_BACKOFF)
    deadline = monotonic_now() + within
    while True:
        try:
            return await listen()
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or monotonic_now() >= deadline:
                raise
            if not backoff.failing:
                logger.warning(
                    "{} is taken; waiting up to {:.0f} s for it: stop the process that uses it",
                    address,
                    within.total_seconds(),
                )
            backoff.failed(now=monotonic_now())
            await asyncio.sleep(backoff.delay.total_seconds())


def bound_socket(address: str, *, receive_buffer: int | None) -> socket.socket:
    """Return a socket that is bound to an address, and not listening yet.

    Args:
        address: IP address and port.
        receive_buffer: The receive buffer of each connection in bytes; None for the system's own sizes.

    Raises:
        OSError: The address can't be bound.
    """
    host, port = split_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer is not None:
            limit_receive_buffer(sock, receive_buffer)
        sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock
