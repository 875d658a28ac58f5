"""`lupinmill lab capacity`: extrapolation, N*, order and choice of rows, wrong assumptions, unusable files.

Most tests use invented figures; the last ones compare the page with the command's output."""

import re
import tomllib
from dataclasses import replace

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinmill.cli import capacity as capacity_command
from lupinmill.cli.lab import lab
from lupinmill.lab.scale import capacity, computed, curves, fit, measured, page, page_run, tables, target
from lupinmill.lab.scale.curves import (
    ANY_SIZE,
    AT_FIRST_SIZE,
    AT_LAST_SIZE,
    COMPUTED,
    EXTRAPOLATED,
    INTERPOLATED,
    MEASURED,
    NEVER,
    Bound,
    Usage,
)
from lupinmill.lab.scale.measured import Added, Figure, Measured, Point
from lupinmill.lab.scale.row import BREAKS, HOLDS, UNKNOWN, BudgetRow
from lupinmill.program import operators_file, process_settings

TARGET = target.read()
SIZES = (100, 300, 1000, 3000)


def figure(
    of,
    role="sidecar",
    name="cpu",
    unit="part of a core",
    grows="members",
    day="quiet",
    sizes=SIZES,
    peak=None,
    seeds=(1, 2),
) -> Figure:
    """A figure whose mean at a size is `of(size)` and whose peak is `peak(size)`."""
    points = [Point(size, seed, of(size), peak(size) if peak else 0.0) for size in sizes for seed in seeds]
    return Figure(role, name, unit, grows, day, points, fit.fit(points))


def run(*figures: Figure, added=()) -> Measured:
    return Measured("lab slopes", "abc", "today", [1, 2], 1.0, 8, list(figures), list(added))


def line(intercept: float, slope: float):
    return lambda size: intercept + slope * size


def square(size: float) -> float:
    return 1e-8 * size**2


def row(key: str, bound: Bound, *next: str, verdict=BREAKS, fatal=True, control=True, added="") -> BudgetRow:
    usage = Usage(2.0, COMPUTED)
    return BudgetRow(
        key, "holder", key, "s", 1.0, usage, bound, verdict, "missing", next, fatal, control, added
    )


# --- the target's file --------------------------------------------------------------------------


def changed(tmp_path, old: str, new: str):
    text = target.FILE.read_text()
    assert old in text
    path = tmp_path / "t.toml"
    path.write_text(text.replace(old, new, 1))
    return path


FAULTS = [
    ("sidecars = 20_000", "sidecar = 20_000", "fleet.sidecar: unknown; the nearest known key is sidecars"),
    ("[assumptions.skew]", "[assumptions.skw]", "assumptions.skw: unknown; the nearest known key is skew"),
    ("[goals]", "[goal]", "goal: unknown; the nearest known key is goals"),
    ("sidecars = 20_000", 'sidecars = "many"', "fleet.sidecars: Expected `int`, got `str`"),
    ("sidecars = 20_000", "sidecars = 0", "fleet.sidecars: Expected `int` >= 1"),
    ("cpu = 0.044", "cpu = 4.4", "sidecar.cpu: Expected `float` <= 1.0"),
    ("cpu = 0.044", "cpu = nan", "sidecar.cpu: Expected"),
    ("in_force_s = 12.0", "in_force_s = inf", "goals.in_force_s: Expected `float` <= 1000000000000.0"),
    ("in_force_s = 12.0 ", "", "goals.in_force_s: missing"),
    ("value = 8.0", "value = 0.5", "assumptions.skew.value: must be 1 to 10000"),
    ("regions = 7", "regions = 30", "fleet.regions: must be at most fleet.zones, 20"),
    ("zones = 20", "zones = 9_000\nservices = 1", "Cannot overwrite a value"),
    ("machines = 50 ", "machines = 4 ", "control.electors: must be at most control.machines, 4"),
]


