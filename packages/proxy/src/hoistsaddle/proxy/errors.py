"""Errors that only a proxy under bundles answers with; those of several packages are in hoistsaddle.common.errors."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class CallerUnnamed(TypedError):
    """A call came to the local server's listener from another process than the one that reported its health last."""

    KIND = ErrorKind.CALLER_UNNAMED
    REMEDY = "Send X-Hoistsaddle-Instance with the instance told in the health reports, and the health reports first."


class KeyMissing(TypedError):
    """The route runs once per key, and no key came."""

    KIND = ErrorKind.KEY_MISSING
    REMEDY = "Send an Idempotency-Key header."


class RetryBudgetExhausted(TypedError):
    """This proxy's part of the service's retry budget is spent."""

    KIND = ErrorKind.FURTHER_SENDS_SPENT
    REMEDY = "Come back after the time given."


class ClientUnidentified(TypedError):
    """Nothing shows whose key it is."""

    KIND = ErrorKind.CLIENT_MISSING
    REMEDY = "Send Authorization, or have a bundle declare visitor."


class AlreadySeen(TypedError):
    """An attempt under this id was here before."""

    KIND = ErrorKind.ALREADY_SEEN
    REMEDY = "Never send one id twice."


class ProcessFrozen(TypedError):
    """This process stood still while the request waited, so nobody can tell how old it is."""

    KIND = ErrorKind.FROZEN
    REMEDY = "Send it elsewhere."


class WrongInstance(TypedError):
    """The server that the attempt was meant for is not the one here."""

    KIND = ErrorKind.WRONG_INSTANCE
    REMEDY = "Send it to a server the news names."
