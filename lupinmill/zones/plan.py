"""Computes the plan: which share of each zone's traffic, by workload, goes to which zone. Pure. One member
computes it under a lease; it takes effect once a majority of the electors has accepted it as the next
version, and every member applies the newest version that it knows.

Target: recomputed every second from the aggregated reports. Traffic stays in its own zone as far as it fits
there at a low fill level, workloads of higher worth first. The rest goes to the nearest zones that have
capacity left at that level for the sum of all that would come, within the workloads' budgets. Then the next
level is filled, up to the last. What fits nowhere stays in its zone and is denied there at once. Spill from
other zones never uses a zone's reserve (`Zone.spare`).

Transition: the plan in force moves towards the target by bounded steps, so that the sum over all sidecars at
a zone changes by a known part of its capacity per second: `SHIFT_PER_S` out of a zone that is short of
capacity, `RETURN_PER_S` on the way back. A lost zone is left without a delay, but never faster than the spare
capacity of the others allows. Traffic returns as a trial share first, and is withdrawn at the first sign of
failure. Changes below `DEAD_BAND` are not made.

Owns the plan in force and, for each zone, the time since which it has been healthy."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lupinmill.zones.reports import SECOND, AggregateView, ZoneState
from lupinmill.zones.zone_map import Workload, Zone, ZoneMap

PLAN_INTERVAL = SECOND
SHIFT_PER_S, RETURN_PER_S = 0.1, 0.03  # share of a zone's traffic per second
# Share of traffic that is sent to a recovered zone as a trial, and how long the trial must succeed.
TRIAL_SHARE, TRIAL_DURATION = 0.05, 5 * SECOND
# The same where the other zones cannot carry all traffic; the share is also the step per second.
URGENT_SHARE, URGENT_TRIAL_DURATION = 0.1, SECOND
# The delay before the trial doubles with each relapse, up to `MAX_RELAPSES` times; a zone that has been back
# for `RELAPSE_MEMORY` starts without relapses again.
RETURN_DELAY, MAX_RELAPSES, RELAPSE_MEMORY = 2 * SECOND, 5, 120 * SECOND
DEAD_BAND = 0.03
# Share of a jump that the smoothed figure follows per second; smaller changes are followed by a quarter of
# that.
SMOOTHING_FACTOR, JUMP_THRESHOLD = 0.35, 0.25
FAILOVER_UPDATE_INTERVAL, FAILOVER_DEAD_BAND = 5 * SECOND, 0.1
# Shares of its capacity to which a zone is filled before the next level is used; beyond the last nothing
# fits.
FILL_LEVELS = (0.7, 0.8, 0.9)
MAX_FILL_LEVEL = FILL_LEVELS[-1]
EPSILON = 1e-9

Shares = dict[str, float]  # by target zone: share of the traffic; sums to 1
Routes = dict[str, dict[str, Shares]]  # by source zone and workload


@dataclass(frozen=True, slots=True)
class Plan:
    version: int = 0
    routes: Routes = field(default_factory=dict)
    reason: str = "all at home"
    # Where the traffic of a zone goes as soon as it is lost, before the next plan; may sum to less than 1.
    failover: Routes = field(default_factory=dict)
    drained: tuple[str, ...] = ()  # by operators
    pinned: bool = False  # by operators: the plan stays as it is

    def shares(self, zone: str, workload: str) -> Shares:
        return self.routes.get(zone, {}).get(workload) or {zone: 1.0}

    def cross_zone_share(self, zone: str, workload: str) -> float:
        return 1 - self.shares(zone, workload).get(zone, 0.0)


@dataclass(slots=True)
class Drains:
    """Zones that operators have drained: they are emptied whatever the reports say."""

    zones: set[str] = field(default_factory=set)


class LastGoodZoneError(Exception):
    """The text is shown to the operator."""


def usable_capacity(map_: ZoneMap, view: AggregateView, drains: Drains) -> dict[str, float]:
    """Attempts per second that each zone may get: none where it is down or drained."""
    found = {}
    for zone in map_.zones:
        name = zone.name
        down = all(
            view.state.get((origin.name, name)) is ZoneState.DOWN
            for origin in map_.zones
            if (origin.name, name) in view.state
        ) and any((origin.name, name) in view.state for origin in map_.zones)
        found[name] = 0.0 if down or name in drains.zones else view.capacity.get(name, 0.0)
    return found


def fill_limit(zone: Zone, level: float) -> float:
    """Share of a zone's capacity up to which traffic from other zones may fill it."""
    return min(level, 1 - zone.spare)


