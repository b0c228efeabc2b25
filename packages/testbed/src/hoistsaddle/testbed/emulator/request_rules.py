"""The rules on requests: correct answers, how often and where a request runs, and the effects of planned stops.

Each rule returns one line per violation.
"""

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
from hoistsaddle.testbed.emulator.history_index import NO_REVISION, HistoryIndex
from hoistsaddle.testbed.emulator.site import BOUNDS
from hoistsaddle.testbed.emulator.statuses import CONFLICT, NOT_RUN, is_success

# Statuses with which a proxy may reject a request even though its route is configured.
ALLOWED_REJECTIONS = (408, 421, 429)
# An event is recorded up to this many seconds after it happened in simulated time.
SLACK_SECONDS = 0.02
# Stands for a route without a timeout, in seconds.
NO_TIMEOUT = 1e9
# Tolerated wrong rejections per day: this many, plus one for each REQUESTS_PER_REJECTION requests.
TOLERATED_REJECTIONS = 5
REQUESTS_PER_REJECTION = 500


def answers_belong_to_requests(index: HistoryIndex) -> list[str]:
    """A successful answer comes completely from a run of the same request, or from the first run of its key."""
    found = []
    first_run_of_key: dict[str, str] = {}
    for started in index.history.of(RunStarted):
        if started.key:
            first_run_of_key.setdefault(started.key, started.run)
    for result in index.history.of(RequestResult):
        if result.outcome != "answered" or not is_success(result.status):
            continue
        request, ended = index.requests[result.attempt], index.ended_runs.get(result.seal)
        started_run = index.runs.get(result.seal)
        if started_run is None or ended is None or (ended.body, ended.status) != (result.body, result.status):
            found.append(f"{result.attempt} got a success that no server sent completely")
        elif started_run.attempt != result.attempt and (not request.key or started_run.key != request.key):
            found.append(f"{result.attempt} got the answer of {started_run.attempt}")
        elif request.key and first_run_of_key.get(request.key) != result.seal:
            found.append(f"{result.attempt} got {result.seal}, not its key's first run")
    return found


def conflicts_name_keys_in_use(index: HistoryIndex) -> list[str]:
    """A request with a key is answered 409 only while another request or run holds that key."""
    found = []
    for result in index.history.of(RequestResult):
        request = index.requests[result.attempt]
        rejected = result.outcome == "answered" and result.status == CONFLICT and not result.seal
        if rejected and request.key and not index.is_key_in_use(request, result.at):
            found.append(
                f"{result.attempt} was answered 409 at {result.at:.2f}, and nothing else was in flight for its key"
            )
    return found


def runs_match_requests(index: HistoryIndex) -> list[str]:
    """A server runs only requests that were sent, unaltered and with the correct caller."""
    found = []
    for started in index.history.of(RunStarted):
        request = index.requests.get(started.attempt)
        content = (started.method, started.path, started.body, started.key)
        if request is None or content != (request.method, request.path, request.body, request.key):
            found.append(f"{started.run} runs a request that differs from what was sent as {started.attempt}")
        elif started.caller != request.service:
            found.append(f"{started.run} has caller {started.caller!r}, expected {request.service!r}")
    return found


def runs_at_most_once(index: HistoryIndex) -> list[str]:
    """A request that isn't repeatable runs at most once, and a key at most once within its window."""
    found = []
    runs_of_key: dict[str, list[RunStarted]] = defaultdict(list)
    for attempt, runs in index.runs_by_attempt.items():
        request = index.requests.get(attempt)
        if request is not None and not index.is_repeatable(request) and len(runs) > 1:
            found.append(f"{attempt} ran {len(runs)} times")
        for started in runs:
            if started.key:
                runs_of_key[started.key].append(started)
    first_sent: dict[str, float] = {}
    for request in index.requests.values():
        if request.key:
            first_sent[request.key] = min(request.at, first_sent.get(request.key, request.at))
    for key, runs in runs_of_key.items():
        runs.sort()
        if len(runs) > 1 and runs[1].at < first_sent[key] + BOUNDS["key_window_s"]:
            found.append(f"{key} ran as {runs[0].run} at {runs[0].at:.2f} and {runs[1].run} at {runs[1].at:.2f}")
    return found


