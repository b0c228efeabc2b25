"""Messages that forward requests from the client's proxy to the server's proxy, and that query their outcome.

A request is a BundleForwardCall in a mesh that is configured by bundles, and a ForwardCall in one configured by items.
"""

from datetime import timedelta
from typing import NamedTuple


class BundleForwardCall(NamedTuple):
    """Forwards a request in a mesh that is configured by bundles."""

    attempt_id: str
    caller: str
    client: str
    service_name: str
    target: str
    instance: str
    bundle: int
    route: str
    budget: timedelta
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    hold: str
    answer_bytes: int
    # 1 for a request's first attempt, more for retries.
    ordinal: int = 1


class BundleForwardAnswer(NamedTuple):
    """The outcome of a forwarded request, with the server's answer if there is one."""

    attempt_id: str
    outcome: str
    error: str = ""
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    digest: str = ""


class ForwardCall(NamedTuple):
    """Forwards a request in a mesh that is configured by items.

    `headers` is a MessagePack list of (name, value) pairs of bytes, in their order.
    """

    attempt_id: str
    service_name: str
    target: str
    instance: str
    budget: timedelta
    latency_target: timedelta
    rank: int
    route: str
    method: str
    path: bytes
    headers: bytes
    body: bytes
    caller: str
    # The client's own id of this attempt.
    client_attempt_id: str
    ordinal: int = 1
    repeatable: bool = False


class ForwardAnswer(NamedTuple):
    """The outcome of a forwarded request, with the server's answer if there is one."""

    attempt_id: str
    outcome: str
    error: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    # The requests running and waiting at the target's server, its concurrency, and the run time of this request.
    load: int = 0
    capacity: int = 1
    run_time: timedelta = timedelta()


class AnnounceBodyCall(NamedTuple):
    """Announces a request with a large body, before any of the body is sent."""

    attempt_id: str
    service_name: str
    target: str
    instance: str
    budget: timedelta
    latency_target: timedelta
    rank: int
    route: str
    # The size of the body.
    body_octets: int


class AnnounceBodyAnswer(NamedTuple):
    """Permits sending the body; with an error it must not be sent: the attempt has ended, and nothing ran."""

    error: str = ""
    # The rate at which to send it, in bytes per second.
    rate: int = 0
    # How long the next body would have to wait for the link.
    link_wait: timedelta = timedelta()


class FollowCall(NamedTuple):
    """Requests the outcome of an attempt whose connection was lost; the answer is that of the attempt itself."""

    attempt_id: str
    # The incarnation of the sidecar to which the attempt was sent: another incarnation doesn't know the outcome.
    incarnation: str
    budget: timedelta


class AbandonCall(NamedTuple):
    """Cancels a repeatable attempt whose client has disconnected, so that its answer is no longer needed."""

    attempt_id: str


class AbandonAnswer(NamedTuple):
    """Whether the attempt was waiting or running at the receiver."""

    known: bool


class ClaimQueryCall(NamedTuple):
    """Requests the outcome of the request that claimed an idempotency key."""

    claim: str


class ClaimQueryAnswer(NamedTuple):
    """The state of the claim, and the recorded answer if there is one."""

    state: str
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
