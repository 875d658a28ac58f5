"""A client's request as a submission, a launch of it as an endpoint's request, an answer as an outcome."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lupinmill import terms as t
from lupinmill.protocol import reports
from lupinmill.protocol.http import Answer, Malformed, Request, plain

ID, KIND, DEADLINE, RETRY, OWNER = b"req-id", b"req-kind", b"req-deadline", b"req-retry", b"req-owner"
KEY, LONGEST_KEY = b"req-key", 200
DROP_KEY = b"idempotency-key"  # endpoints drop repeats by it
SINGLE = {ID, KIND, DEADLINE, RETRY, OWNER, KEY, DROP_KEY}  # of two an endpoint might read the other one
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")
LOAD, DECLINED = b"srv-load", b"srv-declined"
LONGEST = 60  # seconds; no client waits for longer
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")  # `float` reads more: signs, exponents, `1_0`
REJECTED = (400, 413, 422)  # what an endpoint answers to a request that no endpoint can use
READY = b"/ready"
HEALTH, STATUS = b"/health", b"/status/load"


@dataclass(slots=True)
class ClientRequest:
    submission: str
    workload: str
    left: int  # microseconds that its client will wait
    tenant: str
    repeated: bool
    key: str = ""  # what it is about
    keyed: bool = True  # it brings what endpoints drop its repeats by


def parse(request: Request, workloads: set[str]) -> ClientRequest:
    """Raises Malformed for a request that is no submission. Ids and keys are told apart by their bytes, names
    from the settings are UTF-8."""
    headers = single(request)
    name = headers.get(ID, b"")
    if not name or len(name) > 200:
        raise Malformed(400, "no usable Req-Id", True)
    kind, path = workload(request, headers.get(KIND))
    if kind not in workloads:
        raise Malformed(404, f"unknown workload {kind[:60]!r}", True)
    if path in workloads and path != kind:
        raise Malformed(400, "Req-Kind and the path name different workloads", True)
    deadline = headers.get(DEADLINE, b"").decode("latin-1")
    if not SECONDS.fullmatch(deadline) or (left := float(deadline)) > LONGEST:
        raise Malformed(400, "no readable Req-Deadline", True)
    key = headers.get(KEY, b"").decode("latin-1")
    if len(key) > LONGEST_KEY:
        raise Malformed(400, "overlong Req-Key", True)
    return ClientRequest(
        submission=name.decode("latin-1"),
        workload=kind,
        left=int(left * 1_000_000),
        tenant=text(headers.get(OWNER, b"")),
        repeated=headers.get(RETRY) == b"1",
        key=key,
        keyed=bool(headers.get(DROP_KEY)),
    )


def single(request: Request) -> dict[bytes, bytes]:
    """The values of SINGLE. Raises Malformed where one is given twice: all of them go on, and the endpoint
    might read another one than was read here."""
    found: dict[bytes, bytes] = {}
    for key, value in request.headers:
        name = key.lower()
        if name in SINGLE:
            if name in found:
                raise Malformed(400, f"more than one {key.decode()}", True)
            found[name] = value.strip(b" \t")
    return found


def workload(request: Request, kind: bytes | None) -> tuple[str, str]:
    """As it is named, and as the first part of the path names it."""
    first = request.target.split(b"?", 1)[0].lstrip(b"/").split(b"/", 1)[0]
    path = text(ESCAPED.sub(lambda match: bytes([int(match[1], 16)]), first) if b"%" in first else first)
    if kind is None:
        return path, path
    if not kind:
        raise Malformed(400, "an empty Req-Kind", True)
    return text(kind), path


def text(value: bytes) -> str:
    """A name as the settings have it; what is no UTF-8 becomes one that can be logged and that nobody has."""
    return value.decode("utf-8", "backslashreplace")


def attempt_request(request: Request, left: int) -> Request:
    """The same, with the time that this sidecar will still wait."""
    headers = [(key, value) for key, value in request.headers if key.lower() != DEADLINE]
    headers.append((b"Req-Deadline", b"%.6f" % (max(0, left) / 1_000_000)))
    return Request(request.method, request.target, headers, request.body)


def outcome(answer: Answer) -> t.Outcome:
    if answer.status == 200:
        return t.Outcome.HANDLED
    if answer.status in (503, 504) and answer.header(DECLINED) == "1":
        return t.Outcome.REFUSED
    return t.Outcome.REJECTED if answer.status in REJECTED else t.Outcome.ERROR


def client_response(answer: Answer) -> Answer:
    """As it goes to the client: the load report was for this sidecar."""
    headers = [(key, value) for key, value in answer.headers if key.lower() != LOAD]
    return Answer(answer.status, headers, answer.body)


def rejection(come_back: int) -> Answer:
    advice = [(b"Retry-After", b"%.3f" % (come_back / 1_000_000))] if come_back else []
    return plain(503, "denied\n", advice)


def aborted_response() -> Answer:
    return plain(502, "broken off\n")


def load_report(answer: Answer) -> t.LoadReport | None:
    return reports.read(answer.header(LOAD))


def probe_request(reported: bool) -> Request:
    return Request(b"GET", STATUS if reported else HEALTH, [(b"Host", b"endpoint")])


def probe_result(answer: Answer) -> tuple[t.Outcome, t.LoadReport | None]:
    how = (
        t.Outcome.HANDLED
        if answer.status == 200
        else t.Outcome.REFUSED
        if answer.status == 503
        else t.Outcome.ERROR
    )
    return how, reports.read(answer.body.decode("latin-1")) or load_report(answer)
