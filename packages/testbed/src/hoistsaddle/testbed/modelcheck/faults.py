"""Injected faults: each makes the raft core violate one rule, and the checks must detect it.

They change the events that a core receives, the commands that it returns, or one method or attribute of the core.
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
    """Base class: hooks that may change the events and commands of a core; this one changes nothing."""

    core_class: type[RaftCore] = RaftCore
    keeps_incarnation = False

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Returns the event that the core receives instead."""
        return event

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Returns the commands that are executed instead."""
        return commands


class _CountsNewestVoterSet(RaftCore):
    def voter_sets(self) -> list[dict[int, str]]:
        return super().voter_sets()[-1:]


class CountsNewestSetOnly(InjectedFault):
    """During an open change of voters, only a majority of the new voter set is required."""

    core_class = _CountsNewestVoterSet


class VoteUnsynced(InjectedFault):
    """A vote is answered before it is synced."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Sends answers to vote requests without waiting for the sync."""
        return [
            command._replace(after=0)
            if isinstance(command, Answer) and isinstance(command.message, VoteAnswer)
            else command
            for command in commands
        ]


class FetchUnsynced(InjectedFault):
    """A follower claims records that it hasn't synced."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Sends fetches without waiting for the sync."""
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


class ReadUnconfirmed(InjectedFault):
    """A leader answers a read from its own state, without confirming its leadership."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds a result to each read."""
        core = machine.core
        if isinstance(event, ReadArrived) and core.role == LEADER:
            return [*commands, ReadResult(event.ticket, "", core.replica, core.state)]
        return commands


class CommitsOldEpoch(InjectedFault):
    """A leader commits records of earlier epochs by counting replicas."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Sets the start of the leader's epoch to the first record."""
        machine.core.replication.epoch_start_offset = 0
        return event


class VotesWithoutLogCheck(InjectedFault):
    """A vote is granted without a check of the candidate's log."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Makes every candidate's log appear to be the longest."""
        if isinstance(event, CallArrived) and isinstance(event.message, VoteCall):
            return event._replace(message=event.message._replace(last_offset=2**40, last_epoch=2**40))
        return event


class VotesTwice(InjectedFault):
    """A replica may vote more than once in an epoch."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Clears the vote before each vote request."""
        if isinstance(event, CallArrived) and isinstance(event.message, VoteCall) and not event.message.pre_vote:
            machine.core.vote = None
        return event


class TruncatesCommitted(InjectedFault):
    """A follower of a new leader drops its log above the checkpoint, including committed records."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Drops the log after a BeginEpoch call."""
        if isinstance(event, CallArrived) and isinstance(event.message, BeginEpochCall) and commands:
            machine.core.log = []
        return commands


class BlankDiskVotes(InjectedFault):
    """A machine with a blank disk keeps its former incarnation, and so its vote."""

    keeps_incarnation = True


class CountsWhileFetchingSnapshot(InjectedFault):
    """A replica that is still fetching a snapshot claims a complete state."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Marks every fetch as that of a complete replica."""
        return [
            command._replace(message=command.message._replace(complete=True))
            if isinstance(command, Send) and isinstance(command.message, FetchCall) and command.message.fetch_offset > 0
            else command
            for command in commands
        ]


class AcknowledgesUncommitted(InjectedFault):
    """A proposal is acknowledged when it is logged, not when it is committed."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds a result to each proposal."""
        core = machine.core
        if isinstance(event, ProposalArrived) and core.role == LEADER:
            return [*commands, ProposalResult(event.ticket, "", core.replica, core.last.offset, ())]
        return commands


class MisnamesCheckpoints(InjectedFault):
    """A checkpoint is named after the end of the log instead of the offset of its state."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Names checkpoints after the end of the log."""
        return [
            command._replace(checkpoint_id=machine.core.last) if isinstance(command, Capture) else command
            for command in commands
        ]


class UsesLogEndAsHighWatermark(InjectedFault):
    """A follower uses the leader's log end as the high-watermark."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Raises the high-watermark to the last record of the answer."""
        if isinstance(event, AnswerArrived) and isinstance(event.message, FetchAnswer) and event.message.records:
            last = event.message.records[-1].offset
            return event._replace(message=event.message._replace(high_watermark=last))
        return event


class SkipsRecords(InjectedFault):
    """A follower skips the first record of an answer and shifts the offsets of the others."""

    def filter_event(self, machine: Machine, event: tuple) -> tuple:
        """Removes a record from the answer."""
        if isinstance(event, AnswerArrived) and isinstance(event.message, FetchAnswer):
            records = event.message.records
            if len(records) > 1:
                shifted = tuple(
                    after._replace(offset=before.offset) for before, after in zip(records, records[1:], strict=False)
                )
                return event._replace(message=event.message._replace(records=shifted))
        return event


class OmitsVoteFromWrites(InjectedFault):
    """Writes omit the vote."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Removes the vote from writes."""
        return [command._replace(vote=None) if isinstance(command, Write) else command for command in commands]


class DropsNewestCheckpoint(InjectedFault):
    """Log cleaning also removes the checkpoint that the log begins with, so the folder can't be booted."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Raises the offset below which checkpoints are dropped by one."""
        return [
            command._replace(below=command.below + 1) if isinstance(command, DropCheckpoints) else command
            for command in commands
        ]


class ReportsSyncEarly(InjectedFault):
    """A sync is reported before the disk has done it."""

    def filter_commands(self, machine: Machine, event: tuple, commands: list[tuple]) -> list[tuple]:
        """Adds the core's commands for a sync that hasn't happened."""
        writes = [command for command in commands if isinstance(command, Write)]
        if not writes or isinstance(event, Synced):
            return commands
        machine.synced = writes[-1].sequence
        return [*commands, *machine.core.handle(Synced(writes[-1].sequence), now=machine.core.now)]


FAULTS: tuple[type[InjectedFault], ...] = (
    CountsNewestSetOnly,
    VoteUnsynced,
    FetchUnsynced,
    AppendUnsynced,
    ReadUnconfirmed,
    CommitsOldEpoch,
    VotesWithoutLogCheck,
    VotesTwice,
    TruncatesCommitted,
    BlankDiskVotes,
    CountsWhileFetchingSnapshot,
    AcknowledgesUncommitted,
    MisnamesCheckpoints,
    UsesLogEndAsHighWatermark,
    SkipsRecords,
    OmitsVoteFromWrites,
    DropsNewestCheckpoint,
    ReportsSyncEarly,
)
