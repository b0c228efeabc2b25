"""Errors that are specific to sidecars; those shared by several packages are in hoistsaddle.common.errors."""

from hoistsaddle.common.errors import ErrorKind, InvalidRequest, MeshError, NoResponse


class HeadersTooLarge(InvalidRequest):
    """The request's headers are over the configured limit."""

    REMEDY = "Send smaller headers."


class KeyOutcomeUnknown(NoResponse):
    """The outcome of the first request with this key is unknown; the repeated request has not run."""

    REMEDY = "Retry with the same key, and find out the outcome of the first request before using another key."


def attempt_rejected(kind: ErrorKind, *, proxy: str) -> MeshError:
    """Return the error for an attempt that a server's sidecar rejected for this reason, so that nothing ran."""
    return MeshError(kind, f"{proxy} rejected the request.", "Retry after the time given.")


def server_not_reached(kind: ErrorKind) -> MeshError:
    """Return the error for a run of which no byte was written to the local server, for this reason."""
    return MeshError(kind, "The server was not reached in time.", "Retry on another server.")


def server_answer_missing(kind: ErrorKind) -> MeshError:
    """Return the error for a run that was written to the local server and got no complete response."""
    return MeshError(kind, "The server gave no complete response in time.", "Find out whether it ran.")
