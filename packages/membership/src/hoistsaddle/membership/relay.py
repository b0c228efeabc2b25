"""One node's place in the distribution tree: its copy of the configuration, and the lease under which it may be used.

A relay polls its parent and answers its children. The lease tells how long ago the log's leader confirmed the copy; it
is passed down with every answer, and grows older on the way. Copies are repaired by the digests of their ranges, and
only what adds up to the digests that the leader gave is accepted, whoever sends it.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.membership.configuration_copy import NO_REVISION, ConfigurationCopy, Items
from hoistsaddle.membership.packing import pack_items, unpack_items
from hoistsaddle.rpc.messages import AppliedVersion, ConfigurationItem, PollAnswer, PollCall
from hoistsaddle.statemachine.digests import digests_of

# Leases after which a node's applied version is forgotten if nobody has repeated it.
APPLIED_VERSION_LEASES = 40


class Relay:
    """A copy of the configuration that is kept fresh by a parent, and keeps its children fresh.

    Attributes:
        node: The node's name.
        incarnation: The incarnation of the node's process.
        lease_span: How long a copy may be used after the leader confirmed it.
        copy: The copy of the configuration.
        lease_start: When the leader confirmed the copy, on this node's clock; None before the first time.
        epoch: The leader's epoch under which the copy was last confirmed; 0 while no answer told one.
        applied_versions: What each node further down the tree has applied, and when this relay last learnt it.
        expected_digests: The digests that the leader gave for the copy's revision; empty from a former release.
        needs_ranges: Set when a parent's changes did not add up: the next answer has to hold whole ranges.
        blocks: Packed blocks for children, by what the children lacked.
        blocks_of: The mesh and revision of the copy that the blocks were packed from.
    """

    def __init__(self, *, node: str, incarnation: str, lease_span: timedelta) -> None:
        self.node = node
        self.incarnation = incarnation
        self.lease_span = lease_span
        self.copy = ConfigurationCopy()
        self.lease_start: timedelta | None = None
        self.epoch = 0
        self.applied_versions: dict[str, tuple[AppliedVersion, timedelta]] = {}
        self.expected_digests: tuple[int, ...] = ()
        self.needs_ranges = False
        self.blocks: dict[tuple[tuple[int, ...], int | None], bytes] = {}
        self.blocks_of = ("", NO_REVISION)

    # -- the lease and the copy ----------------------------------------------------------------------------------------

    def lease_age(self, *, now: timedelta) -> timedelta | None:
        """The time since the leader confirmed the copy; None before the first time."""
        return None if self.lease_start is None else now - self.lease_start

    def fresh(self, *, now: timedelta) -> bool:
        """Whether the lease holds, so that the copy may be used."""
        age = self.lease_age(now=now)
        return age is not None and age < self.lease_span

    def is_intact(self) -> bool:
        """Whether the copy still is what the leader confirmed."""
        return not self.expected_digests or self.copy.audit() == self.expected_digests

    def known_revision(self) -> int:
        """The revision that a root tells the leader it has; a damaged copy has none, so that all of it is read anew."""
        return self.copy.revision if self.is_intact() else NO_REVISION

    def is_older(self, *, revision: int, epoch: int) -> bool:
        """Whether an update is older than the copy, whoever brings it and in whatever order it comes.

        What a leader confirmed under one epoch is dated before the election of the next, so it can't renew a lease of a
        later epoch either. A former release tells no epoch.
        """
        return revision < self.copy.revision or 0 < epoch < self.epoch

    def _renew(self, start: timedelta) -> None:
        # Answers may come out of order: a lease only ever moves forward.
        if self.lease_start is None or start > self.lease_start:
            self.lease_start = start

    # -- as a root -----------------------------------------------------------------------------------------------------

    def accept_read(
        self,
        *,
        asked: timedelta,
        mesh: str,
        revision: int,
        items: Items | None,
        expected_digests: tuple[int, ...] = (),
        epoch: int = 0,
    ) -> bool:
        """Takes a root's read of the state, which the leader confirmed.

        Args:
            asked: When it was asked for; the lease counts from there.
            mesh: The id of the mesh.
            revision: The revision of the configuration.
            items: Its items; None where they are those of the copy.
            expected_digests: The leader's digests of the items; a read that doesn't add up to them renews nothing.
            epoch: The leader's epoch.

        Returns:
            Whether the copy changed.
        """
        if self.is_older(revision=revision, epoch=epoch) or (self.copy.mesh and mesh and mesh != self.copy.mesh):
            return False
        digests = digests_of(self.copy.items if items is None else items) if expected_digests else None
        if digests is not None and digests != expected_digests:
            return False
        changed = False
        if items is not None and (revision > self.copy.revision or not self.is_intact()):
            changed = True
            self.copy.replace(mesh=mesh, revision=revision, items=items, digests=digests)
        self.expected_digests = expected_digests
        self.renew_lease(asked=asked, epoch=epoch)
        return changed

    def renew_lease(self, *, asked: timedelta, epoch: int = 0) -> None:
        """A root's copy was found equal to the leader's state, as of the time of asking."""
        self.epoch = max(self.epoch, epoch)
        self._renew(asked)

    # -- as a child ----------------------------------------------------------------------------------------------------

    def poll(self, *, own: AppliedVersion, now: timedelta) -> PollCall:
        """The poll to send to a parent, with what this node and those below it have applied."""
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

    def accept_answer(self, answer: PollAnswer, *, sent: timedelta) -> bool:
        """Takes a parent's answer to the poll that was sent at a time; tells whether the copy changed."""
        if answer.error or (self.copy.mesh and answer.mesh != self.copy.mesh):
            return False
        # A parent behind this copy has nothing for it, and its lease is of an older configuration.
        if self.is_older(revision=answer.revision, epoch=answer.epoch):
            return False
        changed = bool(answer.ranges) or answer.only_changes
        try:
            items = self._items_after(answer)
        except ValueError:
            self.needs_ranges = True
            return False
        # Either side may be damaged: only what adds up to the leader's digests is accepted.
        unchanged = items is self.copy.items
        digests = self.copy.audit() if unchanged else digests_of(items)
        if answer.expected_digests and digests != answer.expected_digests:
            self.needs_ranges = True
            return False
        self.needs_ranges = False
        if not unchanged:
            self.copy.replace(mesh=answer.mesh, revision=answer.revision, items=items, digests=digests)
        self.expected_digests = answer.expected_digests
        self.epoch = max(self.epoch, answer.epoch)
        # No clocks are compared: the age was taken when the answer was made, so it counts from this poll's sending.
        self._renew(sent - answer.lease_age)
        return changed

    def _items_after(self, answer: PollAnswer) -> Items:
        """The copy's items with what the answer holds; the very same map where it holds nothing.

        Raises:
            ValueError: the answer is damaged.
        """
        if answer.only_changes:
            items = self.copy.without_keys(frozenset(answer.removed))
        elif answer.ranges or answer.revision > self.copy.revision:
            items = self.copy.without_ranges(answer.ranges)
        else:
            return self.copy.items
        received = unpack_items(answer.block) if answer.block else answer.items
        items.update({item.key: (item.revision, item.value) for item in received})
        return items

    # -- as a parent ---------------------------------------------------------------------------------------------------

    def is_up_to_date(self, call: PollCall) -> bool:
        """Whether a child has all there is, so that its poll may wait for the next update."""
        return call.revision >= self.copy.revision and not self.copy.differing(call.digests)

    def answer(self, call: PollCall, *, now: timedelta, held: timedelta = ZERO) -> PollAnswer:
        """The answer to a child's poll.

        Args:
            call: The poll.
            now: The time of the answer.
            held: How long the poll waited here. The child counts the lease's age from when it sent the poll, so the age
                that it is told is smaller by that much.
        """
        if call.mesh and self.copy.mesh and call.mesh != self.copy.mesh:
            return self._refuse(ErrorKind.WRONG_MESH)
        age = self.lease_age(now=now)
        if age is None or age >= self.lease_span:
            return self._refuse(ErrorKind.LEASE_LAPSED)
        if not self.is_intact():
            # A damaged copy is passed on to nobody; this node's own next poll repairs it.
            return self._refuse(ErrorKind.COPY_DAMAGED)
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

    def _refuse(self, kind: ErrorKind) -> PollAnswer:
        return PollAnswer(str(kind), self.copy.mesh, self.copy.revision, ZERO)

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

        On slow links whole ranges are too much for a burst of changes: each holds a sixteenth of the configuration, and
        a relay sends them to every child.
        """
        return (
            call.takes_changes
            and bool(self.expected_digests)
            and call.mesh == self.copy.mesh
            and call.revision < self.copy.revision
            and self.copy.removals.reaches_back_to(call.revision)
        )

    # -- what is applied below -----------------------------------------------------------------------------------------

    def record_applied_versions(self, applied_versions: tuple[AppliedVersion, ...], *, now: timedelta) -> bool:
        """Records what nodes below have applied; tells whether any of it is new."""
        new = False
        for applied_version in applied_versions:
            known, _ = self.applied_versions.get(applied_version.node, (None, ZERO))
            if known is not None and _is_overtaken(applied_version, by=known):
                continue
            new = new or known != applied_version
            self.applied_versions[applied_version.node] = (applied_version, now)
        self._forget_applied_versions(now)
        return new

    def _forget_applied_versions(self, now: timedelta) -> None:
        timeout = self.lease_span * APPLIED_VERSION_LEASES
        stale = [node for node, (_, learnt) in self.applied_versions.items() if now - learnt > timeout]
        for node in stale:
            del self.applied_versions[node]

    def known_applied_versions(self, *, now: timedelta) -> tuple[AppliedVersion, ...]:
        """What nodes below have applied, as learnt within one lease."""
        return tuple(
            applied_version
            for applied_version, learnt in self.applied_versions.values()
            if now - learnt < self.lease_span
        )


def _is_overtaken(applied_version: AppliedVersion, *, by: AppliedVersion) -> bool:
    """Whether another report of the same process is newer."""
    return by.incarnation == applied_version.incarnation and applied_version.revision < by.revision
