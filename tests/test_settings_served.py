"""Settings of any deployment. Valid ones start and keep the rules. Unusable ones end the start with one line
that names the key, and a reload to them changes nothing."""

import os
import signal
from dataclasses import replace

import orjson
import pytest
from bed import Bed
from bed import settings as usual
from hypothesis import HealthCheck, given, settings, strategies
from start_bed import LIMIT, begin, events, line_of, running, table

from lupinmill import terms as t
from lupinmill.program.process_settings import UNREADABLE, ProcessSettings, parse_settings

ADDRESSES = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
VIEW = usual()["workloads"][0]


def parsed(more: dict | None = None, **top) -> ProcessSettings:
    return parse_settings(ADDRESSES | {"name": "n1", "settings": usual(**(more or {}))} | top, {})


# --- mixed topologies ----------------------------------------------------------------------------

POOL = {"limits": usual()["limits"]}
MESH = {"family": "mesh", "locality": "z", "areas": ["z", "y"]}
MIXES = [
    ("limits.probes", MESH | POOL),
    ("limits.may-duplicate", MESH | POOL),
    ("load-report.how", MESH | {"load-report": {"how": "on_probe", "fields": ["waiting"]}}),
    ("limits.streams-per-conn", {"limits": POOL["limits"] | {"streams-per-conn": 100}}),
    ("family-info.warm-keys", {"family": "proxy", "family-info": {"warm-keys": True}}),
    ("prices.connection", {"prices": {"connection": 0.05}}),
    ("weights", {"family": "chain", "weights": "nominal"}),
]


@pytest.mark.parametrize("key, more", MIXES)
def test_what_is_without_use_in_a_shape_is_ignored_and_named(key, more):
    """Regression: a start was refused for a price or a weight that any platform may send, with
    `settings.weights: 'nominal' has no place where clients share sidecars`."""
    found = parsed(more)
    assert f"settings.{key}" in found.unused
    d = found.deployment
    if d.sidecar_per_client:
        assert not (d.hedging_allowed or d.probes_allowed or d.reports_asked)
    else:
        assert not (d.few_connections or d.warm_keys or d.weights_tell_speed)


def test_a_program_with_a_mix_starts_and_says_what_it_ignores(tmp_path):
    with running(
        begin(tmp_path, table(settings=usual(weights="nominal", prices={"connection": 1})))
    ) as process:
        line_of(process, "started")
        fields = line_of(process, "settings_unused")["fields"]
        process.terminate()
        process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and fields == ["settings.prices.connection", "settings.weights"]


def test_a_tier_goes_with_either_shape():
    assert parsed(MESH | {"tier": 1}).deployment.tier == 1


# --- values as JSON may give them ---------------------------------------------------------------


@pytest.mark.parametrize("nothing", [None, "", []])
@pytest.mark.parametrize(
    "key",
    (
        "accounts areas beyond-share-value blend discovery family family-info instances invariants kinds"
        " limits load-report locality prices random-seed round-s tier weights"
    ).split(),
)
def test_a_value_that_is_none_is_as_good_as_missing(key, nothing):
    whole = usual()
    without = {name: value for name, value in whole.items() if name != key}
    found = parse_settings(ADDRESSES | {"settings": without | {key: nothing}}, {}).deployment
    assert found == parse_settings(ADDRESSES | {"settings": without}, {}).deployment


@pytest.mark.parametrize("yes, no", [(True, False), (1, 0), (1.0, 0.0), ("true", "false"), ("1", "0")])
@pytest.mark.parametrize("key", ["cancel", "probes", "may-duplicate", "retry-after"])
def test_switches_in_all_their_forms(key, yes, no):
    """Regression: 1.0 was read as off."""
    field = {"cancel": "cancel_allowed", "probes": "probes_allowed"} | {
        "may-duplicate": "hedging_allowed",
        "retry-after": "advice_allowed",
    }
    for value, holds in ((yes, True), (no, False), (None, False)):
        assert getattr(parsed({"limits": {key: value}}).deployment, field[key]) is holds


