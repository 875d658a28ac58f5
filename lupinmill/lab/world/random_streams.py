"""Random streams by seed and purpose, and figures drawn from a scenario's ranges."""

from __future__ import annotations

import numpy as np
import xxhash

from lupinmill.lab.scenario import Range


def random_stream(seed: int, *names: object) -> np.random.Generator:
    """A stream of its own for each purpose, so that one that draws more leaves the others as they were."""
    text = "/".join(map(str, names))
    return np.random.Generator(np.random.PCG64([seed & (2**63 - 1), xxhash.xxh64_intdigest(text.encode())]))


def draw(random_source: np.random.Generator, span: Range) -> float:
    """A figure of a scenario: as it is written, or drawn from its range."""
    if isinstance(span, (int, float)):
        return float(span)
    low, high = span
    if low > 0 and high >= 8 * low:  # over such a ratio each part of the scale counts alike
        return float(np.exp(random_source.uniform(np.log(low), np.log(high))))
    return float(random_source.uniform(low, high))
