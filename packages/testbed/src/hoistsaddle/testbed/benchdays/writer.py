"""Draws days and writes each as a TOML file that the bench takes in place of a day's name."""

from pathlib import Path
from typing import Any

from hoistsaddle.testbed.benchdays.draft import DayEntry, Draft
from hoistsaddle.testbed.benchdays.scenarios import BESIDE, POINTS, closing
from hoistsaddle.testbed.benchdays.site import BenchSite

ALL = "all"
# So many points meet in a day of all of them.
MIXED_POINTS = 2
MOST_BESIDE = 3


def draw(*, site: BenchSite, point: str, seed: int, number: int) -> Draft:
    """One day: its point (or two of them), some troubles beside it, and the closing fault."""
    draft = Draft(site=site, seed=seed, point=point, number=number)
    chosen = draft.random.sample(sorted(POINTS), MIXED_POINTS) if point == ALL else [point]
    for name in chosen:
        POINTS[name](draft)
    for _ in range(draft.random.randint(0, MOST_BESIDE)):
        draft.random.choice(BESIDE)(draft)
    closing(draft)
    return draft


def _value(told: Any) -> str:
    if isinstance(told, float):
        return str(round(told, 3))
    return f'"{told}"' if isinstance(told, str) else str(told)


def _table(fields: dict[str, Any]) -> str:
    return "{ " + ", ".join(f"{name} = {_value(told)}" for name, told in fields.items()) + " }"


def _entries(name: str, day_entries: list[DayEntry]) -> list[str]:
    ordered = sorted(day_entries, key=lambda each: each.at)
    return [
        f"{name} = [",
        *(f"  {_table({'at': round(each.at, 2), 'kind': each.kind, **each.fields})}," for each in ordered),
        "]",
    ]


def text_of(draft: Draft) -> str:
    name = f"{draft.point}-{draft.number}"
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {draft.seed}"]
    if draft.closing:
        lines.append(f"closing = {_table(draft.closing)}")
    return "\n".join([*lines, *_entries("plan", draft.plan), *_entries("faults", draft.faults), ""])


def write(*, site: BenchSite, point: str, seed: int, count: int, folder: Path) -> list[Path]:
    """Writes `count` days; those of one seed are the same wherever they are drawn."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for number in range(1, count + 1):
        path = folder / f"{site.name}-{point}-{seed}-{number}.toml"
        path.write_text(text_of(draw(site=site, point=point, seed=seed, number=number)))
        paths.append(path)
    return paths
