"""Operators' changes of items as a model, independent of the state machine that it checks.

A small space is explored exhaustively: two operators' changes in every sequence of copies, with resends, drops, copies
sent before a refusal, resend windows that pass, and a snapshot before each record. Which of them the log gets, and in
which order, is what lost answers, cut-off leaders and changes of the leader come to: a copy is logged, again, or never.
Every answer counts as received, so whatever holds of all of them holds when some are lost.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.config.items import ENTRY, SERVICE, ItemDeletion, ItemUpsert, Patch, key_of, pack_patch
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import Outcome, PatchItems, Tick
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State, initial_state

# Seconds of mesh time for which an order may be sent again, and between two records.
SPAN = 60
STEP = 1
CONFIRMED, REFUSED, UNSURE = "confirmed", "refused", "unsure"
REFUSALS = ("item-conflict", "item-broken")


class ModelOrder(NamedTuple):
    """One order: what each item's revision is set to, None where it is dropped."""

    name: str
    items: tuple[tuple[str, int, str | None], ...]
    # A copy that set out before all else, or one that its sender made a moment ago.
    early: bool = True

    def payload(self, *, seen: int) -> bytes:
        sets, drops = [], []
        for key, revision, content in self.items:
            kind, _, name = key.partition(":")
            if content is None:
                drops.append(ItemDeletion(SERVICE if kind == SERVICE else ENTRY, revision, name))
            elif kind == SERVICE:
                sets.append(
                    ItemUpsert(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
                )
            else:
                item: dict[str, Any] = {
                    "name": name,
                    "host": "shop.example",
                    "prefix": f"/{name}/",
                    "kind": "repeatable",
                    "parts": [{"service": content}],
                    "hold_seconds": 2.0,
                    "aim_seconds": 0.5,
                }
                sets.append(ItemUpsert(ENTRY, revision, item, content.encode()))
        patch = pack_patch(Patch(sets, drops))
        return pack_command(PatchItems("request", "desk", "standing", patch, SPAN, 0 if self.early else seen))


X, Y, Z, W = (key_of(SERVICE, name) for name in "xyzw")
E = key_of(ENTRY, "e")
ORDERS = (
    ModelOrder("first", ((X, 1, "a"), (Y, 1, "a"))),
    # The other operator's, under the same revision of one item.
    ModelOrder("rival", ((X, 1, "b"), (Z, 1, "b"))),
    ModelOrder("later", ((X, 2, "c"),)),
    ModelOrder("drop", ((X, 2, None),)),
    ModelOrder("entry", ((E, 1, "w"),)),
    ModelOrder("entry", ((E, 1, "w"),), early=False),
    ModelOrder("its service", ((W, 1, "w"),)),
    ModelOrder("service dropped", ((W, 2, None),)),
)
# Every resend window is long over by then.
WAIT = ModelOrder("wait", ())


class PatchAnswer(NamedTuple):
    """What a change was answered, and at which offset."""

    offset: int
    answer: str


class Path(NamedTuple):
    """One sequence of records: the state it leads to, and all answers on the way."""

    state: State
    answers: tuple[tuple[ModelOrder, PatchAnswer], ...] = ()
    # The offset of the newest wait.
    waited: int = 0


def answer_of(outcome: Outcome) -> str:
    """What an operator makes of an outcome."""
    if not outcome.error:
        return CONFIRMED
    return REFUSED if outcome.error in REFUSALS else UNSURE


def start(*, level: int) -> Path:
    """The path without records, at a release level."""
    return Path(initial_state(mesh="m", voters={1: "one"}, operators={}, level=level))


def follow(path: Path, order: ModelOrder) -> Path:
    """One more record, applied to the state as a snapshot brought it."""
    state = unpack_state(pack_state(path.state))
    if state != path.state:
        raise AssertionError("a snapshot is another state")
    offset = state.offset + 1
    if order is WAIT:
        later = state.mesh_time + timedelta(seconds=10 * SPAN)
        state, _ = apply(state, offset=offset, epoch=1, stamp=later, payload=pack_command(Tick(1)))
        return path._replace(state=state, waited=offset)
    stamp = state.mesh_time + timedelta(seconds=STEP)
    payload = order.payload(seen=path.state.offset)
    state, outcome = apply(state, offset=offset, epoch=1, stamp=stamp, payload=payload)
    return path._replace(state=state, answers=(*path.answers, (order, PatchAnswer(offset, answer_of(outcome)))))


# -- invariants of every path -------------------------------------------------------------------------------------


def one_content(path: Path, before: Path) -> str:
    """One revision of an item is confirmed with one content."""
    contents: dict[tuple[str, int], set[str | None]] = {}
    for order, answer in path.answers:
        if answer.answer == CONFIRMED:
            for key, revision, content in order.items:
                contents.setdefault((key, revision), set()).add(content)
    twice = {place: found for place, found in contents.items() if len(found) > 1}
    return f"confirmed with two contents: {twice}" if twice else ""


def accepted_never_refused(path: Path, before: Path) -> str:
    """What was confirmed once is confirmed again, or, when all resend windows are over, left without a clear answer."""
    if len(path.answers) == len(before.answers):
        return ""
    order, answer = path.answers[-1]
    confirmed = [each.offset for other, each in before.answers if other.name == order.name and each.answer == CONFIRMED]
    if confirmed and answer.answer == REFUSED:
        return f"{order.name} was confirmed and is refused"
    if confirmed and max(confirmed) > path.waited and answer.answer != CONFIRMED:
        return f"{order.name} was confirmed a moment ago and is {answer.answer}"
    return ""


def refused_never_counts(path: Path, before: Path) -> str:
    """What was refused isn't confirmed by a copy that had set out before; an order made anew may be."""
    if len(path.answers) == len(before.answers):
        return ""
    order, answer = path.answers[-1]
    earlier = [each for other, each in before.answers if other.name == order.name]
    # A copy of one that was taken since, by an order made anew, is that order's.
    refused = bool(earlier) and earlier[-1].answer == REFUSED
    renewed = not order.early and order.name == "entry"
    # For as long as its copies may be under way.
    lately = bool(earlier) and (order.name != "entry" or earlier[-1].offset > path.waited)
    if refused and lately and answer.answer == CONFIRMED and not renewed:
        return f"{order.name} was refused and is confirmed"
    return ""


def highest_stands(path: Path, before: Path) -> str:
    """Of each name stands the highest revision that was confirmed, as it was sent; nothing of what was not."""
    wanted: dict[str, tuple[int, str | None]] = {}
    for order, answer in path.answers:
        if answer.answer == CONFIRMED:
            for key, revision, content in order.items:
                if revision > wanted.get(key, (-1, None))[0]:
                    wanted[key] = (revision, content)
    stands = {
        key: (item.revision, None if item.dropped else item.source.decode()) for key, item in path.state.items.items()
    }
    return "" if stands == wanted else f"stands {stands}, confirmed was {wanted}"


CHECKS: tuple[Callable[[Path, Path], str], ...] = (
    one_content,
    accepted_never_refused,
    refused_never_counts,
    highest_stands,
)


class Explored(NamedTuple):
    """How much was gone through, and the first sequence that broke each check."""

    depth: int
    states: int
    broken: dict[str, str]


def explore(*, orders: tuple[ModelOrder, ...], depth: int, level: int) -> Explored:
    """Every sequence of these orders up to a length."""
    broken: dict[str, str] = {}
    states = 0
    for before, path in _paths(start(level=level), orders, depth):
        states += 1
        for each in CHECKS:
            if each.__name__ not in broken and (found := each(path, before)):
                steps = ", ".join(
                    f"{order.name}{'' if order.early else ' anew'}: {answer.answer}" for order, answer in path.answers
                )
                broken[each.__name__] = f"{found} [{steps}; waited at {path.waited}]"
    return Explored(depth, states, broken)


def _paths(before: Path, orders: tuple[ModelOrder, ...], depth: int) -> Iterator[tuple[Path, Path]]:
    for order in orders:
        path = follow(before, order)
        yield before, path
        if depth > 1:
            yield from _paths(path, orders, depth - 1)
