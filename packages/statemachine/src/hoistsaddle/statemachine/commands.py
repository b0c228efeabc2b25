"""What the log's records say. Each is a tagged tuple; the tag is the tuple's name.

They are stored as named fields, so that a newer release may add fields with defaults. What a newer release does with
them must wait for the release level at which every process knows them: see docs/design/releases.md.
"""

from datetime import timedelta
from typing import Any, NamedTuple

import msgspec


class LeaderChange(NamedTuple):
    leader: int


class Tick(NamedTuple):
    leader: int


class UpdateVoter(NamedTuple):
    replica: int
    old: str
    new: str


class AddVoter(NamedTuple):
    """One more voter: a disk that has caught up joins those that decide."""

    replica: int
    incarnation: str


class RemoveVoter(NamedTuple):
    replica: int
    incarnation: str


class ReplaceVoter(NamedTuple):
    """One voter out and a whole, caught-up successor in, in one step: the number of voters never sinks."""

    replica: int
    incarnation: str
    successor: int
    successor_incarnation: str


class PatchItems(NamedTuple):
    """Part of a configuration: items with revisions of their own, one numbered bundle under a standing sign-off."""

    request: str
    author: str
    signer: str
    patch: bytes
    # Seconds of mesh time for which it may still be sent again; 0 for RESEND_KEPT.
    span: int = 0
    # The offset up to which its taker had applied the log when the call arrived: what was logged since can't have been
    # known to whoever sent it. -1 from a release that doesn't say.
    seen: int = -1


class SubmitBundle(NamedTuple):
    request: str
    author: str
    text: str


class SignBundle(NamedTuple):
    request: str
    signer: str
    number: int
    digest: str


class AdvanceBundle(NamedTuple):
    request: str
    operator: str
    number: int
    from_stage: int


class AbortBundle(NamedTuple):
    request: str
    operator: str
    number: int


class RegisterServer(NamedTuple):
    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    serial: int
    incarnation: str
    duty_epoch: int = 0
    # Why a warden and an operator both write marks: an operator's mark outlives the server's own "ready".
    operator: str = ""
    # The newest revision the reporter had seen: a late report can't have seen what came after it.
    seen: int = -1


class DrainServer(NamedTuple):
    request: str
    operator: str
    proxy: str
    drain: bool


class RegisterNode(NamedTuple):
    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    state: str
    duty_epoch: int = 0
    seen: int = -1
    # The highest release level its process supports.
    level: int = 1


class AcquireSingletonRole(NamedTuple):
    duty: str
    node: str
    epoch: int


class ClaimKey(NamedTuple):
    scope: str
    claim: str
    proxy: str
    body_digest: str
    # Who calls, method, path and key; by what the client is known, and a digest of that; for the display, the entry.
    bucket: str = ""
    by: str = ""
    who: str = ""
    entry: str = ""
    # Seconds of mesh time the key stays held; 0 for the rule of old.
    span: int = 0
    # A claim that its holder has given up for good: this one takes its place.
    after: str = ""


class CompleteKey(NamedTuple):
    scope: str
    claim: str
    status: int
    headers: dict[str, str]
    body: bytes
    # False when the answer went over its cap: the hold then keeps only that the run is done.
    kept: bool


class ReleaseKey(NamedTuple):
    scope: str
    claim: str


class RaiseLevel(NamedTuple):
    """From here on the log may hold what this level brought; logged only once every process supports it."""

    level: int


class Purge(NamedTuple):
    """Forgets servers and nodes that have been gone for long."""

    duty_epoch: int


class ProposeOperatorChange(NamedTuple):
    """One operator's half of a change among the operators; an empty digest removes the one named."""

    request: str
    operator: str
    name: str
    digest: str


class SignOperatorChange(NamedTuple):
    """A second person's half of it; change is the digest of what was proposed."""

    request: str
    signer: str
    name: str
    change: str


class WithdrawOperatorChange(NamedTuple):
    """Takes a proposed change among the operators back."""

    request: str
    operator: str
    name: str


Command = (
    LeaderChange
    | Tick
    | UpdateVoter
    | AddVoter
    | RemoveVoter
    | ReplaceVoter
    | PatchItems
    | SubmitBundle
    | SignBundle
    | AdvanceBundle
    | AbortBundle
    | RegisterServer
    | DrainServer
    | RegisterNode
    | AcquireSingletonRole
    | ClaimKey
    | CompleteKey
    | ReleaseKey
    | RaiseLevel
    | Purge
    | ProposeOperatorChange
    | SignOperatorChange
    | WithdrawOperatorChange
)
# The highest release level this release supports, and the commands that came with each level above the first.
LEVEL = 4
LEVEL_OF: dict[type, int] = {
    Purge: 2,
    ProposeOperatorChange: 2,
    SignOperatorChange: 2,
    WithdrawOperatorChange: 2,
    AddVoter: 3,
    RemoveVoter: 3,
    PatchItems: 3,
    ReplaceVoter: 4,
}
COMMANDS: dict[str, Any] = {kind.__name__: kind for kind in Command.__args__}
_encoder = msgspec.msgpack.Encoder()
# Fields whose encoded name differs from their name here. The encoded names are on disk and stay.
ENCODED_FIELDS = {"proxy": "stall"}
DECODED_FIELDS = {encoded: field for field, encoded in ENCODED_FIELDS.items()}


class Outcome(NamedTuple):
    """What applying one record came to; error is empty when it was taken."""

    error: str = ""
    message: str = ""
    remedy: str = ""
    field: str = ""
    detail: dict = {}


def pack_command(command: Command) -> bytes:
    fields = {ENCODED_FIELDS.get(field, field): value for field, value in command._asdict().items()}
    return _encoder.encode([type(command).__name__, fields])


def unpack_command(payload: bytes) -> Command | None:
    name, fields = msgspec.msgpack.decode(payload)
    kind = COMMANDS.get(name)
    # None is a newer release's command. Passing over it would let replicas differ: whoever meets one must stop.
    if kind is None:
        return None
    known = {DECODED_FIELDS.get(encoded, encoded): value for encoded, value in fields.items()}
    return kind(**{field: value for field, value in known.items() if field in kind._fields})


def pack_outcome(outcome: Outcome) -> bytes:
    return _encoder.encode(list(outcome))


def unpack_outcome(data: bytes) -> Outcome:
    return Outcome(*msgspec.msgpack.decode(data))


SETTLED_HOLD_TIMEOUT = timedelta(seconds=75)
UNSETTLED_HOLD_TIMEOUT = timedelta(minutes=10)
OUTCOME_RETENTION = timedelta(minutes=10)
# Seconds an order may still be sent again where its taker names no span.
RESEND_WINDOW = timedelta(minutes=10)
EXPIRY_INTERVAL = timedelta(seconds=5)
# Longer than any lease, any hold and any memory of a send that could still refer to a server or node.
GONE_RETENTION = timedelta(minutes=10)
