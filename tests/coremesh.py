"""Raft cores on a modelled network, disk and processor in modelled time, so that long fault histories run quickly."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import (
    Announce,
    Answer,
    AnswerArrived,
    Boot,
    CallArrived,
    CallRefused,
    Capture,
    CheckpointLoaded,
    CheckpointStored,
    DropCheckpoints,
    Ended,
    OffsetAndEpoch,
    ProposalArrived,
    ProposalResult,
    RaftTimings,
    ReadChunk,
    Send,
    StopRequested,
    StoreChunk,
    Synced,
    Ticked,
    Write,
)
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.rpc.messages import FetchSnapshotAnswer
from hoistsaddle.statemachine.commands import LEVEL, ClaimKey
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State, initial_state

TICK = milliseconds(15)
# Processor time of one event: receiving, decoding, handling and answering a fetch, with a margin.
EVENT_COST = milliseconds(1.2)
TICK_COST = milliseconds(0.15)
# Processor time of a process start: interpreter, imports and opening the disk.
START_COST = milliseconds(300)
SETTLE = timedelta(seconds=4)


class MemoryDisk:
    """The synced content of a replica's data folder."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.latest: Write | None = None
        self.log: dict[int, tuple] = {}
        self.checkpoints: dict[OffsetAndEpoch, bytes] = {}
        self.fetched_data = b""

    def bootstrap(self, state: State) -> None:
        """Writes what a bootstrap stores: the first checkpoint, and the replica's facts with the mesh."""
        self.checkpoints[OffsetAndEpoch(0, 0)] = pack_state(state)
        self.latest = Write(
            0, 0, None, tuple(state.voters.items()), state.mesh, OffsetAndEpoch(0, 0), False, False, -1, ()
        )

    def write(self, write: Write) -> None:
        """Applies a synced write."""
        self.latest = write
        if write.clear:
            self.log = {}
        if write.truncate_from >= 0:
            self.log = {offset: record for offset, record in self.log.items() if offset < write.truncate_from}
        self.log.update({record.offset: record for record in write.records})
        self.log = {offset: record for offset, record in self.log.items() if offset > write.begin.offset}

    def boot(self, replica: int) -> Boot:
        """The data that a start reads."""
        facts = self.latest
        if facts is None or not facts.mesh:
            return Boot(replica, self.incarnation)
        known = Boot(
            replica,
            self.incarnation,
            facts.epoch,
            facts.vote,
            facts.voters,
            facts.mesh,
            facts.begin,
            facts.catching,
            committed=facts.committed,
        )
        if facts.catching:
            return known
        checkpoint_id = max(self.checkpoints)
        records = tuple(record for _, record in sorted(self.log.items()))
        return known._replace(
            records=records, checkpoint=checkpoint_id, state=unpack_state(self.checkpoints[checkpoint_id])
        )


