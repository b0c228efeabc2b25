"""Scenarios on a data folder that together cover all methods of the disk, in the order of the core's calls."""

from datetime import timedelta

from hoistsaddle.raft.checkpoint import pack_checkpoint
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.commands import ClaimKey
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import State, initial_state
from hoistsaddle.testbed.diskmodel.check import REPLICA, RecordedDisk

MESH = "m"
# Size in bytes of one chunk of a fetched checkpoint.
CHUNK = 700
# Large enough that a few records fill the write-ahead log of WRITE_AHEAD_PAGES.
PADDING = "f" * 900


def records(first: int, last: int, *, epoch: int) -> tuple[Record, ...]:
    """Records of one epoch at these offsets, the last one included."""
    return tuple(
        Record(
            offset,
            epoch,
            timedelta(seconds=offset),
            pack_command(ClaimKey(f"scope-{epoch}-{offset}", f"claim-{offset}", "node", PADDING)),
        )
        for offset in range(first, last + 1)
    )


def state_at(checkpoint_id: OffsetAndEpoch) -> State:
    """A state for a checkpoint at this offset and epoch."""
    voters = {REPLICA: "one", 2: "two", 3: "three"}
    return initial_state(mesh=MESH, voters=voters, operators={})._replace(
        offset=checkpoint_id.offset, epoch=checkpoint_id.epoch
    )


class Writer:
    """Makes the writes of a core."""

    def __init__(self, *, recorded: RecordedDisk, boot: Boot) -> None:
        self.recorded = recorded
        self.sequence = 0
        self.epoch, self.vote = boot.epoch, boot.vote
        self.voters, self.mesh = boot.voters, boot.mesh
        self.begin, self.committed = boot.begin, boot.committed

    def write(self, *batches: tuple[Record, ...], truncate_from: int = -1, clear: bool = False) -> None:
        """Calls the disk once with a write for each batch; without a batch, with one write without records."""
        writes = []
        for batch in batches or ((),):
            self.sequence += 1
            writes.append(
                Write(
                    sequence=self.sequence,
                    epoch=self.epoch,
                    vote=self.vote,
                    voters=self.voters,
                    mesh=self.mesh,
                    begin=self.begin,
                    catching=False,
                    clear=clear,
                    truncate_from=truncate_from,
                    records=batch,
                    committed=self.committed,
                )
            )
        self.recorded.do("write", writes)

    def vote_for(self, replica: int, incarnation: str, *, epoch: int) -> None:
        """Writes a vote in a new epoch."""
        self.epoch, self.vote = epoch, (replica, incarnation)
        self.write()


def _found(recorded: RecordedDisk) -> Writer:
    boot = recorded.do("boot")
    voters = {REPLICA: boot.incarnation, 2: "two", 3: "three"}
    recorded.do("bootstrap", mesh=MESH, voters=voters, operators={})
    return Writer(recorded=recorded, boot=recorded.do("boot"))


def trimming(recorded: RecordedDisk) -> None:
    """A new voter votes, writes, stores two checkpoints with the log trimmed to each, and restarts in between."""
    writer = _found(recorded)
    writer.vote_for(2, "two", epoch=1)
    writer.write(records(1, 3, epoch=1), records(4, 6, epoch=1))
    recorded.do("store_checkpoint", checkpoint_id=OffsetAndEpoch(5, 1), state=state_at(OffsetAndEpoch(5, 1)))
    writer.begin, writer.committed = OffsetAndEpoch(5, 1), 6
    writer.write()
    recorded.do("drop_checkpoints", below=5)
    writer = Writer(recorded=recorded, boot=recorded.start_again(cleanly=True))
    writer.write(records(7, 9, epoch=1))
    writer.vote_for(3, "three", epoch=2)
    writer.write(records(8, 12, epoch=2), truncate_from=8)
    recorded.do("store_checkpoint", checkpoint_id=OffsetAndEpoch(11, 2), state=state_at(OffsetAndEpoch(11, 2)))
    writer.begin, writer.committed = OffsetAndEpoch(11, 2), 12
    writer.write()
    recorded.do("drop_checkpoints", below=11)
    writer.write(records(13, 14, epoch=2))


def catching_up(recorded: RecordedDisk) -> None:
    """A follower with uncommitted records abandons one checkpoint fetch, completes another, and replaces its log."""
    writer = _found(recorded)
    writer.vote_for(2, "two", epoch=1)
    writer.write(records(1, 9, epoch=1))
    writer.epoch, writer.vote = 3, None
    writer.write()
    abandoned, checkpoint_id = OffsetAndEpoch(5, 3), OffsetAndEpoch(6, 3)
    data = pack_checkpoint(checkpoint_id=abandoned, state=state_at(abandoned))
    recorded.do("store_chunk", checkpoint_id=abandoned, position=0, data=data[:CHUNK], last=False)
    data = pack_checkpoint(checkpoint_id=checkpoint_id, state=state_at(checkpoint_id))
    positions = range(0, len(data), CHUNK)
    for position in positions:
        last = position == positions[-1]
        recorded.do(
            "store_chunk",
            checkpoint_id=checkpoint_id,
            position=position,
            data=data[position : position + CHUNK],
            last=last,
        )
    writer.begin, writer.committed = checkpoint_id, 9
    writer.write(records(7, 12, epoch=3), clear=True)
    recorded.do("drop_checkpoints", below=checkpoint_id.offset)
    writer.write(records(13, 13, epoch=3))
    recorded.start_again(cleanly=True)


def restart_and_write(recorded: RecordedDisk) -> None:
    """A boot after a power loss, followed by a vote and two records."""
    boot = recorded.do("boot")
    writer = Writer(recorded=recorded, boot=boot)
    if not boot.mesh:
        return
    writer.vote_for(3, "three", epoch=boot.epoch + 1)
    last = boot.records[-1].offset if boot.records else boot.begin.offset
    writer.write(records(last + 1, last + 2, epoch=writer.epoch))


SCENARIOS = {"trimming": trimming, "catching up": catching_up}
