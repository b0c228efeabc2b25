"""The commands that the replicated log holds, and the outcome of applying one.

A command is an immutable record. What a newer release's command or field does has to wait for the release level at
which every process knows it: see docs/design/releases.md. How commands are encoded, and under which names, is the
affair of encoding.py: classes and fields here may be renamed, their order and defaults may not change.
"""

from datetime import timedelta
from typing import NamedTuple


class LeaderChange(NamedTuple):
    """The first record of a new leader's epoch; committing it commits what came before (KIP-595, LeaderChange)."""

    leader: int


class Tick(NamedTuple):
    """Carries the leader's clock into the log while nothing else is appended."""

    leader: int


class UpdateVoter(NamedTuple):
    """A voter whose disk was replaced: the same replica under another incarnation."""

    replica: int
    old: str
    new: str


class AddVoter(NamedTuple):
    """One more voter, whose replica has caught up."""

    replica: int
    incarnation: str


class RemoveVoter(NamedTuple):
    """One voter less."""

    replica: int
    incarnation: str


class ReplaceVoter(NamedTuple):
    """One voter out and a caught-up successor in, in one step: the number of voters never falls."""

    replica: int
    incarnation: str
    successor: int
    successor_incarnation: str


class PatchItems(NamedTuple):
    """A change of some configuration items, each with its own revision; approved by a standing sign-off."""

    request: str
    author: str
    signer: str
    patch: bytes
    # Seconds of mesh time for which the sender may send it again; 0 for RESEND_WINDOW.
    resend_seconds: int = 0
    # The offset up to which its receiver had applied the log when the call arrived: whoever sent it can't have known
    # of anything logged since. -1 from a release that doesn't tell.
    seen_offset: int = -1


class SubmitBundle(NamedTuple):
    """A new bundle as a draft."""

    request: str
    author: str
    text: str


class SignBundle(NamedTuple):
    """A second person's sign-off of a draft, by its digest; it starts the roll-out."""

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
    """A server's state, as its proxy or the liveness monitor reports it."""

    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    # Counts the reports of one incarnation of the proxy.
    serial: int
    incarnation: str
    # The epoch of the singleton role under which the monitor reports; 0 from the proxy itself.
    role_epoch: int = 0
    # Kept for its place in the encoding; drain marks are set by DrainServer.
    operator: str = ""
    # The newest configuration revision the reporter had seen.
    seen_revision: int = -1


class DrainServer(NamedTuple):
    """Sets or clears an operator's drain mark on the server beside a proxy."""

    request: str
    operator: str
    proxy: str
    drain: bool


class RegisterNode(NamedTuple):
    """A node's address and state, as the node or the liveness monitor reports it."""

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
    """Takes a role that one node at a time holds; the epoch is its fencing token, one above the former holder's."""

    role: str
    node: str
    epoch: int


class ClaimKey(NamedTuple):
    """Claims an idempotency key before its request is run."""

    scope: str
    claim: str
    proxy: str
    body_digest: str
    # A digest of caller, method, path and key: claims in one bucket may be the same client's.
    bucket: str = ""
    # What identifies the client ("credentials", or a declared header or cookie), and a digest of its value.
    identified_by: str = ""
    client_digest: str = ""
    # The route's name, for display.
    route: str = ""
    # Seconds of mesh time for which the key is held; 0 for UNSETTLED_HOLD_TIMEOUT.
    hold_seconds: int = 0
    # A claim that its holder has given up: this one replaces it.
    replaced_claim: str = ""


class CompleteKey(NamedTuple):
    """Stores the answer of a claimed key's request, for repeats of the request."""

    scope: str
    claim: str
    status: int
    headers: dict[str, str]
    body: bytes
    # False when the answer exceeded its limit: then only the completion is stored.
    answer_kept: bool


class ReleaseKey(NamedTuple):
    """Gives a claimed key back: its request did not run."""

    scope: str
    claim: str


class RaiseLevel(NamedTuple):
    """From here on the log may hold what this level brought; logged only once every process supports it."""

    level: int


class Purge(NamedTuple):
    """Removes servers and nodes that have been gone for GONE_RETENTION."""

    role_epoch: int


class ProposeOperatorChange(NamedTuple):
    """One operator's half of adding, renewing or removing another; an empty token digest removes."""

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
    """Withdraws a proposed change among the operators."""

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
# The release level that each command came with, where that is above the first.
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
# How long a key is held after its answer was stored, and before.
SETTLED_HOLD_TIMEOUT = timedelta(seconds=75)
UNSETTLED_HOLD_TIMEOUT = timedelta(minutes=10)
# How long the outcome of an operator's request is kept for repeats of it.
OUTCOME_RETENTION = timedelta(minutes=10)
# How long a patch may be sent again where it names no time of its own.
RESEND_WINDOW = timedelta(minutes=10)
# How often the state is searched for what has expired.
EXPIRY_INTERVAL = timedelta(seconds=5)
# Longer than any lease, hold or retry that could still refer to a server or node that is gone.
GONE_RETENTION = timedelta(minutes=10)


class Outcome(NamedTuple):
    """What applying one command came to. Encoded by position, and kept in the state for repeated requests.

    error is the kind of error as a string, empty when the command was accepted. field names the part of the request
    that the error is about; detail holds what an accepted command reports back.
    """

    error: str = ""
    message: str = ""
    remedy: str = ""
    field: str = ""
    detail: dict = {}
