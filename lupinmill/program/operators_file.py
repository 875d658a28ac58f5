"""The operator's own file, beside what the platform tells: TOML, read into closed types.

`BALANCER_OPERATOR_FILE` names it. What it doesn't switch on is off. Every fault is one line that names the
key; an unknown key is refused together with the nearest known one. Imports msgspec, and is imported only
where a file is named."""

from __future__ import annotations

import difflib
import ipaddress
import tomllib
import typing
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lupinmill.peers.peer import REHEARSAL, Told
from lupinmill.peers.view import MS, SECOND, Seat, Timing

LARGEST = 2**20  # bytes of the file
MOST_MEMBERS = 2_000
LONGEST_NAME = 64
ELECTORS = (3, 5, 7)
TOPICS = (REHEARSAL,)  # later features add theirs


class BadFile(Exception):
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


class File(Struct, forbid_unknown_fields=True, frozen=True):
    site: str
    peers: Peers | None = None


def read(path: str) -> File:
    """Raises BadFile."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise BadFile(f"{path}: {error.strerror}") from error
    try:
        if len(data) > LARGEST:
            raise BadFile(f"over {LARGEST} bytes")
        return understand(tomllib.loads(data.decode()))
    except UnicodeDecodeError as error:
        raise BadFile(f"{path}: no UTF-8") from error
    except (tomllib.TOMLDecodeError, BadFile) as error:
        raise BadFile(f"{path}: {error}") from error


def understand(table: dict[str, Any]) -> File:
    known_keys(table, File, "")
    try:
        file = msgspec.convert(table, File)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise BadFile(f"{place.rstrip('`').lstrip('.') or 'the file'}: {text}") from error
    check(file)
    return file


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
    hints = typing.get_type_hints(kind)
    for key, value in table.items():
        if key not in hints:
            near = difflib.get_close_matches(key, list(hints), 1, 0.0)
            raise BadFile(f"{place}{key}: unknown; the nearest known key is {near[0]}")
        inner = hints[key]
        if typing.get_origin(inner) is dict and isinstance(value, dict):
            for name, row in value.items():
                known_keys(row, typing.get_args(inner)[1], f"{place}{key}.{name}.")
        else:
            known_keys(value, inner, f"{place}{key}.")


def check(file: File) -> None:
    if not 0 < len(file.site) <= LONGEST_NAME:
        raise BadFile("site: wants a name of 1 to 64 characters")
    peers = file.peers
    if peers is None:
        return
    if not 0 < len(peers.members) <= MOST_MEMBERS:
        raise BadFile(f"peers.members: wants 1 to {MOST_MEMBERS}")
    addresses: dict[str, str] = {}
    for name, entry in peers.members.items():
        if not 0 < len(name.encode()) <= LONGEST_NAME:
            raise BadFile(f"peers.members.{name}: a name has 1 to {LONGEST_NAME} bytes")
        usable(entry.address, f"peers.members.{name}.address")
        if entry.address in addresses:
            raise BadFile(f"peers.members.{name}.address: {addresses[entry.address]} has it already")
        addresses[entry.address] = name
    if peers.bind:
        usable(peers.bind, "peers.bind")
    for name in peers.electors:
        if name not in peers.members:
            raise BadFile(f"peers.electors: {name} is none of peers.members")
    if peers.electors and (
        len(peers.electors) not in ELECTORS or len(set(peers.electors)) < len(peers.electors)
    ):
        raise BadFile("peers.electors: wants 3, 5 or 7 different members")
    for topic in peers.wants:
        if topic not in TOPICS:
            raise BadFile(f"peers.wants: {topic} is none of {', '.join(TOPICS)}")
    if peers.wants and not peers.electors:
        raise BadFile("peers.wants: there are no peers.electors")
    if peers.keep and not peers.keep.startswith("/"):
        raise BadFile("peers.keep: wants a whole path")
    for key, value, least, most in (
        ("round_ms", peers.round_ms, 50, 5_000),
        ("lease_s", peers.lease_s, 1, 60),
        ("fades_s", peers.fades_s, 1, 3_600),
    ):
        if not least <= value <= most:
            raise BadFile(f"peers.{key}: wants {least} to {most}")


def usable(address: str, key: str) -> None:
    """Numbers, no names: who sent a datagram is known by its address."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise BadFile(f"{key}: wants an IPv4 address and port, as 10.0.0.7:7400") from None


def told(file: File, name: str) -> Told:
    """Of the peers, for the sidecar of that name. Raises BadFile."""
    peers = file.peers
    assert peers is not None
    if name not in peers.members:
        raise BadFile(f"peers.members: has no entry for this sidecar, {name or 'which has no name'}")
    seats = tuple(Seat(one, e.address, e.zone, e.region) for one, e in peers.members.items())
    return Told(
        name,
        seats,
        tuple(peers.electors),
        TOPICS,
        tuple(peers.wants),
        int(peers.lease_s * SECOND),
        int(peers.fades_s * SECOND),
        Timing(round=peers.round_ms * MS),
    )


def bind(file: File, name: str) -> str:
    assert file.peers is not None
    return file.peers.bind or file.peers.members[name].address


def fixed(old: File | None, new: File | None, name: str) -> list[str]:
    """What differs and can't be changed without a new start; members may come, go and move."""
    if old is None or new is None or old.peers is None or new.peers is None:
        on = [file is not None and file.peers is not None for file in (old, new)]
        return [] if on[0] == on[1] else ["peers"]
    same = {"site": old.site == new.site}
    for key in ("electors", "keep", "wants", "round_ms", "lease_s", "fades_s"):
        same[f"peers.{key}"] = getattr(old.peers, key) == getattr(new.peers, key)
    same["peers.bind"] = bind(old, name) == bind(new, name)
    return [key for key, holds in same.items() if not holds]
