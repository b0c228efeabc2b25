"""The command line: subcommands and their former names as hidden aliases, errors, calls and reports."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from aiohttp import web
from click.testing import CliRunner, Result
from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.cli import commands
from hoistsaddle.cli.caller import call_first_available
from hoistsaddle.cli.commands import FORMER_NAMES, main
from hoistsaddle.cli.holds import format_holds
from hoistsaddle.cli.proxy_reports import read_reports
from hoistsaddle.cli.watch import EventFollower

CURRENT_NAMES = {
    "warehouse": "store",
    "bourse": "registry",
    "stall": "proxy",
    "market": "controller",
    "broker": "sidecar",
}


def run_program(*arguments: str) -> tuple[Result, dict]:
    """Invokes a command; returns its result and the arguments with which it would have run its program."""
    run = mock.Mock()
    with mock.patch.object(commands, "_run", run):
        result = CliRunner().invoke(main, list(arguments))
    return result, dict(run.call_args.kwargs) if run.called else {}


class FormerNames(TestCase):
    def test_each_program_has_one(self) -> None:
        self.assertThat({former: command.name for former, command in FORMER_NAMES.items()}, Equals(CURRENT_NAMES))

    def test_they_are_not_listed_in_the_help(self) -> None:
        shown = [line.split()[0] for line in CliRunner().invoke(main, ["--help"]).output.splitlines() if line.strip()]
        self.assertThat([name for name in CURRENT_NAMES if name in shown], Equals([]))
        self.assertThat([name for name in CURRENT_NAMES.values() if name not in shown], Equals([]))

    def test_they_run_the_same_with_one_line_of_warning(self) -> None:
        for former, current in CURRENT_NAMES.items():
            arguments = ("--settings", "some.toml", "--zone", "a")
            plain, expected = run_program(current, *arguments)
            aliased, started = run_program(former, *arguments)
            self.assertThat((plain.exit_code, plain.stderr), Equals((0, "")), plain.output)
            self.assertThat((aliased.exit_code, started), Equals((0, expected)), aliased.output)
            self.assertThat(
                aliased.stderr,
                Equals(f"hoistsaddle {former} is now hoistsaddle {current}; the former name goes next release\n"),
            )
            self.assertThat(started["settings_file"], Equals("some.toml"))
            self.assertThat(started["flags"]["zone"], Equals("a"))

    def test_their_help_has_the_same_options(self) -> None:
        for former, current in CURRENT_NAMES.items():
            helps = [CliRunner().invoke(main, [name, "--help"]).output for name in (former, current)]
            self.assertThat(helps[0].replace(f" {former} ", f" {current} "), Equals(helps[1]))


class Refusals(TestCase):
    def test_usage_errors_are_printed_with_a_remedy(self) -> None:
        for arguments, text in (
            (["core"], "refused: no address given. Remedy: give --door IP:PORT or set HOISTSADDLE_DOORS."),
            (["plan"], "refused: nothing to plan. Remedy: give a bundle file, --drain, --undrain, --gone or --server."),
            (
                ["watch"],
                "refused: nothing to watch. Remedy: give --door and --stall, or set HOISTSADDLE_DOORS and "
                "HOISTSADDLE_STALLS.",
            ),
        ):
            result = CliRunner().invoke(main, arguments, env={"HOISTSADDLE_DOORS": "", "HOISTSADDLE_STALLS": ""})
            self.assertThat((result.exit_code, result.stderr), Equals((2, f"{text}\n")))

    def test_a_call_that_no_registry_answers_fails(self) -> None:
        result = CliRunner().invoke(main, ["core", "--door", "127.0.0.1:1"])
        self.assertThat(result.exit_code, Equals(1))
        self.assertThat(
            result.stderr,
            Equals(
                "refused: unreachable (field door): No registry answers at 127.0.0.1:1. "
                "Remedy: Check the addresses given with --door or HOISTSADDLE_DOORS.\n"
            ),
        )


async def serve(handler: Any) -> tuple[web.AppRunner, str]:
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, "{}:{}".format(*runner.addresses[0][:2])


class Calls(TestCase):
    def test_after_a_503_the_next_registry_is_called_with_the_same_request_id(self) -> None:
        seen: list[tuple[str, str]] = []

        async def scenario() -> tuple[int, dict]:
            async def cut_off(request: web.Request) -> web.Response:
                seen.append(("first", request.headers["X-Request-Id"]))
                return web.json_response({"refused": {}}, status=503)

            async def leading(request: web.Request) -> web.Response:
                seen.append(("second", request.headers["X-Request-Id"]))
                return web.json_response({"ok": True})

            (first_runner, first), (second_runner, second) = await serve(cut_off), await serve(leading)
            try:
                return await call_first_available(endpoints=("127.0.0.1:1", first, second), method="GET", path="/core")
            finally:
                await first_runner.cleanup()
                await second_runner.cleanup()

        self.assertThat(asyncio.run(scenario()), Equals((200, {"ok": True})))
        self.assertThat([name for name, _ in seen], Equals(["first", "second"]))
        self.assertThat(len({request_id for _, request_id in seen}), Equals(1))

    def test_proxies_that_do_not_answer_are_listed(self) -> None:
        async def scenario() -> tuple[list[dict], list[str]]:
            async def report(request: web.Request) -> web.Response:
                return web.json_response({"path": request.path})

            runner, address = await serve(report)
            try:
                return await read_reports(proxies=("127.0.0.1:1", address), path="/hoistsaddle/usage")
            finally:
                await runner.cleanup()

        self.assertThat(asyncio.run(scenario()), Equals(([{"path": "/hoistsaddle/usage"}], ["127.0.0.1:1"])))


class Reports(TestCase):
    def test_leases_and_retry_budgets_as_lines(self) -> None:
        holds = {
            "mesh_time_seconds": 12.34,
            "keys": [
                {"phase": "claimed", "entry": "pay", "seconds_left": 3.0, "key": "k", "stall": "stall-01"},
                {"phase": "settled", "entry": "", "seconds_left": 61.5, "key": "l", "stall": "stall-02"},
            ],
            "leaving": [
                {
                    "no_new_work_in_seconds": 1.5,
                    "forgotten_in_seconds": None,
                    "service": "ledger",
                    "stall": "stall-01",
                    "why": "drained",
                },
                {
                    "no_new_work_in_seconds": None,
                    "forgotten_in_seconds": 20.0,
                    "service": "ledger",
                    "stall": "stall-02",
                    "why": "gone",
                },
            ],
        }
        budgets = [{"room": {"ledger": {"part": 5, "room": 2.5}}}, {"room": {"ledger": {"part": 5, "room": 1.0}}}]
        self.assertThat(
            format_holds(holds, budgets),
            Equals(
                [
                    "at 12.3 s of mesh time",
                    "      3.0 s  key k for pay at stall-01: claimed, still working",
                    "     61.5 s  key l at stall-02: settled, its answer is kept",
                    "      1.5 s  ledger beside stall-01 (drained): gets no new work in 1.5 s at the latest",
                    "      0.0 s  ledger beside stall-02 (gone): gets no new work, is forgotten in 20 s",
                    "  retry budget left for ledger: 3.5 of 10",
                ]
            ),
        )

    def test_each_poll_asks_for_the_events_after_the_newest_seen(self) -> None:
        def event(number: int) -> dict:
            return {"number": number, "moment": f"2026-12-02T03:00:0{number}", "kind": "x", "owner": "o", "detail": {}}

        answers = [
            {"newest": 3, "happenings": [event(2), event(3)]},
            {"newest": 4, "happenings": [event(4)]},
            # The process was restarted: the poll that detects it shows nothing, the next one all events.
            {"newest": 1, "happenings": []},
            {"newest": 1, "happenings": [event(1)]},
        ]
        for past, first in ((False, []), (True, [2, 3])):
            follower, shown, addresses = EventFollower(sources=["a/happenings"], past=past), [], []
            for answer in answers:

                async def fetch(*, session: Any, address: str, answer: dict = answer, to: list = addresses) -> dict:
                    to.append(address)
                    return answer

                with mock.patch("hoistsaddle.cli.watch.fetch_report", fetch):
                    events = asyncio.run(follower.new_events(mock.Mock()))
                shown.append([each["number"] for each in events])
            self.assertThat(shown, Equals([first, [4], [], [1]]))
            self.assertThat(
                [address.rpartition("=")[2] for address in addresses],
                Equals(["-1", "3", "4", "-1"]),
            )

    def test_a_patch_file_that_is_not_utf_8_is_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "patch.toml"
            path.write_bytes(b"\xff")
            result = CliRunner().invoke(main, ["items", "check", str(path)])
        self.assertThat(result.exit_code, Equals(1))
        self.assertThat(result.stderr, Contains("refused: item-broken: The file is not UTF-8 text. Remedy: Save it"))

    def test_json_is_indented(self) -> None:
        with mock.patch("hoistsaddle.cli.operator_commands.call_or_exit", lambda **needs: {"b": [1], "a": {}}):
            result = CliRunner().invoke(main, ["core", "--door", "x:1"])
        self.assertThat(json.loads(result.output), Equals({"b": [1], "a": {}}))
        self.assertThat(result.output, Contains('  "b": ['))
