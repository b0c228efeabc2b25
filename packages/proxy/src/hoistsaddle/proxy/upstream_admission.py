"""Decides whether a proxy under bundles runs an attempt of another proxy on its local server."""

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import (
    BodyTooLarge,
    BundleUnknown,
    DeadlineExceeded,
    LeaseExpired,
    MeshError,
    NoRoute,
    NotAllowed,
    ShuttingDown,
)
from hoistsaddle.config.bundle import Bundle, Route
from hoistsaddle.proxy.bundle_state import BundleState, number_of
from hoistsaddle.proxy.errors import ProcessFrozen, WrongInstance
from hoistsaddle.proxy.messages import ForwardArrived
from hoistsaddle.rpc.messages import BundleForwardCall
from hoistsaddle.statemachine.state import READY

SEND_ELSEWHERE = "Send it to another proxy."


def admit(state: BundleState, event: ForwardArrived) -> Route | MeshError:
    """Return the route of an attempt that may run here, or an error if process, server or bundle doesn't allow it."""
    error = _process_error(state, event) or _server_error(state, event.call)
    return error or _admit_by_bundle(state, event.call)


def _process_error(state: BundleState, event: ForwardArrived) -> MeshError | None:
    if event.frozen:
        # After a freeze of this process the age of the call is unknown.
        return ProcessFrozen("This proxy was frozen while the request waited.")
    if event.call.budget <= ZERO:
        return DeadlineExceeded("The time budget of the request is spent.", remedy="Send it with more time left.")
    if not state.has_lease() or not state.is_registered():
        return LeaseExpired("This proxy has no valid lease or is not registered at the core.", remedy=SEND_ELSEWHERE)
    return None


def _server_error(state: BundleState, call: BundleForwardCall) -> MeshError | None:
    name, server = state.settings.name, state.server
    if state.stopping or state.server_state() != READY or server is None:
        return ShuttingDown(f"The local server of {name} is {state.server_state()}.", remedy=SEND_ELSEWHERE)
    if (call.target, call.service_name, call.instance) != (name, server.service, server.instance):
        return WrongInstance("The request was sent to another server instance than the local one.")
    recorded = state.view.servers.get(name)
    # An address that was handed over to another service gets requests only once the log records the new server there.
    if (
        recorded is None
        or (recorded.service, recorded.instance) != (server.service, server.instance)
        or recorded.drained_by
    ):
        return ShuttingDown("The log doesn't record this server as available.", remedy=SEND_ELSEWHERE)
    return None


def _admit_by_bundle(state: BundleState, call: BundleForwardCall) -> Route | MeshError:
    bundle = _deciding_bundle(state, call)
    if isinstance(bundle, MeshError):
        return bundle
    path = call.path.partition("?")[0]
    # Route names are not compared: the same route may have another name in the bundle of the sending proxy.
    route = bundle.match_route(method=call.method, path=path) if bundle is not None else None
    if route is None or route.service != call.service_name:
        return NoRoute(
            f"No entry of {call.service_name} for {call.method} {path} at this proxy.",
            remedy="Wait until the bundle has reached both machines.",
        )
    return _route_error(call, route) or route


def _deciding_bundle(state: BundleState, call: BundleForwardCall) -> Bundle | MeshError | None:
    """Return the newer of the two proxies' bundles: it is signed, and in force at one of them."""
    bundle, active = state.view.bundle, state.view.active_bundles
    newest = max(active, key=number_of) if active else bundle
    if newest is not None and call.bundle > newest.number:
        return BundleUnknown(f"Bundle {call.bundle} has not reached this proxy yet.", remedy="Send it again shortly.")
    if bundle is not None and call.bundle > bundle.number:
        return next((each for each in active if each.number == call.bundle), bundle)
    return bundle


def _route_error(call: BundleForwardCall, route: Route) -> MeshError | None:
    if call.caller not in route.callers:
        return NotAllowed(f"{call.caller} may not call {route.name}.")
    if len(call.body) > route.body_bytes:
        return BodyTooLarge(f"The body is over {route.body_bytes} bytes.")
    return None
