"""The operators: the first setup, changes, races of two desks, broken orders, and what they read back at the end."""

import asyncio
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.day import BOUNDS, ONCE_PER_KEY, REPEATABLE, BadOrder, Change, Route
from hoistsaddle.testbed.emulator.history import Ordered, ReadBack, Told

if TYPE_CHECKING:
    from hoistsaddle.testbed.emulator.arena import Arena

CONFIG = "/-/config"
FINAL = (400, 409, 412, 413, 422)
SILENCE = 1.0
LONGEST = 40.0


class Order(NamedTuple):
    name: str
    body: bytes
    routes: tuple[tuple[str, int, Route | None], ...]


class Operators:
    def __init__(self, *, arena: "Arena") -> None:
        self.arena = arena
        self.random = arena.random
        self.revision = 0
        # Every version ever sent in a proper order, newest last.
        self.versions: dict[str, list[tuple[int, Route | None]]] = {}
        self.added = 0
        self.open: dict[asyncio.Task, None] = {}

    def _revision(self) -> int:
        self.revision += self.random.randint(1, 4)
        return self.revision

    def _told(self, route: Route, revision: int) -> dict[str, Any]:
        return adapter("samples").route(
            name=route.name,
            host=route.host,
            prefix=route.prefix,
            kind=route.kind,
            parts=list(route.parts),
            hold=route.hold,
            aim=route.aim,
            rank=route.rank,
            sends=route.sends,
            revision=revision,
        )

    def standing_routes(self) -> list[Route]:
        newest = [max(versions, key=lambda each: each[0])[1] for versions in self.versions.values()]
        return [route for route in newest if route is not None]

    def _order(
        self, sets: list[Route], drops: tuple[str, ...] = (), *, first: bool = False, revision: int | None = None
    ) -> Order:
        number = self._revision() if revision is None else revision
        samples = adapter("samples")
        told = [self._told(route, number) for route in sets]
        services = [samples.service(name=shape.name, revision=number) for shape in self.arena.day.site.services]
        body = samples.call(
            routes=told,
            services=services if first else [],
            constraints=samples.limits(revision=number) if first else None,
            removed=[(name, number) for name in drops],
        )
        routes = (*((route.name, number, route) for route in sets), *((name, number, None) for name in drops))
        order = Order(f"order-{next(self.arena.counter)}", body, routes)
        said = {each["name"]: each for each in told}
        self.arena.history.add(Ordered(self.arena.moment(), order.name, routes, True, said))
        for name, at, route in routes:
            self.versions.setdefault(name, []).append((at, route))
        return order

    async def first_setup(self) -> bool:
        return await self._send(self._order(list(self.arena.day.site.routes), first=True)) == 200

    async def _send(self, order: Order, *, begin: str = "") -> int:
        """Until there is a clear answer, to one core machine after the other, with growing pauses."""
        arena = self.arena
        names = [machine.name for machine in arena.day.site.core]
        self.random.shuffle(names)
        if begin:
            names.remove(begin)
            names.insert(0, begin)
        pause, until, odd = 0.05, arena.moment() + LONGEST, 0
        while arena.moment() < until:
            name = names[0]
            names = [*names[1:], name]
            answer = await arena.control(name, "PATCH", CONFIG, order.body, within=SILENCE)
            status = 0 if answer is None else answer.status
            arena.history.add(Told(arena.moment(), order.name, status, name))
            odd += 400 <= status < 500 and status not in (408, 429)
            if status == 200:
                arena.acknowledged(name)
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

    async def change(self, change: Change) -> None:
        draw = random.Random(change.pick)
        probed: list[Route] = []
        tasks = []
        names = [machine.name for machine in self.arena.day.site.core]
        for desk in range(change.desks):
            order, touched = self._changed(change.how, draw)
            probed += touched
            tasks.append(self.spawn(order, begin=names[(change.pick + desk) % len(names)]))
        # Two desks' calls are under way at once.
        for task in tasks:
            if await task != 200:
                return
        await self._probe(probed)

    async def _probe(self, routes: list[Route]) -> None:
        for wait in (0.0, BOUNDS["apply_s"] + 0.05, 1.0):
            await asyncio.sleep(wait)
            for route in routes:
                for zone in self.arena.day.site.zones:
                    machine = self.arena.open_machine(zone)
                    if machine:
                        self.arena.keep(self.arena.visitors.probe(route, machine))

    def _changed(self, how: str, draw: random.Random) -> tuple[Order, list[Route]]:
        services = [shape.name for shape in self.arena.day.site.services]
        standing = self.standing_routes()
        extra = [route for route in standing if route.name.startswith("r-new")]
        usual = [route for route in standing if not route.name.startswith(("r-new", "r-peek"))]
        if how in ("drop", "idle") and not extra:
            how = "add"
        match how:
            case "add":
                self.added += 1
                name = f"r-new-{self.added}"
                kind = draw.choice((REPEATABLE, ONCE_PER_KEY))
                part = ((draw.choice(services), 1.0),)
                host = draw.choice(self.arena.day.site.routes).host
                route = Route(name, host, f"/{name}/", kind, part, 2.0, 0.5, 2, 2)
                return self._order([route]), [route]
            case "drop":
                route = draw.choice(extra)
                return self._order([], (route.name,)), [route]
            case "idle":
                return self._order([draw.choice(extra)]), []
            case "split":
                route = draw.choice(usual)
                some = draw.sample(services, 2)
                route = route._replace(parts=((some[0], float(draw.randint(1, 9))), (some[1], 5.0)))
                return self._order([route]), [route]
            case "move":
                route = draw.choice(usual)
                route = route._replace(parts=((draw.choice(services), 1.0),))
                return self._order([route]), [route]
            case _:
                route = draw.choice(usual)
                route = route._replace(hold=draw.choice((1.0, 2.0, 4.0)), aim=draw.choice((0.3, 0.5, 0.8)))
                return self._order([route]), []

    async def bad_order(self, bad: BadOrder) -> None:
        draw = random.Random(bad.pick)
        if bad.how == "old":
            name = draw.choice([name for name, versions in self.versions.items()])
            revision, route = min(self.versions[name], key=lambda each: each[0])
            order = self._order([route] if route else [], () if route else (name,), revision=revision)
            await self.spawn(order)
            return
        samples = adapter("samples")
        services = [shape.name for shape in self.arena.day.site.services]
        number = self._revision()
        usual = [route for route in self.standing_routes() if not route.name.startswith(("r-new", "r-peek"))]
        # One item of it is right and would show; one is wrong, so neither may count.
        first, second = draw.sample(usual, 2)
        right = first._replace(parts=((draw.choice(services), 1.0),))
        wrong = self._told(second, number)
        match bad.how:
            case "unknown service" if "split" in wrong and draw.random() < 0.5:
                wrong["split"][-1]["service"] = "nobody"
            case "unknown service":
                # Also beside a split.
                wrong["service"] = "nobody"
            case "below 0":
                wrong.pop("service", None)
                wrong["split"] = [{"service": services[0], "gain": 2}, {"service": services[1], "gain": -1}]
            case "no hold":
                wrong["cutoff_s"] = 0
            case "aim":
                wrong["target_s"] = wrong["cutoff_s"] + 60
            case "kind":
                wrong["route_kind"] = "whenever"
        body = samples.call(routes=[self._told(right, number), wrong])
        if bad.how == "torn":
            body = body[: len(body) * 2 // 3]
        routes = ((right.name, number, right), (second.name, number, second))
        order = Order(f"order-{next(self.arena.counter)}", body, routes)
        self.arena.history.add(Ordered(self.arena.moment(), order.name, routes, False, {}))
        await self.spawn(order)

    async def read_back(self, *, seconds: float) -> None:
        """Asks every core machine, again and again for this long."""

        async def read(name: str) -> None:
            until = self.arena.moment() + seconds
            while True:
                answer = await self.arena.control(name, "GET", CONFIG, b"", within=SILENCE)
                done = answer is not None and answer.status == 200
                if done or self.arena.moment() >= until:
                    break
                await asyncio.sleep(0.1)
            routes = adapter("samples").read_whole(answer.body) if done else None
            self.arena.history.add(ReadBack(self.arena.moment(), name, routes))

        await asyncio.gather(*(read(machine.name) for machine in self.arena.day.site.core))
