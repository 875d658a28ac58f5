"""Strict validation of settings that operators push. It is stricter than for the platform's settings, because
a misspelt key would silently have no effect and an out-of-range number would only be noticed by its
consequences. Pure."""

from __future__ import annotations

from difflib import get_close_matches
from typing import Any

from lupinmill.protocol.settings import Fields, number_at

# All keys that `protocol.settings` reads. Other keys in the platform's file are ignored by this program.
KNOWN_KEYS = frozenset(
    (
        "random-seed",
        "tier",
        "instances",
        "workloads",
        "accounts",
        "beyond-share-value",
        "blend.whole",
        "blend.worst-window",
        "blend.worst-class",
        "blend.kept-promises",
        "discovery",
        "invariants.ask-within-s",
        "invariants.cold-share",
        "invariants.cold-s",
        "invariants.fall-s",
        "invariants.dropped-stay-open",
        "invariants.stop-sending-within-s",
        "round-s",
        "limits.most-launches",
        "limits.may-duplicate",
        "limits.cancel",
        "limits.probes",
        "limits.retry-after",
        "limits.max-retry-after-s",
        "limits.conn-idle-s",
        "limits.connect-timeout-s",
        "limits.streams-per-conn",
        "load-report.how",
        "family",
        "family-info.warm-keys",
        "locality",
        "areas",
        "kinds",
        "weights",
        "prices.cross-zone",
        "prices.connection",
    )
)
KNOWN_ROW_KEYS = {
    "workloads": frozenset(
        (
            "name",
            "contract-time-s",
            "hard-limit-s",
            "value",
            "overdue-value",
            "repeat",
            "group",
            "window-s",
            "confined-to",
            "bound-to",
        )
    ),
    "accounts": frozenset(("name", "quota-per-s")),
}
MAX_ROWS = 256  # workloads or tenants
MAX_DURATION_S = 86_400.0
# Inclusive ranges of numeric settings.
RANGES = {
    "instances": (1, 1e6),
    "beyond-share-value": (0, 1e6),
    "blend.whole": (0, 1e6),
    "blend.worst-window": (0, 1e6),
    "blend.worst-class": (0, 1e6),
    "blend.kept-promises": (0, 1e6),
    "invariants.ask-within-s": (0, MAX_DURATION_S),
    "invariants.cold-share": (0, 1),
    "invariants.cold-s": (0, MAX_DURATION_S),
    "invariants.fall-s": (0, MAX_DURATION_S),
    "invariants.stop-sending-within-s": (0, MAX_DURATION_S),
    "round-s": (0, MAX_DURATION_S),
    "tier": (0, 100),
    "limits.most-launches": (1, 1_000),
    "limits.max-retry-after-s": (0, MAX_DURATION_S),
    "limits.conn-idle-s": (0, MAX_DURATION_S),
    "limits.connect-timeout-s": (0, MAX_DURATION_S),
    "limits.streams-per-conn": (1, 1e6),
    "prices.cross-zone": (0, 1e6),
    "prices.connection": (0, 1e6),
}
ROW_RANGES = {
    "workloads": {
        "contract-time-s": (0, MAX_DURATION_S),
        "hard-limit-s": (0, MAX_DURATION_S),
        "value": (0, 1e6),
        "overdue-value": (0, 1e6),
        "window-s": (0, MAX_DURATION_S),
    },
    "accounts": {"quota-per-s": (0, 1e9)},
}
BOOLEAN_KEYS = (
    "limits.may-duplicate",
    "limits.cancel",
    "limits.probes",
    "limits.retry-after",
    "invariants.dropped-stay-open",
    "family-info.warm-keys",
)


def check_ranges(fields: Fields) -> None:
    """Checks numbers against their ranges, booleans for valid values, and names for uniqueness. Raises
    ValueError that names the key and the error."""
    for key, (minimum, maximum) in RANGES.items():
        check_range(fields, key, minimum, maximum)
    for key in BOOLEAN_KEYS:
        if fields.get(key, "") not in ("", "true", "false", "1", "0"):
            raise ValueError(f"settings.{key}: {fields[key]!r} is neither true nor false")
    for kind, ranges in ROW_RANGES.items():
        count = int(number_at(fields, f"{kind}.count", "0"))
        if not 0 <= count <= MAX_ROWS:
            raise ValueError(f"settings.{kind}: {count} are more than {MAX_ROWS}")
        names = [fields.get(f"{kind}.{index}.name", "") for index in range(count)]
        for index, name in enumerate(names):
            if not name or name in names[:index]:
                raise ValueError(f"settings.{kind}.{index}.name: {name!r} is none, or there already")
            for key, (minimum, maximum) in ranges.items():
                check_range(fields, f"{kind}.{index}.{key}", minimum, maximum)


def check_range(fields: Fields, key: str, minimum: float, maximum: float) -> None:
    if fields.get(key) and not minimum <= number_at(fields, key, "0") <= maximum:
        raise ValueError(f"settings.{key}: {fields[key]!r} is not within {minimum:g} to {maximum:g}")


def check_known_keys(table: dict[str, Any]) -> None:
    """Rejects unknown keys in settings as `merge.merge_settings` takes them. Raises ValueError."""
    for key, value in table.items():
        if key in KNOWN_ROW_KEYS:
            rows = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
            for row in rows:
                for inner in row if isinstance(row, dict) else ():
                    check_key(inner, KNOWN_ROW_KEYS[key], f"settings.{key}.")
        elif isinstance(value, dict):
            for inner in value:
                check_key(f"{key}.{inner}", KNOWN_KEYS, "settings.")
        else:
            check_key(key, KNOWN_KEYS, "settings.")


def check_key(key: str, keys: frozenset[str], path: str) -> None:
    if key not in keys:
        nearest = get_close_matches(key, sorted(keys), 1, 0.0)
        raise ValueError(f"{path}{key}: unknown; the nearest known key is {nearest[0]}")
