"""Writes on a connection that its peer may have ended: a lost one always raises OSError."""

from typing import Protocol


class Writable(Protocol):
    """A transport or a stream writer."""

    def is_closing(self) -> bool:
        """Whether the connection is lost or being closed."""
        ...

    def write(self, data: bytes) -> None:
        """Buffers data for sending."""
        ...


def write_or_raise(connection: Writable, data: bytes) -> None:
    """Writes data on a connection.

    A transport discards data once its connection is lost, and from the next turn of the event loop on it raises
    RuntimeError instead; its owner may not know of the loss in either case.

    Raises:
        ConnectionResetError: The connection is lost or being closed.
    """
    if connection.is_closing():
        raise ConnectionResetError("the connection is closed")
    try:
        connection.write(data)
    except RuntimeError as problem:
        raise ConnectionResetError("the connection is closed") from problem
