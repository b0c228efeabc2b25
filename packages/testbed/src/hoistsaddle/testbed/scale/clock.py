"""A loop whose clock runs slower, so that more nodes than one machine can carry keep their own pace.

All spans of the nodes (sleeps, deadlines, leases) are read off one clock. Stretched by a factor, each second of theirs
lasts that many here: they then have that much processor for it, and what they use is told for a second of theirs.
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
    def __init__(self, *, stretch: float) -> None:
        super().__init__(_StretchedSelector(stretch=stretch))
        self.stretch = stretch

    def time(self) -> float:
        return super().time() / self.stretch


def make_loop(*, stretch: float) -> asyncio.AbstractEventLoop:
    """The daemons' own loop where no stretching is asked for; it can't be stretched."""
    return uvloop.new_event_loop() if stretch == 1 else StretchedLoop(stretch=stretch)


class ScaleRuntime(RealRuntime):
    """The daemons' runtime on the stretched clock, with chance and names that a seed settles."""

    def __init__(self, *, stretch: float, seed: str) -> None:
        super().__init__(keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True)
        self.stretch = stretch
        self.random = random.Random(seed)
        self._names = random.Random(f"names {seed}")

    def now(self) -> timedelta:
        return timedelta(seconds=mesh_seconds(self.stretch))

    def token(self, size: int) -> str:
        return self._names.randbytes(size).hex()


def mesh_seconds(stretch: float) -> float:
    """The one clock of all processes of a run: the machine's monotonic clock, stretched."""
    return time.monotonic() / stretch
