"""What a sidecar may do while the others can't be heard, as one table. Pure.

Each feature that goes by peers registers a row; `lupinmill check` and docs/peers.md print it, and a test
holds the page to it. The four rules are in no row: they never need a peer."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.peers.view import QuorumState


@dataclass(frozen=True, slots=True)
class PolicyRow:
    feature: str
    alone: str  # what a member may do by itself, in any standing
    majority: str  # what it does only with a majority
    falls_back: str  # what it goes back to without
    after_s: float  # how long what was decided counts, at most


POLICY_TABLE: dict[str, PolicyRow] = {}


def register(row: PolicyRow) -> None:
    POLICY_TABLE[row.feature] = row


def may_request_lease(state: QuorumState) -> bool:
    """For others. A member in doubt that holds a lease keeps it, but asks for no new one."""
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
