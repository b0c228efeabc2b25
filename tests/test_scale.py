"""The scale command at a small size: hollow proxies with a real core, the slopes, and the counting of frames.

No duration is compared with a limit: durations are what the command measures.
"""

import asyncio
import csv
import selectors
import tempfile
from datetime import timedelta
from pathlib import Path
from unittest import mock

from click.testing import CliRunner
from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.cli.fleet_commands import fleet
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.messages import ProbeAnswer, ProbeCall
from hoistsaddle.rpc.server import RpcServer
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.testbed.scale.clock import make_loop
from hoistsaddle.testbed.scale.membership_costs import tree_of
from hoistsaddle.testbed.scale.meter import Measured
from hoistsaddle.testbed.scale.report import fit_of
from hoistsaddle.testbed.scale.run import Plan, ScaleFleet, run_fleet
from hoistsaddle.testbed.scale.sizes import GOAL, Size, make_state, sized
from hoistsaddle.testbed.scale.slopes import SLOPES, take


class Command(TestCase):
    def test_a_small_fleet_and_one_slope_produce_a_table_a_file_and_a_plot(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            figures, picture = Path(folder) / "figures.csv", Path(folder) / "picture.png"
            options = {"sizes": 6, "slope": "services", "whole": 1, "together": 3, "seed": 5, "losses": 1, "calls": 8}
            options |= {"keyed": 8, "quiet-seconds": 1, "load-seconds": 1, "figures": figures, "plot": picture}
            arguments = [part for name, value in options.items() for part in (f"--{name}", str(value))]
            result = CliRunner().invoke(fleet, ["scale", "--small", *arguments])
            self.assertThat(result.exit_code, Equals(0), result.output)
            with figures.open(encoding="utf-8") as file:
                rows = list(csv.DictReader(file))
            self.assertThat(picture.read_bytes()[:4], Equals(b"\x89PNG"))
        self.assertThat(result.output, Contains("seed 5;"))
        found = {row["what"]: float(row["value"]) for row in rows if row["slope"] == "fleet of nodes"}
        # Every proxy, hollow or full, applied the changes and learned of the loss from the log.
        self.assertThat(found["a change: proxies that never had it"], Equals(0))
        self.assertThat(found["1 lost at once: proxies that never knew from the log"], Equals(0))
        self.assertThat(found["leader killed: proxies that never had it"], Equals(0))
        # Hollow proxies use the complete protocol: polls, health reports, probes, calls and claims were sent.
        for kind in ("out PollCall", "out HealthCall", "out ProbeCall"):
            self.assertThat(found[f"quiet: bytes of a proxy: {kind}"] > 0, Equals(True), kind)
        self.assertThat(found["load: answered keyed 200"] > 0, Equals(True))
        self.assertThat(found["load: answered plain 200"] > 0, Equals(True))
        self.assertThat(found["load: answered whole 200"] > 0, Equals(True))
        self.assertThat(found["load: records of the leader"] > 0, Equals(True))

    def test_what_cannot_be_read_is_refused_with_a_remedy(self) -> None:
        for arguments in (["--sizes", "many"], ["--slope", "hopes"], ["--losses", "x"]):
            result = CliRunner().invoke(fleet, ["scale", *arguments])
            self.assertThat(result.exit_code, Equals(2))
            self.assertThat(result.output, Contains("Remedy: see --list"))

    def test_a_run_over_its_time_says_at_what_size_and_keeps_its_figures(self) -> None:
        lines: list[str] = []
        plan = Plan(nodes=2, core=1, full=0, together=2, most_seconds=0.0)
        rows = asyncio.run(run_fleet(plan, write_line=lines.append))
        self.assertThat([row.nodes for row in rows if row.what.startswith("BROKE")], Equals([2]))
        self.assertThat(lines[-1], Contains("2 nodes BROKE: not done within 0 s"))

    def test_more_processes_than_allowed_are_not_started(self) -> None:
        lines: list[str] = []
        rows = asyncio.run(run_fleet(Plan(nodes=40, full=0, together=1), write_line=lines.append))
        self.assertThat([row.what for row in rows], Equals([lines[-1].removeprefix("40 nodes ")]))
        self.assertThat(lines[-1], Contains("43 processes, 30 are allowed"))

    def test_two_fleets_created_together_share_no_address(self) -> None:
        plan = Plan(nodes=2, core=1, full=0, together=2)
        with tempfile.TemporaryDirectory() as folder:
            one, two = (ScaleFleet(plan=plan, folder=Path(folder), write_line=str) for _ in range(2))
            self.addCleanup(one.address_reservation.close)
            self.addCleanup(two.address_reservation.close)
        self.assertThat(one.core[0].job.block == two.core[0].job.block, Equals(False))


class Slopes(TestCase):
    def test_each_has_four_points_or_more_and_its_counts_come_out_the_same(self) -> None:
        for name, (_, points, few) in SLOPES.items():
            self.assertThat((len(points) >= 4, len(few) >= 4), Equals((True, True)), name)
        names = ["services", "keyed claims a second", "changes an hour"]
        one, two = (
            # Times vary, and memory depends on objects that the interpreter already shares; the rest are counts.
            [
                each
                for each in take(names, small=True, rounds=1, write_line=str)
                if each.unit != "ms" and "memory" not in each.what
            ]
            for _ in range(2)
        )
        self.assertThat(one, Equals(two))
        claims = [each.value for each in one if each.what == "claims on one line in a second"]
        self.assertThat(claims, Equals(sorted(set(claims))))

    def test_a_line_is_fitted_with_its_worst_miss(self) -> None:
        points = [Measured("nodes", point, "x", "ms", 3 + 2 * point, 0) for point in (1, 2, 3, 4)]
        fit = fit_of(points)
        self.assertThat([round(each, 9) for each in (*fit, fit.at(10))], Equals([3, 2, 1, 0, 23]))
        bent = [*points[:3], points[3]._replace(value=21.0)]
        self.assertThat(fit_of(bent).worst > 0.1, Equals(True))
        self.assertThat(fit_of(points[:2]), Equals(None))

    def test_a_configuration_of_the_target_size(self) -> None:
        self.assertThat(sized(760), Equals(GOAL))
        state = make_state(GOAL._replace(holds=50))
        self.assertThat(len(data_plane_items(state)), Equals(2 * 760 + 150 + 300 + 1 + 1))
        self.assertThat(unpack_state(pack_state(state)), Equals(state))
        depths = tree_of(GOAL, roots=7)
        self.assertThat((len(depths), min(depths.values()), max(depths.values())), Equals((760, 1, 3)))
        self.assertThat(tree_of(Size(1, 1, 1), roots=3), Equals({"stall-0000": 1}))


class Counted(TestCase):
    def test_both_ends_of_a_connection_count_the_same_frames_and_bytes(self) -> None:
        async def scenario():
            async def answer(message):
                return ProbeAnswer("there", ())

            server = RpcServer(address="127.19.250.1:7100", handler=answer)
            await server.start()
            rpc_client = RpcClient()
            for _ in range(3):
                await rpc_client.call(server.address, ProbeCall("here", ()), within=timedelta(seconds=20))
            rpc_client.close()
            await server.stop()
            return rpc_client.traffic, server.traffic

        here, there = asyncio.run(scenario())
        self.assertThat(dict(here.frames), Equals({("out", "ProbeCall"): 3, ("in", "ProbeAnswer"): 3}))
        self.assertThat(dict(there.frames), Equals({("in", "ProbeCall"): 3, ("out", "ProbeAnswer"): 3}))
        self.assertThat(here.octets["out", "ProbeCall"], Equals(there.octets["in", "ProbeCall"]))
        self.assertThat(here.octets["in", "ProbeAnswer"], Equals(there.octets["out", "ProbeAnswer"]))

    def test_a_stretched_loop_reads_a_slower_clock(self) -> None:
        machine_time, waits = [5000.0], []
        select_now = selectors.DefaultSelector.select

        def select(selector: selectors.BaseSelector, timeout: float | None = None) -> list:
            # The machine's clock advances only by the timeouts that the loop requests.
            machine_time[0] += max(0.0, timeout or 0.0)
            # Timeouts below a microsecond are rounding errors.
            waits.extend([round(timeout, 6)] if timeout and timeout > 1e-6 else [])
            return select_now(selector, 0)

        loop = make_loop(stretch=8)
        try:
            with (
                mock.patch.object(selectors.DefaultSelector, "select", select),
                mock.patch("time.monotonic", lambda: machine_time[0]),
            ):
                self.assertThat(loop.time(), Equals(625.0))
                loop.run_until_complete(asyncio.sleep(0.01))
                self.assertThat(waits, Equals([0.08]))
                self.assertThat(round(loop.time() - 625, 6), Equals(0.01))
        finally:
            loop.close()
