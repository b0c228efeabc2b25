"""Release levels, purges, keys by client, operators: the rules of later levels, one record at a time."""

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
PEOPLE = {"ada": "a" * 64, "ben": "b" * 64}


class Log:
    def __init__(self, *, level: int = LEVEL) -> None:
        self.state: State = initial_state(mesh="m", voters={1: "one"}, operators=PEOPLE, level=level)
        self.seconds = 0.0

    def take(self, command: Command, *, later: float = 0.0, supported: int = LEVEL) -> Outcome:
        self.seconds += later
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
        self, name: str, life: str, *, state: str = "alive", seen: int | None = None, level: int = LEVEL
    ) -> Outcome:
        seen = self.state.data_plane_revision if seen is None else seen
        return self.take(RegisterNode(name, "stall", "at", "a", life, state, seen_revision=seen, level=level))

    def server(
        self, name: str, life: str, *, state: str = "ready", seen: int | None = None, serial: int = 1
    ) -> Outcome:
        seen = self.state.data_plane_revision if seen is None else seen
        return self.take(
            RegisterServer(name, "ledger", f"i-{life}", "at", "a", state, serial, life, seen_revision=seen)
        )

    def claim(self, claim: str, *, who: str, by: str = "credentials", body: str = "body", bucket: str = "b") -> Outcome:
        return self.take(ClaimKey(f"old-{who}", claim, "stall", body, bucket, by, who, "payments"))


class Levels(TestCase):
    def test_newer_commands_wait_for_the_level_and_change_nothing_before(self) -> None:
        log = Log(level=1)
        for command in (Purge(0), ProposeOperatorChange("r", "ada", "eve", "e" * 64)):
            before = log.state
            self.assertThat(log.take(command).error, Equals("release-level"))
            self.assertThat(log.state, Equals(before._replace(offset=before.offset + 1, epoch=1)))
        declared = TEXT.replace('note = "Opening day"', 'visitor = "header:X-Member"')
        self.assertThat(log.take(SubmitBundle("r1", "ada", declared)).error, Equals("release-level"))
        log.take(RaiseLevel(2))
        self.assertThat(log.take(SubmitBundle("r2", "ada", declared)).error, Equals(""))
        self.assertThat(log.take(RaiseLevel(1)).detail["level"], Equals(2))

    def test_a_record_that_cant_be_applied_stops_the_replica(self) -> None:
        log = Log(level=1)
        before = log.state
        self.assertThat(log.take(RaiseLevel(2), supported=1).error, Equals("other-release"))
        self.assertThat(log.state, Equals(before))

    def test_below_the_level_a_state_packs_as_the_former_release_packs_it(self) -> None:
        log = Log(level=1)
        log.proxy("stall-1", "life")
        log.server("stall-1", "life")
        log.claim("c1", who="me")
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
        log.take(RaiseLevel(2))
        log.claim("c2", who="me")
        checkpoint_id = OffsetAndEpoch(log.state.offset, 1)
        self.assertThat(
            unpack_checkpoint(
                checkpoint_id=checkpoint_id, data=pack_checkpoint(checkpoint_id=checkpoint_id, state=log.state)
            ),
            Equals(Success(log.state)),
        )

    def test_a_former_releases_proxy_is_not_noted(self) -> None:
        log = Log()
        self.assertThat(log.proxy("stall-1", "life", level=1).error, Equals("release-old"))
        self.assertThat("stall-1" in log.state.nodes, Equals(False))

    def test_a_raise_forgets_nothing_sooner(self) -> None:
        log = Log(level=1)
        log.take(AcquireSingletonRole("warden", "bourse-1", 1))
        log.proxy("stall-1", "life")
        log.take(RegisterNode("stall-1", "stall", "at", "a", "life", "gone", 1), later=10)
        log.take(RaiseLevel(2), later=GONE_RETENTION.total_seconds() * 2)
        self.assertThat(log.take(Purge(1)).detail, Equals({"servers": [], "nodes": []}))
        self.assertThat(log.take(Purge(1), later=GONE_RETENTION.total_seconds()).detail["nodes"], Equals(["stall-1"]))

    def test_a_bundle_that_renames_waits_for_keys_held_by_name(self) -> None:
        log = Log(level=1)
        text = TEXT.partition("[[stages]]")[0]
        digest = log.take(SubmitBundle("s1", "ada", text)).detail["digest"]
        log.take(SignBundle("g1", "ben", 1, digest))
        log.claim("c1", who="me")
        log.take(RaiseLevel(2))
        renamed = text.replace("number = 1\nbased_on = 0", "number = 2\nbased_on = 1").replace('"payments"', '"pay"', 1)
        digest = log.take(SubmitBundle("s2", "ada", renamed)).detail["digest"]
        self.assertThat(log.take(SignBundle("g2", "ben", 2, digest)).error, Equals("release-level"))
        self.assertThat(log.take(SignBundle("g3", "ben", 2, digest), later=606).error, Equals(""))


