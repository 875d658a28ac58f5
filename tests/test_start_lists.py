"""Endpoint lists with unusable rows, in discovery's answers and in the list given at the start."""

import orjson
import pytest
from bed import Net, on_network, wanted
from hypothesis import HealthCheck, given, settings, strategies
from start_bed import LIMIT, begin, line_of, running, table
from endpoint_acts import fine, until

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.protocol.http import Answer, Garbled

GOOD = {
    "name": "e0",
    "address": "127.0.0.1:81",
    "zone": "z",
    "type": "k",
    "group": 3,
    "status": "SERVING",
    "weight": 1.0,
    "since_ms": 0,
}
OTHER = GOOD | {"name": "e1"}


def read(*rows, **more) -> lists.EndpointList:
    body = orjson.dumps({"index": 7, "snapshot": True, "endpoints": list(rows)} | more)
    return lists.parse_response(Answer(200, [], body))


def states(known: lists.EndpointList) -> dict[str, t.EndpointStatus]:
    return {entry.endpoint: entry.state for entry in known.entries}


UNUSABLE = [
    {"status": "ODD"},
    {"status": None},
    {"status": 5},
    {"status": ["SERVING"]},
    {"status": "serving"},
    {"address": None},
    {"address": "shop.example:80"},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:65536"},
    {"address": 80},
    {"since_ms": "yesterday"},
    {"since_ms": 10**18},
    {"since_ms": 1e300},
    {"since_ms": True},
    {"since_ms": [1]},
]


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("fault", UNUSABLE)
def test_a_row_that_names_its_endpoint_and_can_not_be_used_counts_as_its_drain(fault, whole):
    """Guards against rejecting the whole list as `Garbled`, and against an endpoint that stays in use."""
    known = read(GOOD | fault, OTHER, snapshot=whole)
    assert states(known) == {"e0": t.EndpointStatus.DRAINING, "e1": t.EndpointStatus.READY}
    assert known.whole is whole and known.addresses["e1"] and known.unnamed == 0
    (why,) = known.refused
    assert why.startswith("e0: ") and next(iter(fault)) in why


@pytest.mark.parametrize("key", ["status", "address"])
def test_so_does_one_without_it_also_alone_in_a_list(key):
    row = {name: value for name, value in GOOD.items() if name != key}
    assert states(read(row, snapshot=False)) == {"e0": t.EndpointStatus.DRAINING}


@pytest.mark.parametrize(
    "row", [5, None, [], {}, GOOD | {"name": None}, GOOD | {"name": ""}, GOOD | {"name": []}]
)
def test_a_row_without_a_name_is_left_out_and_counted(row):
    """Guards against rejecting the list as `Garbled`, and for null against an endpoint named None."""
    known = read(row, OTHER)
    assert states(known) == {"e1": t.EndpointStatus.READY} and known.unnamed == 1 and len(known.refused) == 1
    with pytest.raises(Garbled, match="no row names an endpoint"):
        read(row, row)


@pytest.mark.parametrize(
    "fault, entry",
    [
        ({"zone": None, "type": None}, {"zone": "", "kind": ""}),
        ({"group": None}, {"cell": ""}),  # which the decision module takes for no cell
        ({"since_ms": None}, {"started": 0}),
        ({"since_ms": 17.0}, {"started": 17_000}),
        ({"since_ms": "17"}, {"started": 17_000}),
        ({"since_ms": -5}, {"started": 0}),
        ({"weight": None}, {"weight": 1.0}),
        ({"name": 7}, {"endpoint": "7"}),
        ({"colour": {"deep": [1, 2]}}, {}),
    ],
)
def test_what_is_missing_without_harm_or_unknown_is_no_fault(fault, entry):
    known = read(GOOD | fault)
    assert not known.refused and known.entries[0].state is t.EndpointStatus.READY
    assert {key: getattr(known.entries[0], key) for key in entry} == entry


@pytest.mark.parametrize("index", [None, "x", [], True, {}, float("nan")])
def test_an_answer_without_a_version_is_no_list(index):
    with pytest.raises(Garbled):
        lists.parse({"index": index, "snapshot": True, "endpoints": [GOOD]})


def test_versions_and_empty_changes_as_some_services_write_them():
    assert read(GOOD, index=41.0).index == 41 and read(GOOD, index="41").index == 41
    assert lists.parse({"index": 4, "snapshot": False, "endpoints": None}).entries == []
    with pytest.raises(Garbled):  # this one would remove every endpoint
        lists.parse({"index": 4, "snapshot": True, "endpoints": None})


@pytest.mark.parametrize(
    "known, names",
    [
        (None, []),
        (5, []),
        ([], []),
        ({}, []),
        ({"index": None, "snapshot": True, "endpoints": [GOOD]}, ["e0"]),
        ({"endpoints": [GOOD, OTHER]}, ["e0", "e1"]),
        ({"index": 3, "endpoints": 5}, []),
        ({"index": 3, "endpoints": [5]}, []),
        ({"index": 3, "endpoints": [GOOD, GOOD | {"status": "ODD"}]}, ["e0", "e0"]),
    ],
)
def test_the_list_told_at_a_start_never_costs_the_start(known, names):
    """Guards against a program that exits with 2 and `missing 'endpoints'` or the like."""
    found = lists.initial_list(known)
    assert [entry.endpoint for entry in found.entries] == names
    assert bool(found.refused) is (known is not None)


def test_a_program_with_bad_rows_starts_says_so_and_sends_nothing_there(tmp_path):
    known = {"index": None, "endpoints": [GOOD | {"status": "ODD"}, 5]}
    with running(begin(tmp_path, table(known=known))) as process:
        assert line_of(process, "started")["endpoints"] == 1
        assert len(line_of(process, "known_refused")["rows"]) == 3
        process.terminate()
        process.communicate(timeout=LIMIT)
    assert process.returncode == 0


def test_a_row_that_turns_bad_while_the_program_runs_ends_new_launches_there_and_nothing_else():
    async def check(net: Net):
        net.discovery.change(net.discovery.rows[0], status="ODD")
        await until(lambda: net.program.directory.states.get("e0") is t.EndpointStatus.DRAINING)
        for at in range(6):
            assert (await net.ask(wanted(f"s{at}"))).status == 200
        assert not [one for one in net.stands[0].seen if b"view" in one.target]
        net.discovery.change(net.discovery.rows[0], status="SERVING")
        await until(lambda: net.program.directory.states.get("e0") is t.EndpointStatus.READY)

    on_network(check, fine, fine)


ODD = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.floats(),
    strategies.text(max_size=5),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.sampled_from(["SERVING", "DRAINING", "DELETED", "127.0.0.1:80", "[::1]:80", "e0"]),
)
ROWS = strategies.lists(
    strategies.one_of(ODD, strategies.fixed_dictionaries({}, optional={key: ODD for key in GOOD})), max_size=4
)


@settings(max_examples=400, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(index=ODD, whole=ODD, rows=ROWS)
def test_whatever_rows_come_a_list_is_read_or_garbled_and_none_is_sent_to_unread(index, whole, rows):
    message = {"index": index, "snapshot": whole, "endpoints": [GOOD, *rows]}
    known = lists.initial_list(message)
    for entry in known.entries:
        if entry.state is t.EndpointStatus.READY:
            assert known.addresses[entry.endpoint] and 0 <= entry.started < 2**63
    try:
        lists.parse(message)
    except Garbled:
        pass
