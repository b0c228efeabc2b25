"""Links in README.md and docs/ point to existing files, and the files and test classes named on the pages exist."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

ROOT = Path(__file__).parent.parent
# Pages that record past observations, with the names in use at that time.
HISTORY = ("docs/incidents/", "docs/measurements.md")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
# `tests/test_x.py`, `raft/core.py`, `adapter/headers.py`, `rpc/mesh.thrift`, with or without a function after it.
NAMED_FILE = re.compile(r"(?<![\w/.-])((?:[a-z_]+/)+[a-z_0-9]+\.(?:py|thrift|toml|sh))\b")
NAMED_TEST = re.compile(r"`(test_[a-z_0-9]+)(?:\.(\w+))*`")


def pages() -> dict[str, str]:
    """Every page with its text, by its path in the repository."""
    found = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    return {str(path.relative_to(ROOT)): path.read_text() for path in found}


def broken_links(page: str, text: str) -> list[str]:
    """The page's relative links whose targets don't exist."""
    targets = [target for target in LINK.findall(text) if "://" not in target]
    return [f"{page}: {target}" for target in targets if not (ROOT / page).parent.joinpath(target).exists()]


def unknown_files(page: str, text: str) -> list[str]:
    """The files named on the page that are neither in the repository's root nor in a package."""
    roots = [ROOT, *sorted(ROOT.glob("packages/*/src/hoistsaddle")), ROOT / "platform" / "src" / "hoistsaddle"]
    roots += [ROOT / "packages" / "testbed" / "src" / "hoistsaddle" / "testbed"]
    names = NAMED_FILE.findall(text) + [f"tests/{name}.py" for name, _ in NAMED_TEST.findall(text)]
    return [f"{page}: {name}" for name in names if not any((root / name).is_file() for root in roots)]


def unknown_test_classes(page: str, text: str) -> list[str]:
    """The classes named as `test_file.Class` that the file doesn't define."""
    named = [(ROOT / "tests" / f"{file}.py", name) for file, name in NAMED_TEST.findall(text) if name]
    return [
        f"{page}: {path.stem}.{name}"
        for path, name in named
        if not (path.is_file() and re.search(rf"^class {name}\b", path.read_text(), re.MULTILINE))
    ]


class DocsReferences(TestCase):
    def test_link_targets_exist(self) -> None:
        broken = [each for page, text in pages().items() for each in broken_links(page, text)]
        self.assertThat(broken, Equals([]))

    def test_files_and_test_classes_named_on_pages_exist(self) -> None:
        current = {page: text for page, text in pages().items() if not page.startswith(HISTORY)}
        self.assertThat([each for page, text in current.items() for each in unknown_files(page, text)], Equals([]))
        wrong = [each for page, text in current.items() for each in unknown_test_classes(page, text)]
        self.assertThat(wrong, Equals([]))

    def test_the_checks_find_wrong_references(self) -> None:
        self.assertThat(
            broken_links("docs/style.md", "[a](architecture.md) [b](gone.md)"), Equals(["docs/style.md: gone.md"])
        )
        self.assertThat(
            unknown_files("docs/style.md", "`raft/core.py`, `raft/gone.py` (`f`), `test_layout.Layout`, `test_gone`"),
            Equals(["docs/style.md: raft/gone.py", "docs/style.md: tests/test_gone.py"]),
        )
        self.assertThat(
            unknown_test_classes("docs/style.md", "`test_layout.Layout`, `test_layout.Gone`"),
            Equals(["docs/style.md: test_layout.Gone"]),
        )
        self.assertThat(sum(len(NAMED_FILE.findall(text)) for text in pages().values()), GreaterThan(100))