def compute_target(map_: ZoneMap, view: AggregateView, drains: Drains) -> Routes:
    """The routes to move towards, without regard to the plan in force. Filled level by level, so that no zone
    is filled up while its neighbour has capacity to spare. In each level a workload is placed before one of
    lower worth: in its own zone, then in the nearest zones with capacity at that level. Zones that compete
    for the same capacity share it in proportion to what they still have to place."""
    capacity = usable_capacity(map_, view, drains)
    rates: Routes = {zone.name: {w.name: {zone.name: 0.0} for w in map_.workloads} for zone in map_.zones}
    unplaced = {
        zone.name: {w.name: view.traffic.get(zone.name, {}).get(w.name, 0.0) for w in map_.workloads}
        for zone in map_.zones
    }
    used = dict.fromkeys(capacity, 0.0)
    for level in FILL_LEVELS:
        for workload in map_.by_worth():
            for zone in map_.zones:
                name = zone.name
                if view.reaches(name, name):
                    amount = max(0.0, min(unplaced[name][workload.name], level * capacity[name] - used[name]))
                    rates[name][workload.name][name] += amount
                    unplaced[name][workload.name] -= amount
                    used[name] += amount
        for workload in map_.by_worth():
            place_overflow(map_, view, workload, level, rates, unplaced, used, capacity)
    return {
        zone.name: {
            w.name: to_shares(
                zone.name, rates[zone.name][w.name], view.traffic.get(zone.name, {}).get(w.name, 0.0)
            )
            for w in map_.workloads
        }
        for zone in map_.zones
    }


def failover_routes(map_: ZoneMap, view: AggregateView, drains: Drains, routes: Routes) -> Routes:
    """For each zone, where its traffic may go at once should it be lost, before any plan is decided:
    workloads of higher worth first, into the capacity that the others have spare now. Each zone may use the
    spare capacity of another one divided by the number of other zones. So whichever zones are lost together,
    or take each other for lost on the two sides of a partition, the traffic that reaches another zone by this
    rule stays within its spare capacity."""
    capacity, found = usable_capacity(map_, view, drains), {}
    spare = {}
    for zone in map_.zones:
        incoming = sum(
            view.traffic.get(name, {}).get(workload_name, 0.0) * shares.get(zone.name, 0.0)
            for name, by_workload in routes.items()
            for workload_name, shares in by_workload.items()
        )
        spare[zone.name] = max(0.0, fill_limit(zone, MAX_FILL_LEVEL) * capacity[zone.name] - incoming) / max(
            1, len(map_.zones) - 1
        )
    for zone in map_.zones:
        remaining, cross_region, found[zone.name] = dict(spare), {}, {}
        for workload in map_.by_worth():
            traffic = view.traffic.get(zone.name, {}).get(workload.name, 0.0)
            shares: Shares = {}
            for to in map_.order(zone.name) if traffic > EPSILON else []:
                leaves_region = map_.zone(to).region != zone.region
                budget = 1.0 if workload.breaks else workload.leave_zone - sum(shares.values())
                if leaves_region and not workload.breaks:
                    budget = min(budget, workload.leave_region - cross_region.get(workload.name, 0.0))
                share = max(0.0, min(1 - sum(shares.values()), budget, remaining[to] / traffic))
                if share > EPSILON and view.reaches(zone.name, to):
                    shares[to] = share
                    remaining[to] -= share * traffic
                    cross_region[workload.name] = cross_region.get(workload.name, 0.0) + share * leaves_region
            found[zone.name][workload.name] = shares
    return found


