"""Reads and validates the operator's TOML file, which complements the platform's settings.

`BALANCER_OPERATOR_FILE` names it. Features that it doesn't switch on are off. Every fault is reported as one
line that names the key; for an unknown key also the nearest known one. Requires msgspec, and is therefore
imported only where a file is named."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Any

import msgspec
from msgspec import Struct

from lupinmill.protocol import config_file
from lupinmill.protocol.config_file import ConfigFileError, hints_of, known_keys
from lupinmill.peers.peer import REHEARSAL_TOPIC, PeerSettings
from lupinmill.peers.view import MS, SECOND, MembershipTiming, RosterEntry
from lupinmill.terms import Deployment
from lupinmill.zones.zone_map import InvalidZoneMap, Workload, Zone, ZoneMap

MAX_FILE_BYTES = 2**20
MAX_MEMBERS = 2_000
MAX_NAME_LENGTH = 64
ELECTOR_COUNTS = (3, 5, 7)
ZONES_TOPIC = "zones"
TOPICS = (REHEARSAL_TOPIC, ZONES_TOPIC)
OPTIONAL_TOPICS = (REHEARSAL_TOPIC,)  # allowed in `wants`; enabled features add their own topics
MAX_ZONES = 16
MAX_RELAYS = 16


class MemberEntry(Struct, forbid_unknown_fields=True, frozen=True):
    address: str
    zone: str = ""
    region: str = ""


class Peers(Struct, forbid_unknown_fields=True, frozen=True):
    """The group of sidecars that know each other."""

    members: dict[str, MemberEntry]
    electors: list[str] = []
    keep: str = ""  # file in which an elector's promises survive a restart
    bind: str = ""  # address to bind, instead of the own one in `members`
    wants: list[str] = []  # topics whose lease this sidecar competes for
    round_ms: int = 200
    lease_s: float = 6.0
    fades_s: float = 30.0
    live_count: bool = False  # divide caps by the sidecars present, not by the configured number


class ZoneEntry(Struct, forbid_unknown_fields=True, frozen=True):
    region: str = ""
    spare: float = 0.1  # share of its capacity that other zones' spill never uses
    costs: dict[str, float] = {}  # of an attempt in another zone; the default is `near` or `far`


class WorkloadEntry(Struct, forbid_unknown_fields=True, frozen=True):
    """`worth` 0: the value in the platform's settings. Budgets are shares of the zone's traffic of it."""

    worth: float = 0.0
    leave_zone: float = 1.0
    leave_region: float | None = None  # default: `leave_zone`
    breaks: bool = False  # may exceed its budgets when its zone is lost


class Zones(Struct, forbid_unknown_fields=True, frozen=True):
    """Traffic stays in its zone, and leaves it by a plan that the sidecars agree on."""

    map: dict[str, ZoneEntry]  # in order of preference among equally near zones
    workloads: dict[str, WorkloadEntry] = {}
    near: float = 1.0  # cost of an attempt within a region
    far: float = 10.0  # cost of an attempt in another region


class Config(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings and members also come from relays, and are applied without a restart."""

    relays: list[str]
    service: str = ""  # served by this sidecar, which then watches the scope service/NAME
    keep: str = ""  # file of the last version in force, used at a start until a relay answers
    spread_s: float = 2.0  # over which all sidecars reconnect to a relay, until relays send their own


class File(Struct, forbid_unknown_fields=True, frozen=True):
    site: str
    peers: Peers | None = None
    zones: Zones | None = None
    config: Config | None = None


def read(path: str) -> File:
    """Raises ConfigFileError."""
    return config_file.read(path, MAX_FILE_BYTES, parse)


def parse(table: dict[str, Any]) -> File:
    """Raises ConfigFileError."""
    file = config_file.convert(table, File)
    check(file)
    return file


def check(file: File) -> None:
    if not 0 < len(file.site) <= MAX_NAME_LENGTH:
        raise ConfigFileError("site: wants a name of 1 to 64 characters")
    if file.config is not None:
        check_config(file.config)
    peers = file.peers
    if peers is None:
        if file.zones is not None:
            raise ConfigFileError("zones: wants [peers], which decide in common")
        return
    if not 0 < len(peers.members) <= MAX_MEMBERS:
        raise ConfigFileError(f"peers.members: wants 1 to {MAX_MEMBERS}")
    addresses: dict[str, str] = {}
    for name, entry in peers.members.items():
        if not 0 < len(name.encode()) <= MAX_NAME_LENGTH:
            raise ConfigFileError(f"peers.members.{name}: a name has 1 to {MAX_NAME_LENGTH} bytes")
        check_address(entry.address, f"peers.members.{name}.address")
        if entry.address in addresses:
            raise ConfigFileError(f"peers.members.{name}.address: {addresses[entry.address]} has it already")
        addresses[entry.address] = name
    if peers.bind:
        check_address(peers.bind, "peers.bind")
    for name in peers.electors:
        if name not in peers.members:
            raise ConfigFileError(f"peers.electors: {name} is none of peers.members")
    if peers.electors and (
        len(peers.electors) not in ELECTOR_COUNTS or len(set(peers.electors)) < len(peers.electors)
    ):
        raise ConfigFileError("peers.electors: wants 3, 5 or 7 different members")
    for topic in peers.wants:
        if topic not in OPTIONAL_TOPICS:
            raise ConfigFileError(f"peers.wants: {topic} is none of {', '.join(OPTIONAL_TOPICS)}")
    if peers.wants and not peers.electors:
        raise ConfigFileError("peers.wants: there are no peers.electors")
    if peers.keep and not peers.keep.startswith("/"):
        raise ConfigFileError("peers.keep: wants a whole path")
    for key, value, least, most in (
        ("round_ms", peers.round_ms, 50, 5_000),
        ("lease_s", peers.lease_s, 1, 60),
        ("fades_s", peers.fades_s, 1, 3_600),
    ):
        if not least <= value <= most:
            raise ConfigFileError(f"peers.{key}: wants {least} to {most}")
    if file.zones is not None:
        check_zones(file.zones, peers)


