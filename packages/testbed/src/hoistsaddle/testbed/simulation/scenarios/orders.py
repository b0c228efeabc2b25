"""Orders of operators while the core is under faults: eight in flight at once, two of them with the same revision.

An order is a change of configuration items. An operator sends it unchanged, to any core machine, until there is a clear
answer, and again at any later time: a confirmed order must be confirmed again, and the rejected one of two rivals must
stay rejected.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from hoistsaddle.config.items import SERVICE, ItemDeletion, ItemUpsert, Patch, key_of, pack_patch
from hoistsaddle.statemachine.commands import Outcome, PatchItems
from hoistsaddle.statemachine.state import State
from hoistsaddle.testbed.process_names import REGISTRY, replica_of, store_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.core import compare_replicas, inject_core_faults

ORDERS_IN_FLIGHT = 8
NAMES = tuple(f"service-{number}" for number in range(5))
FAULT_SECONDS = 20.0
WRITE_TIMEOUT = timedelta(milliseconds=500)
# Longer than the run, so that no order is forgotten during it.
RESEND_WINDOW_SECONDS = 600
CONFIRMED, REJECTED, UNCLEAR = "confirmed", "refused", "unclear"


class SentOrder(NamedTuple):
    """One order: the name, revision and content of each item, with None as the content of a deleted item."""

    name: str
    items: tuple[tuple[str, int, str | None], ...]

    def command(self, *, request: str, seen: int) -> PatchItems:
        """Returns the command that proposes this order.

        Args:
            request: the id of this copy of the order.
            seen: the offset up to which the sender had read the log.
        """
        sets = [
            ItemUpsert(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
            for name, revision, content in self.items
            if content is not None
        ]
        drops = [ItemDeletion(SERVICE, revision, name) for name, revision, content in self.items if content is None]
        return PatchItems(request, "desk", "standing", pack_patch(Patch(sets, drops)), RESEND_WINDOW_SECONDS, seen)


class OrderBook:
    """The orders that were sent and all clear answers to them."""

    def __init__(self, *, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.revision = 0
        self.orders: list[SentOrder] = []
        self.answers: dict[str, set[str]] = {}

    def draw(self) -> list[SentOrder]:
        """Draws one order, or two rivals with the same revision of one item."""
        random = self.simulation.random
        self.revision += random.randint(1, 3)
        rivals = 2 if random.random() < 0.5 else 1
        shared = random.choice(NAMES)
        drawn = []
        for _ in range(rivals):
            name = f"order-{next(self.simulation.counter)}"
            others = random.sample([each for each in NAMES if each != shared], random.randint(0, 2))
            drawn.append(
                SentOrder(
                    name,
                    tuple((item, self.revision, None if random.random() < 0.2 else name) for item in (shared, *others)),
                )
            )
        self.orders += drawn
        return drawn

    async def send(self, order: SentOrder) -> str:
        """Sends an order to one core machine once; the answer is lost in half of the cases."""
        simulation = self.simulation
        registries = simulation.processes.running(REGISTRY)
        if not registries:
            return UNCLEAR
        name = simulation.random.choice(registries)
        process, node = simulation.processes.by_name[name], simulation.processes.nodes[name]
        core = simulation.processes.nodes[store_name(replica_of(name))].runner.core
        seen = core.state.offset if core is not None else -1
        command = order.command(request=f"call-{next(simulation.counter)}", seen=seen)
        task = process.spawn(node.writer.write(command, within=WRITE_TIMEOUT))
        while not task.done() and not process.dead:
            await asyncio.wait([task], timeout=0.05)
        answer = _answer_of(task.result()) if task.done() else UNCLEAR
        if answer != UNCLEAR:
            self.answers.setdefault(order.name, set()).add(answer)
        return UNCLEAR if simulation.random.random() < 0.5 else answer

    async def send_until_clear(self, order: SentOrder, *, end: float) -> str:
        """Sends an order repeatedly until there is a clear answer or `end` has passed."""
        answer = UNCLEAR
        while answer == UNCLEAR and self.simulation.now() < end:
            answer = await self.send(order)
            await asyncio.sleep(self.simulation.random.uniform(0.0, 0.4))
        return answer


def _answer_of(result: Result[Outcome, object]) -> str:
    match result:
        case Success(Outcome(error="")):
            return CONFIRMED
        case Success(Outcome(error="item-conflict")):
            return REJECTED
        case Success(_) | Failure(_):
            return UNCLEAR
    raise AssertionError(f"not a result of a write: {result}")


async def _act_for_operators(book: OrderBook, *, end: float) -> None:
    """Acts for a pair of operators: sends new orders, and old ones again at random later times."""
    random = book.simulation.random
    while book.simulation.now() < end:
        if book.orders and random.random() < 0.4:
            await book.send(random.choice(book.orders))
        else:
            await asyncio.gather(*(book.send_until_clear(order, end=end) for order in book.draw()))
        await asyncio.sleep(random.uniform(0.0, 0.1))


def _find_contradictions(book: OrderBook, state: State) -> list[str]:
    """Returns descriptions of clear answers that contradict each other or the state."""
    found = []
    confirmed: dict[tuple[str, int], set[str | None]] = {}
    rejected_orders: set[str] = set()
    for order in book.orders:
        answers_given = book.answers.get(order.name, set())
        if len(answers_given) > 1:
            found.append(f"{order.name} was confirmed and rejected")
        if CONFIRMED in answers_given:
            for name, revision, content in order.items:
                confirmed.setdefault((name, revision), set()).add(content)
        if REJECTED in answers_given:
            rejected_orders.add(order.name)
    found += [
        f"{name} at revision {revision} was confirmed with two contents"
        for (name, revision), each in confirmed.items()
        if len(each) > 1
    ]
    newest: dict[str, int] = {}
    for name, revision in confirmed:
        newest[name] = max(revision, newest.get(name, -1))
    for name, revision in newest.items():
        item = state.items.get(key_of(SERVICE, name))
        if item is None or item.revision < revision:
            found.append(f"{name} at revision {revision} was confirmed and is lost")
        elif item.revision == revision and confirmed[(name, revision)] != {_content(item)}:
            found.append(f"{name} at revision {revision} has a different content from the confirmed one")
        if item is not None and _content(item) in rejected_orders:
            found.append(f"{name} at revision {item.revision} has the content {_content(item)}, which was rejected")
    return found


def _content(item) -> str | None:
    return None if item.dropped else item.source.decode()


async def orders_sent_again(simulation: SimulatedDeployment) -> None:
    """Orders race, answers are lost and copies arrive at any later time; every clear answer stays valid."""
    await simulation.start(bundle=False)
    book = OrderBook(simulation=simulation)
    end = simulation.now() + FAULT_SECONDS
    # Each task has at most two orders in flight, the two rivals.
    operators = [simulation.create_task(_act_for_operators(book, end=end)) for _ in range(ORDERS_IN_FLIGHT // 2)]
    await inject_core_faults(simulation, end=end)
    await asyncio.gather(*operators)
    await compare_replicas(simulation)
    leader = await simulation.wait_for_leader(seconds=20)
    for found in _find_contradictions(book, simulation.processes.nodes[leader].runner.core.state):
        simulation.expect(f"clear answers stay valid: {found}", False)
    # Without faults every order gets a clear answer from any registry, the same as any earlier one.
    end = simulation.now() + 30
    resent = [book.send_until_clear(order, end=end) for order in book.orders]
    for start in range(0, len(resent), ORDERS_IN_FLIGHT):
        answers = await asyncio.gather(*resent[start : start + ORDERS_IN_FLIGHT])
        simulation.expect("without faults, each order gets a clear answer", UNCLEAR not in answers)
    for found in _find_contradictions(book, simulation.processes.nodes[leader].runner.core.state):
        simulation.expect(f"clear answers stay valid: {found}", False)
    answers_given = [answer for each in book.answers.values() for answer in each]
    simulation.expect("some orders are confirmed and some rejected", {CONFIRMED, REJECTED} == set(answers_given))
