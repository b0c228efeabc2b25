"""One checker for each rule of "What must never happen" in docs/brief.md.

Each checker reads a history and returns a description of every violation of its rule.
"""

from collections import defaultdict
from collections.abc import Callable

from returns.result import Success

from hoistsaddle.config.bundle import Bundle
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.testbed.deployments import Deployment
from hoistsaddle.testbed.history import (
    AnswerRequired,
    AttemptSeen,
    BundleAccepted,
    BundleApplied,
    BundleSubmitted,
    BundleWritten,
    ClaimWritten,
    ConfigurationExpected,
    ConfigurationRead,
    CopyCorrupted,
    CopyDiverged,
    ExpectationChecked,
    History,
    PlannedInterruption,
    ProcessPaused,
    ReplicaState,
    RequestResult,
    RequestSent,
    RunEnded,
    RunStarted,
    ServerStateChanged,
    ServiceRecovered,
)

# Times in seconds from the brief, unless a comment gives another source.
# For this long after the first answer, a repeat under the same key must get the same answer.
KEY_RETENTION_SECONDS = 60.0
IN_FORCE_SECONDS = 2.0
REPAIR_SECONDS = 2.0
# The sum of the longest wait for a leader, one attempt to claim a key, and one timer step.
GIVE_UP_SECONDS = 3.5
# Kinds of errors with which the mesh gives up on a request.
GIVEN_UP = ("lease-lapsed", "no-leader", "no-server", "bundle-unknown")
LEAVING_SECONDS = 2.0
# A proxy may be observed under the previous bundle just before it applies the next one.
OBSERVATION_SECONDS = 0.25
RECOVERY_SECONDS = 15.0
RETRY_WINDOW_SECONDS = 10.0


def runs_twice(history: History) -> list[str]:
    """A payment, credit posting, save or upload runs twice, or a repeat gets another answer than the first."""
    violations = []
    runs = defaultdict(list)
    for started in history.of(RunStarted):
        # Grouped by the request's own id: a renamed route, a renewed token or another address doesn't change it.
        if started.key:
            runs[(started.request, started.path, started.key)].append(started)
    for (request, path, key), same_key in runs.items():
        if len(same_key) > 1:
            violations.append(
                f"{path} {request} with key {key} ran {len(same_key)} times: {[started.send for started in same_key]}"
            )
    first_results: dict[str, RequestResult] = {}
    for result in history.of(RequestResult):
        if result.outcome == "answered" and result.request.startswith("key-") and result.run:
            first = first_results.setdefault(result.request, result)
            if (result.run, result.status, result.body_digest) != (first.run, first.status, first.body_digest) and (
                result.timestamp - first.timestamp <= KEY_RETENTION_SECONDS
            ):
                violations.append(f"{result.request} was answered by {first.run}, then by {result.run}")
    return violations


# Outcomes that prove that the request didn't run.
CERTAIN = ("not-run", "refused", "unreachable")


def not_run_runs(history: History) -> list[str]:
    """A request that was answered as "not run" runs afterwards."""
    results_by_request: dict[str, list[RequestResult]] = defaultdict(list)
    for result in history.of(RequestResult):
        # Nested calls of a server carry the id of the request that it answers, so the id doesn't tell them apart.
        if not result.caller:
            results_by_request[result.request].append(result)
    runs: dict[str, list[RunStarted]] = defaultdict(list)
    for started in history.of(RunStarted):
        if started.caller in ("visitors", ""):
            runs[started.request].append(started)
    violations = []
    for request, results in results_by_request.items():
        results.sort(key=lambda result: result.timestamp)
        for index, result in enumerate(results):
            # An earlier attempt with an uncertain outcome may still run, whatever the answer to this one.
            if result.outcome != "not-run" or any(before.outcome not in CERTAIN for before in results[:index]):
                continue
            later_attempts = [
                other.asked for other in results if other is not result and other.timestamp > result.timestamp
            ]
            until = min(later_attempts, default=float("inf"))
            violations += [
                f"{request} was refused as not run at {result.timestamp:.3f} but {started.run} ran it"
                for started in runs[request]
                if result.asked <= started.timestamp < max(until, result.timestamp)
            ]
    return violations


