"""Entries laid over what the platform tells: which concern a sidecar, and what follows from them. Pure.

Of entries that say the same the narrower scope goes before the wider, in the order of `model.SCOPES`."""

from __future__ import annotations

from typing import Any

from lupinmill.config.model import MEMBER, SCOPES, SETTINGS, ZONES, Entries

NAMED = ("workloads", "accounts")  # lists of tables, each with a name
GONE = {"gone": True}  # value of a member's entry: the file's member of that name is away


def scopes_of(name: str, zone: str, region: str, service: str) -> tuple[str, ...]:
    """What the sidecar of that name watches, the widest first."""
    places = {"region": region, "zone": zone, "service": service, "sidecar": name}
    return ("fleet", *(f"{level}/{place}" for level, place in places.items() if place))


def in_order(entries: Entries) -> list[tuple[str, str, Any]]:
    """Scope, kind, value; the widest first."""
    rows = [(key.scope, key.kind, value) for key, value in entries.items() if value is not None]
    return sorted(rows, key=lambda row: (SCOPES.index(row[0].partition("/")[0]), row[0], row[1]))


def settings(base: dict[str, Any], entries: Entries) -> dict[str, Any]:
    """Told settings with the entries over them: tables key by key, null for the default; `workloads` and
    `accounts` row by row where an entry has a table `{NAME: {...} | null}`, null for one that is taken away,
    and whole where it has a list. Raises ValueError: the scope, the key, and what is wrong there."""
    found = base
    for scope, kind, value in in_order(entries):
        if kind != SETTINGS:
            continue
        try:
            found = laid_over(found, value, "settings")
        except ValueError as error:
            raise ValueError(f"{scope}: {error}") from None
    return found


def laid_over(under: Any, over: Any, path: str) -> dict[str, Any]:
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
        if key in NAMED and path == "settings" and value is not None:
            found[key] = rows(found.get(key), value, place)
        elif isinstance(value, dict):
            found[key] = laid_over(found.get(key), value, place)
        else:
            found[key] = value
    return found


def rows(under: Any, over: Any, path: str) -> list[dict[str, Any]]:
    if isinstance(over, list):
        for at, row in enumerate(over):
            if not isinstance(row, dict) or not isinstance(row.get("name"), str):
                raise ValueError(f"{path}.{at}: wants a table with a name")
        return over
    if not isinstance(over, dict):
        raise ValueError(f"{path}: wants a list, or a table by names")
    found = {str(row.get("name")): row for row in under or [] if isinstance(row, dict)}
    for name, row in over.items():
        if row is None:
            found.pop(name, None)
            continue
        found[name] = {"name": name} | laid_over(found.get(name), row, f"{path}.{name}")
        if found[name]["name"] != name:
            raise ValueError(f"{path}.{name}.name: {found[name]['name']!r} is another name")
    return list(found.values())


def members(entries: Entries) -> dict[str, Any]:
    """By name, the row that goes before the operators' file's; none where it is away."""
    found: dict[str, Any] = {}
    for _, kind, value in in_order(entries):
        if kind.startswith(MEMBER):
            found[kind[len(MEMBER) :]] = None if value == GONE else value
    return found


def zones(entries: Entries) -> Any:
    """The table that goes before the operators' file's; none: nothing does."""
    return next((value for _, kind, value in reversed(in_order(entries)) if kind == ZONES), None)
