"""Load balancing: chooses the server's sidecar for an attempt from this sidecar's estimates of each server's load."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar.broken_answers import BrokenAnswers
from hoistsaddle.sidecar.request_table import PendingRequest
from hoistsaddle.statemachine.state import GONE, READY, ServerRecord
from hoistsaddle.statemachine.view import View

# The reported load from other sidecars is assumed to fall linearly to zero over twice this time.
LOAD_DECAY = timedelta(seconds=1)
# The latency that a server in another zone must save to be chosen, as a share of the request's latency target: a fixed
# share plus one that grows with the bytes that would cross zones, the most expensive traffic of a mesh.
ZONE_PENALTY_SHARE = 0.1
ZONE_PENALTY_BYTES = 20000
MAX_ZONE_PENALTY_SHARE = 1.5
# The assumed latency of a route that has not run anywhere yet.
INITIAL_LATENCY = milliseconds(50)
# The assumed concurrency of a server before its first report.
INITIAL_CAPACITY = 4
# The additional share of its latency that a server is expected to take when its capacity is used up.
BUSY_PENALTY = 0.25
# Scores within this factor of the best count as equal; one of them is chosen at random.
NEAR_BEST = 1.05
# The weight of the newest answer in the moving averages of size and latency.
SIZE_WEIGHT = 0.1
LATENCY_WEIGHT = 0.15


# A body over this size is announced before it is sent.
LARGE_BODY_BYTES = 8192


def is_large(body: bytes) -> bool:
    """Whether a body takes a noticeable time on a slow link."""
    return len(body) > LARGE_BODY_BYTES


class ServerLoad:
    """This sidecar's estimate of the load of another sidecar's local server."""

    def __init__(self) -> None:
        # Attempts of this sidecar that are in flight to it.
        self.in_flight = 0
        # Requests of other sidecars there, as of the last report.
        self.from_others = 0.0
        self.reported_at = ZERO
        # How many requests it runs concurrently.
        self.capacity = INITIAL_CAPACITY
        # Average run time by route.
        self.latencies: dict[str, timedelta] = {}
        # How long a large body would have waited for its machine's link, and when that was reported.
        self.link_wait = ZERO
        self.link_reported_at = ZERO
        # It is avoided until then, while others are available, because its sidecar was unreachable or rejected work.
        self.avoided_until = ZERO
        # Routes on which its last answer was broken.
        self.broken_answers: dict[str, BrokenAnswers] = {}

    def usable(self, route: str, now: timedelta) -> bool:
        """Whether it is neither avoided nor ejected from this route."""
        broken = self.broken_answers.get(route)
        return self.avoided_until <= now and (broken is None or not broken.ejected(now))

    def estimate(self, now: timedelta) -> float:
        """Return the estimated number of requests there now; the reported load from others decays over time."""
        age = (now - self.reported_at) / LOAD_DECAY
        return self.in_flight + self.from_others * max(0.0, 1.0 - age / 2)


class ServerSelection:
    """Picks the server with the lowest expected latency, and learns from answers."""

    def __init__(self, *, state: CoreState) -> None:
        self._state = state
        self.loads: dict[str, ServerLoad] = {}
        # Average answer size by route.
        self._answer_bytes: dict[str, float] = {}
        # Available servers by service, computed once per view.
        self._servers: dict[str, list[ServerRecord]] = {}
        self._servers_of: View | None = None

    def load_of(self, proxy: str) -> ServerLoad:
        """Return the load estimate for the server of this proxy."""
        load = self.loads.get(proxy)
        if load is None:
            load = self.loads[proxy] = ServerLoad()
        return load

    def select(self, request: PendingRequest) -> ServerRecord | None:
        """Return the server with the lowest expected latency; None if none is available for the request."""
        state = self._state
        own_proxy = state.settings.name
        available = [
            server
            for server in self._available(request.service)
            if server.proxy not in request.excluded and (server.proxy != own_proxy or state.server_state() == READY)
        ]
        route = request.route.name
        usable = [server for server in available if self.load_of(server.proxy).usable(route, state.now)]
        candidates = usable or available
        if not candidates:
            return None
        scored = [(self._score(server, request), server) for server in candidates]
        best = min(score for score, _ in scored)
        # One of the nearly equal servers is chosen at random: if all sidecars preferred one, they would overload it.
        near = [server for score, server in scored if score <= best * NEAR_BEST]
        return near[0] if len(near) == 1 else state.random.choice(near)

    def attempt_sent(self, proxy: str) -> None:
        """Count an attempt in flight to this proxy's server."""
        self.load_of(proxy).in_flight += 1

    def attempt_ended(self, proxy: str) -> None:
        """Count the end of an attempt to this proxy's server."""
        load = self.load_of(proxy)
        load.in_flight = max(0, load.in_flight - 1)

    def load_reported(self, proxy: str, answer: ForwardAnswer) -> None:
        """Record the load reported with an answer."""
        load = self.load_of(proxy)
        load.capacity = max(1, answer.capacity)
        load.reported_at = self._state.now
        load.from_others = max(0, answer.load - load.in_flight)

    def link_reported(self, proxy: str, wait: timedelta) -> None:
        """Record how long a large body would wait for this proxy's link."""
        load = self.load_of(proxy)
        load.link_wait, load.link_reported_at = wait, self._state.now

    def answer_received(self, proxy: str, route: str, answer: ForwardAnswer) -> None:
        """Update the averages of the route's run time on this server and of its answer size."""
        size = len(answer.body)
        usual_size = self._answer_bytes.get(route, float(size))
        self._answer_bytes[route] = usual_size + (size - usual_size) * SIZE_WEIGHT
        server_load = self.load_of(proxy)
        server_load.broken_answers.pop(route, None)
        latencies = server_load.latencies
        latency = latencies.get(route)
        latencies[route] = (
            answer.run_time if latency is None else latency + (answer.run_time - latency) * LATENCY_WEIGHT
        )

    def answer_broken(self, proxy: str, route: str) -> None:
        """Count a broken answer of this proxy's server, which may eject the server from the route for a while."""
        broken = self.load_of(proxy).broken_answers.setdefault(route, BrokenAnswers())
        if broken.add(self._state.now):
            self._state.count("servers.ejected")

    def avoid(self, proxy: str, *, duration: timedelta) -> None:
        """Avoid this proxy's server for this duration, while others are available."""
        self.load_of(proxy).avoided_until = self._state.now + duration

    def forget_removed(self, view: View) -> None:
        """Drop the estimates for servers that are no longer in the view."""
        for proxy in [proxy for proxy in self.loads if proxy not in view.servers]:
            del self.loads[proxy]

    def _score(self, server: ServerRecord, request: PendingRequest) -> float:
        """Return the expected latency in seconds, plus the penalty for crossing zones."""
        route = request.route.name
        server_load = self.load_of(server.proxy)
        latency = server_load.latencies.get(route)
        if latency is None:
            # A server that has not run the route is rated like the fastest one, so that it is tried soon.
            known = [each.latencies[route] for each in self.loads.values() if route in each.latencies]
            latency = min(known, default=INITIAL_LATENCY)
        load = server_load.estimate(self._state.now)
        wait = max(0.0, load + 1 - server_load.capacity) / server_load.capacity
        busy = min(1.0, load / server_load.capacity)
        score = latency.total_seconds() * (1 + wait + busy * BUSY_PENALTY)
        if is_large(request.event.body):
            link_free_at = server_load.link_reported_at + server_load.link_wait
            score += max(ZERO, link_free_at - self._state.now).total_seconds()
        if server.zone != self._state.settings.zone:
            crossing = len(request.event.body) + self._answer_bytes.get(route, 0.0)
            share = min(MAX_ZONE_PENALTY_SHARE, ZONE_PENALTY_SHARE + crossing / ZONE_PENALTY_BYTES)
            score += (request.latency_deadline - request.arrived).total_seconds() * share
        return score

    def _available(self, service: str) -> list[ServerRecord]:
        view = self._state.view
        if self._servers_of is not view:
            self._servers_of = view
            self._servers = {}
            for server in view.available_servers():
                if view.nodes[server.proxy].state != GONE:
                    self._servers.setdefault(server.service, []).append(server)
        return self._servers.get(service, [])
