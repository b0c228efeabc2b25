"""Values that stand for "none" in messages."""

from datetime import timedelta

# An offset, epoch or replica that is not set.
UNSET = -1
# An age that the sender doesn't know, or one of a former release.
UNKNOWN_AGE = timedelta(microseconds=-1)
