"""An event loop whose clock runs slower, so that one machine can run more nodes than it could in real time.

All timers of the nodes (sleeps, deadlines, leases) read one clock, the mesh's clock. With a stretch factor, one second
of it lasts that many real seconds, so that the nodes have more processor time for it. Figures are given per second of
the mesh's clock.
"""

import asyncio
import random
import selectors
import time
from datetime import timedelta

import uvloop

from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.sidecar.service import CONNECT_TIMEOUT, KEEP_ALIVE


class _StretchedSelector(selectors.DefaultSelector):
    def __init__(self, *, stretch: float) -> None:
        super().__init__()
        self.stretch = stretch

    def select(self, timeout: float | None = None):
        return super().select(None if timeout is None else timeout * self.stretch)


class StretchedLoop(asyncio.SelectorEventLoop):
    """An event loop on the stretched clock."""

    def __init__(self, *, stretch: float) -> None:
        super().__init__(_StretchedSelector(stretch=stretch))
        self.stretch = stretch

    def time(self) -> float:
        """The time of the mesh's clock, in seconds."""
        return super().time() / self.stretch


def make_loop(*, stretch: float) -> asyncio.AbstractEventLoop:
    """The daemons' event loop, uvloop, for a stretch of 1; otherwise a stretched loop, which uvloop doesn't support."""
    return uvloop.new_event_loop() if stretch == 1 else StretchedLoop(stretch=stretch)


class ScaleRuntime(RealRuntime):
    """The daemons' runtime on the stretched clock, with random numbers and tokens from a seed."""

    def __init__(self, *, stretch: float, seed: str) -> None:
        super().__init__(keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True)
        self.stretch = stretch
        self.random = random.Random(seed)
        self._token_random = random.Random(f"names {seed}")

    def now(self) -> timedelta:
        """The time of the mesh's clock."""
        return timedelta(seconds=mesh_seconds(self.stretch))

    def token(self, size: int) -> str:
        """The next token of `size` bytes, in hexadecimal."""
        return self._token_random.randbytes(size).hex()


def mesh_seconds(stretch: float) -> float:
    """The clock that all processes of a run share: the machine's monotonic clock, stretched."""
    return time.monotonic() / stretch
