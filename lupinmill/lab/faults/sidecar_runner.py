"""Runs the processes of one sidecar, one after another or side by side in an upgrade, as planned.

Owns the processes that it starts, the sidecar's folder and the reserved address."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from lupinmill.lab.faults import customers, schedule
from lupinmill.lab.faults.clients import Clients, Sidecar
from lupinmill.lab.faults.connection import (
    Connection,
    ConnectionCut,
    MalformedMessage,
    connect,
    read_answer,
    status_of,
)
from lupinmill.lab.faults.operators import Operators
from lupinmill.lab.faults.processes import READ, ROOT, Process
from lupinmill.lab.faults.records import ProcessRecord
from lupinmill.lab.faults.stepped_clock import SteppedClock

if TYPE_CHECKING:
    from lupinmill.lab.faults.run import CustomerRun

MAX_COUNTED_DEADLINE_S = 3.0  # longer deadlines do not postpone SIGKILL
KILL_MARGIN_S = 0.7  # SIGKILL may follow SIGTERM this long after the longest deadline
READY_CHECK_INTERVAL_S = 1.0
READY_TIMEOUT_S = 2.0  # of one `GET /ready`
BURST_SIGNALS, REPEATED_MOVES = 5, 8  # signals in a burst, moves in a series
OPERATORS_DESCRIPTORS = 16  # that a sidecar keeps for operators' calls, beside those that its clients need
HELD_S = 2.5  # the new process of an upgrade is stopped for this long


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Longest times to wait for a state. The defaults are far longer than a process takes, so that a busy
    machine fails none; tests with planted faults use shorter ones."""

    ready_s: float = 40.0  # until a process is ready, or has refused its configuration
    responsive_s: float = 20.0  # until a process that is not stopped answers `GET /ready`
    exit_s: float = 25.0  # beyond the longest deadline, after SIGTERM


DEFAULT_TIMEOUTS = Timeouts()


