"""Decides which of the local server's health reports are current, rather than late or from a former instance.

An instance that has signed off never returns. A report of an instance that another one has replaced may only be late,
so the instance has to report more than once, without a report of the current one in between, before it is accepted
again.
"""

from collections import OrderedDict

# The number of former instances to keep. At most one ends every few minutes, and reports are late by seconds.
MAX_FORMER = 256
# Successive reports that make a former instance the current one again: its successor's reports were the late ones.
REPORTS_TO_RETURN = 2
# Successive reports that bring back an instance which the log records as gone, at a process that doesn't know why.
# Fewer than that can have been in flight when the instance signed off.
REPORTS_TO_CONTRADICT_RECORD = 3


class ServerReports:
    """Tracks the current and former instances of a proxy's local server, and the order of their reports."""

    def __init__(self) -> None:
        self.current = ""
        self._newest = 0
        self._signed_off: OrderedDict[str, None] = OrderedDict()
        # Former instances, and how often each has reported since the current one last did.
        self._former: OrderedDict[str, int] = OrderedDict()

    def accept(self, instance: str, *, sequence: int) -> bool:
        """Record a report, unless it is outdated.

        Args:
            instance: the instance that sent the report.
            sequence: the sender's number of the report, which rises with each report; 0 where reports carry none.

        Returns:
            Whether the report is current.
        """
        if self.has_signed_off(instance):
            return False
        if instance == self.current:
            return self._accept_current(sequence)
        if instance in self._former:
            self._former[instance] += 1
            if self._former[instance] < REPORTS_TO_RETURN:
                return False
        self._replace_current(instance, sequence)
        return True

    def assume(self, instance: str) -> None:
        """Treat an instance that is known from another source as the current one until one has reported."""
        if not self.current:
            self.current = instance

    def recorded_gone(self, instance: str) -> None:
        """Record that the log marks an instance as gone that never reported to this process: it may have signed off."""
        if instance != self.current and instance not in self._former and not self.has_signed_off(instance):
            _store_bounded(self._former, instance, REPORTS_TO_RETURN - REPORTS_TO_CONTRADICT_RECORD)

    def sign_off(self, instance: str) -> None:
        """Record that an instance accepts no new work, and never will again."""
        _store_bounded(self._signed_off, instance, None)

    def has_signed_off(self, instance: str) -> bool:
        """Whether the instance has signed off."""
        return instance in self._signed_off

    def _accept_current(self, sequence: int) -> bool:
        if sequence < self._newest:
            return False
        self._newest = sequence
        for former in self._former:
            self._former[former] = 0
        return True

    def _replace_current(self, instance: str, sequence: int) -> None:
        self._former.pop(instance, None)
        if self.current:
            _store_bounded(self._former, self.current, 0)
        self.current, self._newest = instance, sequence


def _store_bounded(instances: OrderedDict, instance: str, value: int | None) -> None:
    instances[instance] = value
    instances.move_to_end(instance)
    while len(instances) > MAX_FORMER:
        instances.popitem(last=False)
