"""Relays and sources on loopback: what they serve, save and reject, and which clients are disconnected."""

import errno
import gc
import random
import socket
import tracemalloc
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import orjson
import pytest
from click.testing import CliRunner
from config_bed import FLEET, NO_VERSION, SECOND, service_settings

from lupinmill.cli import main
from lupinmill.cli.config import summarize
from lupinmill.config import model, server, stable_store, wire
from lupinmill.config.driver import ConfigWatch
from lupinmill.config.follower import Follower
from lupinmill.config.model import Key, Reply, Status, Version
from lupinmill.config.relay import Relay, StartError
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.watcher_table import LatencyHistogram
from lupinmill.protocol.http import Answer, ClientSide, Request
from lupinmill.transport.buffers import BlockPool

# --- whole relays and sources on loopback --------------------------------------------------------

LIMIT = 60  # seconds per test


def source_file(folder, **more) -> RelayFile:
    return RelayFile("source", "127.0.0.1:0", str(folder / "keep" / "source"), "127.0.0.1:0", **more)


class RunningRelay:
    def __init__(self, group, relay: Relay, logs) -> None:
        self.group, self.relay, self.logs = group, relay, logs

    async def operate(self, method: str, path: str, body=None) -> tuple[int, str]:
        data = b"" if body is None else orjson.dumps(body)
        answer = await call(
            self.relay.admin_server.address, Request(method.encode(), path.encode(), [(b"Host", b"x")], data)
        )
        return answer.status, answer.body.decode().strip()

    async def push(self, entries, **more) -> tuple[int, str]:
        return await self.operate("POST", "/v1/push", {"entries": wire.encode_rows(entries), **more})

    def logged(self, event: str) -> list[dict]:
        return [fields for name, fields in self.logs if name == event]


@asynccontextmanager
async def running(file: RelayFile):
    logs = []
    async with anyio.create_task_group() as group:
        relay = Relay(file, lambda event, **fields: logs.append((event, fields)))
        try:
            await group.start(relay.run)
            yield RunningRelay(group, relay, logs)
        finally:
            group.cancel_scope.cancel()
    assert not [one for one in logs if one[0] == "task_failed"], logs
    for part in (relay.watch_server, relay.admin_server):
        assert part is None or part.store.leased == 0 and set(part.descriptors.open.values()) == {0}
    assert (
        not relay.watch_server.watchers
        and relay.watch_server.reply_budget.leased == 0
        and not relay.watch_server.sending
    )


async def call(address: str, request: Request, stream=None) -> Answer:
    """One request, on a new connection or on the given one."""
    if stream is None:
        host, port = address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            return await call(address, request, stream)
    side = ClientSide(wire.MAX_REPLY_BYTES, wire.MAX_REPLY_BYTES)
    await stream.send(side.ask(request))
    while (answer := side.next_answer()) is None:
        side.feed(await stream.receive())
    return answer


def watch(since=NO_VERSION, wait_ms: int = 20_000, scopes=("fleet",), name: str = "x") -> Request:
    return wire.encode_watch(since, wait_ms, tuple(scopes), Status(name, since))


async def wait_until(what) -> None:
    while not what():
        await anyio.sleep(0.01)


def on_loopback(check) -> None:
    async def main() -> None:
        with anyio.fail_after(LIMIT):
            await check()

    anyio.run(main)


