"""Injected connection faults, for tests with real processes."""

from pathlib import Path

import msgspec


class ConnectionFaults:
    """Drops calls and answers in one or both directions, as listed in a file that the tests write.

    A one-way partition from process A to process B takes two entries: A drops its calls to B, and B drops the answers
    from A.
    """

    def __init__(self, *, path: Path) -> None:
        """Uses the file at `path`, which is read again whenever it changes."""
        self.path = path
        self.modified_at = 0
        self.calls: frozenset[str] = frozenset()
        self.answers: frozenset[str] = frozenset()

    def _refresh(self) -> None:
        try:
            modified_at = self.path.stat().st_mtime_ns
        except OSError:
            modified_at = 0
        if modified_at == self.modified_at:
            return
        self.modified_at = modified_at
        faults = msgspec.json.decode(self.path.read_bytes()) if modified_at else {}
        self.calls = frozenset(faults.get("calls_to", ()))
        self.answers = frozenset(faults.get("answers_from", ()))

    def drops_calls_to(self, address: str) -> bool:
        """Whether calls to the address are dropped."""
        self._refresh()
        return address in self.calls

    def drops_answers_from(self, address: str) -> bool:
        """Whether answers from the address are dropped."""
        self._refresh()
        return address in self.answers
