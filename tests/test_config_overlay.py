"""Merging entries into the platform's settings: scopes, workloads row by row, and invalid values."""

import re
from pathlib import Path

import pytest
from bed import IDEM, KEYED, SECOND, deployment, settings, wanted
from test_config_sidecar import answer_ok, network, workload
from endpoint_acts import until

from lupinmill import terms as t
from lupinmill.config import checks, merge
from lupinmill.config.model import Entries, Key
from lupinmill.limits.gate import AdmissionGate, AdmissionRequest, Verdict
from lupinmill.program import live_config, operators_file
from lupinmill.program.process_settings import parse_settings
from lupinmill.protocol import settings as protocol_settings

FLEET, MINE = Key("fleet", "settings"), Key("sidecar/n1", "settings")


def test_the_narrower_scope_goes_before_the_wider_and_tables_are_laid_over_key_by_key():
    base = settings()
    found = merge.merge_settings(
        base,
        {
            MINE: {"limits": {"most-launches": 7}},
            Key("service/portal", "settings"): {"limits": {"most-launches": 6, "cancel": False}},
            FLEET: {"limits": {"most-launches": 5, "retry-after": None}, "instances": 9},
            Key("fleet", "zones"): {"map": {}},
        },
    )
    assert found["limits"] == base["limits"] | {"most-launches": 7, "cancel": False, "retry-after": None}
    assert found["instances"] == 9 and base == settings()
    d = protocol_settings.deployment(protocol_settings.flatten(found))
    assert (d.max_attempts, d.cancel_allowed, d.advice_allowed, d.instances) == (7, False, False, 9)


def test_workloads_change_row_by_row_by_name_or_whole():
    base = settings()
    found = merge.merge_settings(
        base,
        {
            FLEET: {"workloads": {"view": {"hard-limit-s": 3.0}, "bid": None, "quick": workload()}},
            MINE: {"workloads": {"quick": {"value": 2.0}}, "accounts": {"a": {"quota-per-s": 5}}},
        },
    )
    assert [row["name"] for row in found["workloads"]] == ["view", "issue", "quick"]
    assert found["workloads"][0] == base["workloads"][0] | {"hard-limit-s": 3.0}
    assert found["workloads"][2] == {"name": "quick", "value": 2.0} | workload()
    assert found["accounts"] == [{"name": "a", "quota-per-s": 5}]
    whole = merge.merge_settings(base, {FLEET: {"workloads": [{"name": "only"} | workload()]}})
    assert [row["name"] for row in whole["workloads"]] == ["only"]
    assert base == settings()


@pytest.mark.parametrize(
    "value, key",
    [
        (3, "fleet: settings: wants a table"),
        ({"workloads": 3}, "settings.workloads: wants a list"),
        ({"workloads": [{"value": 1}]}, "settings.workloads.0: wants a table with a name"),
        ({"workloads": {"view": 3}}, "settings.workloads.view: wants a table"),
        ({"workloads": {"view": {"name": "other"}}}, "settings.workloads.view.name: 'other'"),
        ({"limits.cancel": True}, "settings.limits.cancel: wants a table"),
    ],
)
def test_a_value_of_the_wrong_shape_is_named_by_scope_and_key(value, key):
    with pytest.raises(ValueError, match=re.escape(key)):
        merge.merge_settings(settings(), {FLEET: value})


def test_what_is_told_in_pairs_is_not_half_covered():
    flat = protocol_settings.flatten(settings())
    with pytest.raises(ValueError, match="told as a pair"):
        merge.merge_settings(flat, {FLEET: {"limits": {"most-launches": 2}}})


def test_scopes_from_the_widest_and_none_for_what_is_not_known():
    scopes = merge.watched_scopes("n1", "z", "r", "portal")
    assert scopes == ("fleet", "region/r", "zone/z", "service/portal", "sidecar/n1")
    assert merge.watched_scopes("n1", "", "", "") == ("fleet", "sidecar/n1")


