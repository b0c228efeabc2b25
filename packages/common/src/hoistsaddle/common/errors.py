"""Errors as typed values: a class for each kind of failure, with what to do about it.

Here are the base classes and the errors that several packages make; a package's own stand in its `errors.py`.
"""

from enum import StrEnum
from typing import ClassVar, NamedTuple, Self


class ErrorKind(StrEnum):
    """The kinds of failure by the names that answers, messages and the log carry; their values never change."""

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
    """A failure as a value: it travels in results, in messages and in answers, and is never raised.

    Two errors are equal if their fields are, whichever class made them: one that was decoded from the wire by its kind
    equals the one that was sent.

    Attributes:
        kind: Which failure it is, one of `ErrorKind`; a newer release may send others.
        message: What went wrong, in a sentence.
        remedy: What the reader can do about it, in a sentence.
        field: The field, header or setting that is at fault; empty if it is none in particular.
    """

    kind: str
    message: str
    remedy: str
    field: str = ""

    def describe(self) -> dict[str, str]:
        """The fields as the operators' interface shows them under "refused"."""
        return {"kind": str(self.kind), "message": self.message, "remedy": self.remedy, "field": self.field}

    def __str__(self) -> str:
        place = f" (field {self.field})" if self.field else ""
        return f"{self.kind}{place}: {self.message} Remedy: {self.remedy}"


def _restore(error_class: "type[TypedError]", fields: tuple[str, str, str, str]) -> "TypedError":
    """Rebuilds a copied or unpickled error from its fields."""
    return error_class._make(fields)


class TypedError(MeshError):
    """Base of the classes below: each fixes its kind and its usual remedy, the message is given where it is made.

    A subclass sets `KIND` and `REMEDY`. A place that knows a better remedy gives its own.
    """

    __slots__ = ()

    KIND: ClassVar[ErrorKind]
    REMEDY: ClassVar[str]

    def __new__(cls, message: str, *, field: str = "", remedy: str | None = None) -> Self:
        """Makes an error of this class's kind.

        Args:
            message: What went wrong, in a sentence.
            field: The field, header or setting that is at fault, if it is one in particular.
            remedy: What to do about it here, if that is not the class's usual remedy.
        """
        return tuple.__new__(cls, (cls.KIND, message, cls.REMEDY if remedy is None else remedy, field))

    def __reduce__(self) -> tuple:
        # The constructor takes fewer values than the tuple holds.
        return _restore, (type(self), tuple(self))


# -- settings and requests ---------------------------------------------------------------------------------------------


class InvalidSettings(TypedError):
    """A settings file, a flag or an argument of a command that can't be used."""

    KIND = ErrorKind.PARAMS
    REMEDY = "Give the field in the settings file or as a flag."


class InvalidRequest(TypedError):
    """A call that can't be read."""

    KIND = ErrorKind.REQUEST_BROKEN
    REMEDY = "See docs/operators/api.md."


class InvalidItem(TypedError):
    """A patch of items, or one item in it, that can't be read or is refused by its check."""

    KIND = ErrorKind.ITEM_BROKEN
    REMEDY = "Save it as UTF-8."


class BodyTooLarge(TypedError):
    """A request's body is over its limit."""

    KIND = ErrorKind.BODY_TOO_LARGE
    REMEDY = "Send a smaller body."


# -- bundles and operators ---------------------------------------------------------------------------------------------


class BundleConflict(TypedError):
    """Another bundle is in its way."""

    KIND = ErrorKind.BUNDLE_CONFLICT
    REMEDY = "Take the next free number."


class BundleStale(TypedError):
    """Its number is not above the newest bundle that was signed."""

    KIND = ErrorKind.BUNDLE_STALE
    REMEDY = "Take the next free number."


class BundleDuplicate(TypedError):
    """This very bundle is known already."""

    KIND = ErrorKind.BUNDLE_DUPLICATE
    REMEDY = "Nothing to do: read its status."


class BundleUnknown(TypedError):
    """There is no bundle of this number, or none in force."""

    KIND = ErrorKind.BUNDLE_UNKNOWN
    REMEDY = "Submit it first."


class BundleWrongBase(TypedError):
    """It was made on top of another bundle than the one in force."""

    KIND = ErrorKind.BUNDLE_WRONG_BASE
    REMEDY = "Rework it on top of the bundle in force."


