"""Model check of a sidecar's pending requests: every order of ended calls, timeouts, client disconnects and a stop.

It checks the records that one sidecar keeps of its clients' requests. A call is recorded from the command that makes it
to the event that ends it, and a key counts as working only while its request is pending or such a call is in flight.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.items import (
    IDEMPOTENT,
    ONCE_PER_ATTEMPT,
    ONCE_PER_KEY,
    ItemConfiguration,
    Part,
    RouteItem,
    ServiceItem,
)
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    ClientDisconnected,
    ConfigurationChanged,
    HoldAnswered,
    LeaseRenewed,
    StopRequested,
    SubmitHold,
    Ticked,
)
from hoistsaddle.rpc.messages import AnnounceBodyAnswer, ForwardAnswer
from hoistsaddle.sidecar.claim_records import WORKING
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import (
    AnnounceBody,
    BodyAnnouncementAnswered,
    CloseRequested,
    Follow,
    Followed,
    ForwardAnswered,
    ForwardFailed,
    ForwardRequest,
    GraceExpired,
    Reply,
    RequestArrived,
)
from hoistsaddle.sidecar.request_table import AttemptState
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import READY, NodeRecord, ServerRecord, State, initial_state
from hoistsaddle.statemachine.view import View

SIDECAR, TARGETS = "s-1", ("s-2", "s-3")
HOST, SERVICE = "shop.example", "ledger"
# The key of the first request and its repeat, and the key of another request.
KEY, OTHER_KEY = "key", "other key"
TICK = milliseconds(20)
# Longer than the first pause between two follow-ups, and than the pause before a claim is submitted again.
PAUSE = milliseconds(120)
BUDGET = timedelta(seconds=1)
KEY_LIFETIME = timedelta(seconds=75)
CONFLICT = 409
LARGE_BODY = b"x" * 20_000
# More rounds than it takes to end all calls of one request.
MAX_FINISH_ROUNDS = 200


class InconsistentRecords(Exception):
    """The records of a sidecar contradict the calls in flight."""


class CallInFlight(NamedTuple):
    """A command whose end hasn't been reported, and the key of its request, empty for none."""

    command: Any
    key: str


class Step(NamedTuple):
    """One step: the end of the call at this position among those in flight, or an event of the sidecar."""

    kind: str
    call: int = 0
    ending: str = ""


class RequestSpace(NamedTuple):
    """A kind of request, and the depth of its exploration in steps after its arrival."""

    name: str
    route_kind: str
    depth: int
    body: bytes = b"12.50"


class RequestExploration(NamedTuple):
    """The totals of an exploration; `broken` describes the violation, if any, and `path` leads to it."""

    name: str
    depth: int
    states: int
    steps: int
    conflicts: int
    broken: str = ""
    path: tuple[Step, ...] = ()

    def __str__(self) -> str:
        verdict = f"BROKEN {self.broken} by {[tuple(step) for step in self.path]}" if self.broken else "held"
        return (
            f"pending requests, {self.name}: depth {self.depth}, {self.states} states, {self.steps} steps, "
            f"{self.conflicts} conflicts answered, {verdict}"
        )


REQUEST_SPACES = (
    RequestSpace("a key", ONCE_PER_KEY, 5),
    RequestSpace("a key with a large body", ONCE_PER_KEY, 5, LARGE_BODY),
    RequestSpace("no repeats", ONCE_PER_ATTEMPT, 6),
    RequestSpace("repeatable", IDEMPOTENT, 6),
)
# The ways in which each kind of call may end.
ENDS: dict[type, tuple[str, ...]] = {
    ForwardRequest: ("answered", "not run", "unknown", "unsent", "broken"),
    Follow: ("answered", "not run", "unknown", "silent", "refused"),
    SubmitHold: ("taken", "unsure", "lost"),
    AnnounceBody: ("granted", "declined", "silent"),
}
# The end of each kind of call if nothing answers.
FAILURES = {ForwardRequest: "broken", Follow: "silent", SubmitHold: "lost", AnnounceBody: "silent"}