def place_overflow(
    map_: ZoneMap,
    view: AggregateView,
    workload: Workload,
    level: float,
    rates: Routes,
    unplaced: dict[str, dict[str, float]],
    used: dict[str, float],
    capacity: dict[str, float],
) -> None:
    """Places what found no capacity in its own zone: nearest zones first, and among zones that compete for
    the same spare capacity in proportion to their demand."""
    spare = {z.name: max(0.0, fill_limit(z, level) * capacity[z.name] - used[z.name]) for z in map_.zones}
    preferences = {zone.name: map_.order(zone.name) for zone in map_.zones}
    region = {zone.name: zone.region for zone in map_.zones}
    for rank in range(len(map_.zones) - 1):
        demand_by_target: dict[str, dict[str, float]] = {}
        for name, preference in preferences.items():
            to = preference[rank]
            traffic = view.traffic.get(name, {}).get(workload.name, 0.0)
            left_zone = sum(rate for zone, rate in rates[name][workload.name].items() if zone != name)
            left_region = sum(
                rate for z, rate in rates[name][workload.name].items() if region[z] != region[name]
            )
            budget = workload.leave_zone * traffic - left_zone
            if workload.breaks and (capacity[name] <= EPSILON or not view.reaches(name, name)):
                budget = traffic  # `zones show` marks it as over its budget
            elif region[to] != region[name]:
                budget = min(budget, workload.leave_region * traffic - left_region)
            amount = min(unplaced[name][workload.name], budget)
            if amount > EPSILON and view.reaches(name, to):
                demand_by_target.setdefault(to, {})[name] = amount
        for to, demand in demand_by_target.items():
            granted = min(1.0, spare[to] / sum(demand.values()))
            for name, amount in demand.items():
                rates[name][workload.name][to] = rates[name][workload.name].get(to, 0.0) + amount * granted
                unplaced[name][workload.name] -= amount * granted
                spare[to] -= amount * granted
                used[to] += amount * granted


def to_shares(home: str, rates: Shares, traffic: float) -> Shares:
    """What fits nowhere stays in its own zone, where it is denied at once."""
    if traffic <= EPSILON:
        return {home: 1.0}
    found = {zone: rate / traffic for zone, rate in rates.items() if zone != home and rate > EPSILON}
    found[home] = max(0.0, 1 - sum(found.values()))
    return found


