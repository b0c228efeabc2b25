"""The pieces that all connections process in one iteration of the event loop are bounded."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.work_turns import WorkTurns


class Turns(TestCase):
    """Guards against an event loop that is busy with the pieces of a crowd for seconds (issue 51)."""

    def test_everybody_gets_a_turn_and_the_loop_runs_in_between(self) -> None:
        worked: list[str] = []
        # The pieces processed in each iteration of the event loop.
        iterations: list[int] = [0]

        async def run() -> None:
            turns = WorkTurns(pieces_per_iteration=10)
            left = {"one": 25, "two": 25}

            def work(name: str) -> None:
                pieces = min(left[name], turns.left)
                left[name] -= pieces
                iterations[-1] += pieces
                turns.spend(pieces)
                worked.append(name)
                if left[name]:
                    turns.wait(lambda: work(name))

            turns.wait(lambda: work("one"))
            turns.wait(lambda: work("two"))
            while any(left.values()):
                iterations.append(0)
                await asyncio.sleep(0)

        asyncio.run(run())
        self.assertThat(worked, Equals(["one", "two"] * 3))
        self.assertThat([pieces for pieces in iterations if pieces], Equals([10] * 5))
