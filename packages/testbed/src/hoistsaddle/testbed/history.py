"""What happened, as told by callers, servers and operators. Checkers read it afterwards."""

import hashlib
from typing import NamedTuple

from hoistsaddle.statemachine.state import GONE


def body_digest_of(body: bytes) -> str:
    """A body as a history keeps it."""
    return hashlib.sha256(body).hexdigest()[:16] if body else ""


class RequestSent(NamedTuple):
    timestamp: float
    request: str
    method: str
    path: str
    key: str
    client: str
    listener: str = ""
    size: int = 0


class RequestResult(NamedTuple):
    """What the caller got; outcome is the mesh's word, "broken" when the connection was cut mid-answer."""

    timestamp: float
    request: str
    outcome: str
    status: int
    nonce: str
    run: str
    repeat: bool
    listener: str = ""
    kind: str = ""
    # Of the whole body.
    body_digest: str = ""
    # When it was asked.
    asked: float = 0.0
    # The service whose server asked; empty for a client.
    caller: str = ""
    retry_after: bool = False


class RunStarted(NamedTuple):
    """A server ran a request."""

    timestamp: float
    request: str
    service: str
    instance: str
    method: str
    path: str
    key: str
    client: str
    caller: str
    send: str
    run: str
    proxy: str = ""
    size: int = 0


class AnswerRequired(NamedTuple):
    """This request must be answered: a bundle that allows it is in force, and nothing else is in its way."""

    request: str


class ProcessPaused(NamedTuple):
    """This process stood still from moment to until; nobody can be told anything by it meanwhile."""

    timestamp: float
    until: float
    node: str


class ExpectationChecked(NamedTuple):
    """Something the mesh promises was tried; kept says whether it came true."""

    timestamp: float
    what: str
    kept: bool


class RunEnded(NamedTuple):
    """What a server answered to one run, as it left the server."""

    run: str
    status: int
    body_digest: str


class ServerStateChanged(NamedTuple):
    """What the mesh was told of a server: ready, winding down, gone."""

    timestamp: float
    service: str
    instance: str
    state: str


class BundleAccepted(NamedTuple):
    """An operator was told that this is in force on these proxies."""

    timestamp: float
    revision: int
    bundle: int
    proxies: tuple[str, ...]
    # Whether its last stage was reached.
    everywhere: bool = False


class BundleWritten(NamedTuple):
    """A bundle's text, and from when on it may be in play: its signing was asked for then."""

    timestamp: float
    number: int
    text: str


class BundleApplied(NamedTuple):
    """A proxy was seen acting under this bundle."""

    timestamp: float
    proxy: str
    bundle: int
    incarnation: str


class BundleSubmitted(NamedTuple):
    """A bundle was sent and this came of it; error is empty when it was taken."""

    timestamp: float
    number: int
    broken: bool
    error: str


class ConfigurationRead(NamedTuple):
    timestamp: float
    in_force: int
    texts: tuple[tuple[int, str], ...]
    drained: tuple[str, ...]
    # Proxy, service, instance and state of every server that isn't gone; name and life of every node that isn't.
    servers: tuple[tuple[str, str, str, str], ...] = ()
    nodes: tuple[tuple[str, str], ...] = ()
    # All names that show at all.
    names: tuple[str, ...] = ()
    reader: str = ""


class ConfigurationExpected(NamedTuple):
    """What a read-back begun now must show, from what operators and servers did; None where it may be in flux."""

    timestamp: float
    in_force: int
    drained: tuple[str, ...]
    text: str | None = None
    servers: tuple[tuple[str, str, str, str], ...] | None = None
    nodes: tuple[tuple[str, str], ...] | None = None
    removed: tuple[str, ...] = ()


class CopyCorrupted(NamedTuple):
    """One node's copy of the configuration was spoilt in place."""

    timestamp: float
    node: str


class CopyDiverged(NamedTuple):
    """At this moment the node's copy was not what the log says at that revision."""

    timestamp: float
    node: str


class ServiceRecovered(NamedTuple):
    """Machines came back at one moment and service was seen again at another."""

    timestamp: float
    service_at: float
    what: str


class AttemptSeen(NamedTuple):
    """One send seen at a proxy's door: a first or a further one."""

    timestamp: float
    service: str
    is_retry: bool


class ClaimWritten(NamedTuple):
    """A writer was told that its claim is in the log."""

    timestamp: float
    claim: str
    phase: str


class ReplicaState(NamedTuple):
    """What one replica held at the end."""

    timestamp: float
    name: str
    digest: str
    # Sorted, so that a history reads alike in every process.
    claims: tuple[str, ...]


class PlannedInterruption(NamedTuple):
    """A planned stop or roll-out went on from moment to until; cut answers in it count against the mesh."""

    timestamp: float
    until: float
    what: str


class History:
    def __init__(self) -> None:
        self.events: list[tuple] = []

    def add(self, event: tuple) -> None:
        self.events.append(event)

    def of(self, kind: type) -> list:
        return [event for event in self.events if isinstance(event, kind)]


def configuration_read_of(timestamp: float, setup: dict, *, reader: str) -> ConfigurationRead:
    """What a read-back shows, in the shape its checker compares."""
    servers = [
        (each["stall"], each["service"], each["instance"], each["state"])
        for each in setup["servers"]
        if each["state"] != GONE
    ]
    nodes = [(each["node"], each["incarnation"]) for each in setup["nodes"] if each["state"] != GONE]
    return ConfigurationRead(
        timestamp,
        setup["in_force"],
        tuple((int(number), text) for number, text in setup["texts"].items()),
        tuple(sorted(server["stall"] for server in setup["servers"] if server["drained_by"])),
        tuple(sorted(servers)),
        tuple(sorted(nodes)),
        tuple(sorted({each["stall"] for each in setup["servers"]} | {each["node"] for each in setup["nodes"]})),
        reader,
    )
