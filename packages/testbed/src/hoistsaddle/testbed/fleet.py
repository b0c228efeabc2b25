"""Whole deployments on one machine: settings written, processes started, and everything ended again."""

import asyncio
import hashlib
import os
import random
import resource
import shutil
import signal
import socket
import sqlite3
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from hoistsaddle.cli.caller import call_first_available
from hoistsaddle.testbed.deployments import Deployment, to_toml
from hoistsaddle.testbed.history import History
from hoistsaddle.testbed.stub_servers import StubServer

HOST = "127.0.0.1"
AUTHOR = ("ada", "token-of-ada")
SIGNER = ("ben", "token-of-ben")


# Subcommands as releases before the packages' renaming called them, and the package that held them.
FORMER_SUBCOMMANDS = {"store": "warehouse", "registry": "bourse", "proxy": "stall"}
FORMER_CLI = "kiosk"


def _program_of(*, release: Path, kind: str) -> tuple[str, str]:
    """The module and subcommand that start a program of this kind in a checkout of an older release."""
    if (release / "packages" / FORMER_CLI).is_dir():
        return f"hoistsaddle.{FORMER_CLI}", FORMER_SUBCOMMANDS[kind]
    return "hoistsaddle.cli", kind


def free_ports(count: int) -> list[int]:
    """Ports that are free now, held open together so that none comes twice.

    They lie below the range that the system gives to outgoing connections: there, a killed process could find its port
    taken by somebody's connection when it comes back.
    """
    holders: list[socket.socket] = []
    try:
        while len(holders) < count:
            holder = socket.socket()
            try:
                holder.bind((HOST, random.SystemRandom().randrange(11000, 32000)))
            except OSError:
                holder.close()
                continue
            holders.append(holder)
        return [holder.getsockname()[1] for holder in holders]
    finally:
        for holder in holders:
            holder.close()


