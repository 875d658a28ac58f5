"""Gives memory that is free, but kept by the C library for reuse, back to the system."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache


@cache
def heap_trimmer() -> Callable[[int], object] | None:
    """`malloc_trim` of glibc; None where the C library has none. ctypes is imported only here, as it takes
    a quarter of a megabyte."""
    try:
        import ctypes

        return ctypes.CDLL(None).malloc_trim
    except (ImportError, OSError, AttributeError):
        return None


def release_free_memory() -> None:
    """Takes about a millisecond."""
    trim = heap_trimmer()
    if trim is not None:
        trim(0)
