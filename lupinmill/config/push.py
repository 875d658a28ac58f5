"""What is pushed to a source, read and checked before it is accepted. Pure.

A file for `lupinmill config push`, TOML or JSON, names entries by where they stand:
`[service.tender.settings]`, `[fleet.zones]`, `[zone.north.members.front-1]`; what a JSON file sets to null,
and what `remove` lists as [SCOPE, KIND], is taken away. On the wire it is rows. Every fault names the key."""

from __future__ import annotations

from typing import Any

import msgspec

from lupinmill.config import checks, merge, wire
from lupinmill.config.model import MEMBER, SCOPES, SETTINGS, ZONES, Entries, Key
from lupinmill.program import operators_file
from lupinmill.program.operators_file import ConfigFileError, MemberEntry, Zones, known_keys
from lupinmill.protocol import settings as told

MOST_ENTRIES = 25_000  # in one push
MEMBERS = "members"  # in a file: the table of the entries of kind `member/NAME`
REMOVE = "remove"


class BadPush(ValueError):
    """The text is one line that names the key."""


# --- a file --------------------------------------------------------------------------------------


def entries_of(table: dict[str, Any]) -> Entries:
    """Raises BadPush."""
    entries: Entries = {}
    for level, part in table.items():
        if level == REMOVE:
            continue
        if level not in SCOPES:
            raise BadPush(f"{level}: is none of {', '.join((*SCOPES, REMOVE))}")
        for scope, kinds in {level: part}.items() if level == SCOPES[0] else below(level, part):
            if not wire.good_scope(scope):
                raise BadPush(f"{scope!r}: not a scope with a name")
            for kind, value in below_kinds(scope, kinds):
                entries[Key(scope, kind)] = value
    removed = table.get(REMOVE, [])
    if not isinstance(removed, list):
        raise BadPush(f"{REMOVE}: wants a list of [SCOPE, KIND]")
    for pair in removed:
        match pair:
            case [str(scope), str(kind)] if wire.good_scope(scope) and wire.good_kind(kind):
                key = Key(scope, kind)
            case _:
                raise BadPush(
                    f'{REMOVE}: {pair!r:.80} is no [SCOPE, KIND], as ["service/tender", "settings"]'
                )
        if key in entries:
            raise BadPush(f"{REMOVE}: {key.scope} {key.kind} stands in this file too")
        entries[key] = None
    if not entries:
        raise BadPush("the file: changes nothing")
    return entries


def below(level: str, part: Any) -> list[tuple[str, Any]]:
    if not isinstance(part, dict):
        raise BadPush(f"{level}: wants a table by name")
    return [(f"{level}/{name}", kinds) for name, kinds in part.items()]


def below_kinds(scope: str, kinds: Any) -> list[tuple[str, Any]]:
    place = scope.replace("/", ".", 1)
    if not isinstance(kinds, dict):
        raise BadPush(f"{place}: wants tables {SETTINGS}, {ZONES} or {MEMBERS}")
    found: list[tuple[str, Any]] = []
    for kind, value in kinds.items():
        if kind in (SETTINGS, ZONES):
            found.append((kind, value))
        elif kind == MEMBERS and isinstance(value, dict):
            for name, member in value.items():
                if not wire.good_name(name):
                    raise BadPush(f"{place}.{MEMBERS}.{name!r}: not a name")
                found.append((MEMBER + name, member))
        else:
            raise BadPush(f"{place}.{kind}: is none of the tables {SETTINGS}, {ZONES}, {MEMBERS}")
    return found


# --- checks --------------------------------------------------------------------------------------


def check(entries: Entries, changes: Entries) -> None:
    """What these changes make of the entries. Raises BadPush. Guards against a version that each sidecar
    would refuse; what stands only in a sidecar's own file is for the sidecar to say."""
    if not changes:
        raise BadPush("entries: none")
    if len(changes) > MOST_ENTRIES:
        raise BadPush(f"entries: over {MOST_ENTRIES} in one push")
    after = {**entries, **changes}
    for key, value in changes.items():
        place = f"{key.scope} {key.kind}"
        if value is None:
            continue
        if not isinstance(value, dict):
            raise BadPush(f"{place}: wants a table")
        if key.kind == SETTINGS:
            check_settings(place, {key: value})
        elif key.kind == ZONES:
            check_zones(place, value)
        elif key.kind.startswith(MEMBER):
            check_member(place, value)
        else:
            raise BadPush(f"{place}: no such kind")
    if any(key.kind.startswith(MEMBER) for key in changes):
        check_addresses(after)
    for scopes in together(after, {key.scope for key in changes if key.kind == SETTINGS}):
        rows = {Key(scope, SETTINGS): after[Key(scope, SETTINGS)] for scope in scopes}
        check_settings(" over ".join(f"{one} settings" for one in reversed(scopes)), rows)


def together(after: Entries, touched: set[str]) -> list[tuple[str, ...]]:
    """Scopes whose settings meet in one sidecar, as far as these alone tell: what is for all, and each
    service's or sidecar's over it, of those that the changes touch."""
    there = [key.scope for key, value in after.items() if key.kind == SETTINGS and value is not None]
    fleet = SCOPES[0]
    if fleet not in there:
        return []
    narrow = [one for one in there if one != fleet and (fleet in touched or one in touched)]
    return [(fleet, one) for one in narrow]


def check_settings(place: str, entries: Entries) -> None:
    """Of the scopes of one sidecar, merged as it merges them, over nothing. As far as keys are present: what
    is missing here stands in a wider scope or in the sidecar's own file. Raises BadPush."""
    try:
        for value in entries.values():
            checks.check_keys(value)
        fields = told.flatten(merge.settings({}, entries))
        for key, choices in told.CHOICES.items():
            if fields.get(key, "") not in choices:
                known = ", ".join(filter(None, choices))
                raise ValueError(f"settings.{key}: {fields[key]!r} is none of {known}")
        checks.check_closely(fields)
        by_name = any(isinstance(value.get("workloads"), dict) for value in entries.values())
        told.check_workloads(filled(fields) if by_name else fields)
        told.deployment(fields)
    except (TypeError, ValueError, OverflowError, KeyError, ArithmeticError) as error:
        raise BadPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def filled(fields: told.Fields) -> told.Fields:
    """Rows laid over others by their names need not be whole: what must be there and isn't counts as good."""
    found = dict(fields)
    for at in range(int(told.number_at(fields, "workloads.count", "0"))):
        for key, good in (*((key, "1") for key in told.DURATION_KEYS), ("repeat", "once")):
            found.setdefault(f"workloads.{at}.{key}", good)
    return found


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
        raise BadPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def check_member(place: str, value: dict[str, Any]) -> None:
    if value == merge.GONE:
        return
    try:
        known_keys(value, MemberEntry, "")
        operators_file.check_address(msgspec.convert(value, MemberEntry).address, "address")
    except (ConfigFileError, msgspec.ValidationError) as error:
        raise BadPush(f"{place}: {' '.join(str(error).split())[:200]}") from error


def check_addresses(after: Entries) -> None:
    """Of a member that stands in several scopes the same address may stand there; of two members not."""
    owners: dict[str, str] = {}
    for key, value in after.items():
        if value is not None and value != merge.GONE and key.kind.startswith(MEMBER):
            owner = owners.setdefault(str(value.get("address")), key.kind)
            if owner != key.kind:
                raise BadPush(f"{key.scope} {key.kind}: address: {owner.removeprefix(MEMBER)} has it already")
