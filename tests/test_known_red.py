"""KNOWN-RED.txt, the list of tests and cases that may fail, is well-formed, and all that it lists exists."""

from testtools import TestCase
from testtools.matchers import Equals

from conftest import LIST, ROOT, is_test, read_known_red


class KnownRed(TestCase):
    def test_lines_name_test_or_case_cause_and_issue(self) -> None:
        known = read_known_red(
            "tests/test_a.py::A::test_b: elections take too long (issue 17)\n\n"
            "review/9: answers are late (issue 18; first seen under 12)\n"
        )
        self.assertThat(
            known,
            Equals(
                {
                    "tests/test_a.py::A::test_b": "elections take too long (issue 17)",
                    "review/9": "answers are late (issue 18; first seen under 12)",
                }
            ),
        )

    def test_malformed_lines_are_rejected(self) -> None:
        for text in (
            "tests/test_a.py::A::test_b",
            "tests/test_a.py::A::test_b: sometimes",
            "a: issue 1\nb\n",
            "a: late, issue 1",
            "a: late (issue)",
            "a: late (issue 1)\na: late (issue 2)\n",
        ):
            self.assertRaises(ValueError, read_known_red, text)

    def test_listed_tests_and_cases_exist(self) -> None:
        listed = read_known_red(LIST.read_text()) if LIST.exists() else {}
        for name in listed:
            path, _, test = name.partition("::")
            if is_test(name):
                function = f"def {test.rpartition('::')[2]}("
                self.assertThat(function in (ROOT / path).read_text(), Equals(True), name)
            else:
                # A case is a folder with the script that runs it.
                self.assertThat((ROOT / path / "run.sh").is_file(), Equals(True), name)
