"""A relay's file and pushed files: what is taken, and what is refused with its key."""

import re
import tomllib
from pathlib import Path

import pytest

from lupinmill.config import push, relay_file
from lupinmill.config.model import Key
from lupinmill.config.push import BadPush
from lupinmill.program.operators_file import ConfigFileError

from config_bed import FLEET, of_service


RELAY = {"name": "r", "listen": "127.0.0.1:7500", "keep": "/k/r", "upstreams": ["127.0.0.1:7501"]}


@pytest.mark.parametrize(
    "change, text",
    [
        ({"nam": "x"}, "nam: unknown; the nearest known key is name"),
        ({"name": ""}, "name: wants 1 to 64"),
        ({"listen": "here:1"}, "listen: wants an IPv4 address and port"),
        ({"listen": None}, "listen"),
        ({"keep": "k"}, "keep: wants a whole path"),
        ({"upstreams": []}, "operator: missing; without it nobody can push"),
        ({"operator": "127.0.0.1:7500"}, "operator: is `listen`"),
        ({"upstreams": ["127.0.0.1:7500"]}, "upstreams.0: is `listen`"),
        ({"upstreams": ["127.0.0.1:1", "127.0.0.1:1"]}, "upstreams.1: 127.0.0.1:1 is named twice"),
        ({"upstreams": "127.0.0.1:1"}, "upstreams: Expected `array`"),
        ({"sidecars": 0}, "sidecars: wants 1 to"),
        ({"sidecars": 1.5}, "sidecars: Expected `int`"),
        ({"calls_per_s": 0.0}, "calls_per_s: wants 1 to"),
        ({"most_watchers": 10**6}, "most_watchers: wants 1 to"),
        ({"memory_mb": 0}, "memory_mb: wants 32 to"),
    ],
)
def test_a_fault_in_a_relays_file_is_one_line_that_names_the_key(change, text):
    table = {key: value for key, value in {**RELAY, **change}.items() if value is not None}
    with pytest.raises(ConfigFileError) as caught:
        relay_file.understand(table)
    assert text in str(caught.value) and "\n" not in str(caught.value)


def test_the_example_file_is_a_relays_and_tells_its_spread():
    file = relay_file.read("deploy/relay.toml")
    assert not file.source and file.spread_ms == 2_000
    assert relay_file.understand({**RELAY, "sidecars": 401}).spread_ms == 2_005
    assert any("400 sidecars are expected" in line for line in relay_file.follows(file))


def test_a_pushed_file_names_its_entries_by_where_they_stand():
    table = {
        "fleet": {"settings": {"a": 1}, "members": {"m1": {"address": "10.0.0.1:1"}}},
        "service": {"tender": {"settings": {"b": 2}}},
        "zone": {"north": {"zones": None}},
        "remove": [["service/old", "settings"], ["fleet", "member/m 2"]],
    }
    assert push.entries_of(table) == {
        FLEET: {"a": 1},
        Key("fleet", "member/m1"): {"address": "10.0.0.1:1"},
        of_service("tender"): {"b": 2},
        Key("zone/north", "zones"): None,
        of_service("old"): None,
        Key("fleet", "member/m 2"): None,
    }


@pytest.mark.parametrize(
    "table, text",
    [
        ({}, "the file: changes nothing"),
        ({"flet": {}}, "flet: is none of fleet, region"),
        ({"service": {"a\n": {"settings": {}}}}, "not a scope with a name"),
        ({"service": {"a": {"setings": {}}}}, "service.a.setings: is none of the tables"),
        ({"service": {"a": 1}}, "service.a: wants tables"),
        ({"service": 1}, "service: wants a table by name"),
        ({"fleet": {"members": {"a" * 65: {}}}}, "fleet.members.*: not a name"),
        ({"remove": "x"}, "remove: wants a list"),
        ({"remove": ["service/x"]}, "remove: 'service/x' is no"),
        ({"remove": [["service/x", "moon"]]}, "remove: .'service/x', 'moon'. is no"),
        (
            {"fleet": {"settings": {}}, "remove": [["fleet", "settings"]]},
            "remove: fleet settings stands in this file",
        ),
    ],
)
def test_a_fault_in_a_pushed_file_names_its_place(table, text):
    with pytest.raises(BadPush, match=text):
        push.entries_of(table)