class SidecarRunner:
    """Runs the processes of one sidecar, one after another, as planned by the schedule."""

    def __init__(self, customer_run: CustomerRun, number: int, plans: list[schedule.ProcessPlan]) -> None:
        self.customer_run, self.plans, self.process_number = customer_run, plans, 0
        self.name = f"{customer_run.name}-s{number}"
        self.folder = customer_run.folder / self.name
        self.folder.mkdir()
        self.tmpdir = self.folder / "tmp"
        self.tmpdir.mkdir()
        self.config_file = self.folder / "told.json"
        self.reserved_socket = reserved = reserve_address(customer_run.host(f"200.{number + 1}"))
        self.sidecar = Sidecar(self.name, reserved.getsockname())
        self.process: Process | None = None
        self.clients = Clients(
            customer_run.customer, self.sidecar, f"{customer_run.seed} {self.name}", customer_run.records
        )
        self.discovery_addresses, self.address_index = customer_run.discovery.reserve_addresses(), 0
        admin_host = customer_run.host(f"201.{number + 1}")
        has_operators = any(plan.operator_calls for plan in plans)
        self.operators = Operators(self, lambda: reserve_address(admin_host)) if has_operators else None
        self.sockets = customer_run.customer.sockets + OPERATORS_DESCRIPTORS * has_operators
        self.operator_address: str | None = None  # of the process that serves
        self.next_operator_address: str | None = None  # of the one that is started next
        self.clock: SteppedClock | None = None
        if any(plan.clock_steps for plan in plans):
            # With every other seed the whole machine's clock is set, and the kernel's timestamps with it.
            self.clock = SteppedClock(self.folder / "clock", with_kernel=customer_run.seed % 2 == 1)

    def close(self) -> None:
        """Gives back the addresses."""
        self.reserved_socket.close()
        if self.operators is not None:
            self.operators.close()

    # Configurations.

    def configuration(self, knows_list: bool = True, list_age_s: float = 0.0) -> dict[str, Any]:
        customer_run = self.customer_run
        table: dict[str, Any] = {
            "name": self.name,
            "listen": "%s:%d" % self.sidecar.address,
            "discovery": self.discovery_addresses[self.address_index],
            "seed": "8c1f30d27a5be964",
            "limits": customer_run.customer.limits | {"sockets": self.sockets},
            "settings": customer_run.customer.settings,
        }
        if knows_list:
            table["known"] = customer_run.discovery.full_list_at(time.time() - list_age_s)
        if self.operators is not None and self.next_operator_address is None:
            self.next_operator_address = self.operators.next_address()
        if self.next_operator_address is not None:
            table["operator"] = self.next_operator_address
        return customers.equivalent_config(
            table, Random(f"{customer_run.seed} {self.name} {self.process_number}")
        )

    def write_config(self, data: bytes | None) -> None:
        """Replaces the file atomically, as a deployment platform does; None removes it."""
        if data is None:
            self.config_file.unlink(missing_ok=True)
            return
        beside = self.config_file.with_suffix(".new")
        beside.write_bytes(data)
        beside.rename(self.config_file)

    def environ(self, plan: schedule.ProcessPlan) -> dict[str, str]:
        file = self.folder / "file"
        file.touch()
        overlong = self.folder / ("d" * 120)
        overlong.mkdir(exist_ok=True)
        places = {
            "own": str(self.tmpdir),
            "absent": str(self.folder / "absent"),
            "a file": str(file),
            "none": "",
            "overlong": str(overlong),
        }
        return {
            "BALANCER_CONFIG": str(self.config_file),
            "BALANCER_NAME": self.name,
            "TMPDIR": places[plan.tmpdir],
        } | (self.clock.environ(str(ROOT)) if self.clock is not None else {})

    # Processes.

    async def run(self) -> None:
        while not self.customer_run.is_over():
            plan = self.plans[self.process_number % len(self.plans)]
            await self.run_process(plan)
            self.process_number += 1
        self.sidecar.closing = True

    def take_operator_address(self) -> str | None:
        """The address in the configuration of a process that is started now; the next one gets another."""
        address, self.next_operator_address = self.next_operator_address, None
        return address

    async def run_process(self, plan: schedule.ProcessPlan) -> None:
        config = self.configuration(plan.knows_list, plan.list_age_s)
        self.write_config(
            customers.invalid_config(plan.invalid_kind, config)
            if plan.invalid_kind
            else customers.encode(config)
        )
        self.process = process = Process(self.customer_run.command, self.environ(plan), plan.output)
        self.operator_address = self.take_operator_address()
        try:
            record = await process.start(self.name, self.process_number, plan.text())
            record.can_hand_over = plan.tmpdir in schedule.USABLE_TMPDIRS
            record.config_valid = plan.kind != schedule.INVALID_CONFIG
            record.has_old_list = plan.list_age_s > 0 and self.customer_run.customer.lists_pushed
            record.discovery_addresses = self.discovery_addresses
            self.customer_run.records.processes.append(record)
            self.sidecar.process = record
            if plan.kind == schedule.INVALID_CONFIG:
                if not await process.ends_within(self.customer_run.timeouts.ready_s):
                    record.hangs.append("neither serves nor refuses its configuration")
                return
            if await self.wait_until_ready(process, plan):
                await self.run_events(plan)
            await self.end_process(plan)
        finally:
            await process.end()
            await self.process.end()
            if self.operators is not None:
                self.operators.process_ended()

    async def wait_until_ready(self, process: Process, plan: schedule.ProcessPlan) -> bool:
        """Waits for a process during startup, while it gets its planned signals. True if it serves."""
        signals = asyncio.create_task(self.send_start_signals(process, plan))
        record = process.record
        assert record is not None
        try:
            waited_s, last_check = 0.0, time.monotonic()
            while record.ended_at is None and record.terminated_at is None:
                if await self.is_ready(needs_endpoint=plan.knows_list):
                    record.ready_at = time.time()
                    break
                now = time.monotonic()
                waited_s, last_check = waited_s + min(0.2, now - last_check), now
                if waited_s > self.customer_run.timeouts.ready_s:
                    record.hangs.append("not ready")
                    return False
                await asyncio.sleep(0.02)
            await signals
        finally:
            signals.cancel()
        return record.ended_at is None and record.terminated_at is None

    async def send_start_signals(self, process: Process, plan: schedule.ProcessPlan) -> None:
        started_at = time.monotonic()
        for at_s, name in plan.signals:
            await asyncio.sleep(max(0.0, started_at + at_s - time.monotonic()))
            if plan.moves_discovery and process.record is not None and not process.record.discovery_moves:
                self.move_discovery(process)
            process.signal(signal.Signals[f"SIG{name}"])

    async def is_ready(self, needs_endpoint: bool = True) -> bool:
        """Whether `GET /ready` is answered: with 200, or with any status if no endpoint is needed."""
        connection: Connection | None = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                connection = await connect(self.sidecar.address)
                await connection.send(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                answer = await read_answer(connection)
            return answer is not None and (status_of(answer) == 200 or not needs_endpoint)
        except (OSError, TimeoutError, ConnectionCut, MalformedMessage):
            return False
        finally:
            if connection is not None:
                connection.close()

    async def run_events(self, plan: schedule.ProcessPlan) -> None:
        """Applies the planned events until the planned end of the process, or the end of the run."""
        started_at = time.monotonic()
        beside = [
            asyncio.create_task(self.watch_responsiveness()),
            asyncio.create_task(self.set_clock(plan, started_at)),
        ]
        if self.operators is not None:
            beside.append(asyncio.create_task(self.operators.play(plan.operator_calls, started_at)))
        try:
            for event in plan.events:
                await self.pause(started_at + event.at - time.monotonic())
                if not self.alive() or self.customer_run.is_over():
                    break
                await self.apply_event(plan, event)
            await self.pause(started_at + plan.seconds - time.monotonic())
        finally:
            for task in beside:
                task.cancel()
            for ended in await asyncio.gather(*beside, return_exceptions=True):
                if isinstance(ended, Exception):
                    raise ended  # a fault of the campaign itself

    async def set_clock(self, plan: schedule.ProcessPlan, started_at: float) -> None:
        for step in plan.clock_steps:
            await asyncio.sleep(max(0.0, started_at + step.at - time.monotonic()))
            if self.clock is not None:
                self.clock.step(step.seconds)
                steps = self.customer_run.records.process_clock_steps
                steps.append((time.time(), self.name, step.seconds))

    def alive(self) -> bool:
        return self.process is not None and self.process.alive

    async def pause(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while self.alive() and not self.customer_run.is_over() and (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(0.1, left))

    async def watch_responsiveness(self) -> None:
        """Records a hang if `GET /ready` stays unanswered for too long."""
        silent_s, last_check = 0.0, time.monotonic()
        while self.alive():
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
            record = self.sidecar.process
            assert record is not None
            now = time.monotonic()
            if record.is_stopped or await self.is_ready(needs_endpoint=False):
                silent_s = 0.0
            else:
                silent_s += min(READY_CHECK_INTERVAL_S + READY_TIMEOUT_S, time.monotonic() - last_check)
            last_check = now
            if silent_s > self.customer_run.timeouts.responsive_s:
                record.hangs.append(
                    f"GET /ready had no answer for {self.customer_run.timeouts.responsive_s:g} s"
                )
                return

    async def apply_event(self, plan: schedule.ProcessPlan, event: schedule.Event) -> None:
        process = self.process
        assert process is not None
        if event.kind == "stop":
            await process.stop_for(event.seconds)
        elif event.kind == "upgrade":
            await self.upgrade(process, plan, event)
        elif event.kind == "crowd":
            await self.open_idle_connections(process, event.seconds)
        elif event.kind == "burst of HUP":
            for _ in range(BURST_SIGNALS):
                process.signal(signal.SIGHUP)
        elif event.kind == schedule.REPEATED_MOVES:
            for _ in range(REPEATED_MOVES):
                self.move_discovery(process)
                process.signal(signal.SIGHUP)
                await self.pause(event.seconds)
        else:
            self.write_event_config(process, event)
            process.signal(signal.SIGHUP)

    def move_discovery(self, process: Process) -> None:
        """Writes a configuration with the other address of discovery. The caller sends SIGHUP."""
        assert process.record is not None
        self.address_index = 1 - self.address_index
        self.write_config(customers.encode(self.configuration()))
        process.record.discovery_moves.append((time.time(), self.discovery_addresses[self.address_index]))

    def write_event_config(self, process: Process, event: schedule.Event) -> None:
        """Writes the configuration, or the defect of it, that the next SIGHUP finds."""
        if event.kind == "move discovery":
            self.move_discovery(process)
            return
        config = self.configuration()
        good = customers.encode(config)
        if event.kind == "spoilt reload":
            self.write_config(customers.invalid_config(event.detail, config))
        elif event.kind == "half-written reload":
            self.write_config(good[: len(good) // 3])
        else:
            self.write_config(None)

    async def upgrade(self, old: Process, plan: schedule.ProcessPlan, event: schedule.Event) -> None:
        """Starts a second process that takes over from the first, unless one of them is killed or stopped."""
        assert old.record is not None
        self.write_config(customers.encode(self.configuration()))
        new = Process(self.customer_run.command, self.environ(plan), READ)
        operator_address = self.take_operator_address()
        record = await new.start(self.name, old.record.number, f"upgrade, {event.detail}")
        record.can_hand_over = old.record.can_hand_over
        self.customer_run.records.processes.append(record)
        try:
            if event.detail != "clean":
                await asyncio.sleep(event.seconds)
            if event.detail == "the new one killed":
                new.signal(signal.SIGKILL)
                return
            if event.detail == "the new one held":
                await new.stop_for(HELD_S)
            elif event.detail == "the old one killed":
                old.signal(signal.SIGKILL)
                if self.operators is not None:
                    self.operators.stop_judging()  # the new one may have come too late to hear of them
            if not await self.wait_until_listening(record):
                record.hangs.append("not ready in an upgrade")
                return
            record.ready_at = time.time()
            self.sidecar.process, self.process, new = record, new, old
            self.operator_address = operator_address
            old.signal(signal.SIGTERM)
            if not await old.ends_within(
                self.customer_run.customer.longest_deadline
                + KILL_MARGIN_S
                + self.customer_run.timeouts.exit_s
            ):
                old.record.hangs.append("did not end after its signal")
        finally:
            await new.end()

    async def wait_until_listening(self, record: ProcessRecord) -> bool:
        until = time.monotonic() + self.customer_run.timeouts.ready_s
        while not record.listening and record.ended_at is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return record.listening or record.ended_at is not None

    async def open_idle_connections(self, process: Process, seconds: float) -> None:
        """Opens idle connections, some more than the process may have file descriptors, but at most 300."""
        assert process.record is not None
        begin = time.time()
        process.record.crowded_spans.append((begin, float("inf")))
        connections: list[Connection] = []
        try:
            for _ in range(min(300, self.sockets + 10)):
                try:
                    async with asyncio.timeout(1.0):
                        connections.append(await connect(self.sidecar.address))
                except (OSError, TimeoutError):
                    break
            await self.pause(seconds)
        finally:
            for connection in connections:
                connection.close()
            process.record.crowded_spans[-1] = (begin, time.time() + 1.0)

    async def end_process(self, plan: schedule.ProcessPlan) -> None:
        """Ends the process as planned. At the end of the run SIGTERM replaces an immediate SIGKILL."""
        process = self.process
        assert process is not None and process.record is not None
        record = process.record
        if self.customer_run.is_over():
            await self.customer_run.wait_for_answers(self.sidecar)
        if plan.end == "KILL" and not self.customer_run.is_over() and record.terminated_at is None:
            process.signal(signal.SIGKILL)
        elif record.terminated_at is None:
            names = [] if plan.end in ("KILL", schedule.KILL_AT_EARLIEST) else plan.end.split(" ")
            for name in names or ["TERM"]:
                process.signal(signal.Signals[f"SIG{name}"])
        if plan.end == schedule.KILL_AT_EARLIEST and record.terminated_at is not None:
            await self.kill_at_earliest(process, record)
        if not await process.ends_within(
            self.customer_run.customer.longest_deadline + KILL_MARGIN_S + self.customer_run.timeouts.exit_s
        ):
            record.hangs.append("did not end after its signal")

    async def kill_at_earliest(self, process: Process, record: ProcessRecord) -> None:
        """Kills the process at the earliest time that the documentation allows, if it still runs."""
        assert record.terminated_at is not None
        earliest = (
            record.terminated_at
            + min(self.customer_run.customer.longest_deadline, MAX_COUNTED_DEADLINE_S)
            + KILL_MARGIN_S
        )
        record.kill_due_at = earliest
        while process.alive and (left := earliest - time.time()) > 0:
            await asyncio.sleep(min(0.02, left))
        if process.alive:
            record.killed_after_term = True
            process.signal(signal.SIGKILL)


def reserve_address(host: str) -> socket.socket:
    """A socket that is bound but does not listen, so that the program can and no one else gets the port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, 0))
    return sock