@pytest.mark.parametrize("value", [3, 3.0, "3", "3.0", "3e0", 3.7])
def test_whole_numbers_in_all_their_forms(value):
    found = parsed({"instances": value, "tier": value, "limits": {"most-launches": value}}).deployment
    assert (found.instances, found.tier, found.max_attempts) == (3, 3, 3)


@pytest.mark.parametrize("value", ["5.0", "0x1f", "8c1f30d27a5be964", "", None, 7, 7.5, "seed of the day"])
def test_the_simulators_seed_never_costs_a_start(value):
    """Regression: `invalid literal for int() with base 10`."""
    assert isinstance(parsed({"random-seed": value}).deployment.seed, int)


def test_the_seed_of_a_start_in_all_its_forms():
    """Regression: null refused the start, and without a seed every sidecar had the seed 0."""
    assert parsed(seed="8c1f30d27a5be964").deployment.seed == 0x8C1F30D27A5BE964
    assert parsed(seed=12).deployment.seed == parsed(seed=12.0).deployment.seed == 12
    for nothing in (None, "", "no digits", [], True, {}):
        one, other = (parsed(seed=nothing, name=name).deployment.seed for name in ("n1", "n2"))
        assert one != other


def test_names_with_commas_and_letters_of_any_script_stay_whole():
    """Regression: `settings.workloads.0.confined-to: 'Skt' is none of St, Petri, Hof`."""
    areas, kinds = ["St, Petri", "Zürich", "東"], ["a,b", "ç"]
    load = VIEW | {"name": "vis, både", "confined-to": ["St, Petri", "東"], "bound-to": ["a,b"]}
    found = parsed({"areas": areas, "kinds": kinds, "locality": "St, Petri", "workloads": [load]}).deployment
    (made,) = found.workloads
    assert (made.name, made.zones, made.kinds) == ("vis, både", ("St, Petri", "東"), ("a,b",))
    assert found.zone == "St, Petri"


def test_an_empty_list_of_zones_confines_to_none():
    assert (
        parsed({"workloads": [VIEW | {"confined-to": [], "bound-to": []}]}).deployment.workloads[0].zones
        == ()
    )


def test_a_group_that_no_rule_asks_for_is_no_fault():
    """Regression: `settings.workloads.0.group: 'rack' is none of all, zone, cell`."""
    assert parsed({"workloads": [VIEW | {"group": "rack", "window-s": None}]}).deployment.workloads


@pytest.mark.parametrize(
    "limits", [None, {}, {"sockets": None, "memory_mb": None}, {"sockets": "", "cores": None}]
)
def test_limits_that_are_not_told_are_none(limits):
    if limits and limits.get("sockets") == "":
        with pytest.raises(ValueError, match="limits.sockets: "):
            parsed(limits=limits)
        return
    found = parsed(limits=limits)
    assert (found.descriptors, found.memory) == (1024, None)


@pytest.mark.parametrize("value", [256, 256.0, "256", "256.0", 2.56e2])
def test_limits_in_all_their_forms(value):
    found = parsed(limits={"sockets": value, "memory_mb": value})
    assert (found.descriptors, found.memory) == (256, 256 << 20)


@pytest.mark.parametrize("name, found", [(None, ""), (7, "7"), ("é", "é"), ("", "")])
def test_a_name_in_all_its_forms(name, found):
    """Regression: the sidecar was called None."""
    assert parsed(name=name).name == found


# --- what can't be served -----------------------------------------------------------------------

LOAD = {"name": "bid", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "by_key", "window-s": 1}


def load(**more) -> dict:
    return {"settings": usual(workloads=[LOAD | more])}


