"""Decodes and validates patches of items, as a whole: before a patch is logged and again when it is applied.

The checks here depend on the patch alone; the state machine checks it against the items in force. Messages and remedies
are stored with the outcomes in the replicated state, so they must not change: see statemachine/errors.py.
"""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidItem, MeshError, field_in
from hoistsaddle.config.items import KINDS, Item, ItemDeletion, ItemUpsert, LimitsItem, Patch, RouteItem

# Revisions and all integers of items are sent through the log and to every proxy as 64-bit integers.
MAX_REVISION = 2**62
# Far above any useful weight, and low enough that the sum of the weights stays finite.
MAX_WEIGHT = 1e12
# A latency target must exceed the longest hold by less than this; otherwise one of the two is probably a mistake.
MAX_TARGET_ABOVE_HOLD_SECONDS = 60.0


class ValidatedPatch(NamedTuple):
    """A patch that is valid by itself, with its items decoded."""

    sets: list[tuple[ItemUpsert, Item]]
    drops: list[ItemDeletion]


def read_patch(data: bytes) -> Result[ValidatedPatch, MeshError]:
    """Decodes and validates a patch that pack_patch packed; returns the patch or its first error."""
    try:
        patch = msgspec.msgpack.decode(data, type=Patch)
    except (msgspec.DecodeError, msgspec.ValidationError) as decode_error:
        return Failure(InvalidItem(f"{decode_error}.", field=field_in(decode_error), remedy="Send a whole patch."))
    return check_patch(patch)


def check_patch(patch: Patch) -> Result[ValidatedPatch, MeshError]:
    """Validates a patch; returns it with its items decoded, or its first error."""
    sets: list[tuple[ItemUpsert, Item]] = []
    for index, upsert in enumerate(patch.sets):
        field_prefix = f"sets[{index}]"
        try:
            item: Item = msgspec.convert(upsert.item, KINDS[upsert.kind])
        except msgspec.ValidationError as decode_error:
            field = f"{field_prefix}.{field_in(decode_error)}"
            return Failure(InvalidItem(f"{decode_error}.", field=field, remedy="Mend the field."))
        error = _check_item(item, upsert.revision, field_prefix=field_prefix)
        if error is not None:
            return Failure(error)
        sets.append((upsert, item))
    for index, deletion in enumerate(patch.drops):
        if not deletion.name or not 0 <= deletion.revision <= MAX_REVISION:
            return Failure(
                InvalidItem("A drop needs a name and a revision.", field=f"drops[{index}]", remedy="Give both.")
            )
    return Success(ValidatedPatch(sets, list(patch.drops)))


def _check_item(item: Item, revision: int, *, field_prefix: str) -> MeshError | None:
    for field, declared_name in zip(item.__struct_fields__, item.__struct_encode_fields__, strict=True):
        value = getattr(item, field)
        if isinstance(value, int) and not -MAX_REVISION <= value <= MAX_REVISION:
            return InvalidItem(
                "The number is out of range.", field=f"{field_prefix}.{declared_name}", remedy="Give a smaller one."
            )
    if not item.name:
        return InvalidItem("An item needs a name.", field=f"{field_prefix}.name", remedy="Give one.")
    if not 0 <= revision <= MAX_REVISION:
        return InvalidItem("The revision is out of range.", field=f"{field_prefix}.revision", remedy="Give 0 or more.")
    match item:
        case RouteItem():
            return _check_route(item, field_prefix)
        case LimitsItem():
            return _check_limits(item, field_prefix)
    return None


def _check_route(route: RouteItem, field_prefix: str) -> MeshError | None:
    return _check_destination(route, field_prefix) or _check_timeouts(route, field_prefix)


def _check_destination(route: RouteItem, field_prefix: str) -> MeshError | None:
    """Checks the host, the prefix, the services and the weights of a route."""
    if not route.host:
        return InvalidItem(
            "An entry needs a host.", field=f"{field_prefix}.host", remedy="Name the host that visitors call."
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        return InvalidItem(
            f"{route.prefix!r} is no prefix.", field=f"{field_prefix}.prefix", remedy="Begin and end it with a slash."
        )
    if not route.parts:
        return InvalidItem("No service is named.", field=f"{field_prefix}.parts", remedy="Name at least one.")
    if any(not 0 <= part.weight <= MAX_WEIGHT for part in route.parts):
        return InvalidItem(
            "A weight is below 0 or too large.",
            field=f"{field_prefix}.parts",
            remedy="Give 0 or more for each service.",
        )
    if not sum(part.weight for part in route.parts) > 0:
        return InvalidItem(
            "No service has any weight.",
            field=f"{field_prefix}.parts",
            remedy="Give at least one service a weight above 0.",
        )
    return None


def _check_timeouts(route: RouteItem, field_prefix: str) -> MeshError | None:
    """Checks the times and attempts of a route; the conditions are written so that NaN fails them too."""
    if not route.hold_seconds > 0:
        return InvalidItem(
            "The longest hold is 0.", field=f"{field_prefix}.hold_seconds", remedy="Give above 0 seconds."
        )
    if not route.aim_seconds >= 0:
        return InvalidItem("The aim is below 0.", field=f"{field_prefix}.aim_seconds", remedy="Give 0 seconds or more.")
    if not route.aim_seconds < route.hold_seconds + MAX_TARGET_ABOVE_HOLD_SECONDS:
        return InvalidItem(
            "The aim is far above the longest hold.",
            field=f"{field_prefix}.aim_seconds",
            remedy="Lower the aim or raise the hold.",
        )
    if route.most_sends < 1:
        return InvalidItem("No server may be tried.", field=f"{field_prefix}.most_sends", remedy="Give 1 or more.")
    return None


def _check_limits(limits: LimitsItem, field_prefix: str) -> MeshError | None:
    if min(limits.header_bytes, limits.body_bytes) <= 0:
        return InvalidItem("A limit is 0.", field=f"{field_prefix}.body_bytes", remedy="Give above 0.")
    if not (limits.header_seconds >= 0 and limits.idle_seconds >= 0):
        return InvalidItem(
            "A limit is below 0.", field=f"{field_prefix}.idle_seconds", remedy="Give 0 seconds or more."
        )
    return None