class Fleet:
    def __init__(
        self,
        *,
        deployment: Deployment,
        folder: Path,
        seed: int = 1,
        store_settings: dict | None = None,
        faults: bool = False,
        former: bool = False,
        older: Path | None = None,
    ) -> None:
        """With faults, lines can be cut. With former, all begin at release level 1, or as the older release's code."""
        self.deployment = deployment
        self.folder = folder
        self.random = random.Random(seed)
        self.history = History()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.stub_servers: dict[str, StubServer] = {}
        self.store_settings = store_settings or {}
        self.faults = faults
        self.older = older
        self.settings: dict[str, dict] = {}
        self._lay_out()
        # Processes that run as the former release.
        self.former: set[str] = set()
        for name in self.kinds if former or older else ():
            self.set_former(name, former=True)

    def _lay_out(self) -> None:
        deployment = self.deployment
        count = deployment.core * 3 + len(deployment.services) * 4
        ports = iter(f"{HOST}:{port}" for port in free_ports(count))
        self.folder.mkdir(parents=True, exist_ok=True)
        core: list[dict[str, Any]] = [
            {"replica": place + 1, "warehouse": next(ports), "bourse": next(ports)} for place in range(deployment.core)
        ]
        self.doors = tuple(next(ports) for _ in core)
        self.core = {machine["replica"]: machine for machine in core}
        self.kinds: dict[str, str] = {}
        # Mesh address to process.
        self.listens: dict[str, str] = {}
        for place, machine in enumerate(core):
            replica = machine["replica"]
            zone = deployment.zones[place % len(deployment.zones)]
            self._settings(
                "store",
                f"warehouse-{replica}",
                {
                    "replica": replica,
                    "zone": zone,
                    "listen": machine["warehouse"],
                    "data_folder": str(self.folder / f"data-{replica}"),
                    **self.store_settings,
                    "core": core,
                },
            )
            self._settings(
                "registry",
                f"bourse-{replica}",
                {
                    "replica": replica,
                    "zone": zone,
                    "listen": machine["bourse"],
                    "operators": self.doors[place],
                    "core": core,
                },
            )
        seeds = [machine["bourse"] for machine in core[:3]]
        self.proxies: dict[str, dict] = {}
        for place, service in enumerate(deployment.services):
            name = f"stall-{place + 1:02d}"
            proxy = {
                "name": name,
                "zone": deployment.zone_of(place),
                "listen": next(ports),
                "visitors": next(ports),
                "inner": next(ports),
                "seeds": seeds,
            }
            self.proxies[name] = {**proxy, "service": service, "server": next(ports)}
            self._settings("proxy", name, proxy)

    def _settings(self, kind: str, name: str, values: dict) -> None:
        self.kinds[name] = kind
        self.listens[values["listen"]] = name
        if self.faults:
            values = {"line_faults": str(self.folder / f"{name}.faults.json"), **values}
        self.settings[name] = values
        (self.folder / f"{name}.toml").write_text(to_toml(values))

    def set_former(self, name: str, *, former: bool) -> None:
        """As which release the process runs from its next start on."""
        (self.former.add if former else self.former.discard)(name)
        # The older code may not know the setting; it needs none.
        capped = {"release_level": 1} if former and self.older is None else {}
        (self.folder / f"{name}.toml").write_text(to_toml({**capped, **self.settings[name]}))

    def client_addresses(self) -> list[str]:
        return [proxy["visitors"] for proxy in self.proxies.values()]

    # -- processes ---------------------------------------------------------------------------------------------------

    async def launch(self, name: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        module, subcommand = "hoistsaddle.cli", self.kinds[name]
        if name in self.former and self.older is not None:
            environment["PYTHONPATH"] = ":".join(str(path) for path in sorted(self.older.glob("packages/*/src")))
            module, subcommand = _program_of(release=self.older, kind=self.kinds[name])
        # A session of its own: an interrupt at the terminal reaches the runner first, which ends its own in order.
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            subcommand,
            "--settings",
            str(self.folder / f"{name}.toml"),
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            start_new_session=True,
            env=environment,
        )
        log.close()

    async def kill(self, *names: str) -> None:
        """Kill -9, all in one go."""
        for name in names:
            if self.processes[name].returncode is None:
                self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            await self.processes[name].wait()

    def freeze(self, *names: str) -> None:
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)

    def wake(self, *names: str) -> None:
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)

    def cut_one_way(self, one_side: list[str], other_side: list[str]) -> None:
        """From now on nothing that the one side says reaches the other, on calls and on answers alike."""
        address = {name: listen for listen, name in self.listens.items()}
        self._write_faults(one_side, calls_to=[address[name] for name in other_side])
        self._write_faults(other_side, answers_from=[address[name] for name in one_side])

    def cut(self, one_side: list[str], other_side: list[str]) -> None:
        address = {name: listen for listen, name in self.listens.items()}
        for mine, others in ((one_side, other_side), (other_side, one_side)):
            addresses = [address[name] for name in others]
            self._write_faults(mine, calls_to=addresses, answers_from=addresses)

    def _write_faults(self, names: list[str], **faults: list[str]) -> None:
        for name in names:
            path = self.folder / f"{name}.faults.json"
            # Renamed into place: a daemon that looks in between sees the old or the new, never half.
            part = path.with_suffix(".part")
            part.write_bytes(msgspec.json.encode(faults))
            part.rename(path)

    def heal(self) -> None:
        for path in self.folder.glob("*.faults.json"):
            path.unlink()

    def stall_disk(self, replica: int) -> sqlite3.Connection:
        """Another writer sits on the ledger's file: the store's syncs wait until this connection is closed."""
        held = sqlite3.connect(self.folder / f"data-{replica}" / "ledger.sqlite3", isolation_level=None)
        held.execute("BEGIN IMMEDIATE")
        return held

    def fill_disk(self, name: str) -> None:
        """From now on no file of the process may grow or be written, as on a full disk."""
        _, hard = resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (0, hard))

    def free_disk(self, name: str) -> None:
        _, hard = resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (hard, hard))

    async def stop_process(self, name: str) -> int:
        """A planned stop: asks, and waits until it is gone."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(process.wait(), 30)
        except TimeoutError:
            process.kill()
            await process.wait()
            return -9

    def wipe(self, replica: int) -> None:
        shutil.rmtree(self.folder / f"data-{replica}", ignore_errors=True)

    # -- the whole ---------------------------------------------------------------------------------------------------

    async def start(self, *, bundle: bool = True) -> None:
        await asyncio.gather(*(self.launch(name) for name in self.kinds))
        await self.found()
        for name, proxy in self.proxies.items():
            await self.start_server(name, proxy["service"])
        if bundle:
            _, setup = await self.operate("GET", "/setup")
            # A folder of an earlier run goes on with what it agreed.
            if not setup["in_force"]:
                await self.roll_out(self.deployment.first_bundle())
            await self.until(self.all_ready, seconds=20, what="every proxy is ready")

    async def start_server(self, name: str, service: str) -> StubServer:
        proxy = self.proxies[name]
        server = StubServer(
            service=service,
            address=proxy["server"],
            inner_door=proxy["inner"],
            deployment=self.deployment,
            history=self.history,
            proxy=name,
        )
        await server.start()
        self.stub_servers[name] = server
        return server

    async def found(self) -> None:
        async def founded() -> bool:
            digests = {name: token_digest(token) for name, token in (AUTHOR, SIGNER)}
            status, answer = await self.operate("POST", "/found", {"operators": digests})
            return status == 200 or (
                isinstance(answer, dict) and answer.get("refused", {}).get("kind") == "already-founded"
            )

        await self.until(founded, seconds=30, what="founding")

        async def led() -> bool:
            status, _ = await self.operate("GET", "/setup")
            return status == 200

        await self.until(led, seconds=20, what="a leader")

    async def operate(
        self,
        method: str,
        path: str,
        body: dict | str | None = None,
        *,
        token: str = "",
        seconds: float = 10,
        doors: tuple[str, ...] | None = None,
    ) -> tuple[int, dict]:
        data = body.encode() if isinstance(body, str) else msgspec.json.encode(body) if body is not None else b""
        return await call_first_available(
            endpoints=doors or self.doors, method=method, path=path, token=token, body=data, seconds=seconds
        )

    async def roll_out(self, text: str) -> list[dict]:
        """Submits, signs and advances a bundle through every stage; gives each stage's answer."""
        status, answer = await self.operate("POST", "/bundles", text, token=AUTHOR[1])
        if status != 200:
            raise AssertionError(f"submit: {answer}")
        number, digest = answer["submitted"]["number"], answer["submitted"]["digest"]
        status, answer = await self.operate("POST", f"/bundles/{number}/sign", {"digest": digest}, token=SIGNER[1])
        answers = [answer]
        while status == 200 and answer["stage"] < answer["stages"]:
            status, answer = await self.operate(
                "POST", f"/bundles/{number}/advance", {"from_stage": answer["stage"]}, token=SIGNER[1]
            )
            answers.append(answer)
        if status != 200:
            raise AssertionError(f"roll-out: {answer}")
        return answers

    async def ready_states(self) -> dict[str, dict | None]:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:

            async def one(address: str) -> dict | None:
                try:
                    async with session.get(f"http://{address}/hoistsaddle/ready") as response:
                        return await response.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    return None

            found = await asyncio.gather(*(one(proxy["visitors"]) for proxy in self.proxies.values()))
        return dict(zip(self.proxies, found, strict=True))

    async def all_ready(self) -> bool:
        states = await self.ready_states()
        return (
            all(state is not None and state["ready"] and state["server"] == "ready" for state in states.values())
            and await self._servers_noted()
        )

    async def _servers_noted(self) -> bool:
        status, setup = await self.operate("GET", "/setup")
        if status != 200:
            return False
        noted = {server["stall"]: server for server in setup["servers"]}
        return all(
            name in noted and noted[name]["instance"] == server.instance and noted[name]["state"] == server.state
            for name, server in self.stub_servers.items()
        )

    async def until(self, ready, *, seconds: float, what: str) -> float:
        """Asks again and again until it holds; gives how long that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not await ready():
            if loop.time() - began > seconds:
                raise AssertionError(f"{what}: not within {seconds} s")
            await asyncio.sleep(0.05)
        return loop.time() - began

    async def stop(self) -> None:
        for server in self.stub_servers.values():
            await server.stop()
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        # Proxies first finish what is mid-answer; whoever hangs is killed, so that nothing is left behind.
        waits = [asyncio.wait_for(process.wait(), 8) for process in self.processes.values()]
        await asyncio.gather(*waits, return_exceptions=True)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *problem) -> None:
        await self.stop()


def token_digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
