"""Messages of membership: probes with gossip (SWIM), and reports of a server's health."""

from typing import NamedTuple


class HealthCall(NamedTuple):
    """A node reports the server beside it."""

    node: str
    incarnation: str
    address: str
    zone: str
    service_name: str
    instance: str
    server: str
    state: str
    serial: int
    seen: int = -1
    level: int = 1


class HealthAnswer(NamedTuple):
    """The server's state as the log has it."""

    error: str
    state: str
    serial: int


class MemberState(NamedTuple):
    """What is known of one member, as gossip carries it; a higher count is newer."""

    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    count: int  # type: ignore[assignment]
    state: str


class ProbeCall(NamedTuple):
    """Ask a member whether it is there."""

    caller: str
    member_states: tuple[MemberState, ...]


class ProbeAnswer(NamedTuple):
    """It is there."""

    node: str
    member_states: tuple[MemberState, ...]


class IndirectProbeCall(NamedTuple):
    """Ask a member to probe another one."""

    caller: str
    address: str


class IndirectProbeAnswer(NamedTuple):
    """Whether the other one answered it."""

    alive: bool
    member_states: tuple[MemberState, ...]


class PingCall(NamedTuple):
    """Keeps a connection with calls under way alive; answered by the connection's server itself."""

    caller: str


class PingAnswer(NamedTuple):
    """The connection is alive."""

    node: str
