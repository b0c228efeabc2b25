"""The distribution of work and configuration updates in a mesh, computed from its configuration."""

from collections import defaultdict

from hoistsaddle.config.bundle import Bundle
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.statemachine.state import GONE, READY

PROXY_KIND = "stall"
REGISTRY_KIND = "bourse"
SHARE_DIGITS = 3


def bundle_in_force(configuration: dict) -> Bundle | None:
    """The bundle in force; None if there is none, or if this release can't read it."""
    if not configuration["in_force"]:
        return None
    return read_bundle(configuration["texts"][str(configuration["in_force"])]).value_or(None)


def _live_nodes(configuration: dict, kind: str) -> list[dict]:
    return [node for node in configuration["nodes"] if node["kind"] == kind and node["state"] != GONE]


def live_proxies(configuration: dict) -> dict[str, str]:
    """The zone of each live proxy by name."""
    return {node["node"]: node["zone"] for node in _live_nodes(configuration, PROXY_KIND)}


def available_servers(configuration: dict) -> dict[str, tuple[str, str]]:
    """The service and zone of each server that may get new work, by the name of its proxy."""
    proxies = live_proxies(configuration)
    return {
        server["stall"]: (server["service"], server["zone"])
        for server in configuration["servers"]
        if server["state"] == READY and not server["drained_by"] and server["stall"] in proxies
    }


def shares(configuration: dict) -> dict[str, dict[str, float]]:
    """The fraction of each service's work that each server gets, by service and proxy.

    Assumes that requests enter evenly at all proxies, and that each proxy picks among the servers in its own zone, or
    among all servers if its zone has none.
    """
    proxies = live_proxies(configuration)
    by_service: dict[str, dict[str, str]] = defaultdict(dict)
    for proxy, (service, zone) in available_servers(configuration).items():
        by_service[service][proxy] = zone
    return {service: _shares_of(servers, proxies) for service, servers in by_service.items()}


def _shares_of(servers: dict[str, str], proxies: dict[str, str]) -> dict[str, float]:
    """The shares of one service's servers; both arguments map names to zones."""
    share = dict.fromkeys(servers, 0.0)
    for zone in proxies.values():
        near = [proxy for proxy, server_zone in servers.items() if server_zone == zone] or list(servers)
        for proxy in near:
            share[proxy] += 1 / len(near) / len(proxies)
    return {proxy: round(value, SHARE_DIGITS) for proxy, value in sorted(share.items())}


def parents(configuration: dict) -> dict[str, str]:
    """The name of each proxy's parent in the distribution tree."""
    names = {node["address"]: node["node"] for node in configuration["nodes"]}
    proxies = [(node["node"], node["address"]) for node in _live_nodes(configuration, PROXY_KIND)]
    roots = [(node["node"], node["address"]) for node in _live_nodes(configuration, REGISTRY_KIND)]
    return {
        name: names[addresses[0]]
        for name, _ in proxies
        if (addresses := select_parents(node=name, proxies=proxies, roots=roots))
    }


def differences(before: dict, after: dict) -> dict[str, dict]:
    """The differences between two mappings: the old and the new value of each key that changes."""
    return {
        name: {"from": before.get(name), "to": after.get(name)}
        for name in sorted({*before, *after})
        if before.get(name) != after.get(name)
    }
