"""The runtime of a node: clock, random numbers, tokens and connections. The simulator implements the same interface."""

import random
import secrets
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Protocol

from returns.result import Result

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.clock import monotonic_now
from hoistsaddle.common.errors import MeshError
from hoistsaddle.rpc.client import CONNECT_TIMEOUT, RpcClient
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.connection_faults import ConnectionFaults
from hoistsaddle.rpc.server import Handler, RpcServer


class Calls(Protocol):
    """The interface of RpcClient."""

    async def call(
        self, address: str, message: tuple, *, within: timedelta, still: Callable[[], bool] = ..., rate: int = ...
    ) -> Result[tuple, MeshError]:
        """Calls the process at the address."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


class Serving(Protocol):
    """The interface of RpcServer."""

    async def stop(self) -> None:
        """Stops listening."""
        ...


class Runtime(Protocol):
    """The clock, random numbers, tokens and connections of one process."""

    random: random.Random

    @property
    def rpc_client(self) -> Calls:
        """The client for calls to other processes."""
        ...

    def now(self) -> timedelta:
        """The time of the process's monotonic clock."""
        ...

    def token(self, size: int) -> str:
        """A random token of `size` bytes, in hexadecimal."""
        ...

    async def serve(self, address: str, handler: Handler) -> Serving:
        """Starts a server that listens on the address."""
        ...


class RealRuntime:
    """The runtime of a real process."""

    def __init__(
        self,
        *,
        line_faults: str = "",
        keep_alive: KeepAlive | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        local_calls: bool = False,
        budget: ByteBudget | None = None,
    ) -> None:
        """Starts without connections.

        Args:
            line_faults: The file in which tests list connection faults; empty for none.
            keep_alive: How connections with calls in flight are checked; None for no checks.
            connect_timeout: How long a call waits for its connection.
            local_calls: Whether calls to addresses that this process serves are direct function calls.
            budget: The byte budget of the process; None if its memory is not limited.
        """
        self._budget = budget
        self.local_calls = local_calls
        self.random = random.Random()
        self.rpc_client = RpcClient(
            faults=ConnectionFaults(path=Path(line_faults)) if line_faults else None,
            keep_alive=keep_alive,
            connect_timeout=connect_timeout,
            budget=budget,
        )

    def now(self) -> timedelta:
        """The time of the process's monotonic clock."""
        return monotonic_now()

    def token(self, size: int) -> str:
        """A random token of `size` bytes, in hexadecimal."""
        return secrets.token_hex(size)

    async def serve(self, address: str, handler: Handler) -> RpcServer:
        """Starts a server that listens on the address."""
        server = RpcServer(address=address, handler=handler, traffic=self.rpc_client.traffic, budget=self._budget)
        await server.start()
        if self.local_calls:
            self.rpc_client.local_handlers[address] = handler
        return server
