"""Logged changes of the set of voters: how one is told from its record, and what set it makes."""

from hoistsaddle.statemachine.commands import AddVoter, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.encoding import unpack_command

VoterChange = UpdateVoter | AddVoter | RemoveVoter | ReplaceVoter


def voter_change_in(payload: bytes) -> VoterChange | None:
    """The voter change that a record holds, if it holds one."""
    # Cheap look first: nearly no record is a voter change.
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
            return {each: incarnation for each, incarnation in voters.items() if each != replica}
        case ReplaceVoter(replica=replica, successor=successor, successor_incarnation=incarnation):
            return {**{each: life for each, life in voters.items() if each != replica}, successor: incarnation}
    return voters