BAD = [
    ("settings", {"settings": None}),
    ("settings", {"settings": [1]}),
    ("settings.workloads", {"settings": usual(workloads=[])}),
    ("settings.workloads", {"settings": usual(workloads=None)}),
    ("settings.workloads", {"settings": usual(workloads=[LOAD, None])}),
    ("settings.workloads", {"settings": usual(workloads={"bid": LOAD})}),
    ("settings.workloads.0.name", load(name=None)),
    ("settings.workloads.1.name", {"settings": usual(workloads=[LOAD, LOAD])}),
    ("settings.workloads.0.repeat", load(repeat="keyed")),
    ("settings.workloads.0.group", load(group="rack")),
    ("settings.workloads.0.window-s", load(**{"window-s": None})),
    ("settings.workloads.0.hard-limit-s", load(**{"hard-limit-s": 0})),
    ("settings.workloads.0.hard-limit-s", load(**{"hard-limit-s": 1e300})),
    ("settings.workloads.0.contract-time-s", load(**{"contract-time-s": [1, 2]})),
    ("settings.workloads.0.value", load(value="dear")),
    ("settings.workloads.0.value", load(value=-1)),
    ("settings.accounts.0.quota-per-s", {"settings": usual(accounts=[{"name": "a", "quota-per-s": -1}])}),
    ("settings.instances", {"settings": usual(instances="many")}),
    ("settings.tier", {"settings": usual(tier="x")}),
    ("settings.round-s", {"settings": usual(**{"round-s": -0.1})}),
    ("settings.family", {"settings": usual(family="mash")}),
    ("settings.weights", {"settings": usual(weights="heavy")}),
    ("settings.discovery", {"settings": usual(discovery="gossip")}),
    ("settings.limits.cancel", {"settings": usual(limits={"cancel": "perhaps"})}),
    ("settings.limits.most-launches", {"settings": usual(limits={"most-launches": 0.5})}),
    ("settings.invariants.cold-share", {"settings": usual(invariants={"cold-share": "warm"})}),
    (
        "settings.invariants.stop-sending-within-s",
        {"settings": usual(invariants={"stop-sending-within-s": -1})},
    ),
    ("settings.prices.cross-zone", {"settings": usual(prices={"cross-zone": -1})}),
    ("limits", {"limits": 5}),
    ("limits.sockets", {"limits": {"sockets": 0}}),
    ("limits.sockets", {"limits": {"sockets": True}}),
    ("limits.memory_mb", {"limits": {"memory_mb": "much"}}),
    ("limits.memory_mb", {"limits": {"memory_mb": 0}}),
    ("listen", {"listen": "localhost:80"}),
    ("listen", {"listen": None}),
    ("listen", {"listen": "127.0.0.1:99999"}),
    ("discovery", {"discovery": None}),
    ("operator", {"operator": "here"}),
]


@pytest.mark.parametrize("key, more", BAD)
def test_what_can_not_be_served_is_refused_and_its_key_named(key, more):
    with pytest.raises(UNREADABLE) as raised:
        parse_settings(ADDRESSES | {"settings": usual()} | more, {})
    assert str(raised.value).startswith(f"{key}: ")


@pytest.mark.parametrize("at", [0, 8, 12, 29, 33])
def test_such_a_start_is_one_line_and_exit_2_and_soon(tmp_path, at):
    key, more = BAD[at]
    process = begin(tmp_path, table(**more))
    with running(process):
        output, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 2 and output == b""
    assert errors.count(b"\n") == 1 and f" {key}: ".encode() in errors


def test_a_reload_to_any_of_these_changes_nothing(tmp_path):
    first = table()
    with running(begin(tmp_path, first)) as process:
        line_of(process, "started")
        for _, more in BAD:
            (tmp_path / "told.json").write_bytes(orjson.dumps(first | {"discovery": "127.0.0.1:3"} | more))
            process.send_signal(signal.SIGHUP)
            assert line_of(process, "reload_refused")["error"]
        process.terminate()
        output, errors = process.communicate(timeout=LIMIT)
    assert process.returncode == 0 and errors == b"" and "reloaded" not in events(output)


# --- whatever the documents allow ---------------------------------------------------------------


def number(least: float, most: float) -> strategies.SearchStrategy:
    """A number in the forms that JSON may have: integer, decimal, or a string of digits."""
    decimal = strategies.floats(least, most, allow_subnormal=False)
    whole = strategies.integers(int(least) + (least > int(least)), max(int(most), int(least) + 1))
    return strategies.one_of(decimal, whole, whole.map(float), decimal.map(repr))


def flag() -> strategies.SearchStrategy:
    return strategies.sampled_from([True, False, 1, 0, 1.0, None])


def some(**fields: strategies.SearchStrategy) -> strategies.SearchStrategy:
    """A table in which any key may be missing, and which may have unknown keys."""
    more = {"new-key": strategies.sampled_from([None, [], {"deep": [1]}, [{}], "x"])}
    return strategies.fixed_dictionaries({}, optional=fields | more)


