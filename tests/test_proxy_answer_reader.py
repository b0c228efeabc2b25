"""Answers of servers are read within limits on bytes, pieces and responses, however their bytes are divided."""

import asyncio
import random
from itertools import islice

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from endless_answers import PIECE_BYTES, STATUSES, endless_answers
from hoistsaddle.proxy.answer_reader import (
    CHUNK_COST_BYTES,
    HEAD_PIECES,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_RESPONSES,
    Answer,
    AnswerFault,
    AnswerReader,
    AnswerRefused,
)
from stepped_clock import run_stepped

ID_LINE = "Attempt-Id: own"
MAX_BYTES = 1_000_000
MAX_PIECES = 100
OWN_HEAD = f"HTTP/1.1 200 OK\r\n{ID_LINE}\r\n".encode()
SEEDS = range(30)


def is_own(message: RawResponseMessage) -> bool:
    return message.headers.get("Attempt-Id") == "own"


class Reading:
    """A reader that is fed pieces of drawn sizes; notes the most that it held, and that it decoded in one call."""

    def __init__(self, *, seed: int = 0, max_bytes: int = MAX_BYTES) -> None:
        self.random = random.Random(seed)
        self.fed_bytes = self.most_held = self.most_pieces = 0
        self.reader = AnswerReader(make_parser=self._make_parser, is_own=is_own, with_body=True, max_bytes=max_bytes)

    @staticmethod
    def _make_parser() -> HttpResponseParser:
        loop = asyncio.get_running_loop()
        return HttpResponseParser(
            BaseProtocol(loop), loop, 2**16, max_line_size=65536, max_field_size=65536, read_until_eof=True
        )

    def feed(self, data: bytes) -> Answer | None:
        """Feed data in pieces of drawn sizes; return the answer as soon as it is complete."""
        position = 0
        while position < len(data):
            size = self.random.choice((1, 7, 100, 5000, PIECE_BYTES))
            piece = data[position : position + size]
            position += len(piece)
            self.fed_bytes += len(piece)
            self.reader.feed(piece)
            if (answer := self._read()) is not None:
                return answer
        return None

    def _read(self) -> Answer | None:
        while True:
            answer, pieces = self.reader.next_answer(max_pieces=MAX_PIECES)
            self.most_held = max(self.most_held, self.reader.held_bytes)
            self.most_pieces = max(self.most_pieces, pieces)
            if answer is not None or pieces < MAX_PIECES:
                return answer


def refused(data: list[bytes], *, seed: int = 0) -> tuple[AnswerFault | None, Reading]:
    """Feed data until the reader refuses it; return why, and what was seen meanwhile."""

    async def run() -> tuple[AnswerFault | None, Reading]:
        reading = Reading(seed=seed)
        try:
            for each in data:
                if reading.feed(each) is not None:
                    break
        except AnswerRefused as refusal:
            return refusal.fault, reading
        return None, reading

    return run_stepped(run())


def answered(data: bytes, *, seed: int = 0) -> bytes | None:
    """Return the body of the answer in this data."""

    async def run() -> bytes | None:
        answer = Reading(seed=seed).feed(data)
        return None if answer is None else answer.body

    return run_stepped(run())


class EndlessAnswers(TestCase):
    """Guards against servers that fill or occupy a process by sending without end (issue 64)."""

    def test_every_form_is_refused_within_its_limits(self) -> None:
        # The limits, and what arrives before the next check: one piece of a chunk, or one piece received.
        most_bytes = MAX_BYTES + MAX_HEAD_BYTES + 2 * PIECE_BYTES
        for status in STATUSES:
            for form, endless in endless_answers(status=status, id_line=ID_LINE).items():
                if "complete answer" in form and "another" not in form:
                    continue
                for seed in SEEDS:
                    pieces = list(islice(endless.pieces(), 2 * most_bytes // PIECE_BYTES))
                    fault, reading = refused(pieces, seed=seed)
                    where = f"{form}, {status}, seed {seed}: {fault}"
                    self.assertThat(fault is not None, Equals(True), where)
                    self.assertThat(reading.fed_bytes, LessThan(most_bytes), where)
                    self.assertThat(reading.most_held, LessThan(most_bytes), where)
                    self.assertThat(reading.most_pieces, LessThan(MAX_PIECES + HEAD_PIECES + MAX_HEAD_LINES), where)

    def test_what_follows_the_answer_is_not_decoded(self) -> None:
        for form in ("bytes after the complete answer", "the complete answer again"):
            endless = endless_answers(status=STATUSES[0], id_line=ID_LINE)[form]
            self.assertThat(answered(endless.beginning + endless.repeated), Equals(b"ok"))

    def test_the_answers_body_is_refused_before_it_is_received(self) -> None:
        for head, fault in (
            (b"Content-Length: %d\r\n\r\n" % (MAX_BYTES + 1), AnswerFault.TOO_LARGE),
            (b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (MAX_BYTES + 1), AnswerFault.TOO_LARGE),
            (b"\r\n", AnswerFault.NO_LENGTH),
        ):
            found, reading = refused([OWN_HEAD + head])
            self.assertThat((found, reading.reader.held_bytes), Equals((fault, 0)), str(head))

    def test_what_is_no_head_is_refused_at_its_first_byte_that_can_not_be_one(self) -> None:
        for data in (b"\x00", b"SSH-2.0", b"HTTP/1.1 abc", b"HTTP/1.1 200 OK\r\n:", b"HTTP/1.1 101 Other\r\n\r\n"):
            self.assertThat(refused([data])[0], Equals(AnswerFault.MALFORMED), str(data))


class Answers(TestCase):
    """What is within the limits is passed on."""

    def test_a_body_of_the_limit_and_not_one_more_byte(self) -> None:
        for size, expected in ((MAX_BYTES, None), (MAX_BYTES + 1, AnswerFault.TOO_LARGE)):
            fault, _ = refused([OWN_HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size])
            self.assertThat(fault, Equals(expected))

    def test_many_chunks_whose_cost_is_within_the_limit(self) -> None:
        # The lines of the last chunk and of the end cost the same as a chunk.
        chunks = (MAX_BYTES - 2 * CHUNK_COST_BYTES) // (CHUNK_COST_BYTES + 10)
        body = b"a\r\n0123456789\r\n" * chunks + b"0\r\n\r\n"
        for seed in SEEDS:
            found = answered(OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body, seed=seed)
            self.assertThat(found, Equals(b"0123456789" * chunks), f"seed {seed}")

    def test_interim_responses_and_answers_to_others_before_it(self) -> None:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        other = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nother"
        own = OWN_HEAD + b"Content-Length: 3\r\n\r\nown"
        half = MAX_RESPONSES // 2
        for seed in SEEDS:
            before = interim * (half - 1) + other * half
            self.assertThat(answered(before + own, seed=seed), Equals(b"own"), f"seed {seed}")
        fault, _ = refused([interim * half + other * half + own])
        self.assertThat(fault, Equals(AnswerFault.TOO_MANY_RESPONSES))

    def test_a_body_for_another_request_is_not_kept(self) -> None:
        size = MAX_BYTES - 3
        other = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size

        async def run() -> tuple[Answer | None, Reading]:
            reading = Reading()
            return reading.feed(other + OWN_HEAD + b"Content-Length: 3\r\n\r\nown"), reading

        answer, reading = run_stepped(run())
        self.assertThat((answer and answer.body, reading.reader.other_answers), Equals((b"own", 1)))
        self.assertThat(reading.fed_bytes, GreaterThan(MAX_BYTES))
        self.assertThat(reading.most_held, LessThan(2 * PIECE_BYTES))
