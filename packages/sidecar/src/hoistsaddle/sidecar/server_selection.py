"""Which server's sidecar a request goes to: what is known of each, and this sidecar's part of the further attempts."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.proxy.retry_budget import RetryBudget, retry_quota_of
from hoistsaddle.sidecar.request_table import PendingRequest, RequestTable
from hoistsaddle.statemachine.state import GONE, ServerRecord
from hoistsaddle.statemachine.view import View

# How fast what others have sent to a sidecar is taken to be worked off, once it said how much that was.
FADE = timedelta(seconds=1)
# What another zone must save to be worth the way, as a share of the request's aim: something for any request, and more
# the more bytes would cross. Of all that a mesh spends, bytes between zones are the dearest.
ZONE_SHARE = 0.1
ZONE_BYTES = 20000
MOST_ZONE_SHARE = 1.5
# What an entry that ran nowhere yet is taken to need.
SOON = milliseconds(50)


class Seen:
    """What this sidecar knows of another's server."""

    def __init__(self) -> None:
        self.mine = 0
        # What it had beside this sidecar's own, when it said so.
        self.others = 0.0
        self.room = 4
        self.told_at = ZERO
        self.spans: dict[str, timedelta] = {}
        self.alone_until = ZERO

    def load(self, now: timedelta) -> float:
        age = (now - self.told_at) / FADE
        return self.mine + self.others * max(0.0, 1.0 - age / 2)


class ServerSelection(RequestTable):
    def __init__(self, *, further_percent: int, further_margin: int, **needs) -> None:
        super().__init__(**needs)
        self.set_further(percent=further_percent, margin=further_margin)
        self.further = RetryBudget(wait=self.settings.lease_span * 1.05)
        self.seen: dict[str, Seen] = {}
        # Entry to the usual size of its answers.
        self.answer_bytes: dict[str, float] = {}
        # The view that was read in: service to its open servers, and to this sidecar's part of the further attempts.
        self.read_in: View | None = None
        self.servers: dict[str, list[ServerRecord]] = {}
        self.parts: dict[str, int] = {}

    def set_further(self, *, percent: int, margin: int) -> None:
        # A quarter of the share is kept back: where a run repeats, the calls it makes count as repeats as well, at
        # services that this side never sees.
        self.further_percent = percent * 3 // 4
        self.further_margin = margin

    def seen_of(self, proxy: str) -> Seen:
        known = self.seen.get(proxy)
        if known is None:
            known = self.seen[proxy] = Seen()
        return known

    def _score(self, server: ServerRecord, request: PendingRequest) -> float:
        """Seconds until an answer is expected from there, and what the way to another zone must save."""
        seen = self.seen_of(server.proxy)
        span = seen.spans.get(request.entry.name)
        if span is None:
            # Never met: as quick as the quickest, so that it is met soon.
            met = [each.spans[request.entry.name] for each in self.seen.values() if request.entry.name in each.spans]
            span = min(met, default=SOON)
        load = seen.load(self.now)
        wait = max(0.0, load + 1 - seen.room) / seen.room
        busy = min(1.0, load / seen.room)
        score = span.total_seconds() * (1 + wait + busy * 0.25)
        if server.zone != self.settings.zone:
            crossing = len(request.event.body) + self.answer_bytes.get(request.entry.name, 0.0)
            share = min(MOST_ZONE_SHARE, ZONE_SHARE + crossing / ZONE_BYTES)
            score += (request.aim_at - request.arrived).total_seconds() * share
        return score

    def _select(self, request: PendingRequest) -> ServerRecord | None:
        available_servers = [
            server
            for server in self._servers_of(request.service)
            if server.proxy not in request.avoid
            and (server.proxy != self.settings.name or self.server_state() == "ready")
        ]
        rested = [server for server in available_servers if self.seen_of(server.proxy).alone_until <= self.now]
        candidates = rested or available_servers
        if not candidates:
            return None
        scored = [(self._score(server, request), server) for server in candidates]
        least = min(score for score, _ in scored)
        # Among those as good as equal chance decides: all doors preferring one server would flood it.
        near = [server for score, server in scored if score <= least * 1.05]
        return near[0] if len(near) == 1 else self.random.choice(near)

    def _read_in(self) -> None:
        """What each request needs of the configuration, worked out once a view, which changes seldom."""
        if self.read_in is self.view:
            return
        self.read_in = self.view
        self.parts = {}
        self.servers = {}
        for server in self.view.available_servers():
            if self.view.nodes[server.proxy].state != GONE:
                self.servers.setdefault(server.service, []).append(server)

    def _servers_of(self, service: str) -> list[ServerRecord]:
        self._read_in()
        return self.servers.get(service, [])

    def _allot(self, service: str) -> None:
        self._read_in()
        part = self.parts.get(service)
        if part is None:
            proxies = [proxy.node for proxy in self.view.live_proxies()]
            part = retry_quota_of(
                service=service, proxy=self.settings.name, proxies=proxies, margin=self.further_margin
            )
            self.parts[service] = part
        self.further.allot(service, part=part, percent=self.further_percent, now=self.now)
