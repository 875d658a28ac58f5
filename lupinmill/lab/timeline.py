"""The event queue of a run. The driver decides how time passes: in virtual time it jumps to the next event,
on sockets it follows the clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MS, SECOND = 1_000, 1_000_000


class ScheduledEvent:
    """A scheduled callback; `cancel` drops it."""

    __slots__ = ("at", "callback", "args")

    def __init__(self, at: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.at = at
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        self.callback = None


class Timeline:
    """Time in whole microseconds. Events of the same time run in the order in which they were scheduled."""

    def __init__(self, now: int) -> None:
        self.now, self.serial = now, 0
        self.heap: list[tuple[int, int, ScheduledEvent]] = []
        self.on_new_next: Callable[[], None] | None = None  # called when a new event is the next one

    def at(self, when: int, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        event = ScheduledEvent(max(when, self.now), callback, args)
        self.serial += 1
        heappush(self.heap, (event.at, self.serial, event))
        if self.on_new_next is not None and self.heap[0][2] is event:
            self.on_new_next()
        return event

    def after(self, span: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        return self.at(self.now + int(span), callback, *args)

    def next_at(self) -> int | None:
        while self.heap and self.heap[0][2].callback is None:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def run_until(self, when: int) -> None:
        """Runs all events that are due up to and including `when`, and sets the time to `when`."""
        while (at := self.next_at()) is not None and at <= when:
            _, _, event = heappop(self.heap)
            self.now = max(self.now, at)
            callback, event.callback = event.callback, None
            if callback is not None:
                callback(*event.args)
        self.now = max(self.now, when)
