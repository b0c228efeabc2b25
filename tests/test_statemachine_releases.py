"""Rules of release levels 2 and above: purges, keys by client, operator changes, copies, retry budgets.

During an upgrade former and newer releases apply the same log. The tests guard against states that differ between
releases, purged nodes that late reports restore, and keys that run a request twice or answer the wrong client.
"""

import random
from datetime import timedelta

import msgspec
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.membership.membership import ALIVE, DEAD, DEAD_RETENTION, GossipReceived, Membership, Ticked
from hoistsaddle.membership.packing import pack_items, unpack_items
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.client_identity import ClientIdentity, identify_client
from hoistsaddle.proxy.retry_budget import RetryBudget, retry_quota_of
from hoistsaddle.raft.checkpoint import pack_checkpoint, unpack_checkpoint
from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.rpc.messages import AppliedVersion, MemberState
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import (
    EXPIRY_INTERVAL,
    GONE_RETENTION,
    LEVEL,
    UNSETTLED_HOLD_TIMEOUT,
    AcquireSingletonRole,
    ClaimKey,
    Command,
    CompleteKey,
    Outcome,
    ProposeOperatorChange,
    Purge,
    RaiseLevel,
    RegisterNode,
    RegisterServer,
    ReleaseKey,
    SignBundle,
    SignOperatorChange,
    SubmitBundle,
    Tick,
    WithdrawOperatorChange,
)
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State, initial_state
from hoistsaddle.testbed.deployments import DEPLOYMENTS

TEXT = DEPLOYMENTS["thimble"].first_bundle()
OPERATOR_DIGESTS = {"ada": "a" * 64, "ben": "b" * 64}


class Log:
    def __init__(self, *, level: int = LEVEL) -> None:
        self.state: State = initial_state(mesh="m", voters={1: "one"}, operators=OPERATOR_DIGESTS, level=level)
        self.seconds = 0.0

    def append_record(self, command: Command, *, after_seconds: float = 0.0, supported: int = LEVEL) -> Outcome:
        self.seconds += after_seconds
        self.state, outcome = apply(
            self.state,
            offset=self.state.offset + 1,
            epoch=1,
            stamp=timedelta(seconds=self.seconds),
            payload=pack_command(command),
            supported=supported,
        )
        return outcome

    def proxy(
        self, name: str, incarnation: str, *, state: str = "alive", seen: int | None = None, level: int = LEVEL
    ) -> Outcome:
        seen = self.state.data_plane_revision if seen is None else seen
        return self.append_record(
            RegisterNode(name, "stall", "at", "a", incarnation, state, seen_revision=seen, level=level)
        )

    def server(
        self, name: str, incarnation: str, *, state: str = "ready", seen: int | None = None, serial: int = 1
    ) -> Outcome:
        seen = self.state.data_plane_revision if seen is None else seen
        return self.append_record(
            RegisterServer(
                name, "ledger", f"i-{incarnation}", "at", "a", state, serial, incarnation, seen_revision=seen
            )
        )

    def claim(
        self, claim: str, *, client: str, identified_by: str = "credentials", body: str = "body", bucket: str = "b"
    ) -> Outcome:
        return self.append_record(
            ClaimKey(f"old-{client}", claim, "stall", body, bucket, identified_by, client, "payments")
        )