class Keys(TestCase):
    def test_an_expired_hold_goes_though_its_bucket_was_released_before_the_next_expiry_pass(self) -> None:
        log = Log()
        first = log.claim("c1", who="me", by="header:X-Member")
        # A pass looks for expired holds just before this one expires; the next pass is EXPIRY_INTERVAL later.
        log.take(Tick(1), later=UNSETTLED_HOLD_TIMEOUT.total_seconds() - 1)
        log.take(Tick(1), later=1.5)
        second = log.claim("c2", who="you", by="header:X-Member")
        released = log.take(ReleaseKey(second.detail["scope"], "c2"))
        self.assertThat((second.detail["phase"], released.detail["phase"]), Equals(("granted", "released")))
        self.assertThat(list(log.state.holds), Equals([first.detail["scope"]]))
        log.take(Tick(1), later=EXPIRY_INTERVAL.total_seconds())
        self.assertThat((len(log.state.holds), len(log.state.buckets)), Equals((0, 0)))

    def test_the_same_client_meets_its_hold_and_nobody_else_does(self) -> None:
        log = Log()
        granted = log.claim("c1", who="me")
        self.assertThat(granted.detail["phase"], Equals("granted"))
        scope = granted.detail["scope"]
        self.assertThat(log.claim("c2", who="me").detail["phase"], Equals("claimed"))
        log.take(CompleteKey(scope, "c1", 200, {}, b"{}", True))
        self.assertThat(log.claim("c3", who="me").detail["body"], Equals(b"{}"))
        self.assertThat(log.claim("c4", who="me", body="other").error, Equals("key-other-body"))
        # Other credentials, another kind of mark: nobody can say, so neither runs nor hears anything.
        self.assertThat(log.claim("c5", who="renewed").error, Equals("key-visitor-unsure"))
        self.assertThat(log.claim("c6", who="one", by="header:x-member").error, Equals("key-visitor-unsure"))
        self.assertThat(log.claim("c7", who="renewed", bucket="another key").detail["phase"], Equals("granted"))

    def test_two_declared_clients_are_two_and_expire_apart(self) -> None:
        log = Log()
        one = log.claim("c1", who="one", by="header:x-member").detail
        log.take(CompleteKey(one["scope"], "c1", 200, {}, b"1", True))
        two = log.claim("c2", who="two", by="header:x-member").detail
        self.assertThat((two["phase"], two["scope"] != one["scope"]), Equals(("granted", True)))
        self.assertThat(log.claim("c3", who="one", by="header:x-member").detail["body"], Equals(b"1"))
        log.take(CompleteKey(two["scope"], "c2", 200, {}, b"2", True), later=70)
        self.assertThat(log.claim("c4", who="two", by="header:x-member").detail["body"], Equals(b"2"))
        log.take(Purge(0), later=10)
        self.assertThat(len(log.state.holds), Equals(1))
        log.take(Purge(0), later=100)
        self.assertThat((len(log.state.holds), len(log.state.buckets)), Equals((0, 0)))

    def test_a_hold_of_level_one_keeps_its_effect(self) -> None:
        log = Log(level=1)
        log.claim("c1", who="me")
        log.take(RaiseLevel(2))
        self.assertThat(log.claim("c2", who="me").detail["phase"], Equals("claimed"))
        log.take(CompleteKey("old-me", "c1", 200, {}, b"first", True))
        self.assertThat(log.claim("c3", who="me").detail["body"], Equals(b"first"))
        # A former release's claim says nothing of its client, so it can't be compared and isn't granted.
        self.assertThat(log.take(ClaimKey("x", "c4", "stall", "body")).error, Equals("release-old"))

    def test_by_what_a_client_is_known(self) -> None:
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
    def test_what_is_forgotten_stays_so_whatever_comes_late(self) -> None:
        log = Log()
        log.take(AcquireSingletonRole("warden", "bourse-1", 1))
        log.proxy("stall-1", "life")
        log.server("stall-1", "life")
        seen = log.state.data_plane_revision
        log.take(RegisterServer("stall-1", "ledger", "i-life", "at", "a", "gone", 1, "life", 1))
        log.take(RegisterNode("stall-1", "stall", "at", "a", "life", "gone", 1))
        self.assertThat(log.take(Purge(1), later=590).detail, Equals({"servers": [], "nodes": []}))
        purged = log.take(Purge(1), later=10).detail
        self.assertThat(purged, Equals({"servers": ["stall-1"], "nodes": ["stall-1"]}))
        before = (log.state.nodes, log.state.servers)
        log.proxy("stall-1", "life", seen=seen)
        log.server("stall-1", "life", seen=seen)
        log.proxy("stall-1", "life", state="gone")
        self.assertThat((log.state.nodes, log.state.servers), Equals(before))
        # Having heard of the forgetting, the same machine is welcome again.
        log.proxy("stall-1", "life")
        log.server("stall-1", "life", serial=7)
        self.assertThat((len(log.state.nodes), len(log.state.servers)), Equals((1, 1)))

    def test_a_former_lifes_late_word_does_not_undo_the_present_one(self) -> None:
        log = Log()
        log.proxy("stall-1", "first")
        seen = log.state.data_plane_revision
        log.proxy("stall-1", "second")
        log.proxy("stall-1", "first", seen=seen)
        self.assertThat(log.state.nodes["stall-1"].incarnation, Equals("second"))

    def test_a_year_of_replaced_servers_leaves_nothing_behind(self) -> None:
        """A machine in every half hour is replaced by one that never was, for a year of mesh time."""
        log = Log()
        log.take(AcquireSingletonRole("warden", "bourse-1", 1))
        sizes, names = [], []
        for turn in range(365 * 48):
            name = f"stall-{turn}"
            log.proxy(name, f"life-{turn}")
            log.server(name, f"life-{turn}")
            names.append(name)
            if len(names) > 11:
                gone = names.pop(0)
                node, server = log.state.nodes[gone], log.state.servers[gone]
                log.take(RegisterNode(gone, "stall", "at", "a", node.incarnation, "gone", 1))
                log.take(RegisterServer(gone, "ledger", server.instance, "at", "a", "gone", 1, server.incarnation, 1))
            log.take(Purge(1), later=1800)
            if turn % 4380 == 4379:
                sizes.append((len(log.state.nodes), len(data_plane_items(log.state)), len(pack_state(log.state))))
        print("nodes, items of news, bytes of state after each quarter of a year:", sizes)
        self.assertThat(sizes[-1][:2], Equals(sizes[0][:2]))
        self.assertThat(sizes[-1][2], LessThan(sizes[0][2] * 1.1))

    def test_members_removed_for_long_are_forgotten(self) -> None:
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
    def test_nobody_changes_the_operators_alone_and_two_remain(self) -> None:
        log = Log()

        def propose(operator: str, name: str, digest: str) -> Outcome:
            return log.take(ProposeOperatorChange(f"p{log.state.offset}", operator, name, digest))

        def sign(signer: str, name: str, change: str) -> str:
            return log.take(SignOperatorChange(f"s{log.state.offset}", signer, name, change)).error

        self.assertThat(propose("ada", "ben", "").error, Equals("operator-last"))
        self.assertThat(propose("ada", "eve", "a" * 64).error, Equals("operator-conflict"))
        self.assertThat(propose("nobody", "eve", "e" * 64).error, Equals("operator-unknown"))
        change = propose("ada", "eve", "e" * 64).detail["change"]
        self.assertThat(sign("ada", "eve", change), Equals("operator-self-signed"))
        self.assertThat(sign("ben", "eve", "another"), Equals("operator-conflict"))
        self.assertThat(sorted(log.state.operators), Equals(["ada", "ben"]))
        self.assertThat(sign("ben", "eve", change), Equals(""))
        self.assertThat(sign("ben", "eve", change), Equals("operator-conflict"))
        # Proposed while three were left, signed when only two are: looked at again.
        first, second = (propose("eve", name, "").detail["change"] for name in ("ada", "ben"))
        self.assertThat((sign("ben", "ada", first), sign("eve", "ben", second)), Equals(("", "operator-self-signed")))
        self.assertThat(sign("ben", "ben", second), Equals("operator-last"))
        # Whoever was removed has no say in what comes to the log later.
        self.assertThat(propose("ada", "eve", "").error, Equals("operator-unknown"))
        self.assertThat(log.take(SubmitBundle("late", "ada", TEXT)).error, Equals("operator-unknown"))
        self.assertThat(log.take(WithdrawOperatorChange("d", "ben", "ben")).error, Equals(""))
        self.assertThat(len(log.state.operator_changes), Equals(0))

    def test_one_request_id_is_one_call(self) -> None:
        log = Log()
        first = log.take(ProposeOperatorChange("r", "ada", "eve", "e" * 64))
        self.assertThat(log.take(ProposeOperatorChange("r", "ada", "eve", "e" * 64)), Equals(first))
        self.assertThat(log.take(ProposeOperatorChange("r", "ben", "eve", "e" * 64)).error, Equals("request-reused"))
        self.assertThat(log.take(ProposeOperatorChange("r", "ada", "dan", "d" * 64)).error, Equals("request-reused"))


