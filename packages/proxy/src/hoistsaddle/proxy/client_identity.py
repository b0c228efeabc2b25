"""By what a client is known, for keys that must run once."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.statemachine.idempotency import BY_CREDENTIALS

BY_SERVICE = "service"


class ClientIdentity(NamedTuple):
    """What kind of mark it is, and the mark's digest: no credential leaves the proxy in another form."""

    by: str
    who: str


def digest_of_parts(*parts: str) -> str:
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
    """A service is known by its door. A client by what the bundle declares, or else by its credentials.

    An address is no mark: a phone changes it, and a whole school may share one. Nor is a cookie nobody named.
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
        return MeshError(
            ErrorKind.REQUEST_BROKEN, f"{carrier} came twice, so the client can't be told.", "Send it once.", carrier
        )
    if not shown:
        return MeshError(
            ErrorKind.CLIENT_MISSING,
            f"Nothing shows whose key this is: no {declared or 'Authorization'} came.",
            f"Send it: {declared}." if declared else "Send Authorization, or have a bundle declare visitor.",
            carrier,
        )
    return ClientIdentity(by, digest_of_parts(by, shown))
