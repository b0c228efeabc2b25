"""Faults planted in the code, one for each line of "What must never happen", and where each must be caught."""

import contextlib
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy import entry
from hoistsaddle.proxy.core import ProxyCore
from hoistsaddle.proxy.further import FurtherSends
from hoistsaddle.proxy.messages import RequestArrived
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.raft import applying
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Answer, Pace, Send
from hoistsaddle.registry.service import Registry
from hoistsaddle.statemachine import bundles, fleet, itemmemory, keys
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.store import service
from hoistsaddle.testbed.simulation import hardships, orders, rules, scenarios


class Plant(NamedTuple):
    name: str
    line: str
    deployment: str
    scenario: scenarios.Scenario
    seeds: tuple[int, ...]
    patch: Callable[[], object]


def _newest_revision_alone():
    plain = itemmemory.meet

    def planted(memory, *, revision: int, digest: bytes):
        overtaken = memory is not None and revision < memory.taken[-1].revision
        return itemmemory.Meeting.OVERTAKEN if overtaken else plain(memory, revision=revision, digest=digest)

    return mock.patch("hoistsaddle.statemachine.orders.meet", planted)


def _every_claim_granted():
    return mock.patch(
        "hoistsaddle.statemachine.keys.claim", lambda state, command: (state, Outcome(detail={"phase": "granted"}))
    )


def _uncertain_said_not_run():
    def not_run(self: ProxyCore, ticket: int, mishap) -> None:
        self._not_run(ticket, mishap)

    return mock.patch.object(ProxyCore, "_uncertain", not_run)


def _answers_swapped():
    kept: dict[str, object] = {}
    plain = ProxyCore._server_answered

    def swapped(self: ProxyCore, event) -> None:
        # Every second answer is the one before it.
        before = kept.get("event")
        kept["event"] = event
        plain(self, event._replace(body=before.body) if before is not None else event)

    return mock.patch.object(ProxyCore, "_server_answered", swapped)


def _target_admits_all():
    return mock.patch.object(ProxyCore, "_gate", lambda self, event: None)


def _inner_calls_as_visitors():
    plain = ProxyCore._request

    def unnamed(self: ProxyCore, event: RequestArrived) -> None:
        plain(self, event._replace(caller="") if event.path == "/readings" else event)

    return mock.patch.object(ProxyCore, "_request", unnamed)


def _leaving_goes_unseen():
    return mock.patch.object(ProxyCore, "server_state", lambda self: "ready" if self.server else "gone")


def _accepted_without_waiting():
    async def at_once(self: Registry, *, revision, stalls, committed) -> dict[str, str]:
        return dict.fromkeys(stalls(), "taken up")

    return mock.patch.object(Registry, "await_uptake", at_once)


def _bundles_unchecked():
    return mock.patch("hoistsaddle.config.bundle._check", lambda bundle: None)


def _stop_without_finishing():
    async def at_once(self: ProxyNode) -> None:
        return None

    return mock.patch.object(ProxyNode, "finish", at_once)


def _further_sends_unbounded():
    return mock.patch.object(FurtherSends, "gate", lambda self, service, *, now: "share")


def _margin_of_one_each():
    plain = entry.part_of
    return mock.patch.object(entry, "part_of", lambda **needs: max(1, plain(**needs)))


def _claims_by_name():
    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(keys, "claim", keys._claim_by_scope))
    patches.enter_context(mock.patch.object(bundles, "_renames_held", lambda state, number: False))
    return patches


def _other_credentials_other_visitor():
    return mock.patch.object(
        keys, "_told_apart", lambda hold, command: (hold.by, hold.who) != (command.by, command.who)
    )


def _judged_by_the_target_alone():
    return mock.patch.object(entry, "number_of", lambda bundle: 0)


def _newer_records_passed_over():
    plain = applying.apply

    def passing(state, **needs):
        return plain(state, **{**needs, "supported": 99})

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(applying, "apply", passing))
    patches.enter_context(mock.patch.object(RaftCore, "_halt", lambda self, why: None))
    return patches


