"""What a request came to, as its client sees it."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """The texts stand in results and messages, and stay as they are."""

    SUCCEEDED = "handled"
    REJECTED = "denied"  # turned away: it has not run, or it may be sent again
    FAILED = "broken off"  # given up: it may have run
    UNREACHABLE = "unreachable"  # no sidecar took it, or the one that did was killed
