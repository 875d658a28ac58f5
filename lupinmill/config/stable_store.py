"""Stores the last version and its entries on disk in one file, which is replaced atomically. The calls block
on the disk, so they must not run on an event loop.

A file holds the format, an 8-byte xxhash of the rest, and a JSON table. A truncated or corrupt file is
reported and none of it is used.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import orjson
import xxhash

from lupinmill.config.model import Entries, Version
from lupinmill.config.wire import MAX_REPLY_BYTES, encode_rows, parse_table, read_rows, read_version
from lupinmill.protocol.http import Garbled

FORMAT_MAGIC, FORMAT_FAMILY = b"lmc1", b"lmc"
HEADER_BYTES = len(FORMAT_MAGIC) + 8
MAX_FILE_BYTES = MAX_REPLY_BYTES + 64 * 1024


class StableStoreError(Exception):
    """The file is unusable and was left unchanged; the message is one line with the reason."""


def save(path: str | Path, version: Version, entries: Entries) -> None:
    """Raises OSError; the previous file is then unchanged and no temporary file is left."""
    path = Path(path)
    body = orjson.dumps({"index": version.index, "mark": version.mark, "entries": encode_rows(entries)})
    temporary = path.with_name(f".{path.name}.new")
    try:
        write_synced(temporary, FORMAT_MAGIC + xxhash.xxh64(body).digest() + body)
        os.rename(temporary, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(temporary)
        raise
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def write_synced(path: Path, data: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    try:
        os.fchmod(descriptor, 0o600)  # a file left by a killed process may have another mode
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def load(path: str | Path) -> tuple[Version, Entries] | None:
    """None if there is no file. Raises StableStoreError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise StableStoreError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise StableStoreError(f"{path}: too large")
    if data[:3] == FORMAT_FAMILY and len(data) > 3 and data[3:4] > FORMAT_MAGIC[3:]:
        raise StableStoreError(f"{path}: unknown format, written by a later release")
    if (
        len(data) < HEADER_BYTES
        or data[:4] != FORMAT_MAGIC
        or xxhash.xxh64(data[HEADER_BYTES:]).digest() != data[4:HEADER_BYTES]
    ):
        raise StableStoreError(f"{path}: truncated or corrupt")
    try:
        table = parse_table(data[HEADER_BYTES:])
        return read_version(table, "index", "mark"), read_rows(table.get("entries"), allow_null=False)
    except Garbled as error:
        raise StableStoreError(f"{path}: {error}") from error
