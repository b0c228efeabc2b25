"""Rule bundles: TOML declarations, checked whole. A bundle is either right in every part or has no part at all."""

import hashlib
import re
import tomllib
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError, field_in

CLIENTS = "visitors"
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_ONCE_ANSWER_BYTES = 256 * 1024
MAX_BUDGET_SECONDS = 60.0
MAX_BUNDLE_NUMBER = 1_000_000_000
SAFE_METHODS = frozenset({"GET", "HEAD"})
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_name = re.compile(r"^[a-z][a-z0-9-]{0,62}$")
_client = re.compile(r"^(header|cookie):[A-Za-z0-9_-]{1,64}$")
_path = re.compile(r"^(/[A-Za-z0-9._~-]+)+$")


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    # Further sends: this share of the service's traffic in any 10 s, plus the margin, over the whole fleet.
    further_percent: int = 20
    further_margin: int = 10


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    service: str
    path: str
    methods: list[str]
    callers: list[str]
    once: bool = False
    budget_seconds: float = 5.0
    body_bytes: int = 65536
    answer_bytes: int = 1048576


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"proxies": "stalls"}):
    name: str
    proxies: list[str] = []
    zones: list[str] = []
    everyone: bool = False

    def holds(self, *, proxy: str, zone: str) -> bool:
        return self.everyone or proxy in self.proxies or zone in self.zones


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"client": "visitor"}):
    number: int
    based_on: int
    services: list[Service]
    entries: list[Route]
    stages: list[Stage] = []
    note: str = ""
    # By what a client is known beyond its credentials of the day: "header:NAME" or "cookie:NAME".
    client: str = ""

    def level(self) -> int:
        """The release level that reads every field used here."""
        return 2 if self.client else 1

    def rollout(self) -> list[Stage]:
        # Without stages the whole fleet is the one stage.
        return self.stages or [Stage(name="everyone", everyone=True)]

    def service(self, name: str) -> Service | None:
        return next((service for service in self.services if service.name == name), None)

    def in_stage(self, *, stage: int, proxy: str, zone: str) -> bool:
        return any(each.holds(proxy=proxy, zone=zone) for each in self.rollout()[:stage])

    def select_entry(self, *, method: str, path: str) -> Route | None:
        """The longest declared path that the request's path equals or continues."""
        found = None
        for entry in self.entries:
            reaches = method in entry.methods and (path == entry.path or path.startswith(entry.path + "/"))
            if reaches and (found is None or len(entry.path) > len(found.path)):
                found = entry
        return found

    def entry(self, name: str) -> Route | None:
        return next((entry for entry in self.entries if entry.name == name), None)


def budget_of(entry: Route) -> timedelta:
    return timedelta(seconds=entry.budget_seconds)


