"""What the list of endpoints says now: where each listens, and whether it still takes launches."""
from __future__ import annotations

from lupinmill import terms as t
from lupinmill.protocol.lists import Known
from lupinmill.routing.engine import Engine
from lupinmill.transport.pool import Pool


class Directory:
    """Hears of every list first, so that a launch on its way can look at it, then tells the module."""

    def __init__(self, engine: Engine, pool: Pool) -> None:
        self.engine, self.pool = engine, pool
        self.states: dict[str, t.State] = {}
        self.addresses: dict[str, str] = {}
        self.index: int | None = None

    def update(self, known: Known, kind: t.ListKind) -> None:
        self.index = known.index
        if kind is not t.ListKind.CHANGES:
            named = {entry.endpoint for entry in known.entries}
            for name in self.states:
                if name not in named:
                    self.leave(name)
        for name, address in known.addresses.items():
            if (was := self.addresses.get(name, address)) != address:
                self.pool.drop(was)
            self.addresses[name] = address
        for entry in known.entries:
            self.states[entry.endpoint] = entry.state
            if entry.state is t.State.GONE:
                self.leave(entry.endpoint)
        self.engine.tell(t.Listed(kind, known.entries))

    def failed(self) -> None:
        self.engine.tell(t.Listed(t.ListKind.FAILED, []))

    def leave(self, name: str) -> None:
        self.states[name] = t.State.GONE
        if name in self.addresses:
            self.pool.drop(self.addresses[name])

    def takes(self, name: str) -> bool:
        return self.states.get(name) is t.State.READY

    def empty(self) -> bool:
        return not any(state is t.State.READY for state in self.states.values())
