"""Writes usage as Parquet or CSV files with one schema."""

from datetime import datetime
from pathlib import Path

import pyarrow
from pyarrow import csv, parquet
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidSettings, MeshError

# Column names and descriptions are written into every file, so they must not change.
SCHEMA = pyarrow.schema(
    [
        pyarrow.field(
            "read_at", pyarrow.timestamp("ms", tz="UTC"), nullable=False, metadata={"about": "when the stall was read"}
        ),
        pyarrow.field("stall", pyarrow.string(), nullable=False, metadata={"about": "the entry's stall"}),
        pyarrow.field(
            "life",
            pyarrow.string(),
            nullable=False,
            metadata={"about": "that process's life: counts begin anew with each"},
        ),
        pyarrow.field("service", pyarrow.string(), nullable=False),
        pyarrow.field("entry", pyarrow.string(), nullable=False),
        pyarrow.field(
            "caller", pyarrow.string(), nullable=False, metadata={"about": "visitors, or the calling service"}
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
    """A table with a row for each proxy's process, service, entry, caller and outcome.

    Args:
        reports: The usage reports of the proxies.
        read_at: The wall-clock time when the reports were read.
    """
    rows = [
        {"read_at": read_at, "stall": report["stall"], "life": report["life"], **row}
        for report in reports
        for row in report["usage"]
    ]
    return pyarrow.Table.from_pylist(rows, schema=SCHEMA)


def _unknown_format(path: Path) -> MeshError:
    return InvalidSettings(
        f"{path.name} ends in neither .parquet nor .csv.", field="out", remedy="Use one of these extensions."
    )


def write_usage(table: pyarrow.Table, *, path: Path) -> Result[int, MeshError]:
    """Writes the table as Parquet or CSV, depending on the file extension, and returns the number of rows."""
    try:
        match path.suffix:
            case ".parquet":
                parquet.write_table(table, path)
            case ".csv":
                csv.write_csv(table, path)
            case _:
                return Failure(_unknown_format(path))
    except OSError as problem:
        message = f"{path} can't be written: {problem}."
        return Failure(InvalidSettings(message, field="out", remedy="Specify a writable file."))
    return Success(table.num_rows)