def digest_of(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _broken(field: str, message: str, remedy: str) -> MeshError:
    return MeshError(ErrorKind.BUNDLE_BROKEN, message, remedy, field)


def _check_entry(*, place: int, entry: Route, services: set[str]) -> MeshError | None:
    where = f"entries[{place}]"
    callers = services | {CLIENTS}
    checks = (
        (
            not _name.match(entry.name),
            "name",
            f"{entry.name!r} is no name.",
            "Use lower-case letters, digits and dashes.",
        ),
        (
            entry.service not in services,
            "service",
            f"Service {entry.service!r} is not declared.",
            "Declare it under [[services]].",
        ),
        (
            not _path.match(entry.path),
            "path",
            f"{entry.path!r} is no plain path.",
            "Begin with / and use letters, digits, . _ ~ -; no trailing /.",
        ),
        (
            "/../" in entry.path + "/" or "/./" in entry.path + "/",
            "path",
            "Dot segments are not allowed.",
            "Write the path out.",
        ),
        (entry.path.startswith("/hoistsaddle"), "path", "/hoistsaddle is the mesh's own.", "Pick another path."),
        (not entry.methods, "methods", "No method is given.", "Name at least one."),
        (bool(set(entry.methods) - METHODS), "methods", "A method is unknown.", f"Use {', '.join(sorted(METHODS))}."),
        (
            bool(set(entry.callers) - callers),
            "callers",
            f"Unknown callers {sorted(set(entry.callers) - callers)}.",
            f"Use declared services or {CLIENTS!r}.",
        ),
        (
            entry.once and bool(set(entry.methods) & SAFE_METHODS),
            "once",
            "A once entry can't have a safe method.",
            "Split the entry in two.",
        ),
        (
            not 0 < entry.budget_seconds <= MAX_BUDGET_SECONDS,
            "budget_seconds",
            "The budget is out of range.",
            f"Give above 0 and up to {MAX_BUDGET_SECONDS:g} seconds.",
        ),
        (
            not 0 < entry.body_bytes <= MAX_BODY_BYTES,
            "body_bytes",
            "The limit is out of range.",
            f"Give 1 to {MAX_BODY_BYTES}.",
        ),
        (
            not 0 < entry.answer_bytes <= MAX_BODY_BYTES,
            "answer_bytes",
            "The limit is out of range.",
            f"Give 1 to {MAX_BODY_BYTES}.",
        ),
        (
            entry.once and entry.answer_bytes > MAX_ONCE_ANSWER_BYTES,
            "answer_bytes",
            "A once entry's answer is kept with its key and must stay small.",
            f"Give at most {MAX_ONCE_ANSWER_BYTES}.",
        ),
    )
    for wrong, field, message, remedy in checks:
        if wrong:
            return _broken(f"{where}.{field}", message, remedy)
    return None


def _check(bundle: Bundle) -> MeshError | None:
    if not 1 <= bundle.number <= MAX_BUNDLE_NUMBER:
        return _broken("number", f"Bundles are numbered from 1 to {MAX_BUNDLE_NUMBER}.", "Take the next free number.")
    if not 0 <= bundle.based_on < bundle.number:
        return _broken(
            "based_on", "A bundle replaces an older one.", "Give the number in force, or 0 for the first bundle."
        )
    if bundle.client and not _client.match(bundle.client):
        return _broken("visitor", f"{bundle.client!r} is no mark.", 'Write "header:NAME" or "cookie:NAME".')
    if bundle.client.lower() == "header:cookie" or bundle.client.lower().startswith("header:x-hoistsaddle-"):
        return _broken("visitor", "That header can't tell visitors apart.", 'Name another, or one "cookie:NAME".')
    if not bundle.services:
        return _broken("services", "No service is declared.", "Declare at least one.")
    names = [service.name for service in bundle.services]
    for place, service in enumerate(bundle.services):
        if not _name.match(service.name) or service.name == CLIENTS:
            return _broken(
                f"services[{place}].name",
                f"{service.name!r} is no service name.",
                "Use lower-case letters, digits and dashes.",
            )
        if names.count(service.name) > 1:
            return _broken(f"services[{place}].name", f"{service.name!r} is declared twice.", "Remove one.")
        if not 0 <= service.further_percent <= 20:
            return _broken(f"services[{place}].further_percent", "The share is out of range.", "Give 0 to 20.")
        if not 0 <= service.further_margin <= 100:
            return _broken(f"services[{place}].further_margin", "The margin is out of range.", "Give 0 to 100.")
    seen_names: set[str] = set()
    seen_paths: set[tuple[str, str]] = set()
    for place, entry in enumerate(bundle.entries):
        if found := _check_entry(place=place, entry=entry, services=set(names)):
            return found
        if entry.name in seen_names:
            return _broken(f"entries[{place}].name", f"{entry.name!r} is declared twice.", "Rename one.")
        seen_names.add(entry.name)
        for method in entry.methods:
            if (method, entry.path) in seen_paths:
                return _broken(f"entries[{place}].path", f"{method} {entry.path} is declared twice.", "Remove one.")
            seen_paths.add((method, entry.path))
    if bundle.stages and not bundle.stages[-1].everyone:
        return _broken(
            f"stages[{len(bundle.stages) - 1}].everyone",
            "The last stage must reach everyone.",
            "Add a stage with everyone = true.",
        )
    for place, stage in enumerate(bundle.stages):
        if not (stage.everyone or stage.proxies or stage.zones):
            return _broken(f"stages[{place}]", "The stage names nobody.", "Give stalls, zones or everyone = true.")
    return None


def read_bundle(text: str) -> Result[Bundle, MeshError]:
    try:
        bundle = msgspec.convert(tomllib.loads(text), Bundle)
    except msgspec.ValidationError as problem:
        return Failure(
            _broken(field_in(problem), f"{problem}.", "Mend the field; docs/operators/bundles.md lists them all.")
        )
    except (ValueError, RecursionError) as problem:
        return Failure(_broken("", f"Not TOML: {problem}.", "Mend the line it names."))
    found = _check(bundle)
    return Failure(found) if found else Success(bundle)
