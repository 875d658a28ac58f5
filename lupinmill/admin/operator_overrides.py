"""Operator overrides: the cordoned endpoints, and whether this sidecar serves, drains or shuts down.

Pure: each call passes its time, in microseconds. The only source for both. An entry of the cordoned endpoints
is removed by `uncordon`, or by `expire_cordons` long after its endpoint disappeared."""

from __future__ import annotations

from enum import Enum

SECOND = 1_000_000
MAX_CORDONED = 4_096
CORDON_EXPIRY_US = 3_600 * SECOND  # after the last list that named the endpoint
# After the drain call, clients are served on their open connections for DRAIN_SERVING_US, as they may have no
# other sidecar. Then connections are closed as they become idle. Hard limits are capped at DRAIN_DEADLINE_US,
# when nothing may be open.
DRAIN_SERVING_US, DRAIN_DEADLINE_US = 2_800_000, 3_700_000


class Mode(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class CordonResult(Enum):
    DONE = "done"
    UNKNOWN = "unknown"
    FULL = "full"


class OperatorOverrides:
    """Cordoned endpoints and the mode of this sidecar."""

    def __init__(self) -> None:
        self.cordoned: dict[str, int] = {}  # endpoint to the time when a list last named it
        self.mode = Mode.SERVING
        self.mode_since = 0
        self.close_connections_at: int | None = None
        self.drain_deadline: int | None = None  # when nothing may be open any more

    # Cordoned endpoints.

    def cordon(self, now: int, endpoint: str, listed: bool) -> CordonResult:
        """Takes an endpoint out of service. Idempotent."""
        if endpoint in self.cordoned:
            return CordonResult.DONE
        if not listed:
            return CordonResult.UNKNOWN
        if len(self.cordoned) >= MAX_CORDONED:
            return CordonResult.FULL
        self.cordoned[endpoint] = now
        return CordonResult.DONE

    def uncordon(self, endpoint: str, listed: bool) -> CordonResult:
        if self.cordoned.pop(endpoint, None) is None and not listed:
            return CordonResult.UNKNOWN
        return CordonResult.DONE

    def expire_cordons(self, now: int, listed: set[str] | dict[str, object]) -> list[str]:
        """Removes and returns the endpoints that no list has named for long; `listed` are named now."""
        for name in self.cordoned:
            if name in listed:
                self.cordoned[name] = now
        expired = [name for name, listed_at in self.cordoned.items() if now - listed_at >= CORDON_EXPIRY_US]
        for name in expired:
            del self.cordoned[name]
        return expired

    # The mode of this sidecar.

    def quiesce(self, now: int) -> bool:
        """Starts a drain. False if it changes nothing: already draining or leaving."""
        if self.mode is not Mode.SERVING:
            return False
        self.set_mode(Mode.DRAINING, now, now + DRAIN_SERVING_US, now + DRAIN_DEADLINE_US)
        return True

    def resume(self, now: int) -> bool:
        """Ends a drain. False if it changes nothing. Leaving is final."""
        if self.mode is not Mode.DRAINING:
            return False
        self.set_mode(Mode.SERVING, now, None, None)
        return True

    def begin_shutdown(self, now: int, closes: int, ends: int) -> None:
        """The program ends: connections close from `closes` on, and nothing may be open at `ends`."""
        first = closes if self.close_connections_at is None else min(closes, self.close_connections_at)
        self.set_mode(Mode.LEAVING, now, first, ends)

    def set_mode(self, mode: Mode, now: int, closes: int | None, ends: int | None) -> None:
        self.mode, self.mode_since, self.close_connections_at, self.drain_deadline = mode, now, closes, ends

    def is_ready(self) -> bool:
        return self.mode is Mode.SERVING

    def closes_connections(self, now: int) -> bool:
        """Whether answers close their connections, and idle connections are closed."""
        return self.close_connections_at is not None and now >= self.close_connections_at

    def latest_hard_limit(self, now: int) -> int | None:
        """Upper bound of the hard limit of a request accepted now; None if there is none."""
        if self.drain_deadline is None or self.mode is Mode.DRAINING and now >= self.drain_deadline:
            return None  # requests that still arrive after the deadline of a drain delay nothing
        return self.drain_deadline
