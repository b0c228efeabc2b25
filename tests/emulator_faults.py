"""Faults injected into the product, at least one for each rule of the emulator, and the days that must reveal them."""

import random
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.items import ItemConfiguration
from hoistsaddle.proxy.health_reporter import HealthReporter
from hoistsaddle.proxy.retry_budget import RetryBudget
from hoistsaddle.proxy.server_reports import ServerReports
from hoistsaddle.raft.events import RaftTimings
from hoistsaddle.raft.files import Files
from hoistsaddle.raft.voter_changes import VoterChanges
from hoistsaddle.registry import controller
from hoistsaddle.registry.controller import Controller
from hoistsaddle.sidecar.attempt_follower import AttemptFollower, AttemptOutcome
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.ingress import IngressCore
from hoistsaddle.sidecar.listener import IngressHandler
from hoistsaddle.sidecar.messages import Reply
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest
from hoistsaddle.sidecar.server_selection import ServerSelection
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.deduplication import PatchCheck
from hoistsaddle.statemachine.state import READY
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import (
    LEFT,
    SNAPSHOT,
    Change,
    ChangeStorm,
    FinalFault,
    Freeze,
    InvalidChange,
    Kill,
    LargeChange,
    LateHeartbeats,
    LostAnswers,
    Misbehave,
    RepeatChange,
    ReplaceCore,
    ResetConnections,
    RestartServer,
    ScheduledEvent,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import draw_site


def small_day(*events: ScheduledEvent, seconds: float = 9.0, seed: int = 1) -> Day:
    return Day(seed, draw_site(seed, small=True), events, seconds)


SERVICES = tuple(service_spec.name for service_spec in draw_site(1, small=True).services)
CALM = small_day(seconds=6.0)
# Planned events: added and moved routes, an invalid change, restarted servers and a machine's stop.
PLANNED = small_day(
    Change(0.5, "add", 1),
    Change(1.0, "move", 7),
    InvalidChange(1.5, "aim", 3),
    RestartServer(2.0, "side-00"),
    Change(3.0, "drop", 2),
    Stop(4.0, "side-03", 0.3),
    RestartServer(4.0, "side-02"),
)
# Long enough that the retry margin accumulates and is used up many times.
LOSSES = small_day(Misbehave(0.5, SERVICES[1], 0.6, 14.0, "cut"), seconds=16.0)
FAILURES = small_day(Misbehave(0.5, SERVICES[0], 0.8, 9.0, "failure"))
# A high request rate, so that some requests are in flight whenever a machine stops.
STOPS = Day(
    1,
    draw_site(1, small=True)._replace(rate=40.0),
    tuple(Stop(1.0 + place, f"side-{place:02d}", 0.3) for place in range(4)),
    5.0,
)
ENDED = small_day(FinalFault(3.0, "kill", 0.5), seconds=3.0)
# A core machine loses its disk and rejoins; in calm, another disk is lost, and the other core loses power.
SWAPPED = small_day(
    Kill(0.5, ("core-1",), 0.5, power=True, wipe=True), FinalFault(7.0, "wipe and power", 0.5), seconds=7.0
)
# Eight changes at once, a large one, lost answers, reset connections, and changes that are repeated much later.
REPEATED = small_day(
    LostAnswers(0.5, 0.7, 6.0),
    Change(0.6, "move", 7),
    Change(0.7, "times", 8, operators=8),
    ChangeStorm(1.0, 24, 0.05, 3),
    LargeChange(1.5, 60),
    ResetConnections(2.5, ("core-0", "core-1", "core-2"), 1.0),
    ResetConnections(3.0, ("side-00", "side-01"), 1.0),
    RepeatChange(4.0, 0),
    RepeatChange(5.0, 3),
    Kill(5.5, ("core-0",), 0.5, power=True),
    RepeatChange(7.0, 5),
    RepeatChange(7.5, 9),
)
# Power is lost during a snapshot, then on all core machines, and finally everywhere during another snapshot.
SNAPSHOTS = Day(
    1,
    draw_site(1, small=True)._replace(snapshot_records=30),
    (
        ChangeStorm(0.3, 40, 0.1, 3),
        TriggeredFault(0.5, "power", 0.5, SNAPSHOT),
        Kill(5.5, ("core-0", "core-1", "core-2"), 0.3, power=True),
        FinalFault(11.0, "power", 0.5, SNAPSHOT),
    ),
    11.0,
)
# Operators submit different contents at one revision, half of their answers are lost, and old changes are repeated.
CONTESTED = small_day(
    LostAnswers(0.4, 0.5, 5.0),
    Change(0.5, "move", 7, operators=2, contested=True),
    Change(1.5, "move", 8, operators=4, contested=True),
    Change(2.5, "times", 9),
    RepeatChange(3.5, 1),
    Change(4.0, "move", 10, operators=2, contested=True),
    RepeatChange(6.0, 3),
)
# Two core machines are permanently lost, one after the other, and replaced by empty ones at other addresses.
REPLACED = small_day(
    ReplaceCore(0.5, "core-1", 0.5), Change(3.0, "times", 3), ReplaceCore(6.0, "core-0", 0.5), seconds=9.0
)
# Servers deregister and keep serving: the last heartbeats of two arrive afterwards, and the sidecars of the other two
# are killed right afterwards.
LEAVING = small_day(
    LateHeartbeats(0.2, "side-00", 6.0, 3.0),
    LateHeartbeats(0.2, "side-01", 6.0, 3.0),
    RestartServer(1.5, "side-00", announced=False),
    RestartServer(2.5, "side-01", announced=False),
    TriggeredFault(4.0, "kill", 0.3, LEFT),
    RestartServer(4.1, "side-02", announced=False),
    TriggeredFault(7.0, "kill", 0.3, LEFT),
    RestartServer(7.1, "side-03", announced=False),
    seconds=14.0,
)
# Both servers of the keyed requests freeze for longer than the requests' deadline (4 s at this seed's site), and some
# clients send their requests again later.
FROZEN = small_day(Freeze(1.0, ("side-02", "side-03"), 5.0), seconds=14.0, seed=5)
DAYS = {
    "frozen": FROZEN,
    "leaving": LEAVING,
    "replaced": REPLACED,
    "contested": CONTESTED,
    "snapshots": SNAPSHOTS,
    "repeated": REPEATED,
    "calm": CALM,
    "planned": PLANNED,
    "stops": STOPS,
    "losses": LOSSES,
    "failures": FAILURES,
    "ended": ENDED,
    "swapped": SWAPPED,
}


class InjectedFault(NamedTuple):
    """A deliberate fault in the product, the rules that must detect it, and the day on which it is played."""

    name: str
    # Each of them must detect the fault.
    rules: tuple[str, ...]
    day: str
    patch: Callable[[], object]


def _answers_swapped():
    original, kept = IngressHandler._respond, {}

    def swapped(self: IngressHandler, answer: Reply):
        before = kept.get("answer")
        if answer.error is None:
            kept["answer"] = answer
        return original(self, answer if before is None or answer.error else answer._replace(body=before.body))

    return mock.patch.object(IngressHandler, "_respond", swapped)


def _key_answers_forgotten():
    """A repeated key gets the last answer of its ingress, whichever request that belonged to."""
    original, kept = IngressHandler._respond, {}

    def other(self: IngressHandler, answer: Reply):
        before = kept.get("answer", answer)
        if answer.error is None:
            kept["answer"] = answer
        return original(self, before if answer.error is None else answer)

    return mock.patch.object(IngressHandler, "_respond", other)


def _unanswered_follow_calls_count_as_in_flight():
    """The fault of issue 40: between two follow calls, a call that isn't being made counts as in flight."""
    original = AttemptFollower._unanswered

    def reopened(self: AttemptFollower, request: PendingRequest) -> AttemptOutcome:
        outcome = original(self, request)
        if outcome is AttemptOutcome.UNKNOWN:
            # As before the fix: the next tick ends the request.
            outcome = AttemptOutcome.PENDING
        request.attempt_state = AttemptState.BETWEEN_FOLLOW_CALLS
        self._requests.tickets[request.call_number] = request.ticket
        return outcome

    return mock.patch.object(AttemptFollower, "_unanswered", reopened)


def _callers_unnamed():
    original = SidecarNode._forward_attempt
    return mock.patch.object(
        SidecarNode,
        "_forward_attempt",
        lambda self, command, **arguments: original(
            self, command._replace(call=command.call._replace(caller="somebody")), **arguments
        ),
    )


def _paths_changed():
    original = SidecarNode._forward_attempt
    return mock.patch.object(
        SidecarNode,
        "_forward_attempt",
        lambda self, command, **arguments: original(
            self, command._replace(call=command.call._replace(path=command.call.path + b"?more")), **arguments
        ),
    )


def _every_claim_granted():
    return mock.patch(
        "hoistsaddle.statemachine.idempotency.claim",
        lambda state, command: (state, Outcome(detail={"phase": "granted"})),
    )


def _uncertain_attempts_are_repeated():
    def again(self: IngressCore, request: PendingRequest, error: MeshError) -> None:
        request.uncertain, request.last_error = True, error
        request.excluded.add(request.target)
        self._place(request)

    return mock.patch.object(IngressCore, "_attempt_uncertain", again)


def _unknown_outcome_is_reported_as_not_run():
    def unknown(self: IngressCore, request: PendingRequest) -> None:
        self._reply(request, 503, error=MeshError(ErrorKind.SILENT, "planted", "planted"), retry_after=milliseconds(50))

    return mock.patch.object(IngressCore, "_answer_unknown", unknown)


def _some_entries_unknown():
    original, rng = ItemConfiguration.match_route, random.Random(1)
    return mock.patch.object(
        ItemConfiguration,
        "match_route",
        lambda self, **arguments: None if rng.random() < 0.3 else original(self, **arguments),
    )


def _route_to_any_service():
    def any_service(self: IngressCore, route) -> str:
        return self._state.random.choice(sorted(self._state.view.items.services))

    return mock.patch.object(IngressCore, "_pick_service", any_service)


def _leaving_counts_as_ready():
    return mock.patch.dict(adapter("handlers").STATES, {adapter("samples").LEAVING: READY})


def _late_heartbeats_count():
    return mock.patch.object(ServerReports, "has_signed_off", lambda self, instance: False)


def _leaves_are_not_recorded():
    async def at_once(self: HealthReporter, serial: int, **arguments) -> bool:
        return True

    return mock.patch.object(HealthReporter, "wait_recorded", at_once)


def _stops_answer_for_servers():
    original = SidecarNode.wind_down

    async def at_once(self: SidecarNode, **arguments) -> None:
        for ticket in list(self.core.ingress.requests.requests):
            future = self.answers.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(Reply(ticket, 502, b"", b"", MeshError(ErrorKind.SILENT, "planted", "planted"), None))
        await original(self, **arguments)

    return mock.patch.object(SidecarNode, "wind_down", at_once)


def _stops_cancel_requests():
    original = SidecarNode.wind_down

    async def at_once(self: SidecarNode, **arguments) -> None:
        for future in self.answers.values():
            future.cancel()
        await original(self, **arguments)

    return mock.patch.object(SidecarNode, "wind_down", at_once)


def _first_items_kept():
    original = SidecarCore._configuration_changed

    def first(self: SidecarCore, view) -> None:
        kept = self.view.items
        original(self, view if kept is None else view._replace(items=kept))

    return mock.patch.object(SidecarCore, "_configuration_changed", first)


def _items_alternate():
    """Every second request is handled by the first configuration that its proxy applied."""
    original = IngressCore.request_arrived

    def alternating(self: IngressCore, event) -> None:
        now = self._state.view
        self.first_items = getattr(self, "first_items", None) or now.items
        self.turn = not getattr(self, "turn", False)
        if self.turn:
            self._state.view = now._replace(items=self.first_items)
        original(self, event)
        self._state.view = now

    return mock.patch.object(IngressCore, "request_arrived", alternating)


def _entries_unchecked():
    return mock.patch("hoistsaddle.config.item_checks._check_route", lambda entry, where: None)


def _patches_unanswered():
    async def patch(self: Controller, patch):
        import asyncio

        await asyncio.sleep(2.0)

    original = Controller.patch

    async def first_alone(self: Controller, patch):
        # The first configuration is accepted, because the day depends on it.
        return await original(self, patch) if len(patch.sets) > 4 else await Controller.planted(self, patch)

    return mock.patch.multiple(Controller, patch=first_alone, planted=patch, create=True)


def _folders_unsynced():
    return mock.patch.object(Files, "sync_folder", lambda self, folder: None)


def _voters_are_never_replaced():
    return mock.patch.object(VoterChanges, "_growth_or_replacement", lambda self: None)


def _repeated_changes_are_rejected():
    """A confirmed change is rejected when it is submitted again."""
    original, taken = Controller.patch, set()

    async def once(self: Controller, patch):
        encoded = repr(patch)
        if encoded in taken:
            return Failure(MeshError(ErrorKind.ITEM_BROKEN, "planted", "planted"))
        answer = await original(self, patch)
        if isinstance(answer, Success):
            taken.add(encoded)
        return answer

    return mock.patch.object(Controller, "patch", once)


def _contents_are_not_compared():
    return mock.patch("hoistsaddle.statemachine.items.check_duplicate", lambda *arguments: PatchCheck(None))


def _valid_changes_are_rejected():
    original = Controller.patch

    async def refusing(self: Controller, patch):
        # The first configuration is accepted, because the day depends on it.
        if len(patch.sets) > 4:
            return await original(self, patch)
        return Failure(MeshError(ErrorKind.ITEM_BROKEN, "planted", "planted"))

    return mock.patch.object(Controller, "patch", refusing)


def _an_item_is_missing_when_read():
    original = Controller.read_items

    async def short(self: Controller, **arguments):
        return (await original(self, **arguments)).bind(lambda items: Success(items[1:]))

    return mock.patch.object(Controller, "read_items", short)


def _retries_are_unbounded():
    return mock.patch.object(RetryBudget, "try_spend", lambda self, service, *, now: "share")


def _slow_elections_after_the_first():
    starts: list[None] = []

    def timings(**arguments) -> RaftTimings:
        starts.append(None)
        slow = milliseconds(600000) if len(starts) > 3 else milliseconds(500)
        return RaftTimings(election_timeout_min=slow, election_timeout_max=slow * 1.5, **arguments)

    return mock.patch.object(controller, "RaftTimings", timings)


def _some_answers_raise():
    original, rng = IngressHandler._respond, random.Random(1)

    def raising(self: IngressHandler, answer: Reply):
        if rng.random() < 0.05:
            raise RuntimeError("planted")
        return original(self, answer)

    return mock.patch.object(IngressHandler, "_respond", raising)


def _no_server_is_selected():
    return mock.patch.object(ServerSelection, "select", lambda self, request: None)


INJECTED_FAULTS = (
    InjectedFault("answers are swapped", ("MIXED",), "calm", _answers_swapped),
    InjectedFault("answers of other keys", ("MIXED",), "calm", _key_answers_forgotten),
    InjectedFault(
        "unanswered questions count", ("MIXED at work",), "frozen", _unanswered_follow_calls_count_as_in_flight
    ),
    InjectedFault("callers go untold", ("UNASKED",), "calm", _callers_unnamed),
    InjectedFault("paths are changed", ("UNASKED",), "calm", _paths_changed),
    InjectedFault("every claim is granted", ("TWICE",), "calm", _every_claim_granted),
    InjectedFault("uncertain sends are repeated", ("TWICE",), "losses", _uncertain_attempts_are_repeated),
    InjectedFault("unknown is called not run", ("REFUSED",), "losses", _unknown_outcome_is_reported_as_not_run),
    InjectedFault("some entries are unknown", ("DENIED",), "calm", _some_entries_unknown),
    InjectedFault("any service will do", ("ROUTE",), "calm", _route_to_any_service),
    InjectedFault("leaving is ready", ("DRAIN",), "planned", _leaving_counts_as_ready),
    InjectedFault("late heartbeats count", ("DRAIN",), "leaving", _late_heartbeats_count),
    InjectedFault("leaves are not recorded", ("DRAIN",), "leaving", _leaves_are_not_recorded),
    InjectedFault("a stop answers for its servers", ("LOST",), "stops", _stops_answer_for_servers),
    InjectedFault("a stop breaks off", ("LOST",), "stops", _stops_cancel_requests),
    InjectedFault("the first items are kept", ("CONFIG",), "planned", _first_items_kept),
    InjectedFault("items waver", ("CONFIG back",), "planned", _items_alternate),
    InjectedFault("entries are unchecked", ("CONFIG orders",), "planned", _entries_unchecked),
    InjectedFault("patches go unanswered", ("CONFIG orders",), "planned", _patches_unanswered),
    InjectedFault("an item is not read", ("CONFIG read-back",), "calm", _an_item_is_missing_when_read),
    InjectedFault("folders are not synced", ("CONFIG read-back",), "snapshots", _folders_unsynced),
    InjectedFault("contents are not compared", ("CONFIG one content",), "contested", _contents_are_not_compared),
    InjectedFault("valid orders are refused", ("CONFIG one content",), "planned", _valid_changes_are_rejected),
    InjectedFault("nobody is replaced", ("CONFIG majority",), "replaced", _voters_are_never_replaced),
    InjectedFault("repeats are refused", ("CONFIG taken",), "repeated", _repeated_changes_are_rejected),
    InjectedFault("further sends are unbounded", ("BUDGET",), "failures", _retries_are_unbounded),
    InjectedFault("elections are slow", ("RECOVER", "CONFIG majority"), "ended", _slow_elections_after_the_first),
    InjectedFault("some answers raise", ("FAULT",), "calm", _some_answers_raise),
    InjectedFault("nobody is selected", ("GATE",), "calm", _no_server_is_selected),
)
