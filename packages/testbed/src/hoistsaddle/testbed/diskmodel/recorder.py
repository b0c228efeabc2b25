"""Records what a data folder's own code and sqlite3 do to its files, in order, while they really do it.

sqlite3 is reached through its own interface for file systems: a copy of the usual one, whose calls that change files
pass through here first. It is the library that Python's module runs on, so what is recorded is what would run.
"""

import ctypes
import ctypes.util
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from hoistsaddle.raft.files import Files
from hoistsaddle.testbed.diskmodel.operations import (
    Created,
    FileSynced,
    FolderMade,
    FolderSynced,
    Operation,
    Removed,
    Renamed,
    Returned,
    Shortened,
    Written,
)

_Pointer = ctypes.c_void_p
_Open = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, _Pointer, _Pointer, ctypes.c_int, _Pointer)
_Delete = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, ctypes.c_char_p, ctypes.c_int)
_SetCall = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, ctypes.c_char_p, _Pointer)
_GetCall = ctypes.CFUNCTYPE(_Pointer, _Pointer, ctypes.c_char_p)
_OpenFolder = ctypes.CFUNCTYPE(ctypes.c_int, ctypes.c_char_p, _Pointer)
_Write = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, _Pointer, ctypes.c_int, ctypes.c_longlong)
_Shorten = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, ctypes.c_longlong)
_Sync = ctypes.CFUNCTYPE(ctypes.c_int, _Pointer, ctypes.c_int)


class _Vfs(ctypes.Structure):
    _fields_ = [
        ("version", ctypes.c_int),
        ("file_size", ctypes.c_int),
        ("longest_path", ctypes.c_int),
        ("next", _Pointer),
        ("name", ctypes.c_char_p),
        ("data", _Pointer),
        ("open", _Pointer),
        ("delete", _Pointer),
        # access, full path, four of dynamic libraries, randomness, sleep, time, last error, time in milliseconds.
        ("others", _Pointer * 11),
        ("set_call", _Pointer),
        ("get_call", _Pointer),
        ("next_call", _Pointer),
    ]


class _Methods(ctypes.Structure):
    _fields_ = [
        ("version", ctypes.c_int),
        ("close", _Pointer),
        ("read", _Pointer),
        ("write", _Pointer),
        ("shorten", _Pointer),
        ("sync", _Pointer),
        # size, three of locks, control, sector size, characteristics; four of the shared index, two of mapped pages.
        ("others", _Pointer * 13),
    ]


