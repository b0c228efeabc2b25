"""The errors of bundles and item patches, apart from errors that other packages raise too."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class InvalidBundle(TypedError):
    """A bundle can't be parsed, or one of its fields is invalid."""

    KIND = ErrorKind.BUNDLE_BROKEN
    REMEDY = "Mend the field; docs/operators/bundles.md lists them all."
