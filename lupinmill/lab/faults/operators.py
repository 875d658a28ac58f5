"""A stand-in for operators: takes endpoints out and puts them back, drains the sidecar and ends the drain.

Owns the addresses for their calls, of which each process has one of its own; `close` gives them back."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from lupinmill.lab.faults.connection import (
    ConnectionCut,
    MalformedMessage,
    connect,
    read_answer,
    status_of,
)
from lupinmill.lab.faults.records import Drain, OutSpan
from lupinmill.lab.faults.schedule import OperatorCall

if TYPE_CHECKING:
    from lupinmill.lab.faults.sidecar_runner import SidecarRunner

CALL_TIMEOUT_S = 5.0  # an answer is due within a second; a busy machine may need longer
RETRY_INTERVAL_S = 0.1  # of a call that has to be answered with yes in the end
READY_INTERVAL_S = 0.25  # between two looks at a sidecar that drains
YES = 200


class Operators:
    """The operators of one sidecar. Their calls go to the process that serves, which an upgrade changes. One
    call back undoes all calls out."""

    def __init__(self, runner: SidecarRunner, reserve: Callable[[], socket.socket]) -> None:
        self.runner, self.reserve = runner, reserve
        self.reserved: list[socket.socket] = []
        self.open_spans: list[OutSpan] = []
        self.open_drains: list[Drain] = []

    def next_address(self) -> str:
        """An address for the calls of one more process."""
        self.reserved.append(self.reserve())
        return "%s:%d" % self.reserved[-1].getsockname()

    def close(self) -> None:
        for sock in self.reserved:
            sock.close()

    async def play(self, calls: list[OperatorCall], started_at: float) -> None:
        """`started_at`: when the process was ready, in seconds of the monotonic clock."""
        async with asyncio.TaskGroup() as group:
            for call in calls:
                group.create_task(self.play_call(call, started_at))

    async def play_call(self, call: OperatorCall, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + call.at - time.monotonic()))
        if call.endpoint is None:
            await self.drain(call.seconds)
        else:
            await self.take_out(call.endpoint, call)

    def stop_judging(self) -> None:
        """From now on the process that serves may not know of the calls so far, or still keep to them."""
        now = time.time()
        for each in (*self.open_spans, *self.open_drains):
            each.until = min(each.until, now)

    def process_ended(self) -> None:
        """No process is left that could know of a call."""
        self.stop_judging()
        self.open_spans, self.open_drains = [], []
        self.runner.sidecar.draining_since = None

    # Endpoints out by hand.

    async def take_out(self, index: int, call: OperatorCall) -> None:
        customer_run = self.runner.customer_run
        endpoint = customer_run.endpoints[index % len(customer_run.endpoints)]
        if await self.status("PUT", f"/admin/cordon?member={endpoint.name}") != YES:
            return
        span = OutSpan(self.runner.name, endpoint.name, time.time())
        customer_run.records.out_spans.append(span)
        self.open_spans.append(span)
        leaves = call.leaves_list and index % len(customer_run.endpoints) >= 2
        await asyncio.sleep(call.seconds / 4)
        if leaves:
            customer_run.discovery.change(endpoint.name, **endpoint.row | {"status": "DELETED"})
        await asyncio.sleep(call.seconds / 2)
        if leaves:
            since_ms = int(time.time() * 1000)
            customer_run.discovery.change(
                endpoint.name, **endpoint.row | {"status": "SERVING", "since_ms": since_ms}
            )
        await asyncio.sleep(call.seconds / 4)
        await self.put_back(span)

    async def put_back(self, span: OutSpan) -> None:
        while span in self.open_spans:
            now, same = time.time(), [each for each in self.open_spans if each.endpoint == span.endpoint]
            for each in same:
                each.until = min(each.until, now)  # from now on it may serve again
            if await self.status("PUT", f"/admin/uncordon?member={span.endpoint}") == YES:
                self.open_spans = [each for each in self.open_spans if each not in same]
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    # Drains of the sidecar.

    async def drain(self, seconds: float) -> None:
        if await self.status("PUT", "/admin/quiesce") != YES:
            return
        drain = Drain(self.runner.name, time.time())
        self.runner.customer_run.records.drains.append(drain)
        self.open_drains.append(drain)
        self.runner.sidecar.draining_since = self.open_drains[0].since
        until = time.monotonic() + seconds
        while drain in self.open_drains and time.monotonic() < until:
            asked_at = time.time()
            if await self.runner.is_ready():
                drain.ready.append((asked_at, time.time()))
            await asyncio.sleep(READY_INTERVAL_S)
        while drain in self.open_drains:
            now, same = time.time(), list(self.open_drains)
            for each in same:
                each.until = min(each.until, now)
            if await self.status("PUT", "/admin/resume") == YES:
                self.open_drains = [each for each in self.open_drains if each not in same]
                self.runner.sidecar.draining_since = None
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    # Calls.

    async def status(self, method: str, target: str) -> int:
        """The status of a call to the process that serves; 0 if there is no answer."""
        address = self.runner.operator_address
        if address is None:
            return 0
        host, _, port = address.rpartition(":")
        connection = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = await connect((host, int(port)))
                await connection.send(f"{method} {target} HTTP/1.1\r\nHost: operators\r\n\r\n".encode())
                answer = await read_answer(connection)
            return 0 if answer is None else status_of(answer)
        except (OSError, TimeoutError, ConnectionCut, MalformedMessage):
            return 0
        finally:
            if connection is not None:
                connection.close()
