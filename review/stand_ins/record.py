"""The record of a case: what was sent, answered and run, with the seconds since its start."""

import time
from pathlib import Path


class Record:
    """Collects lines in memory and writes them to a file at the end."""

    def __init__(self) -> None:
        """Start the clock of the record."""
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Add a line with the present time, and print it."""
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write(self, folder: Path) -> None:
        """Write all lines to record.txt in the folder."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")
