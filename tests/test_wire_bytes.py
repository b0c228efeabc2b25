"""Every message between processes is encoded in the bytes recorded from earlier commits.

`fixtures/wire-9c419a2/frames.txt` was recorded from the untouched code of that commit, before classes and fields were
renamed; `fixtures/wire-36db3d2/frames.txt` holds the messages that came with commit 36db3d2, and
`fixtures/wire-founding/frames.txt` those with which controllers check one another's disks. `fixtures/wire-zones` has
the one of these that got a field since; the frame without it is read, too. A line is a message's number in
mesh.thrift's union and the hex of a frame that carries a sample of it. A sample's values depend only on the types and
positions of its fields, so that no renaming changes them.
"""

from datetime import timedelta
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.rpc.codec import MESSAGES, mesh_thrift, pack, unpack_frame

FIXTURES = Path(__file__).parent / "fixtures"
RECORDED = tuple(FIXTURES / f"wire-{commit}" / "frames.txt" for commit in ("9c419a2", "36db3d2", "founding", "zones"))
# Messages that got fields since they were first recorded: the folder of the former frame, and what the fields are then.
FORMER: dict[int, tuple[str, dict[str, Any]]] = {44: ("founding", {"zone": ""})}
SENT_SECONDS = 1.5


def sample(hint: Any, seed: int) -> Any:
    """A value of the type that the hint names; nested fields get the numbers that follow the seed."""
    if hint is bool:
        return True
    if hint is int:
        return seed
    if hint is str:
        return f"text-{seed}"
    if hint is bytes:
        return bytes([seed % 256, 0, 255])
    if hint is timedelta:
        return timedelta(seconds=seed, microseconds=7)
    if get_origin(hint) is tuple:
        element = get_args(hint)[0]
        return tuple(sample(element, seed + position) for position in (1, 2))
    if get_origin(hint) is dict:
        key, value = get_args(hint)
        return {sample(key, seed): sample(value, seed + 1)}
    hints = get_type_hints(hint)
    return hint(*(sample(hints[name], seed + position) for position, name in enumerate(hint._fields, start=1)))


def frames_in(path: Path) -> dict[int, bytes]:
    """The frames in a file, by the message's number in the union."""
    lines = (line.split() for line in path.read_text().splitlines())
    return {int(number): bytes.fromhex(frame) for number, frame in lines}


def recorded_frames() -> dict[int, bytes]:
    """The newest recorded frame of each message, by its number in the union."""
    frames: dict[int, bytes] = {}
    for recorded in RECORDED:
        frames.update(frames_in(recorded))
    return frames


def message_kinds() -> dict[int, Any]:
    """The class of each message, by its number in the union."""
    return {number: MESSAGES[entry[2].__name__] for number, entry in mesh_thrift.Message.thrift_spec.items()}


class WireBytes(TestCase):
    def test_every_message_has_a_recorded_frame(self) -> None:
        self.assertThat(set(message_kinds()), Equals(set(recorded_frames())))

    def test_messages_are_written_as_recorded(self) -> None:
        frames = recorded_frames()
        for number, kind in message_kinds().items():
            data = pack(number=number, answer=number % 2 == 0, message=sample(kind, number), sent=SENT_SECONDS)
            self.assertThat(data.hex(), Equals(frames[number].hex()), kind.__name__)

    def test_recorded_frames_are_read(self) -> None:
        for number, kind in message_kinds().items():
            frame = unpack_frame(recorded_frames()[number])
            self.assertThat(tuple(frame), Equals((number, number % 2 == 0, sample(kind, number), SENT_SECONDS)))

    def test_a_former_releases_frames_are_read_with_the_defaults_of_newer_fields(self) -> None:
        for number, (folder, defaults) in FORMER.items():
            frame = unpack_frame(frames_in(FIXTURES / f"wire-{folder}" / "frames.txt")[number])
            expected = sample(message_kinds()[number], number)._replace(**defaults)
            self.assertThat(tuple(frame), Equals((number, number % 2 == 0, expected, SENT_SECONDS)))
