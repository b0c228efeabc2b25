"""Idempotency keys of requests under bundles: claims them in the log, and releases those that no attempt used."""

from datetime import timedelta

from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.bundle_state import SETTLE_RETRY_INTERVAL, BundleState, digest_of_body
from hoistsaddle.proxy.client_identity import ClientIdentity, digest_of_parts
from hoistsaddle.proxy.client_request import ClientRequest
from hoistsaddle.proxy.hold_releases import HoldReleases
from hoistsaddle.proxy.messages import SubmitHold
from hoistsaddle.statemachine.commands import ClaimKey, Outcome

# How long the release of a key is retried.
RELEASE_TIMEOUT = timedelta(seconds=60)


class KeyClaims:
    """Tracks the claims that the log hasn't answered, and since when it has answered none."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self._submitted: dict[int, ClaimKey] = {}
        self.releases = HoldReleases(state=state, retry_interval=SETTLE_RETRY_INTERVAL, timeout=RELEASE_TIMEOUT)
        # The time since which the log has answered no command about keys; None while it answers.
        self._silent_since: timedelta | None = None

    def note_answer(self, outcome: Outcome | None) -> None:
        """Record whether the log answered a command about a key; None is no answer."""
        if outcome is not None:
            self._silent_since = None
        elif self._silent_since is None:
            self._silent_since = self._state.now

    def is_blocked(self, *, after: timedelta) -> bool:
        """Whether the log has been silent for this long, and a claim in flight will show when it answers again."""
        silent = self._silent_since is not None and self._state.now - self._silent_since >= after
        return silent and bool(self._submitted)

    def prepare(self, request: ClientRequest, identity: ClientIdentity, route: Route) -> None:
        """Set the request's claim, which all its submissions share."""
        event, settings = request.event, self._state.settings
        request.identity = identity
        # At release level 1 the log stores the key under this scope; from level 2 on it looks the key up by its bucket.
        request.scope = digest_of_parts(event.caller, event.client, route.name, event.key)
        request.claim = f"{settings.name}.{settings.incarnation}.{self._state.next_number()}"

    def submit(self, request: ClientRequest, identity: ClientIdentity, route: Route) -> int:
        """Submit the request's claim to the log, and return the call's number."""
        event, number = request.event, self._state.next_number()
        # The digest also covers method, path and query, so that a different request with the same key is refused.
        digest = digest_of_body("\0".join((event.method, event.path, event.query, "")).encode() + event.body)
        command = self._submitted[number] = ClaimKey(
            request.scope,
            request.claim,
            self._state.settings.name,
            digest,
            digest_of_parts("bucket", event.caller, event.method, event.path, event.key),
            identity.identified_by,
            identity.client_digest,
            route.name,
        )
        self._state.out.append(SubmitHold(number, command))
        return number

    def answered(self, number: int) -> ClaimKey:
        """Remove and return the claim that was submitted under this number."""
        return self._submitted.pop(number)
