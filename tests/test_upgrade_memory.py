"""The two processes of an upgrade together hold no more than the memory limit of the sidecar."""

import asyncio
import os
import signal
import socket
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.lowlevel
import orjson
import pytest
from hypothesis import given, settings, strategies
from memory_bed import KIB, Body, Endpoint, one_request, start, table_of
from process_bed import free_address
from test_handover import link_pair

from lupinmill.handover import driver, start_permission
from lupinmill.handover.driver import Handover
from lupinmill.handover.start_permission import NoRoom, request_room
from lupinmill.handover.upgrade_protocol import VERSION, Phase
from lupinmill.handover.upgrade_socket import UpgradeSocket
from lupinmill.limits.memory import CONNECTION_MEMORY, NotEnoughMemory
from lupinmill.limits.upgrade_memory import (
    IDLE_CONNECTION_MEMORY,
    MARGIN,
    MIN_REQUESTS_EACH,
    SharedLimit,
    check_limit,
    least_limit,
    successor_memory,
)
from lupinmill.program import process_memory
from lupinmill.program.process_memory import TRIM_STEP, ProcessMemory
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget
from lupinmill.transport.resident_memory import ResidentMemory

MIB = 1 << 20
NAME = "n1"
CLIENTS = 120  # that send one request at a time
WARM_S = 2.0  # of load before the upgrade
YES_WITHIN_S = 6.0  # from the start of the new process
KILL_AFTER_S = 3.7  # from SIGTERM


# --- one limit, two processes -------------------------------------------------------------------


BYTES = strategies.integers(0, 64 * MIB)


@given(strategies.integers(32 * MIB, 192 * MIB), BYTES, BYTES, BYTES, strategies.integers(0, 500))
@settings(derandomize=True, max_examples=500)
def test_what_both_may_hold_stays_under_the_limit_until_the_old_one_yields(
    limit, shared, private, own, clients
):
    """`private`: held by the old process alone; `own`: by each at its start; `shared`: by both, once."""
    old = SharedLimit(limit, successor=successor_memory(own, clients))
    if shared + private > old.ceiling():
        return  # it has not made room yet, so the new one does not grow
    new = SharedLimit(limit, predecessor=old.private_claim(shared + private, private, 0))
    both = shared + (old.ceiling() - shared) + (new.ceiling() - shared)
    assert both <= limit - MARGIN
    assert new.ceiling() - shared >= own + MIN_REQUESTS_EACH  # the room that was made is enough


@given(strategies.integers(20 * MIB, 64 * MIB), strategies.integers(10 * MIB, 64 * MIB))
@settings(derandomize=True, max_examples=200)
def test_the_least_limit_is_the_least_that_is_not_refused(base, own):
    needed = least_limit(base, own)
    check_limit(needed, base, own)
    with pytest.raises(NotEnoughMemory) as error:
        check_limit(needed - 1, base, own)
    assert error.value.needed == needed


def test_after_it_yielded_a_process_gives_up_what_its_requests_do_not_hold():
    old = SharedLimit(64 * MIB, successor=20 * MIB)
    assert old.requests_limit(30 * MIB, 1 * MIB) == 13 * MIB  # one more, up to 42
    assert old.requests_limit(50 * MIB, 9 * MIB) == 1 * MIB  # eight less
    assert old.requests_limit(60 * MIB, 1 * MIB) == MIN_REQUESTS_EACH
    # it may still grow up to 42, of which it shares 8
    assert old.private_claim(30 * MIB, 22 * MIB, 1 * MIB) == 34 * MIB
    old.yielded = True
    assert old.requests_limit(30 * MIB, 5 * MIB) == 5 * MIB
    assert old.private_claim(30 * MIB, 22 * MIB, 5 * MIB) == 22 * MIB
    assert (
        old.private_claim(30 * MIB, 22 * MIB, 0) == 22 * MIB + MIN_REQUESTS_EACH
    )  # for late bytes of answers


