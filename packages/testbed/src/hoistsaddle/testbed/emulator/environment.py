"""What machines, servers, clients and operators see of the emulator that runs them."""

import asyncio
import itertools
import random
from collections.abc import Coroutine
from typing import Any, NamedTuple, Protocol

from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import History
from hoistsaddle.testbed.emulator.site import CoreMachine, RequestKind, Route, SidecarMachine
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop


class Misbehaviour(NamedTuple):
    """How a share of a service's answers goes wrong."""

    share: float
    how: str


NO_MISBEHAVIOUR = Misbehaviour(0.0, "")


class Environment(Protocol):
    """The emulator as its parts see it."""

    day: Day
    loop: SimulatedTimeLoop
    random: random.Random
    # The simulated network and disks.
    world: Any
    history: History
    counter: "itertools.count[int]"
    # By machine: its present process, and the server beside it.
    processes: dict[str, Any]
    servers: dict[str, Any]
    clients: Any
    # The present core machines by name, without those that were replaced.
    core: dict[str, CoreMachine]
    machines: dict[str, SidecarMachine]

    def now(self) -> float:
        """Seconds of simulated time."""

    def create_task(self, work: Coroutine) -> asyncio.Task:
        """Runs work that belongs to no machine's process."""

    def record_failure(self, what: str) -> None:
        """Records that a program under test ended or raised by itself."""

    def observe_counters(self, counters: Any) -> None:
        """Collects the events that a program counts, for people to read."""

    async def wait_for(self, task: asyncio.Task, seconds: float) -> None:
        """Waits for a task, but not longer than this; the task goes on."""

    def seeds(self) -> list[CoreMachine]:
        """The core machines on the operators' list, which lags by `seed_lag_s`."""

    def route_of(self, name: str) -> Route:
        """The site's route of this name."""

    def request_kind_of(self, path: str) -> RequestKind:
        """The kind of request that a path belongs to."""

    def misbehaviour_of(self, service: str) -> str:
        """How the next answer of the service goes wrong; empty if it doesn't."""

    def pick_machine(self, zone: str) -> str:
        """A machine of the zone for a client's request; empty if there is none."""

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        """A call of a machine's control interface; None if no answer came within so many seconds."""

    def on_trigger(self, trigger: str, machine: str = "") -> None:
        """Something that a triggered fault may wait for came about, at this machine if it matters."""


class Machines(Environment, Protocol):
    """What the fault injector may do to the machines, too."""

    ready: dict[str, bool]
    # By service.
    misbehaviours: dict[str, Misbehaviour]

    def leader(self) -> str:
        """The core machine that leads, else any."""

    def current_name(self, name: str) -> str:
        """The name of the machine, or of the successor that replaced it."""

    def start(self, name: str, *, cold: bool = False) -> None:
        """Starts a machine's program; cold is the first start of the whole site."""

    def add_machine(self, machine: SidecarMachine, *, cold: bool = False) -> None:
        """Adds and starts a machine with its server and its ready check."""

    def add_successor(self, name: str) -> None:
        """Starts an empty core machine at another address in the place of this one."""

    def new_server(self, machine: SidecarMachine) -> None:
        """Starts a new server beside a machine's sidecar."""
