"""The plan: which part of each zone's traffic, by workload, goes where. Pure; one member computes it under a
lease, a majority accepts it as the next version, all go by the newest that they know.

Aim, anew each second, from the picture in common: all stays at home that fits there at a low level, the
worthiest first; what doesn't goes to the nearest zones that have room at that level for the sum of all that
would come, within the budgets; then the next level, up to the last. What fits nowhere stays at home and is
denied there at once. Spill never takes what a zone is to keep free.

Law: from the plan in force towards the aim by bounded steps, so that the sum over all sidecars at a zone
moves by a known part of its capacity a second: `OUT` out of a zone that is short, `BACK_HOME` on the way
home; no wait for a zone that is lost, but no more at once than the others' spare. Home comes first as a trial
share, and is undone at the first sign of harm. Below `DEAD_BAND` nothing moves.

Owns the plan in force and, for each zone, since when it was well."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lupinmill.zones.reports import SECOND, AggregateView, ZoneState
from lupinmill.zones.zone_map import Workload, Zone, ZoneMap

PERIOD = SECOND
OUT, BACK_HOME = 0.1, 0.03  # of a zone's traffic a second
TRIAL, TRIAL_TIME = (
    0.05,
    5 * SECOND,
)  # share that tries a zone which was lost, and for how long it must do well
NEEDED, NEEDED_TIME = 0.1, SECOND  # the same where the others can't carry all
WAIT, MOST_RELAPSES, FORGIVEN = 2 * SECOND, 5, 120 * SECOND  # before the trial; doubled by each relapse
DEAD_BAND = 0.03
SMOOTH, JUMP = (
    0.35,
    0.25,
)  # part of a jump that is believed a second; of less, a quarter of that
WAYS_EVERY, WAYS_BAND = 5 * SECOND, 0.1
# Of its capacity: what a zone is filled to while others have less to do; beyond the last nothing fits.
LEVELS = (0.7, 0.8, 0.9)
FULL = LEVELS[-1]
SMALL = 1e-9

Shares = dict[str, float]  # to zone: part of the traffic; sums to 1
Rows = dict[str, dict[str, Shares]]  # from zone, workload


@dataclass(frozen=True, slots=True)
class Plan:
    version: int = 0
    rows: Rows = field(default_factory=dict)
    why: str = "all at home"
    ways: Rows = field(
        default_factory=dict
    )  # out of a zone that is lost before the next plan; may sum to less
    drained: tuple[str, ...] = ()  # by operators
    pinned: bool = False  # by operators: it stays as it is

    def shares(self, zone: str, workload: str) -> Shares:
        return self.rows.get(zone, {}).get(workload) or {zone: 1.0}

    def crossing(self, zone: str, workload: str) -> float:
        return 1 - self.shares(zone, workload).get(zone, 0.0)


@dataclass(slots=True)
class Drains:
    """By operators' word: zones to be emptied, whatever the evidence says."""

    zones: set[str] = field(default_factory=set)


class LastGoodZone(Exception):
    """The text is for the operator."""


def usable(map_: ZoneMap, picture: AggregateView, drains: Drains) -> dict[str, float]:
    """Launches a second that each zone may get: nothing where it is down or drained."""
    found = {}
    for zone in map_.zones:
        name = zone.name
        down = all(
            picture.state.get((origin.name, name)) is ZoneState.DOWN
            for origin in map_.zones
            if (origin.name, name) in picture.state
        ) and any((origin.name, name) in picture.state for origin in map_.zones)
        found[name] = 0.0 if down or name in drains.zones else picture.capacity.get(name, 0.0)
    return found


def most(zone: Zone, level: float) -> float:
    """Part of a zone's capacity up to which spill may fill it."""
    return min(level, 1 - zone.spare)


