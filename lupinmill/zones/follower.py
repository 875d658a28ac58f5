"""How one member goes by the plan that it knows, and what it does without one. Pure.

A plan counts whole while it is fresh, then less and less, down to the local rule: near, and by own evidence
out of an own zone that takes nothing, but never more than `ALONE` of its traffic, and never into a zone to
which the plan let nothing go while it was fresh. Bound for two sides of a partition that each take the other
for lost: what they send into a third zone by themselves is together at most `ALONE` of their traffic beyond
what the last common plan let in, and that was within its spare.

Owns the newest plan and when it was last confirmed."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.zones.plan import Plan, Shares
from lupinmill.zones.reports import SECOND
from lupinmill.zones.zone_map import ZoneMap

FRESH, FADED = 10 * SECOND, 60 * SECOND
ALONE = 0.1


@dataclass(slots=True)
class Follower:
    map: ZoneMap
    home: str
    plan: Plan
    confirmed: int  # when a majority was last known to stand behind it

    def hear(self, now: int, plan: Plan) -> bool:
        """True where it is newer than what is known; an old one changes nothing, whoever sends it."""
        if plan.version < self.plan.version:
            return False
        newer = plan.version > self.plan.version
        self.plan, self.confirmed = plan, now
        return newer

    def trust(self, now: int) -> float:
        age = now - self.confirmed
        return min(1.0, max(0.0, 1 - (age - FRESH) / (FADED - FRESH)))

    def local(self, workload: str, home_lost: bool) -> Shares:
        """By itself: at home; out of a lost home a small part goes to the nearest."""
        if not home_lost:
            return {self.home: 1.0}
        order = self.map.order(self.home)
        if not order:
            return {self.home: 1.0}
        used = [zone for zone in order if self.plan.shares(self.home, workload).get(zone, 0.0) > 0]
        return {self.home: 1 - ALONE, (used or order)[0]: ALONE}

    def way(self, now: int, workload: str) -> Shares:
        """Where what meets a lost home goes at once, before a plan answers for it; sums to 1 at most. As long
        as the plan counts its own ways out do, each within the spare that it saw; later the local rule's
        tenth."""
        trust = self.trust(now) if self.plan.version else 0.0
        planned, local = self.plan.failover.get(self.home, {}).get(workload, {}), self.local(workload, True)
        found = {
            zone: trust * planned.get(zone, 0.0) + (1 - trust) * local.get(zone, 0.0)
            for zone in self.map.order(self.home)
        }
        return {zone: share for zone, share in found.items() if share > 0}

    def shares(self, now: int, workload: str, home_lost: bool = False) -> Shares:
        """Where this member's own traffic goes now; sums to 1."""
        trust, planned = self.trust(now), self.plan.shares(self.home, workload)
        local = self.local(workload, home_lost)
        found = {
            zone: trust * planned.get(zone, 0.0) + (1 - trust) * local.get(zone, 0.0)
            for zone in [self.home, *self.map.order(self.home)]
        }
        return {zone: share for zone, share in found.items() if share > 0}
