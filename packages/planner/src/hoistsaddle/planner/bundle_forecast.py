"""What a bundle would move, and why the log would refuse it now."""

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import BundleConflict, BundleDuplicate, BundleStale, BundleWrongBase, MeshError
from hoistsaddle.config.bundle import Bundle, Route, digest_of
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.planner.distribution import available_servers, bundle_in_force, differences, live_proxies
from hoistsaddle.statemachine.state import DRAFT

NEXT_NUMBER = "Take the next free number."


def _number_error(configuration: dict, bundle: Bundle, text: str) -> MeshError | None:
    """Why the log would refuse the bundle's number."""
    known = {each["number"]: each for each in configuration["bundles"]}
    same_number = known.get(bundle.number)
    if same_number is None:
        newest = max([number for number, each in known.items() if each["phase"] != DRAFT], default=0)
        if bundle.number > newest:
            return None
        return BundleStale(f"Bundle {newest} was signed already.", field="number", remedy=f"Number it above {newest}.")
    is_draft = same_number["phase"] == DRAFT
    message = f"Bundle {bundle.number} is known and {same_number['phase']}."
    if same_number["digest"] == digest_of(text):
        # A draft of this very text is not refused when it is signed, only when it is submitted again.
        return None if is_draft else BundleDuplicate(message, field="number", remedy=NEXT_NUMBER)
    if is_draft:
        return BundleConflict(message, field="number", remedy=NEXT_NUMBER)
    return BundleStale(message, field="number", remedy=NEXT_NUMBER)


def _errors(configuration: dict, bundle: Bundle, text: str) -> list[MeshError]:
    """What the log would refuse now, in the order in which it checks."""
    errors: list[MeshError] = []
    if (error := _number_error(configuration, bundle, text)) is not None:
        errors.append(error)
    in_force, rolling = configuration["in_force"], configuration["rolling"]
    if bundle.based_on != in_force:
        message = f"It is based on {bundle.based_on}, but {in_force} is in force."
        errors.append(BundleWrongBase(message, field="based_on", remedy=f"Rework it on top of {in_force}."))
    if rolling:
        message = f"Bundle {rolling} is rolling out: it can be submitted, not signed."
        errors.append(BundleConflict(message, field="number", remedy=f"Finish or abort {rolling} first."))
    return errors


def _route_changes(before: Route | None, after: Route | None) -> dict:
    """What changes of one route, field by field; its callers by who is gained and lost."""
    if before is None or after is None:
        return {"added" if before is None else "removed": msgspec.to_builtins(after or before)}
    old, new = msgspec.to_builtins(before), msgspec.to_builtins(after)
    changes: dict = {
        field: {"from": old[field], "to": new[field]}
        for field in new
        if old[field] != new[field] and field != "callers"
    }
    gained = sorted(set(after.callers) - set(before.callers))
    lost = sorted(set(before.callers) - set(after.callers))
    if gained or lost:
        changes["callers"] = {"gained": gained, "lost": lost}
    return changes


def _changes_of_routes(current: Bundle | None, bundle: Bundle) -> dict[str, dict]:
    """The changes of each route that changes, the new bundle's routes first."""
    names = [route.name for route in bundle.routes]
    if current is not None:
        names += [route.name for route in current.routes if not bundle.route(route.name)]
    changes = {name: _route_changes(current.route(name) if current else None, bundle.route(name)) for name in names}
    return {name: change for name, change in changes.items() if change}


def _stages(configuration: dict, bundle: Bundle) -> list[dict]:
    """The stages of the roll-out, each with the proxies that it reaches first."""
    stages: list[dict] = []
    reached: set[str] = set()
    for place, stage in enumerate(bundle.rollout(), start=1):
        proxies = [
            proxy
            for proxy, zone in sorted(live_proxies(configuration).items())
            if stage.includes(proxy=proxy, zone=zone) and proxy not in reached
        ]
        reached.update(proxies)
        stages.append({"stage": place, "name": stage.name, "takes_up": proxies})
    return stages


def _services(bundle: Bundle | None) -> dict[str, dict]:
    return {service.name: msgspec.to_builtins(service) for service in bundle.services} if bundle else {}


def _warnings(stages: list[dict], *, declared: set[str], available: set[str]) -> list[str]:
    return [
        *(
            f"stage {stage['stage']} ({stage['name']}) reaches no proxy that isn't reached before"
            for stage in stages
            if not stage["takes_up"]
        ),
        *(f"{service} has no open server" for service in sorted(declared - available)),
        *(f"{service} has open servers, but would not be declared" for service in sorted(available - declared)),
    ]


def forecast_bundle(configuration: dict, text: str) -> Result[dict, MeshError]:
    """The routes and services that would change, the stages of the roll-out, refusals and warnings.

    Args:
        configuration: The configuration as the operators' interface shows it.
        text: The bundle's text.
    """
    match read_bundle(text):
        case Failure(error):
            return Failure(error)
        case Success(bundle):
            pass
    current = bundle_in_force(configuration)
    services = _services(bundle)
    stages = _stages(configuration, bundle)
    available = {service for service, _ in available_servers(configuration).values()}
    return Success(
        {
            "number": bundle.number,
            "replaces": configuration["in_force"],
            "refused": [error.describe() for error in _errors(configuration, bundle, text)],
            "entries": _changes_of_routes(current, bundle),
            "services": differences(_services(current), services),
            "stages": stages,
            "warnings": _warnings(stages, declared=set(services), available=available),
        }
    )
