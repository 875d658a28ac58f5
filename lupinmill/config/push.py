"""Parses and validates a push before a source accepts it. Pure.

A file for `lupinmill config push`, TOML or JSON, addresses entries by scope and kind:
`[service.tender.settings]`, `[fleet.zones]`, `[zone.north.members.front-1]`. Null values in a JSON file and
[SCOPE, KIND] pairs listed under `remove` remove entries. On the wire a push is a list of rows. Every error
names the key.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lupinmill.config import checks, merge, wire
from lupinmill.config.model import MEMBER, SCOPES, SETTINGS, ZONES, Entries, Key
from lupinmill.program import operators_file
from lupinmill.protocol.config_file import ConfigFileError, known_keys
from lupinmill.program.operators_file import MemberEntry, Zones
from lupinmill.protocol import settings as platform_settings

MAX_ENTRIES = 25_000  # per push
MEMBERS_TABLE = "members"  # in a file: the table of entries of kind `member/NAME`
REMOVE_KEY = "remove"


class InvalidPush(ValueError):
    """The message is one line that names the key."""


# --- files -----------------------------------------------------------------------------------------


def parse_entries(table: dict[str, Any]) -> Entries:
    """Raises InvalidPush."""
    entries: Entries = {}
    for level, part in table.items():
        if level == REMOVE_KEY:
            continue
        if level not in SCOPES:
            raise InvalidPush(f"{level}: must be one of {', '.join((*SCOPES, REMOVE_KEY))}")
        for scope, kinds in {level: part}.items() if level == SCOPES[0] else named_scopes(level, part):
            if not wire.is_valid_scope(scope):
                raise InvalidPush(f"{scope!r}: not a scope with a name")
            for kind, value in scope_kinds(scope, kinds):
                entries[Key(scope, kind)] = value
    removed = table.get(REMOVE_KEY, [])
    if not isinstance(removed, list):
        raise InvalidPush(f"{REMOVE_KEY}: must be a list of [SCOPE, KIND]")
    for pair in removed:
        match pair:
            case [str(scope), str(kind)] if wire.is_valid_scope(scope) and wire.is_valid_kind(kind):
                key = Key(scope, kind)
            case _:
                raise InvalidPush(
                    f'{REMOVE_KEY}: {pair!r:.80} is no [SCOPE, KIND] such as ["service/tender", "settings"]'
                )
        if key in entries:
            raise InvalidPush(f"{REMOVE_KEY}: {key.scope} {key.kind} is also set in this file")
        entries[key] = None
    if not entries:
        raise InvalidPush("the file: contains no changes")
    return entries


def named_scopes(level: str, part: Any) -> list[tuple[str, Any]]:
    if not isinstance(part, dict):
        raise InvalidPush(f"{level}: must be a table by name")
    return [(f"{level}/{name}", kinds) for name, kinds in part.items()]


def scope_kinds(scope: str, kinds: Any) -> list[tuple[str, Any]]:
    place = scope.replace("/", ".", 1)
    if not isinstance(kinds, dict):
        raise InvalidPush(f"{place}: must have tables {SETTINGS}, {ZONES} or {MEMBERS_TABLE}")
    result: list[tuple[str, Any]] = []
    for kind, value in kinds.items():
        if kind in (SETTINGS, ZONES):
            result.append((kind, value))
        elif kind == MEMBERS_TABLE and isinstance(value, dict):
            for name, member in value.items():
                if not wire.is_valid_name(name):
                    raise InvalidPush(f"{place}.{MEMBERS_TABLE}.{name!r}: not a name")
                result.append((MEMBER + name, member))
        else:
            raise InvalidPush(
                f"{place}.{kind}: must be one of the tables {SETTINGS}, {ZONES}, {MEMBERS_TABLE}"
            )
    return result


# --- validation ------------------------------------------------------------------------------------


def check(entries: Entries, changes: Entries) -> None:
    """Validates the entries with the changes applied, so that no version is published that every sidecar
    would reject. Conflicts with a sidecar's own file are left for the sidecar to report. Raises InvalidPush.
    """
    if not changes:
        raise InvalidPush("entries: none")
    if len(changes) > MAX_ENTRIES:
        raise InvalidPush(f"entries: over {MAX_ENTRIES} in one push")
    after = {**entries, **changes}
    for key, value in changes.items():
        place = f"{key.scope} {key.kind}"
        if value is None:
            continue
        if not isinstance(value, dict):
            raise InvalidPush(f"{place}: wants a table")
        if key.kind == SETTINGS:
            check_settings(place, {key: value})
        elif key.kind == ZONES:
            check_zones(place, value)
        elif key.kind.startswith(MEMBER):
            check_member(place, value)
        else:
            raise InvalidPush(f"{place}: no such kind")
    if any(key.kind.startswith(MEMBER) for key in changes):
        check_addresses(after)
    for scopes in overlapping_scopes(after, {key.scope for key in changes if key.kind == SETTINGS}):
        settings = {Key(scope, SETTINGS): after[Key(scope, SETTINGS)] for scope in scopes}
        check_settings(" over ".join(f"{scope} settings" for scope in reversed(scopes)), settings)


def overlapping_scopes(after: Entries, touched: set[str]) -> list[tuple[str, ...]]:
    """Pairs of scopes whose settings are merged in one sidecar, as far as the entries alone determine it: the
    fleet with each service or sidecar, limited to pairs that the changes touch."""
    present = [key.scope for key, value in after.items() if key.kind == SETTINGS and value is not None]
    fleet = SCOPES[0]
    if fleet not in present:
        return []
    narrower = [scope for scope in present if scope != fleet and (fleet in touched or scope in touched)]
    return [(fleet, scope) for scope in narrower]


def check_settings(place: str, entries: Entries) -> None:
    """Validates the settings of one sidecar's scopes, merged in the same way as there but over an empty base.
    Only keys that are present are checked; missing ones may come from a wider scope or from the sidecar's own
    file. Raises InvalidPush."""
    try:
        for value in entries.values():
            checks.check_known_keys(value)
        fields = platform_settings.flatten(merge.merge_settings({}, entries))
        for key, choices in platform_settings.CHOICES.items():
            if fields.get(key, "") not in choices:
                known = ", ".join(filter(None, choices))
                raise ValueError(f"settings.{key}: {fields[key]!r} is none of {known}")
        checks.check_ranges(fields)
        by_name = any(isinstance(value.get("workloads"), dict) for value in entries.values())
        platform_settings.check_workloads(with_defaults(fields) if by_name else fields)
        platform_settings.deployment(fields)
    except (TypeError, ValueError, OverflowError, KeyError, ArithmeticError) as error:
        raise InvalidPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def with_defaults(fields: platform_settings.Fields) -> platform_settings.Fields:
    """Rows merged by name may be partial: fills missing required keys with valid values."""
    result = dict(fields)
    for index in range(int(platform_settings.number_at(fields, "workloads.count", "0"))):
        for key, default in (*((key, "1") for key in platform_settings.DURATION_KEYS), ("repeat", "once")):
            result.setdefault(f"workloads.{index}.{key}", default)
    return result


def check_zones(place: str, value: dict[str, Any]) -> None:
    try:
        known_keys(value, Zones, "")
        zones = msgspec.convert(value, Zones)
        if not 0 < len(zones.map) <= operators_file.MAX_ZONES:
            raise ConfigFileError(f"map: wants 1 to {operators_file.MAX_ZONES} zones")
        for name, entry in zones.map.items():
            for other, cost in entry.costs.items():
                if other not in zones.map:
                    raise ConfigFileError(f"map.{name}.costs.{other}: no such zone")
                if not 0 <= cost <= 1e6:
                    raise ConfigFileError(f"map.{name}.costs.{other}: wants 0 to 1000000")
        operators_file.zone_map(zones, dict.fromkeys(zones.workloads, 1.0) or {"any": 1.0})
    except (ConfigFileError, msgspec.ValidationError) as error:
        raise InvalidPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def check_member(place: str, value: dict[str, Any]) -> None:
    if value == merge.REMOVED_MEMBER:
        return
    try:
        known_keys(value, MemberEntry, "")
        operators_file.check_address(msgspec.convert(value, MemberEntry).address, "address")
    except (ConfigFileError, msgspec.ValidationError) as error:
        raise InvalidPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def check_addresses(after: Entries) -> None:
    """One member may have the same address in several scopes; two members may not share one."""
    owners: dict[str, str] = {}
    for key, value in after.items():
        if value is not None and value != merge.REMOVED_MEMBER and key.kind.startswith(MEMBER):
            owner = owners.setdefault(str(value.get("address")), key.kind)
            if owner != key.kind:
                raise InvalidPush(
                    f"{key.scope} {key.kind}: address: {owner.removeprefix(MEMBER)} has it already"
                )
