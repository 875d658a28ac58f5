"""The page's tables, in Markdown: blocks by name, each between two markers that stand on the page as well, so
that page and command can be compared word for word. Pure but for `put`."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from lupinmill.lab.scale import capacity, machines, page_run, tables
from lupinmill.lab.scale.curves import AT_FIRST_SIZE, AT_LAST_SIZE, AT_THIS_SIZE, Bound, Usage
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.row import BREAKS, BudgetRow
from lupinmill.lab.scale.show import amount, count, digits, headroom, table
from lupinmill.lab.scale.target import Target

BEGIN, END = "<!-- capacity {}: written by `lupinmill lab capacity --write` -->", "<!-- end of {} -->"


class NoPlace(Exception):
    """The text is the one line."""


def nstar(bound: Bound) -> str:
    size = count(round(bound.size))
    return {
        "any": "any size",
        "at": f"{size}, extended" if bound.extrapolated else size,
        "under": f"under {size} as measured",
        "over": f"over {size}, extended" if bound.extrapolated else f"over {size} as measured",
        "never": "none: flat",
    }.get(bound.kind, "not known")


def used(use: Usage, unit: str) -> str:
    text = amount(use.amount, unit)
    if use.basis in (AT_LAST_SIZE, AT_FIRST_SIZE):
        return (
            f"{text} at {count(use.size)}, measured no {'further' if use.basis == AT_LAST_SIZE else 'lower'}"
        )
    return text if use.basis in AT_THIS_SIZE else f"{text} ({use.basis})"


def mean(row: BudgetRow) -> str:
    return "" if row.mean is None else f"; {row.mean_label} {used(row.mean, row.unit)}"


def place(role: str) -> int:
    return tables.ROLES.index(role) if role in tables.ROLES else len(tables.ROLES)


# --- blocks -------------------------------------------------------------------------------------


def of_target(target: Target, _: Measured) -> str:
    f, g, s, c, d = target.fleet, target.goals, target.sidecar, target.control, target.faults
    found = [
        ("endpoints, each with its sidecar", f"{f.endpoints:,} and {f.sidecars:,}"),
        ("services", f"{f.services:,}"),
        ("calls a second", f"{f.calls_a_second:,.0f}, up to {f.depth} deep; "
                           f"{target.calls_a_sidecar:,.0f} a sidecar in the mean"),
        ("time added to a call, 99 in 100", f"{g.added_p99_ms:g} ms"),
        ("regions and zones", f"{f.regions:,} and {f.zones:,}"),
        ("changes of configuration", f"{g.changes_a_day:,.0f} a day, in force everywhere within "
                                     f"{g.in_force_s:g} s"),
        ("a sidecar's control", f"{100 * s.cpu:g}% of a core, {s.memory_mb:g} MB, "
                                f"{amount(s.bytes_a_second, 'bytes/s')}"),
        ("control machines", f"{c.machines:,}: electors {c.electors:,}, sources {c.sources:,}, "
                             f"discovery {c.discovery:,}, and a relay on each"),
        ("faults a day", f"{d.failed_a_day:,.0f} machines fail, {d.restarted_a_day:,.0f} are restarted"),
        ("faults a year", f"a rack of {d.rack:,} {d.racks_a_year:g} times, a zone {d.zones_a_year:g} times; "
                          f"regions lose each other for {d.region_cut_s:,.0f} s"),
    ]  # fmt: skip
    return f"Target: {target.title}.\n\n" + table(("what", "target"), found)


def of_roles(target: Target, measured: Measured) -> str:
    found = [
        (row.role, row.what, amount(row.budget, row.unit), used(row.usage, row.unit) + mean(row),
         headroom(row), nstar(row.bound), row.verdict, row.carried_by)
        for row in sorted(capacity.budget_rows(target, measured), key=lambda row: place(row.role))
    ]  # fmt: skip
    head = ("role", "what", "budget", "use at the target", "headroom", "N*", "verdict", "carried by")
    text = table(head, found)
    others = [
        (figure.role, f"{figure.name}, {figure.day}", figure.grows_with,
         "no such size" if use is None else used(use, figure.unit), "peak" if peaks else "mean")
        for figure, use, peaks in capacity.figures_without_budget(target, measured)
    ]  # fmt: skip
    if others:
        text += "\n\nMeasured, without a budget of the letter:\n\n"
        text += table(("role", "what", "grows with", "at the target", "of"), others)
    return text


def of_computed(target: Target, measured: Measured) -> str:
    """How rows that no run gave are computed."""
    found = [
        (row.role, row.what, row.computation)
        for row in capacity.budget_rows(target, measured)
        if row.computation
    ]
    return table(("role", "what", "how"), found)


def of_order(target: Target, measured: Measured) -> str:
    rows = capacity.open_rows(target, measured, capacity.budget_rows(target, measured))
    found = [
        (str(place), row.what, row.role, nstar(row.bound), row.verdict,
         "yes" if row.fatal else "no", ", ".join(row.mechanisms))
        for place, row in enumerate(rows, 1)
    ]  # fmt: skip
    text = table(("", "row", "role", "N*", "verdict", "fatal", "stands on"), found)
    for name, row in capacity.rows_by_mechanism(rows).items():
        one = tables.MECHANISMS[name]
        why = f"first wanted by: {row.what} ({nstar(row.bound)})" if row else "no row above wants it first"
        text += f"\n\n**{name}: {one.title}** ({one.file}; {why}). {' '.join(one.design)}"
    return text


def of_choice(target: Target, measured: Measured) -> str:
    choice = capacity.choose_mechanism(capacity.budget_rows(target, measured))
    if choice is None:
        return "No row of control breaks: no mechanism is missing."
    apart = [
        row for row in capacity.budget_rows(target, measured) if not row.control and row.verdict == BREAKS
    ]
    equals = ", ".join(row.what for row in choice.tied)
    stand = ", ".join(
        f"{name} {n}" for name, n in sorted(choice.dependents.items(), key=lambda p: (-p[1], p[0]))
    )
    text = (
        "Smallest N* of the rows of control whose failing makes the target impossible: "
        f"{nstar(choice.row.bound)} ({equals}). Rows that break, by the mechanism that they stand on: "
        f"{stand}. So the mechanism missing first is **{choice.mechanism}**: "
        f"{tables.MECHANISMS[choice.mechanism].title}."
    )
    if apart:
        text += " Not of control, and not in the choice: " + "; ".join(
            f"{row.what} ({nstar(row.bound)})" for row in apart
        ) + "."  # fmt: skip
    return text


def of_after(target: Target, measured: Measured) -> str:
    """Use after beside before."""
    found, rows = [], capacity.budget_rows(target, measured)
    for row in rows:
        if not row.successor:
            continue
        now = capacity.successors(target, measured, row)
        what = row.what
        before = f"{used(row.usage, row.unit)} of {amount(row.budget, row.unit)}, {row.verdict}"
        for one in now:
            after = (
                f"{used(one.usage, one.unit)}{mean(one)}, of {amount(one.budget, one.unit)}, {one.verdict}"
            )
            found.append((what, before, one.what, after, nstar(one.bound)))
            what = before = ""
        if not now:
            found.append((row.what, before, "", "not measured", ""))
    text = table(("before", "use", "with the mechanism", "use", "N*"), found)
    added = [
        (row.role, row.what, used(row.usage, row.unit) + mean(row), amount(row.budget, row.unit), row.verdict)
        for row in rows if row.requires
    ]  # fmt: skip
    text += "\n\nWhat it costs:\n\n" + table(("role", "what", "use", "budget", "verdict"), added)
    return text + "\n\n" + together(rows)


def together(rows: list[BudgetRow]) -> str:
    """Budgets are of all of control: membership's part of them and the mechanism's, summed."""
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
            told = " + ".join(f"{used(row.usage, row.unit)} ({row.what})" for row in parts)
            less = (
                ", as far as measured,"
                if any(row.usage.basis in (AT_LAST_SIZE, AT_FIRST_SIZE) for row in parts)
                else ""
            )
            found.append(
                f"{name} {told} = {amount(whole, first.unit)}{less} of {amount(first.budget, first.unit)}"
            )
    return "Together in a sidecar: " + ("; ".join(found) if found else "not measured") + "."


def of_assumptions(target: Target, measured: Measured) -> str:
    def told(one: capacity.Sensitivity) -> str:
        if not one.verdicts:
            return f"{digits(one.value)}: no verdict" + (
                f", figures of {one.figures}" if one.figures else ", no figure"
            )
        return f"{digits(one.value)}: " + "; ".join(f"{key} {was} → {now}" for key, was, now in one.verdicts)

    found = []
    for name, (less, more) in capacity.sensitivities(target, measured).items():
        one = getattr(target.assumptions, name)
        found.append((f"`{name}`", digits(one.value), one.reason, told(less), told(more)))
    return table(("assumption", "value", "what, and why so", "a third: moves", "three times: moves"), found)


BLOCKS: dict[str, Callable[[Target, Measured], str]] = {
    "target": of_target,
    "choice": of_choice,
    "before and after": of_after,
    "roles": of_roles,
    "computed": of_computed,
    "path": page_run.of_path,
    "order": of_order,
    "assumptions": of_assumptions,
    "machines": machines.of_machines,
    "domains": machines.of_domains,
    "run": page_run.of_run,
}


def blocks(target: Target, measured: Measured) -> dict[str, str]:
    """With their markers."""
    return {
        name: f"{BEGIN.format(name)}\n\n{text(target, measured)}\n\n{END.format(name)}"
        for name, text in BLOCKS.items()
    }


def pattern(name: str) -> re.Pattern[str]:
    return re.compile(re.escape(BEGIN.format(name)) + r".*?" + re.escape(END.format(name)), re.DOTALL)


def on_page(text: str) -> dict[str, str]:
    """Blocks as they stand there. Raises NoPlace."""
    found = {}
    for name in BLOCKS:
        stands = pattern(name).findall(text)
        if len(stands) != 1:
            raise NoPlace(
                f"{BEGIN.format(name)}: stands {len(stands)} times on the page, wants to stand once"
            )
        found[name] = stands[0]
    return found


def put(path: Path, new: dict[str, str]) -> None:
    """Raises NoPlace, and then the page stays as it was; OSError."""
    text = path.read_text()
    for name, old in on_page(text).items():
        text = text.replace(old, new[name])
    path.write_text(text)
