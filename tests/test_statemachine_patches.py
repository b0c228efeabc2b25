"""Patches that are resent: one revision of an item has one content, and a definite answer never changes.

A patch whose answer was lost is resent, also through another controller, and two operators may use one revision for
different content. The tests guard against a patch that is confirmed to one sender and rejected for another, and against
a rejected patch that an old copy later puts in force.
"""

from contextlib import ExitStack
from datetime import timedelta
from typing import Any
from unittest import mock

from immutables import Map
from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.items import ENTRY, SERVICE, ItemDeletion, ItemUpsert, Patch, content_digest, pack_patch
from hoistsaddle.raft.core import LEADER
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, ProposalArrived, ProposalResult, Ticked
from hoistsaddle.rpc.messages import FetchCall
from hoistsaddle.statemachine import deduplication, items
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import (
    AbortBundle,
    AdvanceBundle,
    Outcome,
    PatchItems,
    RaiseLevel,
    SignBundle,
    SubmitBundle,
    Tick,
)
from hoistsaddle.statemachine.deduplication import MAX_REJECTED_PATCHES
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.revision_history import MAX_REVISIONS, RevisionHistory, RevisionStatus, compare_revision
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import MAX_BUNDLES, State, initial_state
from orders_model import CHECKS, ORDERS, WAIT, ModelOrder, explore
from test_kip_630 import VOTERS, Bench

RESEND_SECONDS = 60


def service(name: str = "ledger", *, revision: int = 1, source_text: bytes | None = None, **changes: Any) -> ItemUpsert:
    return ItemUpsert(SERVICE, revision, {"name": name, **changes}, b"" if source_text is None else source_text)


def entry(name: str = "pay", *, revision: int = 1, **changes: Any) -> ItemUpsert:
    item: dict[str, Any] = {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": "repeatable",
        "parts": [{"service": "ledger"}],
        "hold_seconds": 2.0,
        "aim_seconds": 0.5,
    }
    return ItemUpsert(ENTRY, revision, {**item, **changes})


class Log:
    """A state to which records are applied in turn."""

    def __init__(self, *, level: int = 4, operators: dict[str, str] | None = None) -> None:
        self.state: State = initial_state(mesh="m", voters={1: "one"}, operators=operators or {}, level=level)

    def append_record(self, command: Any, *, later: float = 1) -> Outcome:
        self.state, outcome = apply(
            self.state,
            offset=self.state.offset + 1,
            epoch=1,
            stamp=self.state.mesh_time + timedelta(seconds=later),
            payload=pack_command(command),
        )
        return outcome

    def patch(self, *sets: ItemUpsert, drops: tuple[ItemDeletion, ...] = (), seen: int | None = None) -> Outcome:
        patch = pack_patch(Patch(list(sets), list(drops)))
        seen = self.state.offset if seen is None else seen
        return self.append_record(PatchItems("request", "desk", "standing", patch, RESEND_SECONDS, seen))

    def wait(self, seconds: float) -> None:
        self.append_record(Tick(1), later=seconds)

    def revisions_in_force(self) -> dict[str, int]:
        return {key: item.revision for key, item in self.state.items.items() if not item.dropped}


