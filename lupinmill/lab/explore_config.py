"""A model check of the very cores of `config/`: a source, two relays, two sidecars, every schedule with a few
departures from the plain one, by `explorer.explore`.

The plain schedule delivers what was sent in its order, and lets time pass when nothing is left. A departure
delivers another message first, loses or garbles one, or the server's answer before it once more in its place;
lets time pass early; restarts a relay or a sidecar (with or without its kept state); cuts a link or heals it;
brings the source back from an older backup. Where a node has
something to put in force that is a step of its own, so that a restart can come between.

Checked with each step: what is in force is exactly what the source published under that version, of the
scopes watched; it never falls back, nor what a relay serves while it keeps its state. In the end, once the
network is quiet: all go by the source's newest.

Owns nothing: worlds are values, copied as pickles."""

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
WATCHED = {
    "r0": (),
    "r1": (),
    "s0": ("fleet", "service/one"),
    "s1": ("fleet", "service/two", "sidecar/s1"),
}
LINKS = (("r0", SOURCE), ("r1", SOURCE), ("s0", "r0"), ("s0", "r1"))  # that can be cut
WAIT, SPREAD = 400 * MS, 40 * MS
QUIET = 60 * SECOND
BAD = "bad"  # a value that s0 refuses

FLEET, ONE, TWO = Key("fleet", "settings"), Key("service/one", "settings"), Key("service/two", "settings")
OWN, MEMBER = Key("sidecar/s1", "settings"), Key("service/one", "member/m1")
# What is pushed, and when: the second is refused by s0; the last takes an entry away, and is not refused.
SCRIPT: tuple[tuple[int, Entries], ...] = (
    (0, {FLEET: {"limit": 1}, ONE: "a", TWO: "a", MEMBER: [1]}),
    (150 * MS, {ONE: BAD, TWO: "b"}),
    (250 * MS, {FLEET: {"limit": 2}, OWN: 3, ONE: "c"}),
    (300 * MS, {MEMBER: None, TWO: "d", ONE: "d"}),
)


@dataclass
class Node:
    """A relay or a sidecar, and what outlives its process."""

    name: str
    follower: Follower
    in_force: Version
    entries: Entries
    kept: tuple[Version, Entries]
    history: History | None = None  # of a relay
    applying: ApplyVersion | None = None
    calls: int = 0  # number of the call that is out
    wake: int = 0
    lives: int = 1
    last: dict[str, Reply] = field(default_factory=dict)  # by server: the answer that came last


@dataclass
class Call:
    """On its way to a server, or parked there."""

    client: str
    server: str
    number: int
    since: Version
    until: int  # when it is answered in any case


@dataclass
class Back:
    """An answer on its way to its client."""

    call: Call
    reply: Reply


