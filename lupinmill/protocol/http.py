"""HTTP/1.1 on top of h11, without I/O: requests and answers, complete where they are small, else in parts."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

import h11

Headers = list[tuple[bytes, bytes]]

MAX_BUFFERED_BODY = 64 * 1024  # bytes; larger answers are streamed
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_MERGED_BODY = 8 * 1024  # bytes of a body that are sent in one piece with the head
MAX_HEAD_BYTES = 16 * 1024
CHUNK_HEADER_PIECE = 1024  # bytes of a chunk header or of trailers that the parser gets at a time
MAX_HEAD_LINES = 256
COSTLY_HEAD_LINES = 64  # a head with more takes much longer to parse than usual ones
MAX_EVENTS_PER_PART = 256  # of the parser in one go, however small the chunks of a body are
MAX_INFORMATIONAL = 64  # 1xx answers before the final one
# Headers that concern one connection only; all others are forwarded.
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
# Forwarded even where `Connection` names them: identity, workload, safe repeats, deadlines and retry advice
# depend on them, and the endpoint must see the same request as this sidecar.
ALWAYS_FORWARDED = {
    b"host",
    b"idempotency-key",
    b"req-id",
    b"req-kind",
    b"req-deadline",
    b"req-retry",
    b"req-owner",
    b"req-key",
    b"req-extra",
    b"retry-after",
    b"srv-declined",
    b"srv-load",
}
HEAD_END = re.compile(rb"\n\r?\n")
CHUNKED = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)  # the parser accepts no other coding
FOLD = re.compile(rb"\n[ \t]")
# The parser's time for a line that it refuses is quadratic in the number of blanks after the colon: a head of
# 16 KiB would block the event loop for more than a second.
MANY_BLANKS = re.compile(rb":(?:[ \t]|\r?\n(?=[ \t])){256}")
ABSOLUTE = re.compile(rb"https?://[^/?#]+([/?].*)?", re.IGNORECASE)
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")


# Sent instead of an answer that can't be serialised.
BAD_GATEWAY_RESPONSE = b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Malformed(Exception):
    """A request that is answered with this status and not handled any further."""

    def __init__(self, status: int, text: str, framing_intact: bool = False) -> None:
        super().__init__(text)
        self.status, self.framing_intact = status, framing_intact  # intact: the connection can go on

    def copy(self) -> Malformed:
        """One without a traceback, whose frames would keep what they had read."""
        return Malformed(self.status, str(self), self.framing_intact)


class Garbled(Exception):
    """An answer that is not valid HTTP, too large, or whose end can't be determined."""


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> str | None:
        return find(self.headers, name)


@dataclass(slots=True)
class Answer:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> str | None:
        return find(self.headers, name)


