"""Lives of a data folder that together pass every call of the disk, in the orders in which the core gives them."""

from datetime import timedelta

from hoistsaddle.raft.checkpoint import pack_checkpoint
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.commands import ClaimKey
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.state import State, initial_state
from hoistsaddle.testbed.diskmodel.check import REPLICA, RecordedDisk

MESH = "m"
CHUNK = 700
# Large enough that a handful of records fills the write-ahead file of the model.
FILLING = "f" * 900


def records(first: int, last: int, *, epoch: int) -> tuple[Record, ...]:
    return tuple(
        Record(
            offset,
            epoch,
            timedelta(seconds=offset),
            pack_command(ClaimKey(f"scope-{epoch}-{offset}", f"claim-{offset}", "node", FILLING)),
        )
        for offset in range(first, last + 1)
    )


def state_at(checkpoint_id: OffsetAndEpoch) -> State:
    voters = {REPLICA: "one", 2: "two", 3: "three"}
    return initial_state(mesh=MESH, voters=voters, operators={})._replace(
        offset=checkpoint_id.offset, epoch=checkpoint_id.epoch
    )


class Writer:
    """Gives the disk the writes that a core would give."""

    def __init__(self, *, player: RecordedDisk, boot: Boot) -> None:
        self.player = player
        self.sequence = 0
        self.epoch, self.vote = boot.epoch, boot.vote
        self.voters, self.mesh = boot.voters, boot.mesh
        self.begin, self.committed = boot.begin, boot.committed

    def write(self, *batches: tuple[Record, ...], truncate_from: int = -1, clear: bool = False) -> None:
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
        self.player.do("write", writes)

    def vote_for(self, replica: int, incarnation: str, *, epoch: int) -> None:
        self.epoch, self.vote = epoch, (replica, incarnation)
        self.write()


def _found(player: RecordedDisk) -> Writer:
    boot = player.do("boot")
    voters = {REPLICA: boot.incarnation, 2: "two", 3: "three"}
    player.do("found", mesh=MESH, voters=voters, operators={})
    return Writer(player=player, boot=player.do("boot"))


def trimming(player: RecordedDisk) -> None:
    """Founded, voting, writing; two checkpoints, the begin offset behind each; stopped cleanly and started again."""
    writer = _found(player)
    writer.vote_for(2, "two", epoch=1)
    writer.write(records(1, 3, epoch=1), records(4, 6, epoch=1))
    player.do("store_checkpoint", checkpoint_id=OffsetAndEpoch(5, 1), state=state_at(OffsetAndEpoch(5, 1)))
    writer.begin, writer.committed = OffsetAndEpoch(5, 1), 6
    writer.write()
    player.do("drop_checkpoints", below=5)
    writer = Writer(player=player, boot=player.start_again(cleanly=True))
    writer.write(records(7, 9, epoch=1))
    writer.vote_for(3, "three", epoch=2)
    writer.write(records(8, 12, epoch=2), truncate_from=8)
    player.do("store_checkpoint", checkpoint_id=OffsetAndEpoch(11, 2), state=state_at(OffsetAndEpoch(11, 2)))
    writer.begin, writer.committed = OffsetAndEpoch(11, 2), 12
    writer.write()
    player.do("drop_checkpoints", below=11)
    writer.write(records(13, 14, epoch=2))


def catching_up(player: RecordedDisk) -> None:
    """Behind, with records that were never agreed: pulls a checkpoint twice, then puts it in the old log's place."""
    writer = _found(player)
    writer.vote_for(2, "two", epoch=1)
    writer.write(records(1, 9, epoch=1))
    writer.epoch, writer.vote = 3, None
    writer.write()
    given_up, checkpoint_id = OffsetAndEpoch(5, 3), OffsetAndEpoch(6, 3)
    data = pack_checkpoint(checkpoint_id=given_up, state=state_at(given_up))
    player.do("store_chunk", checkpoint_id=given_up, position=0, data=data[:CHUNK], last=False)
    data = pack_checkpoint(checkpoint_id=checkpoint_id, state=state_at(checkpoint_id))
    places = range(0, len(data), CHUNK)
    for place in places:
        last = place == places[-1]
        player.do(
            "store_chunk", checkpoint_id=checkpoint_id, position=place, data=data[place : place + CHUNK], last=last
        )
    writer.begin, writer.committed = checkpoint_id, 9
    writer.write(records(7, 12, epoch=3), clear=True)
    player.do("drop_checkpoints", below=checkpoint_id.offset)
    writer.write(records(13, 13, epoch=3))
    player.start_again(cleanly=True)


def going_on(player: RecordedDisk) -> None:
    """A start after a loss of power, and a vote and some records after it."""
    boot = player.do("boot")
    writer = Writer(player=player, boot=boot)
    if not boot.mesh:
        return
    writer.vote_for(3, "three", epoch=boot.epoch + 1)
    last = boot.records[-1].offset if boot.records else boot.begin.offset
    writer.write(records(last + 1, last + 2, epoch=writer.epoch))


SCENARIOS = {"trimming": trimming, "catching up": catching_up}