class _SqliteRecorder:
    """Registered as sqlite3's usual file system while it records."""

    def __init__(self, *, recorder: "Recorder") -> None:
        self.recorder = recorder
        self.library = ctypes.CDLL(ctypes.util.find_library("sqlite3"))
        self.library.sqlite3_vfs_find.restype = _Pointer
        self.library.sqlite3_vfs_find.argtypes = [ctypes.c_char_p]
        self.library.sqlite3_vfs_register.argtypes = [_Pointer, ctypes.c_int]
        self.library.sqlite3_vfs_unregister.argtypes = [_Pointer]
        self.usual = self.library.sqlite3_vfs_find(None)
        usual = _Vfs.from_address(self.usual)
        self.real_open = _Open(usual.open)
        self.real_delete = _Delete(usual.delete)
        self.set_call = _SetCall(usual.set_call)
        folder_call = _GetCall(usual.get_call)(self.usual, b"openDirectory")
        self.real_open_folder = _OpenFolder(folder_call)
        self.folder_call = folder_call
        self.names: dict[int, Path] = {}
        # sqlite3 keeps only addresses: whatever it may still call has to outlive the recording.
        self.kept: list[object] = []
        self.vfs = _Vfs.from_buffer_copy(usual)
        self.vfs.next = None
        self.vfs.name = b"recorded"
        self.vfs.open = self._address(_Open(self._open))
        self.vfs.delete = self._address(_Delete(self._delete))
        self.open_folder = _OpenFolder(self._open_folder)

    def _address(self, function) -> int:
        self.kept.append(function)
        return ctypes.cast(function, _Pointer).value

    def begin(self) -> None:
        self.set_call(self.usual, b"openDirectory", ctypes.cast(self.open_folder, _Pointer))
        self.library.sqlite3_vfs_register(ctypes.byref(self.vfs), 1)

    def end(self) -> None:
        self.library.sqlite3_vfs_unregister(ctypes.byref(self.vfs))
        self.library.sqlite3_vfs_register(self.usual, 1)
        self.set_call(self.usual, b"openDirectory", self.folder_call)

    def _open(self, vfs: int, name: int, file: int, flags: int, out: int) -> int:
        path = Path(ctypes.string_at(name).decode()) if name else None
        fresh = path is not None and not path.exists()
        result = self.real_open(self.usual, name, file, flags, out)
        if result == 0 and path is not None:
            if fresh and path.exists():
                self.recorder.note(Created(self.recorder.name(path)))
            self.names[file] = path
            self._wrap(file)
        return result

    def _wrap(self, file: int) -> None:
        place = _Pointer.from_address(file)
        usual = _Methods.from_address(place.value)
        methods = _Methods.from_buffer_copy(usual)
        real_write, real_shorten, real_sync = _Write(usual.write), _Shorten(usual.shorten), _Sync(usual.sync)

        def write(each: int, data: int, size: int, position: int) -> int:
            name = self.recorder.name(self.names[each])
            self.recorder.note(Written(name, position, ctypes.string_at(data, size)))
            return real_write(each, data, size, position)

        def shorten(each: int, size: int) -> int:
            self.recorder.note(Shortened(self.recorder.name(self.names[each]), size))
            return real_shorten(each, size)

        def sync(each: int, flags: int) -> int:
            # Noted first: the library syncs the folder of a new file inside this call, after the file.
            self.recorder.note(FileSynced(self.recorder.name(self.names[each])))
            return real_sync(each, flags)

        methods.write = self._address(_Write(write))
        methods.shorten = self._address(_Shorten(shorten))
        methods.sync = self._address(_Sync(sync))
        self.kept.append(methods)
        place.value = ctypes.addressof(methods)

    def _delete(self, vfs: int, name: bytes, sync_folder: int) -> int:
        path = Path(name.decode())
        if path.exists():
            self.recorder.note(Removed(self.recorder.name(path)))
        return self.real_delete(self.usual, name, sync_folder)

    def _open_folder(self, name: bytes, out: int) -> int:
        # The library opens the folder of a file only to sync it.
        self.recorder.note(FolderSynced(self.recorder.name(Path(name.decode()).parent)))
        return self.real_open_folder(name, out)


class Recorder(Files):
    """The files of one folder, each change noted; names are kept relative to that folder."""

    def __init__(self, *, folder: Path) -> None:
        self.root = folder
        self.operations: list[Operation] = []

    def name(self, path: Path) -> str:
        relative = path.relative_to(self.root).as_posix()
        return "" if relative == "." else relative

    def note(self, operation: Operation) -> None:
        self.operations.append(operation)

    def returned(self, call: str) -> None:
        self.note(Returned(call))

    @contextmanager
    def recording(self) -> Iterator[None]:
        sqlite = _SqliteRecorder(recorder=self)
        sqlite.begin()
        try:
            yield
        finally:
            sqlite.end()

    def make_folder(self, folder: Path) -> None:
        missing = [each for each in (folder, *folder.parents) if not each.is_dir() and each != self.root]
        for each in reversed(missing):
            each.mkdir()
            self.note(FolderMade(self.name(each)))
            self.sync_folder(each.parent)

    def sync_folder(self, folder: Path) -> None:
        if folder == self.root or self.root in folder.parents:
            self.note(FolderSynced(self.name(folder)))
        super().sync_folder(folder)

    def write(self, path: Path, data: bytes, *, position: int = 0) -> None:
        if not position:
            self.note(Created(self.name(path)))
        self.note(Written(self.name(path), position, data))
        self.note(Shortened(self.name(path), position + len(data)))
        super().write(path, data, position=position)

    def sync(self, path: Path) -> None:
        self.note(FileSynced(self.name(path)))
        super().sync(path)

    def rename(self, path: Path, new: Path) -> None:
        self.note(Renamed(self.name(path), self.name(new)))
        super().rename(path, new)

    def remove(self, path: Path) -> None:
        if path.exists():
            self.note(Removed(self.name(path)))
        super().remove(path)
