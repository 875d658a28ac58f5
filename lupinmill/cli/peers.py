"""`lupinmill peers`: what one sidecar knows of the others, asked at its operators' address."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from lupinmill.cli import asking
from lupinmill.cli.asking import AT, NoAnswer, refuse

STANDINGS = {
    "together": "it sees most of the sidecars, and decisions in common can be made",
    "in doubt": "views differ, or it is late itself: it keeps what it holds, and asks for nothing new",
    "cut off": "it sees fewer than half: it serves by its own evidence and decides nothing for others",
    "alone": "it sees no other sidecar: it serves by its own evidence and decides nothing for others",
}
STATES = {
    "alive": "there",
    "suspect": "silent, not yet given up",
    "dead": "failed",
    "left": "left by its own word",
    "unknown": "never heard of",
}


def ask(address: str) -> dict[str, Any]:
    """Raises NoAnswer."""
    return asking.table(address, "peers")


def in_words(table: dict[str, Any]) -> list[str]:
    """For a person: who is there, what this one may do, who holds what."""
    standing = table["standing"]
    if "members" not in table:
        return [f"{table['name']}: {standing}"]
    lines = [
        f"{table['name']} is {standing}, for {table['standing_s']} s, sees {table['sees']} of {table['of']}: "
        f"{STANDINGS.get(standing, '')}"
    ]
    if table["status"] == "left":
        lines.append("It has told the others that it goes.")
    if table["late"] >= 3:
        lines.append("It is late itself, or hears badly: it waits longer before it suspects others.")
    width = max([len(row["name"]) for row in table["members"]] + [6])
    for row in table["members"]:
        place = " ".join(part for part in (row["region"], row["zone"]) if part)
        answered = f", answered {row['answered_s']} s ago" if row["answered_s"] is not None else ""
        elector = ", elector" if row["elector"] else ""
        lines.append(
            f"  {row['name']:<{width}}  {STATES.get(row['status'], row['status'])} for {row['since_s']} s"
            f"{', ' + place if place else ''}{elector}{answered}, told by {row['by'] or 'nobody'}"
        )
    elector = table["elector"]
    if elector is not None:
        vote = (
            "votes"
            if elector["votes"]
            else "gives no vote yet: it waits until what it once promised has run out"
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
            lines.append(f"It asks for {row['topic']}; {row['holder'] or 'nobody'} has it.")
    for row in table["decisions"]:
        lines.append(
            f"It goes by decision {row['version']} on {row['topic']}, made under epoch {row['epoch']}."
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
    lines += [f"{name} is in the roster no more" for name in old]
    held = {row["topic"]: row["epoch"] for row in before.get("leases", []) if row["held"]}
    for row in after.get("leases", []):
        if row["held"] and held.get(row["topic"]) != row["epoch"]:
            lines.append(f"{after['name']} holds {row['topic']} under epoch {row['epoch']}")
        elif not row["held"] and row["topic"] in held:
            lines.append(f"{after['name']} holds {row['topic']} no more")
    versions = {row["topic"]: row["version"] for row in before.get("decisions", [])}
    for row in after.get("decisions", []):
        if versions.get(row["topic"]) != row["version"]:
            lines.append(f"decision {row['version']} on {row['topic']}, epoch {row['epoch']}")
    return lines


@click.group()
def peers() -> None:
    """What a sidecar knows of the others."""


@peers.command()
@AT
@click.option("--json", "as_json", is_flag=True, help="The whole table, for programs.")
def show(address: str, as_json: bool) -> None:
    """Members, standing, leases and decisions, once."""
    try:
        table = ask(address)
    except NoAnswer as error:
        refuse(error)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(table)).decode())
    else:
        click.echo("\n".join(in_words(table)))


@peers.command()
@AT
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--looks", default=0, help="End after so many; 0: go on.")
def watch(address: str, every: float, looks: int) -> None:
    """A line for each change, until interrupted."""
    before: dict[str, Any] | None = None
    look = 0
    while True:
        try:
            table = ask(address)
            for line in in_words(table)[:1] if before is None else differences(before, table):
                click.echo(f"{time.strftime('%H:%M:%S')} {line}")
            before = table
        except NoAnswer as error:
            click.echo(f"{time.strftime('%H:%M:%S')} no answer: {error}")
        look += 1
        if look == looks:
            return
        time.sleep(max(0.1, every))
