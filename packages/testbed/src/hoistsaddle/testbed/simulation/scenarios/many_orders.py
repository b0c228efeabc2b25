"""Hundreds of large orders with a checkpoint every few dozen records, while core machines fail and return.

An order is a change of configuration items by an operator. A replica that returns must catch up within a time limit and
with a bounded number of snapshot fetches, and the state of a replica must never go back to an older offset.
"""

import asyncio
from collections import Counter
from datetime import timedelta

from returns.result import Success

from hoistsaddle.config.items import SERVICE, ItemUpsert, Patch, pack_patch
from hoistsaddle.statemachine.commands import PatchItems
from hoistsaddle.testbed.process_names import REGISTRY, replica_of
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.core import compare_replicas

ORDERS = 330
# With the padding of each item, the state is about a megabyte: a fetch takes dozens of chunks.
NAMES = tuple(f"service-{number}" for number in range(110))
PADDING = "route " * 1500
ORDERS_IN_FLIGHT = 8
CHECKPOINT_RECORDS = 40
# Half of the default of the setting `settle_seconds`.
CATCH_UP_SECONDS = 2.0
WRITE_TIMEOUT = timedelta(milliseconds=500)
RESEND_SECONDS = 600
# A snapshot fetch starts over only after a change of leader or a timeout of the follower.
MAX_FETCHES_PER_RETURN = 2


