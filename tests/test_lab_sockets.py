"""The lab with real processes on loopback. The tests check neither timing nor service, so that they hold on a
slow machine too."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from lupinmill import terms as t
from lupinmill.lab import result, scenario
from lupinmill.lab.experiments import play
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.sockets import SocketRun
from lupinmill.lab.stand_ins import ConnectionPool, Exchange, ListeningServer, ServerConnection, report_text
from lupinmill.protocol import reports
from lupinmill.protocol.http import Answer, Request

ROOT = Path(__file__).parents[1]


def short_scenario(**changes) -> Scenario:
    base = {"seconds": 4, "load": {"rate": 15}, "tier": [{"name": "endpoints", "count": 4}]}
    table = scenario.merge_tables(scenario.read_tables(scenario.find("calm")), base)
    return scenario.check(scenario.merge_tables(table, {"sidecars": {"count": 1}, **changes}), "test")


def still_running(pids: list[int]) -> list[int]:
    """Returns the pids that still exist."""
    return [pid for pid in pids if Path(f"/proc/{pid}").exists()]


def children() -> list[int]:
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            command = (folder / "cmdline").read_bytes().split(b"\0")
            parent = int((folder / "stat").read_text().rsplit(")", 1)[1].split()[1])
        except (OSError, IndexError):
            continue
        if command[1:3] == [b"-m", b"lupinmill"] and parent == os.getpid():
            found.append(int(folder.name))
    return found


def test_a_run_on_sockets_answers_every_submission_and_leaves_no_process() -> None:
    events = [
        {"kind": "crash", "at_s": 1, "lasts_s": 1.5, "part": 0.25},
        {"kind": "vanish", "at_s": 1.5, "lasts_s": 2, "part": 0.25},
        {"kind": "spoilt", "at_s": 0, "lasts_s": 4, "part": 1.0, "size": 0.05},
        {"kind": "deploy", "at_s": 2, "lasts_s": 1, "part": 0.3, "size": 0.3, "extra": 0.5},
    ]
    clients = {"idle": 3, "slow": 2}
    found = play(short_scenario(trouble=events, clients=clients), "test", 1, sockets=True)
    assert found.complete and found.driver == "sockets"
    f = found.figures
    assert f.asked > 20 and f.handled > 0 and [b for b in found.broken if b.rule == 2] == []
    assert children() == []


def test_two_tiers_on_sockets_call_through_processes_of_their_own() -> None:
    table = scenario.merge_tables(
        scenario.read_tables(scenario.find("two-tiers")),
        {
            "seconds": 3, "trouble": [], "load": {"rate": 8}, "sidecars": {"count": 1},
            "tier": [{"name": "front", "count": 2}],
        },
    )  # fmt: skip
    run = SocketRun(scenario.check(table, "test"), 1)
    run.play()
    assert len(run.inner.processes) == 2 and run.inner.serial > 10  # calls of the inner tier
    assert sum(second.handled for second in run.metrics.seconds) > 5
    assert run.crashes == []


def test_a_sidecar_that_dies_is_a_crash_in_the_result_and_no_hang() -> None:
    run = SocketRun(short_scenario(), 1)

    def kill(second: int, _) -> None:
        process = run.fronts[0].process
        if second == 1 and process is not None:
            process.kill()  # not through the run

    run.tick = kill
    run.play()
    assert run.void.startswith("a sidecar crashed: s0 ended by itself")
    assert children() == []


def test_sidecars_killed_by_the_scenario_come_back_under_their_address() -> None:
    run = SocketRun(
        short_scenario(trouble=[{"kind": "sidecar_kill", "at_s": 1, "lasts_s": 0.3, "part": 1.0}]), 1
    )
    run.play()
    assert run.fronts[0].start_count == 2 and run.crashes == []


def test_a_starved_sidecar_goes_on_afterwards() -> None:
    event = {"kind": "sidecar_starved", "at_s": 1, "lasts_s": 1, "part": 1.0, "size": 0.2}
    run = SocketRun(short_scenario(trouble=[event]), 1)
    run.play()
    assert run.crashes == [] and children() == []


def test_a_machine_too_slow_voids_the_run() -> None:
    """Guards against a pause of the machine that goes unnoticed because the first event after it is an
    answer on a socket, not a turn of the main loop."""
    run = SocketRun(short_scenario(load={"rate": 100}), 1)
    run.tick = lambda second, metrics: time.sleep(0.4)  # as if another process used the core
    run.play()
    assert run.void.startswith("this machine is too slow")


@pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM])
def test_a_stop_leaves_no_process_and_a_readable_partial_result(
    tmp_path: Path, signum: signal.Signals
) -> None:
    path = tmp_path / "r.json"
    command = [
        sys.executable,
        "-m",
        "lupinmill",
        "lab",
        "run",
        "small-site",
        "--sockets",
        "--json",
        str(path),
    ]
    running = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True, start_new_session=True)
    assert running.stdout is not None
    output = [running.stdout.readline() for _ in range(3)]
    sidecars = [pid for pid in still_running(descendants(running.pid)) if pid != running.pid]
    running.send_signal(signum)
    remaining_output = running.stdout.read()
    assert running.wait(30) == 130, "".join(output) + remaining_output
    found = result.read(path)
    assert not found.complete and found.figures.asked > 0 and "stopped before its end" in remaining_output
    assert sidecars and still_running(sidecars) == []


def descendants(pid: int) -> list[int]:
    listed = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(child) for child in listed]


# The stand-ins.


class Echo(ListeningServer):
    def request_received(self, connection: ServerConnection, request: Request) -> None:
        connection.answer(Answer(200, [], request.target))


async def exchange(pool: ConnectionPool, target: bytes) -> Answer | None:
    done: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
    pool.send(Exchange(Request(b"GET", target, [(b"Host", b"x")]), done.set_result))
    return await asyncio.wait_for(done, 10)


def test_a_listening_stand_refuses_falls_silent_and_comes_back_at_its_address() -> None:
    async def main() -> None:
        echo = Echo()
        await echo.listen()
        address = echo.address
        pool = ConnectionPool(lambda: address)
        try:
            answer = await exchange(pool, b"/a")
            assert answer is not None and answer.body == b"/a"
            echo.refuse_connections()
            assert await exchange(pool, b"/b") is None
            await echo.listen()
            assert echo.address == address
            assert (await exchange(pool, b"/c") or Answer(0)).body == b"/c"
            echo.stop_accepting()
            with pytest.raises(TimeoutError):  # no answer on the open connection, ...
                await asyncio.wait_for(exchange(pool, b"/d"), 0.3)
            host, _, port = address.partition(":")
            with pytest.raises(TimeoutError):  # ... and no new connection is established
                await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.3)
            echo.close()
            await echo.listen()
            assert (await exchange(pool, b"/e") or Answer(0)).body == b"/e"
        finally:
            pool.close()
            echo.close()

    asyncio.run(main())


def test_a_request_on_a_connection_that_was_just_closed_is_sent_once_more() -> None:
    async def main() -> None:
        targets = []

        class Closes(ListeningServer):
            def request_received(self, connection: ServerConnection, request: Request) -> None:
                targets.append(request.target)
                if len(targets) == 2:
                    connection.reset()
                else:
                    connection.answer(Answer(200, [], b"ok"))

        server = Closes()
        await server.listen()
        pool = ConnectionPool(lambda: server.address)
        try:
            assert await exchange(pool, b"/1") is not None
            assert (await exchange(pool, b"/2") or Answer(0)).body == b"ok"
            assert targets == [b"/1", b"/2", b"/2"]
        finally:
            pool.close()
            server.close()

    asyncio.run(main())


class ImpatientServer:
    """Closes a new connection without a byte after `silence_timeout_s`, in a thread of its own, so that it
    goes on while the event loop is blocked. `answers`: whether a request gets an answer or a close."""

    def __init__(self, silence_timeout_s: float, answers: bool) -> None:
        self.silence_timeout_s, self.answers = silence_timeout_s, answers
        self.closed_silent = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self) -> None:
        while True:
            connection, _ = self.sock.accept()
            with connection:
                connection.settimeout(self.silence_timeout_s)
                try:
                    data = connection.recv(65536)
                except TimeoutError:
                    self.closed_silent += 1
                    continue
                if not data:
                    return
                if self.answers:
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")

    def close(self) -> None:
        host, _, port = self.address.partition(":")
        with socket.create_connection((host, int(port))):
            pass  # a connection that ends without a byte ends the thread
        self.thread.join()
        self.sock.close()


async def exchange_while_blocked(
    server: ImpatientServer, pool: ConnectionPool, seconds: float
) -> Answer | None:
    """The event loop is blocked for so long between the connection and its first request."""
    sent = asyncio.create_task(exchange(pool, b"/"))
    await asyncio.sleep(0)  # `sent` starts the task that connects, ...
    await asyncio.sleep(0)  # ... which calls `connect`
    time.sleep(seconds)
    return await sent


@pytest.mark.parametrize("blocked_s", [0.0, 0.5])
def test_a_new_connection_closed_while_this_process_was_held_up_is_no_lost_request(blocked_s: float) -> None:
    """Guards against a run that blames the sidecar for a connection on which the run itself was silent."""
    server = ImpatientServer(0.1, True)

    async def main() -> Answer | None:
        pool = ConnectionPool(lambda: server.address, 0.1)
        try:
            return await exchange_while_blocked(server, pool, blocked_s)
        finally:
            pool.close()

    try:
        assert (asyncio.run(main()) or Answer(0)).body == b"ok"
        assert not blocked_s or server.closed_silent == 1
    finally:
        server.close()


class BlockedPool(ConnectionPool):
    """Blocks the event loop while its first connections are being established."""

    def __init__(self, address: str, silence_timeout_s: float, blocks: int) -> None:
        super().__init__(lambda: address, silence_timeout_s)
        self.blocks = blocks

    async def connect(self, exchange: Exchange) -> None:
        connecting = asyncio.create_task(super().connect(exchange))
        await asyncio.sleep(0)
        if self.blocks:
            self.blocks -= 1
            time.sleep(0.5)
        await connecting


def test_a_run_that_is_held_up_several_times_loses_no_request() -> None:
    """Guards against a run that resends only once, as it may be held up again."""
    server = ImpatientServer(0.1, True)

    async def main() -> Answer | None:
        pool = BlockedPool(server.address, 0.1, 3)
        try:
            return await exchange(pool, b"/")
        finally:
            pool.close()

    try:
        assert (asyncio.run(main()) or Answer(0)).body == b"ok"
        assert server.closed_silent == 3
    finally:
        server.close()


def test_a_request_is_resent_on_a_new_connection() -> None:
    """Guards against resending on another reused connection, which the sidecar may have closed as well."""

    async def main() -> None:
        targets: list[bytes] = []

        class ClosesReused(ListeningServer):
            def request_received(self, connection: ServerConnection, request: Request) -> None:
                if request.target == b"/2" and connection in reused:
                    connection.reset()
                else:
                    reused[connection] = None
                    targets.append(request.target)
                    connection.answer(Answer(200, [], b"ok"))

        reused: dict[ServerConnection, None] = {}
        server = ClosesReused()
        await server.listen()
        pool = ConnectionPool(lambda: server.address)
        try:
            assert all(await asyncio.gather(*(exchange(pool, b"/1") for _ in range(3))))
            assert len(pool.idle) == 3
            assert (await exchange(pool, b"/2") or Answer(0)).body == b"ok"
            assert targets == [b"/1"] * 3 + [b"/2"]
        finally:
            pool.close()
            server.close()

    asyncio.run(main())


def test_a_new_connection_closed_over_a_request_in_time_has_no_answer() -> None:
    server = ImpatientServer(5.0, False)

    async def main() -> Answer | None:
        pool = ConnectionPool(lambda: server.address, 5.0)
        try:
            return await exchange(pool, b"/")
        finally:
            pool.close()

    try:
        assert asyncio.run(main()) is None
    finally:
        server.close()


def test_load_reports_are_written_as_the_program_reads_them() -> None:
    load = t.LoadReport(queued=3.0, held=7.0, busy=0.5, service=12_000.0, rate=40.0)
    assert reports.parse(report_text(load)) == load
    assert report_text(None) == "" and reports.parse(report_text(t.LoadReport(busy=1.0))) == t.LoadReport(
        busy=1.0
    )
