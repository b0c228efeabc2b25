"""What may happen on a day: plain data, so that a failing day can be made smaller.

In every event `at` counts seconds from the start of traffic, `seconds` is how long it lasts, and `pick` seeds what is
drawn when it comes about.
"""

from typing import NamedTuple


class Kill(NamedTuple):
    """Processes end at once; power also loses what a disk had not synced, and the machine is silent while down."""

    at: float
    machines: tuple[str, ...]
    seconds: float
    power: bool = False
    wipe: bool = False


class Freeze(NamedTuple):
    """Processes stand still (SIGSTOP) and go on later."""

    at: float
    machines: tuple[str, ...]
    seconds: float


class Partition(NamedTuple):
    """No message passes from these machines to the others, nor back unless it is one way."""

    at: float
    machines: tuple[str, ...]
    others: tuple[str, ...]
    seconds: float
    one_way: bool = False


class JammedLink(NamedTuple):
    """All that is sent to a machine waits in front of its link for these seconds.

    Then clients' requests arrive at once, and `backlog` seconds later what other machines had sent, which came behind
    them. Its clients' own load does that: it is no fault of the machine, and excuses it from nothing.
    """

    at: float
    machine: str
    seconds: float
    backlog: float = 0.0


class DiskFault(NamedTuple):
    """A machine's disk is "full" or "stalled"."""

    at: float
    machine: str
    seconds: float
    how: str


class Stop(NamedTuple):
    """A machine's program gets SIGTERM, and is started again."""

    at: float
    machine: str
    seconds: float


class Misbehave(NamedTuple):
    """A share of a service's answers is "lost", "cut" short or a "failure"."""

    at: float
    service: str
    share: float
    seconds: float
    how: str


class RestartServer(NamedTuple):
    """A server drains and leaves, and a new instance of it starts on the same machine.

    announced: it says that it leaves before it signs off. Otherwise it signs off first and serves on for as long.
    """

    at: float
    machine: str
    announced: bool = True


class LateHeartbeats(NamedTuple):
    """Heartbeats that the server beside a machine sends in these seconds arrive up to `latest` seconds late."""

    at: float
    machine: str
    seconds: float
    latest: float


class ReassignAddress(NamedTuple):
    """A server leaves or crashes, its machine is stopped, and its address goes to another service's server."""

    at: float
    machine: str
    service: str
    crash: bool = False


class CrashServer(NamedTuple):
    """A server ends without deregistering."""

    at: float
    machine: str
    seconds: float


class Change(NamedTuple):
    """A valid change of the configuration: add, drop, split, move, times or idle; several operators race.

    contested: all operators use one revision for contents of their own, so that only one may be confirmed.
    """

    at: float
    how: str
    pick: int
    operators: int = 1
    contested: bool = False


class ChangeStorm(NamedTuple):
    """Many valid changes one after the other, as many in flight as the platform allows; `gap` is in seconds."""

    at: float
    changes: int
    gap: float
    pick: int


class LargeChange(NamedTuple):
    """One change with many new routes."""

    at: float
    routes: int


class RepeatChange(NamedTuple):
    """A change that was confirmed before is submitted once more, to any machine."""

    at: float
    pick: int


class LostAnswers(NamedTuple):
    """A share of the answers to the operators is lost on the way: they submit the same again, elsewhere first."""

    at: float
    share: float
    seconds: float


class InvalidChange(NamedTuple):
    """A change that must be refused; `how` names what is wrong with it."""

    at: float
    how: str
    pick: int


class RewriteSettings(NamedTuple):
    """The settings files change while the programs run."""

    at: float


class ReplaceCore(NamedTuple):
    """A core machine is lost for good, and an empty one takes its place at another address.

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


# What a triggered fault waits for: a confirmation was sent to an operator, a change was submitted (confirmed or not),
# a keyed request was answered, a core machine begins to write a snapshot, or a sidecar acknowledged that its server
# leaves.
ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT, LEFT = "acknowledged", "sent", "taken", "snapshot", "left"


class TriggeredFault(NamedTuple):
    """The machine that acknowledges the next change or leave, or writes a snapshot, fails; otherwise the leader."""

    at: float
    how: str
    seconds: float
    trigger: str = ACKNOWLEDGED


class FinalFault(NamedTuple):
    """The day's last fault: "kill", "power" or "wipe".

    "wipe" takes as many disks as may be lost, and at random the other core machines' power; "wipe and power" takes
    their power always, and "wipe and all power" that of all other machines, sidecars' too.
    """

    at: float
    how: str
    seconds: float
    trigger: str = ACKNOWLEDGED


ScheduledFault = (
    Kill
    | Freeze
    | Partition
    | JammedLink
    | DiskFault
    | Stop
    | Misbehave
    | RestartServer
    | LateHeartbeats
    | ReassignAddress
    | CrashServer
    | ReplaceCore
    | ResetConnections
    | RewriteSettings
    | TriggeredFault
)
# What operators do.
OperatorAction = Change | ChangeStorm | LargeChange | RepeatChange | LostAnswers | InvalidChange
ScheduledEvent = ScheduledFault | OperatorAction | FinalFault
# Names whichever core machine leads when the event comes about.
LEADER = "leader"
