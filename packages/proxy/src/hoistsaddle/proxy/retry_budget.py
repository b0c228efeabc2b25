"""Retry budget: over the whole fleet at most a share of a service's traffic plus a margin, in any ten seconds.

The margin is divided into whole units, one proxy having each at a time, since a part of a unit could never be spent. A
proxy uses its quota in two ways. Half of it caps the tokens that first attempts earn: each earns a share of one, each
retry spends one. In a window of any length these are at most what the proxies had kept when it began, plus the share
of the first attempts inside it. The other half are slots, each good for one retry in any ten seconds, however little
traffic there is. Both together are the margin, and not an attempt more. (Counting first attempts and retries over the
last ten seconds is not enough: when traffic falls, old retries stay in a window that their first attempts have left.)

Quotas move when proxies come and go or a bundle changes them. Then a lower quota holds at once. A higher cap holds only
after a lease span: by then whoever had to give it up has heard of it, or its lease has lapsed and it sends nothing. A
higher number of slots waits for ten seconds more, since the former owner may have used one just before.
"""

import hashlib
from collections import deque
from datetime import timedelta
from fractions import Fraction

# Half a second on top: an attempt leaves a little after it was decided.
WINDOW = timedelta(seconds=10.5)
# What paid for a retry.
SHARE = "share"
SLOT = "slot"


def retry_quota_of(*, service: str, proxy: str, proxies: list[str], margin: int) -> int:
    """Return this proxy's units of the margin. Who gets one more of an uneven one differs from service to service."""
    if proxy not in proxies:
        return 0
    order = sorted(proxies, key=lambda name: hashlib.sha256(f"{service} {name}".encode()).digest())
    return margin // len(order) + (order.index(proxy) < margin % len(order))


class _Limit:
    """A number that falls at once and rises only when it has been due for a while."""

    def __init__(self, *, wait: timedelta) -> None:
        self.wait = wait
        self.value = 0
        self.due: tuple[int, timedelta] | None = None

    def set(self, wanted: int, *, now: timedelta) -> None:
        if wanted <= self.value:
            self.value, self.due = wanted, None
            return
        # One that grew again waits anew; one that shrank a little has waited for that much already.
        since = now if self.due is None or wanted > self.due[0] else self.due[1]
        self.due = (wanted, since)
        if now - since >= self.wait:
            self.value, self.due = wanted, None


class ServiceBudget:
    """What one service's retries have earned and spent."""

    def __init__(self, *, wait: timedelta) -> None:
        # A new incarnation begins with nothing: it can't know what the former one spent.
        self.cap = _Limit(wait=wait)
        self.slots = _Limit(wait=wait + WINDOW)
        # Fractions, because a fifth has no exact float and the bound is meant exactly.
        self.tokens = Fraction(0)
        self.used: deque[timedelta] = deque()


class RetryBudget:
    """This proxy's part of the fleet's retry budgets, by service."""

    def __init__(self, *, wait: timedelta) -> None:
        """Begin with nothing; `wait` is for how long others may still use what this proxy is given."""
        self.wait = wait
        self.accounts: dict[str, ServiceBudget] = {}

    def _account(self, service: str) -> ServiceBudget:
        return self.accounts.setdefault(service, ServiceBudget(wait=self.wait))

    def set_quota(self, service: str, *, quota: int, percent: int, now: timedelta) -> None:
        """Set this proxy's units of the service's margin, and the service's share in percent."""
        account = self._account(service)
        # Without a share nothing is ever earned, so all units are slots.
        cap = (quota + 1) // 2 if percent else 0
        account.cap.set(cap, now=now)
        account.slots.set(quota - cap, now=now)
        account.tokens = min(account.tokens, Fraction(account.cap.value))

    def earn(self, service: str, *, percent: int) -> None:
        """Take that a request's first attempt is sent."""
        account = self._account(service)
        account.tokens = min(account.tokens + Fraction(percent, 100), Fraction(account.cap.value))

    def available(self, service: str, *, now: timedelta) -> Fraction:
        """Return how many retries may be sent now."""
        account = self._account(service)
        while account.used and now - account.used[0] >= WINDOW:
            account.used.popleft()
        return account.tokens + max(0, account.slots.value - len(account.used))

    def try_spend(self, service: str, *, now: timedelta) -> str:
        """Spend one retry; return what paid for it, empty if it may not be sent."""
        account = self._account(service)
        if self.available(service, now=now) < 1:
            return ""
        if account.tokens >= 1:
            account.tokens -= 1
            return SHARE
        if len(account.used) < account.slots.value:
            account.used.append(now)
            return SLOT
        return ""

    def refund(self, service: str, paid_by: str) -> None:
        """Give back what paid for a retry that never left this proxy."""
        account = self._account(service)
        if paid_by == SHARE:
            account.tokens = min(account.tokens + 1, Fraction(account.cap.value))
        elif account.used:
            account.used.pop()
