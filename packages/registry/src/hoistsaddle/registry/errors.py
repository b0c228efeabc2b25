"""Errors that only the registry raises; errors of several packages are in `hoistsaddle.common.errors`."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class BundleRefused(TypedError):
    """Proxies refused a bundle that had been committed."""

    KIND = ErrorKind.BUNDLE_REFUSED
    REMEDY = "Abort the roll-out, or replace those machines' release, then advance."
