"""What must hold after each step, judged from outside: by the disks' content and by what was said, not by a core."""

from functools import cache
from typing import TYPE_CHECKING, NamedTuple

from hoistsaddle.config.items import SERVICE, Patch, Setting, pack_patch, read_patch
from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import Capture, Concluded, ReadReady
from hoistsaddle.rpc.messages import BallotAnswer, BallotCall, FetchCall, Record
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import PatchItems, pack_command, unpack_command
from hoistsaddle.statemachine.state import State, found_state
from hoistsaddle.testbed.modelcheck.modeldisk import ModelDisk

if TYPE_CHECKING:
    from hoistsaddle.testbed.modelcheck.cluster import Machine

Voters = dict[int, str]
# Why a replica says it ended, when nothing hangs on it any more.
HANDED_OVER = "handed over"


class Broken(AssertionError):
    """A rule that the step just done broke."""

    def __init__(self, rule: str, told: str) -> None:
        super().__init__(f"{rule}: {told}")
        self.rule = rule


class Before(NamedTuple):
    """What a core held before an event."""

    log: list[Record]
    begin: int
    whole: bool
    high_watermark: int


def order(*, request: int, name: str, revision: int, content: str) -> bytes:
    """One item with its version and content, as an operator's desk proposes it."""
    setting = Setting(SERVICE, revision, {"name": name, "vitals_path": f"/{content}"}, content.encode())
    return pack_command(PatchItems(f"request-{request}", "desk", "standing", pack_patch(Patch([setting], []))))


@cache
def refuses_other_content() -> bool:
    """Whether the state machine promises one content for each version: it is asked with a sample."""
    state = found_state(mesh="m", voters={1: "one"}, operators={}, level=3)
    for place, content in enumerate(("this", "that"), start=1):
        state, outcome = apply(
            state,
            offset=place,
            epoch=1,
            stamp=state.stamp,
            payload=order(request=place, name="sample", revision=1, content=content),
        )
    return bool(outcome.mishap)


def _voters_after(voters: Voters, record: Record) -> Voters | None:
    """The voters once this record applies, if it is about them; the state machine says what it does."""
    if b"Voter" not in record.payload[:24]:
        return None
    state = found_state(mesh="m", voters=voters, operators={}, level=2**30)
    state, _ = apply(state, offset=1, epoch=1, stamp=state.stamp, payload=record.payload, supported=2**30)
    return dict(state.voters)


