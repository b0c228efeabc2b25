"""The rules of the users' platform over what an arcade's day recorded; each gives what broke it."""

from collections import Counter, defaultdict
from collections.abc import Callable
from functools import cached_property

from hoistsaddle.testbed.emulator.day import BOUNDS, REPEATABLE, Day, Route
from hoistsaddle.testbed.emulator.history import (
    Arrived,
    Beaten,
    Closed,
    Fault,
    Got,
    Harm,
    History,
    Ordered,
    Ran,
    ReadBack,
    Replied,
    Sent,
    Told,
)
from hoistsaddle.testbed.emulator.touch import Touch

PROMISES = (408, 421, 429, 503)
PROMISED_OWN = (408, 421, 429)
# A reading of the history by simulated time needs no slack but for what is written down a moment later.
EYE = 0.02


class Version:
    """One item at one revision, as an operator sent it in a proper order."""

    def __init__(self, *, revision: int, route: Route | None, sent: float) -> None:
        self.revision = revision
        self.route = route
        self.sent = sent
        self.acknowledged: float | None = None
        self.said: set[str] = set()

    def allows(self, service: str) -> bool:
        return self.route is not None and any(name == service and weight > 0 for name, weight in self.route.parts)


class Account:
    """The history with what several rules ask of it."""

    def __init__(self, *, history: History, day: Day) -> None:
        self.history = history
        self.day = day
        self.touch = Touch(history=history, site=day.site)
        self.sent = {sent.attempt: sent for sent in history.of(Sent)}
        self.got = {got.attempt: got for got in history.of(Got)}
        self.ran: dict[str, list[Ran]] = defaultdict(list)
        for ran in history.of(Ran):
            self.ran[ran.attempt].append(ran)
        self.replied = {replied.run: replied for replied in history.of(Replied)}
        self.runs = {ran.run: ran for ran in history.of(Ran)}
        self.kinds = {route.name: route.kind for route in day.site.routes}
        # Routes that came during the day, too.
        for ordered in history.of(Ordered):
            self.kinds.update((name, route.kind) for name, _, route in ordered.routes if route is not None)

    @cached_property
    def versions(self) -> dict[str, list[Version]]:
        found: dict[str, dict[int, Version]] = defaultdict(dict)
        of_order: dict[str, list[Version]] = {}
        for ordered in self.history.of(Ordered):
            if not ordered.proper:
                continue
            these = []
            for name, revision, route in ordered.routes:
                version = found[name].get(revision)
                if version is None:
                    version = found[name][revision] = Version(revision=revision, route=route, sent=ordered.at)
                these.append(version)
            of_order[ordered.order] = these
        for told in self.history.of(Told):
            if told.status == 200:
                for version in of_order.get(told.order, ()):
                    if version.acknowledged is None:
                        version.acknowledged = told.at
        return {name: [these[number] for number in sorted(these)] for name, these in found.items()}

    def floor(self, name: str, moment: float) -> int:
        """The newest revision acknowledged by then; -1 is none."""
        return max(
            (
                version.revision
                for version in self.versions.get(name, ())
                if version.acknowledged is not None and version.acknowledged <= moment
            ),
            default=-1,
        )

    def handled(self, sent: Sent) -> tuple[str, str] | None:
        """What a request shows of the setup: run by a service, or refused as unknown."""
        if self.ran[sent.attempt]:
            return ("run", self.ran[sent.attempt][0].service)
        got = self.got.get(sent.attempt)
        if got is not None and got.status == 404 and not got.seal:
            return ("unknown", "")
        return None

    def fits(self, version: Version, shown: tuple[str, str]) -> bool:
        kind, service = shown
        return version.allows(service) if kind == "run" else version.route is None

    def repeatable(self, sent: Sent) -> bool:
        return self.kinds.get(sent.route) == REPEATABLE


def mixed(account: Account) -> list[str]:
    found = []
    first_of_key: dict[str, str] = {}
    for ran in account.history.of(Ran):
        if ran.key:
            first_of_key.setdefault(ran.key, ran.run)
    for got in account.history.of(Got):
        if got.outcome != "answered" or not 200 <= got.status < 300:
            continue
        sent, replied = account.sent[got.attempt], account.replied.get(got.seal)
        ran = account.runs.get(got.seal)
        if ran is None or replied is None or replied.body != got.body or replied.status != got.status:
            found.append(f"{got.attempt} got a success that no server gave whole")
        elif ran.attempt != got.attempt and (not sent.key or ran.key != sent.key):
            found.append(f"{got.attempt} got the answer of {ran.attempt}")
        elif sent.key and first_of_key.get(sent.key) != got.seal:
            found.append(f"{got.attempt} got {got.seal}, not its key's first run")
    return found


