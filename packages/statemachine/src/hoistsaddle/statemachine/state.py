"""The state that the replicated log builds: immutable records, so that holding a reference captures one offset.

Every replica that applies the same log has an equal state. Its encoding for checkpoints is in snapshots.py; records are
encoded by position there, so the order of their fields stays, and new fields come last with a default.
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
# Phases of a held key; encoded, and shown to operators.
CLAIMED = "claimed"
SETTLED = "settled"
# The singleton role whose holder reports nodes that are gone; encoded.
NODE_MONITOR_ROLE = "warden"
# Bundles, and patches, that the state keeps; the oldest are dropped first.
MAX_BUNDLES = 64


class BundleRecord(NamedTuple):
    """A bundle and how far its roll-out is."""

    number: int
    based_on: int
    author: str
    signer: str
    text: str
    digest: str
    phase: str
    # The stages reached so far, counted from 1; 0 for a draft.
    stage: int
    # The log offset of its last change.
    offset: int
    # Who advanced it beyond each stage after the first, and who aborted it; kept from release level 4 on.
    advanced_by: tuple[str, ...] = ()
    aborted_by: str = ""


class ServerRecord(NamedTuple):
    """A server and the proxy beside it, as last reported."""

    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    serial: int
    incarnation: str
    # The operator who marked it for draining; empty for none.
    drained_by: str
    offset: int
    # Microseconds of mesh time at the last change; kept from release level 2 on.
    changed: int = 0


class NodeRecord(NamedTuple):
    """A node of the mesh, as last reported."""

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
    """A role that one node at a time holds, and the epoch that fences off its former holders."""

    role: str
    node: str
    epoch: int
    offset: int


class KeyHold(NamedTuple):
    """An idempotency key that is held: claimed by a running request, or settled with its answer."""

    claim: str
    proxy: str
    body_digest: str
    phase: str
    # Microseconds of mesh time.
    expires: int
    status: int
    headers: dict
    body: bytes
    answer_kept: bool
    # From release level 2 on; see ClaimKey.
    bucket: str = ""
    identified_by: str = ""
    client_digest: str = ""
    route: str = ""


class ItemRecord(NamedTuple):
    """A configuration item. A dropped one keeps its revision, so that an older setting can't bring it back."""

    revision: int
    offset: int
    dropped: bool
    body: bytes
    # The operator's own text of it.
    source: bytes


class PatchRecord(NamedTuple):
    """A patch of items that was accepted, with who answers for it."""

    number: int
    author: str
    signer: str
    digest: str
    offset: int
    # "kind:name" of the items that it changed.
    changed: tuple[str, ...]


class RejectedPatch(NamedTuple):
    """A patch that was rejected against the state of its time: an older copy of it must not be accepted later."""

    offset: int
    # Microseconds of mesh time.
    kept_until: int


class OperatorChange(NamedTuple):
    """A change of one operator that is proposed and not signed yet."""

    # The digest of the operator's new token; empty for a removal.
    token_digest: str
    proposer: str
    # What the signer names: a digest of the proposal.
    change: str


class StoredOutcome(NamedTuple):
    """The outcome of an operator's request, kept so that a repeat of the request is answered alike."""

    # Microseconds of mesh time.
    stored_at: int
    outcome: Outcome
    # A digest of the command; empty for one that was applied below release level 2.
    command_digest: str = ""


class State(NamedTuple):
    """All that the log's records up to one offset made."""

    mesh: str = ""
    # Of the last record applied.
    offset: int = 0
    epoch: int = 0
    # Mesh time: the highest timestamp of the records applied. Whatever expires is judged by it.
    mesh_time: timedelta = ZERO
    # The mesh time when expired holds and outcomes were last removed.
    expired_at: timedelta = ZERO
    # Replica to its incarnation, and operator's name to the digest of a token.
    voters: Map[int, str] = Map()
    operators: Map[str, str] = Map()
    bundles: Map[int, BundleRecord] = Map()
    # Numbers of the bundle in force and of the one that is rolling out; 0 for none.
    in_force: int = 0
    rolling: int = 0
    # By the proxy beside the server, by node, and by role.
    servers: Map[str, ServerRecord] = Map()
    nodes: Map[str, NodeRecord] = Map()
    singleton_roles: Map[str, SingletonRoleRecord] = Map()
    # By scope, and by the id of the operator's request.
    holds: Map[str, KeyHold] = Map()
    outcomes: Map[str, StoredOutcome] = Map()
    # The offset of the last record that changed what the data plane knows.
    data_plane_revision: int = 0
    # The release level in force, and the offset of the record that raised it.
    level: int = 1
    level_offset: int = 0
    # The offset of the last purge that removed a server or node.
    purge_offset: int = 0
    # Bucket of a claim to the scopes held under it: one for each client that can be told apart.
    buckets: Map[str, tuple[str, ...]] = Map()
    # By the name of the operator that would change.
    operator_changes: Map[str, OperatorChange] = Map()
    # By "kind:name", and by number; from release level 3 on.
    items: Map[str, ItemRecord] = Map()
    patches: Map[int, PatchRecord] = Map()
    # By "kind:name", and by the digest of the patch; from release level 4 on.
    revision_histories: Map[str, RevisionHistory] = Map()
    rejected_patches: Map[str, RejectedPatch] = Map()


def initial_state(*, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> State:
    """The state before the first record.

    Args:
        mesh: The mesh's id.
        voters: Replica to its incarnation.
        operators: Operator's name to the SHA-256 digest of a token, in hexadecimal digits.
        level: The release level to begin at.
    """
    return State(mesh=mesh, voters=Map(voters), operators=Map(operators), level=level)


def bundle_in(record: BundleRecord) -> Bundle:
    """The bundle of a record; only bundles that could be read are in the state."""
    return read_bundle(record.text).unwrap()
