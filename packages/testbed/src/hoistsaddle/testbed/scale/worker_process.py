"""A worker process of a scale run, controlled by the run."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import msgspec

from hoistsaddle.testbed.scale.errors import RunAborted
from hoistsaddle.testbed.scale.worker_messages import Job, Snapshot

# The longest line that a worker writes, in bytes.
LINE_LIMIT = 2**24
STOP_TIMEOUT_SECONDS = 10


class WorkerProcess:
    """Starts one worker, sends it one command at a time, and ends it."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.command_lock = asyncio.Lock()
        self.child: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits for its first answer."""
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hoistsaddle.testbed.scale.worker",
            str(self.job.stretch),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
        self.child.stdin.write(msgspec.json.encode(self.job) + b"\n")
        await self._answer()

    async def _answer(self) -> dict:
        line = await self.child.stdout.readline()
        if not line:
            raise RunAborted(f"a {self.job.kind} process ended unexpectedly")
        answer = msgspec.json.decode(line)
        if "problem" in answer:
            raise RunAborted(f"a {self.job.kind} process failed: {answer['problem']}")
        return answer

    async def do(self, command: str, **arguments: Any) -> dict:
        """Sends the worker a command and returns its answer.

        Raises:
            RunAborted: the worker has ended, or the command failed.
        """
        async with self.command_lock:
            self.child.stdin.write(msgspec.json.encode({"do": command, **arguments}) + b"\n")
            return await self._answer()

    async def snapshot(self) -> Snapshot:
        """Resource usage and counters of the worker so far."""
        return msgspec.convert(await self.do("snapshot"), Snapshot)

    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.returncode is None

    def resident_bytes(self) -> int:
        """The resident memory of the process; 0 if it isn't running."""
        if self.child is None:
            return 0
        try:
            statm = Path(f"/proc/{self.child.pid}/statm").read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def end(self) -> None:
        """Stops the worker, and kills it if it doesn't stop in time."""
        if self.child is None:
            return
        if self.is_running():
            try:
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await self.do("stop")
            except (TimeoutError, RunAborted, OSError):
                pass
        if self.is_running():
            try:
                self.child.kill()
            except ProcessLookupError:
                pass
        await self.child.wait()

    async def kill(self) -> None:
        """Kills the worker."""
        self.child.kill()
        await self.child.wait()
