"""One checker for each rule of "What must never happen" in docs/brief.md.

Each reads a history and gives a description of whatever broke its rule.
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

# Seconds, as the brief gives them, unless a comment says where they come from.
# So long a repeat under the same key must get the first answer.
KEY_RETENTION_SECONDS = 60.0
IN_FORCE_SECONDS = 2.0
REPAIR_SECONDS = 2.0
# How long a gap without a leader is waited out, one attempt to claim a key, and a step of a timer.
GIVE_UP_SECONDS = 3.5
# Kinds of errors with which the mesh gives a request up.
GIVEN_UP = ("lease-lapsed", "no-leader", "no-server", "bundle-unknown")
LEAVING_SECONDS = 2.0
# A proxy that was seen with the former bundle may have been seen just before it applied the next.
OBSERVATION_SECONDS = 0.25
RECOVERY_SECONDS = 15.0
RETRY_WINDOW_SECONDS = 10.0


def runs_twice(history: History) -> list[str]:
    """A payment, credit posting, save or upload runs twice; a repeat gets another answer than the first."""
    found = []
    runs = defaultdict(list)
    for started in history.of(RunStarted):
        # By the request's own name, which no renamed route, renewed token or other address changes.
        if started.key:
            runs[(started.request, started.path, started.key)].append(started)
    for (request, path, key), each in runs.items():
        if len(each) > 1:
            found.append(f"{path} {request} with key {key} ran {len(each)} times: {[started.send for started in each]}")
    first: dict[str, RequestResult] = {}
    for result in history.of(RequestResult):
        if result.outcome == "answered" and result.request.startswith("key-") and result.run:
            known = first.setdefault(result.request, result)
            if (result.run, result.status, result.body_digest) != (known.run, known.status, known.body_digest) and (
                result.timestamp - known.timestamp <= KEY_RETENTION_SECONDS
            ):
                found.append(f"{result.request} was answered by {known.run}, then by {result.run}")
    return found


# Outcomes after which the request certainly didn't run.
CERTAIN = ("not-run", "refused", "unreachable")


def not_run_runs(history: History) -> list[str]:
    """A refusal that says "not run" is followed by the request running anyway."""
    results_by_request: dict[str, list[RequestResult]] = defaultdict(list)
    for result in history.of(RequestResult):
        # Servers make their own calls under the name of the request they answer, so those can't be told apart by it.
        if not result.caller:
            results_by_request[result.request].append(result)
    runs: dict[str, list[RunStarted]] = defaultdict(list)
    for started in history.of(RunStarted):
        if started.caller in ("visitors", ""):
            runs[started.request].append(started)
    found = []
    for request, each in results_by_request.items():
        each.sort(key=lambda result: result.timestamp)
        for place, result in enumerate(each):
            # An earlier attempt that ended uncertainly may still run, whatever this one was answered.
            if result.outcome != "not-run" or any(before.outcome not in CERTAIN for before in each[:place]):
                continue
            later = [other.asked for other in each if other is not result and other.timestamp > result.timestamp]
            until = min(later, default=float("inf"))
            found += [
                f"{request} was refused as not run at {result.timestamp:.3f} but {started.run} ran it"
                for started in runs[request]
                if result.asked <= started.timestamp < max(until, result.timestamp)
            ]
    return found


def foreign_answers(history: History) -> list[str]:
    """A caller gets an answer that is someone else's, cut short or altered, and that looks complete."""
    ended = {event.run: event for event in history.of(RunEnded)}
    started = {event.run: event for event in history.of(RunStarted)}
    found = []
    for result in history.of(RequestResult):
        if result.outcome != "answered" or (result.repeat and not result.body_digest):
            # A repeat of an answer that was too large to keep is only told that the run is done.
            continue
        reply = ended.get(result.run)
        if reply is None or started[result.run].request != result.request or result.nonce != result.request:
            found.append(f"{result.request} got the answer of {result.nonce or 'nobody'}")
        elif (reply.status, reply.body_digest) != (result.status, result.body_digest):
            found.append(f"{result.request} got another body or status than {result.run} sent")
        elif result.caller and started[result.run].caller != result.caller:
            found.append(f"{result.caller} got the answer that {started[result.run].caller} asked for")
    return found


