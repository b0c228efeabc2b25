"""The message classes match mesh.thrift, and messages are unchanged after encoding and decoding."""

from datetime import timedelta
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from hoistsaddle.rpc.codec import MESSAGES, mesh_thrift, pack, tag_of, unpack
from hoistsaddle.rpc.message_names import counted_name
from hoistsaddle.rpc.messages import BundleForwardCall, FetchAnswer, Record


class ThriftMessages(TestCase):
    def test_tuples_match_the_thrift_file(self) -> None:
        for name, kind in MESSAGES.items():
            fields = [entry[1] for _, entry in sorted(getattr(mesh_thrift, name).thrift_spec.items())]
            self.assertThat(fields, Equals(list(kind._fields)), name)
        tags = {entry[1] for entry in mesh_thrift.Message.thrift_spec.values()}
        self.assertThat(tags <= {tag_of(kind) for kind in MESSAGES.values()}, Equals(True))

    def test_a_message_that_only_a_newer_release_knows_is_ignored(self) -> None:
        number, answer, message = unpack(
            serialize(
                mesh_thrift.Frame(number=4, answer=False, message=mesh_thrift.Message()), TCyBinaryProtocolFactory()
            )
        )
        self.assertThat((number, answer, message), Equals((4, False, None)))

    def test_messages_are_unchanged_after_encoding_and_decoding(self) -> None:
        for message in (
            FetchAnswer("", 3, 1, 7, 2, (Record(8, 3, timedelta(seconds=1.5), b"\x00\xff"),), round=4),
            BundleForwardCall(
                "s",
                "visitors",
                "v",
                "ledger",
                "stall-01",
                "i",
                1,
                "pay",
                timedelta(milliseconds=250),
                "POST",
                "/pay",
                {"A": "b"},
                b"\xff",
                "h c",
                10,
            ),
        ):
            self.assertThat(unpack(pack(number=9, answer=True, message=message)), Equals((9, True, message)))

    def test_counters_keep_the_names_of_renamed_messages(self) -> None:
        recorded = Path(__file__).parent / "fixtures" / "wire-9c419a2" / "call_names.txt"
        for line in recorded.read_text().splitlines():
            number, name = line.split()
            struct = mesh_thrift.Message.thrift_spec[int(number)][2]
            message = MESSAGES[struct.__name__]._make([None] * len(MESSAGES[struct.__name__]._fields))
            self.assertThat(counted_name(message), Equals(name))
