"""The operators: how orders are sent, sent again after lost answers, and what is read back at the end."""

import asyncio
import random

from hoistsaddle.testbed.emulator.change_requests import ChangeRequest, ChangeRequestBook, Composed
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

FINAL = (400, 409, 412, 413, 422)
CONFIRMED = 200
ANSWER_TIMEOUT_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 40.0
# So many orders may be under way at once, as the platform's page says.
MAX_IN_FLIGHT = 8
STORM_KINDS = ("add", "drop", "split", "move", "times", "idle", "idle")


class Operators:
    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.random = environment.random
        self.book = ChangeRequestBook(environment=environment)
        self.open: dict[asyncio.Task, None] = {}
        # Orders with a confirmation that was heard, to be sent again.
        self.confirmed: list[ChangeRequest] = []
        # Of the answers to operators, so many are lost now.
        self.answer_loss_probability = 0.0

    async def first_configuration(self) -> bool:
        return await self._send(self.book.proper(list(self.environment.day.site.routes), first=True)) == CONFIRMED

    def _machines(self, begin: str) -> list[str]:
        names = [machine.name for machine in self.environment.seeds()]
        self.random.shuffle(names)
        if begin in names:
            names.remove(begin)
            names.insert(0, begin)
        return names

    async def _send(self, change_request: ChangeRequest, *, begin: str = "") -> int:
        """Until there is a clear answer, to one core machine after the other, with growing pauses."""
        environment = self.environment
        samples = adapter("samples")
        names = self._machines(begin)
        pause, until, odd = 0.05, environment.now() + SUBMIT_TIMEOUT_SECONDS, 0
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
            odd += 400 <= status < 500 and status not in (408, 429)
            if status == CONFIRMED:
                self.confirmed.append(change_request)
                environment.on_trigger(ACKNOWLEDGED, name)
                return status
            if status in FINAL or odd >= 3:
                return status
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        return 0

    def spawn(self, change_request: ChangeRequest, *, begin: str = "") -> asyncio.Task:
        task = self.environment.create_task(self._send(change_request, begin=begin))
        self.open[task] = None
        task.add_done_callback(lambda done: self.open.pop(done, None))
        return task

    async def _room(self) -> None:
        while len(self.open) >= MAX_IN_FLIGHT:
            await asyncio.wait(list(self.open), return_when=asyncio.FIRST_COMPLETED)

    async def change(self, change: Change) -> None:
        rng = random.Random(change.pick)
        names = [machine.name for machine in self.environment.seeds()]
        await self._room()
        if change.contested:
            composed = [Composed(change_request, []) for change_request in self.book.contest(change.operators, rng)]
        else:
            composed = [self.book.change(change.how, rng) for _ in range(change.operators)]
        tasks = [
            self.spawn(each.change_request, begin=names[(change.pick + operator) % len(names)])
            for operator, each in enumerate(composed)
        ]
        # The desks' calls are under way at once.
        for task in tasks:
            if await task != CONFIRMED:
                return
        await self._probe([route for each in composed for route in each.probed])

    async def storm(self, storm: ChangeStorm) -> None:
        rng = random.Random(storm.pick)
        for _ in range(storm.orders):
            await self._room()
            self.spawn(self.book.change(rng.choice(STORM_KINDS), rng).change_request)
            await asyncio.sleep(storm.gap)

    async def large(self, large: LargeChange) -> None:
        await self._room()
        await self.spawn(self.book.large(large.routes, random.Random(large.routes)))

    async def again(self, again: RepeatChange) -> None:
        """What was confirmed is confirmed again, however much came after it."""
        if self.confirmed:
            await self._room()
            await self.spawn(self.confirmed[again.pick % len(self.confirmed)])

    async def lose_answers(self, lost: LostAnswers) -> None:
        self.answer_loss_probability = lost.share
        await asyncio.sleep(lost.seconds)
        self.answer_loss_probability = 0.0

    async def invalid_change(self, bad: InvalidChange) -> None:
        rng = random.Random(bad.pick)
        await self._room()
        await self.spawn(self.book.old(rng) if bad.how == "old" else self.book.bad(bad.how, rng))

    async def final_change(self) -> None:
        """One more change in calm. A core that has lost its majority for ever can't take it."""
        composed = self.book.change("times", random.Random(self.environment.day.seed))
        self.environment.history.add(FinalChange(self.environment.now(), composed.change_request.name))
        await self.environment.within(self.spawn(composed.change_request), BOUNDS["ack_s"] + ANSWER_TIMEOUT_SECONDS)

    async def _probe(self, routes: list[Route]) -> None:
        for wait in (0.0, BOUNDS["apply_s"] + 0.05, 1.0):
            await asyncio.sleep(wait)
            for route in routes:
                for zone in self.environment.day.site.zones:
                    machine = self.environment.pick_machine(zone)
                    if machine:
                        self.environment.create_task(self.environment.clients.probe(route, machine))

    async def read_back(self, *, seconds: float) -> None:
        """Asks every core machine, again and again for this long."""
        samples = adapter("samples")

        async def read(name: str) -> None:
            until = self.environment.now() + seconds
            while True:
                answer = await self.environment.control(
                    name, samples.READ, samples.CONFIG_PATH, b"", within=ANSWER_TIMEOUT_SECONDS
                )
                done = answer is not None and answer.status == CONFIRMED
                if done or self.environment.now() >= until:
                    break
                await asyncio.sleep(0.1)
            routes = samples.read_complete(answer.body) if done else None
            self.environment.history.add(ConfigurationRead(self.environment.now(), name, routes))

        await asyncio.gather(*(read(name) for name in self.environment.core))
