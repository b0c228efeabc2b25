"""IP addresses with a port, as settings and messages write them."""

import ipaddress

from hoistsaddle.common.errors import InvalidSettings, MeshError

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


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
