"""The whole configuration read back, as operators see it. Made from one state, so every part is of one moment."""

from datetime import timedelta

import msgspec

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.config.items import unpack_item
from hoistsaddle.statemachine.commands import GONE_RETENTION
from hoistsaddle.statemachine.state import GONE, IN_FORCE, READY, ROLLING, State, bundle_of

# A proxy that hasn't heard of a mark holds a lease no longer than this; the daemons' params may set another span.
LEASE = timedelta(seconds=1.5)


def _bundle(state: State, number: int) -> dict:
    entry = state.bundles[number]
    bundle = bundle_of(state, number)
    return {
        "number": number,
        "based_on": entry.based_on,
        "phase": entry.phase,
        "stage": entry.stage,
        "stages": [stage.name for stage in bundle.rollout()],
        "author": entry.author,
        "signer": entry.signer,
        "digest": entry.digest,
        "offset": entry.offset,
        "note": bundle.note,
    }


def _server(state: State, proxy: str) -> dict:
    """A server under the field names that operators' programs read."""
    return {"stall" if field == "proxy" else field: value for field, value in state.servers[proxy]._asdict().items()}


def state_report(state: State) -> dict:
    active_bundles = [number for number, entry in state.bundles.items() if entry.phase in (IN_FORCE, ROLLING)]
    return {
        "mesh": state.mesh,
        "release_level": state.level,
        "operators": sorted(state.operators),
        "offset": state.offset,
        "mesh_time_seconds": to_microseconds(state.mesh_time) / 1e6,
        "in_force": state.in_force,
        "rolling": state.rolling,
        "bundles": [_bundle(state, number) for number in sorted(state.bundles)],
        "texts": {str(number): state.bundles[number].text for number in sorted(active_bundles)},
        "servers": [_server(state, proxy) for proxy in sorted(state.servers)],
        "nodes": [state.nodes[node]._asdict() for node in sorted(state.nodes)],
        "duties": [state.singleton_roles[duty]._asdict() for duty in sorted(state.singleton_roles)],
        "voters": [{"replica": replica, "incarnation": state.voters[replica]} for replica in sorted(state.voters)],
        "holds": {
            "claimed": sum(hold.phase == "claimed" for hold in state.holds.values()),
            "settled": sum(hold.phase == "settled" for hold in state.holds.values()),
        },
    }


PATCHES_SHOWN = 10


def items_report(state: State) -> dict:
    """The items that stand, in the product's own words, and the newest patches with who answers for them."""
    patches = [state.patches[number] for number in sorted(state.patches, reverse=True)[:PATCHES_SHOWN]]
    return {
        "offset": state.offset,
        "items": [
            {
                "kind": key.partition(":")[0],
                "revision": entry.revision,
                "item": msgspec.to_builtins(unpack_item(key.partition(":")[0], entry.body)),
            }
            for key, entry in sorted(state.items.items())
            if not entry.dropped
        ],
        "dropped": {key: entry.revision for key, entry in sorted(state.items.items()) if entry.dropped},
        "patches": [{**patch._asdict(), "changed": list(patch.changed)} for patch in patches],
    }


def _left(since: int, span: timedelta, now: int) -> float | None:
    return max(0.0, round((since + to_microseconds(span) - now) / 1e6, 1)) if since else None


def holds_report(state: State) -> dict:
    """The keys held at this moment of mesh time, with the time each has left. Scopes are digests; no answers go out."""
    now = to_microseconds(state.mesh_time)
    holds = [
        {
            "key": scope[:12],
            "entry": hold.entry,
            "phase": hold.phase,
            "stall": hold.proxy,
            "seconds_left": round((hold.expires - now) / 1e6, 1),
        }
        for scope, hold in state.holds.items()
        if hold.expires > now
    ]
    leaving = [
        {
            "stall": server.proxy,
            "service": server.service,
            "instance": server.instance,
            "why": f"drained by {server.drained_by}" if server.drained_by else server.state,
            # Below release level 2 the log doesn't keep when.
            "no_new_work_in_seconds": _left(server.changed, LEASE, now),
            "forgotten_in_seconds": _left(server.changed, GONE_RETENTION, now) if server.state == GONE else None,
        }
        for server in state.servers.values()
        if server.drained_by or server.state != READY
    ]
    leaving.sort(key=lambda each: each["stall"])
    return {
        "mesh_time_seconds": now / 1e6,
        "leaving": leaving,
        "keys": sorted(holds, key=lambda hold: (hold["seconds_left"], hold["key"])),
    }


def operators_report(state: State) -> dict:
    """The operators, and the changes among them that wait for a second person. No digest of a token goes out."""
    changes = [
        {
            "name": name,
            "what": "remove" if not digest else "renew" if name in state.operators else "add",
            "proposed_by": proposer,
            "change": change,
        }
        for name, (digest, proposer, change) in sorted(state.operator_changes.items())
    ]
    return {"operators": sorted(state.operators), "changes": changes}
