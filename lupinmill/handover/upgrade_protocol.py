"""State machine of an upgrade: which of two processes accepts clients.

Pure: events in, commands out, no clock.

A serving process may have one successor. `UpgradeProtocol` is the side of the serving process; the successor
asks for room before it imports most of the program (an older one doesn't), requests the state before it
starts, and sends `serving` once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from lupinmill.handover.version import VERSION


class Phase(Enum):
    NO_SUCCESSOR = "alone"  # accepts clients
    PREPARING = "preparing"  # accepts clients; makes room in memory for a successor
    OFFERED = "offered"  # accepts clients; a successor has the listening socket and a copy of the state
    YIELDED = "yielded"  # the successor accepts clients; this process finishes its open requests


class CommandKind(Enum):
    REFUSE = "refuse"
    MAKE_ROOM = "make room"
    SEND_STATE = "pass state"
    YIELD = "yield"  # stop accepting, pass client connections on as they become idle
    RESUME = "take up"  # accept again: the successor is gone
    DROP_LINK = "forget"  # to the successor


@dataclass(slots=True)
class Command:
    kind: CommandKind
    reason: str = ""


class UpgradeProtocol:
    """The side of a serving process."""

    def __init__(self, name: str, listen: str) -> None:
        self.name, self.listen = name, listen
        self.phase = Phase.NO_SUCCESSOR

    def accepts_clients(self) -> bool:
        return self.phase is not Phase.YIELDED

    def on_prepare(self, message: dict[str, Any], same_user: bool) -> Command:
        """The first message of a new link, of a successor that has yet to grow."""
        if (reason := self.refusal(message, "prepare", same_user, Phase.NO_SUCCESSOR)) is not None:
            return Command(CommandKind.REFUSE, reason)
        self.phase = Phase.PREPARING
        return Command(CommandKind.MAKE_ROOM)

    def on_hello(self, message: dict[str, Any], same_user: bool, prepared: bool = False) -> Command:
        """The first message of a new link; `prepared`: the second one, after `prepare`."""
        expected = Phase.PREPARING if prepared else Phase.NO_SUCCESSOR
        if (reason := self.refusal(message, "hello", same_user, expected)) is not None:
            return Command(CommandKind.REFUSE, reason)
        self.phase = Phase.OFFERED
        return Command(CommandKind.SEND_STATE)

    def refusal(self, message: dict[str, Any], say: str, same_user: bool, expected: Phase) -> str | None:
        """Why the message is refused; None if it is accepted."""
        if not same_user:
            return "another user's process"
        if message.get("say") != say or message.get("version") != VERSION:
            return f"this speaks version {VERSION} alone"
        if (message.get("name"), message.get("listen")) != (self.name, self.listen):
            return "another sidecar's name or address"
        if self.phase is not expected:
            return "another process takes over already"
        return None

    def on_serving(self) -> list[Command]:
        """The successor accepts clients."""
        if self.phase is not Phase.OFFERED:
            return []
        self.phase = Phase.YIELDED
        return [Command(CommandKind.YIELD)]

    def on_link_lost(self) -> list[Command]:
        """The link to the successor has ended, as the successor died or by a defect. Also a process that is
        shutting down accepts again, for as long as it still runs: nobody else would."""
        previous, self.phase = self.phase, Phase.NO_SUCCESSOR
        if previous is Phase.YIELDED:
            return [Command(CommandKind.DROP_LINK), Command(CommandKind.RESUME)]
        return [] if previous is Phase.NO_SUCCESSOR else [Command(CommandKind.DROP_LINK)]
