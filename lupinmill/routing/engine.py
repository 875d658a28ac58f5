"""Drives the decision module: notes in, orders out, one clock and one timer."""

from __future__ import annotations

import os
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.rules import Sidecar

Log = Callable[..., None]

LATE_WAKEUP_US = (
    20_000  # microseconds by which a wake-up comes late before what lies unread is read first, ...
)
IO_PASSES = 3  # ... in so many passes of the loop: the bytes, the task that reads them, what it tells
MAX_TIMER_HOLD_US = 50_000  # microseconds for which alarms that are due wait for what lies unread
# Microseconds after a failure of the module until it goes on with what that step left; twice as long after
# each further failure in a row.
RESUME_DELAY_US, MAX_RESUME_DELAY_US = 1_000, 100_000


def error_fields(error: Exception) -> dict[str, str]:
    """What the log tells of an exception that should not have been: the last line of ours that it passed."""
    where = traceback.extract_tb(error.__traceback__)
    ours = [frame for frame in where if "lupinmill" in frame.filename] or where
    place = f"{os.path.basename(ours[-1].filename)}:{ours[-1].lineno}" if ours else ""
    return {"error": f"{type(error).__name__}: {error}", "where": place}


class Clock:
    """Unix time in whole microseconds that only moves forward, whatever is done to the machine's clock."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self.offset_ns) // 1000


class Engine:
    """Owns the `Sidecar`. Each type of order is carried out by whoever registered for it."""

    def __init__(self, deployment: t.Deployment, clock: Clock, log: Log) -> None:
        self.sidecar, self.clock, self.log = Sidecar(deployment), clock, log
        self.events: deque[t.Event] = deque()
        self.stepping = False
        self.wake_at: int | None = None  # as the module asked
        # After a failure. Apart from `wake_at`: the module counts on that one and would not ask for it again.
        self.resume_at: int | None = None
        self.resume_delay = RESUME_DELAY_US
        self.failure_listeners: list[
            Callable[[Any], None]
        ] = []  # hear of each note that the module failed on
        self.lateness = 0  # microseconds by which wake-ups came late of late
        self.timers_held_since: int | None = None  # alarms that are due wait for what lies unread
        self.timer_changed = anyio.Event()
        self.command_handlers: dict[type, Callable[[Any], None]] = {
            t.SetTimer: self.set_timer,
            t.WriteLog: lambda command: log("mode", text=command.text),
        }

    def handle_event(self, event: t.Event) -> None:
        """Notes that arise while orders are carried out wait for the next step."""
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
        """One failure must cost one note's submission at most, never the program. Hence one note a step: of a
        batch, those behind the one that fails would be lost. What was ordered before the failure holds."""
        failed: Any = None
        now = self.clock.now()
        try:
            commands = self.sidecar.step(now, [event], self.may_fire_timers(now))
        except Exception as error:
            # The module may say which note it was: of an alarm that came due in this step, another's.
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
        """Guards against endpoints that seem silent: after a time in which the loop stood still, the first
        note would ring all that is due by then, while answers lie unread."""
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
        """The step may have left notes undelivered and alarms due: it goes on soon. Whoever owns what the
        note was about brings that to its end."""
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
                    # Guards against endpoints that seem silent: answers that lie unread are heard first.
                    for _ in range(IO_PASSES):
                        await anyio.sleep(0)
                self.fire_timer()
            elif at is None:
                await self.timer_changed.wait()
            else:
                with anyio.move_on_after((at - now) / 1_000_000):
                    await self.timer_changed.wait()

    def fire_timer(self) -> None:
        """Of the two only what is due is over: the module would not ask for the other again."""
        now = self.clock.now()
        if self.resume_at is not None and self.resume_at <= now:
            self.resume_at = None
        if self.wake_at is not None and self.wake_at <= now:
            self.wake_at = None
        self.handle_event(t.TimerFired(1))
