"""Which content each revision of an item was accepted with, for as long as its patch may be sent again.

One revision of an item has one content. The items in force show only the newest; a patch whose answer was lost may be
sent again after its revision was superseded, and so may another one under the same revision that was rejected. The
history tells them apart. The log alone builds it, in mesh time, so it is the same on every replica.
"""

from enum import Enum
from typing import NamedTuple

# Revisions of one name that are kept. At 30 bytes each, a name that changes without end takes 4 KB of every snapshot.
MAX_REVISIONS = 128


class AcceptedRevision(NamedTuple):
    """One revision as it was accepted."""

    revision: int
    digest: bytes
    # Microseconds of mesh time; not used for the name's newest revision.
    kept_until: int


class RevisionHistory(NamedTuple):
    """What is known of one name's revisions, in ascending order. The last one is in force."""

    accepted: tuple[AcceptedRevision, ...]
    # The highest revision that was accepted and pruned since; -1 while all are known.
    pruned: int = -1


class RevisionStatus(Enum):
    """How a revision with its content compares with the history of its name."""

    # Above all that was accepted.
    NEWEST = "newest"
    # Accepted before, with this content.
    ACCEPTED = "accepted"
    # Accepted before, with another content.
    OTHER = "other"
    # Below the newest, and certainly never accepted with another content: it is accepted and changes nothing.
    SUPERSEDED = "superseded"
    # Below the newest, and pruned: what it was accepted with is no longer known.
    FORGOTTEN = "forgotten"


def compare_revision(history: RevisionHistory | None, *, revision: int, digest: bytes) -> RevisionStatus:
    """How a revision with the digest of its content compares with a name's history; None for a new name."""
    if history is None or revision > history.accepted[-1].revision:
        return RevisionStatus.NEWEST
    known = next((each for each in history.accepted if each.revision == revision), None)
    if known is not None:
        return RevisionStatus.ACCEPTED if known.digest == digest else RevisionStatus.OTHER
    return RevisionStatus.FORGOTTEN if revision <= history.pruned else RevisionStatus.SUPERSEDED


def record_revision(
    history: RevisionHistory | None, *, revision: int, digest: bytes, now: int, until: int
) -> RevisionHistory:
    """The history with an accepted revision in it.

    The time for which a revision is kept starts anew with each copy of its patch, and when it is superseded.

    Args:
        history: What is known of the name; None for a new one.
        revision: The accepted revision.
        digest: The digest of its content.
        now: Microseconds of mesh time.
        until: Microseconds of mesh time up to which the patch may be sent again.
    """
    if history is None:
        return RevisionHistory((AcceptedRevision(revision, digest, until),))
    newest = history.accepted[-1].revision
    if revision > newest:
        # The patch that was in force until now may have been acknowledged just before.
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
    """The history without what has expired or exceeds MAX_REVISIONS; the very same where nothing goes.

    The newest revision is always kept.
    """
    older, newest = history.accepted[:-1], history.accepted[-1]
    kept = tuple(each for each in older if each.kept_until > now)[-(MAX_REVISIONS - 1) :]
    if len(kept) == len(older):
        return history
    kept_revisions = {each.revision for each in kept}
    pruned = max(each.revision for each in older if each.revision not in kept_revisions)
    return RevisionHistory((*kept, newest), max(history.pruned, pruned))
