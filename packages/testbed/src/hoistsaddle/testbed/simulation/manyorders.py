"""Hundreds of large orders with a checkpoint every few dozen records, while core machines go and come back.

Whoever comes back has to catch up within a bound, in a bounded number of pulls, and no state ever goes back.
"""

import asyncio
from collections import Counter
from datetime import timedelta

from returns.result import Success

from hoistsaddle.config.items import SERVICE, ItemUpsert, Patch, pack_patch
from hoistsaddle.statemachine.commands import PatchItems
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios import compare_replicas

ORDERS = 330
# With a page of text each, the state comes to about a megabyte: dozens of pieces to pull.
NAMES = tuple(f"service-{number}" for number in range(110))
PAGE = "route " * 1500
UNDER_WAY = 8
CHECKPOINT_RECORDS = 40
# Half of the settling span that the settings give by default.
CATCH_UP_SECONDS = 2.0
WRITE_TIMEOUT = timedelta(milliseconds=500)
RESEND_SECONDS = 600
# A new leader makes a pull start over, and so may a silence of the puller's own; nothing else does.
PULLS_EACH_RETURN = 2


class _ReplicaMonitor:
    """Looks at every core again and again: what one life applied must never shrink."""

    def __init__(self, *, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.applied: dict[object, int] = {}
        self.committed = 0
        self.epoch = 0
        self.longest_log = 0

    async def poll(self) -> None:
        while True:
            for machine in self.simulation.core:
                if machine.store in self.simulation.processes and not self.simulation.processes[machine.store].dead:
                    self._inspect(machine.store)
            await asyncio.sleep(0.02)

    def _inspect(self, name: str) -> None:
        core = self.simulation.nodes[name].runner.core
        if core is None:
            return
        key = self.simulation.processes[name]
        if core.state.offset < self.applied.get(key, 0):
            self.simulation.expect(f"{name} never goes back", False)
        self.applied[key] = core.state.offset
        if core.role == "leader" and core.epoch >= self.epoch:
            # The newest leader: all that was ever agreed lies in its log. One of an older epoch that doesn't know yet
            # agrees nothing any more.
            if core.last.offset < self.committed:
                self.simulation.expect(f"{name} never leads with old state", False)
            self.epoch = core.epoch
            self.committed = max(self.committed, core.high_watermark)
        self.longest_log = max(self.longest_log, len(core.log))


class _OrderSender:
    def __init__(self, *, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.sent = 0
        self.confirmed = 0

    async def send(self) -> None:
        """Sends its share of the orders, each until it is confirmed."""
        while self.sent < ORDERS:
            self.sent += 1
            number = self.sent
            name = NAMES[number % len(NAMES)]
            # The order first, its answer after any number of tries; the same revision is the same order.
            while not await self._try(name, number):
                await asyncio.sleep(self.simulation.random.uniform(0.02, 0.1))
            self.confirmed += 1

    async def _try(self, name: str, number: int) -> bool:
        registries = self.simulation.live("bourse")
        if not registries:
            return False
        registry = self.simulation.random.choice(registries)
        body = {"name": name, "vitals_path": f"/{number}"}
        patch = Patch([ItemUpsert(SERVICE, number, body, f"{number} {PAGE}".encode())], [])
        command = PatchItems(f"order-{number}", "desk", "standing", pack_patch(patch), RESEND_SECONDS, 0)
        process = self.simulation.processes[registry]
        task = process.spawn(self.simulation.nodes[registry].writer.write(command, within=WRITE_TIMEOUT))
        while not task.done() and not process.dead:
            await asyncio.wait([task], timeout=0.05)
        return task.done() and not task.cancelled() and isinstance(task.result(), Success)


async def _away(simulation: SimulatedDeployment, name: str, how: str) -> None:
    random = simulation.random
    replica = int(name.rpartition("-")[2])
    others = [each for each in simulation.processes if each != name]
    seconds = random.uniform(0.5, 5)
    match how:
        case "restart":
            simulation.kill(name)
            await asyncio.sleep(seconds)
            simulation.restart(name)
        case "wipe":
            simulation.kill(name)
            simulation.wipe(replica)
            await asyncio.sleep(seconds)
            simulation.restart(name)
        case "cut":
            simulation.world.cut([name], others)
            await asyncio.sleep(seconds)
            simulation.world.heal()
        case "freeze":
            simulation.freeze(name)
            await asyncio.sleep(seconds)
            simulation.wake(name)


async def _caught_up(simulation: SimulatedDeployment, name: str) -> None:
    """Counts from the first moment at which it is back and somebody leads, until it has all that was agreed then."""
    await simulation.until(lambda: simulation.leader() is not None, seconds=10, description="somebody leads")
    committed = simulation.nodes[simulation.leader()].runner.core.high_watermark
    pulls_before = Counter(kind for _, each, kind, _ in simulation.process_events if each == name)["catching up"]

    def there() -> bool:
        core = simulation.nodes[name].runner.core
        return core is not None and core.complete and core.state.offset >= committed

    elapsed = await simulation.until(there, seconds=20, description=f"{name} caught up")
    pulls = (
        Counter(kind for _, each, kind, _ in simulation.process_events if each == name)["catching up"] - pulls_before
    )
    simulation.expect(f"{name} caught up within {CATCH_UP_SECONDS} s: {elapsed:.2f}", elapsed <= CATCH_UP_SECONDS)
    simulation.expect(f"{name} pulled {PULLS_EACH_RETURN} times at the most: {pulls}", pulls <= PULLS_EACH_RETURN)


async def many_orders(simulation: SimulatedDeployment) -> None:
    simulation.checkpoint_records = CHECKPOINT_RECORDS
    await simulation.start(bundle=False)
    watch = _ReplicaMonitor(simulation=simulation)
    watching = simulation.create_task(watch.poll())
    actions = _OrderSender(simulation=simulation)
    senders = [simulation.create_task(actions.send()) for _ in range(UNDER_WAY)]
    while actions.sent < ORDERS:
        for how in simulation.random.sample(("restart", "wipe", "cut", "freeze"), 4):
            name = simulation.random.choice(simulation.core).store
            if simulation.random.random() < 0.4 and simulation.leader():
                name = simulation.leader()
            await _away(simulation, name, how)
            await _caught_up(simulation, name)
            replica = int(name.rpartition("-")[2])
            await simulation.until(
                lambda: simulation.rejoined(replica), seconds=30, description=f"replica {replica} votes again"
            )
    await asyncio.gather(*senders)
    await compare_replicas(simulation)
    watching.cancel()
    simulation.expect(f"all orders are confirmed: {actions.confirmed}", actions.confirmed >= ORDERS)
    for machine in simulation.core:
        state = simulation.nodes[machine.store].runner.core.state
        revisions = [state.items[f"{SERVICE}:{name}"].revision for name in NAMES]
        simulation.expect(f"{machine.store} holds the newest of every item", min(revisions) > ORDERS - len(NAMES))
        kept = list((simulation.world.folder / f"data-{machine.replica}" / "checkpoints").iterdir())
        simulation.expect(f"{machine.store} keeps few checkpoints: {len(kept)}", len(kept) <= 3 + len(simulation.core))
    simulation.expect(f"logs stay short: {watch.longest_log}", watch.longest_log < 20 * CHECKPOINT_RECORDS)
