"""Generates days and writes each as a TOML file that can be given to the bench instead of a day's name."""

from pathlib import Path
from typing import Any

from hoistsaddle.testbed.benchdays.draft import DayEntry, Draft
from hoistsaddle.testbed.benchdays.events import ADDITIONAL_EVENTS, final_fault
from hoistsaddle.testbed.benchdays.scenarios import POINTS
from hoistsaddle.testbed.benchdays.site import BenchSite

# Selects days that mix several points.
ALL = "all"
# How many points such a day mixes.
MIXED_POINTS = 2
MAX_ADDITIONAL_EVENTS = 3


def draw(*, site: BenchSite, point: str, seed: int, number: int) -> Draft:
    """Generates one day: the scenario of its point (or of several), additional events, and the final fault."""
    draft = Draft(site=site, seed=seed, point=point, number=number)
    chosen = draft.random.sample(sorted(POINTS), MIXED_POINTS) if point == ALL else [point]
    for name in chosen:
        POINTS[name](draft)
    for _ in range(draft.random.randint(0, MAX_ADDITIONAL_EVENTS)):
        draft.random.choice(ADDITIONAL_EVENTS)(draft)
    final_fault(draft)
    return draft


def _value(value: Any) -> str:
    if isinstance(value, float):
        return str(round(value, 3))
    return f'"{value}"' if isinstance(value, str) else str(value)


def _table(fields: dict[str, Any]) -> str:
    return "{ " + ", ".join(f"{name} = {_value(value)}" for name, value in fields.items()) + " }"


def _entries(name: str, day_entries: list[DayEntry]) -> list[str]:
    ordered = sorted(day_entries, key=lambda entry: entry.at)
    return [
        f"{name} = [",
        *(f"  {_table({'at': round(entry.at, 2), 'kind': entry.kind, **entry.fields})}," for entry in ordered),
        "]",
    ]


def text_of(draft: Draft) -> str:
    """The content of the day's TOML file."""
    name = f"{draft.point}-{draft.number}"
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {draft.seed}"]
    if draft.closing:
        lines.append(f"closing = {_table(draft.closing)}")
    return "\n".join([*lines, *_entries("plan", draft.plan), *_entries("faults", draft.faults), ""])


def write(*, site: BenchSite, point: str, seed: int, count: int, folder: Path) -> list[Path]:
    """Writes `count` days and returns their files; the same site, point and seed always give the same days."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for number in range(1, count + 1):
        path = folder / f"{site.name}-{point}-{seed}-{number}.toml"
        path.write_text(text_of(draw(site=site, point=point, seed=seed, number=number)))
        paths.append(path)
    return paths
