"""Typed errors that a sidecar answers with; kinds that the bundle proxy words alike are in hoistsaddle.proxy.errors."""

from typing import Self

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.errors import RequestError


class Draining(RequestError):
    """This sidecar shuts down and takes no new requests."""

    __slots__ = ()
    KIND = ErrorKind.WINDING_DOWN
    REMEDY = "Send it to another machine."


class NotReady(RequestError):
    """This sidecar shuts down, as its readiness check says it."""

    __slots__ = ()
    KIND = ErrorKind.WINDING_DOWN
    REMEDY = "Send new work elsewhere."


class NotConfigured(RequestError):
    """No configuration has arrived yet."""

    __slots__ = ()
    KIND = ErrorKind.NO_CONFIGURATION
    REMEDY = "Come back shortly."


class AwaitingConfiguration(RequestError):
    """No configuration has arrived yet, as the readiness check says it."""

    __slots__ = ()
    KIND = ErrorKind.NO_CONFIGURATION
    REMEDY = "Wait for the core's news."


class ConfigurationOutdated(RequestError):
    """No route matches, but the lease on the configuration has lapsed: one may have been added since."""

    __slots__ = ()
    KIND = ErrorKind.LEASE_LAPSED
    REMEDY = "Come back."


class NoRoute(RequestError):
    """No route matches the host and path."""

    __slots__ = ()
    KIND = ErrorKind.NO_ENTRY
    REMEDY = "Call a declared entry."


class HeadersTooLarge(RequestError):
    """The request's headers are over the configured limit."""

    __slots__ = ()
    KIND = ErrorKind.REQUEST_BROKEN
    REMEDY = "Send less."


class BodyTooLarge(RequestError):
    """The request's body is over the configured limit."""

    __slots__ = ()
    KIND = ErrorKind.BODY_TOO_LARGE
    REMEDY = "Send a smaller body."
    FIELD = "body"


class DeadlineExceeded(RequestError):
    """The request's time ran out before an attempt was sent."""

    __slots__ = ()
    KIND = ErrorKind.BUDGET_SPENT
    REMEDY = "Give it more time."


class NoAnswer(RequestError):
    """An attempt was sent and no complete answer came back: it may have run."""

    __slots__ = ()
    KIND = ErrorKind.SILENT
    REMEDY = "Ask what became of it."


class ProxyUnreachable(RequestError):
    """The server's sidecar accepts no connection: nothing was sent."""

    __slots__ = ()
    KIND = ErrorKind.UNREACHABLE
    REMEDY = "Come back."


class KeyInProgress(RequestError):
    """The first request with this key is still running."""

    __slots__ = ()
    KIND = ErrorKind.KEY_HELD
    REMEDY = "Ask again shortly."


class KeyOutcomeUnknown(RequestError):
    """What became of the first request with this key is not known; the repeat was not run."""

    __slots__ = ()
    KIND = ErrorKind.SILENT
    REMEDY = "Come back with the same key, and ask what became of the first before using another one."


class AttemptRejected(MeshError):
    """The server's sidecar refused the attempt, for the reason it gave; nothing ran."""

    __slots__ = ()

    def __new__(cls, kind: ErrorKind, proxy: str) -> Self:
        """Make the error from the kind that `proxy` gave."""
        return super().__new__(cls, kind, f"{proxy} could not take it.", "Come back after the time given.")


class ServerNotReached(MeshError):
    """No byte was written to the local server; `kind` says why."""

    __slots__ = ()

    def __new__(cls, kind: ErrorKind) -> Self:
        """Make the error."""
        return super().__new__(cls, kind, "The server was not reached in time.", "Send it elsewhere.")


class ServerAnswerMissing(MeshError):
    """The request was written to the local server, and no complete answer came; `kind` says why."""

    __slots__ = ()

    def __new__(cls, kind: ErrorKind) -> Self:
        """Make the error."""
        return super().__new__(cls, kind, "The server gave no whole answer in time.", "Ask what became of it.")
