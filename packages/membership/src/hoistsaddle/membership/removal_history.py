"""Which keys a copy of the configuration lost and when, so that a child is sent changes in place of whole ranges."""

from collections.abc import Iterable, Mapping

# Removals that a relay remembers. A child that is further behind gets every range that differs, as after damage.
MAX_REMOVALS = 2048


class RemovalHistory:
    """The keys that were removed since one revision of the copy.

    Items carry the revision of their last change, so the items alone tell what was set since a child's revision. What
    was removed since leaves no trace there: it is kept here, with the revision at which this relay saw it missing.

    Attributes:
        since: Every removal after this revision is known; -1 while the copy holds nothing.
    """

    def __init__(self) -> None:
        self.since = -1
        self._removed: dict[str, int] = {}

    def restart(self, *, revision: int) -> None:
        """The copy was filled anew: nothing is known of what came before."""
        self.since = revision
        self._removed = {}

    def record(self, *, before: Mapping[str, object], after: Mapping[str, object], revision: int) -> None:
        """Records what one update of the copy removed, and drops what it brought back."""
        for key in before.keys() - after.keys():
            self._removed[key] = revision
        for key in self._removed.keys() & after.keys():
            del self._removed[key]
        self._trim()

    def _trim(self) -> None:
        while len(self._removed) > MAX_REMOVALS:
            oldest = min(self._removed.values())
            self.since = max(self.since, oldest)
            self._removed = {key: revision for key, revision in self._removed.items() if revision > oldest}

    def reaches_back_to(self, revision: int) -> bool:
        """Whether all that was removed after a revision is known here."""
        return 0 <= self.since <= revision

    def removed_after(self, revision: int) -> tuple[str, ...]:
        """The keys that a copy of a revision may still hold and must drop, in the order of names."""
        return tuple(sorted(self._keys_after(revision)))

    def _keys_after(self, revision: int) -> Iterable[str]:
        return (key for key, removed in self._removed.items() if removed > revision)
