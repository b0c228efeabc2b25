"""Reads the settings of a program from its TOML file and flags."""

import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidSettings, MeshError, field_in
from hoistsaddle.common.settings import Settings
from hoistsaddle.common.settings_checks import check_settings


def _read_toml(path: str) -> Result[dict, MeshError]:
    try:
        return Success(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as problem:
        message, remedy = f"{path} can't be read: {problem}.", "Name a readable TOML file."
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        message, remedy = f"{path} is not valid TOML: {problem}.", "Fix the line that the message names."
    return Failure(InvalidSettings(message, field="settings", remedy=remedy))


def read_settings_file(*, kind: type, path: str | None, flags: dict) -> Result[Settings, MeshError]:
    """Reads and validates the settings of a program.

    Args:
        kind: The class of the settings.
        path: The TOML file; None if all settings are given by flags.
        flags: Values by documented name; those that are not empty override the file.

    Returns:
        The validated settings, or the first error.
    """
    values: dict = {}
    if path is not None:
        match _read_toml(path):
            case Failure(error):
                return Failure(error)
            case Success(read):
                values = read
    # Flags override the file: they are the most recent choice of the person who starts the process.
    values.update({name: value for name, value in flags.items() if value not in (None, (), [])})
    try:
        settings: Settings = msgspec.convert(values, kind)
    except (msgspec.ValidationError, RecursionError) as problem:
        return Failure(InvalidSettings(f"{problem}.", field=field_in(problem)))
    return check_settings(settings)
