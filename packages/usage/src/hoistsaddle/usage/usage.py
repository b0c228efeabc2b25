"""Usage as Parquet or CSV with one schema, written by pyarrow."""

from datetime import datetime
from pathlib import Path

import pyarrow
from pyarrow import csv, parquet
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError

SCHEMA = pyarrow.schema(
    [
        pyarrow.field(
            "read_at", pyarrow.timestamp("ms", tz="UTC"), nullable=False, metadata={"about": "when the proxy was read"}
        ),
        pyarrow.field("stall", pyarrow.string(), nullable=False, metadata={"about": "the entry's proxy"}),
        pyarrow.field(
            "life",
            pyarrow.string(),
            nullable=False,
            metadata={"about": "that process's life: counts begin anew with each"},
        ),
        pyarrow.field("service", pyarrow.string(), nullable=False),
        pyarrow.field("entry", pyarrow.string(), nullable=False),
        pyarrow.field(
            "caller", pyarrow.string(), nullable=False, metadata={"about": "clients, or the calling service"}
        ),
        pyarrow.field(
            "outcome",
            pyarrow.string(),
            nullable=False,
            metadata={"about": "answered, not-run, still-working, unknown or refused"},
        ),
        pyarrow.field("requests", pyarrow.int64(), nullable=False),
        pyarrow.field("further_sends", pyarrow.int64(), nullable=False),
        pyarrow.field("body_bytes", pyarrow.int64(), nullable=False, metadata={"about": "taken in from callers"}),
        pyarrow.field("answer_bytes", pyarrow.int64(), nullable=False, metadata={"about": "given back to callers"}),
    ]
)


def table_of(reports: list[dict], *, read_at: datetime) -> pyarrow.Table:
    """One row for each proxy's life, service, entry, caller and outcome."""
    rows = [
        {"read_at": read_at, "stall": each["stall"], "life": each["life"], **row}
        for each in reports
        for row in each["usage"]
    ]
    return pyarrow.Table.from_pylist(rows, schema=SCHEMA)


def write_usage(table: pyarrow.Table, *, path: Path) -> Result[int, MeshError]:
    writers = {".parquet": lambda: parquet.write_table(table, path), ".csv": lambda: csv.write_csv(table, path)}
    if path.suffix not in writers:
        return Failure(
            MeshError(
                ErrorKind.PARAMS,
                f"{path.name} ends in neither .parquet nor .csv.",
                "Name the file by the format wanted.",
                "out",
            )
        )
    try:
        writers[path.suffix]()
    except OSError as problem:
        return Failure(
            MeshError(
                ErrorKind.PARAMS, f"{path} can't be written: {problem}.", "Name a file that can be written.", "out"
            )
        )
    return Success(table.num_rows)
