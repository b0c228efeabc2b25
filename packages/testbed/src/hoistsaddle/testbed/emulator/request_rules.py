"""The rules on requests: whose answer it is, how often it ran, where, and what a stop or a fault may cost."""

from collections import Counter, defaultdict

from hoistsaddle.testbed.emulator.account import Account
from hoistsaddle.testbed.emulator.history import Arrived, Beaten, Closed, Fault, Got, Harm, Ran, Sent
from hoistsaddle.testbed.emulator.site import BOUNDS

PROMISES = (408, 421, 429, 503)
PROMISED_OWN = (408, 421, 429)
# A reading of the history by simulated time needs no slack but for what is written down a moment later.
EYE = 0.02


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
