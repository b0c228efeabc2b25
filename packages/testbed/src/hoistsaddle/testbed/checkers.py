"""One checker for each line of "What must never happen". Each reads a history and gives what broke the line."""

from collections import defaultdict
from collections.abc import Callable

from returns.result import Success

from hoistsaddle.config.bundle import Bundle, read_bundle
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

ONCE_SPAN = 60.0
IN_FORCE_SPAN = 2.0
MEND_SPAN = 2.0
# The span a gap of the core's is waited out, one try at claiming a key, and a schedule's step.
GIVE_UP_SPAN = 3.5
GIVEN_UP = ("lease-lapsed", "no-leader", "no-server", "bundle-unknown")
LEAVING_SPAN = 2.0
SLIP_SPAN = 0.25
BACK_SPAN = 15.0
FURTHER_WINDOW = 10.0


def runs_twice(history: History) -> list[str]:
    """A payment, credit posting, save or upload runs twice; a repeat gets another answer than the first."""
    found = []
    runs = defaultdict(list)
    for ran in history.of(RunStarted):
        # The request's own name, which no renamed entry, renewed token or other address changes.
        if ran.key:
            runs[(ran.request, ran.path, ran.key)].append(ran)
    for (request, path, key), each in runs.items():
        if len(each) > 1:
            found.append(f"{path} {request} with key {key} ran {len(each)} times: {[ran.send for ran in each]}")
    first: dict[str, RequestResult] = {}
    for got in history.of(RequestResult):
        if got.outcome == "answered" and got.request.startswith("key-") and got.run:
            known = first.setdefault(got.request, got)
            if (got.run, got.status, got.body_digest) != (known.run, known.status, known.body_digest) and (
                got.timestamp - known.timestamp <= ONCE_SPAN
            ):
                found.append(f"{got.request} was answered by {known.run}, then by {got.run}")
    return found


CERTAIN = ("not-run", "refused", "unreachable")


def not_run_runs(history: History) -> list[str]:
    """A refusal that says "not run" is followed by the request running anyway."""
    request_kinds: dict[str, list[RequestResult]] = defaultdict(list)
    for got in history.of(RequestResult):
        # Servers ask under the name of the request they answer; their own asks aren't told apart by it.
        if not got.caller:
            request_kinds[got.request].append(got)
    runs: dict[str, list[RunStarted]] = defaultdict(list)
    for ran in history.of(RunStarted):
        if ran.caller in ("visitors", ""):
            runs[ran.request].append(ran)
    found = []
    for request, each in request_kinds.items():
        each.sort(key=lambda got: got.timestamp)
        for place, got in enumerate(each):
            # An earlier ask of it that ended uncertainly may still run, whatever this one was told.
            if got.outcome != "not-run" or any(before.outcome not in CERTAIN for before in each[:place]):
                continue
            later = [other.asked for other in each if other is not got and other.timestamp > got.timestamp]
            until = min(later, default=float("inf"))
            found += [
                f"{request} was refused as not run at {got.timestamp:.3f} but {ran.run} ran it"
                for ran in runs[request]
                if got.asked <= ran.timestamp < max(until, got.timestamp)
            ]
    return found


def foreign_answers(history: History) -> list[str]:
    """A caller gets an answer that is someone else's, cut short or altered, and that looks whole."""
    replied = {event.run: event for event in history.of(RunEnded)}
    ran = {event.run: event for event in history.of(RunStarted)}
    found = []
    for got in history.of(RequestResult):
        if got.outcome != "answered" or (got.repeat and not got.body_digest):
            # A repeat whose answer went over its cap hears only that the run is done.
            continue
        reply = replied.get(got.run)
        if reply is None or ran[got.run].request != got.request or got.nonce != got.request:
            found.append(f"{got.request} got the answer of {got.nonce or 'nobody'}")
        elif (reply.status, reply.body_digest) != (got.status, got.body_digest):
            found.append(f"{got.request} got another body or status than {got.run} sent")
        elif got.caller and ran[got.run].caller != got.caller:
            found.append(f"{got.caller} got the answer that {ran[got.run].caller} asked for")
    return found


