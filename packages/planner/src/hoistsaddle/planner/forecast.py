"""The planner: what a change would move, weighed against the configuration read back. It changes nothing."""

from collections import defaultdict
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import Bundle, Route, digest_of
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.statemachine.state import DRAFT, GONE, READY


class Change(NamedTuple):
    """A change of servers or nodes, as an operator says it."""

    drain: tuple[str, ...] = ()
    undrain: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    # Proxy and the service whose server would come beside it.
    server: tuple[tuple[str, str], ...] = ()


def _proxies(setup: dict) -> dict[str, str]:
    return {node["node"]: node["zone"] for node in setup["nodes"] if node["kind"] == "stall" and node["state"] != GONE}


def _roots(setup: dict) -> list[tuple[str, str]]:
    return [
        (node["node"], node["address"]) for node in setup["nodes"] if node["kind"] == "bourse" and node["state"] != GONE
    ]


def _open_servers(setup: dict) -> dict[str, tuple[str, str]]:
    """Proxy to (service, zone) for every server that may get new work."""
    proxies = _proxies(setup)
    return {
        server["stall"]: (server["service"], server["zone"])
        for server in setup["servers"]
        if server["state"] == READY and not server["drained_by"] and server["stall"] in proxies
    }


def shares(setup: dict) -> dict[str, dict[str, float]]:
    """Each service's work by server, if requests enter evenly at all proxies: own zone first, else all servers."""
    proxies = _proxies(setup)
    by_service: dict[str, dict[str, str]] = defaultdict(dict)
    for proxy, (service, zone) in _open_servers(setup).items():
        by_service[service][proxy] = zone
    found: dict[str, dict[str, float]] = {}
    for service, servers in by_service.items():
        share = dict.fromkeys(servers, 0.0)
        for zone in proxies.values():
            near = [proxy for proxy, other in servers.items() if other == zone] or list(servers)
            for proxy in near:
                share[proxy] += 1 / len(near) / len(proxies)
        found[service] = {proxy: round(value, 3) for proxy, value in sorted(share.items())}
    return found


def parents(setup: dict) -> dict[str, str]:
    """Each proxy's relay parent by name."""
    names = {node["address"]: node["node"] for node in setup["nodes"]}
    proxies = [
        (node["node"], node["address"]) for node in setup["nodes"] if node["kind"] == "stall" and node["state"] != GONE
    ]
    return {
        name: names[found[0]]
        for name, _ in proxies
        if (found := select_parents(node=name, proxies=proxies, roots=_roots(setup)))
    }


def _differences(before: dict, after: dict) -> dict[str, dict]:
    return {
        name: {"from": before.get(name), "to": after.get(name)}
        for name in sorted({*before, *after})
        if before.get(name) != after.get(name)
    }


def changed_configuration(setup: dict, change: Change) -> Result[dict, MeshError]:
    """The configuration as it would be after the change."""
    known = _proxies(setup)
    for proxy in (*change.drain, *change.undrain, *change.gone, *(proxy for proxy, _ in change.server)):
        if proxy not in known:
            return Failure(
                MeshError(
                    ErrorKind.NO_SERVER,
                    f"{proxy} is no proxy of this mesh.",
                    "Read the configuration back and name one of its proxies.",
                    "stall",
                )
            )
    servers = []
    for server in setup["servers"]:
        proxy = server["stall"]
        replaced = dict(change.server).get(proxy)
        if replaced is not None:
            # A mark belongs to the instance that leaves.
            servers.append({**server, "service": replaced, "instance": "planned", "state": READY, "drained_by": ""})
        elif proxy in change.gone:
            servers.append({**server, "state": GONE})
        elif proxy in change.drain:
            servers.append({**server, "drained_by": "planned"})
        elif proxy in change.undrain:
            servers.append({**server, "drained_by": ""})
        else:
            servers.append(server)
    proxies_with_server = {server["stall"] for server in setup["servers"]}
    servers += [
        {
            "stall": proxy,
            "service": service,
            "zone": known[proxy],
            "state": READY,
            "drained_by": "",
            "instance": "planned",
        }
        for proxy, service in change.server
        if proxy not in proxies_with_server
    ]
    nodes = [{**node, "state": GONE} if node["node"] in change.gone else node for node in setup["nodes"]]
    return Success({**setup, "servers": servers, "nodes": nodes})


def forecast_change(setup: dict, change: Change) -> Result[dict, MeshError]:
    match changed_configuration(setup, change):
        case Failure(error):
            return Failure(error)
        case Success(after):
            pass
    before_shares, after_shares = shares(setup), shares(after)
    bundle = read_bundle(setup["texts"][str(setup["in_force"])]).value_or(None) if setup["in_force"] else None
    declared = {service.name for service in bundle.services} if bundle else set()
    warnings = [
        f"{service} would have no open server left" for service in sorted(before_shares) if service not in after_shares
    ]
    warnings += [
        f"{service} is not declared in bundle {setup['in_force']}; its server would get no work"
        for service in sorted(set(after_shares) - declared)
    ]
    return Success(
        {
            "work": {
                service: moved
                for service in sorted({*before_shares, *after_shares})
                if (moved := _differences(before_shares.get(service, {}), after_shares.get(service, {})))
            },
            "relay_parents": _differences(parents(setup), parents(after)),
            "warnings": warnings,
        }
    )


