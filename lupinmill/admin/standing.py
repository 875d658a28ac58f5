"""What stands by operators' word: the endpoints out by hand, and whether this sidecar serves, drains or
leaves. Pure: each call brings its time, in microseconds. The one place that anybody asks about either.

Owns the set of endpoints out by hand; an entry is given back by `back`, or by `forget` long after its
endpoint went."""

from __future__ import annotations

from enum import Enum

SECOND = 1_000_000
MOST_OUT = 4_096  # endpoints out by hand
FORGOTTEN = 3_600 * SECOND  # after no list has named it for so long
# After the call clients are served for so long on the connections that they keep, for they may have no other
# sidecar; then connections are closed as they fall idle, and hard limits are cut to when nothing may be open.
STAY, EMPTY = 2_800_000, 3_700_000


class Mode(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class Verdict(Enum):
    DONE = "done"
    UNKNOWN = "unknown"
    FULL = "full"


class Standing:
    def __init__(self) -> None:
        self.out: dict[str, int] = {}  # by hand; when a list last named each
        self.mode = Mode.SERVING
        self.since = 0  # of the mode
        self.closes: int | None = None  # from when on connections close
        self.ends: int | None = None  # when nothing may be open

    # Endpoints out by hand.

    def take_out(self, now: int, endpoint: str, listed: bool) -> Verdict:
        """Twice is as good as once."""
        if endpoint in self.out:
            return Verdict.DONE
        if not listed:
            return Verdict.UNKNOWN
        if len(self.out) >= MOST_OUT:
            return Verdict.FULL
        self.out[endpoint] = now
        return Verdict.DONE

    def back(self, endpoint: str, listed: bool) -> Verdict:
        if self.out.pop(endpoint, None) is None and not listed:
            return Verdict.UNKNOWN
        return Verdict.DONE

    def forget(self, now: int, listed: set[str] | dict[str, object]) -> list[str]:
        """Those that no list has named for long; what is listed at this moment is marked as named."""
        for name in self.out:
            if name in listed:
                self.out[name] = now
        gone = [name for name, named in self.out.items() if now - named >= FORGOTTEN]
        for name in gone:
            del self.out[name]
        return gone

    # The mode of this sidecar.

    def quiesce(self, now: int) -> bool:
        """False where it changes nothing: it drains already, or leaves."""
        if self.mode is not Mode.SERVING:
            return False
        self.enter(Mode.DRAINING, now, now + STAY, now + EMPTY)
        return True

    def resume(self, now: int) -> bool:
        """False where it changes nothing. Leaving is final."""
        if self.mode is not Mode.DRAINING:
            return False
        self.enter(Mode.SERVING, now, None, None)
        return True

    def leave(self, now: int, closes: int, ends: int) -> None:
        """The program ends: connections close from `closes` on, nothing may be open at `ends`."""
        first = closes if self.closes is None else min(closes, self.closes)
        self.enter(Mode.LEAVING, now, first, ends)

    def enter(self, mode: Mode, now: int, closes: int | None, ends: int | None) -> None:
        self.mode, self.since, self.closes, self.ends = mode, now, closes, ends

    def ready(self) -> bool:
        return self.mode is Mode.SERVING

    def closing(self, now: int) -> bool:
        """Answers close their connections, and those that stand idle are closed."""
        return self.closes is not None and now >= self.closes

    def latest(self, now: int) -> int | None:
        """The latest hard limit of what is taken now; none where nothing cuts it."""
        if self.ends is None or self.mode is Mode.DRAINING and now >= self.ends:
            return None  # what still comes long after the drain began holds nothing up
        return self.ends
