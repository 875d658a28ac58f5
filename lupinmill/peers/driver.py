"""The driver of the peers: one UDP socket, one timer, the file of promises. It decides nothing.

Owns the socket and the `Promises`, both given back in `Driver.serve`, and the queue of what waits for the
disk (`MOST_KEPT` answers). What comes from no known address costs one `recvfrom` and a look in a table; what
one address sends beyond its rate costs no more; a batch is followed by a pause, so that a flood can't have
the loop."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from typing import Any

import anyio

from lupinmill.peers import wire
from lupinmill.peers.elector import Keep
from lupinmill.peers.peer import REHEARSAL, Forgot, Known, Note, Order, Peer, Said, Told
from lupinmill.peers.proposer import Chosen, Lost, Took
from lupinmill.peers.stable_store import BadKeep, Promises
from lupinmill.peers.view import (
    PRESENT,
    SECOND,
    Changed,
    Heard,
    Leave,
    Resign,
    Return,
    Roster,
    Send,
    Standing,
    Stands,
)
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.connection import split_address

BATCH = 64  # datagrams between two pauses
PAUSE = 0.004  # seconds after a whole batch
RATE, BURST = 150.0, 300.0  # datagrams a second from one address, and at once: some ten times what is usual
LINES, LINES_AT_ONCE = 10.0, 200.0  # in the log a second, and at once
AGAIN = 0.05  # seconds between two tries for an address that the process before this one still has
RECEIVE = 256 * 1024  # bytes in the kernel
MOST_KEPT = 256
RESIGN = 400_000  # microseconds for giving leases up before the address is
RETRY_LIMIT = 30.0  # seconds for the process before this one to give the address back


def now() -> int:
    """Microseconds that go on while the machine sleeps: what ran out meanwhile has run out."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Rate:
    """So many a second, so many at once."""

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
    def __init__(self, told: Told, site: str, bind: str, keep: str | None, log: Log) -> None:
        self.told, self.site, self.bind, self.directory, self.log = told, wire.site_of(site), bind, keep, log
        self.peer: Peer | None = None
        self.sock: socket.socket | None = None
        self.promises: Promises | None = None
        self.lines = Rate(LINES, LINES_AT_ONCE)
        self.unwritten = 0  # lines
        self.sent = self.received = self.bytes_out = self.bytes_in = 0
        self.refused: dict[str, int] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.names: dict[tuple[str, int], str] = {}
        self.rates: dict[str, Rate] = {}
        self.inbox: list[Note] = []
        self.stepping = False
        self.awake = anyio.Event()
        self.wanted = anyio.Event()  # this process has the peers' address, or is to have it
        self.wanted.set()
        self.turn: anyio.CancelScope | None = None
        self.kept: tuple[bytes, list[Send]] | None = None
        self.to_keep = anyio.Event()
        self.resigns_by: int | None = None  # while another process of this sidecar waits for the address
        self.gone = False  # left, or drained
        # Features that go by peers, by topic: each is told the orders that are about it.
        self.features: dict[str, Callable[[Order], None]] = {}
        self.set_seats(told)

    def set_seats(self, told: Told) -> None:
        self.told = told
        self.addresses = {
            seat.name: split_address(seat.address) for seat in told.seats if seat.name != told.name
        }
        self.names = {address: name for name, address in self.addresses.items()}
        self.rates = {name: self.rates.get(name) or Rate(RATE, BURST) for name in self.addresses}

    # The life of it.

    async def run(self, wait: bool) -> None:
        """`wait`: the process before this one still has the address, and gives it back when it yields."""
        while True:
            await self.wanted.wait()
            with anyio.CancelScope() as self.turn:
                await self.serve(wait)
            wait = True
            await anyio.sleep(AGAIN)

    async def serve(self, wait: bool) -> None:
        try:
            await self.open(wait)
            self.inbox.clear()
            life = int.from_bytes(os.urandom(7), "big")
            memory = self.promises.read() if self.promises is not None else None
            self.peer = Peer(self.told, life, life ^ 0x5851F42D4C957F2D, now(), memory)
            self.log(
                "peers",
                text=f"{len(self.told.seats)} sidecars in the roster, {len(self.told.electors)} electors",
                listen=self.bind,
                remembers=memory is not None,
            )
            if self.gone:
                self.tell(Leave())
            async with anyio.create_task_group() as group:
                group.start_soon(self.receive)
                group.start_soon(self.keep_time)
                group.start_soon(self.write)
        finally:
            self.peer, self.kept = None, None
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            if self.promises is not None:
                self.promises.close()
                self.promises = None

    async def open(self, wait: bool) -> None:
        began = anyio.current_time()
        while True:
            try:
                if self.sock is None:
                    self.sock = self.listen()
                if self.directory and self.promises is None:
                    self.promises = Promises(self.directory)
                return
            except (OSError, BadKeep) as error:
                if not wait or anyio.current_time() - began > RETRY_LIMIT:
                    wait = True
                    self.log("peers_wait", error=f"{self.bind}: {error}")
                    began = anyio.current_time()
                await anyio.sleep(AGAIN)

    def listen(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            sock.bind(split_address(self.bind))
        except BaseException:
            sock.close()
            raise
        return sock

    # What the program tells.

    def leave(self) -> None:
        """It ends, or is drained: leaving is not failing."""
        if not self.gone:
            self.gone = True
            self.tell(Leave())

    def come_back(self) -> None:
        if self.gone:
            self.gone = False
            self.tell(Return())

    def yield_(self) -> None:
        """The next process of this sidecar is this member from now on: leases are given up, then the
        address."""
        self.wanted = anyio.Event()
        self.resigns_by = now() + RESIGN
        self.tell(Resign())
        self.end_turn()

    def end_turn(self) -> None:
        """Once the electors have heard of it, or have had time to."""
        if self.resigns_by is not None and self.turn is not None:
            if self.peer is None or not self.peer.claims.claims or now() >= self.resigns_by:
                self.resigns_by = None
                self.turn.cancel()

    def take_up(self) -> None:
        """The next one has gone. Also where this one was just giving up: it begins anew."""
        self.wanted.set()

    def change(self, told: Told) -> None:
        """Another roster, from now on."""
        self.set_seats(told)
        if self.peer is not None:
            self.peer.told = told
            self.tell(Roster(list(told.seats)))

    # Notes in, orders out.

    def tell(self, *notes: Note) -> None:
        if self.peer is None:
            return
        self.inbox += notes
        if self.stepping:
            return
        self.stepping = True
        try:
            again = True
            while again and self.peer is not None:
                taken, self.inbox = self.inbox, []
                for order in self.peer.step(now(), taken):
                    self.carry_out(order)
                again = bool(self.inbox)
        except Exception as error:  # a defect costs this core, never the program: it begins anew
            self.log("task_failed", task="peers", **defect(error))
            if self.turn is not None:
                self.turn.cancel()
        finally:
            self.stepping = False
        self.awake.set()
        self.end_turn()

    def carry_out(self, order: Order) -> None:
        if isinstance(order, Send):
            self.send(order)
        elif isinstance(order, Keep):
            self.keep(order)
        else:
            if not isinstance(order, Said):
                self.say(order)
            feature = self.features.get(getattr(order, "topic", ""))
            if feature is not None:
                feature(order)

    # What features ask of it.

    def carry(self, topic: str, to: str, words: bytes) -> None:
        """One datagram to another member, or to this one itself; it may be lost."""
        if to == self.told.name:
            self.features[topic](Said(topic, to, words))
        elif self.peer is not None:
            self.send(Send(to, wire.Carried(topic, words), []))

    def holds(self, topic: str) -> int:
        """The epoch under which this process may act at this moment; 0: it may not."""
        return self.peer.holds(topic, now()) if self.peer is not None else 0

    def decide(self, topic: str, body: bytes) -> bool:
        """False where it does not hold the topic now, or its last decision is still on its way."""
        if self.peer is None or not self.holds(topic):
            return False
        self.peer.claims.now = now()
        done = self.peer.decide(topic, body)
        self.awake.set()
        return done

    def standing(self) -> Standing:
        return self.peer.membership.standing if self.peer is not None else Standing.ALONE

    def present(self) -> list[str]:
        """Members that are there in this one's view, itself first; none where another process is the
        member."""
        if self.peer is None:
            return []
        members = self.peer.membership.members
        return [self.told.name, *(name for name, one in members.items() if one.status in PRESENT)]

    def send(self, order: Send) -> None:
        if order.to == self.told.name:
            self.inbox.append(Heard(order.to, order.body))
            return
        address = self.addresses.get(order.to)
        if address is None or self.sock is None:
            return
        data = wire.encode(self.site, order.body, order.notes)
        try:
            self.sock.sendto(data, address)
            self.sent += 1
            self.bytes_out += len(data)
        except OSError:
            self.refuse("unsent")  # a full buffer is a lost datagram

    def refuse(self, why: str) -> None:
        self.refused[why] = self.refused.get(why, 0) + 1

    async def receive(self) -> None:
        assert self.sock is not None
        while True:
            await anyio.wait_readable(self.sock)
            count = 0
            while count < BATCH:
                try:
                    data, address = self.sock.recvfrom(wire.LARGEST + 1)
                except BlockingIOError:
                    break
                except OSError:
                    count = BATCH  # whatever it is, it must not spin
                    break
                count += 1
                self.take(data, address)
            self.tell()
            if count == BATCH:
                await anyio.sleep(PAUSE)

    def take(self, data: bytes, address: Any) -> None:
        name = self.names.get(address)
        if name is None:
            self.refuse("address")
            return
        if not self.rates[name].take(now()):
            self.refuse("flood")
            return
        try:
            found = wire.decode(self.site, data)
        except wire.Foreign as error:
            self.refuse(str(error))
            return
        self.received += 1
        self.bytes_in += len(data)
        self.inbox.append(Heard(name, found.body, found.notes))

    async def keep_time(self) -> None:
        while self.peer is not None:
            self.awake = anyio.Event()
            due = self.peer.next()
            if self.resigns_by is not None:
                due = min(due, self.resigns_by)
            wait = due - now()
            if wait > 0:
                with anyio.move_on_after(wait / SECOND):
                    await self.awake.wait()
                    continue
            # What lies unread was there before the timers: it is heard first.
            await anyio.sleep(0)
            self.tell()

    # Promises are on disk before anybody hears of them.

    def keep(self, order: Keep) -> None:
        if self.promises is None:
            for send in order.then:
                self.send(send)
            return
        waiting = self.kept[1] if self.kept is not None else []
        if len(waiting) + len(order.then) > MOST_KEPT:
            self.refuse("disk")
            return
        self.kept = (order.data, waiting + order.then)
        self.to_keep.set()

    async def write(self) -> None:
        failing = False
        while True:
            await self.to_keep.wait()
            self.to_keep = anyio.Event()
            if self.kept is None or self.promises is None:
                continue
            (data, then), self.kept = self.kept, None
            try:
                with anyio.CancelScope(shield=True):  # the directory's lock is held until the disk is done
                    await anyio.to_thread.run_sync(self.promises.write, data)
            except OSError as error:
                self.refuse("disk")
                if not failing:
                    self.log(
                        "peers",
                        text="promises can't be kept, so this elector gives no vote",
                        error=f"{self.directory}: {error.strerror}",
                    )
                failing = True
                continue
            if failing:
                self.log("peers", text="promises are kept again; this elector votes")
                failing = False
            for send in then:
                self.send(send)
            self.tell()

    # For people.

    def say(self, order: Order) -> None:
        if not self.lines.take(now()):
            self.unwritten += 1
            return
        more = {"unwritten": self.unwritten} if self.unwritten else {}
        self.unwritten = 0
        if isinstance(order, Changed):
            self.log(
                "peer",
                member=order.name,
                was=order.before.name.lower(),
                now=order.after.name.lower(),
                by=order.by,
                why=order.why,
                **more,
            )
        elif isinstance(order, Stands):
            self.log("standing", was=order.before.value, now=order.after.value, why=order.why, **more)
        elif isinstance(order, Took):
            self.log("lease", topic=order.topic, epoch=order.epoch, text="taken", **more)
        elif isinstance(order, Lost):
            self.log("lease", topic=order.topic, epoch=order.epoch, text=f"ended: {order.why}", **more)
        elif isinstance(order, Known):
            self.log("decision", topic=order.topic, epoch=order.epoch, version=order.version, **more)
        elif isinstance(order, Forgot):
            self.log("decision", topic=order.topic, text=f"forgotten: {order.why}", **more)
        elif isinstance(order, Chosen):
            self.log(
                "decision", topic=order.topic, epoch=order.epoch, version=order.version, text="made", **more
            )

    def rehearse(self) -> bool:
        """A decision that says nothing, for drills; False where this sidecar doesn't hold the topic."""
        done = self.decide(REHEARSAL, f"{self.told.name} {now()}".encode())
        self.tell()
        return done

    def show(self) -> dict[str, object]:
        if self.peer is None:
            return {"name": self.told.name, "standing": "another process of this sidecar is the member"}
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
