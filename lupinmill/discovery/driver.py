"""Carries out what the watcher decides: one task and one connection for each call of discovery."""

from __future__ import annotations

import random

import anyio
from anyio.abc import TaskGroup

from lupinmill import terms as t
from lupinmill.discovery.calls import Begin, Call, CallEnd, CallKind, Command, Verdict
from lupinmill.discovery.watcher import LEAST_WAIT, LONGEST_WAIT, OLDEST, TOLD_AFTER, Timing, Watcher
from lupinmill.protocol import lists
from lupinmill.protocol.http import Answer, ClientSide, Garbled
from lupinmill.routing.directory import Directory
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect
from lupinmill.transport.ring import Store

# Seconds, at most, before a broken watch begins anew where the list is pushed, the same as a part of the
# grace, and at least: what the agent got at discovery's return counts as told at once.
AGAIN, GRACE_PART, LEAST_AGAIN = 1.0, 0.5, 0.1
CALLS = 200.0  # a second, that watches of all sidecars together may make as long as LONGEST_WAIT allows it
LEAST_PAUSE = 0.001  # seconds; guards the loop against a core that wants to be woken without end
LARGE_FLEET = 30  # sidecars, beyond which whole lists for all at once are avoided
MICROSECONDS = 1_000_000
EXPECTED_ERRORS = (OSError, TimeoutError, Unconnected, NoDescriptor, Garbled)


def wait_of(instances: int) -> float:
    """Seconds for which a watch of one of so many sidecars waits for news."""
    return min(LONGEST_WAIT, max(LEAST_WAIT, instances / CALLS))


def timing_of(deployment: t.Deployment) -> Timing:
    """Where the settings say that changes are pushed, the module never asks for the list."""
    again = max(LEAST_AGAIN, min(AGAIN, GRACE_PART * deployment.grace / MICROSECONDS))
    return Timing(
        wait_of(deployment.instances),
        None if deployment.poll_discovery else again,
        deployment.instances > LARGE_FLEET,
    )


