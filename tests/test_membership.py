"""Configuration updates, leases, anti-entropy and failure detection, on their cores without I/O."""

import random
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.membership import configuration_copy
from hoistsaddle.membership.configuration_copy import ConfigurationCopy
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.membership import (
    ALIVE,
    DEAD,
    SUSPECT,
    Changed,
    GossipReceived,
    IndirectProbesAnswered,
    Membership,
    Probe,
    ProbeAnswered,
    ProbeTimedOut,
    RequestIndirectProbes,
    Ticked,
)
from hoistsaddle.membership.packing import pack_items, unpack_items
from hoistsaddle.membership.relay import Relay
from hoistsaddle.membership.removal_history import MAX_REMOVALS, RemovalHistory
from hoistsaddle.rpc.messages import AppliedVersion, ConfigurationItem, MemberState, PollAnswer
from hoistsaddle.statemachine.digests import RANGES, digests_of, range_of

SPAN = timedelta(seconds=1.5)
OWN = AppliedVersion("child", 0, 0, "", "life", 0)


def at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def relay(name: str) -> Relay:
    return Relay(node=name, incarnation="life", lease_span=SPAN)


def items(count: int, *, revision: int = 1) -> dict[str, tuple[int, bytes]]:
    return {f"server:stall-{number}": (revision, b"value") for number in range(count)}


