"""Errors that only a sidecar answers with; those of several packages are in hoistsaddle.common.errors."""

from hoistsaddle.common.errors import ErrorKind, InvalidRequest, MeshError, NoResponse


class HeadersTooLarge(InvalidRequest):
    """The request's headers are over the configured limit."""

    REMEDY = "Send less."


class KeyOutcomeUnknown(NoResponse):
    """What became of the first request with this key is not known; the repeat was not run."""

    REMEDY = "Come back with the same key, and ask what became of the first before using another one."


def attempt_rejected(kind: ErrorKind, *, proxy: str) -> MeshError:
    """Return the error of an attempt that a server's sidecar refused for this reason: nothing ran."""
    return MeshError(kind, f"{proxy} could not take it.", "Come back after the time given.")


def server_not_reached(kind: ErrorKind) -> MeshError:
    """Return the error of a run of which no byte was written to the local server, for this reason."""
    return MeshError(kind, "The server was not reached in time.", "Send it elsewhere.")


def server_answer_missing(kind: ErrorKind) -> MeshError:
    """Return the error of a run that was written to the local server and got no complete answer."""
    return MeshError(kind, "The server gave no whole answer in time.", "Ask what became of it.")