@pytest.fixture
def memory(monkeypatch) -> ProcessMemory:
    """Of a process that has started, and holds no more whatever it does."""
    resident = ResidentMemory(total=22 * MIB, private=15 * MIB)
    monkeypatch.setattr(process_memory, "read_resident_memory", lambda: resident)
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: resident.total)
    memory = ProcessMemory(64 * MIB, DescriptorBudget(1024), BlockPool(), lambda *_, **__: None)
    memory.divide()
    return memory


def test_a_client_that_connects_takes_of_the_room_of_requests_before_the_next_look(memory):
    """Guards against clients that all connect between two looks at what is resident: two upgrades in a row
    took 49,776 kB of 49,152."""
    memory.descriptors.lease(ConnectionKind.CLIENT)
    assert memory.requests.limit == memory.plan.requests  # alone, they have a part of their own
    memory.shared.successor = 28 * MIB
    memory.check()
    before = memory.requests.limit
    assert MIN_REQUESTS_EACH + 2 * CONNECTION_MEMORY < before <= memory.plan.requests
    memory.descriptors.lease(ConnectionKind.CLIENT)
    memory.descriptors.lease(ConnectionKind.ENDPOINT)
    assert memory.requests.limit == before - CONNECTION_MEMORY
    for _ in range(1000):
        memory.descriptors.lease(ConnectionKind.CLIENT)
    assert memory.requests.limit == MIN_REQUESTS_EACH


def test_while_the_limit_is_shared_no_more_clients_may_connect_than_there_is_room_for(memory):
    """Guards against 250 clients that connect while two processes share 48 MB: 49,388 kB of 49,152."""
    for _ in range(20):
        memory.descriptors.lease(ConnectionKind.CLIENT)
    memory.shared.successor = memory.limit - MARGIN - 22 * MIB - 3 * IDLE_CONNECTION_MEMORY
    memory.check()
    leased = [memory.descriptors.lease(ConnectionKind.CLIENT) for _ in range(5)]
    assert leased == [True] * 3 + [False] * 2
    memory.end_upgrade()
    assert memory.descriptors.client_limit == memory.plan.clients


def test_growth_that_no_lease_explains_is_given_back_to_the_system_once(memory, monkeypatch):
    """Guards against free memory that the allocator keeps, where the next process of an upgrade needs it."""
    held, trims = [22 * MIB], []
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: held[0])
    monkeypatch.setattr(process_memory, "release_free_memory", lambda: trims.append(held[0]))
    for resident in (22 * MIB, 22 * MIB + TRIM_STEP, 23 * MIB, 23 * MIB, 24 * MIB, 22 * MIB, 23 * MIB):
        held[0] = resident
        memory.check()
    assert trims == [23 * MIB, 24 * MIB, 23 * MIB]
    assert memory.requests.limit == memory.plan.requests - MIB


def test_an_upgrade_that_begins_ends_the_wait_for_the_next_look(memory):
    """Guards against a first look up to 0.25 s after the request for room: until then requests went by what
    was free at the request."""

    async def main() -> None:
        looks = []
        memory.check = lambda: looks.append(memory.shared.is_shared())
        async with anyio.create_task_group() as group:
            group.start_soon(memory.watch)
            await anyio.sleep(0)
            assert memory.begin_upgrade() is None
            await anyio.lowlevel.checkpoint()
            await anyio.lowlevel.checkpoint()
            assert looks == [True]
            memory.end_upgrade()
            assert looks == [True, False]  # and no more than one
            group.cancel_scope.cancel()

    anyio.run(main)


# --- asking for room ----------------------------------------------------------------------------


