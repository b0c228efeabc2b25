"""Applies changes of the voters. A change is rejected if the voters are not those that it expects."""

from hoistsaddle.statemachine.commands import AddVoter, Outcome, RemoveVoter, ReplaceVoter, UpdateVoter
from hoistsaddle.statemachine.errors import VotersChanged, reject
from hoistsaddle.statemachine.state import State


def update(state: State, command: UpdateVoter, offset: int) -> tuple[State, Outcome]:
    """Updates the incarnation of a voter."""
    if state.voters.get(command.replica) != command.old:
        return state, reject(VotersChanged("The voter was swapped already.", field="replica"))
    voters = state.voters.set(command.replica, command.new)
    return state._replace(voters=voters, data_plane_revision=offset), Outcome()


def add(state: State, command: AddVoter, offset: int) -> tuple[State, Outcome]:
    """Adds a replica to the voters."""
    if command.replica in state.voters:
        return state, reject(VotersChanged("It is a voter already.", field="replica"))
    voters = state.voters.set(command.replica, command.incarnation)
    return state._replace(voters=voters, data_plane_revision=offset), Outcome()


def remove(state: State, command: RemoveVoter, offset: int) -> tuple[State, Outcome]:
    """Removes a replica from the voters; the last voter can't be removed."""
    if state.voters.get(command.replica) != command.incarnation or len(state.voters) < 2:
        return state, reject(VotersChanged("It is no voter.", field="replica"))
    voters = state.voters.delete(command.replica)
    return state._replace(voters=voters, data_plane_revision=offset), Outcome()


def replace(state: State, command: ReplaceVoter, offset: int) -> tuple[State, Outcome]:
    """Removes one replica from the voters and adds another in its place."""
    if state.voters.get(command.replica) != command.incarnation or command.successor in state.voters:
        return state, reject(VotersChanged("The voters have changed.", field="replica"))
    voters = state.voters.delete(command.replica).set(command.successor, command.successor_incarnation)
    return state._replace(voters=voters, data_plane_revision=offset), Outcome()
