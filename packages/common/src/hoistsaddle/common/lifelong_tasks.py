"""Tasks that must run as long as their process: one that ends by itself is reported and started again."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from datetime import timedelta
from typing import Any

from loguru import logger

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters

MIN_RESTART_DELAY = milliseconds(50)
MAX_RESTART_DELAY = timedelta(seconds=2)

Work = Callable[[], Coroutine[Any, Any, None]]


class LifelongTasks:
    """Runs each of its tasks until it is cancelled, whatever the work raises."""

    def __init__(self, *, counters: Counters, now: Callable[[], timedelta]) -> None:
        """Starts without tasks.

        Args:
            counters: Counts the tasks that ended by themselves, and records each such event for operators.
            now: Returns the time of the process's monotonic clock.
        """
        self._counters = counters
        self._now = now
        self._tasks: list[asyncio.Task] = []

    def __iter__(self) -> Iterator[asyncio.Task]:
        """The tasks."""
        return iter(self._tasks)

    def start(self, name: str, work: Work, *, may_return: bool = False) -> None:
        """Starts a task.

        Args:
            name: Names the task in events.
            work: Does the work without an end; called again if it raises or returns.
            may_return: Whether the work has an end, after which it is not called again.
        """
        self._tasks.append(asyncio.ensure_future(self._run(name, work, may_return=may_return)))

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, name: str, work: Work, *, may_return: bool) -> None:
        backoff = ExponentialBackoff(least=MIN_RESTART_DELAY, most=MAX_RESTART_DELAY)
        while True:
            began = self._now()
            try:
                await work()
                if may_return:
                    return
                self._report(name, "it returned")
            except asyncio.CancelledError:
                if _is_cancelled():
                    raise
                # Something that the work was waiting for was cancelled, and not the task.
                self._report(name, "what it waited for was cancelled")
            except Exception as problem:
                logger.opt(exception=problem).error("task {} ended", name)
                self._report(name, repr(problem))
            if self._now() - began > MAX_RESTART_DELAY:
                backoff.reset()
            backoff.failed(now=self._now())
            await asyncio.sleep(backoff.delay.total_seconds())

    def _report(self, name: str, why: str) -> None:
        self._counters.record_event("task restarted", task=name, why=why)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
