"""Soaks of real processes: one short run, checked by rules without a bound in time, and tests of the soak's parts."""

import asyncio
import os
import random
import signal
import tempfile
from datetime import datetime
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, raises

from hoistsaddle.common.errors import MeshError
from hoistsaddle.testbed.emulator.history import (
    FaultEnded,
    FaultStarted,
    History,
    RequestResult,
    RequestSent,
    RunEnded,
    RunStarted,
)
from hoistsaddle.testbed.emulator.history_index import HistoryIndex
from hoistsaddle.testbed.soak.clients import CROSSED
from hoistsaddle.testbed.soak.day import WIPE_GAP, draw_soak
from hoistsaddle.testbed.soak.pauses import Pause, excluded_share_of, pauses_in, record_pauses
from hoistsaddle.testbed.soak.report import UNTIMED_RULES, lines_of
from hoistsaddle.testbed.soak.size import BYTES_PER_PROCESS, MAX_PROCESSES, Size, check_room, read_size, site_of
from hoistsaddle.testbed.soak.soak import MAX_CROSSED_REQUESTS, lost_on_kept_connections, run_soak
from hoistsaddle.testbed.soak.wire import IncompleteMessage, in_chunks, read_message, write_head

SEED, SECONDS = 1, 60.0
SMALL = Size(3, 6)


def processes_of(folder: str) -> list[str]:
    """The running processes whose settings are in this folder."""
    processes = []
    for proc in Path("/proc").glob("[0-9]*"):
        try:
            if folder.encode() in (proc / "environ").read_bytes():
                processes.append(proc.name)
        except OSError:
            continue
    return processes


class RealProcesses(TestCase):
    def test_a_short_soak_breaks_no_rule_without_a_bound_in_time(self) -> None:
        print("seed", SEED)
        day = draw_soak(site_of(SMALL, seed=SEED), seed=SEED, seconds=SECONDS)
        with tempfile.TemporaryDirectory(prefix="hoistsaddle-soak-") as folder:
            report = asyncio.run(run_soak(day, folder=Path(folder)))
        broken = {rule: found for rule, found in report.broken.items() if rule in UNTIMED_RULES}
        self.assertThat(broken, Equals({}), "\n".join(lines_of(report, again="")))
        self.assertThat(report.outcomes.get("answered 200", 0), GreaterThan(0))
        # Signals were injected, of more than one kind.
        self.assertThat(len(report.signals), GreaterThan(1))


class Interrupts(TestCase):
    def test_a_signal_in_the_middle_leaves_nothing_behind(self) -> None:
        """Guards against processes that a soak ended by SIGTERM leaves running: the first one left all nine."""
        day = draw_soak(site_of(SMALL, seed=SEED), seed=SEED, seconds=SECONDS)
        with tempfile.TemporaryDirectory(prefix="hoistsaddle-soak-") as folder:

            async def interrupt() -> None:
                while len(processes_of(folder)) < SMALL.processes:
                    await asyncio.sleep(0.05)
                os.kill(os.getpid(), signal.SIGTERM)

            async def run() -> None:
                watch = asyncio.ensure_future(interrupt())
                try:
                    await run_soak(day, folder=Path(folder))
                finally:
                    watch.cancel()

            self.assertThat(lambda: asyncio.run(run()), raises(asyncio.CancelledError))
            self.assertThat(processes_of(folder), Equals([]))


class Sizes(TestCase):
    def test_sizes_that_can_be_parsed(self) -> None:
        self.assertThat(read_size("5+40"), Equals(Size(5, 40)))
        for text in ("", "3", "2+6", "3+5", "3+6+1", "a+b", "-3+6", "3 + 6"):
            self.assertThat(read_size(text), Is(None), text)

    def test_room_by_memory_and_by_number(self) -> None:
        memory = BYTES_PER_PROCESS * 2 * 20
        self.assertThat(check_room(Size(3, 17), memory=memory), Is(None))
        self.assertThat(check_room(Size(3, 18), memory=memory), IsInstance(MeshError))
        self.assertThat(check_room(Size(3, MAX_PROCESSES), memory=memory * 1000), IsInstance(MeshError))

    def test_each_machine_has_a_loopback_address_of_its_own(self) -> None:
        site = site_of(Size(7, 290), seed=3)
        hosts = [machine.host for machine in (*site.core, *site.sidecars)]
        self.assertThat(len(set(hosts)), Equals(297))
        self.assertThat({host.partition(".")[0] for host in hosts}, Equals({"127"}))