def unasked(account: Account) -> list[str]:
    found = []
    for ran in account.history.of(Ran):
        sent = account.sent.get(ran.attempt)
        if sent is None or (ran.method, ran.path, ran.body, ran.key) != (sent.method, sent.path, sent.body, sent.key):
            found.append(f"{ran.run} runs what nobody sent as {ran.attempt}")
        elif ran.caller != sent.service:
            found.append(f"{ran.run} says its caller is {ran.caller!r}, and it began beside {sent.service!r}")
    return found


def twice(account: Account) -> list[str]:
    found = []
    keys: dict[str, list[Ran]] = defaultdict(list)
    for attempt, runs in account.ran.items():
        sent = account.sent.get(attempt)
        if sent is not None and not account.repeatable(sent) and len(runs) > 1:
            found.append(f"{attempt} ran {len(runs)} times")
        for ran in runs:
            if ran.key:
                keys[ran.key].append(ran)
    first_sent: dict[str, float] = {}
    for sent in account.sent.values():
        if sent.key:
            first_sent[sent.key] = min(sent.at, first_sent.get(sent.key, sent.at))
    for key, runs in keys.items():
        runs.sort()
        if len(runs) > 1 and runs[1].at < first_sent[key] + BOUNDS["key_window_s"]:
            found.append(f"{key} ran as {runs[0].run} at {runs[0].at:.2f} and {runs[1].run} at {runs[1].at:.2f}")
    return found


def refused(account: Account) -> list[str]:
    return [
        f"{got.attempt} was told {got.status}, and {account.ran[got.attempt][0].run} ran it"
        for got in account.history.of(Got)
        if got.status in PROMISES and account.ran[got.attempt] and not account.repeatable(account.sent[got.attempt])
    ]


def denied(account: Account) -> list[str]:
    found = []
    for got in account.history.of(Got):
        sent = account.sent[got.attempt]
        own = got.outcome == "answered" and not got.seal and 300 <= got.status < 500
        if not own or got.status in PROMISED_OWN or (got.status == 409 and sent.key):
            continue
        floor = account.floor(sent.route, sent.at - BOUNDS["apply_s"])
        may = [
            version
            for version in account.versions.get(sent.route, ())
            if version.revision >= floor and version.sent <= got.at
        ]
        if floor >= 0 and all(each.route for each in may) and account.touch.in_touch(sent.machine, sent.at):
            found.append(f"{got.attempt} on {sent.route} was told {got.status} by {sent.machine} at {got.at:.2f}")
    return found if len(found) > 5 + len(account.sent) / 500 else []


def routed(account: Account) -> list[str]:
    found = []
    for attempt, runs in account.ran.items():
        sent = account.sent.get(attempt)
        for ran in runs:
            ever = [] if sent is None else account.versions.get(sent.route, [])
            if sent and not any(version.allows(ran.service) and version.sent <= ran.at for version in ever):
                found.append(f"{ran.run} of {sent.route} ran at {ran.service}, which no setup ever sent allows")
    return found


def drained(account: Account) -> list[str]:
    found = []
    leaving: dict[str, float] = {}
    for beaten in account.history.of(Beaten):
        if beaten.state != "ready" and account.touch.in_touch(beaten.machine, beaten.at):
            leaving.setdefault(beaten.instance, beaten.at)
    for arrived in account.history.of(Arrived):
        since = leaving.get(arrived.instance)
        sent = account.sent.get(arrived.attempt)
        if since is None or sent is None or arrived.astray or arrived.at <= since + BOUNDS["drain_s"]:
            continue
        if all(account.touch.in_touch(each, sent.at, until=arrived.at) for each in (sent.machine, arrived.machine)):
            found.append(f"{arrived.attempt} reached {arrived.instance} {arrived.at - since:.2f} s after it left")
    return found


