"""Keeps OpenSSL out of a serving process, which has no TLS.

asyncio and anyio import `ssl` for the names of its classes alone. Loading it takes 4 MB, an eighth of the
least memory that a sidecar may be given."""

from __future__ import annotations

import sys
from types import ModuleType


class Unavailable(OSError):
    """Base of the placeholders, which can be named, compared and caught, but never created."""

    def __new__(cls, *args: object) -> Unavailable:
        raise RuntimeError(f"ssl.{cls.__name__}: this process runs without TLS")


class PlaceholderModule(ModuleType):
    """A module in which every public name is a class of its own."""

    def __getattr__(self, name: str) -> type[Unavailable]:
        if name.startswith("__"):
            raise AttributeError(name)
        placeholder = type(name, (Unavailable,), {})
        setattr(self, name, placeholder)
        return placeholder


def replace_ssl() -> None:
    """Registers a placeholder as `ssl`. To be called before asyncio is imported; does nothing if `ssl` is
    loaded."""
    sys.modules.setdefault("ssl", PlaceholderModule("ssl"))
