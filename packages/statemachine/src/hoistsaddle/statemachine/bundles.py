"""Applies the commands of bundles: submitting, signing, advancing a rollout by stages, and aborting."""

from returns.result import Failure, Success

from hoistsaddle.common.errors import BundleConflict, BundleDuplicate, BundleStale, BundleUnknown, BundleWrongBase
from hoistsaddle.config.bundle import Bundle, digest_of
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.statemachine.commands import AbortBundle, AdvanceBundle, Outcome, SignBundle, SubmitBundle
from hoistsaddle.statemachine.deduplication import DEDUPLICATION_LEVEL
from hoistsaddle.statemachine.errors import BundleSelfSigned, BundleWrongPhase, LevelTooLow, OutcomeForgotten, reject
from hoistsaddle.statemachine.state import (
    ABORTED,
    DRAFT,
    IN_FORCE,
    MAX_BUNDLES,
    REPLACED,
    ROLLING,
    BundleRecord,
    State,
    bundle_in,
)


def submit(state: State, command: SubmitBundle, offset: int) -> tuple[State, Outcome]:
    """Accepts a bundle as a draft."""
    match read_bundle(command.text):
        case Failure(error):
            return state, reject(error)
        case Success(bundle):
            return _submit(state, command, bundle, offset)


def _submit(state: State, command: SubmitBundle, bundle: Bundle, offset: int) -> tuple[State, Outcome]:
    if bundle.level() > state.level:
        return state, reject(
            LevelTooLow(f"It needs release level {bundle.level()}, the mesh is at {state.level}.", field="visitor")
        )
    digest = digest_of(command.text)
    known = state.bundles.get(bundle.number)
    if known is not None:
        return state, _existing_bundle_outcome(state, known, command.author, digest)
    if (rejection := _reject_forgotten(state, bundle.number)) is not None:
        return state, rejection
    newest = _newest_signed(state)
    if bundle.number <= newest:
        return state, reject(
            BundleStale(
                f"Bundle {newest} was signed already.",
                remedy=f"Number it above {newest} and base it on {state.in_force}.",
                field="number",
            )
        )
    if bundle.based_on != state.in_force:
        return state, _reject_wrong_base(state, bundle.based_on)
    draft = BundleRecord(bundle.number, bundle.based_on, command.author, "", command.text, digest, DRAFT, 0, offset)
    return _add_draft(state, draft), Outcome(detail={"number": bundle.number, "digest": digest})


def _add_draft(state: State, draft: BundleRecord) -> State:
    """Adds a draft, and drops the oldest bundles beyond MAX_BUNDLES."""
    bundles = state.bundles.set(draft.number, draft)
    in_use = (state.in_force, state.rolling, draft.number)
    unused = sorted((each.offset, number) for number, each in bundles.items() if number not in in_use)
    for _, number in unused[: max(0, len(bundles) - MAX_BUNDLES)]:
        bundles = bundles.delete(number)
    return state._replace(bundles=bundles)


def _newest_signed(state: State) -> int:
    """Returns the highest number of a signed bundle; 0 for none."""
    return max((number for number, each in state.bundles.items() if each.phase != DRAFT), default=0)


def _reject_wrong_base(state: State, based_on: int) -> Outcome:
    return reject(
        BundleWrongBase(
            f"It is based on {based_on}, but {state.in_force} is in force.",
            remedy=f"Rework it on top of {state.in_force}.",
            field="based_on",
        )
    )


def _existing_bundle_outcome(state: State, known: BundleRecord, author: str, digest: str) -> Outcome:
    """Returns the outcome of a submission whose number is in use."""
    if known.digest == digest and known.author == author and state.level >= DEDUPLICATION_LEVEL:
        # A repeat, as when the first answer was lost: it is confirmed again, whatever the bundle's phase is now.
        return Outcome(detail={"number": known.number, "digest": digest, "phase": known.phase})
    if known.digest == digest:
        return reject(
            BundleDuplicate(f"Bundle {known.number} was submitted before and is {known.phase}.", field="number")
        )
    if known.phase != DRAFT:
        return reject(BundleStale(f"Bundle {known.number} is {known.phase} with other content.", field="number"))
    return reject(BundleConflict(f"{known.author} submitted another bundle {known.number}.", field="number"))


