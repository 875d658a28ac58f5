"""One watch on configuration, of a sidecar or a relay: which relay is asked, what is taken, what is offered
to the process. Pure: `step(now, notes) -> orders`.

What is held only moves forward: by changes that lead on from exactly the version held, or by a snapshot with
a higher index; whole, or not at all. What the process goes by follows what it took.

Owns the newest version heard with its entries, and how each relay has behaved."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lupinmill.config.history import difference, merged
from lupinmill.config.model import (
    Answered,
    Apply,
    Ask,
    Entries,
    Failed,
    FollowerNote,
    FollowerOrder,
    Log,
    Refused,
    Reply,
    Status,
    Took,
    Version,
    WakeMe,
)
from lupinmill.workings import RandomSource

MS, SECOND = 1_000, 1_000_000
LONGEST_WAIT = 60 * SECOND  # what a watch allows
# Beyond the wait before a relay counts as silent. It doubles where a round of all relays brought no answer:
# a limit that stays below the time that they take would begin each call anew for ever.
MARGIN, LONGEST_MARGIN = 2 * SECOND, 60 * SECOND
LATENESSES = 2  # of the last late answer that the margin stays above
PART = 0.8  # of the wait that a call waits at least: calls that began together shall not end together
PACE = 10 * MS  # between two calls at the least: bounds what a relay that always has news can cost
NO_NEWS, LONGEST_NO_NEWS = 50 * MS, SECOND  # before the next call after none; longer where it came early
HOLD = SECOND  # so long the next call waits for the word on what is offered, to carry it
LEAST_SPREAD, LONGEST_SPREAD = 100 * MS, 600 * SECOND
LEAST_PENALTY, LONGEST_PENALTY = SECOND, 60 * SECOND
LOG_AGAIN, LONGEST_LOG_AGAIN = 30 * SECOND, 3600 * SECOND
LONGEST_WHY = 200


@dataclass(slots=True)
class Standing:
    """How one relay has behaved."""

    spread: int = 0  # told by it; 0: none was
    margin: int = MARGIN  # beyond the wait before it counts as silent
    penalty: int = 0  # the last one; doubles while it goes on
    behind_until: int = 0  # till then the others are asked before it


@dataclass(slots=True)
class Said:
    at: int
    again: int  # microseconds until the like is said again


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
        self.name, self.wait, self.spread = name, min(LONGEST_WAIT, wait_us), spread_us
        self.random_source = RandomSource(seed)
        self.version, self.entries = version, dict(entries)  # the newest heard
        self.in_force, self.refused, self.why = version, 0, ""
        self.offered: Version | None = None
        self.offered_at = 0
        self.out: Ask | None = None
        self.asked_at = -PACE
        self.due: int | None = None  # when the next call goes out; None: not drawn yet
        self.whole = False  # the next call asks for the snapshot: what came did not lead on
        self.renew = False  # so does each call until one came: the scopes may be others than what is held
        self.again = False  # what is held has changed within its version, and is offered again
        self.early = 0  # answers without news in a row, each long before its wait was over
        self.failures = 0  # calls without a good answer in a row
        self.relays: list[str] = []  # in this follower's own order, the one that it asks first
        self.standings: dict[str, Standing] = {}
        self.said: dict[str, Said] = {}
        self.orders: list[FollowerOrder] = []
        self.change_relays(relays)

    def change_relays(self, relays: tuple[str, ...]) -> None:
        """In force with the next step. A call at one that is gone is given up; the others keep their
        standing."""
        others = [at for at in dict.fromkeys(relays) if at not in self.standings]
        self.relays = [at for at in self.relays if at in relays]
        while others:
            self.relays.append(others.pop(self.random_source.upto(len(others) - 1)))
        self.standings = {at: self.standings.get(at, Standing()) for at in self.relays}
        if self.out is not None and self.out.at not in self.standings:
            self.out, self.due, self.whole = None, None, False

    def refresh(self) -> None:
        """The snapshot is asked for, and taken also at the version held. For drivers to call where the scopes
        have changed, and at a start with kept entries, which may be of other scopes."""
        self.renew = True
        if self.out is not None:
            self.out, self.due = None, self.asked_at

    def status(self) -> Status:
        return Status(self.name, self.in_force, self.refused, self.why)

    # --- one step ---

    def step(self, now: int, notes: Iterable[FollowerNote]) -> list[FollowerOrder]:
        self.orders = []
        for note in notes:
            if isinstance(note, Answered):
                if self.out is not None and self.out.at == note.at:
                    self.answered(now, self.out, note.reply)
            elif isinstance(note, Failed):
                if self.out is not None and self.out.at == note.at:
                    self.failed(now, note)
            elif isinstance(note, Took):
                self.took(note.version)
            elif isinstance(note, Refused):
                self.refuse(now, note)
        if self.out is not None and now >= self.out.until:
            self.silent(now)
        self.offer(now)
        self.ask(now)
        times = [self.out.until] if self.out is not None else [self.next_call()] if self.relays else []
        self.orders += [WakeMe(at) for at in times]
        return self.orders

    def next_call(self) -> int:
        due = max(self.due or 0, self.asked_at + PACE)
        return max(due, self.offered_at + HOLD) if self.offered is not None else due

    def ask(self, now: int) -> None:
        if self.due is None:
            self.due = now + self.random_source.upto(self.spread)
        if self.out is not None or not self.relays or now < self.next_call():
            return
        self.choose(now)
        wait = int(self.wait * (PART + (1 - PART) * self.random_source.draw()))
        # Every other one that fails tells the version held: else nobody hears that a source is behind it.
        renew = self.renew and self.failures % 2 == 0
        since = Version() if self.whole or renew else self.version
        self.out = Ask(self.relays[0], since, wait, now + wait + self.standings[self.relays[0]].margin)
        self.asked_at = now
        self.orders.append(self.out)

    # --- what is offered to the process ---

    def offer(self, now: int) -> None:
        newer = self.version.index > max(self.in_force.index, self.refused)
        if self.offered is None and (newer or self.again):
            self.again = False
            self.offered, self.offered_at = self.version, now
            self.orders.append(Apply(self.version, dict(self.entries)))

    def took(self, version: Version) -> None:
        if version == self.offered:
            self.in_force, self.offered, self.refused, self.why = version, None, 0, ""

    def refuse(self, now: int, note: Refused) -> None:
        if note.version == self.offered:
            self.offered, self.refused, self.why = None, note.version.index, note.why[:LONGEST_WHY]
            text = f"version {note.version.index} refused, {self.in_force.index} stays: {self.why}"
            self.say(now, "refused", text)

    # --- what comes of a call ---

    def answered(self, now: int, ask: Ask, reply: Reply) -> None:
        self.out = None
        self.learn_lateness(self.standings[ask.at], now - self.asked_at, ask.wait)
        standing = self.standings[ask.at]
        if reply.spread_ms > 0:
            standing.spread = min(LONGEST_SPREAD, reply.spread_ms * MS)
        held, version = self.version, reply.version
        if version.index == 0:
            self.distrust(now, "it knows of no version yet")
        elif version.index < held.index:
            self.distrust(now, f"it is at version {version.index}, this one at {held.index}")
        elif version.index == held.index and version != held:
            self.distrust(now, f"its version {version.index} is another than the one here")
        elif reply.whole:
            self.take_snapshot(now, ask, reply)
        elif reply.since != held:
            if ask.since.index == 0:
                self.distrust(now, "changes where the snapshot was asked for")
            else:
                text = f"{ask.at}: changes that don't lead on from version {held.index}; asks for a snapshot"
                self.say(now, "gap", text)
                self.whole, self.due = True, now
        elif version == held and reply.entries:
            self.distrust(now, "changes without a new version")
        elif version == held:
            self.no_news(now, ask)
        else:
            self.take(now, version, merged(self.entries, reply.entries))

    def learn_lateness(self, standing: Standing, took: int, wait: int) -> None:
        """An answer with news, before the wait was over, tells only that it was no later than it took."""
        late = took - wait if took >= wait else min(took, standing.margin // LATENESSES)
        standing.margin = min(LONGEST_MARGIN, max(MARGIN, LATENESSES * late))

    def take_snapshot(self, now: int, ask: Ask, reply: Reply) -> None:
        if reply.version == self.version:
            if self.renew and difference(self.entries, reply.entries):
                self.entries, self.again = merged({}, reply.entries), True
            self.renew = False
            self.no_news(now, ask)
            return
        if self.version.index:
            self.say(
                now,
                "snapshot",
                f"{ask.at}: snapshot of version {reply.version.index} in place of {self.version.index}",
            )
        self.renew = False
        self.take(now, reply.version, merged({}, reply.entries))

    def take(self, now: int, version: Version, entries: Entries) -> None:
        self.version, self.entries = version, entries
        self.good(now)
        self.due, self.early = now, 0

    def no_news(self, now: int, ask: Ask) -> None:
        self.good(now)
        self.early = self.early + 1 if now - self.asked_at < ask.wait // 2 else 0
        self.due = now + min(LONGEST_NO_NEWS, NO_NEWS << min(self.early, 10))

    def good(self, now: int) -> None:
        if self.failures > 1:
            self.say(now, "again", f"{self.relays[0]} answers, after {self.failures} calls that failed")
        self.whole, self.failures = False, 0
        standing = self.standings[self.relays[0]]
        standing.penalty = standing.behind_until = 0

    def distrust(self, now: int, why: str) -> None:
        """It answered, but nothing that can be taken: for a while the others go before it."""
        standing = self.standings[self.relays[0]]
        least = max(LEAST_PENALTY, 2 * (standing.spread or self.spread))  # beyond when the next is asked
        standing.penalty = min(LONGEST_PENALTY, max(least, 2 * standing.penalty))
        standing.behind_until = now + standing.penalty
        self.lost(now, "distrusted", why)

    def silent(self, now: int) -> None:
        standing = self.standings[self.relays[0]]
        if self.failures + 1 >= len(self.relays):
            standing.margin = min(LONGEST_MARGIN, 2 * standing.margin)
        self.lost(now, "failed", "silent")

    def failed(self, now: int, note: Failed) -> None:
        if note.silent:
            self.silent(now)
            return
        self.standings[note.at].margin = MARGIN  # it is quick to fail
        if note.garbled:
            self.distrust(now, f"can't be read: {note.why}")
        else:
            self.lost(now, "failed", note.why)

    def lost(self, now: int, kind: str, why: str) -> None:
        """On to another relay. All that lost this one come spread over its time; who finds no other goes on
        coming once in that time at most, so that calls a second stay below fleet over spread also when all
        relays come back."""
        at = self.relays.pop(0)
        self.relays.append(at)
        self.out, self.whole, self.early = None, False, 0
        self.failures += 1
        spread = max(LEAST_SPREAD, self.standings[at].spread or self.spread)
        first = self.failures == 1
        delay = self.random_source.upto(spread) if first else spread + self.random_source.upto(spread // 4)
        self.due = now + delay
        self.say(now, kind, f"{at}: {why[:LONGEST_WHY]}; another is asked in {delay // MS} ms")

    def choose(self, now: int) -> None:
        """To the front the first that is not put behind, else the one that is so for the shortest time."""
        usable = [at for at in self.relays if self.standings[at].behind_until <= now]
        first = usable[0] if usable else min(self.relays, key=lambda at: self.standings[at].behind_until)
        self.relays.remove(first)
        self.relays.insert(0, first)

    def say(self, now: int, kind: str, text: str) -> None:
        """Each kind of line at longer and longer intervals while it goes on: an outage is no flood."""
        said = self.said.get(kind)
        if said is not None and now < said.at + said.again:
            return
        doubled = said is not None and now < said.at + 4 * said.again
        again = min(LONGEST_LOG_AGAIN, 2 * said.again) if said is not None and doubled else LOG_AGAIN
        self.said[kind] = Said(now, again)
        self.orders.append(Log(text))
