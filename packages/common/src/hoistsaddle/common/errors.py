"""Errors as typed values: a class for each kind of failure, with a remedy.

This module has the base classes and the errors that several packages use; other errors are in their package's
`errors.py`.
"""

from enum import StrEnum
from typing import ClassVar, NamedTuple, Self


class ErrorKind(StrEnum):
    """The kinds of failure. Answers, messages and the log contain the values, so these must never change."""

    PARAMS = "params"
    BUNDLE_BROKEN = "bundle-broken"
    BUNDLE_STALE = "bundle-stale"
    BUNDLE_DUPLICATE = "bundle-duplicate"
    BUNDLE_CONFLICT = "bundle-conflict"
    BUNDLE_WRONG_BASE = "bundle-wrong-base"
    BUNDLE_SELF_SIGNED = "bundle-self-signed"
    BUNDLE_UNKNOWN = "bundle-unknown"
    BUNDLE_WRONG_PHASE = "bundle-wrong-phase"
    BUNDLE_REFUSED = "bundle-refused"
    ITEM_BROKEN = "item-broken"
    ITEM_CONFLICT = "item-conflict"
    ORDER_UNSURE = "order-unsure"
    OPERATOR_UNKNOWN = "operator-unknown"
    OPERATOR_CONFLICT = "operator-conflict"
    OPERATOR_LAST = "operator-last"
    OPERATOR_SELF_SIGNED = "operator-self-signed"
    REQUEST_REUSED = "request-reused"
    RELEASE_LEVEL = "release-level"
    RELEASE_OLD = "release-old"
    COPY_DAMAGED = "copy-damaged"
    DUTY_EPOCH_OLD = "duty-epoch-old"
    NOT_LEADER = "not-leader"
    NO_LEADER = "no-leader"
    NOT_FOUNDED = "not-founded"
    ALREADY_FOUNDED = "already-founded"
    WRONG_MESH = "wrong-mesh"
    UNSURE = "unsure"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CHECKPOINT_TORN = "checkpoint-torn"
    DISK = "disk"
    OTHER_RELEASE = "other-release"
    LEASE_LAPSED = "lease-lapsed"
    NOT_ALLOWED = "not-allowed"
    NO_ENTRY = "no-entry"
    NO_SERVER = "no-server"
    WRONG_INSTANCE = "wrong-instance"
    WINDING_DOWN = "winding-down"
    SERVER_FULL = "server-full"
    NO_CONFIGURATION = "no-setup"
    QUEUE_FULL = "backlog-full"
    LINK_FULL = "link-full"
    BUDGET_SPENT = "budget-spent"
    FURTHER_SENDS_SPENT = "further-sends-spent"
    KEY_MISSING = "key-missing"
    KEY_OTHER_BODY = "key-other-body"
    KEY_HELD = "key-held"
    KEY_CLIENT_UNSURE = "key-visitor-unsure"
    CLIENT_MISSING = "visitor-missing"
    CALLER_UNNAMED = "caller-unnamed"
    BODY_TOO_LARGE = "body-too-large"
    REQUEST_BROKEN = "request-broken"
    ANSWER_BROKEN = "answer-broken"
    ANSWER_TOO_LARGE = "answer-too-large"
    ALREADY_SEEN = "already-seen"
    FROZEN = "frozen"


class MeshError(NamedTuple):
    """A failure as a value: it is passed in results, messages and answers, and never raised.

    Two errors are equal if their fields are equal, whatever their classes: an error decoded from the wire, as a plain
    `MeshError`, equals the one that was sent.

    Attributes:
        kind: The kind of failure, one of `ErrorKind`; a newer release may send other kinds.
        message: What went wrong, as a sentence.
        remedy: What the reader can do about it, as a sentence.
        field: The field, header or setting that caused the error; empty if there is none in particular.
    """

    kind: str
    message: str
    remedy: str
    field: str = ""

    def describe(self) -> dict[str, str]:
        """The fields as shown by the operators' API under "refused"."""
        return {"kind": str(self.kind), "message": self.message, "remedy": self.remedy, "field": self.field}

    def __str__(self) -> str:
        place = f" (field {self.field})" if self.field else ""
        return f"{self.kind}{place}: {self.message} Remedy: {self.remedy}"


