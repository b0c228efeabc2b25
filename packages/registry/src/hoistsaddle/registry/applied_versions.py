"""Which revision of the configuration each proxy has applied, and when all have applied a given one."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.membership.relay import Relay
from hoistsaddle.registry.peers import PeerRegistries
from hoistsaddle.rpc.messages import AppliedVersion, AppliedVersionsAnswer, AppliedVersionsCall
from hoistsaddle.rpc.runtime import Runtime

PEER_TIMEOUT = milliseconds(150)
CHECK_INTERVAL = milliseconds(25)
# Adds a twentieth to a lease, because the monotonic clocks of two machines may drift apart.
CLOCK_DRIFT_FACTOR = 1.05
APPLIED = "taken up"
LEASE_LAPSED = "lapsed"
REFUSED = "refused"


class AppliedVersions:
    """Gathers proxies' reports; each registry receives those from its own part of the distribution tree."""

    def __init__(
        self, *, node: str, relay: Relay, peers: PeerRegistries, runtime: Runtime, lease_span: timedelta
    ) -> None:
        """Reads the reports of this registry's relay and requests those of the other registries."""
        self.node = node
        self.relay = relay
        self.peers = peers
        self.runtime = runtime
        self.lease_span = lease_span

    def longest_lease(self) -> timedelta:
        """The longest time for which a lease may be used after it was granted, by any machine's clock."""
        return self.lease_span * CLOCK_DRIFT_FACTOR

    async def gather(self) -> dict[str, AppliedVersion]:
        """The newest report of each proxy, from all registries that answer."""
        answers = await self.peers.call_others(AppliedVersionsCall(self.node), within=PEER_TIMEOUT)
        gathered = [self.relay.known_applied_versions(now=self.runtime.now())]
        gathered += [answer.applied_versions for answer in answers if isinstance(answer, AppliedVersionsAnswer)]
        newest: dict[str, AppliedVersion] = {}
        for reports in gathered:
            for report in reports:
                known = newest.get(report.node)
                if known is None or report.revision > known.revision:
                    newest[report.node] = report
        return newest

    async def wait_for_all(
        self, *, revision: int, proxies: Callable[[], list[str]], committed: timedelta
    ) -> dict[str, str]:
        """Waits until every proxy has applied the revision, or its lease on an older one must have expired.

        A lease on an older configuration began before the commit, so one lease span after it no such lease is left.

        Args:
            revision: The revision of the change.
            proxies: The names of the proxies concerned, as this registry knows them at the time of the call.
            committed: A time on this node's clock by which the change was committed.

        Returns:
            For each proxy "taken up", "refused: " with its reason, or "lapsed".
        """
        end = committed + self.longest_lease()
        while True:
            reports = await self.gather()
            outcomes: dict[str, str] = {}
            affected = proxies()
            for proxy in affected:
                report = reports.get(proxy)
                if report is not None and report.revision >= revision:
                    outcomes[proxy] = f"{REFUSED}: {report.refusal}" if report.refusal else APPLIED
            # A copy older than the commit may lack some affected proxies: then only the expiry of leases counts.
            complete = self.relay.copy.revision >= revision and len(outcomes) == len(affected)
            if complete or self.runtime.now() >= end:
                return {proxy: outcomes.get(proxy, LEASE_LAPSED) for proxy in affected}
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