class Discovery:
    """The watch on the list of one sidecar.

    Owns all connections to discovery: each is its call's, and one that can be used again is kept for another.
    `hang_up` and the end of `run` give all back."""

    def __init__(
        self, address: str, deployment: t.Deployment, directory: Directory, store: Store, log: Log
    ) -> None:
        self.pushed = not deployment.poll_discovery
        self.directory, self.store, self.log = directory, store, log
        self.watcher = Watcher(
            address, timing_of(deployment), lambda least, most: random.uniform(least, most)
        )
        self.changed = anyio.Event()
        self.scopes: dict[int, anyio.CancelScope] = {}  # by call
        self.spare: tuple[str, Connection] | None = None  # its address; kept for the next call
        self.steady = False  # the last call brought an answer, and nothing has moved since
        self.told_old = False  # the log was told that the list is old

    @property
    def wait(self) -> float:
        """Seconds for which a watch waits for news."""
        return self.watcher.timing.wait

    def set_instances(self, instances: int) -> None:
        """How many sidecars ask the same discovery, from now on."""
        timing = self.watcher.timing
        timing.wait, timing.large = wait_of(instances), instances > LARGE_FLEET

    def move(self, address: str) -> None:
        """Discovery is at another address from now on. Its list is asked for whole: nothing says that
        versions count on from the old service's."""
        self.watcher.move(anyio.current_time(), address)
        self.steady = False
        self.changed.set()

    def watch(self, _: t.StartWatch) -> None:
        """The module wants the list to be watched."""
        self.watcher.asked(anyio.current_time())
        self.changed.set()

    def list_age(self) -> float | None:
        """Seconds for which the list here may have missed a change; None before the first answer."""
        return self.watcher.age(anyio.current_time())

    def show(self) -> dict[str, object]:
        """For operators: how old the list is, how late discovery answers, and each call that is out."""
        now, age = anyio.current_time(), self.list_age()
        return {
            "address": self.watcher.address,
            "index": self.directory.index,
            "list_age_s": None if age is None else round(age, 3),
            "expected_lateness_s": round(self.watcher.lateness.expected, 3),
            "watches_answered": not self.watcher.polling(),
            "failures": self.watcher.failures,
            "calls": [told_of(call) | {"age_s": round(call.age(now), 3)} for call in self.watcher.calls],
        }

    async def run(self) -> None:
        """For as long as the program lives."""
        if self.pushed:
            self.watcher.asked(anyio.current_time())
        try:
            async with anyio.create_task_group() as group:
                while True:
                    self.changed = anyio.Event()
                    now = anyio.current_time()
                    for command in self.watcher.decide(
                        now, self.directory.index, bool(self.directory.states)
                    ):
                        self.carry_out(command, group)
                    self.tell_age(now)
                    with anyio.move_on_after(max(LEAST_PAUSE, self.watcher.wakes_at(now) - now)):
                        await self.changed.wait()
        finally:
            self.watcher.forget()
            self.hang_up()

    def hang_up(self) -> None:
        """Closes what no call is using."""
        if self.spare is not None:
            self.spare[1].close()
            self.spare = None

    # Calls.

    def carry_out(self, command: Command, group: TaskGroup) -> None:
        call = command.call
        if isinstance(command, Begin):
            if not self.steady:
                self.log("watch", index=self.directory.index, **told_of(call))
                self.steady = True
            self.scopes[call.id] = anyio.CancelScope()
            group.start_soon(self.make, call)
            return
        self.log("list_call", end=command.end.value, **self.told_at_end(call))
        if (scope := self.scopes.get(call.id)) is not None:
            scope.cancel()

    async def make(self, call: Call) -> None:
        """One call, to its end."""
        scope = self.scopes[call.id]
        try:
            with scope:
                self.take(call, await self.exchange(call))
        except EXPECTED_ERRORS as error:
            self.fail(call, f"{type(error).__name__}: {error}")
        except Exception as error:
            self.log("task_failed", task="watch", **defect(error))
            self.fail(call, type(error).__name__)
        finally:
            del self.scopes[call.id]
            self.changed.set()

    async def exchange(self, call: Call) -> Answer:
        """Asks, and gathers the answer. Only the watcher limits its time: what has come is never dropped for
        a call that asks the same."""
        connection = self.reuse(call.address)
        if connection is None:
            connection = await connect(call.address, OLDEST, self.store, lambda: None)
        kept = False
        try:
            call.connected = True
            side = ClientSide(lists.LARGEST_LIST, lists.LARGEST_LIST)
            index = call.index if call.kind is CallKind.WATCH else None
            await connection.send(side.ask(lists.call(index, int(call.wait * 1000))))
            while (answer := side.next_answer()) is None:
                side.feed(await connection.receive())
                if side.begun():
                    self.progressed(call)
            kept = side.reusable() and self.keep(call.address, connection)
            return answer
        finally:
            if not kept:
                connection.close()

    def progressed(self, call: Call) -> None:
        first = call.answering_since is None
        self.watcher.progressed(anyio.current_time(), call)
        if first:
            self.changed.set()

    def reuse(self, address: str) -> Connection | None:
        """The connection kept, if it is one to this address and still open."""
        if self.spare is None:
            return None
        (kept_address, connection), self.spare = self.spare, None
        if kept_address == address and connection.quiet():
            return connection
        connection.close()
        return None

    def keep(self, address: str, connection: Connection) -> bool:
        if self.spare is not None or address != self.watcher.address:
            return False
        self.spare = address, connection
        return True

    # Answers.

    def take(self, call: Call, answer: Answer) -> None:
        """An answer that can't be used raises Garbled."""
        if call not in self.watcher.calls:
            return  # given up in the pass in which its last byte came
        known, before = lists.read(answer), self.directory.index
        verdict = self.watcher.verdict(call, known.index, known.whole, before)
        if verdict is Verdict.MISFIT:
            raise Garbled("changes where only the whole list can be used")
        if verdict is Verdict.ASK_WHOLE:
            self.log("watch_older", index=known.index, known=before)
            self.watcher.ask_whole()
        elif verdict is Verdict.TAKE:
            self.apply(call, known, before)
        end = CallEnd.STALE if verdict is Verdict.STALE else CallEnd.ANSWERED
        self.log("list_call", end=end.value, index=known.index, **self.told_at_end(call))
        news = verdict is Verdict.TAKE and bool(known.entries) and known.index != before
        self.watcher.answered(anyio.current_time(), call, news)

    def apply(self, call: Call, known: lists.Known, before: int | None) -> None:
        if known.refused:
            self.log("list_rows_refused", index=known.index, why=known.refused)
        self.directory.update(known, t.ListKind.FULL if known.whole else t.ListKind.CHANGES)
        if self.directory.index is None:
            raise Garbled("the module did not take the list")
        self.watcher.taken(anyio.current_time(), call, known.index, known.whole, before)
        if known.unnamed and not known.whole:
            self.watcher.ask_whole()  # nobody can tell which endpoint the row was about

    def fail(self, call: Call, error: str) -> None:
        if call not in self.watcher.calls:
            return
        self.log("watch_failed", error=error, **self.told_at_end(call))
        self.steady = False
        if self.watcher.failed(anyio.current_time(), call) and not self.pushed:
            self.directory.failed()

    # What the log is told.

    def told_at_end(self, call: Call) -> dict[str, object]:
        now = anyio.current_time()
        times = {"age_ms": round(call.age(now) * 1000), "late_ms": round(call.late(now) * 1000)}
        return told_of(call) | times

    def tell_age(self, now: float) -> None:
        """Once when the list gets old, and once when it is up to date again."""
        age = self.watcher.age(now)
        if age is None or (age > TOLD_AFTER) == self.told_old:
            return
        self.told_old = not self.told_old
        self.log("list_old" if self.told_old else "list_current", age_ms=round(age * 1000))


def told_of(call: Call) -> dict[str, object]:
    return {"call": call.id, "kind": call.kind.value, "address": call.address}


__all__ = ["Discovery", "timing_of", "wait_of"]