def compute_target(map_: ZoneMap, picture: AggregateView, drains: Drains) -> Rows:
    """Where all should go, had it time. Level by level, so that no zone is filled up while its neighbour has
    room to spare; in each level by worth: a workload is placed before one worth less, at home, then with the
    nearest that have room at that level. Those that want the same room share it by what they still have to
    place."""
    room = usable(map_, picture, drains)
    rows: Rows = {zone.name: {w.name: {zone.name: 0.0} for w in map_.workloads} for zone in map_.zones}
    rest = {
        zone.name: {w.name: picture.traffic.get(zone.name, {}).get(w.name, 0.0) for w in map_.workloads}
        for zone in map_.zones
    }
    taken = dict.fromkeys(room, 0.0)
    for level in LEVELS:
        for workload in map_.by_worth():
            for zone in map_.zones:
                name = zone.name
                if picture.reaches(name, name):
                    part = max(0.0, min(rest[name][workload.name], level * room[name] - taken[name]))
                    rows[name][workload.name][name] += part
                    rest[name][workload.name] -= part
                    taken[name] += part
        for workload in map_.by_worth():
            place(map_, picture, workload, level, rows, rest, taken, room)
    return {
        zone.name: {
            w.name: as_shares(
                zone.name, rows[zone.name][w.name], picture.traffic.get(zone.name, {}).get(w.name, 0.0)
            )
            for w in map_.workloads
        }
        for zone in map_.zones
    }


def ways_out(map_: ZoneMap, picture: AggregateView, drains: Drains, rows: Rows) -> Rows:
    """For each zone, where its traffic may go at once should it be lost, before anybody has decided anything:
    the worthiest first, into what the others have spare now, of which each zone may take one part of as many
    as there are others. So whichever zones are lost together, or take each other for lost from two sides of a
    partition, what falls on another one by this rule is within its spare."""
    room, found = usable(map_, picture, drains), {}
    spare = {}
    for zone in map_.zones:
        coming = sum(
            picture.traffic.get(name, {}).get(w, 0.0) * shares.get(zone.name, 0.0)
            for name, by in rows.items()
            for w, shares in by.items()
        )
        spare[zone.name] = max(0.0, most(zone, FULL) * room[zone.name] - coming) / max(1, len(map_.zones) - 1)
    for zone in map_.zones:
        left, abroad, found[zone.name] = dict(spare), {}, {}
        for workload in map_.by_worth():
            traffic = picture.traffic.get(zone.name, {}).get(workload.name, 0.0)
            shares: Shares = {}
            for to in map_.order(zone.name) if traffic > SMALL else []:
                out = map_.zone(to).region != zone.region
                budget = 1.0 if workload.breaks else workload.leave_zone - sum(shares.values())
                if out and not workload.breaks:
                    budget = min(budget, workload.leave_region - abroad.get(workload.name, 0.0))
                share = max(0.0, min(1 - sum(shares.values()), budget, left[to] / traffic))
                if share > SMALL and picture.reaches(zone.name, to):
                    shares[to] = share
                    left[to] -= share * traffic
                    abroad[workload.name] = abroad.get(workload.name, 0.0) + share * out
            found[zone.name][workload.name] = shares
    return found


def place(
    map_: ZoneMap,
    picture: AggregateView,
    workload: Workload,
    level: float,
    rows: Rows,
    rest: dict[str, dict[str, float]],
    taken: dict[str, float],
    room: dict[str, float],
) -> None:
    """What found no room at home: by rank of nearness, in each rank fairly among the zones that want the same
    spare."""
    spare = {z.name: max(0.0, most(z, level) * room[z.name] - taken[z.name]) for z in map_.zones}
    orders = {zone.name: map_.order(zone.name) for zone in map_.zones}
    home = {zone.name: zone.region for zone in map_.zones}
    for rank in range(len(map_.zones) - 1):
        asks: dict[str, dict[str, float]] = {}
        for name, order in orders.items():
            to = order[rank]
            traffic = picture.traffic.get(name, {}).get(workload.name, 0.0)
            gone = sum(rate for zone, rate in rows[name][workload.name].items() if zone != name)
            abroad = sum(rate for z, rate in rows[name][workload.name].items() if home[z] != home[name])
            budget = workload.leave_zone * traffic - gone
            if workload.breaks and (room[name] <= SMALL or not picture.reaches(name, name)):
                budget = traffic  # told as over its budget: `crossing` in `zones show`
            elif home[to] != home[name]:
                budget = min(budget, workload.leave_region * traffic - abroad)
            amount = min(rest[name][workload.name], budget)
            if amount > SMALL and picture.reaches(name, to):
                asks.setdefault(to, {})[name] = amount
        for to, wanted in asks.items():
            part = min(1.0, spare[to] / sum(wanted.values()))
            for name, amount in wanted.items():
                rows[name][workload.name][to] = rows[name][workload.name].get(to, 0.0) + amount * part
                rest[name][workload.name] -= amount * part
                spare[to] -= amount * part
                taken[to] += amount * part


