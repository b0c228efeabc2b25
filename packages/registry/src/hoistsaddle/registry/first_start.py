"""Records on the disk that a controller was present at the first start, before its program is loaded."""

import sqlite3
from pathlib import Path

from hoistsaddle.common.settings import ControllerSettings
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.addresses import number_of_host


def seed_numbers(settings: ControllerSettings) -> tuple[int, ...]:
    """The replica numbers of the seeds, in the order of the settings."""
    return tuple(number_of_host(seed) for seed in settings.seeds)


def record_first_start(settings: ControllerSettings) -> None:
    """Records the first start and its seeds on a blank disk; errors of the disk are left to the controller's own start.

    Args:
        settings: The settings of a controller that takes part in the first start.
    """
    folder = Path(settings.data_folder)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        disk = Disk(folder=folder, replica=number_of_host(settings.host))
        disk.first_seeds = seed_numbers(settings)
        disk.boot()
        disk.close()
    except (OSError, ValueError, sqlite3.Error):
        return
