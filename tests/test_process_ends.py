"""A process ends only by a signal to stop, in order, by SIGKILL, or by a refusal at its start that names a remedy.

Guards against processes that end by themselves, or never come up, because of their output, their settings or signals
(issue 61, Rule FAULT).
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, MatchesListwise, Not

from hoistsaddle.testbed.emulator.platform_adapter import adapter
from platform_processes import HOST, LAUNCHER, MAX_SECONDS, ROLES, PlatformProcesses

# The launcher, which sends itself a signal where it would otherwise run the program.
SIGNALLED = """
import os, runpy, signal, sys
run_path = runpy.run_path
def run_module(*_, **__):
    os.kill(os.getpid(), signal.{name})
    print("alive")
runpy.run_module = run_module
run_path({launcher!r})
"""


def full_pipe(test: TestCase) -> int:
    """Returns the writing end of a pipe that is full and that nobody reads; both ends stay open during the test."""
    reading, writing = os.pipe()
    test.addCleanup(os.close, reading)
    test.addCleanup(os.close, writing)
    os.set_blocking(writing, False)
    for size in (4096, 1):
        try:
            while True:
                os.write(writing, b"x" * size)
        except BlockingIOError:
            continue
    os.set_blocking(writing, True)
    return writing


class Output(PlatformProcesses):
    """Guards against an output that is closed, full or not read, and so keeps a process from starting or ends it."""

    def check(self, what: str, **options: object) -> None:
        for role in ROLES:
            process, _ = self.start(role, self.settings(role), **options)
            self.check_that_it_starts(process, f"{role}, {what}")

    def test_closed_output(self) -> None:
        self.check("output closed", preexec_fn=lambda: os.closerange(1, 3))

    def test_all_standard_descriptors_closed(self) -> None:
        self.check("all closed", preexec_fn=lambda: os.closerange(0, 3))

    def test_a_full_pipe_that_nobody_reads(self) -> None:
        writing = full_pipe(self)
        self.check("full pipe", stdout=writing, stderr=writing)

    def test_a_full_pipe_that_does_not_block(self) -> None:
        writing = full_pipe(self)
        os.set_blocking(writing, False)
        self.check("full pipe, non-blocking", stdout=writing, stderr=writing)

    def test_a_pipe_whose_reader_is_gone(self) -> None:
        reading, writing = os.pipe()
        os.close(reading)
        self.addCleanup(os.close, writing)
        self.check("no reader", stdout=writing, stderr=writing)

    def test_a_device_that_is_full(self) -> None:
        with open("/dev/full", "wb") as device:
            self.check("device full", stdout=device, stderr=device)

    def test_no_descriptor_of_output_is_used_for_another_file(self) -> None:
        """Guards against a database or socket that gets the number of a closed output and then takes its lines."""
        process, _ = self.start("controller", self.settings("controller"), preexec_fn=lambda: os.closerange(0, 3))
        self.wait_until_it_accepts(process, "controller")
        opened = [os.readlink(f"/proc/{process.pid}/fd/{descriptor}") for descriptor in range(3)]
        self.assertThat(opened, Equals([os.devnull] * 3))

    def test_a_refusal_is_written_before_the_end(self) -> None:
        for role in ROLES:
            settings = {**json.loads(self.settings(role)), "zone_id": "not a name"}
            process, log = self.start(role, json.dumps(settings).encode())
            self.assertThat(process.wait(MAX_SECONDS), Equals(1))
            self.assertThat(log.read_text(), Contains("field zone"))


class Signals(PlatformProcesses):
    """Guards against signals that end a process at once, before it is up or while it ends in order."""

    def test_signals_before_the_program_is_loaded(self) -> None:
        for name, expected in (("SIGHUP", "alive\n"), ("SIGUSR1", "alive\n"), ("SIGTERM", ""), ("SIGINT", "")):
            script = SIGNALLED.format(name=name, launcher=str(LAUNCHER))
            done = subprocess.run([sys.executable, "-c", script], cwd=self.folder, capture_output=True, text=True)
            self.assertThat((name, done.returncode, done.stdout), Equals((name, 0, expected)), done.stderr)

    def test_a_stop_while_a_port_is_waited_for(self) -> None:
        samples = adapter("samples")
        mesh_port = samples.PORTS[0]
        for role, port in (
            ("controller", mesh_port),
            ("controller", mesh_port + 1),
            ("controller", samples.CONTROL),
            ("sidecar", mesh_port),
            ("sidecar", samples.EGRESS),
            ("sidecar", samples.CONTROL),
        ):
            with socket.socket() as holder:
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                holder.bind((HOST, port))
                holder.listen()
                process, log = self.start(role, self.settings(role))
                self.wait_for(process, log, f"{HOST}:{port} is taken")
                process.send_signal(signal.SIGTERM)
                self.assertThat(process.wait(MAX_SECONDS), Equals(0), f"{role} {port}: {log.read_text()[-2000:]}")

    def test_a_stop_while_the_settings_file_is_waited_for(self) -> None:
        for role in ROLES:
            process, log = self.start(role, b"{")
            self.wait_for(process, log, "can't be read yet")
            process.send_signal(signal.SIGTERM)
            self.assertThat(process.wait(MAX_SECONDS), Equals(0), log.read_text()[-2000:])

    def test_a_second_stop_does_not_cut_the_first_one_short(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            for role in ROLES:
                process, log = self.start(role, self.settings(role))
                self.wait_until_it_accepts(process, role)
                self.send_until_it_ends(process, lambda _, number=number: number)
                self.assertThat(process.returncode, Equals(0), f"{role} {number!r}: {log.read_text()[-2000:]}")

    def test_series_of_signals_until_the_process_is_gone(self) -> None:
        numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP, signal.SIGUSR2)
        for role in ROLES:
            process, log = self.start(role, self.settings(role))
            self.wait_until_it_accepts(process, role)
            self.send_until_it_ends(process, lambda turn: numbers[turn % len(numbers)])
            self.assertThat(process.returncode, Equals(0), f"{role}: {log.read_text()[-2000:]}")
            self.assertThat(log.read_text(), Not(Contains("Traceback")))

    def send_until_it_ends(self, process: subprocess.Popen, choose: Callable[[int], signal.Signals]) -> None:
        end, turn = time.monotonic() + MAX_SECONDS, 0
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(choose(turn))
            turn += 1
            time.sleep(0.001)


class Refusals(PlatformProcesses):
    """Guards against settings that end a process by an unhandled error, with no word on what to change."""

    def test_each_end_at_a_start_names_a_field_and_a_remedy(self) -> None:
        deep = b'{"unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        for what, field, change in (
            ("a retry budget that is no percentage", "bounds", {"bounds": ["budget_ratio=1e308"]}),
            ("a folder below a file", "data_folder", {"state_dir": "/etc/hostname/data"}),
            ("a folder that can't be made", "data_folder", {"state_dir": "/proc/data"}),
        ):
            role = "controller" if "state_dir" in change else "sidecar"
            settings = {**json.loads(self.settings(role)), **change}
            self.check(role, json.dumps(settings).encode(), field, what)
        for role in ROLES:
            self.check(role, deep, "", "nested too deep")

    def check(self, role: str, settings: bytes, field: str, what: str) -> None:
        process, log = self.start(role, settings)
        code = process.wait(MAX_SECONDS)
        text = log.read_text()
        self.assertThat((code, "Traceback" in text, "Remedy: " in text), Equals((1, False, True)), f"{what}: {text}")
        if field:
            self.assertThat(text, Contains(f"(field {field})"), what)

    def test_a_level_of_the_log_that_does_not_exist(self) -> None:
        with mock.patch.dict(os.environ, {"HOISTSADDLE_LOG": "LOUD"}):
            for role in ROLES:
                self.check(role, self.settings(role), "", "level")

    def test_no_settings_file_is_named(self) -> None:
        variable = adapter("headers").SETTINGS_VARIABLE
        environment = {name: value for name, value in os.environ.items() if name != variable}
        command = [sys.executable, str(LAUNCHER), "sidecar"]
        done = subprocess.run(command, env=environment, cwd=self.folder, capture_output=True)
        text = done.stderr.decode()
        matchers = [Equals(1), Contains("Remedy: "), Not(Contains("Traceback"))]
        self.assertThat([done.returncode, text, text], MatchesListwise(matchers))


class NumberForms(PlatformProcesses):
    """Guards against whole numbers written with a fraction, and limits that are not known, that end every process."""

    def test_a_start_with_any_form(self) -> None:
        for role in ROLES:
            settings = json.loads(self.settings(role))
            settings["constraints"] = {"fd_limit": 4096.0, "memory_mb": None, "link_mbps": None, "disk_mb": None}
            settings["tolerance"] = {"machine_loss": 1.0, "zones": 0.0, "region_loss": None}
            settings["port_range"] = [float(port) for port in settings["port_range"]]
            process, log = self.start(role, json.dumps(settings).encode())
            self.check_that_it_starts(process, f"{role}: {log.read_text()[-2000:]}")
