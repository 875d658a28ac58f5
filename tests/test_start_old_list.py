"""Starts with an old list where lists are pushed: no attempt goes by what discovery has not confirmed. Whole
programs on loopback beside a late, failing, silent or absent discovery."""

from __future__ import annotations

import anyio
import orjson
import pytest
from bed import DiscoveryStand, Net, Stand, on_network, settings, wanted
from endpoint_acts import fine, until
from process_bed import Processes, run_processes
from start_bed import begin, line_of, running

from lupinmill import terms as t
from lupinmill.discovery import confirmation
from lupinmill.discovery.confirmation import ListState
from lupinmill.handover import handover_state
from lupinmill.program.sidecar import initial_list_state
from lupinmill.protocol.http import Answer
from lupinmill.routing import request_factory

READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"


class LateDiscovery(DiscoveryStand):
    """Answers no call before `release`; `first` are the faults that the first calls meet at once instead.
    `always_whole`: each answer is the whole list."""

    def __init__(self) -> None:
        super().__init__()
        self.release, self.first, self.calls, self.always_whole = anyio.Event(), [], 0, False

    async def answer(self, request):
        self.calls += 1
        if self.calls <= len(self.first):
            return self.first[self.calls - 1]
        await self.release.wait()
        if self.always_whole:
            table = {"index": self.index, "snapshot": True, "endpoints": self.rows}
            return Answer(200, [], orjson.dumps(table))
        return await super().answer(request)


class OldListNet(Net):
    """A program whose list is older than that of a discovery that is late. `changes`: of the first row."""

    def __init__(self, acts, changes=None, first=(), answer_whole=False, **more) -> None:
        super().__init__(acts, **{"discovery": "push"} | more)
        self.discovery = LateDiscovery()
        self.discovery.first = list(first)
        self.changes, self.discovery.always_whole = changes or {"status": "DRAINING"}, answer_whole

    async def start(self, group) -> None:
        await super().start(group)
        self.discovery.change(self.discovery.rows[0], **self.changes)
        if self.discovery.always_whole:
            del self.discovery.rows[0]  # it names no endpoint that drains

    def state(self) -> ListState:
        return self.program.discovery.list_state


async def ask_many(net: Net, count: int, prefix: str, deadline: str = "1.0") -> list[int]:
    found: list[int] = []

    async def one(name: str) -> None:
        found.append((await net.ask(wanted(name, deadline=deadline))).status)

    async with anyio.create_task_group() as group:
        for at in range(count):
            group.start_soon(one, f"{prefix}{at}")
    return found


def sent_to(net: Net, endpoint: int) -> int:
    return sum(one.header(b"req-id") is not None for one in net.stands[endpoint].seen)


LATE_ANSWERS = {
    "it drains": {},
    "it is removed": {"changes": {"status": "DELETED"}},
    "a whole list leaves it out": {"answer_whole": True},
    "the first call is reset": {"first": ["reset"]},
    "two calls are reset": {"first": ["reset", "reset"]},
    "the first answer is cut": {"first": ["cut"]},
    "the first answer is garbled": {"first": ["garbled"]},
    "the first calls are refused": {"first": [Answer(503, [], b"")] * 4},
    "the first answer is no list": {"first": [Answer(200, [], b"{}")]},
    "the first answer is older": {
        "first": [Answer(200, [], orjson.dumps({"index": 0, "snapshot": False, "endpoints": []}))]
    },
    "an answer names no endpoint": {
        "first": [
            Answer(200, [], orjson.dumps({"index": 2, "snapshot": False, "endpoints": [{}, {"name": "e9"}]}))
        ]
    },
}


@pytest.mark.parametrize("what", list(LATE_ANSWERS))
def test_an_old_list_is_not_used_before_a_late_discovery_has_answered(what):
    """Guards against requests to an endpoint that drains or is gone, sent by the list of the start until a
    crowded discovery had answered (issue 88)."""

    async def check(net: OldListNet):
        assert (await net.ask(READY)).status == 503
        assert await ask_many(net, 8, "early") == [503] * 8
        await until(lambda: net.discovery.calls > len(net.discovery.first))
        assert await ask_many(net, 8, "late") == [503] * 8 and net.state() is ListState.AWAITED
        assert sent_to(net, 0) == sent_to(net, 1) == 0
        net.discovery.release.set()
        await until(lambda: net.state() is ListState.CONFIRMED)
        assert (await net.ask(READY)).status == 200
        assert set(await ask_many(net, 16, "confirmed")) <= {200, 503}
        assert sent_to(net, 0) == 0 and sent_to(net, 1) > 0

    on_network(check, fine, fine, net_of=lambda acts, **more: OldListNet(acts, **LATE_ANSWERS[what], **more))


