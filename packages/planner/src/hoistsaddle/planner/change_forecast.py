"""Forecast of the effects of a change of servers or nodes."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError, NoServer
from hoistsaddle.planner.distribution import bundle_in_force, differences, live_proxies, parents, shares
from hoistsaddle.statemachine.state import GONE, READY

# The name of an instance, or of an operator, that exists only in a forecast.
PLANNED = "planned"


class Change(NamedTuple):
    """A change of servers or nodes: the names of the proxies concerned."""

    drain: tuple[str, ...] = ()
    undrain: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    # Pairs of a proxy and the service whose server would be added at it.
    server: tuple[tuple[str, str], ...] = ()


def changed_configuration(configuration: dict, change: Change) -> Result[dict, MeshError]:
    """The configuration as it would be after the change."""
    known = live_proxies(configuration)
    for proxy in (*change.drain, *change.undrain, *change.gone, *(proxy for proxy, _ in change.server)):
        if proxy not in known:
            remedy = "Read the configuration and name one of its proxies."
            return Failure(NoServer(f"{proxy} is not a live proxy of this mesh.", field="stall", remedy=remedy))
    servers = [_changed_server(server, change) for server in configuration["servers"]]
    with_server = {server["stall"] for server in configuration["servers"]}
    servers += [
        _planned_server(proxy, service, zone=known[proxy])
        for proxy, service in change.server
        if proxy not in with_server
    ]
    nodes = [{**node, "state": GONE} if node["node"] in change.gone else node for node in configuration["nodes"]]
    return Success({**configuration, "servers": servers, "nodes": nodes})


def _changed_server(server: dict, change: Change) -> dict:
    proxy = server["stall"]
    replacement = dict(change.server).get(proxy)
    if replacement is not None:
        # The drain mark belongs to the replaced instance.
        return {**server, "service": replacement, "instance": PLANNED, "state": READY, "drained_by": ""}
    if proxy in change.gone:
        return {**server, "state": GONE}
    if proxy in change.drain:
        return {**server, "drained_by": PLANNED}
    if proxy in change.undrain:
        return {**server, "drained_by": ""}
    return server


def _planned_server(proxy: str, service: str, *, zone: str) -> dict:
    return {
        "stall": proxy,
        "service": service,
        "zone": zone,
        "state": READY,
        "drained_by": "",
        "instance": PLANNED,
    }


def forecast_change(configuration: dict, change: Change) -> Result[dict, MeshError]:
    """The changes to the shares of work and to the parents in the distribution tree, and warnings.

    Args:
        configuration: The configuration as returned by the operators' interface.
        change: The change to forecast.
    """
    match changed_configuration(configuration, change):
        case Failure(error):
            return Failure(error)
        case Success(after):
            pass
    shares_before, shares_after = shares(configuration), shares(after)
    work = {
        service: differences(shares_before.get(service, {}), shares_after.get(service, {}))
        for service in sorted({*shares_before, *shares_after})
    }
    return Success(
        {
            "work": {service: moved for service, moved in work.items() if moved},
            "relay_parents": differences(parents(configuration), parents(after)),
            "warnings": _warnings(configuration, before=set(shares_before), after=set(shares_after)),
        }
    )


def _warnings(configuration: dict, *, before: set[str], after: set[str]) -> list[str]:
    """Warnings about services that lose their last server, or whose server would get no work."""
    bundle = bundle_in_force(configuration)
    declared = {service.name for service in bundle.services} if bundle else set()
    return [
        *(f"{service} would have no available server left" for service in sorted(before - after)),
        *(
            f"{service} is not declared in bundle {configuration['in_force']}; its server would get no work"
            for service in sorted(after - declared)
        ),
    ]