class _ActiveBundles:
    """Which bundles may judge a request at a proxy at a moment, from what operators did and were told."""

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

    def least(self, *, proxy: str, timestamp: float, grace: float) -> int:
        """The newest bundle that must be in force there by now."""
        numbers = [
            event.bundle
            for event in self.accepted
            if event.timestamp + grace <= timestamp and (event.everywhere or proxy in event.proxies)
        ]
        return max(numbers, default=min(self.bundles))

    def at(self, *, proxy: str, timestamp: float, grace: float = IN_FORCE_SPAN) -> list[Bundle]:
        least = self.least(proxy=proxy, timestamp=timestamp, grace=grace)
        return [
            self.bundles[number]
            for number in sorted(self.bundles)
            if number >= least and self.written[number] <= timestamp
        ]


def _allows(bundle: Bundle, ran: RunStarted, *, service: str | None) -> bool:
    entry = bundle.select_entry(method=ran.method, path=ran.path)
    return (
        entry is not None
        and service in (None, entry.service)
        and ran.caller in entry.callers
        and ran.size <= entry.body_bytes
        and (bool(ran.key) or not entry.once)
    )


def forbidden_runs(history: History, deployment: Deployment) -> list[str]:
    """A request reaches a service that no bundle allows: neither where it entered nor where it ran."""
    active_bundles = _ActiveBundles(history, deployment)
    found = []
    for ran in history.of(RunStarted):
        target = active_bundles.at(proxy=ran.proxy, timestamp=ran.timestamp)
        entry = active_bundles.at(proxy=ran.send.partition(".")[0], timestamp=ran.timestamp)
        if not any(_allows(bundle, ran, service=ran.service) for bundle in target) or not any(
            _allows(bundle, ran, service=None) for bundle in entry
        ):
            found.append(f"{ran.service} ran {ran.method} {ran.path} for {ran.caller} at {ran.timestamp:.3f}")
    return found


def refused_though_allowed(history: History, deployment: Deployment) -> list[str]:
    """What a bundle newly allows is refused at a proxy two seconds after it was accepted for it, or between stages."""
    active_bundles = _ActiveBundles(history, deployment)
    asked = {(event.request, event.timestamp): event for event in history.of(RequestSent)}
    found = []
    for got in history.of(RequestResult):
        event = asked.get((got.request, got.asked))
        if event is None or got.caller or got.kind not in ("no-entry", "not-allowed"):
            continue
        judges = active_bundles.at(proxy=event.listener, timestamp=event.timestamp)
        judges += [
            each for each in active_bundles.at(proxy=event.listener, timestamp=got.timestamp) if each not in judges
        ]
        ran = RunStarted(0, "", "", "", event.method, event.path, event.key, "", "visitors", "", "", "", event.size)
        # Every bundle that may judge it allows it, so whichever did had no reason.
        if all(_allows(bundle, ran, service=None) for bundle in judges):
            found.append(
                f"{event.method} {event.path} was refused as {got.kind} at {event.listener} at {got.timestamp:.3f}"
            )
    answers = {got.request: got for got in history.of(RequestResult) if not got.caller}
    for wanted in history.of(AnswerRequired):
        got = answers.get(wanted.request)
        if got is None or got.outcome != "answered":
            found.append(f"{wanted.request} had to be served at {got.listener if got else '?'}, and got {got}")
    return found


