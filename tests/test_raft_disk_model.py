"""Every combination of kept and lost file changes after a power loss, at every step of a data folder's history."""

import itertools
import shutil
import tempfile
from pathlib import Path
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan

from hoistsaddle.raft import disk, files
from hoistsaddle.raft.events import Boot, OffsetAndEpoch
from hoistsaddle.raft.files import Files
from hoistsaddle.testbed.diskmodel.check import Findings, RecordedDisk, check, folder_states_of, record
from hoistsaddle.testbed.diskmodel.model import FolderModel
from hoistsaddle.testbed.diskmodel.operations import Created, FileSynced, FolderSynced, Renamed, Written
from hoistsaddle.testbed.diskmodel.recorder import Recorder
from hoistsaddle.testbed.diskmodel.scenarios import SCENARIOS, Writer, records, restart_and_write, state_at

SEED = 1


class _Case(TestCase):
    def folder(self) -> Path:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        return Path(temporary.name)

    def check_scenario(self, scenario, *, max_broken: int = 0, **options) -> Findings:
        folder = self.folder()
        return check(
            record(scenario, folder=folder / "life", seed=SEED, **options),
            folder=folder,
            seed=SEED,
            max_broken=max_broken,
        )


class TornAndMixedDisks(_Case):
    def test_every_combination_boots_into_what_was_synced(self) -> None:
        for name, scenario in SCENARIOS.items():
            findings = self.check_scenario(scenario)
            print(name, f"seed {SEED}: {findings.crash_points} crash points, {findings.folder_states} folder states")
            self.assertThat(findings.folder_states, GreaterThan(500))
            self.assertThat([*findings.broken[:3]], Equals([]), name)

    def test_a_second_loss_during_the_start_after_the_first(self) -> None:
        folder_states = 0
        for name, scenario in SCENARIOS.items():
            operations = record(scenario, folder=self.folder() / "life", seed=SEED)
            # A random state of every sixth crash point, and a sample of the states that a loss in the boot may leave.
            for number, start in enumerate(itertools.islice(folder_states_of(operations, seed=SEED), 0, None, 6)):
                folder = self.folder()
                again = record(restart_and_write, folder=folder / "life", seed=SEED, start=start)
                findings = check(again, folder=folder, seed=SEED, start=start, most=4)
                folder_states += findings.folder_states
                self.assertThat([*findings.broken[:3]], Equals([]), f"{name} {number}")
        print(f"seed {SEED}: {folder_states} folder states after a second loss")


class _NoFileSync(Recorder):
    def sync(self, path: Path) -> None:
        pass


class _NoFolderSync(Recorder):
    def sync_folder(self, folder: Path) -> None:
        if folder.name != "checkpoints":
            super().sync_folder(folder)


def _trims_before_storing(recorded: RecordedDisk) -> None:
    boot = recorded.do("boot")
    recorded.do("bootstrap", mesh="m", voters={1: boot.incarnation, 2: "two", 3: "three"}, operators={})
    writer = Writer(recorded=recorded, boot=recorded.do("boot"))
    writer.write(records(1, 6, epoch=1))
    writer.begin = OffsetAndEpoch(5, 1)
    # The fault: the begin offset becomes durable before the checkpoint that it depends on.
    writer.write()
    recorded.do("store_checkpoint", checkpoint_id=OffsetAndEpoch(5, 1), state=state_at(OffsetAndEpoch(5, 1)))
    recorded.do("drop_checkpoints", below=5)


# A fault breaks many folder states; the check stops after the first few.
MAX_BROKEN = 5


class InjectedFaults(_Case):
    """Each injected fault omits or reorders one step that the disk relies on; the model must detect it."""

    def problems(self, findings: Findings) -> str:
        return "; ".join(each.problem for each in findings.broken)

    def test_a_checkpoint_that_is_not_synced_before_its_name(self) -> None:
        self.assertThat(
            self.problems(self.check_scenario(SCENARIOS["trimming"], max_broken=MAX_BROKEN, make_recorder=_NoFileSync)),
            Contains("blank"),
        )

    def test_a_checkpoint_whose_name_is_not_durable(self) -> None:
        self.assertThat(
            self.problems(
                self.check_scenario(SCENARIOS["trimming"], max_broken=MAX_BROKEN, make_recorder=_NoFolderSync)
            ),
            Contains("blank"),
        )

    def test_a_log_that_is_not_synced_when_the_write_returns(self) -> None:
        findings = self.check_scenario(SCENARIOS["trimming"], synchronous="NORMAL")
        self.assertThat(self.problems(findings), Contains("a state that never existed"))

    def test_a_begin_offset_that_is_durable_before_its_checkpoint(self) -> None:
        self.assertThat(
            self.problems(self.check_scenario(_trims_before_storing, max_broken=MAX_BROKEN)), Contains("blank")
        )

    def test_a_start_that_accepts_a_log_that_diverges_from_its_checkpoint(self) -> None:
        def former_rule(*, begin, records, checkpoint_id) -> bool:
            return checkpoint_id.offset <= (records[-1].offset if records else begin.offset)

        with mock.patch.object(disk, "_log_matches_checkpoint", former_rule):
            findings = self.check_scenario(SCENARIOS["catching up"], max_broken=MAX_BROKEN)
        self.assertThat(self.problems(findings), Contains("a log that diverges from its checkpoint"))


