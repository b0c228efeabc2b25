"""Identifies clients, so that an idempotency key is valid only for the client that sent it first."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from hoistsaddle.common.errors import InvalidRequest, MeshError
from hoistsaddle.proxy.errors import ClientUnidentified
from hoistsaddle.statemachine.idempotency import BY_CREDENTIALS

BY_SERVICE = "service"


class ClientIdentity(NamedTuple):
    """The kind of identification and its digest. Credentials leave the proxy only as this digest."""

    identified_by: str
    client_digest: str


def digest_of_parts(*parts: str) -> str:
    """Return the hex digest of several texts, joined by NUL so that text moved between them changes the digest."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _header(headers: Mapping[str, str], name: str) -> str:
    return next((value for each, value in headers.items() if each.lower() == name.lower()), "")


def _cookie(headers: Mapping[str, str], name: str) -> str:
    pairs = [pair.strip().partition("=") for pair in _header(headers, "Cookie").split(";")]
    values = {value for each, _, value in pairs if each == name}
    # With two values under one name it is unknown which of them the server would use.
    return values.pop() if len(values) == 1 else ""


def identify_client(
    *, caller: str, declared: str, headers: Mapping[str, str], twice: tuple[str, ...] = ()
) -> ClientIdentity | MeshError:
    """Return the identity of the caller: a service is identified by its listener, a client by its credentials.

    A bundle may declare a header or cookie to use instead of the Authorization header. Addresses are not used: a phone
    changes its address, and a whole school may share one. Cookies are used only if the bundle declares them.
    """
    if caller:
        return ClientIdentity(BY_SERVICE, digest_of_parts(BY_SERVICE, caller))
    kind, _, name = declared.partition(":")
    match kind:
        case "header":
            identified_by, credential, header = declared.lower(), _header(headers, name), name
        case "cookie":
            identified_by, credential, header = declared, _cookie(headers, name), "Cookie"
        case _:
            identified_by, credential, header = BY_CREDENTIALS, _header(headers, "Authorization"), "Authorization"
    if header.lower() in twice:
        message = f"{header} was sent twice, so the client can't be identified."
        return InvalidRequest(message, field=header, remedy="Send it once.")
    if not credential:
        message = f"The client of this key can't be identified: {declared or 'Authorization'} is missing."
        return ClientUnidentified(message, field=header, remedy=f"Send it: {declared}." if declared else None)
    return ClientIdentity(identified_by, digest_of_parts(identified_by, credential))
