"""The state built from the replicated log: immutable records, so a reference to a state is a snapshot at one offset.

Every replica that applies the same log has an equal state. snapshots.py encodes it for checkpoints. Records are encoded
by position there: the order of their fields must not change, and new fields are added last, with a default.
"""

from datetime import timedelta
from typing import NamedTuple

from immutables import Map

from hoistsaddle.common.clock import ZERO
from hoistsaddle.config.bundle import Bundle
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.revision_history import RevisionHistory

# Phases of a bundle; encoded, and shown to operators.
DRAFT = "draft"
ROLLING = "rolling"
IN_FORCE = "in force"
REPLACED = "replaced"
ABORTED = "aborted"
# States of a server or node; encoded, and shown to operators.
READY = "ready"
WINDING_DOWN = "winding down"
GONE = "gone"
# Phases of a held idempotency key; encoded, and shown to operators.
CLAIMED = "claimed"
SETTLED = "settled"
# The singleton role of the node monitor, which reports nodes that are gone; encoded.
NODE_MONITOR_ROLE = "warden"
# The most bundles, and the most patches, that the state keeps; the oldest are dropped first.
MAX_BUNDLES = 64


class BundleRecord(NamedTuple):
    """A bundle and the progress of its rollout."""

    number: int
    based_on: int
    author: str
    signer: str
    text: str
    digest: str
    phase: str
    # The number of stages reached so far; 0 for a draft.
    stage: int
    # The log offset of the last change of this record.
    offset: int
    # The operators who advanced it, one for each stage passed, and the operator who aborted it; recorded from release
    # level 4 on.
    advanced_by: tuple[str, ...] = ()
    aborted_by: str = ""


class ServerRecord(NamedTuple):
    """The last reported state of a server and of the proxy on its machine."""

    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    serial: int
    incarnation: str
    # The operator who marked the server for draining; empty for none.
    drained_by: str
    offset: int
    # Microseconds of mesh time at the last change; kept from release level 2 on.
    changed: int = 0


class NodeRecord(NamedTuple):
    """The last reported state of a node of the mesh."""

    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    state: str
    offset: int
    # Microseconds of mesh time at the last change; kept from release level 2 on.
    changed: int = 0


class SingletonRoleRecord(NamedTuple):
    """A role that one node at a time holds; its epoch is a fencing token against former holders."""

    role: str
    node: str
    epoch: int
    offset: int


class KeyHold(NamedTuple):
    """An idempotency key that is held: claimed by a running request, or settled with the stored answer."""

    claim: str
    proxy: str
    body_digest: str
    phase: str
    # The expiry time, in microseconds of mesh time.
    expires: int
    status: int
    headers: dict
    body: bytes
    answer_kept: bool
    # Set from release level 2 on; see ClaimKey.
    bucket: str = ""
    identified_by: str = ""
    client_digest: str = ""
    route: str = ""


class ItemRecord(NamedTuple):
    """A configuration item. A dropped item keeps its revision, so that an older upsert can't restore it."""

    revision: int
    offset: int
    dropped: bool
    body: bytes
    # The operator's source text of the item.
    source: bytes


class PatchRecord(NamedTuple):
    """An accepted patch of items, with its author and signer."""

    number: int
    author: str
    signer: str
    digest: str
    offset: int
    # The keys ("kind:name") of the items that the patch changed.
    changed: tuple[str, ...]


class RejectedPatch(NamedTuple):
    """A patch that was rejected against the state at its offset: an older copy of it must not be accepted later."""

    offset: int
    # Microseconds of mesh time.
    kept_until: int


class OperatorChange(NamedTuple):
    """A proposed change of one operator that is not signed yet."""

    # The digest of the operator's new token; empty for a removal.
    token_digest: str
    proposer: str
    # A digest of the proposal, by which the signer refers to it.
    change: str


class StoredOutcome(NamedTuple):
    """The outcome of an operator's request, kept so that a repeat of the request gets the same outcome."""

    # Microseconds of mesh time.
    stored_at: int
    outcome: Outcome
    # A digest of the command; empty for a command that was applied below release level 2.
    command_digest: str = ""


class State(NamedTuple):
    """The replicated state after applying the log up to one offset."""

    mesh: str = ""
    # The offset and epoch of the last record applied.
    offset: int = 0
    epoch: int = 0
    # Mesh time: the highest timestamp of the records applied. All expiry is decided by it.
    mesh_time: timedelta = ZERO
    # The mesh time when expired holds and outcomes were last removed.
    expired_at: timedelta = ZERO
    # Replica id to the replica's incarnation; operator name to the digest of the operator's token.
    voters: Map[int, str] = Map()
    operators: Map[str, str] = Map()
    bundles: Map[int, BundleRecord] = Map()
    # The numbers of the bundle in force and of the bundle that is rolling out; 0 for none.
    in_force: int = 0
    rolling: int = 0
    # Keyed by the proxy on the server's machine, by node name, and by role name.
    servers: Map[str, ServerRecord] = Map()
    nodes: Map[str, NodeRecord] = Map()
    singleton_roles: Map[str, SingletonRoleRecord] = Map()
    # Keyed by scope, and by the id of the operator's request.
    holds: Map[str, KeyHold] = Map()
    outcomes: Map[str, StoredOutcome] = Map()
    # The offset of the last record that changed an item of the data plane; see data_plane.py.
    data_plane_revision: int = 0
    # The release level in force, and the offset of the record that raised it.
    level: int = 1
    level_offset: int = 0
    # The offset of the last purge that removed a server or node.
    purge_offset: int = 0
    # Bucket of a claim to the scopes held in it: one for each client that can be distinguished.
    buckets: Map[str, tuple[str, ...]] = Map()
    # Keyed by the name of the operator that would change.
    operator_changes: Map[str, OperatorChange] = Map()
    # Keyed by "kind:name", and by patch number; used from release level 3 on.
    items: Map[str, ItemRecord] = Map()
    patches: Map[int, PatchRecord] = Map()
    # Keyed by "kind:name", and by the digest of the patch; used from release level 4 on.
    revision_histories: Map[str, RevisionHistory] = Map()
    rejected_patches: Map[str, RejectedPatch] = Map()


def initial_state(*, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> State:
    """Returns the state before the first record.

    Args:
        mesh: The mesh's id.
        voters: Replica id to the replica's incarnation.
        operators: Operator name to the SHA-256 digest of the operator's token, in hexadecimal digits.
        level: The initial release level.
    """
    return State(mesh=mesh, voters=Map(voters), operators=Map(operators), level=level)


def bundle_in(record: BundleRecord) -> Bundle:
    """Parses the bundle of a record. The state holds only bundles that parsed when they were submitted."""
    return read_bundle(record.text).unwrap()
