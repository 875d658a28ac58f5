"""Model check of the pure cores of `config/`, run unchanged: a source, two relays and two sidecars, under
every schedule with a bounded number of departures from the default one (`explorer.explore`).

The default schedule delivers messages in the order in which they were sent and advances time when none is in
flight. A departure delivers another message first, loses or garbles one, or replaces a reply by the server's
previous one; advances time early; restarts a relay or a sidecar (with or without its stored state); cuts or
heals a link; or restores the source from an older backup. Applying a version is a step of its own, so that a
restart can come between receiving and applying it.

Checked after each step: the entries in force are exactly those that the source published under that version,
limited to the watched scopes; the version in force never goes back, nor does the version that a relay serves
while it keeps its stored state. At the end, once the network is quiet, all nodes apply the source's newest
version.

Worlds are plain values, copied by pickling; the module holds no state."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinmill.config.follower import MS, SECOND, Follower
from lupinmill.config.history import History, SourceBehind
from lupinmill.config.model import (
    ApplyVersion,
    Entries,
    FollowerCommand,
    FollowerEvent,
    Key,
    Reply,
    ReplyReceived,
    SendWatch,
    SetTimer,
    TimerFired,
    Version,
    VersionApplied,
    VersionRefused,
    WatchFailed,
)
from lupinmill.lab.explorer import Action, Outcome, explore, walk

SOURCE, RELAYS, SIDECARS = "source", ("r0", "r1"), ("s0", "s1")
WATCHED_SCOPES = {
    "r0": (),
    "r1": (),
    "s0": ("fleet", "service/one"),
    "s1": ("fleet", "service/two", "sidecar/s1"),
}
LINKS = (("r0", SOURCE), ("r1", SOURCE), ("s0", "r0"), ("s0", "r1"))  # links that can be cut
WATCH_TIMEOUT, REPLY_SPREAD = 400 * MS, 40 * MS
QUIET_PERIOD = 60 * SECOND
REFUSED_VALUE = "bad"  # refused by s0

FLEET, ONE, TWO = Key("fleet", "settings"), Key("service/one", "settings"), Key("service/two", "settings")
OWN, MEMBER = Key("sidecar/s1", "settings"), Key("service/one", "member/m1")
# Pushes by time: s0 refuses the second; the last one removes an entry and is not refused.
SCRIPT: tuple[tuple[int, Entries], ...] = (
    (0, {FLEET: {"limit": 1}, ONE: "a", TWO: "a", MEMBER: [1]}),
    (150 * MS, {ONE: REFUSED_VALUE, TWO: "b"}),
    (250 * MS, {FLEET: {"limit": 2}, OWN: 3, ONE: "c"}),
    (300 * MS, {MEMBER: None, TWO: "d", ONE: "d"}),
)


@dataclass
class Node:
    """A relay or a sidecar, and the state that outlives its process."""

    name: str
    follower: Follower
    in_force: Version
    entries: Entries
    stored: tuple[Version, Entries]
    history: History | None = None  # of a relay only
    applying: ApplyVersion | None = None
    call_number: int = 0  # number of the outstanding call
    timer: int = 0
    starts: int = 1
    last_replies: dict[str, Reply] = field(default_factory=dict)  # by server


@dataclass
class WatchCall:
    """A watch on its way to a server, or parked there."""

    client: str
    server: str
    number: int
    since: Version
    until: int  # time at which it is answered even without news


@dataclass
class WatchReply:
    """A reply on its way to its client."""

    call: WatchCall
    reply: Reply


@dataclass
class ConfigWorld:
    follower: type[Follower] = Follower  # replaced to inject faults
    history: type[History] = History
    # A relay serves a version before it is stored, and may restart with an older one.
    serves_before_storing: bool = False
    may_fall_behind: bool = False  # whether such a restart is allowed; else it is an injected fault
    horizon: int = 700 * MS  # end of the departures
    now: int = 0
    nodes: dict[str, Node] = field(default_factory=dict)
    source: History = field(default_factory=lambda: History(Version(), {}))
    backup: tuple[Version, Entries] = (Version(), {})  # the source's state after the first push
    pushed: int = 0  # number of pushes of `SCRIPT` so far
    in_flight: list[WatchCall | WatchReply] = field(default_factory=list)
    parked: list[WatchCall] = field(default_factory=list)
    cut: set[tuple[str, str]] = field(default_factory=set)
    being_stored: dict[str, tuple[Version, Entries]] = field(default_factory=dict)  # not on disk yet, by node
    highest_applied: dict[str, int] = field(default_factory=dict)  # index, by node
    published: dict[Version, Entries] = field(default_factory=lambda: {Version(): {}})
    violation: str = ""

    def __post_init__(self) -> None:
        self.source = self.history(Version(), {}, max_changes=3)
        for name in RELAYS + SIDECARS:
            self.start(name, (Version(), {}), 1)

    def start(self, name: str, stored: tuple[Version, Entries], start_number: int) -> None:
        version, entries = stored
        relay = name in RELAYS
        servers, seed = (SOURCE,) if relay else RELAYS, start_number * 1000 + sum(name.encode())
        follower = self.follower(name, servers, seed, WATCH_TIMEOUT, REPLY_SPREAD, version, entries)
        history = self.history(version, entries, max_changes=3) if relay else None
        if not relay:
            follower.refresh()  # as the sidecar's driver does on start
        self.nodes[name] = Node(
            name,
            follower,
            version,
            dict(entries),
            stored,
            history,
            starts=start_number,
            call_number=start_number * 1000,
        )
        self.step(name, [])

    # --- actions ---

    def actions(self) -> list[Action]:
        """Possible actions, the default one first; empty at the end of the schedule."""
        if self.violation or self.now >= self.horizon:
            return []
        applying = [index for index, name in enumerate(self.nodes) if self.nodes[name].applying]
        found: list[Action] = [("apply", index) for index in applying]
        found += [("deliver", index) for index in range(len(self.in_flight))]
        found.append(("wait", 0))
        found += [("keep", index) for index, name in enumerate(self.nodes) if name in self.being_stored]
        found += [("lose", index) for index in range(len(self.in_flight))]
        for index, message in enumerate(self.in_flight):
            if isinstance(message, WatchReply) and self.reachable(message.call):
                found.append(("garble", index))
                if message.call.server in self.nodes[message.call.client].last_replies:
                    found.append(("repeat", index))
        found += [("restart", index) for index in range(len(self.nodes))]
        found += [("restart empty", index) for index in range(len(self.nodes))]
        found += [("heal" if link in self.cut else "cut", index) for index, link in enumerate(LINKS)]
        if self.source.version.index > self.backup[0].index:
            found.append(("back up", 0))
        return found

    def apply(self, action: Action) -> None:
        kind, index = action
        if kind == "deliver":
            self.deliver(self.in_flight.pop(index))
        elif kind == "lose":
            self.in_flight.pop(index)
        elif kind == "garble":
            call = self.call_of(self.in_flight.pop(index))
            self.step(call.client, [WatchFailed(call.server, "garbage", garbled=True)])
        elif kind == "repeat":
            call = self.call_of(self.in_flight.pop(index))
            self.step(
                call.client, [ReplyReceived(call.server, self.nodes[call.client].last_replies[call.server])]
            )
        elif kind == "apply":
            self.apply_version(self.nodes[list(self.nodes)[index]])
        elif kind == "keep":
            name = list(self.nodes)[index]
            self.nodes[name].stored = self.being_stored.pop(name)
        elif kind in ("restart", "restart empty"):
            self.restart(list(self.nodes)[index], kind == "restart empty")
        elif kind == "cut":
            self.cut.add(LINKS[index])
        elif kind == "heal":
            self.cut.discard(LINKS[index])
        elif kind == "back up":
            self.break_connections(SOURCE)
            self.source = self.history(*self.backup, max_changes=3)
        else:
            self.advance_time()
        self.check_invariants()

    def restart(self, name: str, empty: bool) -> None:
        node = self.nodes[name]
        self.being_stored.pop(name, None)
        if empty:
            self.highest_applied.pop(name, None)
        self.in_flight = [message for message in self.in_flight if self.call_of(message).client != name]
        self.parked = [message for message in self.parked if message.client != name]
        # It keeps its position in `nodes`. Its first call is sent before its clients notice the restart.
        self.start(name, (Version(), {}) if empty else node.stored, node.starts + 1)
        self.break_connections(name)

    def break_connections(self, server: str) -> None:
        """Breaks all connections to a server; each client whose link is up is notified."""
        broken = [
            self.call_of(message) for message in self.in_flight if self.call_of(message).server == server
        ]
        broken += [message for message in self.parked if message.server == server]
        self.in_flight = [message for message in self.in_flight if self.call_of(message).server != server]
        self.parked = [message for message in self.parked if message.server != server]
        for call in broken:
            if self.reachable(call):
                self.step(call.client, [WatchFailed(server, "broke")])

    @staticmethod
    def call_of(message: WatchCall | WatchReply) -> WatchCall:
        return message.call if isinstance(message, WatchReply) else message

    # --- messages ---

    def deliver(self, message: WatchCall | WatchReply) -> None:
        call = self.call_of(message)
        if isinstance(message, WatchReply):
            if self.reachable(call):
                self.nodes[call.client].last_replies[call.server] = message.reply
                self.step(call.client, [ReplyReceived(call.server, message.reply)])
        elif (call.client, call.server) not in self.cut:
            self.parked.append(message)
            self.answer(call.server)

    def reachable(self, call: WatchCall) -> bool:
        """Whether the client can still receive the reply; by calling again it closes the connection."""
        return (call.client, call.server) not in self.cut and self.nodes[
            call.client
        ].call_number == call.number

    def history_of(self, server: str) -> History:
        if server == SOURCE:
            return self.source
        history = self.nodes[server].history
        assert history is not None
        return history

    def answer(self, server: str) -> None:
        """Replies to parked watches that have changes to report or have expired."""
        history = self.history_of(server)
        for call in [message for message in self.parked if message.server == server]:
            if self.now >= call.until or history.has_changes(call.since, WATCHED_SCOPES[call.client]):
                self.parked.remove(call)
                self.in_flight.append(
                    WatchReply(
                        call, history.reply(call.since, WATCHED_SCOPES[call.client], REPLY_SPREAD // MS)
                    )
                )
            if server == SOURCE:
                ahead = self.history_of(call.client).ahead  # as the relay's driver reports with each call
                self.source.observe_version(ahead or Version())

    def step(self, name: str, events: list[FollowerEvent]) -> None:
        node = self.nodes[name]
        commands: list[FollowerCommand] = node.follower.step(self.now, events)
        for command in commands:
            if isinstance(command, SendWatch):
                node.call_number += 1
                self.in_flight.append(
                    WatchCall(
                        name, command.relay, node.call_number, command.since, self.now + command.wait_us
                    )
                )
                self.parked = [message for message in self.parked if message.client != name]
            elif isinstance(command, ApplyVersion):
                node.applying = command
            elif isinstance(command, SetTimer):
                node.timer = command.at

    def apply_version(self, node: Node) -> None:
        command = node.applying
        assert command is not None
        node.applying = None
        if node.name == "s0" and command.entries.get(ONE) == REFUSED_VALUE:
            self.step(node.name, [VersionRefused(command.version, "service/one settings: bad")])
            return
        if command.version.index <= node.in_force.index:
            self.violation = f"{node.name} falls back from {node.in_force.index} to {command.version.index}"
            return
        node.in_force, node.entries = command.version, command.entries
        self.highest_applied[node.name] = command.version.index
        if self.serves_before_storing and node.history is not None:
            self.being_stored[node.name] = (command.version, command.entries)
        else:
            node.stored = (command.version, command.entries)
        if node.history is not None:
            node.history.replace(command.version, command.entries)
        self.step(node.name, [VersionApplied(command.version)])
        if node.history is not None:
            self.answer(node.name)

    # --- time, and the source ---

    def advance_time(self) -> None:
        """Advances to the next time at which something is due."""
        due = [node.timer for node in self.nodes.values()] + [call.until for call in self.parked]
        if self.pushed < len(SCRIPT):
            due.append(SCRIPT[self.pushed][0])
        self.now = max(self.now, min(due))
        if self.pushed < len(SCRIPT) and self.now >= SCRIPT[self.pushed][0]:
            self.push(SCRIPT[self.pushed][1])
        for server in (SOURCE, *RELAYS):
            self.answer(server)
        for name in RELAYS + SIDECARS:
            if self.now >= self.nodes[name].timer:
                self.step(name, [TimerFired()])

    def push(self, entries: Entries) -> None:
        self.pushed += 1
        try:
            self.source.push(entries)
        except SourceBehind:
            self.restore()
            self.source.push(entries)
        self.publish()
        if self.pushed == 1:
            self.backup = (self.source.version, self.source.entries)
        self.answer(SOURCE)

    def restore(self) -> None:
        """What an operator does when a push reports that the source is behind."""
        self.source.restore()
        self.publish()

    def publish(self) -> None:
        self.published[self.source.version] = self.source.entries

    # --- invariants ---

    def check_invariants(self) -> None:
        for node in self.nodes.values():
            if self.violation:
                return
            index = node.in_force.index
            if node.entries != self.watched_entries(node.in_force, node.name):
                self.violation = f"{node.name}: what is in force is not version {index}"
            elif node.follower.status().in_force != node.in_force:
                self.violation = (
                    f"{node.name} says that {node.follower.in_force.index} is in force, not {index}"
                )
            elif index < self.highest_applied.get(node.name, 0) and not (
                self.may_fall_behind and node.history is not None
            ):
                self.violation = f"{node.name} came back with {index} after {self.highest_applied[node.name]}"
            elif (served := node.history) and served.entries != self.published.get(served.version):
                self.violation = f"{node.name} serves what is not version {served.version.index}"

    def watched_entries(self, version: Version, name: str) -> Entries | None:
        published = self.published.get(version)
        if published is None or not WATCHED_SCOPES[name]:
            return published
        return {key: value for key, value in published.items() if key.scope in WATCHED_SCOPES[name]}

    def agreed(self) -> bool:
        newest = self.source.version
        return (
            self.pushed == len(SCRIPT)
            and self.source.ahead is None
            and all(node.in_force == newest for node in self.nodes.values())
        )

    def finish(self) -> None:
        """Nothing is lost any more: within `QUIET_PERIOD` all nodes must apply the newest version."""
        self.cut.clear()
        deadline = self.now + QUIET_PERIOD
        self.horizon = deadline
        while not self.violation and not self.agreed() and self.now < deadline:
            if self.source.ahead is not None:
                self.restore()
                self.answer(SOURCE)
            self.apply(self.actions()[0])
        if not self.violation and not self.agreed():
            versions = ", ".join(f"{node.name} at {node.in_force.index}" for node in self.nodes.values())
            self.violation = f"no agreement: source at {self.source.version.index}, {versions}"


def check(departures: int, states: int = 10**9) -> Outcome:
    return explore(ConfigWorld, departures, states)


def walks(seeds: range, share: float = 0.1) -> tuple[int, str]:
    """Random schedules, deeper than exhaustive search reaches: their number, and the first failure."""
    for count, seed in enumerate(seeds):
        if found := walk(ConfigWorld, seed, share):
            return count + 1, f"seed {seed}: {found.violation}: {found.text()}"
    return len(seeds), ""
