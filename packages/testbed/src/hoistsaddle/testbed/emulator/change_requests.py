"""What operators order: items at rising versions, and what was ever sent of each."""

import random
from typing import Any, NamedTuple

from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ChangeSubmitted
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, Route

Routes = tuple[tuple[str, int, Route | None], ...]
# Routes that come during a day, and the one that servers call among themselves.
NEW, INNER = "r-new", "r-peek"
# Holds and aims that a route may be given, in seconds.
HOLDS, AIMS = (1.0, 2.0, 4.0), (0.3, 0.5, 0.8)


class ChangeRequest(NamedTuple):
    name: str
    body: bytes
    routes: Routes


class Composed(NamedTuple):
    """An order, and the routes on which it can be seen at once."""

    change_request: ChangeRequest
    probed: list[Route]


class ChangeRequestBook:
    """Writes the orders. The history gets each one as it is written."""

    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.revision = 0
        # Every version ever sent in a proper order, newest last.
        self.versions: dict[str, list[tuple[int, Route | None]]] = {}
        self.added = 0

    def next_revision(self) -> int:
        self.revision += self.environment.random.randint(1, 4)
        return self.revision

    def _said(self, route: Route, revision: int) -> dict[str, Any]:
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

    def _usual(self) -> list[Route]:
        return [route for route in self.standing_routes() if not route.name.startswith((NEW, INNER))]

    def _keep(
        self, body: bytes, routes: Routes, said: dict[str, Any], *, proper: bool, contested: bool
    ) -> ChangeRequest:
        change_request = ChangeRequest(f"order-{next(self.environment.counter)}", body, routes)
        self.environment.history.add(
            ChangeSubmitted(self.environment.now(), change_request.name, routes, proper, said, contested)
        )
        return change_request

    def proper(
        self,
        sets: list[Route],
        drops: tuple[str, ...] = (),
        *,
        first: bool = False,
        revision: int | None = None,
        contested: bool = False,
    ) -> ChangeRequest:
        number = self.next_revision() if revision is None else revision
        samples = adapter("samples")
        said = [self._said(route, number) for route in sets]
        services = [
            samples.service(name=service_spec.name, revision=number)
            for service_spec in self.environment.day.site.services
        ]
        body = samples.call(
            routes=said,
            services=services if first else [],
            constraints=samples.limits(revision=number) if first else None,
            removed=[(name, number) for name in drops],
        )
        routes = (*((route.name, number, route) for route in sets), *((name, number, None) for name in drops))
        for name, at, route in routes:
            self.versions.setdefault(name, []).append((at, route))
        by_name = {each["name"]: each for each in said}
        return self._keep(body, routes, by_name, proper=True, contested=contested)

    def _new(self, rng: random.Random, *, kinds: tuple[str, ...] = (REPEATABLE, ONCE_PER_KEY)) -> Route:
        site = self.environment.day.site
        self.added += 1
        name = f"{NEW}-{self.added}"
        kind, part = rng.choice(kinds), ((rng.choice(site.services).name, 1.0),)
        return Route(name, rng.choice(site.routes).host, f"/{name}/", kind, part, 2.0, 0.5, 2, 2)

    def change(self, how: str, rng: random.Random) -> Composed:
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        extra = [route for route in self.standing_routes() if route.name.startswith(NEW)]
        if how in ("drop", "idle") and not extra:
            how = "add"
        match how:
            case "add":
                route = self._new(rng)
                return Composed(self.proper([route]), [route])
            case "drop":
                route = rng.choice(extra)
                return Composed(self.proper([], (route.name,)), [route])
            case "idle":
                return Composed(self.proper([rng.choice(extra)]), [])
            case "split":
                some = rng.sample(services, 2)
                parts = ((some[0], float(rng.randint(1, 9))), (some[1], 5.0))
                route = rng.choice(self._usual())._replace(parts=parts)
                return Composed(self.proper([route]), [route])
            case "move":
                route = rng.choice(self._usual())._replace(parts=((rng.choice(services), 1.0),))
                return Composed(self.proper([route]), [route])
            case _:
                route = rng.choice(self._usual())._replace(hold=rng.choice(HOLDS), aim=rng.choice(AIMS))
                return Composed(self.proper([route]), [])

    def contest(self, operators: int, rng: random.Random) -> list[ChangeRequest]:
        """One version of one route for all desks, each with a content of its own."""
        route, revision = rng.choice(self._usual()), self.next_revision()
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        contents = [
            route._replace(parts=((services[place % len(services)], 1.0),), rank=place // len(services))
            for place in range(operators)
        ]
        return [self.proper([each], revision=revision, contested=True) for each in contents]

    def large(self, count: int, rng: random.Random) -> ChangeRequest:
        return self.proper([self._new(rng, kinds=(REPEATABLE,)) for _ in range(count)])

    def old(self, rng: random.Random) -> ChangeRequest:
        """A version that was overtaken, as it was first sent."""
        name = rng.choice(list(self.versions))
        revision, route = min(self.versions[name], key=lambda each: each[0])
        return self.proper([route] if route else [], () if route else (name,), revision=revision)

    def bad(self, how: str, rng: random.Random) -> ChangeRequest:
        """One item of it is right and would show; one is wrong, so neither may count."""
        samples = adapter("samples")
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        number = self.next_revision()
        first, second = rng.sample(self._usual(), 2)
        right = first._replace(parts=((rng.choice(services), 1.0),))
        beside = how == "unknown service" and len(second.parts) > 1 and rng.random() < 0.5
        wrong = samples.spoiled(self._said(second, number), how=how, services=services, beside_split=beside)
        body = samples.call(routes=[self._said(right, number), wrong])
        if how == "torn":
            body = body[: len(body) * 2 // 3]
        routes = ((right.name, number, right), (second.name, number, second))
        return self._keep(body, routes, {}, proper=False, contested=False)
