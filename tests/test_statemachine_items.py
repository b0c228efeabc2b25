"""Patches of items: their validation, and how the state machine applies them.

Operators may send patches concurrently, more than once and in any order. The tests guard against a patch that is
applied in part, an older revision that replaces a newer one, and a result that depends on the order of patches.
"""

import random
from datetime import timedelta
from typing import Any

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.item_checks import MAX_REVISION, check_patch, read_patch
from hoistsaddle.config.items import (
    ENTRY,
    LIMITS,
    SERVICE,
    ItemConfiguration,
    ItemDeletion,
    ItemUpsert,
    LimitsItem,
    Part,
    Patch,
    RouteItem,
    ServiceItem,
    hold_timeout,
    latency_target,
    pack_patch,
)
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import ClaimKey, Outcome, PatchItems, RaiseLevel
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import MAX_BUNDLES, State, initial_state
from hoistsaddle.statemachine.view import View, read_view


def entry(name: str = "pay", *, revision: int = 1, **changes: Any) -> ItemUpsert:
    item: dict[str, Any] = {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": "repeatable",
        "parts": [{"service": "ledger", "weight": 1.0}],
        "hold_seconds": 2.0,
        "aim_seconds": 0.5,
        "rank": 1,
        "most_sends": 2,
    }
    item.update(changes)
    return ItemUpsert(ENTRY, revision, item, f"{name} as said at {revision}".encode())


def service(name: str = "ledger", *, revision: int = 1, **changes: Any) -> ItemUpsert:
    return ItemUpsert(SERVICE, revision, {"name": name, **changes}, f"{name} as said at {revision}".encode())


def limits(*, revision: int = 1, **changes: Any) -> ItemUpsert:
    return ItemUpsert(LIMITS, revision, changes, b"limits as said")


class PatchValidation(TestCase):
    def rejection(self, patch: Patch) -> tuple[str, str]:
        match check_patch(patch):
            case Failure(error):
                self.assertThat((error.kind, error.remedy != ""), Equals((ErrorKind.ITEM_BROKEN, True)))
                return error.field, error.remedy
            case Success(_):
                self.fail(f"accepted: {patch}")

    def test_a_valid_patch_is_accepted(self) -> None:
        patch = Patch([service(), entry(), limits(body_bytes=5)], [ItemDeletion(ENTRY, 4, "old")])
        checked = check_patch(patch).unwrap()
        self.assertThat([type(item) for _, item in checked.sets], Equals([ServiceItem, RouteItem, LimitsItem]))
        self.assertThat(checked.drops, Equals([ItemDeletion(ENTRY, 4, "old")]))
        self.assertThat(read_patch(pack_patch(patch)).unwrap(), Equals(checked))

    def test_each_rejection_names_the_field_and_a_remedy(self) -> None:
        nan = float("nan")
        for changes, field, remedy in (
            ({"host": ""}, "host", "Name the host"),
            ({"prefix": "pay/"}, "prefix", "slash"),
            ({"prefix": "/pay"}, "prefix", "slash"),
            ({"prefix": ""}, "prefix", "slash"),
            ({"parts": []}, "parts", "at least one"),
            ({"parts": [{"service": "ledger", "weight": -1.0}]}, "parts", "0 or more"),
            ({"parts": [{"service": "ledger", "weight": nan}]}, "parts", "0 or more"),
            ({"parts": [{"service": "ledger", "weight": float("inf")}]}, "parts", "0 or more"),
            ({"parts": [{"service": "ledger", "weight": 0.0}]}, "parts", "above 0"),
            ({"hold_seconds": 0}, "hold_seconds", "above 0"),
            ({"hold_seconds": -1}, "hold_seconds", "above 0"),
            ({"hold_seconds": nan}, "hold_seconds", "above 0"),
            ({"aim_seconds": -0.1}, "aim_seconds", "0 seconds or more"),
            ({"aim_seconds": nan}, "aim_seconds", "0 seconds or more"),
            ({"aim_seconds": 62.0}, "aim_seconds", "Lower the aim"),
            ({"most_sends": 0}, "most_sends", "1 or more"),
            ({"kind": "sometimes"}, "kind", "Mend"),
            ({"parts": [{"service": "ledger", "share": 1}]}, "parts[0]", "Mend"),
            ({"colour": "red"}, "colour", "Mend"),
            ({"rank": "first"}, "rank", "Mend"),
        ):
            rejected_field, given_remedy = self.rejection(Patch([service(), entry(**changes)]))
            self.assertThat((rejected_field, given_remedy), Equals((f"sets[1].{field}", given_remedy)), str(changes))
            self.assertThat(given_remedy, Contains(remedy), str(changes))

    def test_a_latency_target_less_than_a_minute_above_the_hold_is_accepted(self) -> None:
        self.assertThat(isinstance(check_patch(Patch([entry(aim_seconds=61.9)])), Success), Equals(True))

    def test_holds_and_targets_of_any_length_are_limited_to_a_day(self) -> None:
        for seconds in (1e300, float("inf")):
            _, item = check_patch(Patch([entry(hold_seconds=seconds, aim_seconds=1e200)])).unwrap().sets[0]
            self.assertThat((hold_timeout(item), latency_target(item)), Equals((timedelta(days=1),) * 2))

    def test_names_revisions_limits_and_drops_are_checked_too(self) -> None:
        for patch, field in (
            (Patch([entry(name="", prefix="/x/")]), "sets[0].name"),
            (Patch([service(name="")]), "sets[0].name"),
            (Patch([service(revision=-1)]), "sets[0].revision"),
            (Patch([service(revision=MAX_REVISION + 1)]), "sets[0].revision"),
            (Patch([limits(header_bytes=0)]), "sets[0].body_bytes"),
            (Patch([limits(body_bytes=-5)]), "sets[0].body_bytes"),
            (Patch([limits(idle_seconds=-1.0)]), "sets[0].idle_seconds"),
            (Patch([limits(header_seconds=float("nan"))]), "sets[0].idle_seconds"),
            (Patch(drops=[ItemDeletion(ENTRY, 1, "")]), "drops[0]"),
            (Patch(drops=[ItemDeletion(ENTRY, 1, "fine"), ItemDeletion(SERVICE, -1, "old")]), "drops[1]"),
        ):
            self.assertThat(self.rejection(patch)[0], Equals(field), str(patch))

    def test_undecodable_data_is_rejected(self) -> None:
        for data in (b"", b"\xc1", b"nonsense", pack_patch(Patch([entry()]))[:-3], b"\x81\xa4more\x01"):
            self.assertThat(isinstance(read_patch(data), Failure), Equals(True), repr(data))


