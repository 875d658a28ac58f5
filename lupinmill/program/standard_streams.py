"""File descriptors 0 to 2, and the one-line error message of a failed start.

A process may be started with some of them closed. The next socket would then get such a number, and the log
or a traceback would be written into a client's connection."""

from __future__ import annotations

import os


def open_missing() -> None:
    """Opens /dev/null for each closed descriptor. To be called before anything else is opened."""
    for number in range(3):
        try:
            os.fstat(number)
        except OSError:
            descriptor = os.open(os.devnull, os.O_RDWR)
            if descriptor != number:
                os.dup2(descriptor, number)
                os.close(descriptor)


def print_error(text: str) -> None:
    """Writes one line to standard error, whatever `text` holds. Ignores errors."""
    line = " ".join(text.split())
    try:
        os.write(2, f"lupinmill: {line}\n".encode("utf-8", "backslashreplace"))
    except OSError:
        pass
