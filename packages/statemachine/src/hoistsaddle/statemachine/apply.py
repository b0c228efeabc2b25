"""Applies one log record to the state, with the same result on every replica.

A replica whose release can't apply a record rejects it as OtherRelease and stops.
"""

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
    """Returns the state after the record at an offset, and the outcome of the record.

    Args:
        state: The state after the preceding record.
        offset: The record's offset in the log.
        epoch: The epoch of the leader that appended it.
        stamp: The leader's mesh time when it appended the record. A timestamp lower than the state's mesh time is
            ignored, so mesh time never goes back.
        payload: The encoded command.
        supported: The highest release level that this process supports.

    Returns:
        The state and the outcome. An OtherRelease outcome means that this release can't apply the record: the state
        is unchanged, and the replica must apply no further records.
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
    required_level = LEVEL_OF.get(type(command), 1)
    if state.level < required_level:
        return state, reject(
            LevelTooLow(f"{tag_of(command)} needs release level {required_level}, the mesh is at {state.level}.")
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
    """Applies an operator's command, which carries the id of the operator's request."""
    match command:
        case SubmitBundle(request=request, author=operator):
            handler: Callable[..., Applied] = bundles.submit
        case SignBundle(request=request, signer=operator):
            handler = bundles.sign
        case AdvanceBundle(request=request, operator=operator):
            handler = bundles.advance
        case AbortBundle(request=request, operator=operator):
            handler = bundles.abort
        case DrainServer(request=request, operator=operator):
            handler = fleet.drain
        case ProposeOperatorChange(request=request, operator=operator):
            handler = operators.propose
        case SignOperatorChange(request=request, signer=operator):
            handler = operators.sign
        case WithdrawOperatorChange(request=request, operator=operator):
            handler = operators.withdraw
        case _:
            raise AssertionError(f"no handler for {type(command).__name__}")
    return _apply_once(state, request, operator, payload, lambda before: handler(before, command, offset))


def _apply_once(
    state: State, request: str, operator: str, payload: bytes, apply_command: Callable[[State], Applied]
) -> Applied:
    """Applies an operator's request once; a repeat of the request gets the stored outcome."""
    known = state.outcomes.get(request)
    digest = hashlib.sha256(payload).hexdigest() if state.level > 1 else ""
    if known is not None:
        if digest and known.command_digest and known.command_digest != digest:
            # Two different requests share an id by accident: neither may get the other's outcome.
            return state, reject(RequestReused("Another call had this request id.", field="X-Request-Id"))
        return state, known.outcome
    if (rejection := operators.reject_unknown_operator(state, operator)) is not None:
        return state, rejection
    state, outcome = apply_command(state)
    stored = StoredOutcome(to_microseconds(state.mesh_time), outcome, digest)
    return state._replace(outcomes=state.outcomes.set(request, stored)), outcome
