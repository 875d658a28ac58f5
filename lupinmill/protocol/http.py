"""HTTP/1.1 by h11: bytes in; requests and answers out, whole where they are small, in parts where not. No
I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

import h11

Headers = list[tuple[bytes, bytes]]

SMALL = 64 * 1024  # bytes of a body up to which an answer is passed on whole
LARGEST_BODY = 32 * 1024 * 1024
TOGETHER = 8 * 1024  # bytes of a body that go out in one piece with their head
LARGEST_HEAD = 16 * 1024
BETWEEN_CHUNKS = 1024  # bytes of a chunk's header, or of trailers: given to the parser so many at once
MOST_AHEAD = 64  # informational answers (1xx) ahead of the final one
# Those of one connection only; the rest goes on from end to end.
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
# Kept whatever `Connection` names: identity, class, repeat safety, deadline and advice hang on them. Guards
# against a request that counts here as what it no longer is at its endpoint.
ALWAYS_KEPT = {
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
CHUNKED = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)  # the parser takes no other coding
FOLD = re.compile(rb"\n[ \t]")
# The parser's time for a line that it refuses grows with the square of the blanks behind the colon: a head of
# 16 KiB would hold the loop for more than a second.
MANY_BLANKS = re.compile(rb":(?:[ \t]|\r?\n(?=[ \t])){256}")
ABSOLUTE = re.compile(rb"https?://[^/?#]+([/?].*)?", re.IGNORECASE)


# What is sent instead of an answer that can't be written.
UNWRITABLE = b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Malformed(Exception):
    """A request that gets an answer of this status, and nothing else."""

    def __init__(self, status: int, text: str, trusted: bool = False) -> None:
        super().__init__(text)
        self.status, self.trusted = status, trusted  # trusted: the framing was right, the connection can stay


class Garbled(Exception):
    """An answer that is no HTTP, too large, or without an end that could be told."""


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
            return value.decode("latin-1").strip(" \t")  # `strip` alone takes other bytes than blanks too
    return None


def end_to_end(headers: Headers) -> Headers:
    """Without those of one connection: the usual ones, and what `Connection` names beyond ALWAYS_KEPT."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = HOP_BY_HOP | (named - ALWAYS_KEPT)
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def plain(status: int, text: str = "", more: Headers | None = None) -> Answer:
    return Answer(status, [(b"Content-Type", b"text/plain"), *(more or [])], text.encode())


class End(Enum):
    """Behind the last part of a body."""

    END = "end"


END = End.END
Part = bytes | bytearray | End


def says_close(headers: Headers) -> bool:
    """By any `Connection` header, in any case and among other tokens."""
    return any(
        part.strip().lower() == b"close"
        for key, value in headers
        if key.lower() == b"connection"
        for part in value.split(b",")
    )


def length_of(headers: Headers) -> int | None:
    """As h11 has checked it: repeated lengths are equal ones."""
    for key, value in headers:
        if key.lower() == b"content-length":
            return int(value.split(b",")[0])
    return None


def origin_form(method: bytes, target: bytes) -> bytes:
    """The target as its server takes it: as it was written, without scheme and authority of an absolute one.
    Raises Malformed for what is no target of a request to this server."""
    if target[:1] == b"/" or (method == b"OPTIONS" and target == b"*"):
        return target
    absolute = ABSOLUTE.fullmatch(target)
    if absolute is None:
        raise Malformed(400, "no usable target")
    path = absolute[1] or b"/"
    return path if path[:1] == b"/" else b"/" + path


