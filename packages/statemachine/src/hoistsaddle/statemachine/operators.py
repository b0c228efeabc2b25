"""What the log makes of changes among the operators: one proposes, a second person signs, and two always remain."""

import re

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.statemachine.commands import Outcome, ProposeOperatorChange, SignOperatorChange, WithdrawOperatorChange
from hoistsaddle.statemachine.state import State, refuse

MIN_OPERATORS = 2
_name = re.compile(r"^[a-z][a-z0-9.-]{0,62}$")
_digest = re.compile(r"^[0-9a-f]{64}$")


def is_operator_name(name: str) -> bool:
    return _name.match(name) is not None


def is_digest(digest: str) -> bool:
    return _digest.match(digest) is not None


def reject_unknown_operator(state: State, name: str) -> Outcome | None:
    """Whoever was removed after the call was taken has no say any more when it is applied."""
    if state.level < 2 or name in state.operators:
        return None
    return refuse(
        ErrorKind.OPERATOR_UNKNOWN, f"{name} is no operator.", "Have two operators add the name.", "Authorization"
    )


def _wrong(state: State, name: str, digest: str) -> Outcome | None:
    others = {known for other, known in state.operators.items() if other != name}
    if digest and digest in others:
        # One token for two names would let one person be both author and signer.
        return refuse(ErrorKind.OPERATOR_CONFLICT, "Another operator has this token.", "Give a new token.", "digest")
    if not digest and name not in state.operators:
        return refuse(ErrorKind.OPERATOR_CONFLICT, f"{name} is no operator.", "Read the operators.", "name")
    if not digest and len(state.operators) <= MIN_OPERATORS:
        return refuse(
            ErrorKind.OPERATOR_LAST,
            f"Only {len(state.operators)} operators are left.",
            "Add another first: an author and a signer must differ.",
            "name",
        )
    return None


def change(state: State, command: ProposeOperatorChange, offset: int) -> tuple[State, Outcome]:
    if not is_operator_name(command.name):
        return state, refuse(
            ErrorKind.REQUEST_BROKEN, "That is no operator's name.", "Use lower-case letters, digits, . and -.", "name"
        )
    if command.digest and not is_digest(command.digest):
        return state, refuse(ErrorKind.REQUEST_BROKEN, "That is no digest.", "Give sha256 of the token, hex.", "digest")
    if wrong := _wrong(state, command.name, command.digest):
        return state, wrong
    named = digest_of(f"{offset} {command.name} {command.digest}")[:16]
    what = "remove" if not command.digest else "renew" if command.name in state.operators else "add"
    state = state._replace(
        operator_changes=state.operator_changes.set(command.name, [command.digest, command.operator, named])
    )
    return state, Outcome(detail={"name": command.name, "what": what, "change": named, "offset": offset})


def sign(state: State, command: SignOperatorChange, offset: int) -> tuple[State, Outcome]:
    known = state.operator_changes.get(command.name)
    if known is None or known[2] != command.change:
        return state, refuse(
            ErrorKind.OPERATOR_CONFLICT,
            f"No such change of {command.name} is proposed.",
            "Read the proposed changes and sign what you read.",
            "change",
        )
    digest, proposer, _ = known
    if proposer == command.signer:
        return state, refuse(
            ErrorKind.OPERATOR_SELF_SIGNED, f"{proposer} proposed it.", "A second person must sign it.", "signer"
        )
    # Looked at again: what was right when proposed may be wrong by now.
    if wrong := reject_unknown_operator(state, proposer) or _wrong(state, command.name, digest):
        return state, wrong
    operators = state.operators.set(command.name, digest) if digest else state.operators.delete(command.name)
    state = state._replace(operators=operators, operator_changes=state.operator_changes.delete(command.name))
    return state, Outcome(detail={"name": command.name, "operators": sorted(operators), "offset": offset})


def drop(state: State, command: WithdrawOperatorChange, offset: int) -> tuple[State, Outcome]:
    if command.name not in state.operator_changes:
        return state, refuse(
            ErrorKind.OPERATOR_CONFLICT, f"No change of {command.name} is proposed.", "Nothing to do.", "name"
        )
    state = state._replace(operator_changes=state.operator_changes.delete(command.name))
    return state, Outcome(detail={"name": command.name, "offset": offset})
