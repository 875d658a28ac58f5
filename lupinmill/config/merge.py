"""Merges configuration entries into the platform's settings and determines which scopes apply to a sidecar.
Pure.

Where entries conflict, the narrower scope overrides the wider one, in the order of `model.SCOPES`.
"""

from __future__ import annotations

from typing import Any

from lupinmill.config.model import MEMBER, SCOPES, SETTINGS, ZONES, Entries

NAMED_LISTS = ("workloads", "accounts")  # lists of tables, each with a name
# value of a member entry that removes the operator file's member of that name
REMOVED_MEMBER = {"gone": True}


def watched_scopes(name: str, zone: str, region: str, service: str) -> tuple[str, ...]:
    """The scopes that a sidecar watches, widest first."""
    places = {"region": region, "zone": zone, "service": service, "sidecar": name}
    return ("fleet", *(f"{level}/{place}" for level, place in places.items() if place))


def widest_first(entries: Entries, kind: str) -> list[tuple[str, str, Any]]:
    """(scope, kind, value) of the entries whose kind starts with `kind`, widest scope first."""
    rows = [(key.scope, key.kind, entries[key]) for key in entries if key.kind.startswith(kind)]
    ranks = {scope: (SCOPES.index(scope.partition("/")[0]), scope) for scope in {row[0] for row in rows}}
    return sorted(rows, key=lambda row: ranks[row[0]])


def merge_settings(base: dict[str, Any], entries: Entries) -> dict[str, Any]:
    """The platform's settings with the entries merged in. Tables are merged key by key; null resets a key to
    its default. `workloads` and `accounts` are merged by name where an entry has a table `{NAME: {...} |
    null}`, in which null removes the row, and replaced where it has a list. Raises ValueError that names the
    scope, the key and the error."""
    result = base
    for scope, _, value in widest_first(entries, SETTINGS):
        try:
            result = overlay_table(result, value, "settings")
        except ValueError as error:
            raise ValueError(f"{scope}: {error}") from None
    return result


def overlay_table(base: Any, overlay: Any, path: str) -> dict[str, Any]:
    if not isinstance(overlay, dict):
        raise ValueError(f"{path}: wants a table")
    result = dict(base) if isinstance(base, dict) else {}
    for key in result:
        if "." in key:
            raise ValueError(f"{path}.{key}: told as a pair, which nothing can be laid over")
    for key, value in overlay.items():
        place = f"{path}.{key}"
        if "." in key:
            raise ValueError(f"{place}: wants a table within a table")
        if key in NAMED_LISTS and path == "settings" and value is not None:
            result[key] = overlay_rows(result.get(key), value, place)
        elif isinstance(value, dict):
            result[key] = overlay_table(result.get(key), value, place)
        else:
            result[key] = value
    return result


def overlay_rows(base: Any, overlay: Any, path: str) -> list[dict[str, Any]]:
    if isinstance(overlay, list):
        for index, row in enumerate(overlay):
            if not isinstance(row, dict) or not isinstance(row.get("name"), str):
                raise ValueError(f"{path}.{index}: wants a table with a name")
        return overlay
    if not isinstance(overlay, dict):
        raise ValueError(f"{path}: wants a list, or a table by names")
    result = {str(row.get("name")): row for row in base or [] if isinstance(row, dict)}
    for name, row in overlay.items():
        if row is None:
            result.pop(name, None)
            continue
        result[name] = {"name": name} | overlay_table(result.get(name), row, f"{path}.{name}")
        if result[name]["name"] != name:
            raise ValueError(f"{path}.{name}.name: {result[name]['name']!r} is another name")
    return list(result.values())


def member_overrides(entries: Entries) -> dict[str, Any]:
    """By member name: the row that overrides the operator file's row, or None if the member is removed."""
    result: dict[str, Any] = {}
    for _, kind, value in widest_first(entries, MEMBER):
        result[kind[len(MEMBER) :]] = None if value == REMOVED_MEMBER else value
    return result


def zones_override(entries: Entries) -> Any:
    """The table that overrides the operator file's zones, or None."""
    return next((value for _, _, value in reversed(widest_first(entries, ZONES))), None)
