"""The order of events of a rehearsal. Owns what is still to happen; a driver decides when time passes:
virtual time jumps to the next event, sockets wait for it."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MS, SECOND = 1_000, 1_000_000


class ScheduledEvent:
    """One event to come; `cancel` drops it."""

    __slots__ = ("at", "act", "args")

    def __init__(self, at: int, act: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.at = at
        self.act: Callable[..., Any] | None = act
        self.args = args

    def cancel(self) -> None:
        self.act = None


class Timeline:
    """Whole microseconds; events of the same moment come in the order in which they were set."""

    def __init__(self, now: int) -> None:
        self.now, self.serial = now, 0
        self.heap: list[tuple[int, int, ScheduledEvent]] = []
        self.woken: Callable[[], None] | None = None  # told when a new event is the next one

    def at(self, when: int, act: Callable[..., Any], *args: Any) -> ScheduledEvent:
        due = ScheduledEvent(max(when, self.now), act, args)
        self.serial += 1
        heappush(self.heap, (due.at, self.serial, due))
        if self.woken is not None and self.heap[0][2] is due:
            self.woken()
        return due

    def after(self, span: float, act: Callable[..., Any], *args: Any) -> ScheduledEvent:
        return self.at(self.now + int(span), act, *args)

    def next_at(self) -> int | None:
        while self.heap and self.heap[0][2].act is None:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def run_until(self, when: int) -> None:
        """Everything due up to and at `when`; afterwards it is `when`."""
        while (at := self.next_at()) is not None and at <= when:
            _, _, due = heappop(self.heap)
            self.now = max(self.now, at)
            act, due.act = due.act, None
            if act is not None:
                act(*due.args)
        self.now = max(self.now, when)
