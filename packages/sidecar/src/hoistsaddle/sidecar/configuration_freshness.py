"""Whether the configuration held here may still be acted on.

Without a core nothing newer can come into force, so a sidecar goes on with what it has. But a sidecar that merely hears
nothing, behind a full link or cut off, can't know that: a change may be in force everywhere else. What tells the two
apart is evidence that the core is away, dated by when it was asked for.
"""

from datetime import timedelta

from hoistsaddle.proxy.core_state import CoreState


class ConfigurationFreshness:
    """Dates the newest time at which nothing newer than the configuration here was in force."""

    def __init__(self, *, state: CoreState, max_age: timedelta) -> None:
        """Begin without evidence.

        Args:
            state: of the core, whose lease confirms the configuration.
            max_age: how long a change may take to be in force everywhere.
        """
        self._state = state
        self.max_age = max_age
        self._core_absent_at: timedelta | None = None

    def core_absent(self, at: timedelta) -> None:
        """Take that at this time the core could put nothing newer into force."""
        if self._core_absent_at is None or at > self._core_absent_at:
            self._core_absent_at = at

    def current_as_of(self) -> timedelta | None:
        """Return the newest time as of which nothing newer was in force; None before any configuration."""
        known = [at for at in (self._state.lease_start, self._core_absent_at) if at is not None]
        return max(known, default=None)

    def usable(self) -> bool:
        """Whether a request may be handled by the configuration here."""
        at = self.current_as_of()
        return at is not None and self._state.now - at <= self.max_age

    def due_for_evidence(self, share: float) -> bool:
        """Whether this share of the greatest age has passed, so that it is time to look for evidence."""
        at = self.current_as_of()
        return at is not None and self._state.now - at >= self.max_age * share
