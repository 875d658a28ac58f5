"""The door: the driver of `limits.Gate`. Owns the heartbeat that tells how late the loop is, which beats only
while something is inside or waits, and the requests that wait before the program with their clients'
tasks."""

from __future__ import annotations

import asyncio
from time import perf_counter

import anyio

from lupinmill import terms as t
from lupinmill.limits.gate import Fate, Gate, Offer
from lupinmill.protocol import fast_path
from lupinmill.routing.book import Book
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.client import Client

BEAT = 0.010  # seconds
PASS = 0.004  # seconds of one pass of the loop for denials; as much again goes to what is inside
BACKSTOP = 0.6  # part of the time left after which a held request is denied whose turn was never called
READING = 25e-6  # seconds that the loop and the kernel take to bring a request to the door


class Turn:
    """Of a request that is held. `call` ends the wait of its client's task."""

    def __init__(self) -> None:
        self.called, self.scope = False, None

    def call(self) -> None:
        self.called = True
        if self.scope is not None:
            self.scope.cancel()


class Door:
    """What a client's task asks before it takes up a request: `judge` at once, `wait` for one that is
    held."""

    def __init__(self, gate: Gate, book: Book, log: Log) -> None:
        self.gate, self.book, self.engine, self.log = gate, book, book.engine, log
        self.workloads = set(gate.workloads)
        self.due: float | None = None  # of the heartbeat, while it beats
        self.denying = 0.0  # seconds since the last beat that went into denials, ...
        self.this_pass = 0.0  # ... and since the loop's present pass began

    def deploy(self, d: t.Deployment) -> None:
        self.gate.deploy(d)
        self.workloads = set(self.gate.workloads)

    @property
    def active(self) -> bool:
        return self.gate.active

    def judge(self, client: Client, data: bytes) -> bool:
        """Of bytes just read while the core is short: False where they were one request, denied and answered
        here. What a defect keeps from being judged goes the usual way."""
        try:
            return self.judged(client, data)
        except Exception as error:
            self.log("task_failed", task="door", **defect(error))
            return True

    def judged(self, client: Client, data: bytes) -> bool:
        began = perf_counter()
        asked = fast_path.parse_simple_request(data, self.workloads)
        if asked is None:
            return True
        left = max(0, asked.time_left - client.waited_for(asked.time_left))
        offer = Offer(asked.workload, left, asked.is_retry, asked.tenant, client=client)
        fate = self.gate.offer(self.engine.clock.now(), offer)
        if fate is Fate.DENIED:
            denied = self.deny(client)
            self.count(perf_counter() - began + READING)
            return not denied
        client.asked = client.owed = True
        if fate is Fate.HELD:
            offer.token, client.offer = Turn(), offer
        else:
            client.inside = True
        self.beat_on()
        return True

    def count(self, spent: float) -> None:
        if not self.this_pass:
            asyncio.get_running_loop().call_soon(self.next_pass)
        self.denying += spent
        self.this_pass += spent

    def next_pass(self) -> None:
        self.this_pass = 0.0

    def busy(self) -> bool:
        """So much of this pass went into denials that the next ones wait for another: guards what is inside,
        which needs several passes, against a crowd that asks again as soon as it is denied."""
        return self.this_pass > PASS

    def deny(self, client: Client) -> bool:
        """Written at once and whole; a client that takes no answers is not waited for."""
        data = fast_path.rejection(self.gate.come_back())
        try:
            whole = client.sock.send(data) == len(data)
        except OSError:
            whole = False
        client.asked, client.owed, client.broken = True, False, not whole
        return whole

    async def wait(self, client: Client) -> bool:
        """For the turn of a request that is held; False where it was denied in the end, or its client left:
        taken up it would be launched for nobody. Guards by a time of its own against a turn that is never
        called: the gate denies what it can't take up after half of the time left."""
        offer = client.offer
        if offer is None:
            return not client.broken
        try:
            with anyio.move_on_after(offer.left * BACKSTOP / 1_000_000) as offer.token.scope:
                if not offer.token.called:
                    await client.gone()
        finally:
            self.forget(client)  # its task was ended before its turn
        if client.look():  # also in the very pass in which its turn came
            self.leave(client)
            client.broken = True
            return False
        if not client.inside:
            self.deny(client)
        return client.inside

    def enter(self, client: Client) -> None:
        """Its request is read whole, by whatever way."""
        if not client.inside:
            client.inside = True
            self.gate.entered()
        self.beat_on()

    def forget(self, client: Client) -> None:
        """The request that it may have in a line waits no longer."""
        offer, client.offer = client.offer, None
        if offer is not None:
            self.gate.forget(offer)

    def leave(self, client: Client) -> None:
        """Nothing of its is inside or in a line from here on. Guards the program: this is called last of all
        in a client's task, where nobody is behind it."""
        try:
            self.forget(client)
            if client.inside:
                client.inside = False
                self.gate.left(self.engine.clock.now())
                if self.gate.held:
                    self.release()
        except Exception as error:
            self.log("task_failed", task="door", **defect(error))

    def release(self) -> None:
        for offer, fate in self.gate.release(self.engine.clock.now()):
            offer.client.inside = fate is Fate.TAKEN
            offer.token.call()

    # The heartbeat.

    def beat_on(self) -> None:
        if self.due is None:
            loop = asyncio.get_running_loop()
            self.due = loop.time() + BEAT
            loop.call_at(self.due, self.beat)

    def beat(self) -> None:
        loop = asyncio.get_running_loop()
        late, self.due = int(max(0.0, loop.time() - (self.due or 0.0)) * 1_000_000), None
        try:
            self.judge_lateness(late)
        except Exception as error:  # one defect must not end the heartbeat
            self.log("task_failed", task="door", **defect(error))
        if self.gate.inside or self.gate.held or self.gate.active:
            self.beat_on()

    def judge_lateness(self, late: int) -> None:
        gate = self.gate
        gate.beat(self.engine.clock.now(), late, int(self.denying * 1_000_000), self.book.unlaunched)
        self.denying = 0.0
        for text in gate.log:
            self.log("mode", text=text)
        gate.log.clear()
        self.release()