def phrase(answer: Answer) -> str:
    try:
        return HTTPStatus(answer.status).phrase
    except ValueError:
        return ""


Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Incoming:
    """What one side has received, given to its parser head by head and, of a chunked body, in small pieces.

    Guards against input that the parser would take seconds over, and against heads that are taken or refused
    by how they were cut."""

    def __init__(self, http: h11.Connection, may_fold: bool) -> None:
        self.http, self.may_fold = http, may_fold
        self.waiting = bytearray()  # not given to the parser yet
        self.searched = 0  # bytes of it in which there is no end of a head
        self.chunked = False  # the body that comes
        self.hungry = True  # the parser has read all that it was given
        self.held: Event | None = None  # parsed already, behind the last data
        self.ended = False  # by the other side; the parser is told when nothing waits

    def feed(self, data: bytes) -> None:
        """None at all: the other side has ended."""
        self.waiting += data
        self.ended = self.ended or not data

    def next_event(self) -> Event:
        """All the data there is of a chunked body comes as one. Raises h11.RemoteProtocolError for what is
        malformed."""
        event, self.held = self.held or self.parsed(), None
        if not self.chunked or not isinstance(event, h11.Data):
            return event
        data = bytearray(event.data)
        while isinstance(event := self.parsed(), h11.Data):
            data += event.data
        if event is not h11.NEED_DATA:
            self.held = event
        return h11.Data(data=data)

    def parsed(self) -> Event:
        while True:
            if self.hungry:
                piece = self.piece()
                if piece is None:
                    return h11.NEED_DATA
                self.http.receive_data(piece)
                self.hungry = False  # also where the next line raises: it then does so again
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.hungry = True

    def piece(self) -> bytes | None:
        """The next that the parser may have; empty bytes tell it of the end."""
        if not self.waiting:
            return b"" if self.ended and not self.http.trailing_data[1] else None
        state = self.http.their_state
        if state in (h11.IDLE, h11.SEND_RESPONSE):
            return self.head()
        if state is not h11.SEND_BODY:
            return None
        if not self.chunked:
            return self.take(len(self.waiting))
        self.check_pending()
        return self.take(BETWEEN_CHUNKS)

    def check_pending(self) -> None:
        """What the parser holds between two events of a chunked body is a part of a chunk's header or of the
        trailers."""
        if len(self.http.trailing_data[0]) > BETWEEN_CHUNKS:
            raise h11.RemoteProtocolError("overlong chunk header or trailers")

    def head(self) -> bytes | None:
        """A whole head."""
        end = HEAD_END.search(self.waiting, self.searched)
        if (len(self.waiting) if end is None else end.end()) > LARGEST_HEAD:
            raise h11.RemoteProtocolError("the head is too large", error_status_hint=431)
        if end is None:
            if self.waiting[0] < 0x21:
                raise h11.RemoteProtocolError("no head")
            self.searched = max(0, len(self.waiting) - 2)
            return None
        if MANY_BLANKS.search(self.waiting, 0, end.end()):
            raise h11.RemoteProtocolError("too many blanks in a header")
        if not self.may_fold and FOLD.search(self.waiting, 0, end.end()):
            raise h11.RemoteProtocolError("a folded header")  # it would go on in one line
        self.chunked = CHUNKED.search(self.waiting, 0, end.end()) is not None
        return self.take(end.end())

    def take(self, count: int) -> bytes:
        data = bytes(self.waiting[:count])
        del self.waiting[:count]
        self.searched = 0
        return data

    def rest(self) -> bytes:
        """What has come and was not read as a part of a message."""
        return self.http.trailing_data[0] + bytes(self.waiting)


class ServerSide:
    """The sidecar as its clients' server, on one connection. A request is read by `next_part`: its head, then
    the parts of its body, then END; or by `next_request`, whole."""

    def __init__(self, largest: int = LARGEST_BODY) -> None:
        self.start()
        self.largest = largest
        self.request: Request | None = None  # its head has come, but not its end
        self.size = 0  # bytes of its body so far
        self.body = bytearray()  # kept by `next_request` alone
        self.method = b""
        self.refused: Malformed | None = None
        self.bodiless = False  # the answer, whatever it tells of its length

    def start(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=LARGEST_HEAD)
        self.incoming = Incoming(self.http, may_fold=False)

    def feed(self, data: bytes) -> None:
        if self.http.their_state is h11.IDLE and not self.incoming.waiting:
            data = data.lstrip(b"\r\n")  # empty lines ahead of a request say nothing
        if data:
            self.incoming.feed(data)

    def next_part(self) -> Request | Part | None:
        """None while more bytes are wanted. Behind what is malformed nothing is read any more."""
        if self.refused is not None:
            raise self.refused
        try:
            return self.part_of(self.incoming.next_event())
        except Malformed as error:
            self.refused = error
            raise
        except h11.RemoteProtocolError as error:
            self.refused = Malformed(400, str(error))
            raise self.refused from error

    def part_of(self, event: Event) -> Request | Part | None:
        if isinstance(event, h11.Request):
            return self.head(event)
        if isinstance(event, h11.Data):
            self.size += len(event.data)
            if self.size > self.largest:
                raise Malformed(413, "the body is too large")
            return event.data
        if isinstance(event, h11.EndOfMessage):
            self.request = None
            return END
        return None

    def head(self, event: h11.Request) -> Request:
        self.method = event.method  # first: also the answer to a malformed one to HEAD has no body
        if event.method == b"CONNECT":
            raise Malformed(405, "no tunnels here")
        target = origin_form(event.method, event.target)
        request = Request(event.method, target, event.headers.raw_items())
        length = length_of(request.headers)
        # Guards against a request hidden in another's body: h11 would choose between the two.
        if length is not None and request.header(b"transfer-encoding"):
            raise Malformed(400, "both Content-Length and Transfer-Encoding")
        if (length or 0) > self.largest:
            raise Malformed(413, "the body is too large")  # not one byte of it is read
        self.request, self.size = request, 0
        return request

    def next_request(self) -> Request | None:
        """A whole request, or None while more bytes are wanted."""
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

    def begun(self) -> bool:
        """Some of a request has come, but not all of it."""
        return self.request is not None or bool(self.incoming.rest())

    def go_ahead(self) -> bytes:
        """What a client that asked first, with Expect, has to see before it sends the body."""
        if self.http.they_are_waiting_for_100_continue:
            return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
        return b""

    def answer(self, answer: Answer, close: bool) -> bytes:
        """The whole answer's bytes. Afterwards `goes_on` tells whether the connection serves another one."""
        unanswered = self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        try:
            data = self.begin(answer, len(answer.body), close)
            if answer.body:
                data += self.part(answer.body)
            return data + self.end()
        except h11.LocalProtocolError:
            if not unanswered:
                raise
            return UNWRITABLE  # not a byte was written yet, and whoever asked waits for an answer

    def begin(self, answer: Answer, length: int | None, close: bool) -> bytes:
        """Its head, with the length where that is told; else it is chunked, or ends with the connection for
        clients that know no better."""
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

    def tells_its_end(self) -> bool:
        """Could the client tell if the answer ended now, too early, with the connection?"""
        return (self.http.their_http_version or b"1.0") >= b"1.1"

    def goes_on(self) -> bool:
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.refused is not None:
            return False
        rest = self.incoming.rest()
        self.method = b""  # that of the next request isn't known yet
        self.request = self.incoming.held = None
        if rest:
            self.start()
            self.feed(rest)
        else:
            self.http.start_next_cycle()
            self.incoming.hungry = True
        return True


