"""Rows that follow from the target and from the text's own constants, without a run. The constants are read
from the modules that serve, so a row moves with them. Pure."""

from __future__ import annotations

from lupinmill.lab.scale import tables
from lupinmill.lab.scale.curves import ANY_SIZE, COMPUTED, NEVER, Bound, Usage
from lupinmill.lab.scale.row import Row, verdict
from lupinmill.lab.scale.tables import CELLS, CONFIG, ROSTERS
from lupinmill.lab.scale.target import Target
from lupinmill.program import operators_file
from lupinmill.zones import driver, member, reports


def rows(target: Target) -> list[Row]:
    return [*settings(target), *rosters(target), *evidence_told(target), *versions(target)]


def row(
    key: str, role: str, what: str, unit: str, use: float, budget: float, bound: Bound, carried: str,
    next: tuple[str, ...], fatal: bool, because: str, added: str = "", after: str = "",
) -> Row:  # fmt: skip
    found = Usage(use, COMPUTED)
    return Row(
        key, role, what, unit, budget, found, bound, verdict(found, budget), carried, next, fatal,
        added=added, after=after, because=because,
    )  # fmt: skip


def proportional(use: float, budget: float, fleet: int) -> Bound:
    return Bound("at", fleet * budget / use)


def either(use: float, budget: float) -> Bound:
    """Of what is the same part of the budget in a fleet of any size."""
    return ANY_SIZE if use > budget else NEVER


def settings(target: Target) -> list[Row]:
    concerned = min(target.assumed("concerned"), target.fleet.sidecars)
    restarts = target.goals.changes_a_day * concerned
    return [
        row(
            "settings", "sidecar", "changes of settings, each a new start", "1/day", restarts,
            target.faults.restarted_a_day, either(restarts, target.faults.restarted_a_day),
            "lupinmill/program/told.py", (CONFIG,), True,
            "a change of workloads, limits, shares or instances is refused by SIGHUP (`told.fixed`): "
            "changes a day times the sidecars that each concerns, against the restarts that a day has "
            "anyhow",
            after="time in force",
        ),
    ]  # fmt: skip


def rosters(target: Target) -> list[Row]:
    fleet, zones = target.fleet.sidecars, target.fleet.zones
    return [
        row(
            "members", "sidecar", "members that one file may have", "members", fleet,
            operators_file.MOST_MEMBERS, Bound("at", operators_file.MOST_MEMBERS),
            "lupinmill/program/operators_file.py", (ROSTERS, CONFIG, CELLS), True,
            "`MOST_MEMBERS`; one more is refused, from the file or as an entry",
        ),
        row(
            "zones", "sidecar", "zones that one file may have", "zones", zones, operators_file.MOST_ZONES,
            proportional(zones, operators_file.MOST_ZONES, fleet), "lupinmill/program/operators_file.py",
            (CELLS, CONFIG), True, "`MOST_ZONES`; the plan's body has 700 bytes",
        ),
    ]  # fmt: skip


def evidence_told(target: Target) -> list[Row]:
    fleet, life = target.fleet.sidecars, reports.REPORT_LIFETIME / 1e6
    every = driver.REPORT_PERIOD_S * max(1.0, fleet / driver.MAX_MEMBERS_AT_FULL_RATE)
    heard = life / member.REPORT_QUORUM
    size, counts = (
        driver.MAX_MEMBERS_AT_FULL_RATE / driver.REPORT_PERIOD_S,
        member.APPLIED_PLAN_LIFETIME / 1e6,
    )
    return [
        row(
            "plan counts", "sidecar", "time between two looks at the plan, each of which counts for 3 s", "s",
            every, counts, Bound("at", counts * size), "lupinmill/zones/driver.py", (CELLS,), True,
            "the module hears of the plan as often as the member tells, every N/250 s "
            "(`MAX_MEMBERS_AT_FULL_RATE`), and goes by "
            "it for `APPLIED_PLAN_LIFETIME`; for the rest of the time it goes as without zones",
        ),
        row(
            "words", "holder", "time between two words of a member, each of which counts for 6 s", "s", every,
            life, Bound("at", life * size), "lupinmill/zones/reports.py", (CELLS,), False,
            "members tell every N/250 s (`MAX_MEMBERS_AT_FULL_RATE`), each word counts for "
            "`REPORT_LIFETIME`; from there on a word "
            "has run out before the next comes",
        ),
        row(
            "half heard", "holder", "time between two words of a member, where the holder wants half of them",
            "s", every, heard, Bound("at", heard * size), "lupinmill/zones/member.py", (CELLS,), True,
            "`REPORT_QUORUM`; from there on there is no plan: a lost zone is left by each sidecar's own "
            "evidence",
        ),
    ]  # fmt: skip


def versions(target: Target) -> list[Row]:
    """With the mechanism: bytes of changes alone, without the heads of calls, which are measured."""
    changes, size = tables.changes(target), target.assumed("change_bytes")
    fleet, concerned = target.fleet.sidecars, min(target.assumed("concerned"), target.fleet.sidecars)
    relays = tables.relays_left(target)
    own, comes = changes * concerned / fleet * size, tables.new_files(target, fleet) * size
    parts = (
        ("changes to one", "sidecar", own, "sidecar.bytes_a_second", "scoped"),
        (tables.ENTRIES, "sidecar", comes, "sidecar.bytes_a_second",
         "an entry for each machine that comes back, to all"),
        ("changes to all", "sidecar", changes * size, "sidecar.bytes_a_second",
         "if no scope kept them apart"),
        ("changes from a relay", "relay", changes * concerned / relays * size, "control_bytes_a_second",
         "with a zone of control machines lost"),
        ("changes from the source", "source", changes * relays * size, "control_bytes_a_second",
         "each relay takes each change"),
    )  # fmt: skip
    found = []
    for key, role, use, budget, because in parts:
        most = tables.BUDGETS[budget](target)
        grows = key != "changes to one"
        found.append(
            row(
                key, role, f"bytes of changes, {because}", "bytes/s", use, most,
                proportional(use, most, fleet) if grows else either(use, most),
                tables.MECHANISMS[CONFIG].file, (CONFIG,), False,
                "changes (or machines) in the dearest minute times `change_bytes`", added=CONFIG,
            )
        )  # fmt: skip
    return found
