"""Lists of endpoints that race with a move, an attempt or one another, and watches that fall silent: on real
sockets, in the order that was wrong, forced by a barrier or a stand-in. The table is docs/crossings.md."""

import itertools

import anyio
import orjson
import pytest
from bed import DiscoveryStand, Net, Stand, on_network, settings, wanted
from bed import deployment as usual
from test_crossings import module_is_idle, request_arrived
from test_discovery_watcher import Simulation, longest, shortest
from endpoint_acts import fine, seen, until

from lupinmill import terms as t
from lupinmill.discovery import driver, watcher
from lupinmill.discovery.calls import CallKind
from lupinmill.discovery.driver import watch_timing
from lupinmill.protocol import lists
from lupinmill.protocol.http import Answer
from lupinmill.transport.connection_pool import MIN_IDLE_S


def test_a_move_that_crosses_the_last_byte_of_a_call_asks_the_new_service_for_its_whole_list(monkeypatch):
    """Guards against `index=2` in the first call at the new service: the old one's response had taken back
    that the whole list is to be requested, and its version was another service's."""
    other = DiscoveryStand()

    async def check(net: Net):
        async with anyio.create_task_group() as group:
            await group.start(other.run)
            other.rows = [dict(net.discovery.rows[1])]
            await until(lambda: len(net.discovery.seen) > 1)
            read = lists.parse_response

            def crossed(answer):
                monkeypatch.setattr(lists, "parse_response", read)
                net.program.discovery.move(other.address)  # in the pass in which the last byte was read
                return read(answer)

            monkeypatch.setattr(lists, "parse_response", crossed)
            net.discovery.change(net.discovery.rows[0], status="DRAINING")
            await until(lambda: other.seen)
            assert other.seen[0].target == b"/v1/endpoints"
            await until(lambda: "e0" not in net.program.directory.states)
            assert net.program.directory.accepts_attempts("e1")
            group.cancel_scope.cancel()

    on_network(check, fine, fine, discovery="push")


def test_two_moves_in_a_row_and_one_back_end_at_the_last():
    other = DiscoveryStand()

    async def check(net: Net):
        async with anyio.create_task_group() as group:
            await group.start(other.run)
            await until(lambda: len(net.discovery.seen) > 1)
            net.program.discovery.move(other.address)
            net.program.discovery.move(net.discovery.address)
            before = len(net.discovery.seen)
            await until(lambda: len(net.discovery.seen) > before)
            assert net.discovery.seen[before].target == b"/v1/endpoints" and not other.seen
            group.cancel_scope.cancel()

    on_network(check, fine, discovery="push")


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("instances", [1, 40, 200, 1000])
def test_what_a_silent_watch_missed_is_asked_for_before_it_counts_as_told(instances, asked):
    """2 s after the wait of the call, or 6 s after the silence began, if that is later. Every watch is
    silent: whole lists are requested, and answered within what is left."""
    timing = watch_timing(usual(instances=instances, poll_discovery=asked))
    simulation = Simulation(timing, longest)
    simulation.answer_at = (
        lambda call: None if call.kind is CallKind.WATCH else call.started_at + watcher.MIN_RETRY_DELAY_S
    )
    simulation.run(30.0)
    watches = [call for call in simulation.started if call.kind is CallKind.WATCH]
    assert len(watches) >= 3 and len(simulation.started) > 2 * len(watches) - 2
    for call, following in itertools.pairwise(simulation.started):
        latest = (
            2.0 - watcher.MIN_RETRY_DELAY_S
            if call.kind is CallKind.WATCH
            else watcher.PARALLEL_CALL_INTERVAL_S + 0.02
        )
        assert following.started_at < call.started_at + call.wait + latest, "asked anew too late"


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_silent_watch_is_opened_anew_without_the_pause_for_a_discovery_in_trouble(mode, monkeypatch):
    """Where lists are requested, the decision module received a failure, and its pause, up to 2.5 s with 200
    sidecars, ended after the time by which what the silent watch missed must be known. Guards against
    that."""
    monkeypatch.setattr(driver, "watch_wait", lambda instances: 0.3)
    monkeypatch.setattr(watcher, "PARALLEL_CALL_INTERVAL_S", 0.5)

    async def check(net: Net):
        await until(lambda: len(net.discovery.seen) > 1)
        before, net.discovery.fault = len(net.discovery.seen), "silent"
        await until(lambda: len(net.discovery.seen) > before + 2)  # also a second silence in a row
        assert t.ListReceived(t.ListKind.FAILED, []) not in net.events

    on_network(check, fine, discovery=mode)