@dataclass
class Memory:
    """Of a serving process. `made_room`: what it answers in turn, the last for ever."""

    refusal: str | None = None
    made_room: list[bool] = field(default_factory=lambda: [True])
    calls: list[str] = field(default_factory=list)

    def begin_upgrade(self) -> str | None:
        self.calls.append("begin")
        return self.refusal

    def has_made_room(self) -> bool:
        return self.made_room.pop(0) if len(self.made_room) > 1 else self.made_room[0]

    def end_upgrade(self) -> None:
        self.calls.append("end")


class Asked:
    """What a starting process was told, and what the serving one did."""

    def __init__(self) -> None:
        self.logs: list[dict] = []
        self.answer: socket.socket | str | None = None
        self.phase_then: Phase | None = None


def ask(folder: Path, memory: Memory, name: str = NAME) -> Asked:
    """A process starts, asks for room, and ends."""
    asked = Asked()
    environ = {"TMPDIR": str(folder), "BALANCER_NAME": name, "BALANCER_LISTEN": "a:1"}

    def starting() -> None:
        try:
            asked.answer = request_room(environ, lambda: False)
        except NoRoom as error:
            asked.answer = str(error)

    async def main() -> None:
        serving = Handover(str(folder), NAME, "a:1", lambda event, **f: asked.logs.append(f), memory)
        async with anyio.create_task_group() as group:
            serving.start(group)
            await anyio.sleep(0)
            await anyio.to_thread.run_sync(starting)
            asked.phase_then = serving.protocol.phase
            if isinstance(asked.answer, socket.socket):
                asked.answer.close()
            with anyio.fail_after(5):
                while serving.protocol.phase is not Phase.NO_SUCCESSOR:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    anyio.run(main)
    return asked


@pytest.mark.parametrize("made_room", [[True], [False, False, True]])
def test_a_starting_process_goes_on_when_there_is_room_and_its_death_gives_the_room_back(tmp_path, made_room):
    """Guards against a limit that stays divided after the new process has died before it served."""
    memory = Memory(made_room=made_room)
    asked = ask(tmp_path, memory)
    assert isinstance(asked.answer, socket.socket) and asked.phase_then is Phase.PREPARING
    assert memory.calls == ["begin", "end"]


def test_a_limit_for_one_process_is_told_to_the_next_one_before_it_grows(tmp_path):
    memory = Memory(refusal="limits.memory_mb: too little")
    asked = ask(tmp_path, memory)
    assert asked.answer == "limits.memory_mb: too little"
    assert asked.logs == [{"error": "limits.memory_mb: too little"}]
    assert memory.calls == ["begin", "end"]


def test_room_that_open_requests_do_not_leave_in_time_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(driver, "ROOM_TIMEOUT_S", 0.2)
    memory = Memory(made_room=[False])
    asked = ask(tmp_path, memory)
    assert isinstance(asked.answer, str) and asked.answer.startswith("limits.memory_mb: ")
    assert memory.calls == ["begin", "end"]


def test_a_process_of_an_older_version_that_knows_no_such_request_means_a_start_as_before(tmp_path):
    """It answers `no` and closes the connection."""
    listening = UpgradeSocket(str(tmp_path), NAME, "a:1").listen()
    listening.setblocking(True)

    def older() -> None:
        sock, _ = listening.accept()
        with sock:
            sock.recv(4096)
            sock.sendall(start_permission.frame(b'{"say":"no","why":"this speaks version 1 alone"}'))

    thread = threading.Thread(target=older)
    thread.start()
    environ = {"TMPDIR": str(tmp_path), "BALANCER_NAME": NAME, "BALANCER_LISTEN": "a:1"}
    assert request_room(environ, lambda: False) is None
    thread.join(5)
    listening.close()


