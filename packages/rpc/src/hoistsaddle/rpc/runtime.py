"""What a node needs of the world: a clock, chance, names, lines. The simulator has another of the same shape."""

import random
import secrets
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Protocol

from returns.result import Result

from hoistsaddle.common.clock import monotonic_now
from hoistsaddle.common.errors import Mishap
from hoistsaddle.rpc.connection import CONNECT_SPAN, Handler, LineFaults, Lines, LineServer, Pulse


class Calls(Protocol):
    async def call(
        self, address: str, message: tuple, *, within: timedelta, still: Callable[[], bool] = ...
    ) -> Result[tuple, Mishap]: ...

    def close(self) -> None: ...


class Serving(Protocol):
    async def stop(self) -> None: ...


class Runtime(Protocol):
    random: random.Random

    @property
    def lines(self) -> Calls: ...

    def now(self) -> timedelta: ...

    def token(self, size: int) -> str: ...

    async def serve(self, address: str, handler: Handler) -> Serving: ...


class RealRuntime:
    def __init__(
        self,
        *,
        line_faults: str = "",
        pulse: Pulse | None = None,
        connect_span: timedelta = CONNECT_SPAN,
        home: bool = False,
    ) -> None:
        self.home = home
        self.random = random.Random()
        self.lines = Lines(
            faults=LineFaults(path=Path(line_faults)) if line_faults else None, pulse=pulse, connect_span=connect_span
        )

    def now(self) -> timedelta:
        return monotonic_now()

    def token(self, size: int) -> str:
        return secrets.token_hex(size)

    async def serve(self, address: str, handler: Handler) -> LineServer:
        server = LineServer(address=address, handler=handler, traffic=self.lines.traffic)
        await server.start()
        if self.home:
            self.lines.home[address] = handler
        return server
