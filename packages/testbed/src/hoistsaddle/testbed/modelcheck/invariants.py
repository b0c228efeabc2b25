"""Invariants checked after each step, from the content of the disks and the messages sent, not from a core's claims."""

from functools import cache
from typing import NamedTuple

from hoistsaddle.config.item_checks import read_patch
from hoistsaddle.config.items import SERVICE, ItemUpsert, Patch, pack_patch
from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import Capture, ProposalResult, ReadResult
from hoistsaddle.rpc.messages import FetchCall, Record, VoteAnswer, VoteCall
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import PatchItems
from hoistsaddle.statemachine.encoding import pack_command, unpack_command
from hoistsaddle.statemachine.state import State, initial_state
from hoistsaddle.testbed.modelcheck.machine import Machine
from hoistsaddle.testbed.modelcheck.modeldisk import ModelDisk

Voters = dict[int, str]
# The reason of `Ended` for a replica that handed over everything before it stopped.
HANDED_OVER = "handed over"


class InvariantViolated(AssertionError):
    """The last step violated an invariant."""

    def __init__(self, rule: str, description: str) -> None:
        super().__init__(f"{rule}: {description}")
        self.rule = rule


class CoreSnapshot(NamedTuple):
    """The log and high-watermark of a core before an event."""

    log: list[Record]
    begin: int
    complete: bool
    high_watermark: int


