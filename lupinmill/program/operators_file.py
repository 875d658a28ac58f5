"""The operator's own file, beside what the platform tells: TOML, read into closed types.

`BALANCER_OPERATOR_FILE` names it. What it doesn't switch on is off. Every fault is one line that names the
key; an unknown key is refused together with the nearest known one. Imports msgspec, and is imported only
where a file is named."""

from __future__ import annotations

import difflib
import ipaddress
import tomllib
import typing
from functools import cache, lru_cache
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lupinmill.peers.peer import REHEARSAL_TOPIC, PeerSettings
from lupinmill.peers.view import MS, SECOND, MembershipTiming, RosterEntry
from lupinmill.terms import Deployment
from lupinmill.zones.zone_map import InvalidZoneMap, Workload, Zone, ZoneMap

LARGEST = 2**20  # bytes of the file
MOST_MEMBERS = 2_000
LONGEST_NAME = 64
ELECTORS = (3, 5, 7)
ZONES = "zones"
TOPICS = (REHEARSAL_TOPIC, ZONES)
WANTS = (REHEARSAL_TOPIC,)  # what may stand in `wants`; features that are on ask for their own
MOST_ZONES = 16
MOST_RELAYS = 16


class ConfigFileError(Exception):
    """The text is the one line."""


class MemberEntry(Struct, forbid_unknown_fields=True, frozen=True):
    address: str
    zone: str = ""
    region: str = ""


class Peers(Struct, forbid_unknown_fields=True, frozen=True):
    """The sidecars know each other."""

    members: dict[str, MemberEntry]
    electors: list[str] = []
    keep: str = ""  # where an elector's promises survive its restart
    bind: str = ""  # instead of the own address in `members`
    wants: list[str] = []  # topics whose lease this sidecar asks for
    round_ms: int = 200
    lease_s: float = 6.0
    fades_s: float = 30.0
    live_count: bool = False  # caps are shared out by how many are there, not by the figure told at the start


class ZoneEntry(Struct, forbid_unknown_fields=True, frozen=True):
    region: str = ""
    spare: float = 0.1  # part of its capacity that spill from others never takes
    costs: dict[str, float] = {}  # of a launch to another zone; else by `near` and `far`


class WorkloadEntry(Struct, forbid_unknown_fields=True, frozen=True):
    """`worth` 0: as the platform's settings value it. Budgets are parts of a zone's traffic of this
    workload."""

    worth: float = 0.0
    leave_zone: float = 1.0
    leave_region: float | None = None  # as `leave_zone` where it isn't told
    breaks: bool = False  # out of a lost zone it may go beyond its budgets


class Zones(Struct, forbid_unknown_fields=True, frozen=True):
    """Traffic stays near, and leaves its zone as the sidecars decide in common."""

    map: dict[str, ZoneEntry]  # the order matters: of equally near zones the first comes first
    workloads: dict[str, WorkloadEntry] = {}
    near: float = 1.0  # cost of a launch within a region, ...
    far: float = 10.0  # ... and beyond