def _refusals(setup: dict, bundle: Bundle, text: str) -> list[dict]:
    """What the log would refuse now, in the order in which it looks."""
    known = {each["number"]: each for each in setup["bundles"]}
    newest = max([number for number, each in known.items() if each["phase"] != DRAFT], default=0)
    found: list[MeshError] = []
    if bundle.number in known:
        same = known[bundle.number]["digest"] == digest_of(text)
        kind = (
            ErrorKind.BUNDLE_DUPLICATE
            if same
            else ErrorKind.BUNDLE_CONFLICT
            if known[bundle.number]["phase"] == DRAFT
            else ErrorKind.BUNDLE_STALE
        )
        # A draft of this very text is not refused when it is signed, only when it is submitted again.
        if not (same and known[bundle.number]["phase"] == DRAFT):
            found.append(
                MeshError(
                    kind,
                    f"Bundle {bundle.number} is known and {known[bundle.number]['phase']}.",
                    "Take the next free number.",
                    "number",
                )
            )
    elif bundle.number <= newest:
        found.append(
            MeshError(
                ErrorKind.BUNDLE_STALE, f"Bundle {newest} was signed already.", f"Number it above {newest}.", "number"
            )
        )
    if bundle.based_on != setup["in_force"]:
        found.append(
            MeshError(
                ErrorKind.BUNDLE_WRONG_BASE,
                f"It is based on {bundle.based_on}, but {setup['in_force']} is in force.",
                f"Rework it on top of {setup['in_force']}.",
                "based_on",
            )
        )
    if setup["rolling"]:
        found.append(
            MeshError(
                ErrorKind.BUNDLE_CONFLICT,
                f"Bundle {setup['rolling']} is rolling out: it can be submitted, not signed.",
                f"Finish or abort {setup['rolling']} first.",
                "number",
            )
        )
    return [error.describe() for error in found]


def _entry_changes(before: Route | None, after: Route | None) -> dict:
    if before is None or after is None:
        return {"added" if before is None else "removed": msgspec.to_builtins(after or before)}
    old, new = msgspec.to_builtins(before), msgspec.to_builtins(after)
    found: dict = {
        field: {"from": old[field], "to": new[field]}
        for field in new
        if old[field] != new[field] and field != "callers"
    }
    gained, lost = sorted(set(after.callers) - set(before.callers)), sorted(set(before.callers) - set(after.callers))
    if gained or lost:
        found["callers"] = {"gained": gained, "lost": lost}
    return found


def forecast_bundle(setup: dict, text: str) -> Result[dict, MeshError]:
    match read_bundle(text):
        case Failure(error):
            return Failure(error)
        case Success(bundle):
            pass
    current = read_bundle(setup["texts"][str(setup["in_force"])]).value_or(None) if setup["in_force"] else None
    names = (
        [
            *(entry.name for entry in bundle.routes),
            *(entry.name for entry in current.routes if not bundle.route(entry.name)),
        ]
        if current
        else [entry.name for entry in bundle.routes]
    )
    entries = {
        name: changes
        for name in names
        if (changes := _entry_changes(current.route(name) if current else None, bundle.route(name)))
    }
    old_services = {service.name: msgspec.to_builtins(service) for service in current.services} if current else {}
    new_services = {service.name: msgspec.to_builtins(service) for service in bundle.services}
    stages, reached = [], set()
    for place, stage in enumerate(bundle.rollout(), start=1):
        proxies = [
            proxy
            for proxy, zone in sorted(_proxies(setup).items())
            if stage.includes(proxy=proxy, zone=zone) and proxy not in reached
        ]
        reached.update(proxies)
        stages.append({"stage": place, "name": stage.name, "takes_up": proxies})
    open_services = {service for service, _ in _open_servers(setup).values()}
    warnings = [
        f"stage {each['stage']} ({each['name']}) reaches no proxy that isn't reached before"
        for each in stages
        if not each["takes_up"]
    ]
    warnings += [f"{service} has no open server" for service in sorted(set(new_services) - open_services)]
    warnings += [
        f"{service} has open servers, but would not be declared"
        for service in sorted(open_services - set(new_services))
    ]
    return Success(
        {
            "number": bundle.number,
            "replaces": setup["in_force"],
            "refused": _refusals(setup, bundle, text),
            "entries": entries,
            "services": _differences(old_services, new_services),
            "stages": stages,
            "warnings": warnings,
        }
    )
