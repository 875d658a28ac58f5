"""The control machines of the target: what each runs, what is left of them, and what each domain of failure
takes away. Pure. Counts are computed; what goes on is said in words, which docs/peers.md, zones.md and
config.md bear."""

from __future__ import annotations

from lupinmill.lab.scale import capacity, tables
from lupinmill.lab.scale.curves import Bound
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.row import BudgetRow
from lupinmill.lab.scale.show import amount, count, digits, table
from lupinmill.lab.scale.target import SECONDS_PER_DAY, Target
from lupinmill.peers.elector import majority

YEAR = 365.0  # days


def a_year(target: Target, machines: float) -> float:
    """Failures a year of so many, where control machines fail as often as others."""
    all_ = target.fleet.sidecars + target.control.machines
    return machines * target.faults.failed_a_day / all_ * YEAR


def most(parts: int, places: int) -> int:
    """Of so many in one place, spread as evenly as can be."""
    return -(-parts // places)


def dearest(rows: list[BudgetRow], role: str) -> BudgetRow | None:
    """The one of its measured rows that uses most of its budget."""
    return max(
        (row for row in rows if row.role == role and not row.computation and row.control and row.unit != "s"),
        key=lambda row: row.usage.amount / row.budget,
        default=None,
    )


def part(row: BudgetRow | None) -> str:
    if row is None:
        return "not measured"
    return (
        f"{row.what}: {amount(row.usage.amount, row.unit)} of {amount(row.budget, row.unit)} "
        f"({row.usage.basis})"
    )


def of_machines(target: Target, measured: Measured) -> str:
    rows, c, fleet = capacity.budget_rows(target, measured), target.control, target.fleet
    zone, region = (
        target.machines_a_zone,
        min(c.machines, target.machines_a_zone * most(fleet.zones, fleet.regions)),
    )
    lost = min(c.electors, most(c.electors, fleet.zones))
    need = majority(c.electors) if c.electors else 0
    left = tables.remaining_relays(target)
    found = [
        ("elector", str(c.electors),
         "one member without clients, in different zones and regions, beside a relay",
         part(dearest(rows, "elector")),
         f"{c.electors - lost} of {c.electors}, {need} decide" if c.electors else "none"),
        ("holder", f"one of the {c.electors}", "the elector that has the lease of the plan",
         part(dearest(rows, "holder")), "another one takes the lease within 6 s and some"),
        ("source", str(c.sources), "`lupinmill config` writes here", part(dearest(rows, "source")),
         "none if it stood there: no pushes until it is back, all goes on with what it has"),
        ("relay", str(c.relays),
         f"one process on each, {count(round(fleet.sidecars / c.relays))} sidecars a process in the mean",
         part(dearest(rows, "relay")),
         f"{left} of {c.relays}, {count(round(fleet.sidecars / left))} sidecars a process"),
        ("discovery", str(c.discovery), "the platform's own, not ours", part(dearest(rows, "discovery")),
         f"{c.discovery - min(c.discovery, most(c.discovery, fleet.zones))} of {c.discovery}"),
    ]  # fmt: skip
    text = table(
        ("role", "machines", "runs", "dearest row, in use at the target", "after a zone is lost"), found
    )
    text += (
        f"\n\nA zone has at most {zone} of the {c.machines} machines, a region {region}; "
        f"about {digits(a_year(target, c.machines))} control machines fail a year, a source "
        f"{digits(a_year(target, c.sources))} times."
    )
    return text + "\n\n" + back(target, measured, rows)


def back(target: Target, measured: Measured, rows: list[BudgetRow]) -> str:
    """When all sidecars are back after all control machines restart."""
    found = [row for row in rows if row.role == "relay" and "all are at the newest" in row.what]
    if not found:
        return "After all control machines restart: not measured when all sidecars are back."
    return "After all control machines restart: " + "; ".join(
        f"{row.what}, {amount(row.usage.amount, row.unit)} ({row.usage.basis}) of "
        f"{amount(row.budget, row.unit)}, {row.verdict}"
        for row in found
    ) + "."  # fmt: skip


def planned(rows: list[BudgetRow], fleet: int) -> str:
    half: Bound | None = next((row.bound for row in rows if row.key == "half heard"), None)
    if half is None or half.size >= fleet:
        return "the plan moves traffic out of it"
    return f"no plan in a fleet of over {count(half.size)} (row above): each sidecar goes by its own evidence"


def of_domains(target: Target, measured: Measured) -> str:
    rows, c, fleet, d = capacity.budget_rows(target, measured), target.control, target.fleet, target.faults
    zones = most(fleet.zones, fleet.regions)
    electors = most(c.electors, fleet.regions) if c.electors else 0
    need = majority(c.electors) if c.electors else 0
    here = min(c.machines, zones * target.machines_a_zone)
    plan = planned(rows, fleet.sidecars)
    decides = "goes on" if c.electors - electors >= need else "stops"
    found = [
        ("a machine", f"{digits(d.failed_a_day)} a day fail, {digits(d.restarted_a_day)} restart",
         "its row in each roster; membership gives it up", "all others; its calls end by their own terms"),
        ("a control machine", f"{digits(a_year(target, c.machines))} a year",
         f"a relay: its sidecars, {count(round(fleet.sidecars / c.relays))} or so, ask another one; the "
         f"source: nothing is pushed until it is back; an elector: {c.electors - 1} of {c.electors} are "
         f"left, {need} decide",
         "everything, by what is in force"),
        ("a rack", f"{d.rack} machines, {digits(d.racks_a_year)} a year",
         "at most one control machine where they stand in different racks; "
         f"{digits(100 * d.rack / fleet.sidecars)}% of the members are given up",
         "everything else; endpoints there are set aside by each caller's own evidence"),
        ("a zone", f"{count(target.zone_sidecars)} sidecars, {digits(d.zones_a_year)} a year",
         f"{target.machines_a_zone} control machines at most; {plan}",
         "the other zones; a share of their calls fails until endpoints there are set aside"),
        ("a region", f"{zones} zones, {count(zones * target.zone_sidecars)} sidecars",
         f"{here} control machines and {electors} of {c.electors} electors at most: deciding {decides}; "
         f"{plan}",
         "the other regions"),
        ("a region cut off", f"for {count(d.region_cut_s)} s: "
         f"{count(d.region_cut_s * target.goals.changes_a_day / SECONDS_PER_DAY)} changes in the mean",
         "in it nothing is decided and no version comes; leases there are given up; its relays serve what "
         "they hold",
         "both sides, by the last version and by their own evidence; the plan fades there to the local rule; "
         "afterwards changes or a snapshot are caught up"),
        ("all control machines", "a restart of all",
         "nothing is pushed or decided until they are back; " + back(target, measured, rows)[:-1].lower(),
         "everything, by what is in force"),
    ]  # fmt: skip
    return table(("domain", "how much, how often", "control loses", "goes on serving"), found)
