"""Which content each revision of an item was taken with, for as long as its order may still be sent again.

One revision of an item has one content. What prevails shows only the newest; an order whose answer was lost may come
again when its revision has been overtaken, and so may another one under the same revision that was refused. The memory
tells them apart. It is built by the log alone, in mesh time, so it is the same on every replica.
"""

from enum import Enum
from typing import NamedTuple

# Revisions of one name whose contents are kept; of those beyond, nothing certain can be said any more. At 30 bytes
# each, a name that changes without end takes 4 KB of every snapshot.
MAX_REVISIONS = 128


class AcceptedRevision(NamedTuple):
    """One revision as it was taken."""

    revision: int
    digest: bytes
    # Microseconds of mesh time; of no account while it is the name's newest.
    kept_until: int


class RevisionHistory(NamedTuple):
    """What is known of one name's revisions. The last of them is the one that prevails."""

    taken: tuple[AcceptedRevision, ...]
    # The highest revision of those taken and forgotten since; -1 while all are known.
    forgotten: int = -1


class RevisionStatus(Enum):
    """What an item's revision and content meet."""

    # Above all that was taken: it prevails.
    NEWEST = "newest"
    # Taken before, with this content.
    TAKEN = "taken"
    # Taken before, with another content.
    OTHER = "other"
    # Overtaken before it came, and certainly taken with no other content: it counts, and changes nothing.
    OVERTAKEN = "overtaken"
    # Overtaken, and what it was taken with isn't known any more.
    FORGOTTEN = "forgotten"


def meet(memory: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    if memory is None or revision > memory.taken[-1].revision:
        return RevisionStatus.NEWEST
    known = next((each for each in memory.taken if each.revision == revision), None)
    if known is not None:
        return RevisionStatus.TAKEN if known.digest == digest else RevisionStatus.OTHER
    return RevisionStatus.FORGOTTEN if revision <= memory.forgotten else RevisionStatus.OVERTAKEN


def remember(memory: RevisionHistory | None, *, revision: int, digest: bytes, now: int, until: int) -> RevisionHistory:
    """The memory with this revision in it: its span begins with each copy that comes, and when it is overtaken."""
    if memory is None:
        return RevisionHistory((AcceptedRevision(revision, digest, until),))
    newest = memory.taken[-1].revision
    if revision > newest:
        # What prevailed until now may have been acknowledged a moment ago.
        before = tuple(
            each._replace(kept_until=max(each.kept_until, until)) if each.revision == newest else each
            for each in memory.taken
        )
        taken = (*before, AcceptedRevision(revision, digest, until))
    else:
        kept = max((each.kept_until for each in memory.taken if each.revision == revision), default=0)
        others = (each for each in memory.taken if each.revision != revision)
        taken = tuple(sorted((*others, AcceptedRevision(revision, digest, max(kept, until)))))
    return forget(memory._replace(taken=taken), now=now)


def forget(memory: RevisionHistory, *, now: int) -> RevisionHistory:
    """The memory without what is past its span or beyond the bound. What prevails is always kept."""
    past, newest = memory.taken[:-1], memory.taken[-1]
    kept = tuple(each for each in past if each.kept_until > now)[-(MAX_REVISIONS - 1) :]
    if len(kept) == len(past):
        return memory
    known = {each.revision for each in kept}
    lost = max(each.revision for each in past if each.revision not in known)
    return RevisionHistory((*kept, newest), max(memory.forgotten, lost))
