"""The errors of a call to another process."""

from hoistsaddle.common.errors import NoResponse, Unreachable

CHECK_PROCESS = "Check that the process runs and the address is right."
ASK_FIRST = "The call may have been carried out: ask before repeating it."


def unreachable(address: str) -> Unreachable:
    """Nothing was written, so the process at the address can't have heard of the call."""
    return Unreachable(f"{address} takes no connection.", remedy=CHECK_PROCESS)


def no_response(address: str) -> NoResponse:
    """The call may have reached the process at the address, which gave no answer in time."""
    return NoResponse(f"{address} gave no answer in time.", remedy=ASK_FIRST)
