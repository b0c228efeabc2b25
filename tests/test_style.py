"""Runs the pinned formatter, linter and type checker, so that the one test command covers them."""

import subprocess
import sys
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent


def run_module(*arguments: str) -> tuple[int, str]:
    completed = subprocess.run(
        [sys.executable, "-m", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.returncode, completed.stdout + completed.stderr


class Style(TestCase):
    def test_lint_and_layout(self) -> None:
        for arguments in (("ruff", "check", "."), ("ruff", "format", "--check", ".")):
            code, output = run_module(*arguments)
            self.assertThat(code, Equals(0), output)

    def test_types(self) -> None:
        code, output = run_module(
            "mypy", *(str(path) for path in [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform" / "src"])
        )
        self.assertThat(code, Equals(0), output)
