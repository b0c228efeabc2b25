"""The deterministic core of a sidecar: it owns all requests, takes events and returns commands, and does no I/O.

The ingress side (ingress.py) handles requests from clients; the upstream side (upstream.py) handles requests that other
sidecars forward to the local server. Every sidecar has both roles.
"""

import random
from datetime import timedelta

from hoistsaddle.common.errors import LeaseExpired, MeshError, NoConfiguration, ShuttingDown
from hoistsaddle.proxy.core_state import CoreSettings, CoreState, LocalServer
from hoistsaddle.proxy.messages import (
    ClientDisconnected,
    ConfigurationChanged,
    HoldAnswered,
    LeaseRenewed,
    StopRequested,
    Ticked,
)
from hoistsaddle.sidecar.claim_records import MAX_KEPT_BYTES
from hoistsaddle.sidecar.configuration_freshness import ConfigurationFreshness
from hoistsaddle.sidecar.ingress import IngressCore
from hoistsaddle.sidecar.link_schedule import LinkSchedule
from hoistsaddle.sidecar.messages import (
    AbandonArrived,
    BodyAnnounced,
    BodyAnnouncementAnswered,
    ClaimQueryAnswered,
    ClaimQueryArrived,
    CloseRequested,
    FollowArrived,
    Followed,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    GraceExpired,
    HealthReported,
    RequestArrived,
    ServerAnswered,
    ServerFailed,
    ServerSignedOff,
)
from hoistsaddle.sidecar.upstream import UpstreamCore
from hoistsaddle.statemachine.state import READY
from hoistsaddle.statemachine.view import View


class SidecarCore(CoreState):
    """Dispatches each event to the ingress or upstream side, and collects the resulting commands."""

    def __init__(
        self,
        *,
        settings: CoreSettings,
        seed: random.Random,
        now: timedelta,
        service: str,
        server_address: str,
        drain_timeout: timedelta,
        retry_percent: int,
        retry_margin: int,
        key_lifetime: timedelta,
        max_configuration_age: timedelta,
        link_bytes_per_second: float = 0.0,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        """Start without a configuration.

        Args:
            settings: the sidecar's name, zone and limits.
            seed: the random number generator for all random choices.
            now: the time of the monotonic clock.
            service: the service of the local server, from the machine's settings.
            server_address: its address, from the same settings.
            drain_timeout: how long queued requests are still started on a server that is shutting down.
            retry_percent: retries per hundred first attempts, over the whole fleet.
            retry_margin: retries beyond that share in ten seconds, over the whole fleet.
            key_lifetime: how long a claimed key stays claimed.
            max_configuration_age: how long a configuration change may take to come into force here.
            link_bytes_per_second: the capacity of this machine's link in each direction; 0 if unknown.
            max_kept_bytes: the most bytes of answers that are kept for repeated requests with a key.
        """
        super().__init__(settings=settings, seed=seed, now=now)
        self._service = service
        self._server_address = server_address
        self.freshness = ConfigurationFreshness(state=self, max_age=max_configuration_age)
        self.ingress = IngressCore(
            state=self,
            freshness=self.freshness,
            service=service,
            key_lifetime=key_lifetime,
            retry_percent=retry_percent,
            retry_margin=retry_margin,
            max_kept_bytes=max_kept_bytes,
        )
        link = LinkSchedule(bytes_per_second=link_bytes_per_second, now=now)
        self.upstream = UpstreamCore(state=self, drain_timeout=drain_timeout, link=link)
        self._lease_reported = False

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        """Handle one event.

        Args:
            event: an event class of sidecar.messages or proxy.messages.
            now: the time of the monotonic clock.

        Returns:
            The commands to execute, in order.
        """
        self.now = max(now, self.now)
        self.out = []
        match event:
            case RequestArrived(header_bytes=header_bytes, body=body):
                self.upstream.bodies.link.others_arrived(header_bytes + len(body), now=self.now)
                self.ingress.request_arrived(event)
            case ForwardAnswered():
                self.ingress.forward_answered(event)
            case ForwardFailed():
                self.ingress.forward_failed(event)
            case ForwardArrived():
                self.upstream.forward_arrived(event)
            case BodyAnnounced():
                self.upstream.bodies.announced(event)
            case BodyAnnouncementAnswered():
                self.ingress.body_announcement_answered(event)
            case ServerAnswered():
                self.upstream.server_answered(event)
            case ServerFailed():
                self.upstream.server_failed(event)
            case HoldAnswered():
                self.ingress.key_decided(self.ingress.keys.hold_answered(event))
            case ClaimQueryArrived():
                self.ingress.keys.query_arrived(event)
            case ClaimQueryAnswered():
                self.ingress.key_decided(self.ingress.keys.query_answered(event))
            case FollowArrived():
                self.upstream.follow_arrived(event)
            case Followed():
                self.ingress.followed(event)
            case AbandonArrived():
                self.upstream.abandon_arrived(event)
            case HealthReported():
                self.upstream.health_reported(event)
            case ServerSignedOff(instance=instance):
                self.upstream.signed_off(instance)
            case ConfigurationChanged(view=view):
                self._configuration_changed(view)
            case LeaseRenewed(start=start):
                self.renew_lease(start)
                self._report_lease()
            case ClientDisconnected(ticket=ticket):
                self.ingress.client_disconnected(ticket)
            case StopRequested():
                self.stopping = True
            case CloseRequested():
                self.closing = True
            case GraceExpired():
                self.ingress.end_all()
            case Ticked():
                self._report_lease()
                self.ingress.tick()
                self.upstream.tick()
        return self.out

    def _configuration_changed(self, view: View) -> None:
        before, self.view = self.view, view
        if view.item_revisions != before.item_revisions:
            self.announce("items taken up", revision=view.revision, items=len(view.item_revisions))
        recorded = view.servers.get(self.settings.name)
        if (
            recorded is not None
            and recorded.state == READY
            and (recorded.service, recorded.address) == (self._service, self._server_address)
        ):
            self.upstream.assume_server(
                LocalServer(recorded.service, recorded.instance, recorded.address, READY, self.now)
            )
        self.contradict_record()
        self.ingress.servers.forget_removed(view)

    def _report_lease(self) -> None:
        """Record that the lease became valid or expired; without it the configuration here may be outdated."""
        fresh = self.has_lease()
        if fresh == self._lease_reported or self.lease_start is None:
            return
        self._lease_reported = fresh
        age = round((self.now - self.lease_start).total_seconds() * 1000)
        self.announce("lease fresh" if fresh else "lease lapsed", revision=self.view.revision, age_milliseconds=age)

    def ready(self) -> MeshError | None:
        """Return why this sidecar isn't ready for requests, or None. Its configuration stays valid without a core."""
        if self.stopping:
            return ShuttingDown("This proxy is stopping.", remedy="Send new work elsewhere.")
        if self.view.items is None:
            return NoConfiguration("No configuration is in force here yet.", remedy="Wait until the core sends one.")
        if not self.freshness.usable():
            return LeaseExpired("The configuration here may be outdated.", remedy="Wait until the core confirms it.")
        return None

    def pending_count(self) -> int:
        """Return how many client requests have no final response yet."""
        return len(self.ingress.requests.requests)

    def idle(self) -> bool:
        """Whether nothing is in flight, so that a sidecar that is shutting down may exit."""
        upstream = self.upstream
        return not (self.pending_count() or upstream.runs or self.ingress.keys.releases) and upstream.bodies.idle()
