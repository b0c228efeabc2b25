"""Rejections: the outcomes of commands that the state machine turned down, one class for each kind of error.

A rejection carries its kind, the usual remedy and the field that it is about; whoever rejects gives the message. All
of it is kept in the state with the outcomes of operators' requests, so texts are part of the log's result: replicas of
two releases only agree while they stay the same.
"""

from typing import ClassVar, Self

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.statemachine.commands import Outcome

INSTALL_EVERYWHERE = "Install the newer release on every machine; the level then rises by itself."


class Rejection(Outcome):
    """The outcome of a command that was turned down and changed nothing.

    Args:
        message: What is wrong.
        remedy: What to do about it, where that isn't the usual remedy of the kind.
        field: The part of the request that it is about, where that isn't the usual one.
    """

    kind: ClassVar[ErrorKind]
    usual_remedy: ClassVar[str] = ""
    usual_field: ClassVar[str] = ""

    def __new__(cls, message: str, remedy: str = "", *, field: str | None = None) -> Self:
        return super().__new__(
            cls, str(cls.kind), message, remedy or cls.usual_remedy, cls.usual_field if field is None else field, {}
        )


class OtherRelease(Rejection):
    """The record is of a newer release: this replica must stop before it."""

    kind = ErrorKind.OTHER_RELEASE
    usual_remedy = "Install a release that knows it on this machine; the others go on."


class LevelTooLow(Rejection):
    """The mesh's release level doesn't allow it yet."""

    kind = ErrorKind.RELEASE_LEVEL
    usual_remedy = INSTALL_EVERYWHERE


class ReleaseTooOld(Rejection):
    """The sender's release doesn't support the mesh's level."""

    kind = ErrorKind.RELEASE_OLD
    usual_remedy = "Install a release that supports the mesh's level."
    usual_field = "level"


class RequestReused(Rejection):
    """Two different requests with one id."""

    kind = ErrorKind.REQUEST_REUSED
    usual_remedy = "Send the call with an id of its own; repeat one only with the call it was made for."
    usual_field = "X-Request-Id"


class RequestBroken(Rejection):
    """The request can't be read."""

    kind = ErrorKind.REQUEST_BROKEN


class VotersChanged(Rejection):
    """A change of voters that another one came before."""

    kind = ErrorKind.UNSURE
    usual_remedy = "Read the voters."
    usual_field = "replica"


class BundleStale(Rejection):
    """The bundle's number is too low, or taken by other content."""

    kind = ErrorKind.BUNDLE_STALE
    usual_remedy = "Take the next free number."
    usual_field = "number"


class BundleWrongBase(Rejection):
    """The bundle is based on one that isn't in force."""

    kind = ErrorKind.BUNDLE_WRONG_BASE
    usual_field = "based_on"


class BundleDuplicate(Rejection):
    """The very bundle was submitted before."""

    kind = ErrorKind.BUNDLE_DUPLICATE
    usual_remedy = "Nothing to do: read its status."
    usual_field = "number"


class BundleConflict(Rejection):
    """Another bundle stands in the way."""

    kind = ErrorKind.BUNDLE_CONFLICT
    usual_remedy = "Take the next free number."
    usual_field = "number"


class BundleUnknown(Rejection):
    """There is no such bundle."""

    kind = ErrorKind.BUNDLE_UNKNOWN
    usual_remedy = "Submit it first."
    usual_field = "number"


class BundleWrongPhase(Rejection):
    """The bundle's phase or stage doesn't allow the step."""

    kind = ErrorKind.BUNDLE_WRONG_PHASE
    usual_field = "number"


class BundleSelfSigned(Rejection):
    """Author and signer are the same person."""

    kind = ErrorKind.BUNDLE_SELF_SIGNED
    usual_remedy = "A second person must sign it."
    usual_field = "signer"


class ItemBroken(Rejection):
    """An item that is wrong beside the others."""

    kind = ErrorKind.ITEM_BROKEN


class ItemConflict(Rejection):
    """Another content under a revision that was accepted before."""

    kind = ErrorKind.ITEM_CONFLICT
    usual_remedy = "Read the items, and send the change under a higher revision of its own."


class OutcomeForgotten(Rejection):
    """The log no longer knows whether the request was accepted before, so it says neither yes nor no."""

    kind = ErrorKind.ORDER_UNSURE


class OperatorUnknown(Rejection):
    """The caller is no operator (any more)."""

    kind = ErrorKind.OPERATOR_UNKNOWN
    usual_remedy = "Have two operators add the name."
    usual_field = "Authorization"


class OperatorConflict(Rejection):
    """The change of an operator doesn't fit the operators or changes that are known."""

    kind = ErrorKind.OPERATOR_CONFLICT
    usual_field = "name"


class TooFewOperators(Rejection):
    """Removing this operator would leave nobody to sign for the other."""

    kind = ErrorKind.OPERATOR_LAST
    usual_remedy = "Add another first: an author and a signer must differ."
    usual_field = "name"


class OperatorSelfSigned(Rejection):
    """Proposer and signer are the same person."""

    kind = ErrorKind.OPERATOR_SELF_SIGNED
    usual_remedy = "A second person must sign it."
    usual_field = "signer"


class StaleRoleEpoch(Rejection):
    """The sender lost the singleton role: another node holds it under a higher epoch."""

    kind = ErrorKind.DUTY_EPOCH_OLD
    usual_remedy = "Another node has taken over: stop."
    usual_field = "duty_epoch"


class ServerUnknown(Rejection):
    """There is no such server."""

    kind = ErrorKind.NO_SERVER
    usual_remedy = "Read the servers back and name one of them."
    usual_field = "stall"


class KeyOtherBody(Rejection):
    """The idempotency key is held for a request with another body."""

    kind = ErrorKind.KEY_OTHER_BODY
    usual_remedy = "Use a new Idempotency-Key for a new request."
    usual_field = "Idempotency-Key"


class KeyClientUnsure(Rejection):
    """The key is held, and nothing shows whether for the same client."""

    kind = ErrorKind.KEY_CLIENT_UNSURE
    usual_field = "Idempotency-Key"


class KeyHeld(Rejection):
    """The key is held by another claim."""

    kind = ErrorKind.KEY_HELD
    usual_remedy = "Report the answer as unknown."
    usual_field = "claim"


def rejection_of(error: MeshError) -> Outcome:
    """The outcome of a command whose text an earlier check turned down."""
    return Outcome(str(error.kind), error.message, error.remedy, error.field)
