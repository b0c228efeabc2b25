"""Checks of a request's path and headers before it is forwarded, and the filter for forwarded headers."""

from collections.abc import Mapping

from hoistsaddle.common.errors import ErrorKind, MeshError

# Hop-by-hop headers, and headers that every hop sets itself, are never forwarded.
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
# The prefix of the mesh's own headers, which are not forwarded either.
MESH_PREFIX = "x-hoistsaddle-"
# Parts of a path that two programs may interpret differently. Such a path is rejected, since admission compares paths.
AMBIGUOUS_PARTS = ("%2f", "%2e", "%5c", "%00", "\\", "//", "/../", "/./")
AMBIGUOUS_ENDS = ("/..", "/.")


def clean_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward. Headers with the mesh's prefix are dropped, as a caller could forge them."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in DROPPED_HEADERS and not name.lower().startswith(MESH_PREFIX)
    }


def path_error(raw_path: str) -> MeshError | None:
    """Return why a path can't be admitted; None if it can."""
    if not raw_path.isascii():
        return MeshError(ErrorKind.REQUEST_BROKEN, "The path is not ASCII.", "Escape it with %.", "path")
    lowered = raw_path.partition("?")[0].lower()
    if any(part in lowered for part in AMBIGUOUS_PARTS) or lowered.endswith(AMBIGUOUS_ENDS):
        return MeshError(
            ErrorKind.REQUEST_BROKEN,
            "The path has parts that programs may interpret differently.",
            "Send a plain path.",
            "path",
        )
    return None


def header_error(headers: Mapping[str, str]) -> MeshError | None:
    """Return which header can't be forwarded, if any: every hop may decode bytes that aren't UTF-8 differently."""
    for name, value in headers.items():
        try:
            (name + value).encode()
        except UnicodeEncodeError:
            return MeshError(
                ErrorKind.REQUEST_BROKEN, f"Header {ascii(name)} is not UTF-8.", "Send plain text.", ascii(name)
            )
    return None
