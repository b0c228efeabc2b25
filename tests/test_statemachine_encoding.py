"""Commands, states and reports keep the encoding that release 9c419a2 wrote.

The fixtures were recorded with that release. The tests guard against renamed Python classes or fields, or changed
messages, that would change bytes on disk or on the wire, or make replicas of two releases build different states.
"""

import gzip
import hashlib
import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import COMMANDS, pack_command, pack_outcome, tag_in, unpack_command
from hoistsaddle.statemachine.reports import holds_report, items_report, operators_report, state_report
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State, initial_state

FIXTURES = Path(__file__).parent / "fixtures" / "release-9c419a2"


def restore(value: Any) -> Any:
    """Decodes a field's value from the JSON of the fixture, which writes bytes as {"bytes": hex}."""
    if isinstance(value, dict) and value.keys() == {"bytes"}:
        return bytes.fromhex(value["bytes"])
    return value


class CommandEncoding(TestCase):
    """Compares with recorded commands: each was recorded with its required fields alone, and with every field set."""

    def setUp(self) -> None:
        super().setUp()
        self.recorded = json.loads((FIXTURES / "commands.json").read_text())

    def test_every_command_is_recorded(self) -> None:
        self.assertThat({each["tag"] for each in self.recorded}, Equals(set(COMMANDS)))

    def test_commands_pack_to_the_recorded_bytes(self) -> None:
        for each in self.recorded:
            command = COMMANDS[each["tag"]](*map(restore, each["values"]))
            self.assertThat(pack_command(command).hex(), Equals(each["packed"]), each["tag"])

    def test_recorded_bytes_unpack_to_the_same_fields(self) -> None:
        for each in self.recorded:
            command = COMMANDS[each["tag"]](*map(restore, each["values"]))
            self.assertThat(unpack_command(bytes.fromhex(each["packed"])), Equals(command), each["tag"])

    def test_the_tag_is_read_without_unpacking_the_command(self) -> None:
        for each in self.recorded:
            self.assertThat(tag_in(bytes.fromhex(each["packed"])), Equals(each["tag"]))
        self.assertThat((tag_in(b""), tag_in(b"\x92")), Equals(("", "")))


class RecordedLog(TestCase):
    """Replays a recorded log with every command at every release level, accepted and rejected.

    The recording has the outcome of each record and a digest of the state after it.
    """

    def setUp(self) -> None:
        super().setUp()
        recorded = json.loads(gzip.decompress((FIXTURES / "log.json.gz").read_bytes()))
        self.records: list[dict] = recorded["records"]
        self.marks: dict[int, dict] = {mark["records"]: mark for mark in recorded["marks"]}

    def test_replaying_the_log_gives_the_recorded_outcomes_states_and_reports(self) -> None:
        operators = {"ada": "a" * 64, "ben": "b" * 64, "cy": "c" * 64}
        state = initial_state(mesh="m", voters={1: "one", 2: "two"}, operators=operators)
        for number, record in enumerate(self.records, start=1):
            payload = bytes.fromhex(record["payload"])
            stamp = timedelta(seconds=record["seconds"])
            state, outcome = apply(state, offset=state.offset + 1, epoch=1, stamp=stamp, payload=payload)
            # Messages and remedies must be equal too, as outcomes are stored in the state.
            recorded = msgspec.msgpack.decode(bytes.fromhex(record["outcome"]))
            self.assertThat(list(outcome), Equals(recorded), f"record {number}")
            self.assertThat(pack_outcome(outcome).hex(), Equals(record["outcome"]), f"record {number}")
            packed = pack_state(state)
            self.assertThat(hashlib.sha256(packed).hexdigest(), Equals(record["state"]), f"record {number}")
            if number in self.marks:
                self.check_mark(state, packed, self.marks[number])
        self.assertThat(len(self.records), Equals(max(self.marks)))

    def check_mark(self, state: State, packed: bytes, mark: dict) -> None:
        self.assertThat(packed.hex(), Equals(mark["state"]))
        items = data_plane_items(state)
        self.assertThat(list(digests_of(items)), Equals(mark["data plane"]))
        in_order = hashlib.sha256(msgspec.msgpack.encode(list(items.items()))).hexdigest()
        self.assertThat(in_order, Equals(mark["news"]))
        reports = [
            json.loads(msgspec.json.encode(report(state)))
            for report in (state_report, items_report, holds_report, operators_report)
        ]
        self.assertThat(reports, Equals(mark["reports"]))

    def test_recorded_states_unpack_and_pack_to_the_same_bytes(self) -> None:
        for mark in self.marks.values():
            data = bytes.fromhex(mark["state"])
            self.assertThat(pack_state(unpack_state(data)) == data, Equals(True), f"level {mark['level']}")

    def test_the_log_holds_every_command_and_every_level(self) -> None:
        tags = {msgspec.msgpack.decode(bytes.fromhex(record["payload"]))[0] for record in self.records}
        self.assertThat(set(COMMANDS) - tags, Equals(set()))
        self.assertThat({mark["level"] for mark in self.marks.values()}, Equals({1, 2, 3, 4}))
