"""Directory and decision module share one list: an update applies to both as a whole, or is requested
again."""

import anyio
import pytest
from bed import Net, on_network, wanted
from endpoint_acts import fine, seen, until

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.routing.directory import MAX_LOGGED


def changed_row(net: Net, at: int, **fields) -> dict:
    return net.discovery.rows[at] | fields


def fail_updates(net: Net, times: int) -> list[t.ListReceived]:
    """Makes the module's list raise in the middle of its next `times` updates; returns the failed entries."""
    roster = net.program.engine.sidecar.registry
    original_tell, update, failed = roster.apply_entry, roster.handlers[t.ListReceived], []

    def failing_tell(entry):
        if len(failed) < times and entry.endpoint == "e1":
            failed.append(entry)
            raise ZeroDivisionError("planted")
        original_tell(entry)

    roster.apply_entry = failing_tell
    assert update is not None
    return failed


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_a_list_that_the_module_failed_on_is_asked_for_again_whole(mode):
    """Guards against counting the version as known, which kept the rest of the list from the module for
    good."""

    async def check(net: Net):
        await until(lambda: b"index=" in net.discovery.seen[-1].target if net.discovery.seen else False)
        failed = fail_updates(net, times=2)
        net.discovery.change(net.discovery.rows[1], status="DRAINING")
        listed = net.program.engine.sidecar.registry.listed
        with anyio.fail_after(8):
            await until(lambda: listed["e1"].state is t.EndpointStatus.DRAINING)
        assert len(failed) == 2 and net.program.directory.index == net.discovery.index
        assert (await net.ask(wanted("s1"))).status == 200

    net = on_network(check, fine, fine, discovery=mode)
    errors = [fields["error"] for event, fields in net.logs if event == "watch_failed"]
    assert "Garbled: the decision module did not accept the list" in errors


def test_the_log_tells_which_endpoints_a_list_changes_and_names_few_of_them():
    """What was missing in the incident of issue 77: that a version came, not what it said."""

    async def check(net: Net):
        directory = net.program.directory
        net.discovery.change(net.discovery.rows[1], status="DRAINING")
        await until(lambda: not directory.accepts_attempts("e1"))
        changes = [fields for event, fields in net.logs if event == "list_changed"]
        assert changes == [
            {"index": net.discovery.index, "count": 1, "ready": [], "draining": ["e1"], "gone": []}
        ]
        rows = [net.discovery.rows[0] | {"name": f"new{number}"} for number in range(40)]
        whole = lists.parse({"index": 90, "snapshot": True, "endpoints": rows})
        directory.update(whole, t.ListKind.FULL)
        change = [fields for event, fields in net.logs if event == "list_changed"][-1]
        assert change["count"] == 42 and change["gone"] == ["e0", "e1"]
        assert len(change["ready"]) == MAX_LOGGED

    on_network(check, fine, fine)


def test_an_update_that_raises_in_the_middle_changes_nothing():
    """Guards against applying version and states up to the bad entry without notifying the module."""

    class Unusable(t.ListEntry):
        @property
        def state(self):
            raise RuntimeError("planted")

        @state.setter
        def state(self, _):
            pass

    async def check(net: Net):
        directory = net.program.directory
        await until(lambda: net.discovery.seen)
        before = directory.index, dict(directory.states), dict(directory.addresses)
        known = lists.parse({"index": 99, "endpoints": [changed_row(net, 0, status="DRAINING")]})
        known.entries.append(Unusable("e1", t.EndpointStatus.READY))
        with pytest.raises(RuntimeError):
            directory.update(known, t.ListKind.CHANGES)
        assert (directory.index, directory.states, directory.addresses) == before

    on_network(check, fine, fine, discovery="push")


def test_what_a_whole_list_leaves_out_is_forgotten_with_its_connections_and_what_stays_keeps_them():
    async def check(net: Net):
        directory, pool = net.program.directory, net.program.connection_pool
        while len(pool.idle) < 2:
            assert (await net.ask(wanted(f"s{len(net.events)}"))).status == 200
        whole = lists.parse({"index": 99, "snapshot": True, "endpoints": [changed_row(net, 1)]})
        directory.update(whole, t.ListKind.FULL)
        assert set(directory.states) == set(directory.addresses) == {"e1"} == set(pool.idle)
        moved = lists.parse({"index": 100, "endpoints": [changed_row(net, 1, address=net.stands[0].address)]})
        directory.update(moved, t.ListKind.CHANGES)
        assert not pool.idle and directory.addresses["e1"] == net.stands[0].address
        before = len(seen(net, "last"))
        assert (await net.ask(wanted("last"))).status == 200 and before == 0 and seen(net, "last") == [0]

    on_network(check, fine, fine, discovery="push")
