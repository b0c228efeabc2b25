"""The history of a day with what several rules ask of it."""

from collections import defaultdict
from functools import cached_property

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
from hoistsaddle.testbed.emulator.site import REPEATABLE, Route

CONFIRMED = 200
# Answers after which nothing of an order counts.
REFUSED = (400, 409, 412, 413, 422)


class Version:
    """One item at one revision, as an operator sent it in a proper order."""

    def __init__(self, *, revision: int, route: Route | None, sent: float) -> None:
        self.revision = revision
        self.route = route
        self.sent = sent
        # When the operator heard of it, and when a core machine said so first, heard or not.
        self.acknowledged: float | None = None
        self.given: float | None = None
        # Every order that holds it was refused.
        self.refused = True

    def allows(self, service: str) -> bool:
        return self.route is not None and any(name == service and weight > 0 for name, weight in self.route.parts)


class HistoryIndex:
    """The history with what several rules ask of it."""

    def __init__(self, *, history: History, day: Day) -> None:
        self.history = history
        self.day = day
        self.timeline = FaultTimeline(history=history, site=day.site)
        self.sent = {sent.attempt: sent for sent in history.of(RequestSent)}
        self.result = {result.attempt: result for result in history.of(RequestResult)}
        self.ran: dict[str, list[RunStarted]] = defaultdict(list)
        for ran in history.of(RunStarted):
            self.ran[ran.attempt].append(ran)
        self.replied = {replied.run: replied for replied in history.of(RunEnded)}
        self.runs = {ran.run: ran for ran in history.of(RunStarted)}
        self.kinds = {route.name: route.kind for route in day.site.routes}
        # Routes that came during the day, too.
        for submitted in history.of(ChangeSubmitted):
            self.kinds.update((name, route.kind) for name, _, route in submitted.routes if route is not None)

    @cached_property
    def versions(self) -> dict[str, list[Version]]:
        """Each item's versions in proper orders, in their order. Desks may give one version several contents."""
        found: dict[str, dict[tuple[int, Route | None], Version]] = defaultdict(dict)
        of_order: dict[str, list[Version]] = {}
        for submitted in self.history.of(ChangeSubmitted):
            if not submitted.proper:
                continue
            these = []
            for name, revision, route in submitted.routes:
                version = found[name].get((revision, route))
                if version is None:
                    version = found[name][revision, route] = Version(revision=revision, route=route, sent=submitted.at)
                these.append(version)
            of_order[submitted.change_request] = these
        for told in self.history.of(ChangeAnswered):
            if told.status == CONFIRMED:
                for version in of_order.get(told.change_request, ()):
                    if version.acknowledged is None:
                        version.acknowledged = told.at
        for unheard in self.history.of(ChangeAnswerLost):
            if unheard.status == CONFIRMED:
                for version in of_order.get(unheard.change_request, ()):
                    version.given = min(version.given or unheard.at, unheard.at)
        return {name: self._possible(these) for name, these in found.items()}

    @staticmethod
    def _possible(these: dict[tuple[int, Route | None], Version]) -> list[Version]:
        """Without contents that can't be in force, because another one was acknowledged under their version."""
        settled = {version.revision for version in these.values() if version.acknowledged is not None}
        left = [
            version for version in these.values() if version.acknowledged is not None or version.revision not in settled
        ]
        return sorted(left, key=lambda version: version.revision)

    def floor(self, name: str, timestamp: float) -> int:
        """The newest revision acknowledged by then; -1 is none."""
        return max(
            (
                version.revision
                for version in self.versions.get(name, ())
                if version.acknowledged is not None and version.acknowledged <= timestamp
            ),
            default=-1,
        )

    def given(self, name: str) -> int:
        """The newest revision that a core machine confirmed, whether or not its word arrived; -1 is none."""
        return max(
            (
                version.revision
                for version in self.versions.get(name, ())
                if version.acknowledged is not None or version.given is not None
            ),
            default=-1,
        )

    def handled(self, sent: RequestSent) -> tuple[str, str] | None:
        """What a request shows of the configuration: run by a service, or refused as unknown."""
        if self.ran[sent.attempt]:
            return ("run", self.ran[sent.attempt][0].service)
        result = self.result.get(sent.attempt)
        if result is not None and result.status == 404 and not result.seal:
            return ("unknown", "")
        return None

    def fits(self, version: Version, shown: tuple[str, str]) -> bool:
        kind, service = shown
        return version.allows(service) if kind == "run" else version.route is None

    def repeatable(self, sent: RequestSent) -> bool:
        return self.kinds.get(sent.route) == REPEATABLE