class Invariants:
    """The committed log as it came to be, and a check of every step against it."""

    def __init__(self, *, founded: State, wanted: int) -> None:
        self.wanted = wanted
        self.committed: list[Record] = []
        self.states: list[State] = [founded]
        # The newest committed record that changed the voters.
        self.changed_at = 0
        self.leaders: dict[int, tuple[int, int]] = {}
        self.disks: dict[tuple[int, str], ModelDisk] = {}
        self.checked: dict[tuple[int, int], int] = {}
        self.orders: dict[int, bytes] = {}
        self.acknowledged: dict[tuple[str, int], bytes] = {}
        self.applied: dict[tuple[str, int], tuple[bool, bytes]] = {}
        self.reads: dict[int, int] = {}
        self.judges_versions = refuses_other_content()
        # Figures of a run: how often each check had something to judge.
        self.figures: dict[str, int] = {}

    def copy(self) -> "Invariants":
        """All that is known so far, to go on with apart from this one."""
        twin = object.__new__(Invariants)
        for name, value in self.__dict__.items():
            twin.__dict__[name] = value.copy() if isinstance(value, list | dict) else value
        return twin

    # -- what is known ---------------------------------------------------------------------------------------------

    @property
    def top(self) -> int:
        """The newest committed offset."""
        return len(self.committed)

    @property
    def voters(self) -> Voters:
        return dict(self.states[-1].voters)

    def _count(self, what: str) -> None:
        self.figures[what] = self.figures.get(what, 0) + 1

    def _epoch(self, offset: int) -> int:
        return self.committed[offset - 1].epoch if offset > 0 else 0

    def lay(self, disk: ModelDisk) -> None:
        """A disk under its incarnation; the former one stays known for what it once held and promised."""
        self.disks[(disk.replica, disk.incarnation)] = disk

    def started(self, machine: "Machine") -> None:
        self.checked[(machine.replica, machine.life)] = 0
        self._check_core(machine)

    # -- one step ----------------------------------------------------------------------------------------------------

    def before(self, machine: "Machine") -> Before:
        core = machine.core
        return Before(list(core.log), core.begin.offset, core.whole, core.high_watermark)

    def after(
        self,
        machine: "Machine",
        before: Before,
        commands: list[tuple],
        machines: "dict[int, Machine]",
    ) -> None:
        core = machine.core
        if core.standing == LEADER:
            self._check_leading(machine)
            self._check_commit(core, machines)
        self._check_kept(machine, before)
        self._check_core(machine)
        for command in commands:
            if isinstance(command, Capture):
                self._check_capture(machine, command)

    def disk_changed(self, machine: "Machine") -> None:
        """After disk jobs or a loss of power: no election that the disks allow may lose a committed record."""
        newest = machine.disk.newest
        if newest is not None and (newest.clear or newest.truncate_from >= 0 or machine.core is None):
            self._check_electable()

    # -- leading -----------------------------------------------------------------------------------------------------

    def _check_leading(self, machine: "Machine") -> None:
        core = machine.core
        me = (machine.replica, machine.life)
        known = self.leaders.setdefault(core.epoch, me)
        if known != me:
            raise Broken("one leader an epoch", f"{me} leads epoch {core.epoch}, and so did {known}")
        if machine.led == (core.epoch, machine.life):
            return
        machine.led = (core.epoch, machine.life)
        self._count("elections")
        self._check_holds_committed(machine)
        voter = (machine.replica, machine.disk.incarnation)
        for voters in self._sets_of(core):
            votes = self._number_of(voters, lambda disk: (core.epoch, voter) in disk.ever_voted)
            if votes * 2 <= len(voters):
                raise Broken(
                    "leaders by majorities that meet",
                    f"{machine.replica} leads epoch {core.epoch} with {votes} synced votes of {sorted(voters)}",
                )

    def _check_holds_committed(self, machine: "Machine") -> None:
        core = machine.core
        if not core.whole or core.last.offset < self.top:
            raise Broken(
                "a leader holds all that is committed",
                f"{machine.replica} leads epoch {core.epoch} up to {core.last.offset}, committed is {self.top}",
            )
        for offset in range(core.begin.offset, self.top + 1):
            if core.epoch_at(offset) != self._epoch(offset):
                raise Broken(
                    "a leader holds all that is committed",
                    f"{machine.replica} leads epoch {core.epoch} with another record at {offset}",
                )

    def _sets_of(self, core: RaftCore) -> list[Voters]:
        """The sets whose majorities must agree by this log: the newest, and beside an open change the one before."""
        voters = dict(self.states[min(core.state.offset, self.top)].voters)
        sets = [voters]
        for record in core.log:
            if record.offset <= core.state.offset or (after := _voters_after(voters, record)) is None:
                continue
            sets = [after] if record.offset <= self.top else [*sets, after]
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
        for replica, mark in marks.items():
            disk = self.disks[(replica, voters[replica])]
            behind = sum(other <= mark for other in marks.values())
            if mark[1] >= 0 and behind * 2 > len(voters) and not disk.holds_now(self.top):
                raise Broken(
                    "committed records outlive what may be lost",
                    f"the disks would elect {replica} at {mark}, committed is {self.top}",
                )

    # -- committing --------------------------------------------------------------------------------------------------

    def _check_commit(self, core: RaftCore, machines: "dict[int, Machine]") -> None:
        open_changes = [
            record.offset for record in core.log if record.offset > self.top and b"Voter" in record.payload[:24]
        ]
        if len(open_changes) > 1:
            raise Broken("one change of voters at a time", f"{core.replica} logged those at {open_changes}")
        mark = core.high_watermark
        if mark <= self.top:
            return
        epoch = core.epoch_at(mark)
        if epoch != core.epoch:
            raise Broken(
                "only a record of the leader's epoch commits by counting",
                f"{core.replica} in epoch {core.epoch} committed up to {mark} of epoch {epoch}",
            )
        for voters in self._sets_of(core):
            holders = self._number_of(voters, lambda disk: disk.holds(mark, epoch))
            if holders * 2 <= len(voters):
                raise Broken(
                    "commits by majorities that meet",
                    f"{core.replica} committed {mark}, synced on {holders} of {sorted(voters.items())}",
                )
        for record in core.log:
            if self.top < record.offset <= mark:
                self._commit(record)
        for machine in machines.values():
            if machine.core is not None and machine.core.standing == LEADER and machine.core.epoch > core.epoch:
                self._check_holds_committed(machine)

    def _commit(self, record: Record) -> None:
        if record.offset != self.top + 1:
            raise Broken("no gap in what is committed", f"{record.offset} follows {self.top}")
        self._count("records committed")
        state, _ = apply(
            self.states[-1], offset=record.offset, epoch=record.epoch, stamp=record.stamp, payload=record.payload
        )
        if state.voters != self.states[-1].voters:
            self._count("voter changes committed")
            self.changed_at = record.offset
        self.committed.append(record)
        if state.items is not self.states[-1].items:
            self._check_items(state)
        self.states.append(state)

    def _check_items(self, state: State) -> None:
        for key, item in state.items.items():
            content = (item.dropped, item.body)
            if self.applied.setdefault((key, item.revision), content) != content:
                raise Broken("one content for each version", f"{key} at version {item.revision} stands in two forms")

    # -- what each core holds ----------------------------------------------------------------------------------------

    def _check_kept(self, machine: "Machine", before: Before) -> None:
        core = machine.core
        if not before.whole or not core.whole:
            return
        if core.high_watermark < before.high_watermark:
            raise Broken(
                "a high-watermark never goes back",
                f"{machine.replica} went from {before.high_watermark} to {core.high_watermark}",
            )
        if not before.log or core.epoch_at(before.log[-1].offset) == before.log[-1].epoch:
            return
        for record in before.log:
            if record.offset <= core.begin.offset or core.epoch_at(record.offset) == record.epoch:
                continue
            if record.offset <= self.top and self._epoch(record.offset) == record.epoch:
                raise Broken(
                    "committed records are never truncated",
                    f"{machine.replica} dropped {record.offset} of epoch {record.epoch}",
                )

    def _check_core(self, machine: "Machine") -> None:
        core = machine.core
        if not core.whole:
            self.checked[(machine.replica, machine.life)] = 0
            return
        if core.high_watermark > self.top:
            raise Broken(
                "logs are equal up to the high-watermark",
                f"{machine.replica} takes {core.high_watermark} for committed, {self.top} is",
            )
        known = self.checked[(machine.replica, machine.life)]
        if core.high_watermark > known:
            self.checked[(machine.replica, machine.life)] = core.high_watermark
            self._check_records(machine, after=known)
            if core.state.offset <= self.top and core.state != self.states[core.state.offset]:
                raise Broken(
                    "states are equal at equal offsets", f"{machine.replica} has another one at {core.state.offset}"
                )

    def _check_records(self, machine: "Machine", *, after: int) -> None:
        for record in machine.core.log:
            if after < record.offset <= machine.core.high_watermark and record != self.committed[record.offset - 1]:
                raise Broken(
                    "logs are equal up to the high-watermark", f"{machine.replica} holds another at {record.offset}"
                )

    def _check_capture(self, machine: "Machine", capture: Capture) -> None:
        self._count("checkpoints")
        mark = capture.mark
        if mark.offset > self.top or capture.state != self.states[mark.offset]:
            raise Broken(
                "checkpoints hold committed state", f"{machine.replica} takes one at {mark}, committed is {self.top}"
            )

    # -- what is said ------------------------------------------------------------------------------------------------

    def sent(self, machine: "Machine", message: tuple) -> None:
        """A fetch that leaves says what its sender holds, a ballot that it votes for itself: both must be synced."""
        if isinstance(message, BallotCall) and not message.trial:
            self._check_vote(machine, (message.epoch, (machine.replica, machine.disk.incarnation)))
        if not isinstance(message, FetchCall) or not message.whole or message.fetch_offset < 1:
            return
        if not machine.disk.holds(message.fetch_offset - 1, message.fetch_epoch):
            raise Broken(
                "a fetch claims only what is synced",
                f"{machine.replica} claims {message.fetch_offset - 1} of epoch {message.fetch_epoch}",
            )

    def answered(self, machine: "Machine", message: tuple) -> None:
        """A vote that leaves must be synced."""
        if not isinstance(message, BallotAnswer) or message.trial or not message.granted:
            return
        if not any(epoch == message.ballot_epoch and vote for epoch, vote in machine.disk.ever_voted):
            self._refuse_vote(machine, message.ballot_epoch)

    def _check_vote(self, machine: "Machine", vote: tuple[int, tuple[int, str]]) -> None:
        if vote not in machine.disk.ever_voted:
            self._refuse_vote(machine, vote[0])

    @staticmethod
    def _refuse_vote(machine: "Machine", epoch: int) -> None:
        raise Broken("a vote leaves only once it is synced", f"{machine.replica} tells one of epoch {epoch}")

    def left(self, machine: "Machine", why: str) -> None:
        """Who ends with everything handed over leaves all that is committed on a majority without it."""
        if why != HANDED_OVER:
            return
        self._count("leaves handed over")
        me = (machine.replica, machine.disk.incarnation)
        holders = [
            voter
            for voter in self.voters.items()
            if voter != me and voter in self.disks and self.disks[voter].holds(self.top, self._epoch(self.top))
        ]
        if len(holders) * 2 <= len(self.voters):
            raise Broken(
                "who leaves hands over first",
                f"{me} left, {self.top} is committed and on {holders} of {sorted(self.voters.items())}",
            )

    def proposed(self, ticket: int, payload: bytes) -> None:
        self.orders[ticket] = payload

    def concluded(self, command: Concluded) -> None:
        payload = self.orders.get(command.ticket)
        if command.mishap or payload is None:
            return
        self._count("orders acknowledged")
        if command.offset > self.top or self.committed[command.offset - 1].payload != payload:
            raise Broken("acknowledged records are committed", f"the order of offset {command.offset} isn't")
        if self.judges_versions and all(not outcome.mishap for outcome in command.outcomes):
            self._check_acknowledged(payload)

    def _check_acknowledged(self, payload: bytes) -> None:
        proposal = unpack_command(payload)
        if not isinstance(proposal, PatchItems):
            return
        for setting, item in read_patch(proposal.patch).unwrap().sets:
            version = (item.name, setting.revision)
            if self.acknowledged.setdefault(version, setting.said) != setting.said:
                raise Broken("one content for each version", f"two contents of {version} were acknowledged")

    def read_asked(self, ticket: int) -> None:
        self.reads[ticket] = self.top

    def read_ready(self, command: ReadReady) -> None:
        if command.mishap:
            return
        self._count("reads confirmed")
        offset = command.state.offset
        if offset < self.reads[command.ticket]:
            raise Broken(
                "confirmed reads are linear",
                f"one that began at {self.reads[command.ticket]} was given the state at {offset}",
            )
        if command.state != self.states[offset]:
            raise Broken("confirmed reads are linear", f"one was given a state that never was at {offset}")
