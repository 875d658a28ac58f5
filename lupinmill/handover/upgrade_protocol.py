"""Who of two processes accepts clients, and who passes what to whom. Pure: notes in, orders out, no clock.

A process that serves may have one successor. `Succession` is its side; the successor's own side is short: it
asks before it starts, and says `serving` once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

VERSION = 1


class Phase(Enum):
    NO_SUCCESSOR = "alone"  # accepts
    OFFERED = "offered"  # accepts; a successor has the listening socket and what stood when it asked
    YIELDED = "yielded"  # the successor accepts; here only what was taken is finished


class CommandKind(Enum):
    REFUSE = "refuse"
    SEND_STATE = "pass state"
    YIELD = "yield"  # accept nothing more, pass clients as they fall idle
    RESUME = "take up"  # accept again: the successor has gone
    DROP_LINK = "forget"  # that link


@dataclass(slots=True)
class Command:
    kind: CommandKind
    reason: str = ""


class UpgradeProtocol:
    def __init__(self, name: str, listen: str) -> None:
        self.name, self.listen = name, listen
        self.phase = Phase.NO_SUCCESSOR
        self.shutting_down = False  # told to end: it takes up nothing any more

    def accepts_clients(self) -> bool:
        return self.phase is not Phase.YIELDED

    def on_hello(self, message: dict[str, Any], same_user: bool) -> Command:
        """The first message of a new link."""
        if not same_user:
            return Command(CommandKind.REFUSE, "another user's process")
        if message.get("say") != "hello" or message.get("version") != VERSION:
            return Command(CommandKind.REFUSE, f"this speaks version {VERSION} alone")
        if (message.get("name"), message.get("listen")) != (self.name, self.listen):
            return Command(CommandKind.REFUSE, "another sidecar's name or address")
        if self.phase is not Phase.NO_SUCCESSOR:
            return Command(CommandKind.REFUSE, "another process takes over already")
        self.phase = Phase.OFFERED
        return Command(CommandKind.SEND_STATE)

    def on_serving(self) -> list[Command]:
        """The successor accepts."""
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.YIELDED
        return [Command(CommandKind.YIELD)]

    def on_link_lost(self) -> list[Command]:
        """The successor's link has ended, by its death or a defect."""
        previous, self.phase = self.phase, Phase.NO_SUCCESSOR
        if previous is Phase.YIELDED and self.shutting_down:
            self.phase = Phase.YIELDED  # it ends anyway, and the platform starts the next one
            return [Command(CommandKind.DROP_LINK)]
        if previous is Phase.YIELDED:
            return [Command(CommandKind.DROP_LINK), Command(CommandKind.RESUME)]
        return [Command(CommandKind.DROP_LINK)] if previous is Phase.OFFERED else []

    def on_shutdown(self) -> None:
        self.shutting_down = True
