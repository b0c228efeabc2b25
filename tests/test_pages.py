"""Every command of the operators' pages and of the README's walk is run from the page, in the page's own order."""

import asyncio
import os
import re
import sys
import tempfile
import textwrap
from collections.abc import Sequence
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from controller_deployment import Deployment, until
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.fleet import AUTHOR, SIGNER, Fleet

ROOT = Path(__file__).parent.parent
THIMBLE = DEPLOYMENTS["thimble"]
PAGES = ("bundles", "draining", "planning", "operator-changes", "watching", "replacing-core-machines", "releases")
# Run against controllers, which found themselves.
CONTROLLER_PAGES = ("items", "controllers")
# One that goes on until it is interrupted, as a person would.
ENDLESS = re.compile(r"hoistsaddle watch(?!.*--seconds)")
DAEMON = re.compile(r"(?:\S+=\S+ )?hoistsaddle (fleet|store|registry|proxy|controller|sidecar) ")
COMMAND = re.compile(r"^(?: {4}| {7})((?:[A-Z_]+=\S+ )?(?:hoistsaddle|curl|sed|printf|set --) .*)$")


def commands_of(page: Path) -> list[str]:
    """The indented lines that are commands; fleets are the test's own affair, and so are daemons."""
    found = [match[1] for line in page.read_text().splitlines() if (match := COMMAND.match(line))]
    return [line for line in found if not DAEMON.match(line)]


