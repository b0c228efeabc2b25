"""Reports of a scale run: a table with a fitted line for each figure, a file of all figures, and a plot."""

import csv
import statistics
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.testbed.scale.meter import Measured
from hoistsaddle.testbed.scale.run import Row
from hoistsaddle.testbed.scale.sizes import GOAL

FLEET = "fleet of nodes"
# The maximum of a figure is printed if it is more than this many times the value.
MIN_SPREAD = 1.005
# The point of each slope at the target size of the users; docs/CAPACITY.md derives claims and depth.
GOAL_POINTS: dict[str, float] = {
    FLEET: GOAL.nodes,
    "nodes": GOAL.nodes,
    "services": GOAL.services,
    "routes": GOAL.routes,
    # 350 changes and 69 restarts a day; 170,000 calls a second over 760 proxies.
    "changes an hour": 350 / 24,
    "restarts an hour": 69 / 24,
    "calls a second": 170_000 / GOAL.nodes,
}


class Fit(NamedTuple):
    """value = base + slope * point, by least squares."""

    base: float
    slope: float
    # The coefficient of determination, and the largest residual relative to the largest figure.
    explained: float
    worst: float

    def at(self, point: float) -> float:
        """The fitted value at a point."""
        return self.base + self.slope * point


def of_fleet(rows: Iterable[Row]) -> list[Measured]:
    """Converts rows of fleets to figures; several values of one name in a fleet become their median and maximum."""
    gathered: dict[tuple[int, str, str], list[float]] = {}
    for row in rows:
        gathered.setdefault((row.nodes, row.what, row.unit), []).append(row.value)
    return [
        Measured(FLEET, nodes, what, unit, statistics.median(values), max(values))
        for (nodes, what, unit), values in gathered.items()
    ]


def series_of(found: Iterable[Measured]) -> dict[tuple[str, str, str], list[Measured]]:
    """The figures by slope, name and unit."""
    series: dict[tuple[str, str, str], list[Measured]] = {}
    for each in found:
        series.setdefault((each.slope, each.what, each.unit), []).append(each)
    return series


def fit_of(points: list[Measured]) -> Fit | None:
    """The line through the figures; None for fewer than three points."""
    if len({each.point for each in points}) < 3:
        return None
    line = statistics.linear_regression([each.point for each in points], [each.value for each in points])
    mean = statistics.fmean(each.value for each in points)
    residuals = [each.value - line.intercept - line.slope * each.point for each in points]
    variance = sum((each.value - mean) ** 2 for each in points)
    largest = max(abs(each.value) for each in points)
    explained = 1 - sum(residual**2 for residual in residuals) / variance if variance else 1.0
    worst = max(abs(residual) for residual in residuals) / largest if largest else 0.0
    return Fit(line.intercept, line.slope, explained, worst)


def table_of(found: list[Measured]) -> list[str]:
    """One line for each figure: its points, and the line fitted to them."""
    lines = []
    before = ""
    for (slope, what, unit), points in series_of(found).items():
        if slope != before:
            lines.append(f"-- {slope}: {', '.join(f'{point:g}' for point in sorted({each.point for each in points}))}")
            before = slope
        values = "  ".join(_value_text(each) for each in points)
        fit = fit_of(points)
        fitted = "" if fit is None else f" | {_fit_text(fit, slope, points)}"
        lines.append(f"{what} [{unit}]: {values}{fitted}")
    return lines


def _value_text(measured: Measured) -> str:
    spread = f" (to {_format_number(measured.most)})" if _has_spread(measured) else ""
    return _format_number(measured.value) + spread


def _fit_text(fit: Fit, slope: str, points: list[Measured]) -> str:
    goal = GOAL_POINTS.get(slope)
    at_goal = ""
    # The line is extrapolated to at most twice its largest point, and to half of its smallest.
    if goal is not None and min(each.point for each in points) / 2 <= goal <= 2 * max(each.point for each in points):
        at_goal = f"; at {goal:g}: {_format_number(fit.at(goal))}"
    return (
        f"{_format_number(fit.base)} + {_format_number(fit.slope)} each, "
        f"explains {fit.explained:.2f}, worst miss {fit.worst:.0%}{at_goal}"
    )


def _has_spread(measured: Measured) -> bool:
    return measured.most > measured.value * MIN_SPREAD


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 or value == int(value) else f"{value:.3g}"


def write_figures(found: list[Measured], path: Path) -> None:
    """Writes all figures as CSV, or as Parquet by the file's suffix."""
    if path.suffix == ".parquet":
        import pyarrow
        import pyarrow.parquet

        columns = {name: [getattr(each, name) for each in found] for name in Measured._fields}
        columns["point"] = [float(point) for point in columns["point"]]
        columns["value"] = [float(value) for value in columns["value"]]
        columns["most"] = [float(value) for value in columns["most"]]
        pyarrow.parquet.write_table(pyarrow.table(columns), path)
        return
    with path.open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(Measured._fields)
        writer.writerows(found)


def plot(found: list[Measured], path: Path) -> None:
    """Plots every figure that has a fitted line, one panel for each slope and unit."""
    import matplotlib

    # The plot is written to a file, so no display is needed.
    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels: dict[tuple[str, str], list[list[Measured]]] = {}
    for (slope, _, unit), points in series_of(found).items():
        if len({each.point for each in points}) > 2:
            panels.setdefault((slope, unit), []).append(points)
    if not panels:
        return
    columns = min(3, len(panels))
    rows = -(-len(panels) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(columns * 6, rows * 4.5), squeeze=False)
    for number, axis in enumerate(axes.flat):
        if number >= len(panels):
            axis.set_visible(False)
            continue
        (slope, unit), lines = list(panels.items())[number]
        for points in lines:
            axis.plot(
                [each.point for each in points], [each.value for each in points], marker="o", label=points[0].what
            )
        axis.set_xlabel(slope)
        axis.set_ylabel(unit or "count")
        axis.legend(fontsize=5)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
