"""What a scale run found: a table with a line fitted to each figure, a file of all figures, and a plot."""

import csv
import statistics
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.testbed.scale.run import Row
from hoistsaddle.testbed.scale.sizes import GOAL
from hoistsaddle.testbed.scale.slopes import Measured

FLEET = "fleet of nodes"
# Where each slope stands at the size we head for; holds, claims and depth are worked out on the page.
GOAL_POINTS: dict[str, float] = {
    FLEET: GOAL.nodes,
    "nodes": GOAL.nodes,
    "services": GOAL.services,
    "routes": GOAL.routes,
    # 350 changes and 69 restarts a day; 170,000 calls a second over 760 stalls.
    "changes an hour": 350 / 24,
    "restarts an hour": 69 / 24,
    "calls a second": 170_000 / GOAL.nodes,
}


class Fit(NamedTuple):
    """value = base + slope * point, by least squares."""

    base: float
    slope: float
    # The share of the figures' variance that the line explains, and its worst miss in parts of the largest figure.
    explained: float
    worst: float

    def at(self, point: float) -> float:
        return self.base + self.slope * point


def of_fleet(rows: Iterable[Row]) -> list[Measured]:
    """Several figures of one name in one fleet become their median and the largest."""
    gathered: dict[tuple[int, str, str], list[float]] = {}
    for row in rows:
        gathered.setdefault((row.nodes, row.what, row.unit), []).append(row.value)
    return [
        Measured(FLEET, nodes, what, unit, statistics.median(values), max(values))
        for (nodes, what, unit), values in gathered.items()
    ]


def series_of(found: Iterable[Measured]) -> dict[tuple[str, str, str], list[Measured]]:
    series: dict[tuple[str, str, str], list[Measured]] = {}
    for each in found:
        series.setdefault((each.slope, each.what, each.unit), []).append(each)
    return series


def fit_of(points: list[Measured]) -> Fit | None:
    if len({each.point for each in points}) < 3:
        return None
    line = statistics.linear_regression([each.point for each in points], [each.value for each in points])
    mean = statistics.fmean(each.value for each in points)
    misses = [each.value - line.intercept - line.slope * each.point for each in points]
    whole = sum((each.value - mean) ** 2 for each in points)
    largest = max(abs(each.value) for each in points)
    explained = 1 - sum(miss**2 for miss in misses) / whole if whole else 1.0
    worst = max(abs(miss) for miss in misses) / largest if largest else 0.0
    return Fit(line.intercept, line.slope, explained, worst)


def table_of(found: list[Measured]) -> list[str]:
    """One line for each figure: its points, and the line through them."""
    lines = []
    before = ""
    for (slope, what, unit), points in series_of(found).items():
        if slope != before:
            lines.append(f"-- {slope}: {', '.join(f'{point:g}' for point in sorted({each.point for each in points}))}")
            before = slope
        told = "  ".join(
            _number(each.value) + (f" (to {_number(each.most)})" if _spread(each) else "") for each in points
        )
        fit = fit_of(points)
        if fit is None:
            lines.append(f"{what} [{unit}]: {told}")
            continue
        goal = GOAL_POINTS.get(slope)
        # A line is followed a little beyond its points, not far.
        near = goal is not None and min(each.point for each in points) / 2 <= goal <= 2 * max(
            each.point for each in points
        )
        at_goal = f"; at {goal:g}: {_number(fit.at(goal))}" if near else ""
        lines.append(
            f"{what} [{unit}]: {told} | {_number(fit.base)} + {_number(fit.slope)} each, "
            f"explains {fit.explained:.2f}, worst miss {fit.worst:.0%}{at_goal}"
        )
    return lines


def _spread(each: Measured) -> bool:
    return each.most > each.value * 1.005


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 or value == int(value) else f"{value:.3g}"


def write_figures(found: list[Measured], path: Path) -> None:
    """CSV, or Parquet by the file's ending."""
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
    """Every figure that has a line through it, one panel for each slope and unit."""
    import matplotlib

    # No display is asked for: the picture goes into a file.
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
    for place, axis in enumerate(axes.flat):
        if place >= len(panels):
            axis.set_visible(False)
            continue
        (slope, unit), lines = list(panels.items())[place]
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
