"""One connection to a local server, reused as long as nothing but the answers to its requests has arrived on it.

This class does the input and output, and shares the event loop and the memory of the process with other connections;
`proxy/answer_reader.py` finds the answer in what the server sends.
"""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.common.work_turns import WorkTurns
from hoistsaddle.proxy.answer_reader import MAX_ANSWER_BYTES, Answer, AnswerFault, AnswerReader, AnswerRefused

# How long an idle connection is kept if the server doesn't send a keep-alive timeout.
DEFAULT_KEEP_SECONDS = 4.0
# The limit on one line of a response's head.
MAX_LINE_BYTES = 65536
# Pieces of answers that all connections of a process decode in one iteration of the event loop.
PIECES_PER_ITERATION = 1000


class BrokenAnswer(Exception):
    """The received data is not a complete answer to the request."""

    def __init__(self, fault: AnswerFault = AnswerFault.CUT_SHORT, *, begun: bool = False) -> None:
        super().__init__(fault)
        self.fault = fault
        # Whether anything was received for the request.
        self.begun = begun


def any_response(message: RawResponseMessage) -> bool:
    """Accept any response as the answer."""
    return True


class ServerConnection(BaseProtocol):
    """Reads the answer to one request after the other, and tracks whether the connection may be reused."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *, budget: ByteBudget, turns: WorkTurns | None = None) -> None:
        """Start unconnected.

        Args:
            loop: the event loop.
            budget: counts the bytes of answers.
            turns: divides the decoding of answers among the connections of the process; None if this is the only one.
        """
        super().__init__(loop)
        self._budget = budget
        self.lease = budget.lease()
        self._turns = turns or WorkTurns(pieces_per_iteration=PIECES_PER_ITERATION)
        self._waits_for_turn = False
        self._reader: AnswerReader | None = None
        self._answer: Answer | None = None
        # Why there will be no answer.
        self._fault = AnswerFault.CUT_SHORT
        # Whether any data was received for this request.
        self.data_seen = False
        self._arrived: asyncio.Future | None = None
        # Whether it must not be reused, and whether the connection has ended.
        self.dirty = False
        self.closed = False
        self.uses = 0
        # The address and instance of the server that it was opened to.
        self.server = ""
        self.idle_since = 0.0
        self.keep_seconds = DEFAULT_KEEP_SECONDS

    # -- requests ----------------------------------------------------------------------------------------------------

    def begin(
        self,
        *,
        with_body: bool,
        is_own: Callable[[RawResponseMessage], bool] = any_response,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Prepare to read the answer to another request.

        Args:
            with_body: False if the answer can't have a body.
            is_own: whether a response answers this request and not another one.
            max_bytes: the limit on the bytes of all bodies received for this request; memory may set a lower one.
        """
        most = self._budget.max_lone_bytes
        self._reader = AnswerReader(
            make_parser=lambda: self._head_parser(with_body=with_body),
            is_own=is_own,
            with_body=with_body,
            max_bytes=max_bytes if most is None else min(max_bytes, most),
        )
        self._answer = None
        self.data_seen = False
        self.uses += 1

    def _head_parser(self, *, with_body: bool) -> HttpResponseParser:
        return HttpResponseParser(
            self,
            self._loop,
            2**16,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=with_body,
            read_until_eof=True,
            auto_decompress=False,
        )

    def write(self, data: bytes) -> None:
        """Write a request; raises BrokenAnswer if the connection has ended."""
        if self.transport is None:
            raise BrokenAnswer
        try:
            write_or_raise(self.transport, data)
        except ConnectionResetError as problem:
            raise BrokenAnswer from problem

    async def answer(self) -> Answer:
        """Return the answer to the request; raises BrokenAnswer if there will be none."""
        while self._answer is None:
            if self.closed:
                raise BrokenAnswer(self._fault, begun=self.data_seen)
            self._arrived = self._loop.create_future()
            await self._arrived
        return self._answer

    def finish(self) -> bool:
        """Give back what the answer holds; return whether anything arrived after it."""
        surplus = self._reader is None or self._reader.pending_bytes > 0
        self._reader = self._answer = None
        self.lease.release()
        return surplus

    @property
    def other_answers(self) -> int:
        """The number of answers to other requests that arrived before the answer."""
        return 0 if self._reader is None else self._reader.other_answers

    # -- received data -----------------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Decode received data."""
        if self.closed:
            return
        if self._reader is None:
            # No request is in flight, so this can't be an answer.
            self.dirty = True
            self.abort()
            return
        self.data_seen = True
        self._reader.feed(data)
        if self._answer is None:
            self._advance(self._reader)

    def _advance(self, reader: AnswerReader) -> None:
        """Decode what was received, as far as the other connections allow."""
        if self._waits_for_turn:
            return
        if self._turns.left <= 0:
            self._wait_for_turn()
            return
        allowed = self._turns.left
        try:
            self._answer, pieces = reader.next_answer(max_pieces=allowed)
        except AnswerRefused as refusal:
            self._refuse(refusal.fault)
            return
        self._turns.spend(pieces)
        self.lease.resize(reader.held_bytes if self._answer is None else len(self._answer.body) + reader.pending_bytes)
        if not self.lease.fits():
            self._refuse(AnswerFault.OVER_BUDGET)
        elif self._answer is not None:
            self._wake()
        elif pieces >= allowed:
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        self._waits_for_turn = True
        self._pause_transport_reading()
        self._turns.wait(self._turn_came)

    def _turn_came(self) -> None:
        self._waits_for_turn = False
        if self.closed:
            return
        if self._reader is not None and self._answer is None:
            self._advance(self._reader)
        if not self._waits_for_turn:
            self._resume_transport_reading()

    def _refuse(self, fault: AnswerFault) -> None:
        self._fault = fault
        self._answer = None
        self.dirty = True
        self.abort()

    # -- ends --------------------------------------------------------------------------------------------------------

    def _end(self) -> None:
        self.closed = self.dirty = True
        if self._answer is None:
            # An incomplete answer will never be completed.
            self._reader = None
            self.lease.release()
        self._wake()

    def _wake(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)

    def eof_received(self) -> bool:
        """Handle the end of the server's data."""
        self._end()
        return False

    def connection_lost(self, exception: BaseException | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exception)
        self._end()
        self.lease.release()

    def abort(self) -> None:
        """Close the connection at once."""
        self._end()
        if self.transport is not None:
            self.transport.abort()
