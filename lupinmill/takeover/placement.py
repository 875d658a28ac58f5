"""Which members keep a record, and whose turn it is to take one over. Pure.

By rendezvous hashing over the roster, not over the live view: every member finds the same keepers whatever it
believes of the others, nothing moves when views change, and a majority of a record's keepers is the same set
for the old owner and the new one. Weighed against the live view, which keeps three living keepers at any
time: there two views give two sets whose majorities need not meet, which is what the argument for once stands
on."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash


def score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{len(key)}:{key}{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose_keepers(key: str, zones: Mapping[str, str], count: int = 3) -> tuple[str, ...]:
    """`zones`: of each member of the roster. In as many zones as there are, so that one lost zone takes no
    majority away where there are three."""
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
    """Whose turn it is, by this one's view: spread by key over all that are there. Two that see it
    differently both claim, and the ballots tell them apart."""
    return next((name for name in rank(f"taker {key}", alive) if name != excluded), None)
