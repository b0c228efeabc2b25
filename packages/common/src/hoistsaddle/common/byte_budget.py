"""How many bytes of others, and how many of their connections, a process may hold at once."""

# What a process needs beside the bytes of others, in bytes.
OWN_MEMORY_BYTES = 80 * 1024 * 1024
# A body stands in a process up to so many times while it goes on: as it came, in one piece, and in the frame to send.
COPIES_OF_A_BODY = 3
# The share of a process's descriptors that connections from outside may have.
CONNECTIONS_SHARE = 0.5
BYTES_PER_MEGABYTE = 1024 * 1024


class ByteBudget:
    """Counts the bytes that all connections of a process hold for others, against one bound."""

    def __init__(self, *, memory_megabytes: float = 0.0, descriptors: int = 0) -> None:
        """Begins with nothing held.

        Args:
            memory_megabytes: What the process may have in all; 0 if that is unknown, and nothing is bounded.
            descriptors: How many descriptors it may have in all; 0 if that is unknown.
        """
        room = max(0.0, memory_megabytes * BYTES_PER_MEGABYTE - OWN_MEMORY_BYTES)
        self.max_bytes = int(room / COPIES_OF_A_BODY) if memory_megabytes else None
        self.max_connections = int(descriptors * CONNECTIONS_SHARE) if descriptors else None
        self.held = 0
        self.connections = 0

    def has_room_for(self, holder: int) -> bool:
        """Whether a connection that holds so many bytes may keep them: one alone may, whatever its size."""
        return self.max_bytes is None or self.held <= self.max_bytes or self.held == holder

    def has_room_for_connection(self) -> bool:
        """Whether one more connection may be opened."""
        return self.max_connections is None or self.connections < self.max_connections
