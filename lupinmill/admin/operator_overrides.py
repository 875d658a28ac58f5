"""What stands by operators' word: the endpoints out by hand, and whether this sidecar serves, drains or
leaves. Pure: each call brings its time, in microseconds. The one place that anybody asks about either.

Owns the set of endpoints out by hand; an entry is given back by `back`, or by `forget` long after its
endpoint went."""

from __future__ import annotations

from enum import Enum

SECOND = 1_000_000
MAX_CORDONED = 4_096  # endpoints out by hand
CORDON_EXPIRY_US = 3_600 * SECOND  # after no list has named it for so long
# After the call clients are served for so long on the connections that they keep, for they may have no other
# sidecar; then connections are closed as they fall idle, and hard limits are cut to when nothing may be open.
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
    def __init__(self) -> None:
        self.cordoned: dict[str, int] = {}  # by hand; when a list last named each
        self.mode = Mode.SERVING
        self.mode_since = 0  # of the mode
        self.close_connections_at: int | None = None  # from when on connections close
        self.drain_deadline: int | None = None  # when nothing may be open

    # Endpoints out by hand.

    def cordon(self, now: int, endpoint: str, listed: bool) -> CordonResult:
        """Twice is as good as once."""
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
        """Those that no list has named for long; what is listed at this moment is marked as named."""
        for name in self.cordoned:
            if name in listed:
                self.cordoned[name] = now
        expired = [name for name, listed_at in self.cordoned.items() if now - listed_at >= CORDON_EXPIRY_US]
        for name in expired:
            del self.cordoned[name]
        return expired

    # The mode of this sidecar.

    def quiesce(self, now: int) -> bool:
        """False where it changes nothing: it drains already, or leaves."""
        if self.mode is not Mode.SERVING:
            return False
        self.set_mode(Mode.DRAINING, now, now + DRAIN_SERVING_US, now + DRAIN_DEADLINE_US)
        return True

    def resume(self, now: int) -> bool:
        """False where it changes nothing. Leaving is final."""
        if self.mode is not Mode.DRAINING:
            return False
        self.set_mode(Mode.SERVING, now, None, None)
        return True

    def begin_shutdown(self, now: int, closes: int, ends: int) -> None:
        """The program ends: connections close from `closes` on, nothing may be open at `ends`."""
        first = closes if self.close_connections_at is None else min(closes, self.close_connections_at)
        self.set_mode(Mode.LEAVING, now, first, ends)

    def set_mode(self, mode: Mode, now: int, closes: int | None, ends: int | None) -> None:
        self.mode, self.mode_since, self.close_connections_at, self.drain_deadline = mode, now, closes, ends

    def is_ready(self) -> bool:
        return self.mode is Mode.SERVING

    def closes_connections(self, now: int) -> bool:
        """Answers close their connections, and those that stand idle are closed."""
        return self.close_connections_at is not None and now >= self.close_connections_at

    def latest_hard_limit(self, now: int) -> int | None:
        """The latest hard limit of what is taken now; none where nothing cuts it."""
        if self.drain_deadline is None or self.mode is Mode.DRAINING and now >= self.drain_deadline:
            return None  # what still comes long after the drain began holds nothing up
        return self.drain_deadline
