"""State machine of one watch on the configuration, for a sidecar or a relay: which relay to ask, which
replies to accept, and which versions to hand to the process. Pure: `step(now, events) -> commands`.

The held version only moves forward: by changes based on exactly that version, or by a snapshot with a higher
index, and always completely. The version in force follows it.

Owns the newest received version with its entries, and a health record for each relay.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lupinmill.config.history import apply_changes, difference
from lupinmill.config.model import (
    ApplyVersion,
    Entries,
    FollowerCommand,
    FollowerEvent,
    LogLine,
    Reply,
    ReplyReceived,
    SendWatch,
    SetTimer,
    Status,
    Version,
    VersionApplied,
    VersionRefused,
    WatchFailed,
)
from lupinmill.workings import RandomSource

MS, SECOND = 1_000, 1_000_000
MAX_WAIT_US = 60 * SECOND  # limit of the watch protocol
# Time beyond the requested wait before a watch counts as timed out. It doubles when a full round of relays
# gives no reply: with a limit that stays below their actual latency, every call would be abandoned and
# restarted forever.
MIN_MARGIN_US, MAX_MARGIN_US = 2 * SECOND, 60 * SECOND
LATENESS_FACTOR = 2  # the margin is kept at this multiple of the last lateness
# Lower bound of the randomized wait: calls that start together must not end together.
MIN_WAIT_FRACTION = 0.8
MIN_CALL_INTERVAL_US = 10 * MS  # limits the load of a relay that always has changes
# Pause after a reply without changes; it grows while replies come early.
NO_CHANGES_PAUSE_US, MAX_NO_CHANGES_PAUSE_US = 50 * MS, SECOND
APPLY_WAIT_US = SECOND  # the next watch waits this long for the outcome of a version, to report it
MIN_SPREAD_US, MAX_SPREAD_US = 100 * MS, 600 * SECOND
MIN_PENALTY_US, MAX_PENALTY_US = SECOND, 60 * SECOND
LOG_INTERVAL_US, MAX_LOG_INTERVAL_US = 30 * SECOND, 3600 * SECOND
MAX_REASON_CHARS = 200


@dataclass(slots=True)
class RelayState:
    """Health record of one relay."""

    spread_us: int = 0  # as advertised by the relay; 0: not yet
    margin_us: int = MIN_MARGIN_US  # time beyond the wait before the watch counts as timed out
    penalty_us: int = 0  # current back-off, doubled while failures continue
    behind_until: int = 0  # until then other relays are preferred


@dataclass(slots=True)
class LogThrottle:
    logged_at: int
    interval: int  # microseconds until a line of this kind is logged again


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
        """`version` and `entries` are already in force. `spread_us` is the period over which the whole fleet
        reconnects; relays may advertise their own later."""
        self.name, self.wait_us, self.spread_us = name, min(MAX_WAIT_US, wait_us), spread_us
        self.random_source = RandomSource(seed)
        self.version, self.entries = version, dict(entries)  # the newest received
        self.in_force, self.refused, self.why = version, 0, ""
        self.offered: Version | None = None
        self.offered_at = 0
        self.outstanding: SendWatch | None = None
        self.sent_at = -MIN_CALL_INTERVAL_US
        self.next_call_at: int | None = None  # when the next watch is sent; None: not chosen yet
        self.needs_snapshot = False  # the next watch requests a snapshot: the last changes had another base
        # Watches request a snapshot until one arrives: the watched scopes may differ from those held.
        self.refresh_pending = False
        self.reapply_pending = False  # the entries changed within the held version and must be applied again
        self.early_replies = 0  # consecutive replies without changes that came long before the wait was over
        self.failures = 0  # consecutive watches without a usable reply
        self.relays: list[str] = []  # in this follower's own order; the first is asked next
        self.relay_states: dict[str, RelayState] = {}
        self.log_throttles: dict[str, LogThrottle] = {}
        self.commands: list[FollowerCommand] = []
        self.change_relays(relays)

    def change_relays(self, relays: tuple[str, ...]) -> None:
        """Takes effect with the next step. A watch on a removed relay is abandoned; the remaining relays keep
        their health records."""
        others = [relay for relay in dict.fromkeys(relays) if relay not in self.relay_states]
        self.relays = [relay for relay in self.relays if relay in relays]
        while others:
            self.relays.append(others.pop(self.random_source.upto(len(others) - 1)))
        self.relay_states = {relay: self.relay_states.get(relay, RelayState()) for relay in self.relays}
        if self.outstanding is not None and self.outstanding.relay not in self.relay_states:
            self.outstanding, self.next_call_at, self.needs_snapshot = None, None, False

    def refresh(self) -> None:
        """Requests a snapshot and accepts it even at the held version. Drivers call this when the scopes have
        changed, and at startup with stored entries, which may belong to other scopes."""
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
            self.next_call_at = now + self.random_source.upto(self.spread_us)
        if self.outstanding is not None or not self.relays or now < self.next_call_time():
            return
        self.choose_relay(now)
        wait_us = int(
            self.wait_us * (MIN_WAIT_FRACTION + (1 - MIN_WAIT_FRACTION) * self.random_source.draw())
        )
        # After a failure, every other watch reports the held version even when a snapshot is wanted:
        # otherwise a source that is behind would never learn of it.
        refresh = self.refresh_pending and self.failures % 2 == 0
        since = Version() if self.needs_snapshot or refresh else self.version
        self.outstanding = SendWatch(
            self.relays[0], since, wait_us, now + wait_us + self.relay_states[self.relays[0]].margin_us
        )
        self.sent_at = now
        self.commands.append(self.outstanding)

    # --- versions handed to the process ---

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
            text = f"version {event.version.index} rejected, {self.in_force.index} stays in force: {self.why}"
            self.log_throttled(now, "refused", text)

    # --- replies and failures ---

    def reply_received(self, now: int, watch: SendWatch, reply: Reply) -> None:
        self.outstanding = None
        self.adjust_margin(self.relay_states[watch.relay], now - self.sent_at, watch.wait_us)
        state = self.relay_states[watch.relay]
        if reply.spread_ms > 0:
            state.spread_us = min(MAX_SPREAD_US, reply.spread_ms * MS)
        held, version = self.version, reply.version
        if version.index == 0:
            self.reject_reply(now, "it has no version yet")
        elif version.index < held.index:
            self.reject_reply(now, f"its version {version.index} is older than the held version {held.index}")
        elif version.index == held.index and version != held:
            self.reject_reply(now, f"its version {version.index} differs from the held version {held.index}")
        elif reply.is_snapshot:
            self.accept_snapshot(now, watch, reply)
        elif reply.since != held:
            if watch.since.index == 0:
                self.reject_reply(now, "it sent changes although a snapshot was requested")
            else:
                text = f"{watch.relay}: changes not based on version {held.index}; requesting a snapshot"
                self.log_throttled(now, "gap", text)
                self.needs_snapshot, self.next_call_at = True, now
        elif version == held and reply.entries:
            self.reject_reply(now, "it sent changes without a new version")
        elif version == held:
            self.no_changes(now, watch)
        else:
            self.accept(now, version, apply_changes(self.entries, reply.entries))

    def adjust_margin(self, state: RelayState, elapsed_us: int, wait_us: int) -> None:
        """A reply with changes that came before the wait was over only bounds the lateness by the time it
        took."""
        late = (
            elapsed_us - wait_us
            if elapsed_us >= wait_us
            else min(elapsed_us, state.margin_us // LATENESS_FACTOR)
        )
        state.margin_us = min(MAX_MARGIN_US, max(MIN_MARGIN_US, LATENESS_FACTOR * late))

    def accept_snapshot(self, now: int, watch: SendWatch, reply: Reply) -> None:
        if reply.version == self.version:
            if self.refresh_pending and difference(self.entries, reply.entries):
                self.entries, self.reapply_pending = apply_changes({}, reply.entries), True
            self.refresh_pending = False
            self.no_changes(now, watch)
            return
        if self.version.index:
            self.log_throttled(
                now,
                "snapshot",
                f"{watch.relay}: snapshot of version {reply.version.index} replaces {self.version.index}",
            )
        self.refresh_pending = False
        self.accept(now, reply.version, apply_changes({}, reply.entries))

    def accept(self, now: int, version: Version, entries: Entries) -> None:
        self.version, self.entries = version, entries
        self.mark_healthy(now)
        self.next_call_at, self.early_replies = now, 0

    def no_changes(self, now: int, watch: SendWatch) -> None:
        self.mark_healthy(now)
        self.early_replies = self.early_replies + 1 if now - self.sent_at < watch.wait_us // 2 else 0
        self.next_call_at = now + min(
            MAX_NO_CHANGES_PAUSE_US, NO_CHANGES_PAUSE_US << min(self.early_replies, 10)
        )

    def mark_healthy(self, now: int) -> None:
        if self.failures > 1:
            self.log_throttled(
                now, "again", f"{self.relays[0]} answers again after {self.failures} failed calls"
            )
        self.needs_snapshot, self.failures = False, 0
        state = self.relay_states[self.relays[0]]
        state.penalty_us = state.behind_until = 0

    def reject_reply(self, now: int, why: str) -> None:
        """The relay replied, but with nothing usable: the others are preferred for a while."""
        state = self.relay_states[self.relays[0]]
        # longer than the delay before the next watch
        least = max(MIN_PENALTY_US, 2 * (state.spread_us or self.spread_us))
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
        # it fails fast, so no longer margin is needed
        self.relay_states[event.relay].margin_us = MIN_MARGIN_US
        if event.garbled:
            self.reject_reply(now, f"malformed reply: {event.why}")
        else:
            self.fail_over(now, "failed", event.why)

    def fail_over(self, now: int, kind: str, why: str) -> None:
        """Switches to another relay. The clients of a lost relay reconnect spread over its advertised period.
        With no relay available, each client retries at most once per period, so that the call rate stays
        below fleet size / period, also when all relays come back."""
        relay = self.relays.pop(0)
        self.relays.append(relay)
        self.outstanding, self.needs_snapshot, self.early_replies = None, False, 0
        self.failures += 1
        spread = max(MIN_SPREAD_US, self.relay_states[relay].spread_us or self.spread_us)
        first = self.failures == 1
        delay = self.random_source.upto(spread) if first else spread + self.random_source.upto(spread // 4)
        self.next_call_at = now + delay
        self.log_throttled(now, kind, f"{relay}: {why[:MAX_REASON_CHARS]}; next call in {delay // MS} ms")

    def choose_relay(self, now: int) -> None:
        """Moves the first relay that is not backed off to the front, or else the one whose back-off ends
        first."""
        usable = [relay for relay in self.relays if self.relay_states[relay].behind_until <= now]
        first = (
            usable[0] if usable else min(self.relays, key=lambda relay: self.relay_states[relay].behind_until)
        )
        self.relays.remove(first)
        self.relays.insert(0, first)

    def log_throttled(self, now: int, kind: str, text: str) -> None:
        """Logs each kind of line at growing intervals while it repeats, so that an outage does not flood the
        log."""
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
