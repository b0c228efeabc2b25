"""What happened, as callers, servers and operators saw it. Checkers read it afterwards."""

import hashlib
from typing import NamedTuple

from hoistsaddle.statemachine.state import GONE


def body_digest_of(body: bytes) -> str:
    """The digest of a body that a history keeps; empty for an empty body."""
    return hashlib.sha256(body).hexdigest()[:16] if body else ""


class RequestSent(NamedTuple):
    """A client sent a request.

    Attributes:
        request: the name of the request; the same for a repeat under the same key.
        key: the idempotency key; empty for none.
        listener: where it was sent.
        size: bytes of the body.
    """

    timestamp: float
    request: str
    method: str
    path: str
    key: str
    client: str
    listener: str = ""
    size: int = 0


class RequestResult(NamedTuple):
    """What a caller got.

    Attributes:
        outcome: as the mesh gave it; "broken" when the connection was cut mid-answer, "unreachable" without one.
        nonce: the name of the request that the answer carries.
        run: the run that answered.
        repeat: whether the mesh marked it as a repeated answer.
        kind: the kind of the error, if any.
        body_digest: of the whole body.
        asked: when the request was sent.
        caller: the service whose server asked; empty for a client.
        retry_after: whether the answer says when to retry.
    """

    timestamp: float
    request: str
    outcome: str
    status: int
    nonce: str
    run: str
    repeat: bool
    listener: str = ""
    kind: str = ""
    body_digest: str = ""
    asked: float = 0.0
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
    """This process stood still from timestamp to until and answered nobody meanwhile."""

    timestamp: float
    until: float
    node: str


class ExpectationChecked(NamedTuple):
    """Something that the mesh promises was tried; met says whether it came true."""

    timestamp: float
    description: str
    met: bool


class RunEnded(NamedTuple):
    """What a server answered to one run, as it left the server."""

    run: str
    status: int
    body_digest: str


class ServerStateChanged(NamedTuple):
    """What became of a server: ready, winding down, drained, vanished."""

    timestamp: float
    service: str
    instance: str
    state: str


class BundleAccepted(NamedTuple):
    """An operator got the answer that a bundle is in force on these proxies.

    Attributes:
        everywhere: whether its last stage was reached.
    """

    timestamp: float
    revision: int
    bundle: int
    proxies: tuple[str, ...]
    everywhere: bool = False


class BundleWritten(NamedTuple):
    """A bundle's text, and from when on it may be in force: it was signed then at the earliest."""

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
    """A bundle was submitted; error is the kind of the refusal, empty when it was accepted."""

    timestamp: float
    number: int
    broken: bool
    error: str


class ConfigurationRead(NamedTuple):
    """What one registry showed of the configuration.

    Attributes:
        texts: number and text of each bundle.
        drained: proxies whose servers are drained.
        servers: proxy, service, instance and state of every server that isn't gone.
        nodes: name and incarnation of every node that isn't gone.
        names: all names that show at all.
        reader: the registry.
    """

    timestamp: float
    in_force: int
    texts: tuple[tuple[int, str], ...]
    drained: tuple[str, ...]
    servers: tuple[tuple[str, str, str, str], ...] = ()
    nodes: tuple[tuple[str, str], ...] = ()
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
    """One node's copy of the configuration was corrupted in place."""

    timestamp: float
    node: str


class CopyDiverged(NamedTuple):
    """At this time the node's copy was not what the log says at that revision."""

    timestamp: float
    node: str


class ServiceRecovered(NamedTuple):
    """Machines came back at timestamp, and service was seen again at service_at."""

    timestamp: float
    service_at: float
    description: str


class AttemptSeen(NamedTuple):
    """A proxy sent an attempt to another one: a first one or a retry."""

    timestamp: float
    service: str
    is_retry: bool


class ClaimWritten(NamedTuple):
    """A writer got the answer that its claim is in the log."""

    timestamp: float
    claim: str
    phase: str


class ReplicaState(NamedTuple):
    """What one replica held at the end; claims are sorted, so that a history is the same in every process."""

    timestamp: float
    name: str
    digest: str
    claims: tuple[str, ...]


class PlannedInterruption(NamedTuple):
    """A planned stop or roll-out lasted from timestamp to until; answers cut in it count against the mesh."""

    timestamp: float
    until: float
    description: str


class History:
    """Events in the order in which they were added."""

    def __init__(self) -> None:
        self.events: list[tuple] = []

    def add(self, event: tuple) -> None:
        """Adds an event, one of the records of this module."""
        self.events.append(event)

    def of(self, kind: type) -> list:
        """All events of a kind, in order."""
        return [event for event in self.events if isinstance(event, kind)]


def configuration_read_of(timestamp: float, configuration: dict, *, reader: str) -> ConfigurationRead:
    """What a read-back shows, in the shape its checker compares."""
    servers = [
        (each["stall"], each["service"], each["instance"], each["state"])
        for each in configuration["servers"]
        if each["state"] != GONE
    ]
    nodes = [(each["node"], each["incarnation"]) for each in configuration["nodes"] if each["state"] != GONE]
    return ConfigurationRead(
        timestamp,
        configuration["in_force"],
        tuple((int(number), text) for number, text in configuration["texts"].items()),
        tuple(sorted(server["stall"] for server in configuration["servers"] if server["drained_by"])),
        tuple(sorted(servers)),
        tuple(sorted(nodes)),
        tuple(
            sorted(
                {each["stall"] for each in configuration["servers"]} | {each["node"] for each in configuration["nodes"]}
            )
        ),
        reader,
    )
