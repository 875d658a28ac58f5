"""A relay's file and pushed files: what is accepted, and what is rejected with its key."""

import re
import tomllib
from pathlib import Path

import pytest
from config_bed import FLEET, service_settings

from lupinmill.config import push, relay_file
from lupinmill.config.model import Key
from lupinmill.config.push import InvalidPush
from lupinmill.protocol.config_file import ConfigFileError

RELAY = {"name": "r", "listen": "127.0.0.1:7500", "keep": "/k/r", "upstreams": ["127.0.0.1:7501"]}


@pytest.mark.parametrize(
    "change, text",
    [
        ({"nam": "x"}, "nam: unknown; the nearest known key is name"),
        ({"name": ""}, "name: must be 1 to 64"),
        ({"listen": "here:1"}, "listen: wants an IPv4 address and port"),
        ({"listen": None}, "listen"),
        ({"keep": "k"}, "keep: must be an absolute path"),
        ({"upstreams": []}, "operator: missing; without it nobody can push"),
        ({"operator": "127.0.0.1:7500"}, "operator: must differ from `listen`"),
        ({"upstreams": ["127.0.0.1:7500"]}, "upstreams.0: is `listen`"),
        ({"upstreams": ["127.0.0.1:1", "127.0.0.1:1"]}, "upstreams.1: 127.0.0.1:1 is listed twice"),
        ({"upstreams": "127.0.0.1:1"}, "upstreams: Expected `array`"),
        ({"sidecars": 0}, "sidecars: must be 1 to"),
        ({"sidecars": 1.5}, "sidecars: Expected `int`"),
        ({"calls_per_s": 0.0}, "calls_per_s: must be 1 to"),
        ({"most_watchers": 10**6}, "most_watchers: must be 1 to"),
        ({"memory_mb": 0}, "memory_mb: must be 32 to"),
    ],
)
def test_a_fault_in_a_relays_file_is_one_line_that_names_the_key(change, text):
    table = {key: value for key, value in {**RELAY, **change}.items() if value is not None}
    with pytest.raises(ConfigFileError) as caught:
        relay_file.parse(table)
    assert text in str(caught.value) and "\n" not in str(caught.value)


def test_the_example_file_is_a_relays_and_tells_its_spread():
    file = relay_file.read("deploy/relay.toml")
    assert not file.is_source and file.spread_ms == 2_000
    assert relay_file.parse({**RELAY, "sidecars": 401}).spread_ms == 2_005
    assert any("400 sidecars are expected" in line for line in relay_file.describe(file))


def test_a_pushed_file_names_its_entries_by_where_they_stand():
    table = {
        "fleet": {"settings": {"a": 1}, "members": {"m1": {"address": "10.0.0.1:1"}}},
        "service": {"tender": {"settings": {"b": 2}}},
        "zone": {"north": {"zones": None}},
        "remove": [["service/old", "settings"], ["fleet", "member/m 2"]],
    }
    assert push.parse_entries(table) == {
        FLEET: {"a": 1},
        Key("fleet", "member/m1"): {"address": "10.0.0.1:1"},
        service_settings("tender"): {"b": 2},
        Key("zone/north", "zones"): None,
        service_settings("old"): None,
        Key("fleet", "member/m 2"): None,
    }


@pytest.mark.parametrize(
    "table, text",
    [
        ({}, "the file: contains no changes"),
        ({"flet": {}}, "flet: must be one of fleet, region"),
        ({"service": {"a\n": {"settings": {}}}}, "not a scope with a name"),
        ({"service": {"a": {"setings": {}}}}, "service.a.setings: must be one of the tables"),
        ({"service": {"a": 1}}, "service.a: must have tables"),
        ({"service": 1}, "service: must be a table by name"),
        ({"fleet": {"members": {"a" * 65: {}}}}, "fleet.members.*: not a name"),
        ({"remove": "x"}, "remove: must be a list"),
        ({"remove": ["service/x"]}, "remove: 'service/x' is no"),
        ({"remove": [["service/x", "moon"]]}, "remove: .'service/x', 'moon'. is no"),
        (
            {"fleet": {"settings": {}}, "remove": [["fleet", "settings"]]},
            "remove: fleet settings is also set in this file",
        ),
    ],
)
def test_a_fault_in_a_pushed_file_names_its_place(table, text):
    with pytest.raises(InvalidPush, match=text):
        push.parse_entries(table)


