"""Starts, reloads and shutdowns with something broken: descriptors, directories, the log, the other process
of an upgrade, or a defect in one part."""

import errno
import os
import signal
import socket
import subprocess
import sys
import threading

import anyio
import orjson
import pytest
from bed import Net, on_network, settings, wanted
from start_bed import LIMIT, ROOT, begin, environment, line_of, running, table, wait_for
from process_bed import free_address
from endpoint_acts import fine, until

from lupinmill.handover import driver
from lupinmill.handover.driver import Handover
from lupinmill.handover.upgrade_socket import UpgradeSocket
from lupinmill.program import shutdown, sidecar
from lupinmill.program.logs import MAX_QUEUED_BYTES, Logs
from lupinmill.program.sidecar import Program
from lupinmill.transport.descriptors import ConnectionKind
from lupinmill.transport.link import Link
from lupinmill.transport.listener import Listener

# --- descriptors 0 to 2 -------------------------------------------------------------------------


def answers(address: str) -> bool:
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), 1) as client:
            client.settimeout(LIMIT)
            client.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return client.recv(4096).startswith(b"HTTP/1.1 503 ")  # there is no endpoint
    except (ConnectionRefusedError, ConnectionResetError):
        return False


@pytest.mark.parametrize("closed", ["<&-", ">&-", "2>&-", "<&- >&- 2>&-"])
def test_a_closed_standard_stream_never_becomes_a_socket_that_the_log_is_written_to(tmp_path, closed):
    """Regression: `/proc/PID/fd/1` was a socket, or a descriptor of the event loop."""
    listen = free_address()
    command = ["/bin/sh", "-c", f'exec "{sys.executable}" -m lupinmill {closed}']
    with running(begin(tmp_path, table(listen=listen), command)) as process:
        wait_for(lambda: answers(listen) or process.poll() is not None, "ready")
        assert process.poll() is None
        for number, sign in enumerate(("<&-", " >&-", "2>&-")):
            place = os.readlink(f"/proc/{process.pid}/fd/{number}")
            assert place.startswith("pipe:") or place == "/dev/null"
            assert place == "/dev/null" or sign not in f" {closed}"
        process.send_signal(signal.SIGTERM)
        assert process.wait(LIMIT) == 0


def test_a_bad_start_with_nobody_to_tell_it_to_is_still_exit_2(tmp_path):
    command = ["/bin/sh", "-c", f'exec "{sys.executable}" -m lupinmill 2>&-']
    with running(begin(tmp_path, table(listen="nowhere"), command)) as process:
        output, _ = process.communicate(timeout=LIMIT)
    assert process.returncode == 2 and output == b""


@pytest.mark.parametrize("where", ["/dev/full", "a stuck pipe", "a closed pipe"])
def test_a_log_that_can_not_be_written_costs_nothing_else(tmp_path, where):
    listen = free_address()
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(table(listen=listen)))
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    if where == "a stuck pipe":
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writer, b"x" * 4096)
    elif where == "a closed pipe":
        os.close(reader)
    else:
        os.close(writer)
        writer = os.open(where, os.O_WRONLY)
    process = subprocess.Popen(
        [sys.executable, "-m", "lupinmill"], cwd=ROOT, env=environment(path), stdout=writer
    )
    os.close(writer)
    with running(process):
        wait_for(lambda: answers(listen) or process.poll() is not None, "ready")
        process.send_signal(signal.SIGTERM)
        assert process.wait(LIMIT) == 0


class Unshown:
    def __str__(self) -> str:
        raise RuntimeError("not to be shown")

    __repr__ = __str__


