"""Params of the daemons: read from a settings file, flags on top, checked whole before anything starts."""

import ipaddress
import re
import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError, field_in

# Attributes whose name in settings files, flags and refusals is another one, which stays.
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
    replica: int
    store: str
    registry: str
    operators: str = ""
    zone: str = ""


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    replica: int
    zone: str
    listen: str
    data_folder: str
    core: list[CoreMachine]
    checkpoint_records: int = 2000
    chunk_bytes: int = 65536
    lag_wait_seconds: float = 10.0
    disk_stall_seconds: float = 1.0
    # After its stop it goes on for so long at most.
    grace_seconds: float = 6.0
    # The highest release level this process says it supports; 0 for all it knows.
    release_level: int = 0
    # For proofs alone: a file that names the lines to drop. Daemons in service leave it empty.
    line_faults: str = ""


class RegistrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    replica: int
    zone: str
    listen: str
    operators: str
    core: list[CoreMachine]
    lease_seconds: float = 1.5
    health_seconds: float = 1.5
    release_level: int = 0
    # For proofs alone: a file that names the lines to drop. Daemons in service leave it empty.
    line_faults: str = ""


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
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
    # For proofs alone: a file that names the lines to drop. Daemons in service leave it empty.
    line_faults: str = ""


class ControllerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """One core machine whose two core programs share a process, in a core that founds itself and grows by its log."""

    host: str
    zone: str
    data_folder: str
    # Hosts of up to three core machines; at a cold start the first founds, and it alone.
    seeds: list[str]
    cold_start: bool
    # How many core machines may be lost at once: the voters wanted are twice as many and one.
    losses: int = 1
    registry_port: int = 7100
    store_port: int = 7101
    operators_port: int = 7102
    # Who answers for patches: their author and the standing sign-off under which they count at once.
    desk: str = "desk"
    standing_sign_off: str = "standing"
    lease_seconds: float = 1.5
    health_seconds: float = 4.0
    checkpoint_records: int = 600
    chunk_bytes: int = 65536
    # How long a patch waits to be seen in force on every proxy before it is acknowledged all the same.
    applied_version_seconds: float = 0.35
    write_seconds: float = 0.5
    # A machine counts as lost for so long after it is back, or after its successor's start.
    settle_seconds: float = 4.0
    # After its stop it goes on for so long at most.
    grace_seconds: float = 6.0
    # For how long a patch may be sent again after a lost answer, and is told apart from another under its revisions.
    resend_seconds: float = 600.0


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=DOCUMENTED_NAMES):
    """One proxy that serves items: a door for clients and its own server, and the way to that server."""

    name: str
    zone: str
    listen: str
    # The door, where clients and the own server call.
    door: str
    # Where the platform asks whether it is ready, and where the server tells its health reports.
    health_door: str
    ready_door: str
    seeds: list[str]
    # The server beside it: its service and address, as the machine's settings have them.
    service: str
    server: str
    lease_seconds: float = 1.5
    health_seconds: float = 5.0
    backlog: int = 400
    outstanding: int = 400
    release_level: int = 0
    # Further sends: this share of a service's traffic in any ten seconds, plus the margin, over the whole fleet.
    further_percent: int = 20
    further_margin: int = 10
    # A key stays held for so long.
    key_seconds: float = 75.0
    # After its stop a proxy goes on for so long at most; a server that leaves gets no work after that long.
    grace_seconds: float = 6.0
    drain_seconds: float = 2.0


_plain = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
ALLOWED_RANGES: dict[str, tuple[float, float]] = {
    "replica": (1, 1000),
    "lease_seconds": (0.1, 60),
    "vitals_seconds": (0.1, 60),
    "lag_wait_seconds": (0.1, 86400),
    "disk_stall_seconds": (0.05, 60),
    "checkpoint_records": (1, 10**9),
    "chunk_bytes": (1, 16 * 1024 * 1024),
    "backlog": (1, 10**6),
    "outstanding": (1, 10**6),
    "release_level": (0, 1000),
    "losses": (0, 10),
    "bourse_port": (1, 65535),
    "warehouse_port": (1, 65535),
    "operators_port": (1, 65535),
    "uptake_seconds": (0, 60),
    "write_seconds": (0.05, 60),
    "resend_seconds": (1, 86400),
    "further_percent": (0, 100),
    "further_margin": (0, 100000),
    "key_seconds": (1, 86400),
    "grace_seconds": (0.5, 600),
    "settle_seconds": (0.1, 3600),
    "drain_seconds": (0.1, 600),
}
Settings = StoreSettings | RegistrySettings | ProxySettings | ControllerSettings | SidecarSettings


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(*, field: str, address: str) -> MeshError | None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        complete = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536
    except ValueError:
        complete = False
    if complete:
        return None
    return MeshError(
        ErrorKind.PARAMS, f"{address!r} is not an IP number and port.", "Write it like 127.0.0.1:7100.", field
    )