class Levels(TestCase):
    def test_newer_commands_are_rejected_below_their_level(self) -> None:
        log = Log(level=1)
        for command in (Purge(0), ProposeOperatorChange("r", "ada", "eve", "e" * 64)):
            before = log.state
            self.assertThat(log.append_record(command).error, Equals("release-level"))
            self.assertThat(log.state, Equals(before._replace(offset=before.offset + 1, epoch=1)))
        declared = TEXT.replace('note = "Opening day"', 'visitor = "header:X-Member"')
        self.assertThat(log.append_record(SubmitBundle("r1", "ada", declared)).error, Equals("release-level"))
        log.append_record(RaiseLevel(2))
        self.assertThat(log.append_record(SubmitBundle("r2", "ada", declared)).error, Equals(""))
        self.assertThat(log.append_record(RaiseLevel(1)).detail["level"], Equals(2))

    def test_a_record_above_the_supported_level_is_rejected_as_other_release(self) -> None:
        log = Log(level=1)
        before = log.state
        self.assertThat(log.append_record(RaiseLevel(2), supported=1).error, Equals("other-release"))
        self.assertThat(log.state, Equals(before))

    def test_below_the_level_a_state_packs_as_in_the_former_release(self) -> None:
        log = Log(level=1)
        log.proxy("stall-1", "life")
        log.server("stall-1", "life")
        log.claim("c1", client="me")
        packed = msgspec.msgpack.decode(pack_state(log.state))
        self.assertThat(
            sorted(packed),
            Equals(
                sorted(
                    [
                        "mesh",
                        "offset",
                        "epoch",
                        "stamp",
                        "swept",
                        "voters",
                        "operators",
                        "bundles",
                        "in_force",
                        "rolling",
                        "servers",
                        "nodes",
                        "duties",
                        "holds",
                        "outcomes",
                        "news",
                    ]
                )
            ),
        )
        widths = {name: len(packed[name][0][1]) for name in ("servers", "nodes", "holds")}
        self.assertThat(widths, Equals({"servers": 10, "nodes": 7, "holds": 9}))
        self.assertThat(unpack_state(pack_state(log.state)), Equals(log.state))
        log.append_record(RaiseLevel(2))
        log.claim("c2", client="me")
        checkpoint_id = OffsetAndEpoch(log.state.offset, 1)
        self.assertThat(
            unpack_checkpoint(
                checkpoint_id=checkpoint_id, data=pack_checkpoint(checkpoint_id=checkpoint_id, state=log.state)
            ),
            Equals(Success(log.state)),
        )

    def test_a_proxy_of_a_former_release_is_not_registered(self) -> None:
        log = Log()
        self.assertThat(log.proxy("stall-1", "life", level=1).error, Equals("release-old"))
        self.assertThat("stall-1" in log.state.nodes, Equals(False))

    def test_raising_the_level_purges_nothing_sooner(self) -> None:
        log = Log(level=1)
        log.append_record(AcquireSingletonRole("warden", "bourse-1", 1))
        log.proxy("stall-1", "life")
        log.append_record(RegisterNode("stall-1", "stall", "at", "a", "life", "gone", 1), after_seconds=10)
        log.append_record(RaiseLevel(2), after_seconds=GONE_RETENTION.total_seconds() * 2)
        self.assertThat(log.append_record(Purge(1)).detail, Equals({"servers": [], "nodes": []}))
        self.assertThat(
            log.append_record(Purge(1), after_seconds=GONE_RETENTION.total_seconds()).detail["nodes"],
            Equals(["stall-1"]),
        )

    def test_a_bundle_that_renames_a_route_waits_for_keys_held_by_its_name(self) -> None:
        log = Log(level=1)
        text = TEXT.partition("[[stages]]")[0]
        digest = log.append_record(SubmitBundle("s1", "ada", text)).detail["digest"]
        log.append_record(SignBundle("g1", "ben", 1, digest))
        log.claim("c1", client="me")
        log.append_record(RaiseLevel(2))
        renamed = text.replace("number = 1\nbased_on = 0", "number = 2\nbased_on = 1").replace('"payments"', '"pay"', 1)
        digest = log.append_record(SubmitBundle("s2", "ada", renamed)).detail["digest"]
        self.assertThat(log.append_record(SignBundle("g2", "ben", 2, digest)).error, Equals("release-level"))
        self.assertThat(log.append_record(SignBundle("g3", "ben", 2, digest), after_seconds=606).error, Equals(""))


