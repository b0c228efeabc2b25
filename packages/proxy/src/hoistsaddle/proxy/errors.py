"""Errors that only a proxy under bundles returns; errors shared by packages are in hoistsaddle.common.errors."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class CallerUnnamed(TypedError):
    """A call at the local server's listener came from another process than the one that reported its health last."""

    KIND = ErrorKind.CALLER_UNNAMED
    REMEDY = "Send health reports first, and X-Hoistsaddle-Instance with the instance that they name."


class KeyMissing(TypedError):
    """The route runs once per key, but the request has no key."""

    KIND = ErrorKind.KEY_MISSING
    REMEDY = "Send an Idempotency-Key header."


class RetryBudgetExhausted(TypedError):
    """This proxy's quota of the service's retry budget is exhausted."""

    KIND = ErrorKind.FURTHER_SENDS_SPENT
    REMEDY = "Retry after the time in Retry-After."


class ClientUnidentified(TypedError):
    """The request with a key lacks what identifies its client."""

    KIND = ErrorKind.CLIENT_MISSING
    REMEDY = "Send Authorization, or have a bundle declare visitor."


class AlreadySeen(TypedError):
    """An attempt with this id arrived before."""

    KIND = ErrorKind.ALREADY_SEEN
    REMEDY = "Never send the same attempt id twice."


class ProcessFrozen(TypedError):
    """This process was frozen while the request waited, so the age of the request is unknown."""

    KIND = ErrorKind.FROZEN
    REMEDY = "Send it to another proxy."


class WrongInstance(TypedError):
    """The attempt was sent to another server instance than the local one."""

    KIND = ErrorKind.WRONG_INSTANCE
    REMEDY = "Send it to a server that the configuration names."
