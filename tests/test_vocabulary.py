"""No word of the withdrawn house vocabulary comes back: names and prose use the field's terms.

docs/glossary.md maps the old words to the new ones; docs/style.md is the page on words. What must keep an old word,
because it is on disk, on the wire, in a settings file or in a shell script, stands in ALLOWED with its reason.

`python tests/test_vocabulary.py` prints where withdrawn words still stand, in the form of UNFINISHED.
"""

import io
import re
import tokenize
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Contains, Equals

ROOT = Path(__file__).parent.parent
# Word to the term that is used in its place. Checked in all text, as a part of a name, in singular and plural.
WITHDRAWN = {
    # Former packages and programs.
    "arcade": "emulator",
    "arena": "emulator",
    "bourse": "registry",
    "broker": "sidecar",
    "crier": "membership",
    "docket": "usage",
    "fairground": "testbed",
    "haggle": "rpc",
    "kiosk": "cli",
    "market": "controller",
    "shelf": "statemachine",
    "stall": "proxy",
    "tally": "common",
    "tariff": "config",
    "warehouse": "store",
    # Former terms.
    "ballot": "vote request",
    "hardship": "fault",
    "mishap": "error",
    "parcel": "message",
    "plant": "injected fault",
    "twist": "fault",
    "uptake": "applied version",
    "vitals": "health",
}
# Common English that was used as a term: withdrawn as a part of Python names, free in sentences.
WITHDRAWN_NAMES = {
    "backlog": "queue",
    "brisk": "fast",
    "customs": "adapter",
    "deal": "request",
    "dice": "random source",
    "farewell": "final send",
    "fate": "outcome",
    "harm": "fault",
    "informant": "responsive core machine",
    "judged": "checked, rejected or decided",
    "lane": "connection",
    "moment": "time or timestamp",
    "pace": "timings or latency",
    "pulse": "keep-alive",
    "rumour": "member state",
    "scales": "planner",
    "setup": "configuration",
    "spoiled": "invalid",
    "stood": "frozen",
    "sweep": "expiry",
    "told": "acknowledged, notified or reported",
    "trouble": "fault",
    "twin": "duplicate",
    "vain": "unused or unanswered",
    "visitor": "client",
    "warden": "node monitor",
    "whole": "complete",
}


class Allowed(NamedTuple):
    """Text that keeps a withdrawn word, the files in which it may, and why."""

    pattern: str
    paths: tuple[str, ...]
    reason: str


