"""Logged changes of the voter set: recognising one in a record, and computing the resulting set."""

from typing import NamedTuple

from hoistsaddle.statemachine.commands import AddVoter, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.encoding import unpack_command

# A replica's number and the incarnation of its disk (KIP-853: ReplicaKey). A plain tuple, as in a voter map's items.
ReplicaKey = tuple[int, str]

VoterChange = UpdateVoter | AddVoter | RemoveVoter | ReplaceVoter


class LoggedVoterChange(NamedTuple):
    """A voter change in the log that is not applied yet, and its record's offset."""

    offset: int
    change: VoterChange


def voter_change_in(payload: bytes) -> VoterChange | None:
    """The voter change in a record's payload; None if it contains another command."""
    # A cheap test first, since voter changes are rare.
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
