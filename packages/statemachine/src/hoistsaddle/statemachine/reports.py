"""Reports for operators on the configuration, items, keys and operators, each built from one state.

The dictionary keys of the reports are part of the operators' interface; renaming a record's field must not change them.
"""

from datetime import timedelta

import msgspec

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.config.items import unpack_item
from hoistsaddle.statemachine.commands import GONE_RETENTION
from hoistsaddle.statemachine.operators import kind_of_change
from hoistsaddle.statemachine.state import (
    CLAIMED,
    GONE,
    IN_FORCE,
    READY,
    ROLLING,
    SETTLED,
    BundleRecord,
    ItemRecord,
    KeyHold,
    ServerRecord,
    SingletonRoleRecord,
    State,
    bundle_in,
)

# The default lease of a proxy: a proxy that has not received a drain mark keeps its lease no longer than this.
LEASE = timedelta(seconds=1.5)
# The number of newest patches in a report.
PATCHES_SHOWN = 10
# The number of characters of a key's scope in a report.
KEY_CHARACTERS = 12


def state_report(state: State) -> dict:
    """Reports the whole configuration and the nodes of the mesh."""
    active_bundles = [number for number, bundle in state.bundles.items() if bundle.phase in (IN_FORCE, ROLLING)]
    return {
        "mesh": state.mesh,
        "release_level": state.level,
        "operators": sorted(state.operators),
        "offset": state.offset,
        "mesh_time_seconds": to_microseconds(state.mesh_time) / 1e6,
        "in_force": state.in_force,
        "rolling": state.rolling,
        "bundles": [_bundle_report(state.bundles[number]) for number in sorted(state.bundles)],
        "texts": {str(number): state.bundles[number].text for number in sorted(active_bundles)},
        "servers": [_server_report(state.servers[proxy]) for proxy in sorted(state.servers)],
        "nodes": [state.nodes[node]._asdict() for node in sorted(state.nodes)],
        "duties": [_role_report(state.singleton_roles[role]) for role in sorted(state.singleton_roles)],
        "voters": [{"replica": replica, "incarnation": state.voters[replica]} for replica in sorted(state.voters)],
        "holds": {
            "claimed": sum(hold.phase == CLAIMED for hold in state.holds.values()),
            "settled": sum(hold.phase == SETTLED for hold in state.holds.values()),
        },
    }


def _bundle_report(record: BundleRecord) -> dict:
    bundle = bundle_in(record)
    return {
        "number": record.number,
        "based_on": record.based_on,
        "phase": record.phase,
        "stage": record.stage,
        "stages": [stage.name for stage in bundle.rollout()],
        "author": record.author,
        "signer": record.signer,
        "digest": record.digest,
        "offset": record.offset,
        "note": bundle.note,
    }


def _server_report(server: ServerRecord) -> dict:
    return {("stall" if field == "proxy" else field): value for field, value in server._asdict().items()}


def _role_report(role: SingletonRoleRecord) -> dict:
    return {"duty": role.role, "node": role.node, "epoch": role.epoch, "offset": role.offset}


def items_report(state: State) -> dict:
    """Reports the items in force, and the newest patches with their authors and signers."""
    patches = [state.patches[number] for number in sorted(state.patches, reverse=True)[:PATCHES_SHOWN]]
    items = sorted(state.items.items())
    return {
        "offset": state.offset,
        "items": [_item_report(key, item) for key, item in items if not item.dropped],
        "dropped": {key: item.revision for key, item in items if item.dropped},
        "patches": [{**patch._asdict(), "changed": list(patch.changed)} for patch in patches],
    }


def _item_report(key: str, item: ItemRecord) -> dict:
    kind, _, _ = key.partition(":")
    return {"kind": kind, "revision": item.revision, "item": msgspec.to_builtins(unpack_item(kind, item.body))}


def holds_report(state: State) -> dict:
    """Reports the held keys and the leaving servers, each with its remaining mesh time.

    Scopes are shown as shortened digests; stored answers are not shown.
    """
    now = to_microseconds(state.mesh_time)
    holds = [_hold_report(scope, hold, now) for scope, hold in state.holds.items() if hold.expires > now]
    leaving = [
        _leaving_report(server, now) for server in state.servers.values() if server.drained_by or server.state != READY
    ]
    return {
        "mesh_time_seconds": now / 1e6,
        "leaving": sorted(leaving, key=lambda each: each["stall"]),
        "keys": sorted(holds, key=lambda each: (each["seconds_left"], each["key"])),
    }


def _hold_report(scope: str, hold: KeyHold, now: int) -> dict:
    return {
        "key": scope[:KEY_CHARACTERS],
        "entry": hold.route,
        "phase": hold.phase,
        "stall": hold.proxy,
        "seconds_left": round((hold.expires - now) / 1e6, 1),
    }


def _leaving_report(server: ServerRecord, now: int) -> dict:
    return {
        "stall": server.proxy,
        "service": server.service,
        "instance": server.instance,
        "why": f"drained by {server.drained_by}" if server.drained_by else server.state,
        "no_new_work_in_seconds": _seconds_left(server.changed, LEASE, now),
        "forgotten_in_seconds": _seconds_left(server.changed, GONE_RETENTION, now) if server.state == GONE else None,
    }


def _seconds_left(since: int, duration: timedelta, now: int) -> float | None:
    """Returns the seconds left of a duration since a change; None below release level 2, where changes have no time."""
    if not since:
        return None
    return max(0.0, round((since + to_microseconds(duration) - now) / 1e6, 1))


def operators_report(state: State) -> dict:
    """Reports the operators and the changes of them that wait for a second signature; token digests are not shown."""
    changes = [
        {
            "name": name,
            "what": kind_of_change(state, name, proposed.token_digest),
            "proposed_by": proposed.proposer,
            "change": proposed.change,
        }
        for name, proposed in sorted(state.operator_changes.items())
    ]
    return {"operators": sorted(state.operators), "changes": changes}