EVERYWHERE = ("",)
ALLOWED = (
    # Settings, items and bundles: the users' own files name these fields.
    Allowed(r"\bvitals_(door|seconds|path)\b", EVERYWHERE, "settings and a field of service items"),
    Allowed(r"\b(bourse|warehouse)_port\b", EVERYWHERE, "settings of a controller"),
    Allowed(r"\buptake_seconds\b", EVERYWHERE, "a setting of a controller"),
    Allowed(r"\bbacklog\b", EVERYWHERE, "a setting of proxies and sidecars"),
    Allowed(r"\bdisk_stall_seconds\b", EVERYWHERE, "a setting of a store"),
    Allowed(r"\bplant_addr\b", EVERYWHERE, "a setting of the users' platform"),
    Allowed(
        r"\b(warehouse|bourse) = |core\[[^]]*\]\.(warehouse|bourse)\b",
        EVERYWHERE,
        "a core machine's addresses in settings files",
    ),
    Allowed(r"^stalls = |\bGive stalls, zones\b", EVERYWHERE, "a field of a bundle's stages"),
    # Records, keys and kinds on disk, on the wire and in the operators' interface.
    Allowed(
        r"[\"'](stalls?|bourse|warehouse|mishap|setup|visitors?)[\"']",
        EVERYWHERE,
        "encoded kinds, fields, parts of a read",
    ),
    Allowed(r"\b(stall|bourse|warehouse|market|broker)-(\d+|\{)", EVERYWHERE, "names of processes in fleets and logs"),
    Allowed(r"/hoistsaddle/vitals\b", EVERYWHERE, "a path of the operators' interface"),
    Allowed(r"/happenings\?warehouse=", EVERYWHERE, "a parameter of the operators' interface"),
    Allowed(r"[\"']/uptake[\"']", EVERYWHERE, "a path of the operators' interface"),
    Allowed(r"[\"']warehouses[\"']", EVERYWHERE, "a key of the operators' interface"),
    Allowed(
        r"\{(mishap|stall)\}|\bmishap=|\bstall=call\.node\b",
        EVERYWHERE,
        "details of events in the operators' interface",
    ),
    Allowed(
        r"[\"']vitals\.([a-z_]*[\"']|\{)|\bmishaps\b[.\"']", EVERYWHERE, "names of counters in the operators' interface"
    ),
    Allowed(
        r"\"(stall noted|(stall|bourse|warehouse) up)\"", EVERYWHERE, "names of events in the operators' interface"
    ),
    Allowed(r"\"(when the stall was read|the entry's stall)\"", ("packages/usage",), "columns of exported files"),
    Allowed(
        r"\"[A-Z][A-Za-z]*Call\"",
        ("packages/rpc/src/hoistsaddle/rpc/message_names.py", "tests/"),
        "names of calls in counters of the operators' interface",
    ),
    Allowed(
        r"`(stalls|warehouse|bourse|(GET )?/uptake|([a-z]+\.)?mishaps?(\.\*)?)`|&warehouse=REPLICA\b",
        ("docs/operators/",),
        "settings, paths, keys and counters of the operators' interface",
    ),
    # The command line.
    Allowed(r"[\"'](market|broker)[\"']", EVERYWHERE, "former subcommands, which stay as aliases"),
    Allowed(r"--stall\b|\bHOISTSADDLE_STALLS\b|--vitals-door\b", EVERYWHERE, "options and an environment variable"),
    Allowed(r"\bstalls?\b", ("packages/cli",), "parameters that click derives from that option and an argument"),
    Allowed(r"\bsetup\b", ("packages/cli",), "a subcommand, which click derives from the function"),
    Allowed(r"\bSTALL\b", ("packages/cli",), "the name of an argument in the help"),
    Allowed(r"FORMER_CLI = \"kiosk\"", EVERYWHERE, "the former package's name on a command line"),
    Allowed(r"\"stalls_killed\": ", EVERYWHERE, "the former name of a scenario"),
    # What seeds draws: another text would play another day.
    Allowed(r"\"arena \{day\.seed\}\"", EVERYWHERE, "seeds the emulator's draws"),
    # Other meanings.
    Allowed(
        r"\bdisk_stall(_timeout)?\b|\bstall_disk\b|\bSTALL_DISK\b|\bdisks stall\b|\bELECTABLE_STALL_DIVISOR\b",
        EVERYWHERE,
        "a disk that stalls",
    ),
    Allowed(r"\bwhole_number\b", EVERYWHERE, "an integer"),
    # Methods of others.
    Allowed(r"\bsetUp\b", EVERYWHERE, "testtools' own method"),
    Allowed(r"\brunner\.setup\b", EVERYWHERE, "aiohttp's own method"),
)
# Word to the parts of the tree that still hold it: a part leaves the list once it is finished.
UNFINISHED: dict[str, tuple[str, ...]] = {}
NOT_READ = (
    # History: what was written at its time.
    "docs/incidents",
    "docs/measurements.md",
    # They name the old words to map them to the new ones.
    "docs/glossary.md",
    "docs/style.md",
    # The former release's own names.
    "tests/fixtures",
    "tests/test_vocabulary.py",
)
READ = ("packages", "platform", "tests", "docs", "README.md")
SUFFIXES = (".py", ".md", ".thrift", ".toml")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")


class Found(NamedTuple):
    word: str
    path: str
    line: int
    text: str

    def area(self) -> str:
        """The part of the tree that is finished as one: a package, or a folder at the root."""
        parts = self.path.split("/")
        return "/".join(parts[:2]) if parts[0] == "packages" else parts[0]


