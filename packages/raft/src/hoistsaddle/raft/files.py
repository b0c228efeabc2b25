"""The calls by which a data folder changes, in one place: a model of power losses records them.

A file's content lasts once the file was synced. A name that was made, changed or removed lasts once its folder was
synced; until then each name is kept or lost by itself.
"""

import os
from pathlib import Path


class Files:
    def make_folder(self, folder: Path) -> None:
        """Makes the folder and those above it; each lasts when this returns."""
        missing = []
        while not folder.is_dir():
            missing.append(folder)
            folder = folder.parent
        for each in reversed(missing):
            each.mkdir(exist_ok=True)
            self.sync_folder(each.parent)

    def sync_folder(self, folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def write(self, path: Path, data: bytes, *, position: int = 0) -> None:
        """Puts data at the position and ends the file behind it; nothing of it lasts yet."""
        with path.open("r+b" if position else "wb") as file:
            file.seek(position)
            file.write(data)
            file.truncate()

    def sync(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, path: Path, new: Path) -> None:
        path.rename(new)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)
