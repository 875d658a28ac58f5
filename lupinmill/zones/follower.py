"""How one member applies the plan that it knows, and what it does without one. Pure.

A plan counts in full while it is fresh, then less and less, until only the local rule is left: stay in the
own zone; if the member's own observations say that the own zone takes nothing, send at most `MAX_LOCAL_SHIFT`
of its traffic elsewhere, and never into a zone to which the plan sent nothing while it was fresh. This bounds
what the two sides of a partition do that each take the other for lost: what they send into a third zone by
themselves is together at most `MAX_LOCAL_SHIFT` of their traffic beyond what the last common plan sent there,
and that was within its spare capacity.

Owns the newest plan and when it was last confirmed."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.zones.plan import Plan, Shares
from lupinmill.zones.reports import SECOND
from lupinmill.zones.zone_map import ZoneMap

FRESH_FOR, FADED_AFTER = 10 * SECOND, 60 * SECOND
MAX_LOCAL_SHIFT = 0.1


@dataclass(slots=True)
class Follower:
    map: ZoneMap
    home: str
    plan: Plan
    confirmed_at: int  # when a majority was last known to stand by the plan

    def receive(self, now: int, plan: Plan) -> bool:
        """Whether the plan is newer than the known one. An older one changes nothing, whoever sends it."""
        if plan.version < self.plan.version:
            return False
        newer = plan.version > self.plan.version
        self.plan, self.confirmed_at = plan, now
        return newer

    def trust(self, now: int) -> float:
        """The weight of the plan: 1 while it is fresh, 0 once it has faded."""
        age = now - self.confirmed_at
        return min(1.0, max(0.0, 1 - (age - FRESH_FOR) / (FADED_AFTER - FRESH_FOR)))

    def local_shares(self, workload: str, home_lost: bool) -> Shares:
        """Without a plan: stay in the own zone; if that is lost, a small part goes to the nearest zone."""
        if not home_lost:
            return {self.home: 1.0}
        order = self.map.order(self.home)
        if not order:
            return {self.home: 1.0}
        used = [zone for zone in order if self.plan.shares(self.home, workload).get(zone, 0.0) > 0]
        return {self.home: 1 - MAX_LOCAL_SHIFT, (used or order)[0]: MAX_LOCAL_SHIFT}

    def failover_shares(self, now: int, workload: str) -> Shares:
        """Where requests for a lost own zone go at once, before a plan responds; sums to at most 1. While the
        plan counts, these are its failover routes, each within the spare capacity known then; later the tenth
        of the local rule."""
        trust = self.trust(now) if self.plan.version else 0.0
        planned, local = (
            self.plan.failover.get(self.home, {}).get(workload, {}),
            self.local_shares(workload, True),
        )
        found = {
            zone: trust * planned.get(zone, 0.0) + (1 - trust) * local.get(zone, 0.0)
            for zone in self.map.order(self.home)
        }
        return {zone: share for zone, share in found.items() if share > 0}

    def shares(self, now: int, workload: str, home_lost: bool = False) -> Shares:
        """Where this member's own traffic goes now; sums to 1."""
        trust, planned = self.trust(now), self.plan.shares(self.home, workload)
        local = self.local_shares(workload, home_lost)
        found = {
            zone: trust * planned.get(zone, 0.0) + (1 - trust) * local.get(zone, 0.0)
            for zone in [self.home, *self.map.order(self.home)]
        }
        return {zone: share for zone, share in found.items() if share > 0}
