"""The operators: how orders are sent, sent again after lost answers, and what is read back at the end."""

import asyncio
import random

from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.history import LastOrder, ReadBack, Told, Unheard
from hoistsaddle.testbed.emulator.orders import Composed, Order, OrderBook
from hoistsaddle.testbed.emulator.site import BOUNDS, Route
from hoistsaddle.testbed.emulator.stage import Stage
from hoistsaddle.testbed.emulator.troubles import ACKNOWLEDGED, SENT, Again, BadOrder, Change, Large, LostWords, Storm

FINAL = (400, 409, 412, 413, 422)
CONFIRMED = 200
SILENCE = 1.0
LONGEST = 40.0
# So many orders may be under way at once, as the platform's page says.
MOST_AT_ONCE = 8
STORM_KINDS = ("add", "drop", "split", "move", "times", "idle", "idle")


class Operators:
    def __init__(self, *, arena: Stage) -> None:
        self.arena = arena
        self.random = arena.random
        self.book = OrderBook(stage=arena)
        self.open: dict[asyncio.Task, None] = {}
        # Orders with a confirmation that was heard, to be sent again.
        self.confirmed: list[Order] = []
        # Of the answers to operators, so many are lost now.
        self.lost_share = 0.0

    async def first_setup(self) -> bool:
        return await self._send(self.book.proper(list(self.arena.day.site.routes), first=True)) == CONFIRMED

    def _machines(self, begin: str) -> list[str]:
        names = [machine.name for machine in self.arena.seeds()]
        self.random.shuffle(names)
        if begin in names:
            names.remove(begin)
            names.insert(0, begin)
        return names

    async def _send(self, order: Order, *, begin: str = "") -> int:
        """Until there is a clear answer, to one core machine after the other, with growing pauses."""
        arena = self.arena
        samples = adapter("samples")
        names = self._machines(begin)
        pause, until, odd = 0.05, arena.moment() + LONGEST, 0
        arena.happened(SENT)
        while arena.moment() < until:
            name = names[0]
            names = [*names[1:], name]
            answer = await arena.control(name, samples.CHANGE, samples.CONFIG_PATH, order.body, within=SILENCE)
            status = 0 if answer is None else answer.status
            if answer is not None and self.random.random() < self.lost_share:
                arena.history.add(Unheard(arena.moment(), order.name, status, name))
                status = 0
                await asyncio.sleep(SILENCE)
            arena.history.add(Told(arena.moment(), order.name, status, name))
            odd += 400 <= status < 500 and status not in (408, 429)
            if status == CONFIRMED:
                self.confirmed.append(order)
                arena.happened(ACKNOWLEDGED, name)
                return status
            if status in FINAL or odd >= 3:
                return status
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        return 0

    def spawn(self, order: Order, *, begin: str = "") -> asyncio.Task:
        task = self.arena.keep(self._send(order, begin=begin))
        self.open[task] = None
        task.add_done_callback(lambda done: self.open.pop(done, None))
        return task

    async def _room(self) -> None:
        while len(self.open) >= MOST_AT_ONCE:
            await asyncio.wait(list(self.open), return_when=asyncio.FIRST_COMPLETED)

    async def change(self, change: Change) -> None:
        draw = random.Random(change.pick)
        names = [machine.name for machine in self.arena.seeds()]
        await self._room()
        if change.contested:
            composed = [Composed(order, []) for order in self.book.contest(change.desks, draw)]
        else:
            composed = [self.book.change(change.how, draw) for _ in range(change.desks)]
        tasks = [
            self.spawn(each.order, begin=names[(change.pick + desk) % len(names)]) for desk, each in enumerate(composed)
        ]
        # The desks' calls are under way at once.
        for task in tasks:
            if await task != CONFIRMED:
                return
        await self._probe([route for each in composed for route in each.probed])

    async def storm(self, storm: Storm) -> None:
        draw = random.Random(storm.pick)
        for _ in range(storm.orders):
            await self._room()
            self.spawn(self.book.change(draw.choice(STORM_KINDS), draw).order)
            await asyncio.sleep(storm.gap)

    async def large(self, large: Large) -> None:
        await self._room()
        await self.spawn(self.book.large(large.routes, random.Random(large.routes)))

    async def again(self, again: Again) -> None:
        """What was confirmed is confirmed again, however much came after it."""
        if self.confirmed:
            await self._room()
            await self.spawn(self.confirmed[again.pick % len(self.confirmed)])

    async def lose_words(self, lost: LostWords) -> None:
        self.lost_share = lost.share
        await asyncio.sleep(lost.seconds)
        self.lost_share = 0.0

    async def bad_order(self, bad: BadOrder) -> None:
        draw = random.Random(bad.pick)
        await self._room()
        await self.spawn(self.book.old(draw) if bad.how == "old" else self.book.bad(bad.how, draw))

    async def last_order(self) -> None:
        """One more change in calm. A core that has lost its majority for ever can't take it."""
        composed = self.book.change("times", random.Random(self.arena.day.seed))
        self.arena.history.add(LastOrder(self.arena.moment(), composed.order.name))
        await self.arena.within(self.spawn(composed.order), BOUNDS["ack_s"] + SILENCE)

    async def _probe(self, routes: list[Route]) -> None:
        for wait in (0.0, BOUNDS["apply_s"] + 0.05, 1.0):
            await asyncio.sleep(wait)
            for route in routes:
                for zone in self.arena.day.site.zones:
                    machine = self.arena.open_machine(zone)
                    if machine:
                        self.arena.keep(self.arena.visitors.probe(route, machine))

    async def read_back(self, *, seconds: float) -> None:
        """Asks every core machine, again and again for this long."""
        samples = adapter("samples")

        async def read(name: str) -> None:
            until = self.arena.moment() + seconds
            while True:
                answer = await self.arena.control(name, samples.READ, samples.CONFIG_PATH, b"", within=SILENCE)
                done = answer is not None and answer.status == CONFIRMED
                if done or self.arena.moment() >= until:
                    break
                await asyncio.sleep(0.1)
            routes = samples.read_whole(answer.body) if done else None
            self.arena.history.add(ReadBack(self.arena.moment(), name, routes))

        await asyncio.gather(*(read(name) for name in self.arena.core))