def check_config(config: Config) -> None:
    if not 0 < len(config.relays) <= MAX_RELAYS or len(set(config.relays)) < len(config.relays):
        raise ConfigFileError(f"config.relays: wants 1 to {MAX_RELAYS} different addresses")
    for address in config.relays:
        check_address(address, "config.relays")
    if not is_scope_name(config.service):
        raise ConfigFileError(
            f"config.service: a name has up to {MAX_NAME_LENGTH} bytes, and all can be shown"
        )
    if config.keep and not config.keep.startswith("/"):
        raise ConfigFileError("config.keep: wants a whole path")
    if not 0.1 <= config.spread_s <= 600:
        raise ConfigFileError("config.spread_s: wants 0.1 to 600")


def is_scope_name(name: str) -> bool:
    """Whether the name of a sidecar, zone, region or service can be part of a scope. An empty one can."""
    return not name or name.isprintable() and len(name.encode()) <= MAX_NAME_LENGTH


def check_zones(zones: Zones, peers: Peers) -> None:
    if not 0 < len(zones.map) <= MAX_ZONES:
        raise ConfigFileError(f"zones.map: wants 1 to {MAX_ZONES} zones")
    if len(zones.workloads) > MAX_ZONES:
        raise ConfigFileError(f"zones.workloads: wants {MAX_ZONES} at most")
    if not peers.electors:
        raise ConfigFileError("zones: wants peers.electors, which decide in common")
    for name, entry in zones.map.items():
        for other, cost in entry.costs.items():
            if other not in zones.map:
                raise ConfigFileError(f"zones.map.{name}.costs.{other}: no such zone")
            if not 0 <= cost <= 1e6:
                raise ConfigFileError(f"zones.map.{name}.costs.{other}: wants 0 to 1000000")
    for key, value in (("near", zones.near), ("far", zones.far)):
        if not 0 <= value <= 1e6:
            raise ConfigFileError(f"zones.{key}: wants 0 to 1000000")
    for name, workload in zones.workloads.items():
        if not 0 <= workload.worth <= 1e6:
            raise ConfigFileError(f"zones.workloads.{name}.worth: wants 0 to 1000000")
    for name, member in peers.members.items():
        if member.zone not in zones.map:
            raise ConfigFileError(
                f"peers.members.{name}.zone: {member.zone or 'nothing'} is none of zones.map, which wants it"
            )
    zone_map(zones, {name: 1.0 for name in zones.workloads} or {"any": 1.0})


def zone_map(zones: Zones, values: dict[str, float]) -> ZoneMap:
    """`values`: of the workloads in the platform's settings. Raises ConfigFileError."""
    workloads = []
    for name, value in values.items():
        workload = zones.workloads.get(name, WorkloadEntry())
        region = workload.leave_zone if workload.leave_region is None else workload.leave_region
        workloads.append(
            Workload(name, workload.worth or value, workload.leave_zone, region, workload.breaks)
        )
    for name in zones.workloads:
        if name not in values:
            raise ConfigFileError(f"zones.workloads.{name}: the platform tells of no such workload")
    if len(workloads) > MAX_ZONES:
        raise ConfigFileError(f"zones: no more than {MAX_ZONES} workloads can be planned for")
    costs = {(a, b): cost for a, entry in zones.map.items() for b, cost in entry.costs.items()}
    try:
        rows = tuple(Zone(name, entry.region, entry.spare) for name, entry in zones.map.items())
        return ZoneMap(rows, tuple(workloads), costs, zones.near, zones.far)
    except InvalidZoneMap as error:
        text = str(error)
        for key in ("zones.", "costs."):
            if text.startswith(key):
                text = "map." + text[len(key) :]
        raise ConfigFileError(f"zones.{text}") from error


def check_address(address: str, key: str) -> None:
    """Refuses host names: the sender of a datagram is identified by its address."""
    if not is_address(address):
        raise ConfigFileError(f"{key}: wants an IPv4 address and port, as 10.0.0.7:7400")


