"""HTTP headers as encoded between sidecars: msgpack pairs of bytes, without hop-by-hop headers."""

from collections.abc import Sequence

import msgspec

# Headers that apply to a single connection, and those that are generated again for each hop.
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
    """Encode the headers, without hop-by-hop headers."""
    return msgspec.msgpack.encode([(name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP])


def unpack_pairs(data: bytes) -> list[tuple[bytes, bytes]]:
    """Decode the headers, in their original order."""
    return msgspec.msgpack.decode(data, type=list[tuple[bytes, bytes]]) if data else []
