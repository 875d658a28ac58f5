"""Keeps an id from running at both processes of an upgrade.

The old process decides: the new one claims each id that must not run twice before it opens its request, and
is told of those for which the old one starts an attempt, as it needs them when the old one has ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio

from lupinmill.transport.link import Link

CLAIM_TIMEOUT_S = 0.4  # for the other process, whose event loop may lag
CLAIM, CLAIMED, USED = "claim", "claimed", "used"  # messages

Message = dict[str, Any]


class ClaimResult(Enum):
    FREE = "free"
    USED = "used"
    UNKNOWN = "unknown"  # the other process did not answer


@dataclass(slots=True)
class PendingClaim:
    decided: anyio.Event = field(default_factory=anyio.Event)
    result: ClaimResult = ClaimResult.UNKNOWN


class IdClaims:
    """`take`: marks an id as used in this process; False if it was. `learn`: ids that the other process
    uses."""

    def __init__(self) -> None:
        self.take: Callable[[int], bool] = lambda digest: True
        self.learn: Callable[[int], None] = lambda digest: None
        self.predecessor: Link | None = None  # one that answers claims
        self.successor: Link | None = None
        self.pending: dict[int, PendingClaim] = {}
        self.last_number = 0

    async def claim(self, digest: int) -> ClaimResult:
        """Whether the process before this one has not used the id, and never will."""
        link = self.predecessor
        if link is None:
            return ClaimResult.FREE
        self.last_number += 1
        number, pending = self.last_number, PendingClaim()
        self.pending[number] = pending
        try:
            if link.send({"say": CLAIM, "n": number, "id": digest}):
                with anyio.move_on_after(CLAIM_TIMEOUT_S):
                    await pending.decided.wait()
        finally:
            del self.pending[number]
        return pending.result

    def share(self, digest: int) -> None:
        """An attempt for this id starts here."""
        if self.successor is not None:
            self.successor.send({"say": USED, "id": digest})

    def on_message(self, link: Link, message: Message) -> None:
        say, digest = message.get("say"), message.get("id")
        if say == CLAIM and isinstance(digest, int):
            link.send({"say": CLAIMED, "n": message.get("n"), "free": self.take(digest)})
        elif say == USED and isinstance(digest, int):
            self.learn(digest)
        elif say == CLAIMED and (pending := self.pending.get(message.get("n"))) is not None:
            pending.result = ClaimResult.FREE if message.get("free") else ClaimResult.USED
            pending.decided.set()

    def predecessor_ended(self) -> None:
        """All that it used is known here by now."""
        self.predecessor = None
        for pending in self.pending.values():
            pending.result = ClaimResult.FREE
            pending.decided.set()