class OperatorUnknown(TypedError):
    """No operator has this name or token."""

    KIND = ErrorKind.OPERATOR_UNKNOWN
    REMEDY = "Send Authorization: Bearer with the token given at founding."


# -- the replicated log and the way to it ------------------------------------------------------------------------------


class NoLeader(TypedError):
    """No replica of the log leads with a majority."""

    KIND = ErrorKind.NO_LEADER
    REMEDY = "Come back after the time given."


class OutcomeUnknown(TypedError):
    """A change was handed to the log, which has not said whether it is committed."""

    KIND = ErrorKind.UNSURE
    REMEDY = "Send the same again, here or to another machine: what was taken is confirmed, and nothing counts twice."


class NotFounded(TypedError):
    """The mesh is not founded."""

    KIND = ErrorKind.NOT_FOUNDED
    REMEDY = "Wipe the data folders of those that did and found again."


class AlreadyFounded(TypedError):
    """A mesh is founded here already."""

    KIND = ErrorKind.ALREADY_FOUNDED
    REMEDY = "Nothing to do; a blank machine among them rejoins by itself."


class OtherRelease(TypedError):
    """Something was written by, or needs, another release than this one."""

    KIND = ErrorKind.OTHER_RELEASE
    REMEDY = "Install the mesh's release."


class DiskFailed(TypedError):
    """The disk refuses, or has not synced for too long."""

    KIND = ErrorKind.DISK
    REMEDY = "Free it."


class LeaseExpired(TypedError):
    """The lease on the configuration has run out: no update came from the core in time."""

    KIND = ErrorKind.LEASE_LAPSED
    REMEDY = "Come back after the time given."


class NoConfiguration(TypedError):
    """No configuration is in force here yet."""

    KIND = ErrorKind.NO_CONFIGURATION
    REMEDY = "Come back shortly."


# -- connections -------------------------------------------------------------------------------------------------------


class Unreachable(TypedError):
    """No connection was made, so nothing was sent."""

    KIND = ErrorKind.UNREACHABLE
    REMEDY = "Send it elsewhere."


class NoResponse(TypedError):
    """A request was sent, perhaps in part, and no complete answer came in time."""

    KIND = ErrorKind.SILENT
    REMEDY = "Ask what became of it."


class InvalidAnswer(TypedError):
    """A server's answer can't be passed on: it is cut short or not of the form it declares."""

    KIND = ErrorKind.ANSWER_BROKEN
    REMEDY = "Ask what became of the request before sending it again."


class AnswerTooLarge(TypedError):
    """A server's answer is over its limit."""

    KIND = ErrorKind.ANSWER_TOO_LARGE
    REMEDY = "Raise answer_bytes in a bundle, or have the server say less."


# -- requests in the mesh ----------------------------------------------------------------------------------------------


class NoRoute(TypedError):
    """No route takes this request."""

    KIND = ErrorKind.NO_ENTRY
    REMEDY = "Call a declared entry."


class NoServer(TypedError):
    """No server of the service may take the request."""

    KIND = ErrorKind.NO_SERVER
    REMEDY = "Come back after the time given."


class NotAllowed(TypedError):
    """The caller may not do this."""

    KIND = ErrorKind.NOT_ALLOWED
    REMEDY = "Have a bundle allow it."


class QueueFull(TypedError):
    """Too many requests wait already."""

    KIND = ErrorKind.QUEUE_FULL
    REMEDY = "Come back after the time given."


class DeadlineExceeded(TypedError):
    """The request's time budget is spent."""

    KIND = ErrorKind.BUDGET_SPENT
    REMEDY = "Come back after the time given."


class KeyInUse(TypedError):
    """Another request with the same idempotency key is still being worked on."""

    KIND = ErrorKind.KEY_HELD
    REMEDY = "Ask again with the same key after the time given."


class ShuttingDown(TypedError):
    """This process, or the server beside it, is stopping and takes no new work."""

    KIND = ErrorKind.WINDING_DOWN
    REMEDY = "Send it to another machine."


def field_in(problem: Exception) -> str:
    """The field that a message of msgspec's is about; empty if it names none."""
    message = str(problem)
    if "`$." in message:
        return message.rpartition("`$.")[2].rstrip("`")
    return message.partition("`")[2].partition("`")[0]