@pytest.mark.parametrize("old, new, said", FAULTS)
def test_a_target_that_can_not_be_used_is_one_line_that_names_the_key(tmp_path, old, new, said):
    path = changed(tmp_path, old, new)
    done = CliRunner().invoke(lab, ["capacity", "--target", str(path)])
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and said in done.stderr
    assert done.stderr.startswith(f"lupinmill: {path}: ")


@pytest.mark.parametrize(
    "data, said",
    [
        (None, "No such file"),
        (b"\xff", "not valid UTF-8"),
        (b"a = ", "Invalid value"),
        (b"#" * (target.MAX_FILE_BYTES + 1), "over"),
    ],
)
def test_a_file_that_is_none_is_one_line(tmp_path, data, said):
    path = tmp_path / "t.toml"
    if data is not None:
        path.write_bytes(data)
    done = CliRunner().invoke(lab, ["capacity", "--target", str(path)])
    assert done.exit_code == 2 and done.stderr.count("\n") == 1 and said in done.stderr


@pytest.mark.parametrize(
    "data, said",
    [
        (None, "No such file"),
        (b"{", "truncated"),
        (b"{}", "missing required"),
        (b'{"comand": 1}', "unknown field"),
    ],
)
def test_measured_figures_that_can_not_be_used_are_one_line(tmp_path, data, said):
    path = tmp_path / "m.json"
    if data is not None:
        path.write_bytes(data)
    done = CliRunner().invoke(lab, ["capacity", "--measured", str(path)])
    assert done.exit_code == 2 and done.stderr.count("\n") == 1 and said in done.stderr


def test_every_assumption_has_a_range_and_a_reason():
    assert set(target.RANGES) == set(target.Assumptions.__struct_fields__)
    assert all(getattr(TARGET.assumptions, name).reason for name in target.RANGES)


# --- what may be extended -----------------------------------------------------------------------


def test_a_value_between_sizes_lies_between_them_and_at_one_it_is_measured():
    curve = curves.make_curve(figure(line(1, 0.01)).points, False)
    assert curves.value_at(curve, 1000) == Usage(11.0, MEASURED, 1000)
    between = curves.value_at(curve, 2000)
    assert between.basis == INTERPOLATED and between.amount == pytest.approx(21)


def test_a_straight_line_is_extended_and_says_so():
    curve = curves.make_curve(figure(line(1, 0.01)).points, False)
    usage = curves.value_at(curve, 20_000)
    assert usage.basis == EXTRAPOLATED and usage.amount == pytest.approx(201)
    found = curves.breaking_size(curve, 100)
    assert found.kind == "at" and found.extrapolated and found.size == pytest.approx(9_900)


def test_a_curved_figure_is_never_extended():
    curve = curves.make_curve(figure(square).points, False)
    assert curve.line is None
    assert curves.value_at(curve, 20_000) == Usage(square(3000), AT_LAST_SIZE, 3000)
    assert curves.value_at(curve, 10) == Usage(square(100), AT_FIRST_SIZE, 100)
    assert curves.breaking_size(curve, 1.0) == Bound("over", 3000)
    assert curves.breaking_size(curve, square(50)) == Bound("under", 100)


def test_two_sizes_are_no_line():
    curve = curves.make_curve(figure(line(1, 0.01), sizes=(100, 300)).points, False)
    assert curves.value_at(curve, 1000).basis == AT_LAST_SIZE and curves.breaking_size(curve, 100) == Bound(
        "over", 300
    )


def test_one_size_says_nothing_of_others():
    curve = curves.make_curve(figure(line(1, 0), sizes=(20_000,)).points, False)
    assert curves.value_at(curve, 20_000) == Usage(1, MEASURED, 20_000)
    assert curves.breaking_size(curve, 2) == Bound("over", 20_000) and curves.breaking_size(
        curve, 0.5
    ) == Bound("under", 20_000)


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.floats(0.5, 3), st.floats(1e-3, 1e3), st.floats(100, 1e6))
def test_no_power_but_a_line_is_ever_used_beyond_its_sizes(power, budget, size):
    curve = curves.make_curve(figure(lambda n: 1e-6 * n**power).points, False)
    usage, bound = curves.value_at(curve, size), curves.breaking_size(curve, budget)
    if curve.line is None:
        assert usage.basis != EXTRAPOLATED and not bound.extrapolated
        assert min(curve.values) <= usage.amount <= max(curve.values)
    else:
        assert 0.85 < power < 1.15


