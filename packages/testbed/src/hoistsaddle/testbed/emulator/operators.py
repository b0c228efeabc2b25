"""The operators: they submit changes, resubmit them after lost answers, and read the configuration at the end."""

import asyncio
import random

from hoistsaddle.testbed.emulator.change_requests import ChangeRequest, ChangeRequestBook, ComposedChange
from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ChangeAnswered, ChangeAnswerLost, ConfigurationRead, FinalChange
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    SENT,
    Change,
    ChangeStorm,
    InvalidChange,
    LargeChange,
    LostAnswers,
    RepeatChange,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, Route
from hoistsaddle.testbed.emulator.statuses import FINAL_REJECTIONS, OK, is_rejection

ANSWER_TIMEOUT_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 40.0
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 1.0
READ_RETRY_SECONDS = 0.1
# An operator gives up a change after this many rejections.
MAX_REJECTIONS = 3
# The platform's limit for changes in flight.
MAX_IN_FLIGHT = 8
STORM_KINDS = ("add", "drop", "split", "move", "times", "idle", "idle")


class Operators:
    """Submits the day's changes to the core and reads the configuration back."""

    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.random = environment.random
        self.book = ChangeRequestBook(environment=environment)
        self.in_flight: dict[asyncio.Task, None] = {}
        # Changes whose confirmation arrived, available for repetition.
        self.confirmed: list[ChangeRequest] = []
        # The current probability that an answer to an operator is lost.
        self.answer_loss_probability = 0.0

    async def first_configuration(self) -> bool:
        """Submits all routes and services of the site; True if the change was confirmed."""
        change_request = self.book.valid_change(list(self.environment.day.site.routes), first=True)
        return await self._submit(change_request) == OK

    def _submission_order(self, first: str) -> list[str]:
        """The core machines in random order, starting with `first` if that is one of them."""
        names = [machine.name for machine in self.environment.seeds()]
        self.random.shuffle(names)
        if first in names:
            names.remove(first)
            names.insert(0, first)
        return names

    async def _submit(self, change_request: ChangeRequest, *, first: str = "") -> int:
        """Submits to one core machine after the other, with backoff, until there is a definite answer.

        Returns the status of that answer, or 0 if there was none in time.
        """
        environment = self.environment
        samples = adapter("samples")
        names = self._submission_order(first)
        backoff, rejections = FIRST_BACKOFF_SECONDS, 0
        until = environment.now() + SUBMIT_TIMEOUT_SECONDS
        environment.on_trigger(SENT)
        while environment.now() < until:
            name = names[0]
            names = [*names[1:], name]
            answer = await environment.control(
                name, samples.CHANGE, samples.CONFIG_PATH, change_request.body, within=ANSWER_TIMEOUT_SECONDS
            )
            status = 0 if answer is None else answer.status
            if answer is not None and self.random.random() < self.answer_loss_probability:
                environment.history.add(ChangeAnswerLost(environment.now(), change_request.name, status, name))
                status = 0
                await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)
            environment.history.add(ChangeAnswered(environment.now(), change_request.name, status, name))
            rejections += is_rejection(status)
            if status == OK:
                self.confirmed.append(change_request)
                environment.on_trigger(ACKNOWLEDGED, name)
                return status
            if status in FINAL_REJECTIONS or rejections >= MAX_REJECTIONS:
                return status
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
        return 0

    def _start_submission(self, change_request: ChangeRequest, *, first: str = "") -> asyncio.Task:
        task = self.environment.create_task(self._submit(change_request, first=first))
        self.in_flight[task] = None
        task.add_done_callback(lambda done: self.in_flight.pop(done, None))
        return task

    async def _wait_for_capacity(self) -> None:
        """Waits until one more change may be in flight."""
        while len(self.in_flight) >= MAX_IN_FLIGHT:
            await asyncio.wait(list(self.in_flight), return_when=asyncio.FIRST_COMPLETED)

    async def submit_changes(self, change: Change) -> None:
        """Submits one change, or racing changes of several operators; then sends requests on the changed routes."""
        rng = random.Random(change.pick)
        names = [machine.name for machine in self.environment.seeds()]
        await self._wait_for_capacity()
        if change.contested:
            composed = [
                ComposedChange(change_request, [])
                for change_request in self.book.contested_changes(change.operators, rng)
            ]
        else:
            composed = [self.book.compose(change.how, rng) for _ in range(change.operators)]
        tasks = [
            self._start_submission(item.change_request, first=names[(change.pick + operator) % len(names)])
            for operator, item in enumerate(composed)
        ]
        # All operators' submissions are already in flight.
        for task in tasks:
            if await task != OK:
                return
        await self._probe([route for item in composed for route in item.visible_routes])

    async def submit_storm(self, storm: ChangeStorm) -> None:
        """Submits many changes without waiting for the answers to earlier ones."""
        rng = random.Random(storm.pick)
        for _ in range(storm.changes):
            await self._wait_for_capacity()
            self._start_submission(self.book.compose(rng.choice(STORM_KINDS), rng).change_request)
            await asyncio.sleep(storm.gap)

    async def submit_large_change(self, large: LargeChange) -> None:
        """Submits one change with many new routes."""
        await self._wait_for_capacity()
        await self._start_submission(self.book.large_change(large.routes, random.Random(large.routes)))

    async def repeat_change(self, repeat: RepeatChange) -> None:
        """Submits a confirmed change again; it must be confirmed again, regardless of later changes."""
        if self.confirmed:
            await self._wait_for_capacity()
            await self._start_submission(self.confirmed[repeat.pick % len(self.confirmed)])

    async def lose_answers(self, lost: LostAnswers) -> None:
        """Loses a share of the answers to operators for a while."""
        self.answer_loss_probability = lost.share
        await asyncio.sleep(lost.seconds)
        self.answer_loss_probability = 0.0

    async def submit_invalid_change(self, invalid: InvalidChange) -> None:
        """Submits a change that must be rejected, or an outdated one."""
        rng = random.Random(invalid.pick)
        await self._wait_for_capacity()
        outdated = invalid.how == "old"
        change_request = self.book.outdated_change(rng) if outdated else self.book.invalid_change(invalid.how, rng)
        await self._start_submission(change_request)

    async def submit_final_change(self) -> None:
        """Submits one more change without faults; a core that has permanently lost its majority can't commit it."""
        composed = self.book.compose("times", random.Random(self.environment.day.seed))
        self.environment.history.add(FinalChange(self.environment.now(), composed.change_request.name))
        submission = self._start_submission(composed.change_request)
        await self.environment.wait_for(submission, BOUNDS["ack_s"] + ANSWER_TIMEOUT_SECONDS)

    async def _probe(self, routes: list[Route]) -> None:
        """Sends requests in every zone on changed routes: at once, when the change must be in force, and later."""
        for wait in (0.0, BOUNDS["apply_s"] + 0.05, 1.0):
            await asyncio.sleep(wait)
            for route in routes:
                for zone in self.environment.day.site.zones:
                    machine = self.environment.pick_machine(zone)
                    if machine:
                        self.environment.create_task(self.environment.clients.probe(route, machine))

    async def read_back(self, *, seconds: float) -> None:
        """Reads the configuration from every core machine, retrying for up to `seconds`."""
        samples = adapter("samples")

        async def read(name: str) -> None:
            until = self.environment.now() + seconds
            while True:
                answer = await self.environment.control(
                    name, samples.READ, samples.CONFIG_PATH, b"", within=ANSWER_TIMEOUT_SECONDS
                )
                done = answer is not None and answer.status == OK
                if done or self.environment.now() >= until:
                    break
                await asyncio.sleep(READ_RETRY_SECONDS)
            routes = samples.routes_of(answer.body) if done else None
            self.environment.history.add(ConfigurationRead(self.environment.now(), name, routes))

        await asyncio.gather(*(read(name) for name in self.environment.core))
