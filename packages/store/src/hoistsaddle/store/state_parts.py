"""The parts of the state that a store gives to confirmed reads, encoded for the wire."""

from enum import StrEnum

import msgspec

from hoistsaddle.rpc.messages import UNSET, ReadAnswer
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.reports import holds_report, items_report, operators_report, state_report
from hoistsaddle.statemachine.state import State


class StatePart(StrEnum):
    """What a read may ask for; the values are their names on the wire."""

    # What proxies need, as msgpack of the mesh's name and the items; only if it is newer than the reader's revision.
    CONFIGURATION = "news"
    # Reports for operators, as JSON.
    STATE_REPORT = "setup"
    OPERATORS = "operators"
    OPERATORS_REPORT = "changes"
    ITEMS_REPORT = "standing"
    HOLDS_REPORT = "holds"
    # Kind, name, revision and source of every item, as msgpack.
    ITEMS = "items"


class StateReader:
    """Encodes parts of a state."""

    def __init__(self) -> None:
        """Begins without digests."""
        # Of the newest configuration, by its revision, so that a read costs no digests while nothing changes.
        self._digests: tuple[int, tuple[int, ...]] = (UNSET, ())

    def read(self, part: str, *, known_revision: int, leader: int, state: State) -> ReadAnswer:
        """The answer to a read.

        Args:
            part: One of StatePart; of any other the answer says only the revision.
            known_revision: The revision of the configuration that the reader has.
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
