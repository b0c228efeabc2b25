"""What a request's path and headers must be like before it goes on, and which headers go on at all."""

from collections.abc import Mapping

from hoistsaddle.common.errors import ErrorKind, MeshError

# Hop-by-hop headers, and those that every hop writes anew, never pass from one side to the other.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "accept-encoding",
        "content-encoding",
    }
)
# Nor do headers under the mesh's own names.
MESH_PREFIX = "x-hoistsaddle-"
# Parts of a path that two programs could read differently: such a path must not pass an admission that compares paths.
AMBIGUOUS_PARTS = ("%2f", "%2e", "%5c", "%00", "\\", "//", "/../", "/./")
AMBIGUOUS_ENDS = ("/..", "/.")


def clean_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go on. What a caller says of itself in the mesh's names does not count."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in DROPPED_HEADERS and not name.lower().startswith(MESH_PREFIX)
    }


def path_error(raw_path: str) -> MeshError | None:
    """Return why a path can't be admitted, if so."""
    if not raw_path.isascii():
        return MeshError(ErrorKind.REQUEST_BROKEN, "The path is not ASCII.", "Escape it with %.", "path")
    lowered = raw_path.partition("?")[0].lower()
    if any(part in lowered for part in AMBIGUOUS_PARTS) or lowered.endswith(AMBIGUOUS_ENDS):
        return MeshError(
            ErrorKind.REQUEST_BROKEN, "The path has parts that can be read two ways.", "Send a plain path.", "path"
        )
    return None


def header_error(headers: Mapping[str, str]) -> MeshError | None:
    """Return which header can't go on, if any: bytes that aren't text might be read another way by every hop."""
    for name, value in headers.items():
        try:
            (name + value).encode()
        except UnicodeEncodeError:
            return MeshError(
                ErrorKind.REQUEST_BROKEN, f"Header {ascii(name)} is not UTF-8.", "Send plain text.", ascii(name)
            )
    return None
