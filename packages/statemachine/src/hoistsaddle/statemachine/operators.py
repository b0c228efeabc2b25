"""Applies changes of operators: one operator proposes a change, a second one signs it, and at least two remain."""

import re

from hoistsaddle.common.errors import InvalidRequest, OperatorUnknown
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.statemachine.commands import Outcome, ProposeOperatorChange, SignOperatorChange, WithdrawOperatorChange
from hoistsaddle.statemachine.errors import OperatorConflict, OperatorSelfSigned, TooFewOperators, reject
from hoistsaddle.statemachine.state import OperatorChange, State

# An author and a signer, who must differ.
MIN_OPERATORS = 2
# The number of hexadecimal digits of a proposal's digest that identify it to its signer.
CHANGE_DIGITS = 16
_OPERATOR_NAME_PATTERN = re.compile(r"^[a-z][a-z0-9.-]{0,62}$")
_DIGEST_PATTERN = re.compile(r"^[0-9a-f]{64}$")


def is_operator_name(name: str) -> bool:
    """Whether an operator may have this name."""
    return _OPERATOR_NAME_PATTERN.match(name) is not None


def is_digest(digest: str) -> bool:
    """Whether this is a SHA-256 digest in lower-case hexadecimal digits."""
    return _DIGEST_PATTERN.match(digest) is not None


def reject_unknown_operator(state: State, name: str) -> Outcome | None:
    """Rejects a command whose operator is unknown, as after a removal that was applied before the command."""
    if state.level < 2 or name in state.operators:
        return None
    return reject(
        OperatorUnknown(f"{name} is no operator.", remedy="Have two operators add the name.", field="Authorization")
    )


def _reject_conflict(state: State, name: str, digest: str) -> Outcome | None:
    other_digests = {other_digest for other, other_digest in state.operators.items() if other != name}
    if digest and digest in other_digests:
        # One token under two names would let one person be both author and signer.
        return reject(OperatorConflict("Another operator has this token.", remedy="Give a new token.", field="digest"))
    if not digest and name not in state.operators:
        return reject(OperatorConflict(f"{name} is no operator.", field="name"))
    if not digest and len(state.operators) <= MIN_OPERATORS:
        return reject(TooFewOperators(f"Only {len(state.operators)} operators are left.", field="name"))
    return None


def kind_of_change(state: State, name: str, token_digest: str) -> str:
    """Returns the kind of a change as it is shown to operators: "remove", "renew" or "add"."""
    if not token_digest:
        return "remove"
    return "renew" if name in state.operators else "add"


def propose(state: State, command: ProposeOperatorChange, offset: int) -> tuple[State, Outcome]:
    """Stores a proposed change for a second operator to sign; it replaces an earlier proposal for the same name."""
    if not is_operator_name(command.name):
        return state, reject(
            InvalidRequest(
                "That is no operator's name.", remedy="Use lower-case letters, digits, . and -.", field="name"
            )
        )
    if command.digest and not is_digest(command.digest):
        return state, reject(
            InvalidRequest("That is no digest.", remedy="Give sha256 of the token, hex.", field="digest")
        )
    if (rejection := _reject_conflict(state, command.name, command.digest)) is not None:
        return state, rejection
    change = digest_of(f"{offset} {command.name} {command.digest}")[:CHANGE_DIGITS]
    kind = kind_of_change(state, command.name, command.digest)
    proposed = OperatorChange(command.digest, command.operator, change)
    state = state._replace(operator_changes=state.operator_changes.set(command.name, proposed))
    return state, Outcome(detail={"name": command.name, "what": kind, "change": change, "offset": offset})


def sign(state: State, command: SignOperatorChange, offset: int) -> tuple[State, Outcome]:
    """Signs a proposed change, which puts it in force."""
    proposed = state.operator_changes.get(command.name)
    if proposed is None or proposed.change != command.change:
        return state, reject(
            OperatorConflict(
                f"No such change of {command.name} is proposed.",
                remedy="Read the proposed changes and sign what you read.",
                field="change",
            )
        )
    if proposed.proposer == command.signer:
        return state, reject(OperatorSelfSigned(f"{proposed.proposer} proposed it.", field="signer"))
    # Checked again, as the operators may have changed since the proposal.
    digest = proposed.token_digest
    rejection = reject_unknown_operator(state, proposed.proposer) or _reject_conflict(state, command.name, digest)
    if rejection is not None:
        return state, rejection
    operators = state.operators.set(command.name, digest) if digest else state.operators.delete(command.name)
    state = state._replace(operators=operators, operator_changes=state.operator_changes.delete(command.name))
    return state, Outcome(detail={"name": command.name, "operators": sorted(operators), "offset": offset})


def withdraw(state: State, command: WithdrawOperatorChange, offset: int) -> tuple[State, Outcome]:
    """Withdraws a proposed change."""
    if command.name not in state.operator_changes:
        return state, reject(
            OperatorConflict(f"No change of {command.name} is proposed.", remedy="Nothing to do.", field="name")
        )
    state = state._replace(operator_changes=state.operator_changes.delete(command.name))
    return state, Outcome(detail={"name": command.name, "offset": offset})
