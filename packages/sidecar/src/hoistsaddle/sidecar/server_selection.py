"""Load balancing: which server's sidecar an attempt goes to, by what this sidecar knows of each server's load."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar.request_table import PendingRequest
from hoistsaddle.statemachine.state import GONE, READY, ServerRecord
from hoistsaddle.statemachine.view import View

# How fast the load that other sidecars brought to a server is taken to be worked off, once it was reported.
LOAD_DECAY = timedelta(seconds=1)
# What another zone must save to be worth the way, as a share of the request's latency target: something for any
# request, and more the more bytes would cross. Of all that a mesh spends, bytes between zones are the dearest.
ZONE_PENALTY_SHARE = 0.1
ZONE_PENALTY_BYTES = 20000
MAX_ZONE_PENALTY_SHARE = 1.5
# How long a route is taken to run that has run nowhere yet.
INITIAL_LATENCY = milliseconds(50)
# How many requests at a time a server is taken to work on before it has said so.
INITIAL_CAPACITY = 4
# How much longer an answer is expected to take from a server whose capacity is used up.
BUSY_PENALTY = 0.25
# Scores this close count as equal: among them chance decides.
NEAR_BEST = 1.05
# The newest answer's weight in the moving averages of its size and its latency.
SIZE_WEIGHT = 0.1
LATENCY_WEIGHT = 0.15


# A body over this size is announced before it is sent.
LARGE_BODY_BYTES = 8192


def is_large(body: bytes) -> bool:
    """Whether a body takes a noticeable time of a thin link."""
    return len(body) > LARGE_BODY_BYTES


class ServerLoad:
    """What this sidecar knows of the server beside another one."""

    def __init__(self) -> None:
        # This sidecar's own attempts under way there.
        self.in_flight = 0
        # What others had sent there beside them, when it was reported.
        self.from_others = 0.0
        self.reported_at = ZERO
        # How many requests it works on at a time.
        self.capacity = INITIAL_CAPACITY
        # Route to the usual time of a run.
        self.latencies: dict[str, timedelta] = {}
        # How long a large body would have waited for its machine's link, and when that was reported.
        self.link_wait = ZERO
        self.link_reported_at = ZERO
        # Its sidecar couldn't be reached: it is left alone until then, while there are others.
        self.avoided_until = ZERO

    def estimate(self, now: timedelta) -> float:
        """Return how many requests are there now: what others brought is worked off with time."""
        age = (now - self.reported_at) / LOAD_DECAY
        return self.in_flight + self.from_others * max(0.0, 1.0 - age / 2)


class ServerSelection:
    """Picks servers by the time an answer is expected to take, and learns from the answers."""

    def __init__(self, *, state: CoreState) -> None:
        self._state = state
        self.loads: dict[str, ServerLoad] = {}
        # Route to the usual size of its answers.
        self._answer_bytes: dict[str, float] = {}
        # Service to its available servers, worked out once for each view.
        self._servers: dict[str, list[ServerRecord]] = {}
        self._servers_of: View | None = None

    def load_of(self, proxy: str) -> ServerLoad:
        """Return what is known of the server beside this proxy."""
        load = self.loads.get(proxy)
        if load is None:
            load = self.loads[proxy] = ServerLoad()
        return load

    def select(self, request: PendingRequest) -> ServerRecord | None:
        """Return the server whose answer is expected first; None if none is available for the request."""
        state = self._state
        own_proxy = state.settings.name
        available = [
            server
            for server in self._available(request.service)
            if server.proxy not in request.excluded and (server.proxy != own_proxy or state.server_state() == READY)
        ]
        reachable = [server for server in available if self.load_of(server.proxy).avoided_until <= state.now]
        candidates = reachable or available
        if not candidates:
            return None
        scored = [(self._score(server, request), server) for server in candidates]
        best = min(score for score, _ in scored)
        # Among those as good as equal chance decides: all sidecars preferring one server would flood it.
        near = [server for score, server in scored if score <= best * NEAR_BEST]
        return near[0] if len(near) == 1 else state.random.choice(near)

    def attempt_sent(self, proxy: str) -> None:
        """Count an attempt under way to this proxy's server."""
        self.load_of(proxy).in_flight += 1

    def attempt_ended(self, proxy: str) -> None:
        """Count an attempt to this proxy's server as over."""
        load = self.load_of(proxy)
        load.in_flight = max(0, load.in_flight - 1)

    def load_reported(self, proxy: str, answer: ForwardAnswer) -> None:
        """Take the load that comes with every answer."""
        load = self.load_of(proxy)
        load.capacity = max(1, answer.capacity)
        load.reported_at = self._state.now
        load.from_others = max(0, answer.load - load.in_flight)

    def link_reported(self, proxy: str, wait: timedelta) -> None:
        """Take how long a large body would wait for this proxy's link."""
        load = self.load_of(proxy)
        load.link_wait, load.link_reported_at = wait, self._state.now

    def answer_received(self, proxy: str, route: str, answer: ForwardAnswer) -> None:
        """Learn from a server's answer how long runs of the route take there, and how large its answers are."""
        size = len(answer.body)
        usual_size = self._answer_bytes.get(route, float(size))
        self._answer_bytes[route] = usual_size + (size - usual_size) * SIZE_WEIGHT
        latencies = self.load_of(proxy).latencies
        latency = latencies.get(route)
        latencies[route] = (
            answer.run_time if latency is None else latency + (answer.run_time - latency) * LATENCY_WEIGHT
        )

    def avoid(self, proxy: str, *, duration: timedelta) -> None:
        """Leave this proxy's server alone for so long, while there are others."""
        self.load_of(proxy).avoided_until = self._state.now + duration

    def forget_removed(self, view: View) -> None:
        """Drop what is known of servers that the view doesn't list any more."""
        for proxy in [proxy for proxy in self.loads if proxy not in view.servers]:
            del self.loads[proxy]

    def _score(self, server: ServerRecord, request: PendingRequest) -> float:
        """Return seconds until an answer is expected, with what the way to another zone must save."""
        route = request.route.name
        server_load = self.load_of(server.proxy)
        latency = server_load.latencies.get(route)
        if latency is None:
            # Never tried: as quick as the quickest, so that it is tried soon.
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
