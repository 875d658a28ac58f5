"""Stable storage of an elector's state: one small file, replaced atomically. Owns the lock on the directory
while open.

The file holds a format tag, an 8-byte xxhash of the rest, and `Memory` as msgpack. A damaged file counts as
lost memory: the elector then abstains and asks the others, which is always safe."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec
import xxhash

from lupinmill.peers.elector import Memory

FILE_NAME, LOCK_NAME = "promises", "promises.lock"
MAX_FILE_BYTES = 64 * 1024
FORMAT = b"lmp1"


class StoreError(Exception):
    """The directory can't be used, for the cause in the text."""


class StableStore:
    """The state file of an elector in its own directory."""

    def __init__(self, directory: str) -> None:
        self.directory = Path(directory)
        try:
            self.directory.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock = os.open(self.directory / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StoreError(f"{directory}: {error.strerror}") from error
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise StoreError(f"{directory}: another process holds the lock") from error

    def read(self) -> Memory | None:
        """Returns None if there is no file or it is damaged."""
        try:
            data = (self.directory / FILE_NAME).read_bytes()
        except OSError:
            return None
        if len(data) > MAX_FILE_BYTES or data[:4] != FORMAT or xxhash.xxh64(data[12:]).digest() != data[4:12]:
            return None
        try:
            return msgspec.msgpack.decode(data[12:], type=Memory)
        except msgspec.DecodeError:
            return None

    def write(self, body: bytes) -> None:
        """Replaces the file and syncs it. On OSError the old file is unchanged. Blocks: not for an event
        loop."""
        path, temporary = self.directory / FILE_NAME, self.directory / f"{FILE_NAME}.new"
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            data = memoryview(FORMAT + xxhash.xxh64(body).digest() + body)
            while data:
                data = data[os.write(descriptor, data) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, path)
        directory = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def close(self) -> None:
        os.close(self.lock)
