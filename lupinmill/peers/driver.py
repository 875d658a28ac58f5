"""The peers' I/O: one UDP socket, one timer and the electors' stable storage. It makes no decisions.

Owns the socket and the `StableStore`, both closed in `Driver.serve`, and the queue of replies that wait for
the disk (at most `MAX_UNWRITTEN_REPLIES`). A datagram from an unknown address costs one `recvfrom` and one
dictionary lookup, and so does one beyond the rate limit of its address. A pause follows each full batch, so
that a flood can't monopolize the event loop."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from typing import Any

import anyio

from lupinmill.peers import wire
from lupinmill.peers.elector import Persist
from lupinmill.peers.peer import (
    REHEARSAL_TOPIC,
    Command,
    DecisionAdopted,
    DecisionExpired,
    Event,
    FeatureMessageReceived,
    Peer,
    PeerSettings,
)
from lupinmill.peers.proposer import DecisionAccepted, LeaseAcquired, LeaseLost
from lupinmill.peers.stable_store import StableStore, StoreError
from lupinmill.peers.view import (
    PRESENT,
    SECOND,
    Leave,
    MemberChanged,
    QuorumChanged,
    QuorumState,
    Received,
    Rejoin,
    Resign,
    RosterChange,
    Send,
)
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.connection import split_address

RECEIVE_BATCH = 64  # datagrams between two pauses
BATCH_PAUSE_S = 0.004
# Per address; about ten times the usual rate.
DATAGRAMS_PER_SECOND, DATAGRAM_BURST = 150.0, 300.0
LOG_LINES_PER_SECOND, LOG_LINE_BURST = 10.0, 200.0
BIND_RETRY_S = 0.05  # while the previous process still has the address
RECEIVE_BUFFER_BYTES = 256 * 1024  # SO_RCVBUF
MAX_UNWRITTEN_REPLIES = 256
RESIGN_TIMEOUT_US = 400_000  # for releasing leases before the address
BIND_WARNING_S = 30.0  # waiting time for the previous process before a warning is logged


def now() -> int:
    """Microseconds of a clock that goes on while the machine sleeps, so that leases expire meanwhile."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class TokenBucket:
    """A rate limiter with a rate per second and a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.left, self.at = burst, 0

    def take(self, at: int) -> bool:
        self.left = min(self.burst, self.left + (at - self.at) * self.rate / SECOND)
        self.at = at
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Driver:
    """Runs one member: feeds its core with datagrams and timers, and executes the core's commands."""

    def __init__(self, settings: PeerSettings, site: str, bind: str, directory: str | None, log: Log) -> None:
        self.settings, self.site, self.bind, self.directory, self.log = (
            settings,
            wire.site_hash(site),
            bind,
            directory,
            log,
        )
        self.peer: Peer | None = None
        self.sock: socket.socket | None = None
        self.store: StableStore | None = None
        self.log_bucket = TokenBucket(LOG_LINES_PER_SECOND, LOG_LINE_BURST)
        self.suppressed_lines = 0
        self.sent = self.received = self.bytes_out = self.bytes_in = 0
        self.refused: dict[str, int] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.names_by_address: dict[tuple[str, int], str] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.inbox: list[Event] = []
        self.stepping = False
        self.woken = anyio.Event()
        self.address_wanted = anyio.Event()  # set unless another process of this sidecar is the member
        self.address_wanted.set()
        self.serve_scope: anyio.CancelScope | None = None
        self.unwritten: tuple[bytes, list[Send]] | None = None
        self.write_requested = anyio.Event()
        self.resign_deadline: int | None = None  # set while this process hands the address over
        self.has_left = False  # shutting down, or drained
        # Handlers of the features that depend on peers, by topic. Each gets the commands on its topic.
        self.features: dict[str, Callable[[Command], None]] = {}
        self.set_roster(settings)

    def set_roster(self, settings: PeerSettings) -> None:
        self.settings = settings
        self.addresses = {
            entry.name: split_address(entry.address)
            for entry in settings.roster
            if entry.name != settings.name
        }
        self.names_by_address = {address: name for name, address in self.addresses.items()}
        self.buckets = {
            name: self.buckets.get(name) or TokenBucket(DATAGRAMS_PER_SECOND, DATAGRAM_BURST)
            for name in self.addresses
        }

    # Lifecycle.

    async def run(self, wait: bool) -> None:
        """`wait`: the previous process still has the address, and releases it in the handover."""
        while True:
            await self.address_wanted.wait()
            with anyio.CancelScope() as self.serve_scope:
                await self.serve(wait)
            wait = True
            await anyio.sleep(BIND_RETRY_S)

    async def serve(self, wait: bool) -> None:
        try:
            await self.acquire(wait)
            self.inbox.clear()
            instance_id = int.from_bytes(os.urandom(7), "big")
            memory = self.store.read() if self.store is not None else None
            self.peer = Peer(self.settings, instance_id, instance_id ^ 0x5851F42D4C957F2D, now(), memory)
            self.log(
                "peers",
                text=f"{len(self.settings.roster)} sidecars in the roster, "
                f"{len(self.settings.electors)} electors",
                listen=self.bind,
                remembers=memory is not None,
            )
            if self.has_left:
                self.handle(Leave())
            async with anyio.create_task_group() as group:
                group.start_soon(self.receive)
                group.start_soon(self.run_timers)
                group.start_soon(self.write_promises)
        finally:
            self.peer, self.unwritten = None, None
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            if self.store is not None:
                self.store.close()
                self.store = None

    async def acquire(self, wait: bool) -> None:
        waiting_since = anyio.current_time()
        while True:
            try:
                if self.sock is None:
                    self.sock = self.open_socket()
                if self.directory and self.store is None:
                    self.store = StableStore(self.directory)
                return
            except (OSError, StoreError) as error:
                if not wait or anyio.current_time() - waiting_since > BIND_WARNING_S:
                    wait = True
                    self.log("peers_wait", error=f"{self.bind}: {error}")
                    waiting_since = anyio.current_time()
                await anyio.sleep(BIND_RETRY_S)

    def open_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(split_address(self.bind))
        except BaseException:
            sock.close()
            raise
        return sock

    # Calls by the program.

    def leave(self) -> None:
        """Announces that this sidecar shuts down or is drained, so that it doesn't count as failed."""
        if not self.has_left:
            self.has_left = True
            self.handle(Leave())

    def rejoin(self) -> None:
        if self.has_left:
            self.has_left = False
            self.handle(Rejoin())

    def resign(self) -> None:
        """Hands the member over to the next process of this sidecar: releases its leases, then the
        address."""
        self.address_wanted = anyio.Event()
        self.resign_deadline = now() + RESIGN_TIMEOUT_US
        self.handle(Resign())
        self.finish_resigning()

    def finish_resigning(self) -> None:
        """Stops serving once the leases are released, or at the deadline for it."""
        if self.resign_deadline is not None and self.serve_scope is not None:
            if self.peer is None or not self.peer.proposer.claims or now() >= self.resign_deadline:
                self.resign_deadline = None
                self.serve_scope.cancel()

    def resume(self) -> None:
        """Takes the member back after the next process has gone, even during a handover, as a new member
        process."""
        self.address_wanted.set()

    def change_settings(self, settings: PeerSettings) -> None:
        """Applies a changed roster."""
        self.set_roster(settings)
        if self.peer is not None:
            self.peer.settings = settings
            self.handle(RosterChange(list(settings.roster)))

    # Events and commands of the core.

    def handle(self, *events: Event) -> None:
        if self.peer is None:
            return
        self.inbox += events
        if self.stepping:
            return
        self.stepping = True
        try:
            pending = True
            while pending and self.peer is not None:
                batch, self.inbox = self.inbox, []
                for command in self.peer.step(now(), batch):
                    self.execute(command)
                pending = bool(self.inbox)
        except Exception as error:  # a defect restarts this core, not the program
            self.log("task_failed", task="peers", **error_fields(error))
            if self.serve_scope is not None:
                self.serve_scope.cancel()
        finally:
            self.stepping = False
        self.woken.set()
        self.finish_resigning()

    def execute(self, command: Command) -> None:
        if isinstance(command, Send):
            self.send(command)
        elif isinstance(command, Persist):
            self.persist(command)
        else:
            if not isinstance(command, FeatureMessageReceived):
                self.log_command(command)
            feature = self.features.get(getattr(command, "topic", ""))
            if feature is not None:
                feature(command)

    # Calls by features.

    def send_feature_message(self, topic: str, to: str, payload: bytes) -> None:
        """Sends one datagram to a member, which may be this one; it may be lost."""
        if to == self.settings.name:
            self.features[topic](FeatureMessageReceived(topic, to, payload))
        elif self.peer is not None:
            self.send(Send(to, wire.FeatureMessage(topic, payload), []))

    def held_epoch(self, topic: str) -> int:
        """The epoch of the lease if this process holds it now, else 0."""
        return self.peer.held_epoch(topic, now()) if self.peer is not None else 0

    def decide(self, topic: str, body: bytes) -> bool:
        """Returns False if this process doesn't hold the lease now, or its last decision is still pending."""
        if self.peer is None or not self.held_epoch(topic):
            return False
        self.peer.proposer.now = now()
        done = self.peer.decide(topic, body)
        self.woken.set()
        return done

    def quorum_state(self) -> QuorumState:
        return self.peer.membership.quorum_state if self.peer is not None else QuorumState.ISOLATED

    def present(self) -> list[str]:
        """The present members in this view, this one first; empty if another process is the member."""
        if self.peer is None:
            return []
        members = self.peer.membership.members
        return [self.settings.name, *(name for name, member in members.items() if member.status in PRESENT)]

    def send(self, command: Send) -> None:
        if command.to == self.settings.name:
            self.inbox.append(Received(command.to, command.body))
            return
        address = self.addresses.get(command.to)
        if address is None or self.sock is None:
            return
        data = wire.encode(self.site, command.body, command.updates)
        try:
            self.sock.sendto(data, address)
            self.sent += 1
            self.bytes_out += len(data)
        except OSError:
            self.count_refused("unsent")  # a full send buffer is treated as loss

    def count_refused(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    async def receive(self) -> None:
        assert self.sock is not None
        while True:
            await anyio.wait_readable(self.sock)
            count = 0
            while count < RECEIVE_BATCH:
                try:
                    data, address = self.sock.recvfrom(wire.MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    count = RECEIVE_BATCH  # pause after any error, so as not to spin
                    break
                count += 1
                self.receive_datagram(data, address)
            self.handle()
            if count == RECEIVE_BATCH:
                await anyio.sleep(BATCH_PAUSE_S)

    def receive_datagram(self, data: bytes, address: Any) -> None:
        name = self.names_by_address.get(address)
        if name is None:
            self.count_refused("address")
            return
        if not self.buckets[name].take(now()):
            self.count_refused("flood")
            return
        try:
            datagram = wire.decode(self.site, data)
        except wire.InvalidDatagram as error:
            self.count_refused(str(error))
            return
        self.received += 1
        self.bytes_in += len(data)
        self.inbox.append(Received(name, datagram.body, datagram.updates))

    async def run_timers(self) -> None:
        while self.peer is not None:
            self.woken = anyio.Event()
            due = self.peer.next_due()
            if self.resign_deadline is not None:
                due = min(due, self.resign_deadline)
            wait = due - now()
            if wait > 0:
                with anyio.move_on_after(wait / SECOND):
                    await self.woken.wait()
                    continue
            # Unread datagrams precede the timers: read them first.
            await anyio.sleep(0)
            self.handle()

    # Promises are written to disk before they are sent.

    def persist(self, command: Persist) -> None:
        if self.store is None:
            for send in command.then_send:
                self.send(send)
            return
        waiting = self.unwritten[1] if self.unwritten is not None else []
        if len(waiting) + len(command.then_send) > MAX_UNWRITTEN_REPLIES:
            self.count_refused("disk")
            return
        self.unwritten = (command.data, waiting + command.then_send)
        self.write_requested.set()

    async def write_promises(self) -> None:
        failing = False
        while True:
            await self.write_requested.wait()
            self.write_requested = anyio.Event()
            if self.unwritten is None or self.store is None:
                continue
            (data, replies), self.unwritten = self.unwritten, None
            try:
                with anyio.CancelScope(shield=True):  # keep the lock until the write is done
                    await anyio.to_thread.run_sync(self.store.write, data)
            except OSError as error:
                self.count_refused("disk")
                if not failing:
                    self.log(
                        "peers",
                        text="promises can't be written to disk: this elector abstains from voting",
                        error=f"{self.directory}: {error.strerror}",
                    )
                failing = True
                continue
            if failing:
                self.log("peers", text="promises are written to disk again: this elector votes")
                failing = False
            for send in replies:
                self.send(send)
            self.handle()

    # Logs and the operators' view.

    def log_command(self, command: Command) -> None:
        if not self.log_bucket.take(now()):
            self.suppressed_lines += 1
            return
        more = {"unwritten": self.suppressed_lines} if self.suppressed_lines else {}
        self.suppressed_lines = 0
        if isinstance(command, MemberChanged):
            self.log(
                "peer",
                member=command.name,
                was=command.before.name.lower(),
                now=command.after.name.lower(),
                by=command.source,
                why=command.reason,
                **more,
            )
        elif isinstance(command, QuorumChanged):
            self.log(
                "standing", was=command.before.value, now=command.after.value, why=command.reason, **more
            )
        elif isinstance(command, LeaseAcquired):
            self.log("lease", topic=command.topic, epoch=command.epoch, text="taken", **more)
        elif isinstance(command, LeaseLost):
            self.log(
                "lease", topic=command.topic, epoch=command.epoch, text=f"ended: {command.reason}", **more
            )
        elif isinstance(command, DecisionAdopted):
            self.log("decision", topic=command.topic, epoch=command.epoch, version=command.version, **more)
        elif isinstance(command, DecisionExpired):
            self.log("decision", topic=command.topic, text=f"forgotten: {command.reason}", **more)
        elif isinstance(command, DecisionAccepted):
            self.log(
                "decision",
                topic=command.topic,
                epoch=command.epoch,
                version=command.version,
                text="made",
                **more,
            )

    def rehearse(self) -> bool:
        """Makes a decision without content, for drills. Returns False if this sidecar doesn't hold the
        lease."""
        done = self.decide(REHEARSAL_TOPIC, f"{self.settings.name} {now()}".encode())
        self.handle()
        return done

    def show(self) -> dict[str, object]:
        if self.peer is None:
            return {"name": self.settings.name, "standing": "another process of this sidecar is the member"}
        self.peer.now = now()
        table = self.peer.show()
        table["datagrams"] = {
            "sent": self.sent,
            "received": self.received,
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "refused": dict(self.refused),
        }
        return table
