"""What a sidecar may do while it can't reach the other members, as one table. No I/O.

Each feature that depends on peers registers a row. `lupinmill check` and docs/peers.md print the table, and
a test compares the page with it. The four rules (see `rules.py`) have no row, as they never
depend on a peer."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.peers.view import QuorumState


@dataclass(frozen=True, slots=True)
class PolicyRow:
    feature: str
    alone: str  # allowed in any quorum state
    majority: str  # allowed only with a majority
    falls_back: str  # behaviour without a majority
    after_s: float  # longest time for which a decision stays in force


POLICY_TABLE: dict[str, PolicyRow] = {}


def register(row: PolicyRow) -> None:
    POLICY_TABLE[row.feature] = row


def may_request_lease(state: QuorumState) -> bool:
    """Whether a member may request leases. One that is `UNCERTAIN` keeps a held lease, but requests none."""
    return state is QuorumState.MAJORITY


register(
    PolicyRow(
        "serving",
        "takes, launches, retries and answers by its own evidence",
        "does nothing more",
        "nothing changes",
        0.0,
    )
)
register(
    PolicyRow(
        "membership",
        "holds views, suspects, refutes what is said of it",
        "does nothing more",
        "holds the others for dead, knocks at each in turn",
        0.0,
    )
)
register(PolicyRow("leases", "gives its own up", "takes one and keeps it", "holds none", 6.0))
register(
    PolicyRow(
        "decisions", "goes by the newest that it was told", "makes one, under a lease", "forgets it", 30.0
    )
)
register(
    PolicyRow(
        "zones",
        "goes by the last plan, home and its ways out",
        "plans, and takes an operator's drain",
        "stays at home; out of a lost home sends a tenth",
        60.0,
    )
)
register(
    PolicyRow(
        "live count",
        "goes back to the figure told at the start",
        "shares caps out by who is there",
        "the told figure counts",
        30.0,
    )
)
