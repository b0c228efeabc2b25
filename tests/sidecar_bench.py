"""Several sidecars' cores joined without I/O: network, log and servers are modelled, every command is recorded.

A test sends requests at one sidecar (its ingress), lets modelled servers answer or fail, and moves the clock.
"""

import random
from datetime import timedelta
from typing import Any

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.items import ItemConfiguration, LimitsItem, Part, RouteItem, ServiceItem
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import ClientDisconnected, ConfigurationChanged, HoldAnswered, SubmitHold, Ticked
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.latency import LatencyEstimate
from hoistsaddle.sidecar.messages import (
    Abandon,
    AbandonArrived,
    AnswerClaimQuery,
    AnswerForward,
    CancelRun,
    ClaimQueryAnswered,
    ClaimQueryArrived,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    HealthReported,
    QueryClaim,
    Reply,
    RequestArrived,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
)
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import READY, NodeRecord, ServerRecord, State, initial_state
from hoistsaddle.statemachine.view import View

HOST = "shop.example"
KINDS = {"read": "repeatable", "post": "once per send", "pay": "once per key", "pack": "upload"}


def entry(name: str, **changes: Any) -> RouteItem:
    """A route of the kind that KINDS gives for its name."""
    values: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": KINDS[name],
        "parts": [Part("ledger")],
        "hold_seconds": 4.0,
        "aim_seconds": 1.0,
        "rank": 1,
        "most_sends": 3,
    }
    return RouteItem(**{**values, **changes})


def latency_of(seconds: float, *, deviation: float = 0.0) -> LatencyEstimate:
    """A latency estimate based on many samples."""
    estimate = LatencyEstimate()
    estimate.count = 100
    estimate.mean, estimate.deviation = timedelta(seconds=seconds), timedelta(seconds=deviation)
    return estimate


def server_record(name: str) -> ServerRecord:
    """The log's record of a sidecar's local server."""
    return ServerRecord(name, "ledger", f"i-{name}", f"server-{name}", "a", READY, 1, "life", "", 1)


