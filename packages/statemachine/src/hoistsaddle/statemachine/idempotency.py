"""What the log makes of keys that must run once: claims, answers kept, keys given back, and their expiry."""

from datetime import timedelta

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.statemachine.commands import (
    EXPIRY_INTERVAL,
    OUTCOME_RETENTION,
    SETTLED_HOLD_TIMEOUT,
    UNSETTLED_HOLD_TIMEOUT,
    ClaimKey,
    CompleteKey,
    Outcome,
    ReleaseKey,
)
from hoistsaddle.statemachine.state import CLAIMED, SETTLED, KeyHold, State, refuse

BY_CREDENTIALS = "credentials"


def _hold_timeout(command: ClaimKey) -> timedelta:
    return timedelta(seconds=command.span) if command.span else UNSETTLED_HOLD_TIMEOUT


def _live(state: State, scope: str) -> KeyHold | None:
    hold = state.holds.get(scope)
    # Expiry is judged against mesh time: the same on every replica, never early.
    return None if hold is None or from_microseconds(hold.expires) <= state.mesh_time else hold


def _meet(hold: KeyHold, scope: str, command: ClaimKey) -> Outcome:
    """What the same client's next claim of a held key gets."""
    if hold.body_digest != command.body_digest:
        return refuse(
            ErrorKind.KEY_OTHER_BODY,
            "The key was used with another body.",
            "Use a new Idempotency-Key for a new request.",
            "Idempotency-Key",
        )
    if hold.phase == SETTLED:
        return Outcome(
            detail={
                "phase": SETTLED,
                "status": hold.status,
                "headers": hold.headers,
                "body": hold.body,
                "kept": hold.kept,
            }
        )
    # The same claim forwarded twice is one claim. Who holds it is told, as its answer may be kept there.
    phase = "granted" if hold.claim == command.claim else CLAIMED
    return Outcome(detail={"phase": phase, "scope": scope, "claim": hold.claim, "stall": hold.proxy})


def _told_apart(hold: KeyHold, command: ClaimKey) -> bool:
    """Surely two clients: both are known by the same declared mark, and the marks differ.

    Credentials are no such mark: another token may be the same client's renewed one.
    """
    return hold.by == command.by != BY_CREDENTIALS and hold.who != command.who


def hold_handle(command: ClaimKey) -> str:
    """Under what the log holds it: it hangs on nothing that a bundle, a renewed credential or a new address changes."""
    # An operation known by its key alone has nobody to be told apart, and its bucket for a handle.
    return digest_of("\0".join((command.bucket, command.by, command.who))) if command.who else command.bucket


def claim(state: State, command: ClaimKey) -> tuple[State, Outcome]:
    if state.level < 2:
        return _claim_by_scope(state, command)
    if not command.bucket:
        return state, refuse(
            ErrorKind.RELEASE_OLD,
            "The claim doesn't say by what its visitor is known.",
            "Install a release that supports the mesh's level.",
            "level",
        )
    before = _live(state, command.scope)
    if before is not None and not before.bucket:
        # Held under level 1 by this very client and entry: its effect goes on.
        return state, _meet(before, command.scope, command)
    others = []
    for scope in state.buckets.get(command.bucket, ()):
        if (hold := _live(state, scope)) is None:
            continue
        if (hold.by, hold.who) == (command.by, command.who):
            if command.after and hold.claim == command.after and hold.phase == CLAIMED:
                # Its holder has told that nothing ran under it and nothing will.
                moved = hold._replace(
                    claim=command.claim,
                    proxy=command.proxy,
                    expires=to_microseconds(state.mesh_time + _hold_timeout(command)),
                )
                state = state._replace(holds=state.holds.set(scope, moved))
                return state, Outcome(detail={"phase": "granted", "scope": scope})
            return state, _meet(hold, scope, command)
        others.append((scope, hold))
    if not all(_told_apart(hold, command) for _, hold in others):
        return state, refuse(
            ErrorKind.KEY_CLIENT_UNSURE,
            "The key is held for this request, and nothing shows whether the same visitor sent it; nothing ran now.",
            "Repeat it with the credentials it was first sent with, or use a new key if it is another request;"
            " a bundle may declare by what visitors are known.",
            "Idempotency-Key",
        )
    handle = hold_handle(command)
    expires = to_microseconds(state.mesh_time + _hold_timeout(command))
    hold = KeyHold(
        command.claim,
        command.proxy,
        command.body_digest,
        CLAIMED,
        expires,
        0,
        {},
        b"",
        False,
        command.bucket,
        command.by,
        command.who,
        command.entry,
    )
    buckets = state.buckets.set(command.bucket, (*(scope for scope, _ in others), handle))
    state = state._replace(holds=state.holds.set(handle, hold), buckets=buckets)
    return state, Outcome(detail={"phase": "granted", "scope": handle})


def _claim_by_scope(state: State, command: ClaimKey) -> tuple[State, Outcome]:
    """The rule of release level 1, kept until every process knows the next one."""
    known = _live(state, command.scope)
    if known is not None:
        return state, _meet(known, command.scope, command)
    expires = to_microseconds(state.mesh_time + UNSETTLED_HOLD_TIMEOUT)
    hold = KeyHold(command.claim, command.proxy, command.body_digest, CLAIMED, expires, 0, {}, b"", False)
    return state._replace(holds=state.holds.set(command.scope, hold)), Outcome(
        detail={"phase": "granted", "scope": command.scope}
    )


def settle(state: State, command: CompleteKey) -> tuple[State, Outcome]:
    known = state.holds.get(command.scope)
    if known is None or known.claim != command.claim:
        return state, refuse(
            ErrorKind.KEY_HELD, "The hold is not this claim's any more.", "Report the answer as unknown.", "claim"
        )
    if known.phase == SETTLED:
        return state, Outcome(detail={"phase": SETTLED})
    expires = to_microseconds(state.mesh_time + SETTLED_HOLD_TIMEOUT)
    hold = known._replace(
        phase=SETTLED,
        expires=expires,
        status=command.status,
        headers=command.headers,
        body=command.body,
        kept=command.kept,
    )
    return state._replace(holds=state.holds.set(command.scope, hold)), Outcome(detail={"phase": SETTLED})


def release(state: State, command: ReleaseKey) -> tuple[State, Outcome]:
    known = state.holds.get(command.scope)
    if known is None or known.claim != command.claim or known.phase == SETTLED:
        return state, Outcome(detail={"phase": "kept"})
    return _forget(state, (command.scope,)), Outcome(detail={"phase": "released"})


def _forget(state: State, scopes: tuple[str, ...]) -> State:
    holds, buckets = state.holds.mutate(), state.buckets.mutate()
    for scope in scopes:
        bucket = holds.pop(scope).bucket
        if not bucket:
            continue
        left = tuple(each for each in buckets[bucket] if each != scope)
        if left:
            buckets[bucket] = left
        else:
            del buckets[bucket]
    return state._replace(holds=holds.finish(), buckets=buckets.finish())


def sweep(state: State) -> State:
    if state.mesh_time - state.expired_at < EXPIRY_INTERVAL:
        return state
    stamp = to_microseconds(state.mesh_time)
    state = _forget(state, tuple(scope for scope, hold in state.holds.items() if hold.expires <= stamp))
    outcomes = state.outcomes.mutate()
    for request, kept in state.outcomes.items():
        if kept[0] + to_microseconds(OUTCOME_RETENTION) <= stamp:
            del outcomes[request]
    return state._replace(outcomes=outcomes.finish(), expired_at=state.mesh_time)
