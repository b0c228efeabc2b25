"""Logged changes of the set of voters: how one is recognised in a record, and what set results from it."""

from typing import NamedTuple

from hoistsaddle.statemachine.commands import AddVoter, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.encoding import unpack_command

# A replica's number and the incarnation of its disk (KIP-853: ReplicaKey). Plain tuples, as maps of voters give them.
ReplicaKey = tuple[int, str]

VoterChange = UpdateVoter | AddVoter | RemoveVoter | ReplaceVoter


class LoggedVoterChange(NamedTuple):
    """A change of voters in the log that is not applied yet, and its record's offset."""

    offset: int
    change: VoterChange


def voter_change_in(payload: bytes) -> VoterChange | None:
    """The voter change that a record holds, if it holds one."""
    # A cheap test first: nearly no record is a voter change.
    if b"Voter" not in payload[:16]:
        return None
    command = unpack_command(payload)
    return command if isinstance(command, VoterChange) else None


def apply_voter_change(voters: dict[int, str], change: VoterChange) -> dict[int, str]:
    """The set of voters after the change."""
    match change:
        case UpdateVoter(replica=replica, new=new):
            return {**voters, replica: new}
        case AddVoter(replica=replica, incarnation=incarnation):
            return {**voters, replica: incarnation}
        case RemoveVoter(replica=replica):
            return _without(voters, replica)
        case ReplaceVoter(replica=replica, successor=successor, successor_incarnation=incarnation):
            return {**_without(voters, replica), successor: incarnation}
    return voters


def _without(voters: dict[int, str], replica: int) -> dict[int, str]:
    return {each: incarnation for each, incarnation in voters.items() if each != replica}
