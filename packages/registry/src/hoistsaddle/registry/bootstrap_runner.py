"""Carries out the commands of a bootstrap: inspects stores, sends them foundings, abandons a founding."""

import asyncio
from collections.abc import Iterable

from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.registry.bootstrap import Bootstrap, FoundReplicas, InspectReplicas, LeaveFounding, OwnReplica
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, FoundingStatusAnswer, FoundingStatusCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.store.recorded_founding import recorded_founding
from hoistsaddle.store.service import Store

ROUND_INTERVAL = milliseconds(50)
INSPECT_TIMEOUT = milliseconds(500)
FOUND_TIMEOUT = milliseconds(800)


class BootstrapRunner:
    """Runs one bootstrap until it ends."""

    def __init__(
        self,
        *,
        bootstrap: Bootstrap,
        store: Store,
        node: str,
        stores: dict[int, str],
        runtime: Runtime,
        counters: Counters,
    ) -> None:
        """Calls the stores at their mesh addresses.

        Args:
            bootstrap: Decides what to do.
            store: The store in the same process.
            node: The node name sent as the caller.
            stores: The stores' addresses by replica number.
            runtime: Clock and connections.
            counters: Records the events of foundings.
        """
        self.bootstrap = bootstrap
        self.store = store
        self.node = node
        self.stores = stores
        self.runtime = runtime
        self.counters = counters

    async def run(self) -> None:
        """Runs until the bootstrap is no longer active."""
        while self.bootstrap.active:
            for command in self.bootstrap.handle(self._own_replica(), now=self.runtime.now()):
                match command:
                    case InspectReplicas(replicas=replicas):
                        await asyncio.gather(*(self._inspect(replica) for replica in replicas))
                    case FoundReplicas(replicas=replicas, call=call):
                        await self._found(replicas, call)
                    case LeaveFounding(with_records=with_records):
                        await self._leave(with_records=with_records)
            await asyncio.sleep(ROUND_INTERVAL.total_seconds())

    def _own_replica(self) -> OwnReplica:
        core = self.store.runner.started_core()
        return OwnReplica(core.mesh, recorded_founding(core), bool(core.last.offset))

    async def _inspect(self, replica: int) -> None:
        call = FoundingStatusCall(self.node)
        match await self.runtime.rpc_client.call(self.stores[replica], call, within=INSPECT_TIMEOUT):
            case Success(FoundingStatusAnswer() as answer):
                self.bootstrap.inspected(answer, now=self.runtime.now())

    async def _found(self, replicas: Iterable[int], call: BootstrapCall) -> None:
        if not self._own_replica().mesh:
            self.counters.record_event("founding", mesh=call.mesh, voters=sorted(call.voters))
        await asyncio.gather(*(self._send_founding(replica, call) for replica in replicas))

    async def _send_founding(self, replica: int, call: BootstrapCall) -> None:
        match await self.runtime.rpc_client.call(self.stores[replica], call, within=FOUND_TIMEOUT):
            case Success(BootstrapAnswer() as answer):
                self.bootstrap.acknowledged(replica, call, answer)

    async def _leave(self, *, with_records: bool) -> None:
        mesh = self._own_replica().mesh
        if await self.store.leave_founding(with_records=with_records):
            self.counters.record_event("left a founding", mesh=mesh, why="no majority of its voters holds it")