def _restore(error_class: "type[TypedError]", fields: tuple[str, str, str, str]) -> "TypedError":
    """Rebuilds a copied or unpickled error from its fields."""
    return error_class._make(fields)


class TypedError(MeshError):
    """Base of the error classes: a class defines the kind and a default remedy, an instance adds the message.

    A subclass sets `KIND` and `REMEDY`. Code that knows a more specific remedy passes its own.
    """

    __slots__ = ()

    KIND: ClassVar[ErrorKind]
    REMEDY: ClassVar[str]

    def __new__(cls, message: str, *, field: str = "", remedy: str | None = None) -> Self:
        """Creates an error of this class's kind.

        Args:
            message: What went wrong, as a sentence.
            field: The field, header or setting that caused the error, if there is one in particular.
            remedy: What the reader can do about it; None for the class's default remedy.
        """
        return tuple.__new__(cls, (cls.KIND, message, cls.REMEDY if remedy is None else remedy, field))

    def __reduce__(self) -> tuple:
        # The constructor takes fewer arguments than the tuple has fields, so the default of tuples would fail.
        return _restore, (type(self), tuple(self))


# -- settings and requests ---------------------------------------------------------------------------------------------


class InvalidSettings(TypedError):
    """A settings file, a flag or a command argument is invalid."""

    KIND = ErrorKind.PARAMS
    REMEDY = "Give the field in the settings file or as a flag."


class InvalidRequest(TypedError):
    """A request can't be parsed or has invalid parameters."""

    KIND = ErrorKind.REQUEST_BROKEN
    REMEDY = "See docs/operators/api.md."


class InvalidItem(TypedError):
    """A patch of items, or one of its items, can't be parsed or fails validation."""

    KIND = ErrorKind.ITEM_BROKEN
    REMEDY = "Save it as UTF-8."


class BodyTooLarge(TypedError):
    """The body of a request is over the size limit."""

    KIND = ErrorKind.BODY_TOO_LARGE
    REMEDY = "Send a smaller body."


# -- bundles and operators ---------------------------------------------------------------------------------------------


class BundleConflict(TypedError):
    """The bundle conflicts with another bundle."""

    KIND = ErrorKind.BUNDLE_CONFLICT
    REMEDY = "Take the next free number."


class BundleStale(TypedError):
    """The bundle's number is not above that of the newest signed bundle."""

    KIND = ErrorKind.BUNDLE_STALE
    REMEDY = "Take the next free number."


class BundleDuplicate(TypedError):
    """The same bundle was already submitted."""

    KIND = ErrorKind.BUNDLE_DUPLICATE
    REMEDY = "Nothing to do: read its status."


class BundleUnknown(TypedError):
    """There is no bundle with this number, or no bundle is in force."""

    KIND = ErrorKind.BUNDLE_UNKNOWN
    REMEDY = "Submit it first."


class BundleWrongBase(TypedError):
    """The bundle is based on a bundle other than the one in force."""

    KIND = ErrorKind.BUNDLE_WRONG_BASE
    REMEDY = "Rework it on top of the bundle in force."


class OperatorUnknown(TypedError):
    """No operator has this name or token."""

    KIND = ErrorKind.OPERATOR_UNKNOWN
    REMEDY = "Send Authorization: Bearer with the token given at founding."


# -- the replicated log and access to it -------------------------------------------------------------------------------


class NoLeader(TypedError):
    """No replica of the log is a leader with a majority."""

    KIND = ErrorKind.NO_LEADER
    REMEDY = "Retry after the time in Retry-After."


