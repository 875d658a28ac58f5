"""A request's head at a glance: enough to deny it for a small part of what reading it whole costs. What isn't
plainly one whole, simple request is left to the parser; nothing read here is ever passed on."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lupinmill.protocol.http import LARGEST_HEAD
from lupinmill.protocol.client_requests import LONGEST, LONGEST_KEY, SECONDS

HEAD = re.compile(
    rb"(?:GET|POST) /([A-Za-z0-9_.~-]{1,100})(?:[/?][!-~]{0,2000})? HTTP/1\.1\r\n"
    rb"((?:[A-Za-z0-9-]{1,60}:[ \t]{0,4}(?:[!-~][ -~]{0,2000})?\r\n){1,60})\r\n"
)
FIELD = re.compile(
    rb"^(req-id|req-kind|req-deadline|req-retry|req-owner|req-key|idempotency-key|host|content-length"
    rb"|transfer-encoding|connection|expect|upgrade):(.*)\r$",
    re.IGNORECASE | re.MULTILINE,
)


@dataclass(slots=True)
class RequestSummary:
    workload: str
    left: int  # microseconds that its client will wait
    tenant: str
    repeated: bool


def parse_simple_request(data: bytes, workloads: set[str]) -> RequestSummary | None:
    """None unless these bytes are one whole request of which nothing is doubtful, and no byte more."""
    head = HEAD.match(data)
    if head is None or head.end() > LARGEST_HEAD:
        return None
    found: dict[bytes, bytes] = {}
    for name, value in FIELD.findall(head[2]):
        name = name.lower()
        if name in found or name in (b"transfer-encoding", b"connection", b"expect", b"upgrade"):
            return None
        found[name] = value.strip(b" \t")
    if b"host" not in found or len(found.get(b"req-key", b"")) > LONGEST_KEY:
        return None
    length = found.get(b"content-length", b"0")
    if not length.isdigit() or len(length) > 6 or len(data) != head.end() + int(length):
        return None
    path = head[1].decode()
    kind = found.get(b"req-kind", head[1]).decode("latin-1")
    if (
        kind not in workloads
        or path in workloads
        and path != kind
        or not 0 < len(found.get(b"req-id", b"")) <= 200
    ):
        return None
    deadline = found.get(b"req-deadline", b"").decode("latin-1")
    if not SECONDS.fullmatch(deadline) or (left := float(deadline)) > LONGEST:
        return None
    tenant = found.get(b"req-owner", b"").decode("latin-1")
    return RequestSummary(kind, int(left * 1_000_000), tenant, found.get(b"req-retry") == b"1")


def rejection(come_back: int) -> bytes:
    """The whole answer's bytes; the connection is kept."""
    advice = b"Retry-After: %.3f\r\n" % (come_back / 1_000_000) if come_back else b""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n" + advice
        + b"Content-Length: 7\r\n\r\ndenied\n"
    )  # fmt: skip
