"""Values that represent "none" in messages."""

from datetime import timedelta

# An offset, epoch or replica that is not set.
UNSET = -1
# An age that is unknown to the sender, or that a former release did not send.
UNKNOWN_AGE = timedelta(microseconds=-1)
