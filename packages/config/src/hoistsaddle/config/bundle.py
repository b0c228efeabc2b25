"""Bundles: the routes and services of a mesh as operators declare them, numbered and rolled out in stages.

A bundle is TOML; bundle_checks.py reads it. Its fields keep the names that operators write: where a field here is named
otherwise, `rename` gives the declared name.
"""

import hashlib
from datetime import timedelta

import msgspec

# The caller of a route that stands for all clients outside the mesh.
CLIENTS = "visitors"
SAFE_METHODS = frozenset({"GET", "HEAD"})
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, and how many retries its servers may get from the whole fleet."""

    name: str
    # The share of its traffic that may be retries, in any 10 seconds, and how many more may be beside that.
    further_percent: int = 20
    further_margin: int = 10


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests go to a service, who may send them, and within which limits."""

    name: str
    service: str
    # A request's path matches it if it is equal, or continues it after a slash.
    path: str
    methods: list[str]
    # Names of services, and CLIENTS.
    callers: list[str]
    # Whether a request must run once: it carries an idempotency key then.
    once: bool = False
    budget_seconds: float = 5.0
    body_bytes: int = 65536
    answer_bytes: int = 1048576


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"proxies": "stalls"}):
    """A step of the roll-out: the proxies that act under the bundle from it on."""

    name: str
    proxies: list[str] = []
    zones: list[str] = []
    everyone: bool = False

    def includes(self, *, proxy: str, zone: str) -> bool:
        """Whether a proxy is one of the stage."""
        return self.everyone or proxy in self.proxies or zone in self.zones


class Bundle(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"routes": "entries", "client": "visitor"}
):
    """A complete configuration of the mesh."""

    number: int
    # The number of the bundle that it replaces; 0 for the first.
    based_on: int
    services: list[Service]
    routes: list[Route]
    stages: list[Stage] = []
    note: str = ""
    # What identifies a client beside its credentials, which change: "header:NAME" or "cookie:NAME".
    client: str = ""

    def level(self) -> int:
        """The release level that knows every field that is used here."""
        return 2 if self.client else 1

    def rollout(self) -> list[Stage]:
        """The stages; without any, the whole fleet is the one stage."""
        return self.stages or [Stage(name="everyone", everyone=True)]

    def service(self, name: str) -> Service | None:
        """The service of a name, if it is declared."""
        return next((service for service in self.services if service.name == name), None)

    def in_stage(self, *, stage: int, proxy: str, zone: str) -> bool:
        """Whether a proxy acts under the bundle once so many stages were reached."""
        return any(each.includes(proxy=proxy, zone=zone) for each in self.rollout()[:stage])

    def match_route(self, *, method: str, path: str) -> Route | None:
        """The route of a request: of those that match its method and path, the one with the longest path."""
        found = None
        for route in self.routes:
            matches = method in route.methods and (path == route.path or path.startswith(route.path + "/"))
            if matches and (found is None or len(route.path) > len(found.path)):
                found = route
        return found

    def route(self, name: str) -> Route | None:
        """The route of a name, if it is declared."""
        return next((route for route in self.routes if route.name == name), None)


def budget_of(route: Route) -> timedelta:
    """The time that a request of a route may take, from its arrival to its answer."""
    return timedelta(seconds=route.budget_seconds)


def digest_of(text: str) -> str:
    """The SHA-256 digest of a text, in hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()
