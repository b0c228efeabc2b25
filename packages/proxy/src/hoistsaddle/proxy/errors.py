"""Typed errors of the request path: a class for each failure, with its kind and the remedy that goes with it."""

from typing import ClassVar, Self

from hoistsaddle.common.errors import ErrorKind, MeshError


class RequestError(MeshError):
    """Base of the errors that a proxy answers with: the class says the kind and the remedy, the site what happened."""

    __slots__ = ()
    KIND: ClassVar[ErrorKind]
    REMEDY: ClassVar[str] = "Come back after the time given."
    FIELD: ClassVar[str] = ""

    def __new__(cls, message: str) -> Self:
        """Make the error.

        Args:
            message: what happened, as a sentence.
        """
        return super().__new__(cls, cls.KIND, message, cls.REMEDY, cls.FIELD)


class LogUnavailable(RequestError):
    """No core machine confirmed in time that a key is held."""

    __slots__ = ()
    KIND = ErrorKind.NO_LEADER


class NoServerAvailable(RequestError):
    """No server of the route's service takes work now."""

    __slots__ = ()
    KIND = ErrorKind.NO_SERVER
