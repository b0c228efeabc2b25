"""Applies the commands of idempotency keys: claims, stored answers, releases; and expires holds.

The request of a key must run once. A proxy claims the key before it runs the request; a repeat of the request
gets the existing claim or the stored answer. Holds expire by mesh time, so they expire identically on every replica and
never early.
"""

from datetime import timedelta

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.common.errors import KeyInUse
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
from hoistsaddle.statemachine.errors import KeyClientUnsure, KeyOtherBody, ReleaseTooOld, reject
from hoistsaddle.statemachine.state import CLAIMED, SETTLED, KeyHold, State

# How a client is identified if the bundle declares no header or cookie for it; encoded.
BY_CREDENTIALS = "credentials"
# Results of a claim or release, in the outcome's detail; sent on the wire.
GRANTED = "granted"
RELEASED = "released"
KEPT = "kept"


def _hold_timeout(command: ClaimKey) -> timedelta:
    return timedelta(seconds=command.hold_seconds) if command.hold_seconds else UNSETTLED_HOLD_TIMEOUT


def _active_hold(state: State, scope: str) -> KeyHold | None:
    hold = state.holds.get(scope)
    return None if hold is None or from_microseconds(hold.expires) <= state.mesh_time else hold


def _repeat_outcome(hold: KeyHold, scope: str, command: ClaimKey) -> Outcome:
    """Returns the outcome of a further claim by the same client on a held key."""
    if hold.body_digest != command.body_digest:
        return reject(KeyOtherBody("The key was used with another body.", field="Idempotency-Key"))
    if hold.phase == SETTLED:
        return Outcome(
            detail={
                "phase": SETTLED,
                "status": hold.status,
                "headers": hold.headers,
                "body": hold.body,
                "kept": hold.answer_kept,
            }
        )
    # The same claim forwarded twice is one claim. The detail names the holder's proxy, as it may have the answer.
    phase = GRANTED if hold.claim == command.claim else CLAIMED
    return Outcome(detail={"phase": phase, "scope": scope, "claim": hold.claim, "stall": hold.proxy})


def _are_distinct_clients(hold: KeyHold, command: ClaimKey) -> bool:
    """Whether hold and claim certainly belong to two clients: identified by the same header or cookie, with two values.

    Credentials don't distinguish clients: a different token may be the renewed token of the same client.
    """
    same_kind = hold.identified_by == command.identified_by != BY_CREDENTIALS
    return same_kind and hold.client_digest != command.client_digest


def hold_scope(command: ClaimKey) -> str:
    """Returns the scope under which a claim is held; it is independent of the bundle, credentials and address."""
    if not command.client_digest:
        # The key alone identifies the operation, so clients are not distinguished.
        return command.bucket
    return digest_of("\0".join((command.bucket, command.identified_by, command.client_digest)))


def claim(state: State, command: ClaimKey) -> tuple[State, Outcome]:
    """Grants a claim, or returns the state of the existing hold."""
    if state.level < 2:
        return _claim_by_scope(state, command)
    if not command.bucket:
        return state, reject(ReleaseTooOld("The claim doesn't say by what its visitor is known.", field="level"))
    hold_by_scope = _active_hold(state, command.scope)
    if hold_by_scope is not None and not hold_by_scope.bucket:
        # Held since release level 1, when the scope identified this client and route.
        return state, _repeat_outcome(hold_by_scope, command.scope, command)
    others = []
    for scope in state.buckets.get(command.bucket, ()):
        hold = _active_hold(state, scope)
        if hold is None:
            continue
        if (hold.identified_by, hold.client_digest) == (command.identified_by, command.client_digest):
            return _claim_again(state, scope, hold, command)
        others.append((scope, hold))
    if not all(_are_distinct_clients(hold, command) for _, hold in others):
        return state, reject(
            KeyClientUnsure(
                "The key is held for this request, and nothing shows whether the same visitor sent it;"
                " nothing ran now.",
                field="Idempotency-Key",
            )
        )
    new_scope = hold_scope(command)
    buckets = state.buckets.set(command.bucket, (*(scope for scope, _ in others), new_scope))
    state = state._replace(holds=state.holds.set(new_scope, _new_hold(state, command)), buckets=buckets)
    return state, Outcome(detail={"phase": GRANTED, "scope": new_scope})


