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
WRITE_SPAN = timedelta(milliseconds=500)
RESEND_SECONDS = 600
# A new leader makes a pull start over, and so may a silence of the puller's own; nothing else does.
PULLS_EACH_RETURN = 2


class _ReplicaMonitor:
    """Looks at every core again and again: what one life applied must never shrink."""

    def __init__(self, *, complete: SimulatedDeployment) -> None:
        self.complete = complete
        self.applied: dict[object, int] = {}
        self.agreed = 0
        self.epoch = 0
        self.longest_log = 0

    async def poll(self) -> None:
        while True:
            for machine in self.complete.core:
                if machine.store in self.complete.processes and not self.complete.processes[machine.store].dead:
                    self._inspect(machine.store)
            await asyncio.sleep(0.02)

    def _inspect(self, name: str) -> None:
        core = self.complete.nodes[name].runner.core
        if core is None:
            return
        key = self.complete.processes[name]
        if core.state.offset < self.applied.get(key, 0):
            self.complete.check_expectation(f"{name} never goes back", False)
        self.applied[key] = core.state.offset
        if core.role == "leader" and core.epoch >= self.epoch:
            # The newest leader: all that was ever agreed lies in its log. One of an older epoch that doesn't know yet
            # agrees nothing any more.
            if core.last.offset < self.agreed:
                self.complete.check_expectation(f"{name} never leads with old state", False)
            self.epoch = core.epoch
            self.agreed = max(self.agreed, core.high_watermark)
        self.longest_log = max(self.longest_log, len(core.log))


class _OrderSender:
    def __init__(self, *, complete: SimulatedDeployment) -> None:
        self.complete = complete
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
                await asyncio.sleep(self.complete.random.uniform(0.02, 0.1))
            self.confirmed += 1

    async def _try(self, name: str, number: int) -> bool:
        registries = self.complete.live("bourse")
        if not registries:
            return False
        registry = self.complete.random.choice(registries)
        body = {"name": name, "vitals_path": f"/{number}"}
        patch = Patch([ItemUpsert(SERVICE, number, body, f"{number} {PAGE}".encode())], [])
        command = PatchItems(f"order-{number}", "desk", "standing", pack_patch(patch), RESEND_SECONDS, 0)
        life = self.complete.processes[registry]
        task = life.spawn(self.complete.nodes[registry].writer.write(command, within=WRITE_SPAN))
        while not task.done() and not life.dead:
            await asyncio.wait([task], timeout=0.05)
        return task.done() and not task.cancelled() and isinstance(task.result(), Success)


async def _away(complete: SimulatedDeployment, name: str, how: str) -> None:
    random = complete.random
    replica = int(name.rpartition("-")[2])
    others = [each for each in complete.processes if each != name]
    seconds = random.uniform(0.5, 5)
    match how:
        case "restart":
            complete.kill(name)
            await asyncio.sleep(seconds)
            complete.restart(name)
        case "wipe":
            complete.kill(name)
            complete.wipe(replica)
            await asyncio.sleep(seconds)
            complete.restart(name)
        case "cut":
            complete.world.cut([name], others)
            await asyncio.sleep(seconds)
            complete.world.heal()
        case "freeze":
            complete.freeze(name)
            await asyncio.sleep(seconds)
            complete.wake(name)


async def _caught_up(complete: SimulatedDeployment, name: str) -> None:
    """Counts from the first moment at which it is back and somebody leads, until it has all that was agreed then."""
    await complete.until(lambda: complete.leader() is not None, seconds=10, what="somebody leads")
    agreed = complete.nodes[complete.leader()].runner.core.high_watermark
    pulls_before = Counter(kind for _, each, kind, _ in complete.process_events if each == name)["catching up"]

    def there() -> bool:
        core = complete.nodes[name].runner.core
        return core is not None and core.complete and core.state.offset >= agreed

    took = await complete.until(there, seconds=20, what=f"{name} caught up")
    pulls = Counter(kind for _, each, kind, _ in complete.process_events if each == name)["catching up"] - pulls_before
    complete.check_expectation(f"{name} caught up within {CATCH_UP_SECONDS} s: {took:.2f}", took <= CATCH_UP_SECONDS)
    complete.check_expectation(
        f"{name} pulled {PULLS_EACH_RETURN} times at the most: {pulls}", pulls <= PULLS_EACH_RETURN
    )


async def many_orders(complete: SimulatedDeployment) -> None:
    complete.checkpoint_records = CHECKPOINT_RECORDS
    await complete.start(bundle=False)
    watch = _ReplicaMonitor(complete=complete)
    watching = complete.create_task(watch.poll())
    actions = _OrderSender(complete=complete)
    senders = [complete.create_task(actions.send()) for _ in range(UNDER_WAY)]
    while actions.sent < ORDERS:
        for how in complete.random.sample(("restart", "wipe", "cut", "freeze"), 4):
            name = complete.random.choice(complete.core).store
            if complete.random.random() < 0.4 and complete.leader():
                name = complete.leader()
            await _away(complete, name, how)
            await _caught_up(complete, name)
            replica = int(name.rpartition("-")[2])
            await complete.until(lambda: complete.rejoined(replica), seconds=30, what=f"replica {replica} votes again")
    await asyncio.gather(*senders)
    await compare_replicas(complete)
    watching.cancel()
    complete.check_expectation(f"all orders are confirmed: {actions.confirmed}", actions.confirmed >= ORDERS)
    for machine in complete.core:
        state = complete.nodes[machine.store].runner.core.state
        revisions = [state.items[f"{SERVICE}:{name}"].revision for name in NAMES]
        complete.check_expectation(
            f"{machine.store} holds the newest of every item", min(revisions) > ORDERS - len(NAMES)
        )
        kept = list((complete.world.folder / f"data-{machine.replica}" / "checkpoints").iterdir())
        complete.check_expectation(
            f"{machine.store} keeps few checkpoints: {len(kept)}", len(kept) <= 3 + len(complete.core)
        )
    complete.check_expectation(f"logs stay short: {watch.longest_log}", watch.longest_log < 20 * CHECKPOINT_RECORDS)
