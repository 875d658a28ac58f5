"""Who of two processes accepts clients, and who passes what to whom. Pure: notes in, orders out, no clock.

A process that serves may have one successor. `Succession` is its side; the successor's own side is short: it
asks before it starts, and says `serving` once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

VERSION = 1


class Phase(Enum):
    ALONE = "alone"  # accepts
    OFFERED = "offered"  # accepts; a successor has the listening socket and what stood when it asked
    YIELDED = "yielded"  # the successor accepts; here only what was taken is finished


class Do(Enum):
    REFUSE = "refuse"
    PASS_STATE = "pass state"
    YIELD = "yield"  # accept nothing more, pass clients as they fall idle
    TAKE_UP = "take up"  # accept again: the successor has gone
    FORGET = "forget"  # that link


@dataclass(slots=True)
class Order:
    do: Do
    why: str = ""


class Succession:
    def __init__(self, name: str, listen: str) -> None:
        self.name, self.listen = name, listen
        self.phase = Phase.ALONE
        self.leaving = False  # told to end: it takes up nothing any more

    def accepts(self) -> bool:
        return self.phase is not Phase.YIELDED

    def hello(self, message: dict[str, Any], same_user: bool) -> Order:
        """The first message of a new link."""
        if not same_user:
            return Order(Do.REFUSE, "another user's process")
        if message.get("say") != "hello" or message.get("version") != VERSION:
            return Order(Do.REFUSE, f"this speaks version {VERSION} alone")
        if (message.get("name"), message.get("listen")) != (self.name, self.listen):
            return Order(Do.REFUSE, "another sidecar's name or address")
        if self.phase is not Phase.ALONE:
            return Order(Do.REFUSE, "another process takes over already")
        self.phase = Phase.OFFERED
        return Order(Do.PASS_STATE)

    def serving(self) -> list[Order]:
        """The successor accepts."""
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.YIELDED
        return [Order(Do.YIELD)]

    def lost(self) -> list[Order]:
        """The successor's link has ended, by its death or a defect."""
        before, self.phase = self.phase, Phase.ALONE
        if before is Phase.YIELDED and self.leaving:
            self.phase = Phase.YIELDED  # it ends anyway, and the platform starts the next one
            return [Order(Do.FORGET)]
        if before is Phase.YIELDED:
            return [Order(Do.FORGET), Order(Do.TAKE_UP)]
        return [Order(Do.FORGET)] if before is Phase.OFFERED else []

    def leave(self) -> None:
        self.leaving = True
