"""The changes that operators submit: routes at increasing revisions, with all submitted versions of each."""

import random
from typing import Any, NamedTuple

from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ChangeSubmitted, RouteChange
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, Route

# Name prefixes of routes that are added during a day, and of the one for nested calls.
NEW, INNER = "r-new", "r-peek"
# Timeouts and latency targets to choose from, in seconds.
TIMEOUTS, LATENCY_TARGETS = (1.0, 2.0, 4.0), (0.3, 0.5, 0.8)


class ChangeRequest(NamedTuple):
    """A change as submitted, with the routes that it sets or removes."""

    name: str
    body: bytes
    routes: tuple[RouteChange, ...]


class ComposedChange(NamedTuple):
    """A change, and the routes whose handling of requests reveals whether it is in force."""

    change_request: ChangeRequest
    visible_routes: list[Route]


class ChangeRequestBook:
    """Composes the changes, and records each in the history as it is composed."""

    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.revision = 0
        # Every version of a route in a valid change, in the order of submission.
        self.versions: dict[str, list[RouteChange]] = {}
        self.routes_added = 0

    def next_revision(self) -> int:
        """A revision above all earlier ones."""
        self.revision += self.environment.random.randint(1, 4)
        return self.revision

    def _encode_route(self, route: Route, revision: int) -> dict[str, Any]:
        return adapter("samples").route(
            name=route.name,
            host=route.host,
            prefix=route.prefix,
            kind=route.kind,
            parts=list(route.parts),
            hold=route.timeout,
            aim=route.latency_target,
            rank=route.rank,
            sends=route.max_attempts,
            revision=revision,
        )

    def current_routes(self) -> list[Route]:
        """The newest submitted version of each route, without removed routes."""
        newest = [max(versions, key=lambda version: version.revision) for versions in self.versions.values()]
        return [version.route for version in newest if version.route is not None]

    def _initial_routes(self) -> list[Route]:
        """The current routes of the initial configuration that clients call."""
        return [route for route in self.current_routes() if not route.name.startswith((NEW, INNER))]

    def _record(
        self,
        body: bytes,
        routes: tuple[RouteChange, ...],
        encoded_routes: dict[str, Any],
        *,
        valid: bool,
        contested: bool,
    ) -> ChangeRequest:
        change_request = ChangeRequest(f"order-{next(self.environment.counter)}", body, routes)
        self.environment.history.add(
            ChangeSubmitted(self.environment.now(), change_request.name, routes, valid, encoded_routes, contested)
        )
        return change_request

    def valid_change(
        self,
        changed: list[Route],
        removed: tuple[str, ...] = (),
        *,
        first: bool = False,
        revision: int | None = None,
        contested: bool = False,
    ) -> ChangeRequest:
        """Sets and removes routes at one revision, by default a new one; `first` also sets services and limits."""
        number = self.next_revision() if revision is None else revision
        samples = adapter("samples")
        encoded = [self._encode_route(route, number) for route in changed]
        services = [
            samples.service(name=service_spec.name, revision=number)
            for service_spec in self.environment.day.site.services
        ]
        body = samples.call(
            routes=encoded,
            services=services if first else [],
            constraints=samples.limits(revision=number) if first else None,
            removed=[(name, number) for name in removed],
        )
        routes = (
            *(RouteChange(route.name, number, route) for route in changed),
            *(RouteChange(name, number, None) for name in removed),
        )
        for version in routes:
            self.versions.setdefault(version.name, []).append(version)
        by_name = {route["name"]: route for route in encoded}
        return self._record(body, routes, by_name, valid=True, contested=contested)

    def _new_route(self, rng: random.Random, *, kinds: tuple[str, ...] = (REPEATABLE, ONCE_PER_KEY)) -> Route:
        site = self.environment.day.site
        self.routes_added += 1
        name = f"{NEW}-{self.routes_added}"
        kind, part = rng.choice(kinds), ((rng.choice(site.services).name, 1.0),)
        return Route(name, rng.choice(site.routes).host, f"/{name}/", kind, part, 2.0, 0.5, 2, 2)

    def compose(self, how: str, rng: random.Random) -> ComposedChange:
        """A valid change of the given kind; "drop" and "idle" become "add" if no added route exists."""
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        added = [route for route in self.current_routes() if route.name.startswith(NEW)]
        if how in ("drop", "idle") and not added:
            how = "add"
        match how:
            case "add":
                route = self._new_route(rng)
                return ComposedChange(self.valid_change([route]), [route])
            case "drop":
                route = rng.choice(added)
                return ComposedChange(self.valid_change([], (route.name,)), [route])
            case "idle":
                return ComposedChange(self.valid_change([rng.choice(added)]), [])
            case "split":
                first, second = rng.sample(services, 2)
                parts = ((first, float(rng.randint(1, 9))), (second, 5.0))
                route = rng.choice(self._initial_routes())._replace(parts=parts)
                return ComposedChange(self.valid_change([route]), [route])
            case "move":
                route = rng.choice(self._initial_routes())._replace(parts=((rng.choice(services), 1.0),))
                return ComposedChange(self.valid_change([route]), [route])
            case _:
                route = rng.choice(self._initial_routes())._replace(
                    timeout=rng.choice(TIMEOUTS), latency_target=rng.choice(LATENCY_TARGETS)
                )
                return ComposedChange(self.valid_change([route]), [])

    def contested_changes(self, operators: int, rng: random.Random) -> list[ChangeRequest]:
        """Changes of several operators to one revision of one route, each with different content."""
        route, revision = rng.choice(self._initial_routes()), self.next_revision()
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        contents = [
            route._replace(parts=((services[number % len(services)], 1.0),), rank=number // len(services))
            for number in range(operators)
        ]
        return [self.valid_change([content], revision=revision, contested=True) for content in contents]

    def large_change(self, count: int, rng: random.Random) -> ChangeRequest:
        """One change that adds `count` routes."""
        return self.valid_change([self._new_route(rng, kinds=(REPEATABLE,)) for _ in range(count)])

    def outdated_change(self, rng: random.Random) -> ChangeRequest:
        """A change that submits the oldest version of a random route again."""
        name = rng.choice(list(self.versions))
        oldest = min(self.versions[name], key=lambda version: version.revision)
        if oldest.route is None:
            return self.valid_change([], (name,), revision=oldest.revision)
        return self.valid_change([oldest.route], revision=oldest.revision)

    def invalid_change(self, how: str, rng: random.Random) -> ChangeRequest:
        """A change of two routes, one of which is invalid in the given way; neither may come into force."""
        samples = adapter("samples")
        services = [service_spec.name for service_spec in self.environment.day.site.services]
        number = self.next_revision()
        first, second = rng.sample(self._initial_routes(), 2)
        valid = first._replace(parts=((rng.choice(services), 1.0),))
        beside_split = how == "unknown service" and len(second.parts) > 1 and rng.random() < 0.5
        invalid = samples.invalid_route(
            self._encode_route(second, number), how=how, services=services, beside_split=beside_split
        )
        body = samples.call(routes=[self._encode_route(valid, number), invalid])
        if how == "torn":
            body = body[: len(body) * 2 // 3]
        routes = (RouteChange(valid.name, number, valid), RouteChange(second.name, number, second))
        return self._record(body, routes, {}, valid=False, contested=False)
