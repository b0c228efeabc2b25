"""Items through the operators' interfaces: patch texts, settings, commands, and real processes that found a mesh."""

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import aiohttp
from click.testing import CliRunner
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Contains, Equals, IsInstance

from controller_deployment import Deployment, until
from hoistsaddle.cli.commands import main
from hoistsaddle.cli.watch import format_event
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.settings import ControllerSettings, SidecarSettings
from hoistsaddle.common.settings_files import read_settings_file
from hoistsaddle.config.items import ENTRY, LIMITS, SERVICE, ItemDeletion, ItemUpsert, Patch
from hoistsaddle.config.patch_text import read_text
from hoistsaddle.registry.addresses import host_of_number
from hoistsaddle.registry.item_patches import ItemPatches

FIRST = """
[service.ledger]
revision = 1
connections = 50

[entry.read]
revision = 1
host = "shop.example"
prefix = "/read/"
kind = "repeatable"
parts = [{service = "ledger"}]
hold_seconds = 3.0
aim_seconds = 1.0

[entry.pay]
revision = 1
host = "shop.example"
prefix = "/pay/"
kind = "once per key"
parts = [{service = "ledger"}]
hold_seconds = 10.0
aim_seconds = 5.0
most_sends = 2

[limits]
revision = 1
body_bytes = 1000
"""
SECOND = """
[entry.more]
revision = 2
host = "shop.example"
prefix = "/more/"
kind = "once per send"
parts = [{service = "ledger"}]
hold_seconds = 3
aim_seconds = 1

[[drop]]
kind = "entry"
name = "read"
revision = 2
"""


class PatchTexts(TestCase):
    def test_tables_become_items_with_revisions(self) -> None:
        patch = read_text(FIRST + SECOND).unwrap()
        self.assertThat(
            [(each.kind, each.item["name"], each.revision) for each in patch.sets],
            Equals(
                [(SERVICE, "ledger", 1), (ENTRY, "read", 1), (ENTRY, "pay", 1), (ENTRY, "more", 2), (LIMITS, LIMITS, 1)]
            ),
        )
        self.assertThat(patch.drops, Equals([ItemDeletion(ENTRY, 2, "read")]))

    def test_json_has_the_same_tables_as_toml(self) -> None:
        result = {"service": {"ledger": {"revision": 1, "connections": 50}}, "drop": []}
        self.assertThat(
            read_text(json.dumps(result), json=True).unwrap(),
            Equals(read_text("[service.ledger]\nrevision = 1\nconnections = 50\n").unwrap()),
        )

    def test_each_error_names_its_table_and_field(self) -> None:
        for text, field in (
            (FIRST.replace("revision = 1\nconnections", "connections"), "service.ledger"),
            (FIRST.replace("revision = 1\nconnections", "revision = true\nconnections"), "service.ledger"),
            (FIRST.replace("revision = 1\nconnections", "revision = -1\nconnections"), "service.ledger.revision"),
            (FIRST.replace("connections = 50", 'name = "x"'), "service.ledger.name"),
            (FIRST.replace("connections = 50", "connectoins = 50"), "service.ledger.connectoins"),
            (FIRST.replace("connections = 50", f"connections = {2**70}"), "service.ledger.connections"),
            (FIRST.replace('prefix = "/pay/"', 'prefix = "/pay"'), "entry.pay.prefix"),
            (FIRST.replace("most_sends = 2", "most_sends = 0"), "entry.pay.most_sends"),
            (FIRST.replace("body_bytes = 1000", "body_bytes = 0"), "limits.body_bytes"),
            (FIRST + "[entrys.x]\nrevision = 1\n", "entrys"),
            ('[[drop]]\nkind = "thing"\nname = "a"\nrevision = 1\n', "drop[0].kind"),
            ('[[drop]]\nkind = "entry"\nname = ""\nrevision = 1\n', "drops[0]"),
            ("", ""),
            ("not toml", ""),
        ):
            result = read_text(text)
            self.assertThat(result, IsInstance(Failure), text)
            error = result.failure()
            self.assertThat((error.field, error.remedy != ""), Equals((field, True)), text)
        for text in ("{", "[]", '{"entry": 1}', "[" * 100000):
            self.assertThat(read_text(text, json=True), IsInstance(Failure))


