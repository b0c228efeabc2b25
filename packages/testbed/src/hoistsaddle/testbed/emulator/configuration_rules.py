"""The rules on configuration changes: the answers to operators, and the versions by which machines handle requests.

Each rule returns one line per violation.
"""

from collections import defaultdict
from typing import NamedTuple

from hoistsaddle.testbed.emulator.history import (
    ChangeAnswered,
    ChangeAnswerLost,
    ChangeSubmitted,
    ConfigurationRead,
    FinalChange,
    RequestSent,
)
from hoistsaddle.testbed.emulator.history_index import NO_REVISION, HistoryIndex, ObservedHandling
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import BOUNDS, Route
from hoistsaddle.testbed.emulator.statuses import OK, is_rejection

# The time limit for acknowledging a change grows by this many seconds for each of its routes.
SECONDS_PER_ROUTE = 0.003
NEVER = 1e9

AnswerGiven = ChangeAnswered | ChangeAnswerLost


def acknowledged_changes_apply(index: HistoryIndex) -> list[str]:
    """A connected machine handles requests by a version no older than the one acknowledged `apply_s` before."""
    found = []
    for request in index.requests.values():
        handling = index.handling_of(request)
        if handling is None:
            continue
        end = index.handled_at(request)
        acknowledged = index.acknowledged_revision(request.route, request.at - BOUNDS["apply_s"])
        if acknowledged <= NO_REVISION or not index.timeline.is_connected(request.machine, request.at):
            continue
        possible = [
            version
            for version in index.versions[request.route]
            if version.revision >= acknowledged and version.submitted_at <= end
        ]
        if not any(handling.fits(version) for version in possible):
            found.append(
                f"{request.attempt} on {request.route} by {request.machine} at {request.at:.2f}: {handling}, though "
                f"revision {acknowledged} was acknowledged before"
            )
    return found


class _Observation(NamedTuple):
    """What the handling of one request reveals about the configuration in force, and when."""

    request: RequestSent
    at: float
    handling: ObservedHandling


def versions_never_go_back(index: HistoryIndex) -> list[str]:
    """Within one incarnation of a machine's program, the version in force never becomes older."""
    found = []
    observations = []
    for request in index.requests.values():
        handling = index.handling_of(request)
        if handling is not None:
            observations.append(_Observation(request, index.handled_at(request), handling))
    # By machine, incarnation and route: the time and the oldest revision that explains each observation.
    seen: dict[tuple[str, int, str], list[tuple[float, int]]] = defaultdict(list)
    for request, at, handling in observations:
        revisions = _explaining_revisions(index, request, at, handling)
        if not handling.unknown_route and revisions:
            seen[request.machine, request.incarnation, request.route].append((at, revisions[0]))
    for request, at, handling in observations:
        before = [
            revision
            for seen_at, revision in seen[request.machine, request.incarnation, request.route]
            if seen_at + BOUNDS["revert_slack_s"] < request.at
        ]
        newest = max(_explaining_revisions(index, request, at, handling), default=NO_REVISION)
        if before and newest < max(before):
            found.append(
                f"{request.attempt} on {request.route}: {request.machine} reverted from {max(before)} to {newest}"
            )
    return found


def _explaining_revisions(
    index: HistoryIndex, request: RequestSent, at: float, handling: ObservedHandling
) -> list[int]:
    """The revisions submitted by then that explain the handling, oldest first."""
    return [
        version.revision
        for version in index.versions.get(request.route, ())
        if version.submitted_at <= at and handling.fits(version)
    ]


def changes_are_answered_correctly(index: HistoryIndex) -> list[str]:
    """No invalid change is acknowledged; a valid one is, within `ack_s`, while the core is stable."""
    found = []
    changes = {submitted.change_request: submitted for submitted in index.history.of(ChangeSubmitted)}
    acknowledged_at: dict[str, float] = {}
    for answer in _answers_given(index):
        submitted = changes[answer.change_request]
        if answer.status == OK:
            if isinstance(answer, ChangeAnswered):
                acknowledged_at.setdefault(answer.change_request, answer.at)
            if not submitted.valid:
                found.append(f"{answer.change_request} is invalid, but {answer.machine} acknowledged it")
        elif submitted.valid and not submitted.contested and is_rejection(answer.status):
            found.append(f"{answer.change_request} is valid, but {answer.machine} rejected it with {answer.status}")
    for submitted in changes.values():
        end = submitted.at + BOUNDS["ack_s"] + SECONDS_PER_ROUTE * len(submitted.routes)
        # Lost answers excuse a late acknowledgement; other faults of single machines, even of the leader's disk, don't.
        stable = index.timeline.is_core_stable_during(submitted.at, end)
        connected = not index.timeline.has_partition(submitted.at, end)
        lost = any(lost.change_request == submitted.change_request for lost in index.history.of(ChangeAnswerLost))
        over = index.history.events[-1].at >= end
        due = submitted.valid and not submitted.contested and not lost
        late = acknowledged_at.get(submitted.change_request, NEVER) > end
        if due and stable and connected and over and late:
            found.append(
                f"{submitted.change_request} submitted at {submitted.at:.2f} "
                f"had no acknowledgement after {BOUNDS['ack_s']} s"
            )
    return found


