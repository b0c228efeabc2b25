"""Divides the event loop among the connections whose peers send frames faster than they are handled."""

from hoistsaddle.common.work_turns import WorkTurns

# The frames that all connections of a process handle in one iteration of the event loop, and that one of them handles
# before the others have their turn.
FRAMES_PER_ITERATION = 128
FRAMES_PER_TURN = 16


def make_frame_turns() -> WorkTurns:
    """Return what the connections of one process share."""
    return WorkTurns(pieces_per_iteration=FRAMES_PER_ITERATION)


class FrameTurns:
    """The turns of one connection."""

    __slots__ = ("_left", "_turns")

    def __init__(self, turns: WorkTurns) -> None:
        self._turns = turns
        self._left = 0

    async def next_frame(self) -> None:
        """Wait until another frame may be handled."""
        if not self._left:
            await self._turns.grant(FRAMES_PER_TURN)
            self._left = FRAMES_PER_TURN
        self._left -= 1