def _route(kind: Any) -> RouteItem:
    return RouteItem(
        name="route",
        host=HOST,
        prefix="/",
        kind=kind,
        parts=[Part(SERVICE)],
        hold_seconds=4.0,
        aim_seconds=0.5,
        rank=1,
        most_sends=3,
    )


def _view(kind: Any) -> View:
    items: dict[str, Any] = {"entry:route": _route(kind), f"service:{SERVICE}": ServiceItem(SERVICE)}
    return View(
        revision=1,
        items=ItemConfiguration(items=items),
        item_revisions=dict.fromkeys(items, 1),
        servers={
            name: ServerRecord(name, SERVICE, f"i-{name}", f"server-{name}", "a", READY, 1, "life", "", 1)
            for name in TARGETS
        },
        nodes={name: NodeRecord(name, "stall", f"at-{name}", "a", "life", "alive", 1) for name in (SIDECAR, *TARGETS)},
    )


class RequestModel:
    """The core of one sidecar, the log in which it claims keys, and its calls in flight."""

    def __init__(self, space: RequestSpace) -> None:
        self.now = timedelta(seconds=100)
        self.log: State = initial_state(mesh="m", voters={1: "one"}, operators={}, level=LEVEL)
        self.calls_in_flight: dict[int, CallInFlight] = {}
        self.replies: dict[int, Reply] = {}
        self.tickets = 0
        self.conflicts = 0
        self.stopped = self.client_left = self.repeated = self.other_arrived = False
        self.space = space
        self.core = SidecarCore(
            settings=CoreSettings(SIDECAR, "a", "life", timedelta(hours=1), timedelta(hours=1), 50, 50),
            seed=random.Random(1),
            now=self.now,
            service="other",
            server_address="server-s-1",
            drain_timeout=timedelta(seconds=2),
            retry_percent=20,
            retry_margin=10,
            key_lifetime=KEY_LIFETIME,
            max_configuration_age=timedelta(hours=1),
        )
        self.feed(LeaseRenewed(self.now))
        self.feed(ConfigurationChanged(_view(space.route_kind)))
        self.arrive()

    def arrive(self, key: str = KEY) -> None:
        """A client sends a request, with this key if the route uses keys."""
        self.tickets += 1
        key = key if self.space.route_kind == ONCE_PER_KEY else ""
        self.feed(
            RequestArrived(
                self.tickets, "POST", HOST, "/x", b"", 100, self.space.body, BUDGET, key, f"try-{self.tickets}"
            )
        )

    def feed(self, event: tuple) -> None:
        """Pass an event to the core, and record the calls and the replies that it returns."""
        requests = self.core.ingress.requests
        keys_before = self.keys_in_use()
        keys_by_ticket = {ticket: request.event.key for ticket, request in requests.requests.items()}
        if isinstance(event, RequestArrived):
            keys_by_ticket[event.ticket] = event.key
        commands: list[Any] = self.core.handle(event, now=self.now)
        for command in commands:
            if type(command) in ENDS:
                ticket = requests.tickets.get(command.number, 0)
                self.calls_in_flight[command.number] = CallInFlight(command, keys_by_ticket.get(ticket, ""))
            elif isinstance(command, Reply):
                self._replied(command, key_in_use=keys_by_ticket[command.ticket] in keys_before | self.keys_in_use())
        self.check()

    def _replied(self, reply: Reply, *, key_in_use: bool) -> None:
        if reply.ticket in self.replies:
            raise InconsistentRecords(f"request {reply.ticket} was answered twice")
        self.replies[reply.ticket] = reply
        if reply.status == CONFLICT:
            self.conflicts += 1
            if not key_in_use:
                raise InconsistentRecords("a key was answered with 409 although no call for it is in flight")

    def keys_in_use(self) -> set[str]:
        """Return the keys that are claimed by a pending request or belong to a forward or follow-up call in flight."""
        pending = {request.event.key for request in self.core.ingress.requests.requests.values() if request.claimed}
        return pending | {
            call.key for call in self.calls_in_flight.values() if isinstance(call.command, ForwardRequest | Follow)
        }

    # -- steps -------------------------------------------------------------------------------------------------------

    def steps(self) -> Iterator[Step]:
        """All steps that are possible next."""
        for position, call in enumerate(self.calls_in_flight.values()):
            for ending in ENDS[type(call.command)]:
                yield Step("end", position, ending)
        if self.core.ingress.requests.requests:
            yield Step("pause")
            yield Step("deadline")
            yield Step("deadline before the tick")
        if not self.client_left:
            yield Step("client leaves")
        if not self.stopped:
            yield Step("stop")
        if not self.repeated and self.space.route_kind == ONCE_PER_KEY:
            yield Step("repeat")
        if not self.other_arrived:
            yield Step("another request")

    def take(self, step: Step) -> None:
        """Execute one step."""
        match step.kind:
            case "end":
                self.end(list(self.calls_in_flight)[step.call], step.ending)
            case "pause":
                self.pass_time(PAUSE)
            case "deadline":
                self.pass_time(max(ZERO, self.next_deadline() - self.now))
            case "deadline before the tick":
                self.now = max(self.now, self.next_deadline())
            case "client leaves":
                self.client_left = True
                self.feed(ClientDisconnected(1))
            case "stop":
                self.stopped = True
                for event in (StopRequested(), CloseRequested(), GraceExpired()):
                    self.feed(event)
            case "repeat":
                self.repeated = True
                self.arrive()
            case "another request":
                self.other_arrived = True
                self.arrive(OTHER_KEY)

    def next_deadline(self) -> timedelta:
        """Return the earliest deadline of the pending requests."""
        return min(request.deadline for request in self.core.ingress.requests.requests.values())

    def pass_time(self, duration: timedelta) -> None:
        """Advance the time, then send a tick."""
        self.now += duration
        self.feed(Ticked())

    def end(self, number: int, ending: str) -> None:
        """End a call in flight in one of its ways."""
        call = self.calls_in_flight.pop(number).command
        match call:
            case ForwardRequest():
                self.feed(self._forward_end(call, ending))
            case Follow():
                answer = _forward_answer(call.call.attempt_id, ending)
                self.feed(Followed(number, answer, refused=ending == "refused"))
            case SubmitHold():
                outcome = self._write(call.command) if ending != "lost" else None
                self.feed(HoldAnswered(number, outcome if ending == "taken" else None))
            case AnnounceBody():
                answers = {"granted": AnnounceBodyAnswer("", 10**9), "declined": AnnounceBodyAnswer("link-full", 0)}
                self.feed(BodyAnnouncementAnswered(number, answers.get(ending)))

    def _forward_end(self, call: ForwardRequest, ending: str) -> tuple:
        answer = _forward_answer(call.call.attempt_id, ending)
        return (
            ForwardFailed(call.number, ending == "unsent") if answer is None else ForwardAnswered(call.number, answer)
        )

    def _write(self, command: Any) -> Any:
        self.log, outcome = apply(
            self.log, offset=self.log.offset + 1, epoch=1, stamp=self.now, payload=pack_command(command)
        )
        return outcome

    # -- properties --------------------------------------------------------------------------------------------------

    def check(self) -> None:
        """Raise InconsistentRecords if the sidecar has recorded a call that isn't in flight."""
        ingress = self.core.ingress
        calls = set(self.calls_in_flight)
        if unknown := set(ingress.requests.tickets) - calls:
            raise InconsistentRecords(f"calls {sorted(unknown)} are recorded but not in flight")
        late = set(ingress.keys.records.late_calls())
        if unknown := late - calls:
            raise InconsistentRecords(f"claims wait for calls {sorted(unknown)}, which aren't in flight")
        claimed = sum(request.claimed for request in ingress.requests.requests.values())
        working = ingress.keys.records.count_by_state().get(WORKING, 0)
        if working > claimed + len(late):
            raise InconsistentRecords(
                f"{working} claims are working, {claimed} requests are pending and {len(late)} calls late"
            )
        in_flight = sum(ingress.servers.load_of(target).in_flight for target in TARGETS)
        sent = sum(
            request.attempt_state in (AttemptState.SENT, AttemptState.ANNOUNCED)
            for request in ingress.requests.requests.values()
        )
        if in_flight != sent:
            raise InconsistentRecords(f"{in_flight} attempts count as load, and {sent} are in flight")

    def finish(self) -> None:
        """Fail every call and advance the time until no request is pending, and check that none remains."""
        for _ in range(MAX_FINISH_ROUNDS):
            if not self.calls_in_flight and not self.core.ingress.requests.requests:
                break
            for number in list(self.calls_in_flight):
                self.end(number, FAILURES[type(self.calls_in_flight[number].command)])
            self.pass_time(PAUSE)
        ingress = self.core.ingress
        remaining = (ingress.requests.requests, ingress.requests.tickets, ingress.keys.submitted, self.calls_in_flight)
        if any(remaining):
            raise InconsistentRecords(f"requests or calls never end: {remaining}")
        unanswered = set(range(1, self.tickets + 1)) - set(self.replies)
        if unanswered - ({1} if self.client_left else set()):
            raise InconsistentRecords(f"requests {sorted(unanswered)} were never answered")

    def key(self) -> Any:
        """Return a key that is equal for equivalent models, independent of call numbers."""
        ingress = self.core.ingress
        positions = {number: position for position, number in enumerate(self.calls_in_flight)}
        requests = tuple(
            (
                request.ticket,
                request.claimed,
                bool(request.claim),
                request.attempts,
                request.uncertain,
                request.attempt_state,
                request.follow_ups,
                request.target,
                tuple(sorted(request.excluded)),
                request.sidecars_tried,
                request.large_bodies_sent,
                bool(request.queried_claim),
                bool(request.replaces_claim),
                positions.get(request.call_number),
            )
            for request in ingress.requests.requests.values()
        )
        calls = tuple(
            (type(call.command).__name__, call.key, number in ingress.requests.tickets)
            for number, call in self.calls_in_flight.items()
        )
        records = tuple(sorted(ingress.keys.records.count_by_state().items()))
        replies = tuple(sorted((ticket, reply.status) for ticket, reply in self.replies.items()))
        holds = len(self.log.holds)
        events = (self.stopped, self.client_left, self.repeated, self.other_arrived)
        return (self.now, requests, calls, records, replies, holds, events)


