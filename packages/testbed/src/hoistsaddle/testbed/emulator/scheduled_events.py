"""The scheduled events of a day: plain data, so that a failing day can be reduced to fewer events.

In every event `at` is in seconds from the start of traffic, `seconds` is its duration, and `pick` seeds the random
choices that are made when it runs.
"""

from typing import NamedTuple


class Kill(NamedTuple):
    """Processes are killed; with `power`, unsynced writes are lost and the machine doesn't respond while it is down."""

    at: float
    machines: tuple[str, ...]
    seconds: float
    power: bool = False
    wipe: bool = False


class Freeze(NamedTuple):
    """Processes are paused (SIGSTOP) and resumed later."""

    at: float
    machines: tuple[str, ...]
    seconds: float


class Partition(NamedTuple):
    """Messages from these machines to the others are dropped, and those in the other direction unless `one_way`."""

    at: float
    machines: tuple[str, ...]
    others: tuple[str, ...]
    seconds: float
    one_way: bool = False


class JammedLink(NamedTuple):
    """Everything that is sent to a machine queues in front of its link for these seconds.

    Then the queued client requests arrive at once, and `backlog` seconds later the messages of other machines, which
    were queued behind them. Client load causes this, so it doesn't count as a fault: all rules still apply to the
    machine.
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
    """A machine's program gets SIGTERM and is restarted."""

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

    announced: the server reports that it is leaving before it deregisters. Otherwise it deregisters first, and keeps
    serving for a similar time.
    """

    at: float
    machine: str
    announced: bool = True


class LateHeartbeats(NamedTuple):
    """Heartbeats that a machine's local server sends in this interval arrive up to `latest` seconds late."""

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
    """A valid configuration change: add, drop, split, move, times or idle; with several operators, they race.

    contested: all operators use the same revision with different contents, so that only one may be confirmed.
    """

    at: float
    how: str
    pick: int
    operators: int = 1
    contested: bool = False


class ChangeStorm(NamedTuple):
    """Many valid changes in quick succession, up to the platform's limit in flight; `gap` is in seconds."""

    at: float
    changes: int
    gap: float
    pick: int


class LargeChange(NamedTuple):
    """One change with many new routes."""

    at: float
    routes: int


class RepeatChange(NamedTuple):
    """A confirmed change is submitted again, to any core machine."""

    at: float
    pick: int


class LostAnswers(NamedTuple):
    """A share of the answers to operators is lost: the operators resubmit the same change, to another machine first."""

    at: float
    share: float
    seconds: float


class InvalidChange(NamedTuple):
    """A change that must be rejected; `how` names the defect."""

    at: float
    how: str
    pick: int


class RewriteSettings(NamedTuple):
    """The settings files are rewritten while the programs run."""

    at: float


class ReplaceCore(NamedTuple):
    """A core machine is lost permanently, and an empty one at another address replaces it.

    planned: the new machine starts first, then the old one gets SIGTERM. Otherwise the new one starts `seconds` after
    the loss.
    """

    at: float
    machine: str
    seconds: float
    planned: bool = False


class ResetConnections(NamedTuple):
    """A share of these machines' connections to other machines, servers and clients is reset."""

    at: float
    machines: tuple[str, ...]
    share: float


# Triggers of faults: a confirmation was sent to an operator, a change was submitted (confirmed or not), a keyed request
# was answered, a core machine starts to write a snapshot, or a sidecar acknowledged that its server is leaving.
ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT, LEFT = "acknowledged", "sent", "taken", "snapshot", "left"


class TriggeredFault(NamedTuple):
    """Fails the machine that acknowledges the next change or leave or writes a snapshot; otherwise the leader."""

    at: float
    how: str
    seconds: float
    trigger: str = ACKNOWLEDGED


class FinalFault(NamedTuple):
    """The day's last fault: "kill", "power" or "wipe".

    "wipe" destroys as many disks as may be lost, and at random the other core machines lose power; with "wipe and
    power" they always do, and with "wipe and all power" all other machines, including sidecars, lose power.
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
# Actions of operators.
OperatorAction = Change | ChangeStorm | LargeChange | RepeatChange | LostAnswers | InvalidChange
ScheduledEvent = ScheduledFault | OperatorAction | FinalFault
# Placeholder for the core machine that leads when the event runs.
LEADER = "leader"
