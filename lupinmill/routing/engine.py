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

BEHIND = 20_000  # microseconds by which a wake-up comes late before what lies unread is read first, ...
PASSES = 3  # ... in so many passes of the loop: the bytes, the task that reads them, what it tells
HELD_MOST = 50_000  # microseconds for which alarms that are due wait for what lies unread
# Microseconds after a failure of the module until it goes on with what that step left; twice as long after
# each further failure in a row.
GO_ON, GO_ON_MOST = 1_000, 100_000


def defect(error: Exception) -> dict[str, str]:
    """What the log tells of an exception that should not have been: the last line of ours that it passed."""
    where = traceback.extract_tb(error.__traceback__)
    ours = [frame for frame in where if "lupinmill" in frame.filename] or where
    place = f"{os.path.basename(ours[-1].filename)}:{ours[-1].lineno}" if ours else ""
    return {"error": f"{type(error).__name__}: {error}", "where": place}


class Clock:
    """Unix time in whole microseconds that only moves forward, whatever is done to the machine's clock."""

    def __init__(self) -> None:
        self.ahead = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self.ahead) // 1000


class Engine:
    """Owns the `Sidecar`. Each type of order is carried out by whoever registered for it."""

    def __init__(self, deployment: t.Deployment, clock: Clock, log: Log) -> None:
        self.sidecar, self.clock, self.log = Sidecar(deployment), clock, log
        self.events: deque[t.Event] = deque()
        self.stepping = False
        self.wake_at: int | None = None  # as the module asked
        # After a failure. Apart from `wake_at`: the module counts on that one and would not ask for it again.
        self.go_on_at: int | None = None
        self.go_on = GO_ON
        self.failed: list[Callable[[Any], None]] = []  # hear of each note that the module failed on
        self.late = 0  # microseconds by which wake-ups came late of late
        self.held_since: int | None = None  # alarms that are due wait for what lies unread
        self.rearmed = anyio.Event()
        self.carriers: dict[type, Callable[[Any], None]] = {
            t.SetTimer: self.wake_me,
            t.WriteLog: lambda command: log("mode", text=command.text),
        }

    def tell(self, event: t.Event) -> None:
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
            commands = self.sidecar.step(now, [event], self.may_ring(now))
        except Exception as error:
            # The module may say which note it was: of an alarm that came due in this step, another's.
            about = getattr(error, "about", event)
            failed = about if hasattr(about, "request") else event
            self.log(
                "module_failed", note=t.LOGGED_NAMES.get(type(event), type(event).__name__), **defect(error)
            )
            commands, self.sidecar.message_queue.commands = self.sidecar.message_queue.commands, []
        for command in commands:
            self.carry_out(command)
        if failed is not None:
            self.after_failure(failed)
        else:
            self.go_on = GO_ON

    def may_ring(self, now: int) -> bool:
        """Guards against endpoints that seem silent: after a time in which the loop stood still, the first
        note would ring all that is due by then, while answers lie unread."""
        if self.wake_at is None or now - self.wake_at <= BEHIND:
            self.held_since = None
            return True
        if self.held_since is None:
            self.held_since = now
        return now - self.held_since > HELD_MOST

    def carry_out(self, command: t.Command) -> None:
        try:
            self.carriers[type(command)](command)
        except Exception as error:
            self.log(
                "order_failed",
                order=t.LOGGED_NAMES.get(type(command), type(command).__name__),
                **defect(error),
            )

    def after_failure(self, event: Any) -> None:
        """The step may have left notes undelivered and alarms due: it goes on soon. Whoever owns what the
        note was about brings that to its end."""
        self.go_on_at = self.clock.now() + self.go_on
        self.go_on = min(GO_ON_MOST, 2 * self.go_on)
        self.rearmed.set()
        for hear in self.failed:
            try:
                hear(event)
            except Exception as error:
                self.log("task_failed", task="after_failure", **defect(error))

    def wake_me(self, command: t.SetTimer) -> None:
        self.wake_at = command.at
        self.rearmed.set()

    def next_wake(self) -> int | None:
        return min((at for at in (self.wake_at, self.go_on_at) if at is not None), default=None)

    async def keep_time(self) -> None:
        while True:
            self.rearmed = anyio.Event()
            now, at = self.clock.now(), self.next_wake()
            if at is not None and at <= now:
                self.late = max(now - at, self.late * 9 // 10)
                if now - at > BEHIND:
                    # Guards against endpoints that seem silent: answers that lie unread are heard first.
                    for _ in range(PASSES):
                        await anyio.sleep(0)
                self.wake_up()
            elif at is None:
                await self.rearmed.wait()
            else:
                with anyio.move_on_after((at - now) / 1_000_000):
                    await self.rearmed.wait()

    def wake_up(self) -> None:
        """Of the two only what is due is over: the module would not ask for the other again."""
        now = self.clock.now()
        if self.go_on_at is not None and self.go_on_at <= now:
            self.go_on_at = None
        if self.wake_at is not None and self.wake_at <= now:
            self.wake_at = None
        self.tell(t.TimerFired(1))
