"""Signal handling outside the event loop: before its signal receiver is open, and after that is closed.

Imports nothing heavy: `hold` is called before the rest of the program is imported, since the default action
of each of these signals ends the process."""

from __future__ import annotations

import signal
from types import FrameType

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)


class Signals:
    """Records signals that arrive before the receiver is open. Owns the handlers outside the event loop."""

    def __init__(self) -> None:
        self.received: list[int] = []
        # SIGHUP was ignored when the process started, so one may have been lost unnoticed. The command in
        # deploy/balancer.toml ignores it, as one before Python runs the first line would end the process.
        self.ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN

    def hold(self) -> None:
        """Records signals from now on."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self.record)

    def record(self, number: int, _: FrameType | None) -> None:
        self.received.append(number)

    def shutdown_requested(self) -> bool:
        """Whether SIGTERM or SIGINT arrived."""
        return any(number in SHUTDOWN_SIGNALS for number in self.received)

    def reload_needed(self) -> bool:
        """Whether the configuration may have changed: SIGHUP arrived, or may have been lost."""
        return self.ignored or signal.SIGHUP in self.received

    def block(self) -> None:
        """To be called before the receiver closes and restores the default actions. Other threads must have
        these signals blocked already."""
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def ignore(self) -> None:
        """The process is about to exit: a late signal must not become its exit status."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
