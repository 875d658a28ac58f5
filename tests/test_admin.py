"""The admin API: cordoned endpoints, drain and resume, at an address that no crowd of clients can block."""

import random
import socket
import time

import anyio
import pytest
from bed import SECOND, Bed, deployment, listing, on_network, wanted
from hypothesis import given, settings, strategies
from endpoint_acts import always, fine, seen, until

from lupinmill import terms as t
from lupinmill.admin import admin_server, operator_overrides
from lupinmill.admin.operator_overrides import CordonResult, Mode, OperatorOverrides
from lupinmill.protocol import lists
from lupinmill.protocol.admin_calls import AdminCallCodec
from lupinmill.protocol.http import Answer, Malformed


def admin_request(method: str, target: str, more: str = "") -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: a\r\n{more}\r\n".encode()


async def admin_status(net, method: str, target: str, more: str = "") -> int:
    """The status code of one call, on a connection of its own."""
    return (await send_admin_request(net, admin_request(method, target, more)))[0]


async def send_admin_request(net, data: bytes) -> tuple[int, bytes]:
    host, port = net.program.operator.split(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        if data:
            await stream.send(data)
        got = b""
        try:
            while True:
                got += await stream.receive()
        except anyio.EndOfStream:
            return int(got.split(b" ", 2)[1]) if got else 0, got


# --- the calls ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "data, found",
    [
        (admin_request("GET", "/admin/health"), ("health", "")),
        (admin_request("PUT", "/admin/quiesce", "Content-Length: 0\r\n"), ("quiesce", "")),
        (admin_request("PUT", "/admin/cordon?member=e1"), ("cordon", "e1")),
        (admin_request("PUT", "/admin/cordon?x=1&member=%65%2D1%2b&y"), ("cordon", "e-1+")),
        (admin_request("PUT", "http://any.host:1/admin/uncordon?%6dember=%C3%A9"), ("uncordon", "é")),
        (admin_request("GET", "/admin/nothing"), 404),
        (admin_request("GET", "/health"), 404),
        (admin_request("GET", "/"), 404),
        (admin_request("POST", "/admin/cordon?member=e1"), 405),
        (admin_request("PUT", "/admin/health"), 405),
        (admin_request("PUT", "/admin/cordon"), 400),
        (admin_request("PUT", "/admin/cordon?member="), 400),
        (admin_request("PUT", "/admin/cordon?member=a&member=a"), 400),
        (admin_request("PUT", "/admin/cordon?member=%ff"), 400),
        (admin_request("PUT", "/admin/cordon?member=" + "a" * 300), 400),
        (b"what is this\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00" * 20 + b"\r\n\r\n", 400),
        (admin_request("GET", "/admin/health", "X: " + "a" * 6_000 + "\r\n"), 431),
    ],
)
def test_calls_are_read_however_they_are_cut(data, found):
    rng = random.Random(5)
    for step in (1, 7, len(data), 0):
        side, at, got = AdminCallCodec(), 0, None
        try:
            while got is None and at < len(data):
                end = at + (step or rng.randrange(1, 20))
                got, at = side.feed(data[at:end]), end
        except Malformed as error:
            got = error.status
        assert got == found if isinstance(found, int) else (got.what, got.endpoint) == found


def test_each_call_twice_and_its_answers():
    async def check(net):
        async def put(what):
            return await admin_status(net, "PUT", f"/admin/{what}")

        assert await admin_status(net, "GET", "/admin/health") == 200
        assert await put("cordon?member=nobody") == 404 and await put("uncordon?member=nobody") == 404
        for what in ("cordon?member=e1", "uncordon?member=e1", "quiesce", "resume"):
            assert [await put(what), await put(what)] == [200, 200]
        status, whole = await send_admin_request(net, admin_request("GET", "/admin/nothing"))
        assert status == 404 and b"connection: close" in whole.lower() and whole.endswith(b"unknown path\n")

    on_network(check, fine, fine, operator=True)


