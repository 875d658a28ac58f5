"""The program as a process: signals, its configuration file, its exit status."""

import itertools
import re
import signal
import socket
import time
from pathlib import Path

import anyio
import orjson
import pytest
from bed import DiscoveryStand, Net, settings, wanted
from endpoint_acts import always, until
from start_bed import start

from lupinmill.protocol.http import Answer

# 16 MiB for the program and 144 KiB for each of 250 clients
PEAK_LIMIT_KB = (16 << 10) + 250 * 144


@pytest.mark.parametrize("clients", [True, False])
def test_sigterm_serves_kept_connections_to_near_the_end_and_answers_all_that_was_taken(tmp_path, clients):
    """Regression: a kept connection was closed 0.6 s after the signal, while its client had no other."""
    net = Net([always(Answer(200, [], b"late"), 0.25)])

    async def keep_asking(began: float) -> float:
        """Sends requests on one connection until it is closed. Returns when that was."""
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            for at in itertools.count():
                await stream.send(wanted(f"s{at}", deadline="1.0"))
                try:
                    got = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return time.monotonic() - began
                assert got.startswith(b"HTTP/1.1 200 ")
                if b"Connection: close" in got:
                    return time.monotonic() - began
                await anyio.sleep(0.02)

    async def check(process) -> None:
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if clients:
            await anyio.sleep(0.3)
            assert (await net.ask(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")).status == 503
            assert (await net.ask(wanted("late"))).status == 200
            assert 1.0 < await keep_asking(began) < 1.7
        assert await anyio.to_thread.run_sync(process.wait) == 0
        assert time.monotonic() - began < (1.7 if clients else 1.0)

    async def main() -> None:
        with anyio.fail_after(15):
            async with anyio.create_task_group() as group:
                await net.start(group)
                process = start(tmp_path, net.table)
                net.address = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))["listen"]
                try:
                    await check(process)
                finally:
                    process.kill()
                    out, err = process.communicate()
                assert err == b"" and orjson.loads(out.splitlines()[-1])["event"] == "stopped"
                group.cancel_scope.cancel()

    anyio.run(main)


def test_sighup_moves_to_the_discovery_that_the_file_names_and_a_bad_file_changes_nothing(tmp_path):
    """Regression: exit status -1, as the program had no handler and SIGHUP ended it."""
    net, other = Net([always(Answer(200, [], b"late"), 0.3)], discovery="push"), DiscoveryStand()
    path = tmp_path / "told.json"

    def reload(process, table) -> dict:
        path.write_bytes(table if isinstance(table, bytes) else orjson.dumps(table))
        process.send_signal(signal.SIGHUP)
        while not (line := orjson.loads(process.stdout.readline()))["event"].startswith("reload"):
            pass
        return line

    async def check(process) -> None:
        for bad in (
            b"{",
            net.table | {"discovery": "nowhere"},
            net.table | {"listen": "127.0.0.1:1"},
            net.table | {"settings": settings(tier=1)},
            net.table | {"limits": {"sockets": 99}},
        ):
            line = await anyio.to_thread.run_sync(reload, process, bad)
            assert line["event"] == "reload_refused"
        assert not other.seen
        moved = net.table | {"discovery": other.address, "seed": "22", "known": None}
        assert (await anyio.to_thread.run_sync(reload, process, moved))["event"] == "reloaded"
        other.change(other.rows[0], status="DRAINING")
        await until(lambda: len(other.seen) > 1)
        assert other.seen[0].target == b"/v1/endpoints" and b"index=" in other.seen[1].target
        assert (await net.ask(wanted("s2", deadline="0.2"))).status == 503

    async def main() -> None:
        with anyio.fail_after(15):
            async with anyio.create_task_group() as group:
                await net.start(group)
                await group.start(other.run)
                other.rows = [dict(row) for row in net.discovery.rows]
                process = start(tmp_path, net.table)
                net.address = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))["listen"]
                try:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(check, process)
                        assert (await net.ask(wanted("s1"))).status == 200
                    process.send_signal(signal.SIGTERM)
                    await anyio.sleep(0.1)
                    process.send_signal(signal.SIGHUP)
                    assert await anyio.to_thread.run_sync(process.wait) == 0
                finally:
                    process.kill()
                    assert process.communicate()[1] == b""
                group.cancel_scope.cancel()

    anyio.run(main)


def test_memory_is_bounded_with_many_large_submissions_at_a_silent_endpoint(tmp_path):
    net = Net([always("silent")])

    async def main():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                await net.start(group)
                process = start(tmp_path, net.table)
                try:
                    line = await anyio.to_thread.run_sync(process.stdout.readline)
                    net.address = orjson.loads(line)["listen"]
                    async with anyio.create_task_group() as inner:
                        for at in range(250):
                            body = b"z" * 65_536 if at % 2 else b"z" * 65_535
                            inner.start_soon(net.ask, wanted(f"s{at}", deadline="2.0", body=body))
                    status = Path(f"/proc/{process.pid}/status").read_text()
                    peak = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])
                    assert 16_000 < peak < PEAK_LIMIT_KB
                finally:
                    process.kill()  # in any case: later tests look for processes left behind
                    process.communicate()
                group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    "table, said",
    [
        (b"{", "told.json"),
        (b"[]", "not a JSON object"),
        ({}, "missing 'settings'"),
        ({"listen": "127.0.0.1:0", "discovery": "nowhere", "settings": settings()}, "nowhere"),
        ({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"tier": "x"}}, "'x'"),
        ({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {}}, "no workloads"),
    ],
)
def test_a_bad_start_is_one_plain_line_and_exit_2(tmp_path, table, said):
    process = start(tmp_path, table)
    out, err = process.communicate(timeout=10)
    assert process.returncode == 2 and out == b""
    assert err.count(b"\n") == 1 and said in err.decode() and b"Traceback" not in err


def test_an_address_in_use_is_one_plain_line_and_exit_2(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = "127.0.0.1:%d" % taken.getsockname()[1]
        table = {"listen": address, "discovery": "127.0.0.1:1", "settings": settings()}
        process = start(tmp_path, table)
        out, err = process.communicate(timeout=10)
    assert process.returncode == 2 and err == f"lupinmill: {address}: Address already in use\n".encode()
