"""The rules on requests: whose answer it is, how often it ran, where, and what a stop or a fault may cost."""

from collections import Counter, defaultdict

from hoistsaddle.testbed.emulator.history import (
    FaultStarted,
    FinalFaultEnded,
    HeartbeatAcknowledged,
    ProgramFailed,
    RequestArrived,
    RequestResult,
    RequestSent,
    RunStarted,
)
from hoistsaddle.testbed.emulator.history_index import HistoryIndex
from hoistsaddle.testbed.emulator.site import BOUNDS

PROMISES = (408, 421, 429, 503)
PROMISED_OWN = (408, 421, 429)
# A reading of the history by simulated time needs no slack but for what is written down a moment later.
SLACK_SECONDS = 0.02


def mixed(index: HistoryIndex) -> list[str]:
    found = []
    first_of_key: dict[str, str] = {}
    for ran in index.history.of(RunStarted):
        if ran.key:
            first_of_key.setdefault(ran.key, ran.run)
    for result in index.history.of(RequestResult):
        if result.outcome != "answered" or not 200 <= result.status < 300:
            continue
        sent, replied = index.sent[result.attempt], index.replied.get(result.seal)
        ran = index.runs.get(result.seal)
        if ran is None or replied is None or replied.body != result.body or replied.status != result.status:
            found.append(f"{result.attempt} got a success that no server gave whole")
        elif ran.attempt != result.attempt and (not sent.key or ran.key != sent.key):
            found.append(f"{result.attempt} got the answer of {ran.attempt}")
        elif sent.key and first_of_key.get(sent.key) != result.seal:
            found.append(f"{result.attempt} got {result.seal}, not its key's first run")
    return found


def unasked(index: HistoryIndex) -> list[str]:
    found = []
    for ran in index.history.of(RunStarted):
        sent = index.sent.get(ran.attempt)
        if sent is None or (ran.method, ran.path, ran.body, ran.key) != (sent.method, sent.path, sent.body, sent.key):
            found.append(f"{ran.run} runs what nobody sent as {ran.attempt}")
        elif ran.caller != sent.service:
            found.append(f"{ran.run} says its caller is {ran.caller!r}, and it began beside {sent.service!r}")
    return found


def twice(index: HistoryIndex) -> list[str]:
    found = []
    keys: dict[str, list[RunStarted]] = defaultdict(list)
    for attempt, runs in index.ran.items():
        sent = index.sent.get(attempt)
        if sent is not None and not index.repeatable(sent) and len(runs) > 1:
            found.append(f"{attempt} ran {len(runs)} times")
        for ran in runs:
            if ran.key:
                keys[ran.key].append(ran)
    first_sent: dict[str, float] = {}
    for sent in index.sent.values():
        if sent.key:
            first_sent[sent.key] = min(sent.at, first_sent.get(sent.key, sent.at))
    for key, runs in keys.items():
        runs.sort()
        if len(runs) > 1 and runs[1].at < first_sent[key] + BOUNDS["key_window_s"]:
            found.append(f"{key} ran as {runs[0].run} at {runs[0].at:.2f} and {runs[1].run} at {runs[1].at:.2f}")
    return found


def refused(index: HistoryIndex) -> list[str]:
    return [
        f"{result.attempt} was told {result.status}, and {index.ran[result.attempt][0].run} ran it"
        for result in index.history.of(RequestResult)
        if result.status in PROMISES and index.ran[result.attempt] and not index.repeatable(index.sent[result.attempt])
    ]


def denied(index: HistoryIndex) -> list[str]:
    found = []
    for result in index.history.of(RequestResult):
        sent = index.sent[result.attempt]
        own = result.outcome == "answered" and not result.seal and 300 <= result.status < 500
        if not own or result.status in PROMISED_OWN or (result.status == 409 and sent.key):
            continue
        floor = index.floor(sent.route, sent.at - BOUNDS["apply_s"])
        may = [
            version
            for version in index.versions.get(sent.route, ())
            if version.revision >= floor and version.sent <= result.at
        ]
        if floor >= 0 and all(each.route for each in may) and index.timeline.connected(sent.machine, sent.at):
            found.append(
                f"{result.attempt} on {sent.route} was told {result.status} by {sent.machine} at {result.at:.2f}"
            )
    return found if len(found) > 5 + len(index.sent) / 500 else []


def routed(index: HistoryIndex) -> list[str]:
    found = []
    for attempt, runs in index.ran.items():
        sent = index.sent.get(attempt)
        for ran in runs:
            ever = [] if sent is None else index.versions.get(sent.route, [])
            if sent and not any(version.allows(ran.service) and version.sent <= ran.at for version in ever):
                found.append(f"{ran.run} of {sent.route} ran at {ran.service}, which no configuration ever sent allows")
    return found


