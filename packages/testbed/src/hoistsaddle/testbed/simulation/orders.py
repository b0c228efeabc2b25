"""Operators' orders in a core that suffers: eight under way at once, two under one revision, each sent again and again.

An operator here sends an order unchanged, to any core machine, until there is a clear answer, and once more at any
later time: what was confirmed must be confirmed again, and the refused one of two rivals must stay refused.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from hoistsaddle.config.items import SERVICE, ItemDeletion, ItemUpsert, Patch, key_of, pack_patch
from hoistsaddle.statemachine.commands import Outcome, PatchItems
from hoistsaddle.statemachine.state import State
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios import compare_replicas, inject_core_faults

UNDER_WAY = 8
NAMES = tuple(f"service-{number}" for number in range(5))
FAULT_SECONDS = 20.0
WRITE_SPAN = timedelta(milliseconds=500)
# Seconds of mesh time, longer than the run: nothing is forgotten in it.
RESEND_SPAN = 600
CONFIRMED, REFUSED, UNCLEAR = "confirmed", "refused", "unclear"


class SentOrder(NamedTuple):
    """One order, and its content under each name's revision: None is a drop."""

    name: str
    items: tuple[tuple[str, int, str | None], ...]

    def command(self, *, request: str, seen: int) -> PatchItems:
        sets = [
            ItemUpsert(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
            for name, revision, content in self.items
            if content is not None
        ]
        drops = [ItemDeletion(SERVICE, revision, name) for name, revision, content in self.items if content is None]
        return PatchItems(request, "desk", "standing", pack_patch(Patch(sets, drops)), RESEND_SPAN, seen)


class OrderBook:
    """All orders that were sent and every clear answer to them."""

    def __init__(self, *, complete: SimulatedDeployment) -> None:
        self.complete = complete
        self.revision = 0
        self.orders: list[SentOrder] = []
        self.answers: dict[str, set[str]] = {}

    def draw(self) -> list[SentOrder]:
        """One order, or two rivals with the same revision of one item."""
        random = self.complete.random
        self.revision += random.randint(1, 3)
        rivals = 2 if random.random() < 0.5 else 1
        shared = random.choice(NAMES)
        drawn = []
        for _ in range(rivals):
            name = f"order-{next(self.complete.counter)}"
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
        """One call at one core machine; an answer may be lost on its way back."""
        complete = self.complete
        registries = complete.live("bourse")
        if not registries:
            return UNCLEAR
        name = complete.random.choice(registries)
        life, node = complete.processes[name], complete.nodes[name]
        core = complete.nodes[f"warehouse-{name.rpartition('-')[2]}"].runner.core
        seen = core.state.offset if core is not None else -1
        command = order.command(request=f"call-{next(complete.counter)}", seen=seen)
        task = life.spawn(node.writer.write(command, within=WRITE_SPAN))
        while not task.done() and not life.dead:
            await asyncio.wait([task], timeout=0.05)
        answer = _answer_of(task.result()) if task.done() else UNCLEAR
        if answer != UNCLEAR:
            self.answers.setdefault(order.name, set()).add(answer)
        return UNCLEAR if complete.random.random() < 0.5 else answer

    async def until_clear(self, order: SentOrder, *, end: float) -> str:
        answer = UNCLEAR
        while answer == UNCLEAR and self.complete.timestamp() < end:
            answer = await self.send(order)
            await asyncio.sleep(self.complete.random.uniform(0.0, 0.4))
        return answer


def _answer_of(result: Result[Outcome, object]) -> str:
    match result:
        case Success(Outcome(error="")):
            return CONFIRMED
        case Success(Outcome(error="item-conflict")):
            return REFUSED
        case Success(_) | Failure(_):
            return UNCLEAR
    raise AssertionError(f"no answer: {result}")


async def _operate(book: OrderBook, *, end: float) -> None:
    """One pair of operators: new orders, and old ones sent again at any later time."""
    random = book.complete.random
    while book.complete.timestamp() < end:
        if book.orders and random.random() < 0.4:
            await book.send(random.choice(book.orders))
        else:
            await asyncio.gather(*(book.until_clear(order, end=end) for order in book.draw()))
        await asyncio.sleep(random.uniform(0.0, 0.1))


def _contradictions(book: OrderBook, state: State) -> list[str]:
    """Clear answers that aren't true of each other, or of what stands."""
    found = []
    confirmed: dict[tuple[str, int], set[str | None]] = {}
    refused: set[str] = set()
    for order in book.orders:
        answers_given = book.answers.get(order.name, set())
        if len(answers_given) > 1:
            found.append(f"{order.name} was confirmed and refused")
        if CONFIRMED in answers_given:
            for name, revision, content in order.items:
                confirmed.setdefault((name, revision), set()).add(content)
        if REFUSED in answers_given:
            refused.add(order.name)
    found += [f"{name} at {revision} has two contents" for (name, revision), each in confirmed.items() if len(each) > 1]
    newest: dict[str, int] = {}
    for name, revision in confirmed:
        newest[name] = max(revision, newest.get(name, -1))
    for name, revision in newest.items():
        entry = state.items.get(key_of(SERVICE, name))
        if entry is None or entry.revision < revision:
            found.append(f"{name} at {revision} was confirmed and is lost")
        elif entry.revision == revision and confirmed[(name, revision)] != {_content(entry)}:
            found.append(f"{name} at {revision} stands with another content than was confirmed")
        if entry is not None and _content(entry) in refused:
            found.append(f"{name} at {entry.revision} stands as {_content(entry)}, which was refused")
    return found


def _content(entry) -> str | None:
    return None if entry.dropped else entry.source.decode()


async def orders_sent_again(complete: SimulatedDeployment) -> None:
    """Orders race, their answers are lost, their copies come at any later time: each clear answer stays true."""
    await complete.start(bundle=False)
    book = OrderBook(complete=complete)
    end = complete.timestamp() + FAULT_SECONDS
    # A pair of rivals for each two that may be under way.
    operators = [complete.create_task(_operate(book, end=end)) for _ in range(UNDER_WAY // 2)]
    await inject_core_faults(complete, end=end)
    await asyncio.gather(*operators)
    await compare_replicas(complete)
    leader = await _led(complete)
    for found in _contradictions(book, complete.nodes[leader].runner.core.state):
        complete.check_expectation(f"a clear answer stays true: {found}", False)
    # In calm times every order that was ever sent gets a clear answer, wherever it is sent, and the one it had.
    end = complete.timestamp() + 30
    calm = [book.until_clear(order, end=end) for order in book.orders]
    for place in range(0, len(calm), UNDER_WAY):
        answers = await asyncio.gather(*calm[place : place + UNDER_WAY])
        complete.check_expectation("in calm times each order gets a clear answer", UNCLEAR not in answers)
    for found in _contradictions(book, complete.nodes[leader].runner.core.state):
        complete.check_expectation(f"a clear answer stays true: {found}", False)
    answers_given = [answer for each in book.answers.values() for answer in each]
    complete.check_expectation("some orders are confirmed and some refused", {CONFIRMED, REFUSED} == set(answers_given))


async def _led(complete: SimulatedDeployment) -> str:
    await complete.until(lambda: complete.leader() is not None, seconds=20, what="a leader")
    return str(complete.leader())