@pytest.mark.parametrize("power", [0.8, 1.15, 1.3])
def test_a_slow_curve_that_passes_for_straight_is_not_extended(power):
    one = figure(lambda n: 1e-6 * n**power)
    assert curves.make_curve(one.points, False).line is None
    assert one.fit.straight or power == 1.3


def test_where_nothing_grows_no_size_breaks_and_where_the_intercept_does_any_size_breaks():
    flat = curves.make_curve(figure(line(1, 0)).points, False)
    assert curves.breaking_size(flat, 2) == NEVER and curves.breaking_size(flat, 0.9) == ANY_SIZE
    falling = curves.make_curve(figure(line(10, -0.001)).points, False)
    assert curves.breaking_size(falling, 11) == NEVER


def test_no_line_is_used_beyond_ten_times_its_last_size():
    curve = curves.make_curve(figure(line(1, 0.01)).points, False)
    assert curves.value_at(curve, 30_000).basis == EXTRAPOLATED and curves.value_at(curve, 30_001) == Usage(
        31.0, AT_LAST_SIZE, 3000
    )
    assert curves.breaking_size(curve, 300).kind == "at" and curves.breaking_size(curve, 302) == Bound(
        "over", 30_000, True
    )


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.floats(0, 1), st.floats(1e-3, 1e-2), st.floats(1.5, 1e3))
def test_n_star_of_a_known_slope(intercept, slope, budget):
    curve = curves.make_curve(figure(line(intercept, slope)).points, False)
    found = curves.breaking_size(curve, budget)
    breaks = (budget - intercept) / slope
    if breaks > 10 * SIZES[-1]:
        assert found == Bound("over", 10 * SIZES[-1], True)
    else:
        assert found.kind == "at" and found.size == pytest.approx(breaks, rel=1e-6)
        assert found.extrapolated == (not SIZES[0] <= found.size <= SIZES[-1])


def test_a_budget_breaks_at_the_worst_seeds_peak():
    points = [Point(size, seed, size, size * (2 + seed)) for size in SIZES for seed in (1, 2)]
    assert curves.value_at(curves.make_curve(points, True), 1000).amount == 4000
    one = Figure("elector", "evidence cpu", "part of a core", "members", "quiet", points, fit.fit(points))
    found = by_key(run(one))["elector evidence cpu quiet, by members"]
    assert found.usage.amount == pytest.approx(80_000) and found.mean.amount == pytest.approx(20_000)


# --- rows ---------------------------------------------------------------------------------------


def by_key(one: Measured, wanted=TARGET) -> dict[str, BudgetRow]:
    return {row.key: row for row in capacity.budget_rows(wanted, one)}


def test_n_star_is_of_the_fleet_whatever_the_figure_grows_with():
    relay = by_key(run(figure(line(0, 0.001), "relay", "core cpu", grows="sidecars")))
    relay = relay["relay core cpu quiet, by sidecars"]
    a_relay = 20_000 / (50 - 3)  # with a zone of the control machines lost
    assert relay.usage.amount == pytest.approx(0.001 * a_relay)
    assert relay.bound.size == pytest.approx(500 * 20_000 / a_relay)
    sidecar = by_key(run(figure(line(0, 0.044 / 5000))))["sidecar cpu quiet, by members"]
    assert sidecar.bound.size == pytest.approx(5000) and sidecar.verdict == BREAKS


def test_figures_of_one_relay_are_by_its_own_sidecars_and_others_by_the_fleets():
    def size(name: str, role: str = "relay") -> float:
        return tables.size_at_target(TARGET, figure(line(1, 0), role, name, grows="sidecars"))

    assert size("process cpu") == size("core memory") == size("watch cpu", "sidecar") == 20_000 / 47
    assert size("time until all are at the newest") == size("calls, all relays") == 20_000


