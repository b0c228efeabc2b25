"""Limits the calls of one connection that are handled at the same time."""

import asyncio

from hoistsaddle.common.byte_budget import ByteBudget, ByteLease

# The most calls of a connection that are handled at the same time.
MAX_CALLS_IN_FLIGHT = 1024
# While the budget of the process is used up, a connection whose calls hold more than this waits for some to end.
MAX_BYTES_WITHOUT_ROOM = 1024 * 1024


class CallsInFlight:
    """The calls of one connection that are being handled, with the bytes of each."""

    __slots__ = ("_budget", "_bytes", "_count", "_room")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._count = self._bytes = 0
        # Done when a call ends that the reader waits for.
        self._room: asyncio.Future | None = None

    def begin(self, lease: ByteLease) -> None:
        """Note a call whose handling begins."""
        self._count += 1
        self._bytes += lease.size

    def end(self, lease: ByteLease) -> None:
        """Note its end, and give its bytes back to the budget."""
        self._count -= 1
        self._bytes -= lease.size
        lease.release()
        if self._room is not None and not self._room.done():
            self._room.set_result(None)

    async def wait_for_room(self) -> None:
        """Wait until another call may be read; meanwhile the peer's bytes stay in its own buffers."""
        while self._is_full():
            self._room = asyncio.get_running_loop().create_future()
            await self._room

    def _is_full(self) -> bool:
        if self._count >= MAX_CALLS_IN_FLIGHT:
            return True
        return self._bytes > MAX_BYTES_WITHOUT_ROOM and not self._budget.has_room()
