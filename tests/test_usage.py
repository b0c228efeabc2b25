"""Usage is exported as Parquet and CSV under one schema, and adds up to what the callers requested."""

import tempfile
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

from pyarrow import csv, parquet
from returns.result import Failure
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import RequestResult
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, simulate
from hoistsaddle.usage.usage import SCHEMA, table_of, write_usage


class Usage(TestCase):
    def test_files_add_up_to_the_requests(self) -> None:
        reports: list[dict] = []

        async def scenario(simulation: SimulatedDeployment) -> None:
            await simulation.start()
            await simulation.clients.load(seconds=5, rate=30)
            for name in simulation.processes.proxies:
                core = simulation.processes.nodes[name].core
                usage = [
                    dict(
                        zip(
                            (
                                "service",
                                "entry",
                                "caller",
                                "outcome",
                                "requests",
                                "further_sends",
                                "body_bytes",
                                "answer_bytes",
                            ),
                            (*key, *amounts),
                            strict=False,
                        )
                    )
                    for key, amounts in core.ingress.usage.items()
                ]
                reports.append({"stall": name, "life": simulation.processes.nodes[name].incarnation, "usage": usage})

        simulation = simulate(deployment=DEPLOYMENTS["thimble"], seed=2, scenario=scenario)
        table = table_of(reports, read_at=datetime(2026, 12, 1, tzinfo=UTC))
        with tempfile.TemporaryDirectory() as folder:
            for name, read in (("usage.parquet", parquet.read_table), ("usage.csv", csv.read_csv)):
                path = Path(folder) / name
                self.assertThat(write_usage(table, path=path).unwrap(), Equals(table.num_rows))
                again = read(path)
                self.assertThat(again.column_names, Equals(SCHEMA.names))
                requested = Counter()
                for row in again.to_pylist():
                    if row["caller"] == "visitors":
                        requested[row["outcome"]] += row["requests"]
                self.assertThat(
                    requested,
                    Equals(Counter(got.outcome for got in simulation.history.of(RequestResult) if not got.caller)),
                )
            self.assertThat(
                parquet.read_schema(Path(folder) / "usage.parquet").equals(SCHEMA, check_metadata=True), Equals(True)
            )
            self.assertThat(write_usage(table, path=Path(folder) / "usage.xls"), IsInstance(Failure))
