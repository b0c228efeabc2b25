"""State that only cores under bundles share, beyond hoistsaddle.proxy.core_state: whether the proxy may act now."""

import hashlib
import random
from datetime import timedelta

from hoistsaddle.common.errors import BundleUnknown, LeaseExpired, MeshError, ShuttingDown
from hoistsaddle.config.bundle import Bundle
from hoistsaddle.proxy.core_state import CoreSettings, CoreState
from hoistsaddle.statemachine.state import GONE, READY, WINDING_DOWN

# The interval between submissions of a settlement or a release that the log has not answered.
SETTLE_RETRY_INTERVAL = timedelta(milliseconds=250)
# The longest outage of the core that requests wait out: about twice the slowest takeover measured (0.72 s). It is
# counted from the time at which the cause is seen, so a takeover that outlasts the lease by this much fails no request.
MAX_CORE_OUTAGE = timedelta(milliseconds=1500)


def number_of(bundle: Bundle) -> int:
    """Return the bundle's number; newer ones have higher numbers."""
    return bundle.number


def digest_of_body(body: bytes) -> str:
    """Return the hex digest of a body, which detects that it was altered."""
    return hashlib.sha256(body).hexdigest()


class BundleState(CoreState):
    """State of a core that acts only with a valid lease, a registered incarnation and a bundle in force."""

    def __init__(self, *, settings: CoreSettings, seed: random.Random, now: timedelta) -> None:
        """Start without configuration, lease and server."""
        super().__init__(settings=settings, seed=seed, now=now)
        # The time since which this proxy can't act; None while it can.
        self.unready_since: timedelta | None = None

    def is_registered(self) -> bool:
        """Whether the log knows this incarnation: until then the acceptance of a bundle doesn't wait for this proxy."""
        node = self.view.nodes.get(self.settings.name)
        return node is not None and node.incarnation == self.settings.incarnation and node.state != GONE

    def server_state(self) -> str:
        """Return the server's state; while the proxy stops, a ready server counts as winding down."""
        state = super().server_state()
        return WINDING_DOWN if self.stopping and state == READY else state

    def ready(self) -> MeshError | None:
        """Return why the platform should send no requests to this proxy; None if it is ready."""
        if self.stopping:
            return ShuttingDown("This proxy is stopping.", remedy="Send new work elsewhere.")
        if not self.has_lease():
            return LeaseExpired(
                "This proxy has no valid lease from the core.",
                remedy="Check the core machines and the network path to them.",
            )
        if not self.is_registered():
            return LeaseExpired("The core has not registered this proxy yet.", remedy="Wait; it registers by itself.")
        if self.view.bundle is None:
            return _no_bundle()
        return None

    def processing_error(self) -> MeshError | None:
        """Return why no request can be processed now, if so, and record since when."""
        error = self.ready()
        if self.stopping and self.has_lease() and self.is_registered() and self.view.bundle is not None:
            # Requests accepted before the stop are still finished.
            error = None
        if error is None:
            self.unready_since = None
        elif self.unready_since is None:
            self.unready_since = self.now
        return error

    def acting_bundle(self) -> Bundle | MeshError:
        """Return the bundle to act under, or why no request can be processed now."""
        error, bundle = self.processing_error(), self.view.bundle
        if error is not None:
            return error
        return bundle if bundle is not None else _no_bundle()


def _no_bundle() -> MeshError:
    return BundleUnknown("No bundle is in force.", remedy="Submit a bundle and have it signed.")
