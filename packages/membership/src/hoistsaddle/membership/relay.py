"""A node of the distribution tree: its copy of the configuration, and the lease under which the copy may be used.

A relay polls its parent and answers its children. The lease age is the time since the log's leader confirmed the copy;
it is sent with every answer and increases on the way down the tree. Copies are compared and repaired by the digests of
their ranges, and an update is accepted only if the result matches the digests that the leader gave, whichever node
sent it.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.membership.configuration_copy import NO_REVISION, ConfigurationCopy, Items
from hoistsaddle.membership.packing import pack_items, unpack_items
from hoistsaddle.rpc.messages import AppliedVersion, ConfigurationItem, PollAnswer, PollCall
from hoistsaddle.statemachine.digests import digests_of

# A node's applied version is removed if it was not reported again within this many lease spans.
APPLIED_VERSION_LEASES = 40


class Relay:
    """A copy of the configuration that is updated from a parent and from which the children are updated.

    Attributes:
        node: The node's name.
        incarnation: The incarnation of the node's process.
        lease_span: How long a copy may be used after the leader confirmed it.
        copy: The copy of the configuration.
        lease_start: When the leader confirmed the copy, on this node's clock; None before the first time.
        epoch: The leader's epoch under which the copy was last confirmed; 0 while no answer has given one.
        applied_versions: What each node further down the tree has applied, and when that was last reported here.
        expected_digests: The leader's digests of the copy's revision; empty if a former release sent the update.
        needs_ranges: Set after changes from a parent were damaged or did not match the expected digests: the next
            answer must contain complete ranges.
        blocks: Packed blocks for children, by what the children are missing: (ranges, revision after which).
        blocks_source: The mesh and revision of the copy from which the blocks were packed.
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
        self.blocks_source = ("", NO_REVISION)

    # -- the lease and the copy ----------------------------------------------------------------------------------------

    def lease_age(self, *, now: timedelta) -> timedelta | None:
        """The time since the leader confirmed the copy; None before the first time."""
        return None if self.lease_start is None else now - self.lease_start

    def fresh(self, *, now: timedelta) -> bool:
        """Whether the lease is valid, so that the copy may be used."""
        age = self.lease_age(now=now)
        return age is not None and age < self.lease_span

    def is_intact(self) -> bool:
        """Whether the copy still matches the digests that the leader confirmed."""
        return not self.expected_digests or self.copy.audit() == self.expected_digests

    def known_revision(self) -> int:
        """The revision that a root sends with its read; NO_REVISION for a damaged copy, so that all of it is read."""
        return self.copy.revision if self.is_intact() else NO_REVISION

    def is_older(self, *, revision: int, epoch: int) -> bool:
        """Whether an update is older than the copy, regardless of its sender and its order of arrival.

        Whatever a leader confirmed under one epoch dates from before the next election, so it can't renew a lease of a
        later epoch either. Updates of a former release have no epoch (0).
        """
        return revision < self.copy.revision or 0 < epoch < self.epoch

    def _renew(self, start: timedelta) -> None:
        # Answers may arrive out of order, so the start of the lease only ever moves forward.
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
        """Applies a root's read of the state, which the leader confirmed.

        Args:
            asked: When the read was sent; the lease starts then.
            mesh: The id of the mesh.
            revision: The revision of the configuration.
            items: Its items; None if they are the same as the copy's.
            expected_digests: The leader's digests of the items; a read that doesn't match them is rejected.
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
        """Renews the lease of a root whose copy equals the leader's state as of the time when the read was sent."""
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
        """Applies a parent's answer to the poll that was sent at `sent`; returns whether the copy changed."""
        if answer.error or (self.copy.mesh and answer.mesh != self.copy.mesh):
            return False
        # A parent whose copy is older can't update this one, and its lease is for an older configuration.
        if self.is_older(revision=answer.revision, epoch=answer.epoch):
            return False
        changed = bool(answer.ranges) or answer.only_changes
        try:
            items = self._items_after(answer)
        except ValueError:
            self.needs_ranges = True
            return False
        # Either copy may be damaged: only items that match the leader's digests are accepted.
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
        # Clocks of two machines are never compared: the lease age was measured after this poll was sent, so subtracting
        # it from the time of sending can only make the lease start earlier, never later.
        self._renew(sent - answer.lease_age)
        return changed

    def _items_after(self, answer: PollAnswer) -> Items:
        """The copy's items with the answer applied; the identical dictionary if the answer contains no update.

        Raises:
            ValueError: The answer is damaged.
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
        """Whether a child's copy is as new as this one, so that its poll may wait for the next update."""
        return call.revision >= self.copy.revision and not self.copy.differing(call.digests)

    def answer(self, call: PollCall, *, now: timedelta, held: timedelta = ZERO) -> PollAnswer:
        """The answer to a child's poll.

        Args:
            call: The poll.
            now: The time of the answer.
            held: How long the poll waited here. The child subtracts the lease age from the time when it sent the poll,
                so the age in the answer is reduced by this wait.
        """
        if call.mesh and self.copy.mesh and call.mesh != self.copy.mesh:
            return self._error_answer(ErrorKind.WRONG_MESH)
        age = self.lease_age(now=now)
        if age is None or age >= self.lease_span:
            return self._error_answer(ErrorKind.LEASE_LAPSED)
        if not self.is_intact():
            # A damaged copy is never sent to children; this node's own next poll repairs it.
            return self._error_answer(ErrorKind.COPY_DAMAGED)
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
        return answer._replace(items=self._missing_items(ranges=ranges, after=after))

    def _error_answer(self, kind: ErrorKind) -> PollAnswer:
        return PollAnswer(str(kind), self.copy.mesh, self.copy.revision, ZERO)

    def _missing_items(self, *, ranges: tuple[int, ...], after: int | None) -> tuple[ConfigurationItem, ...]:
        return self.copy.items_in(ranges) if after is None else self.copy.changes_after(after)

    def _block(self, *, ranges: tuple[int, ...], after: int | None) -> bytes:
        """The items that a child is missing, packed once for all children that are missing the same ones."""
        if self.blocks_source != (self.copy.mesh, self.copy.revision):
            self.blocks_source, self.blocks = (self.copy.mesh, self.copy.revision), {}
        missing = (ranges, after)
        if missing not in self.blocks:
            self.blocks[missing] = pack_items(self._missing_items(ranges=ranges, after=after))
        return self.blocks[missing]

    def _may_send_changes(self, call: PollCall) -> bool:
        """Whether a child can be updated with only the changes since its revision, and can verify the result.

        For a burst of changes complete ranges are too large for slow links: each contains a sixteenth of the
        configuration, and a relay sends them to every child.
        """
        return (
            call.takes_changes
            and bool(self.expected_digests)
            and call.mesh == self.copy.mesh
            and call.revision < self.copy.revision
            and self.copy.removals.reaches_back_to(call.revision)
        )

    # -- applied versions of the nodes below ---------------------------------------------------------------------------

    def record_applied_versions(self, applied_versions: tuple[AppliedVersion, ...], *, now: timedelta) -> bool:
        """Records what the nodes below have applied; returns whether any of it is new."""
        new = False
        for applied_version in applied_versions:
            known, _ = self.applied_versions.get(applied_version.node, (None, ZERO))
            if known is not None and _is_superseded(applied_version, by=known):
                continue
            new = new or known != applied_version
            self.applied_versions[applied_version.node] = (applied_version, now)
        self._expire_applied_versions(now)
        return new

    def _expire_applied_versions(self, now: timedelta) -> None:
        timeout = self.lease_span * APPLIED_VERSION_LEASES
        stale = [node for node, (_, reported_at) in self.applied_versions.items() if now - reported_at > timeout]
        for node in stale:
            del self.applied_versions[node]

    def known_applied_versions(self, *, now: timedelta) -> tuple[AppliedVersion, ...]:
        """What the nodes below have applied, as reported within the last lease span."""
        return tuple(
            applied_version
            for applied_version, reported_at in self.applied_versions.values()
            if now - reported_at < self.lease_span
        )


def _is_superseded(applied_version: AppliedVersion, *, by: AppliedVersion) -> bool:
    """Whether another report from the same process is newer."""
    return by.incarnation == applied_version.incarnation and applied_version.revision < by.revision