class Node:
    """A replica's machine with its disk, and its process, which can be killed and restarted."""

    def __init__(self, mesh: "CoreMesh", replica: int, disk: MemoryDisk) -> None:
        self.mesh, self.replica, self.disk = mesh, replica, disk
        self.run_number = 0
        self.core: RaftCore | None = None
        self.busy = self.disk_busy = timedelta()
        self.frozen_until = timedelta()
        self.ended = ""
        # The seeds in its settings, as of the time when these were written.
        self.seeds = mesh.seeds
        self.begin_run()

    def begin_run(self) -> None:
        self.run_number += 1
        self.synced = 0
        self.waiting: list[tuple] = []
        self.tickets: dict[int, Callable[[tuple], None]] = {}
        self.proposal_results: dict[int, ProposalResult] = {}
        self.next_ticket = 0

    @property
    def up(self) -> bool:
        return self.core is not None

    def start(self) -> None:
        """Boots from the disk after START_COST of processor time."""
        mesh = self.mesh
        self.begin_run()
        run_number = self.run_number

        def booted() -> None:
            if self.run_number != run_number:
                return
            self.core = RaftCore(
                boot=self.disk.boot(self.replica),
                replicas=self.seeds,
                timings=mesh.timings,
                seed=random.Random(mesh.random.random()),
                now=mesh.now,
                wanted_voters=mesh.wanted,
                placement=mesh.placement,
            )
            self.ended = ""
            self.tick(run_number)

        mesh.later(START_COST / mesh.processor, booted)

    def kill(self) -> None:
        """Kills the process; unsynced writes and unsent messages are lost."""
        self.core = None
        self.begin_run()

    def tick(self, run_number: int) -> None:
        if self.up and self.run_number == run_number:
            self.feed(Ticked(), cost=TICK_COST)
            self.mesh.later(TICK, lambda: self.tick(run_number))

    def feed(self, event: tuple, *, cost: timedelta = EVENT_COST) -> None:
        """Queues an event behind the earlier work of the processor; a tick delayed by more than TICK is skipped."""
        run_number = self.run_number
        begin = max(self.mesh.now, self.busy, self.frozen_until)
        if isinstance(event, Ticked) and begin - self.mesh.now > TICK:
            return
        self.busy = begin + cost / self.mesh.processor
        self.mesh.at(self.busy, lambda: self.handle(run_number, event))

    def handle(self, run_number: int, event: tuple) -> None:
        if self.run_number != run_number or not self.up:
            return
        if isinstance(event, Synced):
            self.synced = max(self.synced, event.sequence)
        for command in self.core.handle(event, now=self.mesh.now):
            self.execute(command)
        if isinstance(event, Synced):
            ready = [each for each in self.waiting if each.after <= self.synced]
            self.waiting = [each for each in self.waiting if each.after > self.synced]
            for command in ready:
                self.execute(command)

    def execute(self, command: tuple) -> None:
        """Executes a command of the core; messages wait for the sync that they depend on."""
        mesh, disk, run_number = self.mesh, self.disk, self.run_number
        match command:
            case Send(after=after) | Answer(after=after) if after > self.synced:
                self.waiting.append(command)
            case Send(number=number, replica=replica, message=message):
                mesh.call(self, number, replica, message)
            case Answer(ticket=ticket, message=message):
                if ticket in self.tickets:
                    self.tickets.pop(ticket)(message)
            case Write(sequence=sequence):
                self.disk_busy = max(mesh.now, self.disk_busy) + mesh.sync

                def synced() -> None:
                    if self.run_number == run_number:
                        disk.write(command)
                        self.feed(Synced(sequence))

                mesh.at(self.disk_busy, synced)
            case Capture(checkpoint_id=checkpoint_id, state=state):
                disk.checkpoints[checkpoint_id] = pack_state(state)
                self.feed(CheckpointStored(checkpoint_id, len(disk.checkpoints[checkpoint_id])))
            case ReadChunk(ticket=ticket, epoch=epoch, call=call, max_bytes=most):
                checkpoint_id = OffsetAndEpoch(call.checkpoint_offset, call.checkpoint_epoch)
                complete = disk.checkpoints.get(checkpoint_id, b"")
                data = complete[call.position : call.position + most]
                continues = call.position + len(data) < len(complete)
                error = "" if complete else "SNAPSHOT_NOT_FOUND"
                if ticket in self.tickets:
                    self.tickets.pop(ticket)(
                        FetchSnapshotAnswer(error, epoch, *checkpoint_id, call.position, data, continues)
                    )
            case StoreChunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last):
                disk.fetched_data = disk.fetched_data[:position] + data
                if last:
                    disk.checkpoints[checkpoint_id] = disk.fetched_data
                    self.feed(CheckpointLoaded(checkpoint_id, unpack_state(disk.fetched_data)))
            case DropCheckpoints(below=below):
                disk.checkpoints = {
                    checkpoint_id: data
                    for checkpoint_id, data in disk.checkpoints.items()
                    if checkpoint_id.offset >= below
                }
            case ProposalResult(ticket=ticket):
                self.proposal_results[ticket] = command
            case Ended(why=why):
                self.ended = why
            case Announce(kind=kind, detail=detail):
                mesh.announcements.append((mesh.now, kind, detail))