def not_run_means_not_run(index: HistoryIndex) -> list[str]:
    """A request that is answered with a status meaning "not run" did not run."""
    return [
        f"{result.attempt} was answered {result.status}, and {index.runs_by_attempt[result.attempt][0].run} ran it"
        for result in index.history.of(RequestResult)
        if result.status in NOT_RUN
        and index.runs_by_attempt[result.attempt]
        and not index.is_repeatable(index.requests[result.attempt])
    ]


def configured_routes_are_accepted(index: HistoryIndex) -> list[str]:
    """A connected proxy doesn't reject requests on a route that is in force, except for a tolerated few."""
    found = []
    for result in index.history.of(RequestResult):
        request = index.requests[result.attempt]
        by_proxy = result.outcome == "answered" and not result.seal and 300 <= result.status < 500
        if not by_proxy or result.status in ALLOWED_REJECTIONS:
            continue
        if result.status == CONFLICT and request.key and index.is_key_in_use(request, result.at):
            continue
        acknowledged = index.acknowledged_revision(request.route, request.at - BOUNDS["apply_s"])
        possible = [
            version
            for version in index.versions.get(request.route, ())
            if version.revision >= acknowledged and version.submitted_at <= result.at
        ]
        configured = acknowledged > NO_REVISION and all(version.route for version in possible)
        if configured and index.timeline.is_connected(request.machine, request.at):
            found.append(
                f"{result.attempt} on {request.route} was answered {result.status} by {request.machine} "
                f"at {result.at:.2f}"
            )
    return found if len(found) > TOLERATED_REJECTIONS + len(index.requests) / REQUESTS_PER_REJECTION else []


def runs_at_allowed_services(index: HistoryIndex) -> list[str]:
    """A request runs only at a service that some submitted version of its route allows."""
    found = []
    for attempt, runs in index.runs_by_attempt.items():
        request = index.requests.get(attempt)
        if request is None:
            continue
        versions = index.versions.get(request.route, [])
        for started in runs:
            if not any(version.allows(started.service) and version.submitted_at <= started.at for version in versions):
                found.append(
                    f"{started.run} of {request.route} ran at {started.service}, which no submitted version allows"
                )
    return found


def draining_servers_get_nothing(index: HistoryIndex) -> list[str]:
    """A server gets no more requests `drain_s` after any machine acknowledged that it is leaving."""
    found = []
    leaving_since: dict[str, float] = {}
    for heartbeat in index.history.of(HeartbeatAcknowledged):
        if heartbeat.state != "ready":
            leaving_since.setdefault(heartbeat.instance, heartbeat.at)
    for arrived in index.history.of(RequestArrived):
        since = leaving_since.get(arrived.instance)
        request = index.requests.get(arrived.attempt)
        if since is None or request is None or arrived.misdirected or arrived.at <= since + BOUNDS["drain_s"]:
            continue
        machines = (request.machine, arrived.machine)
        if all(index.timeline.is_connected(machine, request.at, until=arrived.at) for machine in machines):
            found.append(f"{arrived.attempt} reached {arrived.instance} {arrived.at - since:.2f} s after it left")
    return found


def planned_stops_lose_nothing(index: HistoryIndex) -> list[str]:
    """A stopping proxy neither breaks off requests in flight nor answers them while the server still runs them."""
    found = []
    stops = [fault for fault in index.history.of(FaultStarted) if fault.kind == "stop"]
    grace_seconds = BOUNDS["grace_s"]
    for result in index.history.of(RequestResult):
        request = index.requests[result.attempt]
        stops_around = [
            stop
            for stop in stops
            if stop.machine == request.machine and stop.at <= result.at <= stop.at + grace_seconds + 1
        ]
        if not stops_around:
            continue
        if index.timeline.has_unplanned_fault(request.at - BOUNDS["contact_s"], result.at):
            continue
        timeout_at = min(request.deadline, request.at + _timeout_of(index, request))
        if result.at >= timeout_at - SLACK_SECONDS:
            continue
        ends = [index.ended_runs.get(started.run) for started in index.runs_by_attempt[result.attempt]]
        if any(ended is not None and not ended.complete for ended in ends):
            continue
        late = stops_around[-1].at + grace_seconds / 2
        if any(ended is None or ended.at > late for ended in ends):
            continue
        if result.outcome == "broken":
            found.append(f"{result.attempt} was broken off by {request.machine} while it was stopping")
        by_proxy = result.outcome == "answered" and not result.seal and result.status >= 500 and result.status != 503
        if by_proxy and any(ended is None or ended.at > result.at for ended in ends):
            found.append(
                f"{result.attempt} was answered {result.status} by {request.machine}, stopping, while its server worked"
            )
    return found


