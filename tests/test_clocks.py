"""The machines' wall clocks may jump, so no daemon may read one."""

import ast
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

PACKAGES = Path(__file__).parent.parent / "packages"
# Events carry a wall-clock time for display, and the export states when it was made. Measurements and soak tests are
# not daemons; a soak test dates the lines of the daemons' logs.
ALLOWED_READERS = {
    "common/src/hoistsaddle/common/counters.py",
    "cli/src/hoistsaddle/cli/export.py",
    "testbed/src/hoistsaddle/testbed/measure.py",
    "testbed/src/hoistsaddle/testbed/soak/soak.py",
}
WALL_CLOCK_CALLS = {
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("datetime", "today"),
    ("time", "time"),
    ("time", "time_ns"),
    ("date", "today"),
    ("time", "localtime"),
    ("time", "gmtime"),
}


class Clocks(TestCase):
    def test_no_daemon_reads_a_wall_clock(self) -> None:
        readers = set()
        checked_files = 0
        for path in PACKAGES.glob("*/src/**/*.py"):
            checked_files += 1
            for node in ast.walk(ast.parse(path.read_text())):
                match node:
                    case ast.Call(func=ast.Attribute(value=ast.Name(id=owner), attr=name)) if (
                        owner,
                        name,
                    ) in WALL_CLOCK_CALLS:
                        readers.add(str(path.relative_to(PACKAGES)))
        self.assertThat(readers, Equals(ALLOWED_READERS))
        self.assertThat(checked_files > 40, Equals(True))