class Leases(TestCase):
    """How long a copy may be used, and what renews it."""

    def test_a_lease_counts_from_the_polls_sending_minus_the_parents_age(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        # The child's clock shows something else entirely, and the answer is slow.
        call = child.poll(own=OWN, now=at(700))
        child.accept_answer(root.answer(call, now=at(10.4)), sent=at(700))
        self.assertThat(child.lease_start, Equals(at(699.6)))
        self.assertThat((child.fresh(now=at(701.0)), child.fresh(now=at(701.1))), Equals((True, False)))

    def test_a_lapsed_parent_renews_nothing(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        answer = root.answer(child.poll(own=OWN, now=at(0)), now=at(12))
        self.assertThat(
            (answer.error, child.accept_answer(answer, sent=at(0)), child.lease_start),
            Equals(("lease-lapsed", False, None)),
        )

    def test_a_ring_of_relays_starves(self) -> None:
        one, two = relay("one"), relay("two")
        one.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        timestamp = 10.0
        while timestamp < 14:
            for child, parent in ((one, two), (two, one)):
                child.accept_answer(
                    parent.answer(child.poll(own=OWN, now=at(timestamp)), now=at(timestamp + 0.01)), sent=at(timestamp)
                )
            timestamp += 0.1
        self.assertThat((one.fresh(now=at(timestamp)), two.fresh(now=at(timestamp))), Equals((False, False)))

    def test_revisions_never_go_back_and_an_older_parent_gives_no_lease(self) -> None:
        old, child = relay("old"), relay("child")
        old.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        child.accept_read(asked=at(9), mesh="m", revision=6, items=items(2, revision=6))
        changed = child.accept_answer(old.answer(child.poll(own=OWN, now=at(10)), now=at(10)), sent=at(10))
        self.assertThat((changed, child.copy.revision, child.lease_start), Equals((False, 6, at(9))))


class Repair(TestCase):
    """Anti-entropy: damaged or missing items are found by digests and fetched."""

    def test_only_ranges_that_differ_travel_and_damage_is_mended(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(1), mesh="m", revision=5, items=items(200))
        child.accept_answer(root.answer(child.poll(own=OWN, now=at(1)), now=at(1)), sent=at(1))
        self.assertThat(child.copy.items, Equals(root.copy.items))
        damaged = dict(child.copy.items)
        damaged["server:stall-7"] = (1, b"damage")
        del damaged["server:stall-8"]
        damaged["server:never-was"] = (1, b"x")
        child.copy.replace(mesh="m", revision=5, items=damaged)
        answer = root.answer(child.poll(own=OWN, now=at(1)), now=at(1))
        self.assertThat(0 < len(unpack_items(answer.block)) < 100, Equals(True))
        child.accept_answer(answer, sent=at(1))
        self.assertThat(child.copy.items, Equals(root.copy.items))

    def test_damage_in_place_shows_at_once_and_a_sound_copy_is_not_digested_again(self) -> None:
        taken = []

        def digests(items):
            taken.append(len(items))
            return digests_of(items)

        copy = ConfigurationCopy()
        copy.replace(mesh="m", revision=5, items=items(50))
        self.patch(configuration_copy, "digests_of", digests)
        sound = copy.audit()
        self.assertThat(([copy.audit() for _ in range(5)], taken), Equals(([sound] * 5, [50])))
        for damage in ({"server:stall-7": (1, b"damage")}, {"server:stall-7": (9, copy.items["server:stall-7"][1])}):
            before = dict(copy.items)
            copy.items.update(damage)
            differing = [place for place in range(RANGES) if copy.audit()[place] != sound[place]]
            self.assertThat(differing, Equals([range_of("server:stall-7")]))
            copy.items.clear()
            copy.items.update(before)
            self.assertThat(copy.audit(), Equals(sound))
        del copy.items["server:stall-8"]
        self.assertThat(copy.audit() == sound, Equals(False))

    def test_what_was_removed_goes_from_every_copy(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(1), mesh="m", revision=5, items=items(10))
        child.accept_answer(root.answer(child.poll(own=OWN, now=at(1)), now=at(1)), sent=at(1))
        root.accept_read(asked=at(2), mesh="m", revision=6, items=items(4))
        child.accept_answer(root.answer(child.poll(own=OWN, now=at(2)), now=at(2)), sent=at(2))
        self.assertThat((len(child.copy.items), child.copy.revision), Equals((4, 6)))

    def test_another_meshs_news_is_not_taken(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(1), mesh="other", revision=9, items=items(3))
        child.accept_read(asked=at(1), mesh="m", revision=5, items=items(2))
        self.assertThat(root.answer(child.poll(own=OWN, now=at(1)), now=at(1)).error, Equals("wrong-mesh"))


class IncrementalUpdates(TestCase):
    """Only what was set or removed since a child's revision is sent; complete ranges go where that isn't known."""

    def confirm(self, root: Relay, revision: int, found: dict[str, tuple[int, bytes]]) -> None:
        root.accept_read(
            asked=at(revision), mesh="m", revision=revision, items=found, expected_digests=digests_of(found)
        )

    def poll_parent(self, child: Relay, parent: Relay, timestamp: float) -> PollAnswer:
        answer = parent.answer(child.poll(own=OWN, now=at(timestamp)), now=at(timestamp))
        child.accept_answer(answer, sent=at(timestamp))
        return answer

    def family(self, count: int = 200) -> tuple[Relay, Relay]:
        root, child = relay("root"), relay("child")
        self.confirm(root, 5, items(count, revision=5))
        self.poll_parent(child, root, 5)
        return root, child

    def test_one_item_set_and_one_removed_travel_alone(self) -> None:
        root, child = self.family()
        later = items(199, revision=5) | {"server:stall-3": (6, b"new"), "server:another": (6, b"x")}
        self.confirm(root, 6, later)
        answer = self.poll_parent(child, root, 6)
        self.assertThat(
            (
                answer.only_changes,
                sorted(item.key for item in unpack_items(answer.block)),
                answer.removed,
                answer.ranges,
            ),
            Equals((True, ["server:another", "server:stall-3"], ("server:stall-199",), ())),
        )
        self.assertThat((child.copy.items, child.copy.revision), Equals((later, 6)))

    def test_a_child_that_is_behind_by_several_revisions_is_told_all_of_them(self) -> None:
        root, child = self.family(20)
        found = items(20, revision=5)
        for revision in range(6, 12):
            found = {key: item for key, item in found.items() if key != f"server:stall-{revision}"}
            found |= {f"server:stall-{revision - 6}": (revision, b"new")}
            self.confirm(root, revision, found)
        answer = self.poll_parent(child, root, 11)
        self.assertThat((answer.only_changes, child.copy.items), Equals((True, found)))

    def test_a_damaged_copy_refuses_changes_and_is_mended_by_ranges(self) -> None:
        root, child = self.family()
        child.copy.items["server:stall-9"] = (5, b"damage")
        later = items(200, revision=5) | {"server:stall-3": (6, b"new")}
        self.confirm(root, 6, later)
        self.assertThat((self.poll_parent(child, root, 6).only_changes, child.copy.revision), Equals((True, 5)))
        self.assertThat((self.poll_parent(child, root, 6).only_changes, child.copy.items), Equals((False, later)))
        # Repaired, it takes changes again.
        later = later | {"server:stall-4": (7, b"newer")}
        self.confirm(root, 7, later)
        self.assertThat((self.poll_parent(child, root, 7).only_changes, child.copy.items), Equals((True, later)))

    def test_whoever_is_behind_the_history_or_of_a_former_release_gets_ranges(self) -> None:
        root, child = self.family()
        young = relay("young")
        self.confirm(root, 6, items(199, revision=5) | {"server:stall-3": (6, b"new")})
        # This parent was filled after the removal, so its history can't serve a child of revision 5.
        self.poll_parent(young, root, 6)
        self.assertThat(
            (self.poll_parent(child, young, 6).only_changes, child.copy.items), Equals((False, root.copy.items))
        )
        former = relay("former")
        call = former.poll(own=OWN, now=at(6))._replace(takes_changes=False, takes_block=False)
        answer = root.answer(call, now=at(6))
        self.assertThat((answer.only_changes, answer.block, len(answer.items)), Equals((False, b"", 199)))
        # A former release's answer is applied as ever.
        former.accept_answer(answer, sent=at(6))
        self.assertThat(former.copy.items, Equals(root.copy.items))

    def test_a_damaged_block_teaches_nothing_and_whole_ranges_are_asked_for(self) -> None:
        root, child = self.family()
        self.confirm(root, 6, items(199, revision=5))
        good = root.answer(child.poll(own=OWN, now=at(6)), now=at(6))
        other = pack_items([ConfigurationItem("server:x", 6, b"x")])
        for block in (good.block[:-3] or b"cut", b"garbage", other[:-4], other + b"more"):
            child.accept_answer(good._replace(block=block), sent=at(6))
            self.assertThat((child.copy.revision, child.needs_ranges), Equals((5, True)), str(block))
        self.assertThat(
            (self.poll_parent(child, root, 6).only_changes, child.copy.items), Equals((False, root.copy.items))
        )

    def test_children_that_lack_the_same_share_one_block(self) -> None:
        root, child = self.family()
        other = relay("other")
        self.poll_parent(other, root, 5)
        self.confirm(root, 6, items(200, revision=5) | {"server:stall-3": (6, b"new")})
        blocks = [self.poll_parent(each, root, 6).block for each in (child, other)]
        self.assertThat((blocks[0] is blocks[1], len(root.blocks)), Equals((True, 1)))

    def test_changes_to_an_older_poll_that_come_late_do_no_harm(self) -> None:
        root, child = self.family(20)
        early = child.poll(own=OWN, now=at(5))
        self.confirm(root, 6, items(19, revision=5))
        self.poll_parent(child, root, 6)
        self.confirm(root, 7, items(18, revision=5) | {"server:stall-19": (7, b"back")})
        child.accept_answer(root.answer(early, now=at(7)), sent=at(5))
        self.assertThat((child.copy.items, child.copy.revision), Equals((root.copy.items, 7)))

    def test_more_removals_than_are_remembered_send_ranges(self) -> None:
        history = RemovalHistory()
        history.restart(revision=1)
        found = {f"key-{number}": (1, b"") for number in range(MAX_REMOVALS + 2)}
        for number in range(MAX_REMOVALS + 2):
            fewer = {key: item for key, item in found.items() if key != f"key-{number}"}
            history.record(before=found, after=fewer, revision=number + 2)
            found = fewer
        self.assertThat(
            (history.reaches_back_to(1), history.reaches_back_to(3), len(history.removed_after(3))),
            Equals((False, True, MAX_REMOVALS)),
        )

    def test_random_trees_always_hold_what_the_log_held_at_their_revision(self) -> None:
        for seed in range(30):
            drawn = random.Random(seed)
            nodes = [relay(f"node-{number}") for number in range(6)]
            held, incremental_answers = {1: items(12)}, 0
            self.confirm(nodes[0], 1, held[1])
            for revision in range(2, 60):
                found = dict(held[revision - 1])
                for _ in range(drawn.randint(1, 3)):
                    key = f"server:stall-{drawn.randint(0, 15)}"
                    found.pop(key, None) if drawn.random() < 0.4 else found.update({key: (revision, b"%d" % revision)})
                held[revision] = found
                if drawn.random() < 0.7:
                    self.confirm(nodes[0], revision, found)
                for _ in range(drawn.randint(0, 6)):
                    child = drawn.randint(1, 5)
                    answer = self.poll_parent(nodes[child], nodes[drawn.randrange(child)], revision)
                    incremental_answers += answer.only_changes
                for each in nodes:
                    self.assertThat(each.copy.items, Equals(held.get(each.copy.revision, {})), f"seed {seed}")
            self.assertThat(incremental_answers > 20, Equals(True), f"seed {seed}: {incremental_answers}")


class DistributionTree(TestCase):
    def test_everyone_has_a_way_to_a_root_and_no_parent_feeds_many(self) -> None:
        roots = [(f"bourse-{number}", f"root-{number}") for number in range(3)]
        proxies = [(f"stall-{number:02d}", f"at-{number:02d}") for number in range(40)]
        first = {name: select_parents(node=name, proxies=proxies, roots=roots) for name, _ in proxies}
        address_of = dict(proxies)
        feeds: dict[str, int] = {}
        for name, parents in first.items():
            feeds[parents[0]] = feeds.get(parents[0], 0) + 1
            self.assertThat(set(parents) >= {address for _, address in roots}, Equals(True))
            at_node, steps = name, 0
            while not (parent := first[at_node][0]).startswith("root-"):
                at_node = next(each for each, address in address_of.items() if address == parent)
                steps += 1
                self.assertThat(steps < 8, Equals(True), name)
        self.assertThat(max(feeds.values()), Equals(2))


class FailureDetection(TestCase):
    def member(self, name: str, *, count: int = 0, state: str = ALIVE) -> MemberState:
        return MemberState(name, "stall", f"at-{name}", "a", f"life-{name}", count, state)

    def membership(self, *, retransmit_limit: int | None = None) -> Membership:
        core = Membership(
            me=self.member("me"),
            rng=random.Random(1),
            probe_interval=at(0.25),
            suspicion_timeout=at(1.2),
            retransmit_limit=retransmit_limit,
        )
        core.handle(GossipReceived(tuple(self.member(name) for name in ("one", "two", "three"))), now=at(0))
        return core

    def test_everyone_is_probed_once_a_turn(self) -> None:
        core = self.membership()
        probed = [
            command.node
            for turn in range(1, 7)
            for command in core.handle(Ticked(), now=at(turn * 0.3))
            if isinstance(command, Probe)
        ]
        self.assertThat((sorted(probed[:3]), sorted(probed[3:])), Equals((["one", "three", "two"],) * 2))

    def test_a_miss_asks_others_then_suspects_then_removes(self) -> None:
        core = self.membership()
        asked = core.handle(ProbeTimedOut("one"), now=at(1))[0]
        self.assertThat(
            (type(asked), asked.node, sorted(asked.helpers)),
            Equals((RequestIndirectProbes, "one", ["at-three", "at-two"])),
        )
        self.assertThat(core.handle(IndirectProbesAnswered("one", True), now=at(1)), Equals([]))
        self.assertThat(
            [change.member_state.state for change in core.handle(IndirectProbesAnswered("one", False), now=at(1))],
            Equals([SUSPECT]),
        )
        self.assertThat([member.node for member in core.alive(kind="stall")], Contains("one"))
        changes = [
            command.member_state.state for command in core.handle(Ticked(), now=at(2.3)) if isinstance(command, Changed)
        ]
        self.assertThat(
            (changes, "one" in [member.node for member in core.alive(kind="stall")]), Equals(([DEAD], False))
        )

    def test_a_suspect_refutes_the_suspicion(self) -> None:
        core = self.membership()
        core.handle(GossipReceived((self.member("me", state=SUSPECT),)), now=at(1))
        self.assertThat((core.me.state, core.me.count), Equals((ALIVE, 1)))
        other = self.membership()
        other.handle(IndirectProbesAnswered("one", False), now=at(1))
        other.handle(ProbeAnswered("one", (self.member("one", count=1),)), now=at(1.5))
        other.handle(Ticked(), now=at(4))
        self.assertThat("one" in [member.node for member in other.alive(kind="stall")], Equals(True))

    def gossip_rounds(self, core: Membership, turns: int) -> list[list[str]]:
        return [[member_state.node for member_state in core.member_states()] for _ in range(turns)]

    def test_a_member_state_is_gossiped_so_often_and_then_counts_as_known(self) -> None:
        rounds = self.gossip_rounds(self.membership(retransmit_limit=2), 5)
        self.assertThat([sorted(each) for each in rounds[:2]], Equals([["me", "one", "three", "two"]] * 2))
        # The own state always goes along: whoever is probed must be able to answer.
        self.assertThat(rounds[2:], Equals([["me"]] * 3))

    def test_without_a_bound_everything_is_passed_on_for_ever(self) -> None:
        self.assertThat([len(each) for each in self.gossip_rounds(self.membership(), 9)], Equals([4] * 9))

    def test_what_changed_is_told_anew(self) -> None:
        core = self.membership(retransmit_limit=2)
        self.gossip_rounds(core, 3)
        core.handle(GossipReceived((self.member("two", count=1),)), now=at(1))
        self.assertThat(self.gossip_rounds(core, 3), Equals([["me", "two"], ["me", "two"], ["me"]]))
        core.handle(IndirectProbesAnswered("one", False), now=at(1))
        self.assertThat(self.gossip_rounds(core, 1), Equals([["me", "one"]]))

    def test_one_just_met_hears_of_everybody(self) -> None:
        core = self.membership(retransmit_limit=2)
        self.gossip_rounds(core, 5)
        self.assertThat(
            sorted(member_state.node for member_state in core.member_states(complete=True)),
            Equals(["me", "one", "three", "two"]),
        )
        self.assertThat((core.knows("one"), core.knows("stranger")), Equals((True, False)))

    def test_everyone_hears_of_a_newcomer_though_gossip_ends(self) -> None:
        """A fleet of forty on its own schedule: the last to join is known everywhere after some turns."""
        dice = random.Random(3)
        names = [f"n{number}" for number in range(40)]
        cores = {
            name: Membership(
                me=self.member(name),
                rng=random.Random(name),
                probe_interval=at(1),
                suspicion_timeout=at(2),
                retransmit_limit=6,
            )
            for name in names
        }
        everyone = tuple(self.member(name) for name in names[:-1])
        for name in names[:-1]:
            cores[name].handle(GossipReceived(everyone), now=at(0))
            for _ in range(10):
                cores[name].member_states()
        # It knows one node, and that one knows it from its first probe.
        cores["n39"].handle(GossipReceived((self.member("n0"),)), now=at(0))
        timestamp = 0.0
        while not all(core.knows("n39") for core in cores.values()):
            timestamp += 0.5
            self.assertThat(timestamp < 30, Equals(True))
            for core in dice.sample(list(cores.values()), len(cores)):
                for command in core.handle(Ticked(), now=at(timestamp)):
                    if isinstance(command, Probe):
                        other = cores[command.node]
                        complete = not other.knows(core.me.node)
                        other.handle(GossipReceived(command.member_states), now=at(timestamp))
                        core.handle(
                            ProbeAnswered(command.node, other.member_states(complete=complete)), now=at(timestamp)
                        )
        self.assertThat(len(cores["n39"].members), Equals(40))
