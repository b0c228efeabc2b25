"""Messages that carry requests from the proxy that took them to the one beside the server, and ask what became of them.

Under bundles a request is a BundleForwardCall, under items a ForwardCall.
"""

from datetime import timedelta
from typing import NamedTuple


class BundleForwardCall(NamedTuple):
    """A request under bundles."""

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
    """What became of it."""

    attempt_id: str
    outcome: str
    error: str = ""
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    digest: str = ""


class ForwardCall(NamedTuple):
    """A request under items. Headers are msgpack of name, value pairs of bytes, in their order."""

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
    """What became of it."""

    attempt_id: str
    outcome: str
    error: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    # Requests running and waiting at the target's server, how many it works on at a time, and what this one took.
    load: int = 0
    capacity: int = 1
    run_time: timedelta = timedelta()


class AnnounceBodyCall(NamedTuple):
    """A request with a large body is about to be forwarded. Nothing of the body has been sent."""

    attempt_id: str
    service_name: str
    target: str
    instance: str
    budget: timedelta
    latency_target: timedelta
    rank: int
    route: str
    # Size of the body.
    body_octets: int


class AnnounceBodyAnswer(NamedTuple):
    """The body may be sent now, or, with an error, it must not be sent: the attempt is over, and nothing ran."""

    error: str = ""
    # At most so many bytes a second.
    rate: int = 0
    # How long the next body would wait for the link.
    link_wait: timedelta = timedelta()


class FollowCall(NamedTuple):
    """What became of an attempt whose connection broke. Answered as the attempt itself would be."""

    attempt_id: str
    # The incarnation of the sidecar that it went to: another one can't know.
    incarnation: str
    budget: timedelta


class AbandonCall(NamedTuple):
    """The client of a repeatable attempt has left: nobody waits for its answer any more."""

    attempt_id: str


class AbandonAnswer(NamedTuple):
    """Whether the attempt was waiting or running there."""

    known: bool


class ClaimQueryCall(NamedTuple):
    """What became of the request that claimed a key."""

    claim: str


class ClaimQueryAnswer(NamedTuple):
    """The claim's standing, and the kept answer if there is one."""

    state: str
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