class SidecarBench:
    """Sidecars that share one log, each with a local server of the same service."""

    def __init__(
        self,
        *names: str,
        entries: tuple[RouteItem, ...] = (),
        limits: LimitsItem | None = None,
        room: int = 2,
        margin: int = 0,
        seed: int = 1,
        link_bytes_per_second: float = 0.0,
    ) -> None:
        names = names or ("s-1", "s-2", "s-3")
        self.timestamp = timedelta(seconds=100)
        self.link_bytes_per_second = link_bytes_per_second
        self.log: State = initial_state(mesh="m", voters={1: "one"}, operators={}, level=3)
        # Whether the core answers claims of keys.
        self.core_up = True
        # Sidecars that never answer, and those whose ports refuse connections.
        self.silent: set[str] = set()
        self.refusing: set[str] = set()
        # Whether each event renews the lease of its sidecar first.
        self.leased = True
        self.commands: list[tuple[str, tuple]] = []
        self.replies: dict[int, Reply] = {}
        self.answers: dict[int, Any] = {}
        # The runs in flight on servers.
        self.runs: dict[tuple[str, int], RunOnServer] = {}
        # Runs that were cancelled because their client had disconnected.
        self.aborted: list[RunOnServer] = []
        self._pending_requests: dict[tuple[str, int], tuple[str, int]] = {}
        self._claim_queries: dict[tuple[str, int], tuple[str, int]] = {}
        self.tickets = 0
        items: dict[str, Any] = {f"entry:{each.name}": each for each in entries or tuple(entry(name) for name in KINDS)}
        items["service:ledger"] = ServiceItem("ledger")
        if limits is not None:
            items["limits:limits"] = limits
        self.view = View(
            revision=5,
            items=ItemConfiguration(items=items),
            item_revisions=dict.fromkeys(items, 1),
            servers={name: server_record(name) for name in names},
            nodes={name: NodeRecord(name, "stall", f"at-{name}", "a", "life", "alive", 1) for name in names},
        )
        self.cores = {name: self.make(name, margin=margin, seed=seed) for name in names}
        self.show(self.view)
        for name in names:
            self.health(name, room=room)

    def make(self, name: str, *, margin: int, seed: int) -> SidecarCore:
        return SidecarCore(
            settings=CoreSettings(
                name, "a", f"life-{self.timestamp}", timedelta(seconds=1.5), timedelta(seconds=5), 50, 50
            ),
            seed=random.Random(seed),
            now=self.timestamp,
            server_address=f"server-{name}",
            drain_timeout=timedelta(seconds=2),
            retry_percent=20,
            retry_margin=margin,
            key_lifetime=timedelta(seconds=75),
            max_configuration_age=timedelta(seconds=2),
            link_bytes_per_second=self.link_bytes_per_second,
            service="ledger",
        )

    def show(self, view: View) -> None:
        """Delivers this configuration to every sidecar."""
        self.view = view
        for name in self.cores:
            self.feed(name, ConfigurationChanged(view))

    def health(self, name: str, *, state: str = READY, room: int = 2, instance: str = "") -> None:
        self.feed(
            name,
            HealthReported("ledger", instance or f"i-{name}", f"server-{name}", state, room, timedelta()),
        )

    def pass_time(self, seconds: float, *, step: float = 0.02, heartbeats: bool = True) -> None:
        """Ticks every core in steps; with `heartbeats`, ready servers keep reporting themselves ready."""
        until = self.timestamp + timedelta(seconds=seconds)
        while self.timestamp < until:
            self.timestamp += timedelta(seconds=step)
            for name, core in self.cores.items():
                if heartbeats and core.server is not None and core.server.state == READY:
                    core.server = core.server._replace(reported_at=self.timestamp)
                self.feed(name, Ticked())

    # -- requests -----------------------------------------------------------------------------------------------

    def ask(
        self,
        path: str = "/read/x",
        *,
        ingress: str = "s-1",
        key: str = "",
        budget: float | None = 3.0,
        body: bytes = b"",
        host: str = HOST,
        header_bytes: int = 100,
    ) -> int:
        self.tickets += 1
        ticket = self.tickets
        budget_span = None if budget is None else timedelta(seconds=budget)
        self.feed(
            ingress,
            RequestArrived(ticket, "POST", host, path, b"", header_bytes, body, budget_span, key, f"try-{ticket}"),
        )
        return ticket

    def disconnect(self, ticket: int, *, ingress: str = "s-1") -> None:
        """The client of this request closes its connection."""
        self.feed(ingress, ClientDisconnected(ticket))

    def arrive(self, name: str, call: Any) -> int:
        """Delivers a forwarded request directly to a sidecar; its answer is recorded under the returned ticket."""
        self.tickets += 1
        ticket = self.tickets
        self.feed(name, ForwardArrived(ticket, call))
        return ticket

    # -- servers -----------------------------------------------------------------------------------------

    def finish(self, *, status: int = 200, body: bytes = b"done", not_run: bool = False, at: str = "") -> RunOnServer:
        """Ends the oldest run, or the oldest at this sidecar, with an answer."""
        name, number = next(key for key in self.runs if not at or key[0] == at)
        run = self.runs.pop((name, number))
        self.feed(name, ServerAnswered(number, status, b"", body, not_run))
        return run

    def lose(self, *, unsent: bool = False, at: str = "") -> RunOnServer:
        """Fails the oldest run, or the oldest at this sidecar; with `unsent`, before its request was written."""
        name, number = next(key for key in self.runs if not at or key[0] == at)
        run = self.runs.pop((name, number))
        kind = ErrorKind.UNREACHABLE if unsent else ErrorKind.SILENT
        self.feed(name, ServerFailed(number, unsent, MeshError(kind, "no answer", "ask")))
        return run

    # -- commands ------------------------------------------------------------------------------------------------

    def feed(self, name: str, event: tuple) -> None:
        if self.leased:
            self.cores[name].lease_start = self.timestamp
        for command in self.cores[name].handle(event, now=self.timestamp):
            self.commands.append((name, command))
            self._carry_out(name, command)

    def _carry_out(self, name: str, command: tuple) -> None:
        match command:
            case Reply(ticket=ticket):
                assert ticket not in self.replies, "two final answers"
                self.replies[ticket] = command
            case ForwardRequest(number=number, address=address, call=call):
                target = address.removeprefix("at-")
                if target in self.refusing:
                    self.feed(name, ForwardFailed(number, True))
                elif target not in self.silent:
                    self.tickets += 1
                    self._pending_requests[target, self.tickets] = (name, number)
                    self.feed(target, ForwardArrived(self.tickets, call))
            case AnswerForward(ticket=ticket, answer=answer):
                assert ticket not in self.answers, "two answers to one forwarded request"
                self.answers[ticket] = answer
                if (name, ticket) in self._pending_requests:
                    source, number = self._pending_requests.pop((name, ticket))
                    self.feed(source, ForwardAnswered(number, answer))
            case RunOnServer(number=number):
                self.runs[name, number] = command
            case Abandon(address=address, call=call):
                target = address.removeprefix("at-")
                if target not in self.silent and target not in self.refusing:
                    self.tickets += 1
                    self.feed(target, AbandonArrived(self.tickets, call))
            case CancelRun(number=number):
                self.aborted.append(self.runs.pop((name, number)))
            case SubmitHold(number=number, command=record):
                self.feed(name, HoldAnswered(number, self.write(record) if self.core_up else None))
            case QueryClaim(number=number, address=address, call=call):
                holder = address.removeprefix("at-")
                if holder in self.silent or holder in self.refusing:
                    self.feed(name, ClaimQueryAnswered(number, None))
                else:
                    self.tickets += 1
                    self._claim_queries[holder, self.tickets] = (name, number)
                    self.feed(holder, ClaimQueryArrived(self.tickets, call))
            case AnswerClaimQuery(ticket=ticket, answer=answer):
                source, number = self._claim_queries.pop((name, ticket))
                self.feed(source, ClaimQueryAnswered(number, answer))

    def write(self, record: Any) -> Any:
        """Commits a record to the modelled log and returns its outcome."""
        self.log, outcome = apply(
            self.log,
            offset=self.log.offset + 1,
            epoch=1,
            stamp=self.timestamp,
            payload=pack_command(record),
        )
        return outcome

    def sent(self, kind: type = ForwardRequest) -> list[Any]:
        """Returns every command of this kind so far."""
        return [command for _, command in self.commands if isinstance(command, kind)]