def foreign_answers(history: History) -> list[str]:
    """A caller gets an answer that belongs to another request, is truncated or was altered, and looks complete."""
    ended = {event.run: event for event in history.of(RunEnded)}
    started = {event.run: event for event in history.of(RunStarted)}
    violations = []
    for result in history.of(RequestResult):
        if result.outcome != "answered" or (result.repeat and not result.body_digest):
            # If the first answer was too large to keep, a repeat only learns that the run has ended.
            continue
        run_ended = ended.get(result.run)
        if run_ended is None or started[result.run].request != result.request or result.nonce != result.request:
            violations.append(f"{result.request} got the answer of {result.nonce or 'no request'}")
        elif (run_ended.status, run_ended.body_digest) != (result.status, result.body_digest):
            violations.append(f"{result.request} got another body or status than {result.run} sent")
        elif result.caller and started[result.run].caller != result.caller:
            violations.append(f"{result.caller} got the answer that {started[result.run].caller} asked for")
    return violations


class _ActiveBundles:
    """The bundles that may apply at a proxy at a given time, derived from the operators' calls and their answers."""

    def __init__(self, history: History, deployment: Deployment) -> None:
        first = read_bundle(deployment.first_bundle()).unwrap()
        self.bundles = {first.number: first}
        self.written: dict[int, float] = {first.number: 0.0}
        for event in history.of(BundleWritten):
            match read_bundle(event.text):
                case Success(bundle):
                    self.bundles[event.number] = bundle
                    self.written[event.number] = min(event.timestamp, self.written.get(event.number, event.timestamp))
        self.accepted = history.of(BundleAccepted)

    def newest_due(self, *, proxy: str, timestamp: float, grace: float) -> int:
        """The newest bundle that must be in force at the proxy by this time."""
        numbers = [
            event.bundle
            for event in self.accepted
            if event.timestamp + grace <= timestamp and (event.everywhere or proxy in event.proxies)
        ]
        return max(numbers, default=min(self.bundles))

    def at(self, *, proxy: str, timestamp: float, grace: float = IN_FORCE_SECONDS) -> list[Bundle]:
        """The bundles that may apply at a proxy, oldest first; each is due `grace` seconds after its acceptance."""
        oldest = self.newest_due(proxy=proxy, timestamp=timestamp, grace=grace)
        return [
            self.bundles[number]
            for number in sorted(self.bundles)
            if number >= oldest and self.written[number] <= timestamp
        ]


def _allows(bundle: Bundle, started: RunStarted, *, service: str | None) -> bool:
    """Whether a bundle allows a run at this service, or at any service for None."""
    route = bundle.match_route(method=started.method, path=started.path)
    return (
        route is not None
        and service in (None, route.service)
        and started.caller in route.callers
        and started.size <= route.body_bytes
        and (bool(started.key) or not route.once)
    )


def forbidden_runs(history: History, deployment: Deployment) -> list[str]:
    """A request runs although no bundle that may apply at its ingress proxy, or at its target proxy, allows it."""
    active_bundles = _ActiveBundles(history, deployment)
    violations = []
    for started in history.of(RunStarted):
        target = active_bundles.at(proxy=started.proxy, timestamp=started.timestamp)
        ingress = active_bundles.at(proxy=started.send.partition(".")[0], timestamp=started.timestamp)
        if not any(_allows(bundle, started, service=started.service) for bundle in target) or not any(
            _allows(bundle, started, service=None) for bundle in ingress
        ):
            violations.append(
                f"{started.service} ran {started.method} {started.path} for {started.caller} at {started.timestamp:.3f}"
            )
    return violations


