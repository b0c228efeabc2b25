"""Releases of claimed keys: each is submitted to the log until it is confirmed or times out."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import SubmitHold
from hoistsaddle.statemachine.commands import Outcome, ReleaseKey


class _Retry(NamedTuple):
    due: timedelta
    command: ReleaseKey
    deadline: timedelta


class HoldReleases:
    """The releases that the log has not confirmed yet."""

    def __init__(self, *, state: CoreState, retry_interval: timedelta, timeout: timedelta) -> None:
        """Start without releases.

        Args:
            state: state of the core that submits the commands.
            retry_interval: the wait before an unanswered release is submitted again.
            timeout: how long after its first submission a release is retried.
        """
        self._state = state
        self._retry_interval = retry_interval
        self._timeout = timeout
        self._submitted: dict[int, tuple[ReleaseKey, timedelta]] = {}
        self._retries: list[_Retry] = []

    def __bool__(self) -> bool:
        """Whether any submitted release is unanswered."""
        return bool(self._submitted)

    def submit(self, command: ReleaseKey) -> None:
        """Submit a release now."""
        self._submit(command, self._state.now + self._timeout)

    def schedule(self, command: ReleaseKey) -> None:
        """Submit a release after the retry interval, because the log is slow or unreachable now."""
        now = self._state.now
        self._retries.append(_Retry(now + self._retry_interval, command, now + self._timeout))

    def answered(self, number: int, outcome: Outcome | None) -> bool:
        """Handle the log's answer to a call; None is no answer.

        Returns:
            Whether the answered call was a release.
        """
        submitted = self._submitted.pop(number, None)
        if submitted is None:
            return False
        command, deadline = submitted
        if outcome is None and self._state.now < deadline:
            self._retries.append(_Retry(self._state.now + self._retry_interval, command, deadline))
        return True

    def retry_due(self) -> None:
        """Submit the releases that are due again."""
        retries, self._retries = self._retries, []
        for retry in retries:
            if self._state.now >= retry.due:
                self._submit(retry.command, retry.deadline)
            else:
                self._retries.append(retry)

    def _submit(self, command: ReleaseKey, deadline: timedelta) -> None:
        number = self._state.next_number()
        self._submitted[number] = (command, deadline)
        self._state.out.append(SubmitHold(number, command))
