"""This sidecar's share of the fleet-wide retry budget of each service."""

from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.retry_budget import RetryBudget, retry_quota_of
from hoistsaddle.sidecar.request_table import PendingRequest
from hoistsaddle.statemachine.view import View

# A quarter of the retry share is held back: when a run is retried, the calls that it makes to other services count as
# retries there too, which this sidecar can't see.
USED_SHARE_NUMERATOR, USED_SHARE_DENOMINATOR = 3, 4
# The factor by which a lease may last longer on another machine, because of clock drift.
CLOCK_TOLERANCE = 1.05


class RetryAllowance:
    """Admits attempts: first attempts always, retries while this sidecar's share of the budget allows it."""

    def __init__(self, *, state: CoreState, percent: int, margin: int) -> None:
        """Start with an empty budget.

        Args:
            state: the state of the core; its view lists the sidecars that share the margin.
            percent: retries per hundred first attempts, over the whole fleet.
            margin: retries beyond that share in ten seconds, over the whole fleet.
        """
        self._state = state
        self.set_limits(percent=percent, margin=margin)
        self.budget = RetryBudget(wait=state.settings.lease_span * CLOCK_TOLERANCE)
        # This sidecar's share of the margin by service, computed once per view.
        self.quotas: dict[str, int] = {}
        self._quotas_of: View | None = None

    def set_limits(self, *, percent: int, margin: int) -> None:
        """Apply changed settings."""
        self._percent = percent * USED_SHARE_NUMERATOR // USED_SHARE_DENOMINATOR
        self._margin = margin

    def admit(self, request: PendingRequest) -> bool:
        """Whether the request's next attempt may be sent; a retry is charged to the budget."""
        service = request.service
        self._update_quota(service)
        if request.attempts:
            return bool(self.budget.try_spend(service, now=self._state.now))
        if not request.counted:
            request.counted = True
            self.budget.earn(service, percent=self._percent)
        return True

    def _update_quota(self, service: str) -> None:
        state = self._state
        if self._quotas_of is not state.view:
            self._quotas_of = state.view
            self.quotas = {}
        quota = self.quotas.get(service)
        if quota is None:
            proxies = [proxy.node for proxy in state.view.live_proxies()]
            quota = self.quotas[service] = retry_quota_of(
                service=service, proxy=state.settings.name, proxies=proxies, margin=self._margin
            )
        self.budget.set_quota(service, quota=quota, percent=self._percent, now=state.now)
