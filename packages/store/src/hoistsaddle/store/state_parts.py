"""The parts of the state that a store returns for confirmed reads, encoded for the wire."""

from enum import StrEnum

import msgspec

from hoistsaddle.rpc.messages import UNSET, ReadAnswer
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.reports import holds_report, items_report, operators_report, state_report
from hoistsaddle.statemachine.state import State


class StatePart(StrEnum):
    """The parts that a read may request; the values are their names on the wire."""

    # The mesh's id and the data plane's items, as MessagePack; empty unless newer than the reader's revision.
    CONFIGURATION = "news"
    # Reports for operators, as JSON.
    STATE_REPORT = "setup"
    OPERATORS = "operators"
    OPERATORS_REPORT = "changes"
    ITEMS_REPORT = "standing"
    HOLDS_REPORT = "holds"
    # The kind, name, revision and source of every item in force, as MessagePack.
    ITEMS = "items"


class StateReader:
    """Encodes parts of a state."""

    def __init__(self) -> None:
        """Initializes the reader without cached digests."""
        # The digests of the last configuration read and its revision; cached until the revision changes.
        self._digests: tuple[int, tuple[int, ...]] = (UNSET, ())

    def read(self, part: str, *, known_revision: int, leader: int, state: State) -> ReadAnswer:
        """Returns the answer to a read.

        Args:
            part: A value of StatePart; for any other value the answer has no content.
            known_revision: The revision of the configuration that the reader already has.
            leader: The leader that confirmed the state.
            state: The confirmed state.
        """
        content = b""
        digests: tuple[int, ...] = ()
        match part:
            case StatePart.CONFIGURATION:
                digests = self._digests_of(state)
                if state.data_plane_revision > known_revision:
                    content = msgspec.msgpack.encode([state.mesh, data_plane_items(state)])
            case StatePart.STATE_REPORT:
                content = msgspec.json.encode(state_report(state))
            case StatePart.OPERATORS:
                content = msgspec.json.encode(dict(state.operators))
            case StatePart.OPERATORS_REPORT:
                content = msgspec.json.encode(operators_report(state))
            case StatePart.ITEMS_REPORT:
                content = msgspec.json.encode(items_report(state))
            case StatePart.ITEMS:
                content = _items(state)
            case StatePart.HOLDS_REPORT:
                content = msgspec.json.encode(holds_report(state))
        return ReadAnswer("", leader, state.data_plane_revision, state.offset, content, digests, state.epoch)

    def _digests_of(self, state: State) -> tuple[int, ...]:
        if self._digests[0] != state.data_plane_revision:
            self._digests = (state.data_plane_revision, digests_of(data_plane_items(state)))
        return self._digests[1]


def _items(state: State) -> bytes:
    return msgspec.msgpack.encode(
        [
            (*key.split(":", 1), item.revision, item.source)
            for key, item in sorted(state.items.items())
            if not item.dropped
        ]
    )