class Keys(TestCase):
    def test_an_expired_hold_is_removed_though_its_bucket_was_removed_before_the_expiry_pass(self) -> None:
        log = Log()
        first = log.claim("c1", client="me", identified_by="header:X-Member")
        # An expiry pass runs just before this hold expires; the next pass is EXPIRY_INTERVAL later.
        log.append_record(Tick(1), after_seconds=UNSETTLED_HOLD_TIMEOUT.total_seconds() - 1)
        log.append_record(Tick(1), after_seconds=1.5)
        second = log.claim("c2", client="you", identified_by="header:X-Member")
        released = log.append_record(ReleaseKey(second.detail["scope"], "c2"))
        self.assertThat((second.detail["phase"], released.detail["phase"]), Equals(("granted", "released")))
        self.assertThat(list(log.state.holds), Equals([first.detail["scope"]]))
        log.append_record(Tick(1), after_seconds=EXPIRY_INTERVAL.total_seconds())
        self.assertThat((len(log.state.holds), len(log.state.buckets)), Equals((0, 0)))

    def test_a_hold_is_shown_to_its_client_only(self) -> None:
        log = Log()
        granted = log.claim("c1", client="me")
        self.assertThat(granted.detail["phase"], Equals("granted"))
        scope = granted.detail["scope"]
        self.assertThat(log.claim("c2", client="me").detail["phase"], Equals("claimed"))
        log.append_record(CompleteKey(scope, "c1", 200, {}, b"{}", True))
        self.assertThat(log.claim("c3", client="me").detail["body"], Equals(b"{}"))
        self.assertThat(log.claim("c4", client="me", body="other").error, Equals("key-other-body"))
        # Other credentials or another kind of identity: the client can't be determined, so nothing runs or is answered.
        self.assertThat(log.claim("c5", client="renewed").error, Equals("key-visitor-unsure"))
        self.assertThat(
            log.claim("c6", client="one", identified_by="header:x-member").error, Equals("key-visitor-unsure")
        )
        self.assertThat(log.claim("c7", client="renewed", bucket="another key").detail["phase"], Equals("granted"))

    def test_declared_clients_are_distinguished_and_expire_separately(self) -> None:
        log = Log()
        one = log.claim("c1", client="one", identified_by="header:x-member").detail
        log.append_record(CompleteKey(one["scope"], "c1", 200, {}, b"1", True))
        two = log.claim("c2", client="two", identified_by="header:x-member").detail
        self.assertThat((two["phase"], two["scope"] != one["scope"]), Equals(("granted", True)))
        self.assertThat(log.claim("c3", client="one", identified_by="header:x-member").detail["body"], Equals(b"1"))
        log.append_record(CompleteKey(two["scope"], "c2", 200, {}, b"2", True), after_seconds=70)
        self.assertThat(log.claim("c4", client="two", identified_by="header:x-member").detail["body"], Equals(b"2"))
        log.append_record(Purge(0), after_seconds=10)
        self.assertThat(len(log.state.holds), Equals(1))
        log.append_record(Purge(0), after_seconds=100)
        self.assertThat((len(log.state.holds), len(log.state.buckets)), Equals((0, 0)))

    def test_a_hold_of_level_one_stays_effective(self) -> None:
        log = Log(level=1)
        log.claim("c1", client="me")
        log.append_record(RaiseLevel(2))
        self.assertThat(log.claim("c2", client="me").detail["phase"], Equals("claimed"))
        log.append_record(CompleteKey("old-me", "c1", 200, {}, b"first", True))
        self.assertThat(log.claim("c3", client="me").detail["body"], Equals(b"first"))
        # A claim of a former release doesn't identify its client, so it can't be compared and isn't granted.
        self.assertThat(log.append_record(ClaimKey("x", "c4", "stall", "body")).error, Equals("release-old"))

    def test_how_a_client_is_identified(self) -> None:
        def of(declared: str = "", twice: tuple[str, ...] = (), **headers: str) -> str:
            sent = {name.replace("_", "-"): value for name, value in headers.items()}
            known = identify_client(caller="", declared=declared, headers=sent, twice=twice)
            return known.identified_by if isinstance(known, ClientIdentity) else str(known.kind)

        self.assertThat(of(Authorization="Bearer x"), Equals("credentials"))
        self.assertThat(of(Cookie="lang=en"), Equals("visitor-missing"))
        self.assertThat(of("header:X-Member", X_Member="7"), Equals("header:x-member"))
        self.assertThat(of("header:X-Member", Authorization="Bearer x"), Equals("visitor-missing"))
        self.assertThat(of("header:X-Member", ("x-member",), X_Member="7"), Equals("request-broken"))
        self.assertThat(of("cookie:sid", Cookie="lang=en; sid=1"), Equals("cookie:sid"))
        self.assertThat(of("cookie:sid", Cookie="sid=1; sid=2"), Equals("visitor-missing"))
        same = [
            identify_client(caller="", declared="cookie:sid", headers={"Cookie": text})
            for text in ("a=1; sid=9", "sid=9")
        ]
        self.assertThat(same[0], Equals(same[1]))