class Config(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings and the roster come from relays too, and are in force without a new start."""

    relays: list[str]
    service: str = ""  # that this sidecar serves: the scope service/NAME concerns it
    keep: str = ""  # file of the last version in force, which a start goes by before a relay answers
    spread_s: float = 2.0  # over which all sidecars come to a relay anew, until relays tell their own


class File(Struct, forbid_unknown_fields=True, frozen=True):
    site: str
    peers: Peers | None = None
    zones: Zones | None = None
    config: Config | None = None


def read(path: str) -> File:
    """Raises ConfigFileError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from error
    try:
        if len(data) > LARGEST:
            raise ConfigFileError(f"over {LARGEST} bytes")
        return parse(tomllib.loads(data.decode()))
    except UnicodeDecodeError as error:
        raise ConfigFileError(f"{path}: no UTF-8") from error
    except (tomllib.TOMLDecodeError, ConfigFileError) as error:
        raise ConfigFileError(f"{path}: {error}") from error


def parse(table: dict[str, Any]) -> File:
    known_keys(table, File, "")
    try:
        file = msgspec.convert(table, File)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise ConfigFileError(f"{place.rstrip('`').lstrip('.') or 'the file'}: {text}") from error
    check(file)
    return file


@cache
def hints_of(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def known_keys(table: Any, kind: Any, place: str) -> None:
    """Guards against a switch that was misspelt and is silently off."""
    for part in typing.get_args(kind):
        if isinstance(part, type) and issubclass(part, Struct):
            kind = part
    if typing.get_origin(kind) is dict and isinstance(table, dict):
        for name, row in table.items():
            known_keys(row, typing.get_args(kind)[1], f"{place}{name}.")
        return
    if not (isinstance(kind, type) and issubclass(kind, Struct) and isinstance(table, dict)):
        return
    hints = hints_of(kind)
    for key, value in table.items():
        if key not in hints:
            near = difflib.get_close_matches(key, list(hints), 1, 0.0)
            raise ConfigFileError(f"{place}{key}: unknown; the nearest known key is {near[0]}")
        inner = hints[key]
        if typing.get_origin(inner) is dict and isinstance(value, dict):
            for name, row in value.items():
                known_keys(row, typing.get_args(inner)[1], f"{place}{key}.{name}.")
        else:
            known_keys(value, inner, f"{place}{key}.")


def check(file: File) -> None:
    if not 0 < len(file.site) <= LONGEST_NAME:
        raise ConfigFileError("site: wants a name of 1 to 64 characters")
    if file.config is not None:
        check_config(file.config)
    peers = file.peers
    if peers is None:
        if file.zones is not None:
            raise ConfigFileError("zones: wants [peers], which decide in common")
        return
    if not 0 < len(peers.members) <= MOST_MEMBERS:
        raise ConfigFileError(f"peers.members: wants 1 to {MOST_MEMBERS}")
    addresses: dict[str, str] = {}
    for name, entry in peers.members.items():
        if not 0 < len(name.encode()) <= LONGEST_NAME:
            raise ConfigFileError(f"peers.members.{name}: a name has 1 to {LONGEST_NAME} bytes")
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
        len(peers.electors) not in ELECTORS or len(set(peers.electors)) < len(peers.electors)
    ):
        raise ConfigFileError("peers.electors: wants 3, 5 or 7 different members")
    for topic in peers.wants:
        if topic not in WANTS:
            raise ConfigFileError(f"peers.wants: {topic} is none of {', '.join(WANTS)}")
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
    if not 0 < len(config.relays) <= MOST_RELAYS or len(set(config.relays)) < len(config.relays):
        raise ConfigFileError(f"config.relays: wants 1 to {MOST_RELAYS} different addresses")
    for address in config.relays:
        check_address(address, "config.relays")
    if not is_scope_name(config.service):
        raise ConfigFileError(f"config.service: a name has up to {LONGEST_NAME} bytes, and all can be shown")
    if config.keep and not config.keep.startswith("/"):
        raise ConfigFileError("config.keep: wants a whole path")
    if not 0.1 <= config.spread_s <= 600:
        raise ConfigFileError("config.spread_s: wants 0.1 to 600")


def is_scope_name(name: str) -> bool:
    """May it stand in a scope, as the name of one sidecar, zone, region or service? None at all may."""
    return not name or name.isprintable() and len(name.encode()) <= LONGEST_NAME


def check_zones(zones: Zones, peers: Peers) -> None:
    if not 0 < len(zones.map) <= MOST_ZONES:
        raise ConfigFileError(f"zones.map: wants 1 to {MOST_ZONES} zones")
    if len(zones.workloads) > MOST_ZONES:
        raise ConfigFileError(f"zones.workloads: wants {MOST_ZONES} at most")
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
    for name, load in zones.workloads.items():
        if not 0 <= load.worth <= 1e6:
            raise ConfigFileError(f"zones.workloads.{name}.worth: wants 0 to 1000000")
    for name, member in peers.members.items():
        if member.zone not in zones.map:
            raise ConfigFileError(
                f"peers.members.{name}.zone: {member.zone or 'nothing'} is none of zones.map, which wants it"
            )
    zone_map(zones, {name: 1.0 for name in zones.workloads} or {"any": 1.0})


def zone_map(zones: Zones, values: dict[str, float]) -> ZoneMap:
    """`values`: of the workloads that the platform tells. Raises ConfigFileError."""
    workloads = []
    for name, value in values.items():
        load = zones.workloads.get(name, WorkloadEntry())
        region = load.leave_zone if load.leave_region is None else load.leave_region
        workloads.append(Workload(name, load.worth or value, load.leave_zone, region, load.breaks))
    for name in zones.workloads:
        if name not in values:
            raise ConfigFileError(f"zones.workloads.{name}: the platform tells of no such workload")
    if len(workloads) > MOST_ZONES:
        raise ConfigFileError(f"zones: no more than {MOST_ZONES} workloads can be planned for")
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
    """Numbers, no names: who sent a datagram is known by its address."""
    if not is_address(address):
        raise ConfigFileError(f"{key}: wants an IPv4 address and port, as 10.0.0.7:7400")


@lru_cache(2 * MOST_MEMBERS)  # a roster of thousands is judged anew with each change of one
def is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def peer_settings(file: File, name: str) -> PeerSettings:
    """Of the peers, for the sidecar of that name. Raises ConfigFileError."""
    peers = file.peers
    assert peers is not None
    if name not in peers.members:
        raise ConfigFileError(f"peers.members: has no entry for this sidecar, {name or 'which has no name'}")
    seats = tuple(RosterEntry(one, e.address, e.zone, e.region) for one, e in peers.members.items())
    return PeerSettings(
        name,
        seats,
        tuple(peers.electors),
        TOPICS,
        (*peers.wants, *((ZONES,) if file.zones is not None and name in peers.electors else ())),
        int(peers.lease_s * SECOND),
        int(peers.fades_s * SECOND),
        MembershipTiming(round=peers.round_ms * MS),
    )


def check_against_platform(file: File, name: str, deployment: Deployment) -> None:
    """Beside what the platform tells. Raises ConfigFileError."""
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
    """Zone and region of that sidecar; `zone`: as the platform tells it, where no member's row does."""
    entry = file.peers.members.get(name) if file.peers is not None else None
    return (entry.zone, entry.region) if entry is not None and entry.zone else (zone, "")


def with_entries(file: File, members: dict[str, Any], zones: Any) -> File:
    """The file with these members' rows in the place of its own, none for one that is away, and `zones` in
    the place of [zones]. Raises ConfigFileError."""
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
                if not (isinstance(row, dict) and row.keys() <= keys):  # slower: a roster has thousands
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
    """What differs and can't be changed without a new start; members and relays may come, go and move."""
    return fixed_peers(old, new, name) + fixed_config(old, new, name)


def fixed_config(old: File | None, new: File | None, name: str) -> list[str]:
    ones = [file.config if file is not None else None for file in (old, new)]
    if ones[0] is None or ones[1] is None:
        return [] if ones[0] is ones[1] else ["config"]
    assert old is not None and new is not None
    same = {
        f"config.{key}": getattr(ones[0], key) == getattr(ones[1], key)
        for key in ("service", "keep", "spread_s")
    }
    same["peers.members: zone or region of this sidecar"] = location(old, name, "") == location(new, name, "")
    return [key for key, holds in same.items() if not holds]


def fixed_peers(old: File | None, new: File | None, name: str) -> list[str]:
    if old is None or new is None or old.peers is None or new.peers is None:
        on = [file is not None and file.peers is not None for file in (old, new)]
        return [] if on[0] == on[1] else ["peers"]
    same = {"site": old.site == new.site}
    for key in ("electors", "keep", "wants", "round_ms", "lease_s", "fades_s"):
        same[f"peers.{key}"] = getattr(old.peers, key) == getattr(new.peers, key)
    same["peers.live_count"] = old.peers.live_count == new.peers.live_count
    same["zones"] = old.zones == new.zones
    homes = [file.peers.members[name].zone if name in file.peers.members else "" for file in (old, new)]
    same["peers.members.zone of this sidecar"] = old.zones is None or homes[0] == homes[1]
    same["peers.bind"] = bind_address(old, name) == bind_address(new, name)
    return [key for key, holds in same.items() if not holds]
