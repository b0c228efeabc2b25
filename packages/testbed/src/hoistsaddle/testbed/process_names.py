"""Names of processes, in fleets and in the simulator alike.

The words are those of earlier releases. They stay because settings files and the order of nodes in the
distribution tree depend on them.
"""

STORE = "warehouse"
REGISTRY = "bourse"
PROXY = "stall"


def store_name(replica: int) -> str:
    """The store of this replica."""
    return f"{STORE}-{replica}"


def registry_name(replica: int) -> str:
    """The registry beside this replica."""
    return f"{REGISTRY}-{replica}"


def proxy_name(number: int) -> str:
    """The proxy of this number, counted from 1."""
    return f"{PROXY}-{number:02d}"


def kind_of(name: str) -> str:
    """Which program a process runs: STORE, REGISTRY or PROXY."""
    return name.partition("-")[0]


def replica_of(name: str) -> int:
    """The replica that a store or a registry belongs to."""
    return int(name.rpartition("-")[2])
