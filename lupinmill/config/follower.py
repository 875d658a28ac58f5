"""One watch on configuration, of a sidecar or a relay: which relay is asked, what is taken, what is offered
to the process. Pure: `step(now, notes) -> orders`.

What is held only moves forward: by changes that lead on from exactly the version held, or by a snapshot with
a higher index; whole, or not at all. What the process goes by follows what it took.

Owns the newest version heard with its entries, and how each relay has behaved."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lupinmill.config.history import difference, apply_changes
from lupinmill.config.model import (
    ReplyReceived,
    ApplyVersion,
    SendWatch,
    Entries,
    WatchFailed,
    FollowerEvent,
    FollowerCommand,
    LogLine,
    VersionRefused,
    Reply,
    Status,
    VersionApplied,
    Version,
    SetTimer,
)
from lupinmill.workings import Chance

MS, SECOND = 1_000, 1_000_000
MAX_WAIT_US = 60 * SECOND  # what a watch allows
# Beyond the wait before a relay counts as silent. It doubles where a round of all relays brought no answer:
# a limit that stays below the time that they take would begin each call anew for ever.
MIN_MARGIN_US, MAX_MARGIN_US = 2 * SECOND, 60 * SECOND
LATENESS_FACTOR = 2  # of the last late answer that the margin stays above
MIN_WAIT_FRACTION = (
    0.8  # of the wait that a call waits at least: calls that began together shall not end together
)
MIN_CALL_INTERVAL_US = (
    10 * MS
)  # between two calls at the least: bounds what a relay that always has news can cost
NO_CHANGES_PAUSE_US, MAX_NO_CHANGES_PAUSE_US = (
    50 * MS,
    SECOND,
)  # before the next call after none; longer where it came early
APPLY_WAIT_US = SECOND  # so long the next call waits for the word on what is offered, to carry it
MIN_SPREAD_US, MAX_SPREAD_US = 100 * MS, 600 * SECOND
MIN_PENALTY_US, MAX_PENALTY_US = SECOND, 60 * SECOND
LOG_INTERVAL_US, MAX_LOG_INTERVAL_US = 30 * SECOND, 3600 * SECOND
MAX_REASON_CHARS = 200


@dataclass(slots=True)
class RelayState:
    """How one relay has behaved."""

    spread_us: int = 0  # told by it; 0: none was
    margin_us: int = MIN_MARGIN_US  # beyond the wait before it counts as silent
    penalty_us: int = 0  # the last one; doubles while it goes on
    behind_until: int = 0  # till then the others are asked before it


@dataclass(slots=True)
class LogThrottle:
    logged_at: int
    interval: int  # microseconds until the like is said again


class Follower:
    def __init__(
        self,
        name: str,
        relays: tuple[str, ...],
        seed: int,
        wait_us: int,
        spread_us: int,
        version: Version,
        entries: Entries,
    ) -> None:
        """`version` and `entries` are in force already. The spread is the fleet's, until relays tell theirs:
        over so long all of it comes anew."""
        self.name, self.wait_us, self.spread_us = name, min(MAX_WAIT_US, wait_us), spread_us
        self.chance = Chance(seed)
        self.version, self.entries = version, dict(entries)  # the newest heard
        self.in_force, self.refused, self.why = version, 0, ""
        self.offered: Version | None = None
        self.offered_at = 0
        self.outstanding: SendWatch | None = None
        self.sent_at = -MIN_CALL_INTERVAL_US
        self.next_call_at: int | None = None  # when the next call goes out; None: not drawn yet
        self.needs_snapshot = False  # the next call asks for the snapshot: what came did not lead on
        self.refresh_pending = (
            False  # so does each call until one came: the scopes may be others than what is held
        )
        self.reapply_pending = False  # what is held has changed within its version, and is offered again
        self.early_replies = 0  # answers without news in a row, each long before its wait was over
        self.failures = 0  # calls without a good answer in a row
        self.relays: list[str] = []  # in this follower's own order, the one that it asks first
        self.relay_states: dict[str, RelayState] = {}
        self.log_throttles: dict[str, LogThrottle] = {}
        self.commands: list[FollowerCommand] = []
        self.change_relays(relays)

    def change_relays(self, relays: tuple[str, ...]) -> None:
        """In force with the next step. A call at one that is gone is given up; the others keep their
        standing."""
        others = [relay for relay in dict.fromkeys(relays) if relay not in self.relay_states]
        self.relays = [relay for relay in self.relays if relay in relays]
        while others:
            self.relays.append(others.pop(self.chance.upto(len(others) - 1)))
        self.relay_states = {relay: self.relay_states.get(relay, RelayState()) for relay in self.relays}
        if self.outstanding is not None and self.outstanding.relay not in self.relay_states:
            self.outstanding, self.next_call_at, self.needs_snapshot = None, None, False

    def refresh(self) -> None:
        """The snapshot is asked for, and taken also at the version held. For drivers to call where the scopes
        have changed, and at a start with kept entries, which may be of other scopes."""
        self.refresh_pending = True
        if self.outstanding is not None:
            self.outstanding, self.next_call_at = None, self.sent_at

    def status(self) -> Status:
        return Status(self.name, self.in_force, self.refused, self.why)

    # --- one step ---

    def step(self, now: int, events: Iterable[FollowerEvent]) -> list[FollowerCommand]:
        self.commands = []
        for event in events:
            if isinstance(event, ReplyReceived):
                if self.outstanding is not None and self.outstanding.relay == event.relay:
                    self.reply_received(now, self.outstanding, event.reply)
            elif isinstance(event, WatchFailed):
                if self.outstanding is not None and self.outstanding.relay == event.relay:
                    self.watch_failed(now, event)
            elif isinstance(event, VersionApplied):
                self.version_applied(event.version)
            elif isinstance(event, VersionRefused):
                self.version_refused(now, event)
        if self.outstanding is not None and now >= self.outstanding.deadline:
            self.watch_timed_out(now)
        self.offer_version(now)
        self.send_watch(now)
        times = (
            [self.outstanding.deadline]
            if self.outstanding is not None
            else [self.next_call_time()]
            if self.relays
            else []
        )
        self.commands += [SetTimer(time) for time in times]
        return self.commands

    def next_call_time(self) -> int:
        due = max(self.next_call_at or 0, self.sent_at + MIN_CALL_INTERVAL_US)
        return max(due, self.offered_at + APPLY_WAIT_US) if self.offered is not None else due

    def send_watch(self, now: int) -> None:
        if self.next_call_at is None:
            self.next_call_at = now + self.chance.upto(self.spread_us)
        if self.outstanding is not None or not self.relays or now < self.next_call_time():
            return
        self.choose_relay(now)
        wait_us = int(self.wait_us * (MIN_WAIT_FRACTION + (1 - MIN_WAIT_FRACTION) * self.chance.draw()))
        # Every other one that fails tells the version held: else nobody hears that a source is behind it.
        refresh = self.refresh_pending and self.failures % 2 == 0
        since = Version() if self.needs_snapshot or refresh else self.version
        self.outstanding = SendWatch(
            self.relays[0], since, wait_us, now + wait_us + self.relay_states[self.relays[0]].margin_us
        )
        self.sent_at = now
        self.commands.append(self.outstanding)

    # --- what is offered to the process ---

    def offer_version(self, now: int) -> None:
        newer = self.version.index > max(self.in_force.index, self.refused)
        if self.offered is None and (newer or self.reapply_pending):
            self.reapply_pending = False
            self.offered, self.offered_at = self.version, now
            self.commands.append(ApplyVersion(self.version, dict(self.entries)))

    def version_applied(self, version: Version) -> None:
        if version == self.offered:
            self.in_force, self.offered, self.refused, self.why = version, None, 0, ""

    def version_refused(self, now: int, event: VersionRefused) -> None:
        if event.version == self.offered:
            self.offered, self.refused, self.why = None, event.version.index, event.why[:MAX_REASON_CHARS]
            text = f"version {event.version.index} refused, {self.in_force.index} stays: {self.why}"
            self.log_throttled(now, "refused", text)

    # --- what comes of a call ---

    def reply_received(self, now: int, ask: SendWatch, reply: Reply) -> None:
        self.outstanding = None
        self.adjust_margin(self.relay_states[ask.relay], now - self.sent_at, ask.wait_us)
        state = self.relay_states[ask.relay]
        if reply.spread_ms > 0:
            state.spread_us = min(MAX_SPREAD_US, reply.spread_ms * MS)
        held, version = self.version, reply.version
        if version.index == 0:
            self.reject_reply(now, "it knows of no version yet")
        elif version.index < held.index:
            self.reject_reply(now, f"it is at version {version.index}, this one at {held.index}")
        elif version.index == held.index and version != held:
            self.reject_reply(now, f"its version {version.index} is another than the one here")
        elif reply.is_snapshot:
            self.accept_snapshot(now, ask, reply)
        elif reply.since != held:
            if ask.since.index == 0:
                self.reject_reply(now, "changes where the snapshot was asked for")
            else:
                text = (
                    f"{ask.relay}: changes that don't lead on from version {held.index}; asks for a snapshot"
                )
                self.log_throttled(now, "gap", text)
                self.needs_snapshot, self.next_call_at = True, now
        elif version == held and reply.entries:
            self.reject_reply(now, "changes without a new version")
        elif version == held:
            self.no_changes(now, ask)
        else:
            self.accept(now, version, apply_changes(self.entries, reply.entries))

    def adjust_margin(self, state: RelayState, elapsed_us: int, wait_us: int) -> None:
        """An answer with news, before the wait was over, tells only that it was no later than it took."""
        late = (
            elapsed_us - wait_us
            if elapsed_us >= wait_us
            else min(elapsed_us, state.margin_us // LATENESS_FACTOR)
        )
        state.margin_us = min(MAX_MARGIN_US, max(MIN_MARGIN_US, LATENESS_FACTOR * late))

    def accept_snapshot(self, now: int, ask: SendWatch, reply: Reply) -> None:
        if reply.version == self.version:
            if self.refresh_pending and difference(self.entries, reply.entries):
                self.entries, self.reapply_pending = apply_changes({}, reply.entries), True
            self.refresh_pending = False
            self.no_changes(now, ask)
            return
        if self.version.index:
            self.log_throttled(
                now,
                "snapshot",
                f"{ask.relay}: snapshot of version {reply.version.index} in place of {self.version.index}",
            )
        self.refresh_pending = False
        self.accept(now, reply.version, apply_changes({}, reply.entries))

    def accept(self, now: int, version: Version, entries: Entries) -> None:
        self.version, self.entries = version, entries
        self.mark_healthy(now)
        self.next_call_at, self.early_replies = now, 0

    def no_changes(self, now: int, ask: SendWatch) -> None:
        self.mark_healthy(now)
        self.early_replies = self.early_replies + 1 if now - self.sent_at < ask.wait_us // 2 else 0
        self.next_call_at = now + min(
            MAX_NO_CHANGES_PAUSE_US, NO_CHANGES_PAUSE_US << min(self.early_replies, 10)
        )

    def mark_healthy(self, now: int) -> None:
        if self.failures > 1:
            self.log_throttled(
                now, "again", f"{self.relays[0]} answers, after {self.failures} calls that failed"
            )
        self.needs_snapshot, self.failures = False, 0
        state = self.relay_states[self.relays[0]]
        state.penalty_us = state.behind_until = 0

    def reject_reply(self, now: int, why: str) -> None:
        """It answered, but nothing that can be taken: for a while the others go before it."""
        state = self.relay_states[self.relays[0]]
        least = max(MIN_PENALTY_US, 2 * (state.spread_us or self.spread_us))  # beyond when the next is asked
        state.penalty_us = min(MAX_PENALTY_US, max(least, 2 * state.penalty_us))
        state.behind_until = now + state.penalty_us
        self.fail_over(now, "distrusted", why)

    def watch_timed_out(self, now: int) -> None:
        state = self.relay_states[self.relays[0]]
        if self.failures + 1 >= len(self.relays):
            state.margin_us = min(MAX_MARGIN_US, 2 * state.margin_us)
        self.fail_over(now, "failed", "silent")

    def watch_failed(self, now: int, event: WatchFailed) -> None:
        if event.silent:
            self.watch_timed_out(now)
            return
        self.relay_states[event.relay].margin_us = MIN_MARGIN_US  # it is quick to fail
        if event.garbled:
            self.reject_reply(now, f"can't be read: {event.why}")
        else:
            self.fail_over(now, "failed", event.why)

    def fail_over(self, now: int, kind: str, why: str) -> None:
        """On to another relay. All that lost this one come spread over its time; who finds no other goes on
        coming once in that time at most, so that calls a second stay below fleet over spread also when all
        relays come back."""
        relay = self.relays.pop(0)
        self.relays.append(relay)
        self.outstanding, self.needs_snapshot, self.early_replies = None, False, 0
        self.failures += 1
        spread = max(MIN_SPREAD_US, self.relay_states[relay].spread_us or self.spread_us)
        first = self.failures == 1
        delay = self.chance.upto(spread) if first else spread + self.chance.upto(spread // 4)
        self.next_call_at = now + delay
        self.log_throttled(
            now, kind, f"{relay}: {why[:MAX_REASON_CHARS]}; another is asked in {delay // MS} ms"
        )

    def choose_relay(self, now: int) -> None:
        """To the front the first that is not put behind, else the one that is so for the shortest time."""
        usable = [relay for relay in self.relays if self.relay_states[relay].behind_until <= now]
        first = (
            usable[0] if usable else min(self.relays, key=lambda relay: self.relay_states[relay].behind_until)
        )
        self.relays.remove(first)
        self.relays.insert(0, first)

    def log_throttled(self, now: int, kind: str, text: str) -> None:
        """Each kind of line at longer and longer intervals while it goes on: an outage is no flood."""
        throttle = self.log_throttles.get(kind)
        if throttle is not None and now < throttle.logged_at + throttle.interval:
            return
        doubled = throttle is not None and now < throttle.logged_at + 4 * throttle.interval
        interval = (
            min(MAX_LOG_INTERVAL_US, 2 * throttle.interval)
            if throttle is not None and doubled
            else LOG_INTERVAL_US
        )
        self.log_throttles[kind] = LogThrottle(now, interval)
        self.commands.append(LogLine(text))
