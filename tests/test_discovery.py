"""The watch on discovery: truncated, stalled and outdated answers, and the admin status."""

import itertools

import anyio
import orjson
import pytest
from bed import Net, deployment, on_network
from test_admin import admin_request, send_admin_request
from endpoint_acts import fine, until

from lupinmill import terms as t
from lupinmill.discovery import driver, watcher
from lupinmill.discovery.calls import Call, CallEnd, CallKind
from lupinmill.discovery.driver import DiscoveryClient
from lupinmill.protocol import lists
from lupinmill.protocol.http import Answer, Garbled
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Unconnected

ROWS = [
    {
        "name": f"e{at}",
        "address": f"127.0.0.1:{at + 1}",
        "zone": "z",
        "type": "k",
        "group": at,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }
    for at, status in enumerate(("SERVING", "DRAINING"))
]
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE_FORMATS = {
    "length": lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
    "chunked": lambda body: CHUNKED
    + b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body[:50]), body[:50], len(body[50:]), body[50:]),
    "close": lambda body: b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
}


class RecordingDirectory:
    """Stand-in for the directory: records updates, and provides the known version."""

    def __init__(self) -> None:
        self.updates, self.failures, self.states, self.index = [], 0, {"e0": t.EndpointStatus.READY}, 7

    def update(self, known, kind) -> None:
        self.updates.append((known.index, kind, [entry.endpoint for entry in known.entries]))

    def fetch_failed(self) -> None:
        self.failures += 1


@pytest.mark.parametrize("form", list(RESPONSE_FORMATS))
def test_a_list_cut_at_any_byte_changes_nothing(form):
    body = orjson.dumps({"index": 8, "snapshot": False, "endpoints": ROWS})
    data = RESPONSE_FORMATS[form](body)
    cut_lengths = itertools.count()
    directory = RecordingDirectory()

    async def serve(stream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(data[: next(cut_lengths)])

    async def main() -> None:
        with anyio.fail_after(30):
            async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
                address = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
                async with anyio.create_task_group() as group:
                    group.start_soon(listener.serve, serve)
                    client = DiscoveryClient(
                        address, deployment(), directory, BlockPool(), lambda *_, **__: None
                    )
                    watch_call = Call(1, CallKind.WATCH, address, 0, 0.0, 1.0, 7, 1.0)
                    for _ in range(len(data)):
                        with pytest.raises((OSError, Garbled, Unconnected)):
                            lists.parse_response(await client.exchange(watch_call))
                        client.close_spare()
                    entries = lists.parse_response(await client.exchange(watch_call)).entries
                    assert [entry.endpoint for entry in entries] == ["e0", "e1"]
                    client.close_spare()
                    group.cancel_scope.cancel()

    anyio.run(main)
    assert not directory.updates


def test_a_list_that_stops_in_the_middle_is_asked_for_anew_long_before_a_silent_one(monkeypatch):
    """The stalled call is not cancelled: the rest of its answer may still arrive."""
    monkeypatch.setattr(driver, "watch_wait", lambda instances: 30.0)
    monkeypatch.setattr(watcher, "PARALLEL_CALL_INTERVAL_S", 0.1)
    calls = []

    async def act(request):
        calls.append(request)
        return (
            "unfinished"
            if len(calls) == 1
            else Answer(200, [], orjson.dumps({"index": 9, "snapshot": True, "endpoints": []}))
        )

    async def check(net: Net):
        net.discovery.act = act
        await until(lambda: len(calls) > 1 and net.program.directory.index == 9)
        assert b"index=" in calls[0].target and b"index=" not in calls[1].target
        assert not [fields for event, fields in net.logs if event == "watch_failed"]

    on_network(check, fine, discovery="push")


def test_a_discovery_that_comes_back_older_is_asked_for_the_whole_list():
    """Guards against applying changes from an older version as new ones, which loses everything in
    between."""

    async def check(net: Net):
        await until(lambda: net.discovery.seen)
        net.discovery.change(net.discovery.rows[0], status="DRAINING")
        await until(lambda: not net.program.directory.accepts_attempts("e0"))
        before, rows = net.program.directory.index, [dict(row) for row in net.discovery.rows]
        rows[0]["status"] = "SERVING"

        async def older(request):
            whole = b"index=" not in request.target
            return Answer(
                200,
                [],
                orjson.dumps({"index": before - 1, "snapshot": whole, "endpoints": rows if whole else []}),
            )

        net.discovery.act = older
        await until(lambda: net.program.directory.accepts_attempts("e0"))
        assert net.program.directory.index == before - 1
        assert [event for event, _ in net.logs if event == "watch_older"] == ["watch_older"]

    on_network(check, fine, fine, discovery="push")


@pytest.mark.parametrize("instances, least, most", [(2, 0.01, 0.2), (9, 0.1, 0.7), (400, 0.4, 2.6)])
def test_the_next_call_comes_sooner_the_fewer_sidecars_there_are_and_later_each_time(instances, least, most):
    from bed import SECOND, Bed

    spans = []
    for seed in range(30):
        bed = Bed(deployment(seed=seed, instances=instances, poll_discovery=True, poll_interval=10 * SECOND))
        bed.run(12 * SECOND, 10_000)
        for turn in range(4):
            asked, failed = len(bed.watches), bed.now
            assert asked == turn + 1
            bed.step(t.ListReceived(t.ListKind.FAILED, []))
            bed.run(12 * SECOND, 10_000)
            spans.append((turn, (bed.watches[asked] - failed) / SECOND))
    first = [span for turn, span in spans if turn == 0]
    last = [span for turn, span in spans if turn == 3]
    assert least <= min(first) and max(first) <= most and max(last) <= 5.1
    assert sum(last) > sum(first) and max(first) - min(first) > 0.3 * max(first)  # jittered


def test_operators_see_how_old_the_list_is_and_which_calls_are_out(monkeypatch):
    monkeypatch.setattr(watcher, "PROPAGATION_LIMIT_S", 1.0)
    monkeypatch.setattr(driver, "PROPAGATION_LIMIT_S", 1.0)

    async def check(net: Net):
        async def read_status() -> dict:
            status, data = await send_admin_request(net, admin_request("GET", "/admin/discovery"))
            assert status == 200
            return orjson.loads(data.split(b"\r\n\r\n")[1])

        await until(lambda: call_ended(net, CallEnd.ANSWERED))
        table = await read_status()
        assert table["address"] == net.discovery.address and table["index"] == net.discovery.index
        assert table["list_age_s"] < 5 and table["watches_answered"] and table["failures"] == 0
        net.discovery.fault = "silent"
        await until(lambda: [event for event, _ in net.logs if event == "list_old"])
        table = await read_status()
        assert table["list_age_s"] > 1.0 and 0 < len(table["calls"]) <= watcher.MAX_CALLS
        assert {"call", "kind", "address", "age_s"} == set(table["calls"][0])
        net.discovery.fault = None
        net.discovery.change(net.discovery.rows[0], weight=2.0)
        await until(lambda: [event for event, _ in net.logs if event == "list_current"])
        lines = [fields for event, fields in net.logs if event == "list_call"]
        assert all(
            {"call", "kind", "address", "age_ms", "late_ms", "end"} <= set(call_record)
            for call_record in lines
        )
        assert len({call_record["call"] for call_record in lines}) == len(lines)

    on_network(check, fine, discovery="push", operator=True)


def call_ended(net: Net, end: CallEnd) -> bool:
    return any(event == "list_call" and fields["end"] == end.value for event, fields in net.logs)
