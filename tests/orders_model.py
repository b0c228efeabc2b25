"""An exhaustive model of operators' changes of items, whose checks are independent of the state machine under test.

The model explores all sequences, up to a length, of copies of two operators' orders: with resends, deletions, copies
sent before a rejection, resend windows that expire, and a snapshot before each record. A sequence stands for what lost
answers, cut-off leaders and changes of the leader can do: a copy is logged once, several times or never. Every answer
counts as received, so whatever holds for all answers also holds when some are lost.
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

# The resend window of an order, and the interval between two records, in seconds of mesh time.
RESEND_SECONDS = 60
STEP_SECONDS = 1
CONFIRMED, REJECTED, UNSURE = "confirmed", "refused", "unsure"
REJECTIONS = ("item-conflict", "item-broken")


class ModelOrder(NamedTuple):
    """One order: the key, revision and content of each item, with None as the content of a deleted item."""

    name: str
    items: tuple[tuple[str, int, str | None], ...]
    # Whether the copy was sent before all records; otherwise its sender has just read the newest state.
    early: bool = True

    def payload(self, *, seen: int) -> bytes:
        upserts, deletions = [], []
        for key, revision, content in self.items:
            kind, _, name = key.partition(":")
            if content is None:
                deletions.append(ItemDeletion(SERVICE if kind == SERVICE else ENTRY, revision, name))
            elif kind == SERVICE:
                upserts.append(
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
                upserts.append(ItemUpsert(ENTRY, revision, item, content.encode()))
        patch = pack_patch(Patch(upserts, deletions))
        return pack_command(PatchItems("request", "desk", "standing", patch, RESEND_SECONDS, 0 if self.early else seen))


X, Y, Z, W = (key_of(SERVICE, name) for name in "xyzw")
E = key_of(ENTRY, "e")
ORDERS = (
    ModelOrder("first", ((X, 1, "a"), (Y, 1, "a"))),
    # The other operator's order, with the same revision of one item.
    ModelOrder("rival", ((X, 1, "b"), (Z, 1, "b"))),
    ModelOrder("later", ((X, 2, "c"),)),
    ModelOrder("drop", ((X, 2, None),)),
    ModelOrder("entry", ((E, 1, "w"),)),
    ModelOrder("entry", ((E, 1, "w"),), early=False),
    ModelOrder("its service", ((W, 1, "w"),)),
    ModelOrder("service dropped", ((W, 2, None),)),
)
# Advances mesh time until all resend windows have expired.
WAIT = ModelOrder("wait", ())


class PatchAnswer(NamedTuple):
    """The answer to an order, and the offset of its record."""

    offset: int
    answer: str


class Path(NamedTuple):
    """One sequence of records: the resulting state and all answers."""

    state: State
    answers: tuple[tuple[ModelOrder, PatchAnswer], ...] = ()
    # The offset of the newest WAIT record.
    waited: int = 0


def answer_of(outcome: Outcome) -> str:
    """Returns how an operator interprets an outcome."""
    if not outcome.error:
        return CONFIRMED
    return REJECTED if outcome.error in REJECTIONS else UNSURE


def start(*, level: int) -> Path:
    """Returns the path without records, at a release level."""
    return Path(initial_state(mesh="m", voters={1: "one"}, operators={}, level=level))


def follow(path: Path, order: ModelOrder) -> Path:
    """Returns the path extended by a record, which is applied to the state as restored from a snapshot."""
    state = unpack_state(pack_state(path.state))
    if state != path.state:
        raise AssertionError("the state restored from a snapshot differs")
    offset = state.offset + 1
    if order is WAIT:
        later = state.mesh_time + timedelta(seconds=10 * RESEND_SECONDS)
        state, _ = apply(state, offset=offset, epoch=1, stamp=later, payload=pack_command(Tick(1)))
        return path._replace(state=state, waited=offset)
    stamp = state.mesh_time + timedelta(seconds=STEP_SECONDS)
    payload = order.payload(seen=path.state.offset)
    state, outcome = apply(state, offset=offset, epoch=1, stamp=stamp, payload=payload)
    return path._replace(state=state, answers=(*path.answers, (order, PatchAnswer(offset, answer_of(outcome)))))


# -- invariants of every path -------------------------------------------------------------------------------------


def one_content(path: Path, before: Path) -> str:
    """Checks that each revision of an item is confirmed with one content only."""
    contents: dict[tuple[str, int], set[str | None]] = {}
    for order, answer in path.answers:
        if answer.answer == CONFIRMED:
            for key, revision, content in order.items:
                contents.setdefault((key, revision), set()).add(content)
    twice = {place: found for place, found in contents.items() if len(found) > 1}
    return f"confirmed with two contents: {twice}" if twice else ""


def accepted_never_refused(path: Path, before: Path) -> str:
    """Checks that a confirmed order is confirmed again, or is left unclear after its resend window has expired."""
    if len(path.answers) == len(before.answers):
        return ""
    order, answer = path.answers[-1]
    confirmed = [each.offset for other, each in before.answers if other.name == order.name and each.answer == CONFIRMED]
    if confirmed and answer.answer == REJECTED:
        return f"{order.name} was confirmed and is rejected"
    if confirmed and max(confirmed) > path.waited and answer.answer != CONFIRMED:
        return f"{order.name} was confirmed within its resend window and is {answer.answer}"
    return ""


def refused_never_counts(path: Path, before: Path) -> str:
    """Checks that a rejected order isn't confirmed by an earlier copy; a renewed copy of it may be confirmed."""
    if len(path.answers) == len(before.answers):
        return ""
    order, answer = path.answers[-1]
    earlier = [each for other, each in before.answers if other.name == order.name]
    # If a renewed copy was confirmed since the rejection, an early copy may be too: only the last answer counts.
    rejected = bool(earlier) and earlier[-1].answer == REJECTED
    renewed = not order.early and order.name == "entry"
    # A rejection of "entry" must hold only as long as copies may be in flight.
    still_binding = bool(earlier) and (order.name != "entry" or earlier[-1].offset > path.waited)
    if rejected and still_binding and answer.answer == CONFIRMED and not renewed:
        return f"{order.name} was rejected and is confirmed"
    return ""


