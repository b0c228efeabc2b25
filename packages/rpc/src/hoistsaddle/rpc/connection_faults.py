"""Cuts of single connections, as tests on real processes order them."""

from pathlib import Path

import msgspec


class ConnectionFaults:
    """Cuts of connections, one way or both, as the tests write them into a file.

    A one-way cut from one process to another is two entries: the one drops its calls to the other, and the other
    drops the answers of the one.
    """

    def __init__(self, *, path: Path) -> None:
        """Names the file; it is read again whenever it changes."""
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
        cuts = msgspec.json.decode(self.path.read_bytes()) if modified_at else {}
        self.calls = frozenset(cuts.get("calls_to", ()))
        self.answers = frozenset(cuts.get("answers_from", ()))

    def drops_calls_to(self, address: str) -> bool:
        """Whether calls to the address vanish."""
        self._refresh()
        return address in self.calls

    def drops_answers_from(self, address: str) -> bool:
        """Whether answers from the address vanish."""
        self._refresh()
        return address in self.answers