def _first_error(settings: Settings) -> MeshError | None:
    for field in ("listen", "visitors", "inner", "operators"):
        if hasattr(settings, attribute_of(field)) and (
            found := check_address(field=field, address=getattr(settings, attribute_of(field)))
        ):
            return found
    for field, (least, most) in ALLOWED_RANGES.items():
        # Written so that "not a number" is refused too.
        if hasattr(settings, attribute_of(field)) and not least <= getattr(settings, attribute_of(field)) <= most:
            return MeshError(
                ErrorKind.PARAMS,
                f"{getattr(settings, attribute_of(field))} is out of range.",
                f"Leave it out for the default, or give {least:g} to {most:g}.",
                field,
            )
    for field in ("name", "zone", "service", "desk", "standing_sign_off"):
        if hasattr(settings, attribute_of(field)) and not _plain.match(getattr(settings, attribute_of(field))):
            return MeshError(
                ErrorKind.PARAMS, "That is no plain name.", "Use letters, digits, . _ and -, 64 at most.", field
            )
    folder = getattr(settings, "data_folder", "here")
    if not folder or "\0" in folder:
        return MeshError(ErrorKind.PARAMS, "That is no folder.", "Name one that this process may write.", "data_folder")
    match settings:
        case ProxySettings(seeds=seeds):
            # Three seeds, so that any one of them may be down when a process starts.
            if len(seeds) != 3:
                return MeshError(
                    ErrorKind.PARAMS, f"{len(seeds)} seeds given.", "Give three seed addresses of registries.", "seeds"
                )
            for place, seed in enumerate(seeds):
                if found := check_address(field=f"seeds[{place}]", address=seed):
                    return found
        case SidecarSettings() as sidecar:
            if not 1 <= len(sidecar.seeds) <= 3:
                return MeshError(ErrorKind.PARAMS, f"{len(sidecar.seeds)} seeds given.", "Give one to three.", "seeds")
            for field in ("door", "vitals_door", "ready_door", "server"):
                if found := check_address(field=field, address=getattr(sidecar, attribute_of(field))):
                    return found
            for place, seed in enumerate(sidecar.seeds):
                if found := check_address(field=f"seeds[{place}]", address=seed):
                    return found
        case ControllerSettings() as controller:
            if len({controller.registry_port, controller.store_port, controller.operators_port}) < 3:
                return MeshError(ErrorKind.PARAMS, "Two ports are the same.", "Give each its own.", "bourse_port")
            if controller.desk == controller.standing_sign_off:
                # Whoever sends a patch must not be the one who answers for what counts at once.
                return MeshError(
                    ErrorKind.PARAMS, "The desk signs its own patches.", "Name another person.", "standing_sign_off"
                )
            if not 1 <= len(controller.seeds) <= 3:
                return MeshError(
                    ErrorKind.PARAMS, f"{len(controller.seeds)} seeds given.", "Give one to three.", "seeds"
                )
            for field, host in (
                ("host", controller.host),
                *((f"seeds[{place}]", each) for place, each in enumerate(controller.seeds)),
            ):
                if found := check_address(field=field, address=f"{host}:1"):
                    return found
        case StoreSettings(replica=replica, core=core) | RegistrySettings(replica=replica, core=core):
            if replica not in [machine.replica for machine in core]:
                return MeshError(
                    ErrorKind.PARAMS,
                    f"Replica {replica} is not among the core machines.",
                    "Add it under [[core]].",
                    "replica",
                )
            if len({machine.replica for machine in core}) != len(core):
                return MeshError(
                    ErrorKind.PARAMS, "Two core machines share a replica number.", "Give each its own.", "core"
                )
            for place, machine in enumerate(core):
                for field in ("warehouse", "bourse"):
                    if found := check_address(
                        field=f"core[{place}].{field}", address=getattr(machine, attribute_of(field))
                    ):
                        return found
    return None


def check_settings(settings: Settings) -> Result[Settings, MeshError]:
    """The whole check for params that another format brought."""
    found = _first_error(settings)
    return Failure(found) if found else Success(settings)


def read_settings_file(*, kind: type, path: str | None, flags: dict) -> Result[Settings, MeshError]:
    values: dict = {}
    if path is not None:
        try:
            values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as problem:
            return Failure(
                MeshError(
                    ErrorKind.PARAMS, f"{path} can't be read: {problem}.", "Name a readable TOML file.", "settings"
                )
            )
        except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
            return Failure(
                MeshError(ErrorKind.PARAMS, f"{path} is not TOML: {problem}.", "Mend the line it names.", "settings")
            )
    # Flags win over the file: they are what the person starting the process typed last.
    values.update({name: value for name, value in flags.items() if value not in (None, (), [])})
    try:
        settings: Settings = msgspec.convert(values, kind)
    except (msgspec.ValidationError, RecursionError) as problem:
        return Failure(
            MeshError(
                ErrorKind.PARAMS, f"{problem}.", "Give the field in the settings file or as a flag.", field_in(problem)
            )
        )
    found = _first_error(settings)
    return Failure(found) if found else Success(settings)