def test_silent_callers_and_half_calls_hold_no_place_that_another_wants():
    async def check(net):
        host, port = net.program.operator.split(":")
        held = []
        for number in range(3 * admin_server.MAX_CONNECTIONS):
            stream = await anyio.connect_tcp(host, int(port))
            if number % 2:
                await stream.send(b"PUT /admin/cordon?mem")
            held.append(stream)
        assert await admin_status(net, "GET", "/admin/health") == 200
        assert await admin_status(net, "PUT", "/admin/quiesce") == 200
        for stream in held:
            await stream.aclose()

    on_network(check, fine, operator=True)


# --- cordoned endpoints -------------------------------------------------------------------------


def test_what_is_out_by_hand_gets_nothing_whatever_lists_say_and_serves_again_once_back():
    async def check(net):
        async def many(tag, count=20):
            for number in range(count):
                assert (await net.ask(wanted(f"{tag}{number}"))).status == 200

        def found(tag):
            return sum(
                len(seen(net, f"{tag}{number}")) for number in range(40) if 0 in seen(net, f"{tag}{number}")
            )

        await many("a")
        assert found("a")
        assert await admin_status(net, "PUT", "/admin/cordon?member=e0") == 200
        assert not net.program.connection_pool.idle.get("e0")
        row, update = net.discovery.rows[0], net.program.directory.update
        for fields in (
            {},
            {"status": "DRAINING"},
            {"status": "SERVING"},
            {"status": "DELETED"},
            {"status": "SERVING", "since_ms": int(time.time() * 1000)},
        ):
            update(lists.parse({"index": 9, "endpoints": [row | fields]}), t.ListKind.CHANGES)
            await many("b" + str(len(fields)) + fields.get("status", ""), 5)
        assert not any(found(tag) for tag in ("b0", "b1DRAINING", "b1SERVING", "b1DELETED", "b2SERVING"))
        assert await admin_status(net, "PUT", "/admin/cordon?member=e0") == 200
        assert await admin_status(net, "PUT", "/admin/uncordon?member=e0") == 200
        with anyio.fail_after(5):
            tries = 0
            while not found("c"):
                assert (await net.ask(wanted(f"c{tries % 40}"))).status == 200
                tries += 1

    on_network(check, fine, fine, fine, operator=True)


def test_a_launch_that_connects_while_its_endpoint_is_taken_out_sends_no_byte():
    async def check(net):
        whole = net.program.connection_pool.open

        async def slow(address):
            connection = await whole(address)
            assert await admin_status(net, "PUT", "/admin/cordon?member=e0") == 200
            return connection

        net.program.connection_pool.open = slow
        assert (await net.ask(wanted("s1", "issue", "0.3"))).status == 503

    net = on_network(check, fine, operator=True)
    assert net.ended() == [t.Outcome.UNSENT] and not seen(net, "s1")


def test_the_module_sends_nothing_to_what_is_out_and_counts_it_as_cold_afterwards():
    bed = Bed(deployment(cold_share=0.1), 2)
    bed.state["e0"] = t.EndpointStatus.DRAINING  # for the invariants that the bed checks
    bed.step(t.OperatorOverride("e0", True))
    bed.step(t.OperatorOverride("e0", True))
    for _ in range(30):
        bed.arrive(bed.workloads["view"])
        for name in list(bed.unanswered):
            for number in bed.out(name):
                bed.end(name, number, t.Outcome.HANDLED, after=2_000)
    bed.sidecar.step(bed.now, [t.ListReceived(t.ListKind.FULL, [listing(0), listing(1)])])
    for _ in range(10):
        name = bed.arrive(bed.workloads["view"])
        bed.end(name, 0, t.Outcome.HANDLED, after=2_000)
    bed.state["e0"] = t.EndpointStatus.READY
    bed.step(t.OperatorOverride("e0", False))
    assert bed.sidecar.dispatcher.endpoint_states["e0"].report.cold_since == bed.now
    for _ in range(300):
        name = bed.arrive(bed.workloads["view"])
        bed.end(name, 0, t.Outcome.HANDLED, after=5_000)
    sent = [attempt["endpoint"] for attempts in bed.attempts.values() for attempt in attempts]
    assert "e0" not in sent[:40] and 0 < sent[-300:].count("e0") < 150


