"""Requests are split into heads and body data, however their bytes are divided, and every piece is bounded."""

import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.proxy.http_framing import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    BodyReceived,
    HeadReceived,
    MalformedBody,
    MessageFraming,
    TrailersTooLarge,
)

MANY_PIECES = 100_000
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n\r\n"


def body_in_chunks(payload: bytes, *, sizes: list[int], extension: bytes = b"", trailers: bytes = b"") -> bytes:
    """A payload in chunks of these sizes, the last of which takes the rest."""
    coded, position = b"", 0
    for size in sizes:
        part = payload[position : position + size]
        if part:
            coded += b"%X%b\r\n%b\r\n" % (len(part), extension, part)
        position += size
    rest = payload[position:]
    if rest:
        coded += b"%x\r\n%b\r\n" % (len(rest), rest)
    return coded + b"0\r\n" + trailers + b"\r\n"


def decoded(parts: list[bytes]) -> bytes:
    """The payload of the chunks that the framing returned."""
    data, payload = b"".join(parts), b""
    while data:
        line, _, rest = data.partition(b"\r\n")
        size = int(line, 16)
        payload += rest[:size]
        data = rest[size + 2 :]
    return payload


def run(framing: MessageFraming, pieces: list[bytes], *, bodies: list[int | None]) -> tuple[list[bytes], list[bytes]]:
    """Feed pieces; return the heads, and the body data between them, joined for each head.

    `bodies` has the length of each head's body; None for a body in chunks.
    """
    heads: list[bytes] = []
    parts: list[list[bytes]] = []
    lengths = iter(bodies)
    for piece in pieces:
        framing.feed(piece)
        while True:
            part, _ = framing.next_part(max_pieces=MANY_PIECES)
            match part:
                case HeadReceived(data):
                    heads.append(data)
                    parts.append([])
                    framing.begin_body(length=next(lengths))
                case BodyReceived():
                    parts[-1].append(part.coded())
                case None:
                    break
    return heads, [b"".join(each) for each in parts]


def split_at_random(data: bytes, *, source: random.Random) -> list[bytes]:
    pieces = []
    while data:
        size = source.choice((1, 2, 3, 7, 100, 5000))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class Framing(TestCase):
    """Guards against pieces that cost a parser more than their bytes (issue 51)."""

    def test_requests_are_the_same_however_their_bytes_are_divided(self) -> None:
        for seed in range(200):
            source = random.Random(seed)
            payload = source.randbytes(source.randrange(1, 4000))
            sizes = [source.choice((1, 2, 16, 700)) for _ in range(source.randrange(60))]
            chunked = body_in_chunks(
                payload,
                sizes=sizes,
                extension=source.choice((b"", b";a=b")),
                trailers=source.choice((b"", b"T: v\r\n")),
            )
            stream = b"\r\n" + HEAD + payload + HEAD + chunked + HEAD + HEAD + payload
            heads, bodies = run(
                MessageFraming(),
                split_at_random(stream, source=source),
                bodies=[len(payload), None, 0, len(payload)],
            )
            self.assertThat(heads, Equals([HEAD] * 4), f"seed {seed}")
            self.assertThat(bodies[0], Equals(payload), f"seed {seed}")
            self.assertThat(decoded([bodies[1]]), Equals(payload), f"seed {seed}")
            self.assertThat(bodies[2:], Equals([b"", payload]), f"seed {seed}")

    def test_small_chunks_that_arrive_together_are_joined(self) -> None:
        framing = MessageFraming()
        framing.begin_body(length=None)
        framing.feed(b"1\r\nx\r\n" * 1000)
        part, chunks = framing.next_part(max_pieces=MANY_PIECES)
        assert isinstance(part, BodyReceived)
        self.assertThat((len(part.payload), chunks), Equals((1000, 1000)))
        self.assertThat(len(part.coded()), LessThan(1000 + 10))

    def test_no_more_chunks_are_decoded_than_allowed(self) -> None:
        framing = MessageFraming()
        framing.begin_body(length=None)
        framing.feed(b"1\r\nx\r\n" * 1000)
        for _ in range(10):
            part, chunks = framing.next_part(max_pieces=100)
            assert isinstance(part, BodyReceived)
            self.assertThat(chunks, Equals(100))
        self.assertThat(framing.pending_bytes, LessThan(len(b"1\r\nx\r\n") + 1))

    def test_an_incomplete_head_is_kept_as_bytes_and_counted_with_empty_lines_before_it(self) -> None:
        framing = MessageFraming()
        framing.feed(b"\r\n" * 100)
        self.assertThat(framing.next_part(max_pieces=1)[0], Equals(None))
        framing.feed(b"GET / HTTP/1.1\r\nHost: h\r\n")
        self.assertThat(framing.next_part(max_pieces=1)[0], Equals(None))
        self.assertThat((framing.head_bytes, framing.pending_bytes), Equals((225, 25)))

    def test_trailers_are_dropped_and_bounded(self) -> None:
        framing = MessageFraming()
        framing.begin_body(length=None)
        framing.feed(b"0\r\n")
        framing.next_part(max_pieces=MANY_PIECES)
        field = b"X: " + b"y" * 997 + b"\r\n"

        def feed_fields() -> None:
            for _ in range(MAX_TRAILER_BYTES // len(field) + 1):
                framing.feed(field)
                framing.next_part(max_pieces=MANY_PIECES)
                self.assertThat(framing.pending_bytes, Equals(0))

        self.assertRaises(TrailersTooLarge, feed_fields)

    def test_a_chunk_line_without_end_and_chunks_that_are_none_are_malformed(self) -> None:
        for data in (b"1;" + b"x" * MAX_CHUNK_LINE_BYTES, b"x\r\n", b"\r\n", b"1\r\nxx\r\n", b"-1\r\n", b"1\nx\n"):
            framing = MessageFraming()
            framing.begin_body(length=None)
            framing.feed(data)
            self.assertRaises(MalformedBody, framing.next_part, max_pieces=MANY_PIECES)