class Forgetting(TestCase):
    def test_late_reports_do_not_restore_purged_servers_and_nodes(self) -> None:
        log = Log()
        log.append_record(AcquireSingletonRole("warden", "bourse-1", 1))
        log.proxy("stall-1", "life")
        log.server("stall-1", "life")
        seen = log.state.data_plane_revision
        log.append_record(RegisterServer("stall-1", "ledger", "i-life", "at", "a", "gone", 1, "life", 1))
        log.append_record(RegisterNode("stall-1", "stall", "at", "a", "life", "gone", 1))
        self.assertThat(log.append_record(Purge(1), after_seconds=590).detail, Equals({"servers": [], "nodes": []}))
        purged = log.append_record(Purge(1), after_seconds=10).detail
        self.assertThat(purged, Equals({"servers": ["stall-1"], "nodes": ["stall-1"]}))
        before = (log.state.nodes, log.state.servers)
        log.proxy("stall-1", "life", seen=seen)
        log.server("stall-1", "life", seen=seen)
        log.proxy("stall-1", "life", state="gone")
        self.assertThat((log.state.nodes, log.state.servers), Equals(before))
        # Reports that have seen the purge register the same machine again.
        log.proxy("stall-1", "life")
        log.server("stall-1", "life", serial=7)
        self.assertThat((len(log.state.nodes), len(log.state.servers)), Equals((1, 1)))

    def test_a_late_report_of_a_former_incarnation_does_not_replace_the_present_one(self) -> None:
        log = Log()
        log.proxy("stall-1", "first")
        seen = log.state.data_plane_revision
        log.proxy("stall-1", "second")
        log.proxy("stall-1", "first", seen=seen)
        self.assertThat(log.state.nodes["stall-1"].incarnation, Equals("second"))

    def test_a_year_of_replaced_servers_does_not_grow_the_state(self) -> None:
        """Every half hour of a year of mesh time a machine is replaced by a machine with a new name."""
        log = Log()
        log.append_record(AcquireSingletonRole("warden", "bourse-1", 1))
        sizes, names = [], []
        for number in range(365 * 48):
            name = f"stall-{number}"
            log.proxy(name, f"life-{number}")
            log.server(name, f"life-{number}")
            names.append(name)
            if len(names) > 11:
                gone = names.pop(0)
                node, server = log.state.nodes[gone], log.state.servers[gone]
                log.append_record(RegisterNode(gone, "stall", "at", "a", node.incarnation, "gone", 1))
                log.append_record(
                    RegisterServer(gone, "ledger", server.instance, "at", "a", "gone", 1, server.incarnation, 1)
                )
            log.append_record(Purge(1), after_seconds=1800)
            if number % 4380 == 4379:
                sizes.append((len(log.state.nodes), len(data_plane_items(log.state)), len(pack_state(log.state))))
        print("nodes, items of news, bytes of state after each quarter of a year:", sizes)
        self.assertThat(sizes[-1][:2], Equals(sizes[0][:2]))
        self.assertThat(sizes[-1][2], LessThan(sizes[0][2] * 1.1))

    def test_members_dead_for_the_retention_time_are_removed(self) -> None:
        me = MemberState("me", "stall", "at-me", "a", "life", 0, ALIVE)
        core = Membership(
            me=me, rng=random.Random(1), probe_interval=timedelta(0), suspicion_timeout=timedelta(seconds=1)
        )
        now = timedelta(seconds=10)
        core.handle(GossipReceived((me._replace(node="other", state=ALIVE),)), now=now)
        core.handle(GossipReceived((me._replace(node="other", state=DEAD, count=1),)), now=now)
        core.handle(Ticked(), now=now + DEAD_RETENTION / 2)
        self.assertThat("other" in core.members, Equals(True))
        core.handle(Ticked(), now=now + DEAD_RETENTION)
        core.handle(GossipReceived((me._replace(node="other", state=DEAD, count=1),)), now=now + DEAD_RETENTION)
        self.assertThat((sorted(core.members), sorted(core.transmissions)), Equals((["me"], ["me"])))


