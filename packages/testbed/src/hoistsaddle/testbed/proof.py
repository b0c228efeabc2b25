"""The main proof on real processes: a deployment under load, with a sequence of faults and changes."""

import asyncio
import random
from collections.abc import Callable

import aiohttp

from hoistsaddle.config.bundle import digest_of
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.testbed.deployments import RequestKind
from hoistsaddle.testbed.fleet import AUTHOR, SIGNER, Fleet, token_digest
from hoistsaddle.testbed.history import (
    BundleAccepted,
    BundleApplied,
    BundleSubmitted,
    BundleWritten,
    ConfigurationExpected,
    ExpectationChecked,
    PlannedInterruption,
    ServerStateChanged,
    ServiceRecovered,
    configuration_read_of,
)
from hoistsaddle.testbed.load import Load
from hoistsaddle.testbed.process_names import registry_name, replica_of, store_name

LineWriter = Callable[[str], None]
# How long a proxy of the former release, which must not serve, is watched.
FORMER_PROXY_SECONDS = 4
OBSERVE_INTERVAL_SECONDS = 0.1


class Proof:
    """Injects faults and changes one after the other, and records the events that the checkers need.

    Attributes:
        number: the bundle in force.
    """

    def __init__(self, *, fleet: Fleet, load: Load, write_line: LineWriter) -> None:
        self.fleet = fleet
        self.load = load
        self.history = fleet.history
        self.write_line = write_line
        self.number = 1

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def observe(self) -> None:
        """Records continuously which bundle each ready proxy has in force."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:

            async def read_ready(name: str, address: str) -> None:
                asked = self._now()
                try:
                    async with session.get(f"http://{address}/hoistsaddle/ready") as response:
                        state = await response.json()
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                    return
                # Dated with the time of the request: the state in the answer was read then or later.
                if state["ready"]:
                    self.history.add(BundleApplied(asked, name, state["bundle"], state["life"]))

            while True:
                await asyncio.gather(
                    *(read_ready(name, proxy["visitors"]) for name, proxy in self.fleet.proxies.items())
                )
                await asyncio.sleep(OBSERVE_INTERVAL_SECONDS)

    def next_bundle(self, note: str) -> str:
        """The text of the bundle after the one in force."""
        return self.fleet.deployment.next_bundle(number=self.number + 1, based_on=self.number, note=note)

    async def change_bundle(self) -> None:
        """Submits a broken bundle, then two at once, one of which is accepted and rolled out in stages."""
        broken = self.next_bundle("broken").replace('callers = ["visitors"]', 'callers = ["anybody"]')
        status, answer = await self.fleet.operate("POST", "/bundles", broken, token=AUTHOR[1])
        self.history.add(
            BundleSubmitted(self._now(), self.number + 1, True, "" if status == 200 else answer["refused"]["kind"])
        )
        detail, signer, refusal = await self._submit_two_at_once()
        number, stage, stages = detail["number"], 0, 1
        while stage < stages:
            path, body = (
                (f"/bundles/{number}/sign", {"digest": detail["digest"]})
                if stage == 0
                else (f"/bundles/{number}/advance", {"from_stage": stage})
            )
            status, answer = await self.fleet.operate("POST", path, body, token=signer[1])
            if status != 200:
                raise AssertionError(f"{path}: {answer}")
            stage, stages = answer["stage"], answer["stages"]
            self.history.add(
                BundleAccepted(self._now(), answer["revision"], number, tuple(answer["machines"]), stage == stages)
            )
            self.write_line(
                f"bundle {number}: stage {stage} of {stages} ({answer['name']}) in force on "
                f"{len(answer['machines'])} proxies after {answer['seconds']} s; the other operator "
                f"was rejected: {refusal}"
            )
        self.number = number

    async def _submit_two_at_once(self) -> tuple[dict, tuple[str, str], str]:
        """Two operators submit at once; returns the accepted bundle, its signer, and the other's error kind."""
        one, two = self.next_bundle("one operator"), self.next_bundle("other operator")
        results = await asyncio.gather(
            *(
                self.fleet.operate("POST", "/bundles", text, token=token)
                for text, token in ((one, AUTHOR[1]), (two, SIGNER[1]))
            )
        )
        accepted = [
            (answer["submitted"], signer)
            for (status, answer), signer in zip(results, (SIGNER, AUTHOR), strict=True)
            if status == 200
        ]
        refusals = [answer["refused"]["kind"] for status, answer in results if status != 200]
        if len(accepted) != 1:
            raise AssertionError(
                f"two operators sent bundle {self.number + 1} at once, and {len(accepted)} were accepted: {results}"
            )
        detail, signer = accepted[0]
        text = next(each for each in (one, two) if digest_of(each) == detail["digest"])
        self.history.add(BundleWritten(self._now(), detail["number"], text))
        self.history.add(BundleSubmitted(self._now(), detail["number"], False, ""))
        return detail, signer, refusals[0]

    async def drain(self) -> str:
        """Drains the server beside a random proxy; returns the name of the proxy."""
        name = self.fleet.random.choice(list(self.fleet.proxies))
        server = self.fleet.stub_servers[name]
        status, answer = await self.fleet.operate("POST", f"/servers/{name}/drain", {"drain": True}, token=AUTHOR[1])
        if status != 200:
            raise AssertionError(f"drain: {answer}")
        self.history.add(ServerStateChanged(self._now(), server.service, server.instance, "drained"))
        self.write_line(
            f"server {server.instance} beside {name} is drained; in force everywhere after {answer['seconds']} s"
        )
        return name

    async def undrain(self, name: str) -> None:
        """Lifts the drain of the server beside a proxy."""
        server = self.fleet.stub_servers[name]
        self.history.add(ServerStateChanged(self._now(), server.service, server.instance, "ready"))
        status, answer = await self.fleet.operate("POST", f"/servers/{name}/drain", {"drain": False}, token=AUTHOR[1])
        if status != 200:
            raise AssertionError(f"undrain: {answer}")

    async def leader(self) -> int:
        """The leading replica; 0 for none."""
        _, answer = await self.fleet.operate("GET", "/core")
        return next(
            (int(replica) for replica, machine in answer["machines"].items() if machine["standing"] == "leader"), 0
        )

    async def has_rejoined(self, replica: int) -> bool:
        """Whether a replica is a voter with its present disk, and follows or leads."""
        status, configuration = await self.fleet.operate("GET", "/setup")
        _, core = await self.fleet.operate("GET", "/core")
        machine = core["machines"][str(replica)]
        voters = {voter["replica"]: voter["incarnation"] for voter in configuration["voters"]} if status == 200 else {}
        return voters.get(replica) == machine.get("incarnation") and machine["standing"] in ("follower", "leader")

    async def wipe_leader(self) -> None:
        """Kills the leading core machine, wipes its disk, and restarts it."""
        await self.fleet.wait_until(self._has_leader, seconds=20, description="a leader")
        replica = await self.leader()
        await self.fleet.kill(store_name(replica), registry_name(replica))
        self.fleet.wipe(replica)
        await asyncio.sleep(1)
        await asyncio.gather(self.fleet.launch(store_name(replica)), self.fleet.launch(registry_name(replica)))
        elapsed = await self.fleet.wait_until(
            lambda: self.has_rejoined(replica), seconds=60, description=f"replica {replica} votes again"
        )
        self.write_line(
            f"core machine {replica} led, was killed and wiped, and votes again {elapsed:.1f} s after its return"
        )

    async def _has_leader(self) -> bool:
        return await self.leader() != 0

    async def kill_proxies(self) -> None:
        """Kills a third of the proxies at once and restarts them."""
        names = self.fleet.random.sample(list(self.fleet.proxies), len(self.fleet.proxies) // 3)
        await self.fleet.kill(*names)
        await asyncio.gather(*(self.fleet.launch(name) for name in names))
        elapsed = await self.fleet.wait_until(
            self.fleet.all_ready, seconds=30, description="the killed proxies are ready"
        )
        self.write_line(f"{len(names)} proxies were killed and are ready again after {elapsed:.1f} s")

    async def freeze(self) -> None:
        """Freezes a quarter of the proxies and the leading machine, rolls out a bundle, and lets them continue."""
        await self.fleet.wait_until(self._has_leader, seconds=20, description="a leader")
        replica = await self.leader()
        proxies = self.fleet.random.sample(list(self.fleet.proxies), len(self.fleet.proxies) // 4)
        names = [store_name(replica), registry_name(replica), *proxies]
        self.fleet.freeze(*names)
        await asyncio.sleep(1)
        # The frozen registry answers no calls, so operators use the others.
        all_addresses = self.fleet.operator_addresses
        self.fleet.operator_addresses = tuple(
            address for index, address in enumerate(all_addresses) if index + 1 != replica
        )
        await self.change_bundle()
        self.fleet.operator_addresses = all_addresses
        self.fleet.wake(*names)
        elapsed = await self.fleet.wait_until(
            self.fleet.all_ready, seconds=30, description="the proxies are ready after the freeze"
        )
        self.write_line(
            f"core machine {replica}, which led, and {len(proxies)} proxies were frozen while bundle "
            f"{self.number} came into force; ready {elapsed:.1f} s after they continued"
        )

    async def restart_proxy(self) -> None:
        """Stops one proxy with SIGTERM and restarts it."""
        name = self.fleet.random.choice(list(self.fleet.proxies))
        began = self._now()
        code = await self.fleet.stop_process(name)
        self.history.add(PlannedInterruption(began, self._now(), f"planned stop of {name}"))
        await self.fleet.launch(name)
        await self.fleet.wait_until(self.fleet.all_ready, seconds=30, description=f"{name} is ready")
        self.write_line(f"{name} was stopped as planned (exit {code}) and started again")

    async def fill_leaders_disk(self) -> None:
        """Fills the leader's disk: it must resign by itself, and follow again once there is space."""
        await self.fleet.wait_until(self._has_leader, seconds=20, description="a leader")
        replica = await self.leader()
        self.fleet.fill_disk(store_name(replica))

        async def another_leads() -> bool:
            return await self.leader() not in (0, replica)

        elapsed = await self.fleet.wait_until(another_leads, seconds=30, description="another leader")
        self.fleet.free_disk(store_name(replica))
        follows_after = await self.fleet.wait_until(
            lambda: self.has_rejoined(replica), seconds=30, description=f"replica {replica} follows"
        )
        self.write_line(
            f"core machine {replica}, which led, had no space left: another leads after {elapsed:.1f} s; "
            f"it follows {follows_after:.1f} s after there was space"
        )

    async def restart_core(self) -> None:
        """Stops the leading machine with SIGTERM (its registry, then its store, which resigns) and restarts both."""
        await self.fleet.wait_until(self._has_leader, seconds=20, description="a leader")
        replica = await self.leader()
        began = self._now()
        for name in (registry_name(replica), store_name(replica)):
            await self.fleet.stop_process(name)
        await asyncio.gather(self.fleet.launch(store_name(replica)), self.fleet.launch(registry_name(replica)))
        await self.fleet.wait_until(
            lambda: self.has_rejoined(replica), seconds=30, description=f"replica {replica} follows"
        )
        self.history.add(PlannedInterruption(began, self._now(), f"planned restart of core machine {replica}"))
        self.write_line(
            f"core machine {replica}, which led, was stopped as planned, started, and follows "
            f"{self._now() - began:.1f} s after"
        )

    async def kill_everything(self) -> None:
        """Kills all processes at once and restarts them."""
        names = list(self.fleet.processes)
        await self.fleet.kill(*names)
        await asyncio.gather(*(self.fleet.launch(name) for name in names))
        began = self._now()
        await self._wait_for_service(began, "everything killed")

    async def _wait_for_service(self, began: float, description: str) -> None:
        async def until_answered(request_kind: RequestKind) -> None:
            while True:
                key = f"back-{self.fleet.random.random()}" if request_kind.once else ""
                result = await self.load.send_request(request_kind=request_kind, client="tester", key=key)
                if result.outcome == "answered":
                    return
                await asyncio.sleep(0.05)

        await asyncio.gather(*(until_answered(request_kind) for request_kind in self.fleet.deployment.request_kinds))
        self.history.add(ServiceRecovered(began, self._now(), description))
        self.write_line(f"{description}: service is back {self._now() - began:.1f} s after the processes")

    async def upgrade(self) -> None:
        """Upgrades machine by machine from the former release to the present one; at the end the level rises."""
        began = self._now()
        machines = [[registry_name(replica), store_name(replica)] for replica in self.fleet.core]
        machines += [[name] for name in self.fleet.proxies]
        self.fleet.random.shuffle(machines)
        for index, machine in enumerate(machines):
            await self._upgrade_machine(machine)
            if index == len(machines) // 2:
                await self.change_bundle()
                if self.fleet.older is None:
                    # Older code doesn't know the call; present code held at level 1 rejects it with this error kind.
                    error_kind = await self._change_operator()
                    self._expect(
                        f"newer commands are rejected until the level rises, not {error_kind!r}",
                        error_kind == "release-level",
                    )
        elapsed = await self.fleet.wait_until(self._level_has_risen, seconds=30, description="the level rises")
        self.history.add(PlannedInterruption(began, self._now(), "the upgrade"))
        error_kind = await self._change_operator()
        self._expect(f"newer commands are accepted once the level has risen, not {error_kind!r}", error_kind == "")
        await self.fleet.operate("POST", "/operators/eve/drop", token=AUTHOR[1])
        await self._start_former_proxy()
        self.write_line(
            f"{len(machines)} machines were upgraded one by one in {self._now() - began:.1f} s; "
            f"the level rose {elapsed:.1f} s after the last; a former proxy was kept out"
        )

    def _expect(self, description: str, met: bool) -> None:
        self.history.add(ExpectationChecked(self._now(), description, met))

    async def _upgrade_machine(self, machine: list[str]) -> None:
        """Stops the processes of a machine as planned and starts them as the present release."""
        for name in machine:
            await self.fleet.stop_process(name)
            self.fleet.set_former(name, former=False)
        await asyncio.gather(*(self.fleet.launch(name) for name in machine))
        if len(machine) > 1:
            replica = replica_of(machine[0])
            await self.fleet.wait_until(lambda: self.has_rejoined(replica), seconds=30, description=f"{machine} votes")
        await self.fleet.wait_until(self.fleet.all_ready, seconds=30, description=f"ready after {machine}")

    async def _change_operator(self) -> str:
        """Proposes a change of the operators, which a release before level 2 can't apply; returns the error kind."""
        body = {"digest": token_digest("token-of-eve")}
        status, answer = await self.fleet.operate("POST", "/operators/eve", body, token=AUTHOR[1])
        return "" if status == 200 else answer["refused"]["kind"]

    async def _level_has_risen(self) -> bool:
        status, configuration = await self.fleet.operate("GET", "/setup")
        level = configuration.get("release_level", 1) if status == 200 else 0
        return level == LEVEL

    async def _start_former_proxy(self) -> None:
        """Starts a proxy of the former release, which must not serve, and replaces it by the present release again."""
        name = next(iter(self.fleet.proxies))
        for former in (True, False):
            await self.fleet.stop_process(name)
            self.fleet.set_former(name, former=former)
            await self.fleet.launch(name)
            if former:
                await asyncio.sleep(FORMER_PROXY_SECONDS)
                state = (await self.fleet.ready_states())[name]
                not_serving = state is None or not state["ready"]
                self._expect("a former release's proxy doesn't serve", not_serving)
        await self.fleet.wait_until(self.fleet.all_ready, seconds=30, description=f"{name} is back")

    async def read_back(self, *, drained: tuple[str, ...] = ()) -> None:
        """Reads the configuration back from every registry and records it for the checker."""
        text = next((event.text for event in self.history.of(BundleWritten) if event.number == self.number), None)
        servers = tuple(
            sorted((name, each.service, each.instance, each.state) for name, each in self.fleet.stub_servers.items())
        )
        self.history.add(ConfigurationExpected(self._now(), self.number, drained, text, servers))
        # All registries must return the same configuration, so each one is read.
        for address in self.fleet.operator_addresses:
            status, configuration = await self.fleet.operate("GET", "/setup", addresses=(address,))
            if status != 200:
                raise AssertionError(f"read-back at {address}: {configuration}")
            self.history.add(configuration_read_of(self._now(), configuration, reader=address))
        drained_proxies = sorted(server["stall"] for server in configuration["servers"] if server["drained_by"])
        self.write_line(
            f"read back: bundle {configuration['in_force']} in force, {len(configuration['servers'])} servers, "
            f"{len(configuration['nodes'])} nodes, drained: {drained_proxies}"
        )

    async def run(self) -> None:
        """Runs all faults and changes in turn, under load."""
        observing = asyncio.ensure_future(self.observe())
        loading = asyncio.ensure_future(self.load.run(10**9))
        try:
            await asyncio.sleep(3)
            await self.change_bundle()
            if self.fleet.former:
                await self.upgrade()
            drained = await self.drain()
            await self.read_back(drained=(drained,))
            await self.undrain(drained)
            await self.wipe_leader()
            await self.change_bundle()
            await self.kill_proxies()
            await self.freeze()
            await self.restart_proxy()
            await self.restart_core()
            await self.fill_leaders_disk()
            await self.kill_everything()
            await self.fleet.wait_until(self.fleet.all_ready, seconds=30, description="every proxy is ready")
            await asyncio.sleep(2)
            await self.change_bundle()
            await self.read_back()
        finally:
            self.load.stopping = True
            await asyncio.wait([loading], timeout=20)
            observing.cancel()


async def prove(*, fleet: Fleet, seed: int, rate: float | None, write_line: LineWriter) -> Load:
    """Runs the complete proof on a started fleet; returns its load."""
    async with Load(
        deployment=fleet.deployment,
        addresses=fleet.client_addresses(),
        history=fleet.history,
        seed=random.Random(seed),
        rate=rate,
    ) as load:
        await Proof(fleet=fleet, load=load, write_line=write_line).run()
    return load
