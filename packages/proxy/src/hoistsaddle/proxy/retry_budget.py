"""Further sends: over the whole fleet at most a share of a service's traffic plus a margin, in any ten seconds.

The margin is divided into whole units, one stall having them at a time, since a part of one could never be spent. A
stall uses its part in two ways. Half of it caps the tokens that first sends earn: each earns a share of one, each
further send spends one. In a window of any length these are at most what the stalls had kept when it began, plus the
share of the first sends inside it. The other half are slots, each good for one further send in any ten seconds,
however little traffic there is. Both together are the margin, and not a send more. (Counting first and further sends
over the last ten seconds is not enough: when traffic falls, old further sends stay in a window that their first sends
have left.)

Parts move when stalls come and go or a bundle changes them. Then a lower part holds at once. A higher cap holds only
after a lease span: by then whoever had to give it up has heard of it, or its lease has lapsed and it sends nothing. A
higher number of slots waits for ten seconds more, since the former owner may have used one just before.
"""

import hashlib
from collections import deque
from datetime import timedelta
from fractions import Fraction

# Half a second on top: a send leaves a little after it was decided.
WINDOW = timedelta(seconds=10.5)
SHARE = "share"
SLOT = "slot"


def retry_quota_of(*, service: str, proxy: str, proxies: list[str], margin: int) -> int:
    """This proxy's whole units. Who gets one more of an uneven margin differs from service to service."""
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


class _Account:
    def __init__(self, *, wait: timedelta) -> None:
        # A newborn proxy begins with nothing: it can't know what its former life spent.
        self.cap = _Limit(wait=wait)
        self.slots = _Limit(wait=wait + WINDOW)
        # Fractions, because a fifth has no exact float and the bound is meant exactly.
        self.tokens = Fraction(0)
        self.used: deque[timedelta] = deque()


class RetryBudget:
    def __init__(self, *, wait: timedelta) -> None:
        self.wait = wait
        self.accounts: dict[str, _Account] = {}

    def _account(self, service: str) -> _Account:
        return self.accounts.setdefault(service, _Account(wait=self.wait))

    def allot(self, service: str, *, part: int, percent: int, now: timedelta) -> None:
        account = self._account(service)
        # Without a share nothing is ever earned, so the whole part are slots.
        cap = (part + 1) // 2 if percent else 0
        account.cap.set(cap, now=now)
        account.slots.set(part - cap, now=now)
        account.tokens = min(account.tokens, Fraction(account.cap.value))

    def first(self, service: str, *, percent: int) -> None:
        account = self._account(service)
        account.tokens = min(account.tokens + Fraction(percent, 100), Fraction(account.cap.value))

    def room(self, service: str, *, now: timedelta) -> Fraction:
        """What may be sent further now."""
        account = self._account(service)
        while account.used and now - account.used[0] >= WINDOW:
            account.used.popleft()
        return account.tokens + max(0, account.slots.value - len(account.used))

    def gate(self, service: str, *, now: timedelta) -> str:
        """By what a further send goes out now; empty if it may not."""
        account = self._account(service)
        if self.room(service, now=now) < 1:
            return ""
        if account.tokens >= 1:
            account.tokens -= 1
            return SHARE
        if len(account.used) < account.slots.value:
            account.used.append(now)
            return SLOT
        return ""

    def give_back(self, service: str, way: str) -> None:
        """A further send that never left this proxy was none."""
        account = self._account(service)
        if way == SHARE:
            account.tokens = min(account.tokens + 1, Fraction(account.cap.value))
        elif account.used:
            account.used.pop()