def test_members_of_the_narrower_scope_go_first_and_may_be_gone():
    found = merge.member_overrides(
        {
            Key("fleet", "member/a"): {"address": "10.0.0.1:1"},
            Key("zone/z", "member/a"): {"gone": True},
            Key("fleet", "member/b"): {"address": "10.0.0.2:1"},
            FLEET: {},
        }
    )
    assert found == {"a": None, "b": {"address": "10.0.0.2:1"}}


class RecordingDict(dict):
    """Records which keys are read."""

    def __init__(self, fields) -> None:
        super().__init__(fields)
        self.read = set()

    def get(self, key, default=None):
        self.read.add(key)
        return super().get(key, default)


def test_the_known_keys_are_just_those_that_are_read():
    table = settings() | {"accounts": [{"name": "a", "quota-per-s": 1}]}
    fields = RecordingDict(protocol_settings.flatten(table))
    rows = {}

    class RecordingSettings(protocol_settings.Settings):
        def items(self, key):
            found = [RecordingSettings(RecordingDict(one.fields)) for one in super().items(key)]
            rows.setdefault(key, []).extend(one.fields for one in found)
            return found

    usual, protocol_settings.Settings = protocol_settings.Settings, RecordingSettings
    try:
        protocol_settings.deployment(fields)
        protocol_settings.idle_timeout_s(fields)
        protocol_settings.connect_timeout_s(fields)
    finally:
        protocol_settings.Settings = usual
    protocol_settings.check(fields)
    read = {key.removesuffix(".count") for key in fields.read if not re.search(r"\.\d+\.", key)}
    assert read == checks.KNOWN_KEYS
    for kind, keys in checks.KNOWN_ROW_KEYS.items():
        assert set().union(*(row.read for row in rows[kind])) == keys


@pytest.mark.parametrize(
    "more, key",
    [
        ({"limits": {"most-lunches": 3}}, "limits.most-lunches: unknown; the nearest known key is limits."),
        (
            {"workloads": {"view": {"hard-limit": 3}}},
            "settings.workloads.hard-limit: unknown; the nearest known",
        ),
        ({"instance": 3}, "settings.instance: unknown; the nearest known key is instances"),
        ({"instances": 0}, "settings.instances: '0' is not within 1"),
        ({"instances": "many"}, "settings.instances: 'many' is not a number"),
        ({"limits": {"cancel": "perhaps"}}, "settings.limits.cancel: 'perhaps' is neither"),
        ({"workloads": {"view": {"value": -1}}}, "settings.workloads.0.value: '-1' is not within 0"),
        (
            {"workloads": {"view": {"hard-limit-s": 0}}},
            "settings.workloads.0.hard-limit-s: '0' is not above 0",
        ),
        ({"workloads": {"new": {"repeat": "once"}}}, "settings.workloads.3.contract-time-s: missing"),
        ({"workloads": {"view": None, "bid": None, "issue": None}}, "settings.workloads: none would be left"),
        ({"workloads": [{"name": "a"} | workload()] * 2}, "settings.workloads.1.name: 'a' is none, or there"),
        ({"accounts": {"a": {"quota-per-s": "x"}}}, "settings.accounts.0.quota-per-s: 'x' is not a number"),
        ({"tier": 1}, "settings.tier: needs a restart"),
        ({"discovery": "push"}, "settings.discovery: needs a restart"),
        ({"round-s": 1.0}, "settings.round-s: needs a restart"),
        ({"load-report": {"how": "off"}}, "settings.load-report.how: needs a restart"),
        ({"locality": "z"}, "settings.locality: needs a restart"),
        (
            {"invariants": {"dropped-stay-open": True}},
            "settings.invariants.dropped-stay-open: needs a restart",
        ),
    ],
)
def test_what_does_not_fit_is_refused_whole_with_its_key_and_the_old_version_stays(more, key):
    async def check(net):
        await net.in_force({FLEET: {"limits": {"most-launches": 3}}})
        before, told = net.program.engine.sidecar.dispatcher.settings, net.program.settings
        why = await net.refused({MINE: {"beyond-share-value": 0.5} | more})
        assert key in why, why
        assert net.program.engine.sidecar.dispatcher.settings is before and net.program.settings is told
        assert net.version() == 1 and (await net.ask(wanted("s1"))).status == 200
        await until(lambda: net.relay.statuses[-1].refused == 2)
        assert net.relay.statuses[-1].in_force.index == 1 and key[:60] in net.relay.statuses[-1].why
        shown = await net.shown()
        assert shown["version"] == 1 and shown["refused"]["version"] == 2 and key in shown["refused"]["why"]
        await net.in_force({MINE: None})
        assert (await net.shown())["refused"] is None

    network(check, answer_ok)