def test_what_is_out_is_not_probed_and_is_on_trial_at_once_when_back():
    bed = Bed(deployment(), 3)
    for _ in range(2):
        name = bed.arrive(bed.workloads["view"])
        at = bed.attempts[name][0]["endpoint"]
        bed.end(name, 0, t.Outcome.UNCONNECTED)
    bed.step(t.OperatorOverride(at, True))
    bed.state[at] = t.EndpointStatus.DRAINING
    bed.probes.clear()
    bed.run(4 * SECOND)
    assert at not in bed.probes
    bed.step(t.OperatorOverride(at, False))
    bed.state[at] = t.EndpointStatus.READY
    bed.run(SECOND // 2)
    # As for an endpoint that has just started: probes of all sidecars would use up its budget.
    assert at not in bed.probes and f"{at} on trial" in bed.logs
    for _ in range(200):
        name = bed.arrive(bed.workloads["view"])
        bed.run(20_000)
        for number in bed.out(name):
            bed.end(name, number, t.Outcome.HANDLED)
    assert f"{at} ready again: 3 answers, pace" in " ".join(bed.logs)


# --- the modes ----------------------------------------------------------------------------------


OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["out", "back", "quiesce", "resume", "leave", "forget"]),
        strategies.integers(0, 3),
        strategies.integers(0, 2_000_000_000),
        strategies.booleans(),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=300)
@given(OPERATIONS)
def test_what_stands_keeps_its_promises_after_every_step(steps):
    overrides, now, left, drains, named = OperatorOverrides(), 10 * SECOND, False, None, {}
    for what, number, wait, listed in steps:
        now, name = now + wait, f"e{number}"
        known = name in overrides.cordoned
        if what == "out":
            verdict = overrides.cordon(now, name, listed)
            assert (verdict is CordonResult.DONE) == (known or listed) == (name in overrides.cordoned)
            named.setdefault(name, now)
        elif what == "back":
            assert (overrides.uncordon(name, listed) is CordonResult.DONE) == (known or listed)
            assert name not in overrides.cordoned
        elif what == "quiesce":
            assert overrides.quiesce(now) == (not left and drains is None)
            drains = drains if left or drains is not None else now
        elif what == "resume":
            assert overrides.resume(now) == (not left and drains is not None)
            drains = drains if left else None
        elif what == "leave":
            overrides.begin_shutdown(now, now + 3 * SECOND, now + 3_500_000)
            left = True
        else:
            gone = overrides.expire_cordons(now, {name: None} if listed else {})
            assert not listed or name not in gone
            assert all(
                now - named < operator_overrides.CORDON_EXPIRY_US for named in overrides.cordoned.values()
            )
        assert len(overrides.cordoned) <= operator_overrides.MAX_CORDONED
        assert overrides.is_ready() == (not left and drains is None)
        assert (overrides.mode is Mode.LEAVING) == left
        if drains is None and not left:
            assert (
                not overrides.closes_connections(now + 9 * SECOND)
                and overrides.latest_hard_limit(now) is None
            )
        elif drains is not None and not left:
            assert not overrides.closes_connections(drains) and overrides.closes_connections(
                drains + operator_overrides.DRAIN_SERVING_US
            )
            assert (
                now >= drains + operator_overrides.DRAIN_DEADLINE_US
                or overrides.latest_hard_limit(now) < drains + 4 * SECOND
            )
        else:
            assert overrides.closes_connections(now + 3 * SECOND)


def test_the_set_of_what_is_out_is_bounded():
    overrides = OperatorOverrides()
    for number in range(operator_overrides.MAX_CORDONED):
        assert overrides.cordon(0, f"e{number}", True) is CordonResult.DONE
    assert (
        overrides.cordon(0, "one more", True) is CordonResult.FULL
        and len(overrides.cordoned) == operator_overrides.MAX_CORDONED
    )
    assert overrides.cordon(0, "e7", False) is CordonResult.DONE
    assert (
        len(overrides.expire_cordons(operator_overrides.CORDON_EXPIRY_US, {"e7": None}))
        == operator_overrides.MAX_CORDONED - 1
    )


