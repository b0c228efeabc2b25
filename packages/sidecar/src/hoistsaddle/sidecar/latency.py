"""How long runs take on the local server, learned from those that ended there."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import AnnounceBodyCall, ForwardCall

# What a route that never ran here is taken to need, as a share of the latency target, and the factor for what most of
# its runs keep within.
INITIAL_LATENCY_SHARE = 0.33
INITIAL_SAFETY_FACTOR = 1.5
# The newest run's weight in the moving averages, once there were a few.
WEIGHT = 0.1
# By how many of its usual deviations a run may outlast its usual time and still be in time.
SAFETY_DEVIATIONS = 1.0
# Runs this much shorter than the usual one here are the calls of other servers, whose own work is lost with them.
# They hardly keep anybody, so they may use most of their whole budget.
SHORT_RUN_SHARE = 0.5
SHORT_RUN_BUDGET_SHARE = 0.8


class LatencyEstimate:
    """Mean and mean deviation of how long runs take, as moving averages."""

    def __init__(self) -> None:
        self.mean = ZERO
        self.deviation = ZERO
        self.count = 0

    def learn(self, run_time: timedelta) -> None:
        """Take the time of one more run."""
        self.count += 1
        if self.count == 1:
            self.mean, self.deviation = run_time, run_time / 3
            return
        # The first few count alike: a mean that begins with one odd run would stay odd for long.
        weight = max(WEIGHT, 1 / self.count)
        self.deviation += (abs(run_time - self.mean) - self.deviation) * weight
        self.mean += (run_time - self.mean) * weight


class LatencyEstimates:
    """Estimates by route, and over all routes."""

    def __init__(self) -> None:
        self.by_route: dict[str, LatencyEstimate] = {}
        self.overall = LatencyEstimate()

    def learn(self, route: str, run_time: timedelta) -> None:
        """Take the time of one more run of the route."""
        self.overall.learn(run_time)
        self.by_route.setdefault(route, LatencyEstimate()).learn(run_time)

    def expected(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return how long the call's run is expected to take."""
        estimate = self.by_route.get(call.route)
        return call.latency_target * INITIAL_LATENCY_SHARE if estimate is None else estimate.mean

    def safe(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return what most such runs keep within: admitted by the mean alone, half of a full queue would be late."""
        estimate = self.by_route.get(call.route)
        if estimate is None:
            return call.latency_target * INITIAL_LATENCY_SHARE * INITIAL_SAFETY_FACTOR
        return estimate.mean + estimate.deviation * SAFETY_DEVIATIONS

    def admission_limit(self, call: ForwardCall | AnnounceBodyCall) -> timedelta:
        """Return within which time the call must be likely to be done to be admitted."""
        estimate = self.by_route.get(call.route)
        short = estimate is not None and estimate.mean <= self.overall.mean * SHORT_RUN_SHARE
        if not short:
            return call.latency_target
        return max(call.latency_target, call.budget * SHORT_RUN_BUDGET_SHARE)
