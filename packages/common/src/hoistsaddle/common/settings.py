"""The settings of the programs: read from a settings file, overridden by flags, and validated before anything starts.

Durations are in seconds, as their names say; addresses consist of an IP address and a port.
"""

import ipaddress
import re
import tomllib
from collections.abc import Iterator
from itertools import chain
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidSettings, MeshError, field_in

# Attributes that have another, unchangeable name in settings files, flags and error messages.
DOCUMENTED_NAMES = {
    "store": "warehouse",
    "registry": "bourse",
    "health_seconds": "vitals_seconds",
    "clients": "visitors",
    "registry_port": "bourse_port",
    "store_port": "warehouse_port",
    "applied_version_seconds": "uptake_seconds",
    "health_door": "vitals_door",
}
ATTRIBUTES = {documented: attribute for attribute, documented in DOCUMENTED_NAMES.items()}


def attribute_of(setting: str) -> str:
    """The attribute that holds a setting, by the setting's documented name."""
    return ATTRIBUTES.get(setting, setting)


class CoreMachine(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The addresses of one core machine."""

    replica: int
    store: str
    registry: str
    operators: str = ""
    zone: str = ""


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The settings of a store that runs in a separate process from its registry."""

    replica: int
    zone: str
    listen: str
    data_folder: str
    core: list[CoreMachine]
    checkpoint_records: int = 2000
    chunk_bytes: int = 65536
    lag_wait_seconds: float = 10.0
    disk_stall_seconds: float = 1.0
    # The grace period: the longest time that a shutdown may take.
    grace_seconds: float = 6.0
    # The highest release level that this process claims to support; 0 for the highest that it knows.
    release_level: int = 0
    # Only for tests: a file that lists the connection faults to inject. Empty in production.
    line_faults: str = ""


class RegistrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The settings of a registry that runs in a separate process from its store."""

    replica: int
    zone: str
    listen: str
    operators: str
    core: list[CoreMachine]
    lease_seconds: float = 1.5
    health_seconds: float = 1.5
    release_level: int = 0
    # Only for tests: a file that lists the connection faults to inject. Empty in production.
    line_faults: str = ""


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The settings of a proxy in a mesh that is configured by bundles."""

    name: str
    zone: str
    listen: str
    clients: str
    inner: str
    seeds: list[str]
    lease_seconds: float = 1.5
    health_seconds: float = 1.5
    backlog: int = 200
    outstanding: int = 100
    release_level: int = 0
    # Only for tests: a file that lists the connection faults to inject. Empty in production.
    line_faults: str = ""


class ControllerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The settings of a controller: a store and a registry in one process, in a core that bootstraps itself.

    Core machines are added and replaced through the log.
    """

    host: str
    zone: str
    data_folder: str
    # The hosts of one to three core machines; at a cold start the mesh is founded by these.
    seeds: list[str]
    cold_start: bool
    # How many core machines, whole zones and whole regions may be lost at once, all together. There are at least twice
    # as many voters plus one, spread over the zones and regions.
    losses: int = 1
    zone_losses: int = 0
    region_losses: int = 0
    # The region of each zone, by the zone's name; needed if whole regions may be lost.
    regions: dict[str, str] = {}
    registry_port: int = 7100
    store_port: int = 7101
    operators_port: int = 7102
    # The operators recorded for patches: their author, and the one who approved them in advance.
    desk: str = "desk"
    standing_sign_off: str = "standing"
    lease_seconds: float = 1.5
    health_seconds: float = 4.0
    checkpoint_records: int = 600
    chunk_bytes: int = 65536
    # How long a patch waits for every proxy to apply it before it is acknowledged anyway.
    applied_version_seconds: float = 0.35
    write_seconds: float = 0.5
    # How long a machine still counts as lost after it has come back, or after its replacement has started.
    settle_seconds: float = 4.0
    # The grace period: the longest time that a shutdown may take.
    grace_seconds: float = 6.0
    # How long the log keeps the outcome of a patch, so that a retry after a lost answer is recognised.
    resend_seconds: float = 600.0
    # The process's limits of memory and file descriptors; 0 if unknown, and then nothing is limited by them.
    memory_megabytes: float = 0.0
    descriptors: int = 0


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """The settings of a sidecar: the proxy of one server, in a mesh that is configured by items."""

    name: str
    zone: str
    listen: str
    # The listener for clients and for the local server.
    door: str
    # The listeners for the server's health reports and for the platform's readiness checks.
    health_door: str
    ready_door: str
    seeds: list[str]
    # The service of the local server, and the server's address.
    service: str
    server: str
    lease_seconds: float = 1.5
    # How long a change of the configuration may take until it is applied here. A configuration that has not been
    # confirmed for longer is not used, unless the core is known to be down.
    apply_seconds: float = 2.0
    health_seconds: float = 5.0
    backlog: int = 400
    outstanding: int = 400
    release_level: int = 0
    # The retry budget: this percentage of a service's traffic in any ten seconds, plus the margin, for the whole fleet.
    further_percent: int = 20
    further_margin: int = 10
    # How long an idempotency key stays claimed.
    key_seconds: float = 75.0
    # The grace period of a shutdown, and the longest time for which a draining server still gets requests.
    grace_seconds: float = 6.0
    drain_seconds: float = 2.0
    # The capacity of the machine's link in each direction, in megabits per second; 0 if it is unknown.
    link_megabits: float = 0.0
    # The process's limits of memory and file descriptors; 0 if unknown, and then nothing is limited by them.
    memory_megabytes: float = 0.0
    descriptors: int = 0


_PLAIN_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_SEEDS = 3
PROXY_SEEDS = 3
# By documented name; both limits are included.
ALLOWED_RANGES: dict[str, tuple[float, float]] = {
    "replica": (1, 1000),
    "lease_seconds": (0.1, 60),
    "apply_seconds": (0.1, 600),
    "vitals_seconds": (0.1, 60),
    "lag_wait_seconds": (0.1, 86400),
    "disk_stall_seconds": (0.05, 60),
    "checkpoint_records": (1, 10**9),
    "chunk_bytes": (1, 16 * 1024 * 1024),
    "backlog": (1, 10**6),
    "outstanding": (1, 10**6),
    "release_level": (0, 1000),
    "losses": (0, 10),
    "zone_losses": (0, 10),
    "region_losses": (0, 10),
    "bourse_port": (1, MAX_PORT),
    "warehouse_port": (1, MAX_PORT),
    "operators_port": (1, MAX_PORT),
    "uptake_seconds": (0, 60),
    "write_seconds": (0.05, 60),
    "resend_seconds": (1, 86400),
    "further_percent": (0, 100),
    "further_margin": (0, 100000),
    "key_seconds": (1, 86400),
    "grace_seconds": (0.5, 600),
    "settle_seconds": (0.1, 3600),
    "drain_seconds": (0.1, 600),
    "link_megabits": (0, 10**6),
    "memory_megabytes": (0, 10**7),
    "descriptors": (0, 10**9),
}
Settings = StoreSettings | RegistrySettings | ProxySettings | ControllerSettings | SidecarSettings


def split_address(address: str) -> tuple[str, int]:
    """The host and port of a validated address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(*, field: str, address: str) -> MeshError | None:
    """Returns an error if this is not an IP address and port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_port = False
    if is_port:
        return None
    return InvalidSettings(
        f"{address!r} is not an IP address and port.", field=field, remedy="Use the form 127.0.0.1:7100."
    )


def _value_of(settings: Settings, setting: str) -> Any:
    """The value of a setting, by its documented name; None if this program doesn't have the setting."""
    return getattr(settings, attribute_of(setting), None)


def _errors_of_shared_settings(settings: Settings) -> Iterator[MeshError | None]:
    """The errors of settings that several programs share, in the order in which they are reported."""
    for setting in ("listen", "visitors", "inner", "operators"):
        if (address := _value_of(settings, setting)) is not None:
            yield check_address(field=setting, address=address)
    for setting, (least, most) in ALLOWED_RANGES.items():
        value = _value_of(settings, setting)
        # The comparison is negated so that NaN is rejected too.
        if value is not None and not least <= value <= most:
            remedy = f"Leave it out to use the default, or give a value from {least:g} to {most:g}."
            yield InvalidSettings(f"{value} is out of range.", field=setting, remedy=remedy)
    for setting in ("name", "zone", "service", "desk", "standing_sign_off"):
        name = _value_of(settings, setting)
        if name is not None and not _PLAIN_NAME.match(name):
            remedy = "Use at most 64 letters, digits, dots, underscores and hyphens."
            yield InvalidSettings("The value is not a valid name.", field=setting, remedy=remedy)
    folder = _value_of(settings, "data_folder")
    if folder is not None and (not folder or "\0" in folder):
        yield InvalidSettings(
            "The value is not a valid folder.",
            field="data_folder",
            remedy="Name a folder that this process can write to.",
        )


def _errors_of_proxy(settings: ProxySettings) -> Iterator[MeshError | None]:
    # Three seeds are required, so that any one of them may be down when a process starts.
    if len(settings.seeds) != PROXY_SEEDS:
        remedy = "Give three seed addresses of registries."
        yield InvalidSettings(f"{len(settings.seeds)} seeds given.", field="seeds", remedy=remedy)
    for index, seed in enumerate(settings.seeds):
        yield check_address(field=f"seeds[{index}]", address=seed)


def _error_of_seeds(seeds: list[str]) -> MeshError | None:
    if 1 <= len(seeds) <= MAX_SEEDS:
        return None
    return InvalidSettings(f"{len(seeds)} seeds given.", field="seeds", remedy="Give one to three.")


def _errors_of_sidecar(settings: SidecarSettings) -> Iterator[MeshError | None]:
    yield _error_of_seeds(settings.seeds)
    for setting in ("door", "vitals_door", "ready_door", "server"):
        yield check_address(field=setting, address=_value_of(settings, setting))
    # Health reports and readiness checks may share a listener.
    if settings.listen == settings.door or {settings.listen, settings.door} & {
        settings.health_door,
        settings.ready_door,
    }:
        message = "Two of the listeners have the same address."
        yield InvalidSettings(message, field="listen", remedy="Give each its own port.")
    for index, seed in enumerate(settings.seeds):
        yield check_address(field=f"seeds[{index}]", address=seed)


def _errors_of_controller(settings: ControllerSettings) -> Iterator[MeshError | None]:
    ports = {settings.registry_port, settings.store_port, settings.operators_port}
    if len(ports) < 3:
        yield InvalidSettings("Two of the ports are the same.", field="bourse_port", remedy="Give each its own.")
    if settings.desk == settings.standing_sign_off:
        # Patches take effect without further approval, so their author must not also be the one who approved them.
        yield InvalidSettings(
            "The author of patches (desk) can't approve them too.",
            field="standing_sign_off",
            remedy="Name another operator.",
        )
    if settings.region_losses and settings.zone not in settings.regions:
        message = f"The region of zone {settings.zone} is not given, and whole regions may be lost."
        yield InvalidSettings(message, field="regions", remedy="Name the region of each zone.")
    yield _error_of_seeds(settings.seeds)
    hosts = [("host", settings.host), *((f"seeds[{index}]", seed) for index, seed in enumerate(settings.seeds))]
    for field, host in hosts:
        yield check_address(field=field, address=f"{host}:1")


def _errors_of_core(replica: int, core: list[CoreMachine]) -> Iterator[MeshError | None]:
    replicas = [machine.replica for machine in core]
    if replica not in replicas:
        message = f"Replica {replica} is not among the core machines."
        yield InvalidSettings(message, field="replica", remedy="Add it under [[core]].")
    if len(set(replicas)) != len(replicas):
        yield InvalidSettings("Two core machines share a replica number.", field="core", remedy="Give each its own.")
    for index, machine in enumerate(core):
        yield check_address(field=f"core[{index}].warehouse", address=machine.store)
        yield check_address(field=f"core[{index}].bourse", address=machine.registry)


def _errors_of_program(settings: Settings) -> Iterator[MeshError | None]:
    match settings:
        case ProxySettings():
            yield from _errors_of_proxy(settings)
        case SidecarSettings():
            yield from _errors_of_sidecar(settings)
        case ControllerSettings():
            yield from _errors_of_controller(settings)
        case StoreSettings(replica=replica, core=core) | RegistrySettings(replica=replica, core=core):
            yield from _errors_of_core(replica, core)


def check_settings(settings: Settings) -> Result[Settings, MeshError]:
    """Validates settings, also those from a source other than a settings file; the first error is returned."""
    for error in chain(_errors_of_shared_settings(settings), _errors_of_program(settings)):
        if error is not None:
            return Failure(error)
    return Success(settings)


def _read_toml(path: str) -> Result[dict, MeshError]:
    try:
        return Success(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as problem:
        message, remedy = f"{path} can't be read: {problem}.", "Name a readable TOML file."
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        message, remedy = f"{path} is not valid TOML: {problem}.", "Fix the line that the message names."
    return Failure(InvalidSettings(message, field="settings", remedy=remedy))


def read_settings_file(*, kind: type, path: str | None, flags: dict) -> Result[Settings, MeshError]:
    """Reads and validates the settings of a program.

    Args:
        kind: The class of the settings.
        path: The TOML file; None if all settings are given by flags.
        flags: Values by documented name; those that are not empty override the file.

    Returns:
        The validated settings, or the first error.
    """
    values: dict = {}
    if path is not None:
        match _read_toml(path):
            case Failure(error):
                return Failure(error)
            case Success(read):
                values = read
    # Flags override the file: they are the most recent choice of the person who starts the process.
    values.update({name: value for name, value in flags.items() if value not in (None, (), [])})
    try:
        settings: Settings = msgspec.convert(values, kind)
    except (msgspec.ValidationError, RecursionError) as problem:
        return Failure(InvalidSettings(f"{problem}.", field=field_in(problem)))
    return check_settings(settings)