def test_a_drain_says_not_ready_serves_on_then_holds_nothing_and_ends_with_resume(monkeypatch):
    monkeypatch.setattr(operator_overrides, "DRAIN_SERVING_US", 400_000)
    monkeypatch.setattr(operator_overrides, "DRAIN_DEADLINE_US", 900_000)

    async def check(net):
        ready = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
        assert (await net.ask(ready)).status == 200
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as kept:
            asked = net.program.engine.clock.now()
            assert await admin_status(net, "PUT", "/admin/quiesce") == 200
            closes = net.program.overrides.close_connections_at
            assert closes >= asked + 400_000
            assert (await net.ask(ready)).status == 503
            assert (await net.ask(wanted("new"))).status == 200
            await kept.send(wanted("kept"))
            assert b"200 OK" in await kept.receive()
            with pytest.raises(anyio.EndOfStream):
                await kept.receive()  # closed as idle once the drain closes connections
            assert net.program.engine.clock.now() >= closes
        answer = await net.ask(wanted("late"))
        assert answer.status == 200 and answer.header(b"connection") == "close"
        await until(lambda: not net.program.descriptors.open[client_side()])
        assert await admin_status(net, "PUT", "/admin/resume") == 200
        assert (await net.ask(ready)).status == 200
        assert (await net.ask(wanted("again"))).header(b"connection") is None

    on_network(check, fine, operator=True)


def client_side():
    from lupinmill.transport.descriptors import ConnectionKind

    return ConnectionKind.CLIENT


def test_what_a_drain_takes_in_late_is_answered_before_its_end(monkeypatch):
    monkeypatch.setattr(operator_overrides, "DRAIN_SERVING_US", 100_000)
    monkeypatch.setattr(operator_overrides, "DRAIN_DEADLINE_US", 400_000)

    async def check(net):
        assert await admin_status(net, "PUT", "/admin/quiesce") == 200
        began = time.monotonic()
        assert (await net.ask(wanted("s1", "view", "1.0"))).status == 503
        assert time.monotonic() - began < 0.8

    on_network(check, always(Answer(200), 5), operator=True)


def test_a_crowd_at_the_clients_address_and_a_lack_of_descriptors_hold_up_no_call():
    async def check(net):
        host, port = net.address.split(":")
        crowd = []
        for _ in range(120):  # far more than the connection limit
            crowd.append(await anyio.connect_tcp(host, int(port)))
        for number, stream in enumerate(crowd[:60]):
            await stream.send(wanted(f"c{number}")[:40])
        await anyio.sleep(0.1)
        for _ in range(5):
            assert await admin_status(net, "GET", "/admin/health") == 200
            assert await admin_status(net, "PUT", "/admin/cordon?member=e0") == 200
            assert await admin_status(net, "PUT", "/admin/uncordon?member=e0") == 200
        for stream in crowd:
            await stream.aclose()

    on_network(check, fine, fine, sockets=90, operator=True)


def test_with_every_endpoint_out_submissions_are_denied_and_served_once_one_is_back():
    async def check(net):
        for name in ("e0", "e1"):
            assert await admin_status(net, "PUT", f"/admin/cordon?member={name}") == 200
        began = time.monotonic()
        assert (await net.ask(wanted("s1"))).status == 503
        assert time.monotonic() - began < 0.9
        assert await admin_status(net, "PUT", "/admin/uncordon?member=e1") == 200
        await until(lambda: net.program.engine.sidecar.dispatcher.endpoint_states["e1"].report.open)
        with anyio.fail_after(5):
            while (await net.ask(wanted(f"t{time.monotonic_ns()}"))).status != 200:
                pass

    on_network(check, fine, fine, operator=True)


def test_an_operators_address_that_cant_be_used_is_one_plain_line_and_exit_2(tmp_path):
    from bed import Net
    from start_bed import start

    net = Net([])

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await net.start(group)
            group.cancel_scope.cancel()

    anyio.run(main)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for operator in ("127.0.0.1:%d" % taken.getsockname()[1], "host.name:80"):
            process = start(tmp_path, net.table | {"operator": operator})
            out, err = process.communicate(timeout=20)
            assert process.returncode == 2 and out == b""
            assert err.count(b"\n") == 1 and operator.encode() in err
