"""The commands of the replicated log, and the outcome of applying one.

A command is an immutable record. A command or field of a newer release takes effect only from the release level at
which every process supports it: see docs/design/releases.md. encoding.py defines how commands are encoded and under
which names. Classes and fields here may be renamed; the order and the defaults of the fields must not change.
"""

from datetime import timedelta
from typing import NamedTuple


class LeaderChange(NamedTuple):
    """The first record of a new leader's epoch; committing it commits the records before it (KIP-595, LeaderChange)."""

    leader: int


class Tick(NamedTuple):
    """Advances mesh time by the leader's clock while no other record is appended."""

    leader: int


class UpdateVoter(NamedTuple):
    """Updates the incarnation of a voter whose disk was replaced."""

    replica: int
    old: str
    new: str


class AddVoter(NamedTuple):
    """Adds a voter whose replica has caught up."""

    replica: int
    incarnation: str


class RemoveVoter(NamedTuple):
    """Removes a voter."""

    replica: int
    incarnation: str


class ReplaceVoter(NamedTuple):
    """Replaces a voter by a caught-up successor in one step, so that the number of voters never falls."""

    replica: int
    incarnation: str
    successor: int
    successor_incarnation: str


class PatchItems(NamedTuple):
    """Changes configuration items, each with its own revision; approved by a standing sign-off."""

    request: str
    author: str
    signer: str
    patch: bytes
    # Seconds of mesh time for which the sender may resend it; 0 for RESEND_WINDOW.
    resend_seconds: int = 0
    # The offset up to which the receiver had applied the log when the call arrived: the sender can't have known of
    # later records. -1 from a release that doesn't send it.
    seen_offset: int = -1


class SubmitBundle(NamedTuple):
    """Submits a new bundle as a draft."""

    request: str
    author: str
    text: str


class SignBundle(NamedTuple):
    """Signs off a draft, identified by its digest, and starts its rollout; the signer must not be the author."""

    request: str
    signer: str
    number: int
    digest: str


class AdvanceBundle(NamedTuple):
    """Moves a rolling bundle from one stage to the next."""

    request: str
    operator: str
    number: int
    from_stage: int


class AbortBundle(NamedTuple):
    """Withdraws a bundle that is a draft or rolling out."""

    request: str
    operator: str
    number: int


class RegisterServer(NamedTuple):
    """Reports a server's state; sent by the server's proxy or by the node monitor."""

    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    # The sequence number of this report within the incarnation of the proxy.
    serial: int
    incarnation: str
    # The epoch of the singleton role under which the node monitor reports; 0 from the proxy itself.
    role_epoch: int = 0
    # Unused; it keeps its position in the encoding. DrainServer sets drain marks.
    operator: str = ""
    # The newest configuration revision the reporter had seen.
    seen_revision: int = -1


class DrainServer(NamedTuple):
    """Sets or clears an operator's drain mark on the server of a proxy."""

    request: str
    operator: str
    proxy: str
    drain: bool


class RegisterNode(NamedTuple):
    """Reports a node's address and state; sent by the node or by the node monitor."""

    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    state: str
    role_epoch: int = 0
    seen_revision: int = -1
    # The highest release level that the node's process supports.
    level: int = 1


class AcquireSingletonRole(NamedTuple):
    """Acquires a role that one node at a time holds. The epoch is a fencing token, one above the last holder's."""

    role: str
    node: str
    epoch: int


class ClaimKey(NamedTuple):
    """Claims an idempotency key before its request runs."""

    scope: str
    claim: str
    proxy: str
    body_digest: str
    # A digest of caller, method, path and key: claims in one bucket may come from the same client.
    bucket: str = ""
    # What identifies the client ("credentials", or a declared header or cookie), and a digest of its value.
    identified_by: str = ""
    client_digest: str = ""
    # The route's name, for display.
    route: str = ""
    # Seconds of mesh time for which the key is held; 0 for UNSETTLED_HOLD_TIMEOUT.
    hold_seconds: int = 0
    # A claim that its holder has abandoned and that this claim replaces; empty for none.
    replaced_claim: str = ""


class CompleteKey(NamedTuple):
    """Settles a claimed key with the answer of its request, for repeats of the request."""

    scope: str
    claim: str
    status: int
    headers: dict[str, str]
    body: bytes
    # False when the answer exceeded its size limit: then only the completion is stored.
    answer_kept: bool


class ReleaseKey(NamedTuple):
    """Releases a claimed key whose request did not run."""

    scope: str
    claim: str


class RaiseLevel(NamedTuple):
    """Raises the release level, which allows the commands and fields of that level in later records.

    Appended only once every process supports the level.
    """

    level: int


class Purge(NamedTuple):
    """Removes servers and nodes that have been gone for GONE_RETENTION."""

    role_epoch: int


class ProposeOperatorChange(NamedTuple):
    """Proposes to add, renew or remove an operator; an empty token digest removes."""

    request: str
    operator: str
    name: str
    digest: str


class SignOperatorChange(NamedTuple):
    """Signs a proposed operator change; `change` is the digest of the proposal."""

    request: str
    signer: str
    name: str
    change: str


class WithdrawOperatorChange(NamedTuple):
    """Withdraws a proposed operator change."""

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
# The highest release level that this release supports.
LEVEL = 4
# The release level that introduced each command; 1 for commands not listed.
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
# How long a key is held after its answer was stored, and before that.
SETTLED_HOLD_TIMEOUT = timedelta(seconds=75)
UNSETTLED_HOLD_TIMEOUT = timedelta(minutes=10)
# How long the outcome of an operator's request is kept for repeats of it.
OUTCOME_RETENTION = timedelta(minutes=10)
# How long a patch may be resent if it specifies no time.
RESEND_WINDOW = timedelta(minutes=10)
# How often the state is searched for expired holds, outcomes and patches, in mesh time.
EXPIRY_INTERVAL = timedelta(seconds=5)
# Longer than any lease, hold or retry that could still refer to a server or node that is gone.
GONE_RETENTION = timedelta(minutes=10)


class Outcome(NamedTuple):
    """The outcome of applying one command. Encoded by position, and stored in the state for repeated requests.

    `error` is the kind of error as a string, empty if the command was accepted. `field` names the part of the request
    that caused the error; `detail` holds the results of an accepted command.
    """

    error: str = ""
    message: str = ""
    remedy: str = ""
    field: str = ""
    detail: dict = {}
