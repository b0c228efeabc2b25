"""The core of a proxy under bundles: a state machine without I/O that turns events into commands.

A request goes from the client to the ingress side of one proxy, the upstream side of another, and its server. Each of
the two proxies admits it by its own bundle and lease. There are four outcomes: the server's complete answer, "not run"
(only if the request has not run and cannot run later), "still working", and "unknown". Every proxy has both sides:
ingress.py and upstream.py.
"""

import random
from datetime import timedelta

from hoistsaddle.proxy.bundle_state import BundleState
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.ingress import IngressCore
from hoistsaddle.proxy.messages import (
    ClientDisconnected,
    ConfigurationChanged,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardWithheld,
    HealthReported,
    HoldAnswered,
    LeaseRenewed,
    RequestArrived,
    ServerAnswered,
    ServerFailed,
    StopRequested,
    Ticked,
)
from hoistsaddle.proxy.upstream import UpstreamCore
from hoistsaddle.statemachine.view import View


class ProxyCore(BundleState):
    """Dispatches each event to the ingress or the upstream side, and collects the commands to carry out."""

    def __init__(self, *, settings: CoreSettings, seed: random.Random, now: timedelta) -> None:
        """Start without a configuration.

        Args:
            settings: the proxy's name, zone and limits.
            seed: random generator for all random choices.
            now: the current monotonic time.
        """
        super().__init__(settings=settings, seed=seed, now=now)
        self.ingress = IngressCore(state=self)
        self.upstream = UpstreamCore(state=self)

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        """Handle one event of proxy.messages at this monotonic time; return the commands to carry out."""
        self.now = max(now, self.now)
        self.out = []
        match event:
            case RequestArrived():
                self.ingress.request_arrived(event)
            case ClientDisconnected(ticket=ticket):
                self.ingress.client_disconnected(ticket)
            case HoldAnswered():
                self._hold_answered(event)
            case ForwardAnswered(number=number, answer=answer):
                self.ingress.forward_answered(number, answer)
            case ForwardFailed(number=number, unsent=unsent):
                self.ingress.forward_failed(number, unsent=unsent)
            case ForwardWithheld(number=number):
                self.ingress.forward_withheld(number)
            case ForwardArrived():
                self.upstream.forward_arrived(event)
            case ServerAnswered():
                self.upstream.server_answered(event)
            case ServerFailed():
                self.upstream.server_failed(event)
            case HealthReported():
                self.upstream.health_reported(event)
            case ConfigurationChanged(view=view):
                self._configuration_changed(view)
            case LeaseRenewed(start=start):
                self._lease_renewed(start)
            case StopRequested():
                self.stopping = True
                self.report_health()
            case Ticked():
                self._tick()
        return self.out

    def _hold_answered(self, event: HoldAnswered) -> None:
        self.ingress.keys.note_answer(event.outcome)
        # The upstream side submits settlements, the ingress side claims and releases.
        if self.upstream.is_settlement(event.number):
            self.upstream.settlement_answered(event.number, event.outcome)
        else:
            self.ingress.hold_answered(event)

    def _lease_renewed(self, start: timedelta) -> None:
        had_lease = self.has_lease()
        self.renew_lease(start)
        if self.has_lease() and not had_lease:
            self.announce("lease fresh", revision=self.view.revision)
            self._retry()

    def _configuration_changed(self, view: View) -> None:
        before, self.view = self.view, view
        self.ingress.configuration_changed(view)
        if view.bundle_number != before.bundle_number:
            self.announce(
                "bundle taken up", bundle=view.bundle_number, before=before.bundle_number, revision=view.revision
            )
        if view.refused_bundle and view.refused_bundle != before.refused_bundle:
            self.announce("bundle refused", bundle=view.refused_bundle, refusal=view.refusal)
        self.contradict_record()
        self._retry()

    def _retry(self) -> None:
        self.upstream.retry_parked()
        self.ingress.retry_waiting()

    def _tick(self) -> None:
        self.processing_error()
        self.ingress.tick()
        self.upstream.retry_parked()
        self.upstream.tick()
        self.ingress.keys.releases.retry_due()
        self.expire_server()

    def idle(self) -> bool:
        """Whether no request, run or release is pending, so that a stopping proxy may exit."""
        return not (self.ingress.requests or self.upstream.runs or self.ingress.keys.releases or self.upstream.parked)
