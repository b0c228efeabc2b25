"""Errors of scale runs."""


class RunAborted(Exception):
    """A run was aborted; the message says why."""
