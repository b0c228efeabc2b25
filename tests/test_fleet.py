"""Fleets of real processes. The checks don't depend on the machine's speed; timing is tested in simulated time."""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp
import yarl
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from fleets import THIMBLE, on_fleet
from hoistsaddle.testbed.checkers import check
from hoistsaddle.testbed.deployments import DEPLOYMENTS, RequestKind
from hoistsaddle.testbed.fleet import AUTHOR, SIGNER, Fleet
from hoistsaddle.testbed.history import RequestResult, RunStarted
from hoistsaddle.testbed.load import Load
from hoistsaddle.testbed.proof import prove

PAY = RequestKind("POST", "/payments", True, 1)


class RealProcesses(TestCase):
    def test_a_day_of_harm(self) -> None:
        """A rolling upgrade, racing bundles, a drain, a wiped leader, killed proxies, and a kill of all processes."""
        output: list[str] = []

        async def run(folder: Path) -> Fleet:
            async with Fleet(deployment=THIMBLE, folder=folder, seed=4, former=True) as fleet:
                await fleet.start()
                await prove(fleet=fleet, seed=4, rate=30, write_line=output.append)
            return fleet

        with tempfile.TemporaryDirectory() as folder:
            fleet = asyncio.run(run(Path(folder)))
        print("\n".join(output))
        broken = {line: found for line, found in check(fleet.history, THIMBLE, timed=False).items() if found}
        self.assertThat(broken, Equals({}))
        self.assertThat({process.returncode is not None for process in fleet.processes.values()}, Equals({True}))
        self.assertThat(sum(got.outcome == "answered" for got in fleet.history.of(RequestResult)) > 100, Equals(True))

    def test_frozen_machines_do_nothing_on_stale_authority(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            listener = next(name for name, proxy in fleet.proxies.items() if proxy["service"] == "portal")
            # The proxy is frozen with the old bundle while a new one, which forbids uploads, comes into force.
            fleet.freeze(listener)
            text = fleet.deployment.first_bundle().replace("number = 1\nbased_on = 0", "number = 2\nbased_on = 1")
            head, _, tail = text.partition('name = "uploads"')
            answers = await fleet.roll_out(
                head + 'name = "uploads"' + tail.replace('callers = ["visitors"]', 'callers = ["portal"]', 1)
            )
            self.assertThat(answers[0]["machines"][listener], Equals("lapsed"))
            before = len([ran for ran in fleet.history.of(RunStarted) if ran.path == "/uploads"])
            asking = asyncio.ensure_future(
                load.ask_until_run(
                    request_kind=RequestKind("POST", "/uploads", True, 1),
                    client="late",
                    key="late",
                    listener=fleet.proxies[listener]["visitors"],
                )
            )
            # The request waits in the frozen process's socket before the process continues.
            await asyncio.wait([asking], timeout=0.2)
            fleet.wake(listener)
            got = await asking
            self.assertThat((got.outcome, got.status), Equals(("refused", 403)))
            self.assertThat(
                len([ran for ran in fleet.history.of(RunStarted) if ran.path == "/uploads"]), Equals(before)
            )

        on_fleet(scenario)

    def test_a_request_on_a_standing_connection_is_answered_while_the_doors_close(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            host, _, port = fleet.client_addresses()[0].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            stopping = asyncio.ensure_future(fleet.stop_process("stall-01"))

            async def closed() -> bool:
                try:
                    _, other = await asyncio.open_connection(host, int(port))
                except OSError:
                    return True
                other.close()
                return False

            await fleet.wait_until(closed, seconds=20, description="the listener is closed to new connections")
            writer.write(b"GET /readings?nonce=1 HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertThat((await reader.readline())[:12], Equals(b"HTTP/1.1 503"))
            answer = (await reader.read()).decode()
            self.assertThat(answer, Contains("X-Hoistsaddle-Outcome: not-run"))
            self.assertThat(await stopping, Equals(0))

        on_fleet(scenario)

    def test_what_clients_do_wrong_is_refused_and_nothing_is_sent(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            listener = fleet.client_addresses()[0]
            url = f"http://{listener}"
            bearer = {"Authorization": "Bearer me"}
            key = {**bearer, "Idempotency-Key": "k1"}
            async with aiohttp.ClientSession() as session:

                async def send(method: str, path: str, **more) -> tuple[int, str, str]:
                    async with session.request(method, yarl.URL(url + path, encoded=True), **more) as response:
                        answer = await response.json()
                        error = answer.get("mishap", {})
                        return response.status, response.headers["X-Hoistsaddle-Outcome"], error.get("kind", "")

                ran = len(fleet.history.of(RunStarted))
                refused = {
                    "no key": await send("POST", "/payments", json={"nonce": "x"}, headers=bearer),
                    "too large": await send("POST", "/payments", data=b"x" * 20000, headers=key),
                    "far too large": await send("POST", "/payments", data=b"x" * (9 * 1024 * 1024), headers=key),
                    "no entry": await send("GET", "/nowhere"),
                    "inner only": await send("GET", "/balance?nonce=1", headers={"X-Hoistsaddle-Caller": "portal"}),
                    "two readings": await send("GET", "/readings/..%2fbalance"),
                    "dots": await send("GET", "/readings/../balance"),
                    "slashes": await send("GET", "//balance"),
                    "wrong method": await send("DELETE", "/payments"),
                }
                self.assertThat(
                    refused,
                    Equals(
                        {
                            "no key": (400, "refused", "key-missing"),
                            "too large": (413, "refused", "body-too-large"),
                            "far too large": (413, "refused", "body-too-large"),
                            "no entry": (404, "refused", "no-entry"),
                            "inner only": (403, "refused", "not-allowed"),
                            "two readings": (400, "refused", "request-broken"),
                            "dots": (400, "refused", "request-broken"),
                            "slashes": (400, "refused", "request-broken"),
                            "wrong method": (404, "refused", "no-entry"),
                        }
                    ),
                )
                for garbage in (
                    b"\x00\x01\x02\r\n\r\n",
                    b"GET / HTTP/9.9\r\n\r\n",
                    b"POST /payments HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n",
                    b"GET /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
                ):
                    host, _, port = listener.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(garbage)
                    line = await reader.readline()
                    self.assertThat((line[:7], line[8:12]), Equals((b"HTTP/1.", b" 400")), repr(garbage))
                    writer.close()
                self.assertThat(len(fleet.history.of(RunStarted)), Equals(ran))
                # The key runs once, its repeat gets the first answer, and another body under the key is refused.
                first = await load.ask_until_run(request_kind=PAY, client="me", key="k2")
                again = await load.ask_until_run(
                    request_kind=PAY, client="me", key="k2", listener=fleet.client_addresses()[1]
                )
                self.assertThat(
                    (first.outcome, again.outcome, again.run, again.repeat),
                    Equals(("answered", "answered", first.run, True)),
                )
                other = await load.ask_until_run(request_kind=PAY, client="me", key="k2", body=b'{"nonce": "other"}')
                self.assertThat((other.outcome, other.status), Equals(("refused", 422)))
                # The same request under other credentials: a renewed token and another client can't be told apart.
                other_client = await load.ask_until_run(request_kind=PAY, client="someone else", key="k2")
                self.assertThat(
                    (other_client.outcome, other_client.status, other_client.run), Equals(("refused", 409, ""))
                )
                without_credentials = await send(
                    "POST", "/payments", json={"nonce": "x"}, headers={"Idempotency-Key": "k9"}
                )
                self.assertThat(without_credentials, Equals((400, "refused", "visitor-missing")))
                self.assertThat(len([ran for ran in fleet.history.of(RunStarted) if ran.key == "k2"]), Equals(1))
                self.assertThat({ran.caller for ran in fleet.history.of(RunStarted)}, Equals({"visitors"}))

        on_fleet(scenario)

    def test_what_servers_do_wrong_reaches_nobody(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            for misbehaviour in ("garbage", "truncate", "lose answer"):
                for server in fleet.stub_servers.values():
                    server.misbehaviour = misbehaviour
                read = await load.ask_until_run(request_kind=RequestKind("GET", "/readings", False, 1), client="me")
                paid = await load.ask_until_run(request_kind=PAY, client="me", key=misbehaviour)
                again = await load.ask_until_run(request_kind=PAY, client="me", key=misbehaviour)
                self.assertThat(
                    (read.outcome, paid.outcome, again.outcome),
                    Equals(("unknown", "unknown", "still-working")),
                    misbehaviour,
                )
            self.assertThat(len([ran for ran in fleet.history.of(RunStarted) if ran.key]), Equals(3))

        on_fleet(scenario)

    def test_operators_are_refused_with_field_and_remedy(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            good = fleet.deployment.first_bundle().replace("number = 1\nbased_on = 0", "number = 2\nbased_on = 1")

            async def refusal(method: str, path: str, body=None, token: str = AUTHOR[1]) -> tuple[int, str, str]:
                status, answer = await fleet.operate(method, path, body, token=token)
                refused = answer["refused"]
                self.assertThat(bool(refused["remedy"]), Equals(True))
                return status, refused["kind"], refused["field"]

            wrong_base = good.replace("number = 2\nbased_on = 1", "number = 3\nbased_on = 0")
            self.assertThat(
                await refusal("POST", "/bundles", good, token="nobody's"),
                Equals((401, "operator-unknown", "Authorization")),
            )
            self.assertThat(
                await refusal("POST", "/bundles", good.replace("everyone = true", "everyone = 3")),
                Equals((422, "bundle-broken", "stages[1].everyone")),
            )
            self.assertThat(
                await refusal("POST", "/bundles", fleet.deployment.first_bundle(), token=SIGNER[1]),
                Equals((409, "bundle-duplicate", "number")),
            )
            # A repeat by the same author counts as a call whose answer was lost, and is confirmed again.
            status, again = await fleet.operate("POST", "/bundles", fleet.deployment.first_bundle(), token=AUTHOR[1])
            self.assertThat((status, again["submitted"]["phase"]), Equals((200, "in force")))
            self.assertThat(
                await refusal("POST", "/bundles", wrong_base), Equals((409, "bundle-wrong-base", "based_on"))
            )
            status, submitted = await fleet.operate("POST", "/bundles", good, token=AUTHOR[1])
            digest = submitted["submitted"]["digest"]
            self.assertThat(
                await refusal("POST", "/bundles/2/sign", {"digest": digest}),
                Equals((409, "bundle-self-signed", "signer")),
            )
            self.assertThat(
                await refusal("POST", "/bundles/2/sign", {"digest": "other"}, token=SIGNER[1]),
                Equals((409, "bundle-conflict", "digest")),
            )
            self.assertThat(
                await refusal("POST", "/bundles/9/sign", {"digest": digest}, token=SIGNER[1]),
                Equals((404, "bundle-unknown", "number")),
            )
            self.assertThat(
                await refusal("POST", "/bundles/2/sign", "{", token=SIGNER[1]), Equals((400, "request-broken", "body"))
            )
            self.assertThat(
                await refusal("POST", "/bundles/two/sign", {"digest": "x"}, token=SIGNER[1]),
                Equals((400, "request-broken", "number")),
            )
            self.assertThat(await refusal("POST", "/servers/stall-99/drain", {}), Equals((404, "no-server", "stall")))
            self.assertThat(
                await refusal("POST", "/found", {"operators": {"ada": "x"}}),
                Equals((400, "request-broken", "operators")),
            )
            self.assertThat((await refusal("GET", "/nothing"))[:2], Equals((404, "request-broken")))
            status, answer = await fleet.operate("POST", "/bundles/2/sign", {"digest": digest}, token=SIGNER[1])
            self.assertThat((status, answer["accepted"], answer["stage"]), Equals((200, True, 1)))
            self.assertThat(
                await refusal("POST", "/bundles/2/advance", {"from_stage": 0}, token=SIGNER[1]),
                Equals((409, "bundle-wrong-phase", "from_stage")),
            )
            status, answer = await fleet.operate("POST", "/bundles/2/abort", {}, token=SIGNER[1])
            self.assertThat((status, answer["accepted"]), Equals((200, True)))
            _, configuration = await fleet.operate("GET", "/setup")
            self.assertThat(
                (configuration["in_force"], configuration["rolling"], sorted(configuration["texts"])),
                Equals((1, 0, ["1"])),
            )

        on_fleet(scenario)

    def test_more_loss_than_the_core_can_stand_is_said_aloud(self) -> None:
        async def run(folder: Path) -> tuple[dict, tuple, tuple]:
            async with Fleet(deployment=DEPLOYMENTS["three"], folder=folder) as fleet:
                await fleet.start(bundle=False)
                lost = ("warehouse-1", "warehouse-2")
                await fleet.kill(*lost)
                for replica in (1, 2):
                    fleet.wipe(replica)
                await asyncio.gather(*(fleet.launch(name) for name in lost))

                async def loss_is_named() -> bool:
                    _, core = await fleet.operate("GET", "/core")
                    return "refused" in core and "unreachable" not in {
                        machine["standing"] for machine in core["machines"].values()
                    }

                await fleet.wait_until(loss_is_named, seconds=30, description="the loss is named")
                _, core = await fleet.operate("GET", "/core")
                founding = await fleet.operate("POST", "/found", {"operators": {"a": "0" * 64, "b": "1" * 64}})
                return core, founding, await fleet.operate("GET", "/setup")

        with tempfile.TemporaryDirectory() as folder:
            core, founding, configuration = asyncio.run(run(Path(folder)))
        self.assertThat(
            (core["refused"]["kind"], core["refused"]["message"]),
            Equals(("no-leader", "Replicas [1, 2] hold no voter's disk, so no majority is left.")),
        )
        self.assertThat(core["refused"]["remedy"], Contains("replacing-core-machines.md"))
        # Two blank disks and a survivor don't bootstrap a new mesh, and the configuration is not answered.
        self.assertThat((founding[0], founding[1]["refused"]["kind"]), Equals((409, "already-founded")))
        self.assertThat((configuration[0], configuration[1]["refused"]["kind"]), Equals((503, "no-leader")))

    def test_settings_are_refused_with_field_and_remedy(self) -> None:
        async def refusal(*arguments: str) -> tuple[int, str]:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "hoistsaddle.cli", *arguments, stderr=asyncio.subprocess.PIPE
            )
            _, output = await process.communicate()
            return process.returncode, output.decode()

        proxy = [
            "stall",
            "--name",
            "s",
            "--zone",
            "a",
            "--listen",
            "127.0.0.1:7301",
            "--visitors",
            "127.0.0.1:7302",
            "--inner",
            "127.0.0.1:7303",
        ]
        seeds = ["--seed", "127.0.0.1:1", "--seed", "127.0.0.1:2"]

        async def all_of_them() -> list[tuple[tuple[int, str], str]]:
            cases = [
                (proxy + seeds, "field seeds"),
                (proxy + seeds + ["--seed", "localhost:3"], "field seeds[2]"),
                (["stall", "--name", "s"], "field zone"),
                (
                    [
                        "warehouse",
                        "--replica",
                        "4",
                        "--zone",
                        "a",
                        "--listen",
                        "127.0.0.1:1",
                        "--data-folder",
                        "/tmp/x",
                        "--core",
                        "1=127.0.0.1:1,127.0.0.1:2",
                    ],
                    "field replica",
                ),
                (["bourse", "--settings", "/nowhere.toml"], "field settings"),
            ]
            return [(await refusal(*arguments), field) for arguments, field in cases]

        for (code, output), field in asyncio.run(all_of_them()):
            self.assertThat(code, Equals(2), output)
            self.assertThat(output, Contains(field))
            self.assertThat(output, Contains("Remedy:"))
            self.assertThat(output, Not(Contains("Traceback")))
