"""Idle clients exhaust the descriptors of a process, at the limit of the system itself: discovery can still
be reached on new connections."""

import contextlib
import os
import resource
import subprocess
import sys

import anyio
import orjson
import pytest
from bed import Net, wanted
from endpoint_acts import fine, until

SOCKETS = 64  # descriptor limit in the settings and of the system
CROWD = 300  # clients that connect, send half a request and stay


def limited() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


def start(tmp_path, table) -> subprocess.Popen:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(table))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    return subprocess.Popen(
        [sys.executable, "-m", "lupinmill"],
        env=environ | {"BALANCER_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        preexec_fn=limited,
    )


async def stay(net: Net, begun: list) -> None:
    """One idle client: reconnects as soon as it is closed."""
    host, port = net.address.split(":")
    while True:
        with contextlib.suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                begun.append(1)
                await stream.send(wanted("half")[:30])
                while True:
                    await stream.receive()
        await anyio.sleep(0.01)


@pytest.mark.parametrize("trouble", ["reset", "silent"])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_crowd_of_idle_clients_keeps_no_descriptor_from_discovery(tmp_path, mode, trouble):
    net = Net([fine], sockets=SOCKETS, discovery=mode)

    async def check() -> None:
        await until(lambda: any(b"index=" in one.target for one in net.discovery.seen))
        async with anyio.create_task_group() as crowd:
            begun: list[int] = []
            for _ in range(CROWD):
                crowd.start_soon(stay, net, begun)
            await until(lambda: len(begun) >= CROWD)
            net.discovery.fault = trouble
            net.discovery.change(net.discovery.rows[0])
            before = len(net.discovery.seen)
            await until(lambda: len(net.discovery.seen) >= before + 2)  # new connections, all of which fail
            net.discovery.fault = None
            net.discovery.change(net.discovery.rows[0], weight=2.0)
            known = b"index=%d&" % net.discovery.index
            await until(lambda: known in net.discovery.seen[-1].target)
            crowd.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(40):
            async with anyio.create_task_group() as group:
                await net.start(group)
                process = start(tmp_path, net.table)
                net.address = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))["listen"]
                try:
                    await check()
                    assert process.poll() is None
                finally:
                    process.kill()
                    out, err = await anyio.to_thread.run_sync(process.communicate)
                group.cancel_scope.cancel()
        events = [orjson.loads(line) for line in out.splitlines() if line.endswith(b"}")]
        assert err == b"" and not [one for one in events if one["event"] == "task_failed"]
        assert b"Too many open files" not in out

    anyio.run(main)