def _copies_taken_as_sent():
    plain = Relay.polled

    def blind(self: Relay, answer, *, sent) -> bool:
        return plain(self, answer._replace(vouched=()), sent=sent)

    return mock.patch.multiple(Relay, polled=blind, sound=lambda self: True)


def _waits_for_ever():
    return mock.patch.object(entry, "GAP", milliseconds(100000))


def _inner_door_names_whoever_came_last():
    plain = ProxyCore._request

    def trusting(self: ProxyCore, event: RequestArrived) -> None:
        plain(self, event._replace(instance=self.server.instance) if event.caller and self.server else event)

    return mock.patch.object(ProxyCore, "_request", trusting)


def _late_reports_taken():
    return mock.patch.multiple(fleet, _too_late=lambda state, command: False, _unheard=lambda *needs: False)


def _a_byte_of_the_text_lost():
    plain = service.read_back

    def short(state) -> dict:
        setup = plain(state)
        return {**setup, "texts": {number: text[:-1] for number, text in setup["texts"].items()}}

    return mock.patch.object(service, "read_back", short)


def _status_altered_on_the_way():
    plain = ProxyCore._pass_answered

    def altered(self: ProxyCore, number: int, answer) -> None:
        plain(self, number, answer._replace(status=201) if answer.status == 200 else answer)

    return mock.patch.object(ProxyCore, "_pass_answered", altered)


def _read_back_kept():
    plain = service.read_back
    kept: list[dict] = []

    def first(state) -> dict:
        kept.append(plain(state))
        return next((setup for setup in kept if setup["in_force"]), kept[-1])

    return mock.patch.object(service, "read_back", first)


def _slow_elections():
    starts: list[int] = []

    def pace(params) -> Pace:
        # The first start is left as it is, so that there is a service to lose.
        starts.append(params.replica)
        slow = milliseconds(16000) if len(starts) > len(params.core) else milliseconds(500)
        return Pace(election_least=slow, election_most=slow * 1.5, checkpoint_records=params.checkpoint_records)

    return mock.patch("hoistsaddle.store.service.pace_of", pace)


def _blank_disks_vote():
    """As if there were no incarnations: a wiped replica goes on voting and counting in its predecessor's place."""
    plain_vote, plain_lay = RaftCore._ballot_call, Disk._lay

    def vote(self: RaftCore, ticket, call) -> None:
        self.mesh = self.mesh or call.mesh
        plain_vote(self, ticket, call)

    def lay(self: Disk) -> None:
        self.token = lambda size: f"replica-{self.replica}"
        plain_lay(self)

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.multiple(RaftCore, is_voter=lambda self: True, _ballot_call=vote))
    patches.enter_context(mock.patch.object(Disk, "_lay", lay))
    return patches


def _said_before_synced():
    plain = RaftCore.handle

    def unsynced(self: RaftCore, event, *, now):
        return [
            command._replace(after=0) if isinstance(command, Send | Answer) else command
            for command in plain(self, event, now=now)
        ]

    return mock.patch.object(RaftCore, "handle", unsynced)


def _own_unsynced_counted():
    plain = RaftCore._append

    def counted(self: RaftCore, records) -> None:
        plain(self, records)
        self.durable = self.last.offset

    def single(self: RaftCore) -> None:
        if self.standing == "leader" and self.durable > self.high_watermark:
            self.high_watermark = self.durable
            self._apply()

    return mock.patch.multiple(RaftCore, _append=counted, _advance=single)