def wrong_callers(history: History, deployment: Deployment) -> list[str]:
    """A server is told the wrong calling service, or runs a request nobody sent."""
    asked = {event.request: event for event in history.of(RequestSent)}
    found = []
    for ran in history.of(RunStarted):
        event = asked.get(ran.request)
        if event is None:
            found.append(f"{ran.service} ran {ran.path} that nobody sent: {ran.request!r}")
            continue
        direct = event.path == ran.path and event.method == ran.method
        callers = {"visitors"} if direct else set()
        for (service, path), inner in deployment.nested_calls.items():
            if path == event.path and any((each.method, each.path) == (ran.method, ran.path) for each in inner):
                callers.add(service)
        if ran.caller not in callers:
            found.append(f"{ran.service} was told {ran.caller} calls {ran.path}, but {sorted(callers)} did")
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
        f"{ran.instance} got {ran.path} {ran.timestamp - left[ran.instance]:.2f} s after it was leaving"
        for ran in history.of(RunStarted)
        if ran.instance in left and ran.timestamp > left[ran.instance] + LEAVING_SPAN
    ]


def not_in_force(history: History) -> list[str]:
    """A signed-off bundle is not in force about two seconds after acceptance, or a machine slips back."""
    found = []
    for accepted in history.of(BundleAccepted):
        for applied in history.of(BundleApplied):
            if (
                applied.proxy in accepted.proxies
                and applied.timestamp > accepted.timestamp + SLIP_SPAN
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
            found.append(f"{applied.proxy} slipped from bundle {known.bundle} back to {applied.bundle}")
        newest[(applied.proxy, applied.incarnation)] = applied
    return found


def broken_bundles(history: History) -> list[str]:
    """Any part of a broken bundle takes effect."""
    taken = [event for event in history.of(BundleSubmitted) if event.broken and not event.error]
    broken = {event.number for event in history.of(BundleSubmitted) if event.broken} - {
        event.number for event in history.of(BundleSubmitted) if not event.broken
    }
    found = [f"broken bundle {event.number} was taken" for event in taken]
    return found + [
        f"{applied.proxy} acts under broken bundle {applied.bundle}"
        for applied in history.of(BundleApplied)
        if applied.bundle in broken
    ]


def dropped_answers(history: History) -> list[str]:
    """Requests are dropped mid-answer during planned restarts, releases or roll-outs."""
    planned = history.of(PlannedInterruption)
    return [
        f"{got.request} was cut at {got.timestamp:.3f} during {span.what}"
        for got in history.of(RequestResult)
        if got.outcome == "broken"
        for span in planned
        if span.timestamp <= got.timestamp <= span.until
    ]


def worst_retry_window(history: History, deployment: Deployment) -> tuple[float, str]:
    """How much of what is allowed the fullest ten seconds of any service held, and which they were."""
    worst = (0.0, "")
    active_bundles = _ActiveBundles(history, deployment)
    sends = defaultdict(list)
    for event in sorted(history.of(AttemptSeen), key=lambda event: event.timestamp):
        sends[event.service].append(event)
    for service, events in sends.items():
        begin, firsts, furthers = 0, 0, 0
        for event in events:
            firsts += not event.is_retry
            furthers += event.is_retry
            while event.timestamp - events[begin].timestamp > FURTHER_WINDOW:
                firsts -= not events[begin].is_retry
                furthers -= events[begin].is_retry
                begin += 1
            if not furthers:
                continue
            # The widest of what the bundles in play in these ten seconds declare, and not a send more.
            declared = [
                found
                for bundle in active_bundles.at(proxy="", timestamp=event.timestamp)
                + active_bundles.at(proxy="", timestamp=events[begin].timestamp)
                if (found := bundle.service(service)) is not None
            ]
            share = max((each.further_percent for each in declared), default=0) / 100
            allowed = firsts * share + max((each.further_margin for each in declared), default=0)
            used = furthers / allowed if allowed else float("inf")
            if used > worst[0]:
                worst = (used, f"{service} got {furthers} further sends beside {firsts} first ones in ten seconds")
    return worst


def too_many_retries(history: History, deployment: Deployment) -> list[str]:
    """Further tries to a service exceed a fifth of its traffic plus a small margin in any ten seconds."""
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
    """A copy of the configuration is damaged and doesn't mend, or another one follows it."""
    damaged: dict[str, float] = {}
    found = []
    for event in history.events:
        match event:
            case CopyCorrupted():
                damaged[event.node] = event.timestamp
            case CopyDiverged():
                since = damaged.get(event.node)
                if since is None:
                    found.append(f"{event.node} holds what the log doesn't say, and nobody damaged it")
                elif event.timestamp > since + MEND_SPAN:
                    found.append(f"{event.node} is still damaged {event.timestamp - since:.2f} s after")
    return found


def failed_expectations(history: History) -> list[str]:
    """What a page of the operators or a reply promises was tried, and didn't come true."""
    return [f"{event.what} at {event.timestamp:.3f}" for event in history.of(ExpectationChecked) if not event.kept]


def long_waits(history: History) -> list[str]:
    """A request that was given up was held back in place of being answered, or not told when to come back."""
    found = []
    stood = history.of(ProcessPaused)
    for got in history.of(RequestResult):
        if any(
            each.node == got.listener and each.timestamp <= got.timestamp and got.asked <= each.until for each in stood
        ):
            continue
        if got.outcome == "not-run" and got.kind in GIVEN_UP:
            if got.timestamp - got.asked > GIVE_UP_SPAN:
                found.append(f"{got.request} was told {got.kind} only after {got.timestamp - got.asked:.2f} s")
            if not got.retry_after and not got.caller:
                found.append(f"{got.request} was told {got.kind} without a time to come back")
    return found


def not_back(history: History) -> list[str]:
    """Service has not returned about fifteen seconds after machines come back."""
    return [
        f"{back.what}: service came {back.service_at - back.timestamp:.1f} s after the machines"
        for back in history.of(ServiceRecovered)
        if back.service_at - back.timestamp > BACK_SPAN
    ]


def lost_agreements(history: History) -> list[str]:
    """Something the core agreed to is gone, or its replicas differ."""
    replicas = history.of(ReplicaState)
    found = []
    if len({replica.digest for replica in replicas}) > 1:
        found.append(
            f"replicas differ: {[(replica.name, replica.digest[:8], len(replica.claims)) for replica in replicas]}"
        )
    agreed = [event.claim for event in history.of(ClaimWritten) if event.phase == "granted"]
    for replica in replicas:
        kept = set(replica.claims)
        lost = [claim for claim in agreed if claim not in kept]
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
    "further sends keep their bound": too_many_retries,
    "read-back is true": stale_read_back,
    "service returns in time": not_back,
    "what was agreed stays agreed": lost_agreements,
    "damage mends and never spreads": damage_spreads,
    "given up means answered at once": long_waits,
    "what is promised comes true": failed_expectations,
}
NEEDS_DEPLOYMENT = (forbidden_runs, refused_though_allowed, wrong_callers, too_many_retries)
# These compare moments. In simulated time they are exact; on a busy real machine they also measure the machine.
TIMED = (work_after_leaving, not_in_force, too_many_retries, not_back, long_waits, refused_though_allowed)


def check(
    history: History, deployment: Deployment | None = None, *, timed: bool = True, outsiders: bool = False
) -> dict[str, list[str]]:
    """Each line with what broke it; lines that need a deployment are left out without one."""
    found = {}
    for line, checker in CHECKERS.items():
        # Somebody else's requests, sent by hand, look like requests nobody sent.
        if (checker in TIMED and not timed) or (checker is wrong_callers and outsiders):
            continue
        if checker in NEEDS_DEPLOYMENT:
            if deployment is not None and deployment.services:
                found[line] = checker(history, deployment)
        else:
            found[line] = checker(history)
    return found


def check_all(history: History, deployment: Deployment | None = None, *, outsiders: bool = False) -> list[str]:
    lines = []
    for line, broken in check(history, deployment, outsiders=outsiders).items():
        lines.append(
            f"held: {line}"
            if not broken
            else f"BROKEN: {line}: {broken[0]}" + (f" (and {len(broken) - 1} more)" if len(broken) > 1 else "")
        )
    return lines
