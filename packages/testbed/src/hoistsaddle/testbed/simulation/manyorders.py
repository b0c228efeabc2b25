"""Hundreds of large orders with a checkpoint every few dozen records, while core machines go and come back.

Whoever comes back has to catch up within a bound, in a bounded number of pulls, and no state ever goes back.
"""

import asyncio
from collections import Counter
from datetime import timedelta

from returns.result import Success

from hoistsaddle.config.items import SERVICE, Patch, Setting, pack_patch
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


class _Watch:
    """Looks at every core again and again: what one life applied must never shrink."""

    def __init__(self, *, whole: SimulatedDeployment) -> None:
        self.whole = whole
        self.applied: dict[object, int] = {}
        self.agreed = 0
        self.epoch = 0
        self.longest_log = 0

    async def look(self) -> None:
        while True:
            for machine in self.whole.core:
                if machine.warehouse in self.whole.lives and not self.whole.lives[machine.warehouse].dead:
                    self._look_at(machine.warehouse)
            await asyncio.sleep(0.02)

    def _look_at(self, name: str) -> None:
        core = self.whole.nodes[name].shell.core
        if core is None:
            return
        key = self.whole.lives[name]
        if core.state.offset < self.applied.get(key, 0):
            self.whole.promise(f"{name} never goes back", False)
        self.applied[key] = core.state.offset
        if core.standing == "leader" and core.epoch >= self.epoch:
            # The newest leader: all that was ever agreed lies in its log. One of an older epoch that doesn't know yet
            # agrees nothing any more.
            if core.last.offset < self.agreed:
                self.whole.promise(f"{name} never leads with old state", False)
            self.epoch = core.epoch
            self.agreed = max(self.agreed, core.high_watermark)
        self.longest_log = max(self.longest_log, len(core.log))


class _Desk:
    def __init__(self, *, whole: SimulatedDeployment) -> None:
        self.whole = whole
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
                await asyncio.sleep(self.whole.random.uniform(0.02, 0.1))
            self.confirmed += 1

    async def _try(self, name: str, number: int) -> bool:
        bourses = self.whole.live("bourse")
        if not bourses:
            return False
        bourse = self.whole.random.choice(bourses)
        body = {"name": name, "vitals_path": f"/{number}"}
        patch = Patch([Setting(SERVICE, number, body, f"{number} {PAGE}".encode())], [])
        command = PatchItems(f"order-{number}", "desk", "standing", pack_patch(patch), RESEND_SECONDS, 0)
        life = self.whole.lives[bourse]
        task = life.spawn(self.whole.nodes[bourse].writer.write(command, within=WRITE_SPAN))
        while not task.done() and not life.dead:
            await asyncio.wait([task], timeout=0.05)
        return task.done() and not task.cancelled() and isinstance(task.result(), Success)


async def _away(whole: SimulatedDeployment, name: str, how: str) -> None:
    random = whole.random
    replica = int(name.rpartition("-")[2])
    others = [each for each in whole.lives if each != name]
    seconds = random.uniform(0.5, 5)
    match how:
        case "restart":
            whole.kill(name)
            await asyncio.sleep(seconds)
            whole.restart(name)
        case "wipe":
            whole.kill(name)
            whole.wipe(replica)
            await asyncio.sleep(seconds)
            whole.restart(name)
        case "cut":
            whole.world.cut([name], others)
            await asyncio.sleep(seconds)
            whole.world.heal()
        case "freeze":
            whole.freeze(name)
            await asyncio.sleep(seconds)
            whole.wake(name)


async def _caught_up(whole: SimulatedDeployment, name: str) -> None:
    """Counts from the first moment at which it is back and somebody leads, until it has all that was agreed then."""
    await whole.until(lambda: whole.leader() is not None, seconds=10, what="somebody leads")
    agreed = whole.nodes[whole.leader()].shell.core.high_watermark
    pulls_before = Counter(kind for _, each, kind, _ in whole.happenings if each == name)["catching up"]

    def there() -> bool:
        core = whole.nodes[name].shell.core
        return core is not None and core.whole and core.state.offset >= agreed

    took = await whole.until(there, seconds=20, what=f"{name} caught up")
    pulls = Counter(kind for _, each, kind, _ in whole.happenings if each == name)["catching up"] - pulls_before
    whole.promise(f"{name} caught up within {CATCH_UP_SECONDS} s: {took:.2f}", took <= CATCH_UP_SECONDS)
    whole.promise(f"{name} pulled {PULLS_EACH_RETURN} times at the most: {pulls}", pulls <= PULLS_EACH_RETURN)


async def many_orders(whole: SimulatedDeployment) -> None:
    whole.checkpoint_records = CHECKPOINT_RECORDS
    await whole.start(bundle=False)
    watch = _Watch(whole=whole)
    watching = whole.keep(watch.look())
    desk = _Desk(whole=whole)
    senders = [whole.keep(desk.send()) for _ in range(UNDER_WAY)]
    while desk.sent < ORDERS:
        for how in whole.random.sample(("restart", "wipe", "cut", "freeze"), 4):
            name = whole.random.choice(whole.core).warehouse
            if whole.random.random() < 0.4 and whole.leader():
                name = whole.leader()
            await _away(whole, name, how)
            await _caught_up(whole, name)
            replica = int(name.rpartition("-")[2])
            await whole.until(lambda: whole.rejoined(replica), seconds=30, what=f"replica {replica} votes again")
    await asyncio.gather(*senders)
    await compare_replicas(whole)
    watching.cancel()
    whole.promise(f"all orders are confirmed: {desk.confirmed}", desk.confirmed >= ORDERS)
    for machine in whole.core:
        state = whole.nodes[machine.warehouse].shell.core.state
        revisions = [state.items[f"{SERVICE}:{name}"].revision for name in NAMES]
        whole.promise(f"{machine.warehouse} holds the newest of every item", min(revisions) > ORDERS - len(NAMES))
        kept = list((whole.world.folder / f"data-{machine.replica}" / "checkpoints").iterdir())
        whole.promise(f"{machine.warehouse} keeps few checkpoints: {len(kept)}", len(kept) <= 3 + len(whole.core))
    whole.promise(f"logs stay short: {watch.longest_log}", watch.longest_log < 20 * CHECKPOINT_RECORDS)
