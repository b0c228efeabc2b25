"""Reads and checks patches of items. A patch is checked as a whole, before it is logged and again when it is applied.

What it is checked against here is the patch alone; what depends on the items in force is checked by the state machine.
Messages and remedies are kept with the outcomes in the replicated state: see statemachine/errors.py.
"""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidItem, MeshError, field_in
from hoistsaddle.config.items import KINDS, Item, ItemDeletion, ItemUpsert, LimitsItem, Patch, RouteItem

# Revisions, and all numbers of items, go through the log and to every proxy as 64 bits.
MAX_REVISION = 2**62
# Far above any that is meant; their sum stays a finite number.
MAX_WEIGHT = 1e12
# A latency target may lie above the longest hold by less than this: further off, one of the two is a mistake.
MAX_TARGET_ABOVE_HOLD_SECONDS = 60.0


class ValidatedPatch(NamedTuple):
    """A patch that is right in itself, with its items read."""

    sets: list[tuple[ItemUpsert, Item]]
    drops: list[ItemDeletion]


def read_patch(data: bytes) -> Result[ValidatedPatch, MeshError]:
    """The checked patch that pack_patch packed, or the first thing that is wrong with it."""
    try:
        patch = msgspec.msgpack.decode(data, type=Patch)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        return Failure(InvalidItem(f"{problem}.", field=field_in(problem), remedy="Send a whole patch."))
    return check_patch(patch)


def check_patch(patch: Patch) -> Result[ValidatedPatch, MeshError]:
    """The patch with its items read, or the first thing that is wrong with it."""
    sets: list[tuple[ItemUpsert, Item]] = []
    for place, upsert in enumerate(patch.sets):
        where = f"sets[{place}]"
        try:
            item: Item = msgspec.convert(upsert.item, KINDS[upsert.kind])
        except msgspec.ValidationError as problem:
            field = f"{where}.{field_in(problem)}"
            return Failure(InvalidItem(f"{problem}.", field=field, remedy="Mend the field."))
        found = _check_item(item, upsert.revision, where=where)
        if found is not None:
            return Failure(found)
        sets.append((upsert, item))
    for place, deletion in enumerate(patch.drops):
        if not deletion.name or not 0 <= deletion.revision <= MAX_REVISION:
            return Failure(
                InvalidItem("A drop needs a name and a revision.", field=f"drops[{place}]", remedy="Give both.")
            )
    return Success(ValidatedPatch(sets, list(patch.drops)))


def _check_item(item: Item, revision: int, *, where: str) -> MeshError | None:
    for field, declared_name in zip(item.__struct_fields__, item.__struct_encode_fields__, strict=True):
        value = getattr(item, field)
        if isinstance(value, int) and not -MAX_REVISION <= value <= MAX_REVISION:
            return InvalidItem(
                "The number is out of range.", field=f"{where}.{declared_name}", remedy="Give a smaller one."
            )
    if not item.name:
        return InvalidItem("An item needs a name.", field=f"{where}.name", remedy="Give one.")
    if not 0 <= revision <= MAX_REVISION:
        return InvalidItem("The revision is out of range.", field=f"{where}.revision", remedy="Give 0 or more.")
    match item:
        case RouteItem():
            return _check_entry(item, where)
        case LimitsItem():
            return _check_limits(item, where)
    return None


def _check_entry(route: RouteItem, where: str) -> MeshError | None:
    return _check_destination(route, where) or _check_timeouts(route, where)


def _check_destination(route: RouteItem, where: str) -> MeshError | None:
    """Checks which requests a route takes, and that its services have weights to share them by."""
    if not route.host:
        return InvalidItem("An entry needs a host.", field=f"{where}.host", remedy="Name the host that visitors call.")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        return InvalidItem(
            f"{route.prefix!r} is no prefix.", field=f"{where}.prefix", remedy="Begin and end it with a slash."
        )
    if not route.parts:
        return InvalidItem("No service is named.", field=f"{where}.parts", remedy="Name at least one.")
    if any(not 0 <= part.weight <= MAX_WEIGHT for part in route.parts):
        return InvalidItem(
            "A weight is below 0 or too large.", field=f"{where}.parts", remedy="Give 0 or more for each service."
        )
    if not sum(part.weight for part in route.parts) > 0:
        return InvalidItem(
            "No service has any weight.",
            field=f"{where}.parts",
            remedy="Give at least one service a weight above 0.",
        )
    return None


def _check_timeouts(route: RouteItem, where: str) -> MeshError | None:
    """Checks a route's times and attempts; conditions are written so that NaN is wrong too."""
    if not route.hold_seconds > 0:
        return InvalidItem("The longest hold is 0.", field=f"{where}.hold_seconds", remedy="Give above 0 seconds.")
    if not route.aim_seconds >= 0:
        return InvalidItem("The aim is below 0.", field=f"{where}.aim_seconds", remedy="Give 0 seconds or more.")
    if not route.aim_seconds < route.hold_seconds + MAX_TARGET_ABOVE_HOLD_SECONDS:
        return InvalidItem(
            "The aim is far above the longest hold.",
            field=f"{where}.aim_seconds",
            remedy="Lower the aim or raise the hold.",
        )
    if route.most_sends < 1:
        return InvalidItem("No server may be tried.", field=f"{where}.most_sends", remedy="Give 1 or more.")
    return None


def _check_limits(limits: LimitsItem, where: str) -> MeshError | None:
    if min(limits.header_bytes, limits.body_bytes) <= 0:
        return InvalidItem("A limit is 0.", field=f"{where}.body_bytes", remedy="Give above 0.")
    if not (limits.header_seconds >= 0 and limits.idle_seconds >= 0):
        return InvalidItem("A limit is below 0.", field=f"{where}.idle_seconds", remedy="Give 0 seconds or more.")
    return None
