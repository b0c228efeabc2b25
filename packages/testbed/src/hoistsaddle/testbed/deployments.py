"""The deployments under test: machines, services, and the requests of their clients."""

import tomllib
from collections.abc import Callable
from importlib import resources
from typing import NamedTuple


class NestedCall(NamedTuple):
    """A call that a server makes to another service while it answers."""

    method: str
    path: str


class RequestKind(NamedTuple):
    """One kind of request that clients send.

    Attributes:
        once: whether it needs an idempotency key and must run only once.
        weight: how often it is sent, relative to the other kinds.
    """

    method: str
    path: str
    once: bool
    weight: int


class Deployment(NamedTuple):
    """The machines, services and load of one deployment.

    Attributes:
        core: the number of core machines.
        services: the service of the server beside each proxy, in the order of the proxies.
        nested_calls: by service and path, the calls that a server makes while it answers.
    """

    name: str
    core: int
    zones: tuple[str, ...]
    services: tuple[str, ...]
    request_kinds: tuple[RequestKind, ...]
    nested_calls: dict[tuple[str, str], tuple[NestedCall, ...]]
    requests_per_second: int

    def zone_of(self, index: int) -> str:
        """The zone of the proxy at this index."""
        # Shifted by one after each round of zones, so that no service has all its servers in one zone.
        return self.zones[(index + index // len(self.zones)) % len(self.zones)]

    def first_bundle(self) -> str:
        """The text of the initial bundle."""
        return resources.files("hoistsaddle.testbed").joinpath("bundles", f"{self.name}-1.toml").read_text()

    def changed_bundle(self, change: Callable[[dict], None], *, number: int, based_on: int) -> str:
        """The first bundle with changed declarations, under another number."""
        declared = tomllib.loads(self.first_bundle())
        declared.update(number=number, based_on=based_on, note=str(number))
        change(declared)
        return to_toml(declared)

    def next_bundle(self, *, number: int, based_on: int, note: str = "") -> str:
        """The first bundle under another number and otherwise unchanged."""
        text = self.first_bundle().replace("number = 1\nbased_on = 0", f"number = {number}\nbased_on = {based_on}")
        return text.replace('note = "Opening day"', f'note = "{note or number}"')


def to_toml(values: dict) -> str:
    """Encodes plain values and lists of tables as TOML."""

    def encode_value(value) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return "[" + ", ".join(encode_value(each) for each in value) + "]"
        return str(value) if isinstance(value, int | float) else '"' + str(value) + '"'

    lines = [
        f"{name} = {encode_value(value)}"
        for name, value in values.items()
        if not (isinstance(value, list) and value and isinstance(value[0], dict))
    ]
    for name, value in values.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            for table in value:
                lines += ["", f"[[{name}]]", *(f"{field} = {encode_value(each)}" for field, each in table.items())]
    return "\n".join(lines) + "\n"


DEPLOYMENTS = {
    "brindlefield": Deployment(
        name="brindlefield",
        core=3,
        zones=("a", "b", "c"),
        services=(
            "portal",
            "ledger",
            "meter",
            "portal",
            "ledger",
            "meter",
            "portal",
            "ledger",
            "meter",
            "portal",
            "ledger",
        ),
        request_kinds=(
            RequestKind("GET", "/statements", False, 5),
            RequestKind("POST", "/payments", True, 2),
            RequestKind("POST", "/credits", True, 1),
            RequestKind("GET", "/readings", False, 1),
            RequestKind("POST", "/uploads", True, 1),
        ),
        nested_calls={("portal", "/statements"): (NestedCall("GET", "/balance"), NestedCall("GET", "/readings"))},
        requests_per_second=200,
    ),
    "kadiri": Deployment(
        name="kadiri",
        core=5,
        zones=("a", "b", "c"),
        services=(
            "cards",
            "billing",
            "decks",
            "progress",
            "cards",
            "billing",
            "decks",
            "progress",
            "cards",
            "billing",
            "decks",
            "progress",
            "cards",
        ),
        request_kinds=(
            RequestKind("GET", "/drills", False, 5),
            RequestKind("POST", "/saves", True, 3),
            RequestKind("POST", "/charges", True, 1),
            RequestKind("POST", "/uploads", True, 1),
            RequestKind("GET", "/progress", False, 1),
        ),
        nested_calls={("cards", "/drills"): (NestedCall("GET", "/decks"), NestedCall("GET", "/progress"))},
        requests_per_second=220,
    ),
    # Core machines without proxies, for tests and measurements of the log.
    "three": Deployment(
        name="three",
        core=3,
        zones=("a", "b", "c"),
        services=(),
        request_kinds=(),
        nested_calls={},
        requests_per_second=0,
    ),
    "five": Deployment(
        name="five",
        core=5,
        zones=("a", "b", "c"),
        services=(),
        request_kinds=(),
        nested_calls={},
        requests_per_second=0,
    ),
    "thimble": Deployment(
        name="thimble",
        core=3,
        zones=("a", "b", "c"),
        services=("portal", "ledger", "meter", "portal", "ledger", "meter"),
        request_kinds=(
            RequestKind("GET", "/statements", False, 3),
            RequestKind("POST", "/payments", True, 2),
            RequestKind("POST", "/uploads", True, 1),
        ),
        nested_calls={("portal", "/statements"): (NestedCall("GET", "/balance"), NestedCall("GET", "/readings"))},
        requests_per_second=30,
    ),
}
