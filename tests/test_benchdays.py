"""Generated days for the users' bench: the content of a day, and that a seed always gives the same day."""

import tempfile
import tomllib
from pathlib import Path

from click.testing import CliRunner
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, MatchesAny

from hoistsaddle.cli.commands import main
from hoistsaddle.testbed.benchdays.scenarios import POINTS
from hoistsaddle.testbed.benchdays.site import BenchSite, read_site
from hoistsaddle.testbed.benchdays.writer import ALL, draw, text_of

SITE = """
name = "somewhere"
length_s = 28.0
zones = [{ name = "z-1", region = "r" }]
machines = [
  { class = "side", zone = "z-1", count = 4 },
  { class = "core", zone = "z-1", count = 3, spare = 2, disk = { mb = 256 } },
]
services = [{ name = "first" }, { name = "second" }]

[timing]
catch_up_s = 6.0

[config]
idle_routes = 100
invalid = ["torn"]

[tolerate]
machines = 2
"""
DAYS = 40
KNOWN = BenchSite(services=("first", "second"))


def drawn(point: str, seed: int = 1) -> list[dict]:
    return [tomllib.loads(text_of(draw(site=KNOWN, point=point, seed=seed, number=number))) for number in range(DAYS)]


def entries(day: dict) -> list[dict]:
    return [*day["plan"], *day["faults"]]


def kinds(days: list[dict]) -> set[str]:
    return {entry["kind"] for day in days for entry in entries(day)}


class BenchDays(TestCase):
    def test_every_entry_lies_in_its_day(self) -> None:
        for point in (*POINTS, ALL):
            for day in drawn(point):
                self.assertThat(len(entries(day)), GreaterThan(2), day["name"])
                for entry in entries(day):
                    self.assertTrue(0 < entry["at"] < KNOWN.length, f"{day['name']}: {entry}")
                    self.assertTrue(0 < entry.get("for_s", 1.0) <= KNOWN.length, f"{day['name']}: {entry}")

    def test_each_point_generates_its_kinds_of_events(self) -> None:
        needed = {
            "cutoff": {"core_cut", "node_freeze", "config_change"},
            "orders": {"ack_lost", "config_race", "bad_config", "config_storm", "after_ack_kill"},
            "losses": {"replace_core", "after_ack_wipe", "roll_term", "node_kill", "core_cut", "node_freeze"},
            "changes": {"config_change", "big_config", "after_ack_wipe", "replace_core"},
            "answers": {"garble", "answer_lost", "reset_conns", "node_freeze", "roll_term", "replace_with_reuse"},
        }
        for point, least in needed.items():
            self.assertThat(least - kinds(drawn(point)), Equals(set()), point)

    def test_long_cuts_and_hundreds_of_changes(self) -> None:
        away = [
            max((each.get("for_s", 0.0) for each in day["faults"] if each.get("count") == 1), default=0.0)
            for day in drawn("cutoff")
        ]
        self.assertThat(min(away), GreaterThan(19.9))
        changes = [sum(each["kind"] == "config_change" for each in day["plan"]) for day in drawn("changes")]
        self.assertThat(max(changes), GreaterThan(150))

    def test_closing_faults_of_every_form(self) -> None:
        days = [day for point in POINTS for day in drawn(point)]
        found = {(day["closing"]["kind"], day["closing"].get("how", "")) for day in days if "closing" in day}
        for kind in ("power_off_all", "wipe_after_ack", "kill_all"):
            for how in ("", "timed", "taken"):
                self.assertIn((kind, how), found)

    def test_no_more_successors_than_the_site_has(self) -> None:
        for day in drawn("losses"):
            replaced = sum(each["kind"] == "replace_core" for each in day["faults"])
            self.assertTrue(replaced <= KNOWN.spares, day["name"])

    def test_a_seed_gives_the_same_days_again(self) -> None:
        self.assertThat(drawn(ALL, seed=7), Equals(drawn(ALL, seed=7)))
        self.assertNotEqual(drawn(ALL, seed=7), drawn(ALL, seed=8))


class Command(TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def test_it_reads_the_site_and_writes_a_file_for_each_day(self) -> None:
        path = self.folder / "somewhere.toml"
        path.write_text(SITE)
        known = read_site(path)
        self.assertThat(
            (known.name, known.length, known.settle, known.losses, known.spares, known.services, known.many_routes),
            Equals(("somewhere", 28.0, 6.0, 2, 2, ("first", "second"), 800)),
        )
        out = self.folder / "days"
        result = CliRunner().invoke(
            main,
            ["fleet", "days", "--point", "answers", "--site", str(path), "--count", "3", "--out", str(out)],
        )
        self.assertThat(result.exit_code, Equals(0), result.output)
        files = sorted(out.iterdir())
        self.assertThat(len(files), Equals(3))
        for file in files:
            for entry in entries(tomllib.loads(file.read_text())):
                self.assertThat(
                    entry.get("service", "first"), MatchesAny(Equals("first"), Equals("second")), str(entry)
                )

    def test_an_invalid_site_file_is_rejected_with_a_remedy(self) -> None:
        path = self.folder / "other.toml"
        path.write_text("name = 1")
        result = CliRunner().invoke(
            main, ["fleet", "days", "--point", "all", "--site", str(path), "--out", str(self.folder)]
        )
        self.assertThat(result.exit_code, Equals(2))
        self.assertIn("Remedy", result.output)
