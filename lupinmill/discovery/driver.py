"""Executes the commands of the watcher: one task and one connection for each call to discovery."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill import terms as t
from lupinmill.discovery.calls import AnswerAction, Call, CallEnd, CallKind, Command, StartCall
from lupinmill.discovery.confirmation import ListState
from lupinmill.discovery.watcher import (
    MAX_CALL_AGE_S,
    MAX_WATCH_WAIT_S,
    MIN_WATCH_WAIT_S,
    PROPAGATION_LIMIT_S,
    Watcher,
    WatchTiming,
)
from lupinmill.protocol import lists
from lupinmill.protocol.http import Answer, ClientSide, Garbled
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect

# Delay before a failed watch restarts where lists are pushed: the maximum, also as a fraction of the grace,
# and the minimum. A change that the agent received when discovery returned counts as known at once.
MAX_REWATCH_DELAY_S, REWATCH_GRACE_FRACTION, MIN_REWATCH_DELAY_S = 1.0, 0.5, 0.1
MAX_FLEET_CALLS_PER_S = 200.0  # of all watches together, as far as MAX_WATCH_WAIT_S allows
MIN_SLEEP_S = 0.001  # prevents a busy loop if the watcher keeps asking to be woken at once
LARGE_FLEET_SIDECARS = 30  # larger fleets avoid requesting full lists all at once
# Seconds within which a connection that is reset without an answer says that nobody serves there. A crowded
# service lets calls wait for longer before it drops them.
UNSERVED_WITHIN_S = 0.25
MICROSECONDS = 1_000_000
EXPECTED_ERRORS = (OSError, TimeoutError, Unconnected, NoDescriptor, Garbled)


def watch_wait(instances: int) -> float:
    """Seconds for which a watch waits for a change, in a fleet of this many sidecars."""
    return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, instances / MAX_FLEET_CALLS_PER_S))


def watch_timing(deployment: t.Deployment) -> WatchTiming:
    """Timing for a deployment. Where lists are pushed, the decision module never asks for the list."""
    rewatch_within = max(
        MIN_REWATCH_DELAY_S,
        min(MAX_REWATCH_DELAY_S, REWATCH_GRACE_FRACTION * deployment.grace / MICROSECONDS),
    )
    return WatchTiming(
        watch_wait(deployment.instances),
        None if deployment.poll_discovery else rewatch_within,
        deployment.instances > LARGE_FLEET_SIDECARS,
    )


class DiscoveryClient:
    """Keeps the endpoint list of one sidecar up to date.

    Owns all connections to discovery: each belongs to its call, and one reusable connection is kept for a
    later call. `close_spare` and the end of `run` close them all."""

    def __init__(
        self, address: str, deployment: t.Deployment, directory: EndpointDirectory, store: BlockPool, log: Log
    ) -> None:
        self.pushed = not deployment.poll_discovery
        self.directory, self.store, self.log = directory, store, log
        self.watcher = Watcher(
            address, watch_timing(deployment), lambda least, most: random.uniform(least, most)
        )
        self.wakeup = anyio.Event()
        self.scopes: dict[int, anyio.CancelScope] = {}  # by call id
        self.spare: tuple[str, Connection] | None = None  # address and idle connection for the next call
        self.steady = False  # the last call was answered, and the address has not changed since
        self.list_old_logged = False  # the log says that the list is old
        self.list_state = ListState.CONFIRMED  # as the directory knows it
        self.on_confirmed: Callable[[], None] = lambda: None

    @property
    def wait(self) -> float:
        """Seconds for which a watch waits for a change."""
        return self.watcher.timing.wait

    def set_instances(self, instances: int) -> None:
        """Sets the number of sidecars that call the same discovery."""
        timing = self.watcher.timing
        timing.wait, timing.large_fleet = watch_wait(instances), instances > LARGE_FLEET_SIDECARS

    def move(self, address: str) -> None:
        """Switches to another address. The full list is requested there, as versions need not continue those
        of the old service."""
        self.watcher.move(anyio.current_time(), address)
        self.steady = False
        self.wakeup.set()

    def start_with_list(self, state: ListState) -> None:
        """The process starts with a list that it was given. Where the decision module asks for the list, it
        also decides how long to go by that."""
        if not self.pushed:
            return
        self.watcher.confirmation.begin(anyio.current_time(), state)
        self.list_state = state
        self.directory.set_usable(self.watcher.confirmation.usable)

    def predecessor_sent_list(self) -> None:
        """The process before this one has passed on a newer list."""
        self.watcher.confirmation.predecessor_sent_list(anyio.current_time())
        self.apply_list_state()

    def predecessor_ended(self) -> None:
        """The process before this one no longer watches the list for both."""
        self.watcher.predecessor_ended(anyio.current_time())
        self.apply_list_state()

    def watch(self, _: t.StartWatch) -> None:
        """The decision module requests that the list be watched."""
        self.watcher.request_watch(anyio.current_time())
        self.wakeup.set()

    def list_age(self) -> float | None:
        """Seconds for which the known list may have missed a change; None before the first answer."""
        return self.watcher.list_age(anyio.current_time())

    def show(self) -> dict[str, object]:
        """For operators: age of the list, lateness of discovery, and each call in flight."""
        now, age, confirmation = anyio.current_time(), self.list_age(), self.watcher.confirmation
        return {
            "address": self.watcher.address,
            "index": self.directory.index,
            "list_state": confirmation.state.value,
            "list_state_s": None if confirmation.since is None else round(now - confirmation.since, 3),
            "list_confirmed_by": confirmation.confirmed_by,
            "list_age_s": None if age is None else round(age, 3),
            "expected_lateness_s": round(self.watcher.lateness.expected, 3),
            "watches_answered": not self.watcher.polling(),
            "failures": self.watcher.failures,
            "calls": [call_fields(call) | {"age_s": round(call.age(now), 3)} for call in self.watcher.calls],
        }

    async def run(self) -> None:
        """Runs for the lifetime of the program."""
        if self.pushed:
            self.watcher.request_watch(anyio.current_time())
        try:
            async with anyio.create_task_group() as group:
                while True:
                    self.wakeup = anyio.Event()
                    now = anyio.current_time()
                    for command in self.watcher.decide(
                        now, self.directory.index, bool(self.directory.states)
                    ):
                        self.execute(command, group)
                    self.apply_list_state()
                    self.log_list_age(now)
                    with anyio.move_on_after(max(MIN_SLEEP_S, self.watcher.next_wakeup(now) - now)):
                        await self.wakeup.wait()
        finally:
            self.watcher.forget_calls()
            self.close_spare()

    def close_spare(self) -> None:
        """Closes the connection that no call is using."""
        if self.spare is not None:
            self.spare[1].close()
            self.spare = None

    # Calls.

    def execute(self, command: Command, group: TaskGroup) -> None:
        call = command.call
        if isinstance(command, StartCall):
            if not self.steady:
                self.log("watch", index=self.directory.index, **call_fields(call))
                self.steady = True
            self.scopes[call.id] = anyio.CancelScope()
            group.start_soon(self.run_call, call)
            return
        self.log("list_call", end=command.end.value, **self.log_fields_at_end(call))
        if (scope := self.scopes.get(call.id)) is not None:
            scope.cancel()

    async def run_call(self, call: Call) -> None:
        """Runs one call to its end."""
        scope = self.scopes[call.id]
        try:
            with scope:
                self.process_answer(call, await self.exchange(call))
        except EXPECTED_ERRORS as error:
            unreachable = found_nobody(call, error, anyio.current_time())
            self.on_call_failed(call, f"{type(error).__name__}: {error}", unreachable)
        except Exception as error:
            self.log("task_failed", task="watch", **error_fields(error))
            self.on_call_failed(call, type(error).__name__)
        finally:
            del self.scopes[call.id]
            self.wakeup.set()

    async def exchange(self, call: Call) -> Answer:
        """Sends the request and reads the answer. Only the watcher limits the duration: a partial answer is
        never dropped in favour of a call that requests the same."""
        connection = self.take_spare(call.address)
        if connection is None:
            connection = await connect(call.address, MAX_CALL_AGE_S, self.store, lambda: None)
        reusable = False
        try:
            self.watcher.call_connected(anyio.current_time(), call)
            self.apply_list_state()
            parser = ClientSide(lists.MAX_LIST_BYTES, lists.MAX_LIST_BYTES)
            index = None if call.kind is CallKind.FULL_LIST else call.index
            await connection.send(parser.ask(lists.watch_request(index, int(call.wait * 1000))))
            while (answer := parser.next_answer()) is None:
                parser.feed(await connection.receive())
                if parser.begun():
                    self.on_answer_progress(call)
            reusable = parser.reusable() and self.keep_spare(call.address, connection)
            return answer
        finally:
            if not reusable:
                connection.close()

    def on_answer_progress(self, call: Call) -> None:
        first = call.first_byte_at is None
        self.watcher.answer_progressed(anyio.current_time(), call)
        if first:
            self.wakeup.set()

    def take_spare(self, address: str) -> Connection | None:
        """The idle connection, if it is to this address and still open."""
        if self.spare is None:
            return None
        (kept_address, connection), self.spare = self.spare, None
        if kept_address == address and connection.is_idle():
            return connection
        connection.close()
        return None

    def keep_spare(self, address: str, connection: Connection) -> bool:
        if self.spare is not None or address != self.watcher.address:
            return False
        self.spare = address, connection
        return True

    # Answers.

    def process_answer(self, call: Call, answer: Answer) -> None:
        """Raises Garbled for an answer that can't be used."""
        if call not in self.watcher.calls:
            return  # cancelled in the loop iteration that read its last byte
        known, previous_index = lists.parse_response(answer), self.directory.index
        action = self.watcher.classify_answer(call, known.index, known.whole, previous_index)
        if action is AnswerAction.UNUSABLE:
            raise Garbled("discovery sent changes where only a full list can be applied")
        if action is AnswerAction.FETCH_FULL_LIST:
            self.log("watch_older", index=known.index, known=previous_index)
            self.watcher.request_full_list()
        elif action is AnswerAction.APPLY:
            self.apply_list(call, known, previous_index)
        end = CallEnd.STALE if action is AnswerAction.STALE else CallEnd.ANSWERED
        self.log("list_call", end=end.value, index=known.index, **self.log_fields_at_end(call))
        list_changed = action is AnswerAction.APPLY and bool(known.entries) and known.index != previous_index
        self.watcher.call_answered(anyio.current_time(), call, list_changed)
        self.apply_list_state()

    def apply_list(self, call: Call, known: lists.EndpointList, previous_index: int | None) -> None:
        if known.refused:
            self.log("list_rows_refused", index=known.index, why=known.refused)
        new_since = self.watcher.new_since(call, known.index, previous_index)
        known.new_since = None if new_since is None else int(new_since * MICROSECONDS)
        self.directory.update(known, t.ListKind.FULL if known.whole else t.ListKind.CHANGES)
        if self.directory.index is None:
            raise Garbled("the decision module did not accept the list")
        if known.unnamed and not known.whole:
            self.watcher.request_full_list()  # the endpoint of that row is unknown
        self.watcher.list_applied(anyio.current_time(), call, known.index, known.whole, previous_index)

    def apply_list_state(self) -> None:
        """Lets attempts go by the list, or stops them, as its state says."""
        confirmation = self.watcher.confirmation
        if confirmation.state is self.list_state:
            return
        self.list_state = confirmation.state
        self.directory.set_usable(confirmation.usable)
        self.log(
            "list_state",
            state=confirmation.state.value,
            index=self.directory.index,
            call=confirmation.confirmed_by,
        )
        if confirmation.confirmed:
            self.on_confirmed()

    def on_call_failed(self, call: Call, error: str, unreachable: bool = False) -> None:
        if call not in self.watcher.calls:
            return
        self.log("watch_failed", error=error, **self.log_fields_at_end(call))
        self.steady = False
        if self.watcher.call_failed(anyio.current_time(), call, unreachable) and not self.pushed:
            self.directory.fetch_failed()
        self.apply_list_state()

    # Logging.

    def log_fields_at_end(self, call: Call) -> dict[str, object]:
        now = anyio.current_time()
        times = {"age_ms": round(call.age(now) * 1000), "late_ms": round(call.late(now) * 1000)}
        return call_fields(call) | times

    def log_list_age(self, now: float) -> None:
        """Logs once when the list becomes old, and once when it is up to date again."""
        age = self.watcher.list_age(now)
        if age is None or (age > PROPAGATION_LIMIT_S) == self.list_old_logged:
            return
        self.list_old_logged = not self.list_old_logged
        self.log("list_old" if self.list_old_logged else "list_current", age_ms=round(age * 1000))


def found_nobody(call: Call, error: Exception, now: float) -> bool:
    """Whether the failure of a call says that nobody serves at the address."""
    if not call.connected:
        return isinstance(error, Unconnected)
    return isinstance(error, OSError) and call.first_byte_at is None and call.age(now) <= UNSERVED_WITHIN_S


def call_fields(call: Call) -> dict[str, object]:
    return {"call": call.id, "kind": call.kind.value, "address": call.address}


__all__ = ["DiscoveryClient", "watch_timing", "watch_wait"]
