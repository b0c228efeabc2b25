"""Tasks that live as long as their process go on whatever their work raises, and each end is reported."""

import asyncio
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.lifelong_tasks import MAX_RESTART_DELAY, MIN_RESTART_DELAY, LifelongTasks
from stepped_clock import run_stepped, step


def started(counters: Counters) -> LifelongTasks:
    loop = asyncio.get_running_loop()
    return LifelongTasks(counters=counters, now=lambda: timedelta(seconds=loop.time()))


class Tasks(TestCase):
    """Guards against a task that has ended for good without a trace (review/8)."""

    def restarts(self, counters: Counters) -> int:
        return int(counters.read()["counts"].get("happening.task restarted", 0))

    def test_a_task_goes_on_after_any_end_and_each_is_reported(self) -> None:
        async def work() -> None:
            for end in (RuntimeError("the handler is closed"), OSError("gone"), KeyError("x"), None, "cancelled"):
                counters, runs = Counters(owner="one"), 0

                async def fail(end: object = end) -> None:
                    nonlocal runs
                    runs += 1
                    if isinstance(end, Exception):
                        raise end
                    if end == "cancelled":
                        waited_for = asyncio.get_running_loop().create_future()
                        waited_for.cancel()
                        await waited_for

                tasks = started(counters)
                tasks.start("reports", fail)
                await step(0)
                for expected in range(1, 6):
                    self.assertThat((runs, self.restarts(counters)), Equals((expected, expected)), repr(end))
                    await step(MAX_RESTART_DELAY.total_seconds())
                event = counters.events(after=0)["happenings"][0]["detail"]
                self.assertThat((event["task"], event["why"] != ""), Equals(("reports", True)))
                tasks.cancel()
                await step(0)
                self.assertThat([task.cancelled() for task in tasks], Equals([True]))

        run_stepped(work())

    def test_restarts_slow_down_and_are_quick_again_after_a_while(self) -> None:
        async def work() -> None:
            counters, runs = Counters(owner="one"), 0

            async def fail() -> None:
                nonlocal runs
                runs += 1
                raise RuntimeError

            tasks = started(counters)
            tasks.start("reports", fail)
            await step(0)
            await step(MIN_RESTART_DELAY.total_seconds())
            self.assertThat(runs, Equals(2))
            await step(MIN_RESTART_DELAY.total_seconds())
            self.assertThat(runs, Equals(2))
            await step(MIN_RESTART_DELAY.total_seconds())
            self.assertThat(runs, Equals(3))
            tasks.cancel()

        run_stepped(work())

    def test_work_with_an_end_is_not_called_again(self) -> None:
        async def work() -> None:
            counters, runs = Counters(owner="one"), 0

            async def found() -> None:
                nonlocal runs
                runs += 1

            tasks = started(counters)
            tasks.start("bootstrap", found, may_return=True)
            await step(0)
            await step(MAX_RESTART_DELAY.total_seconds())
            self.assertThat((runs, self.restarts(counters)), Equals((1, 0)))

        run_stepped(work())
