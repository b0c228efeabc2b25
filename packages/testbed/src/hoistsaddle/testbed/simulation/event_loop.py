"""An event loop in simulated time, with processes that can be frozen and killed.

The loop never blocks, and runs with the same seed are identical.
"""

import asyncio
import contextvars
import selectors
from datetime import timedelta

CURRENT_PROCESS: contextvars.ContextVar["SimulatedProcess | None"] = contextvars.ContextVar("node", default=None)


class SimulatedProcess:
    """One incarnation of a simulated process: its callbacks run only while it is alive and not frozen."""

    def __init__(self, *, name: str, loop: "SimulatedTimeLoop") -> None:
        self.name = name
        self.loop = loop
        self.dead = False
        self.frozen = False
        # The time of the last freeze, in simulated seconds.
        self.frozen_at = 0.0
        self.deferred: list[tuple] = []
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_PROCESS.set, self)
        # Holds references until the run ends: a task garbage-collected during it would run cleanup at a random time.
        self.tasks: list[asyncio.Task] = []

    def spawn(self, work) -> asyncio.Task:
        """Runs a coroutine as a task of this process."""
        task = self.loop.create_task(work, context=self.context.copy())
        self.tasks.append(task)
        return task

    def kill(self) -> None:
        """Kills the process: none of its scheduled callbacks runs any more."""
        self.dead = True
        self.deferred.clear()

    def freeze(self) -> None:
        """Freezes the process: callbacks that become due are deferred until it wakes."""
        self.frozen = True
        self.frozen_at = self.loop.time()

    def wake(self) -> None:
        """Wakes the process and schedules the deferred callbacks in the order in which they became due."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for handle_slot, callback, arguments, context in deferred:
            self.loop.call_soon(self._resume_callback, handle_slot, callback, arguments, context=context)

    @staticmethod
    def _resume_callback(handle_slot: list, callback, arguments: tuple) -> None:
        # A callback that was cancelled while it was deferred must not run.
        if not handle_slot[0].cancelled():
            callback(*arguments)


class _InstantSelector(selectors.BaseSelector):
    """A selector that never blocks: it advances simulated time by the timeout."""

    def __init__(self) -> None:
        self.loop: SimulatedTimeLoop | None = None
        self.files: dict = {}

    def register(self, fileobj, events, data=None):
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self.files[fileobj] = key
        return key

    def unregister(self, fileobj):
        return self.files.pop(fileobj)

    def get_map(self):
        return self.files

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the simulation is deadlocked: no callback is scheduled or ready")
        self.loop.current_seconds += max(0.0, timeout)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer as soon as nothing is ready.

    Attributes:
        current_seconds: simulated time.
        errors: the contexts of unhandled exceptions.
    """

    def __init__(self) -> None:
        self.current_seconds = 1000.0
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self
        self._clock_resolution = 1e-9
        self.errors: list[dict] = []
        self.set_exception_handler(self._record_error)

    def _record_error(self, loop, context) -> None:
        # A killed process leaves pending tasks behind; any other error is a fault of the code and fails the run.
        if "was destroyed but it is pending" not in context.get("message", ""):
            self.errors.append(context)

    def time(self) -> float:
        """Returns the simulated time in seconds, for asyncio."""
        return self.current_seconds

    def now(self) -> timedelta:
        """Returns the simulated time, for the nodes."""
        return timedelta(seconds=self.current_seconds)

    @staticmethod
    def _run_unless_stopped(process: SimulatedProcess, handle_slot: list, callback, arguments: tuple, context) -> None:
        if process.dead:
            return
        if process.frozen:
            process.deferred.append((handle_slot, callback, arguments, context))
            return
        callback(*arguments)

    def call_soon(self, callback, *args, context=None):
        """Schedules a callback; a callback of a simulated process runs only while that process runs."""
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handle_slot: list = [None]
        handle_slot[0] = super().call_soon(
            self._run_unless_stopped, process, handle_slot, callback, args, context, context=context
        )
        return handle_slot[0]

    def call_at(self, when, callback, *args, context=None):
        """Schedules a callback for a time; a callback of a simulated process runs only while that process runs."""
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        handle_slot: list = [None]
        handle_slot[0] = super().call_at(
            when, self._run_unless_stopped, process, handle_slot, callback, args, context, context=context
        )
        return handle_slot[0]

    def call_soon_threadsafe(self, callback, *args, context=None):
        """Calls `call_soon`: the simulation has a single thread."""
        # The pipe that wakes a real loop from another thread would only fill up here.
        return self.call_soon(callback, *args, context=context)
