"""What all parts of a core share: configuration view, lease, local server, clock, and the commands to carry out."""

import random
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.proxy.messages import Announce, Count, ReportHealth
from hoistsaddle.proxy.server_reports import ServerReports
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View


class CoreSettings(NamedTuple):
    """What a core needs of its process's settings."""

    name: str
    zone: str
    incarnation: str
    # For how long a renewed lease lets this proxy act, and a health report counts.
    lease_span: timedelta
    health_span: timedelta
    # The most requests that wait here, and the most runs at once on the local server.
    backlog: int
    # The most attempts of this proxy under way to one target.
    outstanding: int


class LocalServer(NamedTuple):
    """The server beside this proxy, as it reported itself last."""

    service: str
    instance: str
    address: str
    state: str
    # When the report came.
    heard: timedelta

    def same_as(self, other: "LocalServer") -> bool:
        """Whether both reports say the same, whenever they came."""
        return self[:4] == other[:4]


class CoreState:
    """Base of the cores: owner of the state that their parts share, which are given it and read and write it by name.

    Attributes:
        settings: the proxy's name, zone and limits.
        random: the source of all that chance decides.
        now: the monotonic time of the event that is handled.
        view: the configuration in force here.
        server: the local server's last report.
        reports: the order of the reports of the local servers.
        serial: number of the newest health report; the log takes none that is older.
        stopping: whether the process was told to stop.
        closing: whether it is about to end: its server goes on, but nothing new comes through here.
        out: the commands that answer the event which is handled, in order.
    """

    def __init__(self, *, settings: CoreSettings, seed: random.Random, now: timedelta) -> None:
        """Begin without configuration, lease and server."""
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
        self.numbers = 0
        self.out: list[Any] = []

    def has_lease(self) -> bool:
        """Whether the configuration was confirmed recently enough to act on it."""
        return self.lease_start is not None and self.now - self.lease_start < self.settings.lease_span

    def renew_lease(self, start: timedelta) -> None:
        """Take that the configuration was in force at this time."""
        self.lease_start = start if self.lease_start is None else max(start, self.lease_start)

    def server_state(self) -> str:
        """Return the server's own word while that is young; it is gone if it has fallen silent."""
        if self.server is None or self.now - self.server.heard > self.settings.health_span:
            return GONE
        return self.server.state

    def takes_report(self, instance: str, *, state: str, sequence: int = 0) -> bool:
        """Put a report of a local server in its order; return whether it still says something new.

        Args:
            instance: whose report it is.
            state: what it says; an instance that calls itself gone has signed off.
            sequence: its number at its sender; 0 where reports carry none.
        """
        if not self.reports.accept(instance, sequence=sequence):
            if instance != self._ignored_instance:
                # Once each: a server that has signed off may go on reporting.
                self._ignored_instance = instance
                self.announce("late report ignored", instance=instance, sequence=sequence)
            return False
        if state == GONE:
            self.reports.sign_off(instance)
        return True

    def next_number(self) -> int:
        """Return a number that no call of this core had before."""
        self.numbers += 1
        return self.numbers

    def announce(self, kind: str, **detail: Any) -> None:
        """Tell operators of an event; the detail's names are its JSON keys."""
        self.out.append(Announce(kind, {"stall": self.settings.name, **detail}))

    def count(self, name: str) -> None:
        """Add one to a counter of the process."""
        self.out.append(Count(name))

    def report_health(self) -> None:
        """Have the server's state sent to the registry at once, not with the next heartbeat."""
        self.serial += 1
        self.out.append(ReportHealth())

    def mark_server_gone(self) -> None:
        """Take the server for gone until it reports again."""
        if self.server is None:
            return
        self.server = self.server._replace(state=GONE)
        self.announce("server silent", service=self.server.service, instance=self.server.instance)
        self.report_health()

    def expire_server(self) -> None:
        """Mark the server gone once its last report is too old."""
        if self.server is not None and self.server.state != GONE and self.server_state() == GONE:
            self.mark_server_gone()

    def contradict_record(self) -> None:
        """Report again at once if the log calls the server gone while it lives, as after a freeze or a cut."""
        recorded = self.view.servers.get(self.settings.name)
        if recorded is None or recorded.state != GONE:
            return
        if self.server is None:
            self.reports.recorded_gone(recorded.instance)
        if self.server is not None and self.server.state == READY and self.server_state() == READY:
            self.report_health()
