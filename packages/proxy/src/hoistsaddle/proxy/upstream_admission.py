"""Whether a proxy under bundles lets an attempt of another proxy run on its local server."""

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

SEND_ELSEWHERE = "Send it elsewhere."


def admit(state: BundleState, event: ForwardArrived) -> Route | MeshError:
    """Return the route of an attempt that may run here, or why it may not: process, server and bundle must allow it."""
    error = _process_error(state, event) or _server_error(state, event.call)
    return error or _admit_by_bundle(state, event.call)


def _process_error(state: BundleState, event: ForwardArrived) -> MeshError | None:
    if event.frozen:
        # After standing still nobody can tell how old the call is.
        return ProcessFrozen("This proxy stood still while the request waited.")
    if event.call.budget <= ZERO:
        return DeadlineExceeded("The budget is spent.", remedy="Send sooner.")
    if not state.has_lease() or not state.is_registered():
        return LeaseExpired("No fresh news from the core.", remedy=SEND_ELSEWHERE)
    return None


def _server_error(state: BundleState, call: BundleForwardCall) -> MeshError | None:
    name, server = state.settings.name, state.server
    if state.stopping or state.server_state() != READY or server is None:
        return ShuttingDown(f"The server beside {name} is {state.server_state()}.", remedy=SEND_ELSEWHERE)
    if (call.target, call.service_name, call.instance) != (name, server.service, server.instance):
        return WrongInstance("The server it was meant for is not the one here.")
    recorded = state.view.servers.get(name)
    # An address passed to another service takes work only once the log knows whose it is.
    if (
        recorded is None
        or (recorded.service, recorded.instance) != (server.service, server.instance)
        or recorded.drained_by
    ):
        return ShuttingDown("The log doesn't name this server as open.", remedy=SEND_ELSEWHERE)
    return None


def _admit_by_bundle(state: BundleState, call: BundleForwardCall) -> Route | MeshError:
    bundle = _deciding_bundle(state, call)
    if isinstance(bundle, MeshError):
        return bundle
    path = call.path.partition("?")[0]
    # Names play no part: a route may be called otherwise where the request came in.
    route = bundle.match_route(method=call.method, path=path) if bundle is not None else None
    if route is None or route.service != call.service_name:
        return NoRoute(
            f"{call.method} {path} is not this service's here.",
            remedy="Wait until the bundle reached both machines.",
        )
    return _route_error(call, route) or route


def _deciding_bundle(state: BundleState, call: BundleForwardCall) -> Bundle | MeshError | None:
    """Return the newer of the two proxies' bundles: it is signed, and in force where the request came in."""
    bundle, active = state.view.bundle, state.view.active_bundles
    newest = max(active, key=number_of) if active else bundle
    if newest is not None and call.bundle > newest.number:
        return BundleUnknown(f"News of bundle {call.bundle} isn't here yet.", remedy="Send it again shortly.")
    if bundle is not None and call.bundle > bundle.number:
        return next((each for each in active if each.number == call.bundle), bundle)
    return bundle


def _route_error(call: BundleForwardCall, route: Route) -> MeshError | None:
    if call.caller not in route.callers:
        return NotAllowed(f"{call.caller} may not call {route.name}.")
    if len(call.body) > route.body_bytes:
        return BodyTooLarge(f"The body is over {route.body_bytes} bytes.")
    return None