class OperatorChanges(TestCase):
    def test_operator_changes_need_two_operators_and_two_remain(self) -> None:
        log = Log()

        def propose(operator: str, name: str, digest: str) -> Outcome:
            return log.append_record(ProposeOperatorChange(f"p{log.state.offset}", operator, name, digest))

        def sign(signer: str, name: str, change: str) -> str:
            return log.append_record(SignOperatorChange(f"s{log.state.offset}", signer, name, change)).error

        self.assertThat(propose("ada", "ben", "").error, Equals("operator-last"))
        self.assertThat(propose("ada", "eve", "a" * 64).error, Equals("operator-conflict"))
        self.assertThat(propose("nobody", "eve", "e" * 64).error, Equals("operator-unknown"))
        change = propose("ada", "eve", "e" * 64).detail["change"]
        self.assertThat(sign("ada", "eve", change), Equals("operator-self-signed"))
        self.assertThat(sign("ben", "eve", "another"), Equals("operator-conflict"))
        self.assertThat(sorted(log.state.operators), Equals(["ada", "ben"]))
        self.assertThat(sign("ben", "eve", change), Equals(""))
        self.assertThat(sign("ben", "eve", change), Equals("operator-conflict"))
        # Both were proposed while there were three operators; the second is checked again when only two are left.
        first, second = (propose("eve", name, "").detail["change"] for name in ("ada", "ben"))
        self.assertThat((sign("ben", "ada", first), sign("eve", "ben", second)), Equals(("", "operator-self-signed")))
        self.assertThat(sign("ben", "ben", second), Equals("operator-last"))
        # Later commands of a removed operator are rejected.
        self.assertThat(propose("ada", "eve", "").error, Equals("operator-unknown"))
        self.assertThat(log.append_record(SubmitBundle("late", "ada", TEXT)).error, Equals("operator-unknown"))
        self.assertThat(log.append_record(WithdrawOperatorChange("d", "ben", "ben")).error, Equals(""))
        self.assertThat(len(log.state.operator_changes), Equals(0))

    def test_a_request_id_belongs_to_one_call(self) -> None:
        log = Log()
        first = log.append_record(ProposeOperatorChange("r", "ada", "eve", "e" * 64))
        self.assertThat(log.append_record(ProposeOperatorChange("r", "ada", "eve", "e" * 64)), Equals(first))
        self.assertThat(
            log.append_record(ProposeOperatorChange("r", "ben", "eve", "e" * 64)).error, Equals("request-reused")
        )
        self.assertThat(
            log.append_record(ProposeOperatorChange("r", "ada", "dan", "d" * 64)).error, Equals("request-reused")
        )


