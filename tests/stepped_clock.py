"""An event loop on real sockets whose clock stands still: time passes only where a test steps it."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

# Real time. It only ends a run that hangs, with no more events on its sockets.
MAX_SILENT_SECONDS = 30.0


class _Selector(selectors.DefaultSelector):
    """Waits for sockets and never for a timer: a timer becomes due by a step."""

    def select(self, timeout: float | None = None) -> list:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        end = time.monotonic() + MAX_SILENT_SECONDS
        while (left := end - time.monotonic()) > 0:
            if ready := super().select(left):
                return ready
        raise AssertionError(f"nothing happened for {MAX_SILENT_SECONDS} s, and only a step would make a timer due")


class SteppedLoop(asyncio.SelectorEventLoop):
    """Real sockets, and a clock that only `step` moves."""

    def __init__(self) -> None:
        # A whole number, so that sums with whole seconds and halves are exact.
        self.current_seconds = 1000.0
        super().__init__(_Selector())
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self.current_seconds


async def step(seconds: float) -> None:
    """Time passes in one leap. What became due by it has run on return."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SteppedLoop)
    loop.current_seconds += seconds
    # This timer is the last one due, so the others' turn is over when it wakes us.
    over = loop.create_future()
    loop.call_at(loop.current_seconds, over.set_result, None)
    await over
    # A future that was settled by then wakes its task, and that one whoever waits for it.
    for _ in range(4):
        await asyncio.sleep(0)


def run_stepped(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a SteppedLoop of its own."""
    with asyncio.Runner(loop_factory=SteppedLoop) as runner:
        return runner.run(work)


class EventCounter:
    """Counts events, and lets a test wait until so many were counted."""

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
