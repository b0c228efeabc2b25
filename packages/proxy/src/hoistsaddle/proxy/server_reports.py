"""Which of the local server's reports still say something new: late ones and those of former instances do not.

An instance that has signed off never comes back. One that another instance has followed may only lie in a late report,
so it has to report more than once, with nothing of the present one in between, before it counts again.
"""

from collections import OrderedDict

# Former instances that are remembered. One ends every few minutes at most, and a report is late by seconds.
MAX_FORMER = 256
# Reports in a row that make a former instance the present one again: its successor's were the late ones.
REPORTS_TO_RETURN = 2
# Reports in a row that bring back an instance that the log calls gone, to a process that doesn't know why: what was on
# its way when it signed off is fewer.
REPORTS_TO_CONTRADICT_RECORD = 3


class ServerReports:
    """The order of the reports of a proxy's local servers, one instance after the other."""

    def __init__(self) -> None:
        self.current = ""
        self._newest = 0
        self._signed_off: OrderedDict[str, None] = OrderedDict()
        # Former instances, and how often each has reported since the present one did.
        self._former: OrderedDict[str, int] = OrderedDict()

    def accept(self, instance: str, *, sequence: int) -> bool:
        """Take a report into account, unless it was overtaken.

        Args:
            instance: whose report it is.
            sequence: its number at its sender, rising with each report; 0 where they carry none.

        Returns:
            Whether it is news.
        """
        if self.has_signed_off(instance):
            return False
        if instance == self.current:
            return self._accept_current(sequence)
        if instance in self._former:
            self._former[instance] += 1
            if self._former[instance] < REPORTS_TO_RETURN:
                return False
        self._follow(instance, sequence)
        return True

    def assume(self, instance: str) -> None:
        """Take the instance that is known from elsewhere for the present one, until any has reported."""
        if not self.current:
            self.current = instance

    def recorded_gone(self, instance: str) -> None:
        """Take that the log calls an instance gone of which this process has heard nothing: it may have signed off."""
        if instance != self.current and instance not in self._former and not self.has_signed_off(instance):
            _remember(self._former, instance, REPORTS_TO_RETURN - REPORTS_TO_CONTRADICT_RECORD)

    def sign_off(self, instance: str) -> None:
        """Note that an instance takes no new work and never will."""
        _remember(self._signed_off, instance, None)

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

    def _follow(self, instance: str, sequence: int) -> None:
        self._former.pop(instance, None)
        if self.current:
            _remember(self._former, self.current, 0)
        self.current, self._newest = instance, sequence


def _remember(instances: OrderedDict, instance: str, value: int | None) -> None:
    instances[instance] = value
    instances.move_to_end(instance)
    while len(instances) > MAX_FORMER:
        instances.popitem(last=False)
