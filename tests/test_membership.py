"""Configuration updates, leases, anti-entropy and failure detection, tested on the cores without I/O."""

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

LEASE_SPAN = timedelta(seconds=1.5)
OWN = AppliedVersion("child", 0, 0, "", "life", 0)


def at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def relay(name: str) -> Relay:
    return Relay(node=name, incarnation="life", lease_span=LEASE_SPAN)


def items(count: int, *, revision: int = 1) -> dict[str, tuple[int, bytes]]:
    return {f"server:stall-{number}": (revision, b"value") for number in range(count)}


class Leases(TestCase):
    """How long a copy may be used, and what renews its lease."""

    def test_a_lease_starts_at_the_sending_of_the_poll_minus_the_parents_lease_age(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        # The child's clock is unrelated to the root's, and the answer is slow.
        call = child.poll(own=OWN, now=at(700))
        child.accept_answer(root.answer(call, now=at(10.4)), sent=at(700))
        self.assertThat(child.lease_start, Equals(at(699.6)))
        self.assertThat((child.fresh(now=at(701.0)), child.fresh(now=at(701.1))), Equals((True, False)))

    def test_a_parent_with_an_expired_lease_renews_nothing(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        answer = root.answer(child.poll(own=OWN, now=at(0)), now=at(12))
        self.assertThat(
            (answer.error, child.accept_answer(answer, sent=at(0)), child.lease_start),
            Equals(("lease-lapsed", False, None)),
        )

    def test_leases_expire_in_a_cycle_of_relays(self) -> None:
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

    def test_revisions_never_decrease_and_an_older_parent_renews_no_lease(self) -> None:
        old, child = relay("old"), relay("child")
        old.accept_read(asked=at(10), mesh="m", revision=5, items=items(3))
        child.accept_read(asked=at(9), mesh="m", revision=6, items=items(2, revision=6))
        changed = child.accept_answer(old.answer(child.poll(own=OWN, now=at(10)), now=at(10)), sent=at(10))
        self.assertThat((changed, child.copy.revision, child.lease_start), Equals((False, 6, at(9))))


class Repair(TestCase):
    """Anti-entropy: damaged or missing items are found by digests and fetched."""

    def test_only_differing_ranges_are_sent_and_damage_is_repaired(self) -> None:
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

    def test_damage_in_memory_is_detected_and_an_intact_copy_is_not_digested_again(self) -> None:
        digested_counts = []

        def digests(items):
            digested_counts.append(len(items))
            return digests_of(items)

        copy = ConfigurationCopy()
        copy.replace(mesh="m", revision=5, items=items(50))
        self.patch(configuration_copy, "digests_of", digests)
        intact = copy.audit()
        self.assertThat(([copy.audit() for _ in range(5)], digested_counts), Equals(([intact] * 5, [50])))
        for damage in ({"server:stall-7": (1, b"damage")}, {"server:stall-7": (9, copy.items["server:stall-7"][1])}):
            before = dict(copy.items)
            copy.items.update(damage)
            differing = [place for place in range(RANGES) if copy.audit()[place] != intact[place]]
            self.assertThat(differing, Equals([range_of("server:stall-7")]))
            copy.items.clear()
            copy.items.update(before)
            self.assertThat(copy.audit(), Equals(intact))
        del copy.items["server:stall-8"]
        self.assertThat(copy.audit() == intact, Equals(False))

    def test_removed_items_are_removed_from_every_copy(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(1), mesh="m", revision=5, items=items(10))
        child.accept_answer(root.answer(child.poll(own=OWN, now=at(1)), now=at(1)), sent=at(1))
        root.accept_read(asked=at(2), mesh="m", revision=6, items=items(4))
        child.accept_answer(root.answer(child.poll(own=OWN, now=at(2)), now=at(2)), sent=at(2))
        self.assertThat((len(child.copy.items), child.copy.revision), Equals((4, 6)))

    def test_updates_of_another_mesh_are_rejected(self) -> None:
        root, child = relay("root"), relay("child")
        root.accept_read(asked=at(1), mesh="other", revision=9, items=items(3))
        child.accept_read(asked=at(1), mesh="m", revision=5, items=items(2))
        self.assertThat(root.answer(child.poll(own=OWN, now=at(1)), now=at(1)).error, Equals("wrong-mesh"))


class IncrementalUpdates(TestCase):
    """Only changes since a child's revision are sent; complete ranges if the changes aren't known."""

    def confirm(self, root: Relay, revision: int, configuration: dict[str, tuple[int, bytes]]) -> None:
        root.accept_read(
            asked=at(revision),
            mesh="m",
            revision=revision,
            items=configuration,
            expected_digests=digests_of(configuration),
        )

    def poll_parent(self, child: Relay, parent: Relay, timestamp: float) -> PollAnswer:
        answer = parent.answer(child.poll(own=OWN, now=at(timestamp)), now=at(timestamp))
        child.accept_answer(answer, sent=at(timestamp))
        return answer

    def root_and_child(self, count: int = 200) -> tuple[Relay, Relay]:
        root, child = relay("root"), relay("child")
        self.confirm(root, 5, items(count, revision=5))
        self.poll_parent(child, root, 5)
        return root, child

    def test_only_the_item_set_and_the_item_removed_are_sent(self) -> None:
        root, child = self.root_and_child()
        updated = items(199, revision=5) | {"server:stall-3": (6, b"new"), "server:another": (6, b"x")}
        self.confirm(root, 6, updated)
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
        self.assertThat((child.copy.items, child.copy.revision), Equals((updated, 6)))

    def test_a_child_that_is_several_revisions_behind_gets_all_changes(self) -> None:
        root, child = self.root_and_child(20)
        configuration = items(20, revision=5)
        for revision in range(6, 12):
            configuration = {key: item for key, item in configuration.items() if key != f"server:stall-{revision}"}
            configuration |= {f"server:stall-{revision - 6}": (revision, b"new")}
            self.confirm(root, revision, configuration)
        answer = self.poll_parent(child, root, 11)
        self.assertThat((answer.only_changes, child.copy.items), Equals((True, configuration)))

    def test_a_damaged_copy_rejects_changes_and_is_repaired_by_ranges(self) -> None:
        root, child = self.root_and_child()
        child.copy.items["server:stall-9"] = (5, b"damage")
        updated = items(200, revision=5) | {"server:stall-3": (6, b"new")}
        self.confirm(root, 6, updated)
        self.assertThat((self.poll_parent(child, root, 6).only_changes, child.copy.revision), Equals((True, 5)))
        self.assertThat((self.poll_parent(child, root, 6).only_changes, child.copy.items), Equals((False, updated)))
        # After the repair it accepts changes again.
        updated = updated | {"server:stall-4": (7, b"newer")}
        self.confirm(root, 7, updated)
        self.assertThat((self.poll_parent(child, root, 7).only_changes, child.copy.items), Equals((True, updated)))

    def test_a_child_older_than_the_history_or_of_a_former_release_gets_ranges(self) -> None:
        root, child = self.root_and_child()
        newer_parent = relay("young")
        self.confirm(root, 6, items(199, revision=5) | {"server:stall-3": (6, b"new")})
        # This parent got its copy after the removal, so its history doesn't reach back to the child's revision 5.
        self.poll_parent(newer_parent, root, 6)
        self.assertThat(
            (self.poll_parent(child, newer_parent, 6).only_changes, child.copy.items), Equals((False, root.copy.items))
        )
        former = relay("former")
        call = former.poll(own=OWN, now=at(6))._replace(takes_changes=False, takes_block=False)
        answer = root.answer(call, now=at(6))
        self.assertThat((answer.only_changes, answer.block, len(answer.items)), Equals((False, b"", 199)))
        # An answer in the format of a former release is still applied.
        former.accept_answer(answer, sent=at(6))
        self.assertThat(former.copy.items, Equals(root.copy.items))

    def test_a_damaged_block_is_rejected_and_complete_ranges_are_requested(self) -> None:
        root, child = self.root_and_child()
        self.confirm(root, 6, items(199, revision=5))
        good = root.answer(child.poll(own=OWN, now=at(6)), now=at(6))
        other = pack_items([ConfigurationItem("server:x", 6, b"x")])
        for block in (good.block[:-3] or b"cut", b"garbage", other[:-4], other + b"more"):
            child.accept_answer(good._replace(block=block), sent=at(6))
            self.assertThat((child.copy.revision, child.needs_ranges), Equals((5, True)), str(block))
        self.assertThat(
            (self.poll_parent(child, root, 6).only_changes, child.copy.items), Equals((False, root.copy.items))
        )

    def test_children_that_are_missing_the_same_items_share_one_block(self) -> None:
        root, child = self.root_and_child()
        other = relay("other")
        self.poll_parent(other, root, 5)
        self.confirm(root, 6, items(200, revision=5) | {"server:stall-3": (6, b"new")})
        blocks = [self.poll_parent(each, root, 6).block for each in (child, other)]
        self.assertThat((blocks[0] is blocks[1], len(root.blocks)), Equals((True, 1)))

    def test_late_changes_for_an_older_poll_do_no_harm(self) -> None:
        root, child = self.root_and_child(20)
        early = child.poll(own=OWN, now=at(5))
        self.confirm(root, 6, items(19, revision=5))
        self.poll_parent(child, root, 6)
        self.confirm(root, 7, items(18, revision=5) | {"server:stall-19": (7, b"back")})
        child.accept_answer(root.answer(early, now=at(7)), sent=at(5))
        self.assertThat((child.copy.items, child.copy.revision), Equals((root.copy.items, 7)))

    def test_a_history_with_too_many_removals_no_longer_reaches_back(self) -> None:
        history = RemovalHistory()
        history.restart(revision=1)
        configuration = {f"key-{number}": (1, b"") for number in range(MAX_REMOVALS + 2)}
        for number in range(MAX_REMOVALS + 2):
            fewer = {key: item for key, item in configuration.items() if key != f"key-{number}"}
            history.record(before=configuration, after=fewer, revision=number + 2)
            configuration = fewer
        self.assertThat(
            (history.reaches_back_to(1), history.reaches_back_to(3), len(history.removed_after(3))),
            Equals((False, True, MAX_REMOVALS)),
        )

    def test_copies_in_random_trees_equal_the_configuration_at_their_revision(self) -> None:
        for seed in range(30):
            generator = random.Random(seed)
            nodes = [relay(f"node-{number}") for number in range(6)]
            configurations, incremental_answers = {1: items(12)}, 0
            self.confirm(nodes[0], 1, configurations[1])
            for revision in range(2, 60):
                configuration = dict(configurations[revision - 1])
                for _ in range(generator.randint(1, 3)):
                    key = f"server:stall-{generator.randint(0, 15)}"
                    configuration.pop(key, None) if generator.random() < 0.4 else configuration.update(
                        {key: (revision, b"%d" % revision)}
                    )
                configurations[revision] = configuration
                if generator.random() < 0.7:
                    self.confirm(nodes[0], revision, configuration)
                for _ in range(generator.randint(0, 6)):
                    child = generator.randint(1, 5)
                    answer = self.poll_parent(nodes[child], nodes[generator.randrange(child)], revision)
                    incremental_answers += answer.only_changes
                for each in nodes:
                    self.assertThat(each.copy.items, Equals(configurations.get(each.copy.revision, {})), f"seed {seed}")
            self.assertThat(incremental_answers > 20, Equals(True), f"seed {seed}: {incremental_answers}")


class DistributionTree(TestCase):
    def test_every_node_has_a_path_to_a_root_and_no_parent_has_many_children(self) -> None:
        roots = [(f"bourse-{number}", f"root-{number}") for number in range(3)]
        proxies = [(f"stall-{number:02d}", f"at-{number:02d}") for number in range(40)]
        first = {name: select_parents(node=name, proxies=proxies, roots=roots) for name, _ in proxies}
        address_of = dict(proxies)
        child_counts: dict[str, int] = {}
        for name, parents in first.items():
            child_counts[parents[0]] = child_counts.get(parents[0], 0) + 1
            self.assertThat(set(parents) >= {address for _, address in roots}, Equals(True))
            current, steps = name, 0
            while not (parent := first[current][0]).startswith("root-"):
                current = next(each for each, address in address_of.items() if address == parent)
                steps += 1
                self.assertThat(steps < 8, Equals(True), name)
        self.assertThat(max(child_counts.values()), Equals(2))


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

    def test_each_member_is_probed_once_a_round(self) -> None:
        core = self.membership()
        probed = [
            command.node
            for round_number in range(1, 7)
            for command in core.handle(Ticked(), now=at(round_number * 0.3))
            if isinstance(command, Probe)
        ]
        self.assertThat((sorted(probed[:3]), sorted(probed[3:])), Equals((["one", "three", "two"],) * 2))

    def test_a_missed_probe_leads_to_indirect_probes_then_suspicion_then_death(self) -> None:
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

    def gossip_rounds(self, core: Membership, rounds_count: int) -> list[list[str]]:
        return [[member_state.node for member_state in core.member_states()] for _ in range(rounds_count)]

    def test_a_member_state_is_gossiped_up_to_the_retransmit_limit(self) -> None:
        rounds = self.gossip_rounds(self.membership(retransmit_limit=2), 5)
        self.assertThat([sorted(each) for each in rounds[:2]], Equals([["me", "one", "three", "two"]] * 2))
        # A member's own state is always included: the probed member must know the prober to answer it.
        self.assertThat(rounds[2:], Equals([["me"]] * 3))

    def test_without_a_retransmit_limit_all_states_are_always_gossiped(self) -> None:
        self.assertThat([len(each) for each in self.gossip_rounds(self.membership(), 9)], Equals([4] * 9))

    def test_a_changed_state_is_gossiped_again(self) -> None:
        core = self.membership(retransmit_limit=2)
        self.gossip_rounds(core, 3)
        core.handle(GossipReceived((self.member("two", count=1),)), now=at(1))
        self.assertThat(self.gossip_rounds(core, 3), Equals([["me", "two"], ["me", "two"], ["me"]]))
        core.handle(IndirectProbesAnswered("one", False), now=at(1))
        self.assertThat(self.gossip_rounds(core, 1), Equals([["me", "one"]]))

    def test_a_new_member_gets_all_states(self) -> None:
        core = self.membership(retransmit_limit=2)
        self.gossip_rounds(core, 5)
        self.assertThat(
            sorted(member_state.node for member_state in core.member_states(complete=True)),
            Equals(["me", "one", "three", "two"]),
        )
        self.assertThat((core.knows("one"), core.knows("stranger")), Equals((True, False)))

    def test_a_new_member_becomes_known_everywhere_despite_the_retransmit_limit(self) -> None:
        """In a fleet of forty members, the last one to join is known by all after some rounds."""
        generator = random.Random(3)
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
        existing_members = tuple(self.member(name) for name in names[:-1])
        for name in names[:-1]:
            cores[name].handle(GossipReceived(existing_members), now=at(0))
            for _ in range(10):
                cores[name].member_states()
        # The new member knows one node, which learns of the new member from its first probe.
        cores["n39"].handle(GossipReceived((self.member("n0"),)), now=at(0))
        timestamp = 0.0
        while not all(core.knows("n39") for core in cores.values()):
            timestamp += 0.5
            self.assertThat(timestamp < 30, Equals(True))
            for core in generator.sample(list(cores.values()), len(cores)):
                for command in core.handle(Ticked(), now=at(timestamp)):
                    if isinstance(command, Probe):
                        other = cores[command.node]
                        complete = not other.knows(core.me.node)
                        other.handle(GossipReceived(command.member_states), now=at(timestamp))
                        core.handle(
                            ProbeAnswered(command.node, other.member_states(complete=complete)), now=at(timestamp)
                        )
        self.assertThat(len(cores["n39"].members), Equals(40))
