"""The content with which each revision of an item was accepted, for as long as its patch may be resent.

One revision of an item has one content. The items in force hold only the newest revision. A patch whose answer was lost
may be resent after its revision was superseded, and so may a rejected patch with different content under the same
revision; the history distinguishes the two. It is built from the log and mesh time alone, so it is the same on every
replica.
"""

from enum import Enum
from typing import NamedTuple

# The most revisions kept for one name. At 30 bytes each, a name that changes constantly takes 4 KB of every snapshot.
MAX_REVISIONS = 128


class AcceptedRevision(NamedTuple):
    """An accepted revision and the digest of its content."""

    revision: int
    digest: bytes
    # Microseconds of mesh time; ignored for the newest revision of a name.
    kept_until: int


class RevisionHistory(NamedTuple):
    """The accepted revisions of one name in ascending order. The last one is in force."""

    accepted: tuple[AcceptedRevision, ...]
    # The highest accepted revision that was pruned; -1 if none was.
    pruned: int = -1


class RevisionStatus(Enum):
    """The result of comparing a revision and its content with the history of its name."""

    # Above all accepted revisions.
    NEWEST = "newest"
    # Accepted before with the same content.
    ACCEPTED = "accepted"
    # Accepted before with different content.
    OTHER = "other"
    # Below the newest and certainly never accepted with different content: it is accepted and changes nothing.
    SUPERSEDED = "superseded"
    # Below the newest, and possibly pruned: the content of an accepted revision is no longer known.
    FORGOTTEN = "forgotten"


def compare_revision(history: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    """Compares a revision and the digest of its content with the history of a name; a new name has none."""
    if history is None or revision > history.accepted[-1].revision:
        return RevisionStatus.NEWEST
    known = next((each for each in history.accepted if each.revision == revision), None)
    if known is not None:
        return RevisionStatus.ACCEPTED if known.digest == digest else RevisionStatus.OTHER
    return RevisionStatus.FORGOTTEN if revision <= history.pruned else RevisionStatus.SUPERSEDED


def record_revision(
    history: RevisionHistory | None, *, revision: int, digest: bytes, now: int, until: int
) -> RevisionHistory:
    """Returns the history with an accepted revision added.

    The retention time of a revision restarts with each copy of its patch, and when the revision is superseded.

    Args:
        history: The history of the name; None for a new name.
        revision: The accepted revision.
        digest: The digest of its content.
        now: The present time, in microseconds of mesh time.
        until: The time until which the patch may be resent, in microseconds of mesh time.
    """
    if history is None:
        return RevisionHistory((AcceptedRevision(revision, digest, until),))
    newest = history.accepted[-1].revision
    if revision > newest:
        # The patch of the superseded revision may have been acknowledged just before, so it may still be resent.
        before = tuple(
            each._replace(kept_until=max(each.kept_until, until)) if each.revision == newest else each
            for each in history.accepted
        )
        accepted = (*before, AcceptedRevision(revision, digest, until))
    else:
        kept_until = max((each.kept_until for each in history.accepted if each.revision == revision), default=0)
        others = (each for each in history.accepted if each.revision != revision)
        accepted = tuple(sorted((*others, AcceptedRevision(revision, digest, max(kept_until, until)))))
    return prune(history._replace(accepted=accepted), now=now)


def prune(history: RevisionHistory, *, now: int) -> RevisionHistory:
    """Returns the history without expired revisions and at most MAX_REVISIONS long; the same object if unchanged.

    The newest revision is always kept.
    """
    older, newest = history.accepted[:-1], history.accepted[-1]
    kept = tuple(each for each in older if each.kept_until > now)[-(MAX_REVISIONS - 1) :]
    if len(kept) == len(older):
        return history
    kept_revisions = {each.revision for each in kept}
    pruned = max(each.revision for each in older if each.revision not in kept_revisions)
    return RevisionHistory((*kept, newest), max(history.pruned, pruned))
