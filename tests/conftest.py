"""Tests listed in KNOWN-RED.txt at the root fail for a known fault: they run, and CI passes over their failures alone.

One line each: `test id: cause (issue N)`; three at most. They are printed; one that passes shows as an X in the dots
and goes from the list.
"""

from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3


def read_known_red(text: str) -> dict[str, str]:
    """Test ids and their causes; raises ValueError for a line without a cause and issue, or for too many lines."""
    known: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        test, separator, cause = line.partition(": ")
        if not separator or "issue" not in cause:
            raise ValueError(f"KNOWN-RED.txt: a line names a test, its cause and its issue, unlike {line!r}")
        known[test.strip()] = cause.strip()
    if len(known) > MAX_LISTED:
        raise ValueError(f"KNOWN-RED.txt: {MAX_LISTED} tests at most, and {len(known)} are listed")
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red(LIST.read_text()) if LIST.exists() else {}
    for item in items:
        if cause := known.get(item.nodeid):
            print(f"known red: {item.nodeid}: {cause}")
            item.add_marker(pytest.mark.xfail(reason=cause, strict=False))
