"""The list of tests that may fail is short, complete and true."""

from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from conftest import LIST, read_known_red

ROOT = Path(__file__).parent.parent


class KnownRed(TestCase):
    def test_lines_name_test_cause_and_issue(self) -> None:
        known = read_known_red("tests/test_a.py::A::test_b: elections take too long (issue 17)\n\n")
        self.assertThat(known, Equals({"tests/test_a.py::A::test_b": "elections take too long (issue 17)"}))

    def test_what_is_no_such_line_is_refused(self) -> None:
        for text in ("tests/test_a.py::A::test_b", "tests/test_a.py::A::test_b: sometimes", "a: issue 1\nb\n"):
            self.assertRaises(ValueError, read_known_red, text)
        self.assertRaises(ValueError, read_known_red, "\n".join(f"test-{n}: cause (issue 1)" for n in range(4)))

    def test_what_is_listed_exists(self) -> None:
        listed = read_known_red(LIST.read_text()) if LIST.exists() else {}
        for test in listed:
            path, _, name = test.partition("::")
            self.assertThat(f"def {name.rpartition('::')[2]}(" in (ROOT / path).read_text(), Equals(True), test)