def _reject_forgotten(state: State, number: int) -> Outcome | None:
    """Rejects a request for a bundle that may have been accepted and dropped since: the outcome is unknown."""
    if state.level < DEDUPLICATION_LEVEL or len(state.bundles) < MAX_BUNDLES or number >= min(state.bundles):
        return None
    return reject(
        OutcomeForgotten(
            f"Bundle {number} is older than all that are kept: whether it was taken isn't known any more.",
            remedy="Read the time line; a new change takes the next free number.",
            field="number",
        )
    )


def sign(state: State, command: SignBundle, offset: int) -> tuple[State, Outcome]:
    """Signs off a draft and starts its rollout."""
    bundle = state.bundles.get(command.number)
    if bundle is None:
        return state, _reject_forgotten(state, command.number) or reject(
            BundleUnknown(f"There is no bundle {command.number}.", field="number")
        )
    if bundle.digest != command.digest:
        return state, reject(
            BundleConflict(
                f"The digest signed is not bundle {command.number}'s.",
                remedy="Read the bundle again and sign what you read.",
                field="digest",
            )
        )
    if state.level >= DEDUPLICATION_LEVEL and bundle.signer == command.signer:
        return state, _progress_outcome(bundle)
    if bundle.phase != DRAFT:
        return state, reject(
            BundleWrongPhase(
                f"Bundle {command.number} is {bundle.phase}.", remedy="Only a draft can be signed.", field="number"
            )
        )
    if bundle.author == command.signer:
        return state, reject(BundleSelfSigned(f"{command.signer} wrote bundle {command.number}.", field="signer"))
    if (rejection := _reject_out_of_order(state, bundle)) is not None:
        return state, rejection
    signed = bundle._replace(signer=command.signer, phase=ROLLING, offset=offset)
    state = state._replace(bundles=state.bundles.set(bundle.number, signed), rolling=bundle.number)
    return _advance_stage(state, bundle.number, offset)


def _reject_out_of_order(state: State, bundle: BundleRecord) -> Outcome | None:
    """Rejects a draft that can't follow the bundle that is in force or rolling out."""
    if state.rolling:
        return reject(
            BundleConflict(
                f"Bundle {state.rolling} is rolling out.",
                remedy=f"Finish or abort {state.rolling} first.",
                field="number",
            )
        )
    if bundle.based_on != state.in_force:
        return _reject_wrong_base(state, bundle.based_on)
    if state.level > 1 and _renames_route_of_held_key(state, bundle.number):
        return reject(
            LevelTooLow(
                "Keys held since before the release level rose are known by the names of entries this bundle renames.",
                remedy="Sign it once they have expired, in ten minutes at most.",
                field="entries",
            )
        )
    # Bundle numbers only increase: an older draft can't follow a newer bundle.
    newest = _newest_signed(state)
    if bundle.number < newest:
        return reject(
            BundleStale(f"Bundle {newest} was signed already.", remedy=f"Number it above {newest}.", field="number")
        )
    return None


def _renames_route_of_held_key(state: State, number: int) -> bool:
    """Whether a bundle renames a route for which a key may be held by route name, as release level 1 held keys."""
    if all(hold.bucket for hold in state.holds.values()):
        return False
    if not state.in_force:
        return False
    after, before = bundle_in(state.bundles[number]), bundle_in(state.bundles[state.in_force])
    names = {(method, route.path): route.name for route in after.routes for method in route.methods}
    held = {(method, route.path): route.name for route in before.routes if route.once for method in route.methods}
    return any(names.get(method_and_path, name) != name for method_and_path, name in held.items())


def _progress_outcome(bundle: BundleRecord) -> Outcome:
    """Returns the outcome of a repeated request: the present progress of the bundle, which is not advanced."""
    stages = bundle_in(bundle).rollout()
    return Outcome(
        detail={
            "number": bundle.number,
            "stage": bundle.stage,
            "stages": len(stages),
            "name": stages[bundle.stage - 1].name,
            "offset": bundle.offset,
            "phase": bundle.phase,
        }
    )


