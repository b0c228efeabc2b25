"""Bundles: the routes and services of a mesh as operators declare them, numbered and rolled out in stages.

A bundle is written in TOML and decoded by bundle_checks.py. Its fields keep the names that operators write: if a field
here has another name, `rename` gives the declared name.
"""

import hashlib
from datetime import timedelta

import msgspec

# The caller name that stands for all clients outside the mesh.
CLIENTS = "visitors"
SAFE_METHODS = frozenset({"GET", "HEAD"})
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, and the retries that the whole fleet may send to its servers."""

    name: str
    # Retries allowed in any 10 seconds: the percentage of the traffic, and the number allowed in addition.
    further_percent: int = 20
    further_margin: int = 10


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route: which requests go to a service, which callers may send them, and within which limits."""

    name: str
    service: str
    # A request matches if its path equals this path or continues it after a slash.
    path: str
    methods: list[str]
    # Names of services, and CLIENTS.
    callers: list[str]
    # Whether each request must run only once; such requests carry an idempotency key.
    once: bool = False
    budget_seconds: float = 5.0
    body_bytes: int = 65536
    answer_bytes: int = 1048576


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"proxies": "stalls"}):
    """A rollout stage: the proxies at which the bundle applies from this stage on."""

    name: str
    proxies: list[str] = []
    zones: list[str] = []
    everyone: bool = False

    def includes(self, *, proxy: str, zone: str) -> bool:
        """Whether a proxy belongs to the stage."""
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
    # The header or cookie that identifies a client, as credentials change: "header:NAME" or "cookie:NAME".
    client: str = ""

    def level(self) -> int:
        """Returns the lowest release level that supports every field in use."""
        return 2 if self.client else 1

    def rollout(self) -> list[Stage]:
        """Returns the stages; if none is declared, a single stage with the whole fleet."""
        return self.stages or [Stage(name="everyone", everyone=True)]

    def service(self, name: str) -> Service | None:
        """Returns the service with a name, or None if it is not declared."""
        return next((service for service in self.services if service.name == name), None)

    def in_stage(self, *, stage: int, proxy: str, zone: str) -> bool:
        """Whether the bundle applies at a proxy once a number of stages has been reached."""
        return any(each.includes(proxy=proxy, zone=zone) for each in self.rollout()[:stage])

    def match_route(self, *, method: str, path: str) -> Route | None:
        """Returns the route of a request: of the routes that match method and path, the one with the longest path."""
        longest = None
        for route in self.routes:
            matches = method in route.methods and (path == route.path or path.startswith(route.path + "/"))
            if matches and (longest is None or len(route.path) > len(longest.path)):
                longest = route
        return longest

    def route(self, name: str) -> Route | None:
        """Returns the route with a name, or None if it is not declared."""
        return next((route for route in self.routes if route.name == name), None)


def budget_of(route: Route) -> timedelta:
    """Returns the time that a request of a route may take from its arrival to its answer."""
    return timedelta(seconds=route.budget_seconds)


def digest_of(text: str) -> str:
    """Returns the SHA-256 digest of a text in hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()
