"""The errors with which the state machine rejects commands, apart from errors that other packages raise too.

The error of a rejected command is part of its outcome, and outcomes of operators' requests are stored in the state. So
messages and remedies must not change: replicas of two releases build equal states only with identical texts.
"""

from hoistsaddle.common.errors import ErrorKind, MeshError, NoServer, OutcomeUnknown, TypedError
from hoistsaddle.statemachine.commands import Outcome


def reject(error: MeshError) -> Outcome:
    """Returns the outcome of a command that is rejected with an error."""
    return Outcome(str(error.kind), error.message, error.remedy, error.field)


# -- releases and requests ---------------------------------------------------------------------------------------------


class LevelTooLow(TypedError):
    """The mesh's release level doesn't support the command or field yet."""

    KIND = ErrorKind.RELEASE_LEVEL
    REMEDY = "Install the newer release on every machine; the level then rises by itself."


class ReleaseTooOld(TypedError):
    """The sender's release doesn't support the mesh's level."""

    KIND = ErrorKind.RELEASE_OLD
    REMEDY = "Install a release that supports the mesh's level."


class RequestReused(TypedError):
    """Two different requests have the same id."""

    KIND = ErrorKind.REQUEST_REUSED
    REMEDY = "Send the call with an id of its own; repeat one only with the call it was made for."


class OutcomeForgotten(TypedError):
    """The state no longer holds whether a request was accepted before, so it is neither confirmed nor rejected."""

    KIND = ErrorKind.ORDER_UNSURE
    REMEDY = "Read the items: what is missing there, send under a higher revision."


class VotersChanged(OutcomeUnknown):
    """The voters are not those that a change of them expects: another change was applied before it."""

    REMEDY = "Read the voters."


# -- bundles and items -------------------------------------------------------------------------------------------------


class BundleWrongPhase(TypedError):
    """The bundle's phase or stage doesn't allow the step."""

    KIND = ErrorKind.BUNDLE_WRONG_PHASE
    REMEDY = "Read its status and advance from there."


class BundleSelfSigned(TypedError):
    """A bundle's author and signer are the same person."""

    KIND = ErrorKind.BUNDLE_SELF_SIGNED
    REMEDY = "A second person must sign it."


class ItemConflict(TypedError):
    """A revision that was accepted before was sent with different content."""

    KIND = ErrorKind.ITEM_CONFLICT
    REMEDY = "Read the items, and send the change under a higher revision of its own."


# -- operators ---------------------------------------------------------------------------------------------------------


class OperatorConflict(TypedError):
    """The change of an operator conflicts with the present operators or with the proposed changes."""

    KIND = ErrorKind.OPERATOR_CONFLICT
    REMEDY = "Read the operators."


class TooFewOperators(TypedError):
    """Removing this operator would leave a single operator, whose changes no other operator could sign."""

    KIND = ErrorKind.OPERATOR_LAST
    REMEDY = "Add another first: an author and a signer must differ."


class OperatorSelfSigned(TypedError):
    """A change's proposer and signer are the same person."""

    KIND = ErrorKind.OPERATOR_SELF_SIGNED
    REMEDY = "A second person must sign it."


# -- servers, nodes and keys -------------------------------------------------------------------------------------------


class StaleRoleEpoch(TypedError):
    """The sender lost its singleton role: another node holds it under a higher epoch."""

    KIND = ErrorKind.DUTY_EPOCH_OLD
    REMEDY = "Another node has taken over: stop."


class ServerUnknown(NoServer):
    """The mesh knows no such server."""

    REMEDY = "Read the servers back and name one of them."


class KeyOtherBody(TypedError):
    """The idempotency key is held for a request with another body."""

    KIND = ErrorKind.KEY_OTHER_BODY
    REMEDY = "Use a new Idempotency-Key for a new request."


class KeyClientUnsure(TypedError):
    """The idempotency key is held, and it can't be determined whether for the same client."""

    KIND = ErrorKind.KEY_CLIENT_UNSURE
    REMEDY = (
        "Repeat it with the credentials it was first sent with, or use a new key if it is another request;"
        " a bundle may declare by what visitors are known."
    )
