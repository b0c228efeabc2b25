"""What machines, servers, clients and operators see of the day that is played round them."""

import asyncio
import itertools
import random
from collections.abc import Coroutine
from typing import Any, Protocol

from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import History
from hoistsaddle.testbed.emulator.site import CoreMachine, RequestKind, Route, SidecarMachine
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop


class Environment(Protocol):
    """The day as its parts see it; the arena is the one that there is."""

    day: Day
    loop: SimulatedTimeLoop
    random: random.Random
    # The simulated network and disks.
    world: Any
    history: History
    counter: "itertools.count[int]"
    # By machine: its process of now, and the server beside it.
    processes: dict[str, Any]
    servers: dict[str, Any]
    clients: Any
    # Core machines of now by name; replaced ones are gone from it.
    core: dict[str, CoreMachine]
    machines: dict[str, SidecarMachine]

    def now(self) -> float: ...

    def create_task(self, work: Coroutine) -> asyncio.Task: ...

    def fault(self, what: str) -> None: ...

    def observe_counters(self, counters: Any) -> None: ...

    async def within(self, task: asyncio.Task, seconds: float) -> None: ...

    def seeds(self) -> list[CoreMachine]: ...

    def route_of(self, name: str) -> Route: ...

    def request_kind_of(self, path: str) -> RequestKind: ...

    def misbehaviour_of(self, service: str) -> str: ...

    def pick_machine(self, zone: str) -> str: ...

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any: ...

    def on_trigger(self, when: str, machine: str = "") -> None: ...


class Machines(Environment, Protocol):
    """What carries out the troubles may do to the machines."""

    ready: dict[str, bool]
    # By service: the share of its answers that go wrong, and how.
    misbehaviours: dict[str, tuple[float, str]]

    def leader(self) -> str: ...

    def current_name(self, name: str) -> str: ...

    def start(self, name: str, *, cold: bool = False) -> None: ...

    def add_machine(self, machine: SidecarMachine, *, cold: bool = False) -> None: ...

    def add_successor(self, name: str) -> None: ...

    def new_server(self, machine: SidecarMachine) -> None: ...
