"""The relay tree: a copy of the configuration, range digests to repair it, and a lease that says how fresh it is."""

import hashlib
from datetime import timedelta

import msgspec

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.membership.packing import pack_items, unpack_items
from hoistsaddle.membership.removal_history import RemovalHistory
from hoistsaddle.rpc.messages import AppliedVersion, ConfigurationItem, PollAnswer, PollCall
from hoistsaddle.statemachine.digests import RANGES, digests_of, range_of

# Each parent feeds this many children; the core machines are the roots.
FAN_OUT = 2


class ConfigurationCopy:
    """Key to (revision, value), with a digest for each range of keys."""

    def __init__(self) -> None:
        self.mesh = ""
        self.revision = -1
        self.items: dict[str, tuple[int, bytes]] = {}
        self._digests: tuple[int, ...] | None = None
        # Of what the digests were taken from.
        self._fingerprint = b""
        self.removals = RemovalHistory()

    def digests(self) -> tuple[int, ...]:
        if self._digests is None:
            self._fingerprint = self._fingerprint_of_all()
            self._digests = digests_of(self.items)
        return self._digests

    def _fingerprint_of_all(self) -> bytes:
        """Of every byte that the digests cover, read anew, but in two calls for the whole copy and not two a key.

        Each poll and each answer looks the copy over. Range by range that is the dearest part of control at hundreds of
        nodes; which ranges differ must only be known once something does.
        """
        return hashlib.blake2b(msgspec.msgpack.encode(self.items), digest_size=16).digest()

    def audit(self) -> tuple[int, ...]:
        """The digests of what is held at this moment: damage in place gives no notice."""
        if self._digests is not None and self._fingerprint != self._fingerprint_of_all():
            self._digests = None
        return self.digests()

    def replace(
        self,
        *,
        mesh: str,
        revision: int,
        items: dict[str, tuple[int, bytes]],
        digests: tuple[int, ...] | None = None,
    ) -> None:
        """Holds other items from now on; `digests` are theirs, where they were taken just now."""
        if self.revision < 0 or mesh != self.mesh or revision < self.revision:
            self.removals.restart(revision=revision)
        else:
            self.removals.note(before=self.items, after=items, revision=revision)
        self.mesh, self.revision, self.items, self._digests = mesh, revision, items, digests
        if digests is not None:
            self._fingerprint = self._fingerprint_of_all()

    def changes_after(self, revision: int) -> tuple[ConfigurationItem, ...]:
        """What was set after that revision: each item carries the revision of its last change."""
        return tuple(
            ConfigurationItem(key, changed, value) for key, (changed, value) in self.items.items() if changed > revision
        )

    def differing(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        mine = self.digests()
        if len(digests) != RANGES:
            return tuple(range(RANGES))
        return tuple(place for place in range(RANGES) if mine[place] != digests[place])

    def items_in(self, ranges: tuple[int, ...]) -> tuple[ConfigurationItem, ...]:
        return tuple(
            ConfigurationItem(key, revision, value)
            for key, (revision, value) in self.items.items()
            if range_of(key) in ranges
        )


class Relay:
    """One node's place in the tree. It answers its children from what it holds and how fresh that is."""

    def __init__(self, *, node: str, incarnation: str, lease_span: timedelta) -> None:
        self.node = node
        self.incarnation = incarnation
        self.lease_span = lease_span
        self.copy = ConfigurationCopy()
        self.lease_start: timedelta | None = None
        # The leader's epoch under which the copy was last confirmed; 0 while nobody said one.
        self.epoch = 0
        self.applied_versions: dict[str, tuple[AppliedVersion, timedelta]] = {}
        # The digests the log has for the copy's revision, as the leader said them; empty from a former release.
        self.expected_digests: tuple[int, ...] = ()
        # Set when a parent's changes did not add up with this copy: the next answer has to hold whole ranges.
        self.needs_ranges = False
        # Blocks packed for children, by what they lacked, and of which copy: dropped as it changes.
        self.blocks: dict[tuple[tuple[int, ...], int | None], bytes] = {}
        self.blocks_of = ("", -1)

    def lease_age(self, *, now: timedelta) -> timedelta | None:
        return None if self.lease_start is None else now - self.lease_start

    def fresh(self, *, now: timedelta) -> bool:
        age = self.lease_age(now=now)
        return age is not None and age < self.lease_span

    def sound(self) -> bool:
        """Whether the copy still is what the log vouched for."""
        return not self.expected_digests or self.copy.audit() == self.expected_digests

    def known_revision(self) -> int:
        """What a root tells its leader it has; a damaged copy counts as none, so that all of it comes anew."""
        return self.copy.revision if self.sound() else -1

    def confirmed(
        self,
        *,
        asked: timedelta,
        mesh: str,
        revision: int,
        items: dict[str, tuple[int, bytes]] | None,
        expected_digests: tuple[int, ...] = (),
        epoch: int = 0,
    ) -> bool:
        """A root's news: a read its leader confirmed, dated from when it was asked. True if the copy changed."""
        if self.is_older(revision=revision, epoch=epoch) or (self.copy.mesh and mesh and mesh != self.copy.mesh):
            return False
        # What doesn't add up to the log's own digests is no news, and renews nothing.
        found = digests_of(self.copy.items if items is None else items) if expected_digests else None
        if found is not None and found != expected_digests:
            return False
        changed = items is not None and (revision > self.copy.revision or not self.sound())
        if changed:
            self.copy.replace(mesh=mesh, revision=revision, items=items, digests=found)
        self.expected_digests = expected_digests
        self.epoch = max(self.epoch, epoch)
        self._renew(asked)
        return changed

    def renewed(self, *, asked: timedelta, epoch: int = 0) -> None:
        """A root's copy was just what the log says, as of that moment."""
        self.epoch = max(self.epoch, epoch)
        self._renew(asked)

    def is_older(self, *, revision: int, epoch: int) -> bool:
        """Whether such news was overtaken by what is held here, whoever brings it and in whatever order it comes.

        A leader's word under one epoch is dated before the election of the next, so it can't renew anything either.
        A former release says no epoch.
        """
        return revision < self.copy.revision or 0 < epoch < self.epoch

    def _renew(self, start: timedelta) -> None:
        # Answers may come out of order: a lease only ever moves forward.
        if self.lease_start is None or start > self.lease_start:
            self.lease_start = start

    def poll(self, *, own: AppliedVersion, now: timedelta) -> PollCall:
        return PollCall(
            self.node,
            self.incarnation,
            self.copy.mesh,
            self.copy.revision,
            self.copy.audit(),
            (own, *self.known_applied_versions(now=now)),
            takes_changes=not self.needs_ranges,
            takes_block=True,
        )

    def polled(self, answer: PollAnswer, *, sent: timedelta) -> bool:
        """Takes a parent's answer to the poll sent at that moment. True if the copy changed."""
        if answer.error or (self.copy.mesh and answer.mesh != self.copy.mesh):
            return False
        # A parent behind this copy has nothing to teach, and its lease speaks of an older configuration.
        if self.is_older(revision=answer.revision, epoch=answer.epoch):
            return False
        changed = bool(answer.ranges) or answer.only_changes
        try:
            items = self._items_after(answer)
        except ValueError:
            self.needs_ranges = True
            return False
        # Both sides may be damaged: only what adds up to the log's own digests is taken, whoever sends it.
        held = items is self.copy.items
        found = self.copy.audit() if held else digests_of(items)
        if answer.expected_digests and found != answer.expected_digests:
            self.needs_ranges = True
            return False
        self.needs_ranges = False
        if not held:
            self.copy.replace(mesh=answer.mesh, revision=answer.revision, items=items, digests=found)
        self.expected_digests = answer.expected_digests
        self.epoch = max(self.epoch, answer.epoch)
        # No clocks are compared: the age was taken when the answer was made, so it counts from this poll's sending.
        self._renew(sent - answer.lease_age)
        return changed

    def _items_after(self, answer: PollAnswer) -> dict[str, tuple[int, bytes]]:
        """The copy's items with what the answer teaches; the very same map where it teaches nothing.

        Raises ValueError for an answer that is damaged.
        """
        if answer.only_changes:
            removed = frozenset(answer.removed)
            items = {key: item for key, item in self.copy.items.items() if key not in removed}
        elif answer.ranges or answer.revision > self.copy.revision:
            items = {key: item for key, item in self.copy.items.items() if range_of(key) not in answer.ranges}
        else:
            return self.copy.items
        transmissions = unpack_items(answer.block) if answer.block else answer.items
        items.update({item.key: (item.revision, item.value) for item in transmissions})
        return items

    def is_up_to_date(self, call: PollCall) -> bool:
        """Whether a child knows all there is, so that its poll is held a while."""
        return call.revision >= self.copy.revision and not self.copy.differing(call.digests)

    def answer(self, call: PollCall, *, now: timedelta, held: timedelta = ZERO) -> PollAnswer:
        """held: how long the poll was here. The child counts from its sending, so that much less of the age is left."""
        if call.mesh and self.copy.mesh and call.mesh != self.copy.mesh:
            return PollAnswer(str(ErrorKind.WRONG_MESH), self.copy.mesh, self.copy.revision, timedelta())
        age = self.lease_age(now=now)
        if age is None or age >= self.lease_span:
            return PollAnswer(str(ErrorKind.LEASE_LAPSED), self.copy.mesh, self.copy.revision, timedelta())
        if not self.sound():
            # A damaged copy teaches nobody; its own next poll mends it.
            return PollAnswer(str(ErrorKind.COPY_DAMAGED), self.copy.mesh, self.copy.revision, timedelta())
        only_changes = self._may_send_changes(call)
        ranges = () if only_changes else self.copy.differing(call.digests)
        answer = PollAnswer(
            "",
            self.copy.mesh,
            self.copy.revision,
            age - held,
            ranges,
            expected_digests=self.expected_digests,
            epoch=self.epoch,
            only_changes=only_changes,
            removed=self.copy.removals.removed_after(call.revision) if only_changes else (),
        )
        after = call.revision if only_changes else None
        if call.takes_block:
            return answer._replace(block=self._block(ranges=ranges, after=after))
        return answer._replace(items=self._lacking(ranges=ranges, after=after))

    def _lacking(self, *, ranges: tuple[int, ...], after: int | None) -> tuple[ConfigurationItem, ...]:
        return self.copy.items_in(ranges) if after is None else self.copy.changes_after(after)

    def _block(self, *, ranges: tuple[int, ...], after: int | None) -> bytes:
        """What a child lacks, packed once for all children that lack the same."""
        if self.blocks_of != (self.copy.mesh, self.copy.revision):
            self.blocks_of, self.blocks = (self.copy.mesh, self.copy.revision), {}
        lacking = (ranges, after)
        if lacking not in self.blocks:
            self.blocks[lacking] = pack_items(self._lacking(ranges=ranges, after=after))
        return self.blocks[lacking]

    def _may_send_changes(self, call: PollCall) -> bool:
        """Whether the changes since the child's revision are all that it lacks, and can be checked there.

        On a thin link whole ranges are too much for a storm of changes: each holds a sixteenth of the configuration,
        and a relay sends them to every child.
        """
        return (
            call.takes_changes
            and bool(self.expected_digests)
            and call.mesh == self.copy.mesh
            and call.revision < self.copy.revision
            and self.copy.removals.reaches_back_to(call.revision)
        )

    def heard(self, applied_versions: tuple[AppliedVersion, ...], *, now: timedelta) -> bool:
        """Notes what is taken up below; true if any of it is new."""
        new = False
        for applied_version in applied_versions:
            known = self.applied_versions.get(applied_version.node)
            if (
                known is None
                or known[0].incarnation != applied_version.incarnation
                or applied_version.revision >= known[0].revision
            ):
                new = new or known is None or known[0] != applied_version
                self.applied_versions[applied_version.node] = (applied_version, now)
        # What nobody has said for many leases is of no use to anyone.
        stale = [
            node for node, (_, timestamp) in self.applied_versions.items() if now - timestamp > self.lease_span * 40
        ]
        for node in stale:
            del self.applied_versions[node]
        return new

    def known_applied_versions(self, *, now: timedelta) -> tuple[AppliedVersion, ...]:
        return tuple(
            applied_version
            for applied_version, timestamp in self.applied_versions.values()
            if now - timestamp < self.lease_span
        )


def select_parents(
    *,
    node: str,
    proxies: list[tuple[str, str]],
    roots: list[tuple[str, str]],
    fan_out: int = FAN_OUT,
    root_fan_out: int = 0,
) -> list[str]:
    """Addresses to poll, best first: the place in the tree, then the roots as the way out when it fails.

    A parent feeds `fan_out` children, a root `root_fan_out` (as many as any other parent where that is 0).

    Every node computes the tree from the members it knows, so nobody hands out places. Nodes with different views may
    form a ring for a moment; its leases only grow older, so it starves and its nodes turn to the roots.
    """
    roots = sorted(roots)
    order = sorted(proxies)
    names = [name for name, _ in order]
    parents: list[str] = []
    if node in names and roots:
        place = names.index(node)
        direct = len(roots) * (root_fan_out or fan_out)
        if place < direct:
            parents.append(roots[place % len(roots)][1])
        else:
            parents.append(order[(place - direct) // fan_out][1])
        turn = place % len(roots)
        parents += [address for _, address in roots[turn:] + roots[:turn]]
    else:
        parents += [address for _, address in roots]
    return list(dict.fromkeys(parents))