PLANTS = (
    Plant(
        "every claim is granted", "nothing with a key runs twice", "thimble", scenarios.calm, (1,), _every_claim_granted
    ),
    Plant(
        "uncertain is called not run",
        "not run means not run",
        "thimble",
        scenarios.servers_misbehave,
        (1,),
        _uncertain_said_not_run,
    ),
    Plant(
        "answers are swapped",
        "every answer is its caller's own and whole",
        "thimble",
        scenarios.calm,
        (1,),
        _answers_swapped,
    ),
    Plant(
        "the target's stall admits all",
        "only what a bundle allows is reached",
        "thimble",
        scenarios.servers_change,
        (1, 2, 3),
        _target_admits_all,
    ),
    Plant(
        "inner calls go as visitors",
        "callers are told truly",
        "thimble",
        scenarios.calm,
        (1,),
        _inner_calls_as_visitors,
    ),
    Plant(
        "leaving goes unseen",
        "leaving servers get no new work",
        "thimble",
        scenarios.servers_change,
        (1,),
        _leaving_goes_unseen,
    ),
    Plant(
        "accepted without waiting",
        "accepted is in force and stays",
        "thimble",
        scenarios.bundle_while_cut_off,
        (1, 2, 3),
        _accepted_without_waiting,
    ),
    Plant(
        "bundles are not checked",
        "broken bundles have no effect",
        "thimble",
        scenarios.broken_bundle,
        (1,),
        _bundles_unchecked,
    ),
    Plant(
        "stops finish nothing",
        "planned stops drop nothing",
        "thimble",
        scenarios.rolling_restart,
        (1, 2, 3),
        _stop_without_finishing,
    ),
    Plant(
        "further sends are unbounded",
        "further sends keep their bound",
        "thimble",
        scenarios.servers_misbehave,
        (1,),
        _further_sends_unbounded,
    ),
    Plant(
        "a margin of one for each stall",
        "further sends keep their bound",
        "thimble",
        hardships.margins_kept,
        (1, 2),
        _margin_of_one_each,
    ),
    Plant("claims by name", "nothing with a key runs twice", "thimble", rules.keys_travel, (1,), _claims_by_name),
    Plant(
        "other credentials, other visitor",
        "nothing with a key runs twice",
        "thimble",
        rules.keys_travel,
        (1,),
        _other_credentials_other_visitor,
    ),
    Plant(
        "judged by the target's stage",
        "what a bundle allows is served",
        "thimble",
        rules.rules_change,
        (1,),
        _judged_by_the_target_alone,
    ),
    Plant(
        "newer records are passed over",
        "what is promised comes true",
        "thimble",
        hardships.releases_side_by_side,
        (1,),
        _newer_records_passed_over,
    ),
    Plant(
        "only the newest revision is compared",
        "what is promised comes true",
        "three",
        orders.orders_sent_again,
        (1,),
        _newest_revision_alone,
    ),
    Plant(
        "copies are taken as sent",
        "damage mends and never spreads",
        "thimble",
        hardships.copies_damaged,
        (1, 2, 3),
        _copies_taken_as_sent,
    ),
    Plant("waits for ever", "given up means answered at once", "thimble", hardships.isolated, (1,), _waits_for_ever),
    Plant(
        "the inner door names whoever came last",
        "callers are told truly",
        "thimble",
        rules.old_process_lives,
        (1,),
        _inner_door_names_whoever_came_last,
    ),
    Plant(
        "late reports are taken", "read-back is true", "thimble", hardships.gone_forgotten, (1,), _late_reports_taken
    ),
    Plant("a byte is lost", "read-back is true", "thimble", scenarios.calm, (1,), _a_byte_of_the_text_lost),
    Plant(
        "the status is altered",
        "every answer is its caller's own and whole",
        "thimble",
        scenarios.calm,
        (1,),
        _status_altered_on_the_way,
    ),
    Plant("read-back is kept", "read-back is true", "thimble", scenarios.servers_change, (1,), _read_back_kept),
    Plant("elections are slow", "service returns in time", "thimble", scenarios.herd_killed, (1,), _slow_elections),
    Plant(
        "blank disks vote",
        "what was agreed stays agreed",
        "three",
        scenarios.agreed_then_wiped,
        (1,),
        _blank_disks_vote,
    ),
    Plant(
        "said before it is synced",
        "what was agreed stays agreed",
        "three",
        scenarios.power_lost,
        (1, 2),
        _said_before_synced,
    ),
    Plant(
        "the leader's word alone commits",
        "what was agreed stays agreed",
        "three",
        scenarios.core_chaos,
        tuple(range(1, 5)),
        _own_unsynced_counted,
    ),
)
