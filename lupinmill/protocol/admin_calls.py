"""Parses operators' HTTP/1.1 requests, one per connection, into `AdminCall`s. Without I/O."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from lupinmill.protocol.http import Malformed, phrase, plain, unescape

MAX_REQUEST_BYTES = 4 * 1024
MAX_ID_BYTES = 200
ADMIN_PREFIX = b"/admin/"
HEALTH, CORDON, UNCORDON, QUIESCE, RESUME = "health", "cordon", "uncordon", "quiesce", "resume"
PEERS, REHEARSE, ZONES, CONFIG = "peers", "rehearse", "zones", "config"
DISCOVERY, MEMORY, CLIENTS = "discovery", "memory", "clients"
MOVES = {f"zones/{what}": what for what in ("drain", "restore", "pin", "unpin")}
METHODS = {
    HEALTH: (b"GET", b"HEAD"),
    PEERS: (b"GET",),
    ZONES: (b"GET",),
    CONFIG: (b"GET",),
    DISCOVERY: (b"GET",),
    MEMORY: (b"GET",),
    CLIENTS: (b"GET",),
    **dict.fromkeys((REHEARSE, CORDON, UNCORDON, QUIESCE, RESUME, *MOVES), (b"PUT",)),
}
MEMBER_PARAMETER, ZONE_PARAMETER = b"member", b"zone"


@dataclass(slots=True)
class AdminCall:
    what: str
    endpoint: str = ""
    zone: str = ""
    force: bool = False


class AdminCallCodec:
    """The server side of an operator's connection, which carries one call."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=2 * MAX_REQUEST_BYTES)
        self.received_bytes = 0

    def feed(self, data: bytes) -> AdminCall | None:
        """Returns the call once its headers are complete. Raises Malformed. A body is ignored."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_REQUEST_BYTES:
            raise Malformed(431, "the call is too long")
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise Malformed(400, str(error)) from error
        return parse(event) if isinstance(event, h11.Request) else None

    def answer(self, status: int, text: str) -> bytes:
        """The bytes of the whole response, after which the connection is closed."""
        answer = plain(status, f"{text}\n")
        headers = [*answer.headers, (b"Content-Length", b"%d" % len(answer.body)), (b"Connection", b"close")]
        data = self.http.send(h11.Response(status_code=status, headers=headers, reason=phrase(answer))) or b""
        data += self.http.send(h11.Data(data=answer.body)) or b""
        return data


def parse(request: h11.Request) -> AdminCall:
    target = request.target
    if not target.startswith(b"/"):  # absolute form
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    path, _, query = target.partition(b"?")
    path = unescape(path)
    what = path[len(ADMIN_PREFIX) :].decode("latin-1") if path.startswith(ADMIN_PREFIX) else ""
    if what not in METHODS:
        raise Malformed(404, "unknown path")
    if request.method not in METHODS[what]:
        raise Malformed(405, f"this wants {METHODS[what][0].decode()}")
    if MOVES.get(what) in ("drain", "restore"):
        return AdminCall(
            what, zone=single_parameter(query, ZONE_PARAMETER), force=b"force=1" in query.split(b"&")
        )
    return AdminCall(what, single_parameter(query, MEMBER_PARAMETER) if what in (CORDON, UNCORDON) else "")


def single_parameter(query: bytes, key: bytes) -> str:
    """The value of a query parameter that has to be given exactly once. Raises Malformed."""
    values = [
        unescape(value)
        for name, _, value in (part.partition(b"=") for part in query.split(b"&"))
        if unescape(name) == key
    ]
    parameter = key.decode()
    if len(values) != 1:
        raise Malformed(400, f"wants {parameter}=ID once, not {len(values)} times")
    try:
        text = values[0].decode()
    except UnicodeDecodeError:
        raise Malformed(400, f"{parameter} is no UTF-8") from None
    if not text or len(values[0]) > MAX_ID_BYTES:
        raise Malformed(400, f"{parameter} is empty or too long")
    return text
