"""One proxy: owner of every request in it. Events come in, commands go out, and no input or output happens here.

A request goes client, entry's proxy, target's proxy, server. Both proxies admit by their own bundle and lease. An
answer is one of four: the server's whole answer, "not run" (only if nothing can have run, now or later), "still
working", or "unknown". Every proxy is both: entry.py is the one side, target.py the other, standing.py what they share.
"""

from collections import deque
from datetime import timedelta

from hoistsaddle.proxy.core_state import LocalServer
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
from hoistsaddle.proxy.upstream import UpstreamSide
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View


class ProxyCore(IngressCore, UpstreamSide):
    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        self.now = max(now, self.now)
        self._out = []
        match event:
            case RequestArrived():
                self._request(event)
            case ClientDisconnected(ticket=ticket):
                self._gone(ticket)
            case HoldAnswered(number=number, outcome=outcome):
                self._hold_came(number, outcome)
            case ForwardAnswered(number=number, answer=answer):
                self._forward_answered(number, answer)
            case ForwardFailed(number=number, unsent=unsent):
                self._forward_failed(number, unsent)
            case ForwardWithheld(number=number):
                self._forward_withheld(number)
            case ForwardArrived():
                self._pass(event)
            case ServerAnswered():
                self._server_answered(event)
            case ServerFailed():
                self._server_missed(event)
            case HealthReported():
                self._health(event)
            case ConfigurationChanged(view=view):
                self._configuration(view)
            case LeaseRenewed(start=start):
                was = self.fresh()
                self.lease_start = start if self.lease_start is None else max(start, self.lease_start)
                if self.fresh() and not was:
                    self._announce("lease fresh", revision=self.view.revision)
                    self._retry_parked()
                    self._retry_waiting()
            case StopRequested():
                self.stopping = True
                self._report()
            case Ticked():
                self._tick()
        return self._out

    def _hold_came(self, number: int, outcome: Outcome | None) -> None:
        if outcome is not None:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = self.now
        # Answers are settled by the target's side; claims and keys given back are the entry's.
        if number in self.settles:
            return self._settled(number, outcome)
        return self._hold_answered(number, outcome)

    def _health(self, event: HealthReported) -> None:
        before = self.server
        was = self.server_state()
        self.server = LocalServer(event.service, event.instance, event.address, event.state, self.now)
        if before is None or before[:4] != self.server[:4] or was != self.server_state():
            self._announce("server told", service=event.service, instance=event.instance, state=event.state)
            self._report()

    def _configuration(self, view: View) -> None:
        before, self.view = self.view, view
        opened = {server.service for server in view.available_servers()}
        self.closed_since = {name: since for name, since in self.closed_since.items() if name not in opened}
        for bundle in view.active_bundles:
            for service in bundle.services:
                self._allot(service.name)
        if view.bundle_number != before.bundle_number:
            self._announce(
                "bundle taken up", bundle=view.bundle_number, before=before.bundle_number, revision=view.revision
            )
        if view.refused_bundle and view.refused_bundle != before.refused_bundle:
            self._announce("bundle refused", bundle=view.refused_bundle, refusal=view.refusal)
        if self.server is not None and self.server.state == READY:
            known = view.servers.get(self.settings.name)
            # Called gone while it lives, after a freeze or a cut: say so again at once.
            if known is not None and known.state == GONE and self.server_state() == READY:
                self._report()
        self._retry_parked()
        self._retry_waiting()

    def _tick(self) -> None:
        self._unready()
        for ticket in [ticket for ticket, request in self.requests.items() if self.now >= request.deadline]:
            self._spent(ticket)
        self._give_up_late_claims()
        self.waiting = deque(ticket for ticket in self.waiting if ticket in self.requests)
        self._retry_waiting()
        self._retry_parked()
        for number, run in list(self.runs.items()):
            if run.answer is not None and not run.answered and self.now >= run.deadline:
                # The run is done and its answer true, even if the hold can't be settled yet.
                self._answer_run(number, run)
            if run.settle is not None and run.settle_at is not None and self.now >= run.settle_at:
                self._settle(number, run)
        again, self.release_again = self.release_again, []
        for timestamp, command, until in again:
            if self.now >= timestamp:
                self._release(command, until)
            else:
                self.release_again.append((timestamp, command, until))
        if self.server is not None and self.server.state != GONE and self.server_state() == GONE:
            self._silence()

    def idle(self) -> bool:
        """Nothing mid-answer: a stopping proxy may go."""
        return not self.requests and not self.runs and not self.releases and not self.parked
