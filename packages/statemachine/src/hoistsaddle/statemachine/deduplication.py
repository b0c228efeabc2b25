"""Patches that come more than once: the same one again, or another content under the same revision.

An accepted patch is never rejected later, a rejected one is never accepted later, and one revision of an item has one
content. Where the log no longer knows which it was, it says so (OutcomeForgotten) in place of either answer.
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

# From this release level on the log remembers patches.
DEDUPLICATION_LEVEL = 4
# Rejected patches that are remembered; the oldest are dropped first.
MAX_REJECTED_PATCHES = 256


class PatchedItem(NamedTuple):
    """One item of a patch: its key, and its content under that revision."""

    key: str
    revision: int
    digest: bytes
    # Its place in the patch.
    field: str


class PatchCheck(NamedTuple):
    """The rejection that a patch gets, if any, and the items to remember if it is accepted."""

    rejection: Outcome | None
    items: tuple[PatchedItem, ...] = ()


def _patched_items(checked: ValidatedPatch) -> list[PatchedItem]:
    patched = [
        PatchedItem(
            key_of(upsert.kind, item.name),
            upsert.revision,
            content_digest(body=pack_item(item), source=upsert.source),
            f"sets[{place}]",
        )
        for place, (upsert, item) in enumerate(checked.sets)
    ]
    patched += [
        PatchedItem(key_of(each.kind, each.name), each.revision, DROPPED_DIGEST, f"drops[{place}]")
        for place, each in enumerate(checked.drops)
    ]
    return patched


def _revision_history(state: State, key: str) -> RevisionHistory | None:
    known = state.revision_histories.get(key)
    if known is not None or key not in state.items:
        return known
    # Accepted below DEDUPLICATION_LEVEL: nothing is known of the revisions before it.
    item = state.items[key]
    digest = DROPPED_DIGEST if item.dropped else content_digest(body=item.body, source=item.source)
    return RevisionHistory((AcceptedRevision(item.revision, digest, 0),), item.revision - 1)


def _conflict(item: PatchedItem, *, where: str) -> Outcome:
    kind, _, name = item.key.partition(":")
    return reject(
        ItemConflict(
            f"Revision {item.revision} of {kind} {name} has another content {where}; nothing of the patch counts.",
            field=item.field,
        )
    )


def _forgotten(message: str, *, field: str = "") -> Outcome:
    return reject(OutcomeForgotten(message, field=field))


def check_duplicate(state: State, command: PatchItems, checked: ValidatedPatch) -> PatchCheck:
    """Whether a patch may be accepted, by what is remembered of its items and of itself."""
    if state.level < DEDUPLICATION_LEVEL:
        return PatchCheck(None)
    patched = _patched_items(checked)
    if (conflict := _conflict_within(patched)) is not None:
        return PatchCheck(conflict)
    statuses = [
        compare_revision(_revision_history(state, item.key), revision=item.revision, digest=item.digest)
        for item in patched
    ]
    for item, status in zip(patched, statuses, strict=True):
        if status is RevisionStatus.OTHER:
            return PatchCheck(_conflict(item, where="already"))
    for item, status in zip(patched, statuses, strict=True):
        if status is RevisionStatus.FORGOTTEN:
            kind, _, name = item.key.partition(":")
            message = f"Revision {item.revision} of {kind} {name} was overtaken too long ago to be told."
            return PatchCheck(_forgotten(message, field=item.field))
    rejected = state.rejected_patches.get(patch_digest(command))
    is_new = any(status is not RevisionStatus.ACCEPTED for status in statuses)
    if rejected is not None and command.seen_offset < rejected.offset and is_new:
        # This copy was sent before the rejection was logged, so its sender was told, or will be, that it is rejected.
        return PatchCheck(_forgotten("An older copy of a patch that was refused since: it doesn't count any more."))
    return PatchCheck(None, tuple(patched))


def _conflict_within(patched: list[PatchedItem]) -> Outcome | None:
    digests: dict[tuple[str, int], bytes] = {}
    for item in patched:
        if digests.setdefault((item.key, item.revision), item.digest) != item.digest:
            return _conflict(item, where="in the same patch")
    return None


def patch_digest(command: PatchItems) -> str:
    """What a copy of a patch is recognised by."""
    return hashlib.sha256(command.patch).hexdigest()


def _resent_until(state: State, command: PatchItems) -> int:
    """Microseconds of mesh time up to which the patch may be sent again."""
    window = timedelta(seconds=command.resend_seconds) if command.resend_seconds > 0 else RESEND_WINDOW
    return to_microseconds(state.mesh_time + window)


def record_accepted(state: State, command: PatchItems, check: PatchCheck) -> State:
    """Remembers the contents of a patch that is accepted, for as long as it may be sent again."""
    if not check.items:
        return state
    now, until = to_microseconds(state.mesh_time), _resent_until(state, command)
    histories = state.revision_histories.mutate()
    for item in sorted(check.items):
        known = histories.get(item.key) or _revision_history(state, item.key)
        if known is None or known.accepted[-1][:2] != (item.revision, item.digest):
            histories[item.key] = record_revision(
                known, revision=item.revision, digest=item.digest, now=now, until=until
            )
    return state._replace(revision_histories=histories.finish())


def record_rejection(state: State, command: PatchItems, offset: int) -> State:
    """Remembers a rejection against the present state, so that an older copy isn't accepted against a later one."""
    if state.level < DEDUPLICATION_LEVEL:
        return state
    rejected = state.rejected_patches.set(patch_digest(command), RejectedPatch(offset, _resent_until(state, command)))
    if len(rejected) > MAX_REJECTED_PATCHES:
        rejected = rejected.delete(min(rejected, key=lambda digest: rejected[digest].offset))
    return state._replace(rejected_patches=rejected)


def expire_patches(state: State) -> State:
    """Forgets what nobody can send again."""
    now = to_microseconds(state.mesh_time)
    histories, rejected = state.revision_histories.mutate(), state.rejected_patches.mutate()
    for key, history in state.revision_histories.items():
        if (pruned := prune(history, now=now)) is not history:
            histories[key] = pruned
    for digest, rejection in state.rejected_patches.items():
        if rejection.kept_until <= now:
            del rejected[digest]
    return state._replace(revision_histories=histories.finish(), rejected_patches=rejected.finish())
