"""The watch on the list of endpoints."""

from __future__ import annotations

import random

import anyio

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.routing.directory import Directory
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect
from lupinmill.transport.ring import Store

# Seconds, at most, before a broken watch begins anew where the list is pushed, the same as a part of the
# grace, and at least: what the agent got at discovery's return counts as told at once.
AGAIN, GRACE_PART, LEAST_AGAIN = 1.0, 0.5, 0.1
MOVE = 0.3  # seconds, at most, before the first call at a new address, lest all sidecars come at once
LATE = 0.6  # seconds beyond that wait before discovery counts as silent
STALL = 0.5  # seconds between two parts of an answer that has begun
CONNECT = 2.0  # seconds for a connection to come up
SOON = 0.3  # seconds, at most, before a watch that fell silent is opened anew
# A change counts as told so long after discovery had it and could be reached, whatever failed before.
# It may be made just after a call was sent that brings nothing: that call is given up, a pause follows, then
# a call that is answered. The last one may take WHOLE; call and pause together may take ROUND.
TOLD_AFTER = 6.0
SLACK = 0.2  # of that, for a loop that lags
WHOLE = 2.5  # seconds for the whole list, which is worked out at once, the connection's coming up included
ROUND = TOLD_AFTER - SLACK - WHOLE
# Seconds for which one call of a watch waits for news. The more sidecars ask, the longer, as long as CALLS a
# second of all together allow it: but a watch that falls silent is found out after that wait, and what it
# misses counts as told as soon as after any other failure.
LEAST_WAIT, CALLS = 1.0, 10.0
LONGEST_WAIT = ROUND - LATE - SOON
# A pause that is cut short takes at least this part of what is left: not all sidecars come at once.
SHARE_OF_LIMIT = 0.6
# Part of its wait that a call waits at least: watches are answered at one moment, and would fall due, and
# find out a silence, together.
SPREAD = 0.8
NO_NEWS = 0.05  # seconds before the next call after an answer without any


class Silent(Exception):
    """A watch said nothing beyond its wait."""


class Discovery:
    """Begins a watch when the module asks for one, and keeps it until a call fails. Owns the connection.

    Where the settings say that changes are pushed, the module never asks: then it watches from the start.
    """

    def __init__(
        self, address: str, deployment: t.Deployment, directory: Directory, store: Store, log: Log
    ) -> None:
        self.pushed = not deployment.must_ask
        self.again = max(LEAST_AGAIN, min(AGAIN, GRACE_PART * deployment.grace / 1_000_000))
        self.wait = min(LONGEST_WAIT, max(LEAST_WAIT, deployment.instances / CALLS))
        self.address, self.directory, self.store, self.log = address, directory, store, log
        self.wanted = anyio.Event()
        self.connection: Connection | None = None
        self.following: anyio.CancelScope | None = None
        self.moved = False
        self.moves = 0  # so far
        self.anew = False  # the whole list is asked for, whatever is known
        self.called = 0.0  # when the last call began
        self.latest: float | None = None  # when the next one begins, also if the module asks for none

    def move(self, address: str) -> None:
        """A new address at once, whatever goes on at the old one. The list is asked for whole there: nothing
        says that versions count on from the old service's."""
        self.address, self.moved, self.moves = address, True, self.moves + 1
        if self.following is not None:
            self.following.cancel()
        self.wanted.set()

    def watch(self, _: t.Watch) -> None:
        self.wanted.set()

    async def run(self) -> None:
        while True:
            if not self.pushed:
                await self.till_wanted()
            began = anyio.current_time()
            try:
                with anyio.CancelScope() as self.following:
                    if self.moved:
                        await anyio.sleep(random.uniform(0, MOVE))
                    await self.follow()
            except Silent:
                # Guards against drains missed: a pause of the module's choosing would end after what the
                # silent watch missed counts as told. It can't come often.
                self.log("watch_failed", error="silent")
                self.hang_up()
                await anyio.sleep(random.uniform(0, SOON))
                self.wanted.set()
                continue
            except (OSError, TimeoutError, Unconnected, NoDescriptor, Garbled) as error:
                self.log("watch_failed", error=f"{type(error).__name__}: {error}")
            except Exception as error:
                self.log("task_failed", task="watch", **defect(error))
            finally:
                self.hang_up()
            if self.following is not None and self.following.cancel_called:
                continue
            self.wanted = anyio.Event()
            await self.pause(max(began, self.called))

    async def till_wanted(self) -> None:
        """Until the module asks; after a failure no longer than is left, whatever became of the module."""
        if self.wanted.is_set() or self.latest is None:
            return await self.wanted.wait()
        with anyio.move_on_after(max(0.0, self.latest - anyio.current_time())):
            await self.wanted.wait()

    async def pause(self, began: float) -> None:
        """After a call that failed. What the call took is not waited for once more."""
        now = anyio.current_time()
        left = max(SOON, ROUND - (now - began)) * random.uniform(SHARE_OF_LIMIT, 1)
        if self.pushed:
            return await anyio.sleep(min(left, self.again * random.uniform(0.2, 1)))
        self.latest = now + left
        self.directory.failed()

    async def follow(self) -> None:
        """The next call goes out at once: a watch goes on only if it comes soon after the last answer.

        After no news, or the same once more, there is a short pause, as a discovery that never waits would be
        called without end.
        """
        self.log("watch", index=self.directory.index)
        while True:
            moves = self.moves
            known = await self.call()
            if moves != self.moves:
                # Its last byte crossed the move: it is the old service's, whose versions mean nothing here.
                self.moved = True
                return
            if not known.whole and self.directory.index is not None and known.index < self.directory.index:
                # It came back from an older state: what changed since ours it can't tell, and may never.
                self.log("watch_older", index=known.index, known=self.directory.index)
                if self.anew:
                    raise Garbled("changes from before ours where the whole list was asked for")
                self.anew = True
                continue
            if known.refused:
                self.log("list_rows_refused", index=known.index, why=known.refused)
            before = self.directory.index
            self.directory.update(known, t.ListKind.FULL if known.whole else t.ListKind.CHANGES)
            if self.directory.index is None:
                raise Garbled("the module did not take the list")
            if known.unnamed and not known.whole:
                self.anew = True  # nobody can tell which endpoint the row was about
            if not known.entries or known.index == before:
                await anyio.sleep(NO_NEWS)

    async def call(self) -> lists.Known:
        began = self.called = anyio.current_time()
        if self.connection is None or not self.connection.quiet():
            self.hang_up()
            self.connection = await connect(self.address, CONNECT, self.store, lambda: None)
        side = ClientSide(lists.LARGEST_LIST, lists.LARGEST_LIST)
        # With no endpoint known, changes since that version would leave out all that did not change.
        index = self.directory.index if self.directory.states and not (self.moved or self.anew) else None
        connecting = anyio.current_time() - began
        wait = max(LEAST_WAIT, self.wait * random.uniform(SPREAD, 1) - connecting)
        left = WHOLE - connecting
        with anyio.move_on_after(left if index is None else wait + LATE) as whole:
            await self.connection.send(side.ask(lists.call(index, int(wait * 1000))))
            while (answer := side.next_answer()) is None:
                with anyio.fail_after(STALL if side.begun() else None):
                    data = await self.connection.receive()
                side.feed(data)
        if whole.cancelled_caught:
            raise TimeoutError("no whole list in time") if index is None else Silent
        if not side.reusable():
            self.hang_up()
        known = lists.read(answer)
        self.moved, self.anew = False, self.anew and not known.whole
        return known

    def hang_up(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
