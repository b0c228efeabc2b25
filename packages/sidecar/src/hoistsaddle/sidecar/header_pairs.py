"""HTTP headers as they travel between sidecars: msgpack of pairs of bytes, without those of one connection."""

from collections.abc import Sequence

import msgspec

# They concern one connection only, or are written anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-connection",
    }
)
Pairs = Sequence[tuple[bytes, bytes]]


def pack_pairs(pairs: Pairs) -> bytes:
    """Pack the headers that concern more than one connection."""
    return msgspec.msgpack.encode([(name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP])


def unpack_pairs(data: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers in their order."""
    return msgspec.msgpack.decode(data, type=list[tuple[bytes, bytes]]) if data else []