class RouteLookup(TestCase):
    def configuration_of(self, *entries: RouteItem) -> ItemConfiguration:
        return ItemConfiguration(items={f"entry:{each.name}": each for each in entries})

    def item(self, name: str, *, host: str = "a.example", prefix: str = "/") -> RouteItem:
        return RouteItem(name, host, prefix, "repeatable", [Part("ledger")], 1.0, 0.5)

    def name_at(self, configuration: ItemConfiguration, path: str, *, host: str = "a.example") -> str | None:
        found = configuration.match_route(host=host, path=path)
        return found.name if found else None

    def test_the_longest_prefix_of_the_host_is_selected(self) -> None:
        named = [self.item("all"), self.item("deep", prefix="/a/b/"), self.item("mid", prefix="/a/")]
        for shuffle in range(6):
            random.Random(shuffle).shuffle(named)
            configuration = self.configuration_of(*named, self.item("other", host="b.example", prefix="/a/b/c/"))
            for path, name in (("/a/b/c/d", "deep"), ("/a/b", "mid"), ("/a", "all"), ("/", "all"), ("/ab/", "all")):
                self.assertThat(self.name_at(configuration, path), Equals(name), path)

    def test_routes_of_other_hosts_and_unknown_hosts_are_not_selected(self) -> None:
        configuration = self.configuration_of(self.item("a", prefix="/a/"), self.item("b", host="b.example"))
        self.assertThat(self.name_at(configuration, "/a/x", host="c.example"), Is(None))
        self.assertThat(self.name_at(configuration, "/a/x", host="b.example"), Equals("b"))
        self.assertThat(self.name_at(configuration, "/b/x"), Is(None))
        self.assertThat(self.name_at(configuration, ""), Is(None))

    def test_names_order_routes_with_equal_prefixes(self) -> None:
        one, two = self.item("one", prefix="/a/"), self.item("two", prefix="/a/")
        self.assertThat(
            [self.name_at(self.configuration_of(*order), "/a/") for order in ((one, two), (two, one))],
            Equals(["one"] * 2),
        )


