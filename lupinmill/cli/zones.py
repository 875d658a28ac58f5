"""`lupinmill zones`: the plan for traffic between zones, at the admin address of a sidecar."""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec

from lupinmill.cli import admin_client
from lupinmill.cli.admin_client import ADDRESS_OPTION, AdminCallFailed, exit_with_error

COMMAND_TIMEOUT_S = 8.0  # for a majority to accept the command
NEGLIGIBLE_SHARE = 0.005


def percent(share: float) -> str:
    return f"{share * 100:.0f}%"


def describe(table: dict[str, Any]) -> list[str]:
    """Describes the plan in plain language: traffic shares, reasons, who decides, and who follows it."""
    trust, holder = table["trust"], table["holder"]
    lines = [f"Plan {table['version']}: {table['why']}."]
    if table["version"] and trust < 1:
        lines.append(
            f"Nobody has confirmed it for {table['confirmed_s']} s, so it counts for {percent(trust)}; "
            "otherwise this sidecar stays in its zone, and sends a tenth out of a lost zone."
        )
    lines.append(
        f"{holder} decides."
        if holder
        else "Nobody is known to decide now: nobody holds the lease on the plan."
    )
    if table["pinned"]:
        lines.append("It is pinned by an operator: it does not change until it is unpinned.")
    if table["drained"]:
        lines.append(f"Drained by operators: {', '.join(table['drained'])}.")
    for zone, shares_by_workload in table["plan"].items():
        for workload, shares in shares_by_workload.items():
            away = {to: share for to, share in shares.items() if to != zone and share >= NEGLIGIBLE_SHARE}
            if away:
                where = ", ".join(f"{percent(share)} to {to}" for to, share in away.items())
                budget = table["budgets"][workload]["leave_zone"]
                over = (
                    f", over its budget of {percent(budget)}"
                    if sum(away.values()) > budget + NEGLIGIBLE_SHARE
                    else ""
                )
                lines.append(
                    f"  {workload} in {zone}: {where}, {percent(shares.get(zone, 0.0))} at home{over}"
                )
    for zone, shares_by_workload in table["ways_out"].items():
        ready = {}
        for shares in shares_by_workload.values():
            for to, share in shares.items():
                ready[to] = max(ready.get(to, 0.0), share)
        if ready:
            where = ", ".join(f"up to {percent(share)} to {to}" for to, share in ready.items())
            lines.append(f"  should {zone} be lost: {where}, at once")
    for row in table.get("lost", ()):
        what = "is down" if row["state"] == "down" else "can't be reached"
        lines.append(f"  seen from {row['from']}, {row['zone']} {what}")
    if "capacity" in table:
        for zone, capacity in table["capacity"].items():
            own = sum(table["traffic"].get(zone, {}).values())
            lines.append(
                f"  {zone}: {own:.0f} requests a second arrive, "
                f"the estimated capacity of its endpoints is {capacity:.0f}"
            )
    if "applied" in table:
        not_yet = [name for name, version in table["applied"].items() if version != table["version"]]
        lines.append(
            f"{len(table['applied']) - len(not_yet)} of {len(table['applied'])} sidecars follow it"
            + (f"; not yet: {', '.join(not_yet)}" if not_yet else "")
            + "."
        )
    for workload, counts in table["crossing"].items():
        if counts["launched"]:
            share = counts["crossed"] / counts["launched"]
            lines.append(
                f"{workload}: {percent(share)} of this sidecar's first attempts have left its zone so far, "
                f"{percent(table['budgets'][workload]['leave_zone'])} may leave."
            )
    return lines


@click.group()
def zones() -> None:
    """Traffic between zones, decided jointly by the sidecars."""


@zones.command()
@ADDRESS_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the whole table as JSON.")
def show(address: str, as_json: bool) -> None:
    """Show the plan in force, its reason, and who follows it (if asked at the sidecar that decides)."""
    try:
        table = admin_client.fetch_table(address, "zones")
    except AdminCallFailed as error:
        exit_with_error(error)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(table)).decode())
    else:
        click.echo("\n".join(describe(table)))


def send_zone_command(address: str, path: str) -> None:
    try:
        status, data = admin_client.send_call(address, f"zones/{path}", "PUT", COMMAND_TIMEOUT_S)
    except AdminCallFailed as error:
        exit_with_error(error)
    text = data.decode("utf-8", "replace").strip()
    click.echo(text, err=status != 200)
    sys.exit(0 if status == 200 else 1)


def url_quoted(zone: str) -> str:
    from urllib.parse import quote

    return quote(zone, safe="")


@zones.command()
@click.argument("zone")
@ADDRESS_OPTION
@click.option("--force", is_flag=True, help="Even if it is the last good zone.")
def drain(zone: str, address: str, force: bool) -> None:
    """Drain a zone in steps, regardless of the evidence. Done when a majority has accepted it."""
    send_zone_command(address, f"drain?zone={url_quoted(zone)}{'&force=1' if force else ''}")


@zones.command()
@click.argument("zone")
@ADDRESS_OPTION
def restore(zone: str, address: str) -> None:
    """Bring a drained zone back: first a trial, then gradually."""
    send_zone_command(address, f"restore?zone={url_quoted(zone)}")


@zones.command()
@ADDRESS_OPTION
def pin(address: str) -> None:
    """Freeze the current plan."""
    send_zone_command(address, "pin")


@zones.command()
@ADDRESS_OPTION
def unpin(address: str) -> None:
    """Let the plan follow the evidence again."""
    send_zone_command(address, "unpin")
