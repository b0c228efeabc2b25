"""Limits on the memory for request and answer data, and on the connections, of a process."""

# The memory that a process needs for itself, apart from request and answer data.
OWN_MEMORY_BYTES = 80 * 1024 * 1024
# How many copies of a body a process may have while forwarding it: as received, joined, and in the frame to send.
COPIES_OF_A_BODY = 3
# The share of a process's file descriptors for incoming connections.
CONNECTIONS_SHARE = 0.5
BYTES_PER_MEGABYTE = 1024 * 1024


class ByteBudget:
    """Counts the bytes that all connections of a process buffer, against one limit."""

    def __init__(self, *, memory_megabytes: float = 0.0, descriptors: int = 0) -> None:
        """Starts with nothing buffered.

        Args:
            memory_megabytes: The memory limit of the process; 0 if it is unknown, and then bytes are not limited.
            descriptors: Its limit of file descriptors; 0 if it is unknown, and then connections are not limited.
        """
        available = max(0.0, memory_megabytes * BYTES_PER_MEGABYTE - OWN_MEMORY_BYTES)
        self.max_bytes = int(available / COPIES_OF_A_BODY) if memory_megabytes else None
        self.max_connections = int(descriptors * CONNECTIONS_SHARE) if descriptors else None
        self.held = 0
        self.connections = 0

    def has_room_for(self, own_bytes: int) -> bool:
        """Whether a connection may keep its `own_bytes`: always, if no other connection buffers any."""
        return self.max_bytes is None or self.held <= self.max_bytes or self.held == own_bytes

    def has_room_for_connection(self) -> bool:
        """Whether one more connection may be opened."""
        return self.max_connections is None or self.connections < self.max_connections