def test_an_old_address_a_group_and_a_start_are_not_used_before_discovery_has_answered():
    """Guards against a request to whoever listens at an endpoint's old address, a repeat outside its group,
    and an endpoint that was restarted and counts as warm."""
    stranger = Stand(fine)
    changes = {"group": 7, "since_ms": 2_000_000_000_000, "zone": "y", "type": "big", "weight": 2.0}

    async def check(net: OldListNet):
        async with anyio.create_task_group() as group:
            await group.start(stranger.run)
            net.discovery.change(net.discovery.rows[0], address=stranger.address)
            net.discovery.release.set()
            await until(lambda: net.state() is ListState.CONFIRMED)
            assert (await net.ask(wanted("s1"))).status == 200
            assert sent_to(net, 0) == 0 and len([one for one in stranger.seen if one.header(b"req-id")]) == 1
            entry = net.program.engine.sidecar.registry.listed["e0"]
            assert (entry.cell, entry.zone, entry.kind, entry.weight) == ("7", "y", "big", 2.0)
            assert entry.started > 0
            lists = [event for event in net.events if isinstance(event, t.ListReceived)]
            first_request = next(
                at for at, event in enumerate(net.events) if isinstance(event, t.RequestArrived)
            )
            assert net.events.index(lists[1]) < first_request
            group.cancel_scope.cancel()

    on_network(check, fine, net_of=lambda acts, **more: OldListNet(acts, changes, **more))


def test_a_request_that_comes_while_a_prompt_answer_is_on_its_way_is_held_and_served(monkeypatch):
    """Guards against refusals in the first milliseconds of every quiet start."""
    monkeypatch.setattr(request_factory, "MAX_LIST_WAIT_S", 10.0)
    monkeypatch.setattr(request_factory, "MAX_LIST_WAIT_FRACTION", 0.9)

    async def check(net: OldListNet):
        async with anyio.create_task_group() as group:
            statuses: list[int] = []

            async def ask() -> None:
                statuses.extend(await ask_many(net, 2, "held", deadline="20"))

            group.start_soon(ask)
            await until(lambda: net.program.client_handler.in_progress == 2)
            net.discovery.release.set()
        assert statuses == [200] * 2 and sent_to(net, 0) == 0

    on_network(check, fine, fine, net_of=OldListNet)


def test_a_malformed_request_is_told_so_also_while_the_list_is_not_confirmed():
    async def check(net: OldListNet):
        assert (await net.ask(wanted("s1", "unknown"))).status == 404
        assert (await net.ask(wanted("s2", deadline="x"))).status == 400
        rejected = await net.ask(wanted("s3"))
        assert rejected.status == 503 and float(rejected.header(b"retry-after")) > 0

    on_network(check, fine, net_of=OldListNet)


@pytest.mark.parametrize("fault", ["refused", "reset"])
def test_with_discovery_down_a_sidecar_serves_by_its_list_until_discovery_can_be_reached(fault):
    """Guards against a sidecar that stays out of service for as long as discovery is down, and against one
    that goes by its old list beside a discovery that has come back and is crowded."""

    class DownNet(OldListNet):
        async def start(self, group) -> None:
            await super().start(group)
            self.real, self.down = self.discovery.address, Stand(None)
            if fault == "refused":
                self.table["discovery"] = "127.0.0.1:1"
            else:
                self.discovery.first = ["reset"] * 100_000

    async def check(net: DownNet):
        await until(lambda: net.state() is ListState.UNREACHABLE)
        assert (await net.ask(READY)).status == 200
        for at in range(16):  # one after another, as many at once may be too many for two endpoints
            assert (await net.ask(wanted(f"down{at}"))).status == 200
        assert sent_to(net, 0) > 0  # nobody can know
        if fault == "refused":
            net.program.discovery.move(net.real)
        else:
            net.discovery.first = []
        await until(lambda: net.state() is ListState.AWAITED and net.discovery.calls)
        await anyio.sleep(0.05)  # what had begun
        before = sent_to(net, 0)
        if net.state() is ListState.AWAITED:
            assert await ask_many(net, 8, "back") == [503] * 8
        net.discovery.release.set()
        await until(lambda: net.state() is ListState.CONFIRMED)
        assert set(await ask_many(net, 16, "again")) <= {200, 503}
        assert sent_to(net, 0) == before

    on_network(check, fine, fine, net_of=DownNet)