WORKLOAD = {"name": "view", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"}
REFUSED = [
    (FLEET, {"family": "meshed"}, "fleet settings: settings.family: 'meshed'"),
    (FLEET, {"limits": {"most-launches": 0}}, "settings.limits.most-launches: '0' is not within 1 to"),
    (FLEET, {"limits": {"conn-idle-s": "x"}}, "settings.limits.conn-idle-s"),
    (
        service_settings("s"),
        {"workloads": [WORKLOAD | {"repeat": "often"}]},
        "service/s settings: settings.workloads.0.repeat",
    ),
    (
        service_settings("s"),
        {"workloads": [WORKLOAD | {"hard-limit-s": -1}]},
        "settings.workloads.0.hard-limit-s",
    ),
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
    (
        service_settings("s"),
        {"limits": {"cancel": "perhaps"}},
        "settings.limits.cancel: 'perhaps' is neither",
    ),
    (service_settings("s"), {"limits.cancel": True}, "wants a table within a table"),
]
THERE = {FLEET: {"tier": 0}, Key("zone/z", "member/there"): {"address": "10.0.0.9:1"}}


@pytest.mark.parametrize("key, value, text", REFUSED)
def test_a_push_that_no_sidecar_could_take_is_refused_with_its_key(key, value, text):
    with pytest.raises(InvalidPush) as caught:
        push.check(THERE, {key: value})
    assert text in str(caught.value) and "\n" not in str(caught.value)


def test_settings_that_meet_in_one_sidecar_are_checked_together():
    """Each alone is valid; merged they are not."""
    there = {FLEET: {"workloads": [WORKLOAD]}, service_settings("s"): {"workloads": {"view": {"value": 2}}}}
    push.check({}, there)
    with pytest.raises(InvalidPush) as caught:
        push.check(
            there,
            {
                FLEET: {"workloads": [WORKLOAD | {"repeat": "by_key", "window-s": 1}]},
                service_settings("s"): {"workloads": {"view": {"window-s": 0}}},
            },
        )
    assert "service/s settings over fleet settings: settings.workloads.0.window-s" in str(caught.value)
    rows = [WORKLOAD | {"name": f"w{at}"} for at in range(256)]
    with pytest.raises(
        InvalidPush, match="service/s settings over fleet settings: settings.workloads: 257 are more"
    ):
        push.check(
            {service_settings("s"): {"workloads": {"one": WORKLOAD | {"name": "one"}}}},
            {FLEET: {"workloads": rows}},
        )


def test_the_pages_example_passes():
    text = Path("docs/config.md").read_text()
    example = tomllib.loads(re.search(r"```toml\n(.*?)```", text, re.S)[1])
    entries = push.parse_entries(example)
    assert len(entries) == 3
    push.check({}, entries)


def test_good_pushes_pass():
    push.check(
        THERE,
        {
            FLEET: {"limits": {"most-launches": 3}, "instances": 4},
            service_settings("s"): {"workloads": [WORKLOAD]},
            Key("fleet", "zones"): {"map": {"a": {"region": "r"}, "b": {"costs": {"a": 2.0}}}},
            Key("fleet", "member/m"): {"address": "10.0.0.2:1", "zone": "a"},
            Key("zone/z", "member/there"): None,
            Key("fleet", "member/there"): {"address": "10.0.0.9:1"},
            Key("zone/z", "member/elsewhere"): {"gone": True},
            Key("sidecar/x", "settings"): {"workloads": {"view": {"value": 2.0}, "bid": None}},
        },
    )