@pytest.mark.parametrize("data", [b"", b"\xff\xff\xff\xff", b"\x00\x00\x00\x02no", b"\x00\x00\x00\x02[]"])
def test_nonsense_in_place_of_an_answer_means_a_start_as_before(tmp_path, data):
    listening = UpgradeSocket(str(tmp_path), NAME, "a:1").listen()
    listening.setblocking(True)

    def other() -> None:
        sock, _ = listening.accept()
        with sock:
            sock.recv(4096)
            sock.sendall(data)

    thread = threading.Thread(target=other)
    thread.start()
    environ = {"TMPDIR": str(tmp_path), "BALANCER_NAME": NAME, "BALANCER_LISTEN": "a:1"}
    assert request_room(environ, lambda: False) is None
    thread.join(5)
    listening.close()


def test_a_successor_that_does_not_ask_for_room_still_shares_the_limit():
    """One of an older version: the serving process gives way as soon as it hears of it."""
    memory, logs = Memory(), []

    async def main() -> None:
        here, there = link_pair()
        serving = Handover(None, NAME, "a:1", lambda event, **f: logs.append(f), memory)
        serving.collect_state = lambda: {"say": "state"}
        serving.client_listener = lambda: there.sock
        serving.pending_links = 1
        async with anyio.create_task_group() as group:
            group.start_soon(serving.serve_successor, here)
            hello = {"say": "hello", "version": VERSION, "name": NAME, "listen": "a:1"}
            assert (await there.ask(hello, 2))["say"] == "state"
            assert memory.calls == ["begin"]
            there.close()
        assert memory.calls == ["begin", "end"]

    anyio.run(main)


# --- real processes -----------------------------------------------------------------------------


class Peak:
    """The most that some processes held together, in kB: what several share counts once."""

    def __init__(self) -> None:
        self.pids: list[int] = []
        self.kb = 0
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self) -> "Peak":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.over.set()
        self.thread.join()

    def run(self) -> None:
        while not self.over.wait(0.001):
            private = shared = 0
            for pid in list(self.pids):
                try:
                    fields = Path(f"/proc/{pid}/statm").read_bytes().split()
                except OSError:
                    continue
                if len(fields) > 2:
                    private += int(fields[1]) - int(fields[2])
                    shared = max(shared, int(fields[2]))
            self.kb = max(self.kb, (private + shared) * os.sysconf("SC_PAGE_SIZE") // KIB)


@dataclass(frozen=True)
class Shape:
    """Clients that keep sending one kind of request."""

    endpoint: Callable[[], Endpoint]
    body: Body
    reads_slowly: bool = False


SHAPES = {
    "bodies wait at endpoints": Shape(lambda: Endpoint("silent"), Body(60_000)),
    "bodies come late": Shape(lambda: Endpoint("answers", 100), Body(60_000, late_end=True)),
    "answers are read slowly": Shape(lambda: Endpoint("answers", 64 * KIB), Body(100), reads_slowly=True),
}


class Load:
    def __init__(self, address: str, shape: Shape) -> None:
        self.address, self.shape = address, shape
        self.statuses: Counter[int | None] = Counter()
        self.over = False
        self.tasks = [asyncio.create_task(self.client(number)) for number in range(CLIENTS)]

    async def client(self, number: int) -> None:
        at = 0
        while not self.over:
            at += 1
            name = f"c{number}-{at}"
            status = await one_request(self.address, name, self.shape.body, self.shape.reads_slowly)
            self.statuses[status] += 1
            await asyncio.sleep(0.3 if status == 503 else 0.02)

    async def end(self) -> None:
        self.over = True
        await asyncio.gather(*self.tasks)


class Sidecar:
    """Processes that replace each other."""

    def __init__(self, folder: Path, endpoint: Endpoint, memory_mb: int, peak: Peak) -> None:
        self.folder, self.endpoint, self.memory_mb, self.peak = folder, endpoint, memory_mb, peak
        self.address = free_address()
        self.told: dict[str, object] = {}  # beside what each process is told
        self.all: list[subprocess.Popen] = []

    async def start(self) -> bool:
        """Whether the new process says yes. If not, it has ended."""
        operator = free_address()
        table = table_of(self.endpoint, self.memory_mb, listen=self.address, operator=operator) | self.told
        table["limits"]["sockets"] = 1024
        process = start(self.folder, table, TMPDIR=str(self.folder))
        self.all.append(process)
        self.peak.pids.append(process.pid)
        until = time.monotonic() + YES_WITHIN_S
        while process.poll() is None:
            assert time.monotonic() < until, "neither a yes nor an end"
            if await healthy(operator):
                return True
            await asyncio.sleep(0.02)
        return False

    async def end(self, number: int) -> None:
        process = self.all[number]
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, KILL_AFTER_S)

    def kill(self) -> None:
        for process in self.all:
            process.kill()
            process.communicate()


