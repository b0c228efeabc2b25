"""The history of a run: events as clients, servers and operators observed them. Checkers read it afterwards."""

import hashlib
from typing import NamedTuple

from hoistsaddle.statemachine.state import GONE


def body_digest_of(body: bytes) -> str:
    """The digest of a body as histories record it; empty for an empty body."""
    return hashlib.sha256(body).hexdigest()[:16] if body else ""


class RequestSent(NamedTuple):
    """A client sent a request.

    Attributes:
        request: the id of the request; a repeat under the same key has the same id.
        key: the idempotency key; empty for none.
        listener: the address that it was sent to.
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
    """The result of a request at its caller.

    Attributes:
        outcome: as the mesh reported it; "broken" if the connection was cut during the answer, "unreachable" if it
            couldn't be opened.
        nonce: the request id that the answer carries.
        run: the id of the run that answered.
        repeat: whether the mesh marked it as a repeated answer.
        kind: the kind of the error, if any.
        body_digest: the digest of the complete body.
        asked: when the request was sent.
        caller: the service whose server sent the request; empty for a client.
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
    """This request must be answered: a bundle that allows it is in force, and no fault prevents the answer."""

    request: str


class ProcessPaused(NamedTuple):
    """This process was paused from timestamp to until and answered no requests in that time."""

    timestamp: float
    until: float
    node: str


class ExpectationChecked(NamedTuple):
    """A promise of the mesh was tested; `met` says whether it was kept."""

    timestamp: float
    description: str
    met: bool


class RunEnded(NamedTuple):
    """The answer of a server to one run, as it left the server."""

    run: str
    status: int
    body_digest: str


class ServerStateChanged(NamedTuple):
    """A server changed its state: ready, winding down, drained or vanished."""

    timestamp: float
    service: str
    instance: str
    state: str


class BundleAccepted(NamedTuple):
    """An operator was told that a bundle is in force on these proxies.

    Attributes:
        everywhere: whether the last stage was reached.
    """

    timestamp: float
    revision: int
    bundle: int
    proxies: tuple[str, ...]
    everywhere: bool = False


class BundleWritten(NamedTuple):
    """The text of a bundle; it may be in force from this time on, because it can't have been signed earlier."""

    timestamp: float
    number: int
    text: str


class BundleApplied(NamedTuple):
    """A proxy was observed with this bundle in force."""

    timestamp: float
    proxy: str
    bundle: int
    incarnation: str


class BundleSubmitted(NamedTuple):
    """A bundle was submitted; error is the kind of the error, empty if it was accepted."""

    timestamp: float
    number: int
    broken: bool
    error: str


class ConfigurationRead(NamedTuple):
    """The configuration as one registry returned it.

    Attributes:
        texts: number and text of each bundle.
        drained: proxies whose servers are drained.
        servers: proxy, service, instance and state of every server whose state isn't gone.
        nodes: name and incarnation of every node whose state isn't gone.
        names: the names of all servers and nodes in the answer, in any state.
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
    """The configuration that a read-back from this time on must show; None for parts that may be changing."""

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
    """At this time the node's copy of the configuration differed from the log at the same revision."""

    timestamp: float
    node: str


class ServiceRecovered(NamedTuple):
    """Machines came back at timestamp, and requests were answered again at service_at."""

    timestamp: float
    service_at: float
    description: str


class AttemptSeen(NamedTuple):
    """A proxy sent an attempt to another proxy: a first attempt or a retry."""

    timestamp: float
    service: str
    is_retry: bool


class ClaimWritten(NamedTuple):
    """A writer was told that its claim is in the log."""

    timestamp: float
    claim: str
    phase: str


class ReplicaState(NamedTuple):
    """The state of one replica at the end; claims are sorted, so that a history is the same in every process."""

    timestamp: float
    name: str
    digest: str
    claims: tuple[str, ...]


class PlannedInterruption(NamedTuple):
    """A planned stop or roll-out lasted from timestamp to until; an answer cut off in it is a violation."""

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
    """Converts a configuration that was read back to the event that its checker compares."""
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
