"""Lookups in the history of a day, shared by the rules."""

import math
from collections import defaultdict
from functools import cached_property
from typing import NamedTuple

from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.fault_timeline import FaultTimeline
from hoistsaddle.testbed.emulator.history import (
    ChangeAnswered,
    ChangeAnswerLost,
    ChangeSubmitted,
    History,
    RequestResult,
    RequestSent,
    RunEnded,
    RunStarted,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, REPEATABLE, Route
from hoistsaddle.testbed.emulator.statuses import OK, UNKNOWN_ROUTE, is_success

# Used where a route has no revision yet.
NO_REVISION = -1


class Version:
    """One route at one revision, as submitted in a valid change; `route` is None if the change removes it."""

    def __init__(self, *, revision: int, route: Route | None, submitted_at: float) -> None:
        self.revision = revision
        self.route = route
        self.submitted_at = submitted_at
        # When the operator received the confirmation.
        self.acknowledged_at: float | None = None
        # When a core machine first sent a confirmation that was lost.
        self.confirmed_at: float | None = None

    def allows(self, service: str) -> bool:
        """Whether requests on the route may run at this service."""
        return self.route is not None and any(name == service and weight > 0 for name, weight in self.route.parts)


class KeyUse(NamedTuple):
    """A period in which an idempotency key is in use by a request or by a run of one."""

    attempt: str
    start: float
    end: float


class ObservedHandling(NamedTuple):
    """What a request reveals about the configuration in force: the service that ran it, or that no route matched."""

    service: str
    unknown_route: bool = False

    def fits(self, version: Version) -> bool:
        """Whether the handling is explained by this version being in force."""
        return version.route is None if self.unknown_route else version.allows(self.service)


class HistoryIndex:
    """The history by attempt, run and version, with the timeline of faults."""

    def __init__(self, *, history: History, day: Day) -> None:
        self.history = history
        self.day = day
        self.timeline = FaultTimeline(history=history, site=day.site)
        self.requests = {request.attempt: request for request in history.of(RequestSent)}
        self.results = {result.attempt: result for result in history.of(RequestResult)}
        self.runs_by_attempt: dict[str, list[RunStarted]] = defaultdict(list)
        for started in history.of(RunStarted):
            self.runs_by_attempt[started.attempt].append(started)
        self.ended_runs = {ended.run: ended for ended in history.of(RunEnded)}
        self.runs = {started.run: started for started in history.of(RunStarted)}
        self.route_kinds = {route.name: route.kind for route in day.site.routes}
        # Includes routes that were added during the day.
        for submitted in history.of(ChangeSubmitted):
            self.route_kinds.update((name, route.kind) for name, _, route in submitted.routes if route is not None)

    @cached_property
    def uses_by_key(self) -> dict[str, list[KeyUse]]:
        """The uses of each key: its requests until `contact_s` after their deadlines, and their runs."""
        found: dict[str, list[KeyUse]] = defaultdict(list)
        for request in self.requests.values():
            if request.key:
                found[request.key].append(KeyUse(request.attempt, request.at, request.deadline + BOUNDS["contact_s"]))
        for started in self.runs.values():
            if started.key:
                ended = self.ended_runs.get(started.run)
                found[started.key].append(KeyUse(started.attempt, started.at, math.inf if ended is None else ended.at))
        return found

    def is_key_in_use(self, request: RequestSent, until: float) -> bool:
        """Whether another request or run used the key between this request's sending and its answer."""
        return any(
            use.attempt != request.attempt and use.start <= until and use.end >= request.at
            for use in self.uses_by_key.get(request.key, ())
        )

    @cached_property
    def versions(self) -> dict[str, list[Version]]:
        """Each route's versions in valid changes, by revision; one revision may have several submitted contents."""
        found: dict[str, dict[tuple[int, Route | None], Version]] = defaultdict(dict)
        by_change: dict[str, list[Version]] = {}
        for submitted in self.history.of(ChangeSubmitted):
            if not submitted.valid:
                continue
            versions = []
            for name, revision, route in submitted.routes:
                version = found[name].get((revision, route))
                if version is None:
                    version = Version(revision=revision, route=route, submitted_at=submitted.at)
                    found[name][revision, route] = version
                versions.append(version)
            by_change[submitted.change_request] = versions
        for answered in self.history.of(ChangeAnswered):
            if answered.status == OK:
                for version in by_change.get(answered.change_request, ()):
                    if version.acknowledged_at is None:
                        version.acknowledged_at = answered.at
        for lost in self.history.of(ChangeAnswerLost):
            if lost.status == OK:
                for version in by_change.get(lost.change_request, ()):
                    version.confirmed_at = min(version.confirmed_at or lost.at, lost.at)
        return {name: self._possible(versions) for name, versions in found.items()}

    @staticmethod
    def _possible(versions: dict[tuple[int, Route | None], Version]) -> list[Version]:
        """Leaves out contents that can't be in force because another one was acknowledged at the same revision."""
        decided = {version.revision for version in versions.values() if version.acknowledged_at is not None}
        possible = [
            version
            for version in versions.values()
            if version.acknowledged_at is not None or version.revision not in decided
        ]
        return sorted(possible, key=lambda version: version.revision)

    def acknowledged_revision(self, route: str, at: float) -> int:
        """The newest revision of a route acknowledged to an operator until this time, or NO_REVISION."""
        return max(
            (
                version.revision
                for version in self.versions.get(route, ())
                if version.acknowledged_at is not None and version.acknowledged_at <= at
            ),
            default=NO_REVISION,
        )

    def confirmed_revision(self, route: str) -> int:
        """The newest revision that a core machine confirmed, even if the answer was lost, or NO_REVISION."""
        return max(
            (
                version.revision
                for version in self.versions.get(route, ())
                if version.acknowledged_at is not None or version.confirmed_at is not None
            ),
            default=NO_REVISION,
        )

    def handling_of(self, request: RequestSent) -> ObservedHandling | None:
        """What the request reveals about the configuration in force; None if it reveals nothing."""
        runs = self.runs_by_attempt[request.attempt]
        if runs:
            return ObservedHandling(runs[0].service)
        result = self.results.get(request.attempt)
        if result is not None and result.status == UNKNOWN_ROUTE and not result.seal:
            return ObservedHandling("", unknown_route=True)
        return None

    def handled_at(self, request: RequestSent) -> float:
        """When the handling was observed: at the start of its first run, or at its answer if it didn't run."""
        runs = self.runs_by_attempt[request.attempt]
        return runs[0].at if runs else self.results[request.attempt].at

    def is_repeatable(self, request: RequestSent) -> bool:
        """Whether the request's route allows it to run more than once."""
        return self.route_kinds.get(request.route) == REPEATABLE

    def was_served(self, request: RequestSent) -> bool:
        """Whether the attempt got a success."""
        result = self.results.get(request.attempt)
        return result is not None and result.outcome == "answered" and is_success(result.status)
