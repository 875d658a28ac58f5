"""Classes of requests in a run: terms, share of the load, and distribution of the work per request."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from lupinmill import terms as t
from lupinmill.lab import scenario
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.random_streams import draw

MIN_NOISE_FACTOR = 0.1


@dataclass(slots=True)
class RequestClass:
    """One class of requests, with its parameters drawn."""

    name: str
    share: float
    mean: float  # seconds of work per request
    spread: str
    cv: float
    noise: float  # relative standard deviation of the work of an attempt
    terms: t.Workload

    def draw_noise(self, random_source: np.random.Generator) -> float:
        """Draws the factor between the work of one attempt and that of its request."""
        return (
            max(MIN_NOISE_FACTOR, 1 + self.noise * float(random_source.standard_normal()))
            if self.noise
            else 1.0
        )

    def work(self, random_source: np.random.Generator) -> float:
        """Draws the work of one request, in seconds on a core of speed 1."""
        if self.spread == "fixed" or not self.cv:
            return self.mean
        if self.spread == "exponential":
            return float(random_source.exponential(self.mean))
        sigma2 = np.log(1 + self.cv**2)
        return float(random_source.lognormal(np.log(self.mean) - sigma2 / 2, sigma2**0.5))


def draw_request_classes(
    specified: list[scenario.Workload], random_source: np.random.Generator
) -> list[RequestClass]:
    """Draws all classes of a scenario; their shares are normalized to a sum of 1."""
    found = [draw_request_class(one, random_source) for one in specified]
    total = sum(one.share for one in found)
    for one in found:
        one.share /= total
    return found


def draw_request_class(one: scenario.Workload, random_source: np.random.Generator) -> RequestClass:
    """Draws the parameters of one class of requests."""
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