class _ActiveBundles:
    """Which bundles may apply to a request at a proxy at a time, from what operators did and were answered."""

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
        """The newest bundle that must be in force there by now."""
        numbers = [
            event.bundle
            for event in self.accepted
            if event.timestamp + grace <= timestamp and (event.everywhere or proxy in event.proxies)
        ]
        return max(numbers, default=min(self.bundles))

    def at(self, *, proxy: str, timestamp: float, grace: float = IN_FORCE_SECONDS) -> list[Bundle]:
        """The bundles that may apply at a proxy, oldest first; one counts as due that long after its acceptance."""
        oldest = self.newest_due(proxy=proxy, timestamp=timestamp, grace=grace)
        return [
            self.bundles[number]
            for number in sorted(self.bundles)
            if number >= oldest and self.written[number] <= timestamp
        ]


def _allows(bundle: Bundle, started: RunStarted, *, service: str | None) -> bool:
    """Whether a bundle allows a run, at this service or, with None, at any."""
    route = bundle.match_route(method=started.method, path=started.path)
    return (
        route is not None
        and service in (None, route.service)
        and started.caller in route.callers
        and started.size <= route.body_bytes
        and (bool(started.key) or not route.once)
    )


def forbidden_runs(history: History, deployment: Deployment) -> list[str]:
    """A request reaches a service that no bundle allows: neither where it entered nor where it ran."""
    active_bundles = _ActiveBundles(history, deployment)
    found = []
    for started in history.of(RunStarted):
        target = active_bundles.at(proxy=started.proxy, timestamp=started.timestamp)
        ingress = active_bundles.at(proxy=started.send.partition(".")[0], timestamp=started.timestamp)
        if not any(_allows(bundle, started, service=started.service) for bundle in target) or not any(
            _allows(bundle, started, service=None) for bundle in ingress
        ):
            found.append(
                f"{started.service} ran {started.method} {started.path} for {started.caller} at {started.timestamp:.3f}"
            )
    return found


def refused_though_allowed(history: History, deployment: Deployment) -> list[str]:
    """What a bundle newly allows is refused at a proxy two seconds after it was accepted for it, or between stages."""
    active_bundles = _ActiveBundles(history, deployment)
    sent = {(event.request, event.timestamp): event for event in history.of(RequestSent)}
    found = []
    for result in history.of(RequestResult):
        event = sent.get((result.request, result.asked))
        if event is None or result.caller or result.kind not in ("no-entry", "not-allowed"):
            continue
        bundles = active_bundles.at(proxy=event.listener, timestamp=event.timestamp)
        bundles += [
            each for each in active_bundles.at(proxy=event.listener, timestamp=result.timestamp) if each not in bundles
        ]
        started = RunStarted(0, "", "", "", event.method, event.path, event.key, "", "visitors", "", "", "", event.size)
        # Every bundle that may apply allows it, so none was a reason to refuse it.
        if all(_allows(bundle, started, service=None) for bundle in bundles):
            found.append(
                f"{event.method} {event.path} was refused as {result.kind} at {event.listener} "
                f"at {result.timestamp:.3f}"
            )
    answers = {result.request: result for result in history.of(RequestResult) if not result.caller}
    for wanted in history.of(AnswerRequired):
        result = answers.get(wanted.request)
        if result is None or result.outcome != "answered":
            found.append(f"{wanted.request} had to be served at {result.listener if result else '?'}, and got {result}")
    return found


