"""Conversion between HTTP messages and the decision module's terms: requests, attempts, probes, outcomes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lupinmill import terms as t
from lupinmill.protocol import reports
from lupinmill.protocol.http import Answer, Malformed, Request, plain, unescape

ID, KIND, DEADLINE, RETRY, OWNER = b"req-id", b"req-kind", b"req-deadline", b"req-retry", b"req-owner"
KEY, MAX_KEY_BYTES = b"req-key", 200
IDEMPOTENCY_KEY = b"idempotency-key"  # endpoints deduplicate by it
SINGLE_HEADERS = {
    ID,
    KIND,
    DEADLINE,
    RETRY,
    OWNER,
    KEY,
    IDEMPOTENCY_KEY,
}  # an endpoint might read another copy than this sidecar
LOAD, DECLINED = b"srv-load", b"srv-declined"
MAX_DEADLINE_S = 60  # no client waits for longer
DECIMAL_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")  # `float` also accepts signs, exponents and `1_0`
REJECTED = (400, 413, 422)  # the request itself is at fault: no endpoint could handle it
READY = b"/ready"
HEALTH, STATUS = b"/health", b"/status/load"


@dataclass(slots=True)
class ClientRequest:
    request_id: str
    workload: str
    time_left: int  # microseconds that the client will still wait
    tenant: str
    is_retry: bool
    key: str = ""  # the object that the request is about
    has_idempotency_key: bool = True


def parse(request: Request, workloads: set[str]) -> ClientRequest:
    """Raises Malformed where a header is missing or unusable. Ids and keys are compared as bytes; names from
    the settings are UTF-8."""
    headers = single_headers(request)
    name = headers.get(ID, b"")
    if not name or len(name) > 200:
        raise Malformed(400, "no usable Req-Id", True)
    kind, path = workload_names(request, headers.get(KIND))
    if kind not in workloads:
        raise Malformed(404, f"unknown workload {kind[:60]!r}", True)
    if path in workloads and path != kind:
        raise Malformed(400, "Req-Kind and the path name different workloads", True)
    time_left = deadline_us(headers.get(DEADLINE, b"").decode("latin-1"))
    if time_left is None:
        raise Malformed(400, "no readable Req-Deadline", True)
    key = headers.get(KEY, b"").decode("latin-1")
    if len(key) > MAX_KEY_BYTES:
        raise Malformed(400, "overlong Req-Key", True)
    return ClientRequest(
        request_id=name.decode("latin-1"),
        workload=kind,
        time_left=time_left,
        tenant=text(headers.get(OWNER, b"")),
        is_retry=headers.get(RETRY) == b"1",
        key=key,
        has_idempotency_key=bool(headers.get(IDEMPOTENCY_KEY)),
    )


def deadline_us(text: str) -> int | None:
    """Microseconds that a client will wait, from the value of its header; None if that is unusable."""
    if not DECIMAL_SECONDS.fullmatch(text) or float(text) > MAX_DEADLINE_S:
        return None
    return int(float(text) * 1_000_000)


def time_left_of(request: Request) -> int | None:
    """Like `deadline_us`, of a request of which nothing else is checked."""
    return deadline_us(request.header(DEADLINE) or "")


def single_headers(request: Request) -> dict[bytes, bytes]:
    """The values of SINGLE_HEADERS. Raises Malformed where one is given twice: all copies are forwarded, and
    the endpoint might read another one than was read here."""
    found: dict[bytes, bytes] = {}
    for key, value in request.headers:
        name = key.lower()
        if name in SINGLE_HEADERS:
            if name in found:
                raise Malformed(400, f"more than one {key.decode()}", True)
            found[name] = value.strip(b" \t")
    return found


def workload_names(request: Request, kind: bytes | None) -> tuple[str, str]:
    """The workload as Req-Kind names it, and as the first segment of the path does."""
    segment = request.target.split(b"?", 1)[0].lstrip(b"/").split(b"/", 1)[0]
    path = text(unescape(segment) if b"%" in segment else segment)
    if kind is None:
        return path, path
    if not kind:
        raise Malformed(400, "an empty Req-Kind", True)
    return text(kind), path


def text(value: bytes) -> str:
    """Decodes a name. Invalid UTF-8 becomes escapes, which can be logged and match no configured name."""
    return value.decode("utf-8", "backslashreplace")


def attempt_request(request: Request, time_left: int) -> Request:
    """The request as sent to an endpoint: its deadline is the time that this sidecar will still wait."""
    headers = [(key, value) for key, value in request.headers if key.lower() != DEADLINE]
    headers.append((b"Req-Deadline", b"%.6f" % (max(0, time_left) / 1_000_000)))
    return Request(request.method, request.target, headers, request.body)


def outcome(answer: Answer) -> t.Outcome:
    if answer.status == 200:
        return t.Outcome.HANDLED
    if answer.status in (503, 504) and answer.header(DECLINED) == "1":
        return t.Outcome.REFUSED
    return t.Outcome.REJECTED if answer.status in REJECTED else t.Outcome.ERROR


def client_response(answer: Answer) -> Answer:
    """The answer as sent to the client, without the load report, which was for this sidecar."""
    headers = [(key, value) for key, value in answer.headers if key.lower() != LOAD]
    return Answer(answer.status, headers, answer.body)


def rejection(retry_after: int) -> Answer:
    headers = [(b"Retry-After", b"%.3f" % (retry_after / 1_000_000))] if retry_after else []
    return plain(503, "denied\n", headers)


def aborted_response() -> Answer:
    return plain(502, "broken off\n")


def load_report(answer: Answer) -> t.LoadReport | None:
    return reports.parse(answer.header(LOAD))


def probe_request(reported: bool) -> Request:
    return Request(b"GET", STATUS if reported else HEALTH, [(b"Host", b"endpoint")])


def probe_result(answer: Answer) -> tuple[t.Outcome, t.LoadReport | None]:
    outcome = (
        t.Outcome.HANDLED
        if answer.status == 200
        else t.Outcome.REFUSED
        if answer.status == 503
        else t.Outcome.ERROR
    )
    return outcome, reports.parse(answer.body.decode("latin-1")) or load_report(answer)
