"""Limits the work that all connections of a process do in one iteration of the event loop."""

import asyncio
from collections import deque
from collections.abc import Callable


class WorkTurns:
    """Divides an allowance of pieces for each iteration of the event loop among those that have some to process.

    Whoever finds the allowance used up waits for a later iteration, first come, first served. In between the loop
    serves everybody else, however many pieces are waiting.
    """

    def __init__(self, *, pieces_per_iteration: int) -> None:
        """Starts with a whole allowance.

        Args:
            pieces_per_iteration: How many pieces may be processed in one iteration of the event loop.
        """
        self._pieces_per_iteration = pieces_per_iteration
        self.left = pieces_per_iteration
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def spend(self, pieces: int) -> None:
        """Take pieces from the allowance of this iteration."""
        if pieces:
            self.left -= pieces
            self._schedule()

    def wait(self, proceed: Callable[[], None]) -> None:
        """Call `proceed` in a later iteration, when there is an allowance again."""
        self._waiting.append(proceed)
        self._schedule()

    async def grant(self, pieces: int) -> None:
        """Take pieces from the allowance, in a later iteration if it is used up or others wait for it."""
        if self.left > 0 and not self._waiting:
            self.spend(pieces)
            return
        granted = asyncio.get_running_loop().create_future()

        def take() -> None:
            if not granted.done():
                self.spend(pieces)
                granted.set_result(None)

        self.wait(take)
        await granted

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._scheduled = False
        self.left = self._pieces_per_iteration
        # Those that wait again meanwhile are called in a later iteration.
        for _ in range(len(self._waiting)):
            if self.left <= 0:
                break
            self._call(self._waiting.popleft())
        if self._waiting:
            self._schedule()

    @staticmethod
    def _call(proceed: Callable[[], None]) -> None:
        """Call one that waits; those behind it get their turn also if it fails."""
        try:
            proceed()
        except Exception as problem:
            context = {"message": "a connection failed in its turn", "exception": problem}
            asyncio.get_running_loop().call_exception_handler(context)