def wrong_callers(history: History, deployment: Deployment) -> list[str]:
    """A server gets the wrong calling service, or runs a request that nobody sent."""
    sent = {event.request: event for event in history.of(RequestSent)}
    found = []
    for started in history.of(RunStarted):
        event = sent.get(started.request)
        if event is None:
            found.append(f"{started.service} ran {started.path} that nobody sent: {started.request!r}")
            continue
        direct = event.path == started.path and event.method == started.method
        callers = {"visitors"} if direct else set()
        for (service, path), nested_calls in deployment.nested_calls.items():
            if path == event.path and any(
                (each.method, each.path) == (started.method, started.path) for each in nested_calls
            ):
                callers.add(service)
        if started.caller not in callers:
            found.append(
                f"{started.service} got {started.caller} as the caller of {started.path}, but {sorted(callers)} called"
            )
    return found


def work_after_leaving(history: History) -> list[str]:
    """A winding-down or vanished server gets new work more than about two seconds after it was known to leave."""
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
    found = []
    for accepted in history.of(BundleAccepted):
        for applied in history.of(BundleApplied):
            if (
                applied.proxy in accepted.proxies
                and applied.timestamp > accepted.timestamp + OBSERVATION_SECONDS
                and applied.bundle < accepted.bundle
            ):
                found.append(
                    f"{applied.proxy} acts under bundle {applied.bundle} {applied.timestamp - accepted.timestamp:.2f} "
                    f"s after {accepted.bundle} was accepted"
                )
    newest: dict[tuple[str, str], BundleApplied] = {}
    for applied in sorted(history.of(BundleApplied), key=lambda event: event.timestamp):
        known = newest.get((applied.proxy, applied.incarnation))
        if known is not None and applied.bundle < known.bundle:
            found.append(f"{applied.proxy} went back from bundle {known.bundle} to {applied.bundle}")
        newest[(applied.proxy, applied.incarnation)] = applied
    return found


def broken_bundles(history: History) -> list[str]:
    """Any part of a broken bundle takes effect."""
    accepted = [event for event in history.of(BundleSubmitted) if event.broken and not event.error]
    broken = {event.number for event in history.of(BundleSubmitted) if event.broken} - {
        event.number for event in history.of(BundleSubmitted) if not event.broken
    }
    found = [f"broken bundle {event.number} was accepted" for event in accepted]
    return found + [
        f"{applied.proxy} acts under broken bundle {applied.bundle}"
        for applied in history.of(BundleApplied)
        if applied.bundle in broken
    ]


def dropped_answers(history: History) -> list[str]:
    """Requests are dropped mid-answer during planned restarts, releases or roll-outs."""
    planned = history.of(PlannedInterruption)
    return [
        f"{result.request} was cut at {result.timestamp:.3f} during {interruption.description}"
        for result in history.of(RequestResult)
        if result.outcome == "broken"
        for interruption in planned
        if interruption.timestamp <= result.timestamp <= interruption.until
    ]