def _timeout_of(index: HistoryIndex, request: RequestSent) -> float:
    """The shortest timeout of any version of the request's route, in seconds."""
    timeouts = [version.route.timeout for version in index.versions.get(request.route, ()) if version.route]
    return min(timeouts, default=NO_TIMEOUT)


def retries_stay_in_budget(index: HistoryIndex) -> list[str]:
    """In any window, a service gets no more repeated arrivals than the retry budget allows for its requests."""
    window = BOUNDS["budget_window_s"]
    requests = _request_times(index)
    found = []
    for service, retries in _retry_times(index).items():
        for end in retries:
            used = sum(end - window < at <= end for at in retries)
            most = max(
                sum(end - window - delay < at <= end - delay for at in requests[service])
                for delay in (0.0, window / 2, window)
            )
            allowed = BOUNDS["budget_ratio"] * most + BOUNDS["budget_margin"]
            if used > allowed:
                found.append(f"{service}: {used} retries in {window:.0f} s to {end:.2f}, {allowed:.1f} allowed")
    return found


def _retry_times(index: HistoryIndex) -> dict[str, list[float]]:
    """By service, the times of repeated arrivals of a request, and of nested calls made by repeated runs."""
    retries: dict[str, list[float]] = defaultdict(list)
    arrivals: Counter[str] = Counter()
    repeated_runs: set[str] = set()
    for event in index.history.events:
        match event:
            case RequestArrived(attempt=attempt, service=service, at=at):
                arrivals[attempt] += 1
                request = index.requests.get(attempt)
                parent = index.runs.get(request.parent) if request is not None else None
                if arrivals[attempt] > 1 or (parent is not None and parent.run in repeated_runs):
                    retries[service].append(at)
            case RunStarted(attempt=attempt, run=run) if arrivals[attempt] > 1:
                repeated_runs.add(run)
    return retries


def _request_times(index: HistoryIndex) -> dict[str, list[float]]:
    """By service, the times at which requests were sent on routes that lead there in any version."""
    times: dict[str, list[float]] = defaultdict(list)
    for request in index.requests.values():
        services = {
            service
            for version in index.versions.get(request.route, ())
            if version.route
            for service, _ in version.route.parts
        }
        for service in services:
            times[service].append(request.at)
    return times


def serves_again_after_final_fault(index: HistoryIndex) -> list[str]:
    """If a quarter of the requests was served before the final fault, so is a quarter `recovery_s` after it."""
    found = []
    client_requests = [request for request in index.requests.values() if not request.parent]
    for final_fault in index.history.of(FinalFaultEnded):
        recovered_at = final_fault.recovered_at + BOUNDS["recovery_s"]
        before = [index.was_served(request) for request in client_requests if request.at < final_fault.at]
        after = [index.was_served(request) for request in client_requests if request.at > recovered_at]
        if before and after and sum(before) * 4 >= len(before) and sum(after) * 4 < len(after):
            found.append(f"{sum(after)} of {len(after)} were served after the final fault")
    return found


def programs_keep_running(index: HistoryIndex) -> list[str]:
    """No program exits or raises without an injected fault."""
    return [failure.what for failure in index.history.of(ProgramFailed)]


def day_has_traffic(index: HistoryIndex) -> list[str]:
    """A third of the clients' requests is served: a day that serves almost nothing would pass all other rules."""
    client_requests = [
        request for request in index.requests.values() if not request.parent and request.route.startswith("r-")
    ]
    served = sum(index.was_served(request) for request in client_requests)
    if served * 3 < len(client_requests):
        return [f"{served} of {len(client_requests)} requests were served"]
    return []
