"""The model check of pending requests: no violation in the spaces, and each injected fault is detected."""

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.sidecar.attempt_follower import AttemptFollower, AttemptOutcome
from hoistsaddle.sidecar.claim_records import ClaimRecords
from hoistsaddle.sidecar.ingress import IngressCore
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest
from hoistsaddle.testbed.modelcheck.pending_requests import REQUEST_SPACES, RequestExploration, explore_requests


class InjectedFault(NamedTuple):
    """A fault, the space in which it must be detected, and the start of the expected message."""

    space: str
    message: str
    patch: Callable[[], Any]


def _unanswered_questions_count_as_under_way() -> Any:
    """The fault of issue 40: an unanswered follow-up stays recorded as a call in flight."""
    original = AttemptFollower._unanswered

    def reopened(self: AttemptFollower, request: PendingRequest) -> AttemptOutcome:
        outcome = original(self, request)
        self._requests.tickets[request.call_number] = request.ticket
        return outcome

    return mock.patch.object(AttemptFollower, "_unanswered", reopened)


def _attempts_end_twice() -> Any:
    original = IngressCore._forget

    def twice(self: IngressCore, request: PendingRequest) -> None:
        original(self, request)
        if request.attempt_state is AttemptState.FOLLOWING:
            self.servers.attempt_ended(request.target)

    return mock.patch.object(IngressCore, "_forget", twice)


def _late_failures_are_not_taken() -> Any:
    return mock.patch.object(ClaimRecords, "late_failure", lambda self, number: None)


def _clients_that_leave_take_their_keys_along() -> Any:
    def forget(self: IngressCore, ticket: int) -> None:
        if (request := self.requests.get(ticket)) is not None:
            self._forget(request)

    return mock.patch.object(IngressCore, "client_disconnected", forget)


INJECTED = {
    "unanswered questions count as under way": InjectedFault(
        "a key", "calls", _unanswered_questions_count_as_under_way
    ),
    "attempts end twice": InjectedFault("no repeats", "0 attempts count as load", _attempts_end_twice),
    "late failures are not taken": InjectedFault("a key", "claims wait for calls", _late_failures_are_not_taken),
    "keys go with their clients": InjectedFault(
        "a key", "1 claims are working", _clients_that_leave_take_their_keys_along
    ),
}


def found_in(name: str) -> str:
    fault = INJECTED[name]
    space = next(space for space in REQUEST_SPACES if space.name == fault.space)
    with fault.patch():
        return explore_requests(space).broken


class PendingRequests(TestCase):
    """Guards against records of calls that aren't in flight: keys were answered with 409 without a call (issue 40)."""

    def test_every_order_of_ends_times_and_departures_holds(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            for explored in pool.map(explore_requests, REQUEST_SPACES):
                print(explored)
                self.check(explored)

    def check(self, explored: RequestExploration) -> None:
        self.assertThat(explored.broken, Equals(""), str(explored))
        if explored.name.startswith("a key"):
            # Without a repeat that meets a key in use, a space doesn't cover 409 answers.
            self.assertThat(explored.conflicts, GreaterThan(0), explored.name)

    def test_every_injected_fault_is_found(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(INJECTED, pool.map(found_in, INJECTED), strict=True))
        for name, broken in found.items():
            self.assertThat(broken.startswith(INJECTED[name].message), Equals(True), f"{name}: {broken!r}")