class ContentConflicts(TestCase):
    def test_a_patch_with_other_content_under_an_accepted_revision_is_rejected_whole(self) -> None:
        log = Log()
        log.patch(service(), entry(revision=5))
        before = log.state.items, log.state.patches, log.state.data_plane_revision, log.state.revision_histories
        outcome = log.patch(entry("other"), entry(revision=5, rank=9))
        self.assertThat((outcome.error, outcome.field), Equals((str(ErrorKind.ITEM_CONFLICT), "sets[1]")))
        self.assertThat(outcome.message, Contains("Revision 5 of entry pay"))
        self.assertThat(outcome.remedy, Contains("higher revision"))
        dropped = log.patch(service("new"), drops=(ItemDeletion(ENTRY, 5, "pay"),))
        self.assertThat((dropped.error, dropped.field), Equals((str(ErrorKind.ITEM_CONFLICT), "drops[0]")))
        self.assertThat(
            (log.state.items, log.state.patches, log.state.data_plane_revision, log.state.revision_histories),
            Equals(before),
        )
        # Resent content is confirmed each time, also in a patch with a new item.
        self.assertThat(log.patch(service(), entry(revision=5)).detail["number"], Equals(0))
        self.assertThat(log.patch(entry(revision=5), service("new")).detail["changed"], Equals(["service:new"]))

    def test_a_drop_is_content_too(self) -> None:
        log = Log()
        log.patch(service(), drops=(ItemDeletion(ENTRY, 3, "pay"),))
        self.assertThat(log.patch(drops=(ItemDeletion(ENTRY, 3, "pay"),)).error, Equals(""))
        self.assertThat(log.patch(entry(revision=3)).error, Equals(str(ErrorKind.ITEM_CONFLICT)))

    def test_a_patch_with_two_contents_for_one_revision_is_rejected(self) -> None:
        log = Log()
        log.patch(service())
        for sets, drops in (
            ((entry(revision=3, rank=1), entry(revision=3, rank=2)), ()),
            ((entry(revision=3),), (ItemDeletion(ENTRY, 3, "pay"),)),
        ):
            outcome = log.patch(*sets, drops=drops)
            self.assertThat((outcome.error, outcome.remedy != ""), Equals((str(ErrorKind.ITEM_CONFLICT), True)))
        self.assertThat(log.revisions_in_force(), Equals({"service:ledger": 1}))
        self.assertThat(log.patch(entry(revision=3), entry(revision=3)).detail["changed"], Equals(["entry:pay"]))

    def test_equivalent_source_texts_are_the_same_content(self) -> None:
        source_text = b'{"name": "a", "n": 3, "list": [1.0, {"x": true}]}'
        same = b'{"list":[1,{"x":true}],\n "n":3.0,"name":"a"}'
        other = b'{"list":[1,{"x":false}],"n":3,"name":"a"}'
        self.assertThat(content_digest(body=b"b", source=source_text), Equals(content_digest(body=b"b", source=same)))
        digests = {
            content_digest(body=body, source=text)
            for body in (b"b", b"c")
            for text in (source_text, other, b"no json", b"")
        }
        self.assertThat(len(digests), Equals(8))
        log = Log()
        log.patch(service(source_text=source_text))
        self.assertThat(log.patch(service(source_text=same)).error, Equals(""))
        # An unknown field of the source text is content too, because the source text is returned to operators.
        self.assertThat(log.patch(service(source_text=other)).error, Equals(str(ErrorKind.ITEM_CONFLICT)))

    def test_after_both_are_superseded_the_accepted_patch_is_confirmed_and_its_rival_rejected(self) -> None:
        log = Log()
        winner, loser = entry(revision=5, rank=1), entry(revision=5, rank=2)
        log.patch(service(), winner)
        log.patch(loser)
        log.patch(entry(revision=6))
        log.patch(drops=(ItemDeletion(ENTRY, 9, "pay"),))
        for _ in range(3):
            self.assertThat(log.patch(winner).error, Equals(""))
            self.assertThat(log.patch(loser).error, Equals(str(ErrorKind.ITEM_CONFLICT)))
        self.assertThat(log.revisions_in_force(), Equals({"service:ledger": 1}))

    def test_an_already_superseded_patch_is_accepted_and_its_rival_is_rejected(self) -> None:
        log = Log()
        log.patch(service(), entry(revision=9))
        superseded, rival = entry(revision=7, rank=1), entry(revision=7, rank=2)
        self.assertThat(
            [log.patch(each).error for each in (superseded, rival, superseded)], Equals(["", "item-conflict", ""])
        )
        self.assertThat(log.revisions_in_force()["entry:pay"], Equals(9))


