"""Classes of requests as a run has them: their terms, their share of the load, the work of each request."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from lupinmill import terms as t
from lupinmill.lab import scenario
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.random_streams import draw


LEAST_NOISE = 0.1


@dataclass(slots=True)
class RequestClass:
    """One class of requests with its figures drawn."""

    name: str
    share: float
    mean: float  # seconds of work
    spread: str
    cv: float
    noise: float  # of attempts
    terms: t.Workload

    def draw_noise(self, random_source: np.random.Generator) -> float:
        """By what factor the work of one attempt differs from that of its request."""
        return (
            max(LEAST_NOISE, 1 + self.noise * float(random_source.standard_normal())) if self.noise else 1.0
        )

    def work(self, random_source: np.random.Generator) -> float:
        """Seconds of work of one request, on a core of speed 1."""
        if self.spread == "fixed" or not self.cv:
            return self.mean
        if self.spread == "exponential":
            return float(random_source.exponential(self.mean))
        sigma2 = np.log(1 + self.cv**2)
        return float(random_source.lognormal(np.log(self.mean) - sigma2 / 2, sigma2**0.5))


def draw_request_classes(
    specified: list[scenario.Workload], random_source: np.random.Generator
) -> list[RequestClass]:
    """All classes of a scenario; their shares add up to 1."""
    found = [draw_request_class(one, random_source) for one in specified]
    total = sum(one.share for one in found)
    for one in found:
        one.share /= total
    return found


def draw_request_class(one: scenario.Workload, random_source: np.random.Generator) -> RequestClass:
    """One class of a scenario, its ranges drawn."""
    terms = t.Workload(
        one.name,
        int(one.contract_s * SECOND),
        int(one.hard_limit_s * SECOND),
        one.value,
        one.overdue,
        t.RepeatPolicy(one.repeat),
        t.DeduplicationScope(one.group),
        int(one.window_s * SECOND) if one.repeat == "deduplicated" else 0,
    )
    return RequestClass(
        one.name,
        draw(random_source, one.share),
        draw(random_source, one.work_ms) / 1000,
        one.spread,
        draw(random_source, one.cv),
        draw(random_source, one.launch_noise),
        terms,
    )