class Log(TestCase):
    level = 3

    def setUp(self) -> None:
        super().setUp()
        self.state: State = initial_state(mesh="m", voters={1: "one"}, operators={}, level=self.level)
        self.requests = 0

    def apply(self, command: Any) -> Outcome:
        offset = self.state.offset + 1
        self.state, outcome = apply(
            self.state, offset=offset, epoch=1, stamp=timedelta(seconds=offset), payload=pack_command(command)
        )
        return outcome

    def patch(self, *sets: ItemUpsert, drops: tuple[ItemDeletion, ...] = (), author: str = "desk-1") -> Outcome:
        self.requests += 1
        patch = pack_patch(Patch(list(sets), list(drops)))
        return self.apply(PatchItems(f"request-{self.requests}", author, "standing", patch))

    def revisions_in_force(self) -> dict[str, int]:
        return {key: item.revision for key, item in self.state.items.items() if not item.dropped}

    def test_the_highest_revision_prevails_whether_it_sets_or_drops(self) -> None:
        outcome = self.patch(service(), entry(revision=5))
        self.assertThat(outcome.detail["changed"], Equals(["entry:pay", "service:ledger"]))
        self.patch(entry(revision=9, hold_seconds=3.0))
        self.assertThat(self.revisions_in_force(), Equals({"service:ledger": 1, "entry:pay": 9}))
        self.patch(drops=(ItemDeletion(ENTRY, 12, "pay"),))
        self.assertThat(self.revisions_in_force(), Equals({"service:ledger": 1}))
        self.patch(entry(revision=13))
        self.assertThat(self.revisions_in_force()["entry:pay"], Equals(13))

    def test_a_lower_or_equal_revision_changes_nothing(self) -> None:
        self.patch(service(), entry(revision=5))
        before = self.state
        for outcome in (
            self.patch(entry(revision=5, hold_seconds=9.0)),
            self.patch(entry(revision=4, hold_seconds=9.0)),
            self.patch(drops=(ItemDeletion(ENTRY, 5, "pay"),)),
            self.patch(drops=(ItemDeletion(ENTRY, 2, "pay"),)),
        ):
            self.assertThat(
                (outcome.error, outcome.detail),
                Equals(("", {"number": 0, "changed": [], "offset": before.data_plane_revision})),
            )
        self.assertThat(
            (self.state.items, self.state.patches, self.state.data_plane_revision),
            Equals((before.items, before.patches, before.data_plane_revision)),
        )

    def test_a_dropped_name_keeps_its_revision(self) -> None:
        self.patch(service(), entry(revision=5))
        self.patch(drops=(ItemDeletion(ENTRY, 8, "pay"), ItemDeletion(ENTRY, 30, "never-there")))
        self.patch(entry(revision=7), entry("never-there", revision=29))
        self.assertThat(self.revisions_in_force(), Equals({"service:ledger": 1}))
        self.assertThat(self.state.items["entry:pay"][:3], Equals((8, 2, True)))

    def test_within_one_patch_the_highest_revision_prevails(self) -> None:
        self.patch(service(), entry(revision=3, rank=3), entry(revision=7, rank=7), entry(revision=5, rank=5))
        self.assertThat(self.view().items.match_route(host="shop.example", path="/pay/").rank, Equals(7))
        self.patch(entry(revision=9), drops=(ItemDeletion(ENTRY, 8, "pay"),))
        self.assertThat(self.revisions_in_force()["entry:pay"], Equals(9))
        self.patch(entry(revision=10), drops=(ItemDeletion(ENTRY, 11, "pay"),))
        self.assertThat(self.revisions_in_force(), Equals({"service:ledger": 1}))

    def test_no_part_of_an_invalid_patch_is_applied(self) -> None:
        self.patch(service(), entry())
        before = self.state._replace(offset=0, mesh_time=timedelta())
        broken = (
            ((entry(revision=5, rank=9), entry("other", hold_seconds=0)), ()),
            ((service("new"), entry("other", kind="sometimes")), ()),
            ((entry(revision=5),), (ItemDeletion(ENTRY, -1, "pay"),)),
            ((service("new"), entry("other", parts=[{"service": "nobody"}])), (ItemDeletion(ENTRY, 6, "pay"),)),
        )
        for sets, drops in broken:
            outcome = self.patch(*sets, drops=drops)
            self.assertThat((outcome.error, outcome.remedy != ""), Equals((str(ErrorKind.ITEM_BROKEN), True)))
            # From level 4 on the state remembers the rejected patch.
            after = self.state._replace(
                offset=0, mesh_time=timedelta(), expired_at=before.expired_at, rejected_patches=before.rejected_patches
            )
            self.assertThat(after, Equals(before))

    def test_a_route_to_a_service_undeclared_in_the_result_is_rejected(self) -> None:
        outcome = self.patch(entry())
        self.assertThat((outcome.error, outcome.field), Equals((str(ErrorKind.ITEM_BROKEN), "sets[0].parts")))
        self.patch(service(), service("second"), drops=(ItemDeletion(SERVICE, 3, "gone"),))
        # The service is declared in the same patch, in any order; another service is in force already.
        self.assertThat(
            self.patch(entry(parts=[{"service": "third"}, {"service": "ledger"}]), service("third")).error, Equals("")
        )
        # A dropped service counts as undeclared.
        self.assertThat(self.patch(entry(revision=2, parts=[{"service": "gone"}])).field, Equals("sets[0].parts"))
        # A route below the revision in force changes nothing, so its service is not checked.
        self.assertThat(self.patch(entry(revision=0, parts=[{"service": "nobody"}])).error, Equals(""))

    def test_two_concurrent_patches_have_the_same_result_in_either_order(self) -> None:
        ours = (entry(revision=7, rank=7), entry("ours", revision=7))
        theirs = (entry(revision=9, rank=9), entry("theirs", revision=9))
        results = []
        for order in ((ours, theirs), (theirs, ours)):
            self.state = initial_state(mesh="m", voters={1: "one"}, operators={}, level=self.level)
            self.patch(service())
            for index, sets in enumerate(order):
                self.patch(*sets, author=f"desk-{index}")
            results.append({key: (item.revision, item.source) for key, item in self.state.items.items()})
        self.assertThat(results[0], Equals(results[1]))
        self.assertThat(results[0]["entry:pay"], Equals((9, b"pay as said at 9")))
        self.assertThat(sorted(results[0]), Equals(["entry:ours", "entry:pay", "entry:theirs", "service:ledger"]))

    def test_a_patch_repeated_through_another_controller_is_applied_once(self) -> None:
        first = self.patch(service(), entry())
        again = self.patch(service(), entry(), author="desk-2")
        self.assertThat((first.detail["number"], again.detail["number"]), Equals((1, 0)))
        # The outcome names the offset of the patch in force, which the sender may wait for.
        self.assertThat(again.detail["offset"], Equals(first.detail["offset"]))
        self.assertThat(len(self.state.patches), Equals(1))

    def test_each_patch_is_recorded_with_a_number_its_author_and_the_standing_sign_off(self) -> None:
        self.patch(service(), entry())
        self.patch(entry(revision=2), author="desk-2")
        bundles = [
            (each.number, each.author, each.signer, each.offset, each.changed)
            for _, each in sorted(self.state.patches.items())
        ]
        self.assertThat(
            bundles,
            Equals(
                [
                    (1, "desk-1", "standing", 1, ("entry:pay", "service:ledger")),
                    (2, "desk-2", "standing", 2, ("entry:pay",)),
                ]
            ),
        )
        self.assertThat(self.state.patches[1].digest == self.state.patches[2].digest, Equals(False))

    def test_only_the_newest_patches_are_kept_and_numbers_increase(self) -> None:
        self.patch(service())
        for revision in range(1, MAX_BUNDLES + 5):
            self.patch(entry(revision=revision))
        self.assertThat(
            (min(self.state.patches), max(self.state.patches), len(self.state.patches)),
            Equals((6, MAX_BUNDLES + 5, MAX_BUNDLES)),
        )

    def test_equal_states_pack_to_equal_bytes_and_unpack(self) -> None:
        self.patch(service(), entry(), limits())
        self.patch(entry("more"), drops=(ItemDeletion(ENTRY, 4, "pay"),))
        packed = pack_state(self.state)
        unpacked = unpack_state(packed)
        self.assertThat(unpacked, Equals(self.state))
        self.assertThat(pack_state(unpacked), Equals(packed))
        # Maps built in another order pack to the same bytes.
        shuffled = self.state._replace(items=type(self.state.items)(sorted(self.state.items.items(), reverse=True)))
        self.assertThat(pack_state(shuffled), Equals(packed))

    def view(self) -> View:
        items = data_plane_items(self.state)
        return read_view(revision=self.state.data_plane_revision, items=items, node="stall-1", zone="a", before=View())

    def test_the_data_plane_holds_the_items_in_force_and_no_dropped_items(self) -> None:
        self.patch(service(), entry(), entry("more"))
        self.patch(drops=(ItemDeletion(ENTRY, 4, "pay"),))
        view = self.view()
        self.assertThat(view.item_revisions, Equals({"service:ledger": 1, "entry:more": 1}))
        self.assertThat(view.items.match_route(host="shop.example", path="/pay/x"), Is(None))
        self.assertThat(view.items.match_route(host="shop.example", path="/more/x").name, Equals("more"))
        self.assertThat(view.items.limits, Equals(LimitsItem()))

    def test_below_level_3_patches_are_rejected_and_states_hold_no_items(self) -> None:
        for level in (1, 2):
            self.state = initial_state(mesh="m", voters={1: "one"}, operators={}, level=level)
            empty = pack_state(self.state)
            outcome = self.patch(service(), entry())
            self.assertThat(outcome.error, Equals(str(ErrorKind.RELEASE_LEVEL)))
            self.assertThat(
                (len(self.state.items), len(self.state.patches), self.state.data_plane_revision), Equals((0, 0, 0))
            )
            for part in (b"items", b"patches"):
                self.assertThat(part in empty, Equals(False))
            self.assertThat(unpack_state(pack_state(self.state)), Equals(self.state))
        self.apply(RaiseLevel(3))
        self.assertThat(self.patch(service(), entry()).detail["number"], Equals(1))

    def test_a_claim_is_held_for_its_hold_time_and_replaced_only_if_abandoned(self) -> None:
        def claim(name: str, *, after: str = "") -> Outcome:
            return self.apply(
                ClaimKey("scope", name, f"proxy-{name}", "", "scope", "operation", "scope", "pay", 10, after)
            )

        self.assertThat(claim("one").detail["phase"], Equals("granted"))
        existing = claim("two").detail
        self.assertThat(
            (existing["phase"], existing["claim"], existing["stall"]), Equals(("claimed", "one", "proxy-one"))
        )
        # Only the abandoned claim is replaced, and only once.
        self.assertThat(claim("two", after="other").detail["claim"], Equals("one"))
        self.assertThat(claim("two", after="one").detail["phase"], Equals("granted"))
        self.assertThat(claim("three", after="one").detail["claim"], Equals("two"))
        self.state = self.state._replace(mesh_time=self.state.mesh_time + timedelta(seconds=11))
        self.assertThat(claim("three").detail["phase"], Equals("granted"))


class RememberingLog(Log):
    """The same at level 4, where the state remembers the content of each accepted revision."""

    level = 4

    def test_a_lower_or_equal_revision_changes_nothing(self) -> None:
        self.patch(service(), entry(revision=5))
        before = self.state
        for outcome in (
            self.patch(entry(revision=5)),
            self.patch(entry(revision=4, hold_seconds=9.0)),
            self.patch(drops=(ItemDeletion(ENTRY, 2, "pay"),)),
        ):
            self.assertThat(
                (outcome.error, outcome.detail),
                Equals(("", {"number": 0, "changed": [], "offset": before.data_plane_revision})),
            )
        for outcome in (
            self.patch(entry(revision=5, hold_seconds=9.0)),
            self.patch(entry(revision=4, hold_seconds=8.0)),
            self.patch(drops=(ItemDeletion(ENTRY, 5, "pay"),)),
        ):
            self.assertThat(outcome.error, Equals(str(ErrorKind.ITEM_CONFLICT)))
        self.assertThat(
            (self.state.items, self.state.patches, self.state.data_plane_revision),
            Equals((before.items, before.patches, before.data_plane_revision)),
        )
