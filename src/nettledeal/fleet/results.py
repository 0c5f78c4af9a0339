"""Result folders of runs, written atomically."""

from __future__ import annotations

import os
import shutil
from pathlib import Path
from typing import Any

import msgspec

from nettledeal.configuration_files import ConfigError

FILE = "result.json"


def write(folder: Path, result: dict[str, Any], files: dict[str, bytes]) -> None:
    """Writes to a temporary folder and renames it once everything is on disk, so an interrupted run leaves no
    incomplete result.
    """
    folder.parent.mkdir(parents=True, exist_ok=True)
    temporary = folder.with_name(f".{folder.name}.{os.getpid()}")
    shutil.rmtree(temporary, ignore_errors=True)
    temporary.mkdir()
    try:
        for name, raw in (files | {FILE: msgspec.json.format(msgspec.json.encode(result))}).items():
            with (temporary / name).open("wb") as file:
                file.write(raw)
                file.flush()
                os.fsync(file.fileno())
        if folder.exists():
            previous = folder.with_name(f".{folder.name}.{os.getpid()}.old")
            folder.rename(previous)
            temporary.rename(folder)
            shutil.rmtree(previous)
        else:
            temporary.rename(folder)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)


def read(folder: Path) -> dict[str, Any]:
    """Raises ConfigError if the folder has no complete result."""
    try:
        return msgspec.json.decode((folder / FILE).read_bytes())
    except OSError as error:
        raise ConfigError(f"{folder}: no result: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise ConfigError(f"{folder / FILE}: no result: {error}") from None
