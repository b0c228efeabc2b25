"""What may happen on a day: plain data, so that a failing day can be made smaller."""

from typing import NamedTuple

# What happens. `at` counts from the start of traffic.


class Kill(NamedTuple):
    """Processes end at once; power also takes what a disk had not synced, and the machine says nothing while down."""

    at: float
    machines: tuple[str, ...]
    seconds: float
    power: bool = False
    wipe: bool = False


class Freeze(NamedTuple):
    at: float
    machines: tuple[str, ...]
    seconds: float


class Partition(NamedTuple):
    """Nothing passes from these machines to the others, nor back unless it is one way; among themselves it does."""

    at: float
    machines: tuple[str, ...]
    others: tuple[str, ...]
    seconds: float
    one_way: bool = False


class DiskFault(NamedTuple):
    at: float
    machine: str
    seconds: float
    how: str


class Stop(NamedTuple):
    """SIGTERM, and a new start."""

    at: float
    machine: str
    seconds: float


class Misbehave(NamedTuple):
    """A share of a service's answers is lost, cut short or a failure."""

    at: float
    service: str
    share: float
    seconds: float
    how: str


class RestartServer(NamedTuple):
    """A server leaves in order and a new life of it comes, on the same machine."""

    at: float
    machine: str


class ReassignAddress(NamedTuple):
    """A server leaves in order or crashes, its machine is stopped, and its address goes to another service's server."""

    at: float
    machine: str
    service: str
    crash: bool = False


class CrashServer(NamedTuple):
    """A server ends without a word."""

    at: float
    machine: str
    seconds: float


class Change(NamedTuple):
    """A proper order: add, drop, split, move, times or idle. Several at once are a race of desks.

    contested: all desks use one version for contents of their own, so that only one of them may be confirmed.
    """

    at: float
    how: str
    pick: int
    operators: int = 1
    contested: bool = False


class ChangeStorm(NamedTuple):
    """Many proper orders one after the other, as many under way at once as the platform allows."""

    at: float
    orders: int
    gap: float
    pick: int


class LargeChange(NamedTuple):
    """One order with many new routes."""

    at: float
    routes: int


class RepeatChange(NamedTuple):
    """An order that was confirmed before is sent once more, to any machine."""

    at: float
    pick: int


class LostAnswers(NamedTuple):
    """A share of the answers to the operators is lost on its way: they send the same again, elsewhere first."""

    at: float
    share: float
    seconds: float


class InvalidChange(NamedTuple):
    at: float
    how: str
    pick: int


class RewriteSettings(NamedTuple):
    """The settings files change under the running programs."""

    at: float


class ReplaceCore(NamedTuple):
    """A core machine goes for good, and an empty one takes its place at another address.

    planned: the new one starts first, then the old one gets SIGTERM. Otherwise it comes `seconds` after the loss.
    """

    at: float
    machine: str
    seconds: float
    planned: bool = False


class ResetConnections(NamedTuple):
    """A share of the connections of these machines is reset: to other machines, to servers, to clients."""

    at: float
    machines: tuple[str, ...]
    share: float


# When a fault that waits for something strikes: right after the core's word to an operator, a moment after an order
# was sent, acknowledged or not, right after a keyed request was answered, or as a core machine writes a snapshot.
ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT = "acknowledged", "sent", "taken", "snapshot"


class TriggeredFault(NamedTuple):
    """The core machine that acknowledges the next order, or writes a snapshot, is harmed; otherwise the leader."""

    at: float
    how: str
    seconds: float
    when: str = ACKNOWLEDGED


class FinalFault(NamedTuple):
    """The day's last fault: kill, power, or wipe: as many disks as may be lost, the other machines' power now and then.

    "wipe and power" takes their power always.
    """

    at: float
    how: str
    seconds: float
    when: str = ACKNOWLEDGED


ScheduledFault = (
    Kill
    | Freeze
    | Partition
    | DiskFault
    | Stop
    | Misbehave
    | RestartServer
    | ReassignAddress
    | CrashServer
    | ReplaceCore
    | ResetConnections
    | RewriteSettings
    | TriggeredFault
)
# The operators' own doings.
OperatorAction = Change | ChangeStorm | LargeChange | RepeatChange | LostAnswers | InvalidChange
ScheduledEvent = ScheduledFault | OperatorAction | FinalFault
# A core machine that is named when its time comes.
LEADER = "leader"