class ClientSide:
    """The sidecar as a client of an endpoint or of discovery, for one exchange on a connection.

    An answer of over `whole` bytes isn't gathered: `large` turns true, and its body is taken in parts."""

    def __init__(self, whole: int = SMALL, largest: int = LARGEST_BODY) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD)
        self.incoming = Incoming(self.http, may_fold=True)
        self.method = b""
        self.ahead = 0  # informational answers so far
        self.whole, self.largest = whole, max(whole, largest)
        self.got: Answer | None = None
        self.body = bytearray()
        self.size = 0
        self.over = False
        self.by_close = False  # the answer ends with the connection
        self.length: int | None = None

    def ask(self, request: Request) -> bytes:
        """The whole request's bytes."""
        return b"".join(self.pieces(request))

    def pieces(self, request: Request) -> list[bytes]:
        """The same, with a body of some size as it is: a copy for each launch adds up."""
        told = bool(request.body) or request.method not in (b"GET", b"HEAD")
        head = self.begin(request, len(request.body) if told else None)
        body = self.part(request.body) if request.body else b""
        rest = self.end()
        return [head, body] if len(body) > TOGETHER and not rest else [head + body + rest]

    def begin(self, request: Request, length: int | None, chunked: bool = False) -> bytes:
        self.method = request.method
        headers = end_to_end(request.headers)
        if not any(key.lower() == b"host" for key, _ in headers):
            headers.append((b"Host", b""))  # HTTP/1.0 may do without, what goes on as HTTP/1.1 may not
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
        """None at all: the connection has ended, which ends an answer only where it says so."""
        if not data and not self.by_close:
            raise ConnectionResetError("ended before the whole answer")
        self.incoming.feed(data)

    def next_answer(self) -> Answer | None:
        """The whole answer, if it is not large."""
        self.advance()
        if not self.over or self.large or self.got is None:
            return None
        self.got.body = bytes(self.body)
        return self.got

    def take(self) -> bytes:
        """What has come of a large answer's body and was not taken yet; `over` tells whether that was all."""
        self.advance()
        data = bytes(self.body)
        self.body.clear()
        return data

    def advance(self) -> None:
        try:
            while not self.over:
                event = self.incoming.next_event()
                if isinstance(event, h11.Response):
                    self.head(event)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.size += len(event.data)
                    if self.size > self.largest:
                        raise Garbled("the answer's body is too large")
                elif isinstance(event, h11.EndOfMessage):
                    self.over = True
                elif isinstance(event, h11.InformationalResponse):
                    self.ahead += 1
                    if self.ahead > MOST_AHEAD:
                        raise Garbled("informational answers without end")
                else:
                    return
        except h11.RemoteProtocolError as error:
            raise Garbled(str(error)) from error

    def head(self, event: h11.Response) -> None:
        got = Answer(event.status_code, event.headers.raw_items())
        framed = self.method == b"HEAD" or got.status in (204, 304) or self.incoming.chunked
        # Of a body in chunks, or of none, no header tells the length.
        self.length = None if framed else length_of(got.headers)
        if self.length is None and not framed:
            # Guards against one that was cut off in its head: only who says so ends by closing.
            if not says_close(got.headers) and event.http_version != b"1.0":
                raise Garbled("the answer's end can't be told from a broken connection")
            self.by_close = True
        if (self.length or 0) > self.largest:
            raise Garbled("the answer's body is too large")
        self.got = got

    @property
    def large(self) -> bool:
        """To be taken in parts. Told by its length already, unless there is no body to come (HEAD)."""
        return self.size > self.whole or not self.over and (self.length or 0) > self.whole

    def begun(self) -> bool:
        """Some of the answer has come; what goes ahead of it (1xx) does not count."""
        return self.got is not None or bool(self.incoming.rest())

    def reusable(self) -> bool:
        """The exchange is over, and the other side keeps the connection."""
        over = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return over and not self.incoming.rest()
