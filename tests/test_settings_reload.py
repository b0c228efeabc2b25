"""The settings file and SIGHUP while a program starts: no signal ends the program, and no change is missed."""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.adapter.headers import SETTINGS_VARIABLE, controller_settings, sidecar_settings
from hoistsaddle.adapter.programs import SettingsWatcher
from hoistsaddle.adapter.settings_file import SettingsFile
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.settings import ControllerSettings, SidecarSettings
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
                SettingsWatcher(
                    file=first, translate=sidecar_settings, changed=seen.append, counters=Counters(owner="one")
                ).check_for_changes()
            self.assertThat([each.grace_seconds for each in seen], Equals([9.0]))


class Changes(TestCase):
    """Guards against a changed file that ends a running process (review/9)."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.json"
        self.modified_at = 0
        self.write({})

    def write(self, changes: dict) -> None:
        self.modified_at += 1
        self.path.write_text(json.dumps({**SETTINGS, "state_dir": "/data", **changes}))
        os.utime(self.path, ns=(self.modified_at, self.modified_at))

    def watch(self, translate: Callable) -> tuple[SettingsWatcher, list, Counters]:
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(self.path)}):
            file = SettingsFile.from_environment()
        seen: list = []
        counters = Counters(owner="one")
        watcher = SettingsWatcher(file=file, translate=translate, changed=seen.append, counters=counters)
        return watcher, seen, counters

    def test_any_ports_in_a_change_leave_the_process_at_its_own(self) -> None:
        for translate in (controller_settings, sidecar_settings):
            for ports in ([7101, 7116], [7102, 7117], [8305, 8320], [8306, 8321], [1, 16], [65520, 65535], [9, 9]):
                self.write({})
                watcher, seen, counters = self.watch(translate)
                started_with = translate(watcher.started_with)
                self.write({"port_range": ports, "bounds": ["grace_s=9"]})
                watcher.check_for_changes()
                watcher.check_for_changes()
                self.assertThat([each.grace_seconds for each in seen], Equals([9.0]), str(ports))
                self.assertThat(ports_of(seen[0]), Equals(ports_of(started_with)), str(ports))
                self.assertThat(counters.read()["counts"].get("happening.addresses kept"), Equals(1), str(ports))

    def test_a_change_that_cannot_be_used_is_refused_once_and_the_next_one_is_taken(self) -> None:
        for translate in (controller_settings, sidecar_settings):
            for change in (
                {"seed_nodes": []},
                {"seed_nodes": ["here:1"]},
                {"zone_id": "a b"},
                {"bounds": ["grace_s=soon"]},
                {"bounds": ["grace_s=nan"]},
                {"bounds": {"grace_s": None}},
                {"bounds": ["grace_s=0"]},
            ):
                self.write({})
                watcher, seen, counters = self.watch(translate)
                self.write(change)
                watcher.check_for_changes()
                watcher.check_for_changes()
                self.assertThat(seen, Equals([]), str(change))
                self.assertThat(counters.read()["counts"].get("happening.params refused"), Equals(1), str(change))
                event = counters.events(after=0)["happenings"][0]["detail"]
                self.assertThat(event["remedy"] != "", Equals(True), str(change))
                self.write({"bounds": ["grace_s=9"]})
                watcher.check_for_changes()
                self.assertThat([each.grace_seconds for each in seen], Equals([9.0]), str(change))

    def test_a_change_with_ports_of_the_wrong_form_is_not_taken(self) -> None:
        for ports in ([], [7620], [0, 15], [7620, 65536], [7620, "7635"], None):
            self.write({})
            watcher, seen, counters = self.watch(sidecar_settings)
            self.write({"port_range": ports})
            watcher.check_for_changes()
            watcher.check_for_changes()
            self.assertThat(seen, Equals([]), str(ports))
            self.assertThat(counters.read()["counts"].get("happening.params refused"), Equals(1), str(ports))


def ports_of(settings: ControllerSettings | SidecarSettings) -> tuple:
    if isinstance(settings, ControllerSettings):
        return settings.registry_port, settings.store_port, settings.operators_port
    return settings.listen, settings.door, settings.health_door, settings.ready_door, settings.seeds
