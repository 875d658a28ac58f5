"""What this process holds in physical memory, as the kernel counts it."""

from __future__ import annotations

import os

STATM = "/proc/self/statm"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int | None:
    """None where the kernel does not tell."""
    try:
        descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fields = os.read(descriptor, 256).split()
        finally:
            os.close(descriptor)
        return int(fields[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None
