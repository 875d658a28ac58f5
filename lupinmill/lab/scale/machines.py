"""Tables of the target's control machines: what each runs, how many are left, and the effects of each failure
domain. Free of I/O.

Counts are computed. What goes on serving is fixed text, which follows from docs/peers.md, zones.md and
config.md."""

from __future__ import annotations

from lupinmill.lab.scale import capacity, tables
from lupinmill.lab.scale.curves import Bound
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.row import BudgetRow
from lupinmill.lab.scale.show import format_amount, format_count, format_number, markdown_table
from lupinmill.lab.scale.target import SECONDS_PER_DAY, Target
from lupinmill.peers.elector import majority

DAYS_PER_YEAR = 365.0


def failures_per_year(target: Target, machines: float) -> float:
    """Expected failures per year of that many machines, if control machines fail as often as others."""
    all_machines = target.fleet.sidecars + target.control.machines
    return machines * target.faults.failed_a_day / all_machines * DAYS_PER_YEAR


def max_per_place(parts: int, places: int) -> int:
    """Most parts in one place, when spread as evenly as possible."""
    return -(-parts // places)


def most_used_row(rows: list[BudgetRow], role: str) -> BudgetRow | None:
    """The measured row of a role that uses the largest part of its budget."""
    return max(
        (row for row in rows if row.role == role and not row.computation and row.control and row.unit != "s"),
        key=lambda row: row.usage.amount / row.budget,
        default=None,
    )


def format_usage_of(row: BudgetRow | None) -> str:
    if row is None:
        return "not measured"
    return (
        f"{row.what}: {format_amount(row.usage.amount, row.unit)} of {format_amount(row.budget, row.unit)} "
        f"({row.usage.basis})"
    )


def machines_table(target: Target, measured: Measured) -> str:
    rows, control, fleet = capacity.budget_rows(target, measured), target.control, target.fleet
    zone, region = (
        target.machines_a_zone,
        min(control.machines, target.machines_a_zone * max_per_place(fleet.zones, fleet.regions)),
    )
    electors_lost = min(control.electors, max_per_place(control.electors, fleet.zones))
    needed = majority(control.electors) if control.electors else 0
    relays_left = tables.remaining_relays(target)
    found = [
        ("elector", str(control.electors),
         "one member without clients, in different zones and regions, beside a relay",
         format_usage_of(most_used_row(rows, "elector")),
         f"{control.electors - electors_lost} of {control.electors}, {needed} decide"
         if control.electors else "none"),
        ("holder", f"one of the {control.electors}", "the elector that has the lease of the plan",
         format_usage_of(most_used_row(rows, "holder")), "another one takes the lease within 6 s and some"),
        ("source", str(control.sources), "`lupinmill config` writes here",
         format_usage_of(most_used_row(rows, "source")),
         "none if it stood there: no pushes until it is back, all goes on with what it has"),
        ("relay", str(control.relays),
         f"one process on each, {format_count(round(fleet.sidecars / control.relays))} sidecars a process "
         f"in the mean",
         format_usage_of(most_used_row(rows, "relay")),
         f"{relays_left} of {control.relays}, {format_count(round(fleet.sidecars / relays_left))} sidecars "
         f"a process"),
        ("discovery", str(control.discovery), "the platform's own, not ours",
         format_usage_of(most_used_row(rows, "discovery")),
         f"{control.discovery - min(control.discovery, max_per_place(control.discovery, fleet.zones))} of "
         f"{control.discovery}"),
    ]  # fmt: skip
    text = markdown_table(
        ("role", "machines", "runs", "dearest row, in use at the target", "after a zone is lost"), found
    )
    text += (
        f"\n\nA zone has at most {zone} of the {control.machines} machines, a region {region}; "
        f"about {format_number(failures_per_year(target, control.machines))} control machines fail a year, "
        f"a source {format_number(failures_per_year(target, control.sources))} times."
    )
    return text + "\n\n" + recovery_text(target, measured, rows)


def recovery_text(target: Target, measured: Measured, rows: list[BudgetRow]) -> str:
    """Text on when all sidecars are up to date after all control machines restart."""
    found = [row for row in rows if row.role == "relay" and "all are at the newest" in row.what]
    if not found:
        return "After all control machines restart: not measured when all sidecars are back."
    return "After all control machines restart: " + "; ".join(
        f"{row.what}, {format_amount(row.usage.amount, row.unit)} ({row.usage.basis}) of "
        f"{format_amount(row.budget, row.unit)}, {row.verdict}"
        for row in found
    ) + "."  # fmt: skip


def plan_text(rows: list[BudgetRow], fleet: int) -> str:
    quorum_bound: Bound | None = next((row.bound for row in rows if row.key == "half heard"), None)
    if quorum_bound is None or quorum_bound.size >= fleet:
        return "the plan moves traffic out of it"
    return (
        f"no plan in a fleet of over {format_count(quorum_bound.size)} (row above): each sidecar goes by its "
        "own evidence"
    )


def failure_domains_table(target: Target, measured: Measured) -> str:
    rows, control, fleet, faults = (
        capacity.budget_rows(target, measured),
        target.control,
        target.fleet,
        target.faults,
    )
    zones = max_per_place(fleet.zones, fleet.regions)
    electors = max_per_place(control.electors, fleet.regions) if control.electors else 0
    needed = majority(control.electors) if control.electors else 0
    machines_in_region = min(control.machines, zones * target.machines_a_zone)
    plan = plan_text(rows, fleet.sidecars)
    deciding = "goes on" if control.electors - electors >= needed else "stops"
    found = [
        ("a machine",
         f"{format_number(faults.failed_a_day)} a day fail, {format_number(faults.restarted_a_day)} restart",
         "its row in each roster; membership gives it up", "all others; its calls end by their own terms"),
        ("a control machine", f"{format_number(failures_per_year(target, control.machines))} a year",
         f"a relay: its sidecars, {format_count(round(fleet.sidecars / control.relays))} or so, ask another "
         f"one; the source: nothing is pushed until it is back; an elector: {control.electors - 1} of "
         f"{control.electors} are left, {needed} decide",
         "everything, by what is in force"),
        ("a rack", f"{faults.rack} machines, {format_number(faults.racks_a_year)} a year",
         "at most one control machine where they stand in different racks; "
         f"{format_number(100 * faults.rack / fleet.sidecars)}% of the members are given up",
         "everything else; endpoints there are set aside by each caller's own evidence"),
        ("a zone",
         f"{format_count(target.zone_sidecars)} sidecars, {format_number(faults.zones_a_year)} a year",
         f"{target.machines_a_zone} control machines at most; {plan}",
         "the other zones; a share of their calls fails until endpoints there are set aside"),
        ("a region", f"{zones} zones, {format_count(zones * target.zone_sidecars)} sidecars",
         f"{machines_in_region} control machines and {electors} of {control.electors} electors at most: "
         f"deciding {deciding}; {plan}",
         "the other regions"),
        ("a region cut off",
         f"for {format_count(faults.region_cut_s)} s: "
         f"{format_count(faults.region_cut_s * target.goals.changes_a_day / SECONDS_PER_DAY)} changes in the "
         "mean",
         "in it nothing is decided and no version comes; leases there are given up; its relays serve what "
         "they hold",
         "both sides, by the last version and by their own evidence; the plan fades there to the local rule; "
         "afterwards changes or a snapshot are caught up"),
        ("all control machines", "a restart of all",
         "nothing is pushed or decided until they are back; "
         + recovery_text(target, measured, rows)[:-1].lower(),
         "everything, by what is in force"),
    ]  # fmt: skip
    return markdown_table(("domain", "how much, how often", "control loses", "goes on serving"), found)