WORKLOAD = {"name": "view", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"}
REFUSED = [
    (FLEET, {"family": "meshed"}, "fleet settings: settings.family: 'meshed'"),
    (FLEET, {"limits": {"most-launches": 0}}, "settings.limits.most-launches: '0' is not within 1 to"),
    (FLEET, {"limits": {"conn-idle-s": "x"}}, "settings.limits.conn-idle-s"),
    (
        of_service("s"),
        {"workloads": [WORKLOAD | {"repeat": "often"}]},
        "service/s settings: settings.workloads.0.repeat",
    ),
    (of_service("s"), {"workloads": [WORKLOAD | {"hard-limit-s": -1}]}, "settings.workloads.0.hard-limit-s"),
    (FLEET, {"prices": {"cross-zone": -1}}, "settings.prices.cross-zone"),
    (FLEET, {"instances": "many"}, "fleet settings: "),
    (FLEET, ["a"], "fleet settings: wants a table"),
    (Key("fleet", "zones"), {"map": {}}, "fleet zones: map: wants 1 to"),
    (Key("fleet", "zones"), {"map": {"a": {"costs": {"b": 1}}}}, "fleet zones: map.a.costs.b: no such zone"),
    (Key("fleet", "zones"), {"mapp": {}}, "fleet zones: mapp: unknown"),
    (Key("fleet", "member/m"), {"address": "host:1"}, "fleet member/m: address: wants an IPv4"),
    (Key("fleet", "member/m"), {"adress": "10.0.0.1:1"}, "adress: unknown; the nearest known key is address"),
    (Key("fleet", "member/m"), {"address": "10.0.0.9:1"}, "fleet member/m: address: there has it already"),
    (Key("fleet", "fleet"), {}, "fleet fleet: no such kind"),
]
REFUSED += [
    (
        FLEET,
        {"limits": {"most-lanches": 2}},
        "settings.limits.most-lanches: unknown; the nearest known key is",
    ),
    (FLEET, {"instances": 0}, "settings.instances: '0' is not within 1 to"),
    (FLEET, {"workloads": {"view": {"hard-limit-s": "long"}}}, "settings.workloads.0.hard-limit-s"),
    (FLEET, {"workloads": {"view": {"repeat": "often"}}}, "settings.workloads.0.repeat: 'often'"),
    (FLEET, {"workloads": [{"name": "view"}]}, "settings.workloads.0.repeat: '' is not one of"),
    (FLEET, {"workloads": 7}, "settings.workloads: wants a list"),
    (of_service("s"), {"limits": {"cancel": "perhaps"}}, "settings.limits.cancel: 'perhaps' is neither"),
    (of_service("s"), {"limits.cancel": True}, "wants a table within a table"),
]
THERE = {FLEET: {"tier": 0}, Key("zone/z", "member/there"): {"address": "10.0.0.9:1"}}


@pytest.mark.parametrize("key, value, text", REFUSED)
def test_a_push_that_no_sidecar_could_take_is_refused_with_its_key(key, value, text):
    with pytest.raises(BadPush) as caught:
        push.check(THERE, {key: value})
    assert text in str(caught.value) and "\n" not in str(caught.value)


def test_settings_that_meet_in_one_sidecar_are_checked_together():
    """Each alone is good; the table under another is a fault of both."""
    there = {FLEET: {"workloads": [WORKLOAD]}, of_service("s"): {"workloads": {"view": {"value": 2}}}}
    push.check({}, there)
    with pytest.raises(BadPush) as caught:
        push.check(
            there,
            {
                FLEET: {"workloads": [WORKLOAD | {"repeat": "by_key", "window-s": 1}]},
                of_service("s"): {"workloads": {"view": {"window-s": 0}}},
            },
        )
    assert "service/s settings over fleet settings: settings.workloads.0.window-s" in str(caught.value)
    rows = [WORKLOAD | {"name": f"w{at}"} for at in range(256)]
    with pytest.raises(
        BadPush, match="service/s settings over fleet settings: settings.workloads: 257 are more"
    ):
        push.check(
            {of_service("s"): {"workloads": {"one": WORKLOAD | {"name": "one"}}}},
            {FLEET: {"workloads": rows}},
        )


def test_the_pages_example_passes():
    text = Path("docs/config.md").read_text()
    example = tomllib.loads(re.search(r"```toml\n(.*?)```", text, re.S)[1])
    entries = push.entries_of(example)
    assert len(entries) == 3
    push.check({}, entries)


def test_good_pushes_pass():
    push.check(
        THERE,
        {
            FLEET: {"limits": {"most-launches": 3}, "instances": 4},
            of_service("s"): {"workloads": [WORKLOAD]},
            Key("fleet", "zones"): {"map": {"a": {"region": "r"}, "b": {"costs": {"a": 2.0}}}},
            Key("fleet", "member/m"): {"address": "10.0.0.2:1", "zone": "a"},
            Key("zone/z", "member/there"): None,
            Key("fleet", "member/there"): {"address": "10.0.0.9:1"},
            Key("zone/z", "member/elsewhere"): {"gone": True},
            Key("sidecar/x", "settings"): {"workloads": {"view": {"value": 2.0}, "bid": None}},
        },
    )
