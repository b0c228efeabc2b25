"""Ends a connection whose peer stops reading while something is sent to it."""

import asyncio
from datetime import timedelta


class ReadingWatch:
    """Aborts a connection whose write buffer has not changed for a whole timeout; ends itself once it is empty."""

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
        buffered = 0 if self._transport is None else self._transport.get_write_buffer_size()
        if not buffered:
            self.stop()
            return
        if self._transport is not None and buffered == self._buffered:
            self.stop()
            self._transport.abort()
            return
        self._buffered = buffered
        self._schedule()

    @property
    def active(self) -> bool:
        """Whether it still watches."""
        return self._timer is not None

    def stop(self) -> None:
        """Stops watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
