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
LOAD, DECLINED = b"srv-load", b"srv-declined"
LONGEST = 60  # seconds; no client waits for longer
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")  # `float` reads more: signs, exponents, `1_0`
REJECTED = (400, 413, 422)  # what an endpoint answers to a request that no endpoint can use
READY = b"/ready"
HEALTH, STATUS = b"/health", b"/status/load"


@dataclass(slots=True)
class Asked:
    submission: str
    workload: str
    left: int  # microseconds that its client will wait
    tenant: str
    repeated: bool
    key: str = ""  # what it is about
    keyed: bool = True  # it brings what endpoints drop its repeats by


def read(request: Request, workloads: set[str]) -> Asked:
    name = request.header(ID)
    if not name or len(name) > 200:
        raise Malformed(400, "no usable Req-Id", True)
    path = request.target.split(b"?", 1)[0].lstrip(b"/").split(b"/", 1)[0].decode("latin-1")
    kind = request.header(KIND) or path
    if kind not in workloads:
        raise Malformed(404, f"unknown workload {kind[:60]!r}", True)
    if path in workloads and path != kind:
        raise Malformed(400, "Req-Kind and the path name different workloads", True)
    deadline = request.header(DEADLINE) or ""
    if not SECONDS.fullmatch(deadline) or (left := float(deadline)) > LONGEST:
        raise Malformed(400, "no readable Req-Deadline", True)
    key = request.header(KEY) or ""
    if len(key) > LONGEST_KEY:
        raise Malformed(400, "overlong Req-Key", True)
    owner, again = request.header(OWNER) or "", request.header(RETRY) == "1"
    return Asked(name, kind, int(left * 1_000_000), owner, again, key, bool(request.header(DROP_KEY)))


def launch(request: Request, left: int) -> Request:
    """The same, with the time that this sidecar will still wait."""
    headers = [(key, value) for key, value in request.headers if key.lower() != DEADLINE]
    headers.append((b"Req-Deadline", b"%.6f" % (max(0, left) / 1_000_000)))
    return Request(request.method, request.target, headers, request.body)


def outcome(answer: Answer) -> t.How:
    if answer.status == 200:
        return t.How.HANDLED
    if answer.status in (503, 504) and answer.header(DECLINED) == "1":
        return t.How.REFUSED
    return t.How.REJECTED if answer.status in REJECTED else t.How.ERROR


def passed_on(answer: Answer) -> Answer:
    """As it goes to the client: the load report was for this sidecar."""
    headers = [(key, value) for key, value in answer.headers if key.lower() != LOAD]
    return Answer(answer.status, headers, answer.body)


def denied(come_back: int) -> Answer:
    advice = [(b"Retry-After", b"%.3f" % (come_back / 1_000_000))] if come_back else []
    return plain(503, "denied\n", advice)


def broken_off() -> Answer:
    return plain(502, "broken off\n")


def load_report(answer: Answer) -> t.Load | None:
    return reports.read(answer.header(LOAD))


def probe(reported: bool) -> Request:
    return Request(b"GET", STATUS if reported else HEALTH, [(b"Host", b"endpoint")])


def probed(answer: Answer) -> tuple[t.How, t.Load | None]:
    how = t.How.HANDLED if answer.status == 200 else t.How.REFUSED if answer.status == 503 else t.How.ERROR
    return how, reports.read(answer.body.decode("latin-1")) or load_report(answer)