def _claim_again(state: State, scope: str, hold: KeyHold, command: ClaimKey) -> tuple[State, Outcome]:
    """Applies a further claim of the same client; it replaces a claim that its holder has abandoned."""
    if not (command.replaced_claim and hold.claim == command.replaced_claim and hold.phase == CLAIMED):
        return state, _repeat_outcome(hold, scope, command)
    expires = to_microseconds(state.mesh_time + _hold_timeout(command))
    reassigned = hold._replace(claim=command.claim, proxy=command.proxy, expires=expires)
    state = state._replace(holds=state.holds.set(scope, reassigned))
    return state, Outcome(detail={"phase": GRANTED, "scope": scope})


def _new_hold(state: State, command: ClaimKey) -> KeyHold:
    return KeyHold(
        command.claim,
        command.proxy,
        command.body_digest,
        CLAIMED,
        to_microseconds(state.mesh_time + _hold_timeout(command)),
        0,
        {},
        b"",
        False,
        command.bucket,
        command.identified_by,
        command.client_digest,
        command.route,
    )


def _claim_by_scope(state: State, command: ClaimKey) -> tuple[State, Outcome]:
    """Applies a claim by the rules of release level 1, which hold until the level is raised."""
    known = _active_hold(state, command.scope)
    if known is not None:
        return state, _repeat_outcome(known, command.scope, command)
    expires = to_microseconds(state.mesh_time + UNSETTLED_HOLD_TIMEOUT)
    hold = KeyHold(command.claim, command.proxy, command.body_digest, CLAIMED, expires, 0, {}, b"", False)
    state = state._replace(holds=state.holds.set(command.scope, hold))
    return state, Outcome(detail={"phase": GRANTED, "scope": command.scope})


def complete(state: State, command: CompleteKey) -> tuple[State, Outcome]:
    """Stores the answer of a claimed key's request; a repeat of the command changes nothing."""
    known = state.holds.get(command.scope)
    if known is None or known.claim != command.claim:
        return state, reject(
            KeyInUse("The hold is not this claim's any more.", remedy="Report the answer as unknown.", field="claim")
        )
    if known.phase == SETTLED:
        return state, Outcome(detail={"phase": SETTLED})
    hold = known._replace(
        phase=SETTLED,
        expires=to_microseconds(state.mesh_time + SETTLED_HOLD_TIMEOUT),
        status=command.status,
        headers=command.headers,
        body=command.body,
        answer_kept=command.answer_kept,
    )
    return state._replace(holds=state.holds.set(command.scope, hold)), Outcome(detail={"phase": SETTLED})


def release(state: State, command: ReleaseKey) -> tuple[State, Outcome]:
    """Releases a claimed key; a key that is settled, or held by another claim, stays held."""
    known = state.holds.get(command.scope)
    if known is None or known.claim != command.claim or known.phase == SETTLED:
        return state, Outcome(detail={"phase": KEPT})
    return _remove_holds(state, (command.scope,)), Outcome(detail={"phase": RELEASED})


def _remove_holds(state: State, scopes: tuple[str, ...]) -> State:
    holds, buckets = state.holds.mutate(), state.buckets.mutate()
    for scope in scopes:
        bucket = holds.pop(scope).bucket
        if not bucket:
            continue
        # A new claim removes expired scopes from its bucket, so a bucket may be removed before its holds.
        remaining = tuple(each for each in buckets.get(bucket, ()) if each != scope)
        if remaining:
            buckets[bucket] = remaining
        else:
            buckets.pop(bucket, None)
    return state._replace(holds=holds.finish(), buckets=buckets.finish())


def expire(state: State) -> State:
    """Removes expired holds and stored outcomes, at most once per EXPIRY_INTERVAL of mesh time."""
    if state.mesh_time - state.expired_at < EXPIRY_INTERVAL:
        return state
    now = to_microseconds(state.mesh_time)
    state = _remove_holds(state, tuple(scope for scope, hold in state.holds.items() if hold.expires <= now))
    latest = now - to_microseconds(OUTCOME_RETENTION)
    outcomes = state.outcomes.mutate()
    for request, stored in state.outcomes.items():
        if stored.stored_at <= latest:
            del outcomes[request]
    return state._replace(outcomes=outcomes.finish(), expired_at=state.mesh_time)
