"""`lupinmill peers`: a sidecar's view of its peers, queried at its admin address."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from lupinmill.cli import admin_client
from lupinmill.cli.admin_client import ADDRESS_OPTION, AdminCallFailed, exit_with_error

STANDING_TEXTS = {
    "together": "it sees most of the sidecars, and joint decisions are possible",
    "in doubt": "views differ, or it is late itself: it keeps its leases, and requests no new ones",
    "cut off": "it sees fewer than half: it serves by its own evidence and decides nothing for others",
    "alone": "it sees no other sidecar: it serves by its own evidence and decides nothing for others",
}
STATUSES = {
    "alive": "there",
    "suspect": "silent, not yet given up",
    "dead": "failed",
    "left": "left by its own word",
    "unknown": "never heard of",
}


def fetch_peers(address: str) -> dict[str, Any]:
    """Raises AdminCallFailed."""
    return admin_client.fetch_table(address, "peers")


def describe(table: dict[str, Any]) -> list[str]:
    """Describes in plain language the members, what this sidecar may do, and the lease holders."""
    standing = table["standing"]
    if "members" not in table:
        return [f"{table['name']}: {standing}"]
    lines = [
        f"{table['name']} is {standing}, for {table['standing_s']} s, sees {table['sees']} of {table['of']}: "
        f"{STANDING_TEXTS.get(standing, '')}"
    ]
    if table["status"] == "left":
        lines.append("It has announced to the others that it leaves.")
    if table["late"] >= 3:
        lines.append("It is late itself, or loses messages: it waits longer before it suspects others.")
    width = max([len(row["name"]) for row in table["members"]] + [6])
    for row in table["members"]:
        place = " ".join(part for part in (row["region"], row["zone"]) if part)
        answered = f", answered {row['answered_s']} s ago" if row["answered_s"] is not None else ""
        elector = ", elector" if row["elector"] else ""
        lines.append(
            f"  {row['name']:<{width}}  {STATUSES.get(row['status'], row['status'])} for {row['since_s']} s"
            f"{', ' + place if place else ''}{elector}{answered}, told by {row['by'] or 'nobody'}"
        )
    elector = table["elector"]
    if elector is not None:
        vote = (
            "votes"
            if elector["votes"]
            else "gives no vote yet: it waits until its earlier promises have expired"
        )
        lines.append(f"It is an elector and {vote}.")
        for row in elector["registers"]:
            holder = row["holder"] or "nobody"
            lines.append(
                f"  {row['topic']}: {holder} under epoch {row['epoch']}, for {row['runs_s']} s more; "
                f"decision {row['version']}"
            )
    for row in table["leases"]:
        if row["held"]:
            lines.append(f"It holds {row['topic']} under epoch {row['epoch']}, for {row['runs_s']} s more.")
        else:
            lines.append(f"It requests {row['topic']}; {row['holder'] or 'nobody'} has it.")
    for row in table["decisions"]:
        lines.append(
            f"It follows decision {row['version']} on {row['topic']}, made under epoch {row['epoch']}."
        )
    refused = {**table["dropped"], **table["datagrams"]["refused"]}
    if refused:
        lines.append(
            "Dropped: " + ", ".join(f"{count} {why}" for why, count in sorted(refused.items())) + "."
        )
    return lines


def differences(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    lines = []
    if before.get("standing") != after.get("standing"):
        lines.append(f"{after['name']} is {after['standing']}, was {before['standing']}")
    old = {row["name"]: row["status"] for row in before.get("members", [])}
    for row in after.get("members", []):
        was = old.pop(row["name"], "not in the roster")
        if was != row["status"]:
            lines.append(f"{row['name']} is {row['status']}, was {was} (told by {row['by'] or 'nobody'})")
    lines += [f"{name} is no longer in the roster" for name in old]
    held = {row["topic"]: row["epoch"] for row in before.get("leases", []) if row["held"]}
    for row in after.get("leases", []):
        if row["held"] and held.get(row["topic"]) != row["epoch"]:
            lines.append(f"{after['name']} holds {row['topic']} under epoch {row['epoch']}")
        elif not row["held"] and row["topic"] in held:
            lines.append(f"{after['name']} no longer holds {row['topic']}")
    versions = {row["topic"]: row["version"] for row in before.get("decisions", [])}
    for row in after.get("decisions", []):
        if versions.get(row["topic"]) != row["version"]:
            lines.append(f"decision {row['version']} on {row['topic']}, epoch {row['epoch']}")
    return lines


@click.group()
def peers() -> None:
    """A sidecar's view of its peers."""


@peers.command()
@ADDRESS_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print the whole table as JSON.")
def show(address: str, as_json: bool) -> None:
    """Show members, standing, leases and decisions."""
    try:
        table = fetch_peers(address)
    except AdminCallFailed as error:
        exit_with_error(error)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(table)).decode())
    else:
        click.echo("\n".join(describe(table)))


@peers.command()
@ADDRESS_OPTION
@click.option("--every", default=1.0, show_default=True, help="Seconds between two polls.")
@click.option("--looks", default=0, help="Stop after this many polls; 0: never.")
def watch(address: str, every: float, looks: int) -> None:
    """Print a line for each change, until interrupted."""
    before: dict[str, Any] | None = None
    polls = 0
    while True:
        try:
            table = fetch_peers(address)
            for line in describe(table)[:1] if before is None else differences(before, table):
                click.echo(f"{time.strftime('%H:%M:%S')} {line}")
            before = table
        except AdminCallFailed as error:
            click.echo(f"{time.strftime('%H:%M:%S')} no answer: {error}")
        polls += 1
        if polls == looks:
            return
        time.sleep(max(0.1, every))
