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

    def test_one_that_fails_takes_nobody_elses_turn(self) -> None:
        """Guards against connections that are left unread because of another one (review/6)."""
        worked: list[str] = []
        problems: list[dict] = []

        def fail() -> None:
            raise RuntimeError("the handler is closed")

        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(lambda _, context: problems.append(context))
            turns = WorkTurns(pieces_per_iteration=10)
            turns.wait(lambda: worked.append("one"))
            turns.wait(fail)
            turns.wait(lambda: worked.append("two"))
            for _ in range(3):
                await asyncio.sleep(0)

        asyncio.run(run())
        self.assertThat((worked, len(problems)), Equals((["one", "two"], 1)))