@lru_cache(2 * MAX_MEMBERS)  # a roster of thousands is checked again with each change of one member
def is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def peer_settings(file: File, name: str) -> PeerSettings:
    """The settings of the peers module for the sidecar of that name. Raises ConfigFileError."""
    peers = file.peers
    assert peers is not None
    if name not in peers.members:
        raise ConfigFileError(f"peers.members: has no entry for this sidecar, {name or 'which has no name'}")
    roster = tuple(
        RosterEntry(member, entry.address, entry.zone, entry.region)
        for member, entry in peers.members.items()
    )
    return PeerSettings(
        name,
        roster,
        tuple(peers.electors),
        TOPICS,
        (*peers.wants, *((ZONES_TOPIC,) if file.zones is not None and name in peers.electors else ())),
        int(peers.lease_s * SECOND),
        int(peers.fades_s * SECOND),
        MembershipTiming(round=peers.round_ms * MS),
    )


def check_against_platform(file: File, name: str, deployment: Deployment) -> None:
    """Checks the file against the platform's settings. Raises ConfigFileError."""
    if file.peers is not None:
        peer_settings(file, name)
    if file.zones is not None:
        zone_map(file.zones, {w.name: w.value for w in deployment.workloads})
        if deployment.sidecar_per_client:
            raise ConfigFileError("zones: settings.family is mesh, where zones pull by their own price")
    if file.config is not None:
        if not name or not all(map(is_scope_name, (name, *location(file, name, deployment.zone)))):
            raise ConfigFileError(
                "config: wants names of this sidecar, its zone and region that can be shown"
            )


def location(file: File, name: str, zone: str) -> tuple[str, str]:
    """Zone and region of that sidecar. `zone`: the platform's value, a default for the member's."""
    entry = file.peers.members.get(name) if file.peers is not None else None
    return (entry.zone, entry.region) if entry is not None and entry.zone else (zone, "")


def with_entries(file: File, members: dict[str, Any], zones: Any) -> File:
    """The file with these members' entries replaced (None removes a member), and [zones] replaced by `zones`.

    Raises ConfigFileError."""
    if file.peers is None or not members and zones is None:
        return file
    rows, map_ = dict(file.peers.members), file.zones
    key, keys = "", hints_of(MemberEntry).keys()
    try:
        for name, row in members.items():
            key = f"member/{name}"
            if row is None:
                rows.pop(name, None)
            else:
                if not (isinstance(row, dict) and row.keys() <= keys):  # fast path for large rosters
                    known_keys(row, MemberEntry, f"{key}.")
                rows[name] = msgspec.convert(row, MemberEntry)
        if zones is not None:
            key = "zones"
            known_keys(zones, Zones, "zones.")
            map_ = msgspec.convert(zones, Zones)
    except msgspec.ValidationError as error:
        raise ConfigFileError(f"{key}: {error}") from error
    peers = msgspec.structs.replace(file.peers, members=rows)
    found = msgspec.structs.replace(file, peers=peers, zones=map_)
    check(found)
    return found


def bind_address(file: File, name: str) -> str:
    assert file.peers is not None
    return file.peers.bind or file.peers.members[name].address


def changes_needing_restart(old: File | None, new: File | None, name: str) -> list[str]:
    """The keys whose change needs a restart; members and relays may be added, removed and moved."""
    return peer_changes_needing_restart(old, new, name) + config_changes_needing_restart(old, new, name)


def config_changes_needing_restart(old: File | None, new: File | None, name: str) -> list[str]:
    configs = [file.config if file is not None else None for file in (old, new)]
    if configs[0] is None or configs[1] is None:
        return [] if configs[0] is configs[1] else ["config"]
    assert old is not None and new is not None
    unchanged = {
        f"config.{key}": getattr(configs[0], key) == getattr(configs[1], key)
        for key in ("service", "keep", "spread_s")
    }
    unchanged["peers.members: zone or region of this sidecar"] = location(old, name, "") == location(
        new, name, ""
    )
    return [key for key, holds in unchanged.items() if not holds]


def peer_changes_needing_restart(old: File | None, new: File | None, name: str) -> list[str]:
    if old is None or new is None or old.peers is None or new.peers is None:
        enabled = [file is not None and file.peers is not None for file in (old, new)]
        return [] if enabled[0] == enabled[1] else ["peers"]
    unchanged = {"site": old.site == new.site}
    for key in ("electors", "keep", "wants", "round_ms", "lease_s", "fades_s"):
        unchanged[f"peers.{key}"] = getattr(old.peers, key) == getattr(new.peers, key)
    unchanged["peers.live_count"] = old.peers.live_count == new.peers.live_count
    unchanged["zones"] = old.zones == new.zones
    own_zones = [file.peers.members[name].zone if name in file.peers.members else "" for file in (old, new)]
    unchanged["peers.members.zone of this sidecar"] = old.zones is None or own_zones[0] == own_zones[1]
    unchanged["peers.bind"] = bind_address(old, name) == bind_address(new, name)
    return [key for key, holds in unchanged.items() if not holds]
