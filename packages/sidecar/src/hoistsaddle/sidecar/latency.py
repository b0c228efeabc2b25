"""Estimates of how long runs take on the local server, learned from those that have ended."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import AnnounceBodyCall, ForwardCall

# The assumed mean run time of a route that has not run here, as a share of its latency target, and the factor from the
# mean to the time within which most runs are assumed to end.
INITIAL_LATENCY_SHARE = 0.33
INITIAL_SAFETY_FACTOR = 1.5
# The weight of the newest run in the moving averages, after the first few runs.
WEIGHT = 0.1
# The number of mean deviations above the mean within which a run is expected to end.
SAFETY_DEVIATIONS = 1.0
# Routes whose mean is at most this share of the overall mean are mostly called by other servers, whose own work is lost
# if the call is refused. They hardly delay other requests, so they may use most of their budget.
SHORT_RUN_SHARE = 0.5
SHORT_RUN_BUDGET_SHARE = 0.8


class LatencyEstimate:
    """The mean and the mean deviation of run times, as moving averages."""

    def __init__(self) -> None:
        self.mean = ZERO
        self.deviation = ZERO
        self.count = 0

    def learn(self, run_time: timedelta) -> None:
        """Update the averages with the time of one more run."""
        self.count += 1
        if self.count == 1:
            self.mean, self.deviation = run_time, run_time / 3
            return
        # The first few runs are weighted equally: otherwise one outlier at the start would distort the mean for long.
        weight = max(WEIGHT, 1 / self.count)
        self.deviation += (abs(run_time - self.mean) - self.deviation) * weight
        self.mean += (run_time - self.mean) * weight


class LatencyEstimates:
    """Latency estimates by route, and over all routes."""

    def __init__(self) -> None:
        self.by_route: dict[str, LatencyEstimate] = {}
        self.overall = LatencyEstimate()

    def learn(self, route: str, run_time: timedelta) -> None:
        """Update the estimates with the time of one more run of the route."""
        self.overall.learn(run_time)
        self.by_route.setdefault(route, LatencyEstimate()).learn(run_time)

    def expected(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return how long the call's run is expected to take."""
        estimate = self.by_route.get(call.route)
        return call.latency_target * INITIAL_LATENCY_SHARE if estimate is None else estimate.mean

    def safe(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return the time within which most such runs end; with the mean alone, half of a full queue would be late."""
        estimate = self.by_route.get(call.route)
        if estimate is None:
            return call.latency_target * INITIAL_LATENCY_SHARE * INITIAL_SAFETY_FACTOR
        return estimate.mean + estimate.deviation * SAFETY_DEVIATIONS

    def admission_limit(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return the time within which the call must be likely to finish to be admitted."""
        estimate = self.by_route.get(call.route)
        short = estimate is not None and estimate.mean <= self.overall.mean * SHORT_RUN_SHARE
        if not short:
            return call.latency_target
        return max(call.latency_target, call.budget * SHORT_RUN_BUDGET_SHARE)