class OutcomeUnknown(TypedError):
    """A change was sent to the log, which has not reported whether it was committed."""

    KIND = ErrorKind.UNSURE
    REMEDY = "Send the same again, here or to another machine: an accepted change is confirmed, none is applied twice."


class NotFounded(TypedError):
    """The mesh has not been founded."""

    KIND = ErrorKind.NOT_FOUNDED
    REMEDY = "Wipe the data folders of the stores that accepted the founding, and found the mesh again."


class AlreadyFounded(TypedError):
    """A mesh has already been founded on these machines."""

    KIND = ErrorKind.ALREADY_FOUNDED
    REMEDY = "Nothing to do: a machine with a blank disk among them rejoins automatically."


class OtherRelease(TypedError):
    """Data was written by another release, or an operation needs another release."""

    KIND = ErrorKind.OTHER_RELEASE
    REMEDY = "Install the mesh's release."


class DiskFailed(TypedError):
    """The disk reports errors, or has not completed a sync for too long."""

    KIND = ErrorKind.DISK
    REMEDY = "Free it."


class LeaseExpired(TypedError):
    """The lease on the configuration has expired: no update came from the core in time."""

    KIND = ErrorKind.LEASE_LAPSED
    REMEDY = "Retry after the time in Retry-After."


class NoConfiguration(TypedError):
    """No configuration is in force here yet."""

    KIND = ErrorKind.NO_CONFIGURATION
    REMEDY = "Retry shortly."


# -- connections -------------------------------------------------------------------------------------------------------


class Unreachable(TypedError):
    """No connection was made, so nothing was sent."""

    KIND = ErrorKind.UNREACHABLE
    REMEDY = "Send it to another machine."


class NoResponse(TypedError):
    """A request was sent, perhaps in part, and no complete answer came in time."""

    KIND = ErrorKind.SILENT
    REMEDY = "Query the outcome of the request."


class InvalidAnswer(TypedError):
    """A server's answer can't be forwarded: it is truncated or not in the format that it declares."""

    KIND = ErrorKind.ANSWER_BROKEN
    REMEDY = "Query the outcome of the request before sending it again."


class AnswerTooLarge(TypedError):
    """A server's answer is over the size limit."""

    KIND = ErrorKind.ANSWER_TOO_LARGE
    REMEDY = "Raise answer_bytes in a bundle, or make the server send smaller answers."


# -- requests in the mesh ----------------------------------------------------------------------------------------------


class NoRoute(TypedError):
    """No route matches the request."""

    KIND = ErrorKind.NO_ENTRY
    REMEDY = "Call a declared route."


class NoServer(TypedError):
    """No server of the service is available for the request."""

    KIND = ErrorKind.NO_SERVER
    REMEDY = "Retry after the time in Retry-After."


class NotAllowed(TypedError):
    """The caller is not allowed to do this."""

    KIND = ErrorKind.NOT_ALLOWED
    REMEDY = "Allow it in a bundle."


class QueueFull(TypedError):
    """Too many requests are waiting already."""

    KIND = ErrorKind.QUEUE_FULL
    REMEDY = "Retry after the time in Retry-After."


class DeadlineExceeded(TypedError):
    """The request's time budget is spent."""

    KIND = ErrorKind.BUDGET_SPENT
    REMEDY = "Retry after the time in Retry-After."


class KeyInUse(TypedError):
    """Another request with the same idempotency key is still being processed."""

    KIND = ErrorKind.KEY_HELD
    REMEDY = "Ask again with the same key after the time given."


class ShuttingDown(TypedError):
    """This process, or its local server, is shutting down and accepts no new requests."""

    KIND = ErrorKind.WINDING_DOWN
    REMEDY = "Send it to another machine."


def field_in(problem: Exception) -> str:
    """The field that an error message of msgspec names; empty if it names none."""
    message = str(problem)
    if "`$." in message:
        return message.rpartition("`$.")[2].rstrip("`")
    return message.partition("`")[2].partition("`")[0]
