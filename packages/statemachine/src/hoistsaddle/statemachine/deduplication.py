"""What the log knows of orders that may come more than once: the same one again, or another under the same revision.

What was taken is never refused; what was refused never counts; one revision of an item has one content. Where the log
no longer knows, it says so and gives neither answer.
"""

import hashlib
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.items import DROPPED_DIGEST, ValidatedPatch, content_digest, key_of, pack_item
from hoistsaddle.statemachine.commands import RESEND_WINDOW, Outcome, PatchItems
from hoistsaddle.statemachine.revision_history import (
    AcceptedRevision,
    RevisionHistory,
    RevisionStatus,
    forget,
    meet,
    remember,
)
from hoistsaddle.statemachine.state import RejectedPatch, State, refuse

# From this release level on the log remembers orders.
DEDUPLICATION_LEVEL = 4
# Refused patches whose copies are still told apart; the oldest go first.
MAX_REJECTED_PATCHES = 256


class PatchedItem(NamedTuple):
    """One item of an order: what it names, and its content under that revision."""

    key: str
    revision: int
    digest: bytes
    # Where it stands in the patch.
    field: str


class PatchCheck(NamedTuple):
    """What an order meets: the refusal it gets, if any, and what is to be remembered of it."""

    refusal: Outcome | None
    remembered: tuple[PatchedItem, ...] = ()


def _patched_items(checked: ValidatedPatch) -> list[PatchedItem]:
    ordered = [
        PatchedItem(
            key_of(upsert.kind, item.name),
            upsert.revision,
            content_digest(body=pack_item(item), said=upsert.said),
            f"sets[{place}]",
        )
        for place, (upsert, item) in enumerate(checked.sets)
    ]
    ordered += [
        PatchedItem(key_of(each.kind, each.name), each.revision, DROPPED_DIGEST, f"drops[{place}]")
        for place, each in enumerate(checked.drops)
    ]
    return ordered


def _revision_history(state: State, key: str) -> RevisionHistory | None:
    known = state.revision_histories.get(key)
    if known is not None or key not in state.items:
        return known
    # Taken before the log remembered: of what it overtook nothing is known.
    entry = state.items[key]
    digest = DROPPED_DIGEST if entry.dropped else content_digest(body=entry.body, said=entry.said)
    return RevisionHistory((AcceptedRevision(entry.revision, digest, 0),), entry.revision - 1)


def _conflict(item: PatchedItem, *, where: str) -> Outcome:
    kind, _, name = item.key.partition(":")
    return refuse(
        ErrorKind.ITEM_CONFLICT,
        f"Revision {item.revision} of {kind} {name} has another content {where}; nothing of the patch counts.",
        "Read the items, and send the change under a higher revision of its own.",
        item.field,
    )


def _unsure(message: str, field: str = "") -> Outcome:
    return refuse(
        ErrorKind.ORDER_UNSURE,
        message,
        "Read the items: what is missing there, send under a higher revision.",
        field,
    )


def check_order(state: State, command: PatchItems, checked: ValidatedPatch) -> PatchCheck:
    """Whether this order may count, by what is remembered of its items and of itself."""
    if state.level < DEDUPLICATION_LEVEL:
        return PatchCheck(None)
    ordered = _patched_items(checked)
    within: dict[tuple[str, int], bytes] = {}
    for item in ordered:
        if within.setdefault((item.key, item.revision), item.digest) != item.digest:
            return PatchCheck(_conflict(item, where="in the same patch"))
    met = [
        (item, meet(_revision_history(state, item.key), revision=item.revision, digest=item.digest)) for item in ordered
    ]
    for item, meeting in met:
        if meeting is RevisionStatus.OTHER:
            return PatchCheck(_conflict(item, where="already"))
    for item, meeting in met:
        if meeting is RevisionStatus.FORGOTTEN:
            kind, _, name = item.key.partition(":")
            return PatchCheck(
                _unsure(f"Revision {item.revision} of {kind} {name} was overtaken too long ago to be told.", item.field)
            )
    refused = state.rejected_patches.get(call_digest(command))
    if (
        refused is not None
        and command.seen < refused.offset
        and any(each is not RevisionStatus.TAKEN for _, each in met)
    ):
        # This copy set out before the refusal was logged: its sender was told, or will be, that it doesn't count.
        return PatchCheck(_unsure("An older copy of a patch that was refused since: it doesn't count any more."))
    return PatchCheck(None, tuple(ordered))


def call_digest(command: PatchItems) -> str:
    return hashlib.sha256(command.patch).hexdigest()


def _until(state: State, command: PatchItems) -> int:
    span = timedelta(seconds=command.span) if command.span > 0 else RESEND_WINDOW
    return to_microseconds(state.mesh_time + span)


def remember_order(state: State, command: PatchItems, check: PatchCheck) -> State:
    """What was taken just now, or once more: its contents stay known for as long as it may be sent again."""
    if not check.remembered:
        return state
    now, until = to_microseconds(state.mesh_time), _until(state, command)
    memories = state.revision_histories.mutate()
    for item in sorted(check.remembered):
        known = memories.get(item.key) or _revision_history(state, item.key)
        if known is None or known.taken[-1][:2] != (item.revision, item.digest):
            memories[item.key] = remember(known, revision=item.revision, digest=item.digest, now=now, until=until)
    return state._replace(revision_histories=memories.finish())


def remember_refusal(state: State, command: PatchItems, offset: int) -> State:
    """A refusal for what stood now: a copy that set out before it must not count once something else stands."""
    if state.level < DEDUPLICATION_LEVEL:
        return state
    refusals = state.rejected_patches.set(call_digest(command), RejectedPatch(offset, _until(state, command)))
    if len(refusals) > MAX_REJECTED_PATCHES:
        refusals = refusals.delete(min(refusals, key=lambda digest: refusals[digest].offset))
    return state._replace(rejected_patches=refusals)


def expire_patches(state: State) -> State:
    """Forgets what nobody can send again."""
    now = to_microseconds(state.mesh_time)
    memories, refusals = state.revision_histories.mutate(), state.rejected_patches.mutate()
    for key, memory in state.revision_histories.items():
        if (left := forget(memory, now=now)) is not memory:
            memories[key] = left
    for digest, refusal in state.rejected_patches.items():
        if refusal.kept_until <= now:
            del refusals[digest]
    return state._replace(revision_histories=memories.finish(), rejected_patches=refusals.finish())
