"""Selects the server for an attempt of a proxy under bundles: the least loaded one that admits the request."""

from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.admission import caller_of
from hoistsaddle.proxy.bundle_state import BundleState, number_of
from hoistsaddle.proxy.client_request import ClientRequest
from hoistsaddle.statemachine.state import READY, ServerRecord

# How many more attempts in flight a server in the proxy's own zone may have than the least loaded server, and still be
# preferred.
MAX_ZONE_SURPLUS = 2


class ServerSelection:
    """Selects servers, and counts this proxy's attempts in flight to each."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self._outstanding: dict[str, int] = {}

    def attempt_sent(self, proxy: str) -> None:
        """Count an attempt in flight to this proxy."""
        self._outstanding[proxy] = self._outstanding.get(proxy, 0) + 1

    def attempt_ended(self, proxy: str) -> None:
        """Count an attempt to this proxy as ended."""
        self._outstanding[proxy] = max(0, self._outstanding.get(proxy, 0) - 1)

    def admitting(self, request: ClientRequest, route: Route) -> list[ServerRecord]:
        """Return the servers whose proxies' bundles admit the request; only those of the route's service, if any."""
        state, event = self._state, request.event
        caller = caller_of(event)
        local_bundle = state.view.bundle
        if local_bundle is None:
            return []
        admitting = []
        for server in state.view.available_servers():
            # This proxy knows the state of its own server before the configuration contains it.
            if server.proxy == state.settings.name and state.server_state() != READY:
                continue
            # The newer of the two proxies' bundles decides, as at the target.
            bundle = max(state.view.bundle_by_proxy.get(server.proxy, local_bundle), local_bundle, key=number_of)
            remote_route = bundle.match_route(method=event.method, path=event.path)
            if remote_route is None or remote_route.service != server.service or caller not in remote_route.callers:
                continue
            if len(event.body) <= remote_route.body_bytes and (request.claimed or not remote_route.once):
                admitting.append(server)
        own_service = [each for each in admitting if each.service == route.service]
        # A bundle that is not rolled out everywhere may have moved the route to another service, whose servers are then
        # the only ones that admit the request.
        return own_service or admitting

    def select(self, request: ClientRequest, servers: list[ServerRecord]) -> ServerRecord | None:
        """Return the least loaded server that has not refused this request, preferably in this proxy's zone."""
        settings = self._state.settings
        available = [
            each for each in servers if each.proxy not in request.refused_by and self._load(each) < settings.outstanding
        ]
        same_zone = [each for each in available if each.zone == settings.zone]
        if same_zone and len(same_zone) < len(available):
            # A zone with few servers must not be overloaded: its servers are preferred only while their load is close
            # to that of the rest.
            least_same_zone = min(self._load(each) for each in same_zone)
            if least_same_zone > min(self._load(each) for each in available) + MAX_ZONE_SURPLUS:
                same_zone = []
        candidates = same_zone or available
        if not candidates:
            return None
        least = min(self._load(each) for each in candidates)
        return self._state.random.choice([each for each in candidates if self._load(each) == least])

    def _load(self, server: ServerRecord) -> int:
        return self._outstanding.get(server.proxy, 0)
