"""The registry's own errors; those that other packages make too are in `hoistsaddle.common.errors`."""

from hoistsaddle.common.errors import ErrorKind, TypedError


class BundleRefused(TypedError):
    """Proxies refused a bundle that the log had taken."""

    KIND = ErrorKind.BUNDLE_REFUSED
    REMEDY = "Abort the roll-out, or replace those machines' release, then advance."
