"""The site of a run: endpoints, the lists that discovery publishes of them, and the load. Everything but the
sidecars, the clients and the troubles; those act on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import numpy as np
import xxhash

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, Job, EndpointSpec
from lupinmill.lab.rule_checker import RuleChecker
from lupinmill.lab.registry import Entry, Registry, as_gone
from lupinmill.lab.scenario import Scenario, Tier
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import machines
from lupinmill.lab.world.random_streams import random_stream, draw
from lupinmill.lab.world.configuration import sidecar_settings
from lupinmill.lab.world.network import Network
from lupinmill.lab.world.request_class import draw_request_classes
from lupinmill.protocol import settings

SILENT_WATCH_S = 4.5  # a watch that hears nothing, not even that there is no news, has failed after this


class Driver(Protocol):
    """What a driver can do to its sidecars, and what it must hear of the site."""

    def sidecar_count(self) -> int:
        """How many front sidecars there are."""

    def kill_sidecar(self, at: int, down_s: float) -> None:
        """Kills one; it starts again after so many seconds."""

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        """From now on one comes to what has happened with this lag; 0 ends it."""

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """An endpoint has died."""

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """An endpoint starts, or starts again."""

    def links_changed(self) -> None:
        """Ways between zones were cut, or a cut has ended."""


@dataclass(slots=True)
class TroubleRecord:
    """A trouble as it was, for the report; times in seconds of the run."""

    kind: str
    began: float
    ended: float
    what: str


class World:
    """One site, drawn whole from a scenario and a seed. Streams of chance are drawn from in a fixed order:
    the same seed gives the same site in every process."""

    def __init__(self, scenario: Scenario, seed: int, timeline: Timeline) -> None:
        self.scenario, self.seed, self.timeline = scenario, seed, timeline
        self.start = timeline.now
        random_source = self.random_source = random_stream(seed, "site")
        self.seconds = draw(random_source, scenario.seconds)
        self.end = self.start + int(self.seconds * SECOND)
        self.classes = draw_request_classes(scenario.workload, random_source)
        self.class_by_name = {w.name: w for w in self.classes}
        self.rule_checker = self.make_rule_checker()
        self.zones = scenario.net.zones
        self.network = Network(scenario.net, seed, random_source)
        self.tiers: list[list[Endpoint]] = []
        self.by_endpoint: dict[str, Endpoint] = {}
        self.registries: list[Registry] = []
        self.entries: dict[str, Entry] = {}
        self.calls: list[float] = []  # by tier: those that one request of the tier before makes
        self.serial = 0  # of endpoints' names
        self.trouble_records: list[TroubleRecord] = []
        self.factors: dict[str, float] = {}  # of the load, by trouble
        self.tenant_factors: dict[str, float] = {}
        self.driver: Driver | None = None
        self.build_tiers()
        self.sidecars = max(1, round(draw(random_source, scenario.sidecars.count)))
        self.sidecar_notice = draw(random_source, scenario.sidecars.notice_s)
        self.rate = self.base_rate()

    def make_rule_checker(self) -> RuleChecker:
        """The judge of this site's rules."""
        rules = self.scenario.rules
        return RuleChecker(
            self.start,
            [w.terms for w in self.classes],
            int(rules.answer_grace_ms * MS),
            int(rules.drain_grace_s * SECOND),
            (rules.fall_multiple, int(rules.fall_s * SECOND)),
            self.scenario.limits.copies,
        )

    # Endpoints and lists.

    def build_tiers(self) -> None:
        """Draws all tiers."""
        before = 0
        for at, tier in enumerate(self.scenario.tier):
            before = self.draw_count(tier, before)
            self.calls.append(draw(self.random_source, tier.calls) if at else 0.0)
            self.registries.append(self.make_registry(at))
            self.tiers.append(self.make_endpoints(at, tier, before))

    def draw_count(self, tier: Tier, before: int) -> int:
        """How many endpoints a tier has, where the tier before has so many (0: there is none)."""
        count = max(1, round(draw(self.random_source, tier.count)))
        if before and (each := draw(self.random_source, tier.per_caller)):
            count = max(1, round(before * each))
        return count

    def make_registry(self, tier: int) -> Registry:
        """The list of one tier, with the delays of its kinds of news."""
        random_source, found = random_stream(self.seed, "list", tier), self.scenario.discovery

        def delay(mean: float) -> Callable[[], float]:
            """Draws one delay in seconds."""
            return lambda: mean * random_source.uniform(0.8, 1.2)

        notice = delay(draw(self.random_source, found.notice_s))
        silent_notice = delay(draw(self.random_source, found.silent_notice_s))
        add = delay(draw(self.random_source, found.add_s))
        return Registry(self.timeline, random_source, notice, silent_notice, add)

    def make_endpoints(self, at: int, tier: Tier, count: int) -> list[Endpoint]:
        """So many endpoints, spread over kinds, zones and cells."""
        random_source, net = self.random_source, self.scenario.net
        cell_size = max(1, round(draw(random_source, tier.cell_size)))
        common = machines.tier_figures(at, tier, random_source)
        kinds = machines.kinds_of(tier, count, random_source)
        figures = {kind.name: machines.kind_figures(common, kind, random_source) for kind in tier.kind}
        zones = machines.spread(self.zones, net.endpoints or [1.0] * len(self.zones), count)
        members = dict.fromkeys(self.zones, 0)
        endpoints = []
        for kind, zone in zip(kinds, zones):
            cell = 1000 * self.zones.index(zone) + members[zone] // cell_size
            members[zone] += 1
            spec = machines.machine(figures[kind.name], self.new_name(at), zone, cell, random_source)
            endpoints.append(self.add_endpoint(spec, 0, True))
        return endpoints

    def new_name(self, tier: int) -> str:
        """A name that no endpoint of this run had before."""
        self.serial += 1
        mark = xxhash.xxh32_hexdigest(f"{self.seed}/{self.serial}".encode())[:4]
        return f"e{tier}-{self.serial:03d}-{mark}"

    def add_endpoint(self, spec: EndpointSpec, started: int, listed: bool) -> Endpoint:
        """A new endpoint; one that is not `listed` is published after the delay of such news."""
        random_source = random_stream(self.seed, "endpoint", spec.name)
        endpoint = Endpoint(spec, self.timeline, random_source, self.rule_checker, started)
        self.by_endpoint[spec.name] = endpoint
        entry = Entry(spec.name, spec.zone, spec.kind, spec.cell, t.EndpointStatus.READY, started)
        self.entries[spec.name] = entry
        registry = self.registries[spec.tier]
        if listed:
            registry.add_initial(entry)
        else:
            registry.publish_later(entry, "add")
        return endpoint

    def crash_endpoint(self, endpoint: Endpoint, silently: bool) -> None:
        """A crash; of a silent one nothing comes any more, not even a refusal."""
        if not endpoint.alive:
            return
        endpoint.crash(silently)
        if self.driver is not None:
            self.driver.endpoint_died(endpoint)
        name = endpoint.spec.name
        self.registries[endpoint.spec.tier].publish_later(
            as_gone(self.entries[name]), "silent" if silently else "gone"
        )

    def restart_endpoint(self, endpoint: Endpoint) -> None:
        """A dead endpoint starts again, cold, under its name."""
        if endpoint.alive:
            return
        endpoint.restart()
        if self.driver is not None:
            self.driver.endpoint_started(endpoint)
        spec = endpoint.spec
        entry = Entry(spec.name, spec.zone, spec.kind, spec.cell, t.EndpointStatus.READY, self.timeline.now)
        self.entries[spec.name] = entry
        self.registries[spec.tier].publish_later(entry, "add")

    def drain(self, endpoint: Endpoint) -> None:
        """The list says that it drains; it still takes what comes."""
        name = endpoint.spec.name
        self.entries[name] = replace(self.entries[name], state=t.EndpointStatus.DRAINING)
        self.registries[endpoint.spec.tier].publish_later(self.entries[name], "drain")

    def replace_endpoint(self, endpoint: Endpoint) -> None:
        """The drained one ends; its successor, under a new name, starts cold."""
        if endpoint.alive:
            endpoint.draining = True
            self.crash_endpoint(endpoint, False)
        spec = replace(endpoint.spec, name=self.new_name(endpoint.spec.tier))
        tier = self.tiers[spec.tier]
        tier.remove(endpoint)
        fresh = self.add_endpoint(spec, self.timeline.now, False)
        tier.append(fresh)
        if self.driver is not None:
            self.driver.endpoint_started(fresh)

    def block(self, links: list[tuple[str, str]], by: int) -> None:
        """Cuts ways between zones (1), or ends a cut (-1)."""
        self.network.block(links, by)
        if self.driver is not None:
            self.driver.links_changed()

    # Load.

    def capacity(self) -> float:
        """Requests a second that the whole site can do, by the tier that runs out first."""
        mean = sum(w.share * w.mean for w in self.classes)
        found, calls = float("inf"), 1.0
        for at, endpoints in enumerate(self.tiers):
            calls *= self.calls[at] if at else 1.0
            able = sum(e.spec.cores * e.spec.speed for e in endpoints)
            found = min(found, able / (mean * endpoints[0].spec.work * max(calls, 1e-9)))
        return found

    def base_rate(self) -> float:
        """Requests a second, before any trouble or wave."""
        load = self.scenario.load
        if load.rate is not None:
            return draw(self.random_source, load.rate)
        return draw(self.random_source, load.part) * self.capacity()

    def rate_now(self) -> float:
        """Requests a second, with the troubles of the load."""
        rate = self.rate
        for factor in self.factors.values():
            rate *= factor
        return rate

    def quotas(self) -> dict[str, float]:
        """Of each tenant, requests a second."""
        if not self.scenario.tenant:
            return {}
        whole = (
            draw(random_stream(self.seed, "quota"), self.scenario.load.quota_of_capacity) * self.capacity()
        )
        total = sum(tenant.share for tenant in self.scenario.tenant)
        return {tenant.name: whole * tenant.share / total for tenant in self.scenario.tenant}

    def draw_calls(self, tier: int, random_source: np.random.Generator) -> int:
        """How many calls of the next tier one request makes at an endpoint of this tier."""
        if tier + 1 >= len(self.tiers):
            return 0
        mean = self.calls[tier + 1]
        whole = int(mean)
        return whole + (random_source.random() < mean - whole)

    def call_work(self, job: Job, spec: EndpointSpec, random_source: np.random.Generator) -> float:
        """Seconds of work of a call that this job makes of the next tier, before that tier's part of it."""
        if self.scenario.tier[spec.tier + 1].call_work == "own":
            return self.class_by_name[job.workload].work(random_source)
        return job.work / spec.work if spec.work else 0.0

    def attempt_work(self, request_class: str, work: float, tier: int) -> float:
        """Seconds of work of one attempt at an endpoint of `tier`: its part of the request's work, with this
        attempt's noise."""
        noise = self.class_by_name[request_class].draw_noise(self.network.random_source)
        return work * self.tiers[tier][0].spec.work * noise

    # What sidecars are configured with.

    def settings(self, tier: int, instances: int) -> dict[str, Any]:
        """The settings of the platform's protocol, as nested JSON."""
        return sidecar_settings(self.scenario, self.quotas(), tier, instances)

    def deployment(self, tier: int, instances: int, seed: int) -> t.Deployment:
        """The same as the decision module has it."""
        found = settings.deployment(settings.flatten(self.settings(tier, instances)))
        found.seed = seed
        return found