def test_a_day_run_to_compare_real_members_with_hollow_ones_sizes_nothing():
    one = figure(line(0.2, 0), day="quiet, sockets", sizes=(30,))
    one.points += [Point(30, 0, 0.25, hollow=False)]
    assert "sidecar cpu quiet, sockets, by members" not in by_key(run(one))
    assert "| sidecar | cpu, quiet, sockets | 30 | 20% | 25% | -20% |" in page_run.run_section(
        TARGET, run(one)
    )


def test_more_changes_a_second_are_no_larger_fleet():
    key, rates = "sidecar cpu ordinary, by changes a second", (0.36, 3.6, 36)
    config = figure(line(0, 0.001), grows="changes a second", day="ordinary", sizes=rates)
    restart = "time until all are at the newest"
    fleet = figure(line(2, 0), "relay", restart, "s", "sidecars", sizes=(2000, 20_000))
    ours = by_key(run(config, fleet))[key]
    assert ours.verdict == HOLDS and ours.bound == Bound("over", 20_000)
    larger = msgspec.structs.replace(TARGET, fleet=msgspec.structs.replace(TARGET.fleet, sidecars=40_000))
    assert by_key(run(config, fleet), larger)[key].verdict == UNKNOWN


def test_a_curved_row_is_not_known_beyond_its_sizes_and_broken_where_it_broke():
    curved = by_key(run(figure(lambda n: 1e-9 * n**2)))["sidecar cpu quiet, by members"]
    assert (curved.verdict, curved.bound) == (UNKNOWN, Bound("over", 3000))
    steep = by_key(run(figure(lambda n: 1e-7 * n**2, "holder", "evidence cpu")))
    steep = steep["holder evidence cpu quiet, by members"]
    assert steep.verdict == BREAKS and 1000 < steep.bound.size < 3000


def test_bytes_in_and_out_are_one_budget():
    ways = (("bytes in", 3000), ("bytes out", 6000))
    one = run(*(figure(line(amount, 0), name=name, unit="bytes/s") for name, amount in ways))
    found = by_key(one)["sidecar bytes quiet, by members"]
    assert found.usage.amount == pytest.approx(9000) and found.verdict == BREAKS and found.bound == ANY_SIZE


def test_a_new_file_for_each_machine_that_comes_back_grows_with_the_square_of_the_fleet():
    one = figure(line(0, 87.0), name="file bytes", unit="bytes", day="change", sizes=(1000, 3000, 20_000))
    found = by_key(run(one))["sidecar file bytes change, by members"]
    a_second = (95 + 1200) * 10 / 86_400
    assert found.usage == Usage(pytest.approx(87 * 20_000 * a_second), MEASURED, 20_000)
    assert found.unit == "bytes/s" and found.bound.kind == "at" and 3000 < found.bound.size < 20_000
    half = by_key(run(msgspec.structs.replace(one, points=one.points[:4])))
    half = half["sidecar file bytes change, by members"]
    assert half.usage == Usage(pytest.approx(87 * 3000 * a_second * 3000 / 20_000), AT_LAST_SIZE, 3000)


def test_hollow_members_count_and_real_ones_stand_beside_them():
    one = figure(line(0.01, 0))
    one.points += [Point(30, 1, 0.5, hollow=False)]
    assert by_key(run(one))["sidecar cpu quiet, by members"].usage.amount == pytest.approx(0.01)


def test_a_figure_without_budget_or_size_is_still_on_the_page():
    one = run(figure(line(5, 0), name="rows"), figure(line(5, 0), grows="moons"))
    assert {(f.name, f.grows_with) for f, _, _ in capacity.figures_without_budget(TARGET, one)} == {
        ("rows", "members"),
        ("cpu", "moons"),
    }
    assert "rows, quiet" in page.roles_table(TARGET, one) and "no such size" in page.roles_table(TARGET, one)


