"""Entries laid over what the platform tells: which concern a sidecar, and what follows from them. Pure.

Of entries that say the same the narrower scope goes before the wider, in the order of `model.SCOPES`."""

from __future__ import annotations

from typing import Any

from lupinmill.config.model import MEMBER, SCOPES, SETTINGS, ZONES, Entries

NAMED_LISTS = ("workloads", "accounts")  # lists of tables, each with a name
REMOVED_MEMBER = {"gone": True}  # value of a member's entry: the file's member of that name is away


def watched_scopes(name: str, zone: str, region: str, service: str) -> tuple[str, ...]:
    """What the sidecar of that name watches, the widest first."""
    places = {"region": region, "zone": zone, "service": service, "sidecar": name}
    return ("fleet", *(f"{level}/{place}" for level, place in places.items() if place))


def widest_first(entries: Entries, kind: str) -> list[tuple[str, str, Any]]:
    """Scope, kind, value of those whose kind begins like this; the widest first."""
    rows = [(key.scope, key.kind, entries[key]) for key in entries if key.kind.startswith(kind)]
    ranks = {scope: (SCOPES.index(scope.partition("/")[0]), scope) for scope in {row[0] for row in rows}}
    return sorted(rows, key=lambda row: ranks[row[0]])


def merge_settings(base: dict[str, Any], entries: Entries) -> dict[str, Any]:
    """Told settings with the entries over them: tables key by key, null for the default; `workloads` and
    `accounts` row by row where an entry has a table `{NAME: {...} | null}`, null for one that is taken away,
    and whole where it has a list. Raises ValueError: the scope, the key, and what is wrong there."""
    found = base
    for scope, _, value in widest_first(entries, SETTINGS):
        try:
            found = overlay_table(found, value, "settings")
        except ValueError as error:
            raise ValueError(f"{scope}: {error}") from None
    return found


def overlay_table(under: Any, over: Any, path: str) -> dict[str, Any]:
    if not isinstance(over, dict):
        raise ValueError(f"{path}: wants a table")
    found = dict(under) if isinstance(under, dict) else {}
    for key in found:
        if "." in key:
            raise ValueError(f"{path}.{key}: told as a pair, which nothing can be laid over")
    for key, value in over.items():
        place = f"{path}.{key}"
        if "." in key:
            raise ValueError(f"{place}: wants a table within a table")
        if key in NAMED_LISTS and path == "settings" and value is not None:
            found[key] = overlay_rows(found.get(key), value, place)
        elif isinstance(value, dict):
            found[key] = overlay_table(found.get(key), value, place)
        else:
            found[key] = value
    return found


def overlay_rows(under: Any, over: Any, path: str) -> list[dict[str, Any]]:
    if isinstance(over, list):
        for index, row in enumerate(over):
            if not isinstance(row, dict) or not isinstance(row.get("name"), str):
                raise ValueError(f"{path}.{index}: wants a table with a name")
        return over
    if not isinstance(over, dict):
        raise ValueError(f"{path}: wants a list, or a table by names")
    found = {str(row.get("name")): row for row in under or [] if isinstance(row, dict)}
    for name, row in over.items():
        if row is None:
            found.pop(name, None)
            continue
        found[name] = {"name": name} | overlay_table(found.get(name), row, f"{path}.{name}")
        if found[name]["name"] != name:
            raise ValueError(f"{path}.{name}.name: {found[name]['name']!r} is another name")
    return list(found.values())


def member_overrides(entries: Entries) -> dict[str, Any]:
    """By name, the row that goes before the operators' file's; none where it is away."""
    found: dict[str, Any] = {}
    for _, kind, value in widest_first(entries, MEMBER):
        found[kind[len(MEMBER) :]] = None if value == REMOVED_MEMBER else value
    return found


def zones_override(entries: Entries) -> Any:
    """The table that goes before the operators' file's; none: nothing does."""
    return next((value for _, _, value in reversed(widest_first(entries, ZONES))), None)