class Shell:
    """One shell for a whole page, so that what a line sets the next ones find."""

    def __init__(self, *, folder: Path, doors: Sequence[str], proxies: Sequence[str]) -> None:
        self.folder = folder
        self.doors = doors
        self.proxies = proxies
        self.failed: list[str] = []
        self.ran = 0

    async def run(self, lines: list[str]) -> None:
        script = ["set -u"]
        for line in lines:
            plain = line.split("  #")[0].rstrip()
            if ENDLESS.search(plain):
                # An interrupt ends it in order, with exit 0.
                plain = f"timeout --preserve-status --signal=INT 3 {plain}"
            script += [plain, 'echo "@@ $?" >&2']
        environment = {
            **os.environ,
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "HOISTSADDLE_DOORS": " ".join(self.doors),
            "HOISTSADDLE_STALLS": " ".join(self.proxies),
            "ADA": AUTHOR[1],
            "BEN": SIGNER[1],
            "EVE": "token-of-eve",
            "EVE2": "second-token-of-eve",
        }
        process = await asyncio.create_subprocess_exec(
            "bash", "-c", "\n".join(script), cwd=self.folder, env=environment,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, said = await process.communicate()
        parts = said.decode().split("@@ ")
        codes = [int(part.split("\n", 1)[0]) for part in parts[1:]]
        words = [part.split("\n", 1)[-1] for part in parts]
        for line, code, word in zip(lines, codes, words, strict=False):
            self.ran += 1
            refusal = re.search(r"# refused(?:: ([a-z-]+))?", line)
            wanted = refusal is not None
            named = refusal[1] if refusal else None
            if (code != 0) != wanted or (named and named not in word) or "Traceback" in word:
                self.failed.append(f"{line} -> exit {code}: {word[-400:]}")
        if len(codes) != len(lines):
            self.failed.append(f"{len(codes)} of {len(lines)} commands came to an end: {said.decode()[-400:]}")


class Pages(TestCase):
    def test_every_command_of_every_page_runs(self) -> None:
        async def run(folder: Path) -> tuple[list[str], int]:
            async with Fleet(deployment=THIMBLE, folder=folder, seed=2) as fleet:
                shell = Shell(folder=fleet.folder, doors=fleet.operator_addresses, proxies=fleet.client_addresses())
                await asyncio.gather(*(fleet.launch(name) for name in fleet.programs))

                async def up() -> bool:
                    _, core = await fleet.operate("GET", "/core")
                    roles = [each["standing"] for each in core.get("machines", {}).values()]
                    return len(roles) == 3 and set(roles) == {"blank"}

                await fleet.wait_until(up, seconds=30, description="blank core machines")
                founding = commands_of(ROOT / "docs" / "operators" / "founding.md")
                await shell.run(founding[:2])
                await fleet.bootstrap()

                async def ready() -> bool:
                    states = [
                        await fleet.operate("GET", "/ready", addresses=(door,)) for door in fleet.operator_addresses
                    ]
                    return all(status == 200 for status, _ in states)

                await fleet.wait_until(ready, seconds=20, description="every core machine is ready")
                await shell.run(founding[2:])
                for name, proxy in fleet.proxies.items():
                    await fleet.start_server(name, proxy["service"])
                await fleet.wait_until(fleet.servers_registered, seconds=20, description="servers are registered")
                (folder / "one.toml").write_text(THIMBLE.first_bundle())
                (folder / "two.toml").write_text(THIMBLE.next_bundle(number=2, based_on=1))
                (folder / "three.toml").write_text(THIMBLE.next_bundle(number=3, based_on=1))
                for page in PAGES:
                    await shell.run(commands_of(ROOT / "docs" / "operators" / f"{page}.md"))
            return shell.failed, shell.ran

        with tempfile.TemporaryDirectory() as folder:
            failed, ran = asyncio.run(run(Path(folder)))
        self.assertThat(failed, Equals([]))
        self.assertThat(ran, GreaterThan(35))
        there = {path.stem for path in (ROOT / "docs" / "operators").glob("*.md")}
        # The list of calls has no commands; tests/test_fleet_faults.py sends each of its calls.
        self.assertThat(there - set(PAGES) - {"founding", "api", "platform"}, Equals(set(CONTROLLER_PAGES)))
        # What that page tells runs under the platform alone, so it may hold no commands that nobody tries.
        self.assertThat(commands_of(ROOT / "docs" / "operators" / "platform.md"), Equals([]))

    def test_every_command_of_the_pages_on_controllers_runs(self) -> None:
        async def run(folder: Path) -> tuple[list[str], int]:
            controllers = Deployment(folder)
            try:
                for place in range(3):
                    await controllers.start_controller(place, cold=True)

                async def ready() -> bool:
                    return (await controllers.command("ready"))[0] == 0

                await until(ready)
                shell = Shell(folder=folder, doors=controllers.operator_addresses(), proxies=[])
                for page in CONTROLLER_PAGES:
                    path = ROOT / "docs" / "operators" / f"{page}.md"
                    # The first patch stands on the page as the file it would be in git.
                    if (text := re.search(r"<<'TOML'\n(.*?)\n    TOML\n", path.read_text(), re.DOTALL)) is not None:
                        (folder / "items.toml").write_text(textwrap.dedent(text[1]))
                    await shell.run(commands_of(path))
            finally:
                await controllers.stop()
            return shell.failed, shell.ran

        with tempfile.TemporaryDirectory() as folder:
            failed, ran = asyncio.run(run(Path(folder)))
        self.assertThat(failed, Equals([]))
        self.assertThat(ran, GreaterThan(8))

    def test_the_walk_of_the_readme_runs(self) -> None:
        async def run(folder: Path) -> tuple[list[str], int]:
            async with Fleet(deployment=THIMBLE, folder=folder, seed=2) as fleet:
                await fleet.start()
                lines = commands_of(ROOT / "README.md")
                shell = Shell(folder=fleet.folder, doors=fleet.operator_addresses, proxies=fleet.client_addresses())
                # The walk names the bundle by its place in the repository.
                await shell.run([line.replace(" packages/", f" {ROOT}/packages/") for line in lines])
            return shell.failed, shell.ran

        with tempfile.TemporaryDirectory() as folder:
            failed, ran = asyncio.run(run(Path(folder)))
        self.assertThat(failed, Equals([]))
        self.assertThat(ran, GreaterThan(12))
