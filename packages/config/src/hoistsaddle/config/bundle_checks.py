"""Decodes and validates bundles. A bundle is accepted as a whole or not at all; its first error is reported.

Messages and remedies are stored in the replicated state with the outcome of a rejected submission, so they must not
change: see statemachine/errors.py.
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
_NAME_PATTERN = re.compile(r"^[a-z][a-z0-9-]{0,62}$")
_CLIENT_PATTERN = re.compile(r"^(header|cookie):[A-Za-z0-9_-]{1,64}$")
_PATH_PATTERN = re.compile(r"^(/[A-Za-z0-9._~-]+)+$")


def read_bundle(text: str) -> Result[Bundle, MeshError]:
    """Decodes and validates a bundle in TOML; returns the bundle or its first error."""
    try:
        bundle = msgspec.convert(tomllib.loads(text), Bundle)
    except msgspec.ValidationError as decode_error:
        return Failure(InvalidBundle(f"{decode_error}.", field=field_in(decode_error)))
    except (ValueError, RecursionError) as decode_error:
        return Failure(InvalidBundle(f"Not TOML: {decode_error}.", remedy="Mend the line it names."))
    error = _check(bundle)
    return Failure(error) if error is not None else Success(bundle)


def _check(bundle: Bundle) -> MeshError | None:
    return _check_header(bundle) or _check_services(bundle) or _check_routes(bundle) or _check_stages(bundle)


def _check_header(bundle: Bundle) -> MeshError | None:
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
    if bundle.client and not _CLIENT_PATTERN.match(bundle.client):
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
    for index, service in enumerate(bundle.services):
        error = _check_service(service, names, field_prefix=f"services[{index}]")
        if error is not None:
            return error
    return None


def _check_service(service: Service, names: list[str], *, field_prefix: str) -> MeshError | None:
    if not _NAME_PATTERN.match(service.name) or service.name == CLIENTS:
        return InvalidBundle(f"{service.name!r} is no service name.", field=f"{field_prefix}.name", remedy=NAME_REMEDY)
    if names.count(service.name) > 1:
        return InvalidBundle(f"{service.name!r} is declared twice.", field=f"{field_prefix}.name", remedy="Remove one.")
    if not 0 <= service.further_percent <= MAX_FURTHER_PERCENT:
        return InvalidBundle(
            "The share is out of range.",
            field=f"{field_prefix}.further_percent",
            remedy=f"Give 0 to {MAX_FURTHER_PERCENT}.",
        )
    if not 0 <= service.further_margin <= MAX_FURTHER_MARGIN:
        return InvalidBundle(
            "The margin is out of range.",
            field=f"{field_prefix}.further_margin",
            remedy=f"Give 0 to {MAX_FURTHER_MARGIN}.",
        )
    return None


def _check_routes(bundle: Bundle) -> MeshError | None:
    services = {service.name for service in bundle.services}
    names: set[str] = set()
    paths: set[tuple[str, str]] = set()
    for index, route in enumerate(bundle.routes):
        field_prefix = f"entries[{index}]"
        error = (
            _check_destination(route, services, field_prefix=field_prefix)
            or _check_methods_and_callers(route, services, field_prefix=field_prefix)
            or _check_limits(route, field_prefix=field_prefix)
        )
        if error is not None:
            return error
        if route.name in names:
            return InvalidBundle(
                f"{route.name!r} is declared twice.", field=f"{field_prefix}.name", remedy="Rename one."
            )
        names.add(route.name)
        for method in route.methods:
            if (method, route.path) in paths:
                return InvalidBundle(
                    f"{method} {route.path} is declared twice.", field=f"{field_prefix}.path", remedy="Remove one."
                )
            paths.add((method, route.path))
    return None


def _check_destination(route: Route, services: set[str], *, field_prefix: str) -> MeshError | None:
    """Checks the name, the service and the path of a route."""
    if not _NAME_PATTERN.match(route.name):
        return InvalidBundle(f"{route.name!r} is no name.", field=f"{field_prefix}.name", remedy=NAME_REMEDY)
    if route.service not in services:
        return InvalidBundle(
            f"Service {route.service!r} is not declared.",
            field=f"{field_prefix}.service",
            remedy="Declare it under [[services]].",
        )
    if not _PATH_PATTERN.match(route.path):
        return InvalidBundle(
            f"{route.path!r} is no plain path.",
            field=f"{field_prefix}.path",
            remedy="Begin with / and use letters, digits, . _ ~ -; no trailing /.",
        )
    if "/../" in route.path + "/" or "/./" in route.path + "/":
        return InvalidBundle(
            "Dot segments are not allowed.", field=f"{field_prefix}.path", remedy="Write the path out."
        )
    if route.path.startswith("/hoistsaddle"):
        return InvalidBundle(
            "/hoistsaddle is the mesh's own.", field=f"{field_prefix}.path", remedy="Pick another path."
        )
    return None


def _check_methods_and_callers(route: Route, services: set[str], *, field_prefix: str) -> MeshError | None:
    """Checks the methods and the callers of a route."""
    if not route.methods:
        return InvalidBundle("No method is given.", field=f"{field_prefix}.methods", remedy="Name at least one.")
    if set(route.methods) - METHODS:
        return InvalidBundle(
            "A method is unknown.", field=f"{field_prefix}.methods", remedy=f"Use {', '.join(sorted(METHODS))}."
        )
    unknown = set(route.callers) - services - {CLIENTS}
    if unknown:
        return InvalidBundle(
            f"Unknown callers {sorted(unknown)}.",
            field=f"{field_prefix}.callers",
            remedy=f"Use declared services or {CLIENTS!r}.",
        )
    if route.once and set(route.methods) & SAFE_METHODS:
        return InvalidBundle(
            "A once entry can't have a safe method.", field=f"{field_prefix}.once", remedy="Split the entry in two."
        )
    return None


def _check_limits(route: Route, *, field_prefix: str) -> MeshError | None:
    """Checks the time budget and the size limits of a route."""
    if not 0 < route.budget_seconds <= MAX_BUDGET_SECONDS:
        return InvalidBundle(
            "The budget is out of range.",
            field=f"{field_prefix}.budget_seconds",
            remedy=f"Give above 0 and up to {MAX_BUDGET_SECONDS:g} seconds.",
        )
    for field, size in (("body_bytes", route.body_bytes), ("answer_bytes", route.answer_bytes)):
        if not 0 < size <= MAX_BODY_BYTES:
            return InvalidBundle(
                "The limit is out of range.", field=f"{field_prefix}.{field}", remedy=f"Give 1 to {MAX_BODY_BYTES}."
            )
    if route.once and route.answer_bytes > MAX_ONCE_ANSWER_BYTES:
        return InvalidBundle(
            "A once entry's answer is kept with its key and must stay small.",
            field=f"{field_prefix}.answer_bytes",
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
    for index, stage in enumerate(bundle.stages):
        if not (stage.everyone or stage.proxies or stage.zones):
            return InvalidBundle(
                "The stage names nobody.", field=f"stages[{index}]", remedy="Give stalls, zones or everyone = true."
            )
    return None
