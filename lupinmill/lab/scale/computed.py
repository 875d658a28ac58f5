"""Budget rows computed from the target and the program's own constants, without a run.

The constants are read from the program's modules, so the rows follow them. Free of I/O."""

from __future__ import annotations

from lupinmill.lab.scale import tables
from lupinmill.lab.scale.curves import ANY_SIZE, COMPUTED, NEVER, Bound, Usage
from lupinmill.lab.scale.row import BudgetRow, judge
from lupinmill.lab.scale.tables import CELLS, CONFIG, ROSTERS
from lupinmill.lab.scale.target import Target
from lupinmill.program import operators_file
from lupinmill.zones import driver, member, reports


def budget_rows(target: Target) -> list[BudgetRow]:
    return [*settings_rows(target), *roster_rows(target), *report_rows(target), *version_rows(target)]


def computed_row(
    key: str, role: str, what: str, unit: str, usage: float, budget: float, bound: Bound, carried_by: str,
    mechanisms: tuple[str, ...], fatal: bool, computation: str, requires: str = "", successor: str = "",
) -> BudgetRow:  # fmt: skip
    found = Usage(usage, COMPUTED)
    return BudgetRow(
        key, role, what, unit, budget, found, bound, judge(found, budget), carried_by, mechanisms, fatal,
        requires=requires, successor=successor, computation=computation,
    )  # fmt: skip


def proportional(usage: float, budget: float, fleet: int) -> Bound:
    return Bound("at", fleet * budget / usage)


def fleet_independent_bound(usage: float, budget: float) -> Bound:
    """Bound of a row that uses the same part of its budget in a fleet of any size."""
    return ANY_SIZE if usage > budget else NEVER


def settings_rows(target: Target) -> list[BudgetRow]:
    concerned = min(target.assumed("concerned"), target.fleet.sidecars)
    restarts = target.goals.changes_a_day * concerned
    return [
        computed_row(
            "settings", "sidecar", "changes of settings, each a new start", "1/day", restarts,
            target.faults.restarted_a_day, fleet_independent_bound(restarts, target.faults.restarted_a_day),
            "lupinmill/program/process_settings.py", (CONFIG,), True,
            "a change of workloads, limits, shares or instances is refused by SIGHUP"
            " (`process_settings.changes_needing_restart`): "
            "changes a day times the sidecars that each concerns, against the restarts that a day has "
            "anyhow",
            successor="time in force",
        ),
    ]  # fmt: skip


def roster_rows(target: Target) -> list[BudgetRow]:
    fleet, zones = target.fleet.sidecars, target.fleet.zones
    return [
        computed_row(
            "members", "sidecar", "members that one file may have", "members", fleet,
            operators_file.MAX_MEMBERS, Bound("at", operators_file.MAX_MEMBERS),
            "lupinmill/program/operators_file.py", (ROSTERS, CONFIG, CELLS), True,
            "`MAX_MEMBERS`; one more is refused, from the file or as an entry",
        ),
        computed_row(
            "zones", "sidecar", "zones that one file may have", "zones", zones, operators_file.MAX_ZONES,
            proportional(zones, operators_file.MAX_ZONES, fleet), "lupinmill/program/operators_file.py",
            (CELLS, CONFIG), True, "`MAX_ZONES`; the plan's body has 700 bytes",
        ),
    ]  # fmt: skip


def report_rows(target: Target) -> list[BudgetRow]:
    fleet, report_lifetime = target.fleet.sidecars, reports.REPORT_LIFETIME / 1e6
    report_interval = driver.REPORT_PERIOD_S * max(1.0, fleet / driver.MAX_MEMBERS_AT_FULL_RATE)
    quorum_lifetime = report_lifetime / member.REPORT_QUORUM
    size, counts = (
        driver.MAX_MEMBERS_AT_FULL_RATE / driver.REPORT_PERIOD_S,
        member.APPLIED_PLAN_LIFETIME / 1e6,
    )
    return [
        computed_row(
            "plan counts", "sidecar", "time between two looks at the plan, each of which counts for 3 s", "s",
            report_interval, counts, Bound("at", counts * size), "lupinmill/zones/driver.py", (CELLS,), True,
            "the module hears of the plan as often as the member tells, every N/250 s "
            "(`MAX_MEMBERS_AT_FULL_RATE`), and goes by "
            "it for `APPLIED_PLAN_LIFETIME`; for the rest of the time it goes as without zones",
        ),
        computed_row(
            "words", "holder", "time between two words of a member, each of which counts for 6 s", "s",
            report_interval, report_lifetime, Bound("at", report_lifetime * size),
            "lupinmill/zones/reports.py", (CELLS,), False,
            "members tell every N/250 s (`MAX_MEMBERS_AT_FULL_RATE`), each word counts for "
            "`REPORT_LIFETIME`; from there on a word "
            "has run out before the next comes",
        ),
        computed_row(
            "half heard", "holder", "time between two words of a member, where the holder wants half of them",
            "s", report_interval, quorum_lifetime, Bound("at", quorum_lifetime * size),
            "lupinmill/zones/member.py", (CELLS,), True,
            "`REPORT_QUORUM`; from there on there is no plan: a lost zone is left by each sidecar's own "
            "evidence",
        ),
    ]  # fmt: skip


def version_rows(target: Target) -> list[BudgetRow]:
    """Bytes of changes with the `config` mechanism, without the heads of calls, which are measured."""
    changes, size = tables.changes_per_second(target), target.assumed("change_bytes")
    fleet, concerned = target.fleet.sidecars, min(target.assumed("concerned"), target.fleet.sidecars)
    relays = tables.remaining_relays(target)
    own, comes = changes * concerned / fleet * size, tables.new_files_per_second(target, fleet) * size
    parts = (
        ("changes to one", "sidecar", own, "sidecar.bytes_a_second", "scoped"),
        (tables.MEMBER_ENTRIES, "sidecar", comes, "sidecar.bytes_a_second",
         "an entry for each machine that comes back, to all"),
        ("changes to all", "sidecar", changes * size, "sidecar.bytes_a_second",
         "if no scope kept them apart"),
        ("changes from a relay", "relay", changes * concerned / relays * size, "control_bytes_a_second",
         "with a zone of control machines lost"),
        ("changes from the source", "source", changes * relays * size, "control_bytes_a_second",
         "each relay takes each change"),
    )  # fmt: skip
    found = []
    for key, role, usage, budget, computation in parts:
        most = tables.BUDGETS[budget](target)
        grows = key != "changes to one"
        found.append(
            computed_row(
                key, role, f"bytes of changes, {computation}", "bytes/s", usage, most,
                proportional(usage, most, fleet) if grows else fleet_independent_bound(usage, most),
                tables.MECHANISMS[CONFIG].file, (CONFIG,), False,
                "changes (or machines) in the dearest minute times `change_bytes`", requires=CONFIG,
            )
        )  # fmt: skip
    return found
