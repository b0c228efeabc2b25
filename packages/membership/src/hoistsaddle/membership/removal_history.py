"""The keys removed from a copy of the configuration, so that children get incremental changes, not complete ranges."""

from collections.abc import Iterable, Mapping

# How many removals a relay keeps. A child that is further behind gets every range that differs, as after damage.
MAX_REMOVALS = 2048


class RemovalHistory:
    """The keys that were removed since one revision of the copy.

    Items carry the revision of their last change, so the items alone show what was set since a child's revision.
    Removed items leave no trace there: their keys are recorded here, with the revision at which this relay found them
    missing.

    Attributes:
        since: Every removal after this revision is recorded; -1 while the copy has no configuration.
    """

    def __init__(self) -> None:
        self.since = -1
        self._removed: dict[str, int] = {}

    def restart(self, *, revision: int) -> None:
        """Clears the history after the copy was replaced completely: earlier removals are unknown."""
        self.since = revision
        self._removed = {}

    def record(self, *, before: Mapping[str, object], after: Mapping[str, object], revision: int) -> None:
        """Records the keys that an update removed, and deletes those that it added again."""
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
        """Whether every removal after a revision is recorded here."""
        return 0 <= self.since <= revision

    def removed_after(self, revision: int) -> tuple[str, ...]:
        """The keys, sorted, that a copy at a revision may still contain and must remove."""
        return tuple(sorted(self._keys_after(revision)))

    def _keys_after(self, revision: int) -> Iterable[str]:
        return (key for key, removed_at in self._removed.items() if removed_at > revision)
