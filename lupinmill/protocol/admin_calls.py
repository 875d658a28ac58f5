"""Operators' calls: one HTTP/1.1 request on a connection becomes an `AdminCall`, or the status that says why
not. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

import h11

from lupinmill.protocol.http import Malformed, phrase, plain

LARGEST_HEAD = 4 * 1024
LONGEST_ID = 200  # bytes
PREFIX = b"/admin/"
HEALTH, CORDON, UNCORDON, QUIESCE, RESUME = "health", "cordon", "uncordon", "quiesce", "resume"
PEERS, REHEARSE, ZONES, CONFIG = "peers", "rehearse", "zones", "config"
DISCOVERY = "discovery"
MOVES = {f"zones/{what}": what for what in ("drain", "restore", "pin", "unpin")}
METHODS = {
    HEALTH: (b"GET", b"HEAD"),
    PEERS: (b"GET",),
    ZONES: (b"GET",),
    CONFIG: (b"GET",),
    DISCOVERY: (b"GET",),
    **dict.fromkeys((REHEARSE, CORDON, UNCORDON, QUIESCE, RESUME, *MOVES), (b"PUT",)),
}
MEMBER, ZONE = b"member", b"zone"


@dataclass(slots=True)
class AdminCall:
    what: str
    endpoint: str = ""
    zone: str = ""
    force: bool = False


class AdminCallCodec:
    """The sidecar as its operators' server, for the one call of a connection."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=2 * LARGEST_HEAD)
        self.fed = 0

    def feed(self, data: bytes) -> AdminCall | None:
        """The call once its head has come. Raises Malformed; a body, if any, says nothing here."""
        self.fed += len(data)
        if self.fed > LARGEST_HEAD:
            raise Malformed(431, "the call is too long")
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise Malformed(400, str(error)) from error
        return parse(event) if isinstance(event, h11.Request) else None

    def answer(self, status: int, text: str) -> bytes:
        """The whole answer's bytes; the connection ends with it."""
        answer = plain(status, f"{text}\n")
        headers = [*answer.headers, (b"Content-Length", b"%d" % len(answer.body)), (b"Connection", b"close")]
        data = self.http.send(h11.Response(status_code=status, headers=headers, reason=phrase(answer))) or b""
        data += self.http.send(h11.Data(data=answer.body)) or b""
        return data


def parse(request: h11.Request) -> AdminCall:
    target = request.target
    if not target.startswith(b"/"):  # the absolute form
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    path, _, query = target.partition(b"?")
    path = unquote_to_bytes(path)
    what = path[len(PREFIX) :].decode("latin-1") if path.startswith(PREFIX) else ""
    if what not in METHODS:
        raise Malformed(404, "unknown path")
    if request.method not in METHODS[what]:
        raise Malformed(405, f"this wants {METHODS[what][0].decode()}")
    if MOVES.get(what) in ("drain", "restore"):
        return AdminCall(what, zone=single_parameter(query, ZONE), force=b"force=1" in query.split(b"&"))
    return AdminCall(what, single_parameter(query, MEMBER) if what in (CORDON, UNCORDON) else "")


def single_parameter(query: bytes, key: bytes) -> str:
    """The one id that it names, however it is encoded."""
    values = [
        unquote_to_bytes(value)
        for name, _, value in (part.partition(b"=") for part in query.split(b"&"))
        if unquote_to_bytes(name) == key
    ]
    word = key.decode()
    if len(values) != 1:
        raise Malformed(400, f"wants {word}=ID once, not {len(values)} times")
    try:
        text = values[0].decode()
    except UnicodeDecodeError:
        raise Malformed(400, f"{word} is no UTF-8") from None
    if not text or len(values[0]) > LONGEST_ID:
        raise Malformed(400, f"{word} is empty or too long")
    return text
