"""Faults planted in the product, one or more for each rule of the arcade, and the day on which each must be caught."""

import random
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.items import ItemSetup
from hoistsaddle.proxy.further import FurtherSends
from hoistsaddle.raft.events import Pace
from hoistsaddle.raft.files import Files
from hoistsaddle.raft.voterchanges import VoterChanges
from hoistsaddle.registry import controller
from hoistsaddle.registry.controller import Controller
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.door import Door
from hoistsaddle.sidecar.entry import EntrySide
from hoistsaddle.sidecar.messages import Reply
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.orders import OrderCheck
from hoistsaddle.statemachine.state import READY
from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.site import draw_site
from hoistsaddle.testbed.emulator.troubles import (
    SNAPSHOT,
    AfterWord,
    Again,
    BadOrder,
    Change,
    Closing,
    Happening,
    Kill,
    Large,
    LostWords,
    Misbehave,
    Release,
    ReplaceCore,
    Reset,
    Stop,
    Storm,
)


def small_day(*happenings: Happening, seconds: float = 9.0, seed: int = 1) -> Day:
    return Day(seed, draw_site(seed, small=True), happenings, seconds)


SERVICES = tuple(shape.name for shape in draw_site(1, small=True).services)
CALM = small_day(seconds=6.0)
# What is planned: new routes, moves, an invalid order, a server's leaving and a machine's stop.
PLANNED = small_day(
    Change(0.5, "add", 1),
    Change(1.0, "move", 7),
    BadOrder(1.5, "aim", 3),
    Release(2.0, "side-00"),
    Change(3.0, "drop", 2),
    Stop(4.0, "side-03", 0.3),
    Release(4.0, "side-02"),
)
# Long enough that the margin for further sends has come up and is used many times over.
LOSSES = small_day(Misbehave(0.5, SERVICES[1], 0.6, 14.0, "cut"), seconds=16.0)
FAILURES = small_day(Misbehave(0.5, SERVICES[0], 0.8, 9.0, "failure"))
# Many requests, so that some are under way wherever a machine stops.
STOPS = Day(
    1,
    draw_site(1, small=True)._replace(rate=40.0),
    tuple(Stop(1.0 + place, f"side-{place:02d}", 0.3) for place in range(4)),
    5.0,
)
ENDED = small_day(Closing(3.0, "kill", 0.5), seconds=3.0)
# A core machine loses its disk and is taken in again; then, in calm, another one's disk goes and all power with it.
SWAPPED = small_day(
    Kill(0.5, ("core-1",), 0.5, power=True, wipe=True), Closing(7.0, "wipe and power", 0.5), seconds=7.0
)
# Eight orders at once, a large one, answers lost and connections reset, and orders that come again long after.
REPEATED = small_day(
    LostWords(0.5, 0.7, 6.0),
    Change(0.6, "move", 7),
    Change(0.7, "times", 8, desks=8),
    Storm(1.0, 24, 0.05, 3),
    Large(1.5, 60),
    Reset(2.5, ("core-0", "core-1", "core-2"), 1.0),
    Reset(3.0, ("side-00", "side-01"), 1.0),
    Again(4.0, 0),
    Again(5.0, 3),
    Kill(5.5, ("core-0",), 0.5, power=True),
    Again(7.0, 5),
    Again(7.5, 9),
)
# Power goes as a snapshot is written, then everywhere, and at last everywhere again as one is written.
SNAPSHOTS = Day(
    1,
    draw_site(1, small=True)._replace(snapshot_records=30),
    (
        Storm(0.3, 40, 0.1, 3),
        AfterWord(0.5, "power", 0.5, SNAPSHOT),
        Kill(5.5, ("core-0", "core-1", "core-2"), 0.3, power=True),
        Closing(11.0, "power", 0.5, SNAPSHOT),
    ),
    11.0,
)
# Desks with other contents under one version, their answers lost half of the time, and old orders again.
CONTESTED = small_day(
    LostWords(0.4, 0.5, 5.0),
    Change(0.5, "move", 7, desks=2, contested=True),
    Change(1.5, "move", 8, desks=4, contested=True),
    Change(2.5, "times", 9),
    Again(3.5, 1),
    Change(4.0, "move", 10, desks=2, contested=True),
    Again(6.0, 3),
)
# Two core machines are gone for good, one after the other, and empty ones come at other addresses.
REPLACED = small_day(
    ReplaceCore(0.5, "core-1", 0.5), Change(3.0, "times", 3), ReplaceCore(6.0, "core-0", 0.5), seconds=9.0
)
DAYS = {
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


class Plant(NamedTuple):
    name: str
    # All of them have to see it.
    rules: tuple[str, ...]
    day: str
    patch: Callable[[], object]


def _answers_swapped():
    plain, kept = Door._respond, {}

    def swapped(self: Door, answer: Reply):
        before = kept.get("answer")
        if answer.mishap is None:
            kept["answer"] = answer
        return plain(self, answer if before is None or answer.mishap else answer._replace(body=before.body))

    return mock.patch.object(Door, "_respond", swapped)


def _key_answers_forgotten():
    """A repeat of a key gets whatever answer its door gave last."""
    plain, kept = Door._respond, {}

    def other(self: Door, answer: Reply):
        before = kept.get("answer", answer)
        if answer.mishap is None:
            kept["answer"] = answer
        return plain(self, before if answer.mishap is None else answer)

    return mock.patch.object(Door, "_respond", other)


def _callers_untold():
    plain = SidecarNode._deal_on
    return mock.patch.object(
        SidecarNode,
        "_deal_on",
        lambda self, command, **needs: plain(
            self, command._replace(call=command.call._replace(caller="somebody")), **needs
        ),
    )


def _paths_changed():
    plain = SidecarNode._deal_on
    return mock.patch.object(
        SidecarNode,
        "_deal_on",
        lambda self, command, **needs: plain(
            self, command._replace(call=command.call._replace(path=command.call.path + b"?more")), **needs
        ),
    )


def _every_claim_granted():
    return mock.patch(
        "hoistsaddle.statemachine.keys.claim", lambda state, command: (state, Outcome(detail={"phase": "granted"}))
    )


def _uncertain_is_sent_again():
    def again(self: EntrySide, ticket: int, deal, mishap) -> None:
        deal.uncertain, deal.why = True, mishap
        deal.avoid.add(deal.target.stall)
        self._place(ticket)

    return mock.patch.object(EntrySide, "_uncertain", again)


def _unknown_is_called_not_run():
    def unknown(self: EntrySide, ticket: int) -> None:
        self._reply(ticket, 503, mishap=Mishap(MishapKind.SILENT, "planted", "planted"), retry_after=milliseconds(50))

    return mock.patch.object(EntrySide, "_unknown", unknown)


def _some_entries_unknown():
    plain, draw = ItemSetup.select_entry, random.Random(1)
    return mock.patch.object(
        ItemSetup, "select_entry", lambda self, **needs: None if draw.random() < 0.3 else plain(self, **needs)
    )


def _any_service_will_do():
    def any_service(self: EntrySide, entry) -> str:
        return self.random.choice(sorted(self.view.items.services))

    return mock.patch.object(EntrySide, "_select_service", any_service)


def _leaving_is_ready():
    return mock.patch.dict(adapter("handlers").STATES, {"decaying": READY})


def _stops_answer_for_servers():
    plain = SidecarNode.wind_down

    async def at_once(self: SidecarNode, **needs) -> None:
        for ticket in list(self.core.deals):
            future = self.answers.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(Reply(ticket, 502, b"", b"", Mishap(MishapKind.SILENT, "planted", "planted"), None))
        await plain(self, **needs)

    return mock.patch.object(SidecarNode, "wind_down", at_once)


def _stops_break_off():
    plain = SidecarNode.wind_down

    async def at_once(self: SidecarNode, **needs) -> None:
        for future in self.answers.values():
            future.cancel()
        await plain(self, **needs)

    return mock.patch.object(SidecarNode, "wind_down", at_once)


def _first_items_kept():
    plain = SidecarCore._setup

    def first(self: SidecarCore, view) -> None:
        kept = self.view.items
        plain(self, view if kept is None else view._replace(items=kept))

    return mock.patch.object(SidecarCore, "_setup", first)


def _items_waver():
    """Each second request is judged by the first items that its stall took up."""
    plain = EntrySide._asked

    def wavering(self: EntrySide, event) -> None:
        now = self.view
        self.first_items = getattr(self, "first_items", None) or now.items
        self.turn = not getattr(self, "turn", False)
        if self.turn:
            self.view = now._replace(items=self.first_items)
        plain(self, event)
        self.view = now

    return mock.patch.object(EntrySide, "_asked", wavering)


def _entries_unchecked():
    return mock.patch("hoistsaddle.config.items._check_entry", lambda entry, where: None)


def _patches_unanswered():
    async def patch(self: Controller, patch):
        import asyncio

        await asyncio.sleep(2.0)

    plain = Controller.patch

    async def first_alone(self: Controller, patch):
        # The first setup goes through, so that there is a day.
        return await plain(self, patch) if len(patch.sets) > 4 else await Controller.planted(self, patch)

    return mock.patch.multiple(Controller, patch=first_alone, planted=patch, create=True)


def _folders_unsynced():
    return mock.patch.object(Files, "sync_folder", lambda self, folder: None)


def _nobody_is_replaced():
    return mock.patch.object(VoterChanges, "_growth_or_replacement", lambda self: None)


def _repeats_are_refused():
    """What was taken is refused when it comes again."""
    plain, taken = Controller.patch, set()

    async def once(self: Controller, patch):
        said = repr(patch)
        if said in taken:
            return Failure(Mishap(MishapKind.ITEM_BROKEN, "planted", "planted"))
        answer = await plain(self, patch)
        if isinstance(answer, Success):
            taken.add(said)
        return answer

    return mock.patch.object(Controller, "patch", once)


def _contents_are_not_compared():
    return mock.patch("hoistsaddle.statemachine.items.check_order", lambda *needs: OrderCheck(None))


def _valid_orders_are_refused():
    plain = Controller.patch

    async def refusing(self: Controller, patch):
        # The first setup goes through, so that there is a day.
        if len(patch.sets) > 4:
            return await plain(self, patch)
        return Failure(Mishap(MishapKind.ITEM_BROKEN, "planted", "planted"))

    return mock.patch.object(Controller, "patch", refusing)


def _an_item_is_not_read():
    plain = Controller.read_items

    async def short(self: Controller, **needs):
        return (await plain(self, **needs)).bind(lambda items: Success(items[1:]))

    return mock.patch.object(Controller, "read_items", short)


def _further_sends_unbounded():
    return mock.patch.object(FurtherSends, "gate", lambda self, service, *, now: "share")


def _slow_elections_after_the_first():
    starts: list[None] = []

    def pace(**needs) -> Pace:
        starts.append(None)
        slow = milliseconds(600000) if len(starts) > 3 else milliseconds(500)
        return Pace(election_least=slow, election_most=slow * 1.5, **needs)

    return mock.patch.object(controller, "Pace", pace)


def _some_answers_raise():
    plain, draw = Door._respond, random.Random(1)

    def raising(self: Door, answer: Reply):
        if draw.random() < 0.05:
            raise RuntimeError("planted")
        return plain(self, answer)

    return mock.patch.object(Door, "_respond", raising)


def _nobody_is_selected():
    return mock.patch.object(EntrySide, "_select", lambda self, deal: None)


PLANTS = (
    Plant("answers are swapped", ("MIXED",), "calm", _answers_swapped),
    Plant("answers of other keys", ("MIXED",), "calm", _key_answers_forgotten),
    Plant("callers go untold", ("UNASKED",), "calm", _callers_untold),
    Plant("paths are changed", ("UNASKED",), "calm", _paths_changed),
    Plant("every claim is granted", ("TWICE",), "calm", _every_claim_granted),
    Plant("uncertain sends are repeated", ("TWICE",), "losses", _uncertain_is_sent_again),
    Plant("unknown is called not run", ("REFUSED",), "losses", _unknown_is_called_not_run),
    Plant("some entries are unknown", ("DENIED",), "calm", _some_entries_unknown),
    Plant("any service will do", ("ROUTE",), "calm", _any_service_will_do),
    Plant("leaving is ready", ("DRAIN",), "planned", _leaving_is_ready),
    Plant("a stop answers for its servers", ("LOST",), "stops", _stops_answer_for_servers),
    Plant("a stop breaks off", ("LOST",), "stops", _stops_break_off),
    Plant("the first items are kept", ("CONFIG",), "planned", _first_items_kept),
    Plant("items waver", ("CONFIG back",), "planned", _items_waver),
    Plant("entries are unchecked", ("CONFIG orders",), "planned", _entries_unchecked),
    Plant("patches go unanswered", ("CONFIG orders",), "planned", _patches_unanswered),
    Plant("an item is not read", ("CONFIG read-back",), "calm", _an_item_is_not_read),
    Plant("folders are not synced", ("CONFIG read-back",), "snapshots", _folders_unsynced),
    Plant("contents are not compared", ("CONFIG one content",), "contested", _contents_are_not_compared),
    Plant("valid orders are refused", ("CONFIG one content",), "planned", _valid_orders_are_refused),
    Plant("nobody is replaced", ("CONFIG majority",), "replaced", _nobody_is_replaced),
    Plant("repeats are refused", ("CONFIG taken",), "repeated", _repeats_are_refused),
    Plant("further sends are unbounded", ("BUDGET",), "failures", _further_sends_unbounded),
    Plant("elections are slow", ("RECOVER", "CONFIG majority"), "ended", _slow_elections_after_the_first),
    Plant("some answers raise", ("FAULT",), "calm", _some_answers_raise),
    Plant("nobody is selected", ("GATE",), "calm", _nobody_is_selected),
)
