"""The last version and its entries on disk: one file, replaced whole. Blocks for the disk: not for an event
loop.

A file holds the format, an 8-byte xxhash of the rest, then a JSON table. What is cut or damaged is said,
never half believed."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import orjson
import xxhash

from lupinmill.config.model import Entries, Version
from lupinmill.config.wire import LARGEST, parsed, read_rows, read_version, rows
from lupinmill.protocol.http import Garbled

FORMAT, FAMILY = b"lmc1", b"lmc"
HEAD = len(FORMAT) + 8
MOST_BYTES = LARGEST + 64 * 1024


class BadKeep(Exception):
    """The file can't be used, and is left as it is; the text, one line, says why."""


def save(path: str | Path, version: Version, entries: Entries) -> None:
    """Raises OSError, and then the file is as before, and nothing else is left beside it."""
    path = Path(path)
    body = orjson.dumps({"index": version.index, "mark": version.mark, "entries": rows(entries)})
    fresh = path.with_name(f".{path.name}.new")
    try:
        write(fresh, FORMAT + xxhash.xxh64(body).digest() + body)
        os.rename(fresh, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(fresh)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write(path: Path, data: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    try:
        os.fchmod(descriptor, 0o600)  # a file left by a process that was killed may have had another mode
        left = memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def load(path: str | Path) -> tuple[Version, Entries] | None:
    """None: there is no file. Raises BadKeep."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise BadKeep(f"{path}: {error.strerror}") from error
    if len(data) > MOST_BYTES:
        raise BadKeep(f"{path}: too large")
    if data[:3] == FAMILY and len(data) > 3 and data[3:4] > FORMAT[3:]:
        raise BadKeep(f"{path}: of a format that this release does not know")
    if len(data) < HEAD or data[:4] != FORMAT or xxhash.xxh64(data[HEAD:]).digest() != data[4:HEAD]:
        raise BadKeep(f"{path}: cut or damaged")
    try:
        table = parsed(data[HEAD:])
        return read_version(table, "index", "mark"), read_rows(table.get("entries"), gone=False)
    except Garbled as error:
        raise BadKeep(f"{path}: {error}") from error