def calls(rate: float, seed: int, added: float) -> Added:
    return Added(rate, seed, 0.001, 0.002, 0.0015, 0.002 + added)


def test_time_added_is_judged_at_the_mean_rate_and_at_the_hottest_sidecars():
    one = run(added=[calls(285, 1, 0.0009), calls(285, 2, 0.0011), calls(2280, 1, 0.0081)])
    rows = by_key(one)
    assert (rows["added mean"].verdict, rows["added mean"].bound) == (HOLDS, NEVER)
    assert (rows["added hottest"].verdict, rows["added hottest"].bound) == (BREAKS, ANY_SIZE)
    assert rows["added mean"].usage.amount == pytest.approx(0.001) and not rows["added mean"].control


def test_a_run_in_which_the_sidecar_waited_for_a_core_judges_no_time_added():
    def part(name: str, mean: float) -> Figure:
        return Figure("sidecar", name, "s", "calls a second", "ordinary", [Point(285, 1, mean)])

    for waited, said in ((0.00001, BREAKS), (0.0005, UNKNOWN)):
        parts = (part("cpu a call", 0.002), part("core waited for a call", waited))
        found = by_key(run(*parts, added=[calls(285, 1, 0.4)]))["added mean"]
        assert found.verdict == said and ("disturbed" in found.what) == (said == UNKNOWN)


def test_rows_of_the_text_follow_its_constants(monkeypatch):
    assert by_key(run())["members"].bound == Bound("at", operators_file.MAX_MEMBERS)
    monkeypatch.setattr(operators_file, "MAX_MEMBERS", 50_000)
    found = by_key(run())["members"]
    assert found.verdict == HOLDS and found.bound.size == 50_000


def test_the_text_refuses_a_change_of_settings_while_it_runs():
    """The row `settings` assumes this."""
    from bed import deployment

    one = process_settings.ProcessSettings(
        "n", "127.0.0.1:1", "127.0.0.1:2", deployment(), None, 1, None, 1.0, 1.0
    )
    assert process_settings.changes_needing_restart(one, one) == []
    assert process_settings.changes_needing_restart(
        one, replace(one, deployment=replace(one.deployment, instances=99))
    ) == ["settings"]
    found = by_key(run())["settings"]
    assert found.bound == ANY_SIZE and found.usage.amount == 31_000 * 24


def test_words_of_members_run_out_from_the_size_on_that_the_text_gives():
    rows = by_key(run())
    assert rows["words"].bound == Bound("at", 1500) and rows["half heard"].bound == Bound("at", 3000)
    assert rows["plan counts"].bound == Bound("at", 750)


# --- order and choice ---------------------------------------------------------------------------


def test_rows_stand_by_n_star_smallest_first():
    bounds = [NEVER, Bound("over", 500), Bound("at", 500), Bound("unknown"), Bound("under", 500), ANY_SIZE]
    bounds.append(Bound("at", 9))
    order = sorted(bounds, key=lambda bound: bound.sort_key)
    assert [b.kind for b in order] == ["any", "at", "under", "at", "over", "never", "unknown"]
    found = capacity.budget_rows(TARGET, run(figure(line(0, 1e-5)), figure(square, "holder", "evidence cpu")))
    assert [row.bound.sort_key for row in found] == sorted(row.bound.sort_key for row in found)


def test_the_choice_is_the_smallest_n_star_of_controls_fatal_rows():
    rows = [
        row("early", Bound("at", 10), "cells", fatal=False),
        row("path", ANY_SIZE, "added", control=False),
        row("holds", Bound("at", 5), "lists", verdict=HOLDS),
        row("later", ANY_SIZE, "layers", added="config"),
        row("first", Bound("at", 100), "rosters"),
        row("second", Bound("at", 200), "cells"),
    ]
    choice = capacity.choose_mechanism(rows)
    assert choice.row.key == "first" and choice.mechanism == "rosters"
    assert (
        capacity.choose_mechanism([one for one in rows if not one.fatal or not one.control or one.requires])
        is None
    )


