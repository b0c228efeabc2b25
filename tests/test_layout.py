"""The packages import one another only as the table in docs/style.md allows."""

import ast
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

ROOT = Path(__file__).parent.parent
TABLE_ROW = re.compile(r"^\| `(\w+)` \|.*\|([^|]*)\|$")


def imports_of(package: str) -> set[str]:
    """The other packages of hoistsaddle that a package's modules import."""
    found = set()
    for path in sorted((ROOT / "packages" / package).rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module] if node.module != "hoistsaddle" else [f"hoistsaddle.{a.name}" for a in node.names]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            found |= {name.split(".")[1] for name in names if name.startswith("hoistsaddle.")}
    return found - {package}


def allowed_imports() -> dict[str, set[str]]:
    """The packages that each package may import, according to docs/style.md."""
    rows = (TABLE_ROW.match(line) for line in (ROOT / "docs" / "style.md").read_text().splitlines())
    return {row[1]: set(re.findall(r"`(\w+)`", row[2])) for row in rows if row}


class Layout(TestCase):
    def test_table_lists_every_package(self) -> None:
        packages = {path.name for path in (ROOT / "packages").iterdir() if (path / "pyproject.toml").exists()}
        self.assertThat(set(allowed_imports()), Equals(packages))

    def test_imports_follow_the_table(self) -> None:
        for package, allowed in allowed_imports().items():
            self.assertThat(imports_of(package) - allowed, Equals(set()), package)

    def test_nothing_outside_the_adapter_imports_it(self) -> None:
        importing = [package for package in allowed_imports() if "adapter" in imports_of(package)]
        self.assertThat(importing, Equals([]))

    def test_the_check_sees_imports(self) -> None:
        self.assertThat(len(imports_of("raft")), GreaterThan(1))
