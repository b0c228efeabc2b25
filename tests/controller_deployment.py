"""Controllers and sidecars as processes on loopback, with the sidecars' servers in the test's process."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from aiohttp import web

# Ends a run that hangs; long, because processes may be slow on a busy machine.
MAX_SECONDS = 90.0


def free_ports(count: int, *, host: str = "127.0.0.1") -> list[int]:
    """Ports that are free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Deployment:
    """Three controllers on their own loopback addresses, and sidecars, each with a server in this process."""

    hosts = ("127.0.77.1", "127.0.77.2", "127.0.77.3")

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports = free_ports(3)
        self.runs: list[str] = []

    async def launch(self, name: str, kind: str, settings: dict[str, Any]) -> None:
        """Writes a settings file and starts a process of this subcommand, with its log in the same folder."""
        path = self.folder / f"{name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "hoistsaddle.cli", kind, str(path), stdout=log, stderr=log
            )

    async def start_controller(self, index: int, *, cold: bool) -> None:
        """Starts the controller with this index in `hosts`; with `cold` it may bootstrap the mesh."""
        registry, store, operators = self.ports
        await self.launch(
            f"market-{index}",
            "market",
            {
                "host": self.hosts[index],
                "zone": "a",
                "data_folder": str(self.folder / f"data-{index}"),
                "seeds": list(self.hosts),
                "cold_start": cold,
                "bourse_port": registry,
                "warehouse_port": store,
                "operators_port": operators,
                "standing_sign_off": "ben",
            },
        )

    async def start_sidecar(self, number: int) -> tuple[str, str, str]:
        """Starts a sidecar; returns the addresses of its ingress, its admin listener and its server."""
        listen, ingress, admin, server = (f"127.0.0.1:{port}" for port in free_ports(4))
        await self.launch(
            f"stall-{number}",
            "broker",
            {
                "name": f"stall-{number}",
                "zone": "a",
                "listen": listen,
                "door": ingress,
                "vitals_door": admin,
                "ready_door": admin,
                "seeds": [f"{host}:{self.ports[0]}" for host in self.hosts],
                "service": "ledger",
                "server": server,
                "grace_seconds": 3,
            },
        )
        return ingress, admin, server

    def operator_addresses(self) -> list[str]:
        return [f"{host}:{self.ports[2]}" for host in self.hosts]

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Runs an operator command; returns its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hoistsaddle.cli", *arguments,
            env={**os.environ, "HOISTSADDLE_DOORS": " ".join(self.operator_addresses())},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def serve(self, address: str) -> web.ServerRunner:
        """Starts a server that returns the id of each request with its answer, as the mesh requires."""

        async def handle(request: web.BaseRequest) -> web.Response:
            self.runs.append(f"{request.method} {request.path}")
            name = "X-Hoistsaddle-Send"
            return web.Response(text=f"run {len(self.runs)}", headers={name: request.headers.get(name, "")})

        runner = web.ServerRunner(web.Server(handle, access_log=None), handle_signals=False)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        return runner

    async def stop(self) -> dict[str, int]:
        """Stops every process; returns the exit codes by name."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        codes = {}
        for name, process in self.processes.items():
            try:
                codes[name] = await asyncio.wait_for(process.wait(), MAX_SECONDS)
            except TimeoutError:
                process.kill()
                codes[name] = await process.wait()
        return codes


async def until(work: Any, *, seconds: float = MAX_SECONDS) -> Any:
    """Polls `work` until its result is truthy, because another process offers no event to wait for."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while True:
        result = await work()
        if result:
            return result
        if loop.time() > deadline:
            raise AssertionError(f"condition not met within {seconds} s")
        await asyncio.sleep(0.1)