def refused_though_allowed(history: History, deployment: Deployment) -> list[str]:
    """A request is refused at a proxy although every bundle that may apply there allows it, also between stages.

    A bundle must apply two seconds after it was accepted for the proxy.
    """
    active_bundles = _ActiveBundles(history, deployment)
    sent = {(event.request, event.timestamp): event for event in history.of(RequestSent)}
    violations = []
    for result in history.of(RequestResult):
        event = sent.get((result.request, result.asked))
        if event is None or result.caller or result.kind not in ("no-entry", "not-allowed"):
            continue
        bundles = active_bundles.at(proxy=event.listener, timestamp=event.timestamp)
        bundles += [
            each for each in active_bundles.at(proxy=event.listener, timestamp=result.timestamp) if each not in bundles
        ]
        started = RunStarted(0, "", "", "", event.method, event.path, event.key, "", "visitors", "", "", "", event.size)
        # Every bundle that may apply allows the request, so none justifies the refusal.
        if all(_allows(bundle, started, service=None) for bundle in bundles):
            violations.append(
                f"{event.method} {event.path} was refused as {result.kind} at {event.listener} "
                f"at {result.timestamp:.3f}"
            )
    answers = {result.request: result for result in history.of(RequestResult) if not result.caller}
    for required in history.of(AnswerRequired):
        result = answers.get(required.request)
        if result is None or result.outcome != "answered":
            violations.append(
                f"{required.request} had to be served at {result.listener if result else '?'}, and got {result}"
            )
    return violations


def wrong_callers(history: History, deployment: Deployment) -> list[str]:
    """A server is told the wrong calling service, or runs a request that no client sent."""
    sent = {event.request: event for event in history.of(RequestSent)}
    violations = []
    for started in history.of(RunStarted):
        event = sent.get(started.request)
        if event is None:
            violations.append(f"{started.service} ran {started.path} that no client sent: {started.request!r}")
            continue
        direct = event.path == started.path and event.method == started.method
        callers = {"visitors"} if direct else set()
        for (service, path), nested_calls in deployment.nested_calls.items():
            if path == event.path and any(
                (each.method, each.path) == (started.method, started.path) for each in nested_calls
            ):
                callers.add(service)
        if started.caller not in callers:
            violations.append(
                f"{started.service} got {started.caller} as the caller of {started.path}, but {sorted(callers)} called"
            )
    return violations


def work_after_leaving(history: History) -> list[str]:
    """A server gets new work more than two seconds after it was drained, began to wind down, or vanished."""
    left: dict[str, float] = {}
    for change in history.of(ServerStateChanged):
        if change.state in ("winding down", "vanished", "gone", "drained"):
            left.setdefault(change.instance, change.timestamp)
        elif change.state == "ready":
            left.pop(change.instance, None)
    return [
        f"{started.instance} got {started.path} {started.timestamp - left[started.instance]:.2f} s after it was leaving"
        for started in history.of(RunStarted)
        if started.instance in left and started.timestamp > left[started.instance] + LEAVING_SECONDS
    ]


def not_in_force(history: History) -> list[str]:
    """A signed-off bundle is not in force about two seconds after acceptance, or a proxy goes back to an older one."""
    violations = []
    for accepted in history.of(BundleAccepted):
        for applied in history.of(BundleApplied):
            if (
                applied.proxy in accepted.proxies
                and applied.timestamp > accepted.timestamp + OBSERVATION_SECONDS
                and applied.bundle < accepted.bundle
            ):
                violations.append(
                    f"{applied.proxy} acts under bundle {applied.bundle} {applied.timestamp - accepted.timestamp:.2f} "
                    f"s after {accepted.bundle} was accepted"
                )
    newest: dict[tuple[str, str], BundleApplied] = {}
    for applied in sorted(history.of(BundleApplied), key=lambda event: event.timestamp):
        known = newest.get((applied.proxy, applied.incarnation))
        if known is not None and applied.bundle < known.bundle:
            violations.append(f"{applied.proxy} went back from bundle {known.bundle} to {applied.bundle}")
        newest[(applied.proxy, applied.incarnation)] = applied
    return violations


def broken_bundles(history: History) -> list[str]:
    """A broken bundle is accepted, or a proxy applies it."""
    accepted = [event for event in history.of(BundleSubmitted) if event.broken and not event.error]
    broken = {event.number for event in history.of(BundleSubmitted) if event.broken} - {
        event.number for event in history.of(BundleSubmitted) if not event.broken
    }
    violations = [f"broken bundle {event.number} was accepted" for event in accepted]
    return violations + [
        f"{applied.proxy} acts under broken bundle {applied.bundle}"
        for applied in history.of(BundleApplied)
        if applied.bundle in broken
    ]