class ResendWindows(TestCase):
    def test_after_the_resend_window_neither_patch_is_confirmed_or_rejected(self) -> None:
        log = Log()
        winner, loser = entry(revision=5, rank=1), entry(revision=5, rank=2)
        log.patch(service(), winner)
        log.wait(10 * RESEND_SECONDS)
        # The revision in force is remembered without a time limit.
        self.assertThat([log.patch(each).error for each in (winner, loser)], Equals(["", "item-conflict"]))
        log.patch(entry(revision=6))
        # The resend window starts when the revision is superseded, and again with each copy.
        log.wait(RESEND_SECONDS - 5)
        self.assertThat([log.patch(each).error for each in (winner, loser)], Equals(["", "item-conflict"]))
        log.wait(RESEND_SECONDS - 5)
        self.assertThat([log.patch(each).error for each in (winner, loser)], Equals(["", "item-conflict"]))
        log.wait(RESEND_SECONDS + 10)
        for order in (winner, loser, entry(revision=2)):
            outcome = log.patch(order)
            self.assertThat(
                (outcome.error, outcome.remedy != ""), Equals((str(ErrorKind.ORDER_UNSURE), True)), outcome.message
            )
        self.assertThat(log.state.revision_histories["entry:pay"].pruned, Equals(5))
        self.assertThat(log.patch(entry(revision=7)).detail["changed"], Equals(["entry:pay"]))

    def test_the_history_is_bounded_and_a_pruned_revision_is_not_rejected(self) -> None:
        log = Log()
        log.patch(service())
        for revision in range(1, 2 * MAX_REVISIONS):
            log.patch(entry(revision=revision, rank=revision))
            log.state = log.state._replace(mesh_time=timedelta(seconds=5))
        history = log.state.revision_histories["entry:pay"]
        self.assertThat((len(history.accepted), history.pruned), Equals((MAX_REVISIONS, MAX_REVISIONS - 1)))
        for revision, expected_error in (
            (MAX_REVISIONS - 1, "order-unsure"),
            (MAX_REVISIONS, ""),
            (MAX_REVISIONS + 9, ""),
        ):
            self.assertThat(log.patch(entry(revision=revision, rank=revision)).error, Equals(expected_error))
        self.assertThat(log.patch(entry(revision=MAX_REVISIONS, rank=0)).error, Equals("item-conflict"))

    def test_an_expiry_pass_removes_what_can_no_longer_be_resent(self) -> None:
        log = Log()
        log.patch(service(), entry())
        log.patch(entry("lost", parts=[{"service": "nobody"}]))
        for revision in range(2, 9):
            log.patch(entry(revision=revision))
        self.assertThat(
            (len(log.state.revision_histories["entry:pay"].accepted), len(log.state.rejected_patches)), Equals((8, 1))
        )
        log.wait(2 * RESEND_SECONDS)
        self.assertThat(
            (len(log.state.revision_histories["entry:pay"].accepted), len(log.state.rejected_patches)), Equals((1, 0))
        )

    def test_remembered_rejections_are_bounded(self) -> None:
        log = Log()
        for number in range(MAX_REJECTED_PATCHES + 7):
            log.patch(entry(f"lost-{number}"))
            log.state = log.state._replace(mesh_time=timedelta(seconds=5))
        self.assertThat(len(log.state.rejected_patches), Equals(MAX_REJECTED_PATCHES))
        self.assertThat(min(each.offset for each in log.state.rejected_patches.values()), Equals(8))


class Copies(TestCase):
    def test_a_copy_sent_before_its_rejection_is_never_accepted(self) -> None:
        log = Log()
        log.patch(service("other"))
        early_offset = log.state.offset
        self.assertThat(log.patch(entry()).error, Equals(str(ErrorKind.ITEM_BROKEN)))
        log.patch(service())
        late = log.patch(entry(), seen=early_offset)
        self.assertThat(
            (late.error, log.revisions_in_force().get("entry:pay")), Equals((str(ErrorKind.ORDER_UNSURE), None))
        )
        # After the rejection the sender declared the service and sends a new copy.
        self.assertThat(log.patch(entry()).detail["changed"], Equals(["entry:pay"]))
        # From now on the old copy is a copy of an accepted patch.
        self.assertThat(log.patch(entry(), seen=early_offset).error, Equals(""))

    def test_a_copy_without_its_offset_is_accepted_only_after_the_resend_window(self) -> None:
        log = Log()
        log.patch(entry())
        log.patch(service())
        self.assertThat(log.patch(entry(), seen=-1).error, Equals(str(ErrorKind.ORDER_UNSURE)))
        log.wait(2 * RESEND_SECONDS)
        self.assertThat(log.patch(entry(), seen=-1).error, Equals(""))

    def test_an_accepted_patch_is_confirmed_after_its_service_was_dropped(self) -> None:
        log = Log()
        log.patch(service(), entry())
        log.patch(drops=(ItemDeletion(SERVICE, 2, "ledger"),))
        self.assertThat(log.patch(service(), entry()).error, Equals(""))
        self.assertThat(log.patch(entry("more")).error, Equals(str(ErrorKind.ITEM_BROKEN)))


