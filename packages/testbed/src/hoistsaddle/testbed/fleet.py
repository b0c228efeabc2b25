"""Complete deployments on one machine: writes settings, starts processes, and ends them again."""

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
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from hoistsaddle.cli.caller import call_first_available
from hoistsaddle.testbed.deployments import Deployment, to_toml
from hoistsaddle.testbed.history import History
from hoistsaddle.testbed.process_names import proxy_name, registry_name, store_name
from hoistsaddle.testbed.stub_servers import StubServer

HOST = "127.0.0.1"
AUTHOR = ("ada", "token-of-ada")
SIGNER = ("ben", "token-of-ben")
# Below the range of ephemeral ports.
FIRST_PORT, LAST_PORT = 11000, 32000
LAUNCH_POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 30
# At the end of a run, processes that take longer to stop are killed.
END_TIMEOUT_SECONDS = 8

# The subcommands of releases from before the packages were renamed, and the package that contained them.
FORMER_SUBCOMMANDS = {"store": "warehouse", "registry": "bourse", "proxy": "stall"}
FORMER_CLI = "kiosk"


def _command_of(*, release: Path, program: str) -> tuple[str, str]:
    """The module and subcommand that start a program in a checkout of an older release."""
    if (release / "packages" / FORMER_CLI).is_dir():
        return f"hoistsaddle.{FORMER_CLI}", FORMER_SUBCOMMANDS[program]
    return "hoistsaddle.cli", program


