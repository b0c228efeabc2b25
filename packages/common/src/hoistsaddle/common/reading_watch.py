"""Ends a connection whose peer stops reading while a large answer is sent to it."""

import asyncio
from datetime import timedelta


class ReadingWatch:
    """Aborts a connection whose write buffer has not become smaller for a whole timeout."""

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, transport: asyncio.WriteTransport | None, timeout: timedelta
    ) -> None:
        """Starts watching.

        Args:
            loop: The event loop.
            transport: The connection; None if it is lost already.
            timeout: How long the peer may read nothing.
        """
        self._loop = loop
        self._transport = transport
        self._timeout = timeout
        self._buffered = 0
        self._timer: asyncio.TimerHandle | None = None
        self._schedule()

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(self._timeout.total_seconds(), self._check)

    def _check(self) -> None:
        if self._transport is None:
            return
        buffered = self._transport.get_write_buffer_size()
        if buffered and buffered == self._buffered:
            self._transport.abort()
            return
        self._buffered = buffered
        self._schedule()

    def stop(self) -> None:
        """Stops watching."""
        if self._timer is not None:
            self._timer.cancel()