def test_of_equals_the_one_that_more_rows_stand_on_is_chosen():
    rows = [
        row("a", ANY_SIZE, "config"),
        row("b", ANY_SIZE, "cells"),
        row("c", Bound("at", 9), "lists", "cells"),
        row("d", Bound("at", 9), "config", verdict=HOLDS),
    ]
    choice = capacity.choose_mechanism(rows)
    assert choice.mechanism == "cells" and choice.dependents == {"cells": 2, "config": 1, "lists": 1}
    assert {one.key for one in choice.tied} == {"a", "b"}
    rows += [row("e", Bound("at", 9), "config"), row("f", Bound("at", 9), "config")]
    assert capacity.choose_mechanism(rows).mechanism == "config"


def test_a_row_whose_mechanism_is_measured_counts_by_what_it_has_become():
    before = run()
    assert "settings" in [
        r.key for r in capacity.open_rows(TARGET, before, capacity.budget_rows(TARGET, before))
    ]
    force = figure(line(1.5, 0), "sidecar", "time in force", "s", "sidecars", "ordinary", (1000, 20_000))
    now = run(force)
    rows = capacity.budget_rows(TARGET, now)
    assert "settings" not in [r.key for r in capacity.open_rows(TARGET, now, rows)]
    assert (
        capacity.choose_mechanism(rows).row.key == "settings"
    )  # rows of existing mechanisms don't count in the choice
    assert "1.5 s, of 12 s, holds" in page.before_after_tables(TARGET, now)
    slow = run(msgspec.structs.replace(force, points=[Point(20_000, 1, 15.0)]))
    left = [r.key for r in capacity.open_rows(TARGET, slow, capacity.budget_rows(TARGET, slow))]
    assert "sidecar time in force ordinary, by sidecars" in left


def test_a_row_may_have_become_a_computed_one():
    sizes = (1000, 3000, 20_000)
    one = run(figure(line(0, 87.0), name="file bytes", unit="bytes", day="change", sizes=sizes))
    rows = by_key(one)
    file, entries = rows["sidecar file bytes change, by members"], rows[tables.MEMBER_ENTRIES]
    assert file.verdict == BREAKS and entries.verdict == HOLDS and entries.requires == "config"
    assert capacity.successors(TARGET, one, file) == [entries]
    assert file not in capacity.open_rows(TARGET, one, list(rows.values()))


def test_the_table_of_mechanisms_is_whole():
    named = {name for rule in tables.BUDGET_RULES for name in rule.mechanisms}
    named |= {name for row in computed.budget_rows(TARGET) for name in row.mechanisms}
    assert named <= set(tables.MECHANISMS)
    for one in tables.MECHANISMS.values():
        assert len(one.design) == 3 and all(re.fullmatch(r"[A-Z][^.]*\.", text) for text in one.design)
    assert {rule.budget for rule in tables.BUDGET_RULES} <= set(tables.BUDGETS)
    files = [row.carried_by for row in computed.budget_rows(TARGET)] + [
        rule.carried_by for rule in tables.BUDGET_RULES
    ]
    root = target.FILE.parents[3]
    assert all((root / file).exists() for file in files if file != tables.MISSING)


# --- wrong by three -----------------------------------------------------------------------------


def test_an_assumption_wrong_by_three_moves_the_verdicts_that_stand_on_it():
    one = run(figure(line(0, 0.044 / 15_000)), added=[calls(285, 1, 0.001), calls(2280, 1, 0.002)])
    less, more = capacity.sensitivities(TARGET, one)["pace"]
    assert (less.value, more.value) == (pytest.approx(1 / 3), 3.0)
    assert ("sidecar cpu quiet, by members", BREAKS, HOLDS) in more.verdicts
    assert ("added mean", HOLDS, BREAKS) in less.verdicts
    assert ("sidecar cpu quiet, by members", BREAKS, HOLDS) not in less.verdicts
    assert capacity.sensitivity(TARGET, run(), "skew", 3).figures == 0
    assert capacity.sensitivity(TARGET, run(), "control_load", 3).value == 1  # within its range


