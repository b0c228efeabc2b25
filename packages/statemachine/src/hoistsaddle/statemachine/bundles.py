"""What the log makes of bundles: drafts, sign-offs, stages, and what is taken back."""

from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.bundle import digest_of, read_bundle
from hoistsaddle.statemachine.commands import AbortBundle, AdvanceBundle, Outcome, SignBundle, SubmitBundle
from hoistsaddle.statemachine.deduplication import DEDUPLICATION_LEVEL
from hoistsaddle.statemachine.state import (
    ABORTED,
    DRAFT,
    IN_FORCE,
    MAX_BUNDLES,
    REPLACED,
    ROLLING,
    BundleRecord,
    State,
    bundle_of,
    refusal_of,
    refuse,
)


def submit(state: State, command: SubmitBundle, offset: int) -> tuple[State, Outcome]:
    match read_bundle(command.text):
        case Failure(error):
            return state, refusal_of(error)
        case Success(bundle):
            pass
    if bundle.level() > state.level:
        return state, refuse(
            ErrorKind.RELEASE_LEVEL,
            f"It needs release level {bundle.level()}, the mesh is at {state.level}.",
            "Install the newer release on every machine; the level then rises by itself.",
            "visitor",
        )
    digest = digest_of(command.text)
    known = state.bundles.get(bundle.number)
    if known is not None:
        return state, _existing_bundle_outcome(state, known, command.author, digest)
    if (unsure := _forgotten(state, bundle.number)) is not None:
        return state, unsure
    newest = max([number for number, entry in state.bundles.items() if entry.phase != DRAFT], default=0)
    if bundle.number <= newest:
        return state, refuse(
            ErrorKind.BUNDLE_STALE,
            f"Bundle {newest} was signed already.",
            f"Number it above {newest} and base it on {state.in_force}.",
            "number",
        )
    if bundle.based_on != state.in_force:
        return state, refuse(
            ErrorKind.BUNDLE_WRONG_BASE,
            f"It is based on {bundle.based_on}, but {state.in_force} is in force.",
            f"Rework it on top of {state.in_force}.",
            "based_on",
        )
    entry = BundleRecord(bundle.number, bundle.based_on, command.author, "", command.text, digest, DRAFT, 0, offset)
    bundles = state.bundles.set(bundle.number, entry)
    # The log keeps so many; older ones are in git.
    spare = sorted(
        (each.offset, number)
        for number, each in bundles.items()
        if number not in (state.in_force, state.rolling, bundle.number)
    )
    for _, number in spare[: max(0, len(bundles) - MAX_BUNDLES)]:
        bundles = bundles.delete(number)
    return state._replace(bundles=bundles), Outcome(detail={"number": bundle.number, "digest": digest})


def _existing_bundle_outcome(state: State, known: BundleRecord, author: str, digest: str) -> Outcome:
    """What a submission gets whose number is taken."""
    if known.digest == digest and known.author == author and state.level >= DEDUPLICATION_LEVEL:
        # Its answer was lost: what was taken is confirmed again, whatever became of it since.
        return Outcome(detail={"number": known.number, "digest": digest, "phase": known.phase})
    if known.digest == digest:
        return refuse(
            ErrorKind.BUNDLE_DUPLICATE,
            f"Bundle {known.number} was submitted before and is {known.phase}.",
            "Nothing to do: read its status.",
            "number",
        )
    if known.phase != DRAFT:
        return refuse(
            ErrorKind.BUNDLE_STALE,
            f"Bundle {known.number} is {known.phase} with other content.",
            "Take the next free number.",
            "number",
        )
    return refuse(
        ErrorKind.BUNDLE_CONFLICT,
        f"{known.author} submitted another bundle {known.number}.",
        "Take the next free number.",
        "number",
    )


def _forgotten(state: State, number: int) -> Outcome | None:
    """The answer where a bundle may have been taken and pushed out by newer ones: neither yes nor no."""
    if state.level < DEDUPLICATION_LEVEL or len(state.bundles) < MAX_BUNDLES or number >= min(state.bundles):
        return None
    return refuse(
        ErrorKind.ORDER_UNSURE,
        f"Bundle {number} is older than all that are kept: whether it was taken isn't known any more.",
        "Read the time line; a new change takes the next free number.",
        "number",
    )


def sign(state: State, command: SignBundle, offset: int) -> tuple[State, Outcome]:
    entry = state.bundles.get(command.number)
    if entry is None and (unsure := _forgotten(state, command.number)) is not None:
        return state, unsure
    if entry is None:
        return state, refuse(
            ErrorKind.BUNDLE_UNKNOWN, f"There is no bundle {command.number}.", "Submit it first.", "number"
        )
    if entry.digest != command.digest:
        return state, refuse(
            ErrorKind.BUNDLE_CONFLICT,
            f"The digest signed is not bundle {command.number}'s.",
            "Read the bundle again and sign what you read.",
            "digest",
        )
    if state.level >= DEDUPLICATION_LEVEL and entry.signer == command.signer:
        return state, _confirmed(state, entry)
    if entry.phase != DRAFT:
        return state, refuse(
            ErrorKind.BUNDLE_WRONG_PHASE,
            f"Bundle {command.number} is {entry.phase}.",
            "Only a draft can be signed.",
            "number",
        )
    if entry.author == command.signer:
        return state, refuse(
            ErrorKind.BUNDLE_SELF_SIGNED,
            f"{command.signer} wrote bundle {command.number}.",
            "A second person must sign it.",
            "signer",
        )
    if (refusal := _reject_out_of_order(state, entry)) is not None:
        return state, refusal
    state = state._replace(
        bundles=state.bundles.set(entry.number, entry._replace(signer=command.signer, phase=ROLLING, offset=offset)),
        rolling=entry.number,
    )
    return stage(state, entry.number, offset)


