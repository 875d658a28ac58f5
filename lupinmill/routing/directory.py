"""What the list of endpoints says now: where each listens, and whether it still takes launches."""

from __future__ import annotations

from collections.abc import Container

from lupinmill import terms as t
from lupinmill.protocol.lists import EndpointList
from lupinmill.routing.engine import Engine
from lupinmill.routing.starts import Starts
from lupinmill.transport import wall_clock
from lupinmill.transport.pool import Pool


class Directory:
    """Hears of every list first, so that a launch on its way can look at it, then tells the module."""

    def __init__(self, engine: Engine, pool: Pool, out: Container[str] = ()) -> None:
        self.engine, self.pool = engine, pool
        self.out = out  # by hand; whose set it is changes it before `by_hand` is called
        self.states: dict[str, t.EndpointStatus] = {}
        self.addresses: dict[str, str] = {}
        self.index: int | None = None
        self.starts = Starts(wall_clock.SHARED)
        engine.failed.append(self.after_failure)

    def update(self, known: EndpointList, kind: t.ListKind) -> None:
        """Whole or not at all: nothing is touched before the whole new state is there. Should the module fail
        on it, `index` turns None, and the whole list is to be asked for again."""
        # The last word on a name holds, here as in the module: an answer may hold a name's end and its new
        # start, or the other way round.
        now = self.engine.clock.now()
        last = {entry.endpoint: entry for entry in known.entries}
        entries = [self.starts.understand(entry, now) for entry in last.values()]
        states = dict(self.states) if kind is t.ListKind.CHANGES else {}
        for entry in entries:
            states[entry.endpoint] = entry.state
        states = {name: state for name, state in states.items() if state is not t.EndpointStatus.GONE}
        told = known.addresses
        addresses = {name: told.get(name, self.addresses.get(name)) for name in states}
        moved = [name for name, address in self.addresses.items() if addresses.get(name) != address]
        self.index, self.states = known.index, states
        self.addresses = {name: address for name, address in addresses.items() if address is not None}
        self.starts.keep(states.keys())
        for name in moved:
            self.pool.drop(name)
        self.engine.tell(t.ListReceived(kind, entries))

    def after_failure(self, event: object) -> None:
        """The module may hold a part of a list: changes since then would never make up for the rest."""
        if isinstance(event, t.ListReceived):
            self.index = None

    def by_hand(self, name: str, out: bool) -> None:
        """Launches on their way look at the set itself; connections that are kept would outlast a restart."""
        self.pool.drop(name)
        self.engine.tell(t.OperatorOverride(name, out))

    def failed(self) -> None:
        self.engine.tell(t.ListReceived(t.ListKind.FAILED, []))

    def listens(self, name: str, address: str) -> bool:
        return self.addresses.get(name) == address and name not in self.out

    def takes(self, name: str) -> bool:
        return self.states.get(name) is t.EndpointStatus.READY and name not in self.out

    def empty(self) -> bool:
        """No endpoint is there; those out by hand are, for this: it is by operators' will that none
        serves."""
        return not any(state is t.EndpointStatus.READY for state in self.states.values())