NAMES = strategies.text(min_size=1, max_size=6).filter(lambda one: "\x1f" not in one)
ZONES = strategies.lists(NAMES, max_size=3, unique=True)
WORKLOAD = strategies.fixed_dictionaries(
    {
        "name": NAMES,
        "contract-time-s": number(0.05, 2),
        "hard-limit-s": number(0.05, 2),
        "repeat": strategies.sampled_from(["repeatable", "by_key", "once"]),
        "group": strategies.sampled_from(["all", "zone", "cell", None]),
        "window-s": number(0.05, 10),
        "value": number(0, 100),
        "overdue-value": number(0, 1),
        "streaming": flag(),
    }
)
SETTINGS = strategies.fixed_dictionaries(
    {
        "workloads": strategies.lists(WORKLOAD, min_size=1, max_size=3, unique_by=lambda one: one["name"]),
        "prices": some(**{key: number(0, 1) for key in ("connection", "handshake", "late-fail")}),
    },
    optional={
        "accounts": strategies.lists(some(**{"name": NAMES, "quota-per-s": number(0, 1e4)}), max_size=3),
        "areas": ZONES,
        "kinds": ZONES,
        "beyond-share-value": number(0, 1),
        "blend": some(
            **{key: number(0, 1) for key in ("whole", "worst-class", "worst-window", "kept-promises")}
        ),
        "discovery": strategies.sampled_from(["ask", "push"]),
        "family": strategies.sampled_from(["chain", "proxy", "mesh"]),
        "family-info": some(**{"passes-deadline": flag(), "warm-keys": flag()}),
        "instances": number(0, 1000),
        "invariants": some(
            **{
                "ask-within-s": number(0, 100),
                "cold-s": number(0, 100),
                "cold-share": number(0, 1),
                "stop-sending-within-s": number(0, 5),
                "dropped-stay-open": flag(),
            }
        ),
        "limits": some(
            **{key: flag() for key in ("cancel", "may-duplicate", "probes", "retry-after", "peers")},
            **{
                "conn-idle-s": number(0, 100),
                "connect-timeout-s": number(0, 5),
                "max-retry-after-s": number(0, 5),
                "most-launches": number(1, 8),
                "streams-per-conn": number(1, 100),
            },
        ),
        "load-report": some(how=strategies.sampled_from(["inline", "on_probe", "off", None])),
        "random-seed": strategies.one_of(strategies.integers(0, 2**63), strategies.text(max_size=4)),
        "round-s": number(0, 0.01),
        "tier": number(0, 3),
        "weights": strategies.sampled_from(["off", "nominal", "rough", "live", None]),
    },
)
SEEDS = strategies.one_of(strategies.none(), strategies.integers(), strategies.text(max_size=16))


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(table=SETTINGS, seed=SEEDS, name=strategies.one_of(strategies.none(), NAMES))
def test_whatever_the_documents_allow_starts_and_keeps_the_rules(table, seed, name):
    found = parse_settings(ADDRESSES | {"settings": table, "seed": seed, "name": name}, {})
    d = found.deployment
    assert (
        len(d.workloads) == len(table["workloads"])
        and found.idle_timeout_s >= 0
        and found.connect_timeout_s > 0
    )
    bed = Bed(replace(d, workloads=[workload for workload in d.workloads]))
    for at in range(6):
        asked = d.workloads[at % len(d.workloads)]
        request = bed.arrive(asked)
        bed.run(20_000)
        for attempt in bed.out(request):
            bed.end(request, attempt, t.Outcome.HANDLED if at % 2 else t.Outcome.ERROR)
    bed.run(max(one.hard_limit for one in d.workloads) + 100_000)
    assert not bed.unanswered


# --- the time that a refused start takes ---------------------------------------------------------


def test_a_start_that_is_refused_comes_soon(tmp_path):
    """Measured in processor time, which other load on the machine does not change."""
    process = begin(tmp_path, table(settings=usual(tier="x")))
    process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    process.stderr.close()
    assert process.returncode == 2 and usage.ru_utime + usage.ru_stime < 1.0
