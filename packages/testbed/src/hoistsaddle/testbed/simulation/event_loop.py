"""An event loop whose time is simulated: nothing waits, every run of one seed is the same, processes freeze and die."""

import asyncio
import contextvars
import selectors
from datetime import timedelta

CURRENT_PROCESS: contextvars.ContextVar["SimulatedProcess | None"] = contextvars.ContextVar("node", default=None)


class SimulatedProcess:
    """One run of a simulated process: what it scheduled runs only while it is alive and not frozen."""

    def __init__(self, *, name: str, loop: "SimulatedTimeLoop") -> None:
        self.name = name
        self.loop = loop
        self.dead = False
        self.frozen = False
        # When it was frozen last, in simulated seconds.
        self.frozen_at = 0.0
        self.deferred: list[tuple] = []
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_PROCESS.set, self)
        # Kept on purpose: a task collected in the middle of a run would run its last lines at a random time.
        self.tasks: list[asyncio.Task] = []

    def spawn(self, work) -> asyncio.Task:
        """Runs a coroutine as a task of this process."""
        task = self.loop.create_task(work, context=self.context.copy())
        self.tasks.append(task)
        return task

    def kill(self) -> None:
        """Nothing that the process scheduled runs any more."""
        self.dead = True
        self.deferred.clear()

    def freeze(self) -> None:
        """Whatever comes due from now on waits."""
        self.frozen = True
        self.frozen_at = self.loop.time()

    def wake(self) -> None:
        """Runs what came due meanwhile, in the order in which it did."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for handle_slot, callback, arguments, context in deferred:
            self.loop.call_soon(self._resume_callback, handle_slot, callback, arguments, context=context)

    @staticmethod
    def _resume_callback(handle_slot: list, callback, arguments: tuple) -> None:
        # What was cancelled before its turn came must not run, however long it was due.
        if not handle_slot[0].cancelled():
            callback(*arguments)


class _InstantSelector(selectors.BaseSelector):
    """Never waits: a wait is a step of simulated time."""

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
            raise RuntimeError("the simulation stands still: nothing is scheduled and nothing is ready")
        self.loop.current_seconds += max(0.0, timeout)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer as soon as nothing is ready.

    Attributes:
        current_seconds: simulated time.
        errors: contexts of exceptions that nobody caught.
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
        # A process that was killed leaves tasks behind; everything else is a fault of ours and fails the run.
        if "was destroyed but it is pending" not in context.get("message", ""):
            self.errors.append(context)

    def time(self) -> float:
        """Simulated seconds, as asyncio asks for them."""
        return self.current_seconds

    def now(self) -> timedelta:
        """Simulated time, as the nodes ask for it."""
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
        """Schedules a callback; one of a simulated process runs only while that process does."""
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handle_slot: list = [None]
        handle_slot[0] = super().call_soon(
            self._run_unless_stopped, process, handle_slot, callback, args, context, context=context
        )
        return handle_slot[0]

    def call_at(self, when, callback, *args, context=None):
        """Schedules a callback for a time; one of a simulated process runs only while that process does."""
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        handle_slot: list = [None]
        handle_slot[0] = super().call_at(
            when, self._run_unless_stopped, process, handle_slot, callback, args, context, context=context
        )
        return handle_slot[0]

    def call_soon_threadsafe(self, callback, *args, context=None):
        """The same as call_soon: there are no threads here."""
        # There are no threads here, and the pipe that wakes a real loop would only fill.
        return self.call_soon(callback, *args, context=context)
