"""What must hold after each step, judged from outside: by the disks' content and the messages sent, not by a core."""

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
# The reason with which a replica ends once nothing depends on it any more.
HANDED_OVER = "handed over"


class InvariantViolated(AssertionError):
    """The step just done broke a rule."""

    def __init__(self, rule: str, description: str) -> None:
        super().__init__(f"{rule}: {description}")
        self.rule = rule


class CoreSnapshot(NamedTuple):
    """What a core held before an event."""

    log: list[Record]
    begin: int
    complete: bool
    high_watermark: int


def order(*, request: int, name: str, revision: int, content: str) -> bytes:
    """One item with its version and content, as a registry proposes it for an operator."""
    setting = ItemUpsert(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
    return pack_command(PatchItems(f"request-{request}", "desk", "standing", pack_patch(Patch([setting], []))))


@cache
def refuses_other_content() -> bool:
    """Whether the state machine refuses a second content for a version; found out with a sample."""
    state = initial_state(mesh="m", voters={1: "one"}, operators={}, level=3)
    for place, content in enumerate(("this", "that"), start=1):
        state, outcome = apply(
            state,
            offset=place,
            epoch=1,
            stamp=state.mesh_time,
            payload=order(request=place, name="sample", revision=1, content=content),
        )
    return bool(outcome.error)


def is_voter_change(record: Record) -> bool:
    """Whether a record changes the voters; its encoded type is at the beginning of the payload."""
    return b"Voter" in record.payload[:24]


def _voters_after(voters: Voters, record: Record) -> Voters | None:
    """The voters once this record applies, if it changes them, by the state machine itself."""
    if not is_voter_change(record):
        return None
    state = initial_state(mesh="m", voters=voters, operators={}, level=2**30)
    state, _ = apply(state, offset=1, epoch=1, stamp=state.mesh_time, payload=record.payload, supported=2**30)
    return dict(state.voters)


class Invariants:
    """The committed log as it came to be, and a check of every step against it."""

    def __init__(self, *, initial: State, wanted: int) -> None:
        self.wanted = wanted
        self.committed: list[Record] = []
        self.states: list[State] = [initial]
        # The newest committed record that changed the voters.
        self.voters_changed_at = 0
        self.leaders: dict[int, tuple[int, int]] = {}
        self.disks: dict[tuple[int, str], ModelDisk] = {}
        self.checked_up_to: dict[tuple[int, int], int] = {}
        self.orders: dict[int, bytes] = {}
        self.acknowledged: dict[tuple[str, int], bytes] = {}
        self.applied: dict[tuple[str, int], tuple[bool, bytes]] = {}
        self.reads: dict[int, int] = {}
        self.checks_versions = refuses_other_content()
        # How often each check had something to judge.
        self.figures: dict[str, int] = {}

    def copy(self) -> "Invariants":
        """A copy of all that is known so far, which may go another way."""
        copied = object.__new__(Invariants)
        for name, value in self.__dict__.items():
            copied.__dict__[name] = value.copy() if isinstance(value, list | dict) else value
        return copied

    # -- what is known ---------------------------------------------------------------------------------------------

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
        """Notes a disk under its incarnation; a former one stays known for what it once held and promised."""
        self.disks[(disk.replica, disk.incarnation)] = disk

    def started(self, machine: Machine) -> None:
        """Checks the core of a process that was just started."""
        self.checked_up_to[(machine.replica, machine.generation)] = 0
        self._check_core(machine)

    # -- one step ----------------------------------------------------------------------------------------------------

    def before(self, machine: Machine) -> CoreSnapshot:
        """What a core holds before an event."""
        core = machine.core
        return CoreSnapshot(list(core.log), core.begin.offset, core.complete, core.high_watermark)

    def after(
        self,
        machine: Machine,
        before: CoreSnapshot,
        commands: list[tuple],
        machines: dict[int, Machine],
    ) -> None:
        """Checks a core after an event and the commands that came of it."""
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
        """After disk jobs or a loss of power: no election that the disks allow may lose a committed record."""
        newest = machine.disk.newest
        if newest is not None and (newest.clear or newest.truncate_from >= 0 or machine.core is None):
            self._check_electable()

    # -- leading -----------------------------------------------------------------------------------------------------

    def _check_leading(self, machine: Machine) -> None:
        core = machine.core
        me = (machine.replica, machine.generation)
        known = self.leaders.setdefault(core.epoch, me)
        if known != me:
            raise InvariantViolated("one leader an epoch", f"{me} leads epoch {core.epoch}, and so did {known}")
        if machine.last_led == (core.epoch, machine.generation):
            return
        machine.last_led = (core.epoch, machine.generation)
        self._count("elections")
        self._check_holds_committed(machine)
        voter = (machine.replica, machine.disk.incarnation)
        for voters in self._sets_of(core):
            votes = self._number_of(voters, lambda disk: (core.epoch, voter) in disk.ever_voted)
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
                    f"{machine.replica} leads epoch {core.epoch} with another record at {offset}",
                )

    def _sets_of(self, core: RaftCore) -> list[Voters]:
        """The sets whose majorities must agree by this log: the newest, and beside an open change the one before."""
        voters = dict(self.states[min(core.state.offset, self.last_committed)].voters)
        sets = [voters]
        for record in core.log:
            if record.offset <= core.state.offset or (after := _voters_after(voters, record)) is None:
                continue
            sets = [after] if record.offset <= self.last_committed else [*sets, after]
            voters = after
        return sets

    def _number_of(self, voters: Voters, agrees) -> int:
        return sum(agrees(self.disks[voter]) for voter in voters.items() if voter in self.disks)

    def _check_electable(self) -> None:
        """Each voter's disk as it would start now: whoever a majority of them could elect holds all committed."""
        voters = self.voters
        marks = {}
        for replica, incarnation in voters.items():
            disk = self.disks.get((replica, incarnation))
            newest = disk.newest if disk is not None else None
            if newest is None:
                continue
            last = max(disk.log, default=newest.begin.offset)
            epoch = disk.log[last].epoch if last in disk.log else newest.begin.epoch
            marks[replica] = (-1, -1) if newest.catching else (epoch, last)
        for replica, checkpoint_id in marks.items():
            disk = self.disks[(replica, voters[replica])]
            behind = sum(other <= checkpoint_id for other in marks.values())
            if checkpoint_id[1] >= 0 and behind * 2 > len(voters) and not disk.holds_now(self.last_committed):
                raise InvariantViolated(
                    "committed records outlive what may be lost",
                    f"the disks would elect {replica} at {checkpoint_id}, committed is {self.last_committed}",
                )

    # -- committing --------------------------------------------------------------------------------------------------

    def _check_commit(self, core: RaftCore, machines: dict[int, Machine]) -> None:
        open_changes = [
            record.offset for record in core.log if record.offset > self.last_committed and is_voter_change(record)
        ]
        if len(open_changes) > 1:
            raise InvariantViolated("one change of voters at a time", f"{core.replica} logged those at {open_changes}")
        checkpoint_id = core.high_watermark
        if checkpoint_id <= self.last_committed:
            return
        epoch = core.epoch_at(checkpoint_id)
        if epoch != core.epoch:
            raise InvariantViolated(
                "only a record of the leader's epoch commits by counting",
                f"{core.replica} in epoch {core.epoch} committed up to {checkpoint_id} of epoch {epoch}",
            )
        for voters in self._sets_of(core):
            holders = self._number_of(voters, lambda disk: disk.holds(checkpoint_id, epoch))
            if holders * 2 <= len(voters):
                raise InvariantViolated(
                    "commits by majorities that meet",
                    f"{core.replica} committed {checkpoint_id}, synced on {holders} of {sorted(voters.items())}",
                )
        for record in core.log:
            if self.last_committed < record.offset <= checkpoint_id:
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
                    "one content for each version", f"{key} at version {item.revision} stands in two forms"
                )

    # -- what each core holds ----------------------------------------------------------------------------------------

    def _check_not_truncated(self, machine: Machine, before: CoreSnapshot) -> None:
        core = machine.core
        if not before.complete or not core.complete:
            return
        if core.high_watermark < before.high_watermark:
            raise InvariantViolated(
                "a high-watermark never goes back",
                f"{machine.replica} went from {before.high_watermark} to {core.high_watermark}",
            )
        if not before.log or core.epoch_at(before.log[-1].offset) == before.log[-1].epoch:
            return
        for record in before.log:
            if record.offset <= core.begin.offset or core.epoch_at(record.offset) == record.epoch:
                continue
            if record.offset <= self.last_committed and self._epoch(record.offset) == record.epoch:
                raise InvariantViolated(
                    "committed records are never truncated",
                    f"{machine.replica} dropped {record.offset} of epoch {record.epoch}",
                )

    def _check_core(self, machine: Machine) -> None:
        core = machine.core
        if not core.complete:
            self.checked_up_to[(machine.replica, machine.generation)] = 0
            return
        if core.high_watermark > self.last_committed:
            raise InvariantViolated(
                "logs are equal up to the high-watermark",
                f"{machine.replica} treats {core.high_watermark} as committed, {self.last_committed} is",
            )
        known = self.checked_up_to[(machine.replica, machine.generation)]
        if core.high_watermark > known:
            self.checked_up_to[(machine.replica, machine.generation)] = core.high_watermark
            self._check_records(machine, after=known)
            if core.state.offset <= self.last_committed and core.state != self.states[core.state.offset]:
                raise InvariantViolated(
                    "states are equal at equal offsets", f"{machine.replica} has another one at {core.state.offset}"
                )

    def _check_records(self, machine: Machine, *, after: int) -> None:
        for record in machine.core.log:
            if after < record.offset <= machine.core.high_watermark and record != self.committed[record.offset - 1]:
                raise InvariantViolated(
                    "logs are equal up to the high-watermark", f"{machine.replica} holds another at {record.offset}"
                )

    def _check_capture(self, machine: Machine, capture: Capture) -> None:
        self._count("checkpoints")
        checkpoint_id = capture.checkpoint_id
        if checkpoint_id.offset > self.last_committed or capture.state != self.states[checkpoint_id.offset]:
            raise InvariantViolated(
                "checkpoints hold committed state",
                f"{machine.replica} takes one at {checkpoint_id}, committed is {self.last_committed}",
            )

    # -- messages ------------------------------------------------------------------------------------------------

    def sent(self, machine: Machine, message: tuple) -> None:
        """A fetch says what its sender holds, a vote request that it votes for itself: both must be synced."""
        if isinstance(message, VoteCall) and not message.pre_vote:
            self._check_vote(machine, (message.epoch, (machine.replica, machine.disk.incarnation)))
        if not isinstance(message, FetchCall) or not message.complete or message.fetch_offset < 1:
            return
        if not machine.disk.holds(message.fetch_offset - 1, message.fetch_epoch):
            raise InvariantViolated(
                "a fetch claims only what is synced",
                f"{machine.replica} claims {message.fetch_offset - 1} of epoch {message.fetch_epoch}",
            )

    def answered(self, machine: Machine, message: tuple) -> None:
        """A vote that is answered must be synced."""
        if not isinstance(message, VoteAnswer) or message.pre_vote or not message.granted:
            return
        if not any(epoch == message.vote_epoch and vote for epoch, vote in machine.disk.ever_voted):
            self._refuse_vote(machine, message.vote_epoch)

    def _check_vote(self, machine: Machine, vote: tuple[int, tuple[int, str]]) -> None:
        if vote not in machine.disk.ever_voted:
            self._refuse_vote(machine, vote[0])

    @staticmethod
    def _refuse_vote(machine: Machine, epoch: int) -> None:
        raise InvariantViolated("a vote leaves only once it is synced", f"{machine.replica} sends one of epoch {epoch}")

    def ended(self, machine: Machine, why: str) -> None:
        """A replica that ended with everything handed over leaves all that is committed on a majority without it."""
        if why != HANDED_OVER:
            return
        self._count("leaves handed over")
        me = (machine.replica, machine.disk.incarnation)
        holders = [
            voter
            for voter in self.voters.items()
            if voter != me
            and voter in self.disks
            and self.disks[voter].holds(self.last_committed, self._epoch(self.last_committed))
        ]
        if len(holders) * 2 <= len(self.voters):
            raise InvariantViolated(
                "who leaves hands over first",
                f"{me} left, {self.last_committed} is committed and on {holders} of {sorted(self.voters.items())}",
            )

    def proposed(self, ticket: int, payload: bytes) -> None:
        """Notes the payload that a client proposed."""
        self.orders[ticket] = payload

    def concluded(self, command: ProposalResult) -> None:
        """An acknowledged proposal must be committed."""
        payload = self.orders.get(command.ticket)
        if command.error or payload is None:
            return
        self._count("orders acknowledged")
        if command.offset > self.last_committed or self.committed[command.offset - 1].payload != payload:
            raise InvariantViolated("acknowledged records are committed", f"the order of offset {command.offset} isn't")
        if self.checks_versions and all(not outcome.error for outcome in command.outcomes):
            self._check_acknowledged(payload)

    def _check_acknowledged(self, payload: bytes) -> None:
        proposal = unpack_command(payload)
        if not isinstance(proposal, PatchItems):
            return
        for setting, item in read_patch(proposal.patch).unwrap().sets:
            version = (item.name, setting.revision)
            if self.acknowledged.setdefault(version, setting.source) != setting.source:
                raise InvariantViolated("one content for each version", f"two contents of {version} were acknowledged")

    def read_requested(self, ticket: int) -> None:
        """Notes what was committed when a client began to read."""
        self.reads[ticket] = self.last_committed

    def read_ready(self, command: ReadResult) -> None:
        """A confirmed read must show at least what was committed when it began."""
        if command.error:
            return
        self._count("reads confirmed")
        offset = command.state.offset
        if offset < self.reads[command.ticket]:
            raise InvariantViolated(
                "confirmed reads are linear",
                f"one that began at {self.reads[command.ticket]} was given the state at {offset}",
            )
        if command.state != self.states[offset]:
            raise InvariantViolated("confirmed reads are linear", f"one was given a state that never was at {offset}")