@pytest.mark.parametrize(
    "value, expected",
    [
        ("a\ud800b", "a\\ud800b"),
        (2**70, str(2**70)),
        (Unshown(), "a Unshown that can't be shown"),
        ({1: 2}, "{1: 2}"),
    ],
)
def test_a_log_line_never_raises_and_says_what_it_can(value, expected):
    """Regression: `TypeError: str is not valid UTF-8: surrogates not allowed`, for an exception's text."""
    reader, writer = os.pipe()
    logs = Logs("n1", writer)
    logs.event("mode", text=value, other="kept")
    logs.event("next")
    logs.close()
    os.close(writer)
    with os.fdopen(reader, "rb") as lines:
        first, second = (orjson.loads(line) for line in lines)
    assert (first["event"], first["text"], first["other"], second["event"]) == (
        "mode",
        expected,
        "kept",
        "next",
    )


def test_a_log_on_a_full_pipe_that_does_not_block_loses_no_part_of_a_line():
    """Regression: a line was cut in the middle, and the next one joined to it."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    logs, got = Logs("n1", writer), []
    for at in range(500):
        logs.event("mode", text="x" * 1000, number=at)

    def read() -> None:
        with os.fdopen(reader, "rb") as lines:
            got.extend(lines)

    thread = threading.Thread(target=read)
    thread.start()
    wait_for(lambda: logs.lines.qsize() == 0, "written")
    logs.close()
    os.close(writer)
    thread.join(LIMIT)
    assert [orjson.loads(line)["number"] for line in got] == list(range(500))


def test_a_log_that_nobody_reads_holds_a_bounded_number_of_bytes():
    """Guards against a queue that is bounded by lines alone, whatever their length."""
    reader, writer = os.pipe()
    logs = Logs("n1", writer)
    for _ in range(100):
        logs.event("mode", text="x" * 50_000)
    waiting = logs.queued_bytes - logs.written_bytes
    assert logs.dropped and waiting < MAX_QUEUED_BYTES + 51_000
    os.close(reader)
    wait_for(lambda: logs.lines.qsize() == 0, "discarded")
    logs.close()
    os.close(writer)


# --- directories, names, limits -----------------------------------------------------------------


@pytest.mark.parametrize("kind", ["absent", "a file", "no UTF-8", "overlong"])
def test_a_directory_for_upgrades_that_can_not_be_used_costs_upgrades_alone(tmp_path, kind):
    place = tmp_path / "place"
    if kind == "a file":
        place.write_bytes(b"")
    found = os.fsencode(place) + {"no UTF-8": b"\xff", "overlong": b"/x" * 300}.get(kind, b"")
    more = {"TMPDIR": os.fsdecode(found), "BALANCER_NAME": os.fsdecode(b"n\xff1")}
    with running(begin(tmp_path, table(), **more)) as process:
        assert line_of(process, "started")["sidecar"] == "n\\udcff1"
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b""


def test_few_descriptors_at_the_start_are_all_that_is_used(tmp_path):
    listen = free_address()
    command = ["/bin/sh", "-c", f'ulimit -n 20; exec "{sys.executable}" -m lupinmill']
    with running(begin(tmp_path, table(listen=listen, limits={"sockets": 4096}), command)) as process:
        line_of(process, "started")
        crowd = [socket.create_connection(("127.0.0.1", int(listen.split(":")[1]))) for _ in range(40)]
        for client in crowd:
            client.close()
        wait_for(lambda: answers(listen), "ready")
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b""


def test_an_address_that_is_still_held_is_asked_for_again(monkeypatch):
    """Regression: the start ended with `OSError: [Errno 98]`."""
    tries = []

    def held(*args) -> Listener:
        tries.append(args)
        if len(tries) < 3:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        return Listener(*args)

    monkeypatch.setattr(sidecar, "Listener", held)

    async def check(net: Net):
        assert (await net.ask(wanted("s1"))).status == 200

    on_network(check, fine)
    assert len(tries) == 3


# --- the other process of an upgrade ------------------------------------------------------------


@pytest.mark.parametrize(
    "said", [None, b"\x00\x00\x00\x40{", b"\x00\x00\x00\x02{}", "no descriptor", "no socket", "no listener"]
)
def test_another_process_that_dies_or_tells_nonsense_means_an_ordinary_start(tmp_path, said, monkeypatch):
    """Regression: a file, and a socket that does not listen, were used as the listening socket."""
    monkeypatch.setattr(driver, "STATE_TIMEOUT_S", 5.0)
    logs = []

    async def other(listening: socket.socket) -> None:
        await anyio.wait_readable(listening)
        sock, _ = listening.accept()
        sock.setblocking(False)
        link = Link(sock)
        await link.receive_message()
        if isinstance(said, bytes):
            sock.send(said)
        elif said is not None:
            passed = None
            if said == "no socket":
                passed = os.open(os.devnull, os.O_RDONLY)
            elif said == "no listener":
                passed = os.dup(socket.socket().detach())
            link.send({"say": "state"}, passed)
            with anyio.move_on_after(1):
                await link.write()
        link.close()

    async def main() -> None:
        with anyio.fail_after(LIMIT):
            async with anyio.create_task_group() as group:
                found = Handover(str(tmp_path), "n1", "a:1", lambda event, **f: logs.append(event))
                with UpgradeSocket(str(tmp_path), "n1", "a:1").listen() as listening:
                    group.start_soon(other, listening)
                    assert await found.request_state() is None
                group.cancel_scope.cancel()

    anyio.run(main)
    assert logs == ["handover_refused"]


STATE = {
    "say": "state",
    "version": 1,
    "held": 0,
    "learned": {},
    "list": {"index": 1, "snapshot": True, "endpoints": []},
    "out": [],
    "mode": ["serving", 0],
}


@pytest.mark.parametrize(
    "bad",
    [{"held": 1e400}, {"held": -1}, {"out": [["e0", 1e400]]}, {"mode": ["serving", 1e400]}, {"mode": 5}],
)
def test_a_state_with_no_figures_is_refused_and_not_a_crash(bad):
    """Regression: `OverflowError: cannot convert float infinity to integer`."""
    from lupinmill.admin.operator_overrides import OperatorOverrides
    from lupinmill.handover import handover_state
    from lupinmill.transport.clocks import ClockReading

    with pytest.raises(handover_state.InvalidHandoverState):
        handover_state.decode(STATE | bad, OperatorOverrides(), ClockReading.take())


@pytest.mark.parametrize(
    "kept",
    [
        {"cap": "x", "gauges": {"view": [1, 2]}},
        {"cap": float("nan"), "began": float("inf")},
        {"kinds": 5},
        {"taken": [[float("inf"), 1]]},
        {"endpoints": {"e0": {"answers": float("inf")}}},
        {"endpoints": {"e0": {"cold_since": "yesterday", "mode": "aside"}}},
        {"endpoints": {"e0": 5}},
    ],
)
def test_learned_figures_that_are_none_cost_the_learned_alone(kept):
    """Regression: `OverflowError` out of the start, and defects in each later step."""
    from lupinmill.handover.handover_state import HandoverState
    from lupinmill.protocol import lists

    load_initial_list = Program.load_initial_list

    async def check(net: Net):
        assert (await net.ask(wanted("s1"))).status == 200
        assert not [fields for event, fields in net.logs if event == "module_failed"]

    def recalled(self, taken) -> None:
        known = lists.parse(net_table["known"])
        load_initial_list(self, HandoverState(known, {"beside": False} | kept, 0, 0))

    net_table: dict = {}

    class Recalling(Net):
        async def start(self, group) -> None:
            await super().start(group)
            net_table.update(self.table)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Program, "load_initial_list", recalled)
        on_network(check, fine, net_of=Recalling)


# --- a defect in one part -----------------------------------------------------------------------


def raising(*_: object, **__: object) -> None:
    raise RuntimeError("a defect")


@pytest.mark.parametrize("part", ["read_again", "discovery.move", "log line"])
def test_a_defect_in_a_reload_costs_that_reload(part, monkeypatch):
    """Regression: an exception group out of `Program.run`."""

    async def check(net: Net):
        moved = net.program.settings
        if part == "discovery.move":
            from dataclasses import replace

            net.program.read_settings = lambda: replace(moved, discovery="127.0.0.1:2")
            net.program.discovery.move = raising
        elif part == "read_again":
            net.program.read_settings = raising
        else:
            monkeypatch.setattr(sidecar, "changes_needing_restart", raising)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: any(event == "reload_refused" for event, _ in net.logs))
        assert (await net.ask(wanted("s1"))).status == 200

    net = on_network(check, fine)
    (refused,) = [fields for event, fields in net.logs if event == "reload_refused"]
    assert refused["error"] == "RuntimeError: a defect"


@pytest.mark.parametrize("task", ["accept_successors", "follow_predecessor"])
def test_a_defect_in_a_task_of_the_handover_costs_the_handover_alone(task, tmp_path, monkeypatch):
    """Regression: an exception group out of `Program.run`."""

    async def fails(self, *_: object) -> None:
        raise RuntimeError("a defect")

    monkeypatch.setattr(Handover, task, fails)
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    class InDirectory(Net):
        async def start_program(self, group) -> None:
            create = sidecar.Handover.__init__

            def in_directory(self, _, *more) -> None:
                create(self, str(tmp_path), *more)
                if task == "follow_predecessor":
                    ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
                    ends[0].setblocking(False)
                    self.predecessor = Link(ends[0])

            monkeypatch.setattr(sidecar.Handover, "__init__", in_directory)
            await super().start_program(group)

    async def check(net: Net):
        await until(lambda: any(event == "task_failed" for event, _ in net.logs))
        assert (await net.ask(wanted("s1"))).status == 200

    on_network(check, fine, net_of=InDirectory)


def test_a_defect_of_the_known_list_at_the_start_costs_that_list(monkeypatch):
    from lupinmill.routing.directory import EndpointDirectory

    update, calls = EndpointDirectory.update, []

    def fails_once(self, *args) -> None:
        calls.append(args)
        if len(calls) == 1:
            raise RuntimeError("a defect")
        update(self, *args)

    monkeypatch.setattr(EndpointDirectory, "update", fails_once)

    async def check(net: Net):
        await until(lambda: net.program.directory.states)
        assert (await net.ask(wanted("s1"))).status == 200

    net = on_network(check, fine)
    assert [fields["error"] for event, fields in net.logs if event == "known_refused"] == [
        "RuntimeError: a defect"
    ]


def test_a_defect_in_what_is_told_to_peers_does_not_keep_the_program_from_its_end():
    class Peers:
        leave = rejoin = staticmethod(raising)

    async def check(net: Net):
        net.program.peers = Peers()
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: any(event == "stopped" for event, _ in net.logs))

    net = on_network(check, fine)
    assert any(event == "task_failed" and f["task"] == "mode_changed" for event, f in net.logs)


def test_an_end_waits_for_no_request_beyond_the_longest_deadline(monkeypatch):
    """Guards against a program that never ends: `leave` waits for a count that a defect has left too high."""
    monkeypatch.setattr(shutdown, "MAX_DEADLINE_S", 0.5)
    monkeypatch.setattr(shutdown, "OPEN_REQUEST_GRACE_S", 0.1)

    async def check(net: Net):
        program = net.program
        program.client_handler.in_progress += 1  # what a defect would leave behind
        program.descriptors.open[ConnectionKind.CLIENT] += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: any(event == "stopped" for event, _ in net.logs))
        program.descriptors.open[ConnectionKind.CLIENT] -= 1

    workloads = [one | {"contract-time-s": 0.05, "hard-limit-s": 0.1} for one in settings()["workloads"]]
    net = on_network(check, fine, workloads=workloads)
    assert any(event == "task_failed" and f["task"] == "leave" for event, f in net.logs)
