"""Seeded random streams, one for each purpose, and values drawn from the ranges of a scenario."""

from __future__ import annotations

import numpy as np
import xxhash

from lupinmill.lab.scenario import Range


def random_stream(seed: int, *names: object) -> np.random.Generator:
    """Returns the stream for one purpose. Separate streams keep draws independent: more draws from one do not
    change the values of another."""
    text = "/".join(map(str, names))
    return np.random.Generator(np.random.PCG64([seed & (2**63 - 1), xxhash.xxh64_intdigest(text.encode())]))


def draw(random_source: np.random.Generator, span: Range) -> float:
    """Returns a fixed value of a scenario as it is, or draws one from its range."""
    if isinstance(span, (int, float)):
        return float(span)
    low, high = span
    if low > 0 and high >= 8 * low:  # log-uniform over a wide range
        return float(np.exp(random_source.uniform(np.log(low), np.log(high))))
    return float(random_source.uniform(low, high))
