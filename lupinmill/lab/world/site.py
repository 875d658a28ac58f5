"""The site of a run: endpoints, discovery registries, network and load. Sidecars, clients and troubles are
separate and act on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import numpy as np
import xxhash

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, EndpointSpec, Job
from lupinmill.lab.registry import Entry, Registry, as_gone
from lupinmill.lab.rule_checker import RuleChecker
from lupinmill.lab.scenario import Scenario, Tier
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import machines
from lupinmill.lab.world.configuration import sidecar_settings
from lupinmill.lab.world.network import Network
from lupinmill.lab.world.random_streams import draw, random_stream
from lupinmill.lab.world.request_class import draw_request_classes
from lupinmill.protocol import settings

SILENT_WATCH_S = 4.5  # time-out of a watch that receives nothing, not even an empty answer


class Driver(Protocol):
    """Operations of a run that troubles and the site call: control of sidecars, and notifications."""

    def sidecar_count(self) -> int:
        """Returns the number of front sidecars."""

    def kill_sidecar(self, at: int, down_s: float) -> None:
        """Kills front sidecar number `at`; it is restarted after `down_s` seconds."""

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        """Delays the processing of front sidecar number `at` by `lag_s` seconds from now on; 0 ends this."""

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """An endpoint has crashed."""

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """An endpoint was started or restarted."""

    def links_changed(self) -> None:
        """Links between zones were cut or restored."""


@dataclass(slots=True)
class TroubleRecord:
    """A trouble, for the report; times in seconds since the start of the run."""

    kind: str
    began: float
    ended: float
    what: str


class World:
    """One site, drawn from a scenario and a seed. The order of draws from each random stream is fixed, so
    that a seed gives the same site in every process."""

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
        self.calls: list[float] = []  # by tier: mean number of calls per request of the tier before
        self.serial = 0  # of the latest endpoint name
        self.trouble_records: list[TroubleRecord] = []
        self.factors: dict[str, float] = {}  # on the load, by trouble
        self.tenant_factors: dict[str, float] = {}
        self.driver: Driver | None = None
        self.build_tiers()
        self.sidecars = max(1, round(draw(random_source, scenario.sidecars.count)))
        self.sidecar_notice = draw(random_source, scenario.sidecars.notice_s)
        self.rate = self.base_rate()

    def make_rule_checker(self) -> RuleChecker:
        """Creates the checker of this scenario's rules."""
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
        """Draws the endpoints and the registry of each tier."""
        callers = 0
        for at, tier in enumerate(self.scenario.tier):
            callers = self.draw_count(tier, callers)
            self.calls.append(draw(self.random_source, tier.calls) if at else 0.0)
            self.registries.append(self.make_registry(at))
            self.tiers.append(self.make_endpoints(at, tier, callers))

    def draw_count(self, tier: Tier, callers: int) -> int:
        """Draws the number of endpoints in a tier; `before` is that of the tier before (0: there is none)."""
        count = max(1, round(draw(self.random_source, tier.count)))
        if callers and (per_caller := draw(self.random_source, tier.per_caller)):
            count = max(1, round(callers * per_caller))
        return count

    def make_registry(self, tier: int) -> Registry:
        """Creates the registry of one tier, with the publication delay of each kind of change."""
        random_source, found = random_stream(self.seed, "list", tier), self.scenario.discovery

        def delay(mean: float) -> Callable[[], float]:
            """Returns a function that draws a delay around `mean`, in seconds."""
            return lambda: mean * random_source.uniform(0.8, 1.2)

        notice = delay(draw(self.random_source, found.notice_s))
        silent_notice = delay(draw(self.random_source, found.silent_notice_s))
        add = delay(draw(self.random_source, found.add_s))
        return Registry(self.timeline, random_source, notice, silent_notice, add)

    def make_endpoints(self, at: int, tier: Tier, count: int) -> list[Endpoint]:
        """Creates `count` endpoints, spread over kinds, zones and cells."""
        random_source, net = self.random_source, self.scenario.net
        cell_size = max(1, round(draw(random_source, tier.cell_size)))
        common = machines.draw_tier_parameters(at, tier, random_source)
        kinds = machines.draw_kinds(tier, count, random_source)
        parameters = {
            kind.name: machines.draw_kind_parameters(common, kind, random_source) for kind in tier.kind
        }
        zones = machines.spread_evenly(self.zones, net.endpoints or [1.0] * len(self.zones), count)
        members = dict.fromkeys(self.zones, 0)
        endpoints = []
        for kind, zone in zip(kinds, zones):
            cell = 1000 * self.zones.index(zone) + members[zone] // cell_size
            members[zone] += 1
            spec = machines.draw_machine(parameters[kind.name], self.new_name(at), zone, cell, random_source)
            endpoints.append(self.add_endpoint(spec, 0, True))
        return endpoints

    def new_name(self, tier: int) -> str:
        """Returns a name that no endpoint of this run has had."""
        self.serial += 1
        suffix = xxhash.xxh32_hexdigest(f"{self.seed}/{self.serial}".encode())[:4]
        return f"e{tier}-{self.serial:03d}-{suffix}"

    def add_endpoint(self, spec: EndpointSpec, started: int, listed: bool) -> Endpoint:
        """Adds an endpoint. Unless it is `listed` from the start, it is published with the delay of
        additions."""
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
        """Crashes an endpoint. If `silently`, peers get no reset or refusal and have to time out."""
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
        """Restarts a crashed endpoint under the same name; it is cold."""
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
        """Publishes that the endpoint drains; it still accepts requests."""
        name = endpoint.spec.name
        self.entries[name] = replace(self.entries[name], state=t.EndpointStatus.DRAINING)
        self.registries[endpoint.spec.tier].publish_later(self.entries[name], "drain")

    def replace_endpoint(self, endpoint: Endpoint) -> None:
        """Stops a drained endpoint and starts its replacement, cold and under a new name."""
        if endpoint.alive:
            endpoint.draining = True
            self.crash_endpoint(endpoint, False)
        spec = replace(endpoint.spec, name=self.new_name(endpoint.spec.tier))
        tier = self.tiers[spec.tier]
        tier.remove(endpoint)
        replacement = self.add_endpoint(spec, self.timeline.now, False)
        tier.append(replacement)
        if self.driver is not None:
            self.driver.endpoint_started(replacement)

    def block(self, links: list[tuple[str, str]], by: int) -> None:
        """Adds (`by` 1) or removes (-1) one cut of each of these links between zones."""
        self.network.block(links, by)
        if self.driver is not None:
            self.driver.links_changed()

    # Load.

    def capacity(self) -> float:
        """Returns the requests per second that the site can handle; the tier with the least capacity limits
        it."""
        mean = sum(w.share * w.mean for w in self.classes)
        found, calls = float("inf"), 1.0
        for at, endpoints in enumerate(self.tiers):
            calls *= self.calls[at] if at else 1.0
            tier_capacity = sum(e.spec.cores * e.spec.speed for e in endpoints)
            found = min(found, tier_capacity / (mean * endpoints[0].spec.work * max(calls, 1e-9)))
        return found

    def base_rate(self) -> float:
        """Draws the mean rate in requests per second, without troubles and load shape."""
        load = self.scenario.load
        if load.rate is not None:
            return draw(self.random_source, load.rate)
        return draw(self.random_source, load.part) * self.capacity()

    def rate_now(self) -> float:
        """Returns the current mean rate in requests per second, including bursts."""
        rate = self.rate
        for factor in self.factors.values():
            rate *= factor
        return rate

    def quotas(self) -> dict[str, float]:
        """Returns the quota of each tenant in requests per second."""
        if not self.scenario.tenant:
            return {}
        total_quota = (
            draw(random_stream(self.seed, "quota"), self.scenario.load.quota_of_capacity) * self.capacity()
        )
        total = sum(tenant.share for tenant in self.scenario.tenant)
        return {tenant.name: total_quota * tenant.share / total for tenant in self.scenario.tenant}

    def draw_calls(self, tier: int, random_source: np.random.Generator) -> int:
        """Draws how many calls to the next tier a request makes at an endpoint of `tier`."""
        if tier + 1 >= len(self.tiers):
            return 0
        mean = self.calls[tier + 1]
        whole_part = int(mean)
        return whole_part + (random_source.random() < mean - whole_part)

    def call_work(self, job: Job, spec: EndpointSpec, random_source: np.random.Generator) -> float:
        """Returns the work in seconds of a call that this job makes to the next tier, before it is scaled by
        that tier's share."""
        if self.scenario.tier[spec.tier + 1].call_work == "own":
            return self.class_by_name[job.workload].work(random_source)
        return job.work / spec.work if spec.work else 0.0

    def attempt_work(self, request_class: str, work: float, tier: int) -> float:
        """Returns the work in seconds of one attempt at an endpoint of `tier`: the tier's share of the
        request's work, with the noise of this attempt."""
        noise = self.class_by_name[request_class].draw_noise(self.network.random_source)
        return work * self.tiers[tier][0].spec.work * noise

    # Configuration of sidecars.

    def settings(self, tier: int, instances: int) -> dict[str, Any]:
        """Returns the settings of the platform's protocol, as nested JSON."""
        return sidecar_settings(self.scenario, self.quotas(), tier, instances)

    def deployment(self, tier: int, instances: int, seed: int) -> t.Deployment:
        """Returns the same settings as input of the decision module."""
        found = settings.deployment(settings.flatten(self.settings(tier, instances)))
        found.seed = seed
        return found