class _ReplicaMonitor:
    """Inspects all replicas periodically: the applied offset of a process must never decrease."""

    def __init__(self, *, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.applied: dict[object, int] = {}
        self.committed = 0
        self.epoch = 0
        self.longest_log = 0

    async def poll(self) -> None:
        processes = self.simulation.processes
        while True:
            for machine in processes.core:
                if machine.store in processes.by_name and not processes.by_name[machine.store].dead:
                    self._inspect(machine.store)
            await asyncio.sleep(0.02)

    def _inspect(self, name: str) -> None:
        core = self.simulation.processes.nodes[name].runner.core
        if core is None:
            return
        key = self.simulation.processes.by_name[name]
        if core.state.offset < self.applied.get(key, 0):
            self.simulation.expect(f"{name}: the applied offset never decreases", False)
        self.applied[key] = core.state.offset
        if core.role == "leader" and core.epoch >= self.epoch:
            # The log of the newest leader contains every committed record. A leader of an older epoch
            # that hasn't learned of the newer one commits nothing any more.
            if core.last.offset < self.committed:
                self.simulation.expect(f"{name}: a leader has all committed records", False)
            self.epoch = core.epoch
            self.committed = max(self.committed, core.high_watermark)
        self.longest_log = max(self.longest_log, len(core.log))


class _OrderSender:
    """Sends all orders; several tasks share it to send concurrently."""

    def __init__(self, *, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.sent = 0
        self.confirmed = 0

    async def send(self) -> None:
        """Sends the next unsent order until it is confirmed, and so on until none is left."""
        while self.sent < ORDERS:
            self.sent += 1
            number = self.sent
            name = NAMES[number % len(NAMES)]
            # Each attempt sends the same order again, as it has the same revision, until one is confirmed.
            while not await self._attempt(name, number):
                await asyncio.sleep(self.simulation.random.uniform(0.02, 0.1))
            self.confirmed += 1

    async def _attempt(self, name: str, number: int) -> bool:
        registries = self.simulation.processes.running(REGISTRY)
        if not registries:
            return False
        registry = self.simulation.random.choice(registries)
        body = {"name": name, "vitals_path": f"/{number}"}
        patch = Patch([ItemUpsert(SERVICE, number, body, f"{number} {PADDING}".encode())], [])
        command = PatchItems(f"order-{number}", "desk", "standing", pack_patch(patch), RESEND_SECONDS, 0)
        process = self.simulation.processes.by_name[registry]
        task = process.spawn(self.simulation.processes.nodes[registry].writer.write(command, within=WRITE_TIMEOUT))
        while not task.done() and not process.dead:
            await asyncio.wait([task], timeout=0.05)
        return task.done() and not task.cancelled() and isinstance(task.result(), Success)


async def _interrupt_replica(simulation: SimulatedDeployment, name: str, fault: str) -> None:
    processes = simulation.processes
    random = simulation.random
    replica = replica_of(name)
    others = [each for each in processes.by_name if each != name]
    seconds = random.uniform(0.5, 5)
    match fault:
        case "restart":
            processes.kill(name)
            await asyncio.sleep(seconds)
            processes.restart(name)
        case "wipe":
            processes.kill(name)
            processes.wipe(replica)
            await asyncio.sleep(seconds)
            processes.restart(name)
        case "cut":
            simulation.world.cut([name], others)
            await asyncio.sleep(seconds)
            simulation.world.heal()
        case "freeze":
            processes.freeze(name)
            await asyncio.sleep(seconds)
            processes.wake(name)


async def _expect_catch_up(simulation: SimulatedDeployment, name: str) -> None:
    """Measures how long a returned replica takes, once there is a leader, to apply all that was committed by then."""
    processes = simulation.processes
    await simulation.wait_for_leader(seconds=10)
    committed = processes.nodes[processes.leader()].runner.core.high_watermark
    fetches_before = Counter(kind for _, each, kind, _ in processes.events if each == name)["catching up"]

    def has_caught_up() -> bool:
        core = processes.nodes[name].runner.core
        return core is not None and core.complete and core.state.offset >= committed

    elapsed = await simulation.wait_until(has_caught_up, seconds=20, description=f"{name} caught up")
    fetches = Counter(kind for _, each, kind, _ in processes.events if each == name)["catching up"] - fetches_before
    simulation.expect(f"{name} caught up within {CATCH_UP_SECONDS} s: {elapsed:.2f}", elapsed <= CATCH_UP_SECONDS)
    simulation.expect(
        f"{name} fetched a snapshot at most {MAX_FETCHES_PER_RETURN} times: {fetches}",
        fetches <= MAX_FETCHES_PER_RETURN,
    )


async def many_orders(simulation: SimulatedDeployment) -> None:
    """Hundreds of large orders are written while core machines fail and return; each catches up within a time limit."""
    processes = simulation.processes
    processes.checkpoint_records = CHECKPOINT_RECORDS
    await simulation.start(bundle=False)
    monitor = _ReplicaMonitor(simulation=simulation)
    monitoring = simulation.create_task(monitor.poll())
    sender = _OrderSender(simulation=simulation)
    senders = [simulation.create_task(sender.send()) for _ in range(ORDERS_IN_FLIGHT)]
    while sender.sent < ORDERS:
        for fault in simulation.random.sample(("restart", "wipe", "cut", "freeze"), 4):
            name = simulation.random.choice(processes.core).store
            if simulation.random.random() < 0.4 and processes.leader():
                name = processes.leader()
            await _interrupt_replica(simulation, name, fault)
            await _expect_catch_up(simulation, name)
            await simulation.wait_for_vote(replica_of(name), seconds=30)
    await asyncio.gather(*senders)
    await compare_replicas(simulation)
    monitoring.cancel()
    simulation.expect(f"all orders are confirmed: {sender.confirmed}", sender.confirmed >= ORDERS)
    for machine in processes.core:
        state = processes.nodes[machine.store].runner.core.state
        revisions = [state.items[f"{SERVICE}:{name}"].revision for name in NAMES]
        simulation.expect(
            f"{machine.store} has the newest revision of every item", min(revisions) > ORDERS - len(NAMES)
        )
        checkpoints = list((simulation.world.folder / f"data-{machine.replica}" / "checkpoints").iterdir())
        simulation.expect(
            f"{machine.store} keeps few checkpoints: {len(checkpoints)}", len(checkpoints) <= 3 + len(processes.core)
        )
    simulation.expect(f"logs stay short: {monitor.longest_log}", monitor.longest_log < 20 * CHECKPOINT_RECORDS)
