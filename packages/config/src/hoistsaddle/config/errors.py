"""The errors of bundles and of patches of items, beside those that other packages make too."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class InvalidBundle(TypedError):
    """A bundle that can't be read, or is wrong in a part."""

    KIND = ErrorKind.BUNDLE_BROKEN
    REMEDY = "Mend the field; docs/operators/bundles.md lists them all."
