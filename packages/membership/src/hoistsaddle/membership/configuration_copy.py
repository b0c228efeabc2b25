"""A node's copy of the data plane's items, with digests by which it is compared and damage to it is found."""

import hashlib

import msgspec

from hoistsaddle.membership.removal_history import RemovalHistory
from hoistsaddle.rpc.messages import ConfigurationItem
from hoistsaddle.statemachine.digests import RANGES, digests_of, range_of

# Key to (revision of its last change, value).
Items = dict[str, tuple[int, bytes]]
# The revision of a copy that holds nothing yet.
NO_REVISION = -1
FINGERPRINT_BYTES = 16


class ConfigurationCopy:
    """Key to (revision of its last change, value), and a digest of each range of keys.

    Attributes:
        mesh: The id of the mesh that it is of; empty while it holds nothing.
        revision: The revision of the configuration; NO_REVISION while it holds nothing.
        items: What it holds.
        removals: The keys that were removed from it lately.
    """

    def __init__(self) -> None:
        self.mesh = ""
        self.revision = NO_REVISION
        self.items: Items = {}
        self.removals = RemovalHistory()
        self._digests: tuple[int, ...] | None = None
        # Of the items that the digests were taken from.
        self._digested_fingerprint = b""

    def digests(self) -> tuple[int, ...]:
        """A digest of each range, as of the last replace() or audit()."""
        if self._digests is None:
            self._digested_fingerprint = self._fingerprint()
            self._digests = digests_of(self.items)
        return self._digests

    def _fingerprint(self) -> bytes:
        """A digest of every byte that the digests cover, in two calls for the whole copy in place of two for each key.

        Every poll and every answer checks the whole copy. With hundreds of nodes that would be most of the control
        plane's work if done range by range; which ranges differ matters only once something does.
        """
        return hashlib.blake2b(msgspec.msgpack.encode(self.items), digest_size=FINGERPRINT_BYTES).digest()

    def audit(self) -> tuple[int, ...]:
        """The digests of what is held now, read anew: memory that was damaged in place gives no notice."""
        if self._digests is not None and self._digested_fingerprint != self._fingerprint():
            self._digests = None
        return self.digests()

    def replace(self, *, mesh: str, revision: int, items: Items, digests: tuple[int, ...] | None = None) -> None:
        """Holds other items from now on.

        Args:
            mesh: The id of the mesh.
            revision: The revision of the configuration.
            items: Key to (revision of its last change, value).
            digests: The digests of the items, where the caller has just taken them.
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
        """The ranges whose digests differ from another copy's; all of them if it has none."""
        own = self.digests()
        if len(digests) != RANGES:
            return tuple(range(RANGES))
        return tuple(place for place in range(RANGES) if own[place] != digests[place])

    def items_in(self, ranges: tuple[int, ...]) -> tuple[ConfigurationItem, ...]:
        """The items of some ranges."""
        return tuple(
            ConfigurationItem(key, revision, value)
            for key, (revision, value) in self.items.items()
            if range_of(key) in ranges
        )

    def without_keys(self, keys: frozenset[str]) -> Items:
        """What it holds, but for some keys."""
        return {key: item for key, item in self.items.items() if key not in keys}

    def without_ranges(self, ranges: tuple[int, ...]) -> Items:
        """What it holds, but for some ranges."""
        return {key: item for key, item in self.items.items() if range_of(key) not in ranges}
