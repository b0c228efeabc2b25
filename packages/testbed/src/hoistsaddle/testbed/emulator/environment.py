"""The interface of the emulator towards its machines, servers, clients and operators."""

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
    """The share of a service's answers that are faulty, and the kind of fault."""

    share: float
    how: str


NO_MISBEHAVIOUR = Misbehaviour(0.0, "")


class Environment(Protocol):
    """What the emulator offers to its machines, servers, clients and operators."""

    day: Day
    loop: SimulatedTimeLoop
    random: random.Random
    # The simulated network and disks.
    world: Any
    history: History
    counter: "itertools.count[int]"
    # By machine name: its current process, and its local server.
    processes: dict[str, Any]
    servers: dict[str, Any]
    clients: Any
    # The current core machines by name, without those that were replaced.
    core: dict[str, CoreMachine]
    machines: dict[str, SidecarMachine]

    def now(self) -> float:
        """Seconds of simulated time."""

    def create_task(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine outside every simulated process."""

    def record_failure(self, what: str) -> None:
        """Records that a program under test exited or raised without an injected fault."""

    def observe_counters(self, counters: Any) -> None:
        """Collects the events that a program records, for display only."""

    async def wait_for(self, task: asyncio.Task, seconds: float) -> None:
        """Waits for a task for at most this time; the task isn't cancelled."""

    def seeds(self) -> list[CoreMachine]:
        """The core machines on the operators' seed list, which lags by `seed_lag_s`."""

    def route_of(self, name: str) -> Route:
        """The site's route of this name."""

    def request_kind_of(self, path: str) -> RequestKind:
        """The kind of request that a path belongs to."""

    def misbehaviour_of(self, service: str) -> str:
        """The fault of the service's next answer; empty for a correct answer."""

    def pick_machine(self, zone: str) -> str:
        """A machine of the zone for a client's request; empty if there is none."""

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        """Calls a machine's control interface; returns None if no answer arrives `within` this many seconds."""

    def on_trigger(self, trigger: str, machine: str = "") -> None:
        """Reports that a trigger of faults occurred, at this machine if the trigger belongs to one."""


class Machines(Environment, Protocol):
    """The environment, with the operations on machines that the fault injector uses."""

    ready: dict[str, bool]
    # By service name.
    misbehaviours: dict[str, Misbehaviour]

    def leader(self) -> str:
        """The core machine that leads, or any core machine if none leads."""

    def current_name(self, name: str) -> str:
        """The name of the machine, or of its latest successor if it was replaced."""

    def start(self, name: str, *, cold: bool = False) -> None:
        """Starts a machine's program; cold is the first start of the whole site."""

    def add_machine(self, machine: SidecarMachine, *, cold: bool = False) -> None:
        """Adds and starts a machine with its server and its ready check."""

    def add_successor(self, name: str) -> None:
        """Replaces a core machine by an empty one at another address."""

    def new_server(self, machine: SidecarMachine) -> None:
        """Starts a new local server for a machine's sidecar."""
