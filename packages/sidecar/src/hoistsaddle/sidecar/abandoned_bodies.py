"""Counts the bodies of requests that go on though their clients have disconnected."""

from collections.abc import Container

from hoistsaddle.common.byte_budget import ByteBudget, ByteLease


class AbandonedBodies:
    """The leases of these bodies, by the ticket of each request."""

    def __init__(self, *, budget: ByteBudget) -> None:
        """Starts without any; the bodies count against the budget."""
        self._budget = budget
        self._leases: dict[int, ByteLease] = {}

    def add(self, ticket: int, size: int) -> None:
        """Count the body of a request whose client has disconnected, in bytes."""
        lease = self._leases[ticket] = self._budget.lease()
        lease.resize(size)

    def release_ended(self, pending: Container[int]) -> None:
        """Give back the bodies of requests that are no longer pending."""
        for ticket in [ticket for ticket in self._leases if ticket not in pending]:
            self._leases.pop(ticket).release()