def free_ports(count: int) -> list[int]:
    """Ports that are free now; all are bound at the same time, so that none is returned twice.

    They lie below the range of ephemeral ports: within that range, an outgoing connection could take the port of a
    killed process before it restarts.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            reserved = socket.socket()
            try:
                reserved.bind((HOST, random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)))
            except OSError:
                reserved.close()
                continue
            sockets.append(reserved)
        return [reserved.getsockname()[1] for reserved in sockets]
    finally:
        for reserved in sockets:
            reserved.close()


class Fleet:
    """One deployment on real processes, with stub servers beside its proxies.

    Attributes:
        history: the events that the stub servers and clients record.
        processes: the newest process of each name.
        programs: which program each process runs: store, registry or proxy.
        core: the settings of the core machines by replica.
        proxies: settings, service and server address of each proxy.
        former: names of the processes that run the former release from their next start on.
        operator_addresses: the registries' addresses for operators' calls.
    """

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
        """Writes the settings of all processes; starts none of them.

        Args:
            deployment: the machines, services and load to run.
            folder: holds settings, logs and data.
            seed: the seed of random choices.
            store_settings: additional settings of the stores.
            faults: whether connections can be cut.
            former: whether all processes begin at release level 1.
            older: a checkout of the former release, whose code all processes run at first.
        """
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
        self._write_all_settings()
        self.former: set[str] = set()
        for name in self.programs if former or older else ():
            self.set_former(name, former=True)

    def _write_all_settings(self) -> None:
        deployment = self.deployment
        count = deployment.core * 3 + len(deployment.services) * 4
        ports = iter(f"{HOST}:{port}" for port in free_ports(count))
        self.folder.mkdir(parents=True, exist_ok=True)
        core: list[dict[str, Any]] = [
            {"replica": replica, "warehouse": next(ports), "bourse": next(ports)}
            for replica in range(1, deployment.core + 1)
        ]
        self.operator_addresses = tuple(next(ports) for _ in core)
        self.core = {machine["replica"]: machine for machine in core}
        self.programs: dict[str, str] = {}
        self.process_by_address: dict[str, str] = {}
        for index, machine in enumerate(core):
            replica = machine["replica"]
            zone = deployment.zones[index % len(deployment.zones)]
            self._add_process(
                "store",
                store_name(replica),
                {
                    "replica": replica,
                    "zone": zone,
                    "listen": machine["warehouse"],
                    "data_folder": str(self.folder / f"data-{replica}"),
                    **self.store_settings,
                    "core": core,
                },
            )
            self._add_process(
                "registry",
                registry_name(replica),
                {
                    "replica": replica,
                    "zone": zone,
                    "listen": machine["bourse"],
                    "operators": self.operator_addresses[index],
                    "core": core,
                },
            )
        seeds = [machine["bourse"] for machine in core[:3]]
        self.proxies: dict[str, dict] = {}
        for index, service in enumerate(deployment.services):
            name = proxy_name(index + 1)
            proxy = {
                "name": name,
                "zone": deployment.zone_of(index),
                "listen": next(ports),
                "visitors": next(ports),
                "inner": next(ports),
                "seeds": seeds,
            }
            self.proxies[name] = {**proxy, "service": service, "server": next(ports)}
            self._add_process("proxy", name, proxy)

    def _add_process(self, program: str, name: str, values: dict) -> None:
        self.programs[name] = program
        self.process_by_address[values["listen"]] = name
        if self.faults:
            values = {"line_faults": str(self.folder / f"{name}.faults.json"), **values}
        self.settings[name] = values
        (self.folder / f"{name}.toml").write_text(to_toml(values))

    def set_former(self, name: str, *, former: bool) -> None:
        """Sets which release the process runs from its next start on."""
        (self.former.add if former else self.former.discard)(name)
        # Older code may not know the setting, and doesn't need it.
        level_limit = {"release_level": 1} if former and self.older is None else {}
        (self.folder / f"{name}.toml").write_text(to_toml({**level_limit, **self.settings[name]}))

    def client_addresses(self) -> list[str]:
        """The proxies' addresses for clients' requests."""
        return [proxy["visitors"] for proxy in self.proxies.values()]

    # -- processes ---------------------------------------------------------------------------------------------------

    async def launch(self, name: str) -> None:
        """Starts a process with its settings; its output goes to a log in the folder."""
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        module, subcommand = "hoistsaddle.cli", self.programs[name]
        if name in self.former and self.older is not None:
            environment["PYTHONPATH"] = ":".join(str(path) for path in sorted(self.older.glob("packages/*/src")))
            module, subcommand = _command_of(release=self.older, program=self.programs[name])
        # Each process has its own session: an interrupt at the terminal reaches only this one, which ends the others in
        # order.
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
        """Kills processes by SIGKILL, all at once."""
        for name in names:
            if self.processes[name].returncode is None:
                self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            await self.processes[name].wait()

    def freeze(self, *names: str) -> None:
        """Stops processes by SIGSTOP until `wake`."""
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)

    def wake(self, *names: str) -> None:
        """Continues frozen processes by SIGCONT."""
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)

    def cut_one_way(self, one_side: list[str], other_side: list[str]) -> None:
        """Drops all calls and answers from the first side to the second."""
        address = {name: listen for listen, name in self.process_by_address.items()}
        self._write_faults(one_side, calls_to=[address[name] for name in other_side])
        self._write_faults(other_side, answers_from=[address[name] for name in one_side])

    def cut(self, one_side: list[str], other_side: list[str]) -> None:
        """Drops all calls and answers between two sides."""
        address = {name: listen for listen, name in self.process_by_address.items()}
        for names, others in ((one_side, other_side), (other_side, one_side)):
            addresses = [address[name] for name in others]
            self._write_faults(names, calls_to=addresses, answers_from=addresses)

    def _write_faults(self, names: list[str], **faults: list[str]) -> None:
        for name in names:
            path = self.folder / f"{name}.faults.json"
            # Renamed into place, so that a process reads the old or the new file, never a partial one.
            partial = path.with_suffix(".part")
            partial.write_bytes(msgspec.json.encode(faults))
            partial.rename(path)

    def heal(self) -> None:
        """Ends all cuts."""
        for path in self.folder.glob("*.faults.json"):
            path.unlink()

    def stall_disk(self, replica: int) -> sqlite3.Connection:
        """Locks the log's database: the store's syncs block until the returned connection is closed."""
        lock = sqlite3.connect(self.folder / f"data-{replica}" / "ledger.sqlite3", isolation_level=None)
        lock.execute("BEGIN IMMEDIATE")
        return lock

    def fill_disk(self, name: str) -> None:
        """Sets the file size limit of the process to 0, so that its writes fail as on a full disk."""
        _, hard = resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (0, hard))

    def free_disk(self, name: str) -> None:
        """Lifts the limit that `fill_disk` set."""
        _, hard = resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (hard, hard))

    async def stop_process(self, name: str) -> int:
        """Stops a process by SIGTERM; returns the exit code, -9 if the process had to be killed."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            process.kill()
            await process.wait()
            return -9

    def wipe(self, replica: int) -> None:
        """Removes all data of a replica."""
        shutil.rmtree(self.folder / f"data-{replica}", ignore_errors=True)

    # -- the whole deployment ----------------------------------------------------------------------------------------

    async def start(self, *, bundle: bool = True) -> None:
        """Starts all processes and servers, bootstraps the mesh, and rolls out the first bundle if `bundle` is set."""
        await asyncio.gather(*(self.launch(name) for name in self.programs))
        await self.bootstrap()
        for name, proxy in self.proxies.items():
            await self.start_server(name, proxy["service"])
        if bundle:
            _, configuration = await self.operate("GET", "/setup")
            # With the data of an earlier run, the bundle of that run stays in force.
            if not configuration["in_force"]:
                await self.roll_out(self.deployment.first_bundle())
            await self.wait_until(self.all_ready, seconds=20, description="every proxy is ready")

    async def start_server(self, name: str, service: str) -> StubServer:
        """Starts a stub server of a service beside a proxy."""
        proxy = self.proxies[name]
        server = StubServer(
            service=service,
            address=proxy["server"],
            nested_address=proxy["inner"],
            deployment=self.deployment,
            history=self.history,
            proxy=name,
        )
        await server.start()
        self.stub_servers[name] = server
        return server

    async def bootstrap(self) -> None:
        """Bootstraps the mesh unless that was done before, and waits for a leader."""

        async def is_bootstrapped() -> bool:
            digests = {name: token_digest(token) for name, token in (AUTHOR, SIGNER)}
            status, answer = await self.operate("POST", "/found", {"operators": digests})
            return status == 200 or (
                isinstance(answer, dict) and answer.get("refused", {}).get("kind") == "already-founded"
            )

        await self.wait_until(is_bootstrapped, seconds=30, description="bootstrap")

        async def has_leader() -> bool:
            status, _ = await self.operate("GET", "/setup")
            return status == 200

        await self.wait_until(has_leader, seconds=20, description="a leader")

    async def operate(
        self,
        method: str,
        path: str,
        body: dict | str | None = None,
        *,
        token: str = "",
        seconds: float = 10,
        addresses: tuple[str, ...] | None = None,
    ) -> tuple[int, dict]:
        """Sends an operator's call to the first registry that answers; returns the HTTP status and the answer."""
        data = body.encode() if isinstance(body, str) else msgspec.json.encode(body) if body is not None else b""
        return await call_first_available(
            endpoints=addresses or self.operator_addresses,
            method=method,
            path=path,
            token=token,
            body=data,
            seconds=seconds,
        )

    async def roll_out(self, text: str) -> list[dict]:
        """Submits, signs and advances a bundle through every stage; returns the answer of each stage."""
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
        """The readiness state of each proxy; None for a proxy that doesn't answer."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:

            async def read_state(address: str) -> dict | None:
                try:
                    async with session.get(f"http://{address}/hoistsaddle/ready") as response:
                        return await response.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    return None

            states = await asyncio.gather(*(read_state(proxy["visitors"]) for proxy in self.proxies.values()))
        return dict(zip(self.proxies, states, strict=True))

    async def all_ready(self) -> bool:
        """Whether all proxies and servers are ready and registered."""
        states = await self.ready_states()
        return (
            all(state is not None and state["ready"] and state["server"] == "ready" for state in states.values())
            and await self.servers_registered()
        )

    async def servers_registered(self) -> bool:
        """Whether the configuration has every server with its present instance and state."""
        status, configuration = await self.operate("GET", "/setup")
        if status != 200:
            return False
        registered = {server["stall"]: server for server in configuration["servers"]}
        return all(
            name in registered
            and registered[name]["instance"] == server.instance
            and registered[name]["state"] == server.state
            for name, server in self.stub_servers.items()
        )

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], *, seconds: float, description: str) -> float:
        """Waits until a condition holds; returns how many seconds that took.

        Raises:
            AssertionError: the condition doesn't hold in time.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not await condition():
            if loop.time() - began > seconds:
                raise AssertionError(f"{description}: not within {seconds} s")
            await asyncio.sleep(LAUNCH_POLL_SECONDS)
        return loop.time() - began

    async def stop(self) -> None:
        """Stops all servers and processes."""
        for server in self.stub_servers.values():
            await server.stop()
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        # Proxies first finish their requests in flight; processes that hang are killed, so that none is left running.
        waits = [asyncio.wait_for(process.wait(), END_TIMEOUT_SECONDS) for process in self.processes.values()]
        await asyncio.gather(*waits, return_exceptions=True)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.stop()


def token_digest(token: str) -> str:
    """The digest of an operator's token, as the mesh stores it."""
    return hashlib.sha256(token.encode()).hexdigest()
