"""Applies one record of the log to the state: the same on every replica, or a rejection on which the replica stops."""

import hashlib
from collections.abc import Callable
from datetime import timedelta

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.common.errors import OtherRelease
from hoistsaddle.statemachine import bundles, deduplication, fleet, idempotency, items, operators, voters
from hoistsaddle.statemachine.commands import (
    LEVEL,
    LEVEL_OF,
    AbortBundle,
    AcquireSingletonRole,
    AddVoter,
    AdvanceBundle,
    ClaimKey,
    Command,
    CompleteKey,
    DrainServer,
    LeaderChange,
    Outcome,
    PatchItems,
    ProposeOperatorChange,
    Purge,
    RaiseLevel,
    RegisterNode,
    RegisterServer,
    ReleaseKey,
    RemoveVoter,
    ReplaceVoter,
    SignBundle,
    SignOperatorChange,
    SubmitBundle,
    Tick,
    UpdateVoter,
    WithdrawOperatorChange,
)
from hoistsaddle.statemachine.encoding import tag_of, unpack_command
from hoistsaddle.statemachine.errors import LevelTooLow, RequestReused, reject
from hoistsaddle.statemachine.state import State, StoredOutcome

Applied = tuple[State, Outcome]


def apply(
    state: State, *, offset: int, epoch: int, stamp: timedelta, payload: bytes, supported: int = LEVEL
) -> Applied:
    """The state after the record at an offset, and what the record came to.

    Args:
        state: The state after the record before it.
        offset: The record's offset in the log.
        epoch: The epoch of the leader that appended it.
        stamp: The leader's mesh time when it did. Mesh time never goes back, whatever a record says.
        payload: The encoded command.
        supported: The highest release level that this process supports.

    Returns:
        The state and the outcome. OtherRelease as an outcome means that this release can't apply the record: the state
        is unchanged, and the replica must not go on.
    """
    command = unpack_command(payload)
    if command is None or (isinstance(command, RaiseLevel) and command.level > supported):
        level = f" level {command.level}" if isinstance(command, RaiseLevel) else ""
        return state, reject(
            OtherRelease(
                f"The record at offset {offset} is of another release{level}.",
                remedy="Install a release that knows it on this machine; the others go on.",
            )
        )
    state = _expire(state._replace(offset=offset, epoch=epoch, mesh_time=max(stamp, state.mesh_time)))
    needed = LEVEL_OF.get(type(command), 1)
    if state.level < needed:
        return state, reject(
            LevelTooLow(f"{tag_of(command)} needs release level {needed}, the mesh is at {state.level}.")
        )
    return _apply(state, command, offset, payload)


def _expire(state: State) -> State:
    expired = idempotency.expire(state)
    if expired.expired_at != state.expired_at and expired.level >= deduplication.DEDUPLICATION_LEVEL:
        return deduplication.expire_patches(expired)
    return expired


def _apply(state: State, command: Command, offset: int, payload: bytes) -> Applied:
    match command:
        case LeaderChange() | Tick():
            return state, Outcome()
        case ClaimKey():
            return idempotency.claim(state, command)
        case CompleteKey():
            return idempotency.complete(state, command)
        case ReleaseKey():
            return idempotency.release(state, command)
        case RegisterServer():
            return fleet.register_server(state, command, offset)
        case RegisterNode():
            return fleet.register_node(state, command, offset)
        case AcquireSingletonRole():
            return fleet.acquire_singleton_role(state, command, offset)
        case Purge():
            return fleet.purge(state, command, offset)
        case RaiseLevel():
            return fleet.raise_level(state, command, offset)
        case PatchItems():
            return items.patch(state, command, offset)
        case UpdateVoter():
            return voters.update(state, command, offset)
        case AddVoter():
            return voters.add(state, command, offset)
        case RemoveVoter():
            return voters.remove(state, command, offset)
        case ReplaceVoter():
            return voters.replace(state, command, offset)
    return _apply_operators_command(state, command, offset, payload)


def _apply_operators_command(state: State, command: Command, offset: int, payload: bytes) -> Applied:
    """Applies a command of an operator, which carries the id of the operator's request."""
    match command:
        case SubmitBundle(request=request, author=operator):
            rule: Callable[..., Applied] = bundles.submit
        case SignBundle(request=request, signer=operator):
            rule = bundles.sign
        case AdvanceBundle(request=request, operator=operator):
            rule = bundles.advance
        case AbortBundle(request=request, operator=operator):
            rule = bundles.abort
        case DrainServer(request=request, operator=operator):
            rule = fleet.drain
        case ProposeOperatorChange(request=request, operator=operator):
            rule = operators.propose
        case SignOperatorChange(request=request, signer=operator):
            rule = operators.sign
        case WithdrawOperatorChange(request=request, operator=operator):
            rule = operators.withdraw
        case _:
            raise AssertionError(f"no rule for {type(command).__name__}")
    return _apply_once(state, request, operator, payload, lambda before: rule(before, command, offset))


def _apply_once(
    state: State, request: str, operator: str, payload: bytes, apply_rule: Callable[[State], Applied]
) -> Applied:
    """Applies an operator's request the first time it is met, and answers a repeat of it with the same outcome."""
    known = state.outcomes.get(request)
    digest = hashlib.sha256(payload).hexdigest() if state.level > 1 else ""
    if known is not None:
        if digest and known.command_digest and known.command_digest != digest:
            # Two requests that share an id by accident: neither may be answered with the other's outcome.
            return state, reject(RequestReused("Another call had this request id.", field="X-Request-Id"))
        return state, known.outcome
    if (rejection := operators.reject_unknown_operator(state, operator)) is not None:
        return state, rejection
    state, outcome = apply_rule(state)
    stored = StoredOutcome(to_microseconds(state.mesh_time), outcome, digest)
    return state._replace(outcomes=state.outcomes.set(request, stored)), outcome