CONTROLLER: dict[str, Any] = {
    "host": "127.0.0.1",
    "zone": "a",
    "data_folder": "/tmp/x",
    "seeds": ["127.0.0.1"],
    "cold_start": True,
}
SIDECAR: dict[str, Any] = {
    "name": "stall-1",
    "zone": "a",
    "listen": "127.0.0.1:7200",
    "door": "127.0.0.1:7201",
    "vitals_door": "127.0.0.1:7202",
    "ready_door": "127.0.0.1:7203",
    "seeds": ["127.0.0.1:7100"],
    "service": "ledger",
    "server": "127.0.0.1:9000",
}


class Settings(TestCase):
    def refused(self, kind: type, values: dict[str, Any]) -> str:
        result = read_settings_file(kind=kind, path=None, flags=values)
        self.assertThat(result, IsInstance(Failure), str(values))
        self.assertThat(result.failure().remedy != "", Equals(True))
        return result.failure().field

    def test_complete_settings_are_accepted(self) -> None:
        self.assertThat(read_settings_file(kind=ControllerSettings, path=None, flags=CONTROLLER), IsInstance(Success))
        self.assertThat(read_settings_file(kind=SidecarSettings, path=None, flags=SIDECAR), IsInstance(Success))

    def test_each_field_has_its_range(self) -> None:
        for field, value in (
            ("host", "localhost"),
            ("zone", "a b"),
            ("seeds", ["one"]),
            ("losses", 11),
            ("losses", -1),
            ("bourse_port", 0),
            ("warehouse_port", 70000),
            ("operators_port", 7100),
            ("operators_port", 65536),
            ("desk", "two words"),
            ("standing_sign_off", "desk"),
            ("uptake_seconds", -1.0),
            ("write_seconds", float("nan")),
            ("resend_seconds", 0.5),
            ("checkpoint_records", 0),
            ("lease_seconds", 0.0),
        ):
            result = self.refused(ControllerSettings, {**CONTROLLER, field: value})
            self.assertThat(
                result.partition("[")[0], Equals("bourse_port" if value == 7100 else field), f"{field} {value}"
            )
        self.assertThat(self.refused(ControllerSettings, {**CONTROLLER, "seeds": ["127.0.0.1"] * 4}), Equals("seeds"))
        self.assertThat(self.refused(ControllerSettings, {**CONTROLLER, "colour": 1}), Equals("colour"))
        for field, value in (
            ("name", "a b"),
            ("service", "a/b"),
            ("door", "127.0.0.1"),
            ("vitals_door", "here:1"),
            ("ready_door", "127.0.0.1:0"),
            ("server", "x:1"),
            ("seeds", ["127.0.0.1"]),
            ("further_percent", 101),
            ("further_margin", -1),
            ("key_seconds", 0.0),
            ("grace_seconds", 0.1),
            ("drain_seconds", 0.0),
            ("backlog", 0),
        ):
            result = self.refused(SidecarSettings, {**SIDECAR, field: value})
            self.assertThat(result.partition("[")[0], Equals(field), f"{field} {value}")

    def test_daemons_refuse_before_they_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text('host = "127.0.0.1"\nzone = "a"\nseeds = ["127.0.0.1"]\ncold_start = false\nlosses = 99\n')
            result = CliRunner().invoke(main, ["market", str(path), "--data-folder", folder])
            self.assertThat((result.exit_code, "field losses" in result.output), Equals((2, True)), result.output)
            # A flag overrides the file.
            result = CliRunner().invoke(main, ["market", str(path), "--data-folder", folder, "--losses", "98"])
            self.assertThat(result.output, Contains("98 is out of range"))
            result = CliRunner().invoke(main, ["broker", str(path)])
            self.assertThat((result.exit_code, "refused: params" in result.output), Equals((2, True)), result.output)


