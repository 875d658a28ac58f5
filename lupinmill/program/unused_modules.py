"""Keeps modules out of a serving process that it never uses: it has no TLS and starts no processes.

asyncio and anyio import them for the names of their classes alone. OpenSSL takes 4 MB, an eighth of the least
memory that a sidecar may be given; `subprocess` takes 0.3 MB with what it imports."""

from __future__ import annotations

import sys
from types import ModuleType

UNUSED_MODULES = "ssl", "subprocess"


class Unavailable(OSError):
    """Base of the placeholders, which can be named, compared and caught, but never created."""

    def __new__(cls, *args: object) -> Unavailable:
        raise RuntimeError(f"{cls.__module__}.{cls.__name__} is not available in a serving process")


class PlaceholderModule(ModuleType):
    """A module in which every public name is a class of its own."""

    def __getattr__(self, name: str) -> type[Unavailable]:
        if name.startswith("__"):
            raise AttributeError(name)
        placeholder = type(name, (Unavailable,), {"__module__": self.__name__})
        setattr(self, name, placeholder)
        return placeholder


def replace_unused_modules() -> None:
    """Registers placeholders for those that are not loaded. To be called before asyncio is imported."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, PlaceholderModule(name))
