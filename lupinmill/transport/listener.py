"""The listening socket and the connections that clients keep open."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import time
from collections.abc import Awaitable, Callable
from math import inf
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from lupinmill.transport.buffers import NO_LIMIT, BlockPool, MemoryBudget, MemoryLease
from lupinmill.transport.client import Client, CloseReason
from lupinmill.transport.closing import ConnectionCloser
from lupinmill.transport.connection import ANCILLARY_SIZE, listen_at
from lupinmill.transport.descriptors import RESERVED_DESCRIPTORS, ConnectionKind, DescriptorBudget

BACKLOG = 4096
ACCEPT_BATCH = 16  # connections accepted in a row before other tasks run
# errors of `accept` for which the system is short of something
RESOURCE_ERRORS = errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM
# seconds before a retry after such an error, or after so many failures in a row that ...
ACCEPT_RETRY_S = 0.01
MAX_ACCEPT_FAILURES = 16  # ... they cannot all be connections that broke before they were accepted
# seconds for a new connection's first byte, and from a request's first byte to its last
REQUEST_TIMEOUT_S = 2.5
ADMISSION_READ_SIZE = 64 * 1024  # bytes per read while the CPU is short; longer input takes the usual path

Serve = Callable[["Client", bool], Awaitable[None]]


class AdmissionCheck(Protocol):
    """Admission control, which evaluates requests while the CPU is short."""

    @property
    def active(self) -> bool: ...
    def busy(self) -> bool: ...
    def evaluate(self, client: Client, data: bytes) -> bool: ...
    async def wait_for_turn(self, client: Client) -> bool: ...


class Listener:
    """Owns the listening socket and the set of idle client connections."""

    def __init__(
        self,
        address: str,
        descriptors: DescriptorBudget,
        block_pool: BlockPool,
        sock: socket.socket | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.descriptors, self.block_pool = descriptors, block_pool
        self.memory = memory or MemoryBudget(NO_LIMIT)  # for what clients send ahead
        self.idle: dict[Client, None] = {}  # longest idle first
        self.closer = ConnectionCloser(descriptors)
        self.turning_away = 0
        self.admission: AdmissionCheck | None = None
        # idle clients are handed to the next process, and no more is read from them
        self.handing_over = False
        self.accept_scope: anyio.CancelScope | None = None  # of the accept loop
        self.resume_event: anyio.Event | None = None  # set while accepting is paused
        self.sock = listen_at(address, BACKLOG) if sock is None else sock
        self.poll = select.poll()
        self.poll.register(self.sock, select.POLLIN)
        self.waiting_since = time.monotonic()  # since when the kernel's accept queue has not been seen empty
        self.address = "%s:%d" % self.sock.getsockname()[:2]
        descriptors.close_idle_client = self.evict_idle_client

    async def run(self, group: TaskGroup, serve: Serve) -> None:
        """Accepts connections, also under pressure, as those in the kernel's accept queue count as accepted
        already. Other tasks run after each batch, since a queue that is never empty is never waited for."""
        failures = 0  # in a row
        while True:
            if self.resume_event is not None:
                await self.resume_event.wait()
            with anyio.CancelScope() as self.accept_scope:
                if not self.poll.poll(0):
                    await anyio.wait_readable(self.sock)
                    self.waiting_since = time.monotonic()  # it arrived in this pass
                try:
                    await self.accept_all(group, serve)
                    failures = 0
                except OSError as error:
                    failures += 1
                    if error.errno in RESOURCE_ERRORS:
                        self.evict_idle_client()
                    if error.errno in RESOURCE_ERRORS or failures > MAX_ACCEPT_FAILURES:
                        await anyio.sleep(ACCEPT_RETRY_S)
                await anyio.sleep(0)

    def pause(self) -> None:
        """Accepts nothing more. The socket stays open, for another process or until `resume`."""
        if self.resume_event is None:
            self.resume_event = anyio.Event()
            if self.accept_scope is not None:
                self.accept_scope.cancel()

    def resume(self) -> None:
        if self.resume_event is not None:
            self.resume_event.set()
            self.resume_event = None

    def adopt(self, sock: socket.socket, group: TaskGroup, serve: Serve) -> None:
        """Takes over a connection that another process of this sidecar accepted, between two requests."""
        self.start_client(sock, self.descriptors.lease(ConnectionKind.CLIENT), group, serve, True)

    def start_client(
        self, sock: socket.socket, leased: bool, group: TaskGroup, serve: Serve, has_requested: bool
    ) -> None:
        if leased:
            client = Client(
                sock,
                self.block_pool,
                lambda: self.descriptors.release(ConnectionKind.CLIENT),
                MemoryLease(self.memory),
            )
            client.has_requested = has_requested
            if not has_requested:
                client.backlog_wait = int((time.monotonic() - self.waiting_since) * 1_000_000)
            group.start_soon(serve, client, True)
        else:
            self.turning_away += 1
            group.start_soon(serve, Client(sock, self.block_pool, self.release_turned_away), False)

    async def accept_all(self, group: TaskGroup, serve: Serve) -> None:
        """Accepts at most a batch, then lets the clients run. Accepts only one if no descriptor is free:
        freeing one would close a client for a connection that may not come."""
        for accepted in range(ACCEPT_BATCH):
            if accepted and not self.descriptors.free(ConnectionKind.CLIENT):
                return
            while (
                not (leased := self.descriptors.lease(ConnectionKind.CLIENT))
                and self.turning_away >= RESERVED_DESCRIPTORS // 2
            ):
                await anyio.sleep(0.005)
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if leased:
                    self.descriptors.release(ConnectionKind.CLIENT)
                if isinstance(error, BlockingIOError):
                    # connections that arrive from now on have waited for no time
                    self.waiting_since = time.monotonic()
                    return
                raise
            self.start_client(sock, leased, group, serve, False)

    def release_turned_away(self) -> None:
        self.turning_away -= 1

    def evict_idle_client(self) -> bool:
        """Evicts clients that never sent a request first, so that a crowd of silent ones does not drive out
        clients in use; last of all clients whose connections linger."""
        now = time.monotonic()
        for has_requested in (False, True):
            for client in self.idle:
                if (
                    client.has_requested is has_requested
                    and client.evictable(now)
                    and not client.prefetched
                    and client.is_idle()
                ):
                    self.close_idle(client)
                    return True
        return self.closer.close_oldest()

    def close_all_idle(self) -> None:
        """Closes all idle clients, except new ones whose first request is on its way. During a handover all
        of them, with what is unread."""
        now = time.monotonic()
        for client in list(self.idle):
            if self.handing_over or (client.has_requested or client.evictable(now)) and client.is_idle():
                self.close_idle(client)

    def close_idle(self, client: Client) -> None:
        """Lets the client's own task close it: if a socket were closed under a waiting task, its descriptor
        could be reused before the task notices, and the new connection would lose its wake-up."""
        del self.idle[client]
        client.close_reason = CloseReason.IDLE
        self.descriptors.leaving += 1
        if client.waiting is not None:
            client.waiting.cancel()

    async def next_bytes(self, client: Client) -> bytes:
        """Like `receive`, between requests. Returns nothing also if the client was told to close and nothing
        has arrived, or if it never sent a request. Requests that admission control rejects are answered
        there, and the next one is waited for."""
        while True:
            client.prefetched = b""
            if client.pipelined_dropped and not client.pipelined:
                return b""  # unread bytes follow bytes that were dropped
            # Pipelined bytes are already read, so the event loop would not report them.
            evaluated = self.admission is not None and self.admission.active and not client.pipelined
            data = await (self.read_through_admission(client) if evaluated else self.read_when_ready(client))
            client.prefetched = b""  # otherwise it is held until the next one
            if self.admission is None or not data:
                return data
            if not evaluated and self.admission.active and not self.admission.evaluate(client, data):
                continue
            if await self.admission.wait_for_turn(client):
                return data
            if client.unwritable:
                return b""

    async def read_through_admission(self, client: Client) -> bytes:
        """Reads while the CPU is short: bytes are read and evaluated in the event loop's callback, and a
        client's task is woken only for admitted or held requests. Waking a task costs more than a rejection
        does."""
        client.check_unread()
        loop, ready, admission = asyncio.get_running_loop(), anyio.Event(), self.admission

        def readable() -> None:
            if admission is not None and admission.busy():
                return  # the event loop calls again in its next pass
            try:
                data, ancillary, _, _ = client.sock.recvmsg(ADMISSION_READ_SIZE, ANCILLARY_SIZE)
                client.record_arrival(ancillary, len(data), ADMISSION_READ_SIZE)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if data and admission is not None and not admission.evaluate(client, data):
                client.idle_since = time.monotonic()
                if client.waiting is not None:
                    client.waiting.deadline = inf  # it has made a request: no longer a new connection
                if client in self.idle:  # otherwise it was told to close meanwhile
                    del self.idle[client]
                    self.idle[client] = None
                return
            client.prefetched = b"" if client.unwritable else data
            loop.remove_reader(client.sock)
            ready.set()

        self.idle[client], client.idle_since = None, time.monotonic()
        try:
            with anyio.move_on_after(None if client.has_requested else REQUEST_TIMEOUT_S) as client.waiting:
                loop.add_reader(client.sock, readable)
                await ready.wait()
        finally:
            self.mark_busy(client)
            loop.remove_reader(client.sock)
        if not ready.is_set() and not self.handing_over and client.has_unread():
            return await client.receive()
        return client.prefetched

    async def read_when_ready(self, client: Client) -> bytes:
        self.idle[client], client.idle_since = None, time.monotonic()
        with anyio.move_on_after(None if client.has_requested else REQUEST_TIMEOUT_S) as client.waiting:
            try:
                return await client.receive()
            finally:
                self.mark_busy(client)
        return await client.receive() if not self.handing_over and client.has_unread() else b""

    def mark_busy(self, client: Client) -> None:
        """No longer idle, because of bytes, the end of the stream, or being told to close."""
        client.waiting = None
        if client in self.idle:
            del self.idle[client]
        else:
            self.descriptors.leaving -= 1

    def close(self) -> None:
        self.sock.close()
