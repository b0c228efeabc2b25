"""Which server an attempt of a proxy under bundles goes to: the least loaded one that admits the request."""

from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.admission import caller_of
from hoistsaddle.proxy.bundle_state import BundleState, number_of
from hoistsaddle.proxy.client_request import ClientRequest
from hoistsaddle.statemachine.state import READY, ServerRecord

# How many more attempts than the least loaded server the own zone's may have under way and still be preferred.
MAX_ZONE_SURPLUS = 2


class ServerSelection:
    """Picks servers, and counts this proxy's attempts under way to each."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self._outstanding: dict[str, int] = {}

    def attempt_sent(self, proxy: str) -> None:
        """Count an attempt under way to this proxy."""
        self._outstanding[proxy] = self._outstanding.get(proxy, 0) + 1

    def attempt_ended(self, proxy: str) -> None:
        """Count an attempt to this proxy as over."""
        self._outstanding[proxy] = max(0, self._outstanding.get(proxy, 0) - 1)

    def admitting(self, request: ClientRequest, route: Route) -> list[ServerRecord]:
        """Return the servers whose proxy, in its stage, admits the request: of the route's service if there are any."""
        state, event = self._state, request.event
        caller = caller_of(event)
        bundle_here = state.view.bundle
        if bundle_here is None:
            return []
        admitting = []
        for server in state.view.available_servers():
            # The own proxy knows its server's state before any update of it has travelled.
            if server.proxy == state.settings.name and state.server_state() != READY:
                continue
            # The newer of the two proxies' bundles decides, here as at the target.
            bundle = max(state.view.bundle_by_proxy.get(server.proxy, bundle_here), bundle_here, key=number_of)
            there = bundle.match_route(method=event.method, path=event.path)
            if there is None or there.service != server.service or caller not in there.callers:
                continue
            if len(event.body) <= there.body_bytes and (request.claimed or not there.once):
                admitting.append(server)
        own = [each for each in admitting if each.service == route.service]
        # Moved by a bundle that stages haven't brought everywhere: better the other's server than none.
        return own or admitting

    def select(self, request: ClientRequest, servers: list[ServerRecord]) -> ServerRecord | None:
        """Return the least loaded server, the own zone's first; none that refused this request."""
        settings = self._state.settings
        available = [
            each for each in servers if each.proxy not in request.refused_by and self._load(each) < settings.outstanding
        ]
        near = [each for each in available if each.zone == settings.zone]
        if near and len(near) < len(available):
            # A zone with few servers isn't flooded: it keeps its own only while they are no busier than the rest.
            least_near = min(self._load(each) for each in near)
            if least_near > min(self._load(each) for each in available) + MAX_ZONE_SURPLUS:
                near = []
        candidates = near or available
        if not candidates:
            return None
        least = min(self._load(each) for each in candidates)
        return self._state.random.choice([each for each in candidates if self._load(each) == least])

    def _load(self, server: ServerRecord) -> int:
        return self._outstanding.get(server.proxy, 0)