def worst_retry_window(history: History, deployment: Deployment) -> tuple[float, str]:
    """The part of the retries allowed that the fullest ten seconds of any service used, and which those were."""
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
            # The most that the bundles in force in these ten seconds declare, and not one retry more.
            declared = [
                found
                for bundle in active_bundles.at(proxy="", timestamp=event.timestamp)
                + active_bundles.at(proxy="", timestamp=events[begin].timestamp)
                if (found := bundle.service(service)) is not None
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
    """The configuration read back is missing, out of date, or shows something that was removed."""
    found = []
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
                found += [
                    f"{event.reader} read back {what} {read!r}, but it is {true!r}"
                    for what, read, true in pairs
                    if true is not None and read != true
                ]
                if expected.in_force and expected.in_force not in dict(event.texts):
                    found.append(f"the text of bundle {expected.in_force} is missing")
                shown = sorted(set(event.names) & set(expected.removed))
                if shown:
                    found.append(f"{event.reader} still shows {shown}, which were removed")
    return found


def damage_spreads(history: History) -> list[str]:
    """A copy of the configuration is corrupted and isn't repaired, or another one gets the same content."""
    corrupted_at: dict[str, float] = {}
    found = []
    for event in history.events:
        match event:
            case CopyCorrupted():
                corrupted_at[event.node] = event.timestamp
            case CopyDiverged():
                since = corrupted_at.get(event.node)
                if since is None:
                    found.append(f"{event.node} differs from the log, and nobody corrupted it")
                elif event.timestamp > since + REPAIR_SECONDS:
                    found.append(f"{event.node} is still corrupted {event.timestamp - since:.2f} s after")
    return found


def failed_expectations(history: History) -> list[str]:
    """Something that a page for operators or an answer promises was tried, and didn't come true."""
    return [
        f"{event.description} at {event.timestamp:.3f}" for event in history.of(ExpectationChecked) if not event.met
    ]


def long_waits(history: History) -> list[str]:
    """A request that was given up was answered late, or without a time to retry."""
    found = []
    pauses = history.of(ProcessPaused)
    for result in history.of(RequestResult):
        if any(
            each.node == result.listener and each.timestamp <= result.timestamp and result.asked <= each.until
            for each in pauses
        ):
            continue
        if result.outcome == "not-run" and result.kind in GIVEN_UP:
            if result.timestamp - result.asked > GIVE_UP_SECONDS:
                found.append(f"{result.request} got {result.kind} only after {result.timestamp - result.asked:.2f} s")
            if not result.retry_after and not result.caller:
                found.append(f"{result.request} got {result.kind} without a time to retry")
    return found


def late_recoveries(history: History) -> list[str]:
    """Service has not returned about fifteen seconds after machines come back."""
    return [
        f"{recovery.description}: service came {recovery.service_at - recovery.timestamp:.1f} s after the machines"
        for recovery in history.of(ServiceRecovered)
        if recovery.service_at - recovery.timestamp > RECOVERY_SECONDS
    ]


def lost_agreements(history: History) -> list[str]:
    """Something that the core committed is gone, or its replicas differ."""
    replicas = history.of(ReplicaState)
    found = []
    if len({replica.digest for replica in replicas}) > 1:
        found.append(
            f"replicas differ: {[(replica.name, replica.digest[:8], len(replica.claims)) for replica in replicas]}"
        )
    agreed = [event.claim for event in history.of(ClaimWritten) if event.phase == "granted"]
    for replica in replicas:
        present = set(replica.claims)
        lost = [claim for claim in agreed if claim not in present]
        if lost:
            found.append(f"{replica.name} lost {len(lost)} agreed claims, {lost[0]} first")
    return found


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
# These compare times. In simulated time they are exact; on a busy real machine they also measure the machine.
TIMED = (work_after_leaving, not_in_force, too_many_retries, late_recoveries, long_waits, refused_though_allowed)


def check(
    history: History, deployment: Deployment | None = None, *, timed: bool = True, outsiders: bool = False
) -> dict[str, list[str]]:
    """Each rule with what broke it.

    Args:
        history: what happened.
        deployment: what it happened in; rules that need one are left out without it.
        timed: whether to check the rules that compare times.
        outsiders: whether others sent requests by hand, too, which look like requests nobody sent.
    """
    found = {}
    for rule, checker in CHECKERS.items():
        if (checker in TIMED and not timed) or (checker is wrong_callers and outsiders):
            continue
        if checker in NEEDS_DEPLOYMENT:
            if deployment is not None and deployment.services:
                found[rule] = checker(history, deployment)
        else:
            found[rule] = checker(history)
    return found


def check_all(history: History, deployment: Deployment | None = None, *, outsiders: bool = False) -> list[str]:
    """One printable line for each rule: held, or broken and by what first."""
    lines = []
    for rule, broken in check(history, deployment, outsiders=outsiders).items():
        lines.append(
            f"held: {rule}"
            if not broken
            else f"BROKEN: {rule}: {broken[0]}" + (f" (and {len(broken) - 1} more)" if len(broken) > 1 else "")
        )
    return lines
