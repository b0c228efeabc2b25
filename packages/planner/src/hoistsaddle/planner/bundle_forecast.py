"""Forecast of what a bundle would change, and of the errors with which it would be refused now."""

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import BundleConflict, BundleDuplicate, BundleStale, BundleWrongBase, MeshError
from hoistsaddle.config.bundle import Bundle, Route, digest_of
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.planner.distribution import available_servers, bundle_in_force, differences, live_proxies
from hoistsaddle.statemachine.state import DRAFT

NEXT_NUMBER = "Use the next free number."


def _number_error(configuration: dict, bundle: Bundle, text: str) -> MeshError | None:
    """The error with which the bundle's number would be refused, if any."""
    known = {each["number"]: each for each in configuration["bundles"]}
    same_number = known.get(bundle.number)
    if same_number is None:
        newest = max([number for number, each in known.items() if each["phase"] != DRAFT], default=0)
        if bundle.number > newest:
            return None
        return BundleStale(f"Bundle {newest} is already signed.", field="number", remedy=f"Number it above {newest}.")
    is_draft = same_number["phase"] == DRAFT
    message = f"Bundle {bundle.number} is known and {same_number['phase']}."
    if same_number["digest"] == digest_of(text):
        # A draft with the same text is refused only if it is submitted again, not when it is signed.
        return None if is_draft else BundleDuplicate(message, field="number", remedy=NEXT_NUMBER)
    if is_draft:
        return BundleConflict(message, field="number", remedy=NEXT_NUMBER)
    return BundleStale(message, field="number", remedy=NEXT_NUMBER)


def _errors(configuration: dict, bundle: Bundle, text: str) -> list[MeshError]:
    """The errors with which the bundle would be refused now, in the order of the state machine's checks."""
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
    """The changes of one route, field by field, with the callers gained and lost."""
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
    """The changes of each route that changes, by name; the routes of the new bundle come first."""
    names = [route.name for route in bundle.routes]
    if current is not None:
        names += [route.name for route in current.routes if not bundle.route(route.name)]
    changes = {name: _route_changes(current.route(name) if current else None, bundle.route(name)) for name in names}
    return {name: change for name, change in changes.items() if change}


def _stages(configuration: dict, bundle: Bundle) -> list[dict]:
    """The stages of the rollout, each with the proxies that no earlier stage reaches."""
    stages: list[dict] = []
    reached: set[str] = set()
    for number, stage in enumerate(bundle.rollout(), start=1):
        proxies = [
            proxy
            for proxy, zone in sorted(live_proxies(configuration).items())
            if stage.includes(proxy=proxy, zone=zone) and proxy not in reached
        ]
        reached.update(proxies)
        stages.append({"stage": number, "name": stage.name, "takes_up": proxies})
    return stages


def _services(bundle: Bundle | None) -> dict[str, dict]:
    return {service.name: msgspec.to_builtins(service) for service in bundle.services} if bundle else {}


def _warnings(stages: list[dict], *, declared: set[str], available: set[str]) -> list[str]:
    return [
        *(
            f"stage {stage['stage']} ({stage['name']}) reaches no proxy that an earlier stage does not reach"
            for stage in stages
            if not stage["takes_up"]
        ),
        *(f"{service} has no available server" for service in sorted(declared - available)),
        *(f"{service} has available servers, but would not be declared" for service in sorted(available - declared)),
    ]


def forecast_bundle(configuration: dict, text: str) -> Result[dict, MeshError]:
    """The routes and services that would change, the stages of the rollout, the errors and the warnings.

    Args:
        configuration: The configuration as returned by the operators' interface.
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
