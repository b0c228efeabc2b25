"""deploy/system.toml lists the system packages whose commands the build and the programs call."""

import re
import tomllib
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

DEPLOY = Path(__file__).parent.parent / "deploy"
# The Debian package that contains each command.
PACKAGE_OF = {
    "bash": "bash",
    "cp": "coreutils",
    "dirname": "coreutils",
    "find": "findutils",
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "rm": "coreutils",
    "touch": "coreutils",
}
SHELL_WORDS = {"cd", "do", "done", "fi", "for", "if", "set", "then", "true"}
# The first word of a statement: at a line's start, after a shell operator, or after -exec.
STATEMENT = re.compile(
    r"(?:^\s*|[;|&]\s*|\bdo\s+|\bthen\s+|\bif\s+!?\s*|-exec\s+|\$\()([a-z][\w.]*(?: -m pip)?)", re.MULTILINE
)


def commands_of(script: str) -> set[str]:
    """Returns the external commands that a shell script calls, without those in comments."""
    code = "\n".join(line for line in script.splitlines() if not line.lstrip().startswith("#"))
    return set(STATEMENT.findall(code)) - SHELL_WORDS


class SystemPackages(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = tomllib.loads((DEPLOY / "system.toml").read_text())

    def test_each_command_comes_from_a_listed_package(self) -> None:
        commands = commands_of((DEPLOY / "build.sh").read_text())
        commands |= {self.deployment["build"].split()[0]}
        commands |= {role["run"].split()[0] for role in self.deployment["roles"].values()}
        self.assertThat(commands - set(PACKAGE_OF), Equals(set()))
        needed = {PACKAGE_OF[command] for command in commands}
        self.assertThat(needed, Equals(set(self.deployment["packages"])))

    def test_a_further_command_is_detected(self) -> None:
        self.assertThat(commands_of("set -e\nfor a in b; do\n  gcc -O2 $a\ndone\n"), Equals({"gcc"}))
