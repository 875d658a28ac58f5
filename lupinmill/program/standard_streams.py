"""Descriptors 0 to 2, and the one line on standard error with which a start fails.

A process may be started with some of them closed. The next socket would then get such a number, and the log,
or a traceback, would be written into a client's connection."""

from __future__ import annotations

import os


def open_missing() -> None:
    """Opens /dev/null in the place of each that is closed. To be called before anything else is opened."""
    for number in range(3):
        try:
            os.fstat(number)
        except OSError:
            found = os.open(os.devnull, os.O_RDWR)
            if found != number:
                os.dup2(found, number)
                os.close(found)


def complain(text: str) -> None:
    """One line on standard error, whatever `text` holds; none where nobody can read it."""
    line = " ".join(text.split())
    try:
        os.write(2, f"lupinmill: {line}\n".encode("utf-8", "backslashreplace"))
    except OSError:
        pass