def test_watches_that_were_answered_together_end_apart():
    """Otherwise all sidecars notice a silence at one moment, and their calls wait in one queue."""
    waits = []

    async def check(net: Net):
        for _ in range(8):
            before = len(net.discovery.seen)
            net.discovery.change(net.discovery.rows[0])
            await until(lambda before=before: len(net.discovery.seen) > before)
        waits.extend(
            int(one.target.split(b"wait=")[1]) for one in net.discovery.seen if b"wait=" in one.target
        )

    on_network(check, fine, discovery="push", instances=200)
    assert waits.pop(0) == 0  # the first call confirms the list of the start, and is no watch
    # 1.7 s is what is left of 6 s beside a response that is 4 s late, and 0.7 s pass before the watch is
    # doubted.
    assert len(set(waits)) > 1 and 800 <= min(waits) and max(waits) <= 1_000


def test_the_last_word_on_a_name_in_one_answer_holds_for_launches_and_the_module_alike():
    """Guards against a decision module that goes by the start in such a response while attempts go by the end
    behind it."""

    async def check(net: Net):
        await until(lambda: len(net.discovery.seen) > 1)
        row = net.discovery.rows[0]

        async def both(order):
            rows = [row | {"status": status} for status in order]
            net.program.directory.update(lists.parse({"index": 9, "endpoints": rows}), t.ListKind.CHANGES)
            return net.program.engine.sidecar.registry.listed.get("e0")

        assert await both(["SERVING", "DELETED"]) is None and "e0" not in net.program.directory.states
        assert await both(["DELETED", "SERVING"]) is not None and net.program.directory.accepts_attempts("e0")
        assert (await net.ask(wanted("s1"))).status == 200

    on_network(check, fine, discovery="push")


def test_an_endpoint_that_moved_while_its_connection_came_up_gets_the_launch_at_its_new_address():
    """Guards against a request at the old address, where another endpoint may listen by now."""
    strange = Stand(fine)

    async def check(net: Net):
        async with anyio.create_task_group() as group:
            await group.start(strange.run)
            opens, old = net.program.connection_pool.open, net.discovery.rows[0]

            async def crossed(address):
                connection = await opens(address)
                if address == strange.address:
                    net.program.directory.update(
                        lists.parse({"index": 9, "endpoints": [old]}), t.ListKind.CHANGES
                    )
                return connection

            net.program.connection_pool.open = crossed
            moved = lists.parse({"index": 8, "endpoints": [old | {"address": strange.address}]})
            net.program.directory.update(moved, t.ListKind.CHANGES)
            assert (await net.ask(wanted("s1", "issue", "0.8"))).status == 200
            await module_is_idle(net)
            assert not strange.seen
            group.cancel_scope.cancel()

    net = on_network(check, fine, limits=settings()["limits"] | {"probes": False})
    assert seen(net, "s1") == [0] and net.ended() == [t.Outcome.HANDLED]


def test_an_endpoint_that_vanished_while_its_connection_came_up_gets_nothing():
    async def check(net: Net):
        opens = net.program.connection_pool.open

        async def crossed(address):
            connection = await opens(address)
            net.program.directory.update(
                lists.parse({"index": 9, "snapshot": True, "endpoints": []}), t.ListKind.FULL
            )
            return connection

        net.program.connection_pool.open = crossed
        assert (await net.ask(wanted("s1", "issue", "0.3"))).status == 503
        await module_is_idle(net)

    net = on_network(check, fine, limits=settings()["limits"] | {"probes": False})
    assert not seen(net, "s1") and set(net.ended()) == {t.Outcome.UNSENT}


