"""Real processes under faults: half-closed connections, partitions, hanging disks, planned stops, malformed calls."""

import asyncio
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path

import aiohttp
import msgspec
import yarl
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan

from fleets import THIMBLE, on_fleet
from hoistsaddle.testbed.checkers import check
from hoistsaddle.testbed.deployments import RequestKind
from hoistsaddle.testbed.fleet import AUTHOR, SIGNER, Fleet
from hoistsaddle.testbed.history import RequestResult, RunStarted
from hoistsaddle.testbed.load import Load
from hoistsaddle.testbed.stub_servers import StubServer

PAY = RequestKind("POST", "/payments", True, 1)
READ = RequestKind("GET", "/readings", False, 1)
STATEMENTS = RequestKind("GET", "/statements", False, 1)
HUGE = "9" * 40


class Faults(TestCase):
    def held(self, fleet: Fleet) -> None:
        broken = {line: found for line, found in check(fleet.history, THIMBLE, timed=False).items() if found}
        self.assertThat(broken, Equals({}))

    def test_half_closed_connections_give_nobody_half_an_answer(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            for misbehaviour in ("half close", "unmarked"):
                for server in fleet.stub_servers.values():
                    server.misbehaviour = misbehaviour
                read = await load.ask_until_run(request_kind=READ, client="me")
                paid = await load.ask_until_run(request_kind=PAY, client="me", key=misbehaviour)
                again = await load.ask_until_run(request_kind=PAY, client="me", key=misbehaviour)
                self.assertThat(
                    (read.outcome, paid.outcome, again.outcome),
                    Equals(("unknown", "unknown", "still-working")),
                    misbehaviour,
                )
                self.assertThat((paid.retry_after, again.retry_after), Equals((True, True)))
            for server in fleet.stub_servers.values():
                server.misbehaviour = ""
            # A client that closes its side after the request: its payment runs at most once, whatever its answer.
            host, _, port = fleet.client_addresses()[0].rpartition(":")
            body = b'{"nonce": "key-half"}'
            for _ in range(2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"POST /payments?nonce=key-half HTTP/1.1\r\nHost: a\r\nAuthorization: half\r\nIdempotency-Key: half"
                    b"\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
                writer.write_eof()
                await reader.read()
                writer.close()

            async def settled() -> bool:
                return (await load.ask_until_run(request_kind=READ, client="me")).outcome == "answered"

            await fleet.wait_until(settled, seconds=10, description="serving after half-closed clients")
            self.assertThat(len([ran for ran in fleet.history.of(RunStarted) if ran.key == "half"]) <= 1, Equals(True))

        fleet = on_fleet(scenario)
        broken = {line: found for line, found in check(fleet.history, THIMBLE, timed=False).items() if found}
        # The half-closed client's request was sent by hand, so the history has no record of sending it.
        broken.pop("callers are told truly", None)
        self.assertThat(broken, Equals({}))

    def test_cut_lines_one_way_and_both_lose_nothing_agreed(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            loading = asyncio.ensure_future(load.run(10**9))
            names = list(fleet.programs)
            proxies = [name for name in names if name.startswith("stall")]

            async def led() -> bool:
                status, _ = await fleet.operate("GET", "/setup", addresses=fleet.operator_addresses[1:])
                return status == 200

            one_way = (["warehouse-1", "bourse-1"], [name for name in names if name[-2:] != "-1"])
            for one, others in (one_way, one_way[::-1], (["stall-03"], [name for name in names if name != "stall-03"])):
                fleet.cut_one_way(one, others)
                await fleet.wait_until(led, seconds=20, description="the others lead")
                status, answer = await fleet.operate(
                    "POST",
                    "/servers/stall-02/drain",
                    {"drain": True},
                    token=AUTHOR[1],
                    addresses=fleet.operator_addresses[1:],
                )
                self.assertThat((status, answer.get("accepted")), Equals((200, True)))
                fleet.heal()
                await fleet.operate("POST", "/servers/stall-02/drain", {"drain": False}, token=AUTHOR[1])
                await fleet.wait_until(fleet.all_ready, seconds=30, description="ready after the cut")
            fleet.cut(["stall-01"], [name for name in names if name != "stall-01"])

            async def closed() -> bool:
                states = await fleet.ready_states()
                return states["stall-01"] is not None and not states["stall-01"]["ready"]

            await fleet.wait_until(closed, seconds=20, description="the isolated proxy stops")
            fleet.heal()
            await fleet.wait_until(fleet.all_ready, seconds=30, description="ready after isolation")
            load.stopping = True
            await loading
            self.assertThat(len(proxies), Equals(6))
            answered = sum(got.outcome == "answered" for got in fleet.history.of(RequestResult))
            self.assertThat(answered, GreaterThan(50))

        self.held(on_fleet(scenario, faults=True))

    def test_a_stalled_disk_costs_the_leader_its_office_and_nobody_an_answer(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            async def leader() -> int:
                _, core = await fleet.operate("GET", "/core")
                machines = core["machines"].items()
                return next((int(name) for name, each in machines if each["standing"] == "leader"), 0)

            first = await leader()
            held = fleet.stall_disk(first)
            listener = fleet.operator_addresses[first - 1]

            async def another() -> bool:
                # A stalled disk is noticed only by a write.
                await load.ask_until_run(request_kind=PAY, client="me", key=f"stalled-{fleet.random.random()}")
                return await leader() not in (0, first)

            await fleet.wait_until(another, seconds=40, description="another leader")
            status, decoded = await fleet.operate("GET", "/ready", addresses=(listener,))
            held.close()

            async def ready() -> bool:
                status, _ = await fleet.operate("GET", "/ready", addresses=(listener,))
                return status == 200

            await fleet.wait_until(ready, seconds=30, description="ready once its disk writes")
            self.assertThat((status, decoded["ready"], bool(decoded["why"]["remedy"])), Equals((503, False, True)))
            paid = await load.ask_until_run(request_kind=PAY, client="me", key="after")
            self.assertThat(paid.outcome, Equals("answered"))

        self.held(on_fleet(scenario))

    def test_planned_stops_and_rollouts_finish_what_is_slow(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            async def slow(what: Callable[[], Coroutine], *, listener: str, service: str) -> RequestResult:
                """Runs a planned action while a payment is in flight; returns the result of the payment."""
                hold = asyncio.Event()
                for server in fleet.stub_servers.values():
                    server.hold = hold if server.service == service else None
                before = len(fleet.history.of(RunStarted))
                asking = asyncio.ensure_future(
                    load.ask_until_run(request_kind=PAY, client="me", key=f"slow-{before}", listener=listener)
                )

                async def running() -> bool:
                    return len(fleet.history.of(RunStarted)) > before

                await fleet.wait_until(running, seconds=10, description="the slow run has begun")
                doing = asyncio.ensure_future(what())
                # After this time the action has either ended or waits for the payment.
                await asyncio.wait([doing], timeout=1.5)
                hold.set()
                got = await asking
                await doing
                return got

            async def stop(name: str) -> None:
                self.assertThat(await fleet.stop_process(name), Equals(0))

            async def roll() -> None:
                await fleet.roll_out(fleet.deployment.next_bundle(number=2, based_on=1))

            listeners = {name: proxy["visitors"] for name, proxy in fleet.proxies.items()}
            entry, machine = "stall-01", ["bourse-1", "warehouse-1"]
            rounds: list[tuple[str, Callable[[], Coroutine], list[str]]] = [
                ("a roll-out", roll, []),
                ("the entry's proxy", lambda: stop(entry), [entry]),
                ("a core machine", lambda: asyncio.gather(*map(stop, machine)), machine),
            ]
            for what, do, names in rounds:
                got = await slow(do, listener=listeners[entry], service="ledger")
                self.assertThat((got.outcome, got.status), Equals(("answered", 200)), what)
                for name in names:
                    await fleet.launch(name)
                await fleet.wait_until(fleet.all_ready, seconds=30, description=f"ready after {what}")
            # All target proxies stop as planned, one of them while it runs the payment.
            ledgers = [name for name, proxy in fleet.proxies.items() if proxy["service"] == "ledger"]
            got = await slow(
                lambda: asyncio.gather(*(stop(name) for name in ledgers)),
                listener=listeners["stall-03"],
                service="ledger",
            )
            self.assertThat((got.outcome, got.status), Equals(("answered", 200)), "the target's proxy")

        self.held(on_fleet(scenario))

    def test_an_old_process_is_not_taken_for_its_successor(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            old = fleet.stub_servers["stall-01"]
            first = await old.call_nested("GET", "/balance", "one")
            self.assertThat((first["status"], first["outcome"]), Equals((200, "answered")))
            # A server of another service takes over the address; the old process continues to make calls.
            await old.runner.cleanup()
            old.runner = None
            old.task.cancel()
            fresh = StubServer(
                service="ledger",
                address=old.address,
                nested_address=old.nested_address,
                deployment=THIMBLE,
                history=fleet.history,
                proxy="stall-01",
            )
            await fresh.start()

            async def successor_accepted() -> bool:
                states = await fleet.ready_states()
                return states["stall-01"]["server"] == "ready" and await fresh.report_health()

            await fleet.wait_until(
                successor_accepted, seconds=10, description="the successor's health report is accepted"
            )
            late = await old.call_nested("GET", "/balance", "two")
            self.assertThat((late["status"], late["outcome"]), Equals((403, "refused")))
            self.assertThat([ran for ran in fleet.history.of(RunStarted) if ran.request == "two"], Equals([]))
            await old.session.close()
            await fresh.stop()

        on_fleet(scenario)

    def test_garbage_on_every_call_is_refused_by_kind_and_does_nothing(self) -> None:
        async def scenario(fleet: Fleet, load: Load) -> None:
            listener, proxy = fleet.operator_addresses[0], fleet.proxies["stall-01"]

            async def all_noted() -> bool:
                _, decoded = await fleet.operate("GET", "/setup")
                return len(decoded["nodes"]) == len(fleet.proxies) + len(fleet.operator_addresses)

            await fleet.wait_until(all_noted, seconds=20, description="every node is noted")
            _, before = await fleet.operate("GET", "/setup")
            bodies = (
                b"",
                b"[]",
                b"null",
                b'"x"',
                b"{",
                b"\xff\xfe\x00",
                b"[" * 100000,
                b'{"digest": 3, "from_stage": "1", "drain": "no", "operators": [], "change": {}}',
                b'{"from_stage": %s, "digest": null, "drain": %s}' % (HUGE.encode(), HUGE.encode()),
                b'{"from_stage": 1e400, "digest": "\\ud800"}',
                b'{"from_stage": -1, "unknown": 1}',
                b'{"operators": {"ada": 1}}',
                b'{"operators": {"a": "%s", "b": "%s"}}' % (b"0" * 64, b"0" * 64),
            )
            paths = [
                f"/bundles/{number}/{what}"
                for number in ("1", "0", "-1", "two", HUGE, "1%00", "%ff")
                for what in ("sign", "advance")
            ]
            paths += ["/found", "/bundles", "/servers/%ff/drain", "/servers/a%20b/drain", "/servers/stall-99/drain"]
            paths += ["/operators/EVE", "/operators/e%00e", "/operators/eve/sign", f"/operators/{'e' * 400}"]
            answers: list[tuple[str, int, str]] = []
            async with aiohttp.ClientSession() as session:

                async def send(method: str, base: str, path: str, body: bytes, headers: dict | None = None) -> None:
                    url = yarl.URL(f"http://{base}{path}", encoded=True)
                    sent = {"Authorization": f"Bearer {AUTHOR[1]}", **(headers or {})}
                    async with session.request(method, url, data=body or None, headers=sent) as response:
                        decoded = msgspec.json.decode(await response.read())
                        refused = decoded.get("refused") or decoded.get("mishap") or {}
                        answers.append((f"{method} {path[:40]} {body[:30]}", response.status, refused.get("kind", "")))
                        assert refused.get("remedy"), (path, body[:40], decoded)

                for path in paths:
                    for body in bodies:
                        await send("POST", listener, path, body)
                for path in ("/happenings?after=", "/happenings?warehouse=", "/bundles/"):
                    for number in ("-1", "x", HUGE, "%C2%B2", "1.5"):
                        await send("GET", listener, path + number, b"")
                for odd in ("a b", "x" * 300, "\u00e9"):
                    await send("POST", listener, "/servers/stall-02/drain", b"{}", {"X-Request-Id": odd})
                # The proxy's listeners.
                for body in (*bodies, b'{"service": "x"}', b'{"service": "a b", "instance": "i"}'):
                    await send("POST", proxy["inner"], "/hoistsaddle/vitals", body)
                good = {"service": "ledger", "instance": "i", "address": "127.0.0.1:1", "state": "ready"}
                for field, value in (
                    ("service", "a\r\nb"),
                    ("instance", "\u00e9"),
                    ("instance", ""),
                    ("address", "localhost:1"),
                    ("address", f"127.0.0.1:{HUGE}"),
                    ("state", "open"),
                    ("state", 1),
                ):
                    await send(
                        "POST", proxy["inner"], "/hoistsaddle/vitals", msgspec.json.encode({**good, field: value})
                    )
                for number in ("-1", HUGE, "%C2%B2"):
                    await send("GET", proxy["visitors"], f"/hoistsaddle/happenings?after={number}", b"")
            wrong = [each for each in answers if not 400 <= each[1] < 500 or not each[2]]
            self.assertThat(wrong, Equals([]))
            # Bytes that aren't valid text, in the path and in headers.
            host, _, port = proxy["visitors"].rpartition(":")
            for line in (
                b"GET /readings\xff HTTP/1.1\r\nHost: a\r\n\r\n",
                b"GET /readings?nonce=1 HTTP/1.1\r\nHost: a\r\nAuthorization: \xff\xfe\r\n\r\n",
                b"GET /readings?nonce=1 HTTP/1.1\r\nHost: a\r\nX-Odd: \xff\r\n\r\n",
            ):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line)
                self.assertThat((await reader.readline())[8:12], Equals(b" 400"), repr(line))
                writer.close()
            _, after = await fleet.operate("GET", "/setup")
            for kept in ("in_force", "bundles", "servers", "operators", "nodes"):
                self.assertThat(after[kept], Equals(before[kept]))
            logs = "".join(path.read_text() for path in fleet.folder.glob("*.log"))
            self.assertThat("Traceback" in logs, Equals(False))
            status, answer = await fleet.operate("POST", "/servers/stall-02/drain", {"drain": True}, token=SIGNER[1])
            self.assertThat((status, answer["accepted"]), Equals((200, True)))

        on_fleet(scenario)

    def test_every_settings_key_is_checked(self) -> None:
        good = {
            "stall": {
                "name": '"s"',
                "zone": '"a"',
                "listen": '"127.0.0.1:7301"',
                "visitors": '"127.0.0.1:7302"',
                "inner": '"127.0.0.1:7303"',
                "seeds": '["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]',
                "lease_seconds": "1.5",
                "vitals_seconds": "1.5",
                "backlog": "200",
                "outstanding": "100",
                "release_level": "0",
                "line_faults": '""',
            },
            "bourse": {
                "replica": "1",
                "zone": '"a"',
                "listen": '"127.0.0.1:7301"',
                "operators": '"127.0.0.1:7302"',
                "core": '[{replica = 1, warehouse = "127.0.0.1:1", bourse = "127.0.0.1:2"}]',
            },
            "warehouse": {
                "replica": "1",
                "zone": '"a"',
                "listen": '"127.0.0.1:7301"',
                "data_folder": '"/tmp/x"',
                "core": '[{replica = 1, warehouse = "127.0.0.1:1", bourse = "127.0.0.1:2"}]',
                "checkpoint_records": "2000",
                "chunk_bytes": "65536",
                "lag_wait_seconds": "10.0",
                "disk_stall_seconds": "1.0",
            },
        }
        from hoistsaddle.common.settings import ProxySettings, RegistrySettings, StoreSettings
        from hoistsaddle.common.settings_files import read_settings_file

        kinds = {"stall": ProxySettings, "bourse": RegistrySettings, "warehouse": StoreSettings}
        odd = ("[[1]]", "-1", HUGE, "1e300", "nan", "true", '"\\u0000"', '""', "1979-05-27", "{}")
        # Values that are valid for a field: an empty path means no faults.
        fine = {("line_faults", '""'), ("line_faults", '"\\u0000"')}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"

            def refusal(kind: str, fields: dict[str, str]) -> str:
                path.write_text("\n".join(f"{name} = {value}" for name, value in fields.items()))
                result = read_settings_file(kind=kinds[kind], path=str(path), flags={})
                return "" if result.value_or(None) is not None else str(result.failure())

            for kind, fields in good.items():
                self.assertThat(refusal(kind, fields), Equals(""))
                for field in fields:
                    for value in odd:
                        if (field, value) in fine:
                            continue
                        output = refusal(kind, {**fields, field: value})
                        self.assertThat(output, Contains(f"field {field}"), f"{kind} {field} = {value}")
                        self.assertThat(output, Contains("Remedy:"))
                    if field in ("name", "zone", "listen", "replica", "core", "seeds", "data_folder"):
                        left = {name: value for name, value in fields.items() if name != field}
                        self.assertThat(refusal(kind, left), Contains(f"field {field}"))
                self.assertThat(refusal(kind, {**fields, "colour": '"blue"'}), Contains("field colour"))
            path.write_bytes(b"\xff\xfe")
            for text in (b"\xff\xfe", b"a = ", b"a = " + b"[" * 100000):
                path.write_bytes(text)
                result = read_settings_file(kind=ProxySettings, path=str(path), flags={})
                self.assertThat(str(result.failure()), Contains("Remedy:"))
