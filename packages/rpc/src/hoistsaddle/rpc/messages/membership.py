"""Messages of membership (probes with gossip, as in SWIM), of health reports, and of keep-alive pings."""

from typing import NamedTuple


class HealthCall(NamedTuple):
    """Reports the health of the node's local server."""

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
    """The server's state as recorded in the log."""

    error: str
    state: str
    serial: int


class MemberState(NamedTuple):
    """The state of one member, as sent in gossip; a higher count is newer."""

    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    count: int  # type: ignore[assignment]
    state: str


class ProbeCall(NamedTuple):
    """Probes a member."""

    caller: str
    member_states: tuple[MemberState, ...]


class ProbeAnswer(NamedTuple):
    """Confirms that the probed member is alive."""

    node: str
    member_states: tuple[MemberState, ...]


class IndirectProbeCall(NamedTuple):
    """Asks a member to probe another member on the caller's behalf."""

    caller: str
    address: str


class IndirectProbeAnswer(NamedTuple):
    """Whether the other member answered the probe."""

    alive: bool
    member_states: tuple[MemberState, ...]


class PingCall(NamedTuple):
    """Checks that a connection with calls in flight is alive; answered by RpcServer itself, not by its handler."""

    caller: str


class PingAnswer(NamedTuple):
    """Confirms that the connection is alive."""

    node: str
