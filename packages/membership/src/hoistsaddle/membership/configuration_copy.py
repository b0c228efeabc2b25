"""A node's copy of the data plane's items, with digests for comparing copies and detecting damage."""

import hashlib

import msgspec

from hoistsaddle.membership.removal_history import RemovalHistory
from hoistsaddle.rpc.messages import ConfigurationItem
from hoistsaddle.statemachine.digests import RANGES, digests_of, range_of

# Key to (revision of its last change, value).
Items = dict[str, tuple[int, bytes]]
# The revision of a copy that has no configuration yet.
NO_REVISION = -1
FINGERPRINT_BYTES = 16


class ConfigurationCopy:
    """A node's configuration items, with a digest of each range of keys.

    Attributes:
        mesh: The id of the mesh to which the configuration belongs; empty while there is none.
        revision: The revision of the configuration; NO_REVISION while there is none.
        items: Key to (revision of its last change, value).
        removals: The keys that were removed recently.
    """

    def __init__(self) -> None:
        self.mesh = ""
        self.revision = NO_REVISION
        self.items: Items = {}
        self.removals = RemovalHistory()
        self._digests: tuple[int, ...] | None = None
        # The fingerprint of the items from which the digests were computed.
        self._digested_fingerprint = b""

    def digests(self) -> tuple[int, ...]:
        """The digest of each range, as of the last replace() or audit()."""
        if self._digests is None:
            self._digested_fingerprint = self._fingerprint()
            self._digests = digests_of(self.items)
        return self._digests

    def _fingerprint(self) -> bytes:
        """A hash of everything that the digests cover, computed with two calls instead of two for each key.

        Every poll and every answer checks the complete copy. With hundreds of nodes, computing the digests of the
        ranges each time would be most of the control plane's work; they are needed only once the fingerprint differs.
        """
        return hashlib.blake2b(msgspec.msgpack.encode(self.items), digest_size=FINGERPRINT_BYTES).digest()

    def audit(self) -> tuple[int, ...]:
        """The digests of the items as they are now: checked again, since items may be damaged in memory unnoticed."""
        if self._digests is not None and self._digested_fingerprint != self._fingerprint():
            self._digests = None
        return self.digests()

    def replace(self, *, mesh: str, revision: int, items: Items, digests: tuple[int, ...] | None = None) -> None:
        """Replaces the configuration.

        Args:
            mesh: The id of the mesh.
            revision: The revision of the configuration.
            items: Key to (revision of its last change, value).
            digests: The digests of the items, if the caller has just computed them.
        """
        if self.revision < 0 or mesh != self.mesh or revision < self.revision:
            self.removals.restart(revision=revision)
        else:
            self.removals.record(before=self.items, after=items, revision=revision)
        self.mesh, self.revision, self.items, self._digests = mesh, revision, items, digests
        if digests is not None:
            self._digested_fingerprint = self._fingerprint()

    def changes_after(self, revision: int) -> tuple[ConfigurationItem, ...]:
        """The items that were set after a revision."""
        return tuple(
            ConfigurationItem(key, changed, value) for key, (changed, value) in self.items.items() if changed > revision
        )

    def differing(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """The ranges whose digests differ from those of another copy; all ranges if that copy has no digests."""
        own = self.digests()
        if len(digests) != RANGES:
            return tuple(range(RANGES))
        return tuple(index for index in range(RANGES) if own[index] != digests[index])

    def items_in(self, ranges: tuple[int, ...]) -> tuple[ConfigurationItem, ...]:
        """The items of some ranges."""
        return tuple(
            ConfigurationItem(key, revision, value)
            for key, (revision, value) in self.items.items()
            if range_of(key) in ranges
        )

    def without_keys(self, keys: frozenset[str]) -> Items:
        """The items without those of some keys."""
        return {key: item for key, item in self.items.items() if key not in keys}

    def without_ranges(self, ranges: tuple[int, ...]) -> Items:
        """The items without those of some ranges."""
        return {key: item for key, item in self.items.items() if range_of(key) not in ranges}
