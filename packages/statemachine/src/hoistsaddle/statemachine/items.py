"""What the log makes of patches of items: for each name the highest revision prevails, whether it sets or drops.

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

# Stands for an item that isn't there: every revision is above its own.
_missing = ItemRecord(-1, 0, False, b"", b"")


def patch(state: State, command: PatchItems, offset: int) -> tuple[State, Outcome]:
    """Applies a patch. It is idempotent by its revisions: sent again, by whichever way, it changes nothing.

    From release level 4 on, another content under a revision that was accepted is rejected: see deduplication.py.
    """
    match read_patch(command.patch):
        case Failure(error):
            return state, reject(error)
        case Success(checked):
            return _apply_patch(state, command, checked, offset)


def _apply_patch(state: State, command: PatchItems, checked: ValidatedPatch, offset: int) -> tuple[State, Outcome]:
    check = check_duplicate(state, command, checked)
    if check.rejection is not None:
        return state, check.rejection
    changed = _changed_items(state, checked, offset)
    if (rejection := _reject_unknown_service(state, checked, changed)) is not None:
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


def _changed_items(state: State, checked: ValidatedPatch, offset: int) -> dict[str, ItemRecord]:
    """What the patch changes: of each name the highest revision, where that is above the one in force."""
    changed: dict[str, ItemRecord] = {}
    for upsert, item in checked.sets:
        key = key_of(upsert.kind, item.name)
        if _prevails(state, key, upsert.revision) and upsert.revision > changed.get(key, _missing).revision:
            changed[key] = ItemRecord(upsert.revision, offset, False, pack_item(item), upsert.source)
    for deletion in checked.drops:
        key = key_of(deletion.kind, deletion.name)
        if _prevails(state, key, deletion.revision) and deletion.revision > changed.get(key, _missing).revision:
            # The name keeps its revision after it is dropped.
            changed[key] = ItemRecord(deletion.revision, offset, True, b"", b"")
    return changed


def _reject_unknown_service(state: State, checked: ValidatedPatch, changed: dict[str, ItemRecord]) -> Outcome | None:
    """The rejection of a route to a service that nobody declared.

    It is checked against what the patch results in: a patch may bring a route together with its service. A route whose
    item has a newer revision in force changes nothing, so its services don't matter.
    """
    declared = {item.name for upsert, item in checked.sets if upsert.kind == SERVICE}
    for place, (upsert, item) in enumerate(checked.sets):
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
                        field=f"sets[{place}].parts",
                    )
                )
    return None