class Commands(TestCase):
    def test_check_reports_the_changes_of_a_file_or_its_errors(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "patch.toml"
            path.write_text(SECOND)
            result = CliRunner().invoke(main, ["items", "check", str(path)])
            self.assertThat(json.loads(result.output), Equals({"sets": {"entry.more": 2}, "drops": {"entry.read": 2}}))
            path.write_text(SECOND.replace("hold_seconds = 3", "hold_seconds = 0"))
            result = CliRunner().invoke(main, ["items", "check", str(path)])
            self.assertThat(
                (result.exit_code, "entry.more.hold_seconds" in result.output), Equals((1, True)), result.output
            )
            path.write_bytes(b"\xff")
            self.assertThat(CliRunner().invoke(main, ["items", "check", str(path)]).output, Contains("UTF-8"))


class Submission(TestCase):
    def test_an_invalid_patch_never_reaches_the_log(self) -> None:
        for changes, field in (({"rank": 10**30}, "rank"), ({"hold_seconds": 0}, "hold_seconds")):
            item = {**read_text(SECOND).unwrap().sets[0].item, **changes}
            counters = Counters(owner="market")
            registry: Any = SimpleNamespace(counters=counters)
            # Neither the settings nor the log may be read.
            patches = ItemPatches(registry=registry, settings=cast(Any, None), log_offset=cast(Any, None))
            result = asyncio.run(patches.submit(Patch([ItemUpsert(ENTRY, 1, item)])))
            self.assertThat(result, IsInstance(Failure))
            self.assertThat(result.failure().field, Equals(f"sets[0].{field}"))
            self.assertThat(counters.read()["counts"]["happening.patch refused"], Equals(1))


class EventLines(TestCase):
    def test_events_are_shown_as_sentences(self) -> None:
        for kind, detail, words in (
            ("bundle patched", {"number": 4, "items": 2, "author": "desk", "signer": "ben"}, "signed by ben"),
            ("patch refused", {"mishap": "item-broken", "field": "sets[0].parts"}, "is rejected: item-broken"),
            ("items taken up", {"revision": 9, "items": 3}, "applies 3 items at revision 9"),
            ("voter added", {"replica": 1, "epoch": 1, "voter": 5, "voters": 3}, "replica 5 becomes a voter, one of 3"),
            ("voter dropped", {"replica": 1, "epoch": 1, "voter": 5, "voters": 2}, "replica 5 is no longer a voter"),
            ("founded", {"mesh": "abc"}, "founded as mesh abc"),
        ):
            event = {"moment": "2026-12-02T03:00:00.000+00:00", "owner": "x", "kind": kind, "detail": detail}
            self.assertThat(format_event(event), Contains(words))


class Processes(TestCase):
    def test_a_core_founds_itself_takes_patches_and_serves_them(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.run_core_and_sidecars(Path(folder)))

    async def run_core_and_sidecars(self, folder: Path) -> None:
        deployment = Deployment(folder)
        runners = []
        try:
            for place in range(3):
                await deployment.start_controller(place, cold=True)

            async def ready() -> bool:
                return (await deployment.command("ready"))[0] == 0

            await until(ready)
            (folder / "first.toml").write_text(FIRST)
            (folder / "second.toml").write_text(SECOND)
            code, output = await deployment.command("items", "submit", str(folder / "first.toml"))
            self.assertThat(
                (code, json.loads(output)["number"], json.loads(output)["signer"]), Equals((0, 1, "ben")), output
            )
            # Submitting the same patch again changes nothing.
            code, output = await deployment.command("items", "submit", str(folder / "first.toml"))
            self.assertThat((code, json.loads(output)["changed"]), Equals((0, [])), output)
            proxies = [await deployment.start_sidecar(number) for number in (1, 2)]
            async with aiohttp.ClientSession() as session:

                async def report_health() -> bool:
                    try:
                        for number, (_, side, server) in enumerate(proxies, start=1):
                            health = {
                                "service": "ledger",
                                "instance": f"i-{number}",
                                "address": server,
                                "state": "ready",
                                "room": 4,
                            }
                            async with session.post(f"http://{side}/hoistsaddle/vitals", json=health) as response:
                                if response.status != 200:
                                    return False
                            async with session.get(f"http://{side}/hoistsaddle/ready") as response:
                                if response.status != 200:
                                    return False
                    except aiohttp.ClientError:
                        return False
                    return True

                async def ask(ingress_address: str, path: str, *, key: str = "") -> tuple[int, str]:
                    headers = {"Host": "shop.example", "X-Hoistsaddle-Send": "try"}
                    if key:
                        headers["Idempotency-Key"] = key
                    # Retries as a client would: 503 means that nothing ran, and Retry-After says when to retry.
                    for _ in range(20):
                        async with session.post(
                            f"http://{ingress_address}{path}", headers=headers, data=b"body"
                        ) as response:
                            if response.status != 503:
                                return response.status, await response.text()
                            await asyncio.sleep(float(response.headers["Retry-After"]))
                        # Reports health as a server would: on a busy machine the last reports may have expired.
                        await report_health()
                    return response.status, ""

                for _, _, server in proxies:
                    runners.append(await deployment.serve(server))
                await until(report_health)

                async def served() -> bool:
                    return (await ask(proxies[0][0], "/read/x"))[0] == 200

                await until(served)
                first = await ask(proxies[0][0], "/pay/x", key="k1")
                count = len(deployment.runs)
                self.assertThat(first[0], Equals(200), str(first))
                self.assertThat(
                    [await ask(ingress_address, "/pay/x", key="k1") for ingress_address, _, _ in proxies],
                    Equals([first] * 2),
                )
                self.assertThat(len(deployment.runs), Equals(count))
                self.assertThat((await ask(proxies[0][0], "/nothing/"))[0], Equals(404))
                # One core machine is killed, the one with the founder's disk; the other two continue.
                deployment.processes["market-0"].kill()
                await deployment.processes["market-0"].wait()

                async def second() -> bool:
                    return (await deployment.command("items", "submit", str(folder / "second.toml")))[0] == 0

                await until(second)

                async def second_in_force() -> bool:
                    await report_health()
                    return [(await ask(proxies[1][0], path))[0] for path in ("/read/x", "/more/x")] == [404, 200]

                await until(second_in_force)
                code, output = await deployment.command("items", "list")
                names = [f"{each['kind']}.{each['item']['name']}" for each in json.loads(output)["items"]]
                self.assertThat(
                    (code, names), Equals((0, ["entry.more", "entry.pay", "limits.limits", "service.ledger"])), output
                )
                self.assertThat(json.loads(output)["dropped"], Equals({"entry:read": 2}))
                code, output = await deployment.command("items", "status")
                result = json.loads(output)
                self.assertThat(
                    (code, result["standing_sign_off"], [each["number"] for each in result["patches"]]),
                    Equals((0, "ben", [2, 1])),
                )
                (folder / "broken.toml").write_text(SECOND.replace('"ledger"', '"nobody"').replace("= 2", "= 3"))
                code, output = await deployment.command("items", "submit", str(folder / "broken.toml"))
                self.assertThat((code, "item-broken" in output), Equals((1, True)), output)
                code, output = await deployment.command("core")
                self.assertThat((code, "leader" in output), Equals((0, True)), output)
                # The machine restarts with its disk: no second mesh is founded.
                await deployment.start_controller(0, cold=False)
                await until(ready)
                for place in ("holds", "counters", "happenings?after=0"):
                    async with session.get(f"http://{proxies[0][1]}/hoistsaddle/{place}") as answer:
                        self.assertThat((answer.status, len(await answer.json()) > 0), Equals((200, True)))
                async with session.post(f"http://{proxies[0][1]}/hoistsaddle/vitals", json={"service": "x"}) as answer:
                    self.assertThat(answer.status, Equals(400))
        finally:
            codes = await deployment.stop()
            for runner in runners:
                await runner.cleanup()
        self.assertThat(set(codes.values()), Equals({0}), str(codes))

    def test_a_late_seed_joins_and_a_wiped_one_comes_back(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.run_joining_core(Path(folder)))

    async def run_joining_core(self, folder: Path) -> None:
        deployment = Deployment(folder)

        async def roles() -> dict[str, str]:
            code, output = await deployment.command("core")
            machines = json.loads(output)["machines"] if code == 0 else {}
            return {host_of_number(int(number)): each["standing"] for number, each in machines.items()}

        async def all_vote() -> bool:
            result = await roles()
            return sorted(result) == sorted(deployment.hosts) and set(result.values()) == {"leader", "follower"}

        try:
            for place in (0, 1):
                await deployment.start_controller(place, cold=True)

            async def led() -> bool:
                return "leader" in (await roles()).values()

            await until(led)
            self.assertThat((await roles()).get(deployment.hosts[2], "unreachable"), Equals("unreachable"))
            # It is started with a cold start as well, but joins the mesh that exists.
            await deployment.start_controller(2, cold=True)
            await until(all_vote)
            deployment.processes["market-2"].kill()
            await deployment.processes["market-2"].wait()
            shutil.rmtree(folder / "data-2")
            await deployment.start_controller(2, cold=False)
            await until(all_vote)
            log = (folder / "market-0.log").read_text() + (folder / "market-1.log").read_text()
            for words in ("voter added", "voter swapped"):
                self.assertThat(log, Contains(words))
        finally:
            codes = await deployment.stop()
        self.assertThat(set(codes.values()), Equals({0}), str(codes))
