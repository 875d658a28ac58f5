"""Handles operators' calls: updates the overrides, notifies everything that depends on them, then answers.

The order guarantees that a change is in force before its answer is read."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import orjson

from lupinmill.admin.operator_overrides import CordonResult, OperatorOverrides
from lupinmill.protocol import admin_calls
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.routing.engine import Engine, Log

EXPIRY_CHECK_INTERVAL_S = 1.0

CORDON_RESPONSES = {
    CordonResult.DONE: (200, "done"),
    CordonResult.UNKNOWN: (404, "unknown endpoint: no endpoint list names it"),
    CordonResult.FULL: (503, "too many cordoned endpoints"),
}


class AdminHandler:
    """Routes each call of the admin API. The callbacks are set by the program."""

    def __init__(
        self, overrides: OperatorOverrides, directory: EndpointDirectory, engine: Engine, log: Log
    ) -> None:
        self.overrides, self.directory, self.engine, self.log = overrides, directory, engine, log
        self.on_mode_change: Callable[[], None] = lambda: None
        self.accepting_clients = lambda: False
        self.peers: Callable[[], dict[str, object]] | None = None  # table of the members
        self.rehearse: Callable[[], bool] | None = None  # triggers a decision without content
        self.zones: Callable[[], dict[str, object]] | None = None  # table of the plan in force
        self.config: Callable[[], dict[str, object]] | None = None  # table of the version in force
        self.discovery: Callable[[], dict[str, object]] = dict  # table of the watch on the list
        self.clients: Callable[[], dict[str, int]] = dict  # closed connections by reason
        self.memory: Callable[[], dict[str, object]] = dict  # table of what is held and what may be
        self.run_zone_command: Callable[[str, str, bool], Awaitable[tuple[bool, str]]] | None = None
        # Sends a call to the other process of an upgrade.
        self.forward: Callable[[admin_calls.AdminCall], Awaitable[None]] | None = None

    async def handle(self, call: admin_calls.AdminCall) -> tuple[int, str]:
        if call.what == admin_calls.HEALTH:
            return (200, "takes clients") if self.accepting_clients() else (503, "takes no clients")
        if call.what == admin_calls.PEERS:
            if self.peers is None:
                return 404, "peers are off"
            return 200, orjson.dumps(self.peers()).decode()
        if call.what == admin_calls.CONFIG:
            if self.config is None:
                return 404, "config is off"
            return 200, orjson.dumps(self.config()).decode()
        if call.what == admin_calls.DISCOVERY:
            return 200, orjson.dumps(self.discovery()).decode()
        if call.what == admin_calls.CLIENTS:
            return 200, orjson.dumps(self.clients()).decode()
        if call.what == admin_calls.MEMORY:
            return 200, orjson.dumps(self.memory()).decode()
        if call.what == admin_calls.REHEARSE:
            if self.rehearse is None:
                return 404, "peers are off"
            return (200, "asked for") if self.rehearse() else (409, "this sidecar holds no lease on it")
        if call.what == admin_calls.ZONES or call.what in admin_calls.MOVES:
            return await self.handle_zones(call)
        status, text = self.apply(call)
        if status == 200 and self.forward is not None:
            await self.forward(call)
        return status, text

    async def handle_zones(self, call: admin_calls.AdminCall) -> tuple[int, str]:
        if self.zones is None or self.run_zone_command is None:
            return 404, "zones are off"
        if call.what == admin_calls.ZONES:
            return 200, orjson.dumps(self.zones()).decode()
        done, text = await self.run_zone_command(admin_calls.MOVES[call.what], call.zone, call.force)
        return (200 if done else 409), text

    def apply(self, call: admin_calls.AdminCall, skip_list_check: bool = False) -> tuple[int, str]:
        """Applies the call to overrides, decision module and open attempts in one step, without a pause."""
        now = self.engine.clock.now()
        if call.what in (admin_calls.CORDON, admin_calls.UNCORDON):
            out = call.what == admin_calls.CORDON
            change = self.overrides.cordon if out else self.overrides.uncordon
            args = (now, call.endpoint) if out else (call.endpoint,)
            result = change(*args, skip_list_check or call.endpoint in self.directory.states)
            if result is CordonResult.DONE:
                self.directory.set_cordoned(call.endpoint, out)
            return CORDON_RESPONSES[result]
        changed = (
            self.overrides.quiesce(now) if call.what == admin_calls.QUIESCE else self.overrides.resume(now)
        )
        if changed:
            self.on_mode_change()
            self.log("mode", text=f"{self.overrides.mode.value}, by an operator's call")
        return 200, self.overrides.mode.value

    async def sweep(self) -> None:
        """Expires the cordons of endpoints that no list has named for long."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for name in self.overrides.expire_cordons(self.engine.clock.now(), self.directory.states):
                self.directory.set_cordoned(name, False)
                self.log("mode", text=f"cordon of {name} expired: no endpoint list names it")
