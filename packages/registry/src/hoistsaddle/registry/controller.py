"""Both core programs in one process: a warehouse and the bourse beside it, in a core that founds itself.

The bourse reads the warehouse's state in memory, so news costs no messages between them. How old that state may be is
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
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.settings import ControllerParams, RegistryParams, StoreParams
from hoistsaddle.config.items import Patch, check_patch, pack_patch
from hoistsaddle.membership.member import MemberPace
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import Pace, replace_span_of
from hoistsaddle.raft.jobs import DiskThread, DiskWorker
from hoistsaddle.registry.founding import Found, Founding, Look
from hoistsaddle.registry.places import Places, number_of_host
from hoistsaddle.registry.service import Registry
from hoistsaddle.rpc.messages import UNSET, FoundAnswer, FoundCall, LookAnswer, LookCall, ReadAnswer
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import PatchItems
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.state import news_of
from hoistsaddle.statemachine.view import read_view
from hoistsaddle.store.service import Store

LOOK_EVERY = milliseconds(20)
# Keys are claimed by the hundred a second on small machines: so much latency under load halves the leader's fetches.
VOTER_GAP = milliseconds(10)
MARKET_PACE = MemberPace(
    period=timedelta(seconds=1),
    probe_span=milliseconds(500),
    opinion_span=milliseconds(900),
    suspicion=timedelta(seconds=2),
    seed_turns=20,
    spread=6,
)


class ControllerRegistry(Registry):
    """A bourse whose news comes from the replica in its own process."""

    def __init__(self, *, params: RegistryParams, runtime: Runtime, warehouse: Store, peers: Places, stores: Places):
        self.warehouse = warehouse
        self.peer_places, self.store_places = peers, stores
        super().__init__(params=params, runtime=runtime, poll_hold=milliseconds(300), member_pace=MARKET_PACE)

    def _peers(self) -> dict[int, str]:
        return self.peer_places

    def _warehouses(self) -> dict[int, str]:
        return self.store_places

    def _heard_leader(self) -> timedelta | None:
        """The newest moment at which this replica's state is known to have held all that was committed anywhere.

        It follows from a contact of the leader with a majority, and a follower's from what its leader said of one: a
        leader that was cut off, or froze, makes it grow older and never younger.
        """
        core = self.warehouse.shell.core
        return core.newest if core.whole and not core.halted else None

    async def _read_news(self) -> None:
        while True:
            await self.refresh(within=timedelta())
            await asyncio.sleep(LOOK_EVERY.total_seconds())

    async def refresh(self, *, within: timedelta) -> bool:
        core = self.warehouse.shell.core
        self.writer.leader_known(core.leader if core.leader > 0 else UNSET)
        heard = self._heard_leader()
        if heard is None:
            return False
        state = core.state
        if core.leader > 0:
            self.writer.leader = core.leader
        if state.news == self.relay.copy.revision:
            was_fresh = self.relay.fresh(now=self.runtime.now())
            self.relay.renewed(asked=heard, epoch=state.epoch)
            if not was_fresh and self.relay.fresh(now=self.runtime.now()):
                await self._tell_children()
            return True
        for replica in state.voters:
            self.peer_places.learn(replica)
            self.store_places.learn(replica)
        items = news_of(state)
        if not self.relay.confirmed(
            asked=heard,
            mesh=state.mesh,
            revision=state.news,
            items=items,
            vouched=digests_of(items),
            epoch=state.epoch,
        ):
            return False
        self.view = read_view(
            revision=self.relay.copy.revision,
            items=self.relay.copy.items,
            node=self.node,
            zone=self.params.zone,
            before=self.view,
        )
        self._note_gone()
        self.counters.add("news.taken")
        await self._tell_children()
        return True

    async def _tell_children(self) -> None:
        async with self.news:
            self.news.notify_all()


def replace_span(params: ControllerParams) -> timedelta:
    """How long a voter must be silent to be replaced, as the settings ask for it."""
    return replace_span_of(settle=timedelta(seconds=params.settle_seconds), losses=params.losses)


def lag_wait(params: ControllerParams) -> timedelta:
    """How long the log stays long for a live replica that lags: as long as one that is back may take to settle."""
    return timedelta(seconds=params.settle_seconds)


class Controller:
    def __init__(
        self,
        *,
        params: ControllerParams,
        runtime: Runtime,
        disk: Disk | None = None,
        make_worker: Callable[..., DiskWorker] = DiskThread,
    ) -> None:
        self.params = params
        self.runtime = runtime
        self.replica = number_of_host(params.host)
        hosts = [*params.seeds, params.host]
        self.stores = Places(port=params.warehouse_port, hosts=hosts)
        self.peers = Places(port=params.bourse_port, hosts=hosts)
        self.may_found = params.cold_start
        self.warehouse = Store(
            params=StoreParams(
                replica=self.replica,
                zone=params.zone,
                listen=self.stores[self.replica],
                data_folder=params.data_folder,
                core=[],
                grace_seconds=params.grace_seconds,
            ),
            runtime=runtime,
            disk=disk or Disk(folder=Path(params.data_folder), replica=self.replica),
            make_worker=make_worker,
            addresses=self.stores,
            pace=Pace(
                checkpoint_records=params.checkpoint_records,
                chunk_bytes=params.chunk_bytes,
                boot_share=0.4,
                voter_gap=VOTER_GAP,
                replace_span=replace_span(params),
                lag_wait=lag_wait(params),
            ),
            wanted_voters=2 * params.losses + 1,
        )
        self.bourse = ControllerRegistry(
            params=RegistryParams(
                replica=self.replica,
                zone=params.zone,
                listen=self.peers[self.replica],
                operators="",
                core=[],
                lease_seconds=params.lease_seconds,
                vitals_seconds=params.vitals_seconds,
            ),
            runtime=runtime,
            warehouse=self.warehouse,
            peers=self.peers,
            stores=self.stores,
        )
        self.counters = self.bourse.counters
        self.requests = 0

    async def start(self) -> None:
        await self.warehouse.start()
        await self.bourse.start()
        self.founding = asyncio.ensure_future(self._found())

    async def stop(self) -> None:
        self.founding.cancel()
        # First what hangs on this replica goes to the others; orders meanwhile go through its new leader.
        await self.warehouse.stop()
        await self.bourse.stop()

    def revise(self, params: ControllerParams) -> None:
        """Takes up what may change under a running market: whom to turn to, and how many losses are to be borne."""
        self.counters.happen("params revised", seeds=params.seeds, losses=params.losses)
        self.params = msgspec.structs.replace(
            self.params,
            seeds=params.seeds,
            losses=params.losses,
            uptake_seconds=params.uptake_seconds,
            write_seconds=params.write_seconds,
            settle_seconds=params.settle_seconds,
            resend_seconds=params.resend_seconds,
        )
        numbers = [number_of_host(seed) for seed in params.seeds]
        for number in numbers:
            self.stores.learn(number)
            self.peers.learn(number)
        self.warehouse.shell.revise(
            wanted_voters=2 * params.losses + 1,
            replace_span=replace_span(self.params),
            lag_wait=lag_wait(self.params),
            seeds=tuple(numbers),
        )
        self.bourse.member.seeds = [self.peers[number] for number in numbers if number != self.replica]

    async def _found(self) -> None:
        duty = Founding(
            replica=self.replica,
            seeds=tuple(number_of_host(seed) for seed in self.params.seeds),
            may_found=self.may_found,
            losses=self.params.losses,
            mesh=self.runtime.token(8),
            now=self.runtime.now(),
            begun=self._begun(),
        )
        while duty.duty:
            for command in duty.handle(founded=bool(self.warehouse.shell.core.mesh), now=self.runtime.now()):
                match command:
                    case Look(replicas=replicas):
                        await asyncio.gather(*(self._look(duty, replica) for replica in replicas))
                    case Found(replicas=replicas, call=call):
                        # Its own disk first: a founder that dies half-way is known by what it founded.
                        for replica in sorted(replicas, key=lambda each: each != self.replica):
                            match await self.runtime.lines.call(self.stores[replica], call, within=milliseconds(800)):
                                case Success(FoundAnswer(mishap="")):
                                    duty.told.add(replica)
            await asyncio.sleep(milliseconds(50).total_seconds())

    def _begun(self) -> FoundCall | None:
        """The founding on this disk, if nothing came after it: a founder that died may have told nobody else.

        Telling it again is safe: a voter takes it only under the life that it names and with nothing on its disk.
        """
        core = self.warehouse.shell.core
        if not core.mesh or not core.whole or core.last.offset:
            return None
        return FoundCall(core.mesh, dict(core.state.voters), dict(core.state.operators), core.state.level)

    async def _look(self, duty: Founding, replica: int) -> None:
        match await self.runtime.lines.call(self.stores[replica], LookCall(self.bourse.node), within=milliseconds(500)):
            case Success(LookAnswer() as answer):
                duty.looked(answer)

    # -- operators ---------------------------------------------------------------------------------------------------

    async def patch(self, patch: Patch) -> Result[dict, Mishap]:
        """A bundle in parts, taken at once under the standing sign-off. Idempotent by its items' revisions."""
        bourse = self.bourse
        # Checked here before the log is troubled; the log checks again, for what stands may have moved.
        if isinstance(checked := check_patch(patch), Failure):
            bourse.counters.happen("patch refused", mishap=str(checked.failure().kind), field=checked.failure().field)
            return checked
        self.requests += 1
        request = f"{bourse.node}.{bourse.incarnation}.{self.requests}"
        command = PatchItems(
            request,
            self.params.desk,
            self.params.standing_sign_off,
            pack_patch(patch),
            span=math.ceil(self.params.resend_seconds),
            # What its sender can know of was logged by now.
            seen=self.warehouse.shell.core.state.offset,
        )
        match await bourse.writer.write(command, within=timedelta(seconds=self.params.write_seconds)):
            case Failure(mishap):
                return Failure(mishap)
            case Success(outcome) if outcome.mishap:
                bourse.counters.add(f"patches.{outcome.mishap}")
                bourse.counters.happen("patch refused", mishap=outcome.mishap, field=outcome.field)
                return Failure(Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field))
            case Success(outcome):
                pass
        if not outcome.detail["number"]:
            bourse.counters.add("patches.confirmed again")
        else:
            bourse.counters.happen(
                "bundle patched",
                number=outcome.detail["number"],
                items=len(outcome.detail["changed"]),
                author=self.params.desk,
                signer=self.params.standing_sign_off,
            )
        waits = await self._await_uptake(outcome.detail["offset"])
        return Success({**outcome.detail, "waits_for": waits})

    async def _await_uptake(self, revision: int) -> list[str]:
        """Until every stall that lives has taken it up, or the span is over: the rest follow as news reaches them."""
        bourse = self.bourse
        deadline = bourse.runtime.now() + timedelta(seconds=self.params.uptake_seconds)
        while True:
            now = bourse.runtime.now()
            taken = {uptake.node for uptake in bourse.relay.known_uptakes(now=now) if uptake.revision >= revision}
            # A bourse hears of its own part of the tree; the others' parts are theirs to see.
            mine = {uptake.node for uptake in bourse.relay.known_uptakes(now=now)}
            left = sorted(mine - taken)
            if now >= deadline or not left:
                return left
            await asyncio.sleep(milliseconds(15).total_seconds())

    async def read_items(self, *, within: timedelta) -> Result[list[tuple[str, str, int, bytes]], Mishap]:
        """Every item that stands, as kind, name, revision and the operator's own text, confirmed by the leader."""
        match await self.bourse.writer.read(part="items", known_revision=-1, within=within):
            case Success(ReadAnswer(content=content)):
                return Success([tuple(each) for each in msgspec.msgpack.decode(content)])
            case _:
                return Failure(
                    Mishap(MishapKind.NO_LEADER, "No warehouse leads now.", "Ask again shortly, or another machine.")
                )
