"""Injected faults: each breaks one rule of the raft core in one place, and the checks have to find it.

They change the events a core gets, the commands it gives, or one method of its interface; none changes its inner work.
"""

from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import (
    Answer,
    AnswerArrived,
    CallArrived,
    Capture,
    DropCheckpoints,
    ProposalArrived,
    ProposalResult,
    ReadArrived,
    ReadResult,
    Send,
    Synced,
    Write,
)
from hoistsaddle.rpc.messages import BeginEpochCall, FetchAnswer, FetchCall, VoteAnswer, VoteCall
from hoistsaddle.testbed.modelcheck.machine import Machine


class InjectedFault:
    """Where a fault may change the events and the commands of a core; this one changes nothing."""

    core_class: type[RaftCore] = RaftCore
    keeps_incarnation = False

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """The event that the core gets instead of this one."""
        return event

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """The commands that are executed instead of these."""
        return commands


class _OneSetOnly(RaftCore):
    def voter_sets(self) -> list[dict[int, str]]:
        return super().voter_sets()[-1:]


class CountsOneSetOnly(InjectedFault):
    """While a change of voters is open, only the set after it is asked."""

    core_class = _OneSetOnly


class VoteUnsynced(InjectedFault):
    """A vote is answered before it is synced."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Lets answers to vote requests leave at once."""
        return [
            command._replace(after=0)
            if isinstance(command, Answer) and isinstance(command.message, VoteAnswer)
            else command
            for command in commands
        ]


class FetchUnsynced(InjectedFault):
    """A follower claims records that it hasn't synced."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Lets fetches leave at once."""
        return [
            command._replace(after=0)
            if isinstance(command, Send) and isinstance(command.message, FetchCall)
            else command
            for command in commands
        ]


class AppendUnsynced(InjectedFault):
    """A leader counts its own records before they are synced."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Marks the leader's log as durable as soon as it writes."""
        core = machine.core
        if core.role == LEADER and any(isinstance(command, Write) for command in commands):
            core.durable = core.last.offset
        return commands


class ReadWithoutRound(InjectedFault):
    """A leader answers a read from its own state, without asking whether it still leads."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds a result to each read."""
        core = machine.core
        if isinstance(event, ReadArrived) and core.role == LEADER:
            return [*commands, ReadResult(event.ticket, "", core.replica, core.state)]
        return commands


class CommitsOldEpoch(InjectedFault):
    """A leader commits the records of former epochs by counting."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Lets the epoch begin with the first record."""
        machine.core.replication.epoch_start_offset = 0
        return event


class VotesForAnybody(InjectedFault):
    """A vote is given without a look at how far the candidate's log goes."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Makes every candidate's log look the longest."""
        if isinstance(event, CallArrived) and isinstance(event.message, VoteCall):
            return event._replace(message=event.message._replace(last_offset=2**40, last_epoch=2**40))
        return event


class VotesTwice(InjectedFault):
    """A vote already given in the epoch doesn't bind."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Forgets the vote before each vote request."""
        if isinstance(event, CallArrived) and isinstance(event.message, VoteCall) and not event.message.pre_vote:
            machine.core.vote = None
        return event


class TruncatesCommitted(InjectedFault):
    """A follower that hears of a new leader drops its log above the checkpoint, committed or not."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Drops the log after a BeginEpoch call."""
        if isinstance(event, CallArrived) and isinstance(event.message, BeginEpochCall) and commands:
            machine.core.log = []
        return commands


class BlankDiskVotes(InjectedFault):
    """A machine that comes back with a blank disk goes by its former incarnation."""

    keeps_incarnation = True


class CountsWhileFetchingSnapshot(InjectedFault):
    """A replica that still fetches a snapshot claims to have the complete state."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Marks every fetch as that of a complete replica."""
        return [
            command._replace(message=command.message._replace(complete=True))
            if isinstance(command, Send) and isinstance(command.message, FetchCall) and command.message.fetch_offset > 0
            else command
            for command in commands
        ]


class AcknowledgesAtOnce(InjectedFault):
    """An order is acknowledged when it is logged, not when it commits."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds a result to each proposal."""
        core = machine.core
        if isinstance(event, ProposalArrived) and core.role == LEADER:
            return [*commands, ProposalResult(event.ticket, "", core.replica, core.last.offset, ())]
        return commands


class CapturesTooMuch(InjectedFault):
    """A checkpoint is named by the log's end, not by what its state holds."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Names checkpoints by the end of the log."""
        return [
            command._replace(checkpoint_id=machine.core.last) if isinstance(command, Capture) else command
            for command in commands
        ]


class BelievesTheAnswer(InjectedFault):
    """A follower takes the leader's log end for the high-watermark."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Raises the high-watermark to the last record of the answer."""
        if isinstance(event, AnswerArrived) and isinstance(event.message, FetchAnswer) and event.message.records:
            last = event.message.records[-1].offset
            return event._replace(message=event.message._replace(high_watermark=last))
        return event


class LosesRecords(InjectedFault):
    """A follower skips the first record that it is sent and numbers the rest on."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Removes a record from the answer."""
        if isinstance(event, AnswerArrived) and isinstance(event.message, FetchAnswer):
            records = event.message.records
            if len(records) > 1:
                moved = tuple(
                    after._replace(offset=before.offset) for before, after in zip(records, records[1:], strict=False)
                )
                return event._replace(message=event.message._replace(records=moved))
        return event


class ForgetsItsVoteOnSync(InjectedFault):
    """Every write leaves the vote out."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Removes the vote from writes."""
        return [command._replace(vote=None) if isinstance(command, Write) else command for command in commands]


class DropsNewestCheckpoint(InjectedFault):
    """Log cleaning also removes the checkpoint that the log begins with, and the leader's log with it."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Drops checkpoints up to one offset more."""
        return [
            command._replace(below=command.below + 1) if isinstance(command, DropCheckpoints) else command
            for command in commands
        ]


class SyncsAreLies(InjectedFault):
    """A sync is reported before the disk has done it."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds the core's reaction to a sync that hasn't happened."""
        writes = [command for command in commands if isinstance(command, Write)]
        if not writes or isinstance(event, Synced):
            return commands
        machine.synced = writes[-1].sequence
        return [*commands, *machine.core.handle(Synced(writes[-1].sequence), now=machine.core.now)]


FAULTS: tuple[type[InjectedFault], ...] = (
    CountsOneSetOnly,
    VoteUnsynced,
    FetchUnsynced,
    AppendUnsynced,
    ReadWithoutRound,
    CommitsOldEpoch,
    VotesForAnybody,
    VotesTwice,
    TruncatesCommitted,
    BlankDiskVotes,
    CountsWhileFetchingSnapshot,
    AcknowledgesAtOnce,
    CapturesTooMuch,
    BelievesTheAnswer,
    LosesRecords,
    ForgetsItsVoteOnSync,
    DropsNewestCheckpoint,
    SyncsAreLies,
)
