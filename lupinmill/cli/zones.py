"""`lupinmill zones`: the plan for traffic between zones, at one sidecar's operators' address."""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec

from lupinmill.cli import asking
from lupinmill.cli.asking import AT, NoAnswer, refuse

MOVED = 8.0  # seconds for a majority to accept what was asked for
SMALL = 0.005


def part(share: float) -> str:
    return f"{share * 100:.0f}%"


def in_words(table: dict[str, Any]) -> list[str]:
    """For a person: what goes where and why, who decides, who goes by what."""
    trust, holder = table["trust"], table["holder"]
    lines = [f"Plan {table['version']}: {table['why']}."]
    if table["version"] and trust < 1:
        lines.append(
            f"Nobody has stood behind it for {table['confirmed_s']} s, so it counts for {part(trust)}; else "
            "this sidecar stays at home, and out of a lost home sends a tenth."
        )
    lines.append(
        f"{holder} decides." if holder else "Nobody is known to decide now: no lease on the plan is held."
    )
    if table["pinned"]:
        lines.append("It is pinned by an operator: it changes for nobody until it is unpinned.")
    if table["drained"]:
        lines.append(f"Drained by operators: {', '.join(table['drained'])}.")
    for zone, by in table["plan"].items():
        for workload, shares in by.items():
            away = {to: share for to, share in shares.items() if to != zone and share >= SMALL}
            if away:
                where = ", ".join(f"{part(share)} to {to}" for to, share in away.items())
                budget = table["budgets"][workload]["leave_zone"]
                over = f", over its budget of {part(budget)}" if sum(away.values()) > budget + SMALL else ""
                lines.append(f"  {workload} in {zone}: {where}, {part(shares.get(zone, 0.0))} at home{over}")
    for zone, by in table["ways_out"].items():
        ready = {}
        for shares in by.values():
            for to, share in shares.items():
                ready[to] = max(ready.get(to, 0.0), share)
        if ready:
            where = ", ".join(f"up to {part(share)} to {to}" for to, share in ready.items())
            lines.append(f"  should {zone} be lost: {where}, at once")
    for row in table.get("lost", ()):
        what = "is down" if row["state"] == "down" else "can't be reached"
        lines.append(f"  seen from {row['from']}, {row['zone']} {what}")
    if "capacity" in table:
        for zone, able in table["capacity"].items():
            own = sum(table["traffic"].get(zone, {}).values())
            lines.append(
                f"  {zone}: {own:.0f} a second come to it, its endpoints are held to take {able:.0f}"
            )
    if "applied" in table:
        behind = [name for name, version in table["applied"].items() if version != table["version"]]
        lines.append(
            f"{len(table['applied']) - len(behind)} of {len(table['applied'])} sidecars go by it"
            + (f"; not yet: {', '.join(behind)}" if behind else "")
            + "."
        )
    for workload, counts in table["crossing"].items():
        if counts["launched"]:
            share = counts["crossed"] / counts["launched"]
            lines.append(
                f"{workload}: {part(share)} of this sidecar's first launches have left its zone so far, "
                f"{part(table['budgets'][workload]['leave_zone'])} may."
            )
    return lines


@click.group()
def zones() -> None:
    """Traffic between zones, as the sidecars decide in common."""


@zones.command()
@AT
@click.option("--json", "as_json", is_flag=True, help="The whole table, for programs.")
def show(address: str, as_json: bool) -> None:
    """The plan in force here, why, and who goes by it (asked at the one that decides)."""
    try:
        table = asking.table(address, "zones")
    except NoAnswer as error:
        refuse(error)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(table)).decode())
    else:
        click.echo("\n".join(in_words(table)))


def move(address: str, path: str) -> None:
    try:
        status, data = asking.call(address, f"zones/{path}", "PUT", MOVED)
    except NoAnswer as error:
        refuse(error)
    text = data.decode("utf-8", "replace").strip()
    click.echo(text, err=status != 200)
    sys.exit(0 if status == 200 else 1)


def quoted(zone: str) -> str:
    from urllib.parse import quote

    return quote(zone, safe="")


@zones.command()
@click.argument("zone")
@AT
@click.option("--force", is_flag=True, help="Also where it is the last good zone.")
def drain(zone: str, address: str, force: bool) -> None:
    """Empty a zone by steps, whatever the evidence says. Done when a majority has accepted it."""
    move(address, f"drain?zone={quoted(zone)}{'&force=1' if force else ''}")


@zones.command()
@click.argument("zone")
@AT
def restore(zone: str, address: str) -> None:
    """Let a drained zone come back: a trial, then slowly."""
    move(address, f"restore?zone={quoted(zone)}")


@zones.command()
@AT
def pin(address: str) -> None:
    """Keep the plan as it is."""
    move(address, "pin")


@zones.command()
@AT
def unpin(address: str) -> None:
    """Let it follow the evidence again."""
    move(address, "unpin")
