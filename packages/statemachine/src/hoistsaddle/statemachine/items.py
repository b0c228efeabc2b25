"""Applies patches of items. For each name the highest revision prevails, whether it sets or drops the item.

A patch takes effect as a whole or not at all.
"""

from returns.result import Failure, Success

from hoistsaddle.common.errors import InvalidItem
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.config.item_checks import ValidatedPatch, read_patch
from hoistsaddle.config.items import SERVICE, RouteItem, key_of, pack_item
from hoistsaddle.statemachine.commands import Outcome, PatchItems
from hoistsaddle.statemachine.deduplication import check_duplicate, record_accepted, record_rejection
from hoistsaddle.statemachine.errors import reject
from hoistsaddle.statemachine.state import MAX_BUNDLES, ItemRecord, PatchRecord, State

# A placeholder for an item that doesn't exist: every valid revision is above its revision.
_ABSENT_ITEM = ItemRecord(-1, 0, False, b"", b"")


def patch(state: State, command: PatchItems, offset: int) -> tuple[State, Outcome]:
    """Applies a patch. Revisions make it idempotent: a resent patch changes nothing, whichever controller got it.

    From release level 4 on, different content under an accepted revision is rejected: see deduplication.py.
    """
    match read_patch(command.patch):
        case Failure(error):
            return state, reject(error)
        case Success(validated):
            return _apply_patch(state, command, validated, offset)


def _apply_patch(state: State, command: PatchItems, validated: ValidatedPatch, offset: int) -> tuple[State, Outcome]:
    check = check_duplicate(state, command, validated)
    if check.rejection is not None:
        return state, check.rejection
    changed = _changed_items(state, validated, offset)
    if (rejection := _reject_unknown_service(state, validated, changed)) is not None:
        return record_rejection(state, command, offset), rejection
    state = record_accepted(state, command, check)
    if not changed:
        return state, Outcome(detail={"number": 0, "changed": [], "offset": state.data_plane_revision})
    number = max(state.patches, default=0) + 1
    names = tuple(sorted(changed))
    record = PatchRecord(number, command.author, command.signer, digest_of(command.patch.hex()), offset, names)
    patches = state.patches.set(number, record)
    if number - MAX_BUNDLES in patches:
        patches = patches.delete(number - MAX_BUNDLES)
    items = state.items.mutate()
    items.update(changed)
    state = state._replace(items=items.finish(), patches=patches, data_plane_revision=offset)
    return state, Outcome(detail={"number": number, "changed": list(names), "offset": offset})


def _prevails(state: State, key: str, revision: int) -> bool:
    known = state.items.get(key)
    return known is None or revision > known.revision


def _changed_items(state: State, validated: ValidatedPatch, offset: int) -> dict[str, ItemRecord]:
    """Returns the changed items by key: of each name the highest revision, if it is above the revision in force."""
    changed: dict[str, ItemRecord] = {}
    for upsert, item in validated.sets:
        key = key_of(upsert.kind, item.name)
        if _prevails(state, key, upsert.revision) and upsert.revision > changed.get(key, _ABSENT_ITEM).revision:
            changed[key] = ItemRecord(upsert.revision, offset, False, pack_item(item), upsert.source)
    for deletion in validated.drops:
        key = key_of(deletion.kind, deletion.name)
        if _prevails(state, key, deletion.revision) and deletion.revision > changed.get(key, _ABSENT_ITEM).revision:
            # The record of a dropped item remains, to keep its revision.
            changed[key] = ItemRecord(deletion.revision, offset, True, b"", b"")
    return changed


def _reject_unknown_service(state: State, validated: ValidatedPatch, changed: dict[str, ItemRecord]) -> Outcome | None:
    """Rejects a patch with a route to an undeclared service.

    The check covers the configuration that would result: a patch may add a route together with its service. A route
    whose name has a newer revision in force changes nothing, so its services are not checked.
    """
    declared = {item.name for upsert, item in validated.sets if upsert.kind == SERVICE}
    for index, (upsert, item) in enumerate(validated.sets):
        if not isinstance(item, RouteItem) or key_of(upsert.kind, item.name) not in changed:
            continue
        for part in item.parts:
            key = key_of(SERVICE, part.service)
            known = changed.get(key) or state.items.get(key)
            if part.service not in declared and (known is None or known.dropped):
                return reject(
                    InvalidItem(
                        f"Entry {item.name} names service {part.service}, which nobody declared.",
                        remedy="Declare the service in the same patch or before it.",
                        field=f"sets[{index}].parts",
                    )
                )
    return None
