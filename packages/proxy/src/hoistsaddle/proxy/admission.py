"""Decides whether a bundle admits a client's request, and by which route."""

from typing import NamedTuple

from hoistsaddle.common.errors import BodyTooLarge, MeshError, NoRoute, NotAllowed
from hoistsaddle.config.bundle import CLIENTS, Bundle, Route
from hoistsaddle.proxy.errors import KeyMissing
from hoistsaddle.proxy.messages import RequestArrived


class Refusal(NamedTuple):
    """Why a request is not admitted, with the HTTP status of the answer."""

    status: int
    error: MeshError


def caller_of(event: RequestArrived) -> str:
    """Return the caller's name in bundles: its service, or the common name of all clients."""
    return event.caller or CLIENTS


def admit(bundle: Bundle, event: RequestArrived) -> Route | Refusal:
    """Return the route by which the bundle admits the request, or the refusal."""
    route = bundle.match_route(method=event.method, path=event.path)
    caller = caller_of(event)
    if route is None:
        return Refusal(404, NoRoute(f"No entry for {event.method} {event.path}.", field="path"))
    if caller not in route.callers:
        return Refusal(403, NotAllowed(f"{caller} may not call {route.name}.", field="callers"))
    if len(event.body) > route.body_bytes:
        return Refusal(413, BodyTooLarge(f"The body is over {route.body_bytes} bytes.", field="body"))
    if route.once and not event.key:
        return Refusal(400, KeyMissing(f"{route.name} runs once per key.", field="Idempotency-Key"))
    return route


def runs_once(bundle: Bundle, event: RequestArrived) -> bool:
    """Whether the bundle runs the request once per key."""
    route = bundle.match_route(method=event.method, path=event.path)
    return route is not None and route.once