def highest_stands(path: Path, before: Path) -> str:
    """Checks that the state has only the highest confirmed revision of each item, with the content that was sent."""
    expected: dict[str, tuple[int, str | None]] = {}
    for order, answer in path.answers:
        if answer.answer == CONFIRMED:
            for key, revision, content in order.items:
                if revision > expected.get(key, (-1, None))[0]:
                    expected[key] = (revision, content)
    actual = {
        key: (item.revision, None if item.dropped else item.source.decode()) for key, item in path.state.items.items()
    }
    return "" if actual == expected else f"the state has {actual}, confirmed was {expected}"


CHECKS: tuple[Callable[[Path, Path], str], ...] = (
    one_content,
    accepted_never_refused,
    refused_never_counts,
    highest_stands,
)


class Explored(NamedTuple):
    """The extent of an exploration, and the first sequence that violates each check."""

    depth: int
    states: int
    broken: dict[str, str]


def explore(*, orders: tuple[ModelOrder, ...], depth: int, level: int) -> Explored:
    """Explores every sequence of these orders up to a length."""
    broken: dict[str, str] = {}
    states = 0
    for before, path in _paths(start(level=level), orders, depth):
        states += 1
        for each in CHECKS:
            if each.__name__ not in broken and (found := each(path, before)):
                steps = ", ".join(
                    f"{order.name}{'' if order.early else ' renewed'}: {answer.answer}"
                    for order, answer in path.answers
                )
                broken[each.__name__] = f"{found} [{steps}; waited at {path.waited}]"
    return Explored(depth, states, broken)


def _paths(before: Path, orders: tuple[ModelOrder, ...], depth: int) -> Iterator[tuple[Path, Path]]:
    for order in orders:
        path = follow(before, order)
        yield before, path
        if depth > 1:
            yield from _paths(path, orders, depth - 1)
