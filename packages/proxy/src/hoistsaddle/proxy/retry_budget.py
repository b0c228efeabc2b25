"""Retry budget: in any ten seconds, the fleet's retries to a service are at most a share of its traffic plus a margin.

The margin is divided into whole units, each owned by one proxy at a time, since a fraction of a unit could never be
spent. A proxy uses its quota in two ways. Half of it caps the tokens that first attempts earn: each earns a share of
one token, each retry spends one. In a window of any length these retries are at most the tokens that the proxies held
at its start, plus the share of the first attempts inside it. The other half are slots, each good for one retry in any
ten seconds, even without traffic. Caps and slots together are exactly the margin. (Counting first attempts and retries
over the last ten seconds is not enough: when traffic falls, old retries stay in a window that their first attempts have
left.)

Quotas change when proxies join or leave, or when a bundle changes the margin. A lower quota takes effect immediately. A
higher cap takes effect only after a lease span: by then the former owner has learned of the change, or its lease has
expired and it sends nothing. A higher number of slots waits for ten seconds more, since the former owner may have used
one just before.
"""

import hashlib
from collections import deque
from datetime import timedelta
from fractions import Fraction

# Half a second is added to the ten, since an attempt is sent a little after it was decided.
WINDOW = timedelta(seconds=10.5)
# What a retry was charged to: a token that first attempts have earned, or a slot.
SHARE = "share"
SLOT = "slot"


def retry_quota_of(*, service: str, proxy: str, proxies: list[str], margin: int) -> int:
    """Return this proxy's units of the margin; which proxies get the remainder differs from service to service."""
    if proxy not in proxies:
        return 0
    order = sorted(proxies, key=lambda name: hashlib.sha256(f"{service} {name}".encode()).digest())
    return margin // len(order) + (order.index(proxy) < margin % len(order))


class _DelayedLimit:
    """A number that decreases immediately and increases only after a wait."""

    def __init__(self, *, wait: timedelta) -> None:
        self.wait = wait
        self.value = 0
        self.pending: tuple[int, timedelta] | None = None

    def set(self, wanted: int, *, now: timedelta) -> None:
        if wanted <= self.value:
            self.value, self.pending = wanted, None
            return
        # A pending value that grows again waits from now; one that shrinks keeps the time that it has waited.
        since = now if self.pending is None or wanted > self.pending[0] else self.pending[1]
        self.pending = (wanted, since)
        if now - since >= self.wait:
            self.value, self.pending = wanted, None


class ServiceBudget:
    """The tokens and slots of one service."""

    def __init__(self, *, wait: timedelta) -> None:
        # A new incarnation starts with zero, since it can't know what the former one has spent.
        self.cap = _DelayedLimit(wait=wait)
        self.slots = _DelayedLimit(wait=wait + WINDOW)
        # Fractions, because a fifth has no exact float and the bound must hold exactly.
        self.tokens = Fraction(0)
        self.used: deque[timedelta] = deque()


class RetryBudget:
    """This proxy's quotas of the fleet's retry budgets, by service."""

    def __init__(self, *, wait: timedelta) -> None:
        """Start with zero quotas; `wait` is how long former owners may still use a quota that this proxy receives."""
        self.wait = wait
        self.accounts: dict[str, ServiceBudget] = {}

    def _account(self, service: str) -> ServiceBudget:
        return self.accounts.setdefault(service, ServiceBudget(wait=self.wait))

    def set_quota(self, service: str, *, quota: int, percent: int, now: timedelta) -> None:
        """Set this proxy's units of the service's margin, and the service's share in percent."""
        account = self._account(service)
        # With a share of zero no token is ever earned, so all units are slots.
        cap = (quota + 1) // 2 if percent else 0
        account.cap.set(cap, now=now)
        account.slots.set(quota - cap, now=now)
        account.tokens = min(account.tokens, Fraction(account.cap.value))

    def earn(self, service: str, *, percent: int) -> None:
        """Credit the first attempt of a request."""
        account = self._account(service)
        account.tokens = min(account.tokens + Fraction(percent, 100), Fraction(account.cap.value))

    def available(self, service: str, *, now: timedelta) -> Fraction:
        """Return how many retries may be sent now."""
        account = self._account(service)
        while account.used and now - account.used[0] >= WINDOW:
            account.used.popleft()
        return account.tokens + max(0, account.slots.value - len(account.used))

    def try_spend(self, service: str, *, now: timedelta) -> str:
        """Spend one retry; return what it was charged to, or an empty string if it may not be sent."""
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

    def refund(self, service: str, charged_to: str) -> None:
        """Refund a retry that was never sent."""
        account = self._account(service)
        if charged_to == SHARE:
            account.tokens = min(account.tokens + 1, Fraction(account.cap.value))
        elif account.used:
            account.used.pop()