class Copies(TestCase):
    def test_a_damaged_parent_teaches_nobody_and_a_damaged_root_mends(self) -> None:
        log = Log()
        for place in range(6):
            log.proxy(f"stall-{place}", "life")
        items, revision = data_plane_items(log.state), log.state.data_plane_revision
        now, span = timedelta(seconds=1), timedelta(seconds=1.5)
        own = AppliedVersion("child", 0, 0, "", "life", 0)
        root, child = (Relay(node=name, incarnation="life", lease_span=span) for name in ("root", "child"))

        def read(known: int) -> bool:
            said = items if known < revision else None
            return root.accept_read(
                asked=now, mesh="m", revision=revision, items=said, expected_digests=digests_of(items)
            )

        read(root.known_revision())
        child.accept_answer(root.answer(child.poll(own=own, now=now), now=now), sent=now)
        self.assertThat(child.copy.items, Equals(items))
        key = "node:stall-3"
        root.copy.items = {**items, key: (items[key][0], b"damage")}
        answer = root.answer(child.poll(own=own, now=now), now=now)
        self.assertThat((answer.error, child.accept_answer(answer, sent=now)), Equals(("copy-damaged", False)))
        # The next read says that it holds nothing, and takes all of it anew.
        self.assertThat((root.known_revision(), read(revision)), Equals((-1, False)))
        self.assertThat((read(root.known_revision()), root.copy.items), Equals((True, items)))
        child.copy.items = {name: item for name, item in items.items() if name != key}
        self.assertThat(child.accept_answer(root.answer(child.poll(own=own, now=now), now=now), sent=now), Equals(True))
        self.assertThat(child.copy.items, Equals(items))
        # Changed on its way: what doesn't add up is not taken, and renews nothing.
        child.copy.items = {}
        before = child.lease_start
        call = child.poll(own=own, now=now)
        for takes_block in (True, False):
            answer = root.answer(call._replace(takes_block=takes_block), now=now)
            found = unpack_items(answer.block) if takes_block else answer.items
            spoilt = (found[0]._replace(value=b"x"), *found[1:])
            changed = {"block": pack_items(spoilt)} if takes_block else {"items": spoilt}
            self.assertThat(child.accept_answer(answer._replace(**changed), sent=now * 2), Equals(False))
            self.assertThat((child.copy.items, child.lease_start), Equals(({}, before)))


