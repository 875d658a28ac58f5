"""The result of a request, as its client sees it."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """The values are part of result files and messages: do not change them."""

    SUCCEEDED = "handled"
    REJECTED = "denied"  # it has not run, or it is safe to send it again
    FAILED = "broken off"  # no answer: it may have run
    UNREACHABLE = "unreachable"  # no sidecar accepted it, or the one that did was killed
