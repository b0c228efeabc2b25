"""A registry that reads the configuration from the replica in its own process, without messages.

The age of that state follows from the replica's last confirmation by its leader, so children of the distribution tree
get the same lease age as from a registry in a process of its own.
"""

import asyncio
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.settings import RegistrySettings
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.registry.addresses import ReplicaAddresses
from hoistsaddle.registry.node import Registry
from hoistsaddle.rpc.messages import UNSET
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.state import State
from hoistsaddle.store.service import Store

LOCAL_READ_INTERVAL = milliseconds(20)
LONG_POLL_TIMEOUT = milliseconds(300)
CONTROLLER_MEMBER_TIMINGS = MemberTimings(
    probe_interval=timedelta(seconds=1),
    probe_timeout=milliseconds(500),
    indirect_probe_timeout=milliseconds(900),
    suspicion_timeout=timedelta(seconds=2),
    seed_interval=20,
    retransmit_limit=6,
)


class ControllerRegistry(Registry):
    """A registry whose configuration comes from the store in its own process."""

    def __init__(
        self,
        *,
        settings: RegistrySettings,
        runtime: Runtime,
        store: Store,
        peers: ReplicaAddresses,
        stores: ReplicaAddresses,
    ) -> None:
        """Reads from `store`, and adds the voters in its log to the addresses of registries and stores."""
        self.store = store
        self.peer_addresses, self.store_addresses = peers, stores
        super().__init__(
            settings=settings,
            runtime=runtime,
            long_poll_timeout=LONG_POLL_TIMEOUT,
            member_timings=CONTROLLER_MEMBER_TIMINGS,
        )

    def _peers(self) -> dict[int, str]:
        return self.peer_addresses

    def _stores(self) -> dict[int, str]:
        return self.store_addresses

    def _confirmed_current_at(self) -> timedelta | None:
        """The latest time as of which this replica's state is known to include every committed record.

        A leader derives it from its contact with a majority, and a follower from the contact that its leader reports.
        It does not advance while the leader is partitioned or frozen.
        """
        core = self.store.runner.core
        if core is None or not core.complete or core.halted:
            return None
        return core.reads.current_as_of

    async def _follow_configuration(self) -> None:
        while True:
            await self.refresh(within=timedelta())
            await asyncio.sleep(LOCAL_READ_INTERVAL.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        """Reads the local replica's state without waiting; returns whether that is known to be current."""
        core = self.store.runner.core
        if core is None:
            return False
        self.writer.note_leader(core.leader if core.leader > 0 else UNSET)
        confirmed_at = self._confirmed_current_at()
        if confirmed_at is None:
            return False
        state = core.state
        if core.leader > 0:
            self.writer.leader = core.leader
        if state.data_plane_revision == self.relay.copy.revision:
            await self._renew_lease(confirmed_at, epoch=state.epoch)
            return True
        return await self._accept_state(state, confirmed_at)

    async def _renew_lease(self, confirmed_at: timedelta, *, epoch: int) -> None:
        was_fresh = self.relay.fresh(now=self.runtime.now())
        self.relay.renew_lease(asked=confirmed_at, epoch=epoch)
        if not was_fresh and self.relay.fresh(now=self.runtime.now()):
            await self._notify_children()

    async def _accept_state(self, state: State, confirmed_at: timedelta) -> bool:
        for replica in state.voters:
            self.peer_addresses.learn(replica)
            self.store_addresses.learn(replica)
        items = data_plane_items(state)
        if not self.relay.accept_read(
            asked=confirmed_at,
            mesh=state.mesh,
            revision=state.data_plane_revision,
            items=items,
            expected_digests=digests_of(items),
            epoch=state.epoch,
        ):
            return False
        self._update_view()
        self.counters.add("news.taken")
        await self._notify_children()
        return True
