"""Signals in each phase of a start and of a shutdown, sent at that moment to a real process."""

import os
import signal
import socket
import tomllib

import anyio
import orjson
import pytest
from bed import Net, on_network, wanted
from start_bed import LIMIT, ROOT, begin, events, hooked, line_of, running, table
from endpoint_acts import fine, until

from lupinmill.handover.upgrade_socket import UpgradeSocket
from lupinmill.transport.link_frames import frame
from lupinmill.program import sidecar
from lupinmill.transport.listener import Listener

MOMENTS = [
    "import anyio",
    "import h11",
    "import lupinmill.program.process_settings",
    "import lupinmill.program.sidecar",
    "open told.json",
    "import asyncio.unix_events",
    "socket.bind ('127.0.0.1', 0)",
]
NEW = "127.0.0.1:2"  # where discovery has moved to


def moved(folder) -> str:
    """A configuration that replaces the first one, as the platform writes it before it sends SIGHUP."""
    path = folder / "moved.json"
    path.write_bytes(orjson.dumps(table(discovery=NEW)))
    return str(path)


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_signal_to_read_again_neither_ends_a_start_nor_is_missed(tmp_path, moment):
    """Regression: the process ended with -1 before it logged `started`."""
    more = hooked(tmp_path, moment, signal.SIGHUP, MOVED=moved(tmp_path), BALANCER_DISCOVERY="127.0.0.1:1")
    with running(begin(tmp_path, table(), **more)) as process:
        line_of(process, "started")
        assert line_of(process, "reloaded")["discovery"] == NEW
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b""


def test_the_command_that_operators_run_survives_one_before_its_first_line(tmp_path):
    """Regression: the process ended with -1 before it logged `started`. No handler can be set so early."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    more = hooked(
        tmp_path, "python -", signal.SIGHUP, MOVED=moved(tmp_path), BALANCER_DISCOVERY="127.0.0.1:1"
    )
    with running(begin(tmp_path, table(), ["/bin/sh", "-c", run], **more)) as process:
        line_of(process, "started")
        assert line_of(process, "reloaded")["discovery"] == NEW
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=LIMIT)
    assert process.returncode == 0


def test_with_the_same_configuration_that_command_reloads_nothing(tmp_path):
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    with running(begin(tmp_path, table(), ["/bin/sh", "-c", run])) as process:
        line_of(process, "started")
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and not any(event.startswith("reload") for event in events(output))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_signal_to_end_ends_a_start_in_order(tmp_path, moment, number):
    """Regression: exit status -15, and for SIGINT a traceback and -2."""
    with running(begin(tmp_path, table(), **hooked(tmp_path, moment, number))) as process:
        output, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b""
    assert events(output)[-1] == "stopped"


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_late_signal_does_not_become_the_status_of_a_process_that_has_ended(tmp_path, number):
    """Regression: exit status -15 and -1, as the receiver's end had restored the default actions."""
    with running(begin(tmp_path, table(), **hooked(tmp_path, "atexit -", number))) as process:
        line_of(process, "started")
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b"" and events(output)[-1] == "stopped"


@pytest.mark.parametrize("room_made", [False, True])
def test_a_signal_to_end_while_the_other_process_of_an_upgrade_says_nothing(room_made, tmp_path):
    """Regression: exit status -15. The other process says nothing to the request for room, or made room and
    then says nothing to the request for its state."""
    listen = "127.0.0.1:0"
    silent = UpgradeSocket(str(tmp_path), "n1", listen).listen()
    silent.setblocking(True)
    silent.settimeout(LIMIT)
    with silent, running(begin(tmp_path, table(), TMPDIR=str(tmp_path))) as process:
        other, _ = silent.accept()
        with other:
            other.settimeout(LIMIT)
            assert b"prepare" in other.recv(4096)
            if room_made:
                other.sendall(frame(b'{"say":"go"}'))
                assert b"hello" in other.recv(4096)
            # the program waits for the answer now
            process.send_signal(signal.SIGTERM)
            output, errors = process.communicate(timeout=LIMIT)
            assert other.recv(1) == b""  # the program did not report that it serves
    assert process.returncode == 0 and errors == b""
    assert events(output) == ["leaving", "stopped"]


def test_a_signal_to_end_once_clients_can_be_in_the_queue_leaves_none_without_an_answer(monkeypatch):
    clients = []

    def bound(*args) -> Listener:
        """A client sends a request, and the signal comes, before the program has the listener."""
        made = Listener(*args)
        client = socket.create_connection(made.sock.getsockname())
        client.sendall(wanted("s1"))
        clients.append(client)
        os.kill(os.getpid(), signal.SIGTERM)
        return made

    monkeypatch.setattr(sidecar, "Listener", bound)

    def read_all() -> bytes:
        clients[0].settimeout(LIMIT)
        return clients[0].recv(4096)

    async def check(net: Net):
        assert (await anyio.to_thread.run_sync(read_all)).startswith(b"HTTP/1.1 200")
        clients[0].close()
        await until(lambda: any(event == "stopped" for event, _ in net.logs))

    before = signal.signal(
        signal.SIGTERM, lambda *_: None
    )  # a program without its receiver must not end the test run
    try:
        net = on_network(check, fine)
    finally:
        signal.signal(signal.SIGTERM, before)
    assert [event for event, _ in net.logs if event in ("leaving", "stopped")] == ["leaving", "stopped"]
