"""Reading a TOML file into a closed type. Every fault is one line that names the file and the key; for an
unknown key also the nearest known one."""

from __future__ import annotations

import difflib
import tomllib
import typing
from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import Struct

Parsed = TypeVar("Parsed")


class ConfigFileError(Exception):
    """The text is one line that names the key."""


def read(path: str, max_bytes: int, parse: Callable[[dict[str, Any]], Parsed]) -> Parsed:
    """Reads a file of up to `max_bytes` bytes; `parse` may raise ConfigFileError. Raises ConfigFileError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from error
    try:
        if len(data) > max_bytes:
            raise ConfigFileError(f"over {max_bytes} bytes")
        return parse(tomllib.loads(data.decode()))
    except UnicodeDecodeError as error:
        raise ConfigFileError(f"{path}: not valid UTF-8") from error
    except (tomllib.TOMLDecodeError, ConfigFileError) as error:
        raise ConfigFileError(f"{path}: {error}") from error


def convert(table: dict[str, Any], kind: type[Parsed]) -> Parsed:
    """Raises ConfigFileError for a table that is none of this kind."""
    known_keys(table, kind, "")
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise ConfigFileError(f"{place.rstrip('`').lstrip('.') or 'the file'}: {text}") from error


@cache
def hints_of(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def known_keys(table: Any, kind: Any, prefix: str) -> None:
    """Refuses unknown keys: a misspelt switch would silently be off. Raises ConfigFileError."""
    for part in typing.get_args(kind):
        if isinstance(part, type) and issubclass(part, Struct):
            kind = part
    if typing.get_origin(kind) is dict and isinstance(table, dict):
        for name, row in table.items():
            known_keys(row, typing.get_args(kind)[1], f"{prefix}{name}.")
        return
    if not (isinstance(kind, type) and issubclass(kind, Struct) and isinstance(table, dict)):
        return
    hints = hints_of(kind)
    for key, value in table.items():
        if key not in hints:
            nearest = difflib.get_close_matches(key, list(hints), 1, 0.0)
            raise ConfigFileError(f"{prefix}{key}: unknown; the nearest known key is {nearest[0]}")
        inner = hints[key]
        if typing.get_origin(inner) is dict and isinstance(value, dict):
            for name, row in value.items():
                known_keys(row, typing.get_args(inner)[1], f"{prefix}{key}.{name}.")
        else:
            known_keys(value, inner, f"{prefix}{key}.")
