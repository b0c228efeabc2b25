"""Limits on the memory for request and answer data, and on the connections, of a process."""

from typing import Protocol

# The memory that a process needs for itself, apart from request and answer data.
OWN_MEMORY_BYTES = 80 * 1024 * 1024
# How many copies of a body a process may have while forwarding it: as received, joined, and in the frame to send.
COPIES_OF_A_BODY = 3
# How many copies of it there are while it is the only large one.
COPIES_OF_A_LONE_BODY = 2
# The share of a process's file descriptors for incoming connections.
CONNECTIONS_SHARE = 0.5
# The share of its file descriptors for connections of other processes of the mesh.
MESH_CONNECTIONS_SHARE = 0.25
BYTES_PER_MEGABYTE = 1024 * 1024
# A lease of up to this size is small. Small leases may use a reserve that is closed to large ones, so that ordinary
# requests are still accepted while large bodies use up the rest.
SMALL_LEASE_BYTES = 64 * 1024
RESERVE_BYTES = 4 * 1024 * 1024
# The reserve of a process with little memory, as a share of its budget.
MAX_RESERVE_SHARE = 0.125
# The only large lease may have at least this size, also in a process with little memory.
MIN_LONE_BYTES = 4 * 1024 * 1024


class Closable(Protocol):
    """A connection that can be closed for another one."""

    def close_idle(self) -> None:
        """Close it at once, and return it to the budget."""
        ...


class ByteBudget:
    """Counts the bytes that a process buffers for others, against one limit."""

    def __init__(self, *, memory_megabytes: float = 0.0, descriptors: int = 0) -> None:
        """Starts with nothing buffered.

        Args:
            memory_megabytes: The memory limit of the process; 0 if it is unknown, and then bytes are not limited.
            descriptors: Its limit of file descriptors; 0 if it is unknown, and then connections are not limited.
        """
        available = max(0.0, memory_megabytes * BYTES_PER_MEGABYTE - OWN_MEMORY_BYTES)
        self.max_bytes = int(available / COPIES_OF_A_BODY) if memory_megabytes else None
        # The limit on all bytes while there is one large lease.
        self.max_lone_bytes = max(MIN_LONE_BYTES, int(available / COPIES_OF_A_LONE_BODY)) if memory_megabytes else None
        self.max_connections = int(descriptors * CONNECTIONS_SHARE) if descriptors else None
        self.max_mesh_connections = int(descriptors * MESH_CONNECTIONS_SHARE) if descriptors else None
        self.held = 0
        # The number of leases that are not small.
        self.large_leases = 0
        self.connections = 0
        # The connections that are open and have nothing under way, the longest idle first.
        self.idle_connections: dict[Closable, None] = {}
        # The number of connections whose receive buffers are enlarged for a body.
        self.body_receive_buffers = 0

    def lease(self) -> "ByteLease":
        """Return a new lease of no bytes."""
        return ByteLease(self)

    def has_room(self) -> bool:
        """Whether the bytes that are buffered now are within the limit."""
        return self.max_bytes is None or self.held <= self.max_bytes

    def has_room_for_connection(self) -> bool:
        """Whether one more connection may be opened; an idle one is closed for it if necessary."""
        if self.max_connections is None or self.connections < self.max_connections:
            return True
        if not self.idle_connections:
            return False
        next(iter(self.idle_connections)).close_idle()
        return True


class ByteLease:
    """The part of a budget that one connection, frame or answer holds. The holder resizes it as bytes come and go."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> None:
        """Hold this number of bytes from now on."""
        budget = self._budget
        budget.held += size - self.size
        budget.large_leases += (size > SMALL_LEASE_BYTES) - (self.size > SMALL_LEASE_BYTES)
        self.size = size

    def release(self) -> None:
        """Hold nothing from now on."""
        self.resize(0)

    def fits(self) -> bool:
        """Whether the budget has room for this lease. The only large lease has a limit of its own."""
        budget = self._budget
        if budget.max_bytes is None or budget.max_lone_bytes is None:
            return True
        if self.size <= SMALL_LEASE_BYTES:
            return budget.held <= budget.max_bytes or budget.held == self.size
        reserve = min(RESERVE_BYTES, budget.max_bytes * MAX_RESERVE_SHARE)
        if budget.held <= budget.max_bytes - reserve:
            return True
        return budget.large_leases == 1 and budget.held <= budget.max_lone_bytes
