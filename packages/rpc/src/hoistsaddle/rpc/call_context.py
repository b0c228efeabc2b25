"""What the answer to a call under way may know of the call: how old it was as it was read."""

from contextvars import ContextVar

from hoistsaddle.rpc.frame_ages import CallAge

_call_age: ContextVar[CallAge | None] = ContextVar("call_age", default=None)


def call_age() -> CallAge:
    """How old the call under way was as it was read."""
    return _call_age.get() or CallAge()


def set_call_age(age: CallAge) -> None:
    """Says so to the tasks that are started from here on in this context."""
    _call_age.set(age)
