"""One proxy that serves items: owner of every request in it. Events come in, commands go out, nothing else happens."""

from datetime import timedelta

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.core_state import LocalServer
from hoistsaddle.proxy.messages import ConfigurationChanged, HoldAnswered, LeaseRenewed, StopRequested, Ticked
from hoistsaddle.sidecar.ingress import IngressCore
from hoistsaddle.sidecar.messages import (
    AbandonArrived,
    ClaimQueryAnswered,
    ClaimQueryArrived,
    ClientDisconnected,
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
)
from hoistsaddle.sidecar.upstream import UpstreamSide
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View


class SidecarCore(IngressCore, UpstreamSide):
    def __init__(self, *, server: str, drain_span: timedelta, **needs) -> None:
        super().__init__(**needs)
        self.server_address = server
        self.drain_span = drain_span

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        self.now = max(now, self.now)
        self._out = []
        match event:
            case RequestArrived():
                self._asked(event)
            case ForwardAnswered():
                self._forward_answered(event)
            case ForwardFailed():
                self._forward_failed(event)
            case ForwardArrived():
                self._forward_arrived(event)
            case ServerAnswered():
                self._served(event)
            case ServerFailed():
                self._serve_missed(event)
            case HoldAnswered(number=number, outcome=outcome):
                self._hold_answered(number, outcome)
            case ClaimQueryArrived():
                self._recall(event)
            case ClaimQueryAnswered():
                self._recall_answered(event)
            case FollowArrived():
                self._follow_arrived(event)
            case Followed():
                self._followed(event)
            case AbandonArrived():
                self._abandoned(event)
            case HealthReported():
                self._health_reported(event)
            case ConfigurationChanged(view=view):
                self._configuration(view)
            case LeaseRenewed(start=start):
                self.lease_start = start if self.lease_start is None else max(start, self.lease_start)
            case ClientDisconnected(ticket=ticket):
                self._client_gone(ticket)
            case StopRequested():
                self.stopping = True
            case CloseRequested():
                self.closing = True
            case GraceExpired():
                self._end_all()
            case Ticked():
                self._ingress_tick()
                self._upstream_tick()
        return self._out

    def _configuration(self, view: View) -> None:
        before, self.view = self.view, view
        if view.item_revisions != before.item_revisions:
            self._announce("items taken up", revision=view.revision, items=len(view.item_revisions))
        known = view.servers.get(self.settings.name)
        if (
            self.server is None
            and known is not None
            and known.state == READY
            and (known.service, known.address) == (self.service_here, self.server_address)
        ):
            self.assume_server(LocalServer(known.service, known.instance, known.address, READY, self.now))
        if (
            self.server is not None
            and self.server.state == READY
            and known is not None
            and known.state == GONE
            and self.server_state() == READY
        ):
            # Called gone while it lives, after a freeze or a cut: say so again at once.
            self._report()
        gone = [proxy for proxy in self.seen if proxy not in view.servers]
        for proxy in gone:
            del self.seen[proxy]

    def ready(self) -> MeshError | None:
        """The platform's ready check. The core may be away: what is in force here goes on being in force."""
        if self.stopping:
            return MeshError(ErrorKind.WINDING_DOWN, "This proxy is stopping.", "Send new work elsewhere.")
        if self.view.items is None:
            return MeshError(
                ErrorKind.NO_CONFIGURATION, "No configuration is in force here yet.", "Wait for the core's news."
            )
        return None

    def idle(self) -> bool:
        return not self.pending_requests and not self.runs and not self.releases
