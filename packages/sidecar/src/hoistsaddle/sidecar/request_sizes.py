"""Counts the bytes of the requests on one connection that wait for their answers, each until its own answer."""

from collections import deque


class RequestSizes:
    """The sizes of a connection's unanswered requests, in the order of their arrival."""

    __slots__ = ("_sizes", "total")

    def __init__(self) -> None:
        self._sizes: deque[int] = deque()
        self.total = 0

    def begin(self, size: int) -> None:
        """Count the head of a request."""
        self._sizes.append(size)
        self.total += size

    def add(self, size: int) -> None:
        """Count body data of the newest request."""
        if self._sizes:
            self._sizes[-1] += size
            self.total += size

    def answered(self) -> None:
        """Drop the oldest request."""
        if self._sizes:
            self.total -= self._sizes.popleft()

    def clear(self) -> None:
        """Drop all requests."""
        self._sizes.clear()
        self.total = 0