def lost(account: Account) -> list[str]:
    """Around planned stops: requests read whole and then broken off, or answered in their working server's place."""
    found = []
    stops = [harm for harm in account.history.of(Harm) if harm.kind == "stop"]
    grace, contact = BOUNDS["grace_s"], BOUNDS["contact_s"]
    for got in account.history.of(Got):
        sent = account.sent[got.attempt]
        near = [harm for harm in stops if harm.machine == sent.machine and harm.at <= got.at <= harm.at + grace + 1]
        if not near or account.touch.unplanned(sent.at - contact, got.at):
            continue
        if got.at >= sent.deadline - EYE or got.at >= sent.at + _hold(account, sent) - EYE:
            continue
        work = [(ran, account.replied.get(ran.run)) for ran in account.ran[got.attempt]]
        if any(reply is not None and not reply.whole for _, reply in work):
            continue
        late = near[-1].at + grace / 2
        if any(reply is None or reply.at > late for _, reply in work):
            continue
        if got.outcome == "broken":
            found.append(f"{got.attempt} was broken off at {sent.machine} as it stopped")
        own = got.outcome == "answered" and not got.seal and got.status >= 500 and got.status != 503
        if own and any(reply is None or reply.at > got.at for _, reply in work):
            found.append(f"{got.attempt} was told {got.status} by {sent.machine}, stopping, while its server worked")
    return found


def _hold(account: Account, sent: Sent) -> float:
    holds = [version.route.hold for version in account.versions.get(sent.route, ()) if version.route]
    return min(holds, default=1e9)


def configured(account: Account) -> list[str]:
    found = []
    for sent in account.sent.values():
        shown = account.handled(sent)
        if shown is None:
            continue
        got = account.got.get(sent.attempt)
        runs = account.ran[sent.attempt]
        end = runs[0].at if runs else got.at
        floor = account.floor(sent.route, sent.at - BOUNDS["apply_s"])
        if floor < 0 or not account.touch.in_touch(sent.machine, sent.at):
            continue
        may = [each for each in account.versions[sent.route] if each.revision >= floor and each.sent <= end]
        if not any(account.fits(version, shown) for version in may):
            found.append(
                f"{sent.attempt} on {sent.route} by {sent.machine} at {sent.at:.2f}: {shown}, though revision {floor} "
                "was acknowledged before"
            )
    return found


def gone_back(account: Account) -> list[str]:
    """Within one life of a machine's processes, what was seen in force there stays at least as new."""
    found = []
    seen: dict[tuple[str, int, str], list[tuple[float, int]]] = defaultdict(list)
    shows: list[tuple[Sent, float, tuple[str, str]]] = []
    for sent in account.sent.values():
        shown = account.handled(sent)
        if shown is not None:
            runs, got = account.ran[sent.attempt], account.got.get(sent.attempt)
            shows.append((sent, runs[0].at if runs else got.at, shown))
    for sent, at, shown in shows:
        fit = [each for each in account.versions.get(sent.route, ()) if each.sent <= at and account.fits(each, shown)]
        if shown[0] == "run" and fit:
            seen[sent.machine, sent.life, sent.route].append((at, fit[0].revision))
    for sent, at, shown in shows:
        before = [
            revision
            for when, revision in seen[sent.machine, sent.life, sent.route]
            if when + BOUNDS["revert_slack_s"] < sent.at
        ]
        fit = [each for each in account.versions.get(sent.route, ()) if each.sent <= at and account.fits(each, shown)]
        newest = max((version.revision for version in fit), default=-1)
        if before and newest < max(before):
            found.append(f"{sent.attempt} on {sent.route}: {sent.machine} went back from {max(before)} to {newest}")
    return found


def orders(account: Account) -> list[str]:
    """Nothing invalid is acknowledged; what is proper is, within its time, while all is calm."""
    found = []
    proper = {ordered.order: ordered for ordered in account.history.of(Ordered)}
    first: dict[str, float] = {}
    for told in account.history.of(Told):
        ordered = proper[told.order]
        if told.status == 200:
            first.setdefault(told.order, told.at)
            if not ordered.proper:
                found.append(f"{told.order} is invalid, and {told.machine} acknowledged it")
        elif ordered.proper and 400 <= told.status < 500 and told.status not in (408, 429):
            found.append(f"{told.order} is valid, and {told.machine} refused it with {told.status}")
    for ordered in proper.values():
        end = ordered.at + BOUNDS["ack_s"]
        # A machine's other troubles, also a leader's disk, are no excuse.
        calm = account.touch.settled_over(ordered.at, end) and not account.touch.cut(ordered.at, end)
        over = account.history.events[-1].at >= end
        if ordered.proper and calm and over and first.get(ordered.order, 1e9) > end:
            found.append(f"{ordered.order} sent at {ordered.at:.2f} had no acknowledgement after {BOUNDS['ack_s']} s")
    return found


