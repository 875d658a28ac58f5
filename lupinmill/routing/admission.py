"""Admission control: drives `limits.AdmissionGate`. Owns the heartbeat that measures event loop lag,
which runs only while requests are admitted or held, and the held requests with their clients' tasks."""

from __future__ import annotations

import asyncio
from time import perf_counter

import anyio

from lupinmill import terms as t
from lupinmill.limits.gate import AdmissionGate, AdmissionRequest, Verdict
from lupinmill.protocol import fast_path
from lupinmill.routing.engine import Log, error_fields
from lupinmill.routing.request_table import RequestTable
from lupinmill.transport.client import Client

HEARTBEAT_S = 0.010
# seconds per event loop pass for rejections; as much again goes to admitted requests
MAX_DENIAL_TIME_PER_PASS_S = 0.004
# fraction of the remaining time after which a held request is rejected if it was never granted
HELD_TIMEOUT_FRACTION = 0.6
READ_COST_S = 25e-6  # seconds that the event loop and the kernel take to deliver a request


class AdmissionTurn:
    """Turn of a held request. `grant` ends the wait of its client's task."""

    def __init__(self) -> None:
        self.granted, self.scope = False, None

    def grant(self) -> None:
        self.granted = True
        if self.scope is not None:
            self.scope.cancel()


class AdmissionController:
    """Decides on requests before they are handled: `evaluate` at once, `wait_for_turn` for a held one."""

    def __init__(self, gate: AdmissionGate, request_table: RequestTable, log: Log) -> None:
        self.gate, self.request_table, self.engine, self.log = gate, request_table, request_table.engine, log
        self.workloads = set(gate.workloads)
        self.next_beat_at: float | None = None  # time of the next heartbeat, if one is scheduled
        self.denial_time = 0.0  # seconds spent on rejections since the last heartbeat, ...
        self.denial_time_this_pass = 0.0  # ... and since the current event loop pass began

    def deploy(self, deployment: t.Deployment) -> None:
        self.gate.deploy(deployment)
        self.workloads = set(self.gate.workloads)

    @property
    def active(self) -> bool:
        return self.gate.active

    def evaluate(self, client: Client, data: bytes) -> bool:
        """Evaluates bytes that were read while the CPU is short. Returns False if they were one request that
        was rejected and answered here. After an unexpected exception the request is handled as usual."""
        try:
            return self.decide(client, data)
        except Exception as error:
            self.log("task_failed", task="door", **error_fields(error))
            return True

    def decide(self, client: Client, data: bytes) -> bool:
        began = perf_counter()
        metadata = fast_path.parse_simple_request(data, self.workloads)
        if metadata is None:
            return True
        left = max(0, metadata.time_left - client.max_elapsed_wait(metadata.time_left))
        request = AdmissionRequest(metadata.workload, left, metadata.is_retry, metadata.tenant, client=client)
        verdict = self.gate.admit(self.engine.clock.now(), request)
        if verdict is Verdict.HELD and not client.memory.grow(len(data)):
            self.gate.forget(request)
            verdict = Verdict.DENIED
        if verdict is Verdict.DENIED:
            denied = self.send_denial(client)
            self.count_denial_time(perf_counter() - began + READ_COST_S)
            return not denied
        client.has_requested = client.response_due = True
        if verdict is Verdict.HELD:
            request.token, client.waiter = AdmissionTurn(), request
            client.held_size = len(data)
        else:
            client.admitted = True
        self.schedule_heartbeat()
        return True

    def count_denial_time(self, spent: float) -> None:
        if not self.denial_time_this_pass:
            asyncio.get_running_loop().call_soon(self.start_pass)
        self.denial_time += spent
        self.denial_time_this_pass += spent

    def start_pass(self) -> None:
        self.denial_time_this_pass = 0.0

    def busy(self) -> bool:
        """Whether rejections took so much of this pass that the next ones wait for another. Guards admitted
        requests, which need several passes, against a crowd that retries as soon as it is rejected."""
        return self.denial_time_this_pass > MAX_DENIAL_TIME_PER_PASS_S

    def send_denial(self, client: Client) -> bool:
        """Writes the response at once and in full; a client that does not read is not waited for."""
        data = fast_path.rejection(self.gate.retry_advice())
        try:
            whole = client.sock.send(data) == len(data)
        except OSError:
            whole = False
        client.has_requested, client.response_due, client.unwritable = True, False, not whole
        return whole

    async def wait_for_turn(self, client: Client) -> bool:
        """Waits for the turn of a held request. Returns False if it was rejected in the end, or if its client
        disconnected, as nobody would receive the response. Has a time-out of its own in case the turn is
        never granted: the gate rejects what it cannot admit after half of the remaining time."""
        request = client.waiter
        if request is None:
            return not client.unwritable
        try:
            with anyio.move_on_after(
                request.time_left * HELD_TIMEOUT_FRACTION / 1_000_000
            ) as request.token.scope:
                if not request.token.granted:
                    await client.wait_disconnected()
        finally:
            self.forget(client)  # its task was cancelled before its turn
        if client.check_disconnected():  # also in the pass in which its turn was granted
            self.leave(client)
            client.unwritable = True
            return False
        if not client.admitted:
            self.send_denial(client)
        return client.admitted

    def enter(self, client: Client) -> None:
        """Marks the client as admitted. Its request was read in full, by whichever path."""
        if not client.admitted:
            client.admitted = True
            self.gate.entered()
        self.schedule_heartbeat()

    def forget(self, client: Client) -> None:
        """Removes the client's held request, if it has one."""
        request, client.waiter = client.waiter, None
        if request is not None:
            self.gate.forget(request)
            client.memory.shrink(client.held_size)
            client.held_size = 0

    def leave(self, client: Client) -> None:
        """Releases everything that the client holds here. Never raises: this is the last call of a client's
        task, where nothing would catch an exception."""
        try:
            self.forget(client)
            if client.admitted:
                client.admitted = False
                self.gate.finished(self.engine.clock.now())
                if self.gate.held:
                    self.release()
        except Exception as error:
            self.log("task_failed", task="door", **error_fields(error))

    def release(self) -> None:
        for request, verdict in self.gate.release(self.engine.clock.now()):
            request.client.admitted = verdict is Verdict.TAKEN
            request.token.grant()

    # Heartbeat.

    def schedule_heartbeat(self) -> None:
        if self.next_beat_at is None:
            loop = asyncio.get_running_loop()
            self.next_beat_at = loop.time() + HEARTBEAT_S
            loop.call_at(self.next_beat_at, self.on_heartbeat)

    def on_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        late, self.next_beat_at = int(max(0.0, loop.time() - (self.next_beat_at or 0.0)) * 1_000_000), None
        try:
            self.update_gate(late)
        except Exception as error:  # one exception must not end the heartbeat
            self.log("task_failed", task="door", **error_fields(error))
        if self.gate.inside or self.gate.held or self.gate.active:
            self.schedule_heartbeat()

    def update_gate(self, late: int) -> None:
        gate = self.gate
        gate.record_lateness(
            self.engine.clock.now(), late, int(self.denial_time * 1_000_000), self.request_table.unattempted
        )
        self.denial_time = 0.0
        for text in gate.log:
            self.log("mode", text=text)
        gate.log.clear()
        self.release()
