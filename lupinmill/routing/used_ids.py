"""Remembers the ids of requests that may have run and must not run again, after they are closed.

Owns its memory: two generations of at most `MAX_GENERATION` digests, of which the older is dropped as a
whole."""

from __future__ import annotations

from lupinmill.protocol.client_requests import MAX_DEADLINE_S

# microseconds for which an id is remembered at least, unless there are too many: no client waits for longer
GENERATION_US = MAX_DEADLINE_S * 1_000_000
MAX_GENERATION = 4_096  # digests, of some 70 bytes each
DIGEST_OFFSET, DIGEST_PRIME, DIGEST_MASK = 0xCBF29CE484222325, 0x100000001B3, (1 << 64) - 1


def digest_of(request_id: str) -> int:
    """FNV-1a in 64 bits, the same in every process."""
    digest = DIGEST_OFFSET
    for byte in request_id.encode("latin-1", "replace"):
        digest = (digest ^ byte) * DIGEST_PRIME & DIGEST_MASK
    return digest


class UsedIds:
    """A digest is remembered for `GENERATION_US` to twice that, or until `MAX_GENERATION` others followed."""

    def __init__(self) -> None:
        self.recent: set[int] = set()
        self.older: set[int] = set()
        self.recent_since = 0  # microseconds

    def add(self, digest: int, now: int) -> None:
        if now - self.recent_since >= GENERATION_US or len(self.recent) >= MAX_GENERATION:
            self.older, self.recent = self.recent, set()
            self.recent_since = now
        self.recent.add(digest)

    def __contains__(self, digest: int) -> bool:
        return digest in self.recent or digest in self.older

    def digests(self) -> list[int]:
        return [*self.older, *self.recent]
