"""What this process holds in physical memory, as the kernel counts it.

Imports little: a starting process uses it before the rest of the program is imported."""

from __future__ import annotations

import os

STATM = "/proc/self/statm"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ResidentMemory:
    """Sizes in bytes. `private`: what no other process shares, which is all but the pages of files."""

    __slots__ = ("total", "private")

    def __init__(self, total: int, private: int) -> None:
        self.total, self.private = total, private


def read_resident_memory() -> ResidentMemory | None:
    """None where the kernel does not tell."""
    try:
        descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fields = os.read(descriptor, 256).split()
        finally:
            os.close(descriptor)
        total, shared = int(fields[1]), int(fields[2])
        return ResidentMemory(total * PAGE_BYTES, (total - shared) * PAGE_BYTES)
    except (OSError, ValueError, IndexError):
        return None


def resident_bytes() -> int | None:
    """None where the kernel does not tell."""
    found = read_resident_memory()
    return None if found is None else found.total
