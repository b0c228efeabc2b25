"""Reports of a soak: text lines, and the usage of each process as a CSV file and as a plot."""

import csv
from collections import defaultdict
from pathlib import Path

from hoistsaddle.testbed.soak.processes import Usage
from hoistsaddle.testbed.soak.soak import MAX_EXCLUDED_SHARE, SoakReport

MEGABYTE = 1024 * 1024
# Rules that no delay of the machine can break; their violations count even if timed rules are not checked.
UNTIMED_RULES = ("MIXED", "MIXED at work", "UNASKED", "TWICE", "REFUSED", "ROUTE", "CONFIG taken", "CONFIG one content")


def verdict_of(report: SoakReport) -> str:
    """Return "held", "BROKEN", or, if pauses took too much of the time, "not judged"."""
    if any(rule in UNTIMED_RULES or report.timed_rules_apply for rule in report.broken):
        return "BROKEN"
    return "held" if report.timed_rules_apply else "not judged"


def lines_of(report: SoakReport, *, again: str) -> list[str]:
    """Return the report as text.

    Args:
        report: the results of one soak.
        again: the command that repeats the soak.
    """
    day = report.day
    longest = max((pause.ended - pause.began for pause in report.pauses), default=0.0)
    lines = [
        f"seed {day.seed}: {verdict_of(report)}; {len(day.site.core)}+{len(day.site.sidecars)} processes, "
        f"{report.requests} requests, {report.changes} changes taken, signals {report.signals}",
        f"  outcomes {report.outcomes}",
        f"  longest standstill {longest:.2f} s, {report.excluded_share:.1%} of the time left out"
        + (
            ""
            if report.timed_rules_apply
            else f": over {MAX_EXCLUDED_SHARE:.0%}, rules with a bound in time are not judged"
        ),
    ]
    lines += [f"  {line}" for line in _usage_lines(report.usage)]
    for rule, violations in report.broken.items():
        lines.append(f"  BROKEN {rule} ({len(violations)}): {violations[0]} (again: {again})")
    for name, events in report.event_traces.items():
        lines += [f"    {name}", *(f"    {line}" for line in events)]
    return lines


def _by_process(usage: list[Usage]) -> dict[str, list[Usage]]:
    usage_by_process: dict[str, list[Usage]] = defaultdict(list)
    for each in usage:
        usage_by_process[each.name].append(each)
    return usage_by_process


def _usage_lines(usage: list[Usage]) -> list[str]:
    """Return the largest usage of any process, and the process whose memory grew most."""
    if not usage:
        return []
    usage_by_process = _by_process(usage)
    growth = {name: points[-1].memory - points[len(points) // 4].memory for name, points in usage_by_process.items()}
    fastest_growing = max(growth, key=lambda name: growth[name])
    return [
        f"memory at most {max(each.memory for each in usage) / MEGABYTE:.0f} MB a process, "
        f"most growth after the first quarter {growth[fastest_growing] / MEGABYTE:.1f} MB ({fastest_growing}); "
        f"descriptors at most {max(each.descriptors for each in usage)}"
    ]


def write_usage(report: SoakReport, path: Path) -> None:
    """Write the usage of each process over the run as CSV."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["seed", "seconds", "process", "memory_bytes", "descriptors"])
        for each in report.usage:
            writer.writerow([report.day.seed, round(each.at, 2), each.name, each.memory, each.descriptors])


def plot_usage(report: SoakReport, path: Path) -> None:
    """Plot memory and descriptors of each process over the run."""
    import matplotlib

    # The plot is written to a file, so no display is needed.
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (memory, descriptors) = pyplot.subplots(2, 1, figsize=(10, 8), sharex=True)
    for name, points in sorted(_by_process(report.usage).items()):
        seconds = [each.at - report.usage[0].at for each in points]
        memory.plot(seconds, [each.memory / MEGABYTE for each in points], label=name, linewidth=0.8)
        descriptors.plot(seconds, [each.descriptors for each in points], linewidth=0.8)
    memory.set_ylabel("memory, MB")
    descriptors.set_ylabel("descriptors")
    descriptors.set_xlabel("seconds")
    if len(_by_process(report.usage)) <= 20:
        memory.legend(fontsize="x-small", ncols=2)
    figure.savefig(path)
    pyplot.close(figure)
