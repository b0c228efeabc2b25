"""Whether the configuration of this sidecar is recent enough to use.

While the core is unavailable no newer configuration can come into force, so a sidecar keeps using the one it has. A
sidecar that is only cut off, or behind a full link, must not: a newer configuration may be in force everywhere else.
Evidence that the core is unavailable tells the two cases apart; it holds as of the time when it was asked for.
"""

from datetime import timedelta

from hoistsaddle.proxy.core_state import CoreState


class ConfigurationFreshness:
    """Tracks the latest time as of which the configuration here was known to be the newest in force."""

    def __init__(self, *, state: CoreState, max_age: timedelta) -> None:
        """Start without evidence.

        Args:
            state: the state of the core; its lease confirms the configuration.
            max_age: how long a change may take to come into force everywhere.
        """
        self._state = state
        self.max_age = max_age
        self._core_absent_at: timedelta | None = None

    def core_absent(self, at: timedelta) -> None:
        """Record that at this time the core was unavailable and could put no newer configuration into force."""
        if self._core_absent_at is None or at > self._core_absent_at:
            self._core_absent_at = at

    def current_as_of(self) -> timedelta | None:
        """Return the latest time as of which no newer configuration was in force; None without any evidence."""
        known = [at for at in (self._state.lease_start, self._core_absent_at) if at is not None]
        return max(known, default=None)

    def usable(self) -> bool:
        """Whether requests may be handled with the configuration here."""
        at = self.current_as_of()
        return at is not None and self._state.now - at <= self.max_age

    def due_for_evidence(self, share: float) -> bool:
        """Whether the configuration has reached this share of its maximum age, so that evidence should be sought."""
        at = self.current_as_of()
        return at is not None and self._state.now - at >= self.max_age * share
