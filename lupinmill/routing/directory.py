"""What the list of endpoints says now: where each listens, and whether it still takes launches."""

from __future__ import annotations

from collections.abc import Container

from lupinmill import terms as t
from lupinmill.protocol.lists import Known
from lupinmill.routing.engine import Engine
from lupinmill.transport.pool import Pool


class Directory:
    """Hears of every list first, so that a launch on its way can look at it, then tells the module."""

    def __init__(self, engine: Engine, pool: Pool, out: Container[str] = ()) -> None:
        self.engine, self.pool = engine, pool
        self.out = out  # by hand; whose set it is changes it before `by_hand` is called
        self.states: dict[str, t.State] = {}
        self.addresses: dict[str, str] = {}
        self.index: int | None = None

    def update(self, known: Known, kind: t.ListKind) -> None:
        self.index = known.index
        if kind is not t.ListKind.CHANGES:
            named = {entry.endpoint for entry in known.entries}
            for name in [name for name in self.states if name not in named]:
                self.forget(name)
        # The last word on a name holds, here as in the module: an answer may hold a name's end and its new
        # start, or the other way round.
        entries = list({entry.endpoint: entry for entry in known.entries}.values())
        for entry in entries:
            name = entry.endpoint
            if entry.state is t.State.GONE:
                self.forget(name)
                continue
            self.states[name] = entry.state
            if (address := known.addresses.get(name)) is not None and address != self.addresses.get(name):
                self.pool.drop(name)
                self.addresses[name] = address
        self.engine.tell(t.Listed(kind, entries))

    def by_hand(self, name: str, out: bool) -> None:
        """Launches on their way look at the set itself; connections that are kept would outlast a restart."""
        self.pool.drop(name)
        self.engine.tell(t.ByHand(name, out))

    def failed(self) -> None:
        self.engine.tell(t.Listed(t.ListKind.FAILED, []))

    def forget(self, name: str) -> None:
        """Endpoints are replaced all day under new names: nothing may stay of one that is gone."""
        self.states.pop(name, None)
        self.addresses.pop(name, None)
        self.pool.drop(name)

    def listens(self, name: str, address: str) -> bool:
        return self.addresses.get(name) == address and name not in self.out

    def takes(self, name: str) -> bool:
        return self.states.get(name) is t.State.READY and name not in self.out

    def empty(self) -> bool:
        """No endpoint is there; those out by hand are, for this: it is by operators' will that none
        serves."""
        return not any(state is t.State.READY for state in self.states.values())