class CoreMesh:
    """Machines 1 to n; the first `voters` of them are bootstrapped as voters, the others are spares."""

    def __init__(
        self,
        *,
        seed: int,
        machines: int = 3,
        voters: int = 3,
        level: int = LEVEL,
        processor: float = 1.0,
        sync: timedelta = milliseconds(0.5),
        timings: RaftTimings | None = None,
        tolerated: ToleratedLosses | None = None,
        locations: dict[int, Location] | None = None,
    ) -> None:
        """Starts the machines; with tolerated losses, the voters are placed by the machines' locations."""
        self.random = random.Random(seed)
        self.locations = locations or {}
        self.placement: VoterPlacement | None = None
        self.timings = timings or RaftTimings(startup_election_fraction=0.4, checkpoint_records=100)
        self.wanted = voters
        if tolerated is not None:
            self.wanted = tolerated.fewest_voters
            self.placement = VoterPlacement(tolerated, lambda _, replica: self.locations.get(replica, Location()))
        self.processor, self.sync = processor, sync
        self.now = timedelta(seconds=100)
        self.queue: list[tuple] = []
        self.count = itertools.count()
        self.announcements: list[tuple[timedelta, str, dict]] = []
        self.cuts: set[frozenset[int]] = set()
        self.seeds = tuple(range(1, min(3, machines) + 1))
        self.nodes: dict[int, Node] = {}
        founded = {each: f"life-{each}" for each in range(1, voters + 1)}
        state = initial_state(mesh="m", voters=founded, operators={}, level=level)
        for replica in range(1, machines + 1):
            disk = MemoryDisk(f"life-{replica}")
            if replica <= voters:
                disk.bootstrap(state)
            self.nodes[replica] = Node(self, replica, disk)
            self.nodes[replica].start()

    # -- time and network --------------------------------------------------------------------------------------------

    def at(self, timestamp: timedelta, work: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (timestamp, next(self.count), work))

    def later(self, span: timedelta, work: Callable[[], None]) -> None:
        self.at(self.now + span, work)

    def run(self, span: timedelta) -> "CoreMesh":
        """Runs everything that is due within the span."""
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self.queue)
            work()
        self.now = end
        return self

    def until(self, condition: Callable[[], bool], *, most: timedelta) -> timedelta:
        """Runs until the condition holds; returns the elapsed time, or raises AssertionError after `most`."""
        started_at = self.now
        while not condition():
            if self.now - started_at > most:
                raise AssertionError(f"not within {most}: {self.describe()}")
            self.run(milliseconds(5))
        return self.now - started_at

    def latency(self) -> timedelta:
        """A random one-way delay."""
        return milliseconds(self.random.uniform(0.5, 8))

    def call(self, caller: Node, number: int, replica: int, message: tuple) -> None:
        """Sends a call; its answer is lost if the link is cut or the process that made the call has ended."""
        run_number = caller.run_number
        link = frozenset((caller.replica, replica))

        def send_back(event: tuple) -> None:
            def arrive() -> None:
                if caller.run_number == run_number and caller.up and link not in self.cuts:
                    caller.feed(event)

            self.later(self.latency(), arrive)

        def arrive() -> None:
            node = self.nodes.get(replica)
            if link in self.cuts or node is None:
                return
            if not node.up:
                send_back(CallRefused(replica))
                return
            node.next_ticket += 1
            node.tickets[node.next_ticket] = lambda answer: send_back(AnswerArrived(number, replica, answer))
            node.feed(CallArrived(node.next_ticket, message))

        self.later(self.latency(), arrive)

    # -- faults ------------------------------------------------------------------------------------------------------

    def add(self, replica: int) -> Node:
        """Adds a machine with a blank disk; its seeds are up to three random existing machines."""
        others = sorted(self.nodes)
        node = self.nodes[replica] = Node(self, replica, MemoryDisk(f"life-{replica}"))
        node.seeds = tuple(self.random.sample(others, min(3, len(others))))
        node.start()
        return node

    def remove(self, replica: int) -> None:
        """Removes the machine permanently."""
        self.nodes.pop(replica).kill()

    def wipe(self, replica: int) -> None:
        """Kills the process and replaces its disk by a blank one; the process stays stopped."""
        node = self.nodes[replica]
        node.kill()
        node.disk = MemoryDisk(f"life-{replica}-{self.random.randrange(10**9)}")

    def freeze(self, replica: int, span: timedelta) -> None:
        self.nodes[replica].frozen_until = self.now + span

    def stop(self, replica: int, *, grace: timedelta = timedelta(seconds=3)) -> timedelta:
        """Stops the process as on SIGTERM, and kills it once it has handed over; returns the time until then."""
        node = self.nodes[replica]
        node.feed(StopRequested(grace))
        duration = self.until(lambda: node.ended != "", most=grace + timedelta(seconds=1))
        self.run(milliseconds(100))
        node.kill()
        return duration

    # -- observation ------------------------------------------------------------------------------------------------

    def leader(self) -> Node | None:
        """The running leader of the highest epoch, if any."""
        leading = [node for node in self.nodes.values() if node.up and node.core.role == LEADER]
        return max(leading, key=lambda node: node.core.epoch, default=None)

    def voters(self) -> dict[int, str]:
        node = self.leader()
        return {} if node is None else dict(sorted(node.core.state.voters.items()))

    def is_voter(self, replica: int) -> bool:
        """Whether the current disk of this replica is a committed voter, and no change of voters is open."""
        node, leader = self.nodes.get(replica), self.leader()
        return (
            node is not None
            and leader is not None
            and leader.core.state.voters.get(replica) == node.disk.incarnation
            and not leader.core.pending_voter_changes
        )

    def has_active_leader(self) -> bool:
        """Whether a leader has committed a record of its own epoch."""
        node = self.leader()
        return node is not None and node.core.high_watermark >= node.core.replication.epoch_start_offset > 0

    def write(self, *, most: timedelta = timedelta(seconds=5)) -> int:
        """Commits one record through the current leader; returns its offset."""
        self.sequence = getattr(self, "sequence", 0) + 1
        payload = pack_command(ClaimKey(f"scope-{self.sequence}", f"claim-{self.sequence}", "stall", "digest"))
        started_at = self.now
        while self.now - started_at < most:
            node = self.leader()
            if node is None:
                self.run(milliseconds(20))
                continue
            node.next_ticket += 1
            ticket, run_number = node.next_ticket, node.run_number
            node.feed(ProposalArrived(ticket, (payload,)))
            while (
                self.now - started_at < most and node.run_number == run_number and ticket not in node.proposal_results
            ):
                self.run(milliseconds(5))
            if (
                node.run_number == run_number
                and ticket in node.proposal_results
                and not node.proposal_results[ticket].error
            ):
                return node.proposal_results[ticket].offset
            self.run(milliseconds(20))
        raise AssertionError(f"no record is committed any more: {self.describe()}")

    def describe(self) -> str:
        """The state of every replica in one line, for failure messages."""
        parts = []
        for replica, node in sorted(self.nodes.items()):
            if not node.up:
                parts.append(f"{replica} down")
                continue
            core = node.core
            sets = [sorted(each) for each in core.voter_sets()]
            parts.append(
                f"{replica} {core.role} epoch {core.epoch} leader {core.leader} complete {core.complete}"
                f" last {core.last.offset} high {core.high_watermark} voters {sets}"
            )
        return "; ".join(parts)
