"""A site drawn from a scenario and a seed: endpoints, list, load, and the troubles on their timeline.
Everything but the sidecars and the network, which belong to the driver."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import numpy as np
import xxhash

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, Job, Shape
from lupinmill.lab.referee import Referee
from lupinmill.lab.registry import Entry, Registry, gone
from lupinmill.lab.scenario import Event, Kind, Report, Scenario, Span, Tier
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.protocol import settings

SILENT_WATCH_S = 4.5  # a watch that hears nothing, not even that there is no news, has failed after this


def chance_for(seed: int, *names: object) -> np.random.Generator:
    """A stream of its own for each purpose, so that one that draws more leaves the others as they were."""
    text = "/".join(map(str, names))
    return np.random.Generator(np.random.PCG64([seed & (2**63 - 1), xxhash.xxh64_intdigest(text.encode())]))


def draw(chance: np.random.Generator, span: Span) -> float:
    if isinstance(span, (int, float)):
        return float(span)
    low, high = span
    if low > 0 and high >= 8 * low:  # over such a ratio each part of the scale counts alike
        return float(np.exp(chance.uniform(np.log(low), np.log(high))))
    return float(chance.uniform(low, high))


class SidecarTroubles(Protocol):
    """What a driver can do to its sidecars."""

    def sidecar_count(self) -> int: ...
    def kill_sidecar(self, at: int, down_s: float) -> None: ...
    def starve_sidecar(self, at: int, lag_s: float) -> None: ...
    def endpoint_died(self, endpoint: Endpoint) -> None: ...
    def endpoint_started(self, endpoint: Endpoint) -> None: ...
    def ways_changed(self) -> None: ...


@dataclass(slots=True)
class Shade:
    """A trouble as it was: for the report."""

    kind: str
    began: float
    ended: float
    what: str


@dataclass(slots=True)
class DrawnWorkload:
    name: str
    share: float
    mean: float  # seconds of work
    spread: str
    cv: float
    noise: float
    terms: t.Workload

    def work(self, chance: np.random.Generator) -> float:
        if self.spread == "fixed" or not self.cv:
            return self.mean
        if self.spread == "exponential":
            return float(chance.exponential(self.mean))
        sigma2 = np.log(1 + self.cv**2)
        return float(chance.lognormal(np.log(self.mean) - sigma2 / 2, sigma2**0.5))


class World:
    def __init__(self, scenario: Scenario, seed: int, timeline: Timeline) -> None:
        self.scenario, self.seed, self.timeline = scenario, seed, timeline
        self.start = timeline.now
        chance = self.chance = chance_for(seed, "site")
        self.seconds = draw(chance, scenario.seconds)
        self.end = self.start + int(self.seconds * SECOND)
        self.workloads = [self.workload(w) for w in scenario.workload]
        total = sum(w.share for w in self.workloads)
        for w in self.workloads:
            w.share /= total
        self.by_name = {w.name: w for w in self.workloads}
        rules = scenario.rules
        self.referee = Referee(
            self.start,
            [w.terms for w in self.workloads],
            int(rules.answer_grace_ms * MS),
            int(rules.drain_grace_s * SECOND),
            (rules.fall_multiple, int(rules.fall_s * SECOND)),
            scenario.limits.copies,
        )
        self.zones = scenario.net.zones
        self.one_way = draw(chance, scenario.net.same_ms) * MS
        self.cross = draw(chance, scenario.net.cross_ms) * MS
        self.client_way = draw(chance, scenario.net.client_ms) * MS
        self.jitter = draw(chance, scenario.net.jitter)
        self.regions = dict(zip(self.zones, scenario.net.regions or [""] * len(self.zones)))
        self.apart: dict[
            tuple[str, str], int
        ] = {}  # from zone, to zone: how many troubles block that way now
        self.links: dict[tuple[str, str], float] = {}  # times that a way between zones takes longer
        self.net_chance = chance_for(seed, "net")
        self.tiers: list[list[Endpoint]] = []
        self.by_endpoint: dict[str, Endpoint] = {}
        self.registries: list[Registry] = []
        self.serial = 0
        self.shades: list[Shade] = []
        self.factors: dict[str, float] = {}  # of the load, by trouble
        self.tenant_factors: dict[str, float] = {}
        self.driver: SidecarTroubles | None = None
        self.entries: dict[str, Entry] = {}
        self.calls: list[float] = []
        self.sizes: list[tuple[Tier, Kind, Any]] = []
        self.build()
        self.sidecars = max(1, round(draw(chance, scenario.sidecars.count)))
        self.sidecar_notice = draw(chance, scenario.sidecars.notice_s)
        self.rate = self.base_rate()

    # What there is.

    def workload(self, w: Any) -> DrawnWorkload:
        terms = t.Workload(
            w.name,
            int(w.contract_s * SECOND),
            int(w.hard_limit_s * SECOND),
            w.value,
            w.overdue,
            t.Repeat(w.repeat),
            t.Group(w.group),
            int(w.window_s * SECOND) if w.repeat == "deduplicated" else 0,
        )
        d = self.chance
        return DrawnWorkload(
            w.name,
            draw(d, w.share),
            draw(d, w.work_ms) / 1000,
            w.spread,
            draw(d, w.cv),
            draw(d, w.launch_noise),
            terms,
        )

    def build(self) -> None:
        before = 0
        for at, tier in enumerate(self.scenario.tier):
            chance = self.chance
            count = max(1, round(draw(chance, tier.count)))
            if before and (each := draw(chance, tier.per_caller)):
                count = max(1, round(before * each))
            before = count
            self.calls.append(draw(chance, tier.calls) if at else 0.0)
            registry_chance = chance_for(self.seed, "list", at)
            found = self.scenario.discovery
            mean_notice, mean_silent, mean_add = (
                draw(chance, found.notice_s),
                draw(chance, found.silent_notice_s),
                draw(chance, found.add_s),
            )
            self.registries.append(
                Registry(
                    self.timeline,
                    registry_chance,
                    lambda mean=mean_notice, c=registry_chance: mean * c.uniform(0.8, 1.2),
                    lambda mean=mean_silent, c=registry_chance: mean * c.uniform(0.8, 1.2),
                    lambda mean=mean_add, c=registry_chance: mean * c.uniform(0.8, 1.2),
                )
            )
            cell_size = max(1, round(draw(chance, tier.cell_size)))
            template = self.template(at, tier)
            kinds = self.kinds(tier, count)
            drawn = {kind.name: self.drawn_kind(kind) for kind in tier.kind}
            cells: dict[str, list[int]] = {zone: [] for zone in self.zones}
            endpoints = []
            for number, (kind, zone) in enumerate(zip(kinds, self.spread_zones(count))):
                members = cells[zone]
                members.append(number)
                cell = 1000 * self.zones.index(zone) + (len(members) - 1) // cell_size
                shape = self.shape(template, drawn[kind.name], kind, self.new_name(at), zone, cell)
                endpoints.append(self.add_endpoint(shape, 0, True))
            self.tiers.append(endpoints)

    def spread_zones(self, count: int) -> list[str]:
        """A zone for each of so many, by the scenario's parts, spread evenly over the numbers."""
        shares = self.scenario.net.endpoints or [1.0] * len(self.zones)
        total, given = sum(shares), [0] * len(shares)
        found = []
        for number in range(1, count + 1):
            at = max(range(len(shares)), key=lambda k: shares[k] / total * number - given[k])
            given[at] += 1
            found.append(self.zones[at])
        return found

    def new_name(self, tier: int) -> str:
        self.serial += 1
        return (
            f"e{tier}-{self.serial:03d}-{xxhash.xxh32_hexdigest(f'{self.seed}/{self.serial}'.encode())[:4]}"
        )

    def kinds(self, tier: Tier, count: int) -> list[Kind]:
        """Kinds by share, spread evenly over the numbers."""
        shares = [draw(self.chance, kind.share) for kind in tier.kind]
        total, given = sum(shares), [0] * len(shares)
        found = []
        for number in range(1, count + 1):
            at = max(range(len(shares)), key=lambda k: shares[k] / total * number - given[k])
            given[at] += 1
            found.append(tier.kind[at])
        return found

    def template(self, at: int, tier: Tier) -> dict[str, Any]:
        d, report, last = self.chance, tier.report, at + 1 == len(self.scenario.tier)
        return {
            "tier": at,
            "work": draw(d, tier.work),
            "probe_work": draw(d, tier.probe_us) / 1e6,
            "calls": 0.0 if last else 1.0,
            **self.report_figures(report),
            "connect_work": draw(d, tier.connections.work_us) / 1e6,
            "round_trips": round(draw(d, tier.connections.round_trips)),
            "idle_s": tier.connections.idle_s,
            "connect_limit_s": tier.connections.time_out_ms / 1000,
            "most": draw(d, tier.connections.most_per_core),
            "jam": self.jam(tier),
        }

    def report_figures(self, report: Report) -> dict[str, Any]:
        d = self.chance
        return {
            "report_fields": tuple(report.fields),
            "report_how": report.how,
            "report_s": max(0.01, draw(d, report.period_ms) / 1000),
            "report_noise": draw(d, report.noise),
            "report_delay_s": draw(d, report.delay_ms) / 1000,
        }

    def jam(self, tier: Tier) -> tuple[float, ...] | None:
        d, jam = self.chance, tier.jam
        if jam is None:
            return None
        if d.random() >= draw(d, jam.share):
            return None
        figures = [
            draw(d, span) for span in (jam.at, jam.over_s, jam.slower, jam.rest_s, jam.below, jam.most_s)
        ]
        return tuple(figures) if figures[2] > 1 else None

    def drawn_kind(self, kind: Kind) -> dict[str, float]:
        d = self.chance
        names = (
            "speed",
            "speed_cv",
            "slots_per_core",
            "queue_per_core",
            "crowding",
            "crowding_at",
            "cold_from",
            "cold_s",
            "pause_every_s",
            "pause_ms",
            "error_rate",
        )
        return {name: draw(d, getattr(kind, name)) for name in names}

    def shape(
        self, template: dict[str, Any], drawn: dict[str, float], kind: Kind, name: str, zone: str, cell: int
    ) -> Shape:
        figures = dict(template)
        most, jam = figures.pop("most"), figures.pop("jam")
        speed = drawn["speed"] * max(0.3, 1 + drawn["speed_cv"] * float(self.chance.standard_normal()))
        return Shape(
            name=name,
            zone=zone,
            kind=kind.name,
            cell=cell,
            cores=kind.cores,
            speed=speed,
            slots=max(1, round(drawn["slots_per_core"] * kind.cores)),
            queue=round(drawn["queue_per_core"] * kind.cores),
            crowding=drawn["crowding"],
            crowding_at=max(0.1, drawn["crowding_at"]),
            cold_from=drawn["cold_from"],
            cold_s=drawn["cold_s"],
            warm_by_work=kind.warm_by == "requests",
            pause_every_s=max(0.05, drawn["pause_every_s"]),
            pause_s=drawn["pause_ms"] / 1000,
            error_rate=drawn["error_rate"],
            cancel=kind.cancel,
            drops_expired=kind.drops_expired,
            most_connections=round(most * kind.cores),
            jam=jam,
            **figures,
        )

    def add_endpoint(self, shape: Shape, started: int, listed: bool) -> Endpoint:
        chance = chance_for(self.seed, "endpoint", shape.name)
        endpoint = Endpoint(shape, self.timeline, chance, self.referee, started)
        self.by_endpoint[shape.name] = endpoint
        entry = Entry(shape.name, shape.zone, shape.kind, shape.cell, t.State.READY, started)
        self.entries[shape.name] = entry
        registry = self.registries[shape.tier]
        if listed:
            registry.enlist(entry)
        else:
            registry.learn(entry, "add")
        return endpoint

    def capacity(self) -> float:
        """Submissions a second that the whole site can do, by the tier that runs out first."""
        mean = sum(w.share * w.mean for w in self.workloads)
        found, calls = float("inf"), 1.0
        for at, endpoints in enumerate(self.tiers):
            calls *= self.calls[at] if at else 1.0
            able = sum(e.shape.cores * e.shape.speed for e in endpoints)
            found = min(found, able / (mean * endpoints[0].shape.work * max(calls, 1e-9)))
        return found

    def base_rate(self) -> float:
        load = self.scenario.load
        if load.rate is not None:
            return draw(self.chance, load.rate)
        return draw(self.chance, load.part) * self.capacity()

    def quotas(self) -> dict[str, float]:
        if not self.scenario.tenant:
            return {}
        whole = draw(chance_for(self.seed, "quota"), self.scenario.load.quota_of_capacity) * self.capacity()
        total = sum(tenant.share for tenant in self.scenario.tenant)
        return {tenant.name: whole * tenant.share / total for tenant in self.scenario.tenant}

    def call_work(self, job: Job, shape: Shape, chance: np.random.Generator) -> float:
        """Seconds of work of a call that this job makes of the next tier, before that tier's part of it."""
        if self.scenario.tier[shape.tier + 1].call_work == "own":
            return self.by_name[job.workload].work(chance)
        return job.work / shape.work if shape.work else 0.0

    # What sidecars are told.

    def settings(self, tier: int, instances: int) -> dict[str, Any]:
        """The settings of the platform's protocol, as nested JSON."""
        s, report = self.scenario, self.scenario.tier[tier].report
        kinds = self.scenario.tier[tier].kind
        wire = {"queued": "waiting", "held": "active", "busy": "cpu", "service": "avg_ms", "rate": "rps"}
        repeats = {"idempotent": "repeatable", "deduplicated": "by_key", "unrepeatable": "once"}
        how = {"none": "off", "probe": "on_probe", "answers": "inline"}[report.how]
        low = [
            kind.cold_from if isinstance(kind.cold_from, (int, float)) else kind.cold_from[0]
            for kind in kinds
        ]
        long = [kind.cold_s if isinstance(kind.cold_s, (int, float)) else kind.cold_s[1] for kind in kinds]
        goal = s.goal
        return {
            "tier": tier,
            "instances": instances,
            "discovery": s.discovery.how,
            "round-s": s.sidecars.round_ms / 1000,
            "beyond-share-value": s.load.beyond_share_value,
            "blend": {
                "whole": goal.whole,
                "worst-window": goal.worst_window,
                "worst-class": goal.worst_workload,
                "kept-promises": goal.tail,
                "worst-tenant": goal.worst_tenant,
            },
            "workloads": [
                {
                    "name": w.name,
                    "contract-time-s": w.contract_s,
                    "hard-limit-s": w.hard_limit_s,
                    "value": w.value,
                    "overdue-value": w.overdue,
                    "repeat": repeats[w.repeat],
                    "group": w.group,
                    "window-s": w.window_s,
                }
                for w in s.workload
            ],
            "accounts": [{"name": name, "quota-per-s": quota} for name, quota in self.quotas().items()],
            "limits": {
                "most-launches": s.limits.launches,
                "may-duplicate": s.limits.copies,
                "cancel": s.limits.cancel,
                "probes": s.limits.probes,
                "retry-after": s.limits.advice_s > 0,
                "max-retry-after-s": s.limits.advice_s,
                "conn-idle-s": s.tier[tier].connections.idle_s,
                "connect-timeout-s": s.tier[tier].connections.time_out_ms / 1000,
            },
            "load-report": {"how": how, "fields": [wire[name] for name in report.fields]},
            "invariants": {
                "ask-within-s": s.rules.ask_within_s,
                "cold-s": max(long),
                "cold-share": min(low),
                "overload-factor": s.rules.fall_multiple,
                "fall-s": s.rules.fall_s,
                "stop-sending-within-s": s.rules.drain_grace_s,
            },
        }

    def deployment(self, tier: int, instances: int, seed: int) -> t.Deployment:
        found = settings.deployment(settings.flatten(self.settings(tier, instances)))
        found.seed = seed
        return found

    def delay(self, zone: str = "", other: str = "") -> float:
        mean = self.one_way if zone == other else self.cross * self.links.get((zone, other), 1.0)
        return mean * (1 + self.jitter * float(self.net_chance.exponential(1.0)))

    def blocked(self, zone: str, other: str) -> bool:
        """Nothing passes that way now."""
        return self.apart.get((zone, other), 0) > 0

    # Load.

    def rate_now(self) -> float:
        rate = self.rate
        for factor in self.factors.values():
            rate *= factor
        return rate

    # Troubles.

    def plan(self, driver: SidecarTroubles) -> None:
        """Puts all troubles on the timeline."""
        self.driver = driver
        chance = chance_for(self.seed, "troubles")
        for event in self.scenario.trouble:
            self.schedule(chance, event, draw(chance, event.at_s))
        count = draw(chance, self.scenario.random_count)
        for _ in range(int(count)):
            if not self.scenario.random:
                break
            weights = np.array([event.weight for event in self.scenario.random])
            event = self.scenario.random[int(chance.choice(len(weights), p=weights / weights.sum()))]
            at = draw(chance, event.at_s) or chance.uniform(0.15, 0.7) * self.seconds
            end = self.schedule(chance, event, at)
            for follower in event.then:
                end = self.schedule(chance, follower, end + draw(chance, follower.at_s))

    def schedule(self, chance: np.random.Generator, event: Event, at: float) -> float:
        """Draws one trouble's figures and sets it; returns the second at which it is over."""
        lasts, part = draw(chance, event.lasts_s), draw(chance, event.part)
        size, extra = draw(chance, event.size), draw(chance, event.extra)
        tier = next((n for n, found in enumerate(self.scenario.tier) if found.name == event.tier), 0)
        stream = np.random.Generator(np.random.PCG64(chance.integers(2**62)))
        begin = self.start + int(at * SECOND)
        act: Callable[..., None] = getattr(self, f"do_{event.kind}")
        serial = len(self.shades)
        self.shades.append(Shade(event.kind, at, at + lasts, f"part {part:.2f}, size {size:.2f}"))
        self.timeline.at(begin, act, stream, tier, lasts, part, size, extra, f"{event.kind}{serial}", event)
        return at + lasts

    def some(self, stream: np.random.Generator, tier: int, part: float) -> list[Endpoint]:
        alive = [e for e in self.tiers[tier] if e.alive and not e.draining]
        count = min(len(alive), max(1, round(part * len(alive))))
        return [alive[at] for at in sorted(stream.permutation(len(alive))[:count])]

    def do_crash(self, stream: Any, tier: int, lasts: float, part: float, *_: Any) -> None:
        for endpoint in self.some(stream, tier, part):
            self.die(endpoint, False)
            self.timeline.after(lasts * SECOND, self.revive, endpoint)

    def do_vanish(self, stream: Any, tier: int, lasts: float, part: float, *_: Any) -> None:
        for endpoint in self.some(stream, tier, part):
            self.die(endpoint, True)
            self.timeline.after(lasts * SECOND, self.revive, endpoint)

    def die(self, endpoint: Endpoint, silently: bool) -> None:
        if not endpoint.alive:
            return
        endpoint.crash(silently)
        if self.driver is not None:
            self.driver.endpoint_died(endpoint)
        name = endpoint.shape.name
        self.registries[endpoint.shape.tier].learn(gone(self.entries[name]), "silent" if silently else "gone")

    def revive(self, endpoint: Endpoint) -> None:
        if endpoint.alive:
            return
        endpoint.come_back()
        if self.driver is not None:
            self.driver.endpoint_started(endpoint)
        shape = endpoint.shape
        entry = Entry(shape.name, shape.zone, shape.kind, shape.cell, t.State.READY, self.timeline.now)
        self.entries[shape.name] = entry
        self.registries[shape.tier].learn(entry, "add")

    def do_hang(self, stream: Any, tier: int, lasts: float, part: float, *_: Any) -> None:
        for endpoint in self.some(stream, tier, part):
            endpoint.hang(True)
            self.timeline.after(
                lasts * SECOND, self.in_same_life, endpoint, endpoint.epoch, endpoint.hang, False
            )

    def in_same_life(self, endpoint: Endpoint, epoch: int, act: Callable[..., None], *args: Any) -> None:
        if endpoint.epoch == epoch:
            act(*args)

    def do_slow(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, why: str, _: Event
    ) -> None:
        for endpoint in self.some(stream, tier, part):
            endpoint.slow_by(why, size)
            self.timeline.after(lasts * SECOND, endpoint.slow_by, why, 1.0)

    def do_shared_slow(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        tiers = [tier] if event.tier else range(len(self.tiers))
        for endpoint in (e for at in tiers for e in self.tiers[at]):
            endpoint.slow_by(why, size)
            self.timeline.after(lasts * SECOND, endpoint.slow_by, why, 1.0)

    def set_for(self, endpoints: list[Endpoint], name: str, value: float, lasts: float) -> None:
        for endpoint in endpoints:
            setattr(endpoint, name, value)
            self.timeline.after(lasts * SECOND, setattr, endpoint, name, 0.0)

    def do_errors(self, stream: Any, tier: int, lasts: float, part: float, size: float, *_: Any) -> None:
        self.set_for(self.some(stream, tier, part), "failing", min(1.0, size), lasts)

    def do_spoilt(self, stream: Any, tier: int, lasts: float, part: float, size: float, *_: Any) -> None:
        self.set_for(self.some(stream, tier, part), "spoiling", min(1.0, size), lasts)

    def do_resets(self, stream: Any, tier: int, lasts: float, part: float, size: float, *_: Any) -> None:
        self.set_for(self.some(stream, tier, part), "resetting", min(1.0, size), lasts)

    def do_pauses(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, *_: Any
    ) -> None:
        ends = self.timeline.now + int(lasts * SECOND)
        for endpoint in self.some(stream, tier, part):
            endpoint.pause(size / 1000, max(0.1, extra), ends, endpoint.epoch)

    def do_neighbour(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, *_: Any
    ) -> None:
        ends = self.timeline.now + int(lasts * SECOND)
        for endpoint in self.some(stream, tier, part):
            self.neighbour(endpoint, stream, min(0.95, size), max(0.2, extra), ends, True)

    def neighbour(
        self, endpoint: Endpoint, stream: Any, size: float, each: float, ends: int, on: bool
    ) -> None:
        now = self.timeline.now
        endpoint.take(size if on and now < ends else 0.0)
        if now < ends:
            span = stream.uniform(0.5, 1.5) * each * SECOND
            self.timeline.at(
                min(ends, now + int(span)), self.neighbour, endpoint, stream, size, each, ends, not on
            )

    def do_reports_late(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        tiers = [tier] if event.tier else range(len(self.tiers))
        self.set_for([e for at in tiers for e in self.tiers[at]], "report_late", size, lasts)

    def do_burst(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, why: str, _: Event
    ) -> None:
        self.ramp(self.factors, why, size, self.timeline.now, lasts, min(extra, lasts / 2))

    def ramp(
        self, factors: dict[str, float], why: str, size: float, began: int, lasts: float, rise: float
    ) -> None:
        """Up over `rise` seconds, and down over as many at the end."""
        at = (self.timeline.now - began) / SECOND
        if at >= lasts:
            factors.pop(why, None)
            return
        height = 1.0 if not rise else min(1.0, max(0.05, at / rise), max(0.05, (lasts - at) / rise))
        factors[why] = 1 + (size - 1) * height
        self.timeline.after(
            min(0.1, lasts - at + 1e-6) * SECOND + 1, self.ramp, factors, why, size, began, lasts, rise
        )

    def do_tenant_burst(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        names = [tenant.name for tenant in self.scenario.tenant]
        name = event.tenant or names[int(stream.integers(len(names)))]
        self.ramp(self.tenant_factors, name, size, self.timeline.now, lasts, min(extra, lasts / 2))

    def do_deploy(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, why: str, _: Event
    ) -> None:
        """`part` of the tier within `lasts`, in batches of `size` of it; `extra` is the drain's time in
        seconds."""
        chosen = self.some(stream, tier, part)
        chosen = [chosen[at] for at in stream.permutation(len(chosen))]
        batch = max(1, round(size * len(self.tiers[tier])))
        batches = [chosen[at : at + batch] for at in range(0, len(chosen), batch)]
        for number, members in enumerate(batches):
            self.timeline.after(
                lasts * SECOND * number / len(batches), self.replace, members, max(0.1, extra)
            )

    def replace(self, members: list[Endpoint], drain: float) -> None:
        for endpoint in members:
            if not endpoint.alive:
                continue
            name, registry = endpoint.shape.name, self.registries[endpoint.shape.tier]
            entry = self.entries[name]
            self.entries[name] = Entry(
                name, entry.zone, entry.kind, entry.cell, t.State.DRAINING, entry.started
            )
            registry.learn(self.entries[name], "drain")
            self.timeline.after(drain * SECOND, self.succeed, endpoint)

    def succeed(self, endpoint: Endpoint) -> None:
        """The drained one ends; its successor, under a new name, starts cold."""
        if endpoint.alive:
            endpoint.draining = True
            self.die(endpoint, False)
        shape = endpoint.shape
        names = {field: getattr(shape, field) for field in shape.__dataclass_fields__}
        names["name"] = self.new_name(shape.tier)
        tier = self.tiers[shape.tier]
        tier.remove(endpoint)
        fresh = self.add_endpoint(Shape(**names), self.timeline.now, False)
        tier.append(fresh)
        if self.driver is not None:
            self.driver.endpoint_started(fresh)

    def do_list_late(self, stream: Any, tier: int, lasts: float, part: float, size: float, *_: Any) -> None:
        for registry in self.registries:
            registry.behind += size
            self.timeline.after(lasts * SECOND, self.catch_up, registry, size)

    def catch_up(self, registry: Registry, size: float) -> None:
        registry.behind = max(0.0, registry.behind - size)

    def do_list_silent(self, stream: Any, tier: int, lasts: float, *_: Any) -> None:
        for registry in self.registries:
            registry.go_down(True)
            self.timeline.after(lasts * SECOND, registry.come_up)

    def do_list_down(self, stream: Any, tier: int, lasts: float, *_: Any) -> None:
        for registry in self.registries:
            registry.go_down(False)
            self.timeline.after(lasts * SECOND, registry.come_up)

    def do_sidecar_roll(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, extra: float, *_: Any
    ) -> None:
        """`part` of the sidecars within `lasts`, in batches of `size` of them, each down for `extra`
        seconds."""
        if self.driver is None:
            return
        count = self.driver.sidecar_count()
        chosen = [int(at) for at in stream.permutation(count)[: max(1, round(part * count))]]
        batch = max(1, round(size * count))
        batches = [chosen[at : at + batch] for at in range(0, len(chosen), batch)]
        for number, members in enumerate(batches):
            for member in members:
                self.timeline.after(
                    lasts * SECOND * number / len(batches), self.driver.kill_sidecar, member, max(0.1, extra)
                )

    def do_sidecar_kill(self, stream: Any, tier: int, lasts: float, part: float, *_: Any) -> None:
        if self.driver is not None:
            count = self.driver.sidecar_count()
            for member in stream.permutation(count)[: max(1, round(part * count))]:
                self.driver.kill_sidecar(int(member), lasts)

    def do_sidecar_starved(
        self, stream: Any, tier: int, lasts: float, part: float, size: float, *_: Any
    ) -> None:
        """`size` is the lag in seconds with which they come to what has happened."""
        if self.driver is not None:
            count = self.driver.sidecar_count()
            for member in stream.permutation(count)[: max(1, round(part * count))]:
                self.driver.starve_sidecar(int(member), size)
                self.timeline.after(lasts * SECOND, self.driver.starve_sidecar, int(member), 0.0)

    def do_zone_cut(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        """All endpoints of one zone go silent and come back cold."""
        zone = event.zone or self.zones[int(stream.integers(len(self.zones)))]
        for endpoint in [
            e for endpoints in self.tiers for e in endpoints if e.shape.zone == zone and e.alive
        ]:
            self.die(endpoint, True)
            self.timeline.after(lasts * SECOND, self.revive, endpoint)

    def do_zone_apart(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        """Nothing passes between one zone and the others; `extra` 1: nothing out of it, 2: nothing into
        it."""
        zone = event.zone or self.zones[int(stream.integers(len(self.zones)))]
        others = [other for other in self.zones if other != zone]
        ways = [(zone, other) for other in others if extra != 2] + [(o, zone) for o in others if extra != 1]
        self.block(ways, 1)
        self.timeline.after(lasts * SECOND, self.block, ways, -1)

    def block(self, ways: list[tuple[str, str]], by: int) -> None:
        for way in ways:
            self.apart[way] = self.apart.get(way, 0) + by
        if self.driver is not None:
            self.driver.ways_changed()

    def do_zone_slow(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        """`part` of one zone's endpoints is `size` times slower, reached over `extra` seconds one by one; the
        list says that all is well."""
        zone = event.zone or self.zones[int(stream.integers(len(self.zones)))]
        there = [e for e in self.tiers[tier] if e.shape.zone == zone and e.alive]
        chosen = [there[at] for at in stream.permutation(len(there))[: max(1, round(part * len(there)))]]
        for number, endpoint in enumerate(chosen):
            self.timeline.after(extra * SECOND * number / len(chosen), endpoint.slow_by, why, size)
            self.timeline.after(lasts * SECOND, endpoint.slow_by, why, 1.0)

    def do_zone_link(
        self,
        stream: Any,
        tier: int,
        lasts: float,
        part: float,
        size: float,
        extra: float,
        why: str,
        event: Event,
    ) -> None:
        """All ways to and from one zone take `size` times as long."""
        zone = event.zone or self.zones[int(stream.integers(len(self.zones)))]
        for other in self.zones:
            for way in ((zone, other), (other, zone)):
                self.links[way] = size
                self.timeline.after(lasts * SECOND, self.links.pop, way, None)


def job_for(
    world: World,
    submission: str,
    key: str,
    workload: str,
    work: float,
    tier: int,
    due: int,
    calls: int,
    reply: Callable[..., None],
) -> Job:
    """One launch as an endpoint of `tier` will do it: its part of the submission's work, with this launch's
    noise."""
    found = world.by_name[workload]
    factor = max(0.1, 1 + found.noise * float(world.net_chance.standard_normal())) if found.noise else 1.0
    return Job(
        submission, key, workload, work * world.tiers[tier][0].shape.work * factor, due, reply, calls=calls
    )
