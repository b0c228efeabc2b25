"""The context of the call that is being answered: the age that the call had when it was read."""

from contextvars import ContextVar

from hoistsaddle.rpc.frame_ages import CallAge

_call_age: ContextVar[CallAge | None] = ContextVar("call_age", default=None)


def call_age() -> CallAge:
    """The age that the call being answered had when it was read."""
    return _call_age.get() or CallAge()


def set_call_age(age: CallAge) -> None:
    """Sets the age for this context and for the tasks that are started from it."""
    _call_age.set(age)
