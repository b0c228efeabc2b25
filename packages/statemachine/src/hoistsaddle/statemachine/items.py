"""What the log makes of bundles in parts: per name the highest revision prevails, set or dropped, or nothing at all."""

from returns.result import Failure, Success

from hoistsaddle.common.errors import MishapKind
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.config.items import SERVICE, Checked, EntryItem, key_of, pack_item, read_patch
from hoistsaddle.statemachine.commands import Outcome, PatchItems
from hoistsaddle.statemachine.orders import check_order, remember_order, remember_refusal
from hoistsaddle.statemachine.state import BUNDLES_KEPT, ItemEntry, PatchEntry, State, refusal_of, refuse


def patch(state: State, command: PatchItems, offset: int) -> tuple[State, Outcome]:
    """Idempotent by its revisions: a patch sent again, through whichever desk, changes nothing.

    From release level 4 on, another content under a revision that was taken is refused: see orders.py.
    """
    match read_patch(command.patch):
        case Failure(mishap):
            return state, refusal_of(mishap)
        case Success(checked):
            return _patched(state, command, checked, offset)


def _prevails(state: State, key: str, revision: int) -> bool:
    known = state.items.get(key)
    return known is None or revision > known.revision


def _patched(state: State, command: PatchItems, checked: Checked, offset: int) -> tuple[State, Outcome]:
    check = check_order(state, command, checked)
    if check.refusal is not None:
        return state, check.refusal
    after = _changes(state, checked, offset)
    if (refusal := _unknown_service(state, checked, after)) is not None:
        return remember_refusal(state, command, offset), refusal
    state = remember_order(state, command, check)
    if not after:
        return state, Outcome(detail={"number": 0, "changed": [], "offset": state.news})
    number = max(state.patches, default=0) + 1
    entry = PatchEntry(
        number, command.author, command.signer, digest_of(command.patch.hex()), offset, tuple(sorted(after))
    )
    patches = state.patches.set(number, entry)
    if number - BUNDLES_KEPT in patches:
        patches = patches.delete(number - BUNDLES_KEPT)
    held = state.items.mutate()
    held.update(after)
    state = state._replace(items=held.finish(), patches=patches, news=offset)
    return state, Outcome(detail={"number": number, "changed": sorted(after), "offset": offset})


def _changes(state: State, checked: Checked, offset: int) -> dict[str, ItemEntry]:
    """What the patch changes: of each name the highest revision, where that is above what stands."""
    after: dict[str, ItemEntry] = {}
    for setting, item in checked.sets:
        key = key_of(setting.kind, item.name)
        if _prevails(state, key, setting.revision) and setting.revision > after.get(key, _nothing).revision:
            after[key] = ItemEntry(setting.revision, offset, False, pack_item(item), setting.said)
    for dropping in checked.drops:
        key = key_of(dropping.kind, dropping.name)
        if _prevails(state, key, dropping.revision) and dropping.revision > after.get(key, _nothing).revision:
            # The name keeps its revision after it is gone.
            after[key] = ItemEntry(dropping.revision, offset, True, b"", b"")
    return after


def _unknown_service(state: State, checked: Checked, after: dict[str, ItemEntry]) -> Outcome | None:
    """The refusal of an entry whose service nobody declared.

    Against the result, not against what stood before: a patch may bring an entry together with its service. An entry
    that a newer revision of its own has overtaken changes nothing, so what it names no longer matters.
    """
    named = {item.name for setting, item in checked.sets if setting.kind == SERVICE}
    for place, (setting, item) in enumerate(checked.sets):
        if not isinstance(item, EntryItem) or key_of(setting.kind, item.name) not in after:
            continue
        for part in item.parts:
            known = after.get(key_of(SERVICE, part.service)) or state.items.get(key_of(SERVICE, part.service))
            if part.service not in named and (known is None or known.dropped):
                return refuse(
                    MishapKind.ITEM_BROKEN,
                    f"Entry {item.name} names service {part.service}, which nobody declared.",
                    "Declare the service in the same patch or before it.",
                    f"sets[{place}].parts",
                )
    return None


_nothing = ItemEntry(-1, 0, False, b"", b"")
