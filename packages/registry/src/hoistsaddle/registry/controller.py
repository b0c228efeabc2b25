"""Both core programs in one process: a store and the registry beside it, in a core that founds itself.

The registry reads the store's state in memory, so news costs no messages between them. How old that state may be is
what the replica knows of its leader: the tree below is told the same age as ever.
"""

import asyncio
import math
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import ControllerSettings, RegistrySettings, StoreSettings
from hoistsaddle.config.items import Patch, check_patch, pack_patch
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import DiskThread, DiskWorker
from hoistsaddle.raft.events import RaftTimings, replacement_timeout_for
from hoistsaddle.registry.addresses import ReplicaAddresses, number_of_host
from hoistsaddle.registry.bootstrap import Bootstrap, FoundReplicas, InspectReplicas
from hoistsaddle.registry.service import Registry
from hoistsaddle.rpc.messages import UNSET, BootstrapAnswer, BootstrapCall, ReadAnswer, StatusAnswer, StatusCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import PatchItems
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.view import read_view
from hoistsaddle.store.service import Store

LOCAL_READ_INTERVAL = milliseconds(20)
# Keys are claimed by the hundred a second on small machines: so much latency under load halves the leader's fetches.
VOTER_GAP = milliseconds(10)
CONTROLLER_MEMBER_TIMINGS = MemberTimings(
    period=timedelta(seconds=1),
    probe_timeout=milliseconds(500),
    indirect_probe_timeout=milliseconds(900),
    suspicion=timedelta(seconds=2),
    seed_interval=20,
    retransmit_limit=6,
)