def test_every_field_of_a_deployment_either_changes_alive_or_is_fixed():
    fixed = {field for field, _ in live_config.RESTART_REQUIRED}
    assert fixed < set(t.Deployment.__dataclass_fields__)
    usual = parse_settings({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()}, {})
    for field in fixed:
        value = getattr(usual.deployment, field)
        other = (not value) if isinstance(value, bool) else "other" if isinstance(value, str) else value + 1
        changed = live_config.replace(usual.deployment, **{field: other})
        with pytest.raises(live_config.IncompatibleConfig, match="needs a restart"):
            live_config.check_restart_required(usual, live_config.replace(usual, deployment=changed))


ZONED = Path(__file__).parent.parent / "deploy" / "operator.toml"


def zoned(**more):
    text = ZONED.read_text() + '\n[config]\nrelays = ["10.0.0.1:7500"]\n'
    table = {"name": "front-1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    told = parse_settings(table | {"settings": settings(**more)}, {})
    return live_config.replace(told, operator_file=operators_file.parse(__import__("tomllib").loads(text)))


def test_where_zones_plan_by_workloads_their_names_and_values_stay_and_limits_change():
    running = zoned()

    def judged(entries: Entries) -> t.Deployment:
        new = live_config.combine(running, entries)
        live_config.check_restart_required(running, new)
        return new.deployment

    view = judged({FLEET: {"workloads": {"view": {"hard-limit-s": 9.0}}, "instances": 7}})
    assert view.workloads[0].hard_limit == 9 * SECOND and view.instances == 7
    for more in ({"view": {"value": 2.0}}, {"view": None}, {"quick": workload()}):
        with pytest.raises(
            live_config.IncompatibleConfig, match="settings.workloads: names and values need a restart"
        ):
            judged({FLEET: {"workloads": more}})
    table = {"map": {name: {} for name in ("north", "south", "coast")}}
    with pytest.raises(live_config.IncompatibleConfig, match="zones: needs a restart"):
        judged({Key("fleet", "zones"): table})
    with pytest.raises(
        live_config.IncompatibleConfig, match="zones.map.north.sparse: unknown; the nearest known key is"
    ):
        judged({Key("fleet", "zones"): {"map": {"north": {"sparse": 1}}}})
    moved = {"address": "10.0.1.11:7400", "zone": "south", "region": "west"}
    with pytest.raises(live_config.IncompatibleConfig, match="needs a restart"):
        judged({Key("fleet", "member/front-1"): moved})


def test_those_that_wait_at_the_door_of_a_workload_that_goes_have_their_turn():
    gate = AdmissionGate(deployment(workloads=[IDEM, KEYED]))
    gate.active, gate.window, gate.peak_rate, now = True, 0.0, 1_000.0, 100 * SECOND
    offers = {name: AdmissionRequest(name, 3 * SECOND) for name in ("view", "bid")}
    assert {gate.admit(now, offer) for offer in offers.values()} == {Verdict.HELD}
    gate.deploy(deployment(workloads=[live_config.replace(IDEM, value=9.0, contract=2 * SECOND)]))
    assert [line.priority for line in gate.queues_by_priority] == [9.0, KEYED.value]
    assert gate.queues["view", False].contract == 2 * SECOND and set(gate.workloads) == {"view"}
    gate.window = 2.0
    assert [(offer.workload, fate) for offer, fate in gate.release(now + 1)] == [
        ("view", Verdict.TAKEN),
        ("bid", Verdict.TAKEN),
    ]
    gate.deploy(deployment(workloads=[IDEM]))
    assert set(gate.queues) == {("view", False)}
