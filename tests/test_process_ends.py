"""A process ends only by a signal to stop, in order, by SIGKILL, or by a refusal at its start that names a remedy.

Guards against processes that end by themselves, or never come up, because of their output, their settings or signals
(issue 61, Rule FAULT).
"""

import json
import os

from testtools import TestCase
from testtools.matchers import Contains, Equals

from platform_processes import MAX_SECONDS, ROLES, PlatformProcesses

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
