"""What identifies a client, for keys that must run once."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from hoistsaddle.common.errors import InvalidRequest, MeshError
from hoistsaddle.proxy.errors import ClientUnidentified
from hoistsaddle.statemachine.idempotency import BY_CREDENTIALS

BY_SERVICE = "service"


class ClientIdentity(NamedTuple):
    """What kind of identification it is, and its digest: no credential leaves the proxy in another form."""

    by: str
    who: str


def digest_of_parts(*parts: str) -> str:
    """Return the hex digest of several texts, none of which can run over into the next."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _header(headers: Mapping[str, str], name: str) -> str:
    return next((value for each, value in headers.items() if each.lower() == name.lower()), "")


def _cookie(headers: Mapping[str, str], name: str) -> str:
    pairs = [pair.strip().partition("=") for pair in _header(headers, "Cookie").split(";")]
    values = {value for each, _, value in pairs if each == name}
    # Two values under one name: nobody can say which of them the back end would go by.
    return values.pop() if len(values) == 1 else ""


def identify_client(
    *, caller: str, declared: str, headers: Mapping[str, str], twice: tuple[str, ...] = ()
) -> ClientIdentity | MeshError:
    """Return what identifies the caller: a service its listener, a client what the bundle declares or its credentials.

    An address identifies nobody: a phone changes it, and a whole school may share one. Nor is a cookie nobody named.
    """
    if caller:
        return ClientIdentity(BY_SERVICE, digest_of_parts(BY_SERVICE, caller))
    kind, _, name = declared.partition(":")
    match kind:
        case "header":
            by, shown, carrier = declared.lower(), _header(headers, name), name
        case "cookie":
            by, shown, carrier = declared, _cookie(headers, name), "Cookie"
        case _:
            by, shown, carrier = BY_CREDENTIALS, _header(headers, "Authorization"), "Authorization"
    if carrier.lower() in twice:
        message = f"{carrier} came twice, so the client can't be told."
        return InvalidRequest(message, field=carrier, remedy="Send it once.")
    if not shown:
        message = f"Nothing shows whose key this is: no {declared or 'Authorization'} came."
        return ClientUnidentified(message, field=carrier, remedy=f"Send it: {declared}." if declared else None)
    return ClientIdentity(by, digest_of_parts(by, shown))
