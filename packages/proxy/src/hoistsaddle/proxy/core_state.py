"""What both sides of a proxy stand on: its configuration, lease and server, and whether they let it act."""

import hashlib
import random
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import Bundle
from hoistsaddle.proxy.messages import Announce, ReportHealth
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


class CoreSettings(NamedTuple):
    """What the core needs of the params."""

    name: str
    zone: str
    incarnation: str
    lease_span: timedelta
    health_span: timedelta
    # The most requests that wait here, and the most runs at once on the own server.
    backlog: int
    # The most sends of this proxy under way to one target.
    outstanding: int


class LocalServer(NamedTuple):
    service: str
    instance: str
    address: str
    state: str
    heard: timedelta


def mesh_error(kind: ErrorKind, message: str, remedy: str, field: str = "") -> MeshError:
    return MeshError(kind, message, remedy, field)


class CoreState:
    def __init__(self, *, settings: CoreSettings, seed: random.Random, now: timedelta) -> None:
        self.settings = settings
        self.random = seed
        self.now = now
        self.view = View()
        self.lease_start: timedelta | None = None
        self.server: LocalServer | None = None
        self.serial = 0
        self.stopping = False
        # This proxy is about to end: its server goes on, but nothing new comes through here.
        self.closing = False
        # Since when this proxy can't act.
        self.unready_since: timedelta | None = None
        self.numbers = 0
        self._out: list[Any] = []

    def fresh(self) -> bool:
        return self.lease_start is not None and self.now - self.lease_start < self.settings.lease_span

    def noted(self) -> bool:
        """Whether the log knows this life of this proxy: before that no acceptance would wait for it."""
        entry = self.view.nodes.get(self.settings.name)
        return entry is not None and entry.incarnation == self.settings.incarnation and entry.state != GONE

    def server_state(self) -> str:
        if self.server is None or self.now - self.server.heard > self.settings.health_span:
            return GONE
        # A proxy that stops winds its server's work down with it.
        return WINDING_DOWN if self.stopping and self.server.state == READY else self.server.state

    def ready(self) -> MeshError | None:
        """The platform's ready check: None, or why not."""
        if self.stopping:
            return mesh_error(ErrorKind.WINDING_DOWN, "This proxy is stopping.", "Send new work elsewhere.")
        if not self.fresh():
            return mesh_error(
                ErrorKind.LEASE_LAPSED, "No fresh news from the core.", "Check the core machines and the way to them."
            )
        if not self.noted():
            return mesh_error(
                ErrorKind.LEASE_LAPSED, "The core has not noted this proxy yet.", "Wait; it registers by itself."
            )
        if self.view.bundle is None:
            return mesh_error(ErrorKind.BUNDLE_UNKNOWN, "No bundle is in force.", "Submit one and have it signed off.")
        return None

    def _unready(self) -> MeshError | None:
        error = self.ready()
        if self.stopping and self.fresh() and self.noted() and self.view.bundle is not None:
            # What was taken before the stop is still finished.
            error = None
        if error is None:
            self.unready_since = None
        elif self.unready_since is None:
            self.unready_since = self.now
        return error

    def _announce(self, kind: str, **detail) -> None:
        self._out.append(Announce(kind, {"stall": self.settings.name, **detail}))

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _report(self) -> None:
        self.serial += 1
        self._out.append(ReportHealth())

    def _silence(self) -> None:
        self.server = self.server._replace(state=GONE)
        self._announce("server silent", service=self.server.service, instance=self.server.instance)
        self._report()
