"""`lupinmill check FILE`: validates an operator's file and explains its effects, before it is used."""

from __future__ import annotations

import sys

import click

from lupinmill.config import merge
from lupinmill.peers.elector import majority
from lupinmill.peers.partition_policy import POLICY_TABLE
from lupinmill.program import operators_file
from lupinmill.protocol.config_file import ConfigFileError
from lupinmill.program.operators_file import File


def summary(file: File, name: str | None) -> list[str]:
    """The effects of a file in plain language, one line each; with a name, also for that sidecar."""
    lines = [f"site {file.site}"]
    peers = file.peers
    if peers is None:
        lines.append("peers: off; each sidecar decides by its own evidence only")
        return lines + describe_config(file, name)
    zones = sorted({entry.zone for entry in peers.members.values() if entry.zone})
    regions = sorted({entry.region for entry in peers.members.values() if entry.region})
    lines.append(
        f"peers: {len(peers.members)} sidecars in {len(zones) or 1} zones and {len(regions) or 1} regions; "
        f"each probes one other every {peers.round_ms} ms"
    )
    timing = operators_file.MembershipTiming(round=peers.round_ms * 1000)
    count = len(peers.members)
    least = timing.suspicion_timeout(count, count) / 1e6 + peers.round_ms / 1000
    most = timing.suspicion_timeout(count, 0) / 1e6 + 2 * peers.round_ms / 1000
    lines.append(
        f"a failed sidecar is declared dead {least:.1f} to {most:.1f} s after it was first suspected"
    )
    if peers.electors:
        quorum = majority(len(peers.electors))
        lines.append(
            f"decisions: {quorum} of {len(peers.electors)} electors ({', '.join(peers.electors)}) "
            f"must agree; if {len(peers.electors) - quorum + 1} are unavailable no joint decision is possible"
        )
        lines.append(
            f"leases last {peers.lease_s:g} s: after the death of a holder its topic waits at most this long"
        )
        keep = (
            f"kept in {peers.keep}"
            if peers.keep
            else (
                f"not kept: an elector that restarts gives no vote for {peers.lease_s * 1.02:.1f} s, and "
                f"decisions are lost if {quorum} restart at the same time"
            )
        )
        lines.append(f"electors' promises are {keep}")
        electors = [peers.members[elector] for elector in peers.electors]
        for place in ("zone", "region"):
            places = [getattr(elector, place) for elector in electors]
            critical = [
                location
                for location in dict.fromkeys(places)
                if location and places.count(location) >= quorum
            ]
            if critical:
                lines.append(f"caution: losing {place} {critical[0]} alone loses the majority")
    else:
        lines.append("decisions: none, there are no electors")
    if peers.live_count:
        lines.append("caps are divided by the number of live sidecars, not by the configured number")
    lines += describe_zones(file)
    if name is not None:
        peering = operators_file.peer_settings(file, name)
        entry = peers.members[name]
        lines.append(
            f"this sidecar, {name}: zone {entry.zone or 'not set'}, region {entry.region or 'not set'}, "
            f"listens for peers at {operators_file.bind_address(file, name)}"
            f"{', an elector' if name in peering.electors else ''}"
            f"{', requests leases on ' + ', '.join(peering.wanted_topics) if peering.wanted_topics else ''}"
        )
    lines.append("the peers' network must be a trusted one: messages are neither encrypted nor authenticated")
    for row in POLICY_TABLE.values():
        lines.append(
            f"{row.feature}: alone it {row.alone}; only with a majority it {row.majority}; "
            f"without it {row.falls_back}"
        )
    return lines + describe_config(file, name)


def describe_config(file: File, name: str | None) -> list[str]:
    config = file.config
    if config is None:
        return ["config: off; changed settings require a restart"]
    zone, region = operators_file.location(file, name or "", "")
    lines = [
        f"config: settings and the roster also come from {len(config.relays)} relays "
        f"({', '.join(config.relays)}), in force without a restart; reconnects are spread over "
        f"{config.spread_s:g} s, until relays send their own value",
        "this sidecar watches "
        + ", ".join(merge.watched_scopes(name or "NAME", zone, region, config.service)),
        f"the last version in force is kept in {config.keep}, which a start uses until a relay answers"
        if config.keep
        else "no version is kept: until a relay answers, a start uses the platform's file",
    ]
    if len(config.relays) < 2:
        lines.append("caution: while its only relay is unavailable no change comes into force here")
    if not config.service:
        lines.append("caution: no config.service is set: no service entry applies to it")
    return lines


def describe_zones(file: File) -> list[str]:
    zones = file.zones
    if zones is None or file.peers is None:
        return ["zones: off; attempts go to any zone"]
    map_ = operators_file.zone_map(zones, dict.fromkeys(zones.workloads, 1.0) or {"any": 1.0})
    lines = [f"zones: {len(zones.map)}, traffic stays near, and leaves its zone by joint decision only"]
    for zone in map_.zones:
        sidecars = sum(member.zone == zone.name for member in file.peers.members.values())
        order = ", ".join(map_.order(zone.name)) or "nowhere"
        lines.append(
            f"  {zone.name}: {sidecars} sidecars; its overflow goes to {order}; from others it accepts up to "
            f"{100 * min(0.9, 1 - zone.spare):.0f}% of its capacity"
        )
        if not sidecars:
            lines.append(
                f"caution: no sidecar in {zone.name} reports on it; others use it only once they know it"
            )
    for load in (w for w in map_.workloads if w.name in zones.workloads):
        lines.append(
            f"  {load.name}: {100 * load.leave_zone:.0f}% of a zone's traffic may leave it, "
            f"{100 * load.leave_region:.0f}% its region"
            + (", more if the zone is lost" if load.breaks else "")
        )
    return lines


@click.command()
@click.argument("path", metavar="FILE")
@click.option(
    "--name",
    envvar="BALANCER_NAME",
    help="Name of the sidecar that will use the file; default: $BALANCER_NAME.",
)
def check(path: str, name: str | None) -> None:
    """Check an operator's file and explain its effects."""
    try:
        lines = summary(operators_file.read(path), name)
    except ConfigFileError as error:
        text = str(error)
        click.echo(f"lupinmill: {text if text.startswith(path) else f'{path}: {text}'}", err=True)
        sys.exit(2)
    click.echo("\n".join(lines))