def files(root: Path) -> Iterator[Path]:
    for name in READ:
        top = root / name
        for path in sorted(top.rglob("*")) if top.is_dir() else [top]:
            relative = path.relative_to(root).as_posix()
            hidden = any(part.startswith(".") or part == "__pycache__" for part in path.parts[len(root.parts) :])
            if path.suffix in SUFFIXES and not hidden and not relative.startswith(NOT_READ):
                yield path


def words_of(text: str, words: dict[str, str]) -> set[str]:
    """The withdrawn words among the parts of the names in a text."""
    parts = {part.lower() for part in PART.findall(text)}
    return {word for word in words if word in parts or f"{word}s" in parts}


def without_allowed(path: str, text: str) -> str:
    for allowed in ALLOWED:
        if path.startswith(allowed.paths):
            text = re.sub(allowed.pattern, "", text)
    return text


def names_of(source: str) -> Iterator[tuple[int, str]]:
    """Each Python name with its line; an attribute after what it belongs to, as in "runner.setup"."""
    before = [""] * 2
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.NAME:
            owner = before[0] if before[1] == "." else ""
            yield token.start[0], f"{owner}.{token.string}" if owner else token.string
        before = [before[1], token.string]


def find(path: str, text: str) -> list[Found]:
    found = [Found(word, path, 0, path) for word in words_of(path, WITHDRAWN)]
    for number, line in enumerate(text.splitlines(), start=1):
        for word in sorted(words_of(without_allowed(path, line), WITHDRAWN)):
            found.append(Found(word, path, number, line.strip()))
    if path.endswith(".py"):
        for number, name in names_of(text):
            # The name of a test is a sentence.
            checked = "" if name.startswith("test_") else without_allowed(path, name).rpartition(".")[2]
            for word in sorted(words_of(checked, WITHDRAWN_NAMES)):
                found.append(Found(word, path, number, name))
    return found


def find_all(root: Path) -> list[Found]:
    return [each for path in files(root) for each in find(path.relative_to(root).as_posix(), path.read_text())]


class Vocabulary(TestCase):
    def test_no_withdrawn_word_stands_in_a_finished_part(self) -> None:
        wrong = [
            f"{each.path}:{each.line}: {each.word} (say {(WITHDRAWN | WITHDRAWN_NAMES)[each.word]}): {each.text}"
            for each in find_all(ROOT)
            if each.area() not in UNFINISHED.get(each.word, ())
        ]
        self.assertThat(wrong, Equals([]), "\n".join(wrong[:40]))

    def test_every_allowance_has_a_reason_and_is_needed(self) -> None:
        everything = "\n".join(path.read_text() for path in files(ROOT))
        for allowed in ALLOWED:
            self.assertThat((bool(allowed.reason), bool(re.search(allowed.pattern, everything))), Equals((True, True)))

    def test_a_withdrawn_word_is_found_wherever_it_is_written(self) -> None:
        for path, text in (
            ("tests/x.py", "def open_bourse(): ..."),
            ("tests/x.py", "class BourseNode: ..."),
            ("tests/x.py", "# of all bourses"),
            ("tests/x.py", 'MESSAGE = "no Bourse answers"'),
            ("docs/x.md", "Ask the bourse."),
            ("packages/registry/src/hoistsaddle/registry/bourse.py", ""),
        ):
            self.assertThat([each.word for each in find(path, text)], Contains("bourse"), f"{path}: {text}")
        self.assertThat([each.word for each in find("tests/x.py", "whole = 1  # the whole of it")], Equals(["whole"]))

    def test_what_is_allowed_is_no_find(self) -> None:
        for text in ('kind == "stall"', "vitals_seconds = 4", "def setUp(self): ...", "stall_disk()", '"bourse-1"'):
            self.assertThat(find("tests/x.py", text), Equals([]), text)


def unfinished_now() -> dict[str, tuple[str, ...]]:
    areas: defaultdict[str, set[str]] = defaultdict(set)
    for each in find_all(ROOT):
        areas[each.word].add(each.area())
    return {word: tuple(sorted(found)) for word, found in sorted(areas.items())}


if __name__ == "__main__":
    for word, areas in unfinished_now().items():
        print(f'    "{word}": {areas},')
