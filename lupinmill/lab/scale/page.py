"""The tables of the capacity page in Markdown, as named blocks between markers.

The page has the same markers, so that page and command can be compared word for word. Only
`write_blocks` does I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from lupinmill.lab.scale import capacity, machines, page_run, tables
from lupinmill.lab.scale.curves import AT_FIRST_SIZE, AT_LAST_SIZE, AT_THIS_SIZE, Bound, Usage
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.row import BREAKS, BudgetRow
from lupinmill.lab.scale.show import (
    format_amount,
    format_count,
    format_headroom,
    format_number,
    markdown_table,
)
from lupinmill.lab.scale.target import Target

BEGIN, END = "<!-- capacity {}: written by `lupinmill lab capacity --write` -->", "<!-- end of {} -->"


class MarkersNotFound(Exception):
    """The page does not have the markers of a block exactly once. The message is one line."""


def format_bound(bound: Bound) -> str:
    size = format_count(round(bound.size))
    return {
        "any": "any size",
        "at": f"{size}, extended" if bound.extrapolated else size,
        "under": f"under {size} as measured",
        "over": f"over {size}, extended" if bound.extrapolated else f"over {size} as measured",
        "never": "none: flat",
    }.get(bound.kind, "not known")


def format_usage(usage: Usage, unit: str) -> str:
    text = format_amount(usage.amount, unit)
    if usage.basis in (AT_LAST_SIZE, AT_FIRST_SIZE):
        return (
            f"{text} at {format_count(usage.size)}, measured no "
            f"{'further' if usage.basis == AT_LAST_SIZE else 'lower'}"
        )
    return text if usage.basis in AT_THIS_SIZE else f"{text} ({usage.basis})"


def format_mean(row: BudgetRow) -> str:
    return "" if row.mean is None else f"; {row.mean_label} {format_usage(row.mean, row.unit)}"


def role_order(role: str) -> int:
    return tables.ROLES.index(role) if role in tables.ROLES else len(tables.ROLES)


# --- blocks -------------------------------------------------------------------------------------


def target_table(target: Target, _: Measured) -> str:
    fleet, goals, sidecar, control, faults = (
        target.fleet,
        target.goals,
        target.sidecar,
        target.control,
        target.faults,
    )
    found = [
        ("endpoints, each with its sidecar", f"{fleet.endpoints:,} and {fleet.sidecars:,}"),
        ("services", f"{fleet.services:,}"),
        ("calls a second", f"{fleet.calls_a_second:,.0f}, up to {fleet.depth} deep; "
                           f"{target.calls_a_sidecar:,.0f} a sidecar in the mean"),
        ("time added to a call, 99 in 100", f"{goals.added_p99_ms:g} ms"),
        ("regions and zones", f"{fleet.regions:,} and {fleet.zones:,}"),
        ("changes of configuration", f"{goals.changes_a_day:,.0f} a day, in force everywhere within "
                                     f"{goals.in_force_s:g} s"),
        ("a sidecar's control", f"{100 * sidecar.cpu:g}% of a core, {sidecar.memory_mb:g} MB, "
                                f"{format_amount(sidecar.bytes_a_second, 'bytes/s')}"),
        ("control machines", f"{control.machines:,}: electors {control.electors:,}, "
                             f"sources {control.sources:,}, discovery {control.discovery:,}, "
                             "and a relay on each"),
        ("faults a day", f"{faults.failed_a_day:,.0f} machines fail, "
                         f"{faults.restarted_a_day:,.0f} are restarted"),
        ("faults a year", f"a rack of {faults.rack:,} {faults.racks_a_year:g} times, "
                          f"a zone {faults.zones_a_year:g} times; "
                          f"regions lose each other for {faults.region_cut_s:,.0f} s"),
    ]  # fmt: skip
    return f"Target: {target.title}.\n\n" + markdown_table(("what", "target"), found)


def roles_table(target: Target, measured: Measured) -> str:
    found = [
        (row.role, row.what, format_amount(row.budget, row.unit),
         format_usage(row.usage, row.unit) + format_mean(row),
         format_headroom(row), format_bound(row.bound), row.verdict, row.carried_by)
        for row in sorted(capacity.budget_rows(target, measured), key=lambda row: role_order(row.role))
    ]  # fmt: skip
    head = ("role", "what", "budget", "use at the target", "headroom", "N*", "verdict", "carried by")
    text = markdown_table(head, found)
    others = [
        (figure.role, f"{figure.name}, {figure.day}", figure.grows_with,
         "no such size" if usage is None else format_usage(usage, figure.unit), "peak" if peaks else "mean")
        for figure, usage, peaks in capacity.figures_without_budget(target, measured)
    ]  # fmt: skip
    if others:
        text += "\n\nMeasured, without a budget of the letter:\n\n"
        text += markdown_table(("role", "what", "grows with", "at the target", "of"), others)
    return text


def computed_table(target: Target, measured: Measured) -> str:
    """How rows without measurements are computed."""
    found = [
        (row.role, row.what, row.computation)
        for row in capacity.budget_rows(target, measured)
        if row.computation
    ]
    return markdown_table(("role", "what", "how"), found)


def order_section(target: Target, measured: Measured) -> str:
    rows = capacity.open_rows(target, measured, capacity.budget_rows(target, measured))
    found = [
        (str(rank), row.what, row.role, format_bound(row.bound), row.verdict,
         "yes" if row.fatal else "no", ", ".join(row.mechanisms))
        for rank, row in enumerate(rows, 1)
    ]  # fmt: skip
    text = markdown_table(("", "row", "role", "N*", "verdict", "fatal", "stands on"), found)
    for name, row in capacity.rows_by_mechanism(rows).items():
        one = tables.MECHANISMS[name]
        why = (
            f"first wanted by: {row.what} ({format_bound(row.bound)})"
            if row
            else "no row above wants it first"
        )
        text += f"\n\n**{name}: {one.title}** ({one.file}; {why}). {' '.join(one.design)}"
    return text


def choice_section(target: Target, measured: Measured) -> str:
    choice = capacity.choose_mechanism(capacity.budget_rows(target, measured))
    if choice is None:
        return "No row of control breaks: no mechanism is missing."
    apart = [
        row for row in capacity.budget_rows(target, measured) if not row.control and row.verdict == BREAKS
    ]
    tied = ", ".join(row.what for row in choice.tied)
    dependents = ", ".join(
        f"{name} {n}" for name, n in sorted(choice.dependents.items(), key=lambda p: (-p[1], p[0]))
    )
    text = (
        "Smallest N* of the rows of control whose failing makes the target impossible: "
        f"{format_bound(choice.row.bound)} ({tied}). Rows that break, by the mechanism that they stand on: "
        f"{dependents}. So the mechanism missing first is **{choice.mechanism}**: "
        f"{tables.MECHANISMS[choice.mechanism].title}."
    )
    if apart:
        text += " Not of control, and not in the choice: " + "; ".join(
            f"{row.what} ({format_bound(row.bound)})" for row in apart
        ) + "."  # fmt: skip
    return text


def before_after_tables(target: Target, measured: Measured) -> str:
    """Usage before and after each mechanism, and the cost of the mechanisms."""
    found, rows = [], capacity.budget_rows(target, measured)
    for row in rows:
        if not row.successor:
            continue
        now = capacity.successors(target, measured, row)
        what = row.what
        before = (
            f"{format_usage(row.usage, row.unit)} of {format_amount(row.budget, row.unit)}, {row.verdict}"
        )
        for one in now:
            after = (
                f"{format_usage(one.usage, one.unit)}{format_mean(one)}, of "
                f"{format_amount(one.budget, one.unit)}, {one.verdict}"
            )
            found.append((what, before, one.what, after, format_bound(one.bound)))
            what = before = ""
        if not now:
            found.append((row.what, before, "", "not measured", ""))
    text = markdown_table(("before", "use", "with the mechanism", "use", "N*"), found)
    added = [
        (row.role, row.what, format_usage(row.usage, row.unit) + format_mean(row),
         format_amount(row.budget, row.unit), row.verdict)
        for row in rows if row.requires
    ]  # fmt: skip
    text += "\n\nWhat it costs:\n\n" + markdown_table(("role", "what", "use", "budget", "verdict"), added)
    return text + "\n\n" + combined_usage(rows)


def combined_usage(rows: list[BudgetRow]) -> str:
    """Membership's and the mechanism's usage, summed because budgets cover all of control."""
    found = []
    wanted = {
        "cpu": ("cpu, quiet", "config: watch cpu, ordinary"),
        "bytes": ("bytes, quiet", "evidence bytes, quiet", "config: bytes, ordinary"),
        "memory": ("state, quiet", "config: memory, ordinary"),
    }
    for name, names in wanted.items():
        parts = [row for row in rows if row.role == "sidecar" and row.what in names]
        if len(parts) > 1:
            whole, first = sum(row.usage.amount for row in parts), parts[0]
            described = " + ".join(f"{format_usage(row.usage, row.unit)} ({row.what})" for row in parts)
            less = (
                ", as far as measured,"
                if any(row.usage.basis in (AT_LAST_SIZE, AT_FIRST_SIZE) for row in parts)
                else ""
            )
            found.append(
                f"{name} {described} = {format_amount(whole, first.unit)}{less} of "
                f"{format_amount(first.budget, first.unit)}"
            )
    return "Together in a sidecar: " + ("; ".join(found) if found else "not measured") + "."


def assumptions_table(target: Target, measured: Measured) -> str:
    def described(one: capacity.Sensitivity) -> str:
        if not one.verdicts:
            return f"{format_number(one.value)}: no verdict" + (
                f", figures of {one.figures}" if one.figures else ", no figure"
            )
        return f"{format_number(one.value)}: " + "; ".join(
            f"{key} {was} → {now}" for key, was, now in one.verdicts
        )

    found = []
    for name, (less, more) in capacity.sensitivities(target, measured).items():
        one = getattr(target.assumptions, name)
        found.append((f"`{name}`", format_number(one.value), one.reason, described(less), described(more)))
    return markdown_table(
        ("assumption", "value", "what, and why so", "a third: moves", "three times: moves"), found
    )


BLOCKS: dict[str, Callable[[Target, Measured], str]] = {
    "target": target_table,
    "choice": choice_section,
    "before and after": before_after_tables,
    "roles": roles_table,
    "computed": computed_table,
    "path": page_run.added_time_section,
    "order": order_section,
    "assumptions": assumptions_table,
    "machines": machines.machines_table,
    "domains": machines.failure_domains_table,
    "run": page_run.run_section,
}


def render_blocks(target: Target, measured: Measured) -> dict[str, str]:
    """All blocks, with their markers."""
    return {
        name: f"{BEGIN.format(name)}\n\n{text(target, measured)}\n\n{END.format(name)}"
        for name, text in BLOCKS.items()
    }


def block_pattern(name: str) -> re.Pattern[str]:
    return re.compile(re.escape(BEGIN.format(name)) + r".*?" + re.escape(END.format(name)), re.DOTALL)


def parse_blocks(text: str) -> dict[str, str]:
    """The blocks in the text of the page. Raises MarkersNotFound."""
    found = {}
    for name in BLOCKS:
        matches = block_pattern(name).findall(text)
        if len(matches) != 1:
            raise MarkersNotFound(
                f"{BEGIN.format(name)}: found {len(matches)} times on the page, expected once"
            )
        found[name] = matches[0]
    return found


def write_blocks(path: Path, new: dict[str, str]) -> None:
    """Replaces the blocks on the page.

    Raises MarkersNotFound, which leaves the page unchanged, and OSError.
    """
    text = path.read_text()
    for name, old in parse_blocks(text).items():
        text = text.replace(old, new[name])
    path.write_text(text)
