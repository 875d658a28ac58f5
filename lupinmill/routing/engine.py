"""Drives the decision module: events in, commands out, one clock and one timer."""

from __future__ import annotations

import os
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.transport.clocks import MonotonicClock

Log = Callable[..., None]

LATE_WAKEUP_US = 20_000  # microseconds of lag above which unread bytes are read before a timer fires, ...
IO_PASSES = 3  # ... in this many passes of the loop: the bytes, the task that reads them, the event it sends
MAX_TIMER_HOLD_US = 50_000  # microseconds for which due timers wait for unread bytes
# Microseconds after a failure of the decision module until it resumes what that step left undone; doubled
# after each further failure in a row.
RESUME_DELAY_US, MAX_RESUME_DELAY_US = 1_000, 100_000


def error_fields(error: Exception) -> dict[str, str]:
    """Log fields for an unexpected exception, with the innermost line of this project that it passed."""
    where = traceback.extract_tb(error.__traceback__)
    ours = [frame for frame in where if "lupinmill" in frame.filename] or where
    place = f"{os.path.basename(ours[-1].filename)}:{ours[-1].lineno}" if ours else ""
    return {"error": f"{type(error).__name__}: {error}", "where": place}


class Engine:
    """Owns the `Sidecar`. Each type of command is executed by the handler registered for it."""

    def __init__(self, deployment: t.Deployment, clock: MonotonicClock, log: Log) -> None:
        self.sidecar, self.clock, self.log = Sidecar(deployment), clock, log
        self.events: deque[t.Event] = deque()
        self.stepping = False
        self.wake_at: int | None = None  # as the decision module asked
        # Set after a failure. Separate from `wake_at`, which the decision module relies on and would not ask
        # for again.
        self.resume_at: int | None = None
        self.resume_delay = RESUME_DELAY_US
        # Called with each event that the decision module failed on.
        self.failure_listeners: list[Callable[[Any], None]] = []
        self.lateness = 0  # microseconds of recent event loop lag
        self.timers_held_since: int | None = None  # since when due timers wait for unread bytes
        self.timer_changed = anyio.Event()
        self.command_handlers: dict[type, Callable[[Any], None]] = {
            t.SetTimer: self.set_timer,
            t.WriteLog: lambda command: log("mode", text=command.text),
        }

    def handle_event(self, event: t.Event) -> None:
        """Passes an event to the decision module. Events that arise while commands are executed wait for the
        next step."""
        self.events.append(event)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.stepping = False

    def step(self, event: t.Event) -> None:
        """Runs one step. A failure must cost one event's request at most, never the program. Hence one event
        per step: if a batch failed, the events behind the failing one would be lost. Commands issued before
        the failure are executed."""
        failed: Any = None
        now = self.clock.now()
        try:
            commands = self.sidecar.step(now, [event], self.may_fire_timers(now))
        except Exception as error:
            # The decision module may name the event; if a timer fired in this step, it is that of another
            # request.
            about = getattr(error, "about", event)
            failed = about if hasattr(about, "request") else event
            self.log(
                "module_failed",
                note=t.LOGGED_NAMES.get(type(event), type(event).__name__),
                **error_fields(error),
            )
            commands, self.sidecar.message_queue.commands = self.sidecar.message_queue.commands, []
        for command in commands:
            self.execute(command)
        if failed is not None:
            self.on_module_failure(failed)
        else:
            self.resume_delay = RESUME_DELAY_US

    def may_fire_timers(self, now: int) -> bool:
        """Guards against endpoints that seem silent: after the loop was blocked, the first event would fire
        all timers due by then, while responses lie unread."""
        if self.wake_at is None or now - self.wake_at <= LATE_WAKEUP_US:
            self.timers_held_since = None
            return True
        if self.timers_held_since is None:
            self.timers_held_since = now
        return now - self.timers_held_since > MAX_TIMER_HOLD_US

    def execute(self, command: t.Command) -> None:
        try:
            self.command_handlers[type(command)](command)
        except Exception as error:
            self.log(
                "order_failed",
                order=t.LOGGED_NAMES.get(type(command), type(command).__name__),
                **error_fields(error),
            )

    def on_module_failure(self, event: Any) -> None:
        """The step may have left events undelivered and timers due, so it resumes soon. Listeners finish what
        the event was about."""
        self.resume_at = self.clock.now() + self.resume_delay
        self.resume_delay = min(MAX_RESUME_DELAY_US, 2 * self.resume_delay)
        self.timer_changed.set()
        for listener in self.failure_listeners:
            try:
                listener(event)
            except Exception as error:
                self.log("task_failed", task="after_failure", **error_fields(error))

    def set_timer(self, command: t.SetTimer) -> None:
        self.wake_at = command.at
        self.timer_changed.set()

    def next_wake(self) -> int | None:
        return min((at for at in (self.wake_at, self.resume_at) if at is not None), default=None)

    async def run_timer(self) -> None:
        while True:
            self.timer_changed = anyio.Event()
            now, at = self.clock.now(), self.next_wake()
            if at is not None and at <= now:
                self.lateness = max(now - at, self.lateness * 9 // 10)
                if now - at > LATE_WAKEUP_US:
                    await self.catch_up()
                else:
                    self.fire_timer()
            elif at is None:
                await self.timer_changed.wait()
            else:
                with anyio.move_on_after((at - now) / 1_000_000):
                    await self.timer_changed.wait()

    async def catch_up(self) -> None:
        """Fires timers late. Guards against endpoints that seem silent: unread responses are read first."""
        for _ in range(IO_PASSES):
            await anyio.sleep(0)
        self.fire_timer()

    def fire_timer(self) -> None:
        """Clears only the wake-up that is due: the decision module would not ask for the other one again."""
        now = self.clock.now()
        if self.resume_at is not None and self.resume_at <= now:
            self.resume_at = None
        if self.wake_at is not None and self.wake_at <= now:
            self.wake_at = None
        self.handle_event(t.TimerFired(1))