async def healthy(operator: str) -> bool:
    host, port = operator.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n")
        return b" 200 " in await reader.readline()
    finally:
        writer.close()


@pytest.mark.parametrize("memory_mb", [48, 64])
@pytest.mark.parametrize("shape", list(SHAPES))
def test_both_processes_stay_under_the_limit_over_two_upgrades_in_a_row(shape, memory_mb, tmp_path):
    """Guards against two processes that each lay claim to the whole limit (review/3): the platform kills the
    sidecar with all its open requests."""

    async def main() -> tuple[int, Counter]:
        endpoint = SHAPES[shape].endpoint()
        server = await endpoint.start()
        with Peak() as peak:
            sidecar = Sidecar(tmp_path, endpoint, memory_mb, peak)
            try:
                assert await sidecar.start()
                load = Load(sidecar.address, SHAPES[shape])
                for number in range(2):
                    await asyncio.sleep(WARM_S)
                    assert await sidecar.start(), sidecar.all[-1].communicate()
                    sidecar.all[number].send_signal(signal.SIGHUP)
                    await sidecar.end(number)
                    assert sidecar.all[number].returncode == 0
                await load.end()
            finally:
                sidecar.kill()
        server.close()
        return peak.kb, load.statuses

    peak_kb, statuses = asyncio.run(main())
    assert peak_kb <= memory_mb * KIB
    # Each request has its one final answer: handled, broken off, or a rejection that says when to come back.
    assert set(statuses) <= {200, 502, 503}, statuses


@pytest.mark.parametrize("shape", list(SHAPES))
def test_a_limit_for_one_process_refuses_the_next_one_and_loses_nothing(shape, tmp_path):
    """At 32 MB two idle processes would be over the limit: the new one ends before it grows."""

    async def main() -> tuple[int, Counter, tuple[bytes, bytes]]:
        endpoint = SHAPES[shape].endpoint()
        server = await endpoint.start()
        with Peak() as peak:
            sidecar = Sidecar(tmp_path, endpoint, 32, peak)
            try:
                assert await sidecar.start()
                load = Load(sidecar.address, SHAPES[shape])
                await asyncio.sleep(WARM_S)
                assert not await sidecar.start()
                told = await asyncio.to_thread(sidecar.all[1].communicate)
                await asyncio.sleep(0.5)
                await load.end()
                assert sidecar.all[0].poll() is None and sidecar.all[1].returncode == 2
            finally:
                sidecar.kill()
        server.close()
        return peak.kb, load.statuses, told

    peak_kb, statuses, (output, error) = asyncio.run(main())
    assert peak_kb <= 32 * KIB
    assert set(statuses) <= {200, 502, 503}, statuses
    assert output == b"" and error.startswith(b"lupinmill: limits.memory_mb: 32 ") and error.count(b"\n") == 1


def test_the_start_log_says_which_limit_an_upgrade_needs(tmp_path):
    endpoint = Endpoint("silent")
    endpoint.address = "127.0.0.1:9"
    process = start(tmp_path, table_of(endpoint, 32))
    lines = [orjson.loads(process.stdout.readline()) for _ in range(2)]
    process.kill()
    process.communicate()
    assert [line["event"] for line in lines] == ["started", "memory"]
    assert lines[1]["upgrade_limit"] > 32 * MIB
