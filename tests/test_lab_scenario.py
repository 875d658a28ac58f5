"""Scenario files: validation errors with file, key and reason; inheritance; draws by seed."""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill.lab import scenario
from lupinmill.lab.experiments import Variant, grid, parse_variant
from lupinmill.lab.scenario import BadScenario
from lupinmill.lab.timeline import SECOND, Timeline
from lupinmill.lab.world import World, draw, random_stream
from lupinmill.lab.world.troubles.plan import KINDS, plan


def write_scenario(folder: Path, text: str, name: str = "mine.toml") -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    "text, key",
    [
        ("[load]\nrat = 5", "rat"),
        ("[[trouble]]\nkind = 'earthquake'", "trouble[0].kind"),
        ("seconds = 'long'", "seconds"),
        ("seconds = [60, 30]", "seconds"),
        ("[load]\nrate = -3", "load.rate"),
        ("[load]\nrate = 3\npart = 0.5", "load"),
        ("[[trouble]]\nkind = 'crash'\ntier = 'cellar'", "tier"),
        ("[[trouble]]\nkind = 'tenant_burst'", "kind"),
        ("[[workload]]\nname = 'v'\ncontract_s = 3.0\nhard_limit_s = 1.0", "contract_s"),
        ("[[tier]]\nname = 'a'\n[[tier]]\nname = 'a'", "tier"),
        ("tier = []", "tier"),
        ("base = 'nowhere'", "nowhere"),
        ("base = 7", "base"),
        ("base = 'mine'", "base"),
        ("not toml", "mine.toml"),
        ("[[tier]]\nname = 'a'\n[[tier.kind]]\nname = 'k'\ncancel = 'some'", "cancel"),
    ],
)
def test_what_is_wrong_is_named_in_one_line_with_file_and_key(tmp_path: Path, text: str, key: str) -> None:
    with pytest.raises(BadScenario) as caught:
        scenario.load(write_scenario(tmp_path, text))
    message = str(caught.value)
    assert "mine.toml" in message and key in message and "\n" not in message


def test_a_missing_file_names_what_is_shipped() -> None:
    with pytest.raises(BadScenario, match="calm"):
        scenario.load("no-such-scenario")


def test_all_that_is_shipped_is_good_and_one_is_large() -> None:
    read = {name: scenario.load(name) for name in scenario.shipped()}
    assert len(read) >= 10 and all(one.title for one in read.values())
    assert any(one.sidecars.count >= 150 and one.tier[0].count >= 70 for one in read.values())


def test_a_base_is_taken_over_key_by_key_and_lists_name_by_name(tmp_path: Path) -> None:
    write_scenario(
        tmp_path,
        "[load]\nrate = 5\nswing = 0.3\n[[tier]]\nname = 'a'\ncount = 3\nprobe_us = 7\n"
        "[[workload]]\nname = 'v'\n[[workload]]\nname = 'w'\nvalue = 4.0",
        "low.toml",
    )
    read = scenario.load(
        write_scenario(
            tmp_path,
            "base = 'low'\n[load]\npart = 0.5\n[[tier]]\nname = 'a'\ncount = 9\n"
            "[[workload]]\nname = 'w'\nvalue = 2.0",
        )
    )
    assert (read.load.rate, read.load.part, read.load.swing) == (None, 0.5, 0.3)
    assert (read.tier[0].count, read.tier[0].probe_us) == (9, 7)
    assert [(w.name, w.value) for w in read.workload] == [("v", 1.0), ("w", 2.0)]


def test_a_list_with_other_names_stands_in_place_of_the_base(tmp_path: Path) -> None:
    write_scenario(tmp_path, "[[tier]]\nname = 'a'", "low.toml")
    read = scenario.load(write_scenario(tmp_path, "base = 'low'\n[[tier]]\nname = 'b'"))
    assert [tier.name for tier in read.tier] == ["b"]


def test_settings_of_the_command_go_by_name_into_lists() -> None:
    read = parse_variant(
        "tier.endpoints.kind.std.speed=2.0;load.part=0.4;limits.copies=false;fewest", "calm"
    ).read()
    assert read.tier[0].kind[0].speed == 2.0 and read.load.part == 0.4 and read.limits.copies is False
    assert parse_variant("fewest", "calm").policy == "fewest"
    for bad in ("tier.cellar.count=3", "speed", "load.prat=1"):
        with pytest.raises(BadScenario):
            parse_variant(bad, "calm").read()


def test_a_grid_has_each_value_with_each_other() -> None:
    found = grid(
        "calm", {"load.part": ["0.3", "0.5"], "limits.launches": ["2", "4"]}, ["lupinmill", "random"]
    )
    assert len(found) == 8 and len({one.name for one in found}) == 8
    with pytest.raises(BadScenario):
        grid("calm", {f"k{at}": [str(v) for v in range(100)] for at in range(4)}, ["random"])


@given(st.integers(0, 2**62))
@settings(max_examples=25, deadline=None, derandomize=True)
def test_any_seed_draws_within_the_ranges_and_the_same_again(seed: int) -> None:
    read = scenario.load("random-day")
    one, two = (World(read, seed, Timeline(SECOND)) for _ in range(2))
    for world in (one, two):
        plan(world, world.driver)
    assert 0.4 <= one.rate / one.capacity() <= 0.6 + 1e-9
    assert 2 <= len(one.trouble_records) <= 4
    assert [(e.spec, e.started) for e in one.tiers[0]] == [(e.spec, e.started) for e in two.tiers[0]]
    assert one.trouble_records == two.trouble_records


def test_each_kind_of_trouble_that_a_scenario_may_name_is_carried_out() -> None:
    assert set(KINDS) == set(get_args(scenario.Trouble))


def test_draws_over_a_wide_range_count_each_part_of_the_scale_alike() -> None:
    random_source = random_stream(5, "x")
    drawn = sorted(draw(random_source, (0.01, 1.0)) for _ in range(2001))
    assert 0.05 < drawn[1000] < 0.2 and 0.01 <= drawn[0] and drawn[-1] <= 1.0


def test_the_variant_of_a_missing_scenario_is_refused() -> None:
    with pytest.raises(BadScenario):
        Variant("x", "no-such-scenario").read()