def test_beside_a_silent_discovery_a_sidecar_comes_into_service_by_its_list(monkeypatch):
    monkeypatch.setattr(confirmation, "MAX_AWAITED_S", 0.6)

    async def check(net: OldListNet):
        assert await ask_many(net, 4, "early") == [503] * 4
        await until(lambda: net.state() is ListState.OVERDUE)
        assert (await net.ask(READY)).status == 200
        assert await ask_many(net, 2, "silent") == [200] * 2
        net.discovery.release.set()
        await until(lambda: net.state() is ListState.CONFIRMED)
        before = sent_to(net, 0)
        assert set(await ask_many(net, 8, "confirmed")) <= {200, 503} and sent_to(net, 0) == before

    on_network(check, fine, fine, net_of=OldListNet)


def test_where_the_list_is_asked_for_nothing_waits():
    async def check(net: OldListNet):
        assert net.state() is ListState.CONFIRMED and (await net.ask(READY)).status == 200
        assert await ask_many(net, 2, "asked") == [200] * 2

    on_network(check, fine, fine, net_of=OldListNet, **{"discovery": "ask"})


def test_a_list_that_is_empty_or_can_not_be_read_waits_for_the_whole_one():
    async def check(net: OldListNet):
        assert (await net.ask(READY)).status == 503 and await ask_many(net, 2, "early") == [503] * 2
        net.discovery.release.set()
        await until(lambda: net.state() is ListState.CONFIRMED)
        assert net.discovery.seen[0].target == b"/v1/endpoints"
        assert (await net.ask(READY)).status == 200 and await ask_many(net, 1, "late") == [200]

    on_network(check, fine, fine, net_of=OldListNet, known=False)


def test_operators_are_told_whether_the_list_is_confirmed_since_when_and_by_which_call():
    async def check(net: OldListNet):
        shown = net.program.discovery.show()
        assert shown["list_state"] == "awaited" and shown["list_confirmed_by"] is None
        net.discovery.release.set()
        await until(lambda: net.state() is ListState.CONFIRMED)
        shown = net.program.discovery.show()
        assert shown["list_state"] == "confirmed" and 0 <= shown["list_state_s"] < 20
        assert shown["list_confirmed_by"] == 1
        assert [fields["state"] for event, fields in net.logs if event == "list_state"] == ["confirmed"]
        started = next(fields for event, fields in net.logs if event == "started")
        assert started["list_state"] == "awaited"

    on_network(check, fine, fine, net_of=OldListNet)


@pytest.mark.parametrize(
    "told, expected",
    [
        (None, ListState.AWAITED),  # no predecessor
        ("", ListState.INHERITED),  # an older version
        ("confirmed", ListState.INHERITED),
        ("inherited", ListState.AWAITED),  # from a process whose own may end at any time
        ("awaited", ListState.AWAITED),
        ("discovery unreachable", ListState.UNREACHABLE),
        ("discovery silent", ListState.OVERDUE),
        ("of a later version", ListState.AWAITED),
    ],
)
def test_a_successor_takes_the_list_for_what_its_predecessor_took_it_for(told, expected):
    state = None
    if told is not None:
        state = handover_state.HandoverState(None, {}, 0, 0, list_state=told)
    assert initial_list_state(state) is expected


def test_a_restarted_process_sends_nothing_by_its_old_list_beside_a_crowded_discovery(tmp_path):
    """Guards against requests to an endpoint that drains, sent by the list of the start until a crowded
    discovery had answered (issue 88, review/9)."""
    net = OldListNet([fine, fine], limits=settings()["limits"] | {"probes": False})

    async def check() -> None:
        statuses = await ask_many(net, 40, "early")  # clients come unasked
        assert sent_to(net, 0) == 0, statuses
        net.discovery.release.set()
        while (await net.ask(READY)).status != 200:
            await anyio.sleep(0.01)
        for at in range(20):
            assert (await net.ask(wanted(f"late{at}"))).status == 200
        assert sent_to(net, 0) == 0 and sent_to(net, 1) >= 20

    async def main() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                await net.start(group)
                with running(begin(tmp_path, net.table)) as process:
                    started = await anyio.to_thread.run_sync(line_of, process, "started")
                    net.address = started["listen"]
                    await check()
                group.cancel_scope.cancel()

    anyio.run(main)


# --- upgrades ------------------------------------------------------------------------------------