def read_back(account: Account) -> list[str]:
    found = []
    said: dict[tuple[str, int], list[dict]] = defaultdict(list)
    for ordered in account.history.of(Ordered):
        if ordered.proper:
            for name, revision, route in ordered.routes:
                if route is not None:
                    said[name, revision].append(ordered.said[name])
    reads = account.history.of(ReadBack)
    if reads and all(read.routes is None for read in reads):
        found.append("no core machine answered when read back")
    for read in reads:
        if read.routes is None:
            continue
        for name, versions in account.versions.items():
            floor = account.floor(name, read.at)
            told = read.routes.get(name)
            # An order without a clear answer may be in force or not.
            may = [version for version in versions if version.revision >= floor]
            if told is None:
                if floor >= 0 and not any(version.route is None for version in may):
                    found.append(f"{read.machine}: {name} is missing, {floor} was acknowledged")
                continue
            revision = int(str(told.get("generation", "r-1"))[1:])
            if revision < floor:
                found.append(f"{read.machine}: {name} is at {revision}, {floor} was acknowledged")
            elif told not in said[name, revision]:
                found.append(f"{read.machine}: {name} at {revision} is not what was sent")
        found += [f"{read.machine}: {name} was never sent" for name in read.routes if name not in account.versions]
    return found


def budget(account: Account) -> list[str]:
    """Arrivals beyond the first of each request, in any window, against the requests for the service."""
    window, half = BOUNDS["budget_window_s"], BOUNDS["budget_window_s"] / 2
    further: dict[str, list[float]] = defaultdict(list)
    met: Counter[str] = Counter()
    repeats: set[str] = set()
    for event in account.history.events:
        match event:
            case Arrived(attempt=attempt, service=service, at=at):
                met[attempt] += 1
                sent = account.sent.get(attempt)
                parent = account.runs.get(sent.parent) if sent is not None else None
                if met[attempt] > 1 or (parent is not None and parent.run in repeats):
                    further[service].append(at)
            case Ran(attempt=attempt, run=run) if met[attempt] > 1:
                repeats.add(run)
    asked: dict[str, list[float]] = defaultdict(list)
    for sent in account.sent.values():
        names = {
            name
            for version in account.versions.get(sent.route, ())
            if version.route
            for name, weight in version.route.parts
        }
        for name in names:
            asked[name].append(sent.at)
    found = []
    for service, moments in further.items():
        for end in moments:
            used = sum(end - window < each <= end for each in moments)
            most = max(
                sum(end - window - back < each <= end - back for each in asked[service]) for back in (0.0, half, window)
            )
            allowed = BOUNDS["budget_ratio"] * most + BOUNDS["budget_margin"]
            if used > allowed:
                found.append(
                    f"{service}: {used} further arrivals in {window:.0f} s to {end:.2f}, {allowed:.1f} allowed"
                )
    return found


def recovered(account: Account) -> list[str]:
    found = []
    for closed in account.history.of(Closed):
        after = closed.back + BOUNDS["recovery_s"]
        own = [sent for sent in account.sent.values() if not sent.parent]
        before = [_served(account, sent) for sent in own if sent.at < closed.at]
        late = [_served(account, sent) for sent in own if sent.at > after]
        if before and late and sum(before) * 4 >= len(before) and sum(late) * 4 < len(late):
            found.append(f"{sum(late)} of {len(late)} were served after the closing fault")
    return found


def _served(account: Account, sent: Sent) -> bool:
    got = account.got.get(sent.attempt)
    return got is not None and got.outcome == "answered" and 200 <= got.status < 300


def stands(account: Account) -> list[str]:
    return [fault.what for fault in account.history.of(Fault)]


def serves(account: Account) -> list[str]:
    """A day that serves nearly nothing would break no other rule."""
    own = [sent for sent in account.sent.values() if not sent.parent and sent.route.startswith("r-")]
    served = sum(_served(account, sent) for sent in own)
    return [f"{served} of {len(own)} requests were served"] if served * 3 < len(own) else []


RULES: dict[str, Callable[[Account], list[str]]] = {
    "MIXED": mixed,
    "UNASKED": unasked,
    "TWICE": twice,
    "REFUSED": refused,
    "DENIED": denied,
    "ROUTE": routed,
    "DRAIN": drained,
    "LOST": lost,
    "CONFIG": configured,
    "CONFIG back": gone_back,
    "CONFIG orders": orders,
    "CONFIG read-back": read_back,
    "BUDGET": budget,
    "RECOVER": recovered,
    "FAULT": stands,
    "GATE": serves,
}


def check(history: History, day: Day) -> dict[str, list[str]]:
    """Every rule with what broke it."""
    account = Account(history=history, day=day)
    return {rule: checker(account) for rule, checker in RULES.items()}
