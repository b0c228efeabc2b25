"""What the log makes of bundles in parts: per name the highest revision prevails, set or dropped, or nothing at all."""

from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.config.items import SERVICE, RouteItem, ValidatedPatch, key_of, pack_item, read_patch
from hoistsaddle.statemachine.commands import Outcome, PatchItems
from hoistsaddle.statemachine.deduplication import check_order, remember_order, remember_refusal
from hoistsaddle.statemachine.state import MAX_BUNDLES, ItemRecord, PatchRecord, State, refusal_of, refuse


def patch(state: State, command: PatchItems, offset: int) -> tuple[State, Outcome]:
    """Idempotent by its revisions: a patch sent again, through whichever desk, changes nothing.

    From release level 4 on, another content under a revision that was taken is refused: see orders.py.
    """
    match read_patch(command.patch):
        case Failure(error):
            return state, refusal_of(error)
        case Success(checked):
            return _patched(state, command, checked, offset)


def _prevails(state: State, key: str, revision: int) -> bool:
    known = state.items.get(key)
    return known is None or revision > known.revision


def _patched(state: State, command: PatchItems, checked: ValidatedPatch, offset: int) -> tuple[State, Outcome]:
    check = check_order(state, command, checked)
    if check.refusal is not None:
        return state, check.refusal
    after = _changes(state, checked, offset)
    if (refusal := _unknown_service(state, checked, after)) is not None:
        return remember_refusal(state, command, offset), refusal
    state = remember_order(state, command, check)
    if not after:
        return state, Outcome(detail={"number": 0, "changed": [], "offset": state.data_plane_revision})
    number = max(state.patches, default=0) + 1
    entry = PatchRecord(
        number, command.author, command.signer, digest_of(command.patch.hex()), offset, tuple(sorted(after))
    )
    patches = state.patches.set(number, entry)
    if number - MAX_BUNDLES in patches:
        patches = patches.delete(number - MAX_BUNDLES)
    held = state.items.mutate()
    held.update(after)
    state = state._replace(items=held.finish(), patches=patches, data_plane_revision=offset)
    return state, Outcome(detail={"number": number, "changed": sorted(after), "offset": offset})


def _changes(state: State, checked: ValidatedPatch, offset: int) -> dict[str, ItemRecord]:
    """What the patch changes: of each name the highest revision, where that is above what stands."""
    after: dict[str, ItemRecord] = {}
    for upsert, item in checked.sets:
        key = key_of(upsert.kind, item.name)
        if _prevails(state, key, upsert.revision) and upsert.revision > after.get(key, _nothing).revision:
            after[key] = ItemRecord(upsert.revision, offset, False, pack_item(item), upsert.said)
    for deletion in checked.drops:
        key = key_of(deletion.kind, deletion.name)
        if _prevails(state, key, deletion.revision) and deletion.revision > after.get(key, _nothing).revision:
            # The name keeps its revision after it is gone.
            after[key] = ItemRecord(deletion.revision, offset, True, b"", b"")
    return after


def _unknown_service(state: State, checked: ValidatedPatch, after: dict[str, ItemRecord]) -> Outcome | None:
    """The refusal of an entry whose service nobody declared.

    Against the result, not against what stood before: a patch may bring an entry together with its service. An entry
    that a newer revision of its own has overtaken changes nothing, so what it names no longer matters.
    """
    named = {item.name for upsert, item in checked.sets if upsert.kind == SERVICE}
    for place, (upsert, item) in enumerate(checked.sets):
        if not isinstance(item, RouteItem) or key_of(upsert.kind, item.name) not in after:
            continue
        for part in item.parts:
            known = after.get(key_of(SERVICE, part.service)) or state.items.get(key_of(SERVICE, part.service))
            if part.service not in named and (known is None or known.dropped):
                return refuse(
                    ErrorKind.ITEM_BROKEN,
                    f"Entry {item.name} names service {part.service}, which nobody declared.",
                    "Declare the service in the same patch or before it.",
                    f"sets[{place}].parts",
                )
    return None


_nothing = ItemRecord(-1, 0, False, b"", b"")