def _advance_stage(state: State, number: int, offset: int) -> tuple[State, Outcome]:
    """Advances the rolling bundle by one stage; from the last stage on it is in force."""
    bundle = state.bundles[number]
    stages = bundle_in(bundle).rollout()
    stage = bundle.stage + 1
    is_last = stage >= len(stages)
    phase = IN_FORCE if is_last else ROLLING
    bundles = state.bundles.set(number, bundle._replace(stage=stage, phase=phase, offset=offset))
    if is_last:
        if state.in_force:
            replaced = bundles[state.in_force]._replace(phase=REPLACED, offset=offset)
            bundles = bundles.set(state.in_force, replaced)
        state = state._replace(in_force=number, rolling=0)
    detail = {
        "number": number,
        "stage": stage,
        "stages": len(stages),
        "name": stages[stage - 1].name,
        "offset": offset,
    }
    return state._replace(bundles=bundles, data_plane_revision=offset), Outcome(detail=detail)


def advance(state: State, command: AdvanceBundle, offset: int) -> tuple[State, Outcome]:
    """Advances a rolling bundle from the stage that the operator named to the next stage."""
    bundle = state.bundles.get(command.number)
    if bundle is None and (rejection := _reject_forgotten(state, command.number)) is not None:
        return state, rejection
    if bundle is not None and command.operator in bundle.advanced_by[command.from_stage - 1 : command.from_stage]:
        return state, _progress_outcome(bundle)
    if bundle is None or bundle.phase != ROLLING:
        return state, reject(
            BundleWrongPhase(
                f"Bundle {command.number} is {bundle.phase if bundle else 'unknown'}.",
                remedy="Only a rolling bundle advances.",
                field="number",
            )
        )
    # Two operators who advance a bundle concurrently must not skip a stage.
    if bundle.stage != command.from_stage:
        return state, reject(
            BundleWrongPhase(
                f"Bundle {command.number} is in stage {bundle.stage}, not {command.from_stage}.",
                field="from_stage",
            )
        )
    if state.level >= DEDUPLICATION_LEVEL:
        # The operators who advanced it below that level were not recorded: their places stay empty.
        before = (*bundle.advanced_by, *[""] * (bundle.stage - 1 - len(bundle.advanced_by)))
        advanced = bundle._replace(advanced_by=(*before, command.operator))
        state = state._replace(bundles=state.bundles.set(bundle.number, advanced))
    return _advance_stage(state, command.number, offset)


def abort(state: State, command: AbortBundle, offset: int) -> tuple[State, Outcome]:
    """Withdraws a draft or a rolling bundle; the bundle in force stays in force."""
    bundle = state.bundles.get(command.number)
    if bundle is None and (rejection := _reject_forgotten(state, command.number)) is not None:
        return state, rejection
    if bundle is not None and bundle.phase == ABORTED and bundle.aborted_by == command.operator:
        return state, Outcome(detail={"number": command.number, "offset": bundle.offset})
    if bundle is None or bundle.phase not in (DRAFT, ROLLING):
        return state, reject(
            BundleWrongPhase(
                f"Bundle {command.number} is {bundle.phase if bundle else 'unknown'}.",
                remedy="Only a draft or rolling bundle is aborted; replace one in force with a new bundle.",
                field="number",
            )
        )
    rolling = 0 if state.rolling == command.number else state.rolling
    aborted_by = command.operator if state.level >= DEDUPLICATION_LEVEL else ""
    aborted = bundle._replace(phase=ABORTED, offset=offset, aborted_by=aborted_by)
    revision = offset if bundle.phase == ROLLING else state.data_plane_revision
    bundles = state.bundles.set(command.number, aborted)
    state = state._replace(bundles=bundles, rolling=rolling, data_plane_revision=revision)
    return state, Outcome(detail={"number": command.number, "offset": offset})
