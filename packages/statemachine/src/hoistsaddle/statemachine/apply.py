"""One record applied to the state: the same on every replica, or a refusal to go on."""

import hashlib
from collections.abc import Callable
from datetime import timedelta

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.statemachine import bundles, deduplication, fleet, idempotency, items, operators
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
    unpack_command,
)
from hoistsaddle.statemachine.state import State, refuse

Applied = tuple[State, Outcome]


def _once(state: State, request: str, operator: str, payload: bytes, applied: Callable[[State], Applied]) -> Applied:
    """An operator's request forwarded twice is applied once and answered alike."""
    known = state.outcomes.get(request)
    digest = hashlib.sha256(payload).hexdigest() if state.level > 1 else ""
    if known is not None:
        if digest and len(known) > 2 and known[2] != digest:
            # Two calls that share an id by accident: neither may pass for the other.
            return state, refuse(
                ErrorKind.REQUEST_REUSED,
                "Another call had this request id.",
                "Send the call with an id of its own; repeat one only with the call it was made for.",
                "X-Request-Id",
            )
        return state, Outcome(*known[1])
    if unknown := operators.reject_unknown_operator(state, operator):
        return state, unknown
    state, outcome = applied(state)
    kept = [to_microseconds(state.mesh_time), list(outcome), *([digest] if digest else [])]
    return state._replace(outcomes=state.outcomes.set(request, kept)), outcome


def apply(
    state: State, *, offset: int, epoch: int, stamp: timedelta, payload: bytes, supported: int = LEVEL
) -> Applied:
    """A refusal of kind "other-release" means that this release can't apply the record: it must not go on."""
    command = unpack_command(payload)
    if command is None or (isinstance(command, RaiseLevel) and command.level > supported):
        level = f" level {command.level}" if isinstance(command, RaiseLevel) else ""
        return state, refuse(
            ErrorKind.OTHER_RELEASE,
            f"The record at offset {offset} is of another release{level}.",
            "Install a release that knows it on this machine; the others go on.",
        )
    # The stamp never goes back, whatever a record says.
    state = _sweep(state._replace(offset=offset, epoch=epoch, mesh_time=max(stamp, state.mesh_time)))
    needed = LEVEL_OF.get(type(command), 1)
    if state.level < needed:
        return state, refuse(
            ErrorKind.RELEASE_LEVEL,
            f"{type(command).__name__} needs release level {needed}, the mesh is at {state.level}.",
            "Install the newer release on every machine; the level then rises by itself.",
        )
    return _apply(state, command, offset, payload)


def _sweep(state: State) -> State:
    swept = idempotency.sweep(state)
    return (
        deduplication.expire_patches(swept)
        if swept.swept != state.expired_at and swept.level >= deduplication.DEDUPLICATION_LEVEL
        else swept
    )


def _apply(state: State, command: Command, offset: int, payload: bytes) -> Applied:
    def once(request: str, operator: str, work: Callable[..., Applied]) -> Applied:
        return _once(state, request, operator, payload, lambda held: work(held, command, offset))

    match command:
        case LeaderChange() | Tick():
            return state, Outcome()
        case UpdateVoter(replica=replica, old=old, new=new):
            if state.voters.get(replica) != old:
                return state, refuse(ErrorKind.UNSURE, "The voter was swapped already.", "Read the voters.", "replica")
            return state._replace(voters=state.voters.set(replica, new), data_plane_revision=offset), Outcome()
        case AddVoter(replica=replica, incarnation=incarnation):
            if replica in state.voters:
                return state, refuse(ErrorKind.UNSURE, "It is a voter already.", "Read the voters.", "replica")
            return state._replace(voters=state.voters.set(replica, incarnation), data_plane_revision=offset), Outcome()
        case RemoveVoter(replica=replica, incarnation=incarnation):
            if state.voters.get(replica) != incarnation or len(state.voters) < 2:
                return state, refuse(ErrorKind.UNSURE, "It is no voter.", "Read the voters.", "replica")
            return state._replace(voters=state.voters.delete(replica), data_plane_revision=offset), Outcome()
        case ReplaceVoter(replica=replica, incarnation=incarnation, successor=successor):
            if state.voters.get(replica) != incarnation or successor in state.voters:
                return state, refuse(ErrorKind.UNSURE, "The voters have changed.", "Read the voters.", "replica")
            voters = state.voters.delete(replica).set(successor, command.successor_incarnation)
            return state._replace(voters=voters, data_plane_revision=offset), Outcome()
        case PatchItems():
            return items.patch(state, command, offset)
        case SubmitBundle(request=request, author=author):
            return once(request, author, bundles.submit)
        case SignBundle(request=request, signer=signer):
            return once(request, signer, bundles.sign)
        case AdvanceBundle(request=request, operator=operator):
            return once(request, operator, bundles.advance)
        case AbortBundle(request=request, operator=operator):
            return once(request, operator, bundles.abort)
        case DrainServer(request=request, operator=operator):
            return once(request, operator, fleet.drain)
        case ProposeOperatorChange(request=request, operator=operator):
            return once(request, operator, operators.change)
        case SignOperatorChange(request=request, signer=signer):
            return once(request, signer, operators.sign)
        case WithdrawOperatorChange(request=request, operator=operator):
            return once(request, operator, operators.drop)
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
        case ClaimKey():
            return idempotency.claim(state, command)
        case CompleteKey():
            return idempotency.settle(state, command)
        case ReleaseKey():
            return idempotency.release(state, command)
    raise AssertionError(f"no rule for {type(command).__name__}")
