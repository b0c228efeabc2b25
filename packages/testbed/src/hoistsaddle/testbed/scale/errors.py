"""Errors of scale runs."""


class RunAborted(Exception):
    """The run could not go on at this size; the message says at what."""
