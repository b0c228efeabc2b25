"""Carries out what the bootstrap decides: inspects the seeds' stores and tells them that they are founded."""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.registry.bootstrap import Bootstrap, FoundReplicas, InspectReplicas
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, StatusAnswer, StatusCall
from hoistsaddle.rpc.runtime import Runtime

ROUND_INTERVAL = milliseconds(50)
INSPECT_TIMEOUT = milliseconds(500)
FOUND_TIMEOUT = milliseconds(800)


class BootstrapRunner:
    """Runs one bootstrap to its end."""

    def __init__(
        self,
        *,
        bootstrap: Bootstrap,
        replica: int,
        node: str,
        stores: dict[int, str],
        runtime: Runtime,
        is_founded: Callable[[], bool],
    ) -> None:
        """Calls the stores at their mesh addresses.

        Args:
            bootstrap: What decides.
            replica: The replica beside it.
            node: The name under which it calls.
            stores: The stores' addresses by replica number.
            runtime: Clock and connections.
            is_founded: Whether the replica beside it is founded.
        """
        self.bootstrap = bootstrap
        self.replica = replica
        self.node = node
        self.stores = stores
        self.runtime = runtime
        self.is_founded = is_founded

    async def run(self) -> None:
        """Goes on until there is nothing left to found."""
        while self.bootstrap.active:
            for command in self.bootstrap.handle(founded=self.is_founded(), now=self.runtime.now()):
                match command:
                    case InspectReplicas(replicas=replicas):
                        await asyncio.gather(*(self._inspect(replica) for replica in replicas))
                    case FoundReplicas(replicas=replicas, call=call):
                        await self._found(replicas, call)
            await asyncio.sleep(ROUND_INTERVAL.total_seconds())

    async def _inspect(self, replica: int) -> None:
        call = StatusCall(self.node)
        match await self.runtime.rpc_client.call(self.stores[replica], call, within=INSPECT_TIMEOUT):
            case Success(StatusAnswer() as answer):
                self.bootstrap.inspected(answer)

    async def _found(self, replicas: Iterable[int], call: BootstrapCall) -> None:
        # Its own disk first: a founder that dies half-way is known by what it founded.
        for replica in sorted(replicas, key=lambda each: each != self.replica):
            match await self.runtime.rpc_client.call(self.stores[replica], call, within=FOUND_TIMEOUT):
                case Success(BootstrapAnswer(error="")):
                    self.bootstrap.acknowledged.add(replica)
