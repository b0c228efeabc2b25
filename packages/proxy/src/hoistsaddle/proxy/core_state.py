"""State shared by all parts of a core: configuration view, lease, local server, clock, and commands to carry out."""

import random
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.proxy.messages import Announce, Count, ReportHealth
from hoistsaddle.proxy.server_reports import ServerReports
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View


class CoreSettings(NamedTuple):
    """The settings of the process that its core uses."""

    name: str
    zone: str
    incarnation: str
    # How long a lease is valid after its renewal, and a health report after its arrival.
    lease_span: timedelta
    health_span: timedelta
    # The maximum number of queued requests, and of concurrent runs on the local server.
    backlog: int
    # The maximum number of attempts in flight from this proxy to one target.
    outstanding: int


class LocalServer(NamedTuple):
    """The newest health report of the local server."""

    service: str
    instance: str
    address: str
    state: str
    # When the report arrived.
    reported_at: timedelta

    def same_as(self, other: "LocalServer") -> bool:
        """Whether both reports have the same content, regardless of their arrival."""
        return self[:4] == other[:4]


class CoreState:
    """Base class of the cores. It owns the state that the parts of a core share and read and write as attributes.

    Attributes:
        settings: the proxy's name, zone and limits.
        random: the random generator for all random choices.
        now: the monotonic time of the event being handled.
        view: the configuration in force at this proxy.
        server: the local server's newest health report.
        reports: decides which reports of local servers are outdated.
        serial: number of the newest health report; the log accepts no older one.
        stopping: whether the process was asked to stop.
        closing: whether the process is about to exit while its server keeps running, and accepts nothing new.
        out: the commands that result from the event being handled, in order.
    """

    def __init__(self, *, settings: CoreSettings, seed: random.Random, now: timedelta) -> None:
        """Start without configuration, lease and server."""
        self.settings = settings
        self.random = seed
        self.now = now
        self.view = View()
        self.lease_start: timedelta | None = None
        self.server: LocalServer | None = None
        self.reports = ServerReports()
        self._ignored_instance = ""
        self.serial = 0
        self.stopping = False
        self.closing = False
        self.last_number = 0
        self.out: list[Any] = []

    def has_lease(self) -> bool:
        """Whether the configuration was confirmed recently enough to act on it."""
        return self.lease_start is not None and self.now - self.lease_start < self.settings.lease_span

    def renew_lease(self, start: timedelta) -> None:
        """Record that the configuration was confirmed to be in force at this time."""
        self.lease_start = start if self.lease_start is None else max(start, self.lease_start)

    def server_state(self) -> str:
        """Return the state that the server reported; gone if the report is missing or older than the health span."""
        if self.server is None or self.now - self.server.reported_at > self.settings.health_span:
            return GONE
        return self.server.state

    def accept_report(self, instance: str, *, state: str, sequence: int = 0) -> bool:
        """Record a report of a local server, and return whether it is current.

        Args:
            instance: the server instance that sent the report.
            state: the reported state; an instance that reports itself gone has signed off.
            sequence: the sender's number of the report; 0 where reports carry none.
        """
        if not self.reports.accept(instance, sequence=sequence):
            if instance != self._ignored_instance:
                # Announced once per instance: a server that has signed off may keep reporting.
                self._ignored_instance = instance
                self.announce("late report ignored", instance=instance, sequence=sequence)
            return False
        if state == GONE:
            self.reports.sign_off(instance)
        return True

    def next_number(self) -> int:
        """Return a new number, unique among the calls of this core."""
        self.last_number += 1
        return self.last_number

    def announce(self, kind: str, **detail: Any) -> None:
        """Record an event for operators; the names of the details are its JSON keys."""
        self.out.append(Announce(kind, {"stall": self.settings.name, **detail}))

    def count(self, name: str) -> None:
        """Increment a counter of the process."""
        self.out.append(Count(name))

    def report_health(self) -> None:
        """Have the server's state sent to the registry immediately instead of with the next heartbeat."""
        self.serial += 1
        self.out.append(ReportHealth())

    def mark_server_gone(self) -> None:
        """Mark the server as gone until it reports again."""
        if self.server is None:
            return
        self.server = self.server._replace(state=GONE)
        self.announce("server silent", service=self.server.service, instance=self.server.instance)
        self.report_health()

    def expire_server(self) -> None:
        """Mark the server as gone once its last report is too old."""
        if self.server is not None and self.server.state != GONE and self.server_state() == GONE:
            self.mark_server_gone()

    def contradict_record(self) -> None:
        """Report health immediately if the log records a live server as gone, as after a freeze or a network cut."""
        recorded = self.view.servers.get(self.settings.name)
        if recorded is None or recorded.state != GONE:
            return
        if self.server is None:
            self.reports.recorded_gone(recorded.instance)
        if self.server is not None and self.server.state == READY and self.server_state() == READY:
            self.report_health()