class ControllerRegistry(Registry):
    """A registry whose news comes from the replica in its own process."""

    def __init__(
        self,
        *,
        settings: RegistrySettings,
        runtime: Runtime,
        store: Store,
        peers: ReplicaAddresses,
        stores: ReplicaAddresses,
    ):
        self.store = store
        self.peer_addresses, self.store_addresses = peers, stores
        super().__init__(
            settings=settings, runtime=runtime, poll_hold=milliseconds(300), member_timings=CONTROLLER_MEMBER_TIMINGS
        )

    def _peers(self) -> dict[int, str]:
        return self.peer_addresses

    def _stores(self) -> dict[int, str]:
        return self.store_addresses

    def _confirmed_current_at(self) -> timedelta | None:
        """The newest moment at which this replica's state is known to have held all that was committed anywhere.

        It follows from a contact of the leader with a majority, and a follower's from what its leader said of one: a
        leader that was cut off, or froze, makes it grow older and never younger.
        """
        core = self.store.runner.core
        return core.newest if core.complete and not core.halted else None

    async def _follow_configuration(self) -> None:
        while True:
            await self.refresh(within=timedelta())
            await asyncio.sleep(LOCAL_READ_INTERVAL.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        core = self.store.runner.core
        self.writer.note_leader(core.leader if core.leader > 0 else UNSET)
        heard = self._confirmed_current_at()
        if heard is None:
            return False
        state = core.state
        if core.leader > 0:
            self.writer.leader = core.leader
        if state.data_plane_revision == self.relay.copy.revision:
            was_fresh = self.relay.fresh(now=self.runtime.now())
            self.relay.renewed(asked=heard, epoch=state.epoch)
            if not was_fresh and self.relay.fresh(now=self.runtime.now()):
                await self._notify_children()
            return True
        for replica in state.voters:
            self.peer_addresses.learn(replica)
            self.store_addresses.learn(replica)
        items = data_plane_items(state)
        if not self.relay.confirmed(
            asked=heard,
            mesh=state.mesh,
            revision=state.data_plane_revision,
            items=items,
            expected_digests=digests_of(items),
            epoch=state.epoch,
        ):
            return False
        self.view = read_view(
            revision=self.relay.copy.revision,
            items=self.relay.copy.items,
            node=self.node,
            zone=self.settings.zone,
            before=self.view,
        )
        self._track_gone_nodes()
        self.counters.add("news.taken")
        await self._notify_children()
        return True

    async def _notify_children(self) -> None:
        async with self.news:
            self.news.notify_all()


def replacement_timeout(settings: ControllerSettings) -> timedelta:
    """How long a voter must be silent to be replaced, as the settings ask for it."""
    return replacement_timeout_for(settle=timedelta(seconds=settings.settle_seconds), losses=settings.losses)


def lag_wait(settings: ControllerSettings) -> timedelta:
    """How long the log stays long for a live replica that lags: as long as one that is back may take to settle."""
    return timedelta(seconds=settings.settle_seconds)


class Controller:
    def __init__(
        self,
        *,
        settings: ControllerSettings,
        runtime: Runtime,
        disk: Disk | None = None,
        make_worker: Callable[..., DiskWorker] = DiskThread,
    ) -> None:
        self.settings = settings
        self.runtime = runtime
        self.replica = number_of_host(settings.host)
        hosts = [*settings.seeds, settings.host]
        self.stores = ReplicaAddresses(port=settings.store_port, hosts=hosts)
        self.peers = ReplicaAddresses(port=settings.registry_port, hosts=hosts)
        self.may_found = settings.cold_start
        self.store = Store(
            settings=StoreSettings(
                replica=self.replica,
                zone=settings.zone,
                listen=self.stores[self.replica],
                data_folder=settings.data_folder,
                core=[],
                grace_seconds=settings.grace_seconds,
            ),
            runtime=runtime,
            disk=disk or Disk(folder=Path(settings.data_folder), replica=self.replica),
            make_worker=make_worker,
            addresses=self.stores,
            timings=RaftTimings(
                checkpoint_records=settings.checkpoint_records,
                chunk_bytes=settings.chunk_bytes,
                startup_election_fraction=0.4,
                voter_batch_interval=VOTER_GAP,
                replacement_timeout=replacement_timeout(settings),
                lag_wait=lag_wait(settings),
            ),
            wanted_voters=2 * settings.losses + 1,
        )
        self.registry = ControllerRegistry(
            settings=RegistrySettings(
                replica=self.replica,
                zone=settings.zone,
                listen=self.peers[self.replica],
                operators="",
                core=[],
                lease_seconds=settings.lease_seconds,
                health_seconds=settings.health_seconds,
            ),
            runtime=runtime,
            store=self.store,
            peers=self.peers,
            stores=self.stores,
        )
        self.counters = self.registry.counters
        self.requests = 0

    async def start(self) -> None:
        await self.store.start()
        await self.registry.start()
        self.bootstrap = asyncio.ensure_future(self._bootstrap())

    async def stop(self) -> None:
        self.bootstrap.cancel()
        # First what hangs on this replica goes to the others; orders meanwhile go through its new leader.
        await self.store.stop()
        await self.registry.stop()

    def apply_settings(self, settings: ControllerSettings) -> None:
        """Takes up what may change under a running controller: whom to turn to, and how many losses are to be borne."""
        self.counters.record_event("params revised", seeds=settings.seeds, losses=settings.losses)
        self.settings = msgspec.structs.replace(
            self.settings,
            seeds=settings.seeds,
            losses=settings.losses,
            applied_version_seconds=settings.applied_version_seconds,
            write_seconds=settings.write_seconds,
            settle_seconds=settings.settle_seconds,
            resend_seconds=settings.resend_seconds,
        )
        numbers = [number_of_host(seed) for seed in settings.seeds]
        for number in numbers:
            self.stores.learn(number)
            self.peers.learn(number)
        self.store.runner.apply_settings(
            wanted_voters=2 * settings.losses + 1,
            replacement_timeout=replacement_timeout(self.settings),
            lag_wait=lag_wait(self.settings),
            seeds=tuple(numbers),
        )
        self.registry.member.seeds = [self.peers[number] for number in numbers if number != self.replica]

    async def _bootstrap(self) -> None:
        duty = Bootstrap(
            replica=self.replica,
            seeds=tuple(number_of_host(seed) for seed in self.settings.seeds),
            may_found=self.may_found,
            losses=self.settings.losses,
            mesh=self.runtime.token(8),
            now=self.runtime.now(),
            recorded_call=self._recorded_founding(),
        )
        while duty.duty:
            for command in duty.handle(founded=bool(self.store.runner.core.mesh), now=self.runtime.now()):
                match command:
                    case InspectReplicas(replicas=replicas):
                        await asyncio.gather(*(self._inspect(duty, replica) for replica in replicas))
                    case FoundReplicas(replicas=replicas, call=call):
                        # Its own disk first: a founder that dies half-way is known by what it founded.
                        for replica in sorted(replicas, key=lambda each: each != self.replica):
                            match await self.runtime.rpc_client.call(
                                self.stores[replica], call, within=milliseconds(800)
                            ):
                                case Success(BootstrapAnswer(error="")):
                                    duty.acknowledged.add(replica)
            await asyncio.sleep(milliseconds(50).total_seconds())

    def _recorded_founding(self) -> BootstrapCall | None:
        """The founding on this disk, if nothing came after it: a founder that died may have told nobody else.

        Telling it again is safe: a voter takes it only under the life that it names and with nothing on its disk.
        """
        core = self.store.runner.core
        if not core.mesh or not core.complete or core.last.offset:
            return None
        return BootstrapCall(core.mesh, dict(core.state.voters), dict(core.state.operators), core.state.level)

    async def _inspect(self, duty: Bootstrap, replica: int) -> None:
        match await self.runtime.rpc_client.call(
            self.stores[replica], StatusCall(self.registry.node), within=milliseconds(500)
        ):
            case Success(StatusAnswer() as answer):
                duty.inspected(answer)

    # -- operators ---------------------------------------------------------------------------------------------------

    async def patch(self, patch: Patch) -> Result[dict, MeshError]:
        """A bundle in parts, taken at once under the standing sign-off. Idempotent by its items' revisions."""
        registry = self.registry
        # Checked here before the log is troubled; the log checks again, for what stands may have moved.
        if isinstance(checked := check_patch(patch), Failure):
            registry.counters.record_event(
                "patch refused", mishap=str(checked.failure().kind), field=checked.failure().field
            )
            return checked
        self.requests += 1
        request = f"{registry.node}.{registry.incarnation}.{self.requests}"
        command = PatchItems(
            request,
            self.settings.desk,
            self.settings.standing_sign_off,
            pack_patch(patch),
            resend_seconds=math.ceil(self.settings.resend_seconds),
            # What its sender can know of was logged by now.
            seen_offset=self.store.runner.core.state.offset,
        )
        match await registry.writer.write(command, within=timedelta(seconds=self.settings.write_seconds)):
            case Failure(error):
                return Failure(error)
            case Success(outcome) if outcome.error:
                registry.counters.add(f"patches.{outcome.error}")
                registry.counters.record_event("patch refused", mishap=outcome.error, field=outcome.field)
                return Failure(MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field))
            case Success(outcome):
                pass
        if not outcome.detail["number"]:
            registry.counters.add("patches.confirmed again")
        else:
            registry.counters.record_event(
                "bundle patched",
                number=outcome.detail["number"],
                items=len(outcome.detail["changed"]),
                author=self.settings.desk,
                signer=self.settings.standing_sign_off,
            )
        waits = await self._await_applied_version(outcome.detail["offset"])
        return Success({**outcome.detail, "waits_for": waits})

    async def _await_applied_version(self, revision: int) -> list[str]:
        """Until every proxy that lives has taken it up, or the span is over: the rest follow as news reaches them."""
        registry = self.registry
        deadline = registry.runtime.now() + timedelta(seconds=self.settings.applied_version_seconds)
        while True:
            now = registry.runtime.now()
            taken = {
                applied_version.node
                for applied_version in registry.relay.known_applied_versions(now=now)
                if applied_version.revision >= revision
            }
            # A registry hears of its own part of the tree; the others' parts are theirs to see.
            mine = {applied_version.node for applied_version in registry.relay.known_applied_versions(now=now)}
            left = sorted(mine - taken)
            if now >= deadline or not left:
                return left
            await asyncio.sleep(milliseconds(15).total_seconds())

    async def read_items(self, *, within: timedelta) -> Result[list[tuple[str, str, int, bytes]], MeshError]:
        """Every item that stands, as kind, name, revision and the operator's own text, confirmed by the leader."""
        match await self.registry.writer.read(part="items", known_revision=-1, within=within):
            case Success(ReadAnswer(content=content)):
                return Success([tuple(each) for each in msgspec.msgpack.decode(content)])
            case _:
                return Failure(
                    MeshError(ErrorKind.NO_LEADER, "No store leads now.", "Ask again shortly, or another machine.")
                )