class Days(TestCase):
    def test_a_seed_gives_the_same_day_and_disks_go_one_after_the_other(self) -> None:
        for seed in range(1, 30):
            site = site_of(SMALL, seed=seed)
            day = draw_soak(site, seed=seed, seconds=300)
            self.assertThat(draw_soak(site, seed=seed, seconds=300), Equals(day))
            wiped = [event.at for event in day.events if getattr(event, "wipe", False)]
            self.assertThat(all(b - a >= WIPE_GAP for a, b in zip(wiped, wiped[1:], strict=False)), Equals(True))


class Wire(TestCase):
    def read(self, data: bytes) -> bytes | bool:
        """The body of a complete message; otherwise whether any byte of it was received."""

        async def run() -> bytes | bool:
            reader = asyncio.StreamReader()
            reader.feed_data(data)
            reader.feed_eof()
            try:
                return (await read_message(reader)).body
            except IncompleteMessage as incomplete:
                return incomplete.started

        return asyncio.run(run())

    def test_only_a_complete_message_counts_wherever_it_is_cut(self) -> None:
        body = random.Random(1).randbytes(300)
        for framing, sent in (
            ([("Content-Length", "300")], body),
            ([("Transfer-Encoding", "chunked")], in_chunks(body, pieces=3)),
        ):
            message = write_head("HTTP/1.1 200 OK", framing) + sent
            self.assertThat(self.read(message), Equals(body))
            for length in range(len(message)):
                self.assertThat(self.read(message[:length]), Equals(length > 0), str(length))


class Pauses(TestCase):
    def test_pauses_are_read_from_a_programs_log(self) -> None:
        wall = datetime(2026, 12, 2, 0, 0, 10)
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "side-00.log"
            log.write_text(
                "23:59:59.500 side-00 stood still {'seconds': 0.5}\n"
                "00:00:12.000 side-00 stood still {'seconds': 1.25}\nelse\n"
            )
            pauses = pauses_in(log, machine="side-00", clock=100.0, wall=wall)
            self.assertThat(pauses_in(Path(folder) / "none", machine="x", clock=0.0, wall=wall), Equals([]))
        self.assertThat(pauses, Equals([Pause("side-00", 89.0, 89.5), Pause("side-00", 100.75, 102.0)]))

    def test_a_pause_is_recorded_as_a_fault_and_its_time_is_excluded(self) -> None:
        history, pause = History(), Pause("side-00", 5.0, 6.0)
        record_pauses(history, [pause])
        self.assertThat([type(event) for event in history.events], Equals([FaultStarted, FaultEnded]))
        self.assertThat(excluded_share_of([pause], machines=4, seconds=10.0), Equals(0.1))


class KeptConnections(TestCase):
    def lost(self, count: int, *, fault: str = "", complete: bool = True) -> list[str]:
        site = site_of(SMALL, seed=1)
        history = History()
        if fault:
            history.add(FaultStarted(1.0, 1, "side-00", fault, planned=fault == "stop"))
        for number in range(count):
            attempt, run = f"a-{number}", f"run-{number}"
            history.add(RequestSent(1.0, attempt, "side-00", 1, "s", "r-view", "GET", "/view/1", "", "", 5.0))
            history.add(RunStarted(1.1, run, attempt, "s", "i", "side-01", "s", "GET", "/view/1", "", ""))
            history.add(RunEnded(1.2, run, 200, "", complete))
            history.add(RequestResult(1.3, attempt, CROSSED))
        day = draw_soak(site, seed=1, seconds=20)
        return lost_on_kept_connections(HistoryIndex(history=history, day=day))

    def test_more_than_a_few_requests_without_an_answer_are_lost(self) -> None:
        self.assertThat(self.lost(MAX_CROSSED_REQUESTS), Equals([]))
        self.assertThat(len(self.lost(MAX_CROSSED_REQUESTS + 1)), Equals(MAX_CROSSED_REQUESTS + 1))
        self.assertThat(len(self.lost(9, fault="stop")), Equals(9))

    def test_not_those_of_a_process_that_was_killed_nor_of_a_server_that_broke_off(self) -> None:
        self.assertThat(self.lost(9, fault="kill"), Equals([]))
        self.assertThat(self.lost(9, complete=False), Equals([]))
