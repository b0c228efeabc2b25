"""Validates the settings of each program; every error names the field and what to change."""

import re
from collections.abc import Iterator
from itertools import chain
from typing import Any

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidSettings, MeshError
from hoistsaddle.common.settings import (
    ControllerSettings,
    CoreMachine,
    ProxySettings,
    RegistrySettings,
    Settings,
    SidecarSettings,
    StoreSettings,
    attribute_of,
)
from hoistsaddle.common.socket_addresses import MAX_PORT, check_address

_PLAIN_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
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
