"""Reads and checks bundles. A bundle is accepted in every part or not at all; the first thing wrong is reported.

Messages and remedies are kept in the replicated state with the outcome of a rejected submission, so they are part of
what the log makes: see statemachine/errors.py.
"""

import re
import tomllib

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError, field_in
from hoistsaddle.config.bundle import CLIENTS, METHODS, SAFE_METHODS, Bundle, Route, Service
from hoistsaddle.config.errors import InvalidBundle

MAX_BODY_BYTES = 8 * 1024 * 1024
# The answer of a route that runs once is stored with its key, in the state of every replica.
MAX_ONCE_ANSWER_BYTES = 256 * 1024
MAX_BUDGET_SECONDS = 60.0
MAX_BUNDLE_NUMBER = 1_000_000_000
MAX_FURTHER_PERCENT = 20
MAX_FURTHER_MARGIN = 100
NAME_REMEDY = "Use lower-case letters, digits and dashes."
_name = re.compile(r"^[a-z][a-z0-9-]{0,62}$")
_client = re.compile(r"^(header|cookie):[A-Za-z0-9_-]{1,64}$")
_path = re.compile(r"^(/[A-Za-z0-9._~-]+)+$")


def read_bundle(text: str) -> Result[Bundle, MeshError]:
    """The bundle in a TOML text, or the first thing that is wrong with it."""
    try:
        bundle = msgspec.convert(tomllib.loads(text), Bundle)
    except msgspec.ValidationError as problem:
        return Failure(InvalidBundle(f"{problem}.", field=field_in(problem)))
    except (ValueError, RecursionError) as problem:
        return Failure(InvalidBundle(f"Not TOML: {problem}.", remedy="Mend the line it names."))
    found = _check(bundle)
    return Failure(found) if found is not None else Success(bundle)


def _check(bundle: Bundle) -> MeshError | None:
    return _check_head(bundle) or _check_services(bundle) or _check_routes(bundle) or _check_stages(bundle)


def _check_head(bundle: Bundle) -> MeshError | None:
    if not 1 <= bundle.number <= MAX_BUNDLE_NUMBER:
        return InvalidBundle(
            f"Bundles are numbered from 1 to {MAX_BUNDLE_NUMBER}.",
            field="number",
            remedy="Take the next free number.",
        )
    if not 0 <= bundle.based_on < bundle.number:
        return InvalidBundle(
            "A bundle replaces an older one.",
            field="based_on",
            remedy="Give the number in force, or 0 for the first bundle.",
        )
    if bundle.client and not _client.match(bundle.client):
        return InvalidBundle(
            f"{bundle.client!r} is no mark.", field="visitor", remedy='Write "header:NAME" or "cookie:NAME".'
        )
    client = bundle.client.lower()
    if client == "header:cookie" or client.startswith("header:x-hoistsaddle-"):
        return InvalidBundle(
            "That header can't tell visitors apart.", field="visitor", remedy='Name another, or one "cookie:NAME".'
        )
    return None


def _check_services(bundle: Bundle) -> MeshError | None:
    if not bundle.services:
        return InvalidBundle("No service is declared.", field="services", remedy="Declare at least one.")
    names = [service.name for service in bundle.services]
    for place, service in enumerate(bundle.services):
        found = _check_service(service, names, where=f"services[{place}]")
        if found is not None:
            return found
    return None


def _check_service(service: Service, names: list[str], *, where: str) -> MeshError | None:
    if not _name.match(service.name) or service.name == CLIENTS:
        return InvalidBundle(f"{service.name!r} is no service name.", field=f"{where}.name", remedy=NAME_REMEDY)
    if names.count(service.name) > 1:
        return InvalidBundle(f"{service.name!r} is declared twice.", field=f"{where}.name", remedy="Remove one.")
    if not 0 <= service.further_percent <= MAX_FURTHER_PERCENT:
        return InvalidBundle(
            "The share is out of range.",
            field=f"{where}.further_percent",
            remedy=f"Give 0 to {MAX_FURTHER_PERCENT}.",
        )
    if not 0 <= service.further_margin <= MAX_FURTHER_MARGIN:
        return InvalidBundle(
            "The margin is out of range.", field=f"{where}.further_margin", remedy=f"Give 0 to {MAX_FURTHER_MARGIN}."
        )
    return None


