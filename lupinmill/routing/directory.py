"""The current list of endpoints: their addresses, and whether they accept attempts."""

from __future__ import annotations

from collections.abc import Container

import anyio

from lupinmill import terms as t
from lupinmill.protocol.lists import EndpointList
from lupinmill.routing.engine import Engine
from lupinmill.routing.start_times import StartTimes
from lupinmill.transport import wall_clock
from lupinmill.transport.connection_pool import ConnectionPool

MAX_LOGGED = 8  # endpoints named in one log line


class EndpointDirectory:
    """Receives each list first, so that attempts in progress can check it, then passes it to the decision
    module."""

    def __init__(
        self, engine: Engine, connection_pool: ConnectionPool, cordoned: Container[str] = ()
    ) -> None:
        self.engine, self.connection_pool = engine, connection_pool
        # cordoned by operators; the owner of the set changes it before calling `set_cordoned`
        self.cordoned = cordoned
        self.states: dict[str, t.EndpointStatus] = {}
        self.addresses: dict[str, str] = {}
        self.index: int | None = None
        self.usable = True  # False while no attempt may go by the list, as it may be about to change
        self.became_usable = anyio.Event()
        self.start_times = StartTimes(wall_clock.SHARED)
        engine.failure_listeners.append(self.on_module_failure)

    def update(self, known: EndpointList, kind: t.ListKind) -> None:
        """Applies a list as a whole: nothing is changed before the new state is complete. If the decision
        module fails on it, `index` becomes None and the whole list must be requested again."""
        # The last entry for a name applies, here as in the decision module: a response may hold a name's end
        # and its new start, or the other way round.
        now = self.engine.clock.now()
        last = {entry.endpoint: entry for entry in known.entries}
        entries = [self.start_times.resolve(entry, now, known.new_since) for entry in last.values()]
        states = dict(self.states) if kind is t.ListKind.CHANGES else {}
        for entry in entries:
            states[entry.endpoint] = entry.state
        states = {name: state for name, state in states.items() if state is not t.EndpointStatus.GONE}
        listed = known.addresses
        addresses = {name: listed.get(name, self.addresses.get(name)) for name in states}
        moved = [name for name, address in self.addresses.items() if addresses.get(name) != address]
        if kind is not t.ListKind.CACHED and states != self.states:
            self.log_changes(known.index, states)
        self.index, self.states = known.index, states
        self.addresses = {name: address for name, address in addresses.items() if address is not None}
        self.start_times.retain(states.keys())
        for name in moved:
            self.connection_pool.drop(name)
        if doubted := self.start_times.take_doubted():
            # Their starts are of another clock, so they count as started now.
            self.engine.log("starts_doubted", members=doubted[:MAX_LOGGED], count=len(doubted))
        self.engine.handle_event(t.ListReceived(kind, entries))

    def log_changes(self, index: int, states: dict[str, t.EndpointStatus]) -> None:
        """Which endpoints a list brings, takes out of use or drops: at most `MAX_LOGGED` of each."""
        before = self.states
        changed = [name for name, state in states.items() if before.get(name) is not state]
        gone = [name for name in before if name not in states]
        ready = [name for name in changed if states[name] is t.EndpointStatus.READY]
        draining = [name for name in changed if states[name] is t.EndpointStatus.DRAINING]
        self.engine.log(
            "list_changed",
            index=index,
            count=len(changed) + len(gone),
            ready=ready[:MAX_LOGGED],
            draining=draining[:MAX_LOGGED],
            gone=gone[:MAX_LOGGED],
        )

    def on_module_failure(self, event: object) -> None:
        """The decision module may hold only part of a list, which later changes would never complete."""
        if isinstance(event, t.ListReceived):
            self.index = None

    def set_cordoned(self, name: str, out: bool) -> None:
        """Attempts in progress check the set itself; kept connections would outlast a restart."""
        self.connection_pool.drop(name)
        self.engine.handle_event(t.OperatorOverride(name, out))

    def fetch_failed(self) -> None:
        self.engine.handle_event(t.ListReceived(t.ListKind.FAILED, []))

    def set_usable(self, usable: bool) -> None:
        """Attempts that have not begun look at this too."""
        self.usable = usable
        if usable:
            self.became_usable.set()
            self.became_usable = anyio.Event()

    async def wait_usable(self, seconds: float) -> None:
        """Waits until attempts may go by the list, for so many seconds at most."""
        with anyio.move_on_after(seconds):
            while not self.usable:
                await self.became_usable.wait()

    def listens_at(self, name: str, address: str) -> bool:
        return self.addresses.get(name) == address and name not in self.cordoned

    def accepts_attempts(self, name: str) -> bool:
        ready = self.states.get(name) is t.EndpointStatus.READY
        return ready and self.usable and name not in self.cordoned

    def has_no_ready_endpoint(self) -> bool:
        """Whether no endpoint is ready. Cordoned ones count as ready here, as operators chose that none
        serves."""
        return not any(state is t.EndpointStatus.READY for state in self.states.values())
