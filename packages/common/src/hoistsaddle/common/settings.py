"""The settings of the programs, as a settings file and flags give them; `settings_checks` validates them.

Durations are in seconds, as their names say; addresses consist of an IP address and a port.
"""

import msgspec

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


Settings = StoreSettings | RegistrySettings | ProxySettings | ControllerSettings | SidecarSettings
