"""What happened, as told by callers, servers and operators. Checkers read it afterwards."""

import hashlib
from typing import NamedTuple

from hoistsaddle.statemachine.state import GONE


def mark_of(body: bytes) -> str:
    """A body as a history keeps it."""
    return hashlib.sha256(body).hexdigest()[:16] if body else ""


class Asked(NamedTuple):
    moment: float
    request: str
    method: str
    path: str
    key: str
    visitor: str
    door: str = ""
    size: int = 0


class Got(NamedTuple):
    """What the caller got; outcome is the mesh's word, "broken" when the connection was cut mid-answer."""

    moment: float
    request: str
    outcome: str
    status: int
    nonce: str
    run: str
    repeat: bool
    door: str = ""
    kind: str = ""
    # Of the whole body.
    mark: str = ""
    # When it was asked.
    asked: float = 0.0
    # The service whose server asked; empty for a visitor.
    caller: str = ""
    retry_after: bool = False


class Ran(NamedTuple):
    """A server ran a request."""

    moment: float
    request: str
    service: str
    instance: str
    method: str
    path: str
    key: str
    visitor: str
    caller: str
    send: str
    run: str
    stall: str = ""
    size: int = 0


class Wanted(NamedTuple):
    """This request must be answered: a bundle that allows it is in force, and nothing else is in its way."""

    request: str


class Stood(NamedTuple):
    """This process stood still from moment to until; nobody can be told anything by it meanwhile."""

    moment: float
    until: float
    node: str


class Promised(NamedTuple):
    """Something the mesh promises was tried; kept says whether it came true."""

    moment: float
    what: str
    kept: bool


class Replied(NamedTuple):
    """What a server answered to one run, as it left the server."""

    run: str
    status: int
    mark: str


class ServerChanged(NamedTuple):
    """What the mesh was told of a server: ready, winding down, gone."""

    moment: float
    service: str
    instance: str
    state: str


class Accepted(NamedTuple):
    """An operator was told that this is in force on these stalls."""

    moment: float
    revision: int
    bundle: int
    stalls: tuple[str, ...]
    # Whether its last stage was reached.
    everywhere: bool = False


class Written(NamedTuple):
    """A bundle's text, and from when on it may be in play: its signing was asked for then."""

    moment: float
    number: int
    text: str


class TookUp(NamedTuple):
    """A stall was seen acting under this bundle."""

    moment: float
    stall: str
    bundle: int
    life: str


class Submitted(NamedTuple):
    """A bundle was sent and this came of it; mishap is empty when it was taken."""

    moment: float
    number: int
    broken: bool
    mishap: str


class ReadBack(NamedTuple):
    moment: float
    in_force: int
    texts: tuple[tuple[int, str], ...]
    drained: tuple[str, ...]
    # Stall, service, instance and state of every server that isn't gone; name and life of every node that isn't.
    servers: tuple[tuple[str, str, str, str], ...] = ()
    nodes: tuple[tuple[str, str], ...] = ()
    # All names that show at all.
    names: tuple[str, ...] = ()
    reader: str = ""


class Expected(NamedTuple):
    """What a read-back begun now must show, from what operators and servers did; None where it may be in flux."""

    moment: float
    in_force: int
    drained: tuple[str, ...]
    text: str | None = None
    servers: tuple[tuple[str, str, str, str], ...] | None = None
    nodes: tuple[tuple[str, str], ...] | None = None
    removed: tuple[str, ...] = ()


class Damaged(NamedTuple):
    """One node's copy of the setup was spoilt in place."""

    moment: float
    node: str


class Differs(NamedTuple):
    """At this moment the node's copy was not what the log says at that revision."""

    moment: float
    node: str


class Back(NamedTuple):
    """Machines came back at one moment and service was seen again at another."""

    moment: float
    service_at: float
    what: str


class Further(NamedTuple):
    """One send seen at a stall's door: a first or a further one."""

    moment: float
    service: str
    further: bool


class Concluded(NamedTuple):
    """A writer was told that its claim is in the log."""

    moment: float
    claim: str
    phase: str


class Replica(NamedTuple):
    """What one replica held at the end."""

    moment: float
    name: str
    digest: str
    # Sorted, so that a history reads alike in every process.
    claims: tuple[str, ...]


class Interrupted(NamedTuple):
    """A planned stop or roll-out went on from moment to until; cut answers in it count against the mesh."""

    moment: float
    until: float
    what: str


class History:
    def __init__(self) -> None:
        self.events: list[tuple] = []

    def add(self, event: tuple) -> None:
        self.events.append(event)

    def of(self, kind: type) -> list:
        return [event for event in self.events if isinstance(event, kind)]


def read_back_of(moment: float, setup: dict, *, reader: str) -> ReadBack:
    """What a read-back shows, in the shape its checker compares."""
    servers = [
        (each["stall"], each["service"], each["instance"], each["state"])
        for each in setup["servers"]
        if each["state"] != GONE
    ]
    nodes = [(each["node"], each["incarnation"]) for each in setup["nodes"] if each["state"] != GONE]
    return ReadBack(
        moment,
        setup["in_force"],
        tuple((int(number), text) for number, text in setup["texts"].items()),
        tuple(sorted(server["stall"] for server in setup["servers"] if server["drained_by"])),
        tuple(sorted(servers)),
        tuple(sorted(nodes)),
        tuple(sorted({each["stall"] for each in setup["servers"]} | {each["node"] for each in setup["nodes"]})),
        reader,
    )