def as_shares(home: str, rates: Shares, traffic: float) -> Shares:
    """What finds no room anywhere stays at home, where it is denied at once."""
    if traffic <= SMALL:
        return {home: 1.0}
    found = {zone: rate / traffic for zone, rate in rates.items() if zone != home and rate > SMALL}
    found[home] = max(0.0, 1 - sum(found.values()))
    return found


class Planner:
    """`step(now, picture)` gives the next plan, or None where the one in force stays. It is in force once it
    is given back to `accept`: until a majority has it, it is nobody's."""

    def __init__(self, map_: ZoneMap) -> None:
        self.map = map_
        self.plan = Plan()
        self.drains = Drains()
        self.pinned = False
        self.well_since: dict[str, int] = {}  # zones that were lost and are well again: since when
        self.lost: set[str] = set()
        self.next = 0
        self.moves = 0
        self.settled: dict[tuple[str, str], float] = {}  # capacity ("") and traffic by workload, of each zone
        self.relapses: dict[
            str, int
        ] = {}  # of zones that were lost again while they came back, or soon after
        self.back_at: dict[str, int] = {}  # when a lost one was whole again
        self.ways_at = 0  # before it no plan is made for ways out alone

    def take_over(self, plan: Plan, now: int) -> None:
        """A new holder goes on from the plan in force: it may have seen nothing of what led to it. Zones that
        the plan has left are taken for lost until they have done well for a while."""
        self.plan, self.drains = plan, Drains(set(plan.drained))
        self.pinned = plan.pinned
        gone = {
            z.name
            for z in self.map.zones
            if all(plan.shares(z.name, w.name).get(z.name, 0.0) < 1 - DEAD_BAND for w in self.map.workloads)
            and self.map.workloads
        }
        self.lost |= gone
        for name in gone:
            self.well_since.pop(name, None)

    def accept(self, plan: Plan) -> None:
        """A majority has it."""
        if plan.version > self.plan.version:
            self.moves += 1
            self.plan = plan

    def drain(self, zone: str, force: bool = False) -> None:
        if zone in self.drains.zones:
            return  # the same call again
        good = [z.name for z in self.map.zones if z.name not in self.drains.zones | self.lost]
        if not force and set(good) <= {zone}:
            raise LastGoodZone(
                f"{zone} is the last good zone: nothing could be served; force it if that is meant"
            )
        self.drains.zones.add(zone)

    def restore(self, zone: str, now: int) -> None:
        if zone in self.drains.zones:
            self.drains.zones.discard(zone)
            self.lost.add(zone)  # it comes back as a lost one does: by a trial, slowly
            self.well_since.pop(zone, None)

    def step(self, now: int, picture: AggregateView) -> Plan | None:
        if now < self.next:
            return None
        self.next = now + PERIOD
        picture = self.smooth(picture)
        self.look(now, picture)
        wanted = compute_target(self.map, picture, self.drains)
        rows = {
            zone.name: {
                w.name: self.towards(zone.name, w, wanted[zone.name][w.name], picture, now)
                for w in self.map.workloads
            }
            for zone in self.map.zones
        }
        self.bound(rows, picture)
        self.leave_unheard(rows, picture)
        if self.pinned:
            rows = {
                z.name: {w.name: self.plan.shares(z.name, w.name) for w in self.map.workloads}
                for z in self.map.zones
            }
        ways = ways_out(self.map, picture, self.drains, rows)
        # Judged by how far the aim is as well as by the step: a slow way home is made of small steps.
        step = self.apart(rows)
        small = max(step, self.apart(wanted)) < DEAD_BAND and not self.comes_home_whole(rows)
        stays = step < SMALL or small
        orders = (self.plan.drained, self.plan.pinned) != (self.drained(), self.pinned)
        if stays and not orders and not (now >= self.ways_at and self.other_ways(ways)):
            return None
        self.ways_at = now + WAYS_EVERY
        if stays:
            rows = {
                z.name: {w.name: self.plan.shares(z.name, w.name) for w in self.map.workloads}
                for z in self.map.zones
            }
        why = self.why(rows)
        return Plan(self.plan.version + 1, rows, why, ways, self.drained(), self.pinned)

    def drained(self) -> tuple[str, ...]:
        return tuple(sorted(self.drains.zones))

    def leave_unheard(self, rows: Rows, picture: AggregateView) -> None:
        """Guards against a zone that comes back from behind a cut to a plan that calls it lost: nothing is
        decided for those of whom nothing is heard, they go by their own evidence."""
        for zone, by in rows.items():
            if sum(picture.traffic.get(zone, {}).values()) <= SMALL:
                for workload in by:
                    by[workload] = self.plan.shares(zone, workload)

    def other_ways(self, ways: Rows) -> bool:
        """They follow spare, which moves all the time: only a difference that matters is a plan."""
        before = self.plan.ways
        return any(
            abs(share - before.get(zone, {}).get(workload, {}).get(to, 0.0)) > WAYS_BAND
            for zone, by in ways.items()
            for workload, shares in by.items()
            for to, share in {**dict.fromkeys(before.get(zone, {}).get(workload, {}), 0.0), **shares}.items()
        )

    def smooth(self, picture: AggregateView) -> AggregateView:
        """Guards against a plan that turns with the noise of what thin members see: a jump in a sum over them
        is believed by parts, a small one by smaller parts. A zone that is down takes nothing whatever it once
        took (`usable`)."""
        capacity = {name: self.settle(("", name), seen) for name, seen in picture.capacity.items()}
        traffic = {
            name: {workload: self.settle((workload, name), rate) for workload, rate in rates.items()}
            for name, rates in picture.traffic.items()
        }
        return replace(picture, capacity=capacity, traffic=traffic)

    def settle(self, key: tuple[str, str], seen: float) -> float:
        known = self.settled.get(key, seen)
        part = SMOOTH if abs(seen - known) > JUMP * max(seen, known) else SMOOTH / 4
        self.settled[key] = known + part * (seen - known)
        return self.settled[key]

    def apart(self, rows: Rows) -> float:
        """The largest difference of a share from the plan in force."""
        found = 0.0
        for zone, by in rows.items():
            for workload, shares in by.items():
                now = self.plan.shares(zone, workload)
                for to in {**now, **shares}:
                    found = max(found, abs(shares.get(to, 0.0) - now.get(to, 0.0)))
        return found

    def comes_home_whole(self, rows: Rows) -> bool:
        """The last bit of a way home may be smaller than the dead band."""
        return rows != {z: {w: self.plan.shares(z, w) for w in by} for z, by in rows.items()} and all(
            abs(shares.get(z, 0.0) - 1) < SMALL for z, by in rows.items() for shares in by.values()
        )

    def look(self, now: int, picture: AggregateView) -> None:
        """Which zones were lost, and since when those are well again. Harm sets the clock back."""
        for zone in self.map.zones:
            name = zone.name
            states = [picture.state.get((origin.name, name), ZoneState.UNKNOWN) for origin in self.map.zones]
            if ZoneState.DOWN in states or name in self.drains.zones or not picture.reaches(name, name):
                lately = now - self.back_at.get(name, now - FORGIVEN) < FORGIVEN
                if name in self.well_since or name not in self.lost and lately:
                    self.relapses[name] = min(MOST_RELAPSES, self.relapses.get(name, 0) + 1)
                elif name not in self.lost:
                    self.relapses.pop(name, None)
                self.lost.add(name)
                self.well_since.pop(name, None)
            elif name in self.lost and ZoneState.HEALTHY in states:
                self.well_since.setdefault(name, now)

    def towards(
        self, home: str, workload: Workload, wanted: Shares, picture: AggregateView, now: int
    ) -> Shares:
        """One bounded step. Out of a zone that takes nothing all moves at once: what it gets is lost
        anyway."""
        current = self.plan.shares(home, workload.name)
        stays = current.get(home, 0.0)
        target = wanted.get(home, 0.0)
        if home in self.well_since and now - self.well_since[home] >= self.wait(home, picture):
            target = max(target, TRIAL)  # where nothing goes nothing is seen of its room
        gone = home in self.drains.zones or not picture.reaches(home, home)
        if target < stays:
            # Drains are by hand and not in a hurry; a lost zone is.
            step = 1.0 if gone and home not in self.drains.zones else OUT
            next_ = max(target, stays - step)
        else:
            next_ = min(target, stays + self.homeward(home, stays, now, picture))
        away = 1 - next_
        found = {zone: share for zone, share in wanted.items() if zone != home and share > SMALL}
        whole = sum(found.values())
        if whole > away:
            found = {zone: share * away / whole for zone, share in found.items()}
        elif whole < away:
            # What is to come home but may not yet stays where it goes now: nobody else is to carry it.
            ways = {z: max(0.0, share - found.get(z, 0.0)) for z, share in current.items() if z != home}
            ways = ways if sum(ways.values()) > SMALL else {z: share for z, share in found.items()}
            width = sum(ways.values())
            for zone, share in ways.items():
                if width > SMALL and share > SMALL:
                    found[zone] = found.get(zone, 0.0) + (away - whole) * share / width
        found = {zone: share for zone, share in found.items() if share > SMALL}
        return {**found, home: max(0.0, 1 - sum(found.values()))}

    def needed(self, home: str, picture: AggregateView) -> bool:
        """The other zones alone can't do what comes to all: what waits outside is mostly denied there."""
        room = usable(self.map, picture, self.drains)
        whole = sum(rate for rates in picture.traffic.values() for rate in rates.values())
        return whole > FULL * sum(able for name, able in room.items() if name != home)

    def wait(self, home: str, picture: AggregateView) -> int:
        relapses = self.relapses.get(home, 0)
        return 0 if not relapses and self.needed(home, picture) else WAIT << relapses

    def homeward(self, home: str, stays: float, now: int, picture: AggregateView) -> float:
        """Home to a zone that was lost: a wait, a trial share, then slowly; quicker where it is needed and
        nothing speaks against it. Each relapse doubles the wait."""
        needed, wait = self.needed(home, picture), self.wait(home, picture)
        back, trial, time = (NEEDED, NEEDED, NEEDED_TIME) if needed else (BACK_HOME, TRIAL, TRIAL_TIME)
        if home not in self.lost:
            return back
        well = now - self.well_since.get(home, now)
        if well < wait:
            return 0.0
        if well < wait + time:
            return max(0.0, trial - stays)
        if stays >= 1 - DEAD_BAND:
            self.lost.discard(home)
            self.back_at[home] = now
        return back

    def bound(self, rows: Rows, picture: AggregateView) -> None:
        """The sum that comes to a zone from others never exceeds what it has spare now, nor rises by more
        than `OUT` of its capacity a second: cold endpoints there are not pushed over by all sidecars together
        (rule 4). What may not go stays at home."""
        room = usable(self.map, picture, self.drains)
        traffic = picture.traffic
        for zone in self.map.zones:
            to = zone.name
            own = sum(rate * rows[to][w].get(to, 0.0) for w, rate in traffic.get(to, {}).items())
            spare = max(0.0, most(zone, FULL) * room[to] - own)
            coming = {
                (z, w): traffic.get(z, {}).get(w, 0.0) * shares.get(to, 0.0)
                for z, by in rows.items()
                if z != to
                for w, shares in by.items()
            }
            before = sum(traffic.get(z, {}).get(w, 0.0) * self.goes(z, w, to) for z, w in coming)
            whole = sum(coming.values())
            limit = min(spare, before + OUT * room[to])
            if whole <= limit + SMALL:
                continue
            for (z, w), rate in coming.items():
                cut = rows[z][w].get(to, 0.0) * (1 - limit / whole)
                if rate > 0 and cut > SMALL:
                    rows[z][w][to] -= cut
                    rows[z][w][z] = rows[z][w].get(z, 0.0) + cut

    def goes(self, zone: str, workload: str, to: str) -> float:
        """The share that goes there now: out of a lost zone by its ways out, which needed no plan."""
        planned = self.plan.shares(zone, workload).get(to, 0.0)
        if zone not in self.lost or zone in self.drains.zones:
            return planned
        return max(planned, self.plan.ways.get(zone, {}).get(workload, {}).get(to, 0.0))

    def why(self, rows: Rows) -> str:
        parts = []
        for zone in self.map.zones:
            crossing = max(
                (1 - shares.get(zone.name, 0.0) for shares in rows[zone.name].values()), default=0.0
            )
            if crossing > DEAD_BAND:
                cause = (
                    "drained"
                    if zone.name in self.drains.zones
                    else "lost"
                    if zone.name in self.lost
                    else "short"
                )
                parts.append(f"{zone.name} is {cause}: up to {crossing:.0%} goes elsewhere")
        return "; ".join(parts) or "all at home"