class Copies(TestCase):
    def test_a_corrupted_parent_serves_no_copy_and_a_corrupted_root_recovers(self) -> None:
        log = Log()
        for index in range(6):
            log.proxy(f"stall-{index}", "life")
        items, revision = data_plane_items(log.state), log.state.data_plane_revision
        now, span = timedelta(seconds=1), timedelta(seconds=1.5)
        own = AppliedVersion("child", 0, 0, "", "life", 0)
        root, child = (Relay(node=name, incarnation="life", lease_span=span) for name in ("root", "child"))

        def read(known: int) -> bool:
            sent_items = items if known < revision else None
            return root.accept_read(
                asked=now, mesh="m", revision=revision, items=sent_items, expected_digests=digests_of(items)
            )

        read(root.known_revision())
        child.accept_answer(root.answer(child.poll(own=own, now=now), now=now), sent=now)
        self.assertThat(child.copy.items, Equals(items))
        key = "node:stall-3"
        root.copy.items = {**items, key: (items[key][0], b"damage")}
        answer = root.answer(child.poll(own=own, now=now), now=now)
        self.assertThat((answer.error, child.accept_answer(answer, sent=now)), Equals(("copy-damaged", False)))
        # The next read reports no known revision and gets the whole copy again.
        self.assertThat((root.known_revision(), read(revision)), Equals((-1, False)))
        self.assertThat((read(root.known_revision()), root.copy.items), Equals((True, items)))
        child.copy.items = {name: item for name, item in items.items() if name != key}
        self.assertThat(child.accept_answer(root.answer(child.poll(own=own, now=now), now=now), sent=now), Equals(True))
        self.assertThat(child.copy.items, Equals(items))
        # An answer that was changed in transit doesn't match its digests: it is not applied and renews no lease.
        child.copy.items = {}
        before = child.lease_start
        call = child.poll(own=own, now=now)
        for takes_block in (True, False):
            answer = root.answer(call._replace(takes_block=takes_block), now=now)
            found = unpack_items(answer.block) if takes_block else answer.items
            corrupted = (found[0]._replace(value=b"x"), *found[1:])
            changed = {"block": pack_items(corrupted)} if takes_block else {"items": corrupted}
            self.assertThat(child.accept_answer(answer._replace(**changed), sent=now * 2), Equals(False))
            self.assertThat((child.copy.items, child.lease_start), Equals(({}, before)))


class Margins(TestCase):
    def test_quotas_add_up_to_the_margin_exactly(self) -> None:
        for margin in range(30):
            for count in (1, 2, 7, 11, 13):
                proxies = [f"stall-{index}" for index in range(count)]
                quotas = [retry_quota_of(service="s", proxy=name, proxies=proxies, margin=margin) for name in proxies]
                self.assertThat((sum(quotas), max(quotas) - min(quotas) <= 1), Equals((margin, True)))

    def test_quotas_fall_at_once_and_rise_after_a_lease(self) -> None:
        span = timedelta(seconds=1.5)
        budget = RetryBudget(wait=span)

        def set_and_earn(amount: int, seconds: float, percent: int = 20) -> float:
            now = timedelta(seconds=seconds)
            budget.set_quota("s", quota=amount, percent=percent, now=now)
            for _ in range(100):
                budget.earn("s", percent=percent)
            return float(budget.available("s", now=now))

        self.assertThat([set_and_earn(4, 0), set_and_earn(4, 1.4), set_and_earn(4, 1.5)], Equals([0, 0, 2]))
        # The other half of the quota are slots, which become available one window later.
        self.assertThat(set_and_earn(4, 12.0), Equals(4))
        self.assertThat(
            [set_and_earn(1, 12.1), set_and_earn(4, 12.2), set_and_earn(4, 13.6), set_and_earn(4, 13.7)],
            Equals([1, 1, 1, 2]),
        )
        self.assertThat(set_and_earn(4, 30), Equals(4))
        kinds = [budget.try_spend("s", now=timedelta(seconds=30)) for _ in range(5)]
        self.assertThat(kinds, Equals(["share", "share", "slot", "slot", ""]))
        budget.refund("s", "slot")
        self.assertThat(budget.try_spend("s", now=timedelta(seconds=30)), Equals("slot"))
        self.assertThat(budget.try_spend("s", now=timedelta(seconds=40.4)), Equals(""))
        self.assertThat(budget.try_spend("s", now=timedelta(seconds=40.5)), Equals("slot"))
        self.assertThat(float(budget.available("s", now=timedelta(seconds=40.5))), GreaterThan(0.9))
