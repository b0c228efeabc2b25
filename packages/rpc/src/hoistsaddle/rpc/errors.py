"""The errors of calls to other processes."""

from hoistsaddle.common.errors import NoResponse, Unreachable

CHECK_PROCESS_REMEDY = "Check that the process is running and that the address is correct."
QUERY_BEFORE_RETRY_REMEDY = "The call may have been carried out: query its outcome before repeating it."


def unreachable(address: str) -> Unreachable:
    """Nothing was written, so the call can't have reached the process at the address."""
    return Unreachable(f"{address} accepts no connection.", remedy=CHECK_PROCESS_REMEDY)


def no_response(address: str) -> NoResponse:
    """The call may have reached the process at the address, but no answer came in time."""
    return NoResponse(f"{address} did not answer in time.", remedy=QUERY_BEFORE_RETRY_REMEDY)
