"""Signals outside of the event loop: before it has its receiver, and after that is closed.

Imports nothing heavy: `hold` is called before the rest of the program is imported, since the default action
of each of these signals ends the process."""

from __future__ import annotations

import signal
from types import FrameType

ENDING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*ENDING, signal.SIGHUP)


class Signals:
    """Those that came before the receiver was there. Owns the process's handlers outside of the loop."""

    def __init__(self) -> None:
        self.came: list[int] = []
        # SIGHUP was ignored when the process started, so one may have been lost without a trace. The command
        # in deploy/balancer.toml has it so: one that comes before Python runs a line would end the process.
        self.ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN

    def hold(self) -> None:
        """From here on a signal is remembered."""
        for number in HANDLED:
            signal.signal(number, self.note)

    def note(self, number: int, _: FrameType | None) -> None:
        self.came.append(number)

    def ending(self) -> bool:
        """The process was told to end."""
        return any(number in ENDING for number in self.came)

    def reload(self) -> bool:
        """The configuration may have changed without this process having been told."""
        return self.ignored or signal.SIGHUP in self.came

    def block(self) -> None:
        """Before the receiver closes, which sets the default actions again. Other threads of the process must
        have these signals blocked already."""
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)

    def ignore(self) -> None:
        """The process ends by itself: a late signal must not become its exit status."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)
