"""Records the file operations of the disk code and of sqlite3 on a data folder, in order.

sqlite3 is recorded through a copy of its default VFS, whose calls that change files are routed through this module. It
is the library that Python's sqlite3 module uses, so the recorded operations are those of production.
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
    FolderCreated,
    FolderSynced,
    Operation,
    Removed,
    Renamed,
    Resized,
    Returned,
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
        # access, full path, four for dynamic libraries, randomness, sleep, time, last error, time in milliseconds.
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
        # size, three for locks, control, sector size, characteristics; four for shared memory, two for memory mapping.
        ("others", _Pointer * 13),
    ]


class _SqliteRecorder:
    """The VFS that is sqlite3's default during a recording."""

    def __init__(self, *, recorder: "Recorder") -> None:
        self.recorder = recorder
        self.library = ctypes.CDLL(ctypes.util.find_library("sqlite3"))
        self.library.sqlite3_vfs_find.restype = _Pointer
        self.library.sqlite3_vfs_find.argtypes = [ctypes.c_char_p]
        self.library.sqlite3_vfs_register.argtypes = [_Pointer, ctypes.c_int]
        self.library.sqlite3_vfs_unregister.argtypes = [_Pointer]
        self.default_vfs = self.library.sqlite3_vfs_find(None)
        default_vfs = _Vfs.from_address(self.default_vfs)
        self.real_open = _Open(default_vfs.open)
        self.real_delete = _Delete(default_vfs.delete)
        self.set_call = _SetCall(default_vfs.set_call)
        folder_call = _GetCall(default_vfs.get_call)(self.default_vfs, b"openDirectory")
        self.real_open_folder = _OpenFolder(folder_call)
        self.folder_call = folder_call
        self.names: dict[int, Path] = {}
        # sqlite3 keeps only addresses, so all callbacks that it may still call must outlive the recording.
        self.references: list[object] = []
        self.vfs = _Vfs.from_buffer_copy(default_vfs)
        self.vfs.next = None
        self.vfs.name = b"recorded"
        self.vfs.open = self._address(_Open(self._open))
        self.vfs.delete = self._address(_Delete(self._delete))
        self.open_folder = _OpenFolder(self._open_folder)

    def _address(self, function) -> int:
        self.references.append(function)
        return ctypes.cast(function, _Pointer).value

    def begin(self) -> None:
        """Installs this VFS as the default."""
        self.set_call(self.default_vfs, b"openDirectory", ctypes.cast(self.open_folder, _Pointer))
        self.library.sqlite3_vfs_register(ctypes.byref(self.vfs), 1)

    def end(self) -> None:
        """Restores the former default VFS."""
        self.library.sqlite3_vfs_unregister(ctypes.byref(self.vfs))
        self.library.sqlite3_vfs_register(self.default_vfs, 1)
        self.set_call(self.default_vfs, b"openDirectory", self.folder_call)

    def _open(self, vfs: int, name: int, file: int, flags: int, out: int) -> int:
        path = Path(ctypes.string_at(name).decode()) if name else None
        fresh = path is not None and not path.exists()
        result = self.real_open(self.default_vfs, name, file, flags, out)
        if result == 0 and path is not None:
            if fresh and path.exists():
                self.recorder.record(Created(self.recorder.name(path)))
            self.names[file] = path
            self._wrap(file)
        return result

    def _wrap(self, file: int) -> None:
        methods_pointer = _Pointer.from_address(file)
        original = _Methods.from_address(methods_pointer.value)
        methods = _Methods.from_buffer_copy(original)
        real_write, real_shorten, real_sync = _Write(original.write), _Shorten(original.shorten), _Sync(original.sync)

        def write(handle: int, data: int, size: int, position: int) -> int:
            name = self.recorder.name(self.names[handle])
            self.recorder.record(Written(name, position, ctypes.string_at(data, size)))
            return real_write(handle, data, size, position)

        def shorten(handle: int, size: int) -> int:
            self.recorder.record(Resized(self.recorder.name(self.names[handle]), size))
            return real_shorten(handle, size)

        def sync(handle: int, flags: int) -> int:
            # Recorded before the call: sqlite3 syncs the folder of a new file inside this call, after the file.
            self.recorder.record(FileSynced(self.recorder.name(self.names[handle])))
            return real_sync(handle, flags)

        methods.write = self._address(_Write(write))
        methods.shorten = self._address(_Shorten(shorten))
        methods.sync = self._address(_Sync(sync))
        self.references.append(methods)
        methods_pointer.value = ctypes.addressof(methods)

    def _delete(self, vfs: int, name: bytes, sync_folder: int) -> int:
        path = Path(name.decode())
        if path.exists():
            self.recorder.record(Removed(self.recorder.name(path)))
        return self.real_delete(self.default_vfs, name, sync_folder)

    def _open_folder(self, name: bytes, out: int) -> int:
        # sqlite3 opens the folder of a file only to sync it.
        self.recorder.record(FolderSynced(self.recorder.name(Path(name.decode()).parent)))
        return self.real_open_folder(name, out)


class Recorder(Files):
    """File operations that are recorded, with names relative to one folder."""

    def __init__(self, *, folder: Path) -> None:
        self.root = folder
        self.operations: list[Operation] = []

    def name(self, path: Path) -> str:
        """The path relative to the folder, empty for the folder itself."""
        relative = path.relative_to(self.root).as_posix()
        return "" if relative == "." else relative

    def record(self, operation: Operation) -> None:
        """Appends an operation."""
        self.operations.append(operation)

    def returned(self, call: str) -> None:
        """Records that a method of the disk returned."""
        self.record(Returned(call))

    @contextmanager
    def recording(self) -> Iterator[None]:
        """A context in which the operations of sqlite3 are recorded too."""
        sqlite = _SqliteRecorder(recorder=self)
        sqlite.begin()
        try:
            yield
        finally:
            sqlite.end()

    def make_folder(self, folder: Path) -> None:
        """See `Files`."""
        missing = [path for path in (folder, *folder.parents) if not path.is_dir() and path != self.root]
        for path in reversed(missing):
            path.mkdir()
            self.record(FolderCreated(self.name(path)))
            self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """See `Files`."""
        if folder == self.root or self.root in folder.parents:
            self.record(FolderSynced(self.name(folder)))
        super().sync_folder(folder)

    def write(self, path: Path, data: bytes, *, position: int = 0) -> None:
        """See `Files`."""
        if not position:
            self.record(Created(self.name(path)))
        self.record(Written(self.name(path), position, data))
        self.record(Resized(self.name(path), position + len(data)))
        super().write(path, data, position=position)

    def sync(self, path: Path) -> None:
        """See `Files`."""
        self.record(FileSynced(self.name(path)))
        super().sync(path)

    def rename(self, path: Path, new: Path) -> None:
        """See `Files`."""
        self.record(Renamed(self.name(path), self.name(new)))
        super().rename(path, new)

    def remove(self, path: Path) -> None:
        """See `Files`."""
        if path.exists():
            self.record(Removed(self.name(path)))
        super().remove(path)
