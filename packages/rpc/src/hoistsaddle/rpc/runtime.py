"""What a node needs of the world: a clock, chance, names, lines. The simulator has another of the same shape."""

import random
import secrets
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Protocol

from returns.result import Result

from hoistsaddle.common.clock import monotonic_now
from hoistsaddle.common.errors import MeshError
from hoistsaddle.rpc.connection import CONNECT_TIMEOUT, ConnectionFaults, Handler, KeepAlive, RpcClient, RpcServer


class Calls(Protocol):
    async def call(
        self, address: str, message: tuple, *, within: timedelta, still: Callable[[], bool] = ...
    ) -> Result[tuple, MeshError]: ...

    def close(self) -> None: ...


class Serving(Protocol):
    async def stop(self) -> None: ...


class Runtime(Protocol):
    random: random.Random

    @property
    def rpc_client(self) -> Calls: ...

    def now(self) -> timedelta: ...

    def token(self, size: int) -> str: ...

    async def serve(self, address: str, handler: Handler) -> Serving: ...


class RealRuntime:
    def __init__(
        self,
        *,
        line_faults: str = "",
        keep_alive: KeepAlive | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        home: bool = False,
    ) -> None:
        self.home = home
        self.random = random.Random()
        self.rpc_client = RpcClient(
            faults=ConnectionFaults(path=Path(line_faults)) if line_faults else None,
            keep_alive=keep_alive,
            connect_timeout=connect_timeout,
        )

    def now(self) -> timedelta:
        return monotonic_now()

    def token(self, size: int) -> str:
        return secrets.token_hex(size)

    async def serve(self, address: str, handler: Handler) -> RpcServer:
        server = RpcServer(address=address, handler=handler, traffic=self.rpc_client.traffic)
        await server.start()
        if self.home:
            self.rpc_client.home[address] = handler
        return server
