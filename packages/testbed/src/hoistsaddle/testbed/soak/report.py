"""What a soak is reported as: lines for people, a file of what each process used, and a plot of it."""

import csv
from collections import defaultdict
from pathlib import Path

from hoistsaddle.testbed.soak.processes import Usage
from hoistsaddle.testbed.soak.soak import MAX_LEFT_OUT, SoakReport

MEGABYTE = 1024 * 1024
# Rules that no hesitation of a machine can break: what a verdict may rest on that must not vary.
TIMELESS = ("MIXED", "MIXED at work", "UNASKED", "TWICE", "REFUSED", "ROUTE", "CONFIG taken", "CONFIG one content")


def verdict_of(report: SoakReport) -> str:
    """Return "held", "BROKEN", or "not judged": then the machine stood still for too much of the time."""
    if any(rule in TIMELESS or report.judged for rule in report.broken):
        return "BROKEN"
    return "held" if report.judged else "not judged"


def lines_of(report: SoakReport, *, again: str) -> list[str]:
    """Return a report for people.

    Args:
        report: of one soak.
        again: the command that repeats it.
    """
    day = report.day
    longest = max((pause.ended - pause.began for pause in report.pauses), default=0.0)
    lines = [
        f"seed {day.seed}: {verdict_of(report)}; {len(day.site.core)}+{len(day.site.sidecars)} processes, "
        f"{report.requests} requests, {report.changes} changes taken, signals {report.signals}",
        f"  outcomes {report.outcomes}",
        f"  longest standstill {longest:.2f} s, {report.left_out:.1%} of the time left out"
        + ("" if report.judged else f": over {MAX_LEFT_OUT:.0%}, rules with a bound in time are not judged"),
    ]
    lines += [f"  {line}" for line in _usage_lines(report.usage)]
    for rule, found in report.broken.items():
        lines.append(f"  BROKEN {rule} ({len(found)}): {found[0]} (again: {again})")
    for name, story in report.stories.items():
        lines += [f"    {name}", *(f"    {line}" for line in story)]
    return lines


def _by_process(usage: list[Usage]) -> dict[str, list[Usage]]:
    found: dict[str, list[Usage]] = defaultdict(list)
    for each in usage:
        found[each.name].append(each)
    return found


def _usage_lines(usage: list[Usage]) -> list[str]:
    """Return the process that grew most, and the most that any used."""
    if not usage:
        return []
    series = _by_process(usage)
    growth = {name: points[-1].memory - points[len(points) // 4].memory for name, points in series.items()}
    grown = max(growth, key=lambda name: growth[name])
    return [
        f"memory at most {max(each.memory for each in usage) / MEGABYTE:.0f} MB a process, "
        f"most growth after the first quarter {growth[grown] / MEGABYTE:.1f} MB ({grown}); "
        f"descriptors at most {max(each.descriptors for each in usage)}"
    ]


def write_usage(report: SoakReport, path: Path) -> None:
    """Write what each process used over the run as CSV."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["seed", "seconds", "process", "memory_bytes", "descriptors"])
        for each in report.usage:
            writer.writerow([report.day.seed, round(each.at, 2), each.name, each.memory, each.descriptors])


def plot_usage(report: SoakReport, path: Path) -> None:
    """Draw memory and descriptors of each process over the run."""
    import matplotlib

    # Without a display: the picture goes into a file.
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