class BusyDiscovery(LateDiscovery):
    """Answers watches at once, and the first calls of processes only after `release`."""

    async def answer(self, request):
        if b"index=" not in request.target or b"wait=0" in request.target:
            return await super().answer(request)
        return await DiscoveryStand.answer(self, request)


class UpgradeNet(OldListNet):
    def __init__(self, acts) -> None:
        super().__init__(acts, {"weight": 2.0}, limits=settings()["limits"] | {"probes": False})
        self.discovery = BusyDiscovery()

    async def start(self, group) -> None:
        await super().start(group)
        self.discovery.release.set()

    async def ready(self) -> bool:
        return (await self.ask(READY)).status == 200

    async def upgrade(self, processes: Processes) -> None:
        """Two processes, of which discovery has answered the older one alone."""
        await processes.start()
        while not await self.ready():
            await anyio.sleep(0.01)
        self.discovery.release = anyio.Event()
        calls = self.discovery.calls
        await processes.start()
        await until(lambda: self.discovery.calls > calls)
        assert await self.ready()  # at once, by the list of the process before

    async def check_confirmed(self) -> None:
        """From discovery's answer on, the endpoint that drains gets nothing and the other one serves."""
        before = sent_to(self, 0)
        self.discovery.release.set()
        while not await self.ready():
            await anyio.sleep(0.01)
        for at in range(8):
            assert (await self.ask(wanted(f"confirmed{at}"))).status == 200
        assert sent_to(self, 0) == before


def test_a_list_whose_watcher_was_killed_in_an_upgrade_waits_for_an_answer_of_discovery(tmp_path):
    """Guards against requests to an endpoint that drains: the new process went by the list of the one before,
    which nobody watched any more, until a crowded discovery had answered its first call."""
    net = UpgradeNet([fine, fine])

    async def check(processes: Processes, group) -> None:
        await net.upgrade(processes)
        processes.all[0].kill()
        while await net.ready():
            await anyio.sleep(0.01)
        net.discovery.change(net.discovery.rows[0], status="DRAINING")
        before = sent_to(net, 0)
        assert await ask_many(net, 8, "early") == [503] * 8 and sent_to(net, 0) == before
        await net.check_confirmed()

    run_processes(check, net, tmp_path)


def test_a_process_that_is_replaced_watches_the_list_until_discovery_has_answered_the_next_one(tmp_path):
    """Guards against the same where the old process ends in order, with no request refused."""
    net = UpgradeNet([fine, fine])

    async def check(processes: Processes, group) -> None:
        await net.upgrade(processes)
        group.start_soon(processes.end, 0)
        net.discovery.change(net.discovery.rows[0], status="DRAINING")
        known = b"index=%d&" % net.discovery.index
        await until(lambda: known in net.discovery.seen[-1].target)  # the old process has heard it
        await anyio.sleep(0.2)  # it passes on a list within 0.05 s
        before = sent_to(net, 0)
        for at in range(8):
            assert (await net.ask(wanted(f"watched{at}"))).status == 200
        assert sent_to(net, 0) == before
        await net.check_confirmed()
        while processes.all[0].poll() is None:
            await anyio.sleep(0.01)

    run_processes(check, net, tmp_path)


@pytest.mark.parametrize("answers", [True, False], ids=["discovery silent", "discovery down"])
def test_calls_made_beside_the_process_before_count_where_that_ends(answers):
    """Guards against a second wait of five seconds in an upgrade beside a silent discovery."""
    state = confirmation.ListConfirmation()
    state.begin(0.0, ListState.INHERITED)
    for at in range(confirmation.UNREACHABLE_CALLS):
        state.call_failed(0.1 * at, not answers, call_accepted=False)
    state.predecessor_ended(3.0, call_accepted=answers)
    assert state.state is (ListState.AWAITED if answers else ListState.UNREACHABLE)
    if answers:
        assert state.awaited_until == confirmation.MAX_AWAITED_S
        state.begin(0.0, ListState.INHERITED)
        state.predecessor_ended(confirmation.MAX_AWAITED_S + 1, call_accepted=True)
        assert state.state is ListState.OVERDUE


def test_a_list_that_the_process_before_passes_on_is_used_while_that_watches_it():
    state = confirmation.ListConfirmation()
    state.begin(0.0, ListState.AWAITED)
    state.predecessor_sent_list(0.5)
    assert state.state is ListState.INHERITED and state.usable and not state.confirmed
    state.confirm(1.0, 1)
    state.predecessor_sent_list(1.1)
    state.predecessor_ended(1.2, call_accepted=False)
    assert state.state is ListState.CONFIRMED