def prune_at_once(history: RevisionHistory, *, now: int) -> RevisionHistory:
    if len(history.accepted) == 1:
        return history
    return RevisionHistory(history.accepted[-1:], max(history.pruned, history.accepted[-2].revision))


def confirm_forgotten_revisions(history: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    status = compare_revision(history, revision=revision, digest=digest)
    return RevisionStatus.SUPERSEDED if status is RevisionStatus.FORGOTTEN else status


def reject_forgotten_revisions(history: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    status = compare_revision(history, revision=revision, digest=digest)
    return RevisionStatus.OTHER if status is RevisionStatus.FORGOTTEN else status


def compare_with_newest_only(history: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    """Rejects different content under an equal revision only, and confirms all lower revisions: an incomplete fix."""
    status = compare_revision(history, revision=revision, digest=digest)
    return status if history is None or revision >= history.accepted[-1].revision else RevisionStatus.SUPERSEDED


class Model(TestCase):
    """Explores every sequence of changes, copies and waits up to a depth."""

    def test_every_sequence_passes_the_checks(self) -> None:
        small = explore(orders=(*ORDERS, WAIT), depth=4, level=4)
        races = explore(orders=(*ORDERS[:4], WAIT), depth=5, level=4)
        late = explore(orders=(*ORDERS[4:], WAIT), depth=5, level=4)
        for explored in (small, races, late):
            print(f"depth {explored.depth}: {explored.states} states")
            self.assertThat(explored.broken, Equals({}))

    def test_each_check_finds_its_injected_fault(self) -> None:
        # The rule of release level 3, which does not compare contents.
        self.assertThat(sorted(explore(orders=ORDERS[:3], depth=3, level=3).broken), Equals(["one_content"]))
        races = (*ORDERS[:3], WAIT)
        late = ORDERS[4:7]
        injected_faults: tuple[tuple[Any, str, Any, tuple[ModelOrder, ...], str], ...] = (
            (deduplication, "compare_revision", compare_with_newest_only, races, "one_content"),
            (deduplication, "compare_revision", confirm_forgotten_revisions, races, "one_content"),
            (deduplication, "compare_revision", reject_forgotten_revisions, races, "accepted_never_refused"),
            (deduplication, "prune", prune_at_once, races, "accepted_never_refused"),
            (items, "record_rejection", lambda state, command, offset: state, late, "refused_never_counts"),
            (items, "record_accepted", lambda state, command, check: state, races, "accepted_never_refused"),
            (items, "_prevails", lambda state, key, revision: True, races, "highest_stands"),
        )
        for module, name, fault, fault_orders, expected in injected_faults:
            with ExitStack() as stack:
                stack.enter_context(mock.patch.object(module, name, fault))
                if name == "prune":
                    stack.enter_context(mock.patch("hoistsaddle.statemachine.revision_history.prune", fault))
                violations = explore(orders=fault_orders, depth=4, level=4).broken
            self.assertThat(sorted(violations), Contains(expected), f"{name}: {violations}")
        self.assertThat(len(CHECKS), Equals(4))


class Levels(TestCase):
    def test_below_level_4_a_state_is_that_of_the_former_release(self) -> None:
        log = Log(level=3)
        log.patch(service(), entry(revision=5))
        self.assertThat(log.patch(entry(revision=5, rank=9)).error, Equals(""))
        log.patch(entry("lost", parts=[{"service": "nobody"}]))
        packed = pack_state(log.state)
        self.assertThat([part in packed for part in (b"memories", b"refusals")], Equals([False, False]))
        self.assertThat(unpack_state(packed), Equals(log.state))

    def test_after_raising_the_level_only_revisions_in_force_are_confirmed_or_rejected(self) -> None:
        log = Log(level=3)
        first = (service(source_text=b'{"a": 1}'), entry(revision=5), entry("gone", revision=1))
        log.patch(*first)
        log.patch(drops=(ItemDeletion(ENTRY, 3, "gone"),))
        log.state = unpack_state(pack_state(log.state))
        log.append_record(RaiseLevel(4))
        self.assertThat(log.patch(service(source_text=b'{"a":1}'), entry(revision=5)).error, Equals(""))
        self.assertThat(log.patch(drops=(ItemDeletion(ENTRY, 3, "gone"),)).error, Equals(""))
        for order, expected_error in (
            (entry(revision=5, rank=9), "item-conflict"),
            (entry("gone", revision=3), "item-conflict"),
            (entry(revision=4), "order-unsure"),
            (entry("gone", revision=1), "order-unsure"),
            (entry(revision=6), ""),
        ):
            self.assertThat(log.patch(order).error, Equals(expected_error), str(order))
        self.assertThat(log.patch(entry(revision=5)).error, Equals(""))
        packed = pack_state(log.state)
        self.assertThat(unpack_state(packed), Equals(log.state))
        self.assertThat(pack_state(unpack_state(packed)), Equals(packed))


class OrderBench(Bench):
    """A Raft core of three replicas at release level 4 that receives patches."""

    def __init__(self) -> None:
        state = initial_state(mesh="m", voters=VOTERS, operators={}, level=4)
        super().__init__(
            boot=Boot(
                1, VOTERS[1], voters=tuple(VOTERS.items()), mesh="m", checkpoint=OffsetAndEpoch(0, 0), state=state
            )
        )

    def send_patch(self, *sets: ItemUpsert) -> int:
        self.tickets += 1
        payload = pack_command(
            PatchItems("request", "desk", "standing", pack_patch(Patch(list(sets))), RESEND_SECONDS, 0)
        )
        self.feed(ProposalArrived(self.tickets, (payload,)))
        return self.tickets

    def acknowledge(self, offset: int) -> None:
        """Simulates that another voter has synced the log up to the offset."""
        epoch = self.core.epoch_at(offset)
        call = FetchCall("m", 2, VOTERS[2], self.core.epoch, offset + 1, epoch, self.core.replication.round, True, 4)
        self.call(call)

    def answers(self, ticket: int) -> list[str]:
        """Returns the answers to a call: the error kind, of the log or the leader; an empty string for acceptance."""
        return [
            each.error or "".join(outcome.error for outcome in each.outcomes)
            for each in self.of(ProposalResult)
            if each.ticket == ticket
        ]


class Leaders(TestCase):
    def test_a_rejection_waits_for_the_same_majority_as_a_confirmation(self) -> None:
        bench = OrderBench().lead()
        winner = bench.send_patch(service(connections=1))
        self.assertThat(bench.answers(winner), Equals([]))
        bench.acknowledge(bench.core.last.offset)
        self.assertThat(bench.answers(winner), Equals([""]))
        loser, again = bench.send_patch(service(connections=2)), bench.send_patch(service(connections=1))
        bench.acknowledge(bench.core.last.offset - 2)
        self.assertThat((bench.answers(loser), bench.answers(again)), Equals(([], [])))
        bench.acknowledge(bench.core.last.offset - 1)
        self.assertThat((bench.answers(loser), bench.answers(again)), Equals((["item-conflict"], [])))
        bench.acknowledge(bench.core.last.offset)
        self.assertThat(bench.answers(again), Equals([""]))

    def test_a_partitioned_leader_neither_confirms_nor_rejects(self) -> None:
        bench = OrderBench().lead()
        bench.send_patch(service(connections=1))
        bench.acknowledge(bench.core.last.offset)
        tickets = [bench.send_patch(service(connections=number)) for number in (1, 2)]
        for _ in range(100):
            bench.feed(Ticked(), later=timedelta(milliseconds=100))
        self.assertThat(bench.core.role == LEADER, Equals(False))
        self.assertThat([bench.answers(each) for each in tickets], Equals([["unsure"], ["unsure"]]))
        late = bench.send_patch(service(connections=2))
        self.assertThat(bench.answers(late), Equals(["not-leader"]))

    def test_a_new_leader_answers_after_its_own_epoch_commits_and_consistently_for_both_copies(self) -> None:
        bench = OrderBench().lead()
        bench.acknowledge(bench.core.last.offset)
        # The first copies stay uncommitted: this leader learns of a higher epoch.
        first, rival = bench.send_patch(service(connections=1)), bench.send_patch(service(connections=2))
        copied = bench.core.last.offset
        bench.call(FetchCall("m", 2, VOTERS[2], bench.core.epoch + 1, 1, 0, 0, True, 4))
        self.assertThat([bench.answers(each) for each in (first, rival)], Equals([["unsure"], ["unsure"]]))
        bench.lead()
        second = [bench.send_patch(service(connections=number)) for number in (1, 2)]
        # A majority has the copies of the preceding epoch, but they are not committed, so there is no answer yet.
        bench.acknowledge(copied)
        self.assertThat((bench.core.state.items, [bench.answers(each) for each in second]), Equals((Map(), [[], []])))
        bench.acknowledge(bench.core.last.offset)
        self.assertThat([bench.answers(each) for each in second], Equals([[""], ["item-conflict"]]))
        self.assertThat(len(bench.core.state.patches), Equals(1))


TEXT = """
number = 1
based_on = 0

[[services]]
name = "ledger"

[[entries]]
name = "payments"
service = "ledger"
path = "/payments"
methods = ["POST"]
callers = ["visitors"]

[[stages]]
name = "one"
stalls = ["stall-1"]

[[stages]]
name = "zone"
zones = ["a"]

[[stages]]
name = "everyone"
everyone = true
"""


class Bundles(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = Log(operators={name: name[0] * 64 for name in ("ada", "ben", "cleo")})
        self.calls = 0

    def call(self, kind: Any, operator: str, *arguments: Any) -> Outcome:
        # A repeated call without a request id gets a new one from the controller that receives it.
        self.calls += 1
        return self.log.append_record(kind(f"call-{self.calls}", operator, *arguments))

    def start_rollout(self) -> str:
        digest = self.call(SubmitBundle, "ada", TEXT).detail["digest"]
        self.call(SignBundle, "ben", 1, digest)
        return digest

    def test_a_repeated_submission_is_confirmed_in_every_phase(self) -> None:
        first = self.call(SubmitBundle, "ada", TEXT)
        self.assertThat(first.error, Equals(""))
        phases = []
        digest = first.detail["digest"]
        for step in (
            None,
            (SignBundle, "ben", 1, digest),
            (AdvanceBundle, "cleo", 1, 1),
            (AdvanceBundle, "cleo", 1, 2),
        ):
            if step:
                self.assertThat(self.call(*step).error, Equals(""), str(step))
            state = self.log.state.bundles
            again = self.call(SubmitBundle, "ada", TEXT)
            self.assertThat((again.error, again.detail["digest"], self.log.state.bundles), Equals(("", digest, state)))
            phases.append(again.detail["phase"])
        self.assertThat(phases, Equals(["draft", "rolling", "rolling", "in force"]))

    def test_other_content_or_another_author_under_the_number_is_rejected(self) -> None:
        self.call(SubmitBundle, "ada", TEXT)
        other = TEXT.replace("/payments", "/paid")
        for operator, text, expected_error in (
            ("ada", other, "bundle-conflict"),
            ("ben", other, "bundle-conflict"),
            ("ben", TEXT, "bundle-duplicate"),
        ):
            outcome = self.call(SubmitBundle, operator, text)
            self.assertThat((outcome.error, outcome.remedy != ""), Equals((expected_error, True)))
        self.assertThat(self.log.state.bundles[1].text, Equals(TEXT))

    def test_a_repeated_signature_is_confirmed_and_changes_nothing(self) -> None:
        digest = self.start_rollout()
        before = self.log.state.bundles
        again = self.call(SignBundle, "ben", 1, digest)
        self.assertThat((again.error, again.detail["stage"], again.detail["offset"]), Equals(("", 1, 2)))
        self.assertThat(self.call(SignBundle, "cleo", 1, digest).error, Equals("bundle-wrong-phase"))
        self.assertThat(self.call(SignBundle, "ben", 1, "0" * 64).error, Equals("bundle-conflict"))
        self.assertThat(self.log.state.bundles, Equals(before))
        self.call(AbortBundle, "cleo", 1)
        again = self.call(SignBundle, "ben", 1, digest)
        self.assertThat((again.error, again.detail["phase"]), Equals(("", "aborted")))

    def test_a_repeated_advance_is_confirmed_and_skips_no_stage(self) -> None:
        self.start_rollout()
        self.assertThat(self.call(AdvanceBundle, "ben", 1, 1).detail["stage"], Equals(2))
        before = self.log.state.bundles
        again = self.call(AdvanceBundle, "ben", 1, 1)
        self.assertThat((again.error, again.detail["stage"]), Equals(("", 2)))
        # The same call of another operator is no repeat: it must not be confirmed.
        self.assertThat(self.call(AdvanceBundle, "cleo", 1, 1).error, Equals("bundle-wrong-phase"))
        self.assertThat(self.call(AdvanceBundle, "ben", 1, 3).error, Equals("bundle-wrong-phase"))
        self.assertThat(self.log.state.bundles, Equals(before))
        self.call(AdvanceBundle, "cleo", 1, 2)
        self.log.state = unpack_state(pack_state(self.log.state))
        self.assertThat(
            [self.call(AdvanceBundle, operator, 1, stage).error for operator, stage in (("ben", 1), ("cleo", 2))],
            Equals(["", ""]),
        )
        self.assertThat(self.call(AdvanceBundle, "ben", 1, 2).error, Equals("bundle-wrong-phase"))

    def test_a_repeated_abort_is_confirmed(self) -> None:
        self.start_rollout()
        first, again = self.call(AbortBundle, "cleo", 1), self.call(AbortBundle, "cleo", 1)
        self.assertThat((again.error, again.detail), Equals(("", first.detail)))
        self.assertThat(self.call(AbortBundle, "ben", 1).error, Equals("bundle-wrong-phase"))

    def test_stages_passed_before_the_level_was_raised_have_no_operator(self) -> None:
        self.log = Log(level=3, operators={name: name[0] * 64 for name in ("ada", "ben")})
        self.start_rollout()
        self.call(AdvanceBundle, "ben", 1, 1)
        self.assertThat(self.log.state.bundles[1].advanced_by, Equals(()))
        self.assertThat(unpack_state(pack_state(self.log.state)), Equals(self.log.state))
        self.log.append_record(RaiseLevel(4))
        self.call(AdvanceBundle, "ben", 1, 2)
        self.assertThat(self.call(AdvanceBundle, "ben", 1, 2).error, Equals(""))
        self.assertThat(self.call(AdvanceBundle, "ben", 1, 1).error, Equals("bundle-wrong-phase"))

    def test_requests_for_dropped_bundles_are_neither_confirmed_nor_rejected(self) -> None:
        def text(number: int) -> str:
            return TEXT.replace("number = 1", f"number = {number}").replace("based_on = 0", f"based_on = {number - 1}")

        for number in range(1, MAX_BUNDLES + 3):
            digest = self.call(SubmitBundle, "ada", text(number).partition("[[stages]]")[0]).detail["digest"]
            self.call(SignBundle, "ben", number, digest)
        oldest = min(self.log.state.bundles)
        self.assertThat(oldest > 1, Equals(True))
        for outcome in (
            self.call(SubmitBundle, "ada", text(1).partition("[[stages]]")[0]),
            self.call(SignBundle, "ben", 1, "0" * 64),
            self.call(AdvanceBundle, "ben", 1, 1),
            self.call(AbortBundle, "ben", 1),
        ):
            self.assertThat(outcome.error, Equals(str(ErrorKind.ORDER_UNSURE)))
        self.assertThat(self.call(SubmitBundle, "ada", text(oldest).partition("[[stages]]")[0]).error, Equals(""))