def drained(index: HistoryIndex) -> list[str]:
    found = []
    leaving: dict[str, float] = {}
    for heartbeat in index.history.of(HeartbeatAcknowledged):
        if heartbeat.state != "ready" and index.timeline.connected(heartbeat.machine, heartbeat.at):
            leaving.setdefault(heartbeat.instance, heartbeat.at)
    for arrived in index.history.of(RequestArrived):
        since = leaving.get(arrived.instance)
        sent = index.sent.get(arrived.attempt)
        if since is None or sent is None or arrived.misdirected or arrived.at <= since + BOUNDS["drain_s"]:
            continue
        if all(index.timeline.connected(each, sent.at, until=arrived.at) for each in (sent.machine, arrived.machine)):
            found.append(f"{arrived.attempt} reached {arrived.instance} {arrived.at - since:.2f} s after it left")
    return found


def lost(index: HistoryIndex) -> list[str]:
    """Around planned stops: requests read whole and then broken off, or answered in their working server's place."""
    found = []
    stops = [fault for fault in index.history.of(FaultStarted) if fault.kind == "stop"]
    grace, contact = BOUNDS["grace_s"], BOUNDS["contact_s"]
    for result in index.history.of(RequestResult):
        sent = index.sent[result.attempt]
        near = [
            fault for fault in stops if fault.machine == sent.machine and fault.at <= result.at <= fault.at + grace + 1
        ]
        if not near or index.timeline.unplanned(sent.at - contact, result.at):
            continue
        if result.at >= sent.deadline - SLACK_SECONDS or result.at >= sent.at + _hold(index, sent) - SLACK_SECONDS:
            continue
        work = [(ran, index.replied.get(ran.run)) for ran in index.ran[result.attempt]]
        if any(reply is not None and not reply.complete for _, reply in work):
            continue
        late = near[-1].at + grace / 2
        if any(reply is None or reply.at > late for _, reply in work):
            continue
        if result.outcome == "broken":
            found.append(f"{result.attempt} was broken off at {sent.machine} as it stopped")
        own = result.outcome == "answered" and not result.seal and result.status >= 500 and result.status != 503
        if own and any(reply is None or reply.at > result.at for _, reply in work):
            found.append(
                f"{result.attempt} was told {result.status} by {sent.machine}, stopping, while its server worked"
            )
    return found


def _hold(index: HistoryIndex, sent: RequestSent) -> float:
    holds = [version.route.hold for version in index.versions.get(sent.route, ()) if version.route]
    return min(holds, default=1e9)


def budget(index: HistoryIndex) -> list[str]:
    """Arrivals beyond the first of each request, in any window, against the requests for the service."""
    window, half = BOUNDS["budget_window_s"], BOUNDS["budget_window_s"] / 2
    retries: dict[str, list[float]] = defaultdict(list)
    met: Counter[str] = Counter()
    repeats: set[str] = set()
    for event in index.history.events:
        match event:
            case RequestArrived(attempt=attempt, service=service, at=at):
                met[attempt] += 1
                sent = index.sent.get(attempt)
                parent = index.runs.get(sent.parent) if sent is not None else None
                if met[attempt] > 1 or (parent is not None and parent.run in repeats):
                    retries[service].append(at)
            case RunStarted(attempt=attempt, run=run) if met[attempt] > 1:
                repeats.add(run)
    asked: dict[str, list[float]] = defaultdict(list)
    for sent in index.sent.values():
        names = {
            name
            for version in index.versions.get(sent.route, ())
            if version.route
            for name, weight in version.route.parts
        }
        for name in names:
            asked[name].append(sent.at)
    found = []
    for service, timestamps in retries.items():
        for end in timestamps:
            used = sum(end - window < each <= end for each in timestamps)
            most = max(
                sum(end - window - back < each <= end - back for each in asked[service]) for back in (0.0, half, window)
            )
            allowed = BOUNDS["budget_ratio"] * most + BOUNDS["budget_margin"]
            if used > allowed:
                found.append(
                    f"{service}: {used} further arrivals in {window:.0f} s to {end:.2f}, {allowed:.1f} allowed"
                )
    return found


def recovered(index: HistoryIndex) -> list[str]:
    found = []
    for closed in index.history.of(FinalFaultEnded):
        after = closed.back + BOUNDS["recovery_s"]
        own = [sent for sent in index.sent.values() if not sent.parent]
        before = [_served(index, sent) for sent in own if sent.at < closed.at]
        late = [_served(index, sent) for sent in own if sent.at > after]
        if before and late and sum(before) * 4 >= len(before) and sum(late) * 4 < len(late):
            found.append(f"{sum(late)} of {len(late)} were served after the closing fault")
    return found


def _served(index: HistoryIndex, sent: RequestSent) -> bool:
    result = index.result.get(sent.attempt)
    return result is not None and result.outcome == "answered" and 200 <= result.status < 300


def stands(index: HistoryIndex) -> list[str]:
    return [fault.what for fault in index.history.of(ProgramFailed)]


def serves(index: HistoryIndex) -> list[str]:
    """A day that serves nearly nothing would break no other rule."""
    own = [sent for sent in index.sent.values() if not sent.parent and sent.route.startswith("r-")]
    served = sum(_served(index, sent) for sent in own)
    return [f"{served} of {len(own)} requests were served"] if served * 3 < len(own) else []