def dropped_answers(history: History) -> list[str]:
    """An answer is cut off during a planned restart, release or roll-out."""
    planned = history.of(PlannedInterruption)
    return [
        f"{result.request} was cut at {result.timestamp:.3f} during {interruption.description}"
        for result in history.of(RequestResult)
        if result.outcome == "broken"
        for interruption in planned
        if interruption.timestamp <= result.timestamp <= interruption.until
    ]


def worst_retry_window(history: History, deployment: Deployment) -> tuple[float, str]:
    """The largest share of its allowed retries that any service used in ten seconds, and a description of that case."""
    worst = (0.0, "")
    active_bundles = _ActiveBundles(history, deployment)
    attempts = defaultdict(list)
    for event in sorted(history.of(AttemptSeen), key=lambda event: event.timestamp):
        attempts[event.service].append(event)
    for service, events in attempts.items():
        begin, firsts, retries = 0, 0, 0
        for event in events:
            firsts += not event.is_retry
            retries += event.is_retry
            while event.timestamp - events[begin].timestamp > RETRY_WINDOW_SECONDS:
                firsts -= not events[begin].is_retry
                retries -= events[begin].is_retry
                begin += 1
            if not retries:
                continue
            # The largest allowance among the bundles in force in these ten seconds; nothing is added to it.
            declared = [
                declaration
                for bundle in active_bundles.at(proxy="", timestamp=event.timestamp)
                + active_bundles.at(proxy="", timestamp=events[begin].timestamp)
                if (declaration := bundle.service(service)) is not None
            ]
            share = max((each.further_percent for each in declared), default=0) / 100
            allowed = firsts * share + max((each.further_margin for each in declared), default=0)
            used = retries / allowed if allowed else float("inf")
            if used > worst[0]:
                worst = (used, f"{service} got {retries} retries beside {firsts} first attempts in ten seconds")
    return worst


def too_many_retries(history: History, deployment: Deployment) -> list[str]:
    """Retries to a service exceed a fifth of its traffic plus a small margin in any ten seconds."""
    used, which = worst_retry_window(history, deployment)
    return [which] if used > 1 else []


def stale_read_back(history: History) -> list[str]:
    """A configuration that was read back lacks something, is out of date, or shows something that was removed."""
    violations = []
    expected: ConfigurationExpected | None = None
    for event in history.events:
        match event:
            case ConfigurationExpected():
                expected = event
            case ConfigurationRead() if expected is not None:
                pairs = [
                    ("bundle in force", event.in_force, expected.in_force),
                    ("drain marks", event.drained, expected.drained),
                    ("servers", event.servers, expected.servers),
                    ("nodes", event.nodes, expected.nodes),
                    ("text", dict(event.texts).get(expected.in_force), expected.text),
                ]
                violations += [
                    f"{event.reader} read back {what} {read!r}, but it is {true!r}"
                    for what, read, true in pairs
                    if true is not None and read != true
                ]
                if expected.in_force and expected.in_force not in dict(event.texts):
                    violations.append(f"the text of bundle {expected.in_force} is missing")
                shown = sorted(set(event.names) & set(expected.removed))
                if shown:
                    violations.append(f"{event.reader} still shows {shown}, which were removed")
    return violations


def damage_spreads(history: History) -> list[str]:
    """A corrupted copy of the configuration isn't repaired in time, or a copy that was not corrupted diverges."""
    corrupted_at: dict[str, float] = {}
    violations = []
    for event in history.events:
        match event:
            case CopyCorrupted():
                corrupted_at[event.node] = event.timestamp
            case CopyDiverged():
                since = corrupted_at.get(event.node)
                if since is None:
                    violations.append(f"{event.node} differs from the log without an injected corruption")
                elif event.timestamp > since + REPAIR_SECONDS:
                    violations.append(f"{event.node} is still corrupted {event.timestamp - since:.2f} s after")
    return violations


def failed_expectations(history: History) -> list[str]:
    """A documented or answered promise was tested and not kept."""
    return [
        f"{event.description} at {event.timestamp:.3f}" for event in history.of(ExpectationChecked) if not event.met
    ]


