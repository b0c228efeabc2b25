"""Guards against a brief that no longer matches the code.

Every scenario, test and injected fault that docs/brief.md names must exist, and every scenario, injected fault and
checked line must be named there.
"""

import ast
import re
import sys
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.testbed.checkers import CHECKERS
from hoistsaddle.testbed.simulation.catalogue import CORE_SCENARIOS, SCENARIOS

TESTS = Path(__file__).parent
sys.path.insert(0, str(TESTS))
from injected_faults import INJECTED_FAULTS  # noqa: E402

BRIEF = (TESTS.parent / "docs" / "brief.md").read_text()


def all_tests() -> set[str]:
    found = set()
    for path in TESTS.glob("test_*.py"):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ClassDef):
                found |= {f"{node.name}.{each.name}" for each in node.body if isinstance(each, ast.FunctionDef)}
    return found


class Brief(TestCase):
    def test_what_it_names_exists(self) -> None:
        existing = {
            "sim": set(SCENARIOS) | set(CORE_SCENARIOS),
            "test": all_tests(),
            "fault": {injected_fault.name for injected_fault in INJECTED_FAULTS},
        }
        named = re.findall(r"`(sim|test|fault):([^`]+)`", BRIEF)
        self.assertThat([f"{kind}:{name}" for kind, name in named if name not in existing[kind]], Equals([]))
        self.assertThat(len(named), GreaterThan(100))

    def test_every_scenario_and_injected_fault_is_named(self) -> None:
        named = {name for _, name in re.findall(r"`(sim|fault):([^`]+)`", BRIEF)}
        existing = set(SCENARIOS) | set(CORE_SCENARIOS) | {injected_fault.name for injected_fault in INJECTED_FAULTS}
        self.assertThat(sorted(existing - named), Equals([]))

    def test_every_line_that_is_checked_has_a_row(self) -> None:
        rows = [line for line in BRIEF.split("## The product")[0].splitlines() if "`fault:" in line]
        caught = {
            injected_fault.line
            for injected_fault in INJECTED_FAULTS
            for row in rows
            if f"`fault:{injected_fault.name}`" in row
        }
        self.assertThat(caught, Equals(set(CHECKERS)))