def _check_routes(bundle: Bundle) -> MeshError | None:
    services = {service.name for service in bundle.services}
    names: set[str] = set()
    paths: set[tuple[str, str]] = set()
    for place, route in enumerate(bundle.routes):
        where = f"entries[{place}]"
        found = (
            _check_destination(route, services, where=where)
            or _check_use(route, services, where=where)
            or _check_limits(route, where=where)
        )
        if found is not None:
            return found
        if route.name in names:
            return InvalidBundle(f"{route.name!r} is declared twice.", field=f"{where}.name", remedy="Rename one.")
        names.add(route.name)
        for method in route.methods:
            if (method, route.path) in paths:
                return InvalidBundle(
                    f"{method} {route.path} is declared twice.", field=f"{where}.path", remedy="Remove one."
                )
            paths.add((method, route.path))
    return None


def _check_destination(route: Route, services: set[str], *, where: str) -> MeshError | None:
    """Checks a route's name, service and path."""
    if not _name.match(route.name):
        return InvalidBundle(f"{route.name!r} is no name.", field=f"{where}.name", remedy=NAME_REMEDY)
    if route.service not in services:
        return InvalidBundle(
            f"Service {route.service!r} is not declared.",
            field=f"{where}.service",
            remedy="Declare it under [[services]].",
        )
    if not _path.match(route.path):
        return InvalidBundle(
            f"{route.path!r} is no plain path.",
            field=f"{where}.path",
            remedy="Begin with / and use letters, digits, . _ ~ -; no trailing /.",
        )
    if "/../" in route.path + "/" or "/./" in route.path + "/":
        return InvalidBundle("Dot segments are not allowed.", field=f"{where}.path", remedy="Write the path out.")
    if route.path.startswith("/hoistsaddle"):
        return InvalidBundle("/hoistsaddle is the mesh's own.", field=f"{where}.path", remedy="Pick another path.")
    return None


def _check_use(route: Route, services: set[str], *, where: str) -> MeshError | None:
    """Checks a route's methods and callers."""
    if not route.methods:
        return InvalidBundle("No method is given.", field=f"{where}.methods", remedy="Name at least one.")
    if set(route.methods) - METHODS:
        return InvalidBundle(
            "A method is unknown.", field=f"{where}.methods", remedy=f"Use {', '.join(sorted(METHODS))}."
        )
    unknown = set(route.callers) - services - {CLIENTS}
    if unknown:
        return InvalidBundle(
            f"Unknown callers {sorted(unknown)}.",
            field=f"{where}.callers",
            remedy=f"Use declared services or {CLIENTS!r}.",
        )
    if route.once and set(route.methods) & SAFE_METHODS:
        return InvalidBundle(
            "A once entry can't have a safe method.", field=f"{where}.once", remedy="Split the entry in two."
        )
    return None


def _check_limits(route: Route, *, where: str) -> MeshError | None:
    """Checks a route's time and sizes."""
    if not 0 < route.budget_seconds <= MAX_BUDGET_SECONDS:
        return InvalidBundle(
            "The budget is out of range.",
            field=f"{where}.budget_seconds",
            remedy=f"Give above 0 and up to {MAX_BUDGET_SECONDS:g} seconds.",
        )
    for field, size in (("body_bytes", route.body_bytes), ("answer_bytes", route.answer_bytes)):
        if not 0 < size <= MAX_BODY_BYTES:
            return InvalidBundle(
                "The limit is out of range.", field=f"{where}.{field}", remedy=f"Give 1 to {MAX_BODY_BYTES}."
            )
    if route.once and route.answer_bytes > MAX_ONCE_ANSWER_BYTES:
        return InvalidBundle(
            "A once entry's answer is kept with its key and must stay small.",
            field=f"{where}.answer_bytes",
            remedy=f"Give at most {MAX_ONCE_ANSWER_BYTES}.",
        )
    return None


def _check_stages(bundle: Bundle) -> MeshError | None:
    if bundle.stages and not bundle.stages[-1].everyone:
        return InvalidBundle(
            "The last stage must reach everyone.",
            field=f"stages[{len(bundle.stages) - 1}].everyone",
            remedy="Add a stage with everyone = true.",
        )
    for place, stage in enumerate(bundle.stages):
        if not (stage.everyone or stage.proxies or stage.zones):
            return InvalidBundle(
                "The stage names nobody.", field=f"stages[{place}]", remedy="Give stalls, zones or everyone = true."
            )
    return None