@dataclass
class ConfigWorld:
    follower: type[Follower] = Follower  # planted faults put theirs here
    history: type[History] = History
    serves_first: bool = False  # a relay serves a version and keeps it later: may then come back with less
    may_lack: bool = False  # which is allowed; else it is a planted fault
    horizon: int = 700 * MS  # departures end there
    now: int = 0
    nodes: dict[str, Node] = field(default_factory=dict)
    source: History = field(default_factory=lambda: History(Version(), {}))
    backup: tuple[Version, Entries] = (Version(), {})  # of the source, after the first push
    pushed: int = 0  # of the script
    flying: list[Call | Back] = field(default_factory=list)
    parked: list[Call] = field(default_factory=list)
    cut: set[tuple[str, str]] = field(default_factory=set)
    keeping: dict[str, tuple[Version, Entries]] = field(default_factory=dict)  # not on disk yet
    reached: dict[str, int] = field(default_factory=dict)  # highest index that was in force at each
    published: dict[Version, Entries] = field(default_factory=lambda: {Version(): {}})
    wrong: str = ""

    def __post_init__(self) -> None:
        self.source = self.history(Version(), {}, max_changes=3)
        for name in RELAYS + SIDECARS:
            self.start(name, (Version(), {}), 1)

    def start(self, name: str, kept: tuple[Version, Entries], life: int) -> None:
        version, entries = kept
        relay = name in RELAYS
        servers, seed = (SOURCE,) if relay else RELAYS, life * 1000 + sum(name.encode())
        follower = self.follower(name, servers, seed, WAIT, SPREAD, version, entries)
        history = self.history(version, entries, max_changes=3) if relay else None
        if not relay:
            follower.refresh()  # as the sidecar's driver does at a start
        self.nodes[name] = Node(
            name, follower, version, dict(entries), kept, history, lives=life, calls=life * 1000
        )
        self.step(name, [])

    # --- what can happen ---

    def actions(self) -> list[Action]:
        """The plain one first. Empty: the world has ended."""
        if self.wrong or self.now >= self.horizon:
            return []
        applying = [at for at, name in enumerate(self.nodes) if self.nodes[name].applying]
        found: list[Action] = [("apply", at) for at in applying]
        found += [("deliver", index) for index in range(len(self.flying))]
        found.append(("wait", 0))
        found += [("keep", at) for at, name in enumerate(self.nodes) if name in self.keeping]
        found += [("lose", index) for index in range(len(self.flying))]
        for index, one in enumerate(self.flying):
            if isinstance(one, Back) and self.open(one.call):
                found.append(("garble", index))
                if one.call.server in self.nodes[one.call.client].last:
                    found.append(("repeat", index))
        found += [("restart", at) for at in range(len(self.nodes))]
        found += [("restart empty", at) for at in range(len(self.nodes))]
        found += [("heal" if link in self.cut else "cut", at) for at, link in enumerate(LINKS)]
        if self.source.version.index > self.backup[0].index:
            found.append(("back up", 0))
        return found

    def apply(self, action: Action) -> None:
        what, at = action
        if what == "deliver":
            self.deliver(self.flying.pop(at))
        elif what == "lose":
            self.flying.pop(at)
        elif what == "garble":
            call = self.call_of(self.flying.pop(at))
            self.step(call.client, [WatchFailed(call.server, "garbage", garbled=True)])
        elif what == "repeat":
            call = self.call_of(self.flying.pop(at))
            self.step(call.client, [ReplyReceived(call.server, self.nodes[call.client].last[call.server])])
        elif what == "apply":
            self.put_in_force(self.nodes[list(self.nodes)[at]])
        elif what == "keep":
            name = list(self.nodes)[at]
            self.nodes[name].kept = self.keeping.pop(name)
        elif what in ("restart", "restart empty"):
            self.restart(list(self.nodes)[at], what == "restart empty")
        elif what == "cut":
            self.cut.add(LINKS[at])
        elif what == "heal":
            self.cut.discard(LINKS[at])
        elif what == "back up":
            self.hang_up(SOURCE)
            self.source = self.history(*self.backup, max_changes=3)
        else:
            self.pass_time()
        self.judge()

    def restart(self, name: str, empty: bool) -> None:
        node = self.nodes[name]
        self.keeping.pop(name, None)
        if empty:
            self.reached.pop(name, None)
        self.flying = [one for one in self.flying if self.call_of(one).client != name]
        self.parked = [one for one in self.parked if one.client != name]
        # Its place in `nodes` stays; what it asks first comes before its callers notice.
        self.start(name, (Version(), {}) if empty else node.kept, node.lives + 1)
        self.hang_up(name)

    def hang_up(self, server: str) -> None:
        """Connections break: who can hear it does."""
        broken = [self.call_of(one) for one in self.flying if self.call_of(one).server == server]
        broken += [one for one in self.parked if one.server == server]
        self.flying = [one for one in self.flying if self.call_of(one).server != server]
        self.parked = [one for one in self.parked if one.server != server]
        for call in broken:
            if self.open(call):
                self.step(call.client, [WatchFailed(server, "broke")])

    @staticmethod
    def call_of(one: Call | Back) -> Call:
        return one.call if isinstance(one, Back) else one

    # --- messages ---

    def deliver(self, one: Call | Back) -> None:
        call = self.call_of(one)
        if isinstance(one, Back):
            if self.open(call):
                self.nodes[call.client].last[call.server] = one.reply
                self.step(call.client, [ReplyReceived(call.server, one.reply)])
        elif (call.client, call.server) not in self.cut:
            self.parked.append(one)
            self.answer(call.server)

    def open(self, call: Call) -> bool:
        """Can its client still hear of it? One that called again has closed the connection before."""
        return (call.client, call.server) not in self.cut and self.nodes[call.client].calls == call.number

    def served_by(self, server: str) -> History:
        if server == SOURCE:
            return self.source
        history = self.nodes[server].history
        assert history is not None
        return history

    def answer(self, server: str) -> None:
        """Parked watches with news, and those whose time is over."""
        history = self.served_by(server)
        for call in [one for one in self.parked if one.server == server]:
            if self.now >= call.until or history.has_changes(call.since, WATCHED[call.client]):
                self.parked.remove(call)
                self.flying.append(Back(call, history.reply(call.since, WATCHED[call.client], SPREAD // MS)))
            if server == SOURCE:
                ahead = self.served_by(call.client).ahead  # as the relay's driver tells with each call
                self.source.observe_version(ahead or Version())

    def step(self, name: str, notes: list[FollowerEvent]) -> None:
        node = self.nodes[name]
        orders: list[FollowerCommand] = node.follower.step(self.now, notes)
        for order in orders:
            if isinstance(order, SendWatch):
                node.calls += 1
                self.flying.append(Call(name, order.relay, node.calls, order.since, self.now + order.wait_us))
                self.parked = [one for one in self.parked if one.client != name]
            elif isinstance(order, ApplyVersion):
                node.applying = order
            elif isinstance(order, SetTimer):
                node.wake = order.at

    def put_in_force(self, node: Node) -> None:
        order = node.applying
        assert order is not None
        node.applying = None
        if node.name == "s0" and order.entries.get(ONE) == BAD:
            self.step(node.name, [VersionRefused(order.version, "service/one settings: bad")])
            return
        if order.version.index <= node.in_force.index:
            self.wrong = f"{node.name} falls back from {node.in_force.index} to {order.version.index}"
            return
        node.in_force, node.entries = order.version, order.entries
        self.reached[node.name] = order.version.index
        if self.serves_first and node.history is not None:
            self.keeping[node.name] = (order.version, order.entries)
        else:
            node.kept = (order.version, order.entries)
        if node.history is not None:
            node.history.replace(order.version, order.entries)
        self.step(node.name, [VersionApplied(order.version)])
        if node.history is not None:
            self.answer(node.name)

    # --- time, and the source ---

    def pass_time(self) -> None:
        """To when the next has something to do."""
        due = [node.wake for node in self.nodes.values()] + [call.until for call in self.parked]
        if self.pushed < len(SCRIPT):
            due.append(SCRIPT[self.pushed][0])
        self.now = max(self.now, min(due))
        if self.pushed < len(SCRIPT) and self.now >= SCRIPT[self.pushed][0]:
            self.push(SCRIPT[self.pushed][1])
        for server in (SOURCE, *RELAYS):
            self.answer(server)
        for name in RELAYS + SIDECARS:
            if self.now >= self.nodes[name].wake:
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
        """What the operator does who is told that the source is behind."""
        self.source.restore()
        self.publish()

    def publish(self) -> None:
        self.published[self.source.version] = self.source.entries

    # --- what must hold ---

    def judge(self) -> None:
        for node in self.nodes.values():
            if self.wrong:
                return
            index = node.in_force.index
            if node.entries != self.part(node.in_force, node.name):
                self.wrong = f"{node.name}: what is in force is not version {index}"
            elif node.follower.status().in_force != node.in_force:
                self.wrong = f"{node.name} says that {node.follower.in_force.index} is in force, not {index}"
            elif index < self.reached.get(node.name, 0) and not (self.may_lack and node.history is not None):
                self.wrong = f"{node.name} came back with {index} after {self.reached[node.name]}"
            elif (served := node.history) and served.entries != self.published.get(served.version):
                self.wrong = f"{node.name} serves what is not version {served.version.index}"

    def part(self, version: Version, name: str) -> Entries | None:
        whole = self.published.get(version)
        if whole is None or not WATCHED[name]:
            return whole
        return {key: value for key, value in whole.items() if key.scope in WATCHED[name]}

    def agreed(self) -> bool:
        newest = self.source.version
        return (
            self.pushed == len(SCRIPT)
            and self.source.ahead is None
            and all(node.in_force == newest for node in self.nodes.values())
        )

    def finish(self) -> None:
        """Nothing is lost any more: soon all go by the source's newest."""
        self.cut.clear()
        ends = self.now + QUIET
        self.horizon = ends
        while not self.wrong and not self.agreed() and self.now < ends:
            if self.source.ahead is not None:
                self.restore()
                self.answer(SOURCE)
            self.apply(self.actions()[0])
        if not self.wrong and not self.agreed():
            held = ", ".join(f"{node.name} at {node.in_force.index}" for node in self.nodes.values())
            self.wrong = f"no agreement: source at {self.source.version.index}, {held}"


def check(departures: int, states: int = 10**9) -> Outcome:
    return explore(ConfigWorld, departures, states)


def walks(seeds: range, share: float = 0.1) -> tuple[int, str]:
    """Schedules by chance, deeper than every order can be tried: how many, and the first failure."""
    for count, seed in enumerate(seeds):
        if found := walk(ConfigWorld, seed, share):
            return count + 1, f"seed {seed}: {found.wrong}: {found.text()}"
    return len(seeds), ""
