"""What both sides of a stall stand on: its setup, lease and server, and whether they let it act."""

import hashlib
import random
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.bundle import Bundle
from hoistsaddle.proxy.messages import Announce, ReportVitals
from hoistsaddle.statemachine.state import GONE, READY, WINDING_DOWN
from hoistsaddle.statemachine.view import View

SETTLE_AGAIN = timedelta(milliseconds=250)
# How long a gap of the core's may last and still be waited out: twice the slowest takeover measured (0.72 s). It counts
# from when the cause is seen, so a takeover that outlasts the lease by this much still costs no request.
GAP = timedelta(milliseconds=1500)


def number_of(bundle: Bundle) -> int:
    return bundle.number


def digest_of_body(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


class ProxyParamsView(NamedTuple):
    """What the core needs of the params."""

    name: str
    zone: str
    incarnation: str
    lease_span: timedelta
    vitals_span: timedelta
    # The most requests that wait here, and the most runs at once on the own server.
    backlog: int
    # The most sends of this stall under way to one target.
    outstanding: int


class OwnServer(NamedTuple):
    service: str
    instance: str
    address: str
    state: str
    heard: timedelta


def mishap_of(kind: MishapKind, message: str, remedy: str, field: str = "") -> Mishap:
    return Mishap(kind, message, remedy, field)


class Standing:
    def __init__(self, *, params: ProxyParamsView, seed: random.Random, now: timedelta) -> None:
        self.params = params
        self.random = seed
        self.now = now
        self.view = View()
        self.lease_start: timedelta | None = None
        self.server: OwnServer | None = None
        self.serial = 0
        self.stopping = False
        # This stall is about to end: its server goes on, but nothing new comes through here.
        self.closing = False
        # Since when this stall can't act.
        self.unready_since: timedelta | None = None
        self.numbers = 0
        self._out: list[Any] = []

    def fresh(self) -> bool:
        return self.lease_start is not None and self.now - self.lease_start < self.params.lease_span

    def noted(self) -> bool:
        """Whether the log knows this life of this stall: before that no acceptance would wait for it."""
        entry = self.view.nodes.get(self.params.name)
        return entry is not None and entry.incarnation == self.params.incarnation and entry.state != GONE

    def server_state(self) -> str:
        if self.server is None or self.now - self.server.heard > self.params.vitals_span:
            return GONE
        # A stall that stops winds its server's work down with it.
        return WINDING_DOWN if self.stopping and self.server.state == READY else self.server.state

    def ready(self) -> Mishap | None:
        """The platform's ready check: None, or why not."""
        if self.stopping:
            return mishap_of(MishapKind.WINDING_DOWN, "This stall is stopping.", "Send new work elsewhere.")
        if not self.fresh():
            return mishap_of(
                MishapKind.LEASE_LAPSED, "No fresh news from the core.", "Check the core machines and the way to them."
            )
        if not self.noted():
            return mishap_of(
                MishapKind.LEASE_LAPSED, "The core has not noted this stall yet.", "Wait; it registers by itself."
            )
        if self.view.bundle is None:
            return mishap_of(MishapKind.BUNDLE_UNKNOWN, "No bundle is in force.", "Submit one and have it signed off.")
        return None

    def _unready(self) -> Mishap | None:
        mishap = self.ready()
        if self.stopping and self.fresh() and self.noted() and self.view.bundle is not None:
            # What was taken before the stop is still finished.
            mishap = None
        if mishap is None:
            self.unready_since = None
        elif self.unready_since is None:
            self.unready_since = self.now
        return mishap

    def _announce(self, kind: str, **detail) -> None:
        self._out.append(Announce(kind, {"stall": self.params.name, **detail}))

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _report(self) -> None:
        self.serial += 1
        self._out.append(ReportVitals())

    def _silence(self) -> None:
        self.server = self.server._replace(state=GONE)
        self._announce("server silent", service=self.server.service, instance=self.server.instance)
        self._report()