def _forward_answer(attempt_id: str, ending: str) -> ForwardAnswer | None:
    outcomes = {
        "answered": (ANSWERED, ""),
        "not run": (NOT_RUN, str(ErrorKind.QUEUE_FULL)),
        "unknown": (UNKNOWN, str(ErrorKind.SILENT)),
    }
    if ending not in outcomes:
        return None
    outcome, error = outcomes[ending]
    return ForwardAnswer(attempt_id, outcome, error, 200 if outcome == ANSWERED else 0, b"", b"done", capacity=4)


def replay(space: RequestSpace, path: tuple[Step, ...]) -> RequestModel:
    """Return the model after these steps; raises InconsistentRecords if its records are wrong after one of them."""
    model = RequestModel(space)
    for step in path:
        model.take(step)
    return model


def explore_requests(
    space: RequestSpace, *, depth: int | None = None, make: Callable[..., RequestModel] = replay
) -> RequestExploration:
    """Explore all paths of a space up to its depth, and check that all requests end from each state.

    Args:
        space: the space to explore.
        depth: the maximum length of paths in steps; that of the space by default.
        make: returns the model after a path.
    """
    depth = space.depth if depth is None else depth
    seen: set[Any] = set()
    steps = conflicts = 0
    # Breadth first, so that a state is reached by a shortest path, which leaves the most steps for it.
    frontier: deque[tuple[Step, ...]] = deque([()])
    while frontier:
        path = frontier.popleft()
        steps += 1
        try:
            model = make(space, path)
            key = model.key()
            if key in seen:
                continue
            seen.add(key)
            following = list(model.steps()) if len(path) < depth else []
            model.finish()
        except InconsistentRecords as wrong:
            return RequestExploration(space.name, depth, len(seen), steps, conflicts, str(wrong), path)
        conflicts += model.conflicts
        frontier += [(*path, step) for step in following]
    return RequestExploration(space.name, depth, len(seen), steps, conflicts)