def upsert_proposal(*, request: int, name: str, revision: int, content: str) -> bytes:
    """An encoded proposal that sets one item, as a registry sends it for an operator."""
    upsert = ItemUpsert(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
    return pack_command(PatchItems(f"request-{request}", "desk", "standing", pack_patch(Patch([upsert], []))))


@cache
def rejects_changed_content() -> bool:
    """Whether the state machine rejects a second content for a version, tested with a sample."""
    state = initial_state(mesh="m", voters={1: "one"}, operators={}, level=3)
    for place, content in enumerate(("this", "that"), start=1):
        state, outcome = apply(
            state,
            offset=place,
            epoch=1,
            stamp=state.mesh_time,
            payload=upsert_proposal(request=place, name="sample", revision=1, content=content),
        )
    return bool(outcome.error)


def is_voter_change(record: Record) -> bool:
    """Whether a record changes the voters, by the command type encoded at the start of its payload."""
    return b"Voter" in record.payload[:24]


def _voters_after(voters: Voters, record: Record) -> Voters | None:
    """The voters after this record is applied by the state machine; None if it doesn't change them."""
    if not is_voter_change(record):
        return None
    state = initial_state(mesh="m", voters=voters, operators={}, level=2**30)
    state, _ = apply(state, offset=1, epoch=1, stamp=state.mesh_time, payload=record.payload, supported=2**30)
    return dict(state.voters)


class Invariants:
    """The committed log as observed so far, and the checks of every step against it."""

    def __init__(self, *, initial: State, wanted_voters: int) -> None:
        self.wanted_voters = wanted_voters
        self.committed: list[Record] = []
        self.states: list[State] = [initial]
        # Offset of the newest committed record that changed the voters.
        self.voters_changed_at = 0
        self.leaders: dict[int, tuple[int, int]] = {}
        self.disks: dict[tuple[int, str], ModelDisk] = {}
        self.checked_up_to: dict[tuple[int, int], int] = {}
        self.proposals: dict[int, bytes] = {}
        self.acknowledged: dict[tuple[str, int], bytes] = {}
        self.applied: dict[tuple[str, int], tuple[bool, bytes]] = {}
        self.reads: dict[int, int] = {}
        self.checks_versions = rejects_changed_content()
        # How often each kind of checked event occurred.
        self.figures: dict[str, int] = {}

    def copy(self) -> "Invariants":
        """A copy of the history so far, to continue on another path."""
        copied = object.__new__(Invariants)
        for name, value in self.__dict__.items():
            copied.__dict__[name] = value.copy() if isinstance(value, list | dict) else value
        return copied

    # -- committed state -----------------------------------------------------------------------------------------------

    @property
    def last_committed(self) -> int:
        """The newest committed offset."""
        return len(self.committed)

    @property
    def voters(self) -> Voters:
        """The voters by the last committed record."""
        return dict(self.states[-1].voters)

    def _count(self, what: str) -> None:
        self.figures[what] = self.figures.get(what, 0) + 1

    def _epoch(self, offset: int) -> int:
        return self.committed[offset - 1].epoch if offset > 0 else 0

    def register_disk(self, disk: ModelDisk) -> None:
        """Registers a disk under its incarnation; former incarnations stay registered with their records and votes."""
        self.disks[(disk.replica, disk.incarnation)] = disk

    def started(self, machine: Machine) -> None:
        """Checks the core of a process that has just started."""
        self.checked_up_to[(machine.replica, machine.generation)] = 0
        self._check_core(machine)

    # -- one step ------------------------------------------------------------------------------------------------------

    def before(self, machine: Machine) -> CoreSnapshot:
        """A snapshot of a core before an event."""
        core = machine.core
        return CoreSnapshot(list(core.log), core.begin.offset, core.complete, core.high_watermark)

    def after(
        self,
        machine: Machine,
        before: CoreSnapshot,
        commands: list[tuple],
        machines: dict[int, Machine],
    ) -> None:
        """Checks a core and its commands after an event."""
        core = machine.core
        if core.role == LEADER:
            self._check_leading(machine)
            self._check_commit(core, machines)
        self._check_not_truncated(machine, before)
        self._check_core(machine)
        for command in commands:
            if isinstance(command, Capture):
                self._check_capture(machine, command)

    def disk_changed(self, machine: Machine) -> None:
        """After disk jobs or a power loss, checks that no possible election loses a committed record."""
        newest = machine.disk.newest
        if newest is not None and (newest.clear or newest.truncate_from >= 0 or machine.core is None):
            self._check_electable()

    # -- elections -----------------------------------------------------------------------------------------------------

    def _check_leading(self, machine: Machine) -> None:
        core = machine.core
        process = (machine.replica, machine.generation)
        known_leader = self.leaders.setdefault(core.epoch, process)
        if known_leader != process:
            raise InvariantViolated(
                "one leader an epoch", f"{process} leads epoch {core.epoch}, and so did {known_leader}"
            )
        if machine.last_led == (core.epoch, machine.generation):
            return
        machine.last_led = (core.epoch, machine.generation)
        self._count("elections")
        self._check_holds_committed(machine)
        voter = (machine.replica, machine.disk.incarnation)
        for voters in self._voter_sets(core):
            votes = self._count_voters(voters, lambda disk: (core.epoch, voter) in disk.ever_voted)
            if votes * 2 <= len(voters):
                raise InvariantViolated(
                    "leaders by majorities that meet",
                    f"{machine.replica} leads epoch {core.epoch} with {votes} synced votes of {sorted(voters)}",
                )

    def _check_holds_committed(self, machine: Machine) -> None:
        core = machine.core
        if not core.complete or core.last.offset < self.last_committed:
            raise InvariantViolated(
                "a leader holds all that is committed",
                f"{machine.replica} leads epoch {core.epoch} up to {core.last.offset}, "
                f"committed is {self.last_committed}",
            )
        for offset in range(core.begin.offset, self.last_committed + 1):
            if core.epoch_at(offset) != self._epoch(offset):
                raise InvariantViolated(
                    "a leader holds all that is committed",
                    f"{machine.replica} leads epoch {core.epoch} with a different record at {offset}",
                )

    def _voter_sets(self, core: RaftCore) -> list[Voters]:
        """The voter sets whose majorities must agree: the newest in this log, and the previous one until it commits."""
        voters = dict(self.states[min(core.state.offset, self.last_committed)].voters)
        sets = [voters]
        for record in core.log:
            if record.offset <= core.state.offset or (after := _voters_after(voters, record)) is None:
                continue
            sets = [after] if record.offset <= self.last_committed else [*sets, after]
            voters = after
        return sets

    def _count_voters(self, voters: Voters, condition) -> int:
        return sum(condition(self.disks[voter]) for voter in voters.items() if voter in self.disks)

    def _check_electable(self) -> None:
        """Checks that every voter that could win an election after a restart from disk holds all committed records."""
        voters = self.voters
        log_ends = {}
        for replica, incarnation in voters.items():
            disk = self.disks.get((replica, incarnation))
            newest = disk.newest if disk is not None else None
            if newest is None:
                continue
            last = max(disk.log, default=newest.begin.offset)
            epoch = disk.log[last].epoch if last in disk.log else newest.begin.epoch
            log_ends[replica] = (-1, -1) if newest.catching else (epoch, last)
        for replica, log_end in log_ends.items():
            disk = self.disks[(replica, voters[replica])]
            possible_votes = sum(other <= log_end for other in log_ends.values())
            if log_end[1] >= 0 and possible_votes * 2 > len(voters) and not disk.can_restore(self.last_committed):
                raise InvariantViolated(
                    "committed records outlive what may be lost",
                    f"{replica} with its log end at {log_end} could be elected, committed is {self.last_committed}",
                )

    # -- commits -------------------------------------------------------------------------------------------------------

    def _check_commit(self, core: RaftCore, machines: dict[int, Machine]) -> None:
        open_changes = [
            record.offset for record in core.log if record.offset > self.last_committed and is_voter_change(record)
        ]
        if len(open_changes) > 1:
            raise InvariantViolated(
                "one change of voters at a time", f"{core.replica} logged open changes at {open_changes}"
            )
        commit_offset = core.high_watermark
        if commit_offset <= self.last_committed:
            return
        epoch = core.epoch_at(commit_offset)
        if epoch != core.epoch:
            raise InvariantViolated(
                "only a record of the leader's epoch commits by counting",
                f"{core.replica} in epoch {core.epoch} committed up to {commit_offset} of epoch {epoch}",
            )
        for voters in self._voter_sets(core):
            holders = self._count_voters(voters, lambda disk: disk.has_synced(commit_offset, epoch))
            if holders * 2 <= len(voters):
                raise InvariantViolated(
                    "commits by majorities that meet",
                    f"{core.replica} committed {commit_offset}, synced on {holders} of {sorted(voters.items())}",
                )
        for record in core.log:
            if self.last_committed < record.offset <= commit_offset:
                self._commit(record)
        for machine in machines.values():
            if machine.core is not None and machine.core.role == LEADER and machine.core.epoch > core.epoch:
                self._check_holds_committed(machine)

    def _commit(self, record: Record) -> None:
        if record.offset != self.last_committed + 1:
            raise InvariantViolated("no gap in what is committed", f"{record.offset} follows {self.last_committed}")
        self._count("records committed")
        state, _ = apply(
            self.states[-1], offset=record.offset, epoch=record.epoch, stamp=record.stamp, payload=record.payload
        )
        if state.voters != self.states[-1].voters:
            self._count("voter changes committed")
            self.voters_changed_at = record.offset
        self.committed.append(record)
        if state.items is not self.states[-1].items:
            self._check_items(state)
        self.states.append(state)

    def _check_items(self, state: State) -> None:
        for key, item in state.items.items():
            content = (item.dropped, item.body)
            if self.applied.setdefault((key, item.revision), content) != content:
                raise InvariantViolated(
                    "one content for each version", f"{key} has two contents at version {item.revision}"
                )

    # -- the state of each core ----------------------------------------------------------------------------------------

    def _check_not_truncated(self, machine: Machine, before: CoreSnapshot) -> None:
        core = machine.core
        if not before.complete or not core.complete:
            return
        if core.high_watermark < before.high_watermark:
            raise InvariantViolated(
                "a high-watermark never goes back",
                f"{machine.replica} moved it back from {before.high_watermark} to {core.high_watermark}",
            )
        if not before.log or core.epoch_at(before.log[-1].offset) == before.log[-1].epoch:
            return
        for record in before.log:
            if record.offset <= core.begin.offset or core.epoch_at(record.offset) == record.epoch:
                continue
            if record.offset <= self.last_committed and self._epoch(record.offset) == record.epoch:
                raise InvariantViolated(
                    "committed records are never truncated",
                    f"{machine.replica} truncated the record at {record.offset} of epoch {record.epoch}",
                )

    def _check_core(self, machine: Machine) -> None:
        core = machine.core
        if not core.complete:
            self.checked_up_to[(machine.replica, machine.generation)] = 0
            return
        if core.high_watermark > self.last_committed:
            raise InvariantViolated(
                "logs are equal up to the high-watermark",
                f"{machine.replica} has a high-watermark of {core.high_watermark}, committed is {self.last_committed}",
            )
        checked_before = self.checked_up_to[(machine.replica, machine.generation)]
        if core.high_watermark > checked_before:
            self.checked_up_to[(machine.replica, machine.generation)] = core.high_watermark
            self._check_records(machine, after=checked_before)
            if core.state.offset <= self.last_committed and core.state != self.states[core.state.offset]:
                raise InvariantViolated(
                    "states are equal at equal offsets",
                    f"{machine.replica} has a different state at {core.state.offset}",
                )

    def _check_records(self, machine: Machine, *, after: int) -> None:
        for record in machine.core.log:
            if after < record.offset <= machine.core.high_watermark and record != self.committed[record.offset - 1]:
                raise InvariantViolated(
                    "logs are equal up to the high-watermark",
                    f"{machine.replica} holds a different record at {record.offset}",
                )

    def _check_capture(self, machine: Machine, capture: Capture) -> None:
        self._count("checkpoints")
        checkpoint_id = capture.checkpoint_id
        if checkpoint_id.offset > self.last_committed or capture.state != self.states[checkpoint_id.offset]:
            raise InvariantViolated(
                "checkpoints hold committed state",
                f"{machine.replica} takes a checkpoint at {checkpoint_id}, committed is {self.last_committed}",
            )

    # -- messages ------------------------------------------------------------------------------------------------------

    def sent(self, machine: Machine, message: tuple) -> None:
        """The records that a fetch claims, and the candidate's own vote in a vote request, must be synced."""
        if isinstance(message, VoteCall) and not message.pre_vote:
            self._check_vote(machine, (message.epoch, (machine.replica, machine.disk.incarnation)))
        if not isinstance(message, FetchCall) or not message.complete or message.fetch_offset < 1:
            return
        if not machine.disk.has_synced(message.fetch_offset - 1, message.fetch_epoch):
            raise InvariantViolated(
                "a fetch claims only what is synced",
                f"{machine.replica} claims {message.fetch_offset - 1} of epoch {message.fetch_epoch}",
            )

    def answered(self, machine: Machine, message: tuple) -> None:
        """A granted vote must be synced before it is sent."""
        if not isinstance(message, VoteAnswer) or message.pre_vote or not message.granted:
            return
        if not any(epoch == message.vote_epoch and vote for epoch, vote in machine.disk.ever_voted):
            self._raise_unsynced_vote(machine, message.vote_epoch)

    def _check_vote(self, machine: Machine, vote: tuple[int, tuple[int, str]]) -> None:
        if vote not in machine.disk.ever_voted:
            self._raise_unsynced_vote(machine, vote[0])

    @staticmethod
    def _raise_unsynced_vote(machine: Machine, epoch: int) -> None:
        raise InvariantViolated(
            "a vote leaves only once it is synced", f"{machine.replica} sends an unsynced vote of epoch {epoch}"
        )

    def ended(self, machine: Machine, why: str) -> None:
        """When a replica ended as handed over, a majority of voters without it must hold all committed records."""
        if why != HANDED_OVER:
            return
        self._count("leaves handed over")
        leaving = (machine.replica, machine.disk.incarnation)
        holders = [
            voter
            for voter in self.voters.items()
            if voter != leaving
            and voter in self.disks
            and self.disks[voter].has_synced(self.last_committed, self._epoch(self.last_committed))
        ]
        if len(holders) * 2 <= len(self.voters):
            raise InvariantViolated(
                "who leaves hands over first",
                f"{leaving} left, {self.last_committed} is committed and on {holders} of {sorted(self.voters.items())}",
            )

    def proposed(self, ticket: int, payload: bytes) -> None:
        """Stores the payload that a client proposed."""
        self.proposals[ticket] = payload

    def concluded(self, command: ProposalResult) -> None:
        """An acknowledged proposal must be committed."""
        payload = self.proposals.get(command.ticket)
        if command.error or payload is None:
            return
        self._count("orders acknowledged")
        if command.offset > self.last_committed or self.committed[command.offset - 1].payload != payload:
            raise InvariantViolated("acknowledged records are committed", f"the record at {command.offset} isn't")
        if self.checks_versions and all(not outcome.error for outcome in command.outcomes):
            self._check_acknowledged(payload)

    def _check_acknowledged(self, payload: bytes) -> None:
        proposal = unpack_command(payload)
        if not isinstance(proposal, PatchItems):
            return
        for upsert, item in read_patch(proposal.patch).unwrap().sets:
            version = (item.name, upsert.revision)
            if self.acknowledged.setdefault(version, upsert.source) != upsert.source:
                raise InvariantViolated("one content for each version", f"two contents of {version} were acknowledged")

    def read_requested(self, ticket: int) -> None:
        """Stores the last committed offset at the time a client starts a read."""
        self.reads[ticket] = self.last_committed

    def read_ready(self, command: ReadResult) -> None:
        """A confirmed read must include everything that was committed when it began."""
        if command.error:
            return
        self._count("reads confirmed")
        offset = command.state.offset
        if offset < self.reads[command.ticket]:
            raise InvariantViolated(
                "confirmed reads are linear",
                f"a read that began at {self.reads[command.ticket]} returned the state at {offset}",
            )
        if command.state != self.states[offset]:
            raise InvariantViolated(
                "confirmed reads are linear", f"a read returned a state that never existed at {offset}"
            )