def test_a_drain_told_between_a_kept_connections_end_and_the_second_try_stops_that_try():
    """The kept connection breaks while the request is written; the list arrives before the new one is
    established."""

    async def check(net: Net):
        assert (await net.ask(wanted("s0"))).status == 200
        (kept,) = net.program.connection_pool.idle["e0"]
        kept.idle_since -= MIN_IDLE_S
        sends = kept.send

        async def broken(data):
            net.program.directory.update(
                lists.parse({"index": 9, "endpoints": [net.discovery.rows[0] | {"status": "DRAINING"}]}),
                t.ListKind.CHANGES,
            )
            await sends(data[:10])
            raise ConnectionResetError

        kept.send = broken
        assert (await net.ask(wanted("s1", "issue", "0.3"))).status == 503
        await module_is_idle(net)

    net = on_network(check, fine, limits=settings()["limits"] | {"probes": False})
    assert not seen(net, "s1") and net.ended()[1:] == [t.Outcome.UNSENT]


def test_a_list_in_lines_and_indented_is_read_as_any_other():
    async def check(net: Net):
        table = {"index": 5, "snapshot": True, "endpoints": net.discovery.rows}
        net.discovery.fault = Answer(200, [], orjson.dumps(table, option=orjson.OPT_INDENT_2))
        await until(lambda: net.program.directory.index == 5)
        net.discovery.fault = None

    on_network(check, fine, discovery="push")


def test_a_client_that_leaves_while_the_list_moves_its_endpoint_leaves_nothing_behind():
    async def check(net: Net):
        opens = net.program.connection_pool.open
        there, gone = anyio.Event(), anyio.Event()

        async def crossed(address):
            there.set()
            with anyio.CancelScope(shield=True):
                await gone.wait()
            return await opens(address)

        net.program.connection_pool.open = crossed
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1"))
            await request_arrived(net, "s1")
            await there.wait()
        await until(lambda: any(isinstance(event, t.RequestCancelled) for event in net.events))
        net.program.directory.set_cordoned("e0", True)
        gone.set()
        await module_is_idle(net)

    net = on_network(check, fine)
    assert not seen(net, "s1")


@pytest.mark.parametrize("draw", [longest, shortest])
def test_a_pushed_list_is_asked_for_again_within_the_least_grace_of_any_customer(draw):
    """While discovery is down it tells nothing, and where lists are pushed, what it receives at its return
    counts as known at once. The longest pause between two refused calls has to leave time for the call."""
    grace = round(LEAST_GRACE * 1_000_000)
    simulation = Simulation(
        watch_timing(usual(poll_discovery=False, grace=grace)), draw, answer_at=lambda call: None
    )
    simulation.fail_at = lambda call: call.started_at
    simulation.run(5.0)
    apart = [after.started_at - before.started_at for before, after in itertools.pairwise(simulation.started)]
    assert len(apart) > 5 and max(apart) <= LEAST_GRACE - 0.2


LEAST_GRACE = 0.5  # seconds, of the known deployments (`stop-sending-within-s`)


@pytest.mark.parametrize("took", [0.0, 0.01, 1.5, 2.5])
@pytest.mark.parametrize("instances", [1, 40, 200, 20_000])
def test_after_calls_that_fail_the_next_answer_is_there_within_six_seconds(instances, took):
    """A change counts as known 6 s after discovery had it and could be reached, whatever failed before: it
    may be made just after a call began that fails `took` seconds later, then comes the longest pause, then a
    call that is answered. Guards against 3 s for the list after 2 s for its connection and up to 5 s of
    pause. The watch does not wait for the decision module to ask: its own pauses count."""
    simulation = Simulation(
        watch_timing(usual(instances=instances, poll_discovery=True)), longest, answer_at=lambda call: None
    )
    simulation.fail_at = lambda call: call.started_at + took
    simulation.run(40.0)
    apart = [after.started_at - before.started_at for before, after in itertools.pairwise(simulation.started)]
    assert len(apart) >= 8
    assert max(apart) <= 6.0 - 2.5, apart  # also if failures follow one another; 2.5 s for the response
    assert (
        apart[0] <= max(watcher.PARALLEL_CALL_INTERVAL_S, took + watcher.MIN_RETRY_DELAY_S) + 0.02
    )  # 4 s for the response after a first one
