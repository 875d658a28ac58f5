"""The frames of a link between two processes of one sidecar: four bytes of length, then JSON.

Imports little: a starting process uses it before the rest of the program is imported."""

from __future__ import annotations

import struct

LENGTH_PREFIX = struct.Struct("!I")
MAX_MESSAGE_SIZE = 16 * 1024 * 1024  # bytes


def frame(data: bytes) -> bytes:
    return LENGTH_PREFIX.pack(len(data)) + data