class Margins(TestCase):
    def test_parts_add_up_to_the_margin_exactly(self) -> None:
        for margin in range(30):
            for count in (1, 2, 7, 11, 13):
                proxies = [f"stall-{place}" for place in range(count)]
                parts = [retry_quota_of(service="s", proxy=name, proxies=proxies, margin=margin) for name in proxies]
                self.assertThat((sum(parts), max(parts) - min(parts) <= 1), Equals((margin, True)))

    def test_parts_fall_at_once_and_rise_after_a_span(self) -> None:
        span = timedelta(seconds=1.5)
        account = RetryBudget(wait=span)

        def allot(part: int, seconds: float, percent: int = 20) -> float:
            now = timedelta(seconds=seconds)
            account.set_quota("s", quota=part, percent=percent, now=now)
            for _ in range(100):
                account.earn("s", percent=percent)
            return float(account.available("s", now=now))

        self.assertThat([allot(4, 0), allot(4, 1.4), allot(4, 1.5)], Equals([0, 0, 2]))
        # The other half are slots, and they wait for a window more.
        self.assertThat(allot(4, 12.0), Equals(4))
        self.assertThat([allot(1, 12.1), allot(4, 12.2), allot(4, 13.6), allot(4, 13.7)], Equals([1, 1, 1, 2]))
        self.assertThat(allot(4, 30), Equals(4))
        ways = [account.try_spend("s", now=timedelta(seconds=30)) for _ in range(5)]
        self.assertThat(ways, Equals(["share", "share", "slot", "slot", ""]))
        account.refund("s", "slot")
        self.assertThat(account.try_spend("s", now=timedelta(seconds=30)), Equals("slot"))
        self.assertThat(account.try_spend("s", now=timedelta(seconds=40.4)), Equals(""))
        self.assertThat(account.try_spend("s", now=timedelta(seconds=40.5)), Equals("slot"))
        self.assertThat(float(account.available("s", now=timedelta(seconds=40.5))), GreaterThan(0.9))
