"""An event loop on real sockets with a manual clock, which advances only when a test steps it."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

# A limit in real time, which ends a run that hangs without events on its sockets.
MAX_SILENT_SECONDS = 30.0


class _Selector(selectors.DefaultSelector):
    """A selector that waits for sockets and never for timers, which become due only by a step."""

    def select(self, timeout: float | None = None) -> list:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        end = time.monotonic() + MAX_SILENT_SECONDS
        while (left := end - time.monotonic()) > 0:
            if ready := super().select(left):
                return ready
        raise AssertionError(f"no socket event for {MAX_SILENT_SECONDS} s, and timers become due only by a step")


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop with real sockets and a clock that only `step` advances."""

    def __init__(self) -> None:
        # An integer, so that sums with whole and half seconds are exact.
        self.current_seconds = 1000.0
        super().__init__(_Selector())
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self.current_seconds


async def step(seconds: float) -> None:
    """Advances the clock by `seconds` at once; every timer that this makes due has run on return."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SteppedLoop)
    loop.current_seconds += seconds
    # This timer is the last one due, so all others have run when it fires.
    last_timer = loop.create_future()
    loop.call_at(loop.current_seconds, last_timer.set_result, None)
    await last_timer
    # Tasks that wait for futures resolved by these timers run next, and then the tasks that wait for those.
    for _ in range(4):
        await asyncio.sleep(0)


def run_stepped(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a SteppedLoop of its own."""
    with asyncio.Runner(loop_factory=SteppedLoop) as runner:
        return runner.run(work)


class EventCounter:
    """Counts events, and lets a test wait for a number of them."""

    def __init__(self) -> None:
        self.count = 0
        self._changed = asyncio.Event()

    def count_event(self) -> None:
        self.count += 1
        self._changed.set()

    async def reach(self, count: int) -> None:
        while self.count < count:
            self._changed.clear()
            await self._changed.wait()