def _answers_given(index: HistoryIndex) -> list[AnswerGiven]:
    """All answers of core machines to changes, delivered or lost, ordered by time."""
    answers: list[AnswerGiven] = [*index.history.of(ChangeAnswered), *index.history.of(ChangeAnswerLost)]
    return sorted(answers, key=lambda answer: answer.at)


def _confirmed_changes(index: HistoryIndex) -> set[str]:
    return {answer.change_request for answer in _answers_given(index) if answer.status == OK}


def confirmed_changes_stay_confirmed(index: HistoryIndex) -> list[str]:
    """A confirmed change, even if the answer was lost, isn't rejected when it is submitted again."""
    found = []
    confirmed: dict[str, AnswerGiven] = {}
    for answer in _answers_given(index):
        before = confirmed.get(answer.change_request)
        if answer.status == OK:
            confirmed.setdefault(answer.change_request, answer)
        elif before is not None and is_rejection(answer.status):
            found.append(
                f"{answer.change_request} was confirmed by {before.machine} at {before.at:.2f}, "
                f"and rejected with {answer.status} by {answer.machine} at {answer.at:.2f}"
            )
    return found


def one_content_per_revision(index: HistoryIndex) -> list[str]:
    """Of several contents under one revision of a route, at most one is confirmed, and not all are rejected."""
    found = []
    confirmed = _confirmed_changes(index)
    rejected = {answer.change_request for answer in _answers_given(index) if is_rejection(answer.status)}
    contents: dict[tuple[str, int], dict[str, Route | None]] = defaultdict(dict)
    for submitted in index.history.of(ChangeSubmitted):
        if submitted.valid:
            for name, revision, route in submitted.routes:
                contents[name, revision][submitted.change_request] = route
    for (name, revision), by_change in contents.items():
        kept = {change_request: route for change_request, route in by_change.items() if change_request in confirmed}
        if len(set(kept.values())) > 1:
            found.append(f"{name} at {revision} was confirmed with {len(set(kept.values()))} contents: {sorted(kept)}")
        elif not kept and set(by_change) <= rejected:
            found.append(f"{name} at {revision}: {sorted(by_change)} were all rejected, and none was confirmed")
    return found


def majority_is_kept(index: HistoryIndex) -> list[str]:
    """Tolerated losses never destroy the majority permanently: the final change, without faults, is confirmed."""
    confirmed = _confirmed_changes(index)
    return [
        f"{final.change_request}, submitted at the end without faults, was never confirmed"
        for final in index.history.of(FinalChange)
        if index.timeline.is_core_stable_during(final.at, final.at + BOUNDS["ack_s"])
        and final.change_request not in confirmed
    ]


def reads_match_confirmed_changes(index: HistoryIndex) -> list[str]:
    """At the end every core machine that answers returns each route as submitted, no older than confirmed."""
    found = []
    encoded: dict[tuple[str, int, Route], dict] = {}
    for submitted in index.history.of(ChangeSubmitted):
        if submitted.valid:
            for name, revision, route in submitted.routes:
                if route is not None:
                    encoded[name, revision, route] = submitted.encoded_routes[name]
    reads = index.history.of(ConfigurationRead)
    if reads and all(read.routes is None for read in reads):
        found.append("no core machine answered when read back")
    for read in reads:
        if read.routes is not None:
            found += _check_read(index, read.machine, read.routes, encoded)
    return found


def _check_read(
    index: HistoryIndex, machine: str, routes: dict[str, dict], encoded: dict[tuple[str, int, Route], dict]
) -> list[str]:
    found = []
    for name, versions in index.versions.items():
        confirmed = index.confirmed_revision(name)
        returned = routes.get(name)
        # A change without a definite answer may or may not be in force.
        possible = [version for version in versions if version.revision >= confirmed]
        if returned is None:
            if confirmed > NO_REVISION and not any(version.route is None for version in possible):
                found.append(f"{machine}: {name} is missing, {confirmed} was confirmed")
            continue
        revision = adapter("samples").revision_of(returned)
        contents = [
            encoded[name, revision, version.route]
            for version in possible
            if version.revision == revision and version.route
        ]
        if revision < confirmed:
            found.append(f"{machine}: {name} is at {revision}, {confirmed} was confirmed")
        elif returned not in contents:
            found.append(f"{machine}: {name} at {revision} is not what was submitted")
    found += [f"{machine}: {name} was never submitted" for name in routes if name not in index.versions]
    return found