def _reject_out_of_order(state: State, entry: BundleRecord) -> Outcome | None:
    """The refusal of a draft that can't follow what is in force or rolling."""
    if state.rolling:
        return refuse(
            ErrorKind.BUNDLE_CONFLICT,
            f"Bundle {state.rolling} is rolling out.",
            f"Finish or abort {state.rolling} first.",
            "number",
        )
    if entry.based_on != state.in_force:
        return refuse(
            ErrorKind.BUNDLE_WRONG_BASE,
            f"It is based on {entry.based_on}, but {state.in_force} is in force.",
            f"Rework it on top of {state.in_force}.",
            "based_on",
        )
    if state.level > 1 and _renames_held(state, entry.number):
        return refuse(
            ErrorKind.RELEASE_LEVEL,
            "Keys held since before the release level rose are known by the names of entries this bundle renames.",
            "Sign it once they have expired, in ten minutes at most.",
            "entries",
        )
    # An older draft must not follow a newer bundle: numbers only go up.
    newest = max([number for number, each in state.bundles.items() if each.phase != DRAFT], default=0)
    if entry.number < newest:
        return refuse(
            ErrorKind.BUNDLE_STALE, f"Bundle {newest} was signed already.", f"Number it above {newest}.", "number"
        )
    return None


def _renames_held(state: State, number: int) -> bool:
    if all(hold.bucket for hold in state.holds.values()):
        return False
    after, before = bundle_of(state, number), bundle_of(state, state.in_force)
    if before is None:
        return False
    names = {(method, each.path): each.name for each in after.entries for method in each.methods}
    held = {(method, each.path): each.name for each in before.entries if each.once for method in each.methods}
    return any(names.get(way, name) != name for way, name in held.items())


def _confirmed(state: State, entry: BundleRecord) -> Outcome:
    """What a call gets that was taken before and comes again: how far its bundle is, and no step further."""
    stages = bundle_of(state, entry.number).rollout()
    return Outcome(
        detail={
            "number": entry.number,
            "stage": entry.stage,
            "stages": len(stages),
            "name": stages[entry.stage - 1].name,
            "offset": entry.offset,
            "phase": entry.phase,
        }
    )


def stage(state: State, number: int, offset: int) -> tuple[State, Outcome]:
    """Moves the rolling bundle one stage on; after the last stage it is in force."""
    entry = state.bundles[number]
    stages = bundle_of(state, number).rollout()
    stage = entry.stage + 1
    done = stage >= len(stages)
    bundles = state.bundles.set(number, entry._replace(stage=stage, phase=IN_FORCE if done else ROLLING, offset=offset))
    if done:
        if state.in_force:
            bundles = bundles.set(state.in_force, bundles[state.in_force]._replace(phase=REPLACED, offset=offset))
        state = state._replace(in_force=number, rolling=0)
    return state._replace(bundles=bundles, data_plane_revision=offset), Outcome(
        detail={
            "number": number,
            "stage": stage,
            "stages": len(stages),
            "name": stages[stage - 1].name,
            "offset": offset,
        }
    )


def advance(state: State, command: AdvanceBundle, offset: int) -> tuple[State, Outcome]:
    entry = state.bundles.get(command.number)
    if entry is None and (unsure := _forgotten(state, command.number)) is not None:
        return state, unsure
    if entry is not None and command.operator in entry.advanced_by[command.from_stage - 1 : command.from_stage]:
        return state, _confirmed(state, entry)
    if entry is None or entry.phase != ROLLING:
        return state, refuse(
            ErrorKind.BUNDLE_WRONG_PHASE,
            f"Bundle {command.number} is {entry.phase if entry else 'unknown'}.",
            "Only a rolling bundle advances.",
            "number",
        )
    # Two desks advancing at once must not skip a stage unseen.
    if entry.stage != command.from_stage:
        return state, refuse(
            ErrorKind.BUNDLE_WRONG_PHASE,
            f"Bundle {command.number} is in stage {entry.stage}, not {command.from_stage}.",
            "Read its status and advance from there.",
            "from_stage",
        )
    if state.level >= DEDUPLICATION_LEVEL:
        # Stages passed below that level are nobody's.
        before = (*entry.advanced_by, *[""] * (entry.stage - 1 - len(entry.advanced_by)))
        moved = entry._replace(advanced_by=(*before, command.operator))
        state = state._replace(bundles=state.bundles.set(entry.number, moved))
    return stage(state, command.number, offset)


def abort(state: State, command: AbortBundle, offset: int) -> tuple[State, Outcome]:
    entry = state.bundles.get(command.number)
    if entry is None and (unsure := _forgotten(state, command.number)) is not None:
        return state, unsure
    if entry is not None and entry.phase == ABORTED and entry.aborted_by == command.operator:
        return state, Outcome(detail={"number": command.number, "offset": entry.offset})
    if entry is None or entry.phase not in (DRAFT, ROLLING):
        return state, refuse(
            ErrorKind.BUNDLE_WRONG_PHASE,
            f"Bundle {command.number} is {entry.phase if entry else 'unknown'}.",
            "Only a draft or rolling bundle is aborted; replace one in force with a new bundle.",
            "number",
        )
    rolling = 0 if state.rolling == command.number else state.rolling
    aborted_by = command.operator if state.level >= DEDUPLICATION_LEVEL else ""
    aborted = entry._replace(phase=ABORTED, offset=offset, aborted_by=aborted_by)
    bundles = state.bundles.set(command.number, aborted)
    return state._replace(
        bundles=bundles,
        rolling=rolling,
        data_plane_revision=offset if entry.phase == ROLLING else state.data_plane_revision,
    ), Outcome(detail={"number": command.number, "offset": offset})
