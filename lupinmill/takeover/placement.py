"""Placement of records on keepers, and the choice of a successor. No I/O.

Keepers are chosen by rendezvous hashing over the roster, not over the live view. So every member finds the
same keepers whatever its view, nothing moves when views change, and a majority of a record's keepers is the
same set for the old owner and the new one. The live view would always give three living keepers, but two
different views give two sets whose majorities need not intersect, and the safety argument of `claimant`
rests on that."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash


def score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{len(key)}:{key}{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose_keepers(key: str, zones: Mapping[str, str], count: int = 3) -> tuple[str, ...]:
    """The keepers of a key, in as many zones as possible: with three zones, the loss of one leaves a
    majority.

    `zones`: the zone of each member of the roster."""
    ranked = rank(key, zones)
    chosen: list[str] = []
    used: dict[str, int] = {}
    while len(chosen) < min(count, len(ranked)):
        least = min(used.get(zones[name], 0) for name in ranked if name not in chosen)
        name = next(n for n in ranked if n not in chosen and used.get(zones[n], 0) == least)
        chosen.append(name)
        used[zones[name]] = used.get(zones[name], 0) + 1
    return tuple(chosen)


def choose_successor(key: str, alive: Iterable[str], excluded: str = "") -> str | None:
    """The member that takes a record over, in this view; keys are spread over all present members. With
    different views two members may both claim, and their ballots decide."""
    return next((name for name in rank(f"taker {key}", alive) if name != excluded), None)