class FileSystemModel(TestCase):
    """The file system model follows its specification."""

    def states_after(self, *operations) -> set[tuple]:
        model = FolderModel(files={"old": b"was"})
        for operation in operations:
            model.do(operation)
        return {tuple(folder_state.items()) for folder_state in model.folder_states(seed=None)}

    def test_a_write_is_there_missing_or_torn_until_the_sync(self) -> None:
        written = Written("old", 0, b"NEWS")
        self.assertThat(self.states_after(written), Equals({(("old", each),) for each in (b"was", b"NEWS", b"NEs")}))
        self.assertThat(self.states_after(written, FileSynced("old")), Equals({(("old", b"NEWS"),)}))

    def test_a_new_name_may_be_lost_until_its_folder_is_synced(self) -> None:
        made = (Created("new"), Written("new", 0, b"x"), FileSynced("new"))
        kept = (("new", b"x"), ("old", b"was"))
        self.assertThat(self.states_after(*made), Equals({kept, (("old", b"was"),)}))
        self.assertThat(self.states_after(*made, FolderSynced("")), Equals({kept}))

    def test_both_names_of_a_renamed_file_are_kept_or_lost_independently(self) -> None:
        renamed = Renamed("old", "new")
        self.assertThat(
            self.states_after(renamed),
            Equals({(("new", b"was"),), (("old", b"was"),), (("new", b"was"), ("old", b"was")), ()}),
        )
        self.assertThat(self.states_after(renamed, FolderSynced("")), Equals({(("new", b"was"),)}))


class FormerRelease(_Case):
    """Data folders written by the Disk of the release at commit 6b0c8b3."""

    def boot(self, name: str) -> tuple[Path, Boot]:
        folder = self.folder() / name
        shutil.copytree(Path(__file__).parent / "fixtures" / "release-6b0c8b3" / name, folder)
        opened = disk.Disk(folder=folder, replica=1)
        self.addCleanup(opened.close)
        return folder, opened.boot()

    def test_a_complete_one_is_read_unchanged(self) -> None:
        _, boot = self.boot("whole")
        self.assertThat(
            (boot.incarnation, boot.mesh, boot.epoch, boot.vote, boot.begin, boot.checkpoint, boot.committed),
            Equals(("0123456789abcdef", "former", 3, (3, "three"), OffsetAndEpoch(2, 2), OffsetAndEpoch(2, 2), 3)),
        )
        self.assertThat([record.offset for record in boot.records], Equals([3, 4]))
        self.assertThat(sorted(boot.state.holds), Equals(["scope-1", "scope-2"]))

    def test_one_that_had_deleted_its_log_keeps_its_incarnation_and_is_incomplete(self) -> None:
        folder, boot = self.boot("catching")
        self.assertThat(
            (boot.incarnation, boot.catching, boot.epoch, boot.vote, boot.records, boot.state),
            Equals(("0123456789abcdef", True, 3, (3, "three"), (), None)),
        )
        # The chunks of the interrupted checkpoint fetch are removed, and the fetch starts over.
        self.assertThat(list((folder / "checkpoints").iterdir()), Equals([]))


class Folders(_Case):
    def test_parent_folders_are_durable_too(self) -> None:
        synced = []

        class Noted(Files):
            def sync_folder(self, folder: Path) -> None:
                synced.append(folder)
                super().sync_folder(folder)

        top = self.folder()
        Noted().make_folder(top / "a" / "b")
        self.assertThat(synced, Equals([top, top / "a"]))

    def test_a_reset_folder_never_loads_a_former_incarnations_checkpoint(self) -> None:
        folder = self.folder() / "data"
        former = disk.Disk(folder=folder, replica=1)
        boot = former.boot()
        former.bootstrap(mesh="m", voters={1: boot.incarnation}, operators={})
        former.store_checkpoint(checkpoint_id=OffsetAndEpoch(50, 2), state=state_at(OffsetAndEpoch(50, 2)))
        former.close()
        for path in folder.glob("ledger.sqlite3*"):
            path.unlink()
        blank = disk.Disk(folder=folder, replica=1)
        boot = blank.boot()
        blank.bootstrap(mesh="m", voters={1: boot.incarnation}, operators={})
        founded = blank.boot()
        blank.close()
        self.assertThat((founded.checkpoint, founded.incarnation), Equals((OffsetAndEpoch(0, 0), boot.incarnation)))

    def test_damaged_and_unfinished_files_stay_bounded(self) -> None:
        folder = self.folder() / "data"
        first = disk.Disk(folder=folder, replica=1)
        first.boot()
        first.close()
        for number in range(40):
            (folder / "ledger.sqlite3").write_bytes(b"nothing sqlite3 knows" * 100)
            (folder / "checkpoints" / f"{number:020d}-1.checkpoint.pulled").write_bytes(b"half")
            (folder / "checkpoints" / f"{number:020d}-1.checkpoint.part").write_bytes(b"half")
            again = disk.Disk(folder=folder, replica=1)
            again.boot()
            again.close()
        self.assertThat(len(list(folder.glob("*.aside-*"))), Equals(files.MAX_SET_ASIDE))
        self.assertThat(list((folder / "checkpoints").iterdir()), Equals([]))
