"""Detects resent patches, and patches with different content under an accepted revision.

An accepted patch is never rejected later, a rejected patch is never accepted later, and one revision of an item has one
content. If the state no longer holds which of the two applies, the patch is answered with OutcomeForgotten.
"""

import hashlib
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.config.item_checks import ValidatedPatch
from hoistsaddle.config.items import DROPPED_DIGEST, content_digest, key_of, pack_item
from hoistsaddle.statemachine.commands import RESEND_WINDOW, Outcome, PatchItems
from hoistsaddle.statemachine.errors import ItemConflict, OutcomeForgotten, reject
from hoistsaddle.statemachine.revision_history import (
    AcceptedRevision,
    RevisionHistory,
    RevisionStatus,
    compare_revision,
    prune,
    record_revision,
)
from hoistsaddle.statemachine.state import RejectedPatch, State

# The release level from which on the state remembers patches.
DEDUPLICATION_LEVEL = 4
# The most rejected patches that are remembered; the oldest are dropped first.
MAX_REJECTED_PATCHES = 256


class PatchedItem(NamedTuple):
    """One item of a patch: its key, its revision and the digest of its content."""

    key: str
    revision: int
    digest: bytes
    # Its position in the patch, as error messages name it.
    field: str


class PatchCheck(NamedTuple):
    """The rejection of a patch, if any, and the items to remember if the patch is accepted."""

    rejection: Outcome | None
    items: tuple[PatchedItem, ...] = ()


def _patched_items(validated: ValidatedPatch) -> list[PatchedItem]:
    patched = [
        PatchedItem(
            key_of(upsert.kind, item.name),
            upsert.revision,
            content_digest(body=pack_item(item), source=upsert.source),
            f"sets[{index}]",
        )
        for index, (upsert, item) in enumerate(validated.sets)
    ]
    patched += [
        PatchedItem(key_of(each.kind, each.name), each.revision, DROPPED_DIGEST, f"drops[{index}]")
        for index, each in enumerate(validated.drops)
    ]
    return patched


def _revision_history(state: State, key: str) -> RevisionHistory | None:
    history = state.revision_histories.get(key)
    if history is not None or key not in state.items:
        return history
    # Accepted below DEDUPLICATION_LEVEL: the revisions before it were not recorded.
    item = state.items[key]
    digest = DROPPED_DIGEST if item.dropped else content_digest(body=item.body, source=item.source)
    return RevisionHistory((AcceptedRevision(item.revision, digest, 0),), item.revision - 1)


def _conflict(item: PatchedItem, *, occurrence: str) -> Outcome:
    kind, _, name = item.key.partition(":")
    return reject(
        ItemConflict(
            f"Revision {item.revision} of {kind} {name} has another content {occurrence}; nothing of the patch counts.",
            field=item.field,
        )
    )


def _forgotten(message: str, *, field: str = "") -> Outcome:
    return reject(OutcomeForgotten(message, field=field))


def check_duplicate(state: State, command: PatchItems, validated: ValidatedPatch) -> PatchCheck:
    """Checks a patch against the revision histories of its items and against remembered rejections."""
    if state.level < DEDUPLICATION_LEVEL:
        return PatchCheck(None)
    patched = _patched_items(validated)
    if (conflict := _conflict_within(patched)) is not None:
        return PatchCheck(conflict)
    statuses = [
        compare_revision(_revision_history(state, item.key), revision=item.revision, digest=item.digest)
        for item in patched
    ]
    for item, status in zip(patched, statuses, strict=True):
        if status is RevisionStatus.OTHER:
            return PatchCheck(_conflict(item, occurrence="already"))
    for item, status in zip(patched, statuses, strict=True):
        if status is RevisionStatus.FORGOTTEN:
            kind, _, name = item.key.partition(":")
            message = f"Revision {item.revision} of {kind} {name} was overtaken too long ago to be told."
            return PatchCheck(_forgotten(message, field=item.field))
    rejected = state.rejected_patches.get(patch_digest(command))
    is_new = any(status is not RevisionStatus.ACCEPTED for status in statuses)
    if rejected is not None and command.seen_offset < rejected.offset and is_new:
        # This copy was sent before the rejection was logged: its sender was or will be told that it is rejected.
        return PatchCheck(_forgotten("An older copy of a patch that was refused since: it doesn't count any more."))
    return PatchCheck(None, tuple(patched))


def _conflict_within(patched: list[PatchedItem]) -> Outcome | None:
    digests: dict[tuple[str, int], bytes] = {}
    for item in patched:
        if digests.setdefault((item.key, item.revision), item.digest) != item.digest:
            return _conflict(item, occurrence="in the same patch")
    return None


def patch_digest(command: PatchItems) -> str:
    """Returns the digest that identifies copies of a patch."""
    return hashlib.sha256(command.patch).hexdigest()


def _resent_until(state: State, command: PatchItems) -> int:
    """Returns the time until which the patch may be resent, in microseconds of mesh time."""
    window = timedelta(seconds=command.resend_seconds) if command.resend_seconds > 0 else RESEND_WINDOW
    return to_microseconds(state.mesh_time + window)


def record_accepted(state: State, command: PatchItems, check: PatchCheck) -> State:
    """Remembers the item contents of an accepted patch for as long as the patch may be resent."""
    if not check.items:
        return state
    now, until = to_microseconds(state.mesh_time), _resent_until(state, command)
    histories = state.revision_histories.mutate()
    for item in sorted(check.items):
        history = histories.get(item.key) or _revision_history(state, item.key)
        if history is None or history.accepted[-1][:2] != (item.revision, item.digest):
            histories[item.key] = record_revision(
                history, revision=item.revision, digest=item.digest, now=now, until=until
            )
    return state._replace(revision_histories=histories.finish())


def record_rejection(state: State, command: PatchItems, offset: int) -> State:
    """Remembers a rejection, so that an older copy of the patch isn't accepted against a later state."""
    if state.level < DEDUPLICATION_LEVEL:
        return state
    rejected = state.rejected_patches.set(patch_digest(command), RejectedPatch(offset, _resent_until(state, command)))
    if len(rejected) > MAX_REJECTED_PATCHES:
        rejected = rejected.delete(min(rejected, key=lambda digest: rejected[digest].offset))
    return state._replace(rejected_patches=rejected)


def expire_patches(state: State) -> State:
    """Removes histories and rejections of patches that can no longer be resent."""
    now = to_microseconds(state.mesh_time)
    histories, rejected = state.revision_histories.mutate(), state.rejected_patches.mutate()
    for key, history in state.revision_histories.items():
        if (pruned := prune(history, now=now)) is not history:
            histories[key] = pruned
    for digest, rejection in state.rejected_patches.items():
        if rejection.kept_until <= now:
            del rejected[digest]
    return state._replace(revision_histories=histories.finish(), rejected_patches=rejected.finish())
