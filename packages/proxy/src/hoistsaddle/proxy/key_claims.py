"""Idempotency keys of requests under bundles: claimed in the log, and released if nothing ran under them."""

from datetime import timedelta

from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.bundle_state import SETTLE_RETRY_INTERVAL, BundleState, digest_of_body
from hoistsaddle.proxy.client_identity import ClientIdentity, digest_of_parts
from hoistsaddle.proxy.client_request import ClientRequest
from hoistsaddle.proxy.hold_releases import HoldReleases
from hoistsaddle.proxy.messages import SubmitHold
from hoistsaddle.statemachine.commands import ClaimKey, Outcome

# For how long the release of a key is submitted to the log again and again.
RELEASE_TIMEOUT = timedelta(seconds=60)


class KeyClaims:
    """The claims that the log hasn't answered, and whether it answers at all."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self._submitted: dict[int, ClaimKey] = {}
        self.releases = HoldReleases(state=state, retry_interval=SETTLE_RETRY_INTERVAL, timeout=RELEASE_TIMEOUT)
        # Since when the log gives no answer about keys.
        self._silent_since: timedelta | None = None

    def note_answer(self, outcome: Outcome | None) -> None:
        """Note whether the log answered a command about a key; None is no answer."""
        if outcome is not None:
            self._silent_since = None
        elif self._silent_since is None:
            self._silent_since = self._state.now

    def is_blocked(self, *, after: timedelta) -> bool:
        """Whether the log has been silent for so long, and a claim is under way that finds out when it answers."""
        silent = self._silent_since is not None and self._state.now - self._silent_since >= after
        return silent and bool(self._submitted)

    def prepare(self, request: ClientRequest, identity: ClientIdentity, route: Route) -> None:
        """Give the request the claim that all its submissions share."""
        event, settings = request.event, self._state.settings
        request.identity = identity
        # Where level 1 keeps the key; from level 2 on the log finds it by the bucket.
        request.scope = digest_of_parts(event.caller, event.client, route.name, event.key)
        request.claim = f"{settings.name}.{settings.incarnation}.{self._state.next_number()}"

    def submit(self, request: ClientRequest, identity: ClientIdentity, route: Route) -> int:
        """Submit the request's claim to the log, and return the call's number."""
        event, number = request.event, self._state.next_number()
        # The body's digest covers method, path and query too: another request under the same key is refused.
        digest = digest_of_body("\0".join((event.method, event.path, event.query, "")).encode() + event.body)
        command = self._submitted[number] = ClaimKey(
            request.scope,
            request.claim,
            self._state.settings.name,
            digest,
            digest_of_parts("bucket", event.caller, event.method, event.path, event.key),
            identity.by,
            identity.who,
            route.name,
        )
        self._state.out.append(SubmitHold(number, command))
        return number

    def answered(self, number: int) -> ClaimKey:
        """Return the claim that the log answered under this number."""
        return self._submitted.pop(number)