class Planner:
    """`step(now, view)` returns the next plan, or None where the one in force stays. A plan is in force once
    it is passed to `accept`: before a majority has accepted it, nobody applies it."""

    def __init__(self, map_: ZoneMap) -> None:
        self.map = map_
        self.plan = Plan()
        self.drains = Drains()
        self.pinned = False
        self.healthy_since: dict[str, int] = {}  # of lost zones that are healthy again
        self.lost: set[str] = set()
        self.next_step_at = 0
        self.plan_changes = 0
        # By workload and zone: smoothed traffic; by "" and zone: smoothed capacity.
        self.smoothed: dict[tuple[str, str], float] = {}
        # By zone: how often it was lost again during its return, or soon after.
        self.relapses: dict[str, int] = {}
        self.recovered_at: dict[str, int] = {}  # when a lost zone had all of its traffic back
        # No plan is made for a change of failover routes alone before this time.
        self.next_failover_update = 0

    def take_over(self, plan: Plan, now: int) -> None:
        """A new lease holder continues from the plan in force: it may have seen none of the events that led
        to it. Zones that the plan has left count as lost until they have been healthy for a while."""
        self.plan, self.drains = plan, Drains(set(plan.drained))
        self.pinned = plan.pinned
        left = {
            z.name
            for z in self.map.zones
            if all(plan.shares(z.name, w.name).get(z.name, 0.0) < 1 - DEAD_BAND for w in self.map.workloads)
            and self.map.workloads
        }
        self.lost |= left
        for name in left:
            self.healthy_since.pop(name, None)

    def accept(self, plan: Plan) -> None:
        """Puts a plan in force that a majority has accepted."""
        if plan.version > self.plan.version:
            self.plan_changes += 1
            self.plan = plan

    def drain(self, zone: str, force: bool = False) -> None:
        if zone in self.drains.zones:
            return  # a repeated call
        good = [z.name for z in self.map.zones if z.name not in self.drains.zones | self.lost]
        if not force and set(good) <= {zone}:
            raise LastGoodZoneError(
                f"{zone} is the last good zone: without it no request could be served; "
                "use force to drain it anyway"
            )
        self.drains.zones.add(zone)

    def restore(self, zone: str, now: int) -> None:
        if zone in self.drains.zones:
            self.drains.zones.discard(zone)
            self.lost.add(zone)  # it returns as a lost zone does: slowly, beginning with a trial
            self.healthy_since.pop(zone, None)

    def step(self, now: int, view: AggregateView) -> Plan | None:
        if now < self.next_step_at:
            return None
        self.next_step_at = now + PLAN_INTERVAL
        view = self.smooth(view)
        self.update_zone_health(now, view)
        target = compute_target(self.map, view, self.drains)
        routes = {
            zone.name: {
                w.name: self.step_towards(zone.name, w, target[zone.name][w.name], view, now)
                for w in self.map.workloads
            }
            for zone in self.map.zones
        }
        self.limit_inflow(routes, view)
        self.keep_silent_zones(routes, view)
        if self.pinned:
            routes = {
                z.name: {w.name: self.plan.shares(z.name, w.name) for w in self.map.workloads}
                for z in self.map.zones
            }
        failover = failover_routes(self.map, view, self.drains, routes)
        # The distance to the target counts as well as the step: a slow return is made of small steps.
        change = self.largest_change(routes)
        small = max(change, self.largest_change(target)) < DEAD_BAND and not self.completes_return(routes)
        unchanged = change < EPSILON or small
        operators_changed = (self.plan.drained, self.plan.pinned) != (self.drained(), self.pinned)
        if (
            unchanged
            and not operators_changed
            and not (now >= self.next_failover_update and self.failover_changed(failover))
        ):
            return None
        self.next_failover_update = now + FAILOVER_UPDATE_INTERVAL
        if unchanged:
            routes = {
                z.name: {w.name: self.plan.shares(z.name, w.name) for w in self.map.workloads}
                for z in self.map.zones
            }
        reason = self.explain(routes)
        return Plan(self.plan.version + 1, routes, reason, failover, self.drained(), self.pinned)

    def drained(self) -> tuple[str, ...]:
        return tuple(sorted(self.drains.zones))

    def keep_silent_zones(self, routes: Routes, view: AggregateView) -> None:
        """Keeps the routes of zones whose members send no reports: they act on their own observations. Guards
        against a zone that returns from a partition to a plan that calls it lost."""
        for zone, by_workload in routes.items():
            if sum(view.traffic.get(zone, {}).values()) <= EPSILON:
                for workload in by_workload:
                    by_workload[workload] = self.plan.shares(zone, workload)

    def failover_changed(self, failover: Routes) -> bool:
        """Failover routes follow spare capacity, which changes all the time: only a difference beyond
        `FAILOVER_DEAD_BAND` is worth a new plan."""
        before = self.plan.failover
        return any(
            abs(share - before.get(zone, {}).get(workload, {}).get(to, 0.0)) > FAILOVER_DEAD_BAND
            for zone, by_workload in failover.items()
            for workload, shares in by_workload.items()
            for to, share in {**dict.fromkeys(before.get(zone, {}).get(workload, {}), 0.0), **shares}.items()
        )

    def smooth(self, view: AggregateView) -> AggregateView:
        """Guards against a plan that follows the noise in the reports of members with little traffic: a jump
        in a sum over them is followed in part each second, a small change in smaller part. Down zones get
        nothing whatever their smoothed capacity is (`usable_capacity`)."""
        capacity = {name: self.smooth_value(("", name), seen) for name, seen in view.capacity.items()}
        traffic = {
            name: {workload: self.smooth_value((workload, name), rate) for workload, rate in rates.items()}
            for name, rates in view.traffic.items()
        }
        return replace(view, capacity=capacity, traffic=traffic)

    def smooth_value(self, key: tuple[str, str], measured: float) -> float:
        known = self.smoothed.get(key, measured)
        factor = (
            SMOOTHING_FACTOR
            if abs(measured - known) > JUMP_THRESHOLD * max(measured, known)
            else SMOOTHING_FACTOR / 4
        )
        self.smoothed[key] = known + factor * (measured - known)
        return self.smoothed[key]

    def largest_change(self, routes: Routes) -> float:
        """The largest difference of a share from the plan in force."""
        found = 0.0
        for zone, by_workload in routes.items():
            for workload, shares in by_workload.items():
                now = self.plan.shares(zone, workload)
                for to in {**now, **shares}:
                    found = max(found, abs(shares.get(to, 0.0) - now.get(to, 0.0)))
        return found

    def completes_return(self, routes: Routes) -> bool:
        """The last step of a return may be smaller than the dead band."""
        return routes != {
            zone: {workload: self.plan.shares(zone, workload) for workload in by_workload}
            for zone, by_workload in routes.items()
        } and all(
            abs(shares.get(zone, 0.0) - 1) < EPSILON
            for zone, by_workload in routes.items()
            for shares in by_workload.values()
        )

    def update_zone_health(self, now: int, view: AggregateView) -> None:
        """Which zones are lost, and since when they are healthy again. A new failure resets that time."""
        for zone in self.map.zones:
            name = zone.name
            states = [view.state.get((origin.name, name), ZoneState.UNKNOWN) for origin in self.map.zones]
            if ZoneState.DOWN in states or name in self.drains.zones or not view.reaches(name, name):
                recently = now - self.recovered_at.get(name, now - RELAPSE_MEMORY) < RELAPSE_MEMORY
                if name in self.healthy_since or name not in self.lost and recently:
                    self.relapses[name] = min(MAX_RELAPSES, self.relapses.get(name, 0) + 1)
                elif name not in self.lost:
                    self.relapses.pop(name, None)
                self.lost.add(name)
                self.healthy_since.pop(name, None)
            elif name in self.lost and ZoneState.HEALTHY in states:
                self.healthy_since.setdefault(name, now)

    def step_towards(
        self, home: str, workload: Workload, target: Shares, view: AggregateView, now: int
    ) -> Shares:
        """One bounded step. A zone that takes nothing is left in one step: requests that stay are lost
        anyway."""
        current = self.plan.shares(home, workload.name)
        home_share = current.get(home, 0.0)
        home_target = target.get(home, 0.0)
        if home in self.healthy_since and now - self.healthy_since[home] >= self.return_delay(home, view):
            # Without traffic nothing is seen of its capacity.
            home_target = max(home_target, TRIAL_SHARE)
        unavailable = home in self.drains.zones or not view.reaches(home, home)
        if home_target < home_share:
            # A drain is planned and not urgent; leaving a lost zone is.
            step = 1.0 if unavailable and home not in self.drains.zones else SHIFT_PER_S
            next_share = max(home_target, home_share - step)
        else:
            next_share = min(home_target, home_share + self.return_step(home, home_share, now, view))
        away = 1 - next_share
        found = {zone: share for zone, share in target.items() if zone != home and share > EPSILON}
        total = sum(found.values())
        if total > away:
            found = {zone: share * away / total for zone, share in found.items()}
        elif total < away:
            # What is to return but may not yet stays where it goes now, so that no other zone has to carry
            # it.
            remaining = {z: max(0.0, share - found.get(z, 0.0)) for z, share in current.items() if z != home}
            remaining = (
                remaining if sum(remaining.values()) > EPSILON else {z: share for z, share in found.items()}
            )
            remaining_total = sum(remaining.values())
            for zone, share in remaining.items():
                if remaining_total > EPSILON and share > EPSILON:
                    found[zone] = found.get(zone, 0.0) + (away - total) * share / remaining_total
        found = {zone: share for zone, share in found.items() if share > EPSILON}
        return {**found, home: max(0.0, 1 - sum(found.values()))}

    def is_needed(self, home: str, view: AggregateView) -> bool:
        """Whether the other zones alone cannot carry the traffic of all zones: most of what stays away from
        this zone is denied there."""
        capacity = usable_capacity(self.map, view, self.drains)
        total = sum(rate for rates in view.traffic.values() for rate in rates.values())
        return total > MAX_FILL_LEVEL * sum(usable for name, usable in capacity.items() if name != home)

    def return_delay(self, home: str, view: AggregateView) -> int:
        relapses = self.relapses.get(home, 0)
        return 0 if not relapses and self.is_needed(home, view) else RETURN_DELAY << relapses

    def return_step(self, home: str, home_share: float, now: int, view: AggregateView) -> float:
        """How much traffic may return to a zone that was lost: nothing during the delay, then a trial share,
        then a small share per second; more where its capacity is needed and it has not relapsed. Each relapse
        doubles the delay."""
        needed, delay = self.is_needed(home, view), self.return_delay(home, view)
        rate, trial, duration = (
            (URGENT_SHARE, URGENT_SHARE, URGENT_TRIAL_DURATION)
            if needed
            else (RETURN_PER_S, TRIAL_SHARE, TRIAL_DURATION)
        )
        if home not in self.lost:
            return rate
        healthy_for = now - self.healthy_since.get(home, now)
        if healthy_for < delay:
            return 0.0
        if healthy_for < delay + duration:
            return max(0.0, trial - home_share)
        if home_share >= 1 - DEAD_BAND:
            self.lost.discard(home)
            self.recovered_at[home] = now
        return rate

    def limit_inflow(self, routes: Routes, view: AggregateView) -> None:
        """The traffic that a zone gets from all others never exceeds its spare capacity, nor rises by more
        than `SHIFT_PER_S` of its capacity per second: otherwise all sidecars together would overload cold
        endpoints there (rule 4). What may not go stays in its own zone."""
        capacity = usable_capacity(self.map, view, self.drains)
        traffic = view.traffic
        for zone in self.map.zones:
            to = zone.name
            own = sum(
                rate * routes[to][workload].get(to, 0.0) for workload, rate in traffic.get(to, {}).items()
            )
            spare = max(0.0, fill_limit(zone, MAX_FILL_LEVEL) * capacity[to] - own)
            incoming = {
                (source, workload): traffic.get(source, {}).get(workload, 0.0) * shares.get(to, 0.0)
                for source, by_workload in routes.items()
                if source != to
                for workload, shares in by_workload.items()
            }
            before = sum(
                traffic.get(source, {}).get(workload, 0.0) * self.current_share(source, workload, to)
                for source, workload in incoming
            )
            total = sum(incoming.values())
            limit = min(spare, before + SHIFT_PER_S * capacity[to])
            if total <= limit + EPSILON:
                continue
            for (source, workload), rate in incoming.items():
                cut = routes[source][workload].get(to, 0.0) * (1 - limit / total)
                if rate > 0 and cut > EPSILON:
                    routes[source][workload][to] -= cut
                    routes[source][workload][source] = routes[source][workload].get(source, 0.0) + cut

    def current_share(self, zone: str, workload: str, to: str) -> float:
        """The share that goes there now; out of a lost zone by its failover routes, which apply without a new
        plan."""
        planned = self.plan.shares(zone, workload).get(to, 0.0)
        if zone not in self.lost or zone in self.drains.zones:
            return planned
        return max(planned, self.plan.failover.get(zone, {}).get(workload, {}).get(to, 0.0))

    def explain(self, routes: Routes) -> str:
        parts = []
        for zone in self.map.zones:
            cross_zone = max(
                (1 - shares.get(zone.name, 0.0) for shares in routes[zone.name].values()), default=0.0
            )
            if cross_zone > DEAD_BAND:
                cause = (
                    "drained"
                    if zone.name in self.drains.zones
                    else "lost"
                    if zone.name in self.lost
                    else "short"
                )
                parts.append(f"{zone.name} is {cause}: up to {cross_zone:.0%} goes elsewhere")
        return "; ".join(parts) or "all at home"