def test_wrong_by_nothing_moves_nothing():
    one = run(figure(line(0, 1e-5)), figure(square, "holder", "evidence cpu"))
    assert all(capacity.sensitivity(TARGET, one, name, 1).figures == 0 for name in target.RANGES)


# --- page and command ---------------------------------------------------------------------------


def written(tmp_path, one: Measured):
    path = tmp_path / "m.json"
    measured.write(one, path)
    return ["capacity", "--measured", str(path)]


def test_another_target_gives_another_table(tmp_path):
    arguments = written(tmp_path, run(figure(line(0, 0.044 / 5000))))
    small = changed(tmp_path, "sidecars = 20_000", "sidecars = 1_000")
    ours = CliRunner().invoke(lab, arguments).stdout
    theirs = CliRunner().invoke(lab, [*arguments, "--target", str(small)]).stdout
    row = "| sidecar | cpu, quiet | 4.4% | 17.6% (extended) | none: 4 times the budget | 5,000, extended |"
    assert row in ours
    assert "| sidecar | cpu, quiet | 4.4% | 0.88% | 80% | 5,000, extended | holds |" in theirs


def test_a_page_takes_the_commands_blocks_and_keeps_what_stands_around_them(tmp_path):
    path = tmp_path / "p.md"
    marks = [f"{page.BEGIN.format(name)}\nold\n{page.END.format(name)}" for name in page.BLOCKS]
    path.write_text("# Page\n\n" + "\n\nwords\n\n".join(marks) + "\n\nend\n")
    blocks = page.render_blocks(TARGET, run(figure(line(0, 1e-5))))
    page.write_blocks(path, blocks)
    assert page.parse_blocks(path.read_text()) == blocks
    assert path.read_text().startswith("# Page\n") and path.read_text().count("\nwords\n") == len(marks) - 1
    for broken in ("# Page\n", path.read_text() + blocks["order"]):
        path.write_text(broken)
        with pytest.raises(page.MarkersNotFound):
            page.write_blocks(path, blocks)
        assert path.read_text() == broken


def test_a_page_is_not_written_from_another_target(tmp_path):
    done = CliRunner().invoke(lab, ["capacity", "--write", "--target", str(target.FILE)])
    assert done.exit_code == 2 and done.stderr.count("\n") == 1


def test_the_page_is_what_the_command_prints_word_for_word():
    done = CliRunner().invoke(lab, ["capacity"])
    assert done.exit_code == 0
    stands = page.parse_blocks(capacity_command.PAGE.read_text())
    assert done.stdout == "\n\n".join(stands.values()) + "\n"


def test_no_figure_stands_in_the_pages_own_words():
    """Figures appear in the generated blocks only, so that they can't become outdated."""
    text = capacity_command.PAGE.read_text()
    for name in page.BLOCKS:
        text = page.block_pattern(name).sub("", text)
    text = re.sub(r"`[^`]*`|\[[^\]]*\]\([^)]*\)|docs/\S+|HTTP/1\.1", "", text)
    assert not re.search(r"\d", text), re.search(r".*\d.*", text)[0]


def test_the_target_is_that_of_the_letter():
    table = tomllib.loads(target.FILE.read_text())
    assert table["fleet"] == {
        "endpoints": 20_000,
        "sidecars": 20_000,
        "services": 840,
        "depth": 7,
        "calls_a_second": 5_700_000,
        "regions": 7,
        "zones": 20,
    }
    assert table["goals"] == {"added_p99_ms": 1.1, "changes_a_day": 31_000, "in_force_s": 12.0}
    assert table["sidecar"] == {"cpu": 0.044, "memory_mb": 64.0, "bytes_a_second": 8000.0}
    assert table["control"]["machines"] == 50
    assert (table["faults"]["failed_a_day"], table["faults"]["restarted_a_day"]) == (95, 1200)
