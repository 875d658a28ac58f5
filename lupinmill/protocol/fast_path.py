"""A cheap parser for simple requests, used to reject them at a fraction of the cost of full parsing.

Anything that is not clearly one complete, simple request is left to the full parser. Nothing parsed here is
forwarded."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lupinmill.protocol.client_requests import DECIMAL_SECONDS, MAX_DEADLINE_S, MAX_KEY_BYTES
from lupinmill.protocol.http import MAX_HEAD_BYTES

REQUEST_HEAD = re.compile(
    rb"(?:GET|POST) /([A-Za-z0-9_.~-]{1,100})(?:[/?][!-~]{0,2000})? HTTP/1\.1\r\n"
    rb"((?:[A-Za-z0-9-]{1,60}:[ \t]{0,4}(?:[!-~][ -~]{0,2000})?\r\n){1,60})\r\n"
)
HEADER_FIELD = re.compile(
    rb"^(req-id|req-kind|req-deadline|req-retry|req-owner|req-key|idempotency-key|host|content-length"
    rb"|transfer-encoding|connection|expect|upgrade):(.*)\r$",
    re.IGNORECASE | re.MULTILINE,
)


@dataclass(slots=True)
class RequestSummary:
    workload: str
    time_left: int  # microseconds that the client will still wait
    tenant: str
    is_retry: bool


def parse_simple_request(data: bytes, workloads: set[str]) -> RequestSummary | None:
    """Returns None unless the data is exactly one complete request without any ambiguity."""
    head = REQUEST_HEAD.match(data)
    if head is None or head.end() > MAX_HEAD_BYTES:
        return None
    headers: dict[bytes, bytes] = {}
    for name, value in HEADER_FIELD.findall(head[2]):
        name = name.lower()
        if name in headers or name in (b"transfer-encoding", b"connection", b"expect", b"upgrade"):
            return None
        headers[name] = value.strip(b" \t")
    if b"host" not in headers or len(headers.get(b"req-key", b"")) > MAX_KEY_BYTES:
        return None
    length = headers.get(b"content-length", b"0")
    if not length.isdigit() or len(length) > 6 or len(data) != head.end() + int(length):
        return None
    path = head[1].decode()
    kind = headers.get(b"req-kind", head[1]).decode("latin-1")
    if (
        kind not in workloads
        or path in workloads
        and path != kind
        or not 0 < len(headers.get(b"req-id", b"")) <= 200
    ):
        return None
    deadline = headers.get(b"req-deadline", b"").decode("latin-1")
    if not DECIMAL_SECONDS.fullmatch(deadline) or (time_left := float(deadline)) > MAX_DEADLINE_S:
        return None
    tenant = headers.get(b"req-owner", b"").decode("latin-1")
    return RequestSummary(kind, int(time_left * 1_000_000), tenant, headers.get(b"req-retry") == b"1")


def rejection(retry_after: int) -> bytes:
    """The bytes of a complete 503 response that keeps the connection open. `retry_after`: microseconds."""
    retry_after_header = b"Retry-After: %.3f\r\n" % (retry_after / 1_000_000) if retry_after else b""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n" + retry_after_header
        + b"Content-Length: 7\r\n\r\ndenied\n"
    )  # fmt: skip