def find(headers: Headers, name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip(" \t")  # a bare `strip` would remove more than blanks
    return None


def end_to_end(headers: Headers) -> Headers:
    """The headers to forward: without HOP_BY_HOP and what `Connection` names, except ALWAYS_FORWARDED."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = HOP_BY_HOP | (named - ALWAYS_FORWARDED)
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def plain(status: int, text: str = "", more: Headers | None = None) -> Answer:
    return Answer(status, [(b"Content-Type", b"text/plain"), *(more or [])], text.encode())


class End(Enum):
    """Follows the last part of a body."""

    END = "end"


END = End.END
Part = bytes | bytearray | End


def says_close(headers: Headers) -> bool:
    """Whether any `Connection` header has the token `close`, in any letter case."""
    return any(
        part.strip().lower() == b"close"
        for key, value in headers
        if key.lower() == b"connection"
        for part in value.split(b",")
    )


def length_of(headers: Headers) -> int | None:
    """The Content-Length. h11 has checked that repeated values are equal."""
    for key, value in headers:
        if key.lower() == b"content-length":
            return int(value.split(b",")[0])
    return None


def origin_form(method: bytes, target: bytes) -> bytes:
    """The request target as written, without the scheme and authority of the absolute form.

    Raises Malformed for a target that can't be served here."""
    if target[:1] == b"/" or (method == b"OPTIONS" and target == b"*"):
        return target
    absolute = ABSOLUTE.fullmatch(target)
    if absolute is None:
        raise Malformed(400, "no usable target")
    path = absolute[1] or b"/"
    return path if path[:1] == b"/" else b"/" + path


def unescape(value: bytes) -> bytes:
    """Decodes percent-encoding, as `urllib.parse.unquote_to_bytes`. Other percent signs stay."""
    return ESCAPED.sub(lambda match: bytes([int(match[1], 16)]), value)


def phrase(answer: Answer) -> str:
    try:
        return HTTPStatus(answer.status).phrase
    except ValueError:
        return ""


Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ReceiveBuffer:
    """The receive buffer of one side. Its parser gets whole heads, and chunked bodies in small pieces.

    This bounds the parser's time for hostile input, and makes the result independent of how the bytes were
    split into packets."""

    def __init__(self, http: h11.Connection, may_fold: bool) -> None:
        self.http, self.may_fold = http, may_fold
        self.unparsed = bytearray()
        self.searched = 0  # leading bytes of `unparsed` that hold no end of a head
        self.chunked = False  # whether the current body is
        self.parser_drained = True  # the parser needs more data
        self.next_parsed: Event | None = None  # parsed already, follows the last data
        self.interrupted = False  # `next_event` stopped at its limit, and may return more without more bytes
        self.ended = False  # the peer closed; the parser learns it once `unparsed` is empty

    def feed(self, data: bytes) -> None:
        """Empty data: the peer has closed its side."""
        self.unparsed += data
        self.ended = self.ended or not data

    def next_event(self) -> Event:
        """Available data of a chunked body is returned as one event, up to a limit on the parser's work.
        Raises h11.RemoteProtocolError."""
        event, self.next_parsed = self.next_parsed or self.parse_event(), None
        self.interrupted = False
        if not self.chunked or not isinstance(event, h11.Data):
            return event
        data = bytearray(event.data)
        for _ in range(MAX_EVENTS_PER_PART - 1):
            event = self.parse_event()
            if not isinstance(event, h11.Data):
                self.next_parsed = None if event is h11.NEED_DATA else event
                return h11.Data(data=data)
            data += event.data
        self.interrupted = True
        return h11.Data(data=data)

    def parse_event(self) -> Event:
        while True:
            if self.parser_drained:
                piece = self.next_piece()
                if piece is None:
                    return h11.NEED_DATA
                self.http.receive_data(piece)
                self.parser_drained = (
                    False  # before the call below: if that raises, the next call raises again
                )
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser_drained = True

    def next_piece(self) -> bytes | None:
        """The next bytes for the parser; empty bytes signal the end of input."""
        if not self.unparsed:
            return b"" if self.ended and not self.http.trailing_data[1] else None
        state = self.http.their_state
        if state in (h11.IDLE, h11.SEND_RESPONSE):
            return self.take_head()
        if state is not h11.SEND_BODY:
            return None
        if not self.chunked:
            return self.take(len(self.unparsed))
        self.check_unfinished()
        return self.take(CHUNK_HEADER_PIECE)

    def check_unfinished(self) -> None:
        """Between two events of a chunked body the parser holds part of a chunk header or of the trailers."""
        if len(self.http.trailing_data[0]) > CHUNK_HEADER_PIECE:
            raise h11.RemoteProtocolError("overlong chunk header or trailers")

    def take_head(self) -> bytes | None:
        """A complete head, or None."""
        end = HEAD_END.search(self.unparsed, self.searched)
        if (len(self.unparsed) if end is None else end.end()) > MAX_HEAD_BYTES:
            raise h11.RemoteProtocolError("the head is too large", error_status_hint=431)
        if end is None:
            if self.unparsed[0] < 0x21:
                raise h11.RemoteProtocolError("no head")
            self.searched = max(0, len(self.unparsed) - 2)
            return None
        if MANY_BLANKS.search(self.unparsed, 0, end.end()):
            raise h11.RemoteProtocolError("too many blanks in a header")
        if not self.may_fold and FOLD.search(self.unparsed, 0, end.end()):
            raise h11.RemoteProtocolError("a folded header")  # it would be forwarded as one line
        if self.unparsed.count(b"\n", 0, end.end()) > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError("too many headers", error_status_hint=431)
        self.chunked = CHUNKED.search(self.unparsed, 0, end.end()) is not None
        return self.take(end.end())

    def take(self, count: int) -> bytes:
        data = bytes(self.unparsed[:count])
        del self.unparsed[:count]
        self.searched = 0
        return data

    def rest(self) -> bytes:
        """Received bytes that are not part of any message read so far."""
        return self.http.trailing_data[0] + bytes(self.unparsed)


class ServerSide:
    """The server side of a client's connection.

    `next_part` returns a request's head, then the parts of its body, then END; `next_request` returns it as a
    whole."""

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        self.start()
        self.max_body = max_body
        self.request: Request | None = None  # the one whose body is still being received
        self.size = 0  # bytes of its body received so far
        self.costly_body = False  # a part of that body ended at the limit on the parser's work
        self.body = bytearray()  # collected by `next_request` only
        self.method = b""
        self.refused: Malformed | None = None
        self.bodiless = False  # the answer has no body, whatever its length header says

    def start(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.incoming = ReceiveBuffer(self.http, may_fold=False)

    def feed(self, data: bytes) -> None:
        if self.http.their_state is h11.IDLE and not self.incoming.unparsed:
            data = data.lstrip(b"\r\n")  # empty lines before a request are ignored
        if data:
            self.incoming.feed(data)

    def next_part(self) -> Request | Part | None:
        """Returns None until more bytes arrive. After a malformed request nothing more is read."""
        if self.refused is not None:
            raise self.refused.copy()
        try:
            return self.handle_event(self.incoming.next_event())
        except Malformed as error:
            self.refused = error.copy()
            raise
        except h11.RemoteProtocolError as error:
            self.refused = Malformed(400, str(error))
            raise self.refused.copy() from error

    def handle_event(self, event: Event) -> Request | Part | None:
        if isinstance(event, h11.Request):
            return self.handle_head(event)
        if isinstance(event, h11.Data):
            self.size += len(event.data)
            self.costly_body = self.costly_body or self.incoming.interrupted
            if self.size > self.max_body:
                raise Malformed(413, "the body is too large")
            return event.data
        if isinstance(event, h11.EndOfMessage):
            self.request = None
            return END
        return None

    def handle_head(self, event: h11.Request) -> Request:
        self.method = event.method  # set first: the answer to a malformed HEAD request has no body either
        if event.method == b"CONNECT":
            raise Malformed(405, "no tunnels here")
        target = origin_form(event.method, event.target)
        request = Request(event.method, target, event.headers.raw_items())
        length = length_of(request.headers)
        # Prevents request smuggling: h11 would prefer one of the two.
        if length is not None and request.header(b"transfer-encoding"):
            raise Malformed(400, "both Content-Length and Transfer-Encoding")
        if (length or 0) > self.max_body:
            raise Malformed(413, "the body is too large")  # without reading any of it
        self.request, self.size, self.costly_body = request, 0, False
        return request

    def next_request(self) -> Request | None:
        """A complete request, or None until more bytes arrive."""
        request = self.request
        while (part := self.next_part()) is not None:
            if part is END and request is not None:
                request.body, self.body = bytes(self.body), bytearray()
                return request
            if isinstance(part, Request):
                request = part
            elif part is not END:
                self.body += part
        return None

    def costly(self) -> bool:
        """Whether parsing more may take long: other tasks should run before `next_part`."""
        if self.request is not None:
            return self.costly_body
        unparsed = self.incoming.unparsed
        return len(unparsed) > COSTLY_HEAD_LINES and unparsed.count(b"\n") > COSTLY_HEAD_LINES

    def begun(self) -> bool:
        """Whether part of a request has arrived, but not all of it."""
        return self.request is not None or bool(self.incoming.rest())

    def continue_response(self) -> bytes:
        """The 100 Continue that a client with an Expect header waits for; else nothing."""
        if self.http.they_are_waiting_for_100_continue:
            return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def answer(self, answer: Answer, close: bool) -> bytes:
        """The bytes of the whole answer. Then `goes_on` tells whether the connection stays open."""
        return b"".join(self.pieces(answer, close))

    def pieces(self, answer: Answer, close: bool) -> list[bytes]:
        """The same without copying a large body, which would be held twice while the client reads slowly."""
        unanswered = self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        try:
            head = self.begin(answer, len(answer.body), close)
            body = self.part(answer.body) if answer.body else b""
            rest = self.end()
        except h11.LocalProtocolError:
            if not unanswered:
                raise
            return [BAD_GATEWAY_RESPONSE]  # nothing was sent yet, and the client waits for an answer
        return [head, body] if len(body) > MAX_MERGED_BODY and not rest else [head + body + rest]

    def begin(self, answer: Answer, length: int | None, close: bool) -> bytes:
        """The answer's head. Without `length` the body is chunked, or ends with the connection (HTTP/1.0)."""
        headers = end_to_end(answer.headers)
        if self.method == b"HEAD":
            length = length_of(answer.headers) if not answer.body else length
        self.bodiless = self.method == b"HEAD" or answer.status in (204, 304)
        if length is not None and answer.status not in (204, 304):
            headers.append((b"Content-Length", b"%d" % length))
        if close:
            headers.append((b"Connection", b"close"))
        return (
            self.http.send(h11.Response(status_code=answer.status, headers=headers, reason=phrase(answer)))
            or b""
        )

    def part(self, data: bytes) -> bytes:
        if self.bodiless:
            return b""
        return self.http.send(h11.Data(data=data)) or b""

    def end(self) -> bytes:
        return self.http.send(h11.EndOfMessage()) or b""

    def truncation_detectable(self) -> bool:
        """Whether the client would notice that an answer was cut off by closing the connection."""
        return (self.http.their_http_version or b"1.0") >= b"1.1"

    def goes_on(self) -> bool:
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.refused is not None:
            return False
        rest = self.incoming.rest()
        self.method = b""  # the next request's is not known yet
        self.request = self.incoming.next_parsed = None
        if rest:
            self.start()
            self.feed(rest)
        else:
            self.http.start_next_cycle()
            self.incoming.parser_drained = True
        return True


class ClientSide:
    """The client side of a connection to an endpoint or to discovery, for one exchange.

    An answer of more than `max_buffered` bytes is not collected: `large` becomes true, and the body is taken
    in parts."""

    def __init__(self, max_buffered: int = MAX_BUFFERED_BODY, max_body: int = MAX_BODY_BYTES) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.incoming = ReceiveBuffer(self.http, may_fold=True)
        self.method = b""
        self.informational = 0  # 1xx answers so far
        self.max_buffered, self.max_body = max_buffered, max(max_buffered, max_body)
        self.received_answer: Answer | None = None
        self.body = bytearray()
        self.size = 0
        self.over = False
        self.ends_by_close = False
        self.length: int | None = None

    def ask(self, request: Request) -> bytes:
        """The bytes of the whole request."""
        return b"".join(self.pieces(request))

    def pieces(self, request: Request) -> list[bytes]:
        """The same without copying a large body, since each attempt sends it again."""
        has_length = bool(request.body) or request.method not in (b"GET", b"HEAD")
        head = self.begin(request, len(request.body) if has_length else None)
        body = self.part(request.body) if request.body else b""
        rest = self.end()
        return [head, body] if len(body) > MAX_MERGED_BODY and not rest else [head + body + rest]

    def begin(self, request: Request, length: int | None, chunked: bool = False) -> bytes:
        self.method = request.method
        headers = end_to_end(request.headers)
        if not any(key.lower() == b"host" for key, _ in headers):
            headers.append((b"Host", b""))  # optional in HTTP/1.0, required in the HTTP/1.1 that is sent
        if chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        try:
            return (
                self.http.send(h11.Request(method=request.method, target=request.target, headers=headers))
                or b""
            )
        except h11.LocalProtocolError as error:
            raise Garbled(str(error)) from error

    def part(self, data: bytes) -> bytes:
        try:
            return self.http.send(h11.Data(data=data)) or b""
        except h11.LocalProtocolError as error:
            raise Garbled(str(error)) from error

    def end(self) -> bytes:
        try:
            return self.http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise Garbled(str(error)) from error

    def feed(self, data: bytes) -> None:
        """Empty data: the connection was closed, which ends an answer only where its head says so."""
        if not data and not self.ends_by_close:
            raise ConnectionResetError("connection closed before the end of the answer")
        self.incoming.feed(data)

    def next_answer(self) -> Answer | None:
        """The complete answer, unless it is large."""
        self.advance()
        if not self.over or self.large or self.received_answer is None:
            return None
        if not self.received_answer.body:
            self.received_answer.body = bytes(self.body)
            self.body.clear()  # a list of endpoints takes a megabyte, and memory may be short
        return self.received_answer

    def take(self) -> bytes:
        """The next part of a large answer's body, maybe empty; `over` tells whether it was the last."""
        self.advance()
        data = bytes(self.body)
        self.body.clear()
        return data

    def advance(self) -> None:
        try:
            while not self.over:
                event = self.incoming.next_event()
                if isinstance(event, h11.Response):
                    self.handle_head(event)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.size += len(event.data)
                    if self.size > self.max_body:
                        raise Garbled("answer body too large")
                elif isinstance(event, h11.EndOfMessage):
                    self.over = True
                elif isinstance(event, h11.InformationalResponse):
                    self.informational += 1
                    if self.informational > MAX_INFORMATIONAL:
                        raise Garbled("too many informational answers")
                else:
                    return
        except h11.RemoteProtocolError as error:
            raise Garbled(str(error)) from error

    def handle_head(self, event: h11.Response) -> None:
        answer = Answer(event.status_code, event.headers.raw_items())
        framed = self.method == b"HEAD" or answer.status in (204, 304) or self.incoming.chunked
        # No header gives the length of a chunked or absent body.
        self.length = None if framed else length_of(answer.headers)
        if self.length is None and not framed:
            # Only an answer that announces it may end by closing: else a truncated head would pass.
            if not says_close(answer.headers) and event.http_version != b"1.0":
                raise Garbled("answer without a length or Connection: close")
            self.ends_by_close = True
        if (self.length or 0) > self.max_body:
            raise Garbled("answer body too large")
        self.received_answer = answer

    @property
    def large(self) -> bool:
        """Whether the body is to be taken in parts; known from the length, unless there is no body (HEAD)."""
        return self.size > self.max_buffered or not self.over and (self.length or 0) > self.max_buffered

    @property
    def open_ended(self) -> bool:
        """Whether an answer has begun of which nothing tells how long it will be."""
        return self.received_answer is not None and not self.over and self.length is None

    def begun(self) -> bool:
        """Whether part of the final answer has arrived; 1xx answers don't count."""
        return self.received_answer is not None or bool(self.incoming.rest())

    def reusable(self) -> bool:
        """Whether the exchange is over and the connection can carry another one."""
        over = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return over and not self.incoming.rest()
