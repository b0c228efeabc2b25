"""Servers that send without end: their sidecar stays within its memory, and ordinary requests there are answered."""

import asyncio
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from crowds import HOST, MEMORY_MB, ROUTE_HOST, SAMPLE_SECONDS, Deployment
from endless_answers import STATUSES, endless_answers
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from observed_process import usage_of

FORMS = tuple(endless_answers(status=STATUSES[0], id_line="Attempt-Id: a"))
# The time that a caller gives the faulty server.
BUDGET_MILLISECONDS = 1000
# The longest that a call of this budget may take before its caller stops waiting; ends a hanging test.
CALL_TIMEOUT_SECONDS = 30.0


class FaultyServerDeployment(Deployment):
    """A deployment whose server sends without end to requests of the path `/crowd/STATUS/FORM`, by their numbers."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", "0")))
                attempt = fields.get("attempt-id", "")
                match head.split()[1].strip("/").split("/"):
                    case ["crowd", status, form]:
                        await self._send_without_end(writer, STATUSES[int(status)], FORMS[int(form)], attempt)
                    case _:
                        self._send_answer(writer, attempt)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send_without_end(self, writer: asyncio.StreamWriter, status: str, form: str, attempt: str) -> None:
        for piece in endless_answers(status=status, id_line=f"Attempt-Id: {attempt}")[form].pieces():
            writer.write(piece)
            await writer.drain()

    def _send_answer(self, writer: asyncio.StreamWriter, attempt: str) -> None:
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Length: 2\r\n\r\nok".encode())

    async def call(self, path: str) -> int:
        """Send one request, and return the status of its answer; 0 if there is none."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(HOST, adapter("samples").EGRESS)
                head = f"POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAttempt-Id: {path}\r\n"
                writer.write(f"{head}Deadline-Ms: {BUDGET_MILLISECONDS}\r\nContent-Length: 0\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0


class Play(NamedTuple):
    """What happened to the server's sidecar during calls of one form."""

    alive: bool
    # The peak of resident memory and unread bytes together, at one moment.
    peak_mb: float
    # The statuses of the faulty server's calls.
    statuses: list[int]
    # Whether an ordinary request was answered afterwards, and the longest time of one meanwhile, which isn't checked.
    answered: bool
    slowest_seconds: float


async def play(deployment: FaultyServerDeployment, paths: Iterable[str]) -> Play:
    """Call all paths at the same time, and observe the sidecar."""
    process = deployment.processes["sidecar"]
    calls = asyncio.gather(*(deployment.call(path) for path in paths))
    ordinary = asyncio.ensure_future(slowest_ordinary_request(deployment, until=calls))
    peak_mb = 0.0
    while not calls.done() and process.returncode is None:
        await asyncio.sleep(SAMPLE_SECONDS)
        if (usage := usage_of(process.pid, HOST)) is not None:
            peak_mb = max(peak_mb, usage.resident_mb + usage.unread_mb)
    statuses = await calls
    answered = process.returncode is None and await deployment.answers()
    return Play(process.returncode is None, peak_mb, statuses, answered, await ordinary)


async def slowest_ordinary_request(deployment: FaultyServerDeployment, *, until: asyncio.Future) -> float:
    """Send ordinary requests one after the other, and return the longest time of one in seconds."""
    loop = asyncio.get_running_loop()
    slowest = 0.0
    while not until.done():
        began = loop.time()
        await deployment.answers()
        slowest = max(slowest, loop.time() - began)
        await asyncio.sleep(SAMPLE_SECONDS)
    return slowest


async def plays(*, at_once: int, forms: Iterable[str]) -> dict[str, Play]:
    """Play forms one after the other, each with both statuses."""
    found: dict[str, Play] = {}
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-endless-") as folder:
        deployment = FaultyServerDeployment(Path(folder))
        try:
            await deployment.start()
            for form in forms:
                for number, status in enumerate(STATUSES):
                    path = f"/crowd/{number}/{FORMS.index(form)}"
                    name = f"{form}, {status}, {at_once} at once"
                    found[name] = await play(deployment, [path] * at_once)
                    print(name, found[name])
                    if not found[name].alive:
                        # The process ended itself; the platform would start it again.
                        return found
        finally:
            await deployment.end()
    return found


class EndlessAnswers(TestCase):
    """Guards against servers that fill or occupy their sidecar by sending without end (issue 64)."""

    def check(self, *, at_once: int, forms: Iterable[str] = FORMS) -> None:
        for name, found in asyncio.run(plays(at_once=at_once, forms=forms)).items():
            self.assertThat(found.alive, Equals(True), name)
            self.assertThat(found.peak_mb, LessThan(MEMORY_MB), name)
            self.assertThat(found.answered, Equals(True), name)
            # The complete answer that is followed by more may be passed on; nothing else is an answer of the server.
            allowed = {200, 500, 502, 504} if "complete answer" in name else {502, 504}
            self.assertThat(set(found.statuses) - allowed, Equals(set()), f"{name}: {found.statuses}")

    def test_one_call_at_a_time_of_every_form(self) -> None:
        self.check(at_once=1)

    def test_several_calls_at_once_of_every_form(self) -> None:
        self.check(at_once=6)
