"""The settings file and SIGHUP while a program starts: no signal ends the program, and no change is missed."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.adapter.headers import SETTINGS_VARIABLE
from hoistsaddle.adapter.programs import SettingsWatcher
from hoistsaddle.adapter.settings_file import SettingsFile
from test_adapter import SETTINGS

LAUNCHER = Path(__file__).parent.parent / "platform" / "run.py"
# The launcher, which sends itself a signal where it would otherwise run the program.
SIGNALLED = f"""
import os, runpy, signal, sys
launcher = runpy.run_path
def run_module(*_, **__):
    os.kill(os.getpid(), signal.SIGHUP)
    print("alive")
runpy.run_module = run_module
launcher({str(LAUNCHER)!r})
"""


class Reload(TestCase):
    def test_a_signal_before_the_program_has_started_does_not_end_it(self) -> None:
        """A soak test found that SIGHUP in the first tenths of a second ended sidecars and controllers."""
        done = subprocess.run([sys.executable, "-c", SIGNALLED], capture_output=True, text=True)
        self.assertThat((done.returncode, done.stdout), Equals((0, "alive\n")))

    def test_a_change_between_the_first_read_and_the_watch_is_seen(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            path.write_text(json.dumps(SETTINGS))
            os.utime(path, ns=(1, 1))
            seen: list = []
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                first = SettingsFile.from_environment()
                path.write_text(json.dumps({**SETTINGS, "bounds": ["grace_s=9"]}))
                SettingsWatcher(file=first, changed=seen.append).check_for_changes()
            self.assertThat([each.bound("grace_s", 6) for each in seen], Equals([9.0]))