def test_a_source_serves_what_is_pushed_and_keeps_it_over_its_restart(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            assert run.relay.history.version.index == 1
            held = run.relay.history.version
            answers = []

            async def wait() -> None:
                answers.append(wire.decode_reply(await call(run.relay.watch_server.address, watch(held))))

            run.group.start_soon(wait)
            await wait_until(lambda: run.relay.fanout.waiting)
            status, text = await run.push({FLEET: {"instances": 2}})
            assert status == 200 and orjson.loads(text)["index"] == 2
            await wait_until(lambda: answers)
            assert answers[0].entries == {FLEET: {"instances": 2}} and answers[0].spread_ms == 2_000
            assert stable_store.load(tmp_path / "keep" / "source") == (
                run.relay.history.version,
                {FLEET: {"instances": 2}},
            )
            assert (await run.push({FLEET: {"instances": 2}})) == (status, text)  # changes nothing
            with pytest.raises(StartError, match="locked by another process"):
                Relay(source_file(tmp_path), print)
            version = run.relay.history.version
        async with running(source_file(tmp_path)) as run:
            assert run.relay.history.version == version
            reply = wire.decode_reply(await call(run.relay.watch_server.address, watch()))
            assert reply.is_snapshot and reply.entries == {FLEET: {"instances": 2}}

    on_loopback(check)


def test_a_push_is_refused_whole_with_its_key_or_where_another_came_between(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            bad = {service_settings("a"): {"instances": 1}, service_settings("b"): {"family": "meshed"}}
            status, text = await run.push(bad)
            assert status == 400 and text.startswith("service/b settings: settings.family: ")
            assert run.relay.history.version.index == 1 and not run.relay.history.entries
            assert (await run.push({FLEET: {"instances": 1}}, if_index=1))[0] == 200
            status, text = await run.push({FLEET: {"instances": 2}}, if_index=1)
            assert (status, text.partition(";")[0]) == (409, "the version is 2, not 1")
            for body, key in (
                ({"entries": 1}, "entries"),
                ({"entries": [], "extra": 1}, "'extra'"),
                ({"entries": []}, "entries: none"),
                ({"entries": [{"scope": "moon", "kind": "settings", "value": {}}]}, "scope"),
                ({"entries": [{"scope": "fleet", "kind": "moon", "value": {}}]}, "moon"),
                (
                    {"entries": [{"scope": "fleet", "kind": "settings", "value": {}}], "if_index": "1"},
                    "if_index",
                ),
                ([], "the body"),
            ):
                status, text = await run.operate("POST", "/v1/push", body)
                assert status == 400 and key in text and "\n" not in text, text
            raw = Request(b"POST", b"/v1/push", [(b"Host", b"x")], b"{")
            assert (await call(run.relay.admin_server.address, raw)).status == 400
            huge = Request(b"POST", b"/v1/push", [(b"Host", b"x"), (b"Content-Length", b"99999999")])
            host, port = run.relay.admin_server.address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b"POST /v1/push HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
                assert (await stream.receive()).startswith(b"HTTP/1.1 413 ")
            for method, path, expected in (
                ("GET", "/v1/push", 405),
                ("POST", "/v1/status", 405),
                ("GET", "/v2", 404),
                ("POST", "/v1/rollback", 400),
                ("POST", "/v1/rollback?to=x", 400),
                ("POST", "/v1/rollback?to=1&to=2", 400),
                ("POST", "/v1/restore?to=1", 400),
                ("POST", "/v1/rollback?to=40", 404),
            ):
                assert (await run.operate(method, path))[0] == expected, path
            assert run.relay.history.entries == {FLEET: {"instances": 1}} and huge

    on_loopback(check)


def test_a_rollback_is_a_new_version_with_the_old_content(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            contents = {1: {}}
            for changes in (
                {FLEET: {"instances": 1}},
                {service_settings("s"): {"instances": 1}},
                {FLEET: None, service_settings("s"): {"instances": 2}},
            ):
                assert (await run.push(changes))[0] == 200
                contents[run.relay.history.version.index] = dict(run.relay.history.entries)
            for to in (2, 4, 3, 1):
                before = run.relay.history.version.index
                assert (await run.operate("POST", f"/v1/rollback?to={to}"))[0] == 200
                assert run.relay.history.version.index == before + 1
                assert run.relay.history.entries == contents[to]
            assert (await run.operate("POST", "/v1/rollback?to=1&if_index=3"))[0] == 409
            assert stable_store.load(tmp_path / "keep" / "source") == (run.relay.history.version, {})

    on_loopback(check)


def test_a_source_from_an_older_backup_takes_no_push_until_it_is_restored_beyond_what_is_about(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            assert (await run.push({FLEET: {"instances": 1}}))[0] == 200
            ahead = Version(9, "made-later")
            answer = wire.decode_reply(await call(run.relay.watch_server.address, watch(ahead, 10)))
            assert answer.version.index == 2 and not answer.entries
            status, text = await run.push({FLEET: {"instances": 2}})
            assert status == 409 and "version 9" in text and "lupinmill config restore" in text
            assert orjson.loads((await run.operate("GET", "/v1/status"))[1])["ahead"] == 9
            assert (await run.operate("POST", "/v1/restore"))[0] == 200
            version = run.relay.history.version
            assert version.index == 10 and run.relay.history.entries == {FLEET: {"instances": 1}}
            answer = wire.decode_reply(await call(run.relay.watch_server.address, watch(ahead, 10)))
            assert (
                answer.is_snapshot
                and answer.version == version
                and answer.entries == {FLEET: {"instances": 1}}
            )
            assert (await run.push({FLEET: {"instances": 2}}))[0] == 200
            assert stable_store.load(tmp_path / "keep" / "source")[0].index == 11

    on_loopback(check)


def test_a_source_whose_disk_is_full_publishes_nothing_and_goes_on_when_it_has_room(tmp_path, monkeypatch):
    full = []

    def write(path, data) -> None:
        if full:
            raise OSError(errno.ENOSPC, "No space left on device")
        whole_write(path, data)

    whole_write = stable_store.write_synced
    monkeypatch.setattr(stable_store, "write_synced", write)

    async def check():
        async with running(source_file(tmp_path)) as run:
            assert (await run.push({FLEET: {"instances": 1}}))[0] == 200
            before = run.relay.history.version, dict(run.relay.history.entries)
            full.append(True)
            for path in ("/v1/rollback?to=1", "/v1/restore"):
                assert (await run.operate("POST", path))[0] == 507
            status, text = await run.push({FLEET: {"instances": 2}})
            assert status == 507 and "No space left" in text
            assert (run.relay.history.version, run.relay.history.entries) == before
            assert stable_store.load(tmp_path / "keep" / "source") == before
            reply = wire.decode_reply(await call(run.relay.watch_server.address, watch()))
            assert (reply.version, reply.entries) == before
            full.clear()
            assert (await run.push({FLEET: {"instances": 3}}))[0] == 200
            assert run.relay.history.version.index == before[0].index + 1
            assert (await run.operate("POST", "/v1/rollback?to=1"))[0] == 200

    on_loopback(check)


def test_a_source_does_not_start_with_a_file_that_is_cut_or_damaged(tmp_path):
    file = source_file(tmp_path)

    async def write():
        async with running(file) as run:
            assert (await run.push({FLEET: {"instances": 3}}))[0] == 200

    on_loopback(write)
    path = tmp_path / "keep" / "source"
    data = path.read_bytes()

    async def check():
        for at in range(len(data)):
            for spoilt in (data[:at], data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]):
                path.write_bytes(spoilt)
                with pytest.raises(StartError, match="^keep: "):
                    Relay(file, print)
        assert path.read_bytes() == spoilt  # left unchanged
        path.write_bytes(data)
        async with running(file) as run:
            assert run.relay.history.version.index == 2

    on_loopback(check)


def test_calls_that_can_not_be_read_get_a_clear_answer(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            address = run.relay.watch_server.address
            for target, status in (
                (b"/v1/config", 400),
                (b"/v1/config?name=x&index=-1", 400),
                (b"/v1/config?name=x&wait=1&wait=2", 400),
                (b"/v1/config?name=x&scope=moon", 400),
                (b"/v1/config?name=x&else=1", 400),
                (b"/v1/other", 404),
            ):
                answer = await call(address, Request(b"GET", target, [(b"Host", b"x")]))
                assert answer.status == status and b"\n" not in answer.body.rstrip(), target
            assert (
                await call(address, Request(b"POST", b"/v1/config?name=x", [(b"Host", b"x")]))
            ).status == 405
            host, port = address.split(":")
            for junk in (b"\x00\x01\r\n\r\n", b"GET nothing\r\n\r\n", b"GET /" + b"x" * 40_000):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(junk)
                    assert (await stream.receive()).startswith(b"HTTP/1.1 400 ")
            assert run.relay.fanout.answered == 0

    on_loopback(check)


def test_a_connection_is_kept_from_watch_to_watch_and_a_watcher_that_closes_is_forgotten(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            assert (await run.push({FLEET: {"instances": 1}}))[0] == 200
            address = run.relay.watch_server.address
            host, port = address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                reply = wire.decode_reply(await call(address, watch(), stream))
                reply = wire.decode_reply(await call(address, watch(reply.version, 10), stream))
                assert not reply.entries and not reply.is_snapshot
                await stream.send(ClientSide().ask(watch(reply.version)))
                await wait_until(lambda: run.relay.fanout.waiting)
            await wait_until(lambda: not run.relay.fanout.waiting and not run.relay.watch_server.watchers)
            await wait_until(lambda: set(run.relay.watch_server.descriptors.open.values()) == {0})

    on_loopback(check)


def test_one_watcher_too_many_is_told_to_come_again(tmp_path):
    async def check():
        async with running(source_file(tmp_path, most_watchers=3, sidecars=900, calls_per_s=200)) as run:
            held = run.relay.history.version
            host, port = run.relay.watch_server.address.split(":")
            streams = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
            for at, stream in enumerate(streams):
                await stream.send(ClientSide().ask(watch(held, name=f"x{at}")))
            await wait_until(lambda: len(run.relay.fanout.waiting) == 3)
            answer = await call(run.relay.watch_server.address, watch(held))
            assert answer.status == 503 and answer.header(b"retry-after") == "5"
            for stream in streams:
                await stream.aclose()

    on_loopback(check)


def test_slow_readers_hold_one_copy_are_cut_off_and_hold_nobody_back(tmp_path, monkeypatch):
    monkeypatch.setattr(server, "WRITE_TIMEOUT_S", 1.0)
    readers = 8

    async def check():
        async with running(source_file(tmp_path, memory_mb=32)) as run:
            entries = {service_settings(f"s{at}"): {"kinds": ["y" * 60_000]} for at in range(100)}  # 6 MB
            assert (await run.push(entries))[0] == 200
            watches = run.relay.watch_server
            host, port = watches.address.split(":")
            slow = [await anyio.connect_tcp(host, int(port)) for _ in range(readers)]
            for at, stream in enumerate(slow):
                await stream.send(ClientSide().ask(watch(scopes=(), name=f"slow{at}")))
            await wait_until(lambda: sum(watches.sending.values()) == readers)
            # One shared copy, and one block per connection.
            assert len(watches.sending) == 1 and watches.reply_budget.leased < 7 * 2**20
            assert watches.store.leased <= readers + 1
            reply = wire.decode_reply(
                await call(watches.address, watch(scopes=("service/s1",), name="quick"))
            )
            assert set(reply.entries) == {service_settings("s1")}
            await wait_until(lambda: watches.cut_off == readers)
            await wait_until(lambda: not watches.sending and watches.reply_budget.leased == 0)
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                while True:
                    await slow[0].receive(2**20)
            for stream in slow:
                await stream.aclose()

    on_loopback(check)


def test_a_watcher_that_waits_holds_little_memory_and_leaves_none_behind(tmp_path):
    """Python allocations only: a task, a socket and a parser, but no buffers."""
    count = 200

    async def check():
        async with running(source_file(tmp_path)) as run:
            held, watches = run.relay.history.version, run.relay.watch_server
            host, port = watches.address.split(":")
            tracemalloc.start()
            try:
                before = tracemalloc.get_traced_memory()[0]
                socks = []
                for at in range(count):
                    sock = socket.create_connection((host, int(port)))
                    socks.append(sock)
                    sock.sendall(ClientSide().ask(watch(held, 60_000, name=f"x{at}")))
                    await wait_until(lambda: len(run.relay.fanout.waiting) == len(socks))
                gc.collect()
                each = (tracemalloc.get_traced_memory()[0] - before) / count
                assert watches.store.leased == 0 and each < 16_000, each
                for sock in socks:
                    sock.close()
                await wait_until(
                    lambda: not watches.watchers and set(watches.descriptors.open.values()) == {0}
                )
                gc.collect()
                # The last status of each watcher is retained for a while.
                assert (tracemalloc.get_traced_memory()[0] - before) / count < 4_000
            finally:
                tracemalloc.stop()

    on_loopback(check)


def test_answers_on_their_way_are_bounded_and_who_finds_no_room_is_sent_away(tmp_path):
    async def check():
        async with running(source_file(tmp_path)) as run:
            assert (await run.push({FLEET: {"kinds": ["y" * 50_000]}}))[0] == 200
            run.relay.watch_server.reply_budget.limit = 40_000
            answer = await call(run.relay.watch_server.address, watch())
            assert answer.status == 503 and answer.header(b"retry-after") == "2"
            assert (await call(run.relay.watch_server.address, watch(scopes=("zone/z",)))).status == 200

    on_loopback(check)


def test_at_its_end_a_relay_sends_its_watchers_away_one_after_the_other(tmp_path):
    async def check():
        async with running(source_file(tmp_path, sidecars=100, calls_per_s=100)) as run:
            held, ends = run.relay.history.version, []

            async def wait(name: str) -> None:
                answer = await call(run.relay.watch_server.address, watch(held, name=name))
                assert answer.status == 503
                ends.append(anyio.current_time())

            for at in range(20):
                run.group.start_soon(wait, f"x{at}")
            await wait_until(lambda: len(run.relay.fanout.waiting) == 20)
            await run.relay.watch_server.drain(1.0, random.Random(5))
            await wait_until(lambda: len(ends) == 20)
            assert len({round(at, 3) for at in ends}) > 10  # spread out over time
            with pytest.raises(OSError):
                await anyio.connect_tcp("127.0.0.1", int(run.relay.watch_server.address.split(":")[1]))

    on_loopback(check)


# --- relays behind a source and behind faulty relays ----------------------------------------------


def relay_config(folder, *upstreams: str, name: str = "relay", **more) -> RelayFile:
    return RelayFile(
        name, "127.0.0.1:0", str(folder / "keep" / name), "127.0.0.1:0", upstreams=list(upstreams), **more
    )


@pytest.fixture
def fast_reconnect(monkeypatch):
    """Relays reconnect within 100 ms; nothing else is faster."""
    monkeypatch.setattr("lupinmill.config.relay.UPSTREAM_SPREAD_US", 100_000)


def test_a_version_goes_from_the_source_through_two_relays_to_a_watcher(tmp_path, fast_reconnect):
    async def check():
        async with running(source_file(tmp_path, calls_per_s=4_000)) as source:
            first = relay_config(tmp_path, source.relay.watch_server.address, name="first", calls_per_s=4_000)
            async with running(first) as first:
                # Otherwise the first version of the source may be among those that "second" acknowledges.
                await wait_until(lambda: first.relay.history.version == source.relay.history.version)
                second = relay_config(tmp_path, first.relay.watch_server.address, name="second")
                async with running(second) as second:
                    await wait_until(lambda: second.relay.history.version == source.relay.history.version)
                    held = second.relay.history.version
                    stream = await anyio.connect_tcp(*address_of(second))
                    for at in range(5):
                        assert (await source.push({FLEET: {"instances": at + 1}}))[0] == 200
                        reply = wire.decode_reply(await call("", watch(held), stream))
                        assert reply.entries == {FLEET: {"instances": at + 1}} and reply.since == held
                        held = reply.version
                    await stream.aclose()
                    assert held == source.relay.history.version
                    standing = first.relay.fanout.watchers
                    await wait_until(lambda: standing.rows["second"].status.in_force == held)
                    assert standing.relay_times.count == 5
                    rows = orjson.loads((await first.operate("GET", "/v1/status"))[1])["watchers"]
                    assert [(row["name"], row["relay"], row["index"]) for row in rows] == [
                        ("second", True, held.index)
                    ]
                    assert (await second.push({FLEET: {"instances": 1}}))[0] == 404
                    # The relays have saved it too.
                    path = tmp_path / "keep" / "second"
                    await wait_until(lambda: (stable_store.load(path) or (None,))[0] == held)
                    assert stable_store.load(path)[1] == {FLEET: {"instances": 5}}

    on_loopback(check)


def address_of(run: RunningRelay) -> tuple[str, int]:
    host, port = run.relay.watch_server.address.split(":")
    return host, int(port)


def test_a_relay_starts_and_serves_from_what_it_kept_with_its_source_away(tmp_path, fast_reconnect):
    async def check():
        async with running(source_file(tmp_path)) as source:
            assert (await source.push({FLEET: {"instances": 7}}))[0] == 200
            upstream = source.relay.watch_server.address
            async with running(relay_config(tmp_path, upstream)) as run:
                await wait_until(lambda: run.relay.store.index == 2)
        async with running(relay_config(tmp_path, upstream)) as run:
            assert run.relay.history.version.index == 2
            reply = wire.decode_reply(await call(run.relay.watch_server.address, watch()))
            assert reply.is_snapshot and reply.entries == {FLEET: {"instances": 7}}

    on_loopback(check)


def test_a_relay_with_a_damaged_file_says_so_once_and_begins_with_nothing(tmp_path, fast_reconnect):
    async def check():
        async with running(source_file(tmp_path)) as source:
            assert (await source.push({FLEET: {"instances": 7}}))[0] == 200
            upstream = source.relay.watch_server.address
            async with running(relay_config(tmp_path, upstream)) as run:
                await wait_until(lambda: run.relay.store.index == 2)
            path = tmp_path / "keep" / "relay"
            data = path.read_bytes()
            for spoilt in (b"", data[:4], data[:-1], data[:20] + b"x" + data[21:]):
                path.write_bytes(spoilt)
                async with running(relay_config(tmp_path, upstream)) as run:
                    assert len(run.logged("keep_damaged")) == 1
                    await wait_until(lambda: run.relay.history.version == source.relay.history.version)
                    await wait_until(lambda: run.relay.store.index == 2)
                assert path.read_bytes() == data

    on_loopback(check)


def test_a_relay_whose_disk_is_full_serves_on_from_memory_and_says_so_once(
    tmp_path, fast_reconnect, monkeypatch
):
    full, whole_write = [True], stable_store.write_synced

    def write(path, data) -> None:
        if full and path.name == ".relay.new":
            raise OSError(errno.ENOSPC, "No space left on device")
        whole_write(path, data)

    monkeypatch.setattr(stable_store, "write_synced", write)
    monkeypatch.setattr("lupinmill.config.relay.SAVE_RETRY_S", 0.05)

    async def check():
        async with running(source_file(tmp_path)) as source:
            async with running(relay_config(tmp_path, source.relay.watch_server.address)) as run:
                for at in range(3):
                    assert (await source.push({FLEET: {"instances": at + 1}}))[0] == 200
                    await wait_until(lambda: run.relay.history.version == source.relay.history.version)
                    reply = wire.decode_reply(await call(run.relay.watch_server.address, watch()))
                    assert reply.entries == {FLEET: {"instances": at + 1}}
                await wait_until(lambda: run.relay.store.failing)
                shown = orjson.loads((await run.operate("GET", "/v1/status"))[1])
                assert shown["keep_failing"] == "No space left on device" and shown["kept"] == 0
                assert len(run.logged("keep_failed")) == 1 and not (tmp_path / "keep" / "relay").exists()
                full.clear()
                await wait_until(lambda: run.relay.store.index == source.relay.history.version.index)
                assert len(run.logged("keep_failed")) == len(run.logged("keep_again")) == 1

    on_loopback(check)


def test_a_relay_moves_on_from_an_upstream_that_dies_and_hears_of_what_came_meanwhile(
    tmp_path, fast_reconnect
):
    async def check():
        async with AsyncExitStack() as stack:

            async def start(file) -> RunningRelay:
                return await stack.enter_async_context(running(file))

            async def run_dying(*, task_status) -> None:
                relay = Relay(relay_config(tmp_path, top, name="a", calls_per_s=4_000), lambda *a, **k: None)
                with anyio.CancelScope() as scope:
                    task_status.started((relay, scope))
                    await relay.run()

            source = await start(source_file(tmp_path, calls_per_s=4_000))
            top = source.relay.watch_server.address
            b = await start(relay_config(tmp_path, top, name="b", calls_per_s=4_000))
            dying, scope = await b.group.start(run_dying)
            upstreams = dying.watch_server.address, b.relay.watch_server.address
            downstream_relays = [
                await start(relay_config(tmp_path, *upstreams, name=f"low{at}")) for at in range(3)
            ]
            for downstream in downstream_relays:
                downstream.relay.upstream_watch.follower.relays = list(upstreams)
            await wait_until(lambda: len(dying.fanout.waiting) == 3)
            scope.cancel()
            assert (await source.push({FLEET: {"instances": 9}}))[0] == 200
            await wait_until(
                lambda: all(downstream.relay.history.version.index == 2 for downstream in downstream_relays)
            )
            assert {downstream.relay.upstream_watch.relay for downstream in downstream_relays} == {
                upstreams[1]
            }

    on_loopback(check)


def response_head(length: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


def encoded_response(version: Version, entries, whole=True, since=NO_VERSION, **more) -> bytes:
    body = wire.encode_reply(Reply(version, whole, entries, since))
    if more:
        body = orjson.dumps(orjson.loads(body) | more)
    return response_head(len(body)) + body


FAULTY_REPLIES = {
    "garbage": [b"\x16\x03\x01 what is this\r\n\r\n"],
    "no json": [response_head(9) + b'{"index":'],
    "no table": [response_head(2) + b"[]"],
    "a wrong type": [encoded_response(Version(50, "l"), {FLEET: {"lie": 1}}, index="50")],
    "a scope that is none": [encoded_response(Version(50, "l"), {Key("moon", "settings"): {"lie": 1}})],
    "changes from nowhere": [
        encoded_response(Version(50, "l"), {FLEET: {"lie": 1}}, False, Version(49, "q"))
    ],
    "cut in the middle": [encoded_response(Version(50, "l"), {FLEET: {"lie": 1}})[:-9]],
    "too long by its length": [response_head(10**10)],
    "endless": [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]
    + [b"10000\r\n" + b"x" * 65_536 + b"\r\n"] * 400,
    "an old version": [encoded_response(Version(1, "l"), {FLEET: {"lie": 1}})],
    "another of the same index": [encoded_response(Version(2, "l"), {FLEET: {"lie": 1}})],
    "none at all": [encoded_response(NO_VERSION, {})],
    "an error": [b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"],
    "a closed door": [],
}


@pytest.mark.parametrize("fault", FAULTY_REPLIES)
def test_a_lying_relay_is_dropped_bounded_and_another_asked(tmp_path, fast_reconnect, fault):
    """The relay under test already has the version and asks the faulty upstream first."""

    async def check():
        async with running(source_file(tmp_path, calls_per_s=4_000)) as source:
            assert (await source.push({FLEET: {"instances": 1}}))[0] == 200
            async with running(relay_config(tmp_path, source.relay.watch_server.address)) as run:
                await wait_until(lambda: run.relay.store.index == 2)
            asked, sent = [], []

            async def serve(stream) -> None:
                async with stream:
                    asked.append(await stream.receive())
                    try:
                        for piece in FAULTY_REPLIES[fault]:
                            await stream.send(piece)
                            sent.append(len(piece))
                        await anyio.sleep(0.05)
                    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                        pass

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            faulty = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                file = relay_config(tmp_path, faulty, source.relay.watch_server.address)
                async with running(file) as run:
                    run.relay.upstream_watch.follower.relays = [faulty, source.relay.watch_server.address]
                    await wait_until(lambda: asked)
                    assert (await source.push({FLEET: {"instances": 2}}))[0] == 200
                    await wait_until(lambda: run.relay.history.version == source.relay.history.version)
                    assert run.relay.history.entries == {FLEET: {"instances": 2}}
                    assert (
                        sum(sent) <= wire.MAX_REPLY_BYTES + 2**22
                    ), "it was read beyond what an answer may have"
                    text = " ".join(one["text"] for one in run.logged("config"))
                    assert faulty in text, text
                group.cancel_scope.cancel()
            await listener.aclose()

    on_loopback(check)


def test_a_relay_killed_in_the_middle_of_its_answer_leaves_nothing_half_in_force(tmp_path, fast_reconnect):
    """A real reply, truncated at many offsets: the client holds either the old version or the new one,
    completely."""

    async def check():
        async with running(source_file(tmp_path, calls_per_s=4_000)) as source:
            assert (await source.push({FLEET: {"instances": 1}}))[0] == 200
            first = source.relay.history.version, dict(source.relay.history.entries)
            changes = {FLEET: {"instances": 2}, service_settings("s"): {"instances": 3}}
            assert (await source.push(changes))[0] == 200
            second = source.relay.history.version, changes
            whole = encoded_response(second[0], changes, False, first[0])
            rng, cuts = random.Random(41), []
            cuts = sorted(rng.sample(range(1, len(whole)), 25))
            served = []

            async def serve(stream) -> None:
                async with stream:
                    await stream.receive()
                    if cuts:
                        cut = cuts.pop()
                        await stream.send(whole[:cut])
                        served.append(cut)

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            dying = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                seen = []

                def take(version, entries):
                    seen.append((version, entries))

                follower = Follower("x", (dying,), 5, 20 * SECOND, 1, *first)
                driver = ConfigWatch(follower, (), BlockPool(), take, lambda *a, **k: None)
                group.start_soon(driver.run)
                while cuts:
                    follower.next_call_at = 0  # retries immediately
                    follower.relay_states[dying].behind_until = follower.relay_states[dying].penalty_us = 0
                    driver.notify(model.TimerFired())
                    await anyio.sleep(0.005)
                    assert (follower.version, follower.entries) == first and not seen
                whole_again = source.relay.watch_server.address
                driver.change_relays((whole_again,))
                await wait_until(lambda: seen)
                assert seen == [second] and follower.in_force == second[0]
                group.cancel_scope.cancel()
            await listener.aclose()
            assert len(served) == 25

    on_loopback(check)


# --- commands ------------------------------------------------------------------------------------


def command(*arguments: str) -> tuple[int, str]:
    """The exit code and the printed text."""
    result = CliRunner().invoke(main.root, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_commands_say_what_is_wrong_in_one_line_and_exit_2(tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_text('name = "r"\nlisten = "127.0.0.1:7500"\nkeep = "/k"\nupstreem = []\n')
    code, text = command("relay", str(bad))
    assert code == 2 and text.count("\n") == 1
    assert "upstreem: unknown; the nearest known key is upstreams" in text
    assert command("relay", str(tmp_path / "none.toml"))[0] == 2
    bad.write_text("[servise.tender.settings]\n")
    code, text = command("config", "push", str(bad), "--at", "127.0.0.1:9")
    assert code == 2 and text.count("\n") == 1 and "servise: must be one of fleet, region, zone" in text
    bad.write_text("[fleet.settings]\ninstances = 1\n")
    for arguments in (
        ("push", str(bad)), ("status",), ("show",), ("rollback", "3"), ("restore",),
    ):  # fmt: skip
        code, text = command("config", *arguments, "--at", "127.0.0.1:9")
        assert code == 2 and text.count("\n") == 1, (arguments, text)
    assert command("relay", "--check", "deploy/relay.toml")[0] == 0


def test_commands_push_show_roll_back_and_sum_up(tmp_path, fast_reconnect):
    toml, table = tmp_path / "a.toml", tmp_path / "b.json"
    toml.write_text("[fleet.settings]\ninstances = 3\n[service.tender.settings.limits]\nmost-launches = 2\n")
    table.write_text('{"service": {"tender": {"settings": null}}}')

    async def check():
        async with running(source_file(tmp_path, calls_per_s=4_000)) as source:
            async with running(relay_config(tmp_path, source.relay.watch_server.address)) as relay:
                top, downstream = source.relay.admin_server.address, relay.relay.admin_server.address
                first = source.relay.history.version
                await wait_until(lambda: relay.relay.history.version == first)

                async def config(*arguments: str) -> tuple[int, str]:
                    return await anyio.to_thread.run_sync(lambda: command("config", *arguments))

                assert await config("push", str(toml), "--at", top) == (0, "version 2\n")
                assert await config("push", str(table), "--at", top, "--if-index", "1") == (
                    1, "lupinmill: the version is 2, not 1; look at what came between, then push again\n",
                )  # fmt: skip
                assert await config("push", str(table), "--at", top, "--if-index", "2") == (0, "version 3\n")
                assert await config("push", str(table), "--at", downstream) == (
                    1, "lupinmill: this is a relay; a source takes that\n",
                )  # fmt: skip
                await wait_until(lambda: relay.relay.history.version.index == 3)
                assert (await config("show", "--at", downstream))[1] == (
                    'version 3, 1 entries\nfleet settings {"instances":3}\n'
                )
                assert await config("rollback", "2", "--at", top) == (0, "version 4\n")
                await wait_until(lambda: relay.relay.history.version.index == 4)
                code, text = await config("show", "--at", downstream, "--scope", "service/tender", "--json")
                assert code == 0 and orjson.loads(text)["entries"] == [
                    {"scope": "service/tender", "kind": "settings", "value": {"limits": {"most-launches": 2}}}
                ]
                held = relay.relay.history.version
                for name, since in (("good", held), ("late", first)):
                    await call(relay.relay.watch_server.address, watch(since, 10, name=name))
                code, text = await config("status", "--at", top, "--at", downstream)
                assert code == 1 and text.startswith("version 4: in force at 1 of 2 sidecars\n")
                assert "\n  late lags: at 1 of 4, heard " in text and "relay relay: version 4, " in text
                await call(relay.relay.watch_server.address, watch(held, 10, name="late"))
                code, text = await config("status", "--at", top, "--at", downstream)
                assert code == 0 and text.startswith("version 4: in force at 2 of 2 sidecars\n"), text
                code, text = await config("status", "--at", top, "--at", "127.0.0.1:9")
                assert code == 2 and "\nno answer: 127.0.0.1:9" in text
                assert (await config("restore", "--at", top)) == (0, "version 5\n")

    on_loopback(check)


def test_of_several_relays_each_sidecar_counts_once_as_the_one_says_that_heard_it_last():
    def row(name: str, index: int, heard: float, **more) -> dict:
        usual = {"relay": False, "due": index, "refused": 0, "why": "", "away": False}
        return {"name": name, "index": index, "heard_s": heard, **usual, **more}

    def of(name: str, index: int, rows: list[dict], longest: int) -> dict:
        times = LatencyHistogram()
        times.add(longest)
        return {
            "name": name, "role": "relay", "index": index, "ahead": 0, "kept": index, "keep_failing": "",
            "waiting": 0, "cut_off": 0, "turned_away": 0, "in_force": times.show(),
            "at_relays": LatencyHistogram().show(), "watchers": rows,
        }  # fmt: skip

    one = of("one", 7, [row("a", 7, 0.1), row("b", 6, 90.0, away=True), row("c", 5, 1, due=7)], 5_000)
    two = of("two", 7, [row("b", 7, 0.2), row("d", 6, 1, refused=7, why="key: no"), row("one", 7, 0)], 9_000)
    old = of("old", 6, [row("e", 6, 0.3)], 1_000)
    found = summarize([one, two, old])
    states = ("in_force", "lags", "refuses", "away")
    names = {state: [row["name"] for row in found[state]] for state in states}
    assert names == {"in_force": ["a", "b"], "lags": ["c", "e"], "refuses": ["d"], "away": []}
    assert found["of"] == 5 and found["index"] == 7 and found["time_in_force"]["last_ms"] == 9.0
    assert found["time_in_force"]["count"] == 3