def long_waits(history: History) -> list[str]:
    """The mesh gave up on a request, and the answer came late or without a Retry-After time."""
    violations = []
    pauses = history.of(ProcessPaused)
    for result in history.of(RequestResult):
        if any(
            each.node == result.listener and each.timestamp <= result.timestamp and result.asked <= each.until
            for each in pauses
        ):
            continue
        if result.outcome == "not-run" and result.kind in GIVEN_UP:
            if result.timestamp - result.asked > GIVE_UP_SECONDS:
                violations.append(
                    f"{result.request} got {result.kind} only after {result.timestamp - result.asked:.2f} s"
                )
            if not result.retry_after and not result.caller:
                violations.append(f"{result.request} got {result.kind} without a time to retry")
    return violations


def late_recoveries(history: History) -> list[str]:
    """Service returned more than fifteen seconds after the machines came back."""
    return [
        f"{recovery.description}: service came {recovery.service_at - recovery.timestamp:.1f} s after the machines"
        for recovery in history.of(ServiceRecovered)
        if recovery.service_at - recovery.timestamp > RECOVERY_SECONDS
    ]


def lost_agreements(history: History) -> list[str]:
    """A committed claim is missing on a replica, or the replicas differ."""
    replicas = history.of(ReplicaState)
    violations = []
    if len({replica.digest for replica in replicas}) > 1:
        violations.append(
            f"replicas differ: {[(replica.name, replica.digest[:8], len(replica.claims)) for replica in replicas]}"
        )
    committed = [event.claim for event in history.of(ClaimWritten) if event.phase == "granted"]
    for replica in replicas:
        present = set(replica.claims)
        lost = [claim for claim in committed if claim not in present]
        if lost:
            violations.append(f"{replica.name} lost {len(lost)} committed claims, {lost[0]} first")
    return violations


CHECKERS: dict[str, Callable[..., list[str]]] = {
    "nothing with a key runs twice": runs_twice,
    "not run means not run": not_run_runs,
    "every answer is its caller's own and whole": foreign_answers,
    "only what a bundle allows is reached": forbidden_runs,
    "what a bundle allows is served": refused_though_allowed,
    "callers are told truly": wrong_callers,
    "leaving servers get no new work": work_after_leaving,
    "accepted is in force and stays": not_in_force,
    "broken bundles have no effect": broken_bundles,
    "planned stops drop nothing": dropped_answers,
    "retries keep their bound": too_many_retries,
    "read-back is true": stale_read_back,
    "service returns in time": late_recoveries,
    "what was agreed stays agreed": lost_agreements,
    "damage mends and never spreads": damage_spreads,
    "given up means answered at once": long_waits,
    "what is promised comes true": failed_expectations,
}
NEEDS_DEPLOYMENT = (forbidden_runs, refused_though_allowed, wrong_callers, too_many_retries)
# These rules compare times: exact in simulated time, but on a real machine they also measure its load.
TIMED = (work_after_leaving, not_in_force, too_many_retries, late_recoveries, long_waits, refused_though_allowed)


def check(
    history: History, deployment: Deployment | None = None, *, timed: bool = True, outsiders: bool = False
) -> dict[str, list[str]]:
    """Checks every rule; returns the violations of each.

    Args:
        history: the recorded events.
        deployment: the deployment that they happened in; without it, rules that need one are left out.
        timed: whether to check the rules that compare times.
        outsiders: whether requests were also sent by hand; they look like requests that no client sent.
    """
    violations = {}
    for rule, checker in CHECKERS.items():
        if (checker in TIMED and not timed) or (checker is wrong_callers and outsiders):
            continue
        if checker in NEEDS_DEPLOYMENT:
            if deployment is not None and deployment.services:
                violations[rule] = checker(history, deployment)
        else:
            violations[rule] = checker(history)
    return violations


def check_all(history: History, deployment: Deployment | None = None, *, outsiders: bool = False) -> list[str]:
    """One printable line for each rule: held, or broken with the first violation."""
    lines = []
    for rule, broken in check(history, deployment, outsiders=outsiders).items():
        lines.append(
            f"held: {rule}"
            if not broken
            else f"BROKEN: {rule}: {broken[0]}" + (f" (and {len(broken) - 1} more)" if len(broken) > 1 else "")
        )
    return lines
