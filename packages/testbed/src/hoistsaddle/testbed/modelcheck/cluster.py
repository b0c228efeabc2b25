"""A cluster of raft cores with a modelled network, modelled disks and a clock that the caller advances; no I/O."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import (
    Answer,
    AnswerArrived,
    Boot,
    CallArrived,
    CallRefused,
    Capture,
    DropCheckpoints,
    Ended,
    ProposalArrived,
    ProposalResult,
    RaftTimings,
    ReadArrived,
    ReadChunk,
    ReadResult,
    Send,
    StopRequested,
    StoreChunk,
    Synced,
    Ticked,
    Write,
)
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import initial_state
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.invariants import Invariants
from hoistsaddle.testbed.modelcheck.machine import Machine
from hoistsaddle.testbed.modelcheck.modeldisk import ChunkRead, ModelDisk

MESH = "modelled"
# Checkpoints and chunks small enough to be taken, fetched and replaced within a walk of a few dozen steps.
SMALL_TIMINGS = RaftTimings(checkpoint_records=4, chunk_bytes=160, fetch_records=3)
# In each time step of a run all deliverable messages are delivered, then every core gets one tick.
TIME_STEP = milliseconds(50)
# The most rounds of messages and disk jobs in one time step.
MAX_ROUNDS_PER_STEP = 6
# The most messages in flight from one replica to another; beyond it the oldest is lost, as with a closed connection.
LINK_CAPACITY = 12


class Packet(NamedTuple):
    """One message in flight. An answer is delivered only to the generation that made the call."""

    sender: int
    receiver: int
    # The generation that made the call, or the one that an answer is for.
    generation: int
    number: int
    message: tuple
    is_call: bool


def ticket_of(packet: Packet) -> int:
    """A call's ticket, derived from its sender and not from its arrival, so that equal states have equal tickets.

    The last two digits number the copies of one call; all client tickets are lower.
    """
    return ((packet.sender * 1000 + packet.generation) * 10**6 + packet.number) * 100


class Cluster:
    """All machines of one run, the messages in flight, and the invariants that are checked at every step."""

    def __init__(
        self,
        *,
        size: int,
        seed: int,
        timings: RaftTimings = SMALL_TIMINGS,
        fault: InjectedFault | None = None,
        make_random: Callable[[int], random.Random] = random.Random,
        time_step: timedelta = TIME_STEP,
    ) -> None:
        self.size = size
        self.seed = seed
        self.timings = timings
        self.fault = fault or InjectedFault()
        self.make_random = make_random
        self.time_step = time_step
        self.now = timedelta(seconds=100)
        self.in_flight: list[Packet] = []
        self.cuts: set[tuple[int, int]] = set()
        self.tickets = 0
        self.incarnations = 0
        self.events = 0
        disks = [self._blank_disk(replica) for replica in range(1, size + 1)]
        voters = tuple((disk.replica, disk.incarnation) for disk in disks)
        state = initial_state(mesh=MESH, voters=dict(voters), operators={}, level=LEVEL)
        self.invariants = Invariants(initial=state, wanted_voters=size)
        self.machines: dict[int, Machine] = {disk.replica: Machine(disk=disk) for disk in disks}
        for disk in disks:
            disk.bootstrap(mesh=MESH, voters=voters, state=state)
            self.invariants.register_disk(disk)
            self.start(disk.replica)

    def copy(self, *, touching: tuple[int, ...]) -> "Cluster":
        """A copy of the cluster, to continue on another path; it shares the machines that aren't in `touching`."""
        copied = object.__new__(Cluster)
        copied.__dict__.update(self.__dict__)
        copied.machines = dict(self.machines)
        copied.in_flight = list(self.in_flight)
        copied.cuts = set(self.cuts)
        copied.invariants = self.invariants.copy()
        for replica in touching:
            machine = copied.machines[replica] = self.machines[replica].copy()
            copied.invariants.register_disk(machine.disk)
        return copied

    # -- machines ----------------------------------------------------------------------------------------------------

    def _blank_disk(self, replica: int) -> ModelDisk:
        self.incarnations += 1
        return ModelDisk(replica=replica, incarnation=f"disk-{self.incarnations}")

    def start(self, replica: int) -> None:
        """Starts the process from the synced data; a folder that can't be booted is first replaced by a blank one."""
        machine = self.machines[replica]
        boot = machine.disk.boot()
        if boot is None:
            machine.disk = self._blank_disk(replica)
            self.invariants.register_disk(machine.disk)
            boot = machine.disk.boot()
        machine.generation += 1
        machine.synced = 0
        machine.waiting = []
        machine.pending_calls = {}
        machine.frozen = machine.stalled = machine.leaving = False
        machine.core = self._make_core(boot, machine)
        self.invariants.started(machine)

    def _make_core(self, boot: Boot, machine: Machine) -> RaftCore:
        return self.fault.core_class(
            boot=boot,
            replicas=self.seeds(),
            timings=self.timings,
            seed=self.make_random(self.seed * 1000 + machine.replica * 100 + machine.generation),
            now=self.now + machine.clock_offset,
            wanted_voters=self.size,
        )

    def crash(self, replica: int, *, kept: int) -> None:
        """Loses power; the first `kept` of the pending disk jobs still reach the disk."""
        machine = self.machines[replica]
        machine.core = None
        machine.disk.lose_power(kept=kept)
        self.invariants.disk_changed(machine)

    def wipe(self, replica: int) -> None:
        """Replaces the disk by a blank one; the process stays stopped."""
        machine = self.machines[replica]
        machine.core = None
        former = machine.disk.incarnation
        machine.disk = self._blank_disk(replica)
        if self.fault.keeps_incarnation:
            machine.disk.incarnation = former
        self.invariants.register_disk(machine.disk)

    def add_spare(self) -> int:
        """Adds a machine with a blank disk and starts it; returns its replica number."""
        replica = max(self.machines) + 1
        machine = self.machines[replica] = Machine(disk=self._blank_disk(replica))
        self.invariants.register_disk(machine.disk)
        self.start(replica)
        self._update_seeds()
        return replica

    def seeds(self) -> tuple[int, ...]:
        """The seeds of a starting replica: all machines that aren't removed."""
        return tuple(sorted(replica for replica, machine in self.machines.items() if not machine.removed))

    def _update_seeds(self) -> None:
        """Adds the new seeds to the settings of every running process, as the raft runner does."""
        for machine in self.machines.values():
            if machine.core is not None:
                machine.core.seeds = tuple(dict.fromkeys((*self.seeds(), *machine.core.seeds)))

    def remove(self, replica: int) -> None:
        """Removes the machine permanently."""
        machine = self.machines[replica]
        machine.core = None
        machine.removed = True

    def request_stop(self, replica: int, *, duration: timedelta) -> None:
        """Asks a process to stop, with this grace period to hand over; the machine doesn't return afterwards."""
        self.machines[replica].leaving = True
        self.feed(self.machines[replica], StopRequested(duration))

    # -- the network -------------------------------------------------------------------------------------------------

    def can_deliver(self, packet: Packet) -> bool:
        """Whether a message can be delivered now."""
        receiver = self.machines[packet.receiver]
        return (packet.sender, packet.receiver) not in self.cuts and not receiver.frozen

    def post(self, packet: Packet) -> None:
        """Puts a message in flight; the oldest one on the link is lost if there are too many."""
        self.in_flight.append(packet)
        on_link = [each for each in self.in_flight if (each.sender, each.receiver) == (packet.sender, packet.receiver)]
        if len(on_link) > LINK_CAPACITY:
            self.in_flight.remove(on_link[0])

    def deliver(self, packet: Packet) -> None:
        """Delivers a message. The caller removes it from `in_flight` first, or leaves it to be delivered again."""
        receiver = self.machines[packet.receiver]
        if packet.is_call:
            sender = self.machines[packet.sender]
            if receiver.core is not None:
                ticket = ticket_of(packet)
                while ticket in receiver.pending_calls:
                    ticket += 1
                receiver.pending_calls[ticket] = (packet.sender, packet.generation, packet.number)
                self.feed(receiver, CallArrived(ticket, packet.message))
            elif (
                sender.responsive
                and sender.generation == packet.generation
                and (packet.receiver, packet.sender) not in self.cuts
            ):
                self.feed(sender, CallRefused(packet.receiver))
        elif receiver.core is not None and receiver.generation == packet.generation:
            self.feed(receiver, AnswerArrived(packet.number, packet.sender, packet.message))

    def deliver_next(self) -> bool:
        """Delivers the oldest deliverable message; returns whether there was one."""
        for place, packet in enumerate(self.in_flight):
            if self.can_deliver(packet):
                del self.in_flight[place]
                self.deliver(packet)
                return True
        return False

    # -- one core ----------------------------------------------------------------------------------------------------

    def feed(self, machine: Machine, event: tuple) -> None:
        """Passes an event to a core, checks the invariants, and executes the commands that it returns."""
        self.events += 1
        event = self.fault.filter_event(machine, event)
        before = self.invariants.before(machine)
        commands = machine.core.handle(event, now=self.now + machine.clock_offset)
        if isinstance(event, Synced):
            machine.synced = max(machine.synced, event.sequence)
        commands = self.fault.filter_commands(machine, event, commands)
        self.invariants.after(machine, before, commands, self.machines)
        for command in commands:
            self._execute(machine, command)
        if isinstance(event, Synced):
            ready = [command for after, command in machine.waiting if after <= machine.synced]
            machine.waiting = [pair for pair in machine.waiting if pair[0] > machine.synced]
            for command in ready:
                self._execute(machine, command)
        if machine.ended:
            # The process has ended; messages that it sent stay in flight.
            self.remove(machine.replica)

    def _execute(self, machine: Machine, command: tuple) -> None:
        match command:
            case Send(after=after) | Answer(after=after) if after > machine.synced:
                machine.waiting.append((after, command))
            case Send(number=number, replica=replica, message=message):
                self.invariants.sent(machine, message)
                if replica in self.machines:
                    self.post(Packet(machine.replica, replica, machine.generation, number, message, True))
            case Answer(ticket=ticket, message=message):
                self._answer(machine, ticket, message)
            case Write() | Capture() | StoreChunk() | DropCheckpoints() | ReadChunk():
                machine.disk.jobs.append(command)
            case Ended(why=why):
                machine.ended = True
                self.invariants.ended(machine, why)
            case ProposalResult():
                self.invariants.concluded(command)
            case ReadResult():
                self.invariants.read_ready(command)

    def _answer(self, machine: Machine, ticket: int, message: tuple) -> None:
        pending_call = machine.pending_calls.pop(ticket, None)
        if pending_call is not None:
            self.invariants.answered(machine, message)
            replica, generation, number = pending_call
            self.post(Packet(machine.replica, replica, generation, number, message, False))

    def do_disk_job(self, replica: int) -> bool:
        """Executes the next disk job and reports it to the core; returns whether there was one."""
        machine = self.machines[replica]
        if not machine.disk.jobs or not machine.responsive:
            return False
        report = machine.disk.do_next()
        self.invariants.disk_changed(machine)
        if isinstance(report, ChunkRead):
            self._answer(machine, report.ticket, report.answer)
        elif report is not None:
            self.feed(machine, report)
        return True

    def sync_disks(self, *replicas: int) -> bool:
        """Executes all disk jobs of these replicas; returns whether there were any."""
        done = False
        for replica in replicas:
            while self.do_disk_job(replica):
                done = True
        return done

    def tick(self, replica: int) -> None:
        """Sends a tick to a running core."""
        if self.machines[replica].responsive:
            self.feed(self.machines[replica], Ticked())

    # -- clients -----------------------------------------------------------------------------------------------------

    def propose(self, replica: int, payload: bytes) -> int:
        """A client proposes a record at a replica; returns the ticket."""
        self.tickets += 1
        self.invariants.proposed(self.tickets, payload)
        self.feed(self.machines[replica], ProposalArrived(self.tickets, (payload,)))
        return self.tickets

    def read(self, replica: int) -> int:
        """A client requests a confirmed read from a replica; returns the ticket."""
        self.tickets += 1
        self.invariants.read_requested(self.tickets)
        self.feed(self.machines[replica], ReadArrived(self.tickets))
        return self.tickets

    def leader(self) -> int | None:
        """The running leader of the highest epoch, if any."""
        leading = [each for each in self.machines.values() if each.responsive and each.core.role == LEADER]
        return max(leading, key=lambda each: each.core.epoch).replica if leading else None

    # -- time --------------------------------------------------------------------------------------------------------

    def run(self, duration: timedelta, *, until: Callable[[], Any] | None = None) -> bool:
        """Runs all machines for this long; returns True as soon as the condition holds, else False."""
        end = self.now + duration
        while self.now < end:
            self.now += self.time_step
            for _ in range(MAX_ROUNDS_PER_STEP):
                progressed = False
                for packet in [each for each in self.in_flight if self.can_deliver(each)]:
                    if packet in self.in_flight:
                        self.in_flight.remove(packet)
                        self.deliver(packet)
                        progressed = True
                for replica in list(self.machines):
                    while not self.machines[replica].stalled and self.do_disk_job(replica):
                        progressed = True
                if not progressed:
                    break
            for replica in list(self.machines):
                self.tick(replica)
            if until is not None and until():
                return True
        return False
