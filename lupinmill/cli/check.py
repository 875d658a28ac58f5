"""`lupinmill check FILE`: what follows from an operator's file, before anything runs by it."""

from __future__ import annotations

import sys

import click

from lupinmill.config import merge
from lupinmill.peers.conduct import TABLE
from lupinmill.peers.elector import majority
from lupinmill.program import operators_file
from lupinmill.program.operators_file import BadFile, File


def follows(file: File, name: str | None) -> list[str]:
    lines = [f"site {file.site}"]
    peers = file.peers
    if peers is None:
        lines.append("peers: off; each sidecar goes by its own evidence, as ever")
        return lines + config_in_words(file, name)
    zones = sorted({entry.zone for entry in peers.members.values() if entry.zone})
    regions = sorted({entry.region for entry in peers.members.values() if entry.region})
    lines.append(
        f"peers: {len(peers.members)} sidecars in {len(zones) or 1} zones and {len(regions) or 1} regions; "
        f"each asks one other every {peers.round_ms} ms"
    )
    timing = operators_file.Timing(round=peers.round_ms * 1000)
    count = len(peers.members)
    least = timing.suspicion(count, count) / 1e6 + peers.round_ms / 1000
    most = timing.suspicion(count, 0) / 1e6 + 2 * peers.round_ms / 1000
    lines.append(f"a sidecar that fails is given up {least:.1f} to {most:.1f} s after it was first suspected")
    if peers.electors:
        need = majority(len(peers.electors))
        lines.append(
            f"decisions: {need} of {len(peers.electors)} electors ({', '.join(peers.electors)}) must agree; "
            f"with {len(peers.electors) - need + 1} of them away nothing is decided in common"
        )
        lines.append(
            f"leases run {peers.lease_s:g} s: so long at most a dead holder's topic waits for the next one"
        )
        keep = (
            f"kept in {peers.keep}"
            if peers.keep
            else (
                f"not kept: an elector that restarts gives no vote for {peers.lease_s * 1.02:.1f} s, and "
                f"decisions are lost where {need} forget at a time"
            )
        )
        lines.append(f"electors' promises are {keep}")
        electors = [peers.members[one] for one in peers.electors]
        for place in ("zone", "region"):
            where = [getattr(one, place) for one in electors]
            crowded = [one for one in dict.fromkeys(where) if one and where.count(one) >= need]
            if crowded:
                lines.append(f"caution: losing {place} {crowded[0]} alone takes the majority away")
    else:
        lines.append("decisions: none, there are no electors")
    if peers.live_count:
        lines.append(
            "caps are shared out by how many sidecars are there, not by the figure told at the start"
        )
    lines += zones_in_words(file)
    if name is not None:
        told = operators_file.told(file, name)
        entry = peers.members[name]
        lines.append(
            f"this sidecar, {name}: zone {entry.zone or 'not told'}, region {entry.region or 'not told'}, "
            f"listens for peers at {operators_file.bind(file, name)}"
            f"{', an elector' if name in told.electors else ''}"
            f"{', asks for ' + ', '.join(told.wants) if told.wants else ''}"
        )
    lines.append("the peers' network must be a trusted one: there are no keys and no sign-in")
    for row in TABLE.values():
        lines.append(
            f"{row.feature}: alone it {row.alone}; only with a majority it {row.majority}; "
            f"without it {row.falls_back}"
        )
    return lines + config_in_words(file, name)


def config_in_words(file: File, name: str | None) -> list[str]:
    config = file.config
    if config is None:
        return ["config: off; other settings want a new start"]
    zone, region = operators_file.place(file, name or "", "")
    lines = [
        f"config: settings and the roster also come from {len(config.relays)} relays "
        f"({', '.join(config.relays)}), in force without a new start; all that ask anew come within "
        f"{config.spread_s:g} s, until relays tell their own",
        "this sidecar watches "
        + ", ".join(merge.watched_scopes(name or "NAME", zone, region, config.service)),
        f"the last version in force is kept in {config.keep}, which a start goes by before a relay answers"
        if config.keep
        else "no version is kept: until a relay answers, a start goes by the platform's file",
    ]
    if len(config.relays) < 2:
        lines.append("caution: while its only relay is away no change comes in force here")
    if not config.service:
        lines.append("caution: no config.service is named: no entry of a service concerns it")
    return lines


def zones_in_words(file: File) -> list[str]:
    zones = file.zones
    if zones is None or file.peers is None:
        return ["zones: off; launches go to any zone"]
    map_ = operators_file.zone_map(zones, dict.fromkeys(zones.workloads, 1.0) or {"any": 1.0})
    lines = [f"zones: {len(zones.map)}, traffic stays near, and leaves its zone as decided in common"]
    for zone in map_.zones:
        there = sum(member.zone == zone.name for member in file.peers.members.values())
        order = ", ".join(map_.order(zone.name)) or "nowhere"
        lines.append(
            f"  {zone.name}: {there} sidecars; in trouble to {order}; from others it takes up to "
            f"{100 * min(0.9, 1 - zone.spare):.0f}% of what it can do"
        )
        if not there:
            lines.append(
                f"caution: nobody in {zone.name} tells of it; others spill into it only once they know it"
            )
    for load in (w for w in map_.workloads if w.name in zones.workloads):
        lines.append(
            f"  {load.name}: {100 * load.leave_zone:.0f}% of a zone's traffic may leave it, "
            f"{100 * load.leave_region:.0f}% its region"
            + (", more out of a lost zone" if load.breaks else "")
        )
    return lines


@click.command()
@click.argument("path", metavar="FILE")
@click.option("--name", envvar="BALANCER_NAME", help="The sidecar that shall run by it; else $BALANCER_NAME.")
def check(path: str, name: str | None) -> None:
    """Check an operator's file and tell what follows from it."""
    try:
        lines = follows(operators_file.read(path), name)
    except BadFile as error:
        text = str(error)
        click.echo(f"lupinmill: {text if text.startswith(path) else f'{path}: {text}'}", err=True)
        sys.exit(2)
    click.echo("\n".join(lines))
